/**
 * DOC: The entry: from a call's arrival to its final answer.
 */

#include "entry.h"

#include <string.h>

#include "graph.h"
#include "member.h"
#include "once.h"
#include "place.h"
#include "poison.h"
#include "retry.h"
#include "seen.h"
#include "withdraw.h"

/* How long a guard has to answer a cancellation. */
#define CANCEL_WAIT_US (150 * JL_USEC_PER_MSEC)
/* A struck request is sent again once the guards have heard of its strike. */
#define STRIKE_WAIT_US (5 * JL_USEC_PER_MSEC)
/* When to come back after an answer that has no better hint. */
#define RETRY_AFTER_MS 1000

static const struct jl_kind *
kind_of (const struct jl_call *call)
{
  return &call->config->kinds[call->kind];
}

static uint32_t
class_of (const struct jl_call *call)
{
  return call->priority / JL_SAMPLE_COUNT;
}

/* Answers an event for which no call was made. */
static void
answer_event (struct jl_core *core,
              const struct jl_event_call *event,
              enum jl_reason reason)
{
  struct jl_effect_answer *answer = &jl_emit (core, JL_EFFECT_ANSWER)->answer;

  answer->call = event->call;
  answer->outcome = JL_OUTCOME_NOT_RUN;
  answer->sending = JL_OUTCOME_NOT_RUN;
  answer->reason = reason;
  answer->retry_after_ms
      = reason == JL_REASON_NO_KIND || reason == JL_REASON_MALFORMED
            ? 0
            : RETRY_AFTER_MS + jl_random_below (core, RETRY_AFTER_MS);
  answer->tokens = event->forwarded ? event->tokens : 0;
  /* An earlier sending, or the same call of a repeated parent, may have run. */
  if (event->key_type != JL_KEY_NONE || event->parent != 0)
    answer->outcome = JL_OUTCOME_UNKNOWN;
}

static void
count_answer (struct jl_core *core,
              const struct jl_call *call,
              enum jl_outcome outcome)
{
  uint32_t importance = class_of (call);

  if (outcome == JL_OUTCOME_DONE)
    core->counts.answers_done[importance]++;
  else if (outcome == JL_OUTCOME_NOT_RUN)
    core->counts.answers_not_run[importance]++;
  else
    core->counts.answers_unknown[importance]++;
}

static void
free_call (struct jl_core *core, struct jl_call *call)
{
  jl_timer_stop (core->timers, &call->timer);
  jl_retry_return (core, call, 0);
  if (call->parent != NULL)
    cds_list_del (&call->siblings);
  else
    core->caller_calls--;
  if (call->state == JL_CALL_CANCELLING)
    g_hash_table_remove (core->cancelling, JL_HASH_KEY (call->attempt.number));
  g_hash_table_remove (core->calls, JL_HASH_KEY (call->number));
  jl_config_drop (call->config);
  g_free (call);
}

struct jl_effect_answer *
jl_entry_answer (struct jl_core *core,
                 struct jl_call *call,
                 enum jl_outcome outcome,
                 enum jl_reason reason)
{
  struct jl_effect_answer *answer = &jl_emit (core, JL_EFFECT_ANSWER)->answer;

  answer->call = call->number;
  answer->outcome = outcome;
  answer->sending = outcome;
  answer->reason = reason;
  answer->sends = call->sends;
  answer->ticket = call->ticket;
  if (call->parent == NULL)
    answer->tokens = call->tokens;
  if (call->parent == NULL && !call->forwarded)
    answer->next_ticket = jl_once_mint (core);
  count_answer (core, call, outcome);
  free_call (core, call);
  return answer;
}

/* Ends a call that was sent, or was refused before it was. */
static struct jl_effect_answer *
end_call (struct jl_core *core,
          struct jl_call *call,
          enum jl_outcome outcome,
          enum jl_reason reason)
{
  struct jl_effect_answer *answer;
  bool guarded = call->guarded;
  bool keyed = call->keyed;
  uint32_t retry_after_ms = call->last_retry_after_ms;

