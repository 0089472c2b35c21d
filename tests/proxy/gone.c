/**
 * DOC: Tests of requests whose senders have left while they are not read, and
 * of work that nobody waits for.
 */

#include <criterion/criterion.h>

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/parts/raw.h"

/* More than a guard buffers of work that waits, and more than the kernel holds
 * on the way. */
#define BODY_BYTES 80000
#define LARGE_BODY_BYTES 24000000
/* Time within which a daemon notices that a sender has left. */
#define NOTICED_MS 300
/* Time of which the requests below say that it is left, and time after it by
 * which nobody waits for them. */
#define LEFT_MS 300
#define ENDED_MS 700
#define WORK_FIELDS                                                            \
  "Host: a\r\nX-Jackdawladder-Attempt-Id: 1\r\n" JL_WORK_FIELD                 \
  ": front 1 %u 300 00000001 1\r\n"
#define HEAD                                                                   \
  "HTTP/1.1 200 OK\r\nX-Jackdawladder-Attempt-Id: 1\r\n"                       \
  "Content-Length: 4\r\n\r\n"

static void
begin (struct rig *rig, struct raw_peer *target, unsigned host)
{
  rig_prepare (rig, host);
  rig->options.heartbeat_us = 60 * JL_USEC_PER_SEC;
  raw_peer_open (target, rig, TARGET_PORT);
  rig_start (rig);
  rig_heartbeat (rig, "i-1", 5, 1);
}

/* Sends work without a body to the guard. */
static int
send_work (struct rig *rig, unsigned left_ms)
{
  char *text
      = g_strdup_printf ("GET /x HTTP/1.1\r\n" WORK_FIELDS "\r\n", left_ms);
  int fd = rig_send_request (rig, PEER_PORT, text);

  g_free (text);
  return fd;
}

/* Sends the head of an upload, and as much of its body as there is room for. */
static int
send_upload (struct rig *rig, size_t bytes)
{
  char *text = g_strdup_printf (
      "POST /x HTTP/1.1\r\nContent-Length: %zu\r\n" WORK_FIELDS "\r\n", bytes,
      5000);
  int fd = rig_send_request (rig, PEER_PORT, text);
  char *body = g_malloc0 (bytes);
  size_t sent = 0;

  g_free (text);
  for (unsigned i = 0; i < 100 && sent < bytes; i++)
    {
      ssize_t size
          = send (fd, body + sent, bytes - sent, MSG_DONTWAIT | MSG_NOSIGNAL);

      sent += size > 0 ? (size_t)size : 0;
      rig_run (rig, 5);
    }
  g_free (body);
  return fd;
}

/* Closes a connection as a daemon does that gives a request up. */
static void
reset (int fd)
{
  static const struct linger linger = { 1, 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
}

/* Plays an upload that waits for a slot while its sender leaves. */
static void
play_waiting (unsigned host, size_t bytes, void (*leave) (int fd))
{
  struct rig rig;
  struct raw_peer target;
  unsigned running;
  int fd;

  begin (&rig, &target, host);
  running = rig.proxy->lane.limit;
  for (unsigned i = 0; i < running; i++)
    send_work (&rig, 5000);
  rig_run (&rig, 50);
  fd = send_upload (&rig, bytes);
  cr_assert_eq (rig.proxy->lane.running, running);
  cr_assert_eq (rig.proxy->lane.waiting, 1);
  leave (fd);
  rig_run (&rig, NOTICED_MS);
  cr_assert_eq (rig.proxy->lane.waiting, 0);
  cr_assert_eq (rig.proxy->lane.running, running);
}

static void
close_socket (int fd)
{
  close (fd);
}

/* Guards against uploads that reach the target after their clients have left:
 * the guard does not read what waits for a slot. */
Test (gone, an_upload_that_waits_is_dropped_when_its_sender_closes)
{
  play_waiting (160, BODY_BYTES, close_socket);
}

/* The same with more than the kernel holds on the way. */
Test (gone, a_large_upload_that_waits_is_dropped_when_its_sender_resets_it)
{
  play_waiting (164, LARGE_BODY_BYTES, reset);
}

/* Guards against slots that are held for good: the target reads no more of an
 * upload, so the guard does not read either when the entry resets it. */
Test (gone, an_upload_that_is_stuck_is_dropped_when_its_sender_resets_it)
{
  struct rig rig;
  struct raw_peer target;
  int fd;

  begin (&rig, &target, 161);
  fd = send_upload (&rig, LARGE_BODY_BYTES);
  cr_assert_eq (rig.proxy->lane.running, 1);
  reset (fd);
  rig_run (&rig, NOTICED_MS);
  cr_assert_eq (rig.proxy->lane.running, 0);
}

/* Guards against slots that are held for good by requests that the target does
 * not answer, and whose entry's connection has gone silent. */
Test (gone, work_that_nobody_waits_for_frees_its_slot)
{
  struct rig rig;
  struct raw_peer target;
  GString *text = g_string_new (NULL);
  int fd;

  begin (&rig, &target, 162);
  fd = send_work (&rig, LEFT_MS);
  rig_run (&rig, LEFT_MS);
  cr_assert_eq (rig.proxy->lane.running, 1);
  rig_run (&rig, ENDED_MS);
  cr_assert_eq (rig.proxy->lane.running, 0);
  cr_assert_eq (rig.proxy->counters.runs_abandoned, 1);
  cr_assert (raw_read_all (&rig, fd, text));
  cr_assert_str_eq (text->str, "", "nothing says that it has not run");
}

/* A late answer is delivered while somebody may wait, and one that has begun
 * also later. */
Test (gone, late_answers_are_delivered)
{
  struct rig rig;
  struct raw_peer target;
  GString *request = g_string_new (NULL);
  int fd;
  int run;

  begin (&rig, &target, 163);
  fd = send_work (&rig, LEFT_MS);
  run = raw_accept_request (&rig, &target, request);
  cr_assert_geq (run, 0);
  rig_run (&rig, LEFT_MS + 100);
  cr_assert_gt (send (run, HEAD "ab", strlen (HEAD) + 2, MSG_NOSIGNAL), 0);
  rig_run (&rig, ENDED_MS + 300);
  cr_assert_eq (rig.proxy->lane.running, 1);
  cr_assert_gt (send (run, "cd", 2, MSG_NOSIGNAL), 0);
  rig_run (&rig, 50);
  cr_assert (g_str_has_suffix (rig_received (fd), "\r\n\r\nabcd"));
  cr_assert_eq (rig.proxy->lane.running, 0);
  cr_assert_eq (rig.proxy->counters.runs_abandoned, 0);
}
