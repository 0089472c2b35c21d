/**
 * DOC: Unit tests of at-most-once execution: tickets, callers' keys and
 * answers.
 */

#include <criterion/criterion.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "unit/parts/rig.h"

Test (once, sent_again_in_progress_is_unknown)
{
  struct rig *rig = rig_new ();
  struct jl_ticket ticket = rig_issue_ticket (rig);

  rig_call_ticket (rig, ticket);
  cr_assert_not_null (rig_find (rig, JL_EFFECT_SEND));
  rig_call_ticket (rig, ticket);
  cr_assert_null (rig_find (rig, JL_EFFECT_SEND));
  cr_assert_eq (rig_answer (rig)->outcome, JL_OUTCOME_UNKNOWN);
  cr_assert_eq (rig_answer (rig)->attempt_outcome, JL_OUTCOME_NOT_RUN);
  cr_assert_eq (rig_answer (rig)->reason, JL_REASON_IN_PROGRESS);
  cr_assert_gt (rig_answer (rig)->retry_after_ms, 0);
  rig_drop (rig);
}

Test (once, sent_again_after_done_gets_the_stored_answer)
{
  struct rig *rig = rig_new ();
  struct jl_ticket ticket = rig_issue_ticket (rig);

  rig_call_ticket (rig, ticket);
  rig_end_send (rig, rig_done);
  cr_assert (rig_answer (rig)->store);
  cr_assert (jl_ticket_equal (rig_answer (rig)->ticket, ticket));
  rig_call_ticket (rig, ticket);
  cr_assert_null (rig_find (rig, JL_EFFECT_SEND));
  cr_assert_eq (rig_answer (rig)->outcome, JL_OUTCOME_DONE);
  cr_assert (rig_answer (rig)->replay_stored);
  rig_drop (rig);
}

Test (once, sent_again_after_unknown_is_never_sent)
{
  struct rig *rig = rig_new ();
  struct jl_ticket ticket = rig_issue_ticket (rig);

  rig_call_ticket (rig, ticket);
  rig_end_send (rig, rig_timed_out);
  cr_assert_eq (rig_answer (rig)->outcome, JL_OUTCOME_UNKNOWN);
  rig_tick_after (rig, 60000);
  rig_announce (rig);
  rig_call_ticket (rig, ticket);
  cr_assert_null (rig_find (rig, JL_EFFECT_SEND));
  cr_assert_eq (rig_answer (rig)->outcome, JL_OUTCOME_UNKNOWN);
  cr_assert_eq (rig_answer (rig)->reason, JL_REASON_DUPLICATE);
  rig_drop (rig);
}

/* After "not run", no run is granted until the retry delay is over. */
Test (once, not_run_holds_until_the_caller_is_to_come_back)
{
  struct rig *rig = rig_new ();
  struct jl_ticket ticket = rig_issue_ticket (rig);

  rig_call_ticket (rig, ticket);
  rig_end_send (rig, rig_refused);
  cr_assert_eq (rig_answer (rig)->outcome, JL_OUTCOME_NOT_RUN);
  cr_assert_eq (rig_answer (rig)->retry_after_ms, 800);
  rig_tick_after (rig, 500);
  rig_call_ticket (rig, ticket);
  cr_assert_null (rig_find (rig, JL_EFFECT_SEND));
  cr_assert_eq (rig_answer (rig)->outcome, JL_OUTCOME_NOT_RUN);
  cr_assert_eq (rig_answer (rig)->reason, JL_REASON_OVERLOAD);
  cr_assert_leq (rig_answer (rig)->retry_after_ms, 301);
  rig_tick_after (rig, 301);
  rig_call_ticket (rig, ticket);
  cr_assert_not_null (rig_find (rig, JL_EFFECT_SEND));
  rig_drop (rig);
}

static void
expect_refused_as_unknown (struct rig *rig, struct jl_ticket ticket)
{
  rig_call_ticket (rig, ticket);
  cr_assert_null (rig_find (rig, JL_EFFECT_SEND));
  cr_assert_null (rig_find (rig, JL_EFFECT_FORWARD));
  cr_assert_eq (rig_answer (rig)->outcome, JL_OUTCOME_UNKNOWN);
  cr_assert_eq (rig_answer (rig)->attempt_outcome, JL_OUTCOME_NOT_RUN);
  cr_assert_eq (rig_answer (rig)->reason, JL_REASON_HOME_LOST);
}

/* Tickets that this process has not issued must not be granted. */
Test (once, tickets_of_nobody_here_are_never_run)
{
  struct rig *rig = rig_new ();
  struct jl_ticket ticket = rig_issue_ticket (rig);
  struct jl_ticket other = ticket;

  other.issuer.epoch--;
  expect_refused_as_unknown (rig, other);
  other = ticket;
  other.number += 1000;
  expect_refused_as_unknown (rig, other);
  other.number = 0;
  expect_refused_as_unknown (rig, other);
  other = ticket;
  other.issuer.member = OTHER;
  expect_refused_as_unknown (rig, other);
  rig_drop (rig);
}

/* Returns a count from the ticket section of the dump. */
static uint32_t
dumped_count (struct rig *rig, const char *name)
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

