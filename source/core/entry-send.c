/**
 * DOC: The entry: from the choice of a target to the sending.
 */

#include "entry-impl.h"

#include "graph.h"
#include "member.h"
#include "once.h"
#include "place.h"
#include "poison.h"
#include "retry.h"

/* Begins a sending; its number is never used again. */
static void
begin_attempt (struct jl_core *core, struct jl_call *call)
{
  call->sent_us = core->now_us;
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
  struct jl_member *issuer = jl_members_find (core, call->ticket.issuer.member);
  struct jl_effect_forward *forward;

  if (call->forwarded || issuer == NULL
      || issuer->info.identity.epoch != call->ticket.issuer.epoch)
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
  call->member = call->ticket.issuer.member;
  call->member_epoch = call->ticket.issuer.epoch;
  begin_attempt (core, call);
  forward = &jl_emit (core, JL_EFFECT_FORWARD)->forward;
  forward->call = call->number;
  forward->attempt = call->attempt;
  forward->peer = issuer->info.peer;
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
    jl_retry_first (core, jl_call_kind (call)->service);
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
void
jl_entry_report_service (struct jl_core *core, struct jl_call *call)
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
  jl_entry_end (core, call, JL_OUTCOME_NOT_RUN, JL_REASON_DOWNSTREAM);
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
      jl_entry_report_service (core, call);
      call->last_retry_after_ms
          = jl_place_retry_after (core, jl_place_service (core, call));
    }
  if (reason == JL_REASON_NONE)
    reason = verdict == JL_PLACE_REFUSED ? JL_REASON_OVERLOAD
                                         : JL_REASON_NO_TARGET;
  jl_entry_end (core, call, JL_OUTCOME_NOT_RUN, reason);
}

void
jl_entry_proceed (struct jl_core *core, struct jl_call *call)
{
  struct jl_member *member = NULL;
  enum jl_place_verdict verdict;
  uint32_t service;

  if (core->now_us >= call->deadline_us)
    {
      jl_entry_end (core, call, JL_OUTCOME_NOT_RUN, JL_REASON_DEADLINE);
      return;
    }
  if (jl_poison_refuses (core, call->digest))
    {
      jl_entry_end (core, call, JL_OUTCOME_NOT_RUN, JL_REASON_POISON);
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
    jl_entry_end (core, call, JL_OUTCOME_NOT_RUN, call->last_reason);
  else
    send_call (core, call, member);
}
