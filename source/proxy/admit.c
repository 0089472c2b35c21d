/**
 * DOC: Admission at the entry: which requests and calls are sent on, with which
 * rank and to which zone.
 *
 * Requests of clients need a token of their customer's usage cap, a place in
 * the plan of their route, and a chance to complete. Calls of the local target
 * are always admitted, with the rank of the run that made them.
 */

#include "names.h"
#include "policy/completion.h"
#include "proxy/call.h"
#include "proxy/demand.h"
#include "proxy/quota.h"
#include "proxy/shares.h"
#include "proxy/zone-spill.h"

/* Upper bound of the time that a call of the local target is believed to have.
 */
#define CALL_DEADLINE_MS_MAX 3600000

/* Sets the rank of a call of the local target: that of the run that made it, or
 * its route's if the run is not known. */
static void
inherit_rank (struct jl_call *call)
{
  struct jl_proxy *proxy = call->proxy;
  const struct jl_run *run;
  uint64_t remaining_ms;

  if (!proxy->options->load_reports
      || !jl_head_get_number (jl_request_head (call->relay.request),
                              JL_HEADER_DEADLINE_MS, &remaining_ms))
    return;
  remaining_ms = MIN (remaining_ms, CALL_DEADLINE_MS_MAX);
  run = jl_lineage_find (&proxy->lineage, call->route->key,
                         call->begun_us + remaining_ms * JL_USEC_PER_MSEC);
  if (run != NULL)
    call->inherited_rank = run->rank;
}

/* Starts a call of the local target. Late in a graceful shutdown it is taken
 * only if it ends before the process does. */
static void
start_target_call (struct jl_call *call)
{
  struct jl_proxy *proxy = call->proxy;

  proxy->counters.calls++;
  if (jl_proxy_is_ending (proxy)
      && !jl_proxy_lasts_until (proxy, call->expires_us))
    {
      jl_call_refuse (call, "stopping");
      return;
    }
  jl_fanout_count_call (&proxy->fanout, call->route->key);
  inherit_rank (call);
  call->zone
      = jl_demand_choose_call_zone (proxy, call->service, g_random_double ());
  call->zone = jl_spill_choose_zone (call, call->zone);
  jl_entry_place (call);
}

static bool
is_worthwhile (const struct jl_proxy *proxy, const struct jl_plan *plan)
{
  return !proxy->options->load_reports
         || jl_completion_is_worthwhile (plan->chance, g_random_double ());
}

void
jl_entry_continue (struct jl_call *call)
{
  struct jl_proxy *proxy = call->proxy;
  struct jl_demand *demand
      = jl_demand_track (proxy, call->route, call->customer);
  struct jl_retry_budget_policy policy = jl_demand_retry_policy (proxy);
  struct jl_retry_budget *budget
      = jl_demand_retry_budget (proxy, call->service);

  if (budget != NULL)
    jl_retry_budget_count_request (budget, &policy, jl_now ());
  if (demand != NULL)
    {
      demand->window_requests++;
      call->zone = jl_shares_choose_zone (call, demand);
    }
  call->zone = jl_spill_choose_zone (call, call->zone);
  if (call->zone == NULL)
    jl_call_refuse (call, jl_shares_refusal_reason (call));
  else if (demand != NULL && !is_worthwhile (proxy, &demand->plan))
    jl_call_refuse_late (call, "calls-fail");
  else
    jl_entry_place (call);
}

static void
start_client_request (struct jl_call *call)
{
  struct jl_proxy *proxy = call->proxy;

  proxy->counters.requests++;
  if (jl_proxy_is_ending (proxy))
    jl_call_refuse (call, "stopping");
  else if (jl_quota_take (proxy, call) == JL_QUOTA_GRANTED)
    jl_entry_continue (call);
}

void
jl_entry_start (struct jl_call *call)
{
  if (call->from_target)
    start_target_call (call);
  else
    start_client_request (call);
}
