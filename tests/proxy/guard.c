/**
 * DOC: Tests of the guard of a complete proxy and its target.
 */

#include <criterion/criterion.h>

#include <string.h>
#include <unistd.h>

#include "proxy/parts/rig.h"

#define WORK_FIELDS                                                            \
  "Host: a\r\nX-Jackdawladder-Attempt-Id: 1\r\n" JL_WORK_FIELD                 \
  ": front 1 5000 300 00000001 1\r\n\r\n"

/* A target that resets connections when a request has arrived, or at once. */
static void
on_reset (void *context, struct jl_request *request)
{
  unsigned *request_count = context;

  (*request_count)++;
  jl_request_abort (request);
}

/* A target that never answers. */
static void
on_silence (void *context, struct jl_request *request)
{
  unsigned *request_count = context;

  (void)request;
  (*request_count)++;
}

static void
on_accept_and_reset (void *context, struct jl_conn *conn)
{
  unsigned *request_count = context;

  (*request_count)++;
  jl_conn_abort (conn);
}

static void
open_target (struct rig *rig,
             const struct jl_handler *handler,
             unsigned *request_count)
{
  const char *why = NULL;

  *request_count = 0;
  cr_assert_not_null (jl_server_open (rig->store.net, rig_at (rig, TARGET_PORT),
                                      handler, request_count, &why),
                      "%s", why);
}

static int
send_work (struct rig *rig)
{
  return rig_send_request (rig, PEER_PORT, "GET /x HTTP/1.1\r\n" WORK_FIELDS);
}

Test (guard,
      sends_nothing_to_an_ended_target_behind_which_connections_are_reset)
{
  struct rig rig;
  unsigned connections = 0;
  const char *why = NULL;

  rig_prepare (&rig, 20);
  cr_assert (jl_net_listen (rig.store.net, rig_at (&rig, TARGET_PORT),
                            on_accept_and_reset, &connections, &why));
  rig_start (&rig);
  rig_heartbeat (&rig, "i-1", 5, 1);
  send_work (&rig);
  rig_run (&rig, 200);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_DOWN);
  cr_assert_eq (rig.proxy->counters.targets_ended, 1);
  rig_heartbeat (&rig, "i-2", 6, 1);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_UP, "a new incarnation");
}

Test (guard, sends_nothing_to_a_target_without_answers_and_heartbeats)
{
  static const struct jl_handler handler = { .begin = on_silence };
  struct rig rig;
  unsigned requests;

  rig_prepare (&rig, 21);
  rig.options.heartbeat_us = 200 * JL_USEC_PER_MSEC;
  open_target (&rig, &handler, &requests);
  rig_start (&rig);
  rig_heartbeat (&rig, "i-1", 5, 1);
  send_work (&rig);
  rig_run (&rig, 800);
  cr_assert_eq (requests, 1);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_DOWN);
}

Test (guard, keeps_a_target_that_loses_answers_but_accepts_connections)
{
  static const struct jl_handler handler = { .begin = on_reset };
  struct rig rig;
  unsigned requests;

  rig_prepare (&rig, 22);
  open_target (&rig, &handler, &requests);
  rig_start (&rig);
  rig_heartbeat (&rig, "i-1", 5, 1);
  for (unsigned i = 0; i < 5; i++)
    {
      send_work (&rig);
      rig_run (&rig, 150);
    }
  cr_assert_eq (requests, 5);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_UP);
  cr_assert_eq (rig.proxy->counters.targets_ended, 0);
}
