/**
 * DOC: Requests whose content may be suspect, at the entry and at the guard.
 */

#include "proxy/trial.h"

#include "proxy/hooks.h"
#include "proxy/infer.h"
#include "proxy/report.h"
#include "proxy/watch.h"

#include <string.h>

/* A request waits for the result of a trial for at most the time left until its
 * deadline divided by this, so that its caller can come back if it is refused.
 */
#define WAIT_DIVISOR 2
/* Maximum random delay before a request that waited begins the next trial. The
 * others at other entries learn of it meanwhile. */
#define NEXT_TRIAL_JITTER_US (300 * JL_USEC_PER_MSEC)
/* The same after an answer, which makes an end by the next trial less likely.
 */
#define ANSWERED_JITTER_US (60 * JL_USEC_PER_MSEC)
/* Time without such a report after which a trial is lost. Its end is reported
 * before others cease to await its result. */
#define LOST_US (700 * JL_USEC_PER_MSEC)

static bool
has_to_be_known (const struct jl_proxy *proxy, const struct jl_content *content)
{
  return !JL_TEST_DISABLED ("poison")
         && jl_suspects_knows_head (&proxy->suspects, content->head);
}

static struct jl_verdict
judge_call (const struct jl_call *call)
{
  return jl_suspects_judge (&call->proxy->suspects,
                            jl_content_id (&call->content),
                            jl_name_key (call->service), jl_now ());
}

static void decide_call (struct jl_call *call);

static void
on_call_timer (void *context, struct jl_timer *timer)
{
  struct jl_call *call = context;

  (void)timer;
  if (call->relay.hold == JL_HOLD_BODY)
    jl_call_fail (call, 504, "deadline");
  else
    decide_call (call);
}

static void
log_held (const char *id,
          const char *where,
          const struct jl_content *content,
          uint64_t until_us)
{
  jl_record (JL_RECORD_FAILURE, JL_RECORD_REQUEST_HELD,
             "id=%s at=%s content=%016" PRIx64 " until_ms=%" PRIu64, id, where,
             jl_content_id (content),
             (until_us - jl_now ()) / JL_USEC_PER_MSEC);
}

static uint64_t
jitter_us (uint64_t max_us)
{
  return (uint64_t)g_random_int_range (0, (gint32)max_us);
}

/* Lets a request wait for the result of a trial, which is awaited until
 * @until_us. */
static void
hold_call_for_result (struct jl_call *call, uint64_t until_us)
{
  struct jl_proxy *proxy = call->proxy;
  uint64_t now_us = jl_now ();

  if (call->relay.hold != JL_HOLD_RESULT)
    {
      call->relay.hold = JL_HOLD_RESULT;
      call->held_until_us = now_us + (call->expires_us - now_us) / WAIT_DIVISOR;
      proxy->counters.requests_held++;
      log_held (jl_call_attempt_id (call), "entry", &call->content,
                call->held_until_us);
    }
  if (now_us >= call->held_until_us)
    jl_call_refuse (call, "suspect");
  else
    jl_timer_start (
        proxy->loop->timers, &call->timer,
        MIN (call->held_until_us, until_us + jitter_us (NEXT_TRIAL_JITTER_US)),
        on_call_timer, call);
}

static void
release_call (struct jl_call *call)
{
  call->relay.hold = JL_HOLD_NONE;
  jl_timer_stop (call->proxy->loop->timers, &call->timer);
  if (!jl_request_is_complete (call->relay.request))
    jl_request_set_read_paused (call->relay.request, false);
  jl_entry_start (call);
}

static void
log_trial (const char *id,
           const char *where,
           const struct jl_relay *relay,
           const struct jl_content *content)
{
  const struct jl_head *head = jl_request_head (relay->request);

  jl_record (JL_RECORD_CHANGE, JL_RECORD_TRIAL_BEGUN,
             "id=%s at=%s content=%016" PRIx64 " method=%s request=%.80s", id,
             where, jl_content_id (content), head->method,
             jl_head_target (head));
}

static void
begin_trial (struct jl_call *call)
{
  call->on_trial = true;
  call->trial_begun_us = jl_now ();
  call->relay.hold = JL_HOLD_NONE;
  call->proxy->counters.trials++;
  log_trial (jl_call_attempt_id (call), "entry", &call->relay, &call->content);
  jl_report_trial (call->proxy, JL_REPORT_TRIAL_BEGUN,
                   jl_content_id (&call->content));
  release_call (call);
}

