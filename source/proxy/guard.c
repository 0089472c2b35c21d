/**
 * DOC: The guard: the only way to the own target.
 *
 * Work comes from the entries of all daemons. It runs at once, waits in the
 * lane, or is refused; what is refused has not reached the target. An answer
 * is passed on only if the target gave it to this very request.
 */

#include "proxy/proxy.h"

#include "names.h"
#include "proxy/hooks.h"
#include "proxy/relay.h"

#include <string.h>

/* Body of waiting work that is held; its sender waits with the rest. */
#define WAITING_BYTES_MAX 65536
/* Wait for the target, on the same instance, to take a connection. */
#define CONNECT_US (250 * JL_USEC_PER_MSEC)
/* Statuses by which a target says that it has not run the request. */
#define STATUS_MISDIRECTED 421
/* A target answers this at the deadline; that says nothing of its health. */
#define STATUS_GATEWAY_TIMEOUT 504

/**
 * struct jl_work - a request in progress at its guard
 * @item: its place in the lane
 * @line: what the entry said
 * @running: it holds a slot of the target
 * @relay: the entry's request and its sending to the target
 * @fresh: it was sent on a new connection
 * @started_us: when it was sent
 */
struct jl_work
{
  struct cds_list_head link;
  struct jl_lane_item item;
  struct jl_proxy *proxy;
  struct jl_relay relay;
  struct jl_work_line line;
  bool running;
  bool fresh;
  bool body_flowed;
  uint64_t started_us;
  struct jl_timer timer;
};

static void start_work (struct jl_work *work);

/* NULL for none, as a request's data is once it was answered. */
static struct jl_work *
work_of (struct jl_relay *relay)
{
  return relay != NULL ? caa_container_of (relay, struct jl_work, relay) : NULL;
}

static const char *
attempt_of (const struct jl_work *work)
{
  const char *id
      = jl_head_get (jl_request_head (work->relay.request), JL_WIRE_ATTEMPT);

  return id != NULL ? id : "-";
}

static void
release_slot (struct jl_work *work)
{
  struct jl_proxy *proxy = work->proxy;

  if (!work->running)
    return;
  work->running = false;
  jl_lane_finish (&proxy->lane);
}

static void
free_work (struct jl_work *work)
{
  struct jl_proxy *proxy = work->proxy;

  jl_timer_stop (proxy->loop->timers, &work->timer);
  jl_lane_remove (&proxy->lane, &work->item);
  release_slot (work);
  cds_list_del (&work->link);
  jl_relay_clear (&work->relay);
  g_free (work);
}

/* Answers in the target's place. */
static void
reply (struct jl_work *work,
       unsigned status,
       const char *outcome,
       const char *reason)
{
  struct jl_request *request = work->relay.request;
  char fields[128];

  g_snprintf (fields, sizeof fields, "%s: %s\r\n%s: %s\r\n", JL_OUTCOME_FIELD,
              outcome, JL_REASON_FIELD, reason);
  jl_request_set_data (request, NULL);
  free_work (work);
  jl_request_reply (request, status, fields, "", 0);
}

static void
refuse_work (struct jl_work *work, const char *reason)
{
  struct jl_proxy *proxy = work->proxy;

  proxy->counters.work_refused++;
  jl_record (JL_RECORD_FAILURE, JL_RECORD_WORK_REFUSED,
             "id=%s reason=%s service=%s rank=%u left_ms=%u running=%u "
             "waiting=%u limit=%u target=%s state=%s heard_ms=%" PRIu64,
             attempt_of (work), reason, work->line.service, work->line.rank,
             work->line.left_ms, proxy->lane.running, proxy->lane.waiting,
             proxy->lane.limit, proxy->target.last.id,
             jl_target_state_name (proxy->target.state),
             (jl_now () - proxy->target.last_heartbeat_us) / JL_USEC_PER_MSEC);
  reply (work, 503, "not-run", reason);
}

