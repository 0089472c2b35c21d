/**
 * DOC: Tests of responses that are cut at each of their bytes, by a target, a
 * guard or the store: what reaches the client must not look complete, and a
 * refusal that is cut is none.
 */

#include <criterion/criterion.h>

#include <string.h>
#include <unistd.h>

#include "proxy/parts/address.h"
#include "proxy/parts/raw.h"
#include "store.h"

#define ID "X-Jackdawladder-Attempt-Id: 1\r\n"
#define SEAL "X-Jackdawladder-Server-Seal: s\r\n"
#define OK "HTTP/1.1 200 OK\r\n" ID SEAL
/* Size of a body that is passed on before it is complete. */
#define LARGE_BYTES 100000
/* Distance of the cuts within a large body, and the bytes at both ends of the
 * response that are all cut at. */
#define LARGE_STEP_BYTES 4999
#define LARGE_EDGE_BYTES 200

/* Requests per second that the daemon beside d5 takes, more than a play sends.
 */
#define CAPACITY 1000000

/* Requests in progress at another daemon, so that none is sent there. */
#define OTHER_OUTSTANDING 1000

/**
 * enum ending - how a connection ends
 * @ENDING_CLOSE: it is closed in order, together with the last bytes
 * @ENDING_CLOSE_LATER: it is closed in order after the last bytes were read,
 *                      which came in two parts
 * @ENDING_RESET: it is reset, together with the last bytes
 * @ENDING_RESET_LATER: it is reset after the last bytes were read
 */
enum ending
{
  ENDING_CLOSE,
  ENDING_CLOSE_LATER,
  ENDING_RESET,
  ENDING_RESET_LATER,
  ENDING_COUNT,
};

/**
 * struct response - a complete response of the cut peer
 * @body: body that the client gets
 * @method: method of the request; NULL for GET
 * @status: status that the client gets for the whole response
 * @until_close: its body ends with the connection
 * @refused: the whole response states that the request has not run
 */
struct response
{
  const char *text;
  const char *body;
  const char *method;
  unsigned status;
  bool until_close;
  bool refused;
};

static const struct response target_responses[] = {
  { .text = OK "Content-Length: 5\r\n\r\nhello",
    .status = 200,
    .body = "hello" },
  { .text = OK "Content-Length: 0\r\n\r\n", .status = 200, .body = "" },
  { .text = OK "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;a=b\r\nlo\r\n"
               "0\r\n\r\n",
    .status = 200,
    .body = "hello" },
  { .text = OK "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n5\r\nhello\r\n"
               "0\r\nA: 1\r\nContent-Length: 5\r\nConnection: close\r\n\r\n",
    .status = 200,
    .body = "hello" },
  { .text = OK "\r\nhello",
    .until_close = true,
    .status = 200,
    .body = "hello" },
  { .text = OK "Connection: close\r\nContent-Length: 5\r\n\r\nhello",
    .status = 200,
    .body = "hello" },
  { .text = "HTTP/1.1 204 No Content\r\n" ID SEAL "\r\n",
    .status = 204,
    .body = "" },
  { .text = OK "Content-Length: 5\r\n\r\n",
    .status = 200,
    .body = "",
    .method = "HEAD" },
  { .text = "HTTP/1.1 100 Continue\r\n\r\n"
            "HTTP/1.1 103 Early Hints\r\n" ID SEAL
            "Content-Length: 0\r\n\r\n" OK "Content-Length: 5\r\n\r\nhello",
    .status = 200,
    .body = "hello" },
  { .text = "HTTP/1.1 100 Continue\r\n" ID SEAL
            "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" ID SEAL "\r\nhello",
    .until_close = true,
    .status = 200,
    .body = "hello" },
  { .text
    = "HTTP/1.1 503 Service Unavailable\r\n" ID
      "X-Jackdawladder-Not-Executed: full\r\nContent-Length: 4\r\n\r\nfull",
    .status = 503,
    .refused = true },
  { .text = "HTTP/1.1 421 Misdirected\r\n" ID
            "X-Jackdawladder-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n"
            "\r\n4\r\nfull\r\n0\r\nA: 1\r\n\r\n",
    .status = 503,
    .refused = true },
  { .text
    = OK "A: b,\r\n  c\r\nB:\r\n\td\r\nContent-Length:\r\n 5\r\n\r\nhello",
    .status = 200,
    .body = "hello" },
};

#define NOT_RUN(reason)                                                        \
  "HTTP/1.1 503 Service Unavailable\r\nJl-Outcome: not-run\r\n"                \
  "Jl-Reason: " reason "\r\nContent-Length: 0\r\n\r\n"

