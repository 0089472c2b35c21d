/**
 * DOC: Tests of bytes that a target sends in addition to its responses: they
 * must not make a request that has run look like one that has not.
 *
 * The tests act as the target, with blocking writes between runs of the loops.
 */

#include <criterion/criterion.h>

#include <string.h>
#include <unistd.h>

#include "proxy/parts/raw.h"

#define ID(id) "X-Jackdawladder-Attempt-Id: " id "\r\n"
#define NOT_EXECUTED "X-Jackdawladder-Not-Executed: 1\r\n"
#define SUCCESS(id)                                                            \
  "HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec 2026 14:00:00 GMT\r\n" ID (            \
      id) "Content-Length: 2\r\n\r\nok"
#define REFUSAL(id)                                                            \
  "HTTP/1.1 503 Service Unavailable\r\n" NOT_EXECUTED                          \
  "Date: Sat, 05 Dec 2026 14:00:00 GMT\r\nContent-Type: text/plain\r\n" ID (   \
      id) "Content-Length: 2\r\n\r\nno"

/**
 * struct play - a proxy and its target, a raw socket
 * @target: the connection of the request that arrived last
 */
struct play
{
  struct rig rig;
  struct raw_peer peer;
  int target;
};

static void
begin (struct play *play, unsigned host)
{
  memset (play, 0, sizeof *play);
  play->target = -1;
  rig_prepare (&play->rig, host);
  play->rig.options.heartbeat_us = 60 * JL_USEC_PER_SEC;
  raw_peer_open (&play->peer, &play->rig, TARGET_PORT);
  rig_start (&play->rig);
  rig_heartbeat (&play->rig, "i-1", 5, 1);
}

/* Sends work and lets the target read it, on the kept connection if there is
 * one. Returns the connection of the sender. */
static int
send_work (struct play *play, const char *id)
{
  char *text = g_strdup_printf (
      "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nConnection: close"
      "\r\nX-Jackdawladder-Attempt-Id: %s\r\n" JL_WORK_FIELD
      ": front 1 5000 300 00000001 0\r\n\r\n",
      id);
  int fd = rig_send_request (&play->rig, PEER_PORT, text);
  GString *request = g_string_new (NULL);
  bool is_open = true;

  if (play->target < 0)
    play->target = raw_accept_request (&play->rig, &play->peer, request);
  for (unsigned i = 0; i < 1000 && is_open && request->len == 0; i++)
    {
      rig_run (&play->rig, 1);
      is_open = raw_read_available (play->target, request);
    }
  cr_assert_gt (request->len, 0, "the target has not received %s", id);
  g_string_free (request, TRUE);
  g_free (text);
  return fd;
}

static void
answer (struct play *play, const char *text, size_t size)
{
  raw_send (play->target, text, size);
  rig_run (&play->rig, 5);
}

/* Returns what the sender of work receives until its connection ends. */
static struct raw_answer
receive (struct play *play, int fd)
{
  GString *text = g_string_new (NULL);
  struct raw_answer received;

  cr_assert (raw_read_all (&play->rig, fd, text), "no end after %s", text->str);
  received = raw_parse (text, false);
  g_string_free (text, TRUE);
  close (fd);
  return received;
}

/* Serves a request, so that the target's connection is kept. */
static void
serve_work (struct play *play)
{
  int fd = send_work (play, "5e7f");
  struct raw_answer received;

  answer (play, SUCCESS ("5e7f"), strlen (SUCCESS ("5e7f")));
  received = receive (play, fd);
  cr_assert_eq (received.status, 200);
  raw_answer_clear (&received);
}

/* Lets the target send @size bytes of @extra, and then @text. @parted: not
 * together. Expects that this is taken neither for a refusal of the request nor
 * for a response with another status than @status. */
static void
expect_no_refusal (struct play *play,
                   const char *extra,
                   size_t size,
                   bool parted,
                   const char *text,
                   unsigned status)
{
  GString *both = g_string_new_len (extra, (gssize)size);
  struct raw_answer received;
  int fd;

  serve_work (play);
  fd = send_work (play, "b");
  if (parted)
    {
      answer (play, extra, size);
      g_string_truncate (both, 0);
    }
  g_string_append (both, text);
  /* The proxy may have closed the connection for the first part. */
  (void)!write (play->target, both->str, both->len);
  rig_run (&play->rig, 5);
  close (play->target);
  play->target = -1;
  received = receive (play, fd);
  cr_expect (received.status == 502 || received.status == status,
             "%zu bytes: %s", size, received.head);
  cr_expect_null (strstr (received.head, "not-run"), "%zu bytes: %s", size,
                  received.head);
  raw_answer_clear (&received);
  g_string_free (both, TRUE);
}

/* Guards against a refusal that consists of the beginning of an earlier one and
 * of the response to a request that has run. */
