/**
 * DOC: The entry: arrival of calls, idempotency keys and final answers.
 */

#include "entry-impl.h"

#include <string.h>

#include "attempt-table.h"
#include "cancel.h"
#include "graph.h"
#include "member.h"
#include "once.h"
#include "place.h"
#include "poison.h"
#include "retry.h"

/*
 * Retry delay for answers without a more specific one. Jitter of up to the same
 * amount is added.
 */
#define RETRY_AFTER_DEFAULT_MS 1000

const struct jl_kind *
jl_call_kind (const struct jl_call *call)
{
  return &call->config->kinds[call->kind];
}

static uint32_t
call_class (const struct jl_call *call)
{
  return call->priority / JL_SAMPLE_COUNT;
}

/* Refuses a call for which no struct jl_call has been created. */
static void
refuse_event (struct jl_core *core,
              const struct jl_event_call *event,
              enum jl_reason reason)
{
  struct jl_effect_answer *answer = &jl_emit (core, JL_EFFECT_ANSWER)->answer;

  answer->call = event->call;
  answer->outcome = JL_OUTCOME_NOT_RUN;
  answer->attempt_outcome = JL_OUTCOME_NOT_RUN;
  answer->reason = reason;
  answer->retry_after_ms
      = reason == JL_REASON_NO_KIND || reason == JL_REASON_MALFORMED
            ? 0
            : RETRY_AFTER_DEFAULT_MS
                  + jl_random_below (core, RETRY_AFTER_DEFAULT_MS);
  answer->tokens = event->forwarded ? event->tokens : 0;
  /*
   * The caller may have sent the request before, or an earlier attempt of the
   * parent may have made the same call. That earlier call may have run.
   */
  if (event->key_type != JL_KEY_NONE || event->parent != 0)
    answer->outcome = JL_OUTCOME_UNKNOWN;
}

static void
count_answer (struct jl_core *core,
              const struct jl_call *call,
              enum jl_outcome outcome)
{
  uint32_t importance = call_class (call);

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
    core->root_calls--;
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
  answer->attempt_outcome = outcome;
  answer->reason = reason;
  answer->sends = call->sends;
  answer->ticket = call->ticket;
  if (call->parent == NULL)
    answer->tokens = call->tokens;
  if (call->parent == NULL && !call->forwarded)
    answer->next_ticket = jl_once_issue_ticket (core);
  count_answer (core, call, outcome);
  free_call (core, call);
  return answer;
}

struct jl_effect_answer *
jl_entry_finish (struct jl_core *core,
                 struct jl_call *call,
                 enum jl_outcome outcome,
                 enum jl_reason reason)
{
  struct jl_effect_answer *answer;
  bool at_most_once = call->at_most_once;
  bool has_key = call->has_key;
  uint32_t retry_after_ms = call->last_retry_after_ms;

  if (outcome == JL_OUTCOME_NOT_RUN && call->may_have_run)
    outcome = JL_OUTCOME_UNKNOWN;
  JL_INVARIANT (outcome != JL_OUTCOME_NOT_RUN || !call->may_have_run,
                "not run is reported only if no attempt may have run");
  if (retry_after_ms == 0)
    retry_after_ms = RETRY_AFTER_DEFAULT_MS
                     + jl_random_below (core, RETRY_AFTER_DEFAULT_MS);
  if (at_most_once)
    retry_after_ms
        = jl_once_record_outcome (core, call, outcome, reason, retry_after_ms);
  answer = jl_entry_answer (core, call, outcome, reason);
  answer->store = at_most_once && outcome == JL_OUTCOME_DONE;
  if (outcome != JL_OUTCOME_DONE)
    answer->retry_after_ms = retry_after_ms;
  /*
   * Outcomes of idempotent requests are not recorded, so an earlier
   * transmission under the same key may have run.
   */
  if (!at_most_once && has_key && outcome == JL_OUTCOME_NOT_RUN)
    answer->outcome = JL_OUTCOME_UNKNOWN;
  return answer;
}

