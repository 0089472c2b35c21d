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
#include "proxy/hooks.h"

#include <string.h>

/* Bytes of a request's body kept so that it can be sent to another daemon. */
#define KEPT_BYTES_MAX (256 * 1024)
/* Daemons that one request is offered to. */
#define PLACEMENTS_MAX 5
/* Wait for a daemon to take a connection. */
#define CONNECT_US (250 * JL_USEC_PER_MSEC)
/* Time after which a refused client may come back, and what chance adds. */
#define RETRY_AFTER_MS 250
#define RETRY_AFTER_SPREAD_MS 500
/* Share of the time left within which it is asked back. */
#define RETRY_AFTER_PART 4
/* Weight of a window in the smoothed demand. */
#define DEMAND_WEIGHT 0.15

/* A target answers this when the time is over. */
#define STATUS_GATEWAY_TIMEOUT 504
/* Windows between two classifications of routes. */
#define CLASSIFY_WINDOWS 3

/**
 * struct jl_call - a request in progress at its entry
 * @link: in the proxy's list
 * @request: the client's side
 * @site: configuration that the request began with
 * @route: in @site
 * @service: service that is to run it
 * @zone: zone that it was placed in
 * @from_target: the own target sent it, as far as is known
 * @begun_us: when it came
 * @expires_us: when the client or the route waits no longer
 * @kept: body as far as it came
 * @kept_lost: the body is too large to be sent again
 * @in_chunks: the body comes in chunks
 * @body_bytes: size of the body so far
 * @upstream: its sending, NULL between two
 * @member: where it was sent
 * @tried: daemons that it was offered to
 * @arrivals: targets that it has reached, as far as can be known
 * @may_have_run: a target may have run it
 * @passing: the answer is being passed on
 * @reason: why the last sending came to nothing
 */
struct jl_call
{
  struct cds_list_head link;
  struct jl_proxy *proxy;
  struct jl_request *request;
  struct jl_site *site;
  const struct jl_route *route;
  const char *service;
  const char *zone;
  bool from_target;
  uint64_t begun_us;
  uint64_t expires_us;
  GByteArray *kept;
  bool kept_lost;
  bool in_chunks;
  uint64_t body_bytes;
  struct jl_upstream *upstream;
  struct jl_member *member;
  struct jl_member *tried[PLACEMENTS_MAX];
  unsigned tried_count;
  unsigned arrivals;
  bool may_have_run;
  bool passing;
  char reason[32];
  struct jl_timer timer;
};

static void place_call (struct jl_call *call);

static const char *
attempt_of (const struct jl_call *call)
{
  const char *id
      = jl_head_get (jl_request_head (call->request), JL_WIRE_ATTEMPT);

  return id != NULL ? id : "-";
}

static uint64_t
age_ms (const struct jl_call *call)
{
  return (jl_now () - call->begun_us) / JL_USEC_PER_MSEC;
}

static void
drop_upstream (struct jl_call *call)
{
  if (call->upstream != NULL)
    jl_upstream_drop (call->upstream);
  call->upstream = NULL;
  if (call->member != NULL)
    call->member->outstanding--;
  call->member = NULL;
}

static void
free_call (struct jl_call *call)
{
  jl_timer_stop (call->proxy->loop->timers, &call->timer);
  drop_upstream (call);
  cds_list_del (&call->link);
  jl_site_drop (call->site);
  g_byte_array_free (call->kept, TRUE);
  g_free (call);
}

/* Ends a call by an answer of this daemon's own. */
static void
answer_call (struct jl_call *call,
             unsigned status,
             const char *fields,
             const char *reason)
{
  struct jl_request *request = call->request;
  const char *body = reason;
  char *lines = g_strdup_printf ("Content-Type: text/plain\r\n%s", fields);

  if (call->from_target)
    jl_failing_call (&call->proxy->failing);
  jl_request_set_data (request, NULL);
  drop_upstream (call);
  jl_request_reply (request, status, lines, body, strlen (body));
  g_free (lines);
  free_call (call);
}

