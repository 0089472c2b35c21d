/**
 * DOC: The entry: requests of clients and of the local target.
 *
 * The entry sends each request to the daemon of one target. It sends the
 * request to another daemon only if the first target cannot have run it, or if
 * the request is idempotent and the retry budget allows a retry. The entry
 * responds to the client as soon as no further attempt is possible.
 */

#include "proxy/proxy.h"

#include "names.h"
#include "policy/awaited.h"
#include "proxy/call.h"
#include "proxy/demand.h"
#include "proxy/hooks.h"
#include "proxy/identify.h"
#include "proxy/infer.h"
#include "proxy/load-report.h"
#include "proxy/report.h"
#include "proxy/shares.h"
#include "proxy/trial.h"

#include <string.h>

/* Maximum size of a request's body that is buffered for a further attempt. */
#define BUFFERED_BODY_BYTES_MAX 262144u
/* Timeout for sending the first byte of a request to a daemon. */
#define CONNECT_TIMEOUT_US (250 * JL_USEC_PER_MSEC)
/* Status of a target's response when the request's deadline has passed. */
#define STATUS_GATEWAY_TIMEOUT 504

static void on_timer (void *context, struct jl_timer *timer);

/* Returns NULL if @relay is NULL: a request has no data once it is answered. */
static struct jl_call *
call_from_relay (struct jl_relay *relay)
{
  return relay != NULL ? caa_container_of (relay, struct jl_call, relay) : NULL;
}

static bool
can_place_again (const struct jl_call *call)
{
  return call->tried_count < JL_PLACEMENTS_MAX && !call->body_not_buffered
         && jl_now () < call->expires_us;
}

static void
place_again (struct jl_call *call, const char *reason)
{
  call->proxy->counters.placed_again++;
  jl_record (JL_RECORD_FAILURE, JL_RECORD_REQUEST_PLACED_AGAIN,
             "id=%s route=%s reason=%s member=%s arrivals=%u age_ms=%" PRIu64
             " content=%016" PRIx64,
             jl_call_attempt_id (call), call->route->name, reason,
             jl_call_last_member (call), call->targets_reached,
             jl_call_age_ms (call), jl_content_id (&call->content));
  g_strlcpy (call->reason, reason, sizeof call->reason);
  jl_entry_place (call);
}

/* Handles an attempt that has not reached a target. The request is sent to
 * another daemon without use of the retry budget. */
static void
handle_not_delivered (struct jl_call *call, const char *reason)
{
  jl_call_cancel_upstream (call);
  if (can_place_again (call))
    place_again (call, reason);
  else
    jl_call_give_up (call, reason);
}

/* Handles a refusal by a target. The refusal counts against the route's maximum
 * number of attempts, and a further attempt needs the retry budget. */
static void
handle_target_refused (struct jl_call *call, const char *reason)
{
  call->targets_reached++;
  jl_call_cancel_upstream (call);
  if (call->targets_reached < call->route->attempts_max
      && can_place_again (call)
      && jl_demand_spend_retry (call->proxy, call->site, call->route))
    place_again (call, reason);
  else
    jl_call_give_up (call, reason);
}

/* Whether a request that may have run is sent to another daemon; takes the
 * retry from the budget. Only idempotent requests are retried. */
static bool
prepare_repeat (struct jl_call *call)
{
  bool idempotent
      = jl_route_is_idempotent (call->route) || JL_TEST_DISABLED ("once");

  return idempotent && call->targets_reached < call->route->attempts_max
         && can_place_again (call) && jl_trial_may_repeat (call)
         && jl_demand_spend_retry (call->proxy, call->site, call->route);
}

/* Handles an attempt that ended without a response although a target may have
 * run the request. */
static void
handle_unknown_outcome (struct jl_call *call, const char *reason)
{
  call->targets_reached++;
  call->may_have_run = true;
  jl_call_cancel_upstream (call);
  if (prepare_repeat (call))
    place_again (call, reason);
  else
    jl_call_fail (call, 502, reason);
}

