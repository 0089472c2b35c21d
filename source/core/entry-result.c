/**
 * DOC: The entry: handling of the results of attempts.
 */

#include "entry-impl.h"

#include "attempt-table.h"
#include "cancel.h"
#include "graph.h"
#include "member.h"
#include "place.h"
#include "poison.h"
#include "retry.h"

/* Time within which a guard must reply to a cancellation. */
#define CANCEL_TIMEOUT_US (150 * JL_USEC_PER_MSEC)
/*
 * Maximum age of an attempt whose cancellation a guard can confirm. It is below
 * the time for which the guard remembers an attempt, see attempt-table.c.
 */
#define CANCEL_ATTEMPT_AGE_MAX_US (100 * JL_USEC_PER_SEC)
/*
 * Delay before the retry of a request that got a strike. In this time the other
 * guards are notified of the strike.
 */
#define STRIKE_RETRY_DELAY_US (5 * JL_USEC_PER_MSEC)

/* Retries the call on another target, or ends it if no retry is allowed. */
static void
retry_or_finish (struct jl_core *core,
                 struct jl_call *call,
                 enum jl_reason reason,
                 bool no_retry)
{
  call->last_reason = reason;
  if (call->tried_count < JL_TRIED_MAX)
    call->tried[call->tried_count++] = call->member;
  if (no_retry)
    jl_entry_finish (core, call, JL_OUTCOME_NOT_RUN, reason);
  else
    jl_entry_dispatch (core, call);
}

struct jl_identity
jl_call_receiver (const struct jl_call *call)
{
  return (struct jl_identity){ call->member, call->member_epoch };
}

void
jl_entry_send_cancel (struct jl_core *core, const struct jl_call *call)
{
  jl_cancel_send (core, jl_call_receiver (call), call->attempt);
}

/* Ends a call whose attempt was not confirmed as cancelled. */
static void
finish_uncancelled (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_call *call = caa_container_of (timer, struct jl_call, timer);

  call->may_have_run = true;
  jl_entry_finish (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_TARGET_LOST);
}

/*
 * Asks the guard to cancel an attempt whose connection broke, in order to learn
 * whether the attempt has started.
 */
static void
start_cancel (struct jl_core *core, struct jl_call *call)
{
  uint64_t due_us = core->now_us + CANCEL_TIMEOUT_US;

  call->state = JL_CALL_CANCELLING;
  g_hash_table_insert (core->cancelling, JL_HASH_KEY (call->attempt.number),
                       call);
  jl_entry_send_cancel (core, call);
  jl_timer_start (core->timers, &call->timer, due_us, finish_uncancelled, core);
}

void
jl_entry_cancel_reply (struct jl_core *core, const struct jl_message *message)
{
  struct jl_call *call = g_hash_table_lookup (
      core->cancelling, JL_HASH_KEY (message->attempt.number));

  if (call == NULL || !jl_attempt_id_equal (call->attempt, message->attempt))
    return;
  jl_timer_stop (core->timers, &call->timer);
  g_hash_table_remove (core->cancelling, JL_HASH_KEY (call->attempt.number));
  call->state = JL_CALL_IDLE;
  if (message->type == JL_MESSAGE_CANCELLED)
    retry_or_finish (core, call, JL_REASON_TARGET_LOST, false);
  else
    finish_uncancelled (core, &call->timer);
}

static void
finish_done (struct jl_core *core,
             struct jl_call *call,
             const struct jl_event_call_result *event)
{
  struct jl_effect_answer *answer;

  jl_poison_request_answered (core, call->digest);
  answer = jl_entry_finish (core, call, JL_OUTCOME_DONE, JL_REASON_NONE);
  answer->report = event->report;
}

static void
retry_after_strike (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_call *call = caa_container_of (timer, struct jl_call, timer);

  retry_or_finish (core, call, JL_REASON_POISON, false);
}

/* Handles a crash of the target during the call, which may have caused it. */
static void
handle_strike (struct jl_core *core, struct jl_call *call)
{
  uint64_t due_us = core->now_us + STRIKE_RETRY_DELAY_US;

  jl_poison_strike (core, call->digest, call->member);
  if (call->at_most_once || jl_poison_refuses (core, call->digest))
    {
      jl_entry_finish (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_POISON);
      return;
    }
  call->state = JL_CALL_IDLE;
  jl_timer_start (core->timers, &call->timer, due_us, retry_after_strike, core);
}

