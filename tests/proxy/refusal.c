/**
 * DOC: Tests of refusals by a target that belong to an earlier request, and of
 * kept connections to it.
 *
 * The tests act as the target, with blocking writes between runs of the loops.
 */

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/parts/rig.h"

#define REFUSAL(id)                                                            \
  "HTTP/1.1 503 Service Unavailable\r\nX-Jackdawladder-Attempt-Id: " id        \
  "\r\nX-Jackdawladder-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
#define ANONYMOUS_REFUSAL                                                      \
  "HTTP/1.1 503 Service Unavailable\r\nX-Jackdawladder-Not-Executed: 1\r\n"    \
  "Content-Length: 0\r\n\r\n"
#define MISDIRECTED(instance)                                                  \
  "HTTP/1.1 421 Misdirected Request\r\nX-Jackdawladder-Instance-Id: " instance \
  "\r\nContent-Length: 0\r\n\r\n"
#define SUCCESS(id)                                                            \
  "HTTP/1.1 200 OK\r\nX-Jackdawladder-Attempt-Id: " id                         \
  "\r\nContent-Length: 2\r\n\r\nok"

/**
 * struct play - a proxy and its target, a raw socket
 * @target: the connection of the request that arrived last
 * @listener: the target's socket, does not block
 * @accepted: number of connections that the target has accepted
 */
struct play
{
  struct rig rig;
  int listener;
  int target;
  unsigned accepted;
};

static void
begin (struct play *play, unsigned host)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int on = 1;

  memset (play, 0, sizeof *play);
  play->target = -1;
  rig_prepare (&play->rig, host);
  address.sin_addr.s_addr = htonl (play->rig.options.ip);
  address.sin_port = htons (TARGET_PORT);
  play->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  setsockopt (play->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  cr_assert_eq (
      bind (play->listener, (struct sockaddr *)&address, sizeof address), 0);
  cr_assert_eq (listen (play->listener, 8), 0);
  rig_start (&play->rig);
  rig_heartbeat (&play->rig, "i-1", 5, 1);
}

/* Sends work with an attempt identifier, "" for none, and lets the target read
 * it. Returns the connection of the sender. */
static int
send_work (struct play *play, const char *id)
{
  char *field
      = *id == '\0'
            ? g_strdup ("")
            : g_strdup_printf ("X-Jackdawladder-Attempt-Id: %s\r\n", id);
  char *text
      = g_strdup_printf ("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n"
                         "%s" JL_WORK_FIELD ": front 1 5000 300 00000001 0\r\n"
                         "\r\n",
                         field);
  int fd = rig_send_request (&play->rig, PEER_PORT, text);
  char request[2048];
  int connection;

  rig_run (&play->rig, 30);
  connection = accept (play->listener, NULL, NULL);
  if (connection >= 0)
    {
      play->target = connection;
      play->accepted++;
    }
  cr_assert_gt (recv (play->target, request, sizeof request, MSG_DONTWAIT), 0,
                "the target has not received the request %s", id);
  g_free (text);
  g_free (field);
  return fd;
}

/* Lets the target write something; returns what the sender of work receives. */
static const char *
answer (struct play *play, const char *text, int fd)
{
  cr_assert_eq (send (play->target, text, strlen (text), MSG_NOSIGNAL),
                (ssize_t)strlen (text));
  rig_run (&play->rig, 30);
  return rig_received (fd);
}

/* Sends work, refuses it, and expects that the refusal is passed on. */
static void
refuse_work (struct play *play, const char *id, const char *refusal)
{
  const char *received = answer (play, refusal, send_work (play, id));

  cr_assert (g_str_has_prefix (received, "HTTP/1.1 503"), "%s", received);
  cr_assert_not_null (strstr (received, JL_OUTCOME_FIELD ": not-run"), "%s",
                      received);
}

/* Serves a request, so that the target's connection is kept. */
static void
serve_work (struct play *play)
{
  const char *received
      = answer (play, SUCCESS ("5e7f"), send_work (play, "5e7f"));

  cr_assert (g_str_has_prefix (received, "HTTP/1.1 200"), "%s", received);
}

Test (refusal,
      of_an_earlier_request_is_not_taken_for_one_of_the_present_request)
{
  struct play play;
  const char *received;
  int fd;

  begin (&play, 10);
  serve_work (&play);
  fd = send_work (&play, "b");
  cr_assert_eq (play.accepted, 1, "the connection is not reused");
  received = answer (&play, REFUSAL ("a"), fd);
  cr_assert_str_eq (received, "", "%s", received);
  received = answer (&play, SUCCESS ("b"), fd);
  cr_assert (g_str_has_prefix (received, "HTTP/1.1 200"), "%s", received);
  cr_assert_eq (play.rig.proxy->counters.work_refused, 0);
  cr_assert_eq (play.rig.proxy->counters.responses_dropped, 1);
}

Test (refusal, and_the_next_answer_in_one_packet_are_told_apart)
{
  struct play play;
  const char *received;

  begin (&play, 11);
  serve_work (&play);
  received
      = answer (&play, REFUSAL ("a") SUCCESS ("b"), send_work (&play, "b"));
  cr_assert (g_str_has_prefix (received, "HTTP/1.1 200"), "%s", received);
}

Test (refusal, of_the_same_attempt_cannot_come_again_on_its_connection)
{
  struct play play;

  begin (&play, 12);
  refuse_work (&play, "a", REFUSAL ("a"));
  send_work (&play, "a");
  cr_assert_eq (play.accepted, 2, "the attempt came on the same connection");
}