  if (outcome == JL_OUTCOME_NOT_RUN && call->may_have_run)
    outcome = JL_OUTCOME_UNKNOWN;
  JL_INVARIANT (outcome != JL_OUTCOME_NOT_RUN || !call->may_have_run,
                "not run is said only when no sending may have run");
  if (retry_after_ms == 0)
    retry_after_ms = RETRY_AFTER_MS + jl_random_below (core, RETRY_AFTER_MS);
  if (guarded)
    retry_after_ms
        = jl_once_answered (core, call, outcome, reason, retry_after_ms);
  answer = jl_entry_answer (core, call, outcome, reason);
  answer->keep = guarded && outcome == JL_OUTCOME_DONE;
  if (outcome != JL_OUTCOME_DONE)
    answer->retry_after_ms = retry_after_ms;
  /* Nobody keeps account of other sendings of an idempotent request. */
  if (!guarded && keyed && outcome == JL_OUTCOME_NOT_RUN)
    answer->outcome = JL_OUTCOME_UNKNOWN;
  return answer;
}

/* A sample that is the same for each sending of one request. */
static uint32_t
choose_sample (struct jl_core *core, const struct jl_event_call *event)
{
  if (event->key_type == JL_KEY_CALLER)
    return event->key_hash % JL_SAMPLE_COUNT;
  if (event->key_type == JL_KEY_TICKET)
    return event->ticket.number % JL_SAMPLE_COUNT;
  return jl_random_below (core, JL_SAMPLE_COUNT);
}

static uint64_t
choose_deadline (struct jl_core *core,
                 const struct jl_event_call *event,
                 const struct jl_kind *kind,
                 const struct jl_work *parent)
{
  uint64_t budget_us = kind->deadline_us;
  uint64_t deadline_us;

  if (event->budget_us > 0 && event->budget_us < budget_us)
    budget_us = event->budget_us;
  deadline_us = core->now_us + budget_us;
  if (parent != NULL && parent->deadline_us < deadline_us)
    deadline_us = parent->deadline_us;
  return deadline_us;
}

static void
inherit_from_parent (struct jl_core *core,
                     struct jl_call *call,
                     struct jl_work *parent,
                     uint32_t ordinal)
{
  call->parent = parent;
  cds_list_add_tail (&call->siblings, &parent->children);
  call->priority = parent->priority;
  call->invested_us = parent->invested_us + (core->now_us - parent->started_us);
  call->anchor = jl_once_derive (parent->anchor, kind_of (call)->name, ordinal);
}

static void
begin_tree (struct jl_core *core,
            struct jl_call *call,
            const struct jl_event_call *event,
            const struct jl_kind *kind)
{
  call->priority
      = kind->importance * JL_SAMPLE_COUNT + choose_sample (core, event);
  call->tokens = kind->retry_tokens;
  call->tokens_begun = call->tokens;
  call->anchor
      = event->key_type == JL_KEY_TICKET ? event->ticket : jl_once_mint (core);
}

static struct jl_call *
make_call (struct jl_core *core,
           const struct jl_event_call *event,
           struct jl_work *parent)
{
  struct jl_call *call = g_new0 (struct jl_call, 1);
  const struct jl_kind *kind = &core->config->kinds[event->kind];

  call->number = event->call;
  call->config = jl_config_keep (core->config);
  call->kind = event->kind;
  call->forwarded = event->forwarded;
  call->keyed = event->key_type != JL_KEY_NONE;
  call->key_hash = event->key_hash;
  call->digest = event->digest;
  call->arrived_us = core->now_us;
  call->deadline_us = choose_deadline (core, event, kind, parent);
  call->guarded = !kind->idempotent && core->options.mode != JL_CORE_FORWARD;
  if (parent != NULL)
    inherit_from_parent (core, call, parent, event->ordinal);
  else
    begin_tree (core, call, event, kind);
  core->caller_calls += parent == NULL;
  if (event->forwarded)
    {
      call->priority = event->priority % JL_PRIORITY_COUNT;
      call->tokens = event->tokens;
      call->tokens_begun = event->tokens;
      call->invested_us = event->invested_us;
    }
  g_hash_table_insert (core->calls, JL_HASH_KEY (call->number), call);
  core->counts.calls[class_of (call)]++;
  return call;
}

