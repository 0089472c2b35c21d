/**
 * DOC: The entry: calls that nobody waits for, and members that went silent.
 */

#include "entry-impl.h"

#include "retry.h"
#include "withdraw.h"

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
      jl_withdraw_begin (core, jl_call_receiver (call), call->attempt);
      return;
    }
  jl_entry_send_cancel (core, call);
  jl_entry_note_result (core, call, &ended);
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
          && !call->at_most_once && core->options.mode == JL_CORE_FULL)
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
    jl_entry_end (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_CANCELLED);
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
