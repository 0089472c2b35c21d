/**
 * DOC: Fixture for unit tests: one reducer with its local target.
 */

#include "unit/parts/rig.h"

#include <criterion/criterion.h>

/*
 * Configurations of odd and even versions, which differ in the order of kinds.
 */
static const char *const documents[] = {
  "{\"classes\":[\"all\"],\"zones\":[{\"name\":\"z\",\"region\":\"r\"}],"
  "\"services\":[{\"name\":\"s\",\"retry_percent\":100,\"cold_start_ms\":0}],"
  "\"kinds\":[{\"name\":\"put\",\"service\":\"s\",\"path\":\"/put\","
  "\"class\":\"all\",\"idempotent\":false,\"deadline_ms\":300000,"
  "\"retry_tokens\":2},{\"name\":\"get\",\"service\":\"s\",\"path\":"
  "\"/get\",\"class\":\"all\",\"idempotent\":true,\"deadline_ms\":300000,"
  "\"retry_tokens\":2}]}",
  "{\"classes\":[\"all\"],\"zones\":[{\"name\":\"z\",\"region\":\"r\"}],"
  "\"services\":[{\"name\":\"s\",\"retry_percent\":100,\"cold_start_ms\":0}],"
  "\"kinds\":[{\"name\":\"get\",\"service\":\"s\",\"path\":\"/get\","
  "\"class\":\"all\",\"idempotent\":true,\"deadline_ms\":300000,"
  "\"retry_tokens\":2},{\"name\":\"put\",\"service\":\"s\",\"path\":"
  "\"/put\",\"class\":\"all\",\"idempotent\":false,\"deadline_ms\":300000,"
  "\"retry_tokens\":2}]}"
};

void
rig_step (struct rig *rig, struct jl_event *event)
{
  event->now_us = rig->now_us;
  jl_effects_clear (rig->effects);
  jl_core_step (rig->core, event, rig->effects);
}

void
rig_tick_after (struct rig *rig, uint64_t ms)
{
  struct jl_event event = { .type = JL_EVENT_TICK };

  for (uint64_t i = 0; i < ms; i += 100)
    {
      rig->now_us += MIN (ms - i, 100) * JL_USEC_PER_MSEC;
      rig_step (rig, &event);
    }
}

void
rig_configure (struct rig *rig, uint64_t version)
{
  const char *text = documents[(version - 1) % 2];
  struct jl_config *config = jl_config_new (text, strlen (text), version, NULL);
  struct jl_event event = { .type = JL_EVENT_CONFIG, .config = config };

  cr_assert_not_null (config);
  rig_step (rig, &event);
  jl_config_drop (config);
  rig->version = version;
}

void
rig_announce (struct rig *rig)
{
  struct jl_event event = { .type = JL_EVENT_ANNOUNCE };

  strcpy (event.announce.service, "s");
  event.announce.slots = 8;
  event.announce.started = 1;
  rig_step (rig, &event);
}

struct rig *
rig_new (void)
{
  struct jl_core_options options = { .zone = "z", .now_us = 1 };
  struct rig *rig = g_new0 (struct rig, 1);

  options.identity.member = SELF;
  options.identity.epoch = EPOCH;
  options.peer = jl_member_endpoint (SELF);
  rig->core = jl_core_new (&options);
  rig->effects = jl_effects_new ();
  rig->now_us = 1;
  rig_configure (rig, 1);
  rig_announce (rig);
  return rig;
}

void
rig_drop (struct rig *rig)
{
  jl_core_drop (rig->core);
  jl_effects_drop (rig->effects);
  g_free (rig);
}

const struct jl_effect *
rig_find (const struct rig *rig, enum jl_effect_type type)
{
  for (size_t i = 0; i < jl_effects_count (rig->effects); i++)
    if (jl_effects_get (rig->effects, i)->type == type)
      return jl_effects_get (rig->effects, i);
  return NULL;
}

struct jl_ticket
rig_issue_ticket (struct rig *rig)
{
  struct jl_event event = { .type = JL_EVENT_CALL };
  const struct jl_effect *send;

  event.call.call = ++rig->number;
  event.call.kind = rig->version == 1 ? GET : PUT;
  event.call.config_version = rig->version;
  rig_step (rig, &event);
  send = rig_find (rig, JL_EFFECT_SEND);
  cr_assert_not_null (send);
  return send->send.anchor;
}

uint64_t
rig_call_event (struct rig *rig, struct jl_event *event)
{
  event->type = JL_EVENT_CALL;
  event->call.call = ++rig->number;
  event->call.config_version = rig->version;
  rig_step (rig, event);
  return rig->number;
}

uint64_t
rig_call_ticket (struct rig *rig, struct jl_ticket ticket)
{
  struct jl_event event = {
    .call
    = { .kind = PUT, .key_type = JL_KEY_TICKET, .ticket = ticket, .digest = 7 }
  };

  return rig_call_event (rig, &event);
}

void
rig_end_send (struct rig *rig, struct jl_event_call_result result)
{
  struct jl_event event = { .type = JL_EVENT_CALL_RESULT };
  const struct jl_effect *send = rig_find (rig, JL_EFFECT_SEND);

  cr_assert_not_null (send);
  event.call_result = result;
  event.call_result.call = send->send.call;
  event.call_result.attempt = send->send.attempt;
  rig_step (rig, &event);
}

const struct jl_effect_answer *
rig_answer (const struct rig *rig)
{
  const struct jl_effect *effect = rig_find (rig, JL_EFFECT_ANSWER);

  cr_assert_not_null (effect);
  return &effect->answer;
}

uint64_t
rig_begin_run (struct rig *rig, struct jl_ticket anchor)
{
  struct jl_event event = { .type = JL_EVENT_WORK };

  event.work.work = ++rig->number;
  event.work.attempt.origin.member = OTHER;
  event.work.attempt.number = rig->number;
  event.work.kind = rig->version == 1 ? GET : PUT;
  event.work.config_version = rig->version;
  event.work.budget_us = 4 * JL_USEC_PER_SEC;
  event.work.anchor = anchor;
  event.work.tokens = 1;
  rig_step (rig, &event);
  cr_assert_not_null (rig_find (rig, JL_EFFECT_RUN));
  return event.work.work;
}

void
rig_call_child (struct rig *rig,
                uint64_t parent,
                uint32_t kind,
                uint32_t ordinal)
{
  struct jl_event event = {
    .call = { .kind = kind, .parent = parent, .ordinal = ordinal, .digest = 11 }
  };

  rig_call_event (rig, &event);
}

const struct jl_event_call_result rig_done
    = { .result = JL_SEND_ANSWERED, .outcome = JL_OUTCOME_DONE };
const struct jl_event_call_result rig_refused = { .result = JL_SEND_ANSWERED,
                                                  .outcome = JL_OUTCOME_NOT_RUN,
                                                  .reason = JL_REASON_OVERLOAD,
                                                  .no_retry = true,
                                                  .retry_after_ms = 800 };
const struct jl_event_call_result rig_timed_out = { .result = JL_SEND_TIMEOUT };