/* Only the minter of its ticket may send a guarded call. */
static void
proceed_guarded (struct jl_core *core, struct jl_call *call)
{
  if (call->ticket.minter.member != core->identity.member)
    {
      jl_entry_forward (core, call);
      return;
    }
  if (jl_once_arrive (core, call))
    jl_entry_proceed (core, call);
}

static void
claim_expired (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_call *call = caa_container_of (timer, struct jl_call, timer);

  call->may_have_run = true;
  jl_entry_answer (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_PLATFORM)->sending
      = JL_OUTCOME_NOT_RUN;
}

/* Asks the platform's table whose ticket a caller's key stands for. */
static void
claim_key (struct jl_core *core, struct jl_call *call)
{
  struct jl_effect_claim *claim = &jl_emit (core, JL_EFFECT_CLAIM)->claim;

  call->state = JL_CALL_CLAIMING;
  call->ticket = jl_once_mint (core);
  claim->call = call->number;
  claim->key_hash = call->key_hash;
  claim->ticket = call->ticket;
  jl_timer_start (core->timers, &call->timer, call->deadline_us, claim_expired,
                  core);
}

/* Its caller may have given it up and been told of a later sending since. */
static void
answer_stale (struct jl_core *core, struct jl_call *call)
{
  struct jl_effect_answer *answer
      = jl_entry_answer (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_TIMEOUT);

  answer->sending = JL_OUTCOME_NOT_RUN;
  answer->retry_after_ms
      = RETRY_AFTER_MS + jl_random_below (core, RETRY_AFTER_MS);
}

/* Whether the daemon that forwarded a call has given it up already. */
static bool
is_given_up (struct jl_core *core, const struct jl_event_call *event)
{
  if (!event->forwarded)
    return false;
  if (jl_seen_find (core, event->attempt) == JL_SEEN_TOMBSTONE
      && !JL_SWITCHED_OFF (core, JL_MECHANISM_TOMBSTONE))
    return true;
  jl_seen_set (core, event->attempt, JL_SEEN_ACCEPTED);
  return false;
}

static void
begin_guarded (struct jl_core *core,
               struct jl_call *call,
               const struct jl_event_call *event)
{
  if (call->keyed && core->now_us < core->stale_until_us)
    {
      answer_stale (core, call);
      return;
    }
  if (event->key_type != JL_KEY_CALLER)
    call->ticket = call->anchor;
  else if (!jl_once_key_ticket (core, event->key_hash, &call->ticket))
    {
      claim_key (core, call);
      return;
    }
  proceed_guarded (core, call);
}

/*
 * Whether calls in progress leave no room for one of this importance. Of
 * @call_max the most important class may use all and the least important
 * half, so that a class is refused only while all below it are.
 */
static bool
is_full (const struct jl_core *core, const struct jl_event_call *event)
{
  uint32_t importance = core->config->kinds[event->kind].importance;
  uint32_t count = core->config->class_count;
  uint32_t max = core->options.call_max;

  if (max == 0 || core->options.mode != JL_CORE_FULL || event->forwarded)
    return false;
  return core->caller_calls >= max - max * importance / (2 * count);
}

/*
 * Why a call of a caller is refused at once. While it drains, the daemon
 * goes on as an entry, so that callers have time to turn to another one.
 */
static enum jl_reason
check_caller (const struct jl_core *core, const struct jl_event_call *event)
{
  if (core->draining && !event->forwarded
      && core->now_us >= core->drain_refuse_us)
    return JL_REASON_DRAINING;
  if (is_full (core, event))
    return JL_REASON_OVERLOAD;
  return JL_REASON_NONE;
}

