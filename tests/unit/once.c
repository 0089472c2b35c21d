/**
 * DOC: At most once: tickets, keys, cancellations and what callers are told.
 */

#include <criterion/criterion.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "jackdawladder/core.h"

#define SELF UINT64_C (0x7f2800011b58)
#define OTHER UINT64_C (0x7f2800021b58)
#define EPOCH UINT64_C (1000)
#define OTHER_EPOCH UINT64_C (2000)

/* Kinds by index in version 1; version 2 has them the other way round. */
#define PUT 0
#define GET 1

/**
 * struct rig - one daemon, alone with its target
 */
struct rig
{
  struct jl_core *core;
  struct jl_effects *effects;
  uint64_t now_us;
  uint64_t number;
  uint64_t version;
};

static const char *const documents[] = {
  "{\"classes\":[\"all\"],\"zones\":[{\"name\":\"z\",\"region\":\"r\"}],"
  "\"services\":[{\"name\":\"s\",\"retry_percent\":100,\"cold_start_ms\":0}],"
  "\"kinds\":[{\"name\":\"put\",\"service\":\"s\",\"path\":\"/put\","
  "\"class\":\"all\",\"idempotent\":false,\"deadline_ms\":5000,"
  "\"retry_tokens\":2},{\"name\":\"get\",\"service\":\"s\",\"path\":"
  "\"/get\",\"class\":\"all\",\"idempotent\":true,\"deadline_ms\":5000,"
  "\"retry_tokens\":2}]}",
  "{\"classes\":[\"all\"],\"zones\":[{\"name\":\"z\",\"region\":\"r\"}],"
  "\"services\":[{\"name\":\"s\",\"retry_percent\":100,\"cold_start_ms\":0}],"
  "\"kinds\":[{\"name\":\"get\",\"service\":\"s\",\"path\":\"/get\","
  "\"class\":\"all\",\"idempotent\":true,\"deadline_ms\":5000,"
  "\"retry_tokens\":2},{\"name\":\"put\",\"service\":\"s\",\"path\":"
  "\"/put\",\"class\":\"all\",\"idempotent\":false,\"deadline_ms\":5000,"
  "\"retry_tokens\":2}]}"
};

static void
step (struct rig *rig, struct jl_event *event)
{
  event->now_us = rig->now_us;
  jl_effects_clear (rig->effects);
  jl_core_step (rig->core, event, rig->effects);
}

static void
tick_after (struct rig *rig, uint64_t ms)
{
  struct jl_event event = { .type = JL_EVENT_TICK };

  for (uint64_t i = 0; i < ms; i += 100)
    {
      rig->now_us += MIN (ms - i, 100) * JL_USEC_PER_MSEC;
      step (rig, &event);
    }
}

static void
configure (struct rig *rig, uint64_t version)
{
  const char *text = documents[(version - 1) % 2];
  struct jl_config *config = jl_config_new (text, strlen (text), version, NULL);
  struct jl_event event = { .type = JL_EVENT_CONFIG, .config = config };

  cr_assert_not_null (config);
  step (rig, &event);
  jl_config_drop (config);
  rig->version = version;
}

static void
announce (struct rig *rig)
{
  struct jl_event event = { .type = JL_EVENT_ANNOUNCE };

  strcpy (event.announce.service, "s");
  event.announce.slots = 8;
  event.announce.started = 1;
  step (rig, &event);
}

static struct rig *
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
  configure (rig, 1);
  announce (rig);
  return rig;
}

static void
rig_drop (struct rig *rig)
{
  jl_core_drop (rig->core);
  jl_effects_drop (rig->effects);
  g_free (rig);
}

static const struct jl_effect *
find (const struct rig *rig, enum jl_effect_type type)
{
  for (size_t i = 0; i < jl_effects_count (rig->effects); i++)
    if (jl_effects_get (rig->effects, i)->type == type)
      return jl_effects_get (rig->effects, i);
  return NULL;
}

