/**
 * DOC: Tests of the state of the local target.
 */

#include <criterion/criterion.h>

#include "policy/target.h"

static struct jl_heartbeat
heartbeat (const char *id,
           uint64_t started_ms,
           uint64_t sequence,
           bool draining)
{
  struct jl_heartbeat result = { .slots = 10,
                                 .started_ms = started_ms,
                                 .sequence = sequence,
                                 .draining = draining };

  g_strlcpy (result.id, id, sizeof result.id);
  return result;
}

static bool
apply (struct jl_target *target, struct jl_heartbeat received)
{
  return jl_target_apply_heartbeat (target, &received, 1);
}

Test (target, draining_is_final_for_an_incarnation)
{
  struct jl_target target = { 0 };

  cr_assert (apply (&target, heartbeat ("a", 5, 1, false)));
  cr_assert (apply (&target, heartbeat ("a", 5, 2, true)));
  cr_assert_eq (target.state, JL_TARGET_LEAVING);
  apply (&target, heartbeat ("a", 5, 3, false));
  cr_assert_eq (target.state, JL_TARGET_LEAVING);
}

Test (target, a_late_heartbeat_changes_nothing)
{
  struct jl_target target = { 0 };

  apply (&target, heartbeat ("a", 5, 2, true));
  cr_assert_not (apply (&target, heartbeat ("a", 5, 1, false)));
  cr_assert_eq (target.state, JL_TARGET_LEAVING);
}

Test (target, one_that_left_does_not_come_back_by_a_late_heartbeat)
{
  struct jl_target target = { 0 };

  apply (&target, heartbeat ("a", 5, 1, false));
  cr_assert (jl_target_mark_departed (&target, "a", 0, 8));
  cr_assert_not (apply (&target, heartbeat ("a", 5, 9, false)));
  cr_assert_eq (target.state, JL_TARGET_LEAVING);
}

/* Guards against the loss of a leave whose row the store has lost. */
Test (target, one_that_left_by_the_word_of_others_takes_no_work)
{
  struct jl_target before = { .name_key = 1 };
  struct jl_target target = { .name_key = 1 };
  uint32_t key;

  apply (&before, heartbeat ("a", 5, 1, false));
  key = jl_target_key (&before);
  cr_assert_not (jl_target_restore_departed_key (&target, key));
  cr_assert_not (apply (&target, heartbeat ("a", 5, 9, false)));
  cr_assert_eq (target.state, JL_TARGET_NONE);
  cr_assert (apply (&target, heartbeat ("a", 6, 1, false)), "it is restarted");
  cr_assert (jl_target_restore_departed_key (&target, jl_target_key (&target)));
  cr_assert_eq (target.state, JL_TARGET_LEAVING);
}

Test (target, a_new_incarnation_replaces_the_old_one_and_not_the_reverse)
{
  struct jl_target target = { 0 };

  apply (&target, heartbeat ("a", 5, 7, false));
  cr_assert (apply (&target, heartbeat ("b", 9, 1, false)));
  cr_assert_not (apply (&target, heartbeat ("a", 5, 8, false)));
  cr_assert_str_eq (target.last.id, "b");
}

/* A network partition delays heartbeats of a crashed incarnation, and they
 * carry no start time. */
Test (target, a_late_heartbeat_of_a_crashed_incarnation_is_ignored)
{
  struct jl_target target = { 0 };

  apply (&target, heartbeat ("a", 0, 7, false));
  cr_assert (apply (&target, heartbeat ("b", 0, 1, false)));
  cr_assert_not (apply (&target, heartbeat ("a", 0, 8, false)));
  cr_assert_str_eq (target.last.id, "b");
}

/* The target leaves right after the daemon has started, before the first
 * heartbeat. */
Test (target, leaving_is_final_for_an_incarnation_not_heard_of_before)
{
  struct jl_target target = { 0 };

  cr_assert_not (jl_target_mark_departed (&target, "a", 0, 8));
  cr_assert_not (apply (&target, heartbeat ("a", 0, 21, false)));
  cr_assert_not (apply (&target, heartbeat ("a", 5, 21, false)));
  cr_assert_eq (target.state, JL_TARGET_NONE);
  cr_assert (apply (&target, heartbeat ("a", 9, 1, false)));
  cr_assert_eq (target.state, JL_TARGET_UP);
}

Test (target, the_same_identifier_may_start_again)
{
  struct jl_target target = { 0 };

  apply (&target, heartbeat ("a", 5, 7, false));
  jl_target_mark_departed (&target, "a", 0, 8);
  cr_assert (apply (&target, heartbeat ("a", 9, 1, false)));
  cr_assert_eq (target.state, JL_TARGET_UP);
}

Test (target, a_heartbeat_brings_back_one_that_refused_connections)
{
  struct jl_target target = { 0 };

  apply (&target, heartbeat ("a", 5, 1, false));
  jl_target_mark_down (&target);
  cr_assert_eq (target.state, JL_TARGET_DOWN);
  cr_assert (apply (&target, heartbeat ("a", 5, 2, false)));
  cr_assert_eq (target.state, JL_TARGET_UP);
}

