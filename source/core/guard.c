/**
 * DOC: The guard: the life cycle of work items, from arrival to result.
 */

#include "guard.h"

#include <string.h>

#include "admit.h"
#include "attempt-table.h"
#include "entry.h"
#include "graph.h"
#include "member.h"
#include "once.h"
#include "poison.h"

/* The target counts as down if it does not announce itself for this long. */
#define ANNOUNCE_LEASE_US (2500 * JL_USEC_PER_MSEC)
/*
 * A draining daemon keeps refusing work for at least this long, so that its
 * peers learn that it drains.
 */
#define DRAIN_NOTICE_US (2 * JL_USEC_PER_SEC)
/*
 * Maximum time for which a draining daemon accepts calls from callers. It exits
 * earlier if no call is in progress.
 */
#define DRAIN_ENTRY_MAX_US (30 * JL_USEC_PER_SEC)
/*
 * Retry delay of an attempt that is refused before admission. Up to 100% of
 * jitter is added.
 */
#define RETRY_AFTER_BASE_MS 500

static const struct jl_kind *
kind_of (const struct jl_work *work)
{
  return &work->config->kinds[work->kind];
}

static void
mark_target_down (struct jl_core *core, enum jl_reason reason)
{
  if (!core->target.up)
    return;
  core->target.up = false;
  jl_timer_stop (core->timers, &core->target.lease_timer);
  jl_admit_set_slots (core, 0);
  jl_admit_refuse_all (core, JL_REASON_TARGET_LOST);
  jl_members_self_changed (core);
  jl_log_event (core, JL_LOG_TARGET_DOWN, reason, 0);
}

static void
handle_lease_expired (void *context, struct jl_timer *timer G_GNUC_UNUSED)
{
  mark_target_down (context, JL_REASON_TIMEOUT);
}

static void
find_service (struct jl_core *core)
{
  core->target.service = JL_NONE;
  if (core->config != NULL)
    core->target.service
        = jl_config_find_service (core->config, core->target.service_name);
}

void
jl_guard_config (struct jl_core *core)
{
  find_service (core);
}

void
jl_guard_announce (struct jl_core *core,
                   const struct jl_event_announce *announce)
{
  struct jl_target *target = &core->target;
  bool changed = !target->up || target->started != announce->started
                 || target->slots != announce->slots
                 || strcmp (target->service_name, announce->service) != 0;

  if (core->draining)
    return;
  jl_timer_start (core->timers, &target->lease_timer,
                  core->now_us + ANNOUNCE_LEASE_US, handle_lease_expired, core);
  target->announced_us = core->now_us;
  if (!changed)
    return;
  g_strlcpy (target->service_name, announce->service, JL_NAME_SIZE);
  target->slots = announce->slots;
  target->connections = announce->connections;
  target->started = announce->started;
  target->up = true;
  find_service (core);
  jl_admit_set_slots (core, announce->slots);
  jl_members_self_changed (core);
  jl_log_event (core, JL_LOG_TARGET_UP, announce->slots, announce->started);
}

void
jl_guard_target_leave (struct jl_core *core)
{
  mark_target_down (core, JL_REASON_DRAINING);
}

/*
 * Fills the report of an answer with the load and level of this daemon, and
 * with the levels that the answers to the calls of @work reported.
 */
static void
fill_report (struct jl_core *core,
             struct jl_report *report,
             const struct jl_work *work)
{
  report->load_permille = jl_admit_load_permille (core);
  if (core->target.service != JL_NONE)
    jl_report_add (report, core->target.service, jl_admit_level (core));
  if (work != NULL)
    jl_report_merge (report, &work->report);
}

/* Refuses an attempt for which no work item was created. */
static void
refuse_event (struct jl_core *core,
              const struct jl_event_work *event,
              enum jl_outcome outcome,
              enum jl_reason reason)
{
  struct jl_effect_finish *finish = &jl_emit (core, JL_EFFECT_FINISH)->finish;

  finish->work = event->work;
  finish->outcome = outcome;
  finish->reason = reason;
  finish->tokens = event->tokens;
  finish->no_retry = outcome != JL_OUTCOME_NOT_RUN;
  finish->retry_after_ms
      = RETRY_AFTER_BASE_MS + jl_random_below (core, RETRY_AFTER_BASE_MS);
  fill_report (core, &finish->report, NULL);
  core->counts.refused_reason[reason]++;
}

/*
 * Returns the reason to refuse an attempt before admission, or JL_REASON_NONE.
 */
static enum jl_reason
check_event (struct jl_core *core, const struct jl_event_work *event)
{
  if (core->config == NULL)
    return JL_REASON_NO_CONFIG;
  if (event->kind >= core->config->kind_count
      || event->config_version != core->config->version)
    return JL_REASON_NO_KIND;
  if (core->draining)
    return JL_REASON_DRAINING;
  if (!core->target.up)
    return JL_REASON_TARGET_LOST;
  if (core->config->kinds[event->kind].service != core->target.service)
    return JL_REASON_NO_TARGET;
  if (event->budget_us == 0)
    return JL_REASON_DEADLINE;
  if (jl_poison_refuses (core, event->digest))
    return JL_REASON_POISON;
  return JL_REASON_NONE;
}