/* A ticket that was just minted. */
static struct jl_ticket
mint (struct rig *rig)
{
  struct jl_event event = { .type = JL_EVENT_CALL };
  const struct jl_effect *send;

  event.call.call = ++rig->number;
  event.call.kind = rig->version == 1 ? GET : PUT;
  event.call.config_version = rig->version;
  step (rig, &event);
  send = find (rig, JL_EFFECT_SEND);
  cr_assert_not_null (send);
  return send->send.anchor;
}

static uint64_t
call_event (struct rig *rig, struct jl_event *event)
{
  event->type = JL_EVENT_CALL;
  event->call.call = ++rig->number;
  event->call.config_version = rig->version;
  step (rig, event);
  return rig->number;
}

/* Sends a request that is not idempotent under a ticket. */
static uint64_t
call_ticket (struct rig *rig, struct jl_ticket ticket)
{
  struct jl_event event = {
    .call
    = { .kind = PUT, .key_type = JL_KEY_TICKET, .ticket = ticket, .digest = 7 }
  };

  return call_event (rig, &event);
}

/* Ends the sending that the last step asked for. */
static void
end_send (struct rig *rig, struct jl_event_call_result result)
{
  struct jl_event event = { .type = JL_EVENT_CALL_RESULT };
  const struct jl_effect *send = find (rig, JL_EFFECT_SEND);

  cr_assert_not_null (send);
  event.call_result = result;
  event.call_result.call = send->send.call;
  event.call_result.attempt = send->send.attempt;
  step (rig, &event);
}

static const struct jl_effect_answer *
answer_of (const struct rig *rig)
{
  const struct jl_effect *effect = find (rig, JL_EFFECT_ANSWER);

  cr_assert_not_null (effect);
  return &effect->answer;
}

static const struct jl_event_call_result done
    = { .result = JL_SEND_ANSWERED, .outcome = JL_OUTCOME_DONE };
static const struct jl_event_call_result refused
    = { .result = JL_SEND_ANSWERED,
        .outcome = JL_OUTCOME_NOT_RUN,
        .reason = JL_REASON_OVERLOAD,
        .no_retry = true,
        .retry_after_ms = 800 };
static const struct jl_event_call_result timed_out
    = { .result = JL_SEND_TIMEOUT };

Test (once, sent_again_in_progress_is_unknown)
{
  struct rig *rig = rig_new ();
  struct jl_ticket ticket = mint (rig);

  call_ticket (rig, ticket);
  cr_assert_not_null (find (rig, JL_EFFECT_SEND));
  call_ticket (rig, ticket);
  cr_assert_null (find (rig, JL_EFFECT_SEND));
  cr_assert_eq (answer_of (rig)->outcome, JL_OUTCOME_UNKNOWN);
  cr_assert_eq (answer_of (rig)->sending, JL_OUTCOME_NOT_RUN);
  cr_assert_eq (answer_of (rig)->reason, JL_REASON_IN_PROGRESS);
  cr_assert_gt (answer_of (rig)->retry_after_ms, 0);
  rig_drop (rig);
}

Test (once, sent_again_after_done_gets_the_stored_answer)
{
  struct rig *rig = rig_new ();
  struct jl_ticket ticket = mint (rig);

  call_ticket (rig, ticket);
  end_send (rig, done);
  cr_assert (answer_of (rig)->keep);
  cr_assert (jl_ticket_equal (answer_of (rig)->ticket, ticket));
  call_ticket (rig, ticket);
  cr_assert_null (find (rig, JL_EFFECT_SEND));
  cr_assert_eq (answer_of (rig)->outcome, JL_OUTCOME_DONE);
  cr_assert (answer_of (rig)->stored);
  rig_drop (rig);
}