static void
decide_call (struct jl_call *call)
{
  struct jl_verdict verdict = judge_call (call);

  switch (verdict.suspicion)
    {
    case JL_SUSPICION_NONE:
      release_call (call);
      break;
    case JL_SUSPICION_SUSPECT:
      begin_trial (call);
      break;
    case JL_SUSPICION_ON_TRIAL:
      hold_call_for_result (call, verdict.until_us);
      break;
    case JL_SUSPICION_REFUSED:
      call->proxy->counters.poison_refused++;
      jl_call_refuse_until (call, "poison", verdict.until_us);
      break;
    }
}

bool
jl_trial_hold_call (struct jl_call *call)
{
  if (!has_to_be_known (call->proxy, &call->content))
    return false;
  call->relay.hold = JL_HOLD_BODY;
  jl_timer_start (call->proxy->loop->timers, &call->timer, call->expires_us,
                  on_call_timer, call);
  return true;
}

void
jl_trial_identify_call (struct jl_call *call)
{
  if (call->relay.hold == JL_HOLD_BODY && call->content.known)
    decide_call (call);
}

bool
jl_trial_may_repeat (const struct jl_call *call)
{
  return !call->on_trial && judge_call (call).suspicion == JL_SUSPICION_NONE;
}

void
jl_trial_end_call (struct jl_call *call)
{
  bool was_sent = call->relay.upstream != NULL
                  && !jl_upstream_is_unsent (call->relay.upstream);

  if (!call->on_trial || call->may_have_run || was_sent)
    return;
  call->on_trial = false;
  if (judge_call (call).suspicion == JL_SUSPICION_ON_TRIAL)
    jl_report_trial (call->proxy, JL_REPORT_TRIAL_OVER,
                     jl_content_id (&call->content));
}

/* Whether a trial may begin at the own target: none is in progress there, and
 * the end of an earlier one would have been noticed. */
static bool
can_begin_at_target (const struct jl_proxy *proxy)
{
  return proxy->trial_work == NULL && !jl_watch_is_in_doubt (proxy->watch);
}

static struct jl_verdict
judge_work (const struct jl_work *work)
{
  return jl_suspects_judge (&work->proxy->suspects,
                            jl_content_id (&work->content),
                            jl_name_key (work->header.service), jl_now ());
}

static void decide_work (struct jl_work *work);

static void
on_work_timer (void *context, struct jl_timer *timer)
{
  struct jl_work *work = context;

  (void)timer;
  if (work->relay.hold == JL_HOLD_BODY)
    jl_guard_refuse (work, "expired");
  else
    decide_work (work);
}

static void
hold_work_for_result (struct jl_work *work)
{
  struct jl_proxy *proxy = work->proxy;
  uint64_t now_us = jl_now ();

  if (work->relay.hold != JL_HOLD_RESULT)
    {
      work->relay.hold = JL_HOLD_RESULT;
      work->held_until_us
          = now_us + (work->item.expires_us - now_us) / WAIT_DIVISOR;
      proxy->counters.requests_held++;
      log_held (jl_guard_attempt_id (work), "guard", &work->content,
                work->held_until_us);
    }
  if (now_us >= work->held_until_us)
    jl_guard_refuse (work, "suspect");
  else
    jl_timer_start (proxy->loop->timers, &work->timer, work->held_until_us,
                    on_work_timer, work);
}

static void
release_work (struct jl_work *work)
{
  work->relay.hold = JL_HOLD_NONE;
  jl_timer_stop (work->proxy->loop->timers, &work->timer);
  jl_guard_start (work);
}

static void
begin_trial_at_target (struct jl_work *work)
{
  struct jl_proxy *proxy = work->proxy;

  work->on_trial = true;
  work->fresh_connection = true;
  work->relay.hold = JL_HOLD_NONE;
  proxy->trial_work = work;
  log_trial (jl_guard_attempt_id (work), "guard", &work->relay, &work->content);
  if (!work->header.trial)
    {
      proxy->counters.trials++;
      jl_report_trial (proxy, JL_REPORT_TRIAL_BEGUN,
                       jl_content_id (&work->content));
    }
  release_work (work);
}

static void
decide_work (struct jl_work *work)
{
  enum jl_suspicion suspicion = judge_work (work).suspicion;

  if (suspicion == JL_SUSPICION_REFUSED)
    {
      work->proxy->counters.poison_refused++;
      jl_guard_refuse (work, "poison");
    }
  else if (suspicion == JL_SUSPICION_NONE && !work->header.trial)
    release_work (work);
  else if (can_begin_at_target (work->proxy))
    begin_trial_at_target (work);
  else
    hold_work_for_result (work);
}