Test (target, another_leaving_than_the_current_one_changes_nothing)
{
  struct jl_target target = { 0 };

  apply (&target, heartbeat ("b", 9, 1, false));
  cr_assert_not (jl_target_mark_departed (&target, "a", 0, 8));
  cr_assert_eq (target.state, JL_TARGET_UP);
}

/* The daemon is killed after it has acknowledged that the target leaves. The
 * next daemon must not send requests to that incarnation. */
Test (target, a_leaving_holds_for_the_next_incarnation_of_the_daemon)
{
  struct jl_target before = { 0 };
  struct jl_target restored_first = { 0 };
  struct jl_target heartbeat_first = { 0 };

  apply (&before, heartbeat ("a", 5, 1, false));
  apply (&before, heartbeat ("a", 5, 3, true));
  cr_assert_eq (before.departed_revision, 1);
  apply (&before, heartbeat ("a", 5, 4, true));
  cr_assert_eq (before.departed_revision, 1,
                "the incarnation is recorded once");
  cr_assert (jl_target_mark_departed (&before, "a", 0, 9));
  cr_assert_eq (before.departed[1].id[0], '\0', "and in one place");
  cr_assert_not (
      jl_target_restore_departed (&restored_first, &before.departed[0]));
  cr_assert_not (apply (&restored_first, heartbeat ("a", 5, 2, false)));
  cr_assert_eq (restored_first.state, JL_TARGET_NONE);
  apply (&heartbeat_first, heartbeat ("a", 5, 2, false));
  cr_assert (
      jl_target_restore_departed (&heartbeat_first, &before.departed[0]));
  cr_assert_eq (heartbeat_first.state, JL_TARGET_LEAVING);
  cr_assert_not (apply (&heartbeat_first, heartbeat ("a", 9, 1, false)),
                 "it began before the leave that names no start");
  cr_assert (apply (&heartbeat_first, heartbeat ("a", 10, 1, false)),
             "a new incarnation");
  cr_assert_eq (heartbeat_first.state, JL_TARGET_UP);
}

/* The leave is acknowledged, although the heartbeat that announces it is older
 * than the last one. */
Test (target, a_leave_counts_although_its_heartbeat_is_late)
{
  struct jl_target target = { 0 };

  apply (&target, heartbeat ("a", 0, 5, false));
  cr_assert (apply (&target, heartbeat ("a", 0, 4, true)));
  cr_assert_eq (target.state, JL_TARGET_LEAVING);
  apply (&target, heartbeat ("b", 9, 1, false));
  cr_assert_not (apply (&target, heartbeat ("c", 7, 1, true)));
  cr_assert_str_eq (target.last.id, "b");
  cr_assert_eq (target.state, JL_TARGET_UP);
  jl_target_mark_departed (&target, "b", 0, 9);
  cr_assert_not (apply (&target, heartbeat ("c", 7, 2, false)));
}

/* Guards against the loss of an acknowledged leave. */
Test (target, leaves_of_unknown_targets_take_no_place_of_the_own_ones)
{
  struct jl_target target = { 0 };
  char id[16];
  uint64_t now_ms = 1000;
  uint64_t hour_ms = 3600000;

  apply (&target, heartbeat ("a", 0, 1, false));
  jl_target_mark_departed (&target, "a", 0, now_ms);
  apply (&target, heartbeat ("b", 0, 1, false));
  for (unsigned i = 0; i < JL_TARGET_UNHEARD_MAX; i++)
    {
      g_snprintf (id, sizeof id, "x%u", i);
      cr_assert (jl_target_can_mark_departed (&target, id, now_ms));
      jl_target_mark_departed (&target, id, 0, now_ms);
    }
  cr_assert_not (jl_target_can_mark_departed (&target, "y", now_ms));
  cr_assert (jl_target_can_mark_departed (&target, "x0", now_ms),
             "it is recorded already");
  cr_assert (jl_target_can_mark_departed (&target, "b", now_ms));
  cr_assert_not (apply (&target, heartbeat ("a", 0, 2, false)));
  cr_assert_not (apply (&target, heartbeat ("x0", 0, 2, false)));
  cr_assert_str_eq (target.last.id, "b");
  cr_assert (jl_target_can_mark_departed (&target, "y", now_ms + hour_ms + 1));
}

/* A leave is sent again as long as no acknowledgement comes. */
Test (target, a_repeated_leave_takes_one_place)
{
  struct jl_target target = { 0 };

  for (unsigned i = 0; i < JL_TARGET_UNHEARD_MAX * 2; i++)
    jl_target_mark_departed (&target, "x", 0, i + 1);
  cr_assert (jl_target_can_mark_departed (&target, "y", 1));
  cr_assert_not (apply (&target, heartbeat ("x", 3, 1, false)));
}

/* Heartbeats at the given times, one interval apart being 100. */
static bool
apply_at (struct jl_target *target,
          const char *id,
          uint64_t sequence,
          uint64_t now_us)
{
  struct jl_heartbeat received = heartbeat (id, 0, sequence, false);

  return jl_target_apply_heartbeat (target, &received, now_us);
}

/* Guards against a target that stays replaced by a late heartbeat of one that
 * has ended. */
