/**
 * DOC: Functions that place or end a request at the entry.
 */

#include "proxy/call.h"

#include "names.h"
#include "policy/completion.h"
#include "proxy/quota.h"
#include "proxy/trial.h"

#include <string.h>

/* Minimum Retry-After of a refused request, and the maximum of the random
 * jitter that is added to it. */
#define RETRY_AFTER_MIN_MS 250
#define RETRY_AFTER_JITTER_MS 500
/* Retry-After is at most the time left until the deadline divided by this. */
#define RETRY_AFTER_DIVISOR 4

const char *
jl_call_attempt_id (const struct jl_call *call)
{
  const char *id = jl_head_get (jl_request_head (call->relay.request),
                                JL_HEADER_ATTEMPT_ID);

  return id != NULL ? id : "-";
}

uint64_t
jl_call_age_ms (const struct jl_call *call)
{
  return (jl_now () - call->begun_us) / JL_USEC_PER_MSEC;
}

const char *
jl_call_last_member (const struct jl_call *call)
{
  if (call->tried_count > 0)
    return call->tried[call->tried_count - 1]->name;
  return call->moved_from != NULL ? call->moved_from->name : "-";
}

const char *
jl_call_choose_service (const struct jl_route *route)
{
  const struct jl_split *chosen = &route->split[0];
  double left;

  if (route->split_count == 1)
    return chosen->service;
  left = g_random_double () * jl_route_weight (route);
  for (unsigned i = 0; i < route->split_count && left >= 0; i++)
    if (route->split[i].weight > 0)
      {
        chosen = &route->split[i];
        left -= chosen->weight;
      }
  return chosen->service;
}

void
jl_call_cancel_upstream (struct jl_call *call)
{
  jl_relay_cancel_upstream (&call->relay);
  if (call->member != NULL)
    call->member->outstanding--;
  call->member = NULL;
}

void
jl_call_free (struct jl_call *call)
{
  jl_timer_stop (call->proxy->loop->timers, &call->timer);
  jl_trial_end_call (call);
  jl_quota_end_call (call);
  jl_call_cancel_upstream (call);
  cds_list_del (&call->link);
  jl_site_drop (call->identity_site);
  jl_site_drop (call->site);
  jl_relay_clear (&call->relay);
  g_free (call);
}

void
jl_call_respond (struct jl_call *call,
                 unsigned status,
                 const char *fields,
                 const char *reason)
{
  struct jl_request *request = call->relay.request;
  const char *body = reason;
  char *lines = g_strdup_printf ("Content-Type: text/plain\r\n%s", fields);

  if (call->from_target)
    jl_failure_rate_count_failed_call (&call->proxy->failure_rate);
  jl_request_set_data (request, NULL);
  jl_call_cancel_upstream (call);
  jl_request_reply (request, status, lines, body, strlen (body));
  g_free (lines);
  jl_call_free (call);
}

/* Returns the admission plan of the request's route, for the log. */
static const struct jl_plan *
find_plan (const struct jl_call *call)
{
  static const struct jl_plan none
      = { .admit_share = 1, .limiting_service = "-" };
  const struct jl_proxy *proxy = call->proxy;

  for (unsigned i = 0; call->route != NULL && i < proxy->demand_count; i++)
    if (proxy->demands[i].route_key == call->route->key
        && proxy->demands[i].customer_rank
               == (call->customer != NULL ? call->customer->rank : 0))
      return &proxy->demands[i].plan;
  return &none;
}

static uint64_t
remaining_ms (const struct jl_call *call)
{
  uint64_t now_us = jl_now ();

  return call->expires_us > now_us
             ? (call->expires_us - now_us) / JL_USEC_PER_MSEC
             : 0;
}

/* Returns the time that the client waits for, which may be longer than the
 * route's timeout. */
static uint64_t
client_remaining_ms (const struct jl_call *call)
{
  uint64_t deadline_ms;

  if (!jl_head_get_number (jl_request_head (call->relay.request),
                           JL_HEADER_DEADLINE_MS, &deadline_ms))
    return remaining_ms (call);
  return deadline_ms > jl_call_age_ms (call)
             ? deadline_ms - jl_call_age_ms (call)
             : 0;
}

