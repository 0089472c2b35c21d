/**
 * DOC: Tests of fields and requests in unusual spellings: what a client writes
 * must not reach a target as a field that the system sets itself, and must not
 * be one request to the proxy and another one, or two, to its target.
 */

#include <criterion/criterion.h>

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/parts/raw.h"

#define ID "X-Jackdawladder-Attempt-Id: 1\r\n"
#define ANSWER                                                                 \
  "HTTP/1.1 200 OK\r\nX-Jackdawladder-Attempt-Id: 1\r\n"                       \
  "X-Jackdawladder-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok"
/* Time in which a request is answered. */
#define ARRIVAL_US (10 * JL_USEC_PER_SEC)

/**
 * struct play - a proxy beside a raw target
 * @requests: all bytes that arrived at the target
 * @response: all bytes that arrived at the client
 */
struct play
{
  struct rig rig;
  struct raw_peer peer;
  GString *requests;
  GString *response;
};

static void
install_route (struct rig *rig)
{
  const struct jl_split split = { "front", 1 };
  struct jl_route route = {
    .name = "spelling",
    .host = "a",
    .prefix = "/",
    .retry_policy = JL_RETRY_POLICY_AT_MOST_ONCE,
    .timeout_us = 10 * JL_USEC_PER_SEC,
    .attempts_max = 1,
    .split_count = 1,
    .split = &split,
  };
  struct jl_site *site = jl_site_new (1);

  jl_site_add_route (site, &route);
  jl_site_seal (site);
  site->body_bytes_max = 1000;
  rig->proxy->site = site;
}

static void
start (struct play *play, unsigned host)
{
  memset (play, 0, sizeof *play);
  rig_prepare (&play->rig, host);
  play->rig.options.heartbeat_us = 60 * JL_USEC_PER_SEC;
  raw_peer_open (&play->peer, &play->rig, TARGET_PORT);
  rig_start (&play->rig);
  install_route (&play->rig);
  rig_heartbeat (&play->rig, "i-1", 5, 1);
  play->requests = g_string_new (NULL);
  play->response = g_string_new (NULL);
}

/* Sends in parts of @step bytes, until the proxy closes the connection. */
static void
send_parts (
    struct play *play, int fd, const char *text, size_t size, size_t step)
{
  for (size_t i = 0; i < size; i += step)
    {
      if (send (fd, text + i, MIN (step, size - i), MSG_NOSIGNAL) < 0)
        return;
      raw_turn (&play->rig);
    }
}

/* Sends @text to the entry in parts of @step bytes, and answers each request
 * that reaches the target with @answer. */
static void
exchange_bytes (struct play *play,
                const char *text,
                size_t size,
                size_t step,
                const char *answer,
                size_t answer_size)
{
  int client = rig_send_request (&play->rig, ENTRY_PORT, "");
  uint64_t end_us = jl_now () + ARRIVAL_US;
  GString *request = g_string_new (NULL);
  int target;

  raw_forget_failures (&play->rig);
  g_string_truncate (play->requests, 0);
  g_string_truncate (play->response, 0);
  send_parts (play, client, text, size, step);
  while (jl_now () < end_us && strstr (play->response->str, "\r\n\r\n") == NULL)
    {
      target = raw_poll_request (&play->rig, &play->peer, request);
      if (target >= 0)
        {
          send_parts (play, target, answer, answer_size, step);
          raw_read_available (target, request);
          close (target);
          g_string_append_len (play->requests, request->str,
                               (gssize)request->len);
          g_string_truncate (request, 0);
        }
      raw_read_available (client, play->response);
    }
  raw_reset (client);
  raw_turn (&play->rig);
  g_string_free (request, TRUE);
}

static void
exchange (struct play *play, const char *text, size_t step)
{
  exchange_bytes (play, text, strlen (text), step, ANSWER, strlen (ANSWER));
}