static void
lose_work (struct jl_work *work, const char *reason)
{
  struct jl_proxy *proxy = work->proxy;

  proxy->counters.work_lost++;
  jl_failure_rate_count_run (&proxy->failing, true);
  jl_record (JL_RECORD_FAILURE, JL_RECORD_WORK_FAILED,
             "id=%s reason=%s target=%s ran_ms=%" PRIu64 " running=%u",
             attempt_of (work), reason, proxy->target.last.id,
             (jl_now () - work->started_us) / JL_USEC_PER_MSEC,
             proxy->lane.running);
  reply (work, 502, JL_OFF ("not-run") ? "not-run" : "unknown", reason);
  jl_guard_pump (proxy);
}

static void
note_served (struct jl_work *work, unsigned status)
{
  struct jl_proxy *proxy = work->proxy;
  uint64_t held_us = jl_now () - work->started_us;

  jl_load_shedder_record_hold (&proxy->pressure, held_us);
  jl_failure_rate_count_run (&proxy->failing,
                             status >= 500 && status != STATUS_GATEWAY_TIMEOUT);
  jl_histogram_add (&proxy->counters.target_time, held_us);
  jl_histogram_add (&proxy->counters.lane_time,
                    work->started_us - work->item.arrived_us);
  if (jl_record_wanted (JL_RECORD_SUCCESS))
    jl_record (JL_RECORD_SUCCESS, JL_RECORD_WORK_SERVED,
               "id=%s status=%u target=%s waited_ms=%" PRIu64
               " ran_ms=%" PRIu64,
               attempt_of (work), status, proxy->target.last.id,
               (work->started_us - work->item.arrived_us) / JL_USEC_PER_MSEC,
               held_us / JL_USEC_PER_MSEC);
}

static void
finish_answer (struct jl_work *work)
{
  struct jl_proxy *proxy = work->proxy;
  struct jl_request *request = work->relay.request;

  note_served (work, jl_upstream_head (work->relay.upstream)->status);
  jl_request_set_data (request, NULL);
  free_work (work);
  jl_request_finish (request);
  jl_guard_pump (proxy);
}

/* Whether the answer was given to this request. */
static bool
is_own_answer (const struct jl_work *work, const struct jl_head *head)
{
  const char *asked
      = jl_head_get (jl_request_head (work->relay.request), JL_WIRE_ATTEMPT);
  const char *echoed = jl_head_get (head, JL_WIRE_ATTEMPT);

  return JL_OFF ("match") || asked == NULL
         || (echoed != NULL && strcmp (asked, echoed) == 0);
}

static bool
says_not_run (const struct jl_head *head)
{
  return jl_head_get (head, JL_WIRE_NOT_RUN) != NULL
         || head->status == STATUS_MISDIRECTED;
}

static void
drop_foreign_answer (struct jl_work *work)
{
  const char *echoed
      = jl_head_get (jl_upstream_head (work->relay.upstream), JL_WIRE_ATTEMPT);

  work->proxy->counters.answers_dropped++;
  jl_record (JL_RECORD_FAILURE, JL_RECORD_ANSWER_DROPPED,
             "id=%s echoed=%s status=%u", attempt_of (work),
             echoed != NULL ? echoed : "-",
             jl_upstream_head (work->relay.upstream)->status);
  if (!jl_upstream_skip (work->relay.upstream))
    lose_work (work, "foreign-answer");
}

static void
target_refused (struct jl_work *work)
{
  struct jl_proxy *proxy = work->proxy;
  unsigned status = jl_upstream_head (work->relay.upstream)->status;

  jl_failure_rate_count_run (&proxy->failing, status != STATUS_MISDIRECTED);
  refuse_work (work, status == STATUS_MISDIRECTED ? "target-changed"
                                                  : "target-refused");
  jl_guard_pump (proxy);
}

static void
pass_answer (struct jl_work *work)
{
  if (jl_relay_answer (&work->relay))
    finish_answer (work);
}

static void
on_answer (void *context, struct jl_upstream *upstream)
{
  struct jl_work *work = work_of (context);
  const struct jl_head *head = jl_upstream_head (upstream);

  if (says_not_run (head) && jl_upstream_complete (upstream))
    target_refused (work);
  else if (!is_own_answer (work, head))
    drop_foreign_answer (work);
  else if (jl_head_get (head, "Content-Encoding") != NULL)
    lose_work (work, "encoded-answer");
  else
    pass_answer (work);
}