/* Refuses a request with a Retry-After of @after_ms. */
static void
refuse (struct jl_call *call, const char *reason, uint64_t after_ms)
{
  struct jl_proxy *proxy = call->proxy;
  const struct jl_plan *plan = find_plan (call);
  char fields[64];

  proxy->counters.refused++;
  jl_record (JL_RECORD_FAILURE, JL_RECORD_REQUEST_REFUSED,
             "id=%s route=%s reason=%s placements=%u age_ms=%" PRIu64
             " left_ms=%" PRIu64 " retry_after_ms=%" PRIu64 " site=%" PRIx64
             " short_of=%s shed=%.2f keep=%.2f beliefs_age_ms=%" PRIu64
             " content=%016" PRIx64 "%s%s",
             jl_call_attempt_id (call),
             call->route != NULL ? call->route->name : "-", reason,
             call->tried_count, jl_call_age_ms (call), remaining_ms (call),
             after_ms, call->site != NULL ? call->site->version : 0,
             plan->limiting_service, plan->shed_share, plan->admit_share,
             (jl_now () - proxy->plans_computed_us) / JL_USEC_PER_MSEC,
             jl_content_id (&call->content),
             call->customer != NULL ? " customer=" : "",
             call->customer != NULL ? call->customer->label : "");
  g_snprintf (fields, sizeof fields, "Retry-After: %.3f\r\n",
              (double)after_ms / 1000);
  jl_call_respond (call, 503, fields, reason);
}

void
jl_call_refuse (struct jl_call *call, const char *reason)
{
  uint64_t after_ms = RETRY_AFTER_MIN_MS
                      + (uint64_t)g_random_int_range (0, RETRY_AFTER_JITTER_MS);

  refuse (call, reason,
          MIN (after_ms, remaining_ms (call) / RETRY_AFTER_DIVISOR));
}

void
jl_call_refuse_late (struct jl_call *call, const char *reason)
{
  refuse (call, reason,
          jl_completion_retry_after_ms (client_remaining_ms (call),
                                        g_random_double ()));
}

void
jl_call_refuse_until (struct jl_call *call,
                      const char *reason,
                      uint64_t until_us)
{
  uint64_t now_us = jl_now ();

  refuse (call, reason,
          until_us > now_us ? (until_us - now_us) / JL_USEC_PER_MSEC : 0);
}

void
jl_call_fail (struct jl_call *call, unsigned status, const char *reason)
{
  call->proxy->counters.failed++;
  jl_record (JL_RECORD_FAILURE, JL_RECORD_REQUEST_FAILED,
             "id=%s route=%s status=%u reason=%s member=%s arrivals=%u "
             "age_ms=%" PRIu64 " content=%016" PRIx64,
             jl_call_attempt_id (call), call->route->name, status, reason,
             jl_call_last_member (call), call->targets_reached,
             jl_call_age_ms (call), jl_content_id (&call->content));
  jl_call_respond (call, status, "", reason);
}

void
jl_call_give_up (struct jl_call *call, const char *reason)
{
  if (call->may_have_run)
    jl_call_fail (call, 502, reason);
  else
    jl_call_refuse (call, reason);
}

/* Chooses a daemon for a trial: another one than this daemon if possible, which
 * could not report the loss of the whole instance. */
static struct jl_member *
choose_daemon_for_trial (struct jl_call *call, uint64_t now_us)
{
  struct jl_proxy *proxy = call->proxy;
  struct jl_member *excluded[JL_PLACEMENTS_MAX + 1];

  memcpy (excluded, call->tried, sizeof call->tried);
  excluded[call->tried_count] = proxy->self;
  return jl_place_choose_daemon (&proxy->roster, call->service, call->zone,
                                 excluded, call->tried_count + 1, now_us);
}

/* Whether a request goes back to the guard that has handed it back: there is no
 * other daemon, or only @other in another zone. */
static bool
should_return (const struct jl_call *call,
               const struct jl_member *other,
               uint64_t now_us)
{
  const struct jl_member *from = call->moved_from;

  return from != NULL && call->member != from
         && (other == NULL || (other->in_other_zone && !from->in_other_zone))
         && jl_member_accepts_work (from, call->service, now_us);
}

struct jl_member *
jl_call_choose_daemon (struct jl_call *call, uint64_t now_us)
{
  struct jl_member *member
      = call->on_trial ? choose_daemon_for_trial (call, now_us) : NULL;

  if (member != NULL)
    return member;
  member
      = jl_place_choose_daemon (&call->proxy->roster, call->service, call->zone,
                                call->tried, call->tried_count, now_us);
  return should_return (call, member, now_us) ? call->moved_from : member;
}
