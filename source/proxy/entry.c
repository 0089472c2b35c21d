/**
 * DOC: The entry: requests of clients and of the own target.
 *
 * Each request is sent to the daemon of one target. It goes to another one
 * only if the first cannot have run it, or if it may be repeated and the retry
 * budget allows that. A request is answered as soon as nothing more can come
 * of it.
 */

#include "proxy/proxy.h"

#include "names.h"
#include "proxy/call.h"
#include "proxy/demand.h"
#include "proxy/hooks.h"

#include <string.h>

/* Bytes of a request's body kept so that it can be sent to another daemon. */
#define KEPT_BYTES_MAX 262144u
/* Wait for a daemon to take a connection. */
#define CONNECT_US (250 * JL_USEC_PER_MSEC)
/* A target answers this when the time is over. */
#define STATUS_GATEWAY_TIMEOUT 504

static void place_call (struct jl_call *call);

/* NULL for none, as a request's data is once it was answered. */
static struct jl_call *
call_of (struct jl_relay *relay)
{
  return relay != NULL ? caa_container_of (relay, struct jl_call, relay) : NULL;
}

static bool
can_place_again (const struct jl_call *call)
{
  return call->tried_count < JL_PLACEMENTS_MAX && !call->kept_lost
         && jl_now () < call->expires_us;
}

static void
place_again (struct jl_call *call, const char *reason)
{
  call->proxy->counters.placed_again++;
  jl_record (JL_RECORD_FAILURE, JL_RECORD_REQUEST_PLACED_AGAIN,
             "id=%s route=%s reason=%s member=%s arrivals=%u age_ms=%" PRIu64,
             jl_call_attempt (call), call->route->name, reason,
             call->tried[call->tried_count - 1]->name, call->arrivals,
             jl_call_age_ms (call));
  g_strlcpy (call->reason, reason, sizeof call->reason);
  place_call (call);
}

/* No target has seen this sending. */
static void
not_arrived (struct jl_call *call, const char *reason)
{
  jl_call_drop_sending (call);
  if (can_place_again (call))
    place_again (call, reason);
  else
    jl_call_give_up (call, reason);
}

/* A target has refused it, which counts as a sending to that target. */
static void
target_refused (struct jl_call *call, const char *reason)
{
  call->arrivals++;
  jl_call_drop_sending (call);
  if (call->arrivals < call->route->attempts_max && can_place_again (call)
      && jl_demand_spend_retry (call->proxy, call->site, call->route))
    place_again (call, reason);
  else
    jl_call_give_up (call, reason);
}

/* A target may have run it. */
static void
may_have_run (struct jl_call *call, const char *reason)
{
  bool repeatable = call->route->retry_policy == JL_RETRY_POLICY_IDEMPOTENT
                    || JL_OFF ("once");

  call->arrivals++;
  call->may_have_run = true;
  jl_call_drop_sending (call);
  if (repeatable && call->arrivals < call->route->attempts_max
      && can_place_again (call)
      && jl_demand_spend_retry (call->proxy, call->site, call->route))
    place_again (call, reason);
  else
    jl_call_fail (call, 502, reason);
}

static void
served (struct jl_call *call, unsigned status)
{
  struct jl_proxy *proxy = call->proxy;

  if (status >= 500 && call->from_target)
    jl_failure_rate_count_failed_call (&proxy->failing);
  proxy->counters.served++;
  jl_histogram_add (&proxy->counters.request_time, jl_now () - call->begun_us);
  if (jl_record_wanted (JL_RECORD_SUCCESS))
    jl_record (JL_RECORD_SUCCESS, JL_RECORD_REQUEST_SERVED,
               "id=%s route=%s status=%u member=%s placements=%u "
               "age_ms=%" PRIu64,
               jl_call_attempt (call), call->route->name, status,
               call->member->name, call->tried_count, jl_call_age_ms (call));
}

static void
finish_answer (struct jl_call *call)
{
  struct jl_request *request = call->relay.request;

  served (call, jl_upstream_head (call->relay.upstream)->status);
  jl_request_set_data (request, NULL);
  jl_call_free (call);
  jl_request_finish (request);
}