Test (target, a_replaced_one_whose_heartbeats_go_on_is_reinstated)
{
  struct jl_target target = { .heartbeat_us = 100 };

  apply_at (&target, "a", 1, 1000);
  apply_at (&target, "old", 9, 1010);
  cr_assert_not (apply_at (&target, "a", 2, 1100));
  cr_assert_not (apply_at (&target, "a", 3, 1200), "too early");
  cr_assert (apply_at (&target, "a", 4, 1300));
  cr_assert_str_eq (target.last.id, "a");
  cr_assert_eq (target.last.sequence, 4);
  cr_assert_eq (target.state, JL_TARGET_UP);
  cr_assert_not (apply_at (&target, "old", 10, 1310));
  cr_assert_str_eq (target.last.id, "a");
}

Test (target, late_heartbeats_that_come_together_reinstate_nothing)
{
  struct jl_target target = { .heartbeat_us = 100 };

  apply_at (&target, "a", 1, 1000);
  apply_at (&target, "b", 1, 1010);
  for (unsigned i = 0; i < 10; i++)
    cr_assert_not (apply_at (&target, "a", 2 + i, 2000 + i));
  cr_assert_not (apply_at (&target, "a", 2, 2100), "not a later heartbeat");
  cr_assert_str_eq (target.last.id, "b");
}

Test (target, a_replaced_one_is_not_reinstated_while_the_next_sends_heartbeats)
{
  struct jl_target target = { .heartbeat_us = 100 };

  apply_at (&target, "a", 1, 1000);
  for (unsigned i = 1; i < 10; i++)
    {
      apply_at (&target, "b", i, 1000 + 100 * i);
      cr_assert_not (apply_at (&target, "a", 1 + i, 1050 + 100 * i));
    }
  cr_assert_str_eq (target.last.id, "b");
}

Test (target, one_with_an_earlier_start_is_not_reinstated_by_heartbeats)
{
  struct jl_target target = { .heartbeat_us = 100 };

  apply (&target, heartbeat ("a", 5, 1, false));
  apply (&target, heartbeat ("b", 9, 1, false));
  for (unsigned i = 1; i < 10; i++)
    {
      struct jl_heartbeat late = heartbeat ("a", 5, 1 + i, false);

      cr_assert_not (
          jl_target_apply_heartbeat (&target, &late, 1000 + 100 * i));
    }
}

/* The keys of those that others heard leave count too. */
Test (target, one_that_has_left_is_never_reinstated)
{
  struct jl_target left = { .heartbeat_us = 100 };
  struct jl_target told = { .heartbeat_us = 100 };

  apply_at (&left, "a", 1, 1000);
  apply_at (&left, "b", 1, 1010);
  jl_target_mark_departed (&left, "a", 0, 5);
  cr_assert_not (jl_target_reinstate (&left, "a", 1100));
  cr_assert_not (jl_target_reinstate (&left, "c", 1100), "it is not known");
  cr_assert_not (jl_target_reinstate (&left, "b", 1100),
                 "it is the current one");
  apply_at (&told, "a", 1, 1000);
  apply_at (&told, "b", 1, 1010);
  jl_target_restore_departed_key (&told, jl_target_make_key (0, "a", 0));
  cr_assert_not (jl_target_reinstate (&told, "a", 1100));
}

/* The row was written while a late heartbeat had replaced the current one. */
Test (target, a_recorded_replacement_does_not_end_the_current_one)
{
  struct jl_target target = { .heartbeat_us = 100 };
  struct jl_departed_incarnation replaced = { .id = "a", .replaced = true };

  apply_at (&target, "a", 1, 1000);
  cr_assert_not (jl_target_restore_departed (&target, &replaced));
  cr_assert_eq (target.state, JL_TARGET_UP);
  apply_at (&target, "a", 2, 1100);
  cr_assert_eq (target.last.sequence, 2);
}

Test (target, incarnations_that_take_turns_push_out_none_that_has_left)
{
  struct jl_target target = { .heartbeat_us = 100 };
  struct jl_heartbeat heartbeat = { .slots = 1, .sequence = 1 };

  g_strlcpy (heartbeat.id, "left", sizeof heartbeat.id);
  jl_target_apply_heartbeat (&target, &heartbeat, 1);
  jl_target_mark_departed (&target, "left", 0, 5);
  g_strlcpy (heartbeat.id, "a", sizeof heartbeat.id);
  jl_target_apply_heartbeat (&target, &heartbeat, 10);
  g_strlcpy (heartbeat.id, "b", sizeof heartbeat.id);
  jl_target_apply_heartbeat (&target, &heartbeat, 20);
  for (unsigned i = 0; i < JL_TARGET_DEPARTED_MAX; i++)
    cr_assert (jl_target_reinstate (&target, i % 2 == 0 ? "a" : "b", 30 + i));
  g_strlcpy (heartbeat.id, "left", sizeof heartbeat.id);
  heartbeat.sequence = 9;
  jl_target_apply_heartbeat (&target, &heartbeat, 50);
  cr_assert_str_neq (target.last.id, "left", "it gets requests again");
}
