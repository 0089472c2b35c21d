/**
 * DOC: Formats events and effects as text.
 */

#include "print.h"

#include <inttypes.h>

static const char *const run_result_names[]
    = { "answered", "not-sent", "broken", "timeout", "aborted", "too-large" };

static const char *const send_result_names[]
    = { "answered", "not-sent", "broken", "timeout" };

static const char *const message_names[JL_MESSAGE_TYPE_COUNT]
    = { "probe", "ack",    "probe-relay", "relay-ack",  "join",
        "sync",  "cancel", "cancelled",   "cancel-late" };

static const char *const member_state_names[JL_MEMBER_STATE_COUNT]
    = { "alive", "suspect", "dead", "left" };

uint64_t
jl_print_member (uint32_t number)
{
  struct jl_endpoint control = { .ip = 127U << 24 | 40U << 16 | number,
                                 .port = JL_PRINT_CONTROL_PORT };

  return jl_member_id (control);
}

void
jl_print_time (GString *out, uint64_t now_us)
{
  if (now_us % JL_USEC_PER_MSEC == 0)
    g_string_append_printf (out, "%6" PRIu64 " ", now_us / JL_USEC_PER_MSEC);
  else
    g_string_append_printf (out, "%6" PRIu64 ".%03" PRIu64 " ",
                            now_us / JL_USEC_PER_MSEC,
                            now_us % JL_USEC_PER_MSEC);
}

/* Prints members of scripted and random runs by number, others by address. */
static void
print_member (GString *out, const char *name, uint64_t member)
{
  struct jl_endpoint control = jl_member_endpoint (member);
  char text[JL_ENDPOINT_TEXT_SIZE];

  if (member == jl_print_member (control.ip & 255))
    {
      g_string_append_printf (out, " %s=%u", name, control.ip & 255);
      return;
    }
  jl_endpoint_format (control, text);
  g_string_append_printf (out, " %s=%s", name, text);
}

static void
print_number (GString *out, const char *name, uint64_t number)
{
  g_string_append_printf (out, " %s=%" PRIu64, name, number);
}

/* Prints a number unless it is zero. */
static void
print_optional (GString *out, const char *name, uint64_t number)
{
  if (number != 0)
    print_number (out, name, number);
}

static void
print_duration (GString *out, const char *name, uint64_t duration_us)
{
  if (duration_us % JL_USEC_PER_MSEC == 0)
    print_optional (out, name, duration_us / JL_USEC_PER_MSEC);
  else
    g_string_append_printf (out, " %s=%" PRIu64 ".%03" PRIu64, name,
                            duration_us / JL_USEC_PER_MSEC,
                            duration_us % JL_USEC_PER_MSEC);
}

static void
print_kind (GString *out, const struct jl_config *config, uint32_t kind)
{
  if (config != NULL && kind < config->kind_count)
    g_string_append_printf (out, " kind=%s", config->kinds[kind].name);
  else if (kind == JL_NONE)
    g_string_append (out, " kind=none");
  else
    print_number (out, "kind", kind);
}

static void
print_ticket (GString *out, const char *name, struct jl_ticket ticket)
{
  char text[JL_ID_TEXT_SIZE];

  if (ticket.number == 0)
    return;
  jl_ticket_format (ticket, text);
  g_string_append_printf (out, " %s=%s", name, text);
}

static void
print_attempt (GString *out, struct jl_attempt_id attempt)
{
  print_member (out, "from", attempt.origin.member);
  print_number (out, "attempt", attempt.number);
}

static void
print_report (GString *out,
              const struct jl_config *config,
              const struct jl_report *report)
{
  print_optional (out, "load", report->load_permille);
  if (report->count == 0)
    return;
  g_string_append (out, " levels=");
  for (uint32_t i = 0; i < report->count; i++)
    {
      const struct jl_report_item *item = &report->items[i];

      if (i > 0)
        g_string_append_c (out, ',');
      if (config != NULL && item->service < config->service_count)
        g_string_append (out, config->services[item->service].name);
      else
        g_string_append_printf (out, "%u", item->service);
      g_string_append_printf (out, ":%u", item->level);
    }
}

static void
print_member_info (GString *out, const struct jl_member_info *info)
{
  print_member (out, "member", info->identity.member);
  g_string_append_printf (out, " state=%s zone=%s",
                          member_state_names[info->state], info->zone);
  if (info->service[0] != '\0')
    g_string_append_printf (out, " service=%s", info->service);
  print_optional (out, "slots", info->slots);
  print_number (out, "up", info->target_up);
  print_number (out, "incarnation", info->incarnation);
}