static void
pass_answer (struct jl_call *call)
{
  if (jl_relay_answer (&call->relay))
    finish_answer (call);
}

/*
 * Whether a failure of the target's own is worth another sending. Its answer is
 * dropped then.
 */
static bool
can_repeat_failed (struct jl_call *call)
{
  if (call->route->retry_policy != JL_RETRY_POLICY_IDEMPOTENT
      || jl_upstream_head (call->relay.upstream)->status
             == STATUS_GATEWAY_TIMEOUT
      || call->arrivals + 1 >= call->route->attempts_max
      || !can_place_again (call)
      || !jl_demand_spend_retry (call->proxy, call->site, call->route))
    return false;
  call->arrivals++;
  call->may_have_run = true;
  jl_call_drop_sending (call);
  return true;
}

static void
on_answer (void *context, struct jl_upstream *upstream)
{
  struct jl_call *call = call_of (context);
  const struct jl_head *head = jl_upstream_head (upstream);
  const char *outcome = jl_head_get (head, JL_OUTCOME_FIELD);
  const char *field = jl_head_get (head, JL_REASON_FIELD);
  char reason[32];

  g_strlcpy (reason, field != NULL ? field : "", sizeof reason);
  if (outcome == NULL && head->status >= 500 && can_repeat_failed (call))
    place_again (call, "target-failed");
  else if (outcome == NULL)
    pass_answer (call);
  else if (strcmp (outcome, "not-run") != 0)
    may_have_run (call, reason);
  else if (strcmp (reason, "target-refused") == 0)
    target_refused (call, reason);
  else if (strcmp (reason, "expired") == 0)
    {
      jl_call_drop_sending (call);
      jl_call_give_up (call, reason);
    }
  else
    not_arrived (call, reason);
}

static void
on_done (void *context, struct jl_upstream *upstream)
{
  (void)upstream;
  finish_answer (call_of (context));
}

/* The answer broke off on its way: the client must see that. */
static void
break_call (struct jl_call *call)
{
  struct jl_request *request = call->relay.request;

  call->proxy->counters.failed++;
  jl_record (JL_RECORD_FAILURE, JL_RECORD_REQUEST_FAILED,
             "id=%s route=%s reason=answer-broken member=%s age_ms=%" PRIu64,
             jl_call_attempt (call), call->route->name, call->member->name,
             jl_call_age_ms (call));
  jl_request_set_data (request, NULL);
  jl_call_free (call);
  jl_request_break (request);
}

static void
on_failed (void *context,
           struct jl_upstream *upstream,
           enum jl_upstream_failure failure)
{
  struct jl_call *call = call_of (context);

  (void)upstream;
  if (call->relay.passing)
    {
      break_call (call);
      return;
    }
  jl_member_avoid (call->member, jl_now ());
  if (failure == JL_UPSTREAM_NOT_SENT)
    not_arrived (call, "member-unreachable");
  else
    may_have_run (call, "member-lost");
}

static const struct jl_upstream_ops upstream_ops = {
  .answer = on_answer,
  .piece = jl_relay_on_piece,
  .done = on_done,
  .drained = jl_relay_on_drained,
  .failed = on_failed,
};

static void
expire_call (struct jl_call *call)
{
  jl_call_drop_sending (call);
  jl_call_fail (call, 504, "deadline");
}

static void
on_timer (void *context, struct jl_timer *timer)
{
  struct jl_call *call = context;

  if (call->relay.passing)
    return;
  if (jl_now () >= call->expires_us && !JL_OFF ("deadline"))
    {
      expire_call (call);
      return;
    }
  jl_timer_start (call->proxy->loop->timers, timer, call->expires_us, on_timer,
                  call);
  if (call->relay.upstream == NULL
      || !jl_upstream_untouched (call->relay.upstream))
    return;
  jl_member_avoid (call->member, jl_now ());
  not_arrived (call, "connect-timeout");
}