static const struct response guard_responses[] = {
  { .text = OK "Content-Length: 5\r\n\r\nhello",
    .status = 200,
    .body = "hello" },
  { .text = OK "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    .status = 200,
    .body = "hello" },
  { .text = NOT_RUN ("target-refused"), .status = 503, .refused = true },
  { .text = NOT_RUN ("expired"), .status = 503, .refused = true },
  { .text = NOT_RUN ("draining"), .status = 503, .refused = true },
  { .text = "HTTP/1.1 502 Bad Gateway\r\nJl-Outcome: unknown\r\n"
            "Jl-Reason: target-lost\r\nContent-Length: 0\r\n\r\n",
    .status = 502,
    .body = "target-lost" },
};

/**
 * struct play - a peer that cuts its responses
 * @port: the proxy's port to which requests are sent
 * @at_guard: that is the guard's port
 * @case_count: number of requests so far, which makes their paths differ
 */
struct play
{
  struct rig rig;
  struct raw_peer peer;
  uint16_t port;
  bool at_guard;
  unsigned case_count;
};

static void
install_route (struct rig *rig,
               const char *service,
               enum jl_retry_policy policy)
{
  const struct jl_split split = { service, 1 };
  struct jl_route route = {
    .name = "cut",
    .host = "a",
    .prefix = "/",
    .retry_policy = policy,
    .timeout_us = 5 * JL_USEC_PER_SEC,
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

static int
send_request (struct play *play, const struct response *response)
{
  const char *method = response->method != NULL ? response->method : "GET";
  char *text = g_strdup_printf (
      "%s /%u HTTP/1.1\r\nHost: a\r\n" ID "Connection: close\r\n%s\r\n", method,
      play->case_count++,
      play->at_guard ? JL_WORK_FIELD ": front 1 5000 300 00000001 1\r\n" : "");
  int fd = rig_send_request (&play->rig, play->port, text);

  g_free (text);
  return fd;
}

/* Answers the request that arrives with the first @size bytes. Returns false if
 * none arrives. */
static bool
answer_and_end (struct play *play,
                const char *text,
                size_t size,
                enum ending ending)
{
  bool later = ending == ENDING_CLOSE_LATER || ending == ENDING_RESET_LATER;
  size_t first = later ? size / 2 : size;
  GString *request = g_string_new (NULL);
  int fd = raw_accept_request (&play->rig, &play->peer, request);

  g_string_free (request, TRUE);
  if (fd < 0)
    return false;
  raw_send (fd, text, first);
  if (later)
    {
      raw_turn (&play->rig);
      raw_send (fd, text + first, size - first);
      raw_turn (&play->rig);
    }
  if (ending == ENDING_RESET || ending == ENDING_RESET_LATER)
    raw_reset (fd);
  else
    close (fd);
  return true;
}

static bool
is_whole (const struct response *response,
          size_t text_size,
          size_t size,
          enum ending ending)
{
  size_t head_size
      = (size_t)(g_strrstr (response->text, "\r\n\r\n") + 4 - response->text);

  if (!response->until_close)
    return size == text_size;
  return size >= head_size
         && (ending == ENDING_CLOSE || ending == ENDING_CLOSE_LATER);
}

static void
expect_whole (const struct play *play,
              const struct response *response,
              size_t size,
              const struct raw_answer *answer,
              const char *name)
{
  const char *outcome = strstr (answer->head, "Jl-Outcome: not-run\r\n");

  cr_expect_eq (answer->status, response->status, "%s: %s", name, answer->head);
  cr_expect (answer->complete, "%s", name);
  if (play->at_guard)
    cr_expect_eq (outcome != NULL, response->refused, "%s", name);
  if (response->refused)
    return;
  if (response->until_close)
    cr_expect (g_str_has_prefix (response->body, answer->body->str)
                   && answer->body->len + strlen (response->text)
                          == size + strlen (response->body),
               "%s: %s", name, answer->body->str);
  else
    cr_expect_str_eq (answer->body->str, response->body, "%s", name);
}

/* The request was sent to its only target, and it is not known what became of
 * it. */
static void
expect_unknown (const struct play *play,
                const struct raw_answer *answer,
                const char *name)
{
  cr_expect_eq (answer->status, 502, "%s: %s", name, answer->head);
  cr_expect (answer->complete, "%s", name);
  if (play->at_guard)
    cr_expect_not_null (strstr (answer->head, "Jl-Outcome: unknown\r\n"),
                        "%s: %s", name, answer->head);
}

static void
play_case (struct play *play,
           const struct response *response,
           size_t size,
           enum ending ending)
{
  size_t text_size = strlen (response->text);
  GString *text = g_string_new (NULL);
  struct raw_answer answer;
  char *name
      = g_strdup_printf ("%zu of %zu bytes, ending %d, of \"%.*s\"", size,
                         text_size, ending, (int)size, response->text);
  int fd;