Test (once, sent_again_after_unknown_is_never_sent)
{
  struct rig *rig = rig_new ();
  struct jl_ticket ticket = mint (rig);

  call_ticket (rig, ticket);
  end_send (rig, timed_out);
  cr_assert_eq (answer_of (rig)->outcome, JL_OUTCOME_UNKNOWN);
  tick_after (rig, 60000);
  announce (rig);
  call_ticket (rig, ticket);
  cr_assert_null (find (rig, JL_EFFECT_SEND));
  cr_assert_eq (answer_of (rig)->outcome, JL_OUTCOME_UNKNOWN);
  cr_assert_eq (answer_of (rig)->reason, JL_REASON_DUPLICATE);
  rig_drop (rig);
}

Test (once, not_run_holds_until_the_caller_is_to_come_back)
{
  struct rig *rig = rig_new ();
  struct jl_ticket ticket = mint (rig);

  call_ticket (rig, ticket);
  end_send (rig, refused);
  cr_assert_eq (answer_of (rig)->outcome, JL_OUTCOME_NOT_RUN);
  cr_assert_eq (answer_of (rig)->retry_after_ms, 800);
  tick_after (rig, 500);
  call_ticket (rig, ticket);
  cr_assert_null (find (rig, JL_EFFECT_SEND));
  cr_assert_eq (answer_of (rig)->outcome, JL_OUTCOME_NOT_RUN);
  cr_assert_eq (answer_of (rig)->reason, JL_REASON_OVERLOAD);
  cr_assert_leq (answer_of (rig)->retry_after_ms, 301);
  tick_after (rig, 301);
  call_ticket (rig, ticket);
  cr_assert_not_null (find (rig, JL_EFFECT_SEND));
  rig_drop (rig);
}

static void
expect_refused_as_unknown (struct rig *rig, struct jl_ticket ticket)
{
  call_ticket (rig, ticket);
  cr_assert_null (find (rig, JL_EFFECT_SEND));
  cr_assert_null (find (rig, JL_EFFECT_FORWARD));
  cr_assert_eq (answer_of (rig)->outcome, JL_OUTCOME_UNKNOWN);
  cr_assert_eq (answer_of (rig)->sending, JL_OUTCOME_NOT_RUN);
  cr_assert_eq (answer_of (rig)->reason, JL_REASON_HOME_LOST);
}

Test (once, tickets_of_nobody_here_are_never_run)
{
  struct rig *rig = rig_new ();
  struct jl_ticket ticket = mint (rig);
  struct jl_ticket other = ticket;

  other.minter.epoch--;
  expect_refused_as_unknown (rig, other);
  other = ticket;
  other.number += 1000;
  expect_refused_as_unknown (rig, other);
  other.number = 0;
  expect_refused_as_unknown (rig, other);
  other = ticket;
  other.minter.member = OTHER;
  expect_refused_as_unknown (rig, other);
  rig_drop (rig);
}

static uint32_t
dumped (struct rig *rig, const char *name)
{
  GString *text = g_string_new ("");
  char *pattern = g_strdup_printf ("\"%s\":", name);
  const char *at;
  uint32_t number;

  jl_core_dump (rig->core, text);
  at = strstr (strstr (text->str, "\"tickets\":"), pattern);
  cr_assert_not_null (at);
  number = (uint32_t)strtoul (at + strlen (pattern), NULL, 10);
  g_string_free (text, TRUE);
  g_free (pattern);
  return number;
}

/* A burst at once, and nothing minted for an hour after it. */
Test (once, used_tickets_expire_and_are_not_run_then)
{
  struct rig *rig = rig_new ();
  struct jl_ticket tickets[50];

  for (uint32_t i = 0; i < G_N_ELEMENTS (tickets); i++)
    {
      tickets[i] = mint (rig);
      call_ticket (rig, tickets[i]);
      end_send (rig, refused);
    }
  cr_assert_eq (dumped (rig, "used"), 50);
  tick_after (rig, 3600000);
  announce (rig);
  for (uint32_t i = 0; i < G_N_ELEMENTS (tickets); i++)
    expect_refused_as_unknown (rig, tickets[i]);
  cr_assert_eq (dumped (rig, "used"), 0);
  rig_drop (rig);
}

