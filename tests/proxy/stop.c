/**
 * DOC: Tests of requests late in a planned stop of their entry.
 */

#include <criterion/criterion.h>

#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "proxy/parts/rig.h"

/* Time that a busy machine may need to answer. */
#define ANSWER_MS 400

/* A daemon of a target that never answers. */
static void
on_silence (void *context, struct jl_request *request)
{
  unsigned *request_count = context;

  (void)request;
  (*request_count)++;
}

/* Starts a proxy with a route of calls, and a daemon for them. */
static void
begin (struct rig *rig, unsigned host, unsigned *request_count)
{
  static const struct jl_handler handler = { .begin = on_silence };
  const char *why = NULL;

  *request_count = 0;
  rig_prepare (rig, host);
  cr_assert_not_null (jl_server_open (rig->store.net, rig_at (rig, OTHER_PORT),
                                      &handler, request_count, &why),
                      "%s", why);
  rig_start (rig);
  rig_install_call_route (rig);
  rig_add_member (rig, "d6", "z1", "deep");
}

/* Moves the begin of the stop so that it seems to last for @ms. */
static void
set_stop_age (struct rig *rig, unsigned ms)
{
  rig->proxy->stop_began_us = jl_now () - ms * JL_USEC_PER_MSEC;
}

static void
stop (struct rig *rig, unsigned age_ms)
{
  raise (SIGTERM);
  rig_run (rig, 30);
  cr_assert (rig->proxy->stopping);
  set_stop_age (rig, age_ms);
}

/* Sends a request of the route of calls; the listing of its route is renewed.
 */
static int
send_request (struct rig *rig, unsigned deadline_ms)
{
  char *text = g_strdup_printf ("POST /x HTTP/1.1\r\nHost: a\r\n"
                                "X-Jackdawladder-Attempt-Id: a\r\n"
                                "X-Jackdawladder-Deadline-Ms: %u\r\n"
                                "Content-Length: 0\r\n\r\n",
                                deadline_ms);
  int fd;

  rig->proxy->call_routes[0] = jl_name_key ("inner");
  rig->proxy->call_route_count = 1;
  fd = rig_send_request (rig, ENTRY_PORT, text);
  g_free (text);
  return fd;
}

Test (stop, refuses_a_late_call_that_may_outlast_the_grace)
{
  struct rig rig;
  unsigned requests;
  const char *received;
  int fd;

  begin (&rig, 140, &requests);
  stop (&rig, 5000);
  fd = send_request (&rig, 1000);
  rig_run (&rig, ANSWER_MS);
  received = rig_received (fd);
  cr_assert (g_str_has_prefix (received, "HTTP/1.1 503"), "%s", received);
  cr_assert_eq (requests, 0);
}

Test (stop, serves_a_late_call_that_ends_within_the_grace)
{
  struct rig rig;
  unsigned requests;

  begin (&rig, 141, &requests);
  stop (&rig, 3000);
  send_request (&rig, 1000);
  rig_run (&rig, 100);
  cr_assert_eq (requests, 1);
}

Test (stop, answers_what_is_in_progress_at_the_end_of_the_grace)
{
  struct rig rig;
  unsigned requests;
  const char *received;
  int fd;

  begin (&rig, 142, &requests);
  stop (&rig, 1000);
  fd = send_request (&rig, 1000);
  rig_run (&rig, 100);
  cr_assert_eq (requests, 1);
  set_stop_age (&rig, 5460);
  rig_run (&rig, ANSWER_MS);
  received = rig_received (fd);
  cr_assert (g_str_has_prefix (received, "HTTP/1.1 502"), "%s", received);
}