static bool
open_upstream (struct jl_call *call)
{
  struct jl_proxy *proxy = call->proxy;
  const struct jl_head *head = jl_request_head (call->relay.request);
  struct jl_work_line work = {
    .rank = call->route->rank,
    .left_ms = (unsigned)((call->expires_us - jl_now ()) / JL_USEC_PER_MSEC),
    .goal_ms = (unsigned)(call->route->latency_goal_us / JL_USEC_PER_MSEC),
    .route = call->route->key,
    .repeatable = call->route->retry_policy == JL_RETRY_POLICY_IDEMPOTENT,
  };
  GString *text;

  g_strlcpy (work.service, call->service, sizeof work.service);
  text = jl_headers_to_guard (head, &work, jl_proxy_service (proxy));
  call->relay.upstream = jl_upstream_open (
      proxy->peers, call->member->peer, false, text,
      strcmp (head->method, "HEAD") == 0, &upstream_ops, &call->relay);
  g_string_free (text, TRUE);
  return call->relay.upstream != NULL;
}

static void
place_call (struct jl_call *call)
{
  struct jl_proxy *proxy = call->proxy;
  uint64_t now_us = jl_now ();
  struct jl_member *member
      = jl_place_choose_daemon (&proxy->roster, call->service, call->zone,
                                call->tried, call->tried_count, now_us);

  if (member == NULL || now_us >= call->expires_us)
    {
      jl_call_give_up (call,
                       call->reason[0] != '\0' ? call->reason : "no-target");
      return;
    }
  call->tried[call->tried_count++] = member;
  call->member = member;
  member->outstanding++;
  if (strcmp (member->zone, proxy->roster.own_zone) != 0)
    proxy->counters.other_zone++;
  if (!open_upstream (call))
    {
      jl_member_avoid (member, now_us);
      not_arrived (call, "no-connection");
      return;
    }
  jl_timer_start (proxy->loop->timers, &call->timer,
                  MIN (call->expires_us, now_us + CONNECT_US), on_timer, call);
  jl_relay_kept (&call->relay);
}

/* The service of this request: each gets its part, request by request. */
static const char *
choose_service (const struct jl_route *route)
{
  uint64_t total = 0;
  uint64_t draw;

  if (route->split_count == 1)
    return route->split[0].service;
  for (unsigned i = 0; i < route->split_count; i++)
    total += route->split[i].weight;
  if (total == 0)
    return route->split[0].service;
  draw = (uint64_t)(g_random_double () * (double)total);
  for (unsigned i = 0; i < route->split_count; i++)
    {
      if (draw < route->split[i].weight)
        return route->split[i].service;
      draw -= route->split[i].weight;
    }
  return route->split[0].service;
}

static void
set_deadline (struct jl_call *call)
{
  uint64_t wait_us = call->route->timeout_us;
  uint64_t deadline_ms;

  if (jl_head_number (jl_request_head (call->relay.request), JL_WIRE_DEADLINE,
                      &deadline_ms))
    wait_us = MIN (wait_us, deadline_ms * JL_USEC_PER_MSEC);
  call->expires_us = call->begun_us + wait_us;
}

static void
begin_from_target (struct jl_call *call)
{
  struct jl_proxy *proxy = call->proxy;

  proxy->counters.calls++;
  jl_fanout_count_call (&proxy->fanout, call->route->key);
  call->zone
      = jl_demand_choose_call_zone (proxy, call->service, g_random_double ());
  place_call (call);
}

static void
begin_from_client (struct jl_call *call)
{
  struct jl_proxy *proxy = call->proxy;
  struct jl_demand *demand = jl_demand_track (proxy, call->route);
  struct jl_retry_budget_policy terms = jl_demand_retry_policy (proxy);
  struct jl_retry_budget *budget
      = jl_demand_retry_budget (proxy, call->service);

  proxy->counters.requests++;
  if (jl_proxy_is_ending (proxy))
    {
      jl_call_refuse (call, "stopping");
      return;
    }
  if (budget != NULL)
    jl_retry_budget_count_request (budget, &terms, jl_now ());
  if (demand != NULL)
    {
      demand->window_requests++;
      call->zone = jl_plan_choose_zone (&demand->plan, g_random_double ());
    }
  if (call->zone == NULL)
    jl_call_refuse (call, "overload");
  else
    place_call (call);
}