/* One that is still in progress does not keep the others. */
Test (once, one_in_progress_does_not_hold_up_expiry)
{
  struct rig *rig = rig_new ();

  call_ticket (rig, mint (rig));
  for (uint32_t i = 0; i < 50; i++)
    {
      call_ticket (rig, mint (rig));
      end_send (rig, done);
    }
  tick_after (rig, 700000);
  announce (rig);
  call_ticket (rig, mint (rig));
  cr_assert_eq (dumped (rig, "used"), 2);
  rig_drop (rig);
}

static void
call_key (struct rig *rig, uint64_t key_hash, struct jl_ticket owner)
{
  struct jl_event call = { .call = { .kind = PUT,
                                     .key_type = JL_KEY_CALLER,
                                     .key_hash = key_hash,
                                     .digest = 9 } };
  struct jl_event result = { .type = JL_EVENT_CLAIM_RESULT };

  result.claim_result.call = call_event (rig, &call);
  if (find (rig, JL_EFFECT_CLAIM) == NULL)
    return;
  cr_assert_null (find (rig, JL_EFFECT_SEND));
  result.claim_result.known = true;
  result.claim_result.owner_ticket
      = owner.number != 0 ? owner : find (rig, JL_EFFECT_CLAIM)->claim.ticket;
  step (rig, &result);
}

Test (once, keys_are_claimed_before_the_run_and_kept_for_a_time)
{
  struct rig *rig = rig_new ();
  struct jl_ticket none = { .number = 0 };

  call_key (rig, 1, none);
  cr_assert_not_null (find (rig, JL_EFFECT_SEND));
  end_send (rig, done);
  call_key (rig, 1, none);
  cr_assert (answer_of (rig)->stored);
  cr_assert_eq (dumped (rig, "keys"), 1);
  tick_after (rig, 3600000);
  announce (rig);
  call_key (rig, 2, none);
  cr_assert_eq (dumped (rig, "keys"), 1);
  rig_drop (rig);
}

Test (once, keys_are_bounded)
{
  struct rig *rig = rig_new ();
  struct jl_ticket lost = { .minter = { OTHER, 1 }, .number = 1 };

  for (uint64_t key = 1; key <= 70000; key++)
    call_key (rig, key, lost);
  cr_assert_leq (dumped (rig, "keys"), 65536);
  rig_drop (rig);
}

Test (once, key_whose_daemon_has_restarted_is_unknown)
{
  struct rig *rig = rig_new ();
  struct jl_ticket before = { .minter = { SELF, EPOCH - 1 }, .number = 1 };

  call_key (rig, 1, before);
  cr_assert_null (find (rig, JL_EFFECT_SEND));
  cr_assert_eq (answer_of (rig)->outcome, JL_OUTCOME_UNKNOWN);
  cr_assert_eq (answer_of (rig)->sending, JL_OUTCOME_NOT_RUN);
  rig_drop (rig);
}

Test (once, claim_without_platform_is_unknown_and_not_sent)
{
  struct rig *rig = rig_new ();
  struct jl_event call
      = { .call = { .kind = PUT, .key_type = JL_KEY_CALLER, .key_hash = 5 } };
  struct jl_event result = { .type = JL_EVENT_CLAIM_RESULT };

  result.claim_result.call = call_event (rig, &call);
  step (rig, &result);
  cr_assert_null (find (rig, JL_EFFECT_SEND));
  cr_assert_eq (answer_of (rig)->outcome, JL_OUTCOME_UNKNOWN);
  cr_assert_eq (answer_of (rig)->sending, JL_OUTCOME_NOT_RUN);
  cr_assert_eq (answer_of (rig)->reason, JL_REASON_PLATFORM);
  rig_drop (rig);
}