bool
jl_trial_hold_work (struct jl_work *work)
{
  bool has_to_wait = has_to_be_known (work->proxy, &work->content);
  bool is_trial = work->header.trial;

  if (has_to_wait)
    {
      work->relay.hold = JL_HOLD_BODY;
      jl_timer_start (work->proxy->loop->timers, &work->timer,
                      work->item.expires_us, on_work_timer, work);
    }
  else if (is_trial)
    /* This may refuse the work, which frees it. */
    decide_work (work);
  return has_to_wait || is_trial;
}

void
jl_trial_identify_work (struct jl_work *work)
{
  if (work->relay.hold == JL_HOLD_BODY && work->content.known)
    decide_work (work);
}

/* Whether the daemon that runs a trial of this entry has stopped to report it.
 * Older daemons report none. */
static bool
is_trial_lost (const struct jl_call *call, uint64_t now_us)
{
  return call->on_trial && call->member != NULL && call->relay.upstream != NULL
         && call->member->target_key != 0
         && !jl_upstream_is_unsent (call->relay.upstream)
         && now_us > call->trial_heard_us + LOST_US
         && now_us < call->trial_begun_us + JL_TRIAL_REPORTED_US;
}

void
jl_trial_heard (struct jl_proxy *proxy,
                uint64_t content,
                const char *by,
                bool running)
{
  struct jl_call *call;

  cds_list_for_each_entry (call, &proxy->calls, link)
  {
    if (!call->on_trial || call->member == NULL
        || strcmp (call->member->name, by) != 0
        || jl_content_id (&call->content) != content)
      continue;
    call->trial_heard_us = jl_now ();
    call->trial_running |= running;
  }
}

static void
report_trial (struct jl_work *work, uint64_t now_us)
{
  work->trial_reported_us = now_us;
  jl_report_trial (work->proxy,
                   work->running ? JL_REPORT_TRIAL_RUNNING
                                 : JL_REPORT_TRIAL_BEGUN,
                   jl_content_id (&work->content));
}

static void
report_trial_in_progress (struct jl_work *work, uint64_t now_us)
{
  if (!work->on_trial && !work->header.trial)
    return;
  if (now_us > work->item.arrived_us + JL_TRIAL_REPORTED_US
      || now_us < work->trial_reported_us + JL_TRIAL_REPORT_PERIOD_US)
    return;
  report_trial (work, now_us);
}

void
jl_trial_started (struct jl_work *work)
{
  if (work->on_trial)
    report_trial (work, jl_now ());
}

void
jl_trial_check (struct jl_proxy *proxy)
{
  struct jl_call *call;
  struct jl_work *work;
  uint64_t now_us = jl_now ();

  cds_list_for_each_entry (call, &proxy->calls, link)
  {
    if (is_trial_lost (call, now_us))
      jl_infer_call_lost (call);
  }
  cds_list_for_each_entry (work, &proxy->work_items, link)
      report_trial_in_progress (work, now_us);
}

/* Decides again on the held requests with @content, each after a random delay
 * of at most @max_us. */
static void
continue_calls (struct jl_proxy *proxy, uint64_t content, uint64_t max_us)
{
  struct jl_call *call;

  cds_list_for_each_entry (call, &proxy->calls, link)
  {
    if (call->relay.hold != JL_HOLD_RESULT
        || jl_content_id (&call->content) != content)
      continue;
    jl_loop_start_timer (proxy->loop, &call->timer,
                         max_us > 0 ? jitter_us (max_us) : 0, on_call_timer,
                         call);
  }
}

void
jl_trial_continue (struct jl_proxy *proxy, uint64_t content, bool answered)
{
  uint64_t max_us = answered ? ANSWERED_JITTER_US : NEXT_TRIAL_JITTER_US;
  enum jl_suspicion suspicion
      = jl_suspects_judge (&proxy->suspects, content, JL_ANY_SERVICE, jl_now ())
            .suspicion;

  if (suspicion == JL_SUSPICION_ON_TRIAL)
    return;
  continue_calls (proxy, content,
                  suspicion == JL_SUSPICION_SUSPECT ? max_us : 0);
  jl_trial_continue_work (proxy);
}

void
jl_trial_continue_work (struct jl_proxy *proxy)
{
  struct jl_work *work;

  cds_list_for_each_entry (work, &proxy->work_items, link)
  {
    if (work->relay.hold == JL_HOLD_RESULT)
      jl_loop_start_timer (proxy->loop, &work->timer, 0, on_work_timer, work);
  }
}
