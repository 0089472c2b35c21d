/**
 * DOC: Unit tests of at-most-once execution across daemons: forwarding,
 * cancellation and restarts.
 */

#include <criterion/criterion.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "unit/parts/rig.h"

/* Makes the other daemon known to the reducer. */
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
  rig_step (rig, &event);
}

Test (forward, nothing_is_forwarded_past_its_deadline)
{
  struct rig *rig = rig_new ();
  struct jl_ticket anchor = { .issuer = { OTHER, OTHER_EPOCH }, .number = 4 };
  uint64_t parent;

  join_other (rig);
  parent = rig_begin_run (rig, anchor);
  rig_call_child (rig, parent, PUT, 0);
  cr_assert_not_null (rig_find (rig, JL_EFFECT_FORWARD));
  rig->now_us += 4 * JL_USEC_PER_SEC;
  rig_call_child (rig, parent, PUT, 1);
  cr_assert_null (rig_find (rig, JL_EFFECT_FORWARD));
  cr_assert_eq (rig_answer (rig)->attempt_outcome, JL_OUTCOME_NOT_RUN);
  rig_drop (rig);
}

/* Returns the first control message of @type of the last step, or NULL. */
static const struct jl_message *
find_message (const struct rig *rig, enum jl_message_type type)
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

/*
 * A daemon must not confirm a cancellation that is addressed to an earlier
 * process of it, which may have run the attempt.
 */
Test (forward, cancellation_meant_for_an_earlier_life_is_not_confirmed)
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
  rig_step (rig, &event);
  cr_assert_null (find_message (rig, JL_MESSAGE_CANCELLED));
  cr_assert_not_null (find_message (rig, JL_MESSAGE_CANCEL_LATE));
  message.to.epoch = EPOCH;
  rig_step (rig, &event);
  cr_assert_not_null (find_message (rig, JL_MESSAGE_CANCELLED));
  rig_drop (rig);
}

/* A cancellation is addressed to the process to which the attempt was sent. */
Test (forward, cancellation_names_the_life_that_was_sent_the_call)
{
  struct rig *rig = rig_new ();
  static const struct jl_event_call_result broken
      = { .result = JL_SEND_BROKEN };

  rig_call_ticket (rig, rig_issue_ticket (rig));
  rig_end_send (rig, broken);
  cr_assert_not_null (find_message (rig, JL_MESSAGE_CANCEL));
  cr_assert_eq (find_message (rig, JL_MESSAGE_CANCEL)->to.epoch, EPOCH);
  rig_drop (rig);
}

/*
 * A request that waited in the socket during a pause of the process may have
 * been abandoned by its caller.
 */
Test (forward, nothing_with_a_key_is_granted_right_after_a_pause)
{
  struct rig *rig = rig_new ();
  struct jl_ticket ticket = rig_issue_ticket (rig);

  rig_tick_after (rig, 1000);
  rig_announce (rig);
  rig->now_us += 2 * JL_USEC_PER_SEC;
  rig_call_ticket (rig, ticket);
  cr_assert_null (rig_find (rig, JL_EFFECT_SEND));
  cr_assert_eq (rig_answer (rig)->outcome, JL_OUTCOME_UNKNOWN);
  cr_assert_eq (rig_answer (rig)->attempt_outcome, JL_OUTCOME_NOT_RUN);
  rig_tick_after (rig, 1100);
  rig_announce (rig);
  rig_call_ticket (rig, ticket);
  cr_assert_not_null (rig_find (rig, JL_EFFECT_SEND));
  rig_drop (rig);
}

/* A forwarded call that arrives after its cancellation must not be granted. */
Test (forward, forwarded_call_that_was_given_up_is_not_granted)
{
  struct rig *rig = rig_new ();
  struct jl_message message = { .type = JL_MESSAGE_CANCEL };
  struct jl_event cancel = { .type = JL_EVENT_MESSAGE, .message = &message };
  struct jl_event event = { .call = { .kind = PUT,
                                      .forwarded = true,
                                      .key_type = JL_KEY_TICKET,
                                      .ticket = rig_issue_ticket (rig),
                                      .budget_us = JL_USEC_PER_SEC } };

  message.from.member = OTHER;
  message.from.epoch = OTHER_EPOCH;
  message.to.member = SELF;
  message.to.epoch = EPOCH;
  message.attempt.origin = message.from;
  message.attempt.number = 5;
  event.call.attempt = message.attempt;
  rig_step (rig, &cancel);
  rig_call_event (rig, &event);
  cr_assert_null (rig_find (rig, JL_EFFECT_SEND));
  cr_assert_eq (rig_answer (rig)->outcome, JL_OUTCOME_UNKNOWN);
  cr_assert_eq (rig_answer (rig)->attempt_outcome, JL_OUTCOME_NOT_RUN);
  event.call.attempt.number = 6;
  rig_call_event (rig, &event);
  cr_assert_not_null (rig_find (rig, JL_EFFECT_SEND));
  rig_drop (rig);
}