Test (once, key_of_a_request_that_ran_is_not_told_not_run)
{
  struct rig *rig = rig_new ();
  struct jl_ticket ticket = mint (rig);
  struct jl_event event = {
    .call
    = { .kind = PUT, .key_type = JL_KEY_TICKET, .ticket = ticket, .digest = 8 }
  };

  call_ticket (rig, ticket);
  end_send (rig, done);
  call_event (rig, &event);
  cr_assert_eq (answer_of (rig)->reason, JL_REASON_KEY_REUSED);
  cr_assert_eq (answer_of (rig)->outcome, JL_OUTCOME_UNKNOWN);
  cr_assert_eq (answer_of (rig)->sending, JL_OUTCOME_NOT_RUN);
  rig_drop (rig);
}

Test (once, refused_idempotent_request_with_a_key_may_have_run_before)
{
  struct rig *rig = rig_new ();
  struct jl_event event
      = { .call = { .kind = GET, .key_type = JL_KEY_CALLER, .key_hash = 3 } };

  call_event (rig, &event);
  end_send (rig, refused);
  cr_assert_eq (answer_of (rig)->outcome, JL_OUTCOME_UNKNOWN);
  cr_assert_eq (answer_of (rig)->sending, JL_OUTCOME_NOT_RUN);
  rig_drop (rig);
}

/* A run of an idempotent request whose tree is anchored at this daemon. */
static uint64_t
begin_run (struct rig *rig, struct jl_ticket anchor)
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
  step (rig, &event);
  cr_assert_not_null (find (rig, JL_EFFECT_RUN));
  return event.work.work;
}

static void
call_child (struct rig *rig, uint64_t parent, uint32_t kind, uint32_t ordinal)
{
  struct jl_event event = {
    .call = { .kind = kind, .parent = parent, .ordinal = ordinal, .digest = 11 }
  };

  call_event (rig, &event);
}

Test (once, repeated_parent_does_not_run_its_call_twice)
{
  struct rig *rig = rig_new ();
  struct jl_ticket anchor = mint (rig);
  uint64_t first = begin_run (rig, anchor);
  uint64_t second = begin_run (rig, anchor);

  call_child (rig, first, PUT, 0);
  cr_assert_not_null (find (rig, JL_EFFECT_SEND));
  call_child (rig, second, PUT, 0);
  cr_assert_null (find (rig, JL_EFFECT_SEND));
  call_child (rig, second, PUT, 1);
  cr_assert_not_null (find (rig, JL_EFFECT_SEND));
  rig_drop (rig);
}

Test (once, call_of_a_repeated_parent_is_known_after_an_apply)
{
  struct rig *rig = rig_new ();
  struct jl_ticket anchor = mint (rig);
  uint64_t first = begin_run (rig, anchor);
  uint64_t second;

  call_child (rig, first, PUT, 0);
  cr_assert_not_null (find (rig, JL_EFFECT_SEND));
  configure (rig, 2);
  second = begin_run (rig, anchor);
  call_child (rig, second, GET, 0); /* index 1 is put in version 2 */
  cr_assert_null (find (rig, JL_EFFECT_SEND));
  cr_assert_eq (answer_of (rig)->reason, JL_REASON_IN_PROGRESS);
  rig_drop (rig);
}

/* The same kind at the same place below two calls is two requests. */
Test (once, paths_down_the_tree_have_different_tickets)
{
  struct rig *rig = rig_new ();
  struct jl_ticket anchor = mint (rig);
  uint64_t top = begin_run (rig, anchor);
  struct jl_ticket below[2];

  for (uint32_t i = 0; i < 2; i++)
    {
      call_child (rig, top, GET, i);
      cr_assert_not_null (find (rig, JL_EFFECT_SEND));
      below[i] = find (rig, JL_EFFECT_SEND)->send.anchor;
    }
  for (uint32_t i = 0; i < 2; i++)
    {
      call_child (rig, begin_run (rig, below[i]), PUT, 0);
      cr_assert_not_null (find (rig, JL_EFFECT_SEND));
    }
  rig_drop (rig);
}

Test (once, idempotent_request_sent_again_has_the_same_anchor)
{
  struct rig *rig = rig_new ();
  struct jl_ticket ticket = mint (rig);
  struct jl_event event
      = { .call
          = { .kind = GET, .key_type = JL_KEY_TICKET, .ticket = ticket } };

  call_event (rig, &event);
  cr_assert (jl_ticket_equal (find (rig, JL_EFFECT_SEND)->send.anchor, ticket));
  rig_drop (rig);
}