/* Handles the guard's answer to an attempt. */
static void
handle_answer (struct jl_core *core,
               struct jl_call *call,
               const struct jl_event_call_result *event)
{
  call->last_retry_after_ms = event->retry_after_ms;
  switch (event->outcome)
    {
    case JL_OUTCOME_DONE:
      finish_done (core, call, event);
      return;
    case JL_OUTCOME_NOT_RUN:
      retry_or_finish (core, call, event->reason, event->no_retry);
      return;
    case JL_OUTCOME_UNKNOWN:
      call->may_have_run = true;
      if (event->reason == JL_REASON_POISON)
        handle_strike (core, call);
      else if (!call->at_most_once && event->reason == JL_REASON_TARGET_LOST)
        retry_or_finish (core, call, event->reason, event->no_retry);
      else
        jl_entry_finish (core, call, JL_OUTCOME_UNKNOWN, event->reason);
      return;
    }
}

/* Handles a broken connection; the call may have started to run. */
static void
handle_broken (struct jl_core *core, struct jl_call *call)
{
  jl_members_eject (core, call->member);
  if (call->at_most_once
      && core->now_us < call->sent_us + CANCEL_ATTEMPT_AGE_MAX_US)
    {
      start_cancel (core, call);
      return;
    }
  call->may_have_run = true;
  jl_entry_send_cancel (core, call);
  if (call->at_most_once)
    jl_entry_finish (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_TARGET_LOST);
  else
    retry_or_finish (core, call, JL_REASON_TARGET_LOST, false);
}

static void
handle_send_result (struct jl_core *core,
                    struct jl_call *call,
                    const struct jl_event_call_result *event)
{
  switch (event->result)
    {
    case JL_SEND_ANSWERED:
      handle_answer (core, call, event);
      return;
    case JL_SEND_NOT_SENT:
      jl_members_eject (core, call->member);
      retry_or_finish (core, call, JL_REASON_TARGET_LOST, false);
      return;
    case JL_SEND_BROKEN:
      handle_broken (core, call);
      return;
    case JL_SEND_TIMEOUT:
      jl_entry_send_cancel (core, call);
      call->may_have_run = true;
      jl_entry_finish (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_TIMEOUT);
      return;
    }
}

/*
 * Handles the end of a forwarded attempt: an answer of the issuer, or a
 * failure.
 */
static void
handle_forward_result (struct jl_core *core,
                       struct jl_call *call,
                       const struct jl_event_call_result *event)
{
  struct jl_effect_answer *answer;

  if (event->result == JL_SEND_ANSWERED)
    {
      answer = jl_entry_answer (core, call, event->outcome, event->reason);
      answer->retry_after_ms = event->retry_after_ms;
      answer->report = event->report;
      return;
    }
  if (event->result != JL_SEND_NOT_SENT)
    jl_cancel_send_until_answered (core, jl_call_receiver (call),
                                   call->attempt);
  answer
      = jl_entry_answer (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_HOME_LOST);
  if (event->result == JL_SEND_NOT_SENT)
    answer->attempt_outcome = JL_OUTCOME_NOT_RUN;
}

void
jl_entry_record_result (struct jl_core *core,
                        const struct jl_call *call,
                        const struct jl_event_call_result *event)
{
  struct jl_member *member = jl_members_find (core, call->member);

  if (member != NULL)
    jl_place_result (core, member, event);
}

/* Adds an answer's overload report to the report of the parent. */
static void
merge_report (struct jl_core *core,
              struct jl_call *call,
              const struct jl_report *report)
{
  if (call->parent == NULL)
    return;
  jl_report_merge (&call->parent->report, report);
  jl_entry_report_level (core, call);
}

void
jl_entry_result (struct jl_core *core, const struct jl_event_call_result *event)
{
  struct jl_call *call
      = g_hash_table_lookup (core->calls, JL_HASH_KEY (event->call));

  if (call == NULL)
    return;
  if (!jl_attempt_id_equal (call->attempt, event->attempt)
      && !JL_SWITCHED_OFF (core, JL_MECHANISM_ATTEMPT_MATCH))
    return;
  if (call->state != JL_CALL_SENT && call->state != JL_CALL_FORWARDED)
    return;
  if (call->state == JL_CALL_SENT)
    jl_entry_record_result (core, call, event);
  if (event->result == JL_SEND_ANSWERED)
    {
      jl_retry_return (core, call, event->tokens);
      merge_report (core, call, &event->report);
      if (call->config == core->config)
        jl_graph_learn (core, call->kind, event->outcome, &event->report);
    }
  else
    jl_retry_return (core, call,
                     event->result == JL_SEND_NOT_SENT ? call->attempt_tokens
                                                       : 0);
  if (call->state == JL_CALL_FORWARDED)
    handle_forward_result (core, call, event);
  else
    handle_send_result (core, call, event);
}