static unsigned
status_of (const struct play *play)
{
  unsigned status = 0;

  sscanf (play->response->str, "HTTP/1.1 %u", &status);
  return status;
}

/* Fields that a target may read as one of those that the system sets itself, or
 * by which a body is framed. Each comes first, in the middle and last. */
static const struct
{
  const char *field;
  bool malformed;
} spoofs[] = {
  { "X-Jackdawladder-Caller-Service : evil", true },
  { "X-Jackdawladder-Caller-Service  : evil", true },
  { "X-Jackdawladder-Caller-Service\t: evil", true },
  { " X-Jackdawladder-Caller-Service: evil", true },
  { "\tX-Jackdawladder-Caller-Service: evil", true },
  { "X-Jackdawladder-Caller-Service:evil", false },
  { "X-Jackdawladder-Caller-Service: evil", false },
  { "x-jackdawladder-caller-service: evil", false },
  { "X-JACKDAWLADDER-CALLER-SERVICE:\tevil", false },
  { "X_Jackdawladder_Caller_Service: evil", false },
  { "X-Jackdawladder-Caller_Service: evil", false },
  { "X-Jackdawladder- Caller-Service: evil", true },
  { "X-Jackdawladder-Caller-Service\r\n : evil", true },
  { "X-Jackdawladder-Caller-Service:\r\n evil", true },
  { "A: b\r\n X-Jackdawladder-Caller-Service: evil", true },
  { "A: b\rX-Jackdawladder-Caller-Service: evil", true },
  { "A: b\nX-Jackdawladder-Caller-Service: evil", false },
  { "A: b\n X-Jackdawladder-Caller-Service: evil", true },
  { "X-Jackdawladder-Deadline-Ms : evil", true },
  { "X-Jackdawladder-Deadline-Ms: evil", false },
  { "X_Jackdawladder_Deadline_Ms: evil", false },
  { "X-Jackdawladder-Target-Instance : evil", true },
  { "X-Jackdawladder-Target-Instance: evil", false },
  { "X_Jackdawladder_Attempt_Id: evil", false },
  { "Jl-Work : evil", true },
  { "Jl_Work: evil", false },
  { " Jl-Work: evil", true },
  { "jl-work: evil", false },
  { "Connection: X-Jackdawladder-Caller-Service\r\n"
    "X-Jackdawladder-Caller-Service: evil",
    false },
  { "Connection: Jl-Work\r\nJl-Work: evil", false },
  { "Connection: Host, X-Jackdawladder-Attempt-Id", false },
  { "Connection: close\r\nConnection: Evil\r\nEvil: evil", false },
  { "Connection: X-Jackdawladder-Deadline-Ms, X-Jackdawladder-Target-Instance",
    false },
};

/* Every request that reaches the target bears the system's own value of each
 * field once, and nothing of the client's. */
static void
expect_own_fields (const struct play *play, bool malformed, const char *name)
{
  static const char *const own[]
      = { "\r\nX-Jackdawladder-Caller-Service: front\r\n",
          "\r\nX-Jackdawladder-Deadline-Ms: ",
          "\r\nX-Jackdawladder-Target-Instance: i-1\r\n",
          "\r\nX-Jackdawladder-Attempt-Id: 1\r\n", "\r\nHost: a\r\n" };
  const char *text = play->requests->str;

  cr_expect_eq (status_of (play), malformed ? 400 : 200, "%s: %s", name,
                play->response->str);
  cr_expect_null (strstr (text, "evil"), "%s: the target gets %s", name, text);
  if (malformed)
    {
      cr_expect_eq (play->requests->len, 0, "%s: the target gets %s", name,
                    text);
      return;
    }
  for (unsigned i = 0; i < G_N_ELEMENTS (own); i++)
    cr_expect (strstr (text, own[i]) != NULL
                   && strstr (text, own[i]) == g_strrstr (text, own[i]),
               "%s: the target gets %s", name, text);
}