static void
record_served (struct jl_call *call, unsigned status)
{
  struct jl_proxy *proxy = call->proxy;

  if (status >= 500 && call->from_target)
    jl_failure_rate_count_failed_call (&proxy->failure_rate);
  proxy->counters.served++;
  jl_histogram_add (&proxy->counters.request_time, jl_now () - call->begun_us);
  if (jl_record_allowed (JL_RECORD_SUCCESS))
    jl_record (JL_RECORD_SUCCESS, JL_RECORD_REQUEST_SERVED,
               "id=%s route=%s status=%u member=%s placements=%u "
               "age_ms=%" PRIu64,
               jl_call_attempt_id (call), call->route->name, status,
               call->member->name, call->tried_count, jl_call_age_ms (call));
}

static void
finish_response (struct jl_call *call)
{
  struct jl_request *request = call->relay.request;

  record_served (call, jl_upstream_head (call->relay.upstream)->status);
  jl_report_answered (call->proxy, jl_content_id (&call->content),
                      call->service);
  jl_request_set_data (request, NULL);
  jl_call_free (call);
  jl_request_end_response (request);
}

static void
start_response (struct jl_call *call)
{
  if (jl_relay_start_response (&call->relay, ""))
    finish_response (call);
}

/*
 * Whether a request to which the target responded with a server error is
 * retried. If so, discards the response and takes the retry from the budget. A
 * request past its deadline is not retried.
 */
static bool
prepare_failure_retry (struct jl_call *call)
{
  if (!jl_route_is_idempotent (call->route)
      || jl_upstream_head (call->relay.upstream)->status
             == STATUS_GATEWAY_TIMEOUT
      || call->targets_reached + 1 >= call->route->attempts_max
      || !can_place_again (call)
      || !jl_demand_spend_retry (call->proxy, call->site, call->route))
    return false;
  call->targets_reached++;
  call->may_have_run = true;
  jl_call_cancel_upstream (call);
  return true;
}

static void
on_response (void *context, struct jl_upstream *upstream)
{
  struct jl_call *call = call_from_relay (context);
  const struct jl_head *head = jl_upstream_head (upstream);
  const char *outcome = jl_head_get (head, JL_OUTCOME_FIELD);
  const char *field = jl_head_get (head, JL_REASON_FIELD);
  char reason[32];

  g_strlcpy (reason, field != NULL ? field : "", sizeof reason);
  call->member->last_answer_us = jl_now ();
  jl_infer_member_answered (call->proxy, call->member);
  jl_load_report_heard (call, head);
  if (outcome == NULL)
    jl_notice_passed_on (call, head);
  if (outcome == NULL && head->status >= 500 && prepare_failure_retry (call))
    place_again (call, "target-failed");
  else if (outcome == NULL && jl_headers_promise_not_run (head))
    handle_unknown_outcome (call, "unstated-refusal");
  else if (outcome == NULL)
    start_response (call);
  else if (strcmp (outcome, "not-run") != 0)
    handle_unknown_outcome (call, reason);
  else if (strcmp (reason, "target-refused") == 0)
    handle_target_refused (call, reason);
  else if (strcmp (reason, "expired") == 0 || strcmp (reason, "poison") == 0)
    {
      jl_call_cancel_upstream (call);
      jl_call_give_up (call, reason);
    }
  else
    handle_not_delivered (call, reason);
}

static void
on_complete (void *context, struct jl_upstream *upstream)
{
  (void)upstream;
  finish_response (call_from_relay (context));
}

/* Ends a request whose response broke off after its head was passed on. Closes
 * the client's connection, so that the client sees that the response is
 * incomplete. */