static void
on_done (void *context, struct jl_upstream *upstream)
{
  (void)upstream;
  finish_answer (work_of (context));
}

static void
break_work (struct jl_work *work)
{
  struct jl_proxy *proxy = work->proxy;
  struct jl_request *request = work->relay.request;

  proxy->counters.work_lost++;
  jl_record (JL_RECORD_FAILURE, JL_RECORD_WORK_FAILED,
             "id=%s reason=answer-broken target=%s", attempt_of (work),
             proxy->target.last.id);
  jl_request_set_data (request, NULL);
  free_work (work);
  jl_request_break (request);
  jl_guard_pump (proxy);
}

static void
note_unreachable (struct jl_proxy *proxy, const char *cause)
{
  if (proxy->target.state != JL_TARGET_UP)
    return;
  jl_target_mark_down (&proxy->target);
  jl_proxy_target_changed (proxy, cause);
}

/* A kept connection had ended before the request left: tries a new one. */
static bool
can_send_fresh (const struct jl_work *work)
{
  return !work->fresh && !work->body_flowed;
}

static void
on_failed (void *context,
           struct jl_upstream *upstream,
           enum jl_upstream_failure failure)
{
  struct jl_work *work = work_of (context);
  struct jl_proxy *proxy = work->proxy;

  (void)upstream;
  if (work->relay.passing)
    break_work (work);
  else if (failure != JL_UPSTREAM_NOT_SENT)
    lose_work (work, failure == JL_UPSTREAM_SPOILED ? "answer-spoiled"
                                                    : "target-lost");
  else if (can_send_fresh (work))
    {
      jl_relay_drop_sending (&work->relay);
      work->fresh = true;
      start_work (work);
    }
  else
    {
      refuse_work (work, "target-unreachable");
      note_unreachable (proxy, "connection-refused");
    }
}

static const struct jl_upstream_ops upstream_ops = {
  .answer = on_answer,
  .piece = jl_relay_on_piece,
  .done = on_done,
  .drained = jl_relay_on_drained,
  .failed = on_failed,
};

static void
on_connect_timer (void *context, struct jl_timer *timer)
{
  struct jl_work *work = context;
  struct jl_proxy *proxy = work->proxy;

  (void)timer;
  if (work->relay.upstream == NULL
      || !jl_upstream_untouched (work->relay.upstream))
    return;
  refuse_work (work, "target-silent");
  note_unreachable (proxy, "connection-timeout");
}

/* Sends work that holds a slot to the target. */
static void
start_work (struct jl_work *work)
{
  struct jl_proxy *proxy = work->proxy;
  const struct jl_head *head = jl_request_head (work->relay.request);
  uint64_t now_us = jl_now ();
  uint64_t left_us
      = work->item.expires_us > now_us ? work->item.expires_us - now_us : 0;
  GString *text = jl_headers_to_target (
      head, (unsigned)(left_us / JL_USEC_PER_MSEC), proxy->target.last.id);

  work->running = true;
  work->started_us = now_us;
  work->relay.upstream = jl_upstream_open (
      proxy->own, proxy->options->target, work->fresh, text,
      strcmp (head->method, "HEAD") == 0, &upstream_ops, &work->relay);
  g_string_free (text, TRUE);
  if (work->relay.upstream == NULL)
    {
      refuse_work (work, "no-connection");
      return;
    }
  jl_loop_after (proxy->loop, &work->timer, CONNECT_US, on_connect_timer, work);
  jl_relay_kept (&work->relay);
  if (!jl_request_ended (work->relay.request))
    jl_request_hold (work->relay.request, false);
}

static struct jl_work *
work_of_item (struct jl_lane_item *item)
{
  return caa_container_of (item, struct jl_work, item);
}