void
jl_entry_call (struct jl_core *core, const struct jl_event_call *event)
{
  enum jl_reason reason;
  struct jl_work *parent = NULL;
  struct jl_call *call;

  if (core->config == NULL)
    {
      answer_event (core, event, JL_REASON_NO_CONFIG);
      return;
    }
  if (event->kind >= core->config->kind_count
      || event->config_version != core->config->version)
    {
      answer_event (core, event, JL_REASON_NO_KIND);
      return;
    }
  if (event->parent != 0)
    {
      parent = g_hash_table_lookup (core->works, JL_HASH_KEY (event->parent));
      if (parent == NULL || parent->state != JL_WORK_RUNNING
          || parent->cancelled)
        {
          answer_event (core, event, JL_REASON_CANCELLED);
          return;
        }
    }
  else if ((reason = check_caller (core, event)) != JL_REASON_NONE)
    {
      answer_event (core, event, reason);
      return;
    }
  if (is_given_up (core, event))
    {
      answer_event (core, event, JL_REASON_CANCELLED);
      return;
    }
  call = make_call (core, event, parent);
  if (call->guarded)
    begin_guarded (core, call, event);
  else
    jl_entry_proceed (core, call);
}

void
jl_entry_claim_result (struct jl_core *core,
                       const struct jl_event_claim_result *event)
{
  struct jl_call *call
      = g_hash_table_lookup (core->calls, JL_HASH_KEY (event->call));

  if (call == NULL || call->state != JL_CALL_CLAIMING)
    return;
  if (!event->known)
    {
      claim_expired (core, &call->timer);
      return;
    }
  jl_timer_stop (core->timers, &call->timer);
  call->state = JL_CALL_NEW;
  call->ticket = event->owner_ticket;
  jl_once_learn_key (core, call->key_hash, call->ticket);
  proceed_guarded (core, call);
}

/* Begins a sending; its number is never used again. */
static void
begin_attempt (struct jl_core *core, struct jl_call *call)
{
  call->attempt.origin = core->identity;
  call->attempt.number = ++core->next_attempt;
  call->lent = jl_retry_lend (core, call);
  core->counts.sends++;
}

/* Other sendings of the request may have run; this one did not leave. */
static void
answer_unforwarded (struct jl_core *core,
                    struct jl_call *call,
                    enum jl_reason reason)
{
  jl_entry_answer (core, call, JL_OUTCOME_UNKNOWN, reason)->sending
      = JL_OUTCOME_NOT_RUN;
}

void
jl_entry_forward (struct jl_core *core, struct jl_call *call)
{
  struct jl_member *minter = jl_members_find (core, call->ticket.minter.member);
  struct jl_effect_forward *forward;

  if (call->forwarded || minter == NULL
      || minter->info.identity.epoch != call->ticket.minter.epoch)
    {
      answer_unforwarded (core, call, JL_REASON_HOME_LOST);
      return;
    }
  if (core->now_us >= call->deadline_us)
    {
      answer_unforwarded (core, call, JL_REASON_DEADLINE);
      return;
    }
  call->state = JL_CALL_FORWARDED;
  call->member = call->ticket.minter.member;
  call->member_epoch = call->ticket.minter.epoch;
  begin_attempt (core, call);
  forward = &jl_emit (core, JL_EFFECT_FORWARD)->forward;
  forward->call = call->number;
  forward->attempt = call->attempt;
  forward->peer = minter->info.peer;
  forward->ticket = call->ticket;
  forward->kind = call->kind;
  forward->config_version = call->config->version;
  forward->priority = call->priority;
  forward->tokens = call->lent;
  forward->invested_us = call->invested_us;
  forward->budget_us = call->deadline_us - core->now_us;
}