static void
abort_call (struct jl_call *call, const char *reason)
{
  struct jl_request *request = call->relay.request;

  call->proxy->counters.failed++;
  jl_record (JL_RECORD_FAILURE, JL_RECORD_REQUEST_FAILED,
             "id=%s route=%s reason=%s member=%s age_ms=%" PRIu64
             " content=%016" PRIx64,
             jl_call_attempt_id (call), call->route->name, reason,
             call->member->name, jl_call_age_ms (call),
             jl_content_id (&call->content));
  jl_request_set_data (request, NULL);
  jl_call_free (call);
  jl_request_abort (request);
}

static void
on_failed (void *context,
           struct jl_upstream *upstream,
           enum jl_upstream_failure failure)
{
  struct jl_call *call = call_from_relay (context);

  (void)upstream;
  if (failure == JL_UPSTREAM_LOST)
    jl_infer_call_lost (call);
  if (call->relay.response_started)
    {
      abort_call (call, "answer-broken");
      return;
    }
  jl_roster_note_failure (&call->proxy->roster, call->member, jl_now ());
  if (failure == JL_UPSTREAM_NOT_SENT)
    handle_not_delivered (call, "member-unreachable");
  else
    handle_unknown_outcome (call, "member-lost");
}

static const struct jl_upstream_ops upstream_ops = {
  .response = on_response,
  .body = jl_relay_on_response_body,
  .complete = on_complete,
  .drained = jl_relay_on_drained,
  .failed = on_failed,
};

/* Records that a target may have run the request if any of it was sent. */
static void
note_possible_run (struct jl_call *call)
{
  if (call->relay.upstream != NULL
      && !jl_upstream_is_unsent (call->relay.upstream))
    call->may_have_run = true;
}

static void
expire_call (struct jl_call *call)
{
  note_possible_run (call);
  jl_call_cancel_upstream (call);
  jl_call_fail (call, 504, "deadline");
}

/* Handles the deadline of a request whose response has begun: the rest of it
 * has little more time, since a target may also send without end. */
static void
limit_response (struct jl_call *call, struct jl_timer *timer)
{
  uint64_t until_us = call->expires_us + JL_RESPONSE_GRACE_US;

  if (jl_now () >= until_us)
    abort_call (call, "answer-endless");
  else
    jl_timer_start (call->proxy->loop->timers, timer, until_us, on_timer, call);
}

static void
on_timer (void *context, struct jl_timer *timer)
{
  struct jl_call *call = context;

  if (call->relay.response_started)
    {
      limit_response (call, timer);
      return;
    }
  if (jl_now () >= call->expires_us && !JL_TEST_DISABLED ("deadline"))
    {
      expire_call (call);
      return;
    }
  jl_timer_start (call->proxy->loop->timers, timer, call->expires_us, on_timer,
                  call);
  if (call->relay.upstream == NULL
      || !jl_upstream_is_unsent (call->relay.upstream))
    return;
  jl_roster_note_failure (&call->proxy->roster, call->member, jl_now ());
  jl_infer_member_lost (call->proxy, call->member);
  handle_not_delivered (call, "connect-timeout");
}

static bool
open_upstream (struct jl_call *call)
{
  struct jl_proxy *proxy = call->proxy;
  const struct jl_head *head = jl_request_head (call->relay.request);
  struct jl_work_header work = {
    .rank = jl_shares_rank (call),
    .remaining_ms
    = (unsigned)((call->expires_us - jl_now ()) / JL_USEC_PER_MSEC),
    .latency_goal_ms
    = (unsigned)(call->route->latency_goal_us / JL_USEC_PER_MSEC),
    .route_key = call->route->key,
    .idempotent = jl_route_is_idempotent (call->route),
    .trial = call->on_trial,
    .limited_key = call->member->limited_key,
    .limit = call->member->stated_limit,
  };
  GString *text;

  g_strlcpy (work.service, call->service, sizeof work.service);
  jl_identify_fill_work (call, &work);
  jl_load_report_ask (call, &work);
  text = jl_headers_to_guard (head, &work, call->caller_service);
  call->relay.upstream = jl_upstream_open (
      proxy->peer_pool, call->member->peer, false, 0, text,
      strcmp (head->method, "HEAD") == 0, &upstream_ops, &call->relay);
  g_string_free (text, TRUE);
  return call->relay.upstream != NULL;
}

