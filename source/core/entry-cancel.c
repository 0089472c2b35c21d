/**
 * DOC: The entry: cancellation of calls, and retries after the loss of a
 * member.
 */

#include "entry-impl.h"

#include "cancel.h"
#include "retry.h"

/*
 * Aborts the attempt in progress and cancels it at the receiver. The attempt
 * may have run, or may still run.
 */
static void
abort_attempt (struct jl_core *core, struct jl_call *call)
{
  struct jl_event_call_result ended = { .result = JL_SEND_TIMEOUT };
  struct jl_effect *effect = jl_emit (core, JL_EFFECT_ABORT_ATTEMPT);

  effect->abort_attempt.call = call->number;
  effect->abort_attempt.attempt = call->attempt;
  call->may_have_run = true;
  if (call->state != JL_CALL_SENT)
    {
      jl_cancel_send_until_answered (core, jl_call_receiver (call),
                                     call->attempt);
      return;
    }
  jl_entry_send_cancel (core, call);
  jl_entry_record_result (core, call, &ended);
}

/* Retries an idempotent call on another member, if it gets a retry token. */
static void
retry_elsewhere (struct jl_core *core, struct jl_call *call)
{
  if (!jl_retry_spend (core, call))
    return;
  abort_attempt (core, call);
  call->last_reason = JL_REASON_TARGET_LOST;
  if (call->tried_count < JL_TRIED_MAX)
    call->tried[call->tried_count++] = call->member;
  core->counts.retries++;
  jl_entry_dispatch (core, call);
}

void
jl_entry_member_lost (struct jl_core *core, uint64_t member)
{
  GList *calls = g_hash_table_get_values (core->calls);

  for (GList *item = calls; item != NULL; item = item->next)
    {
      struct jl_call *call = item->data;

      if (call->state == JL_CALL_SENT && call->member == member
          && !call->at_most_once && core->options.mode == JL_CORE_FULL)
        retry_elsewhere (core, call);
    }
  g_list_free (calls);
}

/* Cancels and frees a call whose originator no longer waits for the answer. */
static void
cancel_call (struct jl_core *core, struct jl_call *call)
{
  if (call->state == JL_CALL_SENT || call->state == JL_CALL_FORWARDED)
    abort_attempt (core, call);
  if (call->state == JL_CALL_SENT || call->state == JL_CALL_CANCELLING)
    jl_entry_finish (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_CANCELLED);
  else
    jl_entry_answer (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_CANCELLED);
}

void
jl_entry_caller_disconnected (struct jl_core *core, uint64_t number)
{
  struct jl_call *call
      = g_hash_table_lookup (core->calls, JL_HASH_KEY (number));

  if (call != NULL)
    cancel_call (core, call);
}

void
jl_entry_work_ended (struct jl_core *core, struct jl_work *work)
{
  struct jl_call *call;
  struct jl_call *next;

  cds_list_for_each_entry_safe (call, next, &work->children, siblings)
      cancel_call (core, call);
}