/*
 * A burst of requests is followed by an hour in which no ticket is issued. The
 * tickets of the burst must expire in that time and must not be granted later.
 */
Test (once, used_tickets_expire_and_are_not_run_then)
{
  struct rig *rig = rig_new ();
  struct jl_ticket tickets[50];

  for (uint32_t i = 0; i < G_N_ELEMENTS (tickets); i++)
    {
      tickets[i] = rig_issue_ticket (rig);
      rig_call_ticket (rig, tickets[i]);
      rig_end_send (rig, rig_refused);
    }
  cr_assert_eq (dumped_count (rig, "used"), 50);
  rig_tick_after (rig, 3600000);
  rig_announce (rig);
  for (uint32_t i = 0; i < G_N_ELEMENTS (tickets); i++)
    expect_refused_as_unknown (rig, tickets[i]);
  cr_assert_eq (dumped_count (rig, "used"), 0);
  rig_drop (rig);
}

/* A ticket with a run in progress must not keep later tickets from expiring. */
Test (once, one_in_progress_does_not_hold_up_expiry)
{
  struct rig *rig = rig_new ();

  rig_call_ticket (rig, rig_issue_ticket (rig));
  for (uint32_t i = 0; i < 50; i++)
    {
      rig_call_ticket (rig, rig_issue_ticket (rig));
      rig_end_send (rig, rig_done);
    }
  rig_tick_after (rig, 700000);
  rig_announce (rig);
  rig_call_ticket (rig, rig_issue_ticket (rig));
  cr_assert_eq (dumped_count (rig, "used"), 2);
  rig_drop (rig);
}

/*
 * Sends a request under a caller's key. If the key is claimed, the platform
 * reports @owner as its ticket, or the claimed ticket if @owner has no number.
 */
static void
call_key (struct rig *rig, uint64_t key_hash, struct jl_ticket owner)
{
  struct jl_event call = { .call = { .kind = PUT,
                                     .key_type = JL_KEY_CALLER,
                                     .key_hash = key_hash,
                                     .digest = 9 } };
  struct jl_event result = { .type = JL_EVENT_CLAIM_RESULT };

  result.claim_result.call = rig_call_event (rig, &call);
  if (rig_find (rig, JL_EFFECT_CLAIM) == NULL)
    return;
  cr_assert_null (rig_find (rig, JL_EFFECT_SEND));
  result.claim_result.known = true;
  result.claim_result.owner_ticket
      = owner.number != 0 ? owner
                          : rig_find (rig, JL_EFFECT_CLAIM)->claim.ticket;
  rig_step (rig, &result);
}

Test (once, keys_are_claimed_before_the_run_and_kept_for_a_time)
{
  struct rig *rig = rig_new ();
  struct jl_ticket none = { .number = 0 };

  call_key (rig, 1, none);
  cr_assert_not_null (rig_find (rig, JL_EFFECT_SEND));
  rig_end_send (rig, rig_done);
  call_key (rig, 1, none);
  cr_assert (rig_answer (rig)->replay_stored);
  cr_assert_eq (dumped_count (rig, "keys"), 1);
  rig_tick_after (rig, 3600000);
  rig_announce (rig);
  call_key (rig, 2, none);
  cr_assert_eq (dumped_count (rig, "keys"), 1);
  rig_drop (rig);
}

Test (once, keys_are_bounded)
{
  struct rig *rig = rig_new ();
  struct jl_ticket lost = { .issuer = { OTHER, 1 }, .number = 1 };

  for (uint64_t key = 1; key <= 70000; key++)
    call_key (rig, key, lost);
  cr_assert_leq (dumped_count (rig, "keys"), 65536);
  rig_drop (rig);
}

Test (once, key_whose_daemon_has_restarted_is_unknown)
{
  struct rig *rig = rig_new ();
  struct jl_ticket before = { .issuer = { SELF, EPOCH - 1 }, .number = 1 };

  call_key (rig, 1, before);
  cr_assert_null (rig_find (rig, JL_EFFECT_SEND));
  cr_assert_eq (rig_answer (rig)->outcome, JL_OUTCOME_UNKNOWN);
  cr_assert_eq (rig_answer (rig)->attempt_outcome, JL_OUTCOME_NOT_RUN);
  rig_drop (rig);
}

Test (once, claim_without_platform_is_unknown_and_not_sent)
{
  struct rig *rig = rig_new ();
  struct jl_event call
      = { .call = { .kind = PUT, .key_type = JL_KEY_CALLER, .key_hash = 5 } };
  struct jl_event result = { .type = JL_EVENT_CLAIM_RESULT };

  result.claim_result.call = rig_call_event (rig, &call);
  rig_step (rig, &result);
  cr_assert_null (rig_find (rig, JL_EFFECT_SEND));
  cr_assert_eq (rig_answer (rig)->outcome, JL_OUTCOME_UNKNOWN);
  cr_assert_eq (rig_answer (rig)->attempt_outcome, JL_OUTCOME_NOT_RUN);
  cr_assert_eq (rig_answer (rig)->reason, JL_REASON_PLATFORM);
  rig_drop (rig);
}