static struct jl_work *
make_work (struct jl_core *core, const struct jl_event_work *event)
{
  struct jl_work *work = g_new0 (struct jl_work, 1);

  work->number = event->work;
  work->config = jl_config_keep (core->config);
  work->attempt = event->attempt;
  work->kind = event->kind;
  work->priority = event->priority % JL_PRIORITY_COUNT;
  work->digest = event->digest;
  work->invested_us = event->invested_us;
  work->arrived_us = core->now_us;
  work->deadline_us = core->now_us + event->budget_us;
  work->anchor = event->anchor;
  work->tokens = event->tokens;
  work->tokens_initial = event->tokens;
  CDS_INIT_LIST_HEAD (&work->queue);
  CDS_INIT_LIST_HEAD (&work->children);
  g_hash_table_insert (core->works, JL_HASH_KEY (work->number), work);
  return work;
}

void
jl_guard_work (struct jl_core *core, const struct jl_event_work *event)
{
  enum jl_attempt_state state = jl_attempt_find_state (core, event->attempt);
  enum jl_reason reason;
  struct jl_work *work;

  if (state == JL_ATTEMPT_TOMBSTONE
      && JL_SWITCHED_OFF (core, JL_MECHANISM_TOMBSTONE))
    state = JL_ATTEMPT_UNKNOWN;
  if (state == JL_ATTEMPT_TOMBSTONE)
    {
      refuse_event (core, event, JL_OUTCOME_NOT_RUN, JL_REASON_CANCELLED);
      return;
    }
  if (state != JL_ATTEMPT_UNKNOWN)
    {
      refuse_event (core, event, JL_OUTCOME_UNKNOWN, JL_REASON_DUPLICATE);
      return;
    }
  reason = check_event (core, event);
  if (reason != JL_REASON_NONE)
    {
      jl_attempt_set_state (core, event->attempt, JL_ATTEMPT_TOMBSTONE);
      refuse_event (core, event, JL_OUTCOME_NOT_RUN, reason);
      return;
    }
  jl_attempt_set_state (core, event->attempt, JL_ATTEMPT_ACCEPTED);
  jl_attempt_set_work (core, event->attempt, event->work);
  work = make_work (core, event);
  core->counts.works[work->priority / JL_SAMPLE_COUNT]++;
  jl_admit_submit (core, work);
}

/* Reports the result of a work item to its sender and frees the item. */
static struct jl_effect_finish *
finish_work (struct jl_core *core,
             struct jl_work *work,
             enum jl_outcome outcome,
             enum jl_reason reason)
{
  struct jl_effect_finish *finish;

  jl_entry_work_ended (core, work);
  finish = &jl_emit (core, JL_EFFECT_FINISH)->finish;
  finish->work = work->number;
  finish->outcome = outcome;
  finish->reason = reason;
  finish->tokens = work->tokens;
  fill_report (core, &finish->report, work);
  jl_timer_stop (core->timers, &work->timer);
  g_hash_table_remove (core->works, JL_HASH_KEY (work->number));
  jl_config_drop (work->config);
  g_free (work);
  return finish;
}

void
jl_guard_refuse (struct jl_core *core,
                 struct jl_work *work,
                 enum jl_reason reason,
                 uint32_t retry_after_ms)
{
  JL_INVARIANT (work->state == JL_WORK_WAITING,
                "only a waiting work item is refused as not run");
  jl_attempt_set_state (core, work->attempt, JL_ATTEMPT_TOMBSTONE);
  core->counts.refused[work->priority / JL_SAMPLE_COUNT]++;
  core->counts.refused_reason[reason]++;
  finish_work (core, work, JL_OUTCOME_NOT_RUN, reason)->retry_after_ms
      = retry_after_ms;
}

void
jl_guard_run (struct jl_core *core, struct jl_work *work)
{
  struct jl_effect_run *run;

  JL_INVARIANT (work->state == JL_WORK_WAITING,
                "a work item starts at most once");
  JL_INVARIANT (core->now_us < work->deadline_us,
                "no work item starts after its deadline");
  work->state = JL_WORK_RUNNING;
  work->started_us = core->now_us;
  work->target_started = core->target.started;
  if (!kind_of (work)->idempotent)
    work->anchor = jl_once_issue_ticket (core);
  core->counts.runs[work->priority / JL_SAMPLE_COUNT]++;
  run = &jl_emit (core, JL_EFFECT_RUN)->run;
  run->work = work->number;
  run->budget_us = work->deadline_us - core->now_us;
}

/* Handles a connection to the target that broke during a run. */
static void
handle_broken_run (struct jl_core *core, struct jl_work *work)
{
  enum jl_reason reason = JL_REASON_TARGET_LOST;

  if (!work->cancelled && jl_poison_target_died (core, work))
    reason = JL_REASON_POISON;
  finish_work (core, work, JL_OUTCOME_UNKNOWN, reason);
}