static struct jl_call *
new_call (struct jl_proxy *proxy, struct jl_request *request)
{
  struct jl_call *call = g_new0 (struct jl_call, 1);

  call->proxy = proxy;
  jl_relay_init (&call->relay, request);
  call->begun_us = jl_now ();
  call->expires_us = call->begun_us + JL_USEC_PER_SEC;
  call->zone = proxy->roster.own_zone;
  cds_list_add_tail (&call->link, &proxy->calls);
  return call;
}

static void
on_begin (void *context, struct jl_request *request)
{
  struct jl_proxy *proxy = context;
  const struct jl_head *head = jl_request_head (request);
  const char *host = jl_head_get (head, "Host");
  struct jl_call *call = new_call (proxy, request);

  if (proxy->site == NULL)
    {
      jl_call_refuse (call, "no-configuration");
      return;
    }
  call->site = jl_site_ref (proxy->site);
  if (host != NULL)
    call->route = jl_site_find_route (call->site, host, jl_head_target (head));
  if (call->route == NULL)
    {
      jl_record (JL_RECORD_FAILURE, JL_RECORD_REQUEST_REFUSED,
                 "id=%s reason=no-route host=%s target=%.80s site=%" PRIx64,
                 jl_call_attempt (call), host != NULL ? host : "-",
                 jl_head_target (head), call->site->version);
      jl_call_answer (call, 404, "", "no-route");
      return;
    }
  if (head->has_length && head->length > call->site->body_bytes_max)
    {
      jl_call_answer (call, 413, "", "too-large");
      return;
    }
  call->service = choose_service (call->route);
  set_deadline (call);
  jl_arrivals_add (&proxy->self->arrivals, call->route->key, 1);
  call->from_target = jl_demand_is_call_route (proxy, call->route->key);
  if (call->from_target)
    begin_from_target (call);
  else
    begin_from_client (call);
}

static void
on_body (void *context,
         struct jl_request *request,
         const char *data,
         size_t size)
{
  struct jl_call *call = call_of (jl_request_data (request));

  (void)context;
  if (call == NULL || call->relay.passing)
    return;
  call->body_bytes += size;
  if (call->body_bytes > call->site->body_bytes_max)
    {
      jl_call_answer (call, 413, "", "too-large");
      return;
    }
  if (call->relay.kept->len + size <= KEPT_BYTES_MAX && !call->kept_lost)
    g_byte_array_append (call->relay.kept, (const guint8 *)data, (guint)size);
  else
    call->kept_lost = true;
  if (call->relay.upstream == NULL)
    return;
  jl_relay_body (&call->relay, data, size);
}

static void
on_gone (void *context, struct jl_request *request)
{
  struct jl_call *call = call_of (jl_request_data (request));

  (void)context;
  if (call == NULL)
    return;
  call->proxy->counters.left++;
  jl_record (JL_RECORD_FAILURE, JL_RECORD_CLIENT_LEFT,
             "id=%s route=%s member=%s age_ms=%" PRIu64, jl_call_attempt (call),
             call->route->name, call->member != NULL ? call->member->name : "-",
             jl_call_age_ms (call));
  jl_call_free (call);
}

const struct jl_handler jl_entry_handler = {
  .begin = on_begin,
  .body = on_body,
  .end = jl_relay_on_end,
  .drained = jl_relay_on_client_drained,
  .gone = on_gone,
};

void
jl_entry_check_members (struct jl_proxy *proxy)
{
  struct jl_call *call;
  struct jl_call *next;
  uint64_t now_us = jl_now ();

  cds_list_for_each_entry_safe (
      call, next, &proxy->calls,
      link) if (call->member != NULL && !call->relay.passing
                && call->route->retry_policy == JL_RETRY_POLICY_IDEMPOTENT
                && !jl_member_is_alive (call->member, now_us))
      may_have_run (call, "member-silent");
}