void
jl_entry_place (struct jl_call *call)
{
  struct jl_proxy *proxy = call->proxy;
  uint64_t now_us = jl_now ();
  struct jl_member *member;

  if (!jl_identify_call (call))
    return;
  member = jl_call_choose_daemon (call, now_us);
  if (member == NULL || now_us >= call->expires_us)
    {
      jl_call_give_up (call,
                       call->reason[0] != '\0' ? call->reason : "no-target");
      return;
    }
  call->tried[call->tried_count++] = member;
  call->member = member;
  call->target_key = jl_member_target_key (member);
  call->loss_inferred = false;
  call->trial_heard_us = now_us;
  call->trial_running = false;
  member->asked_us = now_us;
  member->outstanding++;
  jl_load_report_sent (call);
  if (strcmp (member->zone, proxy->roster.local_zone) != 0)
    proxy->counters.other_zone++;
  if (!open_upstream (call))
    {
      jl_roster_note_failure (&proxy->roster, member, now_us);
      handle_not_delivered (call, "no-connection");
      return;
    }
  jl_timer_start (proxy->loop->timers, &call->timer,
                  MIN (call->expires_us, now_us + CONNECT_TIMEOUT_US), on_timer,
                  call);
  jl_relay_send_buffered_body (&call->relay);
}

static void
set_deadline (struct jl_call *call)
{
  uint64_t wait_us = call->route->timeout_us;
  uint64_t deadline_ms;

  if (jl_head_get_number (jl_request_head (call->relay.request),
                          JL_HEADER_DEADLINE_MS, &deadline_ms))
    wait_us = MIN (wait_us, deadline_ms * JL_USEC_PER_MSEC);
  call->expires_us = call->begun_us + wait_us;
}

static struct jl_call *
new_call (struct jl_proxy *proxy, struct jl_request *request)
{
  struct jl_call *call = g_new0 (struct jl_call, 1);

  call->proxy = proxy;
  jl_relay_init (&call->relay, request);
  jl_content_begin (&call->content, jl_request_head (request));
  call->begun_us = jl_now ();
  call->expires_us = call->begun_us + JL_USEC_PER_SEC;
  call->inherited_rank = JL_NONE;
  call->caller_service = g_intern_string (jl_proxy_service (proxy));
  call->zone = proxy->roster.local_zone;
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
  call->site = jl_site_keep (proxy->site);
  if (host != NULL)
    call->route = jl_site_find_route (call->site, host, jl_head_target (head));
  if (call->route == NULL)
    {
      jl_record (JL_RECORD_FAILURE, JL_RECORD_REQUEST_REFUSED,
                 "id=%s reason=no-route host=%s target=%.80s site=%" PRIx64,
                 jl_call_attempt_id (call), host != NULL ? host : "-",
                 jl_head_target (head), call->site->version);
      jl_call_respond (call, 404, "", "no-route");
      return;
    }
  if (!jl_identify_call (call))
    return;
  if (call->route->unreadable)
    {
      jl_call_refuse (call, "unreadable-route");
      return;
    }
  if (jl_head_count (head, JL_HEADER_ATTEMPT_ID) > 1)
    {
      jl_call_respond (call, 400, "", "two-ids");
      return;
    }
  if (head->has_length && head->length > call->site->body_bytes_max)
    {
      jl_call_respond (call, 413, "", "too-large");
      return;
    }
  call->service = jl_call_choose_service (call->route);
  set_deadline (call);
  jl_arrivals_add (&proxy->self->arrivals, call->route->key, 1);
  call->from_target = jl_demand_is_call_route (proxy, call->route->key);
  if (!jl_trial_hold_call (call))
    jl_entry_start (call);
}

