/**
 * DOC: Tests of leaves and heartbeats of several starts of a target under one
 * identifier, which may be late.
 */

#include <criterion/criterion.h>

#include <string.h>

#include "proxy/parts/rig.h"

static void
begin (struct rig *rig, unsigned host)
{
  rig_prepare (rig, host);
  rig->options.heartbeat_us = 60 * JL_USEC_PER_SEC;
  rig_start (rig);
}

static uint64_t
wall_clock_ms (void)
{
  return (uint64_t)g_get_real_time () / JL_USEC_PER_MSEC;
}

static void
send_heartbeat (struct rig *rig, uint64_t born_ms, unsigned sequence)
{
  char address[JL_ENDPOINT_TEXT_SIZE];
  char *body;

  jl_endpoint_format (rig_at (rig, TARGET_PORT), address);
  body = g_strdup_printf (
      "{\"service\": \"front\", \"address\": \"%s\", \"slots\": 10, "
      "\"state\": \"ready\", \"sequence\": %u, \"born\": %" PRIu64 "}",
      address, sequence, born_ms);
  rig_announce (rig, "i-1", body);
  rig_run (rig, 30);
  g_free (body);
}

/* Announces the leave of the start at @born_ms, 0 for one without a body, and
 * expects that it is acknowledged. */
static void
send_leave (struct rig *rig, uint64_t born_ms)
{
  char *body = born_ms != 0
                   ? g_strdup_printf ("{\"born\": %" PRIu64 "}", born_ms)
                   : g_strdup ("");
  char *text
      = g_strdup_printf ("DELETE /api/instances/i-1 HTTP/1.1\r\nHost: a\r\n"
                         "Content-Length: %zu\r\n\r\n%s",
                         strlen (body), body);
  int fd = rig_send_request (rig, ANNOUNCE_PORT, text);
  const char *received;

  rig_run (rig, 1000);
  received = rig_received (fd);
  cr_assert (g_str_has_prefix (received, "HTTP/1.1 200"), "%s", received);
  g_free (text);
  g_free (body);
}

/* Guards against a target that takes work again after its leave, since the
 * first heartbeat of its last start came after the leave. */
Test (leave, of_a_start_that_was_not_heard_of_is_final)
{
  struct rig rig;

  begin (&rig, 202);
  send_heartbeat (&rig, 5000, 7);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_UP);
  send_leave (&rig, 9000);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_LEAVING);
  send_heartbeat (&rig, 9000, 1);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_LEAVING);
  send_heartbeat (&rig, 9001, 1);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_UP, "it is started again");
}

Test (leave, that_names_no_start_is_of_all_starts_before)
{
  struct rig rig;
  uint64_t now_ms = wall_clock_ms ();

  begin (&rig, 203);
  send_heartbeat (&rig, now_ms - 5000, 7);
  send_leave (&rig, 0);
  send_heartbeat (&rig, now_ms - 1000, 1);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_LEAVING);
  send_heartbeat (&rig, wall_clock_ms () + 1, 1);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_UP, "it is started again");
}

/* Guards against a late leave that ends the use of a later start. */
Test (leave, of_an_earlier_start_does_not_end_a_later_one)
{
  struct rig rig;

  begin (&rig, 204);
  send_heartbeat (&rig, 5000, 7);
  send_heartbeat (&rig, 9000, 1);
  send_leave (&rig, 5000);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_UP);
}