/* Whether a cancellation of @attempt is sent within @ms. */
static bool
cancels_within (struct rig *rig, struct jl_attempt_id attempt, uint64_t ms)
{
  const struct jl_message *message;

  for (uint64_t i = 0; i < ms; i += 10)
    {
      rig_tick_after (rig, 10);
      message = find_message (rig, JL_MESSAGE_CANCEL);
      if (message != NULL && jl_attempt_id_equal (message->attempt, attempt))
        return true;
    }
  return false;
}

Test (forward, forward_without_an_answer_is_cancelled_until_that_is_answered)
{
  struct rig *rig = rig_new ();
  struct jl_ticket ticket = { .issuer = { OTHER, OTHER_EPOCH }, .number = 4 };
  struct jl_message message = { .type = JL_MESSAGE_CANCEL_LATE };
  struct jl_event late = { .type = JL_EVENT_MESSAGE, .message = &message };
  struct jl_event event = { .type = JL_EVENT_CALL_RESULT };

  join_other (rig);
  event.call_result.call = rig_call_ticket (rig, ticket);
  event.call_result.attempt
      = rig_find (rig, JL_EFFECT_FORWARD)->forward.attempt;
  event.call_result.result = JL_SEND_BROKEN;
  rig_step (rig, &event);
  cr_assert_eq (find_message (rig, JL_MESSAGE_CANCEL)->to.epoch, OTHER_EPOCH);
  cr_assert (cancels_within (rig, event.call_result.attempt, 100));
  cr_assert (cancels_within (rig, event.call_result.attempt, 200));
  message.from.member = OTHER;
  message.from.epoch = OTHER_EPOCH;
  message.to.member = SELF;
  message.to.epoch = EPOCH;
  message.attempt = event.call_result.attempt;
  rig_step (rig, &late);
  cr_assert_not (cancels_within (rig, event.call_result.attempt, 5000));
  rig_drop (rig);
}

/*
 * After 150 s the guard has no record of the attempt any more and would wrongly
 * confirm the cancellation, so the outcome must be unknown.
 */
Test (forward, long_sending_that_breaks_is_unknown)
{
  struct rig *rig = rig_new ();
  struct jl_event event = { .type = JL_EVENT_CALL_RESULT };

  event.call_result.call = rig_call_ticket (rig, rig_issue_ticket (rig));
  event.call_result.attempt = rig_find (rig, JL_EFFECT_SEND)->send.attempt;
  event.call_result.result = JL_SEND_BROKEN;
  rig_tick_after (rig, 150000);
  rig_step (rig, &event);
  cr_assert_eq (rig_answer (rig)->outcome, JL_OUTCOME_UNKNOWN);
  rig_drop (rig);
}

/* A call that was forwarded by an earlier process of a daemon is abandoned. */
Test (forward, forwarded_call_of_an_earlier_life_is_not_granted)
{
  struct rig *rig = rig_new ();
  struct jl_event event = { .call = { .kind = PUT,
                                      .forwarded = true,
                                      .key_type = JL_KEY_TICKET,
                                      .budget_us = JL_USEC_PER_SEC } };

  join_other (rig);
  event.call.ticket = rig_issue_ticket (rig);
  event.call.attempt.origin.member = OTHER;
  event.call.attempt.origin.epoch = OTHER_EPOCH - 1;
  event.call.attempt.number = 5;
  rig_call_event (rig, &event);
  cr_assert_null (rig_find (rig, JL_EFFECT_SEND));
  cr_assert_eq (rig_answer (rig)->attempt_outcome, JL_OUTCOME_NOT_RUN);
  rig_drop (rig);
}