Test (spelling, no_field_of_a_client_passes_as_one_of_the_system)
{
  static const char *const formats[]
      = { "GET /x HTTP/1.1\r\n%s\r\nHost: a\r\n" ID "\r\n",
          "GET /x HTTP/1.1\r\nHost: a\r\n%s\r\n" ID "\r\n",
          "GET /x HTTP/1.1\r\nHost: a\r\n" ID "%s\r\n\r\n",
          "POST /x HTTP/1.1\r\nHost: a\r\n" ID "Transfer-Encoding: chunked\r\n"
          "\r\n2\r\nhi\r\n0\r\n%s\r\n\r\n" };
  struct play play;

  start (&play, 230);
  for (unsigned i = 0; i < G_N_ELEMENTS (spoofs); i++)
    for (unsigned j = 0; j < G_N_ELEMENTS (formats); j++)
      {
        GString *text = g_string_new (formats[j]);

        g_string_replace (text, "%s", spoofs[i].field, 1);
        exchange (&play, text->str, text->len);
        expect_own_fields (&play, spoofs[i].malformed, text->str);
        if (strstr (text->str, "chunked") == NULL)
          {
            exchange (&play, text->str, 1);
            expect_own_fields (&play, spoofs[i].malformed, text->str);
          }
        g_string_free (text, TRUE);
      }
}

/* Requests that another recipient may read in another way, for one of which
 * "/smuggled" is a request of its own. */
static const char *const ambiguous[] = {
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Content-Length : 5\r\n\r\nhello",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID " Content-Length: 5\r\n\r\nhello",
  "GET /x HTTP/1.1\r\n Content-Length: 5\r\nHost: a\r\n" ID "\r\nhello",
  "GET /x HTTP/1.1\r\n Transfer-Encoding: chunked\r\nHost: a\r\n" ID "\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID
  "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Connection : close\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Content-Length: 1\r\n 5\r\n\r\nhello",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Content-Length: 5\r\n"
  "Content-Length: 5\r\n\r\nhello",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Content-Length: 5\r\n"
  "Content-Length: 6\r\n\r\nhello!",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Content-Length: 5, 5\r\n\r\nhello",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Content-Length: 5 5\r\n\r\nhello",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Content-Length: +5\r\n\r\nhello",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Content-Length: -5\r\n\r\nhello",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Content-Length: 0x5\r\n\r\nhello",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Content-Length: \r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID
  "Content-Length: 18446744073709551621\r\n\r\nhello",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Content-Length: 5\r\n"
  "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Transfer-Encoding: chunked\r\n"
  "Content-Length: 5\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID
  "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Transfer-Encoding: gzip\r\n\r\nhello",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Transfer-Encoding: identity\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Transfer-Encoding: \r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Transfer-Encoding: xchunked\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Transfer-Encoding: chunked, identity"
  "\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Transfer-Encoding: chunked\r\n"
  "Transfer-Encoding: identity\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Transfer-Encoding: chunked\r\n"
  "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID
  "Transfer-Encoding: chun\r\n ked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
  "GET /x HTTP/1.0\r\nHost: a\r\n" ID
  "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n" ID "\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\nHost: a\r\n" ID "\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "X-Jackdawladder-Attempt-Id: 2\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\nX-Jackdawladder-Attempt-Id: 1\r\n 2\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\nX-Jackdawladder-Attempt-Id : 1\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost : a\r\n" ID "\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "A: b\rB: c\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "A\rB: c\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "A: b\r\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "A\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID ": b\r\n\r\n",
  "GET /x\tHTTP/1.1\r\nHost: a\r\n" ID "\r\n",
  "GET /x\ty HTTP/1.1\r\nHost: a\r\n" ID "\r\n",
  "GET /x\fy HTTP/1.1\r\nHost: a\r\n" ID "\r\n",
  "GET /x\ry HTTP/1.1\r\nHost: a\r\n" ID "\r\n",
  "GET /x HTTP/1.1\rHost: a\r\n" ID "\r\n",
  "GET /x\r\nHost: a\r\n" ID "\r\n",
  "GET /x HTTP/2.0\r\nHost: a\r\n" ID "\r\n",
  "\rGET /x HTTP/1.1\r\nHost: a\r\n" ID "\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID
  "\rXGET /smuggled HTTP/1.1\r\nHost: a\r\n" ID "\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Transfer-Encoding: chunked\r\n\r\n"
  "5\r\nhelloXX0\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Transfer-Encoding: chunked\r\n\r\n"
  "5\rXhello\r\n0\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Transfer-Encoding: chunked\r\n\r\n"
  "5;\nhello\r\n0\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Transfer-Encoding: chunked\r\n\r\n"
  "5;a=\rb\r\nhello\r\n0\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Transfer-Encoding: chunked\r\n\r\n"
  "+5\r\nhello\r\n0\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Transfer-Encoding: chunked\r\n\r\n"
  "0x5\r\nhello\r\n0\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Transfer-Encoding: chunked\r\n\r\n"
  "10000000000000005\r\nhello\r\n0\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Transfer-Encoding: chunked\r\n\r\n"
  "0\r\n\rXGET /smuggled HTTP/1.1\r\nHost: a\r\n" ID "\r\n",
};