  raw_forget_failures (&play->rig);
  fd = send_request (play, response);
  if (!answer_and_end (play, response->text, size, ending))
    {
      raw_read_all (&play->rig, fd, text);
      cr_assert_fail ("%s: the request has not arrived: %s", name, text->str);
    }
  cr_expect (raw_read_all (&play->rig, fd, text), "%s", name);
  answer = raw_parse (text, response->method != NULL);
  cr_expect_not (answer.extra, "%s", name);
  if (is_whole (response, text_size, size, ending))
    expect_whole (play, response, size, &answer, name);
  else
    expect_unknown (play, &answer, name);
  raw_reset (fd);
  raw_turn (&play->rig);
  raw_answer_clear (&answer);
  g_string_free (text, TRUE);
  g_free (name);
}

static void
play_responses (struct play *play,
                const struct response *responses,
                size_t count,
                enum ending ending)
{
  for (size_t i = 0; i < count; i++)
    for (size_t size = 0; size <= strlen (responses[i].text); size++)
      play_case (play, &responses[i], size, ending);
}

/* Starts a proxy beside a target that cuts its responses. */
static void
start_beside_target (struct play *play, unsigned host)
{
  memset (play, 0, sizeof *play);
  rig_prepare (&play->rig, host);
  play->rig.options.heartbeat_us = 60 * JL_USEC_PER_SEC;
  raw_peer_open (&play->peer, &play->rig, TARGET_PORT);
  rig_start (&play->rig);
  rig_heartbeat (&play->rig, "i-1", 5, 1);
}

static void
play_target_at_guard (unsigned host, enum ending ending)
{
  struct play play;

  start_beside_target (&play, host);
  play.port = PEER_PORT;
  play.at_guard = true;
  play_responses (&play, target_responses, G_N_ELEMENTS (target_responses),
                  ending);
}

static void
play_target_at_entry (unsigned host,
                      enum jl_retry_policy policy,
                      enum ending ending)
{
  struct play play;