Test (once, call_of_a_stopped_parent_may_have_run_before)
{
  struct rig *rig = rig_new ();

  call_child (rig, 12345, PUT, 0);
  cr_assert_eq (answer_of (rig)->reason, JL_REASON_CANCELLED);
  cr_assert_eq (answer_of (rig)->outcome, JL_OUTCOME_UNKNOWN);
  cr_assert_eq (answer_of (rig)->sending, JL_OUTCOME_NOT_RUN);
  rig_drop (rig);
}

static void
join_other (struct rig *rig)
{
  struct jl_message message = { .type = JL_MESSAGE_JOIN };
  struct jl_event event = { .type = JL_EVENT_MESSAGE, .message = &message };
  struct jl_member_info *info = &message.updates[0];

  message.from.member = OTHER;
  message.from.epoch = OTHER_EPOCH;
  message.to.member = SELF;
  message.update_count = 1;
  info->identity = message.from;
  info->incarnation = 1;
  info->peer = jl_member_endpoint (OTHER);
  strcpy (info->zone, "z");
  step (rig, &event);
}

Test (once, nothing_is_forwarded_past_its_deadline)
{
  struct rig *rig = rig_new ();
  struct jl_ticket anchor = { .minter = { OTHER, OTHER_EPOCH }, .number = 4 };
  uint64_t parent;

  join_other (rig);
  parent = begin_run (rig, anchor);
  call_child (rig, parent, PUT, 0);
  cr_assert_not_null (find (rig, JL_EFFECT_FORWARD));
  rig->now_us += 4 * JL_USEC_PER_SEC;
  call_child (rig, parent, PUT, 1);
  cr_assert_null (find (rig, JL_EFFECT_FORWARD));
  cr_assert_eq (answer_of (rig)->sending, JL_OUTCOME_NOT_RUN);
  rig_drop (rig);
}

static const struct jl_message *
message_of (const struct rig *rig, enum jl_message_type type)
{
  for (size_t i = 0; i < jl_effects_count (rig->effects); i++)
    {
      const struct jl_effect *effect = jl_effects_get (rig->effects, i);

      if (effect->type == JL_EFFECT_MESSAGE
          && effect->message->message.type == type)
        return &effect->message->message;
    }
  return NULL;
}

/* The earlier life may have run the sending. */
Test (once, cancellation_meant_for_an_earlier_life_is_not_confirmed)
{
  struct rig *rig = rig_new ();
  struct jl_message message = { .type = JL_MESSAGE_CANCEL };
  struct jl_event event = { .type = JL_EVENT_MESSAGE, .message = &message };

  message.from.member = OTHER;
  message.from.epoch = OTHER_EPOCH;
  message.to.member = SELF;
  message.to.epoch = EPOCH - 1;
  message.attempt.origin = message.from;
  message.attempt.number = 77;
  step (rig, &event);
  cr_assert_null (message_of (rig, JL_MESSAGE_CANCELLED));
  cr_assert_not_null (message_of (rig, JL_MESSAGE_CANCEL_LATE));
  message.to.epoch = EPOCH;
  step (rig, &event);
  cr_assert_not_null (message_of (rig, JL_MESSAGE_CANCELLED));
  rig_drop (rig);
}

Test (once, cancellation_names_the_life_that_was_sent_the_call)
{
  struct rig *rig = rig_new ();
  static const struct jl_event_call_result broken
      = { .result = JL_SEND_BROKEN };

  call_ticket (rig, mint (rig));
  end_send (rig, broken);
  cr_assert_not_null (message_of (rig, JL_MESSAGE_CANCEL));
  cr_assert_eq (message_of (rig, JL_MESSAGE_CANCEL)->to.epoch, EPOCH);
  rig_drop (rig);
}

