/**
 * DOC: The entry: choice of a target, sending and forwarding.
 */

#include "entry-impl.h"

#include "graph.h"
#include "member.h"
#include "once.h"
#include "place.h"
#include "poison.h"
#include "retry.h"

/* Starts an attempt: assigns a number that is never reused and lends tokens. */
static void
start_attempt (struct jl_core *core, struct jl_call *call)
{
  call->sent_us = core->now_us;
  call->attempt.origin = core->identity;
  call->attempt.number = ++core->last_attempt;
  call->attempt_tokens = jl_retry_lend (core, call);
  core->counts.sends++;
}

/*
 * Answers a call that could not be forwarded. The call did not run, but other
 * transmissions of the request may have run.
 */
static void
answer_not_forwarded (struct jl_core *core,
                      struct jl_call *call,
                      enum jl_reason reason)
{
  jl_entry_answer (core, call, JL_OUTCOME_UNKNOWN, reason)->attempt_outcome
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
      answer_not_forwarded (core, call, JL_REASON_HOME_LOST);
      return;
    }
  if (core->now_us >= call->deadline_us)
    {
      answer_not_forwarded (core, call, JL_REASON_DEADLINE);
      return;
    }
  call->state = JL_CALL_FORWARDED;
  call->member = call->ticket.issuer.member;
  call->member_epoch = call->ticket.issuer.epoch;
  start_attempt (core, call);
  forward = &jl_emit (core, JL_EFFECT_FORWARD)->forward;
  forward->call = call->number;
  forward->attempt = call->attempt;
  forward->peer = issuer->info.peer;
  forward->ticket = call->ticket;
  forward->kind = call->kind;
  forward->config_version = call->config->version;
  forward->priority = call->priority;
  forward->tokens = call->attempt_tokens;
  forward->invested_us = call->invested_us;
  forward->budget_us = call->deadline_us - core->now_us;
}

static void
send_call (struct jl_core *core, struct jl_call *call, struct jl_member *member)
{
  struct jl_effect_send *send;

  start_attempt (core, call);
  if (call->sends++ == 0)
    jl_retry_earn_budget (core, jl_call_kind (call)->service);
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
  send->tokens = call->attempt_tokens;
  send->digest = call->digest;
}

void
jl_entry_report_level (struct jl_core *core, struct jl_call *call)
{
  uint32_t service = jl_place_service (core, call);

  if (call->parent != NULL && service != JL_NONE)
    jl_report_add (&call->parent->report, service,
                   jl_place_level (core, service));
}

/*
 * Refuses a call before its first attempt because @service, further down the
 * call graph, would refuse it. No part of the request has run at that point.
 */
static void
refuse_for_downstream (struct jl_core *core,
                       struct jl_call *call,
                       uint32_t service)
{
  if (call->parent != NULL)
    jl_report_add (&call->parent->report, service,
                   jl_graph_level (core, service));
  jl_entry_finish (core, call, JL_OUTCOME_NOT_RUN, JL_REASON_DOWNSTREAM);
}

/* Ends a call for which placement found no target. */
static void
finish_unplaced (struct jl_core *core,
                 struct jl_call *call,
                 enum jl_place_status status)
{
  enum jl_reason reason = call->last_reason;

  if (status == JL_PLACE_REFUSED)
    {
      jl_entry_report_level (core, call);
      call->last_retry_after_ms
          = jl_place_retry_after_ms (core, jl_place_service (core, call));
    }
  if (reason == JL_REASON_NONE)
    reason
        = status == JL_PLACE_REFUSED ? JL_REASON_OVERLOAD : JL_REASON_NO_TARGET;
  jl_entry_finish (core, call, JL_OUTCOME_NOT_RUN, reason);
}

void
jl_entry_dispatch (struct jl_core *core, struct jl_call *call)
{
  struct jl_member *member = NULL;
  enum jl_place_status status;
  uint32_t service;

  if (core->now_us >= call->deadline_us)
    {
      jl_entry_finish (core, call, JL_OUTCOME_NOT_RUN, JL_REASON_DEADLINE);
      return;
    }
  if (jl_poison_refuses (core, call->digest))
    {
      jl_entry_finish (core, call, JL_OUTCOME_NOT_RUN, JL_REASON_POISON);
      return;
    }
  if (call->sends == 0 && call->config == core->config
      && jl_graph_refuses (core, call->kind, call->priority, &service))
    {
      refuse_for_downstream (core, call, service);
      return;
    }
  status = jl_place_choose (core, call, &member);
  if (status != JL_PLACE_CHOSEN)
    finish_unplaced (core, call, status);
  else if (call->sends > 0 && !jl_retry_spend (core, call))
    jl_entry_finish (core, call, JL_OUTCOME_NOT_RUN, call->last_reason);
  else
    send_call (core, call, member);
}