Test (refusal, keeps_its_connection_for_some_other_attempts)
{
  struct play play;

  begin (&play, 18);
  for (unsigned i = 0; i <= JL_CONN_MARKS_MAX; i++)
    {
      char *id = g_strdup_printf ("a%u", i);
      char *text = g_strdup_printf (
          "HTTP/1.1 503 Service Unavailable\r\n"
          "X-Jackdawladder-Attempt-Id: %s\r\n"
          "X-Jackdawladder-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
          id);

      refuse_work (&play, id, text);
      g_free (text);
      g_free (id);
    }
  cr_assert_eq (play.accepted, 1);
  send_work (&play, "b");
  cr_assert_eq (play.accepted, 2);
}

Test (refusal, without_an_identifier_ends_its_connection)
{
  struct play play;

  begin (&play, 19);
  refuse_work (&play, "a", ANONYMOUS_REFUSAL);
  send_work (&play, "b");
  cr_assert_eq (play.accepted, 2);
}

Test (refusal, without_an_identifier_on_a_kept_connection_promises_nothing)
{
  struct play play;
  const char *received;

  begin (&play, 13);
  serve_work (&play);
  received = answer (&play, ANONYMOUS_REFUSAL, send_work (&play, "b"));
  cr_assert (g_str_has_prefix (received, "HTTP/1.1 502"), "%s", received);
  cr_assert_not_null (strstr (received, JL_OUTCOME_FIELD ": unknown"), "%s",
                      received);
}

Test (refusal, without_an_identifier_on_a_kept_connection_ends_it)
{
  struct play play;

  begin (&play, 20);
  serve_work (&play);
  answer (&play, ANONYMOUS_REFUSAL, send_work (&play, "b"));
  send_work (&play, "c");
  cr_assert_eq (play.accepted, 2,
                "the connection on which b may still be answered is used");
}

Test (refusal, by_another_instance_needs_no_identifier)
{
  struct play play;
  const char *received;

  begin (&play, 21);
  serve_work (&play);
  received = answer (&play, MISDIRECTED ("i-9"), send_work (&play, "b"));
  cr_assert (g_str_has_prefix (received, "HTTP/1.1 503"), "%s", received);
  cr_assert_not_null (strstr (received, JL_OUTCOME_FIELD ": not-run"), "%s",
                      received);
}

Test (refusal, by_the_instance_that_was_asked_for_promises_nothing)
{
  struct play play;
  const char *received;

  begin (&play, 22);
  serve_work (&play);
  received = answer (&play, MISDIRECTED ("i-1"), send_work (&play, "b"));
  cr_assert (g_str_has_prefix (received, "HTTP/1.1 502"), "%s", received);
}

Test (refusal, without_an_identifier_on_a_new_connection_is_believed)
{
  struct play play;

  begin (&play, 14);
  refuse_work (&play, "a", ANONYMOUS_REFUSAL);
}

Test (refusal, of_an_earlier_request_does_not_reach_one_without_identifier)
{
  struct play play;

  begin (&play, 15);
  serve_work (&play);
  send_work (&play, "");
  cr_assert_eq (play.accepted, 2, "a connection that was kept is used");
}

Test (refusal, that_does_not_say_that_the_request_has_not_run_is_no_promise)
{
  static const char *const lines[]
      = { "408 Request Timeout", "429 Too Many Requests",
          "503 Service Unavailable" };
  struct play play;

  begin (&play, 16);
  for (unsigned i = 0; i < G_N_ELEMENTS (lines); i++)
    {
      char *text
          = g_strdup_printf ("HTTP/1.1 %s\r\nX-Jackdawladder-Attempt-Id: b\r\n"
                             "Content-Length: 0\r\n\r\n",
                             lines[i]);
      const char *received = answer (&play, text, send_work (&play, "b"));

      cr_assert (g_str_has_prefix (received, "HTTP/1.1 502"), "%s", received);
      cr_assert_not_null (strstr (received, JL_OUTCOME_FIELD ": unknown"), "%s",
                          received);
      g_free (text);
    }
}

Test (refusal, after_a_dropped_answer_the_connection_is_not_used_again)
{
  struct play play;
  const char *received;

  begin (&play, 17);
  serve_work (&play);
  received
      = answer (&play, REFUSAL ("a") SUCCESS ("b"), send_work (&play, "b"));
  cr_assert (g_str_has_prefix (received, "HTTP/1.1 200"), "%s", received);
  send_work (&play, "c");
  cr_assert_eq (play.accepted, 2, "the connection is used again");
}

/* The target closes them then, maybe while a request is on its way. */
Test (kept_connections, are_not_used_beyond_the_time_that_the_target_names)
{
  struct play play;
  const char *received;

  begin (&play, 23);
  received = answer (&play,
                     "HTTP/1.1 200 OK\r\nX-Jackdawladder-Attempt-Id: a\r\n"
                     "Keep-Alive: timeout=1, max=9\r\nContent-Length: 0\r\n"
                     "\r\n",
                     send_work (&play, "a"));
  cr_assert (g_str_has_prefix (received, "HTTP/1.1 200"), "%s", received);
  rig_run (&play.rig, 900);
  send_work (&play, "b");
  cr_assert_eq (play.accepted, 2, "a connection is used as it is closed");
}

Test (kept_connections, are_used_within_the_time_that_the_target_names)
{
  struct play play;

  begin (&play, 24);
  answer (&play,
          "HTTP/1.1 200 OK\r\nX-Jackdawladder-Attempt-Id: a\r\n"
          "Keep-Alive: timeout=30\r\nContent-Length: 0\r\n\r\n",
          send_work (&play, "a"));
  send_work (&play, "b");
  cr_assert_eq (play.accepted, 1);
}
