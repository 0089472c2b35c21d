/**
 * DOC: The entry: from a call's arrival to its final answer.
 */

#include "entry-impl.h"

#include <string.h>

#include "graph.h"
#include "member.h"
#include "once.h"
#include "place.h"
#include "poison.h"
#include "retry.h"
#include "seen.h"
#include "withdraw.h"

/* When to come back after an answer that has no better hint. */
#define RETRY_AFTER_MS 1000

const struct jl_kind *
jl_call_kind (const struct jl_call *call)
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
  jl_config_unref (call->config);
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
struct jl_effect_answer *
jl_entry_end (struct jl_core *core,
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
  call->anchor
      = jl_once_derive (parent->anchor, jl_call_kind (call)->name, ordinal);
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
  call->config = jl_config_ref (core->config);
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

/* Only the issuer of its ticket may send a guarded call. */
static void
proceed_guarded (struct jl_core *core, struct jl_call *call)
{
  if (call->ticket.issuer.member != core->identity.member)
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
  const struct jl_member *from
      = jl_members_find (core, event->attempt.origin.member);

  if (!event->forwarded)
    return false;
  /* The life that sent it is over. */
  if (from != NULL && from->info.identity.epoch > event->attempt.origin.epoch)
    return true;
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