static void
print_message (GString *out, const struct jl_message *message)
{
  g_string_append_printf (out, "message %s", message_names[message->type]);
  print_member (out, "from", message->from.member);
  if (message->to.member != 0)
    print_member (out, "to", message->to.member);
  print_optional (out, "sequence", message->sequence);
  if (message->subject != 0)
    print_member (out, "subject", message->subject);
  if (message->attempt.number != 0)
    print_number (out, "attempt", message->attempt.number);
  for (uint32_t i = 0; i < message->update_count; i++)
    {
      g_string_append (out, " {");
      print_member_info (out, &message->updates[i]);
      g_string_append (out, " }");
    }
  for (uint32_t i = 0; i < message->strike_count; i++)
    {
      print_number (out, "strike", message->strikes[i].digest);
      print_member (out, "target", message->strikes[i].target);
      print_optional (out, "age", message->strikes[i].age_ms);
    }
}

static void
print_call (GString *out,
            const struct jl_config *config,
            const struct jl_event_call *call)
{
  g_string_append_printf (out, "call %" PRIu64, call->call);
  print_kind (out, config, call->kind);
  print_optional (out, "parent", call->parent);
  print_optional (out, "ordinal", call->ordinal);
  if (call->forwarded)
    {
      print_number (out, "forwarded", 1);
      print_number (out, "priority", call->priority);
      print_number (out, "tokens", call->tokens);
      print_duration (out, "invested", call->invested_us);
    }
  if (call->key_type == JL_KEY_TICKET || call->forwarded)
    print_ticket (out, "ticket", call->ticket);
  if (call->key_type == JL_KEY_CALLER)
    print_number (out, "key", call->key_hash);
  print_optional (out, "digest", call->digest);
  print_duration (out, "budget", call->budget_us);
}

static void
print_call_result (GString *out,
                   const struct jl_config *config,
                   const struct jl_event_call_result *result)
{
  g_string_append_printf (out, "result %" PRIu64 " %s", result->call,
                          send_result_names[result->result]);
  print_number (out, "attempt", result->attempt.number);
  if (result->result != JL_SEND_ANSWERED)
    return;
  g_string_append_printf (out, " outcome=%s reason=%s",
                          jl_outcome_name (result->outcome),
                          jl_reason_name (result->reason));
  print_optional (out, "no-retry", result->no_retry);
  print_optional (out, "retry-after", result->retry_after_ms);
  print_optional (out, "status", result->status);
  print_optional (out, "tokens", result->tokens);
  print_report (out, config, &result->report);
}

static void
print_work (GString *out,
            const struct jl_config *config,
            const struct jl_event_work *work)
{
  g_string_append_printf (out, "work %" PRIu64, work->work);
  print_attempt (out, work->attempt);
  print_kind (out, config, work->kind);
  print_number (out, "priority", work->priority);
  print_duration (out, "invested", work->invested_us);
  print_duration (out, "budget", work->budget_us);
  print_ticket (out, "anchor", work->anchor);
  print_optional (out, "tokens", work->tokens);
  print_optional (out, "digest", work->digest);
}

static void
print_claim_result (GString *out, const struct jl_event_claim_result *result)
{
  g_string_append_printf (out, "claim-result %" PRIu64, result->call);
  print_number (out, "known", result->known);
  if (result->known)
    print_ticket (out, "owner", result->owner_ticket);
}

static void
print_seed (GString *out, struct jl_endpoint control)
{
  g_string_append (out, "seed");
  print_member (out, "member", jl_member_id (control));
}

void
jl_print_event (GString *out,
                const struct jl_config *config,
                const struct jl_event *event)
{
  switch (event->type)
    {
    case JL_EVENT_TICK:
      g_string_append (out, "tick");
      break;
    case JL_EVENT_CONFIG:
      g_string_append_printf (out, "config version=%" PRIu64,
                              event->config->version);
      break;
    case JL_EVENT_ANNOUNCE:
      g_string_append_printf (out,
                              "announce service=%s slots=%u started=%" PRIu64,
                              event->announce.service, event->announce.slots,
                              event->announce.started);
      break;
    case JL_EVENT_TARGET_LEAVE:
      g_string_append (out, "target-leave");
      break;
    case JL_EVENT_DRAIN:
      g_string_append (out, "drain");
      break;
    case JL_EVENT_CALL:
      print_call (out, config, &event->call);
      break;
    case JL_EVENT_CALL_RESULT:
      print_call_result (out, config, &event->call_result);
      break;
    case JL_EVENT_CALLER_DISCONNECTED:
      g_string_append_printf (out, "gone %" PRIu64, event->disconnected_call);
      break;
    case JL_EVENT_CLAIM_RESULT:
      print_claim_result (out, &event->claim_result);
      break;
    case JL_EVENT_WORK:
      print_work (out, config, &event->work);
      break;
    case JL_EVENT_WORK_RESULT:
      g_string_append_printf (out, "end %" PRIu64 " %s",
                              event->work_result.work,
                              run_result_names[event->work_result.result]);
      print_optional (out, "status", event->work_result.status);
      break;
    case JL_EVENT_MESSAGE:
      print_message (out, event->message);
      break;
    case JL_EVENT_SEED:
      print_seed (out, event->seed.control);
      break;
    case JL_EVENT_TYPE_COUNT:
      break;
    }
}

