/**
 * DOC: Tests of uploads to targets that read nothing for some time, and of the
 * detection of peers that are gone.
 */

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/conn-impl.h"
#include "proxy/parts/raw.h"

/* More than the kernel holds on the way. */
#define UPLOAD_BYTES 24000000
/* Time for which the target reads nothing: longer than a peer that is gone may
 * be silent. */
#define SILENT_MS 3300
#define RESPONSE                                                               \
  "HTTP/1.1 200 OK\r\nX-Jackdawladder-Attempt-Id: 1\r\n"                       \
  "Content-Length: 2\r\n\r\nok"
#define MS JL_USEC_PER_MSEC

/* Passes a part of the upload on, if there is room for it. */
static void
send_part (int fd, size_t *left)
{
  static const char data[16384];
  ssize_t size = 0;

  while (*left > 0 && size >= 0)
    {
      size = send (fd, data, MIN (*left, sizeof data),
                   MSG_DONTWAIT | MSG_NOSIGNAL);
      if (size > 0)
        *left -= (size_t)size;
    }
}

/* Plays an upload at the entry or the guard whose target begins to work at the
 * head and reads the body late. */
static void
play_upload (unsigned host, uint16_t port, const char *work)
{
  struct rig rig;
  struct raw_peer peer;
  GString *text = g_string_new (NULL);
  GString *request = g_string_new (NULL);
  struct raw_answer answer;
  size_t left = UPLOAD_BYTES;
  int receive_bytes = 16384;
  int target;
  int fd;
  uint64_t end_us;

  rig_prepare (&rig, host);
  rig.options.heartbeat_us = 60 * JL_USEC_PER_SEC;
  raw_peer_open (&peer, &rig, TARGET_PORT);
  setsockopt (peer.listener, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
              sizeof receive_bytes);
  rig_start (&rig);
  rig_heartbeat (&rig, "i-1", 5, 1);
  g_string_printf (text,
                   "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                   "X-Jackdawladder-Attempt-Id: 1\r\nContent-Length: %d\r\n"
                   "%s\r\n",
                   UPLOAD_BYTES, work);
  fd = rig_send_request (&rig, port, text->str);
  send_part (fd, &left);
  target = raw_accept_request (&rig, &peer, request);
  cr_assert_geq (target, 0);
  end_us = jl_now () + SILENT_MS * MS;
  while (jl_now () < end_us)
    {
      rig_run (&rig, 5);
      send_part (fd, &left);
    }
  cr_assert_str_eq (rig_received (fd), "", "the upload was broken off");
  cr_assert_gt (left, 0, "the kernel has taken the whole upload");
  end_us = jl_now () + 5 * JL_USEC_PER_SEC;
  while (request->len < UPLOAD_BYTES && jl_now () < end_us
         && raw_read_available (target, request))
    {
      raw_turn (&rig);
      send_part (fd, &left);
    }
  cr_assert_geq (request->len, UPLOAD_BYTES, "the upload was broken off");
  raw_send (target, RESPONSE, strlen (RESPONSE));
  g_string_truncate (text, 0);
  cr_assert (raw_read_all (&rig, fd, text));
  answer = raw_parse (text, false);
  cr_assert_eq (answer.status, 200, "%s", text->str);
}

/* Guards against the end of an upload whose target is silent but alive. */
Test (upload, is_awaited_while_its_target_reads_nothing, .timeout = 30)
{
  play_upload (200, PEER_PORT,
               JL_WORK_FIELD ": front 1 9000 300 00000001 0\r\n");
}

/* What the kernel states 2.5 s after a peer ended or its host froze, and while
 * one that is alive has closed its window. */
Test (upload, a_peer_that_acknowledges_nothing_is_lost)
{
  struct jl_ack_state gone = { .unacked = true,
                               .unanswered = 3,
                               .interval_us = 1600 * MS,
                               .waited_us = 2500 * MS,
                               .quiet_us = 2500 * MS };
  struct jl_ack_state probed = { .unanswered = 2,
                                 .interval_us = 3200 * MS,
                                 .waited_us = 9000 * MS,
                                 .quiet_us = 4900 * MS };

  cr_assert (jl_ack_is_overdue (&gone));
  cr_assert (jl_ack_is_overdue (&probed));
}

Test (upload, a_peer_that_acknowledges_something_is_not_lost)
{
  struct jl_ack_state idle_before = { .unacked = true,
                                      .unanswered = 2,
                                      .interval_us = 800 * MS,
                                      .waited_us = 700 * MS,
                                      .quiet_us = 60000 * MS };
  struct jl_ack_state probed = { .unanswered = 0,
                                 .interval_us = 6400 * MS,
                                 .waited_us = 9000 * MS,
                                 .quiet_us = 6300 * MS };
  struct jl_ack_state shrunk = { .unacked = true,
                                 .unanswered = 5,
                                 .interval_us = 6400 * MS,
                                 .waited_us = 9000 * MS,
                                 .quiet_us = 6300 * MS };

  cr_assert_not (jl_ack_is_overdue (&idle_before));
  cr_assert_not (jl_ack_is_overdue (&probed));
  cr_assert_not (jl_ack_is_overdue (&shrunk));
}