static void
on_body (void *context,
         struct jl_request *request,
         const char *data,
         size_t size)
{
  struct jl_call *call = call_from_relay (jl_request_data (request));

  (void)context;
  if (call == NULL || call->relay.response_started)
    return;
  jl_content_add_body (&call->content, data, size);
  call->body_bytes += size;
  if (call->body_bytes > call->site->body_bytes_max)
    {
      jl_call_respond (call, 413, "", "too-large");
      return;
    }
  if (call->relay.hold != JL_HOLD_NONE)
    {
      jl_relay_hold_body (&call->relay, data, size);
      jl_trial_identify_call (call);
      return;
    }
  if (call->relay.buffered_body->len + size <= BUFFERED_BODY_BYTES_MAX
      && !call->body_not_buffered)
    g_byte_array_append (call->relay.buffered_body, (const guint8 *)data,
                         (guint)size);
  else
    call->body_not_buffered = true;
  if (call->relay.upstream == NULL)
    return;
  jl_relay_send_body (&call->relay, data, size);
}

static void
on_end (void *context, struct jl_request *request)
{
  struct jl_call *call = call_from_relay (jl_request_data (request));

  if (call == NULL)
    return;
  jl_content_end_body (&call->content);
  if (call->relay.hold == JL_HOLD_NONE)
    jl_relay_on_end (context, request);
  else
    jl_trial_identify_call (call);
}

static void
on_disconnected (void *context, struct jl_request *request)
{
  struct jl_call *call = call_from_relay (jl_request_data (request));

  (void)context;
  if (call == NULL)
    return;
  call->proxy->counters.clients_left++;
  jl_record (JL_RECORD_FAILURE, JL_RECORD_CLIENT_LEFT,
             "id=%s route=%s member=%s age_ms=%" PRIu64,
             jl_call_attempt_id (call), call->route->name,
             call->member != NULL ? call->member->name : "-",
             jl_call_age_ms (call));
  jl_call_free (call);
}

const struct jl_handler jl_entry_handler = {
  .begin = on_begin,
  .body = on_body,
  .end = on_end,
  .drained = jl_relay_on_client_drained,
  .disconnected = on_disconnected,
};

/* Reports the requests that are in progress at daemons whose beacons are
 * missing. */
static void
report_silent_members (struct jl_proxy *proxy, uint64_t now_us)
{
  const struct jl_call *call;

  cds_list_for_each_entry (call, &proxy->calls, link)
  {
    if (call->member != NULL && !call->loss_inferred
        && !jl_member_is_alive (call->member, now_us))
      jl_infer_member_lost (proxy, call->member);
  }
}

/* Sends a request at a silent daemon to another one. If that is not possible,
 * the request stays there: the daemon may live, and its response may come. */
static void
leave_silent_member (struct jl_call *call, uint64_t now_us)
{
  if (jl_call_choose_daemon (call, now_us) == NULL)
    return;
  call->targets_reached++;
  if (!prepare_repeat (call))
    {
      call->targets_reached--;
      return;
    }
  call->may_have_run = true;
  jl_call_cancel_upstream (call);
  place_again (call, "member-silent");
}

/* Answers a request that cannot be awaited any longer. */
static void
end_call (struct jl_call *call)
{
  note_possible_run (call);
  jl_call_give_up (call, "stopping");
}

bool
jl_entry_end_all (struct jl_proxy *proxy)
{
  bool any = !cds_list_empty (&proxy->calls);
  struct jl_call *call;
  struct jl_call *next;

  cds_list_for_each_entry_safe (call, next, &proxy->calls,
                                link) if (!call->relay.response_started)
      end_call (call);
  return any;
}

void
jl_entry_check_members (struct jl_proxy *proxy)
{
  struct jl_call *call;
  struct jl_call *next;
  uint64_t now_us = jl_now ();

  report_silent_members (proxy, now_us);
  cds_list_for_each_entry_safe (
      call, next, &proxy->calls,
      link) if (call->member != NULL && !call->relay.response_started
                && !jl_member_is_alive (call->member, now_us))
      leave_silent_member (call, now_us);
}