/*
 * Returns the priority within the importance class. It is the same for all
 * transmissions of a request under one key.
 */
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
  call->anchor = jl_once_derive_ticket (parent->anchor,
                                        jl_call_kind (call)->name, ordinal);
}

static void
init_root_call (struct jl_core *core,
                struct jl_call *call,
                const struct jl_event_call *event,
                const struct jl_kind *kind)
{
  call->priority
      = kind->importance * JL_SAMPLE_COUNT + choose_sample (core, event);
  call->tokens = kind->retry_tokens;
  call->tokens_initial = call->tokens;
  call->anchor = event->key_type == JL_KEY_TICKET ? event->ticket
                                                  : jl_once_issue_ticket (core);
}

static struct jl_call *
create_call (struct jl_core *core,
             const struct jl_event_call *event,
             struct jl_work *parent)
{
  struct jl_call *call = g_new0 (struct jl_call, 1);
  const struct jl_kind *kind = &core->config->kinds[event->kind];

  call->number = event->call;
  call->config = jl_config_keep (core->config);
  call->kind = event->kind;
  call->forwarded = event->forwarded;
  call->has_key = event->key_type != JL_KEY_NONE;
  call->key_hash = event->key_hash;
  call->digest = event->digest;
  call->arrived_us = core->now_us;
  call->deadline_us = choose_deadline (core, event, kind, parent);
  call->at_most_once
      = !kind->idempotent && core->options.mode != JL_CORE_FORWARD;
  if (parent != NULL)
    inherit_from_parent (core, call, parent, event->ordinal);
  else
    init_root_call (core, call, event, kind);
  core->root_calls += parent == NULL;
  if (event->forwarded)
    {
      call->priority = event->priority % JL_PRIORITY_COUNT;
      call->tokens = event->tokens;
      call->tokens_initial = event->tokens;
      call->invested_us = event->invested_us;
    }
  g_hash_table_insert (core->calls, JL_HASH_KEY (call->number), call);
  core->counts.calls[call_class (call)]++;
  return call;
}

/* Only the issuer of its ticket may send an at-most-once call to a target. */
static void
dispatch_at_most_once (struct jl_core *core, struct jl_call *call)
{
  if (call->ticket.issuer.member != core->identity.member)
    {
      jl_entry_forward (core, call);
      return;
    }
  if (jl_once_grant (core, call))
    jl_entry_dispatch (core, call);
}

static void
handle_claim_failure (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_call *call = caa_container_of (timer, struct jl_call, timer);

  call->may_have_run = true;
  jl_entry_answer (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_PLATFORM)
      ->attempt_outcome
      = JL_OUTCOME_NOT_RUN;
}

/* Claims the caller's key in the platform's table with a new ticket. */
static void
claim_key (struct jl_core *core, struct jl_call *call)
{
  struct jl_effect_claim *claim = &jl_emit (core, JL_EFFECT_CLAIM)->claim;

  call->state = JL_CALL_CLAIMING;
  call->ticket = jl_once_issue_ticket (core);
  claim->call = call->number;
  claim->key_hash = call->key_hash;
  claim->ticket = call->ticket;
  jl_timer_start (core->timers, &call->timer, call->deadline_us,
                  handle_claim_failure, core);
}

/*
 * Answers a call that may have waited in the socket while the process was
 * paused. Its caller may have abandoned it and may already have received an
 * answer to a later transmission.
 */
static void
answer_stale (struct jl_core *core, struct jl_call *call)
{
  struct jl_effect_answer *answer
      = jl_entry_answer (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_TIMEOUT);

  answer->attempt_outcome = JL_OUTCOME_NOT_RUN;
  answer->retry_after_ms
      = RETRY_AFTER_DEFAULT_MS + jl_random_below (core, RETRY_AFTER_DEFAULT_MS);
}