  start_beside_target (&play, host);
  install_route (&play.rig, "front", policy);
  play.port = ENTRY_PORT;
  play_responses (&play, target_responses, G_N_ELEMENTS (target_responses),
                  ending);
}

/* Plays a daemon that cuts its responses to the entry of another one. */
static void
play_guard (unsigned host, enum jl_retry_policy policy)
{
  struct jl_member *other;
  struct play play;

  memset (&play, 0, sizeof play);
  rig_prepare (&play.rig, host);
  raw_peer_open (&play.peer, &play.rig, OTHER_PORT);
  rig_start (&play.rig);
  install_route (&play.rig, "deep", policy);
  rig_add_member (&play.rig, "d7", "z1", "deep")->capacity = CAPACITY;
  /* Keeps the service from being without any daemon while d7 has failed. */
  other = rig_add_member (&play.rig, "d8", "z1", "deep");
  other->capacity = CAPACITY;
  other->peer.port = OTHER_PORT + 1;
  other->outstanding = OTHER_OUTSTANDING;
  play.port = ENTRY_PORT;
  for (enum ending ending = 0; ending < ENDING_COUNT; ending++)
    play_responses (&play, guard_responses, G_N_ELEMENTS (guard_responses),
                    ending);
}

Test (cut, target_closes_at_guard)
{
  play_target_at_guard (210, ENDING_CLOSE);
}

Test (cut, target_closes_later_at_guard)
{
  play_target_at_guard (211, ENDING_CLOSE_LATER);
}

Test (cut, target_resets_at_guard)
{
  play_target_at_guard (212, ENDING_RESET);
}

Test (cut, target_resets_later_at_guard)
{
  play_target_at_guard (213, ENDING_RESET_LATER);
}

Test (cut, target_closes_on_an_idempotent_route)
{
  play_target_at_entry (214, JL_RETRY_POLICY_IDEMPOTENT, ENDING_CLOSE);
  play_target_at_entry (214, JL_RETRY_POLICY_IDEMPOTENT, ENDING_RESET_LATER);
}

Test (cut, target_closes_on_a_route_of_requests_that_run_at_most_once)
{
  play_target_at_entry (215, JL_RETRY_POLICY_AT_MOST_ONCE, ENDING_CLOSE_LATER);
  play_target_at_entry (215, JL_RETRY_POLICY_AT_MOST_ONCE, ENDING_RESET);
}

Test (cut, target_closes_on_a_download_route)
{
  play_target_at_entry (216, JL_RETRY_POLICY_DOWNLOAD, ENDING_CLOSE);
  play_target_at_entry (216, JL_RETRY_POLICY_DOWNLOAD, ENDING_RESET_LATER);
}

Test (cut, guard_on_an_idempotent_route)
{
  play_guard (217, JL_RETRY_POLICY_IDEMPOTENT);
}

Test (cut, guard_on_a_route_of_requests_that_run_at_most_once)
{
  play_guard (218, JL_RETRY_POLICY_AT_MOST_ONCE);
}

Test (cut, guard_on_a_download_route)
{
  play_guard (219, JL_RETRY_POLICY_DOWNLOAD);
}

/* A peer that resets a connection may take back bytes that it has written, so
 * large responses are cut only by closing in order. */
static GString *
large_response (bool chunked, bool until_close, size_t *head_size)
{
  GString *text = g_string_new (OK);
  char *body = g_strnfill (LARGE_BYTES / 4, 'x');

  if (chunked)
    g_string_append (text, "Transfer-Encoding: chunked\r\n");
  else if (!until_close)
    g_string_append_printf (text, "Content-Length: %d\r\n", LARGE_BYTES);
  g_string_append (text, "\r\n");
  *head_size = text->len;
  for (unsigned i = 0; i < 4; i++)
    if (chunked)
      g_string_append_printf (text, "%x\r\n%s\r\n", LARGE_BYTES / 4, body);
    else
      g_string_append (text, body);
  if (chunked)
    g_string_append (text, "0\r\nA: b\r\nB: c\r\n\r\n");
  g_free (body);
  return text;
}

/* A part of a large response is passed on before it is known that the rest is
 * missing. */
static void
play_large_case (struct play *play,
                 const GString *response,
                 size_t size,
                 bool whole)
{
  static const struct response get = { .method = "GET" };
  GString *text = g_string_new (NULL);
  struct raw_answer answer;
  int fd;

  raw_forget_failures (&play->rig);
  fd = send_request (play, &get);
  cr_assert (answer_and_end (play, response->str, size, ENDING_CLOSE));
  cr_expect (raw_read_all (&play->rig, fd, text), "%zu", size);
  answer = raw_parse (text, false);
  cr_expect_not (answer.extra, "%zu", size);
  if (whole)
    cr_expect_eq (answer.status, 200, "%zu: %u", size, answer.status);
  if (answer.status == 200)
    cr_expect_eq (answer.complete, whole, "%zu of %zu", size, response->len);
  else
    cr_expect_eq (answer.status, 502, "%zu: %u", size, answer.status);
  raw_reset (fd);
  raw_turn (&play->rig);
  raw_answer_clear (&answer);
  g_string_free (text, TRUE);
}

static size_t
next_cut (size_t size, size_t response_size)
{
  if (size < LARGE_EDGE_BYTES || size >= response_size - LARGE_EDGE_BYTES)
    return size + 1;
  return MIN (size + LARGE_STEP_BYTES, response_size - LARGE_EDGE_BYTES);
}

static void
play_large (unsigned host, bool chunked, bool until_close)
{
  struct play play;
  size_t head_size;
  GString *response = large_response (chunked, until_close, &head_size);
  size_t size = 0;

  start_beside_target (&play, host);
  install_route (&play.rig, "front", JL_RETRY_POLICY_DOWNLOAD);
  play.port = ENTRY_PORT;
  while (size <= response->len)
    {
      play_large_case (&play, response, size,
                       until_close ? size >= head_size : size == response->len);
      size = next_cut (size, response->len);
    }
  g_string_free (response, TRUE);
}

Test (cut, large_download_with_a_length)
{
  play_large (220, false, false);
}

Test (cut, large_download_in_chunks)
{
  play_large (221, true, false);
}

Test (cut, large_download_until_close)
{
  play_large (222, false, true);
}

#define PAGE                                                                   \
  "{\"rows\":[{\"table\":\"t\",\"key\":\"k\",\"value\":\"dA==\",\"ver\":4}],"  \
  "\"ver\":5,\"morePages\":false}"

static void
on_row (void *context, const struct jl_row *row)
{
  unsigned *rows = context;

  (void)row;
  (*rows)++;
}

static void
on_reachability (void *context, bool reachable, const char *why)
{
  (void)context;
  (void)reachable;
  (void)why;
}

static void
on_written (void *context, const char *table)
{
  (void)context;
  (void)table;
}

static void
on_restored (void *context, uint64_t before, uint64_t era)
{
  (void)context;
  (void)before;
  (void)era;
}

static const struct jl_store_ops store_ops = {
  .row = on_row,
  .reachable = on_reachability,
  .written = on_written,
  .restored = on_restored,
};

/* Answers one read of a table by the first @size bytes. Returns the number of
 * rows that the reader takes from it. */
static unsigned
read_cut_page (struct rig *rig,
               struct raw_peer *peer,
               const char *text,
               size_t size,
               bool reset)
{
  struct jl_proxy proxy = { .loop = jl_loop_new () };
  struct jl_proxy *before = rig->proxy;
  GString *request = g_string_new (NULL);
  unsigned rows = 0;
  struct jl_store *store;
  int fd;

  rig->proxy = &proxy;
  store = jl_store_new (proxy.loop, jl_net_new (proxy.loop),
                        rig_at (rig, OTHER_PORT), &store_ops, &rows);
  jl_store_watch (store, "t", 0, 1000, 0);
  fd = raw_accept_request (rig, peer, request);
  cr_assert_geq (fd, 0);
  raw_send (fd, text, size);
  if (reset)
    raw_reset (fd);
  else
    close (fd);
  for (unsigned i = 0; i < 3; i++)
    raw_turn (rig);
  rig->proxy = before;
  g_string_free (request, TRUE);
  return rows;
}

/* The store and its loop are left alone then, as the process ends soon. */
Test (cut, answer_of_the_store)
{
  char *with_length = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen (PAGE), PAGE);
  char *in_chunks = g_strdup_printf ("HTTP/1.1 200 OK\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n%zx\r\n"
                                     "%s\r\n0\r\nA: b\r\n\r\n",
                                     strlen (PAGE), PAGE);
  char *const texts[] = { with_length, in_chunks };
  struct raw_peer peer;
  struct rig rig;