Test (spelling, an_ambiguous_request_gets_400_and_none_completes_at_a_target)
{
  struct play play;

  start (&play, 231);
  for (unsigned i = 0; i < G_N_ELEMENTS (ambiguous); i++)
    {
      exchange (&play, ambiguous[i], SIZE_MAX / 2);
      cr_expect_eq (status_of (&play), 400,
                    "%s: the client gets %s, the target %s", ambiguous[i],
                    play.response->str, play.requests->str);
      cr_expect_null (strstr (play.requests->str, "\r\n0\r\n\r\n"),
                      "%s: the target gets %s", ambiguous[i],
                      play.requests->str);
    }
}

/* A zero byte at each place of a head. */
Test (spelling, a_zero_byte_in_a_head_gets_400)
{
  static const char text[]
      = "GET /x HTTP/1.1\r\nHost: a\r\nA: bc\r\n" ID "\r\n";
  struct play play;

  start (&play, 232);
  for (size_t i = 1; i < sizeof text - 1; i++)
    {
      char bytes[sizeof text];

      memcpy (bytes, text, sizeof text);
      bytes[i] = '\0';
      exchange_bytes (&play, bytes, sizeof text - 1, sizeof text, ANSWER,
                      strlen (ANSWER));
      cr_expect_eq (status_of (&play), 400, "at %zu: %s", i,
                    play.response->str);
      cr_expect_eq (play.requests->len, 0, "at %zu", i);
    }
}

/* Spellings that HTTP allows, or asks recipients to accept. */
static const char *const valid[] = {
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Transfer-Encoding: chunked\r\n\r\n"
  "5 \r\nhello\r\n0\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Content-Length: 5\r\n\r\nhello",
  "GET /x HTTP/1.1\r\nHost:a\r\n" ID "content-length:\t 5 \r\n\r\nhello",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Content-Length: 0\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID
  "transfer-encoding: Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID
  "Transfer-Encoding:chunked \r\n\r\n5;a=b;c=\"d\"\r\nhello\r\n0\r\nA: "
  "b\r\n\r\n",
  "GET /x HTTP/1.1\nHost: a\n" ID "\n",
  "\r\nGET /x HTTP/1.1\r\nHost: a\r\n" ID "\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "Empty:\r\n!#$%&'*+-.^_`|~09: b\r\n\r\n",
  "GET /x HTTP/1.1\r\nHost: a\r\n" ID "A: b\r\nA: c\r\nA: \xc3\xa4\r\n\r\n",
  "GET /x HTTP/1.0\r\nHost: a\r\n" ID "\r\n",
  "GET /x?a=%20b HTTP/1.1\r\nHost: a\r\n" ID "Connection: a, keep-alive\r\n"
  "\r\n",
};