/* The plan that the request was judged by. */
static const struct jl_plan *
plan_of (const struct jl_call *call)
{
  static const struct jl_plan none = { .keep = 1, .service = "-" };
  const struct jl_proxy *proxy = call->proxy;

  for (unsigned i = 0; call->route != NULL && i < proxy->demand_count; i++)
    if (proxy->demands[i].route == call->route->key)
      return &proxy->demands[i].plan;
  return &none;
}

/* The request has not run and will not: the client may come back. */
static void
refuse_call (struct jl_call *call, const char *reason)
{
  struct jl_proxy *proxy = call->proxy;
  uint64_t now_us = jl_now ();
  uint64_t left_ms = call->expires_us > now_us
                         ? (call->expires_us - now_us) / JL_USEC_PER_MSEC
                         : 0;
  uint64_t after_ms = RETRY_AFTER_MS
                      + (uint64_t)g_random_int_range (0, RETRY_AFTER_SPREAD_MS);
  const struct jl_plan *plan = plan_of (call);
  char fields[64];

  after_ms = MIN (after_ms, left_ms / RETRY_AFTER_PART);
  proxy->counters.refused++;
  jl_record (JL_RECORD_FAILURE, JL_RECORD_REQUEST_REFUSED,
             "id=%s route=%s reason=%s placements=%u age_ms=%" PRIu64
             " left_ms=%" PRIu64 " retry_after_ms=%" PRIu64 " site=%" PRIx64
             " short_of=%s shed=%.2f keep=%.2f beliefs_age_ms=%" PRIu64,
             attempt_of (call), call->route != NULL ? call->route->name : "-",
             reason, call->tried_count, age_ms (call), left_ms, after_ms,
             call->site != NULL ? call->site->version : 0, plan->service,
             plan->shed, plan->keep,
             (now_us - proxy->planned_us) / JL_USEC_PER_MSEC);
  g_snprintf (fields, sizeof fields, "Retry-After: %.3f\r\n",
              (double)after_ms / 1000);
  answer_call (call, 503, fields, reason);
}

/* The request may have run: nothing is promised. */
static void
fail_call (struct jl_call *call, unsigned status, const char *reason)
{
  call->proxy->counters.failed++;
  jl_record (JL_RECORD_FAILURE, JL_RECORD_REQUEST_FAILED,
             "id=%s route=%s status=%u reason=%s member=%s arrivals=%u "
             "age_ms=%" PRIu64,
             attempt_of (call), call->route->name, status, reason,
             call->tried_count > 0 ? call->tried[call->tried_count - 1]->name
                                   : "-",
             call->arrivals, age_ms (call));
  answer_call (call, status, "", reason);
}

static void
give_up (struct jl_call *call, const char *reason)
{
  if (call->may_have_run)
    fail_call (call, 502, reason);
  else
    refuse_call (call, reason);
}

static struct jl_budget *
budget_of (struct jl_proxy *proxy, const char *service)
{
  struct jl_service_budget *entry;

  for (unsigned i = 0; i < proxy->budget_count; i++)
    if (strcmp (proxy->budgets[i].service, service) == 0)
      return &proxy->budgets[i].budget;
  if (proxy->budget_count == JL_BUDGET_MAX)
    return NULL;
  entry = &proxy->budgets[proxy->budget_count++];
  g_strlcpy (entry->service, service, sizeof entry->service);
  return &entry->budget;
}

static struct jl_budget_terms
budget_terms (struct jl_proxy *proxy)
{
  struct jl_budget_terms terms = {
    .ratio = proxy->options->retry_ratio,
    .slack = proxy->options->retry_slack,
    .window_us = proxy->options->retry_window_us,
    .daemons = MAX (proxy->roster.members->len, 1),
  };

  return terms;
}