/* What lay in the socket meanwhile may have been given up by its caller. */
Test (once, nothing_with_a_key_is_granted_right_after_a_pause)
{
  struct rig *rig = rig_new ();
  struct jl_ticket ticket = mint (rig);

  tick_after (rig, 1000);
  announce (rig);
  rig->now_us += 2 * JL_USEC_PER_SEC;
  call_ticket (rig, ticket);
  cr_assert_null (find (rig, JL_EFFECT_SEND));
  cr_assert_eq (answer_of (rig)->outcome, JL_OUTCOME_UNKNOWN);
  cr_assert_eq (answer_of (rig)->sending, JL_OUTCOME_NOT_RUN);
  tick_after (rig, 1100);
  announce (rig);
  call_ticket (rig, ticket);
  cr_assert_not_null (find (rig, JL_EFFECT_SEND));
  rig_drop (rig);
}

Test (once, forwarded_call_that_was_given_up_is_not_granted)
{
  struct rig *rig = rig_new ();
  struct jl_message message = { .type = JL_MESSAGE_CANCEL };
  struct jl_event cancel = { .type = JL_EVENT_MESSAGE, .message = &message };
  struct jl_event event = { .call = { .kind = PUT,
                                      .forwarded = true,
                                      .key_type = JL_KEY_TICKET,
                                      .ticket = mint (rig),
                                      .budget_us = JL_USEC_PER_SEC } };

  message.from.member = OTHER;
  message.from.epoch = OTHER_EPOCH;
  message.to.member = SELF;
  message.to.epoch = EPOCH;
  message.attempt.origin = message.from;
  message.attempt.number = 5;
  event.call.attempt = message.attempt;
  step (rig, &cancel);
  call_event (rig, &event);
  cr_assert_null (find (rig, JL_EFFECT_SEND));
  cr_assert_eq (answer_of (rig)->outcome, JL_OUTCOME_UNKNOWN);
  cr_assert_eq (answer_of (rig)->sending, JL_OUTCOME_NOT_RUN);
  event.call.attempt.number = 6;
  call_event (rig, &event);
  cr_assert_not_null (find (rig, JL_EFFECT_SEND));
  rig_drop (rig);
}

/* Whether a cancellation of @attempt goes out within the time given. */
static bool
cancels_within (struct rig *rig, struct jl_attempt_id attempt, uint64_t ms)
{
  const struct jl_message *message;

  for (uint64_t i = 0; i < ms; i += 10)
    {
      tick_after (rig, 10);
      message = message_of (rig, JL_MESSAGE_CANCEL);
      if (message != NULL && jl_attempt_id_equal (message->attempt, attempt))
        return true;
    }
  return false;
}

Test (once, forward_without_an_answer_is_cancelled_until_that_is_answered)
{
  struct rig *rig = rig_new ();
  struct jl_ticket ticket = { .minter = { OTHER, OTHER_EPOCH }, .number = 4 };
  struct jl_message message = { .type = JL_MESSAGE_CANCEL_LATE };
  struct jl_event late = { .type = JL_EVENT_MESSAGE, .message = &message };
  struct jl_event event = { .type = JL_EVENT_CALL_RESULT };

  join_other (rig);
  event.call_result.call = call_ticket (rig, ticket);
  event.call_result.attempt = find (rig, JL_EFFECT_FORWARD)->forward.attempt;
  event.call_result.result = JL_SEND_BROKEN;
  step (rig, &event);
  cr_assert_eq (message_of (rig, JL_MESSAGE_CANCEL)->to.epoch, OTHER_EPOCH);
  cr_assert (cancels_within (rig, event.call_result.attempt, 100));
  cr_assert (cancels_within (rig, event.call_result.attempt, 200));
  message.from.member = OTHER;
  message.from.epoch = OTHER_EPOCH;
  message.to.member = SELF;
  message.to.epoch = EPOCH;
  message.attempt = event.call_result.attempt;
  step (rig, &late);
  cr_assert_not (cancels_within (rig, event.call_result.attempt, 5000));
  rig_drop (rig);
}