static void
send_call (struct jl_core *core, struct jl_call *call, struct jl_member *member)
{
  struct jl_effect_send *send;

  begin_attempt (core, call);
  if (call->sends++ == 0)
    jl_retry_first (core, kind_of (call)->service);
  else
    core->counts.retries++;
  call->state = JL_CALL_SENT;
  call->member = member->info.identity.member;
  call->member_epoch = member->info.identity.epoch;
  jl_place_sent (core, member);
  send = &jl_emit (core, JL_EFFECT_SEND)->send;
  send->call = call->number;
  send->attempt = call->attempt;
  send->peer = member->info.peer;
  send->member = call->member;
  send->local = call->member == core->identity.member;
  send->kind = call->kind;
  send->config_version = call->config->version;
  send->priority = call->priority;
  send->invested_us = call->invested_us;
  send->budget_us = call->deadline_us - core->now_us;
  send->anchor = call->anchor;
  send->tokens = call->lent;
  send->digest = call->digest;
}

/* Tells the parent's entry the level of the service that @call is for. */
static void
report_service (struct jl_core *core, struct jl_call *call)
{
  uint32_t service = jl_place_service (core, call);

  if (call->parent != NULL && service != JL_NONE)
    jl_report_add (&call->parent->report, service,
                   jl_place_level (core, service));
}

/* Answers a call that would be refused further down, before anything ran. */
static void
refuse_below (struct jl_core *core, struct jl_call *call, uint32_t service)
{
  if (call->parent != NULL)
    jl_report_add (&call->parent->report, service,
                   jl_graph_level (core, service));
  end_call (core, call, JL_OUTCOME_NOT_RUN, JL_REASON_DOWNSTREAM);
}

/* Answers a call for which no target was found. */
static void
end_unplaced (struct jl_core *core,
              struct jl_call *call,
              enum jl_place_verdict verdict)
{
  enum jl_reason reason = call->last_reason;

  if (verdict == JL_PLACE_REFUSED)
    {
      report_service (core, call);
      call->last_retry_after_ms
          = jl_place_retry_after (core, jl_place_service (core, call));
    }
  if (reason == JL_REASON_NONE)
    reason = verdict == JL_PLACE_REFUSED ? JL_REASON_OVERLOAD
                                         : JL_REASON_NO_TARGET;
  end_call (core, call, JL_OUTCOME_NOT_RUN, reason);
}

void
jl_entry_proceed (struct jl_core *core, struct jl_call *call)
{
  struct jl_member *member = NULL;
  enum jl_place_verdict verdict;
  uint32_t service;

  if (core->now_us >= call->deadline_us)
    {
      end_call (core, call, JL_OUTCOME_NOT_RUN, JL_REASON_DEADLINE);
      return;
    }
  if (jl_poison_refuses (core, call->digest))
    {
      end_call (core, call, JL_OUTCOME_NOT_RUN, JL_REASON_POISON);
      return;
    }
  if (call->sends == 0 && call->config == core->config
      && jl_graph_refuses (core, call->kind, call->priority, &service))
    {
      refuse_below (core, call, service);
      return;
    }
  verdict = jl_place_choose (core, call, &member);
  if (verdict != JL_PLACE_CHOSEN)
    end_unplaced (core, call, verdict);
  else if (call->sends > 0 && !jl_retry_spend (core, call))
    end_call (core, call, JL_OUTCOME_NOT_RUN, call->last_reason);
  else
    send_call (core, call, member);
}

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
    end_call (core, call, JL_OUTCOME_NOT_RUN, reason);
  else
    jl_entry_proceed (core, call);
}

static struct jl_identity
receiver_of (const struct jl_call *call)
{
  return (struct jl_identity){ call->member, call->member_epoch };
}

static void
send_cancel (struct jl_core *core, const struct jl_call *call)
{
  jl_withdraw_send (core, receiver_of (call), call->attempt);
}

static void
cancel_expired (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_call *call = caa_container_of (timer, struct jl_call, timer);

  call->may_have_run = true;
  end_call (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_TARGET_LOST);
}