/*
 * Whether a forwarded call was abandoned by the daemon that forwarded it. If
 * the call was not abandoned, its attempt is recorded as accepted.
 */
static bool
is_abandoned (struct jl_core *core, const struct jl_event_call *event)
{
  const struct jl_member *from
      = jl_members_find (core, event->attempt.origin.member);

  if (!event->forwarded)
    return false;
  /* The daemon that forwarded it has restarted. */
  if (from != NULL && from->info.identity.epoch > event->attempt.origin.epoch)
    return true;
  if (jl_attempt_find_state (core, event->attempt) == JL_ATTEMPT_TOMBSTONE
      && !JL_SWITCHED_OFF (core, JL_MECHANISM_TOMBSTONE))
    return true;
  jl_attempt_set_state (core, event->attempt, JL_ATTEMPT_ACCEPTED);
  return false;
}

static void
begin_at_most_once (struct jl_core *core,
                    struct jl_call *call,
                    const struct jl_event_call *event)
{
  if (call->has_key && core->now_us < core->stale_until_us)
    {
      answer_stale (core, call);
      return;
    }
  if (event->key_type != JL_KEY_CALLER)
    call->ticket = call->anchor;
  else if (!jl_once_find_key (core, event->key_hash, &call->ticket))
    {
      claim_key (core, call);
      return;
    }
  dispatch_at_most_once (core, call);
}

/*
 * Whether the limit on concurrent calls is reached for this importance class.
 * The most important class may use the whole limit, call_max. The share of a
 * class falls linearly to a little over half for the least important class. A
 * class is thus refused only while all less important classes are refused too.
 */
static bool
is_call_limit_reached (const struct jl_core *core,
                       const struct jl_event_call *event)
{
  uint32_t importance = core->config->kinds[event->kind].importance;
  uint32_t count = core->config->class_count;
  uint32_t max = core->options.call_max;

  if (max == 0 || core->options.mode != JL_CORE_FULL || event->forwarded)
    return false;
  return core->root_calls >= max - max * importance / (2 * count);
}

/*
 * Returns the reason to refuse a caller's call on arrival, if there is one. A
 * draining daemon still takes calls for a while, so that callers have time to
 * switch to another entry.
 */
static enum jl_reason
find_refusal_reason (const struct jl_core *core,
                     const struct jl_event_call *event)
{
  if (core->draining && !event->forwarded
      && core->now_us >= core->drain_refuse_from_us)
    return JL_REASON_DRAINING;
  if (is_call_limit_reached (core, event))
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
      refuse_event (core, event, JL_REASON_NO_CONFIG);
      return;
    }
  if (event->kind >= core->config->kind_count
      || event->config_version != core->config->version)
    {
      refuse_event (core, event, JL_REASON_NO_KIND);
      return;
    }
  if (event->parent != 0)
    {
      parent = g_hash_table_lookup (core->works, JL_HASH_KEY (event->parent));
      if (parent == NULL || parent->state != JL_WORK_RUNNING
          || parent->cancelled)
        {
          refuse_event (core, event, JL_REASON_CANCELLED);
          return;
        }
    }
  else if ((reason = find_refusal_reason (core, event)) != JL_REASON_NONE)
    {
      refuse_event (core, event, reason);
      return;
    }
  if (is_abandoned (core, event))
    {
      refuse_event (core, event, JL_REASON_CANCELLED);
      return;
    }
  call = create_call (core, event, parent);
  if (call->at_most_once)
    begin_at_most_once (core, call, event);
  else
    jl_entry_dispatch (core, call);
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
      handle_claim_failure (core, &call->timer);
      return;
    }
  jl_timer_stop (core->timers, &call->timer);
  call->state = JL_CALL_IDLE;
  call->ticket = event->owner_ticket;
  jl_once_store_key (core, call->key_hash, call->ticket);
  dispatch_at_most_once (core, call);
}
