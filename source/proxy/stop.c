/**
 * DOC: Graceful shutdown of the proxy.
 */

#include "proxy/hooks.h"
#include "proxy/proxy.h"

/* Minimum time for which requests are served after the start of a graceful
 * shutdown, as clients learn of it only after a delay. */
#define STOP_MIN_US (2500 * JL_USEC_PER_MSEC)
/* Time after that at which the process exits although clients still send
 * requests, which it refuses, if nothing is in progress. */
#define STOP_REFUSING_MAX_US (500 * JL_USEC_PER_MSEC)
/* Time for which the local target still receives work after the start of a
 * graceful shutdown. It is shorter than STOP_MIN_US, so that this work
 * completes within STOP_MIN_US. */
#define GUARD_OPEN_US (1700 * JL_USEC_PER_MSEC)
/* Time before the end of the grace period at which the requests in progress are
 * answered, and at which the process exits in any case. */
#define STOP_ANSWER_MARGIN_US (500 * JL_USEC_PER_MSEC)
#define STOP_EXIT_MARGIN_US (400 * JL_USEC_PER_MSEC)
/* Period of checks whether a graceful shutdown is complete. */
#define STOP_CHECK_PERIOD_US (50 * JL_USEC_PER_MSEC)
/* Exit status if the grace period ended with requests in progress. */
#define EXIT_REQUESTS_CANCELLED 4

bool
jl_proxy_is_ending (const struct jl_proxy *proxy)
{
  return proxy->stopping && jl_now () > proxy->stop_began_us + STOP_MIN_US;
}

bool
jl_proxy_lasts_until (const struct jl_proxy *proxy, uint64_t time_us)
{
  return !proxy->stopping
         || time_us + STOP_ANSWER_MARGIN_US
                <= proxy->stop_began_us + proxy->options->grace_us;
}

/* Announces that the target takes no more work, because the daemon is about to
 * exit. */
static void
close_guard (struct jl_proxy *proxy)
{
  proxy->guard_closed = true;
  jl_proxy_update_self (proxy);
  jl_beacon_send_soon (proxy->beacon);
}

/* Whether nothing is in progress, no end of a response waits for its reader,
 * and no request has come since the last check: the process would exit before
 * the rest of its body is read, and the client would get a reset in place of
 * the response. */
static bool
may_exit (struct jl_proxy *proxy, uint64_t age_us)
{
  bool idle = cds_list_empty (&proxy->calls)
              && cds_list_empty (&proxy->work_items)
              && !jl_net_has_unsent_output (proxy->net);
  uint64_t requests = proxy->counters.requests + proxy->counters.calls;
  bool quiet = proxy->stop_requests == requests;

  proxy->stop_requests = requests;
  if (JL_TEST_DISABLED ("stop"))
    return true;
  return idle && (quiet || age_us >= STOP_MIN_US + STOP_REFUSING_MAX_US);
}

static void
on_stop_timer (void *context, struct jl_timer *timer)
{
  struct jl_proxy *proxy = context;
  uint64_t age_us = jl_now () - proxy->stop_began_us;
  bool exits = may_exit (proxy, age_us);

  if (!jl_proxy_lasts_until (proxy, jl_now ()) && jl_entry_end_all (proxy))
    proxy->exit_status = EXIT_REQUESTS_CANCELLED;
  if (age_us >= GUARD_OPEN_US && !proxy->guard_closed)
    close_guard (proxy);
  if (age_us >= STOP_MIN_US && exits)
    {
      jl_loop_stop (proxy->loop);
      return;
    }
  if (age_us + STOP_EXIT_MARGIN_US >= proxy->options->grace_us)
    {
      proxy->exit_status = EXIT_REQUESTS_CANCELLED;
      jl_loop_stop (proxy->loop);
      return;
    }
  jl_loop_start_timer (proxy->loop, timer, STOP_CHECK_PERIOD_US, on_stop_timer,
                       proxy);
}

void
jl_proxy_begin_stop (struct jl_proxy *proxy)
{
  if (proxy->stopping)
    return;
  proxy->stopping = true;
  proxy->stop_began_us = jl_now ();
  jl_record (JL_RECORD_CHANGE, JL_RECORD_STOPPING, "grace_ms=%" PRIu64,
             proxy->options->grace_us / JL_USEC_PER_MSEC);
  jl_server_close_after_response (proxy->entry);
  on_stop_timer (proxy, &proxy->stop_timer);
}