/* Takes a repeat of the call out of the budgets that it is charged to. */
static bool
spend_repeat (struct jl_call *call)
{
  struct jl_proxy *proxy = call->proxy;
  struct jl_budget_terms terms = budget_terms (proxy);
  uint64_t now_us = jl_now ();
  struct jl_needs needs;

  jl_place_needs (&proxy->roster, call->site, call->route, &needs);
  for (unsigned i = 0; i < needs.count; i++)
    {
      struct jl_budget *budget = budget_of (proxy, needs.list[i].service);

      if (budget == NULL
          || !jl_budget_allows (budget, &terms, now_us, needs.list[i].runs))
        return false;
    }
  for (unsigned i = 0; i < needs.count; i++)
    jl_budget_spend (budget_of (proxy, needs.list[i].service), &terms, now_us,
                     needs.list[i].runs);
  return true;
}

static bool
can_place_again (const struct jl_call *call)
{
  return call->tried_count < PLACEMENTS_MAX && !call->kept_lost
         && jl_now () < call->expires_us;
}

static void
place_again (struct jl_call *call, const char *reason)
{
  call->proxy->counters.placed_again++;
  jl_record (JL_RECORD_FAILURE, JL_RECORD_REQUEST_PLACED_AGAIN,
             "id=%s route=%s reason=%s member=%s arrivals=%u age_ms=%" PRIu64,
             attempt_of (call), call->route->name, reason,
             call->tried[call->tried_count - 1]->name, call->arrivals,
             age_ms (call));
  g_strlcpy (call->reason, reason, sizeof call->reason);
  place_call (call);
}

/* No target has seen this sending. */
static void
not_arrived (struct jl_call *call, const char *reason)
{
  drop_upstream (call);
  if (can_place_again (call))
    place_again (call, reason);
  else
    give_up (call, reason);
}

/* A target has refused it, which counts as a sending to that target. */
static void
target_refused (struct jl_call *call, const char *reason)
{
  call->arrivals++;
  drop_upstream (call);
  if (call->arrivals < call->route->attempts_max && can_place_again (call)
      && spend_repeat (call))
    place_again (call, reason);
  else
    give_up (call, reason);
}

/* A target may have run it. */
static void
may_have_run (struct jl_call *call, const char *reason)
{
  bool repeatable = call->route->repeat == JL_REPEAT_ANY || JL_OFF ("once");

  call->arrivals++;
  call->may_have_run = true;
  drop_upstream (call);
  if (repeatable && call->arrivals < call->route->attempts_max
      && can_place_again (call) && spend_repeat (call))
    place_again (call, reason);
  else
    fail_call (call, 502, reason);
}

static void
served (struct jl_call *call, unsigned status)
{
  struct jl_proxy *proxy = call->proxy;

  if (status >= 500 && call->from_target)
    jl_failing_call (&proxy->failing);
  proxy->counters.served++;
  jl_histogram_add (&proxy->counters.request_time, jl_now () - call->begun_us);
  if (jl_record_wanted (JL_RECORD_SUCCESS))
    jl_record (JL_RECORD_SUCCESS, JL_RECORD_REQUEST_SERVED,
               "id=%s route=%s status=%u member=%s placements=%u "
               "age_ms=%" PRIu64,
               attempt_of (call), call->route->name, status, call->member->name,
               call->tried_count, age_ms (call));
}

static void
finish_answer (struct jl_call *call)
{
  struct jl_request *request = call->request;

  served (call, jl_upstream_head (call->upstream)->status);
  jl_request_set_data (request, NULL);
  free_call (call);
  jl_request_finish (request);
}

static void
pass_answer (struct jl_call *call)
{
  struct jl_upstream *upstream = call->upstream;
  const struct jl_head *head = jl_upstream_head (upstream);
  const GByteArray *taken = jl_upstream_taken (upstream);
  GString *fields = jl_headers_back (head);
  bool complete = jl_upstream_complete (upstream);

  call->passing = true;
  jl_request_start (call->request, head->status, fields->str,
                    head->has_length || complete,
                    head->has_length ? head->length : taken->len);
  g_string_free (fields, TRUE);
  jl_request_piece (call->request, (const char *)taken->data, taken->len);
  if (complete)
    finish_answer (call);
}

/*
 * Whether a failure of the target's own is worth another sending. Its answer is
 * dropped then.
 */