/* Asks the guard whether a guarded sending that broke has started. */
static void
begin_cancel (struct jl_core *core, struct jl_call *call)
{
  uint64_t due_us = core->now_us + CANCEL_WAIT_US;

  call->state = JL_CALL_CANCELLING;
  g_hash_table_insert (core->cancelling, JL_HASH_KEY (call->attempt.number),
                       call);
  send_cancel (core, call);
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
  answer = end_call (core, call, JL_OUTCOME_DONE, JL_REASON_NONE);
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
      end_call (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_POISON);
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
        end_call (core, call, JL_OUTCOME_UNKNOWN, event->reason);
      return;
    }
}

/* The connection broke while the call may have been running. */
static void
handle_broken (struct jl_core *core, struct jl_call *call)
{
  jl_members_eject (core, call->member);
  if (call->guarded)
    {
      begin_cancel (core, call);
      return;
    }
  call->may_have_run = true;
  send_cancel (core, call);
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
      send_cancel (core, call);
      call->may_have_run = true;
      end_call (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_TIMEOUT);
      return;
    }
}

/* The minter of the ticket has answered, or cannot be reached. */
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
    jl_withdraw_begin (core, receiver_of (call), call->attempt);
  answer
      = jl_entry_answer (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_HOME_LOST);
  if (event->result == JL_SEND_NOT_SENT)
    answer->sending = JL_OUTCOME_NOT_RUN;
}

static void
note_place_result (struct jl_core *core,
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
  report_service (core, call);
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
    note_place_result (core, call, event);
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

/* Stops the sending in progress; it may have run, or may still run. */
static void
stop_send (struct jl_core *core, struct jl_call *call)
{
  struct jl_event_call_result ended = { .result = JL_SEND_TIMEOUT };
  struct jl_effect *stop = jl_emit (core, JL_EFFECT_STOP_SEND);

  stop->stop_send.call = call->number;
  stop->stop_send.attempt = call->attempt;
  call->may_have_run = true;
  if (call->state != JL_CALL_SENT)
    {
      jl_withdraw_begin (core, receiver_of (call), call->attempt);
      return;
    }
  send_cancel (core, call);
  note_place_result (core, call, &ended);
}

/* Sends an idempotent call elsewhere, if a token allows. */
static void
leave_member (struct jl_core *core, struct jl_call *call)
{
  if (!jl_retry_spend (core, call))
    return;
  stop_send (core, call);
  call->last_reason = JL_REASON_TARGET_LOST;
  if (call->tried_count < JL_TRIED_MAX)
    call->tried[call->tried_count++] = call->member;
  core->counts.retries++;
  jl_entry_proceed (core, call);
}

void
jl_entry_member_lost (struct jl_core *core, uint64_t member)
{
  GList *calls = g_hash_table_get_values (core->calls);

  for (GList *item = calls; item != NULL; item = item->next)
    {
      struct jl_call *call = item->data;

      if (call->state == JL_CALL_SENT && call->member == member
          && !call->guarded && core->options.mode == JL_CORE_FULL)
        leave_member (core, call);
    }
  g_list_free (calls);
}

/* Stops a call that nobody waits for any more. */
static void
stop_call (struct jl_core *core, struct jl_call *call)
{
  if (call->state == JL_CALL_SENT || call->state == JL_CALL_FORWARDED)
    stop_send (core, call);
  if (call->state == JL_CALL_SENT || call->state == JL_CALL_CANCELLING)
    end_call (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_CANCELLED);
  else
    jl_entry_answer (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_CANCELLED);
}

void
jl_entry_gone (struct jl_core *core, uint64_t number)
{
  struct jl_call *call
      = g_hash_table_lookup (core->calls, JL_HASH_KEY (number));

  if (call != NULL)
    stop_call (core, call);
}

void
jl_entry_work_ended (struct jl_core *core, struct jl_work *work)
{
  struct jl_call *call;
  struct jl_call *next;

  cds_list_for_each_entry_safe (call, next, &work->children, siblings)
      stop_call (core, call);
}
