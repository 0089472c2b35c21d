/**
 * DOC: The entry: what the result of a sending leads to.
 */

#include "entry-impl.h"

#include "graph.h"
#include "member.h"
#include "place.h"
#include "poison.h"
#include "retry.h"
#include "seen.h"
#include "withdraw.h"

/* How long a guard has to answer a cancellation. */
#define CANCEL_WAIT_US (150 * JL_USEC_PER_MSEC)
/* A guard knows a sending for at least this long, see seen.c. */
#define CANCEL_TRUST_US (100 * JL_USEC_PER_SEC)
/* A struck request is sent again once the guards have heard of its strike. */
#define STRIKE_WAIT_US (5 * JL_USEC_PER_MSEC)

/* Sends the call to another target if that is allowed, or ends it. */
static void
try_again (struct jl_core *core,
           struct jl_call *call,
           enum jl_reason reason,
           bool no_retry)
{
  call->last_reason = reason;
  if (call->tried_count < JL_TRIED_MAX)
    call->tried[call->tried_count++] = call->member;
  if (no_retry)
    jl_entry_end (core, call, JL_OUTCOME_NOT_RUN, reason);
  else
    jl_entry_proceed (core, call);
}

struct jl_identity
jl_call_receiver (const struct jl_call *call)
{
  return (struct jl_identity){ call->member, call->member_epoch };
}

void
jl_entry_send_cancel (struct jl_core *core, const struct jl_call *call)
{
  jl_withdraw_send (core, jl_call_receiver (call), call->attempt);
}

static void
cancel_expired (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_call *call = caa_container_of (timer, struct jl_call, timer);

  call->may_have_run = true;
  jl_entry_end (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_TARGET_LOST);
}

/* Asks the guard whether a guarded sending that broke has started. */
static void
begin_cancel (struct jl_core *core, struct jl_call *call)
{
  uint64_t due_us = core->now_us + CANCEL_WAIT_US;

  call->state = JL_CALL_CANCELLING;
  g_hash_table_insert (core->cancelling, JL_HASH_KEY (call->attempt.number),
                       call);
  jl_entry_send_cancel (core, call);
  jl_timer_start (core->timers, &call->timer, due_us, cancel_expired, core);
}

void
jl_entry_cancelled (struct jl_core *core, const struct jl_message *message)
{
  struct jl_call *call = g_hash_table_lookup (
      core->cancelling, JL_HASH_KEY (message->attempt.number));

  if (call == NULL || !jl_attempt_id_equal (call->attempt, message->attempt))
    return;
  jl_timer_stop (core->timers, &call->timer);
  g_hash_table_remove (core->cancelling, JL_HASH_KEY (call->attempt.number));
  call->state = JL_CALL_NEW;
  if (message->type == JL_MESSAGE_CANCELLED)
    try_again (core, call, JL_REASON_TARGET_LOST, false);
  else
    cancel_expired (core, &call->timer);
}

static void
end_done (struct jl_core *core,
          struct jl_call *call,
          const struct jl_event_call_result *event)
{
  struct jl_effect_answer *answer;

  jl_poison_done (core, call->digest);
  answer = jl_entry_end (core, call, JL_OUTCOME_DONE, JL_REASON_NONE);
  answer->report = event->report;
}

static void
struck_wait_ended (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_call *call = caa_container_of (timer, struct jl_call, timer);

  try_again (core, call, JL_REASON_POISON, false);
}

/* The target died, and the call is one of those that may be the cause. */
static void
handle_struck (struct jl_core *core, struct jl_call *call)
{
  uint64_t due_us = core->now_us + STRIKE_WAIT_US;

  jl_poison_strike (core, call->digest, call->member);
  if (call->guarded || jl_poison_refuses (core, call->digest))
    {
      jl_entry_end (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_POISON);
      return;
    }
  call->state = JL_CALL_NEW;
  jl_timer_start (core->timers, &call->timer, due_us, struck_wait_ended, core);
}

/* The guard has answered. */
static void
handle_answer (struct jl_core *core,
               struct jl_call *call,
               const struct jl_event_call_result *event)
{
  call->last_retry_after_ms = event->retry_after_ms;
  switch (event->outcome)
    {
    case JL_OUTCOME_DONE:
      end_done (core, call, event);
      return;
    case JL_OUTCOME_NOT_RUN:
      try_again (core, call, event->reason, event->no_retry);
      return;
    case JL_OUTCOME_UNKNOWN:
      call->may_have_run = true;
      if (event->reason == JL_REASON_POISON)
        handle_struck (core, call);
      else if (!call->guarded && event->reason == JL_REASON_TARGET_LOST)
        try_again (core, call, event->reason, event->no_retry);
      else
        jl_entry_end (core, call, JL_OUTCOME_UNKNOWN, event->reason);
      return;
    }
}

/* The connection broke while the call may have been running. */
static void
handle_broken (struct jl_core *core, struct jl_call *call)
{
  jl_members_eject (core, call->member);
  if (call->guarded && core->now_us < call->sent_us + CANCEL_TRUST_US)
    {
      begin_cancel (core, call);
      return;
    }
  call->may_have_run = true;
  jl_entry_send_cancel (core, call);
  if (call->guarded)
    jl_entry_end (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_TARGET_LOST);
  else
    try_again (core, call, JL_REASON_TARGET_LOST, false);
}

static void
handle_sent_result (struct jl_core *core,
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
      try_again (core, call, JL_REASON_TARGET_LOST, false);
      return;
    case JL_SEND_BROKEN:
      handle_broken (core, call);
      return;
    case JL_SEND_TIMEOUT:
      jl_entry_send_cancel (core, call);
      call->may_have_run = true;
      jl_entry_end (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_TIMEOUT);
      return;
    }
}

/* The issuer of the ticket has answered, or cannot be reached. */
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
    jl_withdraw_begin (core, jl_call_receiver (call), call->attempt);
  answer
      = jl_entry_answer (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_HOME_LOST);
  if (event->result == JL_SEND_NOT_SENT)
    answer->sending = JL_OUTCOME_NOT_RUN;
}

void
jl_entry_note_result (struct jl_core *core,
                      const struct jl_call *call,
                      const struct jl_event_call_result *event)
{
  struct jl_member *member = jl_members_find (core, call->member);

  if (member != NULL)
    jl_place_result (core, member, event);
}

/* Tells the parent's entry what an answer said of the services below. */
static void
report_answer (struct jl_core *core,
               struct jl_call *call,
               const struct jl_report *report)
{
  if (call->parent == NULL)
    return;
  jl_report_merge (&call->parent->report, report);
  jl_entry_report_service (core, call);
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
    jl_entry_note_result (core, call, event);
  if (event->result == JL_SEND_ANSWERED)
    {
      jl_retry_return (core, call, event->tokens);
      report_answer (core, call, &event->report);
      if (call->config == core->config)
        jl_graph_learn (core, call->kind, event->outcome, &event->report);
    }
  else
    jl_retry_return (core, call,
                     event->result == JL_SEND_NOT_SENT ? call->lent : 0);
  if (call->state == JL_CALL_FORWARDED)
    handle_forward_result (core, call, event);
  else
    handle_sent_result (core, call, event);
}