  rig_prepare (&rig, 223);
  raw_peer_open (&peer, &rig, OTHER_PORT);
  for (unsigned i = 0; i < G_N_ELEMENTS (texts); i++)
    for (size_t size = 0; size <= strlen (texts[i]); size++)
      for (unsigned reset = 0; reset < 2; reset++)
        cr_expect_eq (read_cut_page (&rig, &peer, texts[i], size, reset > 0),
                      size == strlen (texts[i]), "%zu of %s", size, texts[i]);
  g_free (with_length);
  g_free (in_chunks);
}

#define POST "POST /x HTTP/1.1\r\nHost: a\r\n" ID "Connection: close\r\n"

/* Sends the first bytes of a request and ends. Returns whether a complete
 * request reached the target. */
static bool
reaches_target (struct play *play, const char *text, size_t size, bool reset)
{
  int fd = rig_send_request (&play->rig, ENTRY_PORT, "");
  GString *request = g_string_new (NULL);
  int target = -1;
  bool complete;

  raw_send (fd, text, size);
  for (unsigned i = 0; i < 3; i++)
    raw_turn (&play->rig);
  if (reset)
    raw_reset (fd);
  else
    close (fd);
  for (unsigned i = 0; i < 3 && target < 0; i++)
    target = raw_poll_request (&play->rig, &play->peer, request);
  raw_turn (&play->rig);
  if (target >= 0)
    {
      raw_read_available (target, request);
      close (target);
    }
  complete = strstr (request->str, "\r\n0\r\n\r\n") != NULL
             || strstr (request->str, "\r\n\r\nhello") != NULL;
  g_string_free (request, TRUE);
  return complete;
}

Test (cut, request_of_a_client)
{
  static const char *const texts[]
      = { POST "Content-Length: 5\r\n\r\nhello",
          POST "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n"
               "0\r\nA: b\r\n\r\n" };
  struct play play;

  start_beside_target (&play, 224);
  install_route (&play.rig, "front", JL_RETRY_POLICY_AT_MOST_ONCE);
  for (unsigned i = 0; i < G_N_ELEMENTS (texts); i++)
    for (size_t size = 0; size <= strlen (texts[i]); size++)
      for (unsigned reset = 0; reset < 2; reset++)
        cr_expect_eq (reaches_target (&play, texts[i], size, reset > 0),
                      size == strlen (texts[i]), "%zu of %s", size, texts[i]);
}