void
jl_guard_result (struct jl_core *core, const struct jl_event_work_result *event)
{
  struct jl_work *work
      = g_hash_table_lookup (core->works, JL_HASH_KEY (event->work));
  uint64_t latency_us;

  if (work == NULL || work->state != JL_WORK_RUNNING)
    return;
  latency_us = core->now_us - work->started_us;
  jl_admit_done (core, work, event->result == JL_RUN_ANSWERED ? latency_us : 0);
  switch (event->result)
    {
    case JL_RUN_ANSWERED:
      jl_poison_request_answered (core, work->digest);
      finish_work (core, work, JL_OUTCOME_DONE, JL_REASON_NONE);
      return;
    case JL_RUN_NOT_SENT:
      jl_attempt_set_state (core, work->attempt, JL_ATTEMPT_TOMBSTONE);
      if (work->target_started == core->target.started)
        mark_target_down (core, JL_REASON_TARGET_LOST);
      finish_work (core, work, JL_OUTCOME_NOT_RUN, JL_REASON_TARGET_LOST);
      return;
    case JL_RUN_BROKEN:
      handle_broken_run (core, work);
      return;
    case JL_RUN_TIMEOUT:
      finish_work (core, work, JL_OUTCOME_UNKNOWN, JL_REASON_TIMEOUT);
      return;
    case JL_RUN_ABORTED:
      finish_work (core, work, JL_OUTCOME_UNKNOWN, JL_REASON_CANCELLED);
      return;
    case JL_RUN_TOO_LARGE:
      finish_work (core, work, JL_OUTCOME_UNKNOWN, JL_REASON_TOO_LARGE)
          ->no_retry
          = true;
      return;
    }
}

static void
answer_cancel (struct jl_core *core,
               const struct jl_message *cancel,
               enum jl_message_type type)
{
  struct jl_effect_message *effect = jl_emit (core, JL_EFFECT_MESSAGE)->message;

  effect->to = jl_member_endpoint (cancel->from.member);
  effect->message.type = type;
  effect->message.from = core->identity;
  effect->message.to = cancel->from;
  effect->message.attempt = cancel->attempt;
  core->counts.messages_sent++;
}

void
jl_guard_cancel (struct jl_core *core, const struct jl_message *message)
{
  uint64_t number = jl_attempt_find_work (core, message->attempt);
  struct jl_work *work
      = g_hash_table_lookup (core->works, JL_HASH_KEY (number));

  /* An earlier process of this daemon may have run the attempt. */
  if (message->to.epoch != core->identity.epoch)
    {
      answer_cancel (core, message, JL_MESSAGE_CANCEL_LATE);
      return;
    }
  if (work != NULL && work->state == JL_WORK_WAITING)
    {
      jl_admit_remove (core, work);
      jl_guard_refuse (core, work, JL_REASON_CANCELLED, 0);
    }
  else if (work != NULL && !work->cancelled)
    {
      work->cancelled = true;
      jl_entry_work_ended (core, work);
      jl_emit (core, JL_EFFECT_ABORT_WORK)->abort_work = work->number;
    }
  if (jl_attempt_find_state (core, message->attempt) == JL_ATTEMPT_UNKNOWN)
    jl_attempt_set_state (core, message->attempt, JL_ATTEMPT_TOMBSTONE);
  answer_cancel (core, message,
                 jl_attempt_find_state (core, message->attempt)
                         == JL_ATTEMPT_TOMBSTONE
                     ? JL_MESSAGE_CANCELLED
                     : JL_MESSAGE_CANCEL_LATE);
}

/*
 * Does nothing. The timer only makes the reducer run a step, at the end of
 * which jl_guard_check_drained() is called.
 */
static void
handle_drain_notice_end (void *context G_GNUC_UNUSED,
                         struct jl_timer *timer G_GNUC_UNUSED)
{
}

void
jl_guard_drain (struct jl_core *core)
{
  if (core->draining)
    return;
  core->draining = true;
  core->drain_refuse_from_us = core->now_us + DRAIN_ENTRY_MAX_US;
  jl_timer_start (core->timers, &core->drain_notice_timer,
                  core->now_us + DRAIN_NOTICE_US, handle_drain_notice_end,
                  core);
  jl_members_leave (core);
  jl_log_event (core, JL_LOG_DRAIN_STARTED, 0, 0);
}

void
jl_guard_check_drained (struct jl_core *core)
{
  if (!core->draining || core->exit_emitted
      || core->drain_notice_timer.heap_position != 0)
    return;
  if ((g_hash_table_size (core->works) > 0
       || g_hash_table_size (core->calls) > 0)
      && !JL_SWITCHED_OFF (core, JL_MECHANISM_DRAIN))
    return;
  core->exit_emitted = true;
  jl_emit (core, JL_EFFECT_EXIT);
}