static bool
can_repeat_failed (struct jl_call *call)
{
  if (call->route->repeat != JL_REPEAT_ANY
      || jl_upstream_head (call->upstream)->status == STATUS_GATEWAY_TIMEOUT
      || call->arrivals + 1 >= call->route->attempts_max
      || !can_place_again (call) || !spend_repeat (call))
    return false;
  call->arrivals++;
  call->may_have_run = true;
  drop_upstream (call);
  return true;
}

static void
on_answer (void *context, struct jl_upstream *upstream)
{
  struct jl_call *call = context;
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
      drop_upstream (call);
      give_up (call, reason);
    }
  else
    not_arrived (call, reason);
}

static void
on_piece (void *context,
          struct jl_upstream *upstream,
          const char *data,
          size_t size)
{
  struct jl_call *call = context;

  jl_request_piece (call->request, data, size);
  if (jl_request_backlog (call->request) > JL_CONN_HIGH_BYTES)
    jl_upstream_hold (upstream, true);
}

static void
on_done (void *context, struct jl_upstream *upstream)
{
  (void)upstream;
  finish_answer (context);
}

static void
on_drained (void *context, struct jl_upstream *upstream)
{
  struct jl_call *call = context;

  (void)upstream;
  jl_request_hold (call->request, false);
}

/* The answer broke off on its way: the client must see that. */
static void
break_call (struct jl_call *call)
{
  struct jl_request *request = call->request;

  call->proxy->counters.failed++;
  jl_record (JL_RECORD_FAILURE, JL_RECORD_REQUEST_FAILED,
             "id=%s route=%s reason=answer-broken member=%s age_ms=%" PRIu64,
             attempt_of (call), call->route->name, call->member->name,
             age_ms (call));
  jl_request_set_data (request, NULL);
  free_call (call);
  jl_request_break (request);
}

static void
on_failed (void *context,
           struct jl_upstream *upstream,
           enum jl_upstream_failure failure)
{
  struct jl_call *call = context;

  (void)upstream;
  if (call->passing)
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
  .piece = on_piece,
  .done = on_done,
  .drained = on_drained,
  .failed = on_failed,
};

static void
expire_call (struct jl_call *call)
{
  drop_upstream (call);
  fail_call (call, 504, "deadline");
}

static void
on_timer (void *context, struct jl_timer *timer)
{
  struct jl_call *call = context;

  if (call->passing)
    return;
  if (jl_now () >= call->expires_us && !JL_OFF ("deadline"))
    {
      expire_call (call);
      return;
    }
  jl_timer_start (call->proxy->loop->timers, timer, call->expires_us, on_timer,
                  call);
  if (call->upstream == NULL || !jl_upstream_untouched (call->upstream))
    return;
  jl_member_avoid (call->member, jl_now ());
  not_arrived (call, "connect-timeout");
}

static void
send_kept (struct jl_call *call)
{
  jl_upstream_body (call->upstream, (const char *)call->kept->data,
                    call->kept->len, call->in_chunks);
  if (jl_request_ended (call->request))
    jl_upstream_body_end (call->upstream, call->in_chunks);
}

static bool
open_upstream (struct jl_call *call)
{
  struct jl_proxy *proxy = call->proxy;
  const struct jl_head *head = jl_request_head (call->request);
  struct jl_work_line work = {
    .rank = call->route->rank,
    .left_ms = (unsigned)((call->expires_us - jl_now ()) / JL_USEC_PER_MSEC),
    .goal_ms = (unsigned)(call->route->goal_us / JL_USEC_PER_MSEC),
    .route = call->route->key,
    .repeatable = call->route->repeat == JL_REPEAT_ANY,
  };
  GString *text;

  g_strlcpy (work.service, call->service, sizeof work.service);
  text = jl_headers_to_guard (head, &work, jl_proxy_service (proxy));
  call->upstream = jl_upstream_open (proxy->peers, call->member->peer, false,
                                     text, strcmp (head->method, "HEAD") == 0,
                                     &upstream_ops, call);
  g_string_free (text, TRUE);
  return call->upstream != NULL;
}