void
jl_guard_pump (struct jl_proxy *proxy)
{
  uint64_t needed_us = (uint64_t)(proxy->pressure.hold_us / 2);
  struct jl_lane_item *item;

  while ((item = jl_lane_take_expired (&proxy->lane, jl_now (), needed_us))
         != NULL)
    refuse_work (work_of_item (item), "expired");
  while ((item = jl_lane_take_next (&proxy->lane)) != NULL)
    start_work (work_of_item (item));
}

void
jl_guard_refuse_waiting (struct jl_proxy *proxy, const char *reason)
{
  struct jl_work *work;
  struct jl_work *next;

  cds_list_for_each_entry_safe (work, next, &proxy->works,
                                link) if (work->item.waiting)
      refuse_work (work, reason);
}

static const char *
refusal_reason (const struct jl_proxy *proxy, const struct jl_work_line *line)
{
  if (JL_OFF ("drain"))
    return NULL;
  if (proxy->target.state == JL_TARGET_LEAVING)
    return "draining";
  if (proxy->guard_closed)
    return "stopping";
  if (proxy->target.state != JL_TARGET_UP)
    return "no-target";
  if (strcmp (proxy->target.last.service, line->service) != 0)
    return "other-service";
  return NULL;
}

static void
arrive (struct jl_work *work)
{
  struct jl_proxy *proxy = work->proxy;
  const char *reason = refusal_reason (proxy, &work->line);

  if (reason != NULL)
    {
      refuse_work (work, reason);
      return;
    }
  proxy->counters.work++;
  work->item.rank = work->line.rank;
  work->item.arrived_us = jl_now ();
  work->item.expires_us
      = work->item.arrived_us + work->line.left_ms * JL_USEC_PER_MSEC;
  work->item.due_us
      = work->item.arrived_us + work->line.goal_ms * JL_USEC_PER_MSEC;
  jl_load_shedder_count_arrival (&proxy->pressure);
  if (jl_lane_is_too_long (&proxy->lane, &work->item,
                           (uint64_t)proxy->pressure.hold_us))
    {
      refuse_work (work, "queue-long");
      return;
    }
  jl_fanout_count_run (&proxy->fanout, work->line.route);
  if (jl_lane_submit (&proxy->lane, &work->item))
    start_work (work);
}

static void
on_begin (void *context, struct jl_request *request)
{
  struct jl_proxy *proxy = context;
  const struct jl_head *head = jl_request_head (request);
  struct jl_work *work;

  if (strcmp (jl_head_target (head), JL_SYNC_PATH) == 0)
    {
      jl_sync_answer (proxy, request);
      return;
    }
  work = g_new0 (struct jl_work, 1);
  work->proxy = proxy;
  jl_relay_init (&work->relay, request);
  cds_list_add_tail (&work->link, &proxy->works);
  if (jl_headers_work (head, &work->line))
    arrive (work);
  else
    reply (work, 400, "not-run", "malformed");
}

static void
on_body (void *context,
         struct jl_request *request,
         const char *data,
         size_t size)
{
  struct jl_work *work = work_of (jl_request_data (request));

  (void)context;
  if (work == NULL || work->relay.passing)
    return;
  if (work->relay.upstream == NULL)
    {
      g_byte_array_append (work->relay.kept, (const guint8 *)data, (guint)size);
      if (work->relay.kept->len > WAITING_BYTES_MAX)
        jl_request_hold (request, true);
      return;
    }
  work->body_flowed = true;
  jl_relay_body (&work->relay, data, size);
}

static void
on_gone (void *context, struct jl_request *request)
{
  struct jl_proxy *proxy = context;
  struct jl_work *work = work_of (jl_request_data (request));

  if (work == NULL)
    return;
  jl_record (JL_RECORD_FAILURE, JL_RECORD_CLIENT_LEFT,
             "id=%s at=guard running=%d", attempt_of (work), work->running);
  free_work (work);
  jl_guard_pump (proxy);
}

const struct jl_handler jl_guard_handler = {
  .begin = on_begin,
  .body = on_body,
  .end = jl_relay_on_end,
  .drained = jl_relay_on_client_drained,
  .gone = on_gone,
};