Test (additional, bytes_before_a_response_make_no_refusal, .timeout = 120)
{
  static const char *const refusals[]
      = { REFUSAL ("a"),
          "HTTP/1.1 421 Misdirected Request\r\n"
          "X-Jackdawladder-Instance-Id: i-9\r\nDate: Sat, 05 Dec\r\n\r\n",
          "HTTP/1.1 503 No\r\nX-Jackdawladder-Attempt-Id: b\r\n" NOT_EXECUTED
          "Server: a\r\n b\r\n\r\n" };
  struct play play;

  begin (&play, 190);
  for (unsigned i = 0; i < G_N_ELEMENTS (refusals); i++)
    for (size_t size = 1; size < strlen (refusals[i]); size++)
      expect_no_refusal (&play, refusals[i], size, size % 2 == 0, SUCCESS ("b"),
                         200);
}

/* Guards against a success that is made of the beginning of an earlier one and
 * of a failure. */
Test (additional, bytes_before_a_failure_make_no_success, .timeout = 120)
{
  static const char failure[] = "HTTP/1.1 500 Internal Server Error\r\n" ID (
      "b") "Content-Length: 2\r\n\r\nno";
  static const char success[] = SUCCESS ("a");
  struct play play;

  begin (&play, 191);
  for (size_t size = 1; size < sizeof success; size++)
    expect_no_refusal (&play, success, size, false, failure, 500);
}

/* Guards against belief in a refusal after a response to another request. */
Test (additional, responses_end_the_belief_in_refusals)
{
  struct play play;

  begin (&play, 192);
  expect_no_refusal (&play, SUCCESS ("a"), strlen (SUCCESS ("a")), false,
                     REFUSAL ("b"), 502);
  expect_no_refusal (&play, REFUSAL ("a"), strlen (REFUSAL ("a")), true,
                     REFUSAL ("b"), 502);
}

Test (additional, fields_make_a_refusal_no_promise)
{
  static const char *const refusals[] = {
    "HTTP/1.1 503 No\r\n" NOT_EXECUTED NOT_EXECUTED ID ("b") "\r\n",
    "HTTP/1.1 503 No\r\n" NOT_EXECUTED ID ("b") ID ("b") "\r\n",
    "HTTP/1.1 503 No\r\n" NOT_EXECUTED ID ("b") ID ("a") "\r\n",
    "HTTP/1.1 503 No\r\n" NOT_EXECUTED ID ("a") ID ("b") "\r\n",
    "HTTP/1.1 200 OK\r\n" NOT_EXECUTED ID ("b") "\r\n",
    "HTTP/1.1 421 No\r\nX-Jackdawladder-Instance-Id: i-8\r\n"
    "X-Jackdawladder-Instance-Id: i-9\r\n\r\n",
  };
  struct play play;

  begin (&play, 193);
  for (unsigned i = 0; i < G_N_ELEMENTS (refusals); i++)
    expect_no_refusal (&play, "", 0, false, refusals[i], 502);
}

/* Guards against a rule that costs true refusals. */
Test (additional, a_sound_refusal_on_a_kept_connection_is_believed)
{
  static const char *const refusals[] = {
    REFUSAL ("b"),
    "HTTP/1.1 503 No\r\nServer: SimpleHTTP/0.6 Python/3.9\r\n"
    "Via: HTTP/1.1 gate\r\nContent-Length: 0\r\n" NOT_EXECUTED ID ("c") "\r\n"
  };
  static const char *const ids[] = { "b", "c" };
  struct play play;

  begin (&play, 194);
  for (unsigned i = 0; i < G_N_ELEMENTS (refusals); i++)
    {
      struct raw_answer received;
      int fd;

      play.target = -1;
      serve_work (&play);
      fd = send_work (&play, ids[i]);
      answer (&play, refusals[i], strlen (refusals[i]));
      received = receive (&play, fd);
      cr_expect_eq (received.status, 503, "%s", received.head);
      cr_expect_not_null (strstr (received.head, "not-run"), "%s",
                          received.head);
      raw_answer_clear (&received);
      close (play.target);
      rig_run (&play.rig, 5);
    }
}

/* Guards against a copy of a refusal on another connection than that of the
 * refusal itself. */
Test (additional, a_refused_attempt_comes_on_a_new_connection)
{
  struct play play;
  struct raw_answer received;
  int busy;
  int first;
  int fd;

  begin (&play, 214);
  busy = send_work (&play, "5e7f");
  first = play.target;
  play.target = -1;
  fd = send_work (&play, "b");
  answer (&play, REFUSAL ("b"), strlen (REFUSAL ("b")));
  received = receive (&play, fd);
  cr_assert_eq (received.status, 503);
  raw_answer_clear (&received);
  play.target = first;
  answer (&play, SUCCESS ("5e7f"), strlen (SUCCESS ("5e7f")));
  received = receive (&play, busy);
  cr_assert_eq (received.status, 200);
  raw_answer_clear (&received);
  play.target = -1;
  send_work (&play, "b");
  cr_assert_neq (play.target, first);
}