static void
place_call (struct jl_call *call)
{
  struct jl_proxy *proxy = call->proxy;
  uint64_t now_us = jl_now ();
  struct jl_member *member
      = jl_place_pick (&proxy->roster, call->service, call->zone, call->tried,
                       call->tried_count, now_us);

  if (member == NULL || now_us >= call->expires_us)
    {
      give_up (call, call->reason[0] != '\0' ? call->reason : "no-target");
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
  send_kept (call);
}

static struct jl_demand *
demand_of (struct jl_proxy *proxy, const struct jl_route *route)
{
  struct jl_demand *demand;

  for (unsigned i = 0; i < proxy->demand_count; i++)
    if (proxy->demands[i].route == route->key)
      return &proxy->demands[i];
  if (proxy->demand_count == JL_DEMAND_MAX)
    return NULL;
  demand = &proxy->demands[proxy->demand_count++];
  demand->route = route->key;
  demand->plan.zone = proxy->roster.own_zone;
  demand->plan.keep = 1;
  demand->plan.service = "";
  return demand;
}

/* Classifies each route that came lately; that holds until the next window. */
static void
classify_routes (struct jl_proxy *proxy)
{
  const struct jl_arrivals *arrivals = &proxy->self->arrivals;
  uint64_t now_us = jl_now ();

  proxy->call_route_count = 0;
  for (unsigned i = 0; i < arrivals->count; i++)
    if (jl_roster_is_call (&proxy->roster, arrivals->list[i].route, now_us))
      proxy->call_routes[proxy->call_route_count++] = arrivals->list[i].route;
}

static void
update_needs (struct jl_proxy *proxy, struct jl_demand *demand)
{
  const struct jl_route *route = jl_site_route (proxy->site, demand->route);

  demand->needs.count = 0;
  if (route == NULL)
    return;
  demand->rank = route->rank;
  jl_place_needs (&proxy->roster, proxy->site, route, &demand->needs);
}

void
jl_entry_windows (struct jl_proxy *proxy)
{
  double window_s = (double)JL_PRESSURE_WINDOW_US / (double)JL_USEC_PER_SEC;

  for (unsigned i = 0; i < proxy->demand_count; i++)
    {
      struct jl_demand *demand = &proxy->demands[i];

      demand->rate
          += DEMAND_WEIGHT * (demand->counted / window_s - demand->rate);
      demand->counted = 0;
    }
  if (proxy->ticks % CLASSIFY_WINDOWS == 0)
    {
      jl_arrivals_fade (&proxy->self->arrivals);
      classify_routes (proxy);
    }
  for (unsigned i = 0; i < proxy->demand_count; i++)
    update_needs (proxy, &proxy->demands[i]);
  proxy->planned_us = jl_now ();
  for (unsigned i = 0; i < proxy->demand_count; i++)
    proxy->demands[i].plan
        = jl_place_plan (&proxy->roster, proxy->demands, proxy->demand_count,
                         &proxy->demands[i], jl_now ());
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

  if (jl_head_number (jl_request_head (call->request), JL_WIRE_DEADLINE,
                      &deadline_ms))
    wait_us = MIN (wait_us, deadline_ms * JL_USEC_PER_MSEC);
  call->expires_us = call->begun_us + wait_us;
}

static bool
is_call_route (const struct jl_proxy *proxy, uint32_t route)
{
  for (unsigned i = 0; i < proxy->call_route_count; i++)
    if (proxy->call_routes[i] == route)
      return true;
  return false;
}

static void
begin_from_target (struct jl_call *call)
{
  struct jl_proxy *proxy = call->proxy;

  proxy->counters.calls++;
  jl_fanout_call (&proxy->fanout, call->route->key);
  place_call (call);
}

static void
begin_from_client (struct jl_call *call)
{
  struct jl_proxy *proxy = call->proxy;
  struct jl_demand *demand = demand_of (proxy, call->route);
  struct jl_budget_terms terms = budget_terms (proxy);
  struct jl_budget *budget = budget_of (proxy, call->service);

  proxy->counters.requests++;
  if (jl_proxy_is_ending (proxy))
    {
      refuse_call (call, "stopping");
      return;
    }
  if (budget != NULL)
    jl_budget_request (budget, &terms, jl_now ());
  if (demand != NULL)
    {
      demand->counted++;
      call->zone = jl_plan_zone (&demand->plan, g_random_double ());
    }
  if (call->zone == NULL)
    refuse_call (call, "overload");
  else
    place_call (call);
}

static struct jl_call *
new_call (struct jl_proxy *proxy, struct jl_request *request)
{
  struct jl_call *call = g_new0 (struct jl_call, 1);

  call->proxy = proxy;
  call->request = request;
  call->begun_us = jl_now ();
  call->expires_us = call->begun_us + JL_USEC_PER_SEC;
  call->zone = proxy->roster.own_zone;
  call->kept = g_byte_array_new ();
  call->in_chunks = jl_request_head (request)->chunked;
  cds_list_add_tail (&call->link, &proxy->calls);
  jl_request_set_data (request, call);
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
      refuse_call (call, "no-configuration");
      return;
    }
  call->site = jl_site_keep (proxy->site);
  if (host != NULL)
    call->route = jl_site_find (call->site, host, jl_head_target (head));
  if (call->route == NULL)
    {
      jl_record (JL_RECORD_FAILURE, JL_RECORD_REQUEST_REFUSED,
                 "id=%s reason=no-route host=%s target=%.80s site=%" PRIx64,
                 attempt_of (call), host != NULL ? host : "-",
                 jl_head_target (head), call->site->version);
      answer_call (call, 404, "", "no-route");
      return;
    }
  if (head->has_length && head->length > call->site->body_bytes)
    {
      answer_call (call, 413, "", "too-large");
      return;
    }
  call->service = choose_service (call->route);
  set_deadline (call);
  jl_arrivals_add (&proxy->self->arrivals, call->route->key, 1);
  call->from_target = is_call_route (proxy, call->route->key);
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
  struct jl_call *call = jl_request_data (request);

  (void)context;
  if (call == NULL || call->passing)
    return;
  call->body_bytes += size;
  if (call->body_bytes > call->site->body_bytes)
    {
      answer_call (call, 413, "", "too-large");
      return;
    }
  if (call->kept->len + size <= KEPT_BYTES_MAX && !call->kept_lost)
    g_byte_array_append (call->kept, (const guint8 *)data, (guint)size);
  else
    call->kept_lost = true;
  if (call->upstream == NULL)
    return;
  jl_upstream_body (call->upstream, data, size, call->in_chunks);
  if (jl_upstream_backlog (call->upstream) > JL_CONN_HIGH_BYTES)
    jl_request_hold (request, true);
}