static void
expect_passed_on (const struct play *play, const char *text)
{
  cr_expect_eq (status_of (play), 200, "%s: %s", text, play->response->str);
  cr_expect (strstr (text, "hello") == NULL
                 || strstr (play->requests->str, "hello") != NULL,
             "%s: the target gets %s", text, play->requests->str);
}

Test (spelling, valid_requests_are_passed_on)
{
  struct play play;

  start (&play, 233);
  for (unsigned i = 0; i < G_N_ELEMENTS (valid); i++)
    {
      exchange (&play, valid[i], SIZE_MAX / 2);
      expect_passed_on (&play, valid[i]);
    }
}

#define HEAD                                                                   \
  "HTTP/1.1 200 OK\r\nX-Jackdawladder-Attempt-Id: 1\r\n"                       \
  "X-Jackdawladder-Server-Seal: s\r\n"
#define BYTES(text) text, sizeof (text) - 1

/* Responses that another recipient may read in another way, or that ask for
 * what a client cannot have. */
static const struct
{
  const char *text;
  size_t size;
} malformed_responses[] = {
  { BYTES ("HTTP/1.1 200 OK\r\n A: b\r\nX-Jackdawladder-Attempt-Id: 1\r\n"
           "Content-Length: 2\r\n\r\nok") },
  { BYTES (HEAD "A\t: c\r\nContent-Length: 2\r\n\r\nok") },
  { BYTES (HEAD "A b: c\r\nContent-Length: 2\r\n\r\nok") },
  { BYTES (HEAD "A: b\rC: d\r\nContent-Length: 2\r\n\r\nok") },
  { BYTES (HEAD "A: \0b\r\nContent-Length: 2\r\n\r\nok") },
  { BYTES (HEAD "A\0: b\r\nContent-Length: 2\r\n\r\nok") },
  { BYTES (HEAD "Content-Length: 2\r\n\rXok") },
  { BYTES (HEAD "Content-Length: \r\n\r\nok") },
  { BYTES (HEAD "Content-Length: 1\r\n 2\r\n\r\nok") },
  { BYTES (HEAD "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok") },
  { BYTES (HEAD "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nok\r\n0\r\n\r\n") },
  { BYTES (HEAD "Transfer-Encoding: gzip\r\n\r\nok") },
  { BYTES (HEAD "Transfer-Encoding: gzip, chunked\r\n\r\n"
                "2\r\nok\r\n0\r\n\r\n") },
  { BYTES (HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nokXX0\r\n\r\n") },
  { BYTES (HEAD "Transfer-Encoding: chunked\r\n\r\n2\rXok\r\n0\r\n\r\n") },
  { BYTES (HEAD "Transfer-Encoding: chunked\r\n\r\n2;\nok\r\n0\r\n\r\n") },
  { BYTES (HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\rX") },
  { BYTES ("HTTP/1.1 200 OK\rX" ANSWER) },
  { BYTES ("HTTP/0.9 200 OK\r\nX-Jackdawladder-Attempt-Id: 1\r\n\r\nok") },
  { BYTES ("HTTP/2.0 200 OK\r\nX-Jackdawladder-Attempt-Id: 1\r\n\r\nok") },
  { BYTES ("HTTP/1.1 20\r\nX-Jackdawladder-Attempt-Id: 1\r\n\r\nok") },
  { BYTES ("HTTP/1.1 2 0\r\nX-Jackdawladder-Attempt-Id: 1\r\n\r\nok") },
  { BYTES ("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n"
           "Upgrade: a\r\n\r\n" ANSWER) },
};

Test (spelling, a_malformed_response_is_no_answer)
{
  static const char request[] = "GET /x HTTP/1.1\r\nHost: a\r\n" ID "\r\n";
  struct play play;

  start (&play, 234);
  for (unsigned i = 0; i < G_N_ELEMENTS (malformed_responses); i++)
    for (unsigned step = 1; step <= 1000; step += 999)
      {
        exchange_bytes (&play, request, strlen (request), step,
                        malformed_responses[i].text,
                        malformed_responses[i].size);
        cr_expect_eq (status_of (&play), 502, "%s: the client gets %s",
                      malformed_responses[i].text, play.response->str);
      }
}

/* Responses that HTTP allows, or asks a proxy to correct, with what the client
 * gets of each. */
static const struct
{
  const char *text;
  unsigned status;
  const char *part;
} valid_responses[] = {
  { HEAD "Content-Length : 2\r\n\r\nok", 200,
    "\r\nContent-Length: 2\r\n\r\nok" },
  { "HTTP/1.1 200 OK\r\nX-Jackdawladder-Attempt-Id : 1\r\n"
    "X-Jackdawladder-Server-Seal  : s\r\nContent-Length: 2\r\n\r\nok",
    200, "\r\nX-Jackdawladder-Server-Seal: s\r\n" },
  { HEAD "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200,
    "\r\nContent-Length: 2\r\n\r\nok" },
  { "HTTP/1.1 503 Full\r\nX-Jackdawladder-Attempt-Id: 1\r\n"
    "X-Jackdawladder-Not-Executed : 1\r\nContent-Length: 0\r\n\r\n",
    503, "\r\n\r\ntarget-refused" },
  { HEAD "Jl-Outcome : not-run\r\nJl-Reason : expired\r\n"
         "Content-Length: 2\r\n\r\nok",
    200, "\r\nContent-Length: 2\r\n\r\nok" },
  { HEAD "Connection: X-Jackdawladder-Server-Seal\r\nContent-Length: 2\r\n\r\n"
         "ok",
    200, "\r\nX-Jackdawladder-Server-Seal: s\r\n" },
  { HEAD "A: b\r\n c\r\nContent-Length: 2\r\n\r\nok", 200, "\r\nA: b c\r\n" },
  { "HTTP/1.1 200 OK\nX-Jackdawladder-Attempt-Id: 1\nContent-Length: 2\n\nok",
    200, "\r\nContent-Length: 2\r\n\r\nok" },
  { "HTTP/1.1 204 None\r\nX-Jackdawladder-Attempt-Id: 1\r\n"
    "Content-Length: 5\r\n\r\n",
    204, "" },
  { "HTTP/1.1 204 None\r\nX-Jackdawladder-Attempt-Id: 1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n",
    204, "" },
  { "HTTP/1.1 304 Same\r\nX-Jackdawladder-Attempt-Id: 1\r\n"
    "Content-Length: 5\r\n\r\n",
    304, "" },
};

Test (spelling, a_valid_response_is_passed_back)
{
  static const char request[] = "GET /x HTTP/1.1\r\nHost: a\r\n" ID "\r\n";
  struct play play;

  start (&play, 235);
  for (unsigned i = 0; i < G_N_ELEMENTS (valid_responses); i++)
    for (unsigned step = 1; step <= 1000; step += 999)
      {
        exchange_bytes (&play, request, strlen (request), step,
                        valid_responses[i].text,
                        strlen (valid_responses[i].text));
        cr_expect_eq (status_of (&play), valid_responses[i].status,
                      "%s: the client gets %s", valid_responses[i].text,
                      play.response->str);
        cr_expect_not_null (
            strstr (play.response->str, valid_responses[i].part),
            "%s: the client gets %s", valid_responses[i].text,
            play.response->str);
      }
}

Test (spelling, a_request_for_the_path_of_the_configuration_goes_to_the_target)
{
  struct play play;

  start (&play, 236);
  exchange (&play, "GET " JL_SITE_PATH " HTTP/1.1\r\nHost: a\r\n" ID "\r\n", 1);
  cr_assert_not_null (strstr (play.response->str, "Server-Seal: s"), "%s",
                      play.response->str);
  cr_assert_gt (play.requests->len, 0);
}