static void
print_send (GString *out,
            const struct jl_config *config,
            const struct jl_effect_send *send)
{
  g_string_append_printf (out, "send %" PRIu64, send->call);
  print_member (out, "to", send->member);
  print_number (out, "attempt", send->attempt.number);
  print_kind (out, config, send->kind);
  print_number (out, "priority", send->priority);
  print_duration (out, "invested", send->invested_us);
  print_duration (out, "budget", send->budget_us);
  print_ticket (out, "anchor", send->anchor);
  print_number (out, "tokens", send->tokens);
  print_optional (out, "local", send->local);
}

static void
print_forward (GString *out,
               const struct jl_config *config,
               const struct jl_effect_forward *forward)
{
  g_string_append_printf (out, "forward %" PRIu64, forward->call);
  print_member (out, "to", forward->ticket.issuer.member);
  print_number (out, "attempt", forward->attempt.number);
  print_ticket (out, "ticket", forward->ticket);
  print_kind (out, config, forward->kind);
  print_number (out, "priority", forward->priority);
  print_number (out, "tokens", forward->tokens);
  print_duration (out, "invested", forward->invested_us);
  print_duration (out, "budget", forward->budget_us);
}

static void
print_answer (GString *out,
              const struct jl_config *config,
              const struct jl_effect_answer *answer)
{
  g_string_append_printf (out, "answer %" PRIu64 " %s", answer->call,
                          jl_outcome_name (answer->outcome));
  if (answer->attempt_outcome != answer->outcome)
    g_string_append_printf (out, " sending=%s",
                            jl_outcome_name (answer->attempt_outcome));
  if (answer->reason != JL_REASON_NONE)
    g_string_append_printf (out, " reason=%s", jl_reason_name (answer->reason));
  print_optional (out, "retry-after", answer->retry_after_ms);
  print_optional (out, "stored", answer->replay_stored);
  print_optional (out, "keep", answer->store);
  print_ticket (out, "ticket", answer->ticket);
  print_ticket (out, "next", answer->next_ticket);
  print_number (out, "tokens", answer->tokens);
  print_number (out, "sends", answer->sends);
  print_report (out, config, &answer->report);
}

static void
print_finish (GString *out,
              const struct jl_config *config,
              const struct jl_effect_finish *finish)
{
  g_string_append_printf (out, "finish %" PRIu64 " %s", finish->work,
                          jl_outcome_name (finish->outcome));
  if (finish->reason != JL_REASON_NONE)
    g_string_append_printf (out, " reason=%s", jl_reason_name (finish->reason));
  print_optional (out, "no-retry", finish->no_retry);
  print_optional (out, "retry-after", finish->retry_after_ms);
  print_optional (out, "tokens", finish->tokens);
  print_report (out, config, &finish->report);
}

void
jl_print_effect (GString *out,
                 const struct jl_config *config,
                 const struct jl_effect *effect)
{
  switch (effect->type)
    {
    case JL_EFFECT_SEND:
      print_send (out, config, &effect->send);
      break;
    case JL_EFFECT_FORWARD:
      print_forward (out, config, &effect->forward);
      break;
    case JL_EFFECT_ANSWER:
      print_answer (out, config, &effect->answer);
      break;
    case JL_EFFECT_CLAIM:
      g_string_append_printf (out, "claim %" PRIu64, effect->claim.call);
      print_number (out, "key", effect->claim.key_hash);
      print_ticket (out, "ticket", effect->claim.ticket);
      break;
    case JL_EFFECT_RUN:
      g_string_append_printf (out, "run %" PRIu64, effect->run.work);
      print_duration (out, "budget", effect->run.budget_us);
      break;
    case JL_EFFECT_FINISH:
      print_finish (out, config, &effect->finish);
      break;
    case JL_EFFECT_ABORT_WORK:
      g_string_append_printf (out, "abort %" PRIu64, effect->abort_work);
      break;
    case JL_EFFECT_ABORT_ATTEMPT:
      g_string_append_printf (out, "stop-send %" PRIu64,
                              effect->abort_attempt.call);
      print_number (out, "attempt", effect->abort_attempt.attempt.number);
      break;
    case JL_EFFECT_MESSAGE:
      print_message (out, &effect->message->message);
      break;
    case JL_EFFECT_PUBLISH:
      g_string_append (out, "publish");
      print_member_info (out, &effect->publish);
      break;
    case JL_EFFECT_CONFIG:
      g_string_append_printf (out, "config version=%" PRIu64,
                              effect->config->version);
      break;
    case JL_EFFECT_FETCH_CONFIG:
      g_string_append_printf (out, "fetch-config version=%" PRIu64,
                              effect->fetch_config.version);
      break;
    case JL_EFFECT_LOG:
      g_string_append_printf (out, "log E%03d %" PRIu64 " %" PRIu64,
                              (int)effect->log.number, effect->log.first,
                              effect->log.second);
      break;
    case JL_EFFECT_EXIT:
      g_string_append (out, "exit");
      break;
    }
}