static void
on_end (void *context, struct jl_request *request)
{
  struct jl_call *call = jl_request_data (request);

  (void)context;
  if (call != NULL && call->upstream != NULL && !call->passing)
    jl_upstream_body_end (call->upstream, call->in_chunks);
}

static void
on_client_drained (void *context, struct jl_request *request)
{
  struct jl_call *call = jl_request_data (request);

  (void)context;
  if (call != NULL && call->upstream != NULL)
    jl_upstream_hold (call->upstream, false);
}

static void
on_gone (void *context, struct jl_request *request)
{
  struct jl_call *call = jl_request_data (request);

  (void)context;
  if (call == NULL)
    return;
  call->proxy->counters.left++;
  jl_record (JL_RECORD_FAILURE, JL_RECORD_CLIENT_LEFT,
             "id=%s route=%s member=%s age_ms=%" PRIu64, attempt_of (call),
             call->route->name, call->member != NULL ? call->member->name : "-",
             age_ms (call));
  free_call (call);
}

const struct jl_handler jl_entry_handler = {
  .begin = on_begin,
  .body = on_body,
  .end = on_end,
  .drained = on_client_drained,
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
      link) if (call->member != NULL && !call->passing
                && call->route->repeat == JL_REPEAT_ANY
                && !jl_member_is_heard (call->member, now_us))
      may_have_run (call, "member-silent");
}