/*
 * If a key is reused for a different request after a run, the answer must not
 * claim that the request under the key has not run.
 */
Test (once, key_of_a_request_that_ran_is_not_told_not_run)
{
  struct rig *rig = rig_new ();
  struct jl_ticket ticket = rig_issue_ticket (rig);
  struct jl_event event = {
    .call
    = { .kind = PUT, .key_type = JL_KEY_TICKET, .ticket = ticket, .digest = 8 }
  };

  rig_call_ticket (rig, ticket);
  rig_end_send (rig, rig_done);
  rig_call_event (rig, &event);
  cr_assert_eq (rig_answer (rig)->reason, JL_REASON_KEY_REUSED);
  cr_assert_eq (rig_answer (rig)->outcome, JL_OUTCOME_UNKNOWN);
  cr_assert_eq (rig_answer (rig)->attempt_outcome, JL_OUTCOME_NOT_RUN);
  rig_drop (rig);
}

Test (once, refused_idempotent_request_with_a_key_may_have_run_before)
{
  struct rig *rig = rig_new ();
  struct jl_event event
      = { .call = { .kind = GET, .key_type = JL_KEY_CALLER, .key_hash = 3 } };

  rig_call_event (rig, &event);
  rig_end_send (rig, rig_refused);
  cr_assert_eq (rig_answer (rig)->outcome, JL_OUTCOME_UNKNOWN);
  cr_assert_eq (rig_answer (rig)->attempt_outcome, JL_OUTCOME_NOT_RUN);
  rig_drop (rig);
}

Test (once, repeated_parent_does_not_run_its_call_twice)
{
  struct rig *rig = rig_new ();
  struct jl_ticket anchor = rig_issue_ticket (rig);
  uint64_t first = rig_begin_run (rig, anchor);
  uint64_t second = rig_begin_run (rig, anchor);

  rig_call_child (rig, first, PUT, 0);
  cr_assert_not_null (rig_find (rig, JL_EFFECT_SEND));
  rig_call_child (rig, second, PUT, 0);
  cr_assert_null (rig_find (rig, JL_EFFECT_SEND));
  rig_call_child (rig, second, PUT, 1);
  cr_assert_not_null (rig_find (rig, JL_EFFECT_SEND));
  rig_drop (rig);
}

/*
 * Tickets of calls are derived from the name of the kind, since its index may
 * differ between two versions of the configuration.
 */
Test (once, call_of_a_repeated_parent_is_known_after_an_apply)
{
  struct rig *rig = rig_new ();
  struct jl_ticket anchor = rig_issue_ticket (rig);
  uint64_t first = rig_begin_run (rig, anchor);
  uint64_t second;

  rig_call_child (rig, first, PUT, 0);
  cr_assert_not_null (rig_find (rig, JL_EFFECT_SEND));
  rig_configure (rig, 2);
  second = rig_begin_run (rig, anchor);
  rig_call_child (rig, second, GET, 0); /* index 1 is "put" in version 2 */
  cr_assert_null (rig_find (rig, JL_EFFECT_SEND));
  cr_assert_eq (rig_answer (rig)->reason, JL_REASON_IN_PROGRESS);
  rig_drop (rig);
}

/* Equal kinds and ordinals under different parents are different requests. */
Test (once, paths_down_the_tree_have_different_tickets)
{
  struct rig *rig = rig_new ();
  struct jl_ticket anchor = rig_issue_ticket (rig);
  uint64_t top = rig_begin_run (rig, anchor);
  struct jl_ticket below[2];

  for (uint32_t i = 0; i < 2; i++)
    {
      rig_call_child (rig, top, GET, i);
      cr_assert_not_null (rig_find (rig, JL_EFFECT_SEND));
      below[i] = rig_find (rig, JL_EFFECT_SEND)->send.anchor;
    }
  for (uint32_t i = 0; i < 2; i++)
    {
      rig_call_child (rig, rig_begin_run (rig, below[i]), PUT, 0);
      cr_assert_not_null (rig_find (rig, JL_EFFECT_SEND));
    }
  rig_drop (rig);
}

Test (once, idempotent_request_sent_again_has_the_same_anchor)
{
  struct rig *rig = rig_new ();
  struct jl_ticket ticket = rig_issue_ticket (rig);
  struct jl_event event
      = { .call
          = { .kind = GET, .key_type = JL_KEY_TICKET, .ticket = ticket } };

  rig_call_event (rig, &event);
  cr_assert (
      jl_ticket_equal (rig_find (rig, JL_EFFECT_SEND)->send.anchor, ticket));
  rig_drop (rig);
}

Test (once, call_of_a_stopped_parent_may_have_run_before)
{
  struct rig *rig = rig_new ();

  rig_call_child (rig, 12345, PUT, 0);
  cr_assert_eq (rig_answer (rig)->reason, JL_REASON_CANCELLED);
  cr_assert_eq (rig_answer (rig)->outcome, JL_OUTCOME_UNKNOWN);
  cr_assert_eq (rig_answer (rig)->attempt_outcome, JL_OUTCOME_NOT_RUN);
  rig_drop (rig);
}
