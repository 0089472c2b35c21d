/**
 * DOC: Tests of responses whose ends wait for clients that read slowly, while
 * the process stops or the connection seems to be idle.
 */

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/parts/raw.h"

#define REQUEST                                                                \
  "GET /x HTTP/1.1\r\nHost: a\r\nX-Jackdawladder-Attempt-Id: 1\r\n"
#define HEAD                                                                   \
  "HTTP/1.1 200 OK\r\nX-Jackdawladder-Attempt-Id: 1\r\n"                       \
  "Transfer-Encoding: chunked\r\n\r\n"
/* Size of a part of the body, so that less than JL_CONN_HIGH_WATER_BYTES wait
 * when the first part does. */
#define PART_BYTES 4096
/* Parts that are more than the kernel holds for a client that does not read. */
#define PARTS_MAX 4096
/* Time after which the kernel takes no more output. */
#define SETTLE_MS 30
#define IDLE_TIMEOUT_US (50 * JL_USEC_PER_MSEC)

/**
 * struct play - a proxy, its target, and a client that reads slowly
 * @body_bytes: size of the response's body
 */
struct play
{
  struct rig rig;
  struct raw_peer peer;
  int client;
  size_t body_bytes;
};

/* Connects a client with a small receive buffer, and sends a request. */
static void
connect_client (struct play *play, uint16_t port, const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int bytes = 4096;

  play->client = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (play->client, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  address.sin_addr.s_addr = htonl (play->rig.options.ip);
  address.sin_port = htons (port);
  cr_assert_eq (
      connect (play->client, (struct sockaddr *)&address, sizeof address), 0);
  raw_send (play->client, text, strlen (text));
}

/* Lets the target respond until the end of the response waits in the proxy, and
 * no longer, so that the proxy has read the whole response. */
static void
respond (struct play *play, int target)
{
  GString *part = g_string_new (NULL);

  g_string_append_printf (part, "%x\r\n", PART_BYTES);
  g_string_set_size (part, part->len + PART_BYTES);
  memset (part->str + part->len - PART_BYTES, 'x', PART_BYTES);
  g_string_append (part, "\r\n");
  raw_send (target, HEAD, strlen (HEAD));
  for (unsigned i = 0;
       i < PARTS_MAX && !jl_net_has_unsent_output (play->rig.proxy->net); i++)
    {
      raw_send (target, part->str, part->len);
      play->body_bytes += PART_BYTES;
      rig_run (&play->rig, 1);
      /* The kernel may yet enlarge its buffer. */
      if (jl_net_has_unsent_output (play->rig.proxy->net))
        rig_run (&play->rig, SETTLE_MS);
    }
  raw_send (target, "0\r\n\r\n", 5);
  rig_run (&play->rig, 20);
  cr_assert (jl_net_has_unsent_output (play->rig.proxy->net));
  cr_assert (cds_list_empty (&play->rig.proxy->work_items));
  cr_assert (cds_list_empty (&play->rig.proxy->calls));
  g_string_free (part, TRUE);
}

static void
install_route (struct rig *rig)
{
  const struct jl_split split = { "front", 1 };
  struct jl_route route = { .name = "slow",
                            .host = "a",
                            .prefix = "/",
                            .timeout_us = 20 * JL_USEC_PER_SEC,
                            .attempts_max = 1,
                            .split_count = 1,
                            .split = &split };
  struct jl_site *site = jl_site_new (1);

  jl_site_add_route (site, &route);
  jl_site_seal (site);
  rig->proxy->site = site;
}

/* Sends a request to the entry or the guard, on a connection that is kept, and
 * lets the end of its response wait for the client. */
static void
begin (struct play *play, unsigned host, uint16_t port)
{
  GString *request = g_string_new (NULL);

  memset (play, 0, sizeof *play);
  rig_prepare (&play->rig, host);
  raw_peer_open (&play->peer, &play->rig, TARGET_PORT);
  rig_start (&play->rig);
  rig_heartbeat (&play->rig, "i-1", 5, 1);
  install_route (&play->rig);
  connect_client (play, port,
                  port == ENTRY_PORT ? REQUEST "\r\n"
                                     : REQUEST JL_WORK_FIELD
                      ": front 1 5000 300 00000001 0\r\n\r\n");
  respond (play, raw_accept_request (&play->rig, &play->peer, request));
  g_string_free (request, TRUE);
}

/* Reads until the response is complete, or the connection ends. */
static void
expect_whole_response (struct play *play)
{
  GString *text = g_string_new (NULL);
  struct raw_answer answer = { 0 };
  uint64_t end_us = jl_now () + 10 * JL_USEC_PER_SEC;

  while (raw_read_available (play->client, text) && jl_now () < end_us
         && !g_str_has_suffix (text->str, "\r\n0\r\n\r\n"))
    raw_turn (&play->rig);
  answer = raw_parse (text, false);
  cr_assert_eq (answer.status, 200);
  cr_assert (answer.complete, "%zu of %zu bytes", answer.body->len,
             play->body_bytes);
  cr_assert_eq (answer.body->len, play->body_bytes);
  raw_answer_clear (&answer);
  g_string_free (text, TRUE);
}

static void
play_stop (unsigned host, uint16_t port)
{
  struct play play;
  struct jl_timer *timer;

  begin (&play, host, port);
  timer = &play.rig.proxy->stop_timer;
  raise (SIGTERM);
  rig_run (&play.rig, 100);
  cr_assert (play.rig.proxy->stopping);
  play.rig.proxy->stop_began_us = jl_now () - 4 * JL_USEC_PER_SEC;
  rig_run (&play.rig, 200);
  cr_assert_neq (timer->heap_position, 0, "the process has ended");
  expect_whole_response (&play);
  rig_run (&play.rig, 300);
  cr_assert_eq (timer->heap_position, 0, "the process has not ended");
  cr_assert_eq (play.rig.proxy->exit_status, 0);
}

/* Guards against a process that exits while ends of responses wait. */
Test (pending, a_stop_awaits_the_ends_of_responses_to_clients)
{
  play_stop (195, ENTRY_PORT);
}

Test (pending, a_stop_awaits_the_ends_of_responses_to_entries)
{
  play_stop (199, PEER_PORT);
}

/* Guards against a process that outlasts the grace period for a client that
 * reads nothing. */
Test (pending, a_stop_ends_with_the_grace_period)
{
  struct play play;

  begin (&play, 196, ENTRY_PORT);
  raise (SIGTERM);
  rig_run (&play.rig, 100);
  play.rig.proxy->stop_began_us
      = jl_now () - play.rig.options.grace_us + 300 * JL_USEC_PER_MSEC;
  rig_run (&play.rig, 200);
  cr_assert_eq (play.rig.proxy->stop_timer.heap_position, 0);
  cr_assert_neq (play.rig.proxy->exit_status, 0);
}

/* Guards against an idle timeout that closes connections with output. */
Test (pending, a_connection_with_output_is_not_idle)
{
  struct play play;
  struct jl_net *net;

  begin (&play, 197, ENTRY_PORT);
  net = play.rig.proxy->net;
  jl_net_set_limits (net, 65536, 10 * JL_USEC_PER_SEC, IDLE_TIMEOUT_US);
  g_usleep (2 * IDLE_TIMEOUT_US);
  rig_run (&play.rig, 20);
  jl_net_close_expired (net);
  expect_whole_response (&play);
}

/* The timeout still holds, from the end of the response on. */
Test (pending, a_connection_without_output_becomes_idle)
{
  struct play play;
  struct jl_net *net;
  char byte;

  begin (&play, 198, ENTRY_PORT);
  net = play.rig.proxy->net;
  expect_whole_response (&play);
  jl_net_set_limits (net, 65536, 10 * JL_USEC_PER_SEC, IDLE_TIMEOUT_US);
  g_usleep (2 * IDLE_TIMEOUT_US);
  rig_run (&play.rig, 20);
  jl_net_close_expired (net);
  rig_run (&play.rig, 20);
  cr_assert_eq (recv (play.client, &byte, 1, MSG_DONTWAIT), 0);
}
