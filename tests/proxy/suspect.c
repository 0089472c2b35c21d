/**
 * DOC: Tests of the detection of contents that end targets.
 */

#include <criterion/criterion.h>

#include "policy/suspect.h"

#define MS JL_USEC_PER_MSEC
#define SECOND JL_USEC_PER_SEC
#define POISON UINT64_C (0x1111111122222222)
#define INNOCENT UINT64_C (0x3333333344444444)
#define NOW_US (1000 * SECOND)
#define FRONT 7u
#define OTHER 8u

static const struct jl_suspect_limits limits = {
  .suspect_ends = 2,
  .refuse_trials = 2,
  .clear_answers = 3,
  .clear_answers_again = 8,
  .refuse_us = { 30 * SECOND, 120 * SECOND, 600 * SECOND, 1800 * SECOND },
  .strike_us = UINT64_MAX,
  .expiry_us = 3600 * SECOND,
  .repeat_us = UINT64_MAX,
};

static bool
strike (struct jl_suspects *suspects,
        uint64_t content,
        uint32_t target,
        bool trial,
        uint64_t at_us)
{
  struct jl_suspect_strike strike = {
    .target = target,
    .service = FRONT,
    .trial = trial,
    .at_us = at_us,
  };

  return jl_suspects_add_strike (suspects, content, &strike, at_us) != NULL;
}

static enum jl_suspicion
suspicion (const struct jl_suspects *suspects,
           uint64_t content,
           uint64_t now_us)
{
  return jl_suspects_judge (suspects, content, FRONT, now_us).suspicion;
}

/* Makes a content suspect, as of NOW_US. */
static void
suspect (struct jl_suspects *suspects, uint64_t content)
{
  strike (suspects, content, 1, false, NOW_US - 2);
  strike (suspects, content, 2, false, NOW_US - 1);
}

/* Records @count answers to a content, the first one at @first_us. Returns
 * whether the last of them has cleared it, and none before. */
static bool
answer (struct jl_suspects *suspects,
        uint64_t content,
        uint64_t first_us,
        unsigned count)
{
  bool cleared = false;

  for (unsigned i = 0; i < count; i++)
    {
      uint64_t at_us = first_us + (uint64_t)i * 50 * MS;

      cr_assert_not (cleared);
      cleared
          = jl_suspects_count_answer (suspects, content, FRONT, at_us, at_us);
    }
  return cleared;
}

Test (suspect, ends_of_two_targets_make_a_content_suspect)
{
  struct jl_suspects suspects;

  jl_suspects_init (&suspects, &limits);
  strike (&suspects, POISON, 1, false, NOW_US);
  cr_assert_eq (suspicion (&suspects, POISON, NOW_US), JL_SUSPICION_NONE);
  cr_assert_not (strike (&suspects, POISON, 1, false, NOW_US + 1), "repeated");
  cr_assert_eq (suspicion (&suspects, POISON, NOW_US), JL_SUSPICION_NONE);
  strike (&suspects, POISON, 2, false, NOW_US);
  cr_assert_eq (suspicion (&suspects, POISON, NOW_US), JL_SUSPICION_SUSPECT);
  cr_assert (jl_suspects_knows_head (&suspects, POISON >> 32));
  cr_assert_not (jl_suspects_knows_head (&suspects, INNOCENT >> 32));
  jl_suspects_clear (&suspects);
}

/* Guards against zones without contact that each need two ends to suspect it.
 */
Test (suspect, a_content_that_ended_a_target_in_a_trial_elsewhere_is_suspect)
{
  struct jl_suspects suspects;

  jl_suspects_init (&suspects, &limits);
  strike (&suspects, POISON, 3, true, NOW_US);
  cr_assert_eq (suspicion (&suspects, POISON, NOW_US), JL_SUSPICION_SUSPECT);
  cr_assert (jl_suspects_knows_head (&suspects, POISON >> 32));
  cr_assert (answer (&suspects, POISON, NOW_US + MS, 8));
  cr_assert_eq (suspicion (&suspects, POISON, NOW_US + SECOND),
                JL_SUSPICION_NONE);
  jl_suspects_clear (&suspects);
}

Test (suspect, any_number_of_crashes_without_a_trial_refuses_nobody)
{
  struct jl_suspects suspects;

  jl_suspects_init (&suspects, &limits);
  for (uint32_t target = 1; target <= 100; target++)
    strike (&suspects, INNOCENT, target, false, NOW_US + target * MS);
  cr_assert_eq (suspicion (&suspects, INNOCENT, NOW_US + SECOND),
                JL_SUSPICION_SUSPECT);
  jl_suspects_clear (&suspects);
}

Test (suspect, answers_in_a_row_clear_an_innocent_content)
{
  struct jl_suspects suspects;
  uint64_t cleared_us = NOW_US + 101 * MS;

  jl_suspects_init (&suspects, &limits);
  suspect (&suspects, INNOCENT);
  cr_assert (answer (&suspects, INNOCENT, NOW_US + MS, 3));
  cr_assert_eq (suspicion (&suspects, INNOCENT, cleared_us), JL_SUSPICION_NONE);
  cr_assert_not (jl_suspects_knows_head (&suspects, INNOCENT >> 32));
  /* Strikes that arrive late do not make it suspect again. */
  strike (&suspects, INNOCENT, 4, false, NOW_US);
  strike (&suspects, INNOCENT, 5, true, cleared_us);
  cr_assert_eq (suspicion (&suspects, INNOCENT, cleared_us), JL_SUSPICION_NONE);
  jl_suspects_clear (&suspects);
}

Test (suspect, a_lost_trial_needs_more_answers_in_a_row)
{
  struct jl_suspects suspects;

  jl_suspects_init (&suspects, &limits);
  suspect (&suspects, INNOCENT);
  strike (&suspects, INNOCENT, 3, true, NOW_US);
  cr_assert_not (answer (&suspects, INNOCENT, NOW_US + MS, 7));
  cr_assert_eq (suspicion (&suspects, INNOCENT, NOW_US + SECOND),
                JL_SUSPICION_SUSPECT);
  cr_assert (answer (&suspects, INNOCENT, NOW_US + SECOND, 1));
  jl_suspects_clear (&suspects);
}

Test (suspect, a_content_that_is_suspect_again_needs_more_answers_in_a_row)
{
  struct jl_suspects suspects;

  jl_suspects_init (&suspects, &limits);
  suspect (&suspects, INNOCENT);
  cr_assert (answer (&suspects, INNOCENT, NOW_US + MS, 3));
  strike (&suspects, INNOCENT, 3, false, NOW_US + SECOND);
  strike (&suspects, INNOCENT, 4, false, NOW_US + SECOND);
  cr_assert (answer (&suspects, INNOCENT, NOW_US + 2 * SECOND, 8));
  jl_suspects_clear (&suspects);
}

Test (suspect, reports_of_the_same_answer_count_once)
{
  struct jl_suspects suspects;

  jl_suspects_init (&suspects, &limits);
  suspect (&suspects, INNOCENT);
  for (unsigned i = 0; i < 10; i++)
    cr_assert_not (jl_suspects_count_answer (&suspects, INNOCENT, FRONT,
                                             NOW_US + i * MS, NOW_US + SECOND));
  jl_suspects_clear (&suspects);
}

Test (suspect, answers_of_another_service_do_not_clear_a_content)
{
  struct jl_suspects suspects;

  jl_suspects_init (&suspects, &limits);
  suspect (&suspects, POISON);
  for (uint64_t i = 1; i <= 20; i++)
    jl_suspects_count_answer (&suspects, POISON, OTHER, NOW_US + i * 50 * MS,
                              NOW_US + SECOND);
  cr_assert_eq (suspicion (&suspects, POISON, NOW_US + SECOND),
                JL_SUSPICION_SUSPECT);
  strike (&suspects, POISON, 3, true, NOW_US + SECOND);
  strike (&suspects, POISON, 4, true, NOW_US + SECOND);
  cr_assert_eq (suspicion (&suspects, POISON, NOW_US + 2 * SECOND),
                JL_SUSPICION_REFUSED);
  cr_assert_eq (
      jl_suspects_judge (&suspects, POISON, OTHER, NOW_US + 2 * SECOND)
          .suspicion,
      JL_SUSPICION_NONE, "the service that answers gets it");
  jl_suspects_clear (&suspects);
}

/* A route is moved to another service while its content is refused. */
Test (suspect, a_refused_content_is_refused_at_a_service_that_never_ran_it)
{
  struct jl_suspects suspects;

  jl_suspects_init (&suspects, &limits);
  suspect (&suspects, POISON);
  strike (&suspects, POISON, 3, true, NOW_US);
  strike (&suspects, POISON, 4, true, NOW_US);
  cr_assert_eq (
      jl_suspects_judge (&suspects, POISON, OTHER, NOW_US + SECOND).suspicion,
      JL_SUSPICION_REFUSED);
  jl_suspects_clear (&suspects);
}

Test (suspect, a_content_that_ends_each_second_target_is_refused)
{
  struct jl_suspects suspects;
  uint64_t now_us = NOW_US;

  jl_suspects_init (&suspects, &limits);
  suspect (&suspects, POISON);
  for (uint32_t target = 3; target <= 4; target++)
    {
      now_us += 50 * MS;
      cr_assert_not (
          jl_suspects_count_answer (&suspects, POISON, FRONT, now_us, now_us));
      now_us += 50 * MS;
      strike (&suspects, POISON, target, true, now_us);
    }
  cr_assert_eq (suspicion (&suspects, POISON, now_us), JL_SUSPICION_REFUSED);
  jl_suspects_clear (&suspects);
}

Test (suspect, one_trial_at_a_time)
{
  struct jl_suspects suspects;

  jl_suspects_init (&suspects, &limits);
  suspect (&suspects, POISON);
  jl_suspects_begin_trial (&suspects, POISON, NOW_US);
  cr_assert_eq (suspicion (&suspects, POISON, NOW_US + 900 * MS),
                JL_SUSPICION_ON_TRIAL);
  cr_assert_eq (suspicion (&suspects, POISON, NOW_US + 1100 * MS),
                JL_SUSPICION_SUSPECT, "nobody reports it any more");
  jl_suspects_begin_trial (&suspects, POISON, NOW_US + 600 * MS);
  cr_assert_eq (suspicion (&suspects, POISON, NOW_US + 1100 * MS),
                JL_SUSPICION_ON_TRIAL);
  jl_suspects_end_trial (&suspects, POISON, NOW_US + 500 * MS);
  cr_assert_eq (suspicion (&suspects, POISON, NOW_US + 1100 * MS),
                JL_SUSPICION_ON_TRIAL, "another trial has ended");
  strike (&suspects, POISON, 3, true, NOW_US + 700 * MS);
  cr_assert_eq (suspicion (&suspects, POISON, NOW_US + 800 * MS),
                JL_SUSPICION_SUSPECT);
  jl_suspects_begin_trial (&suspects, POISON, NOW_US + 600 * MS);
  cr_assert_eq (suspicion (&suspects, POISON, NOW_US + 800 * MS),
                JL_SUSPICION_SUSPECT,
                "a late report of a trial that has ended");
  jl_suspects_clear (&suspects);
}

Test (suspect, two_lost_trials_refuse_a_content_for_longer_each_time)
{
  static const unsigned refused_s[] = { 30, 120, 600, 1800, 1800 };
  struct jl_suspects suspects;
  uint64_t now_us = NOW_US;

  jl_suspects_init (&suspects, &limits);
  suspect (&suspects, POISON);
  strike (&suspects, POISON, 3, true, now_us);
  cr_assert_eq (suspicion (&suspects, POISON, now_us), JL_SUSPICION_SUSPECT);
  for (uint32_t i = 0; i < G_N_ELEMENTS (refused_s); i++)
    {
      strike (&suspects, POISON, 4 + i, true, now_us);
      cr_assert_eq (
          suspicion (&suspects, POISON, now_us + (refused_s[i] - 1) * SECOND),
          JL_SUSPICION_REFUSED);
      now_us += (refused_s[i] + 1) * SECOND;
      cr_assert_eq (suspicion (&suspects, POISON, now_us),
                    JL_SUSPICION_SUSPECT);
    }
  jl_suspects_clear (&suspects);
}

Test (suspect, an_inferred_end_is_void_once_the_target_is_known_to_live)
{
  struct jl_suspects suspects;
  struct jl_suspect_strike inferred
      = { .target = 7, .trial = true, .inferred = true, .at_us = NOW_US };

  jl_suspects_init (&suspects, &limits);
  suspect (&suspects, INNOCENT);
  strike (&suspects, INNOCENT, 3, true, NOW_US);
  jl_suspects_add_strike (&suspects, INNOCENT, &inferred, NOW_US);
  cr_assert_eq (suspicion (&suspects, INNOCENT, NOW_US), JL_SUSPICION_REFUSED);
  jl_suspects_target_lives (&suspects, 7, NOW_US);
  cr_assert_eq (suspicion (&suspects, INNOCENT, NOW_US), JL_SUSPICION_REFUSED,
                "a beacon from before the end");
  jl_suspects_target_lives (&suspects, 7, NOW_US + MS);
  cr_assert_eq (suspicion (&suspects, INNOCENT, NOW_US), JL_SUSPICION_SUSPECT);
  jl_suspects_clear (&suspects);
}

Test (suspect, an_unread_body_marks_the_head)
{
  struct jl_suspects suspects;
  uint64_t unread = POISON >> 32 << 32;

  jl_suspects_init (&suspects, &limits);
  strike (&suspects, unread, 1, false, NOW_US);
  cr_assert (jl_suspects_knows_head (&suspects, POISON >> 32));
  cr_assert_eq (suspicion (&suspects, POISON, NOW_US), JL_SUSPICION_NONE);
  jl_suspects_clear (&suspects);
}

Test (suspect, remembers_a_bounded_number_of_contents_for_a_bounded_time)
{
  struct jl_suspects suspects;

  jl_suspects_init (&suspects, &limits);
  for (uint64_t i = 1; i <= UINT64_C (2) * JL_SUSPECTS_MAX; i++)
    suspect (&suspects, i << 32 | 5);
  cr_assert_eq (g_hash_table_size (suspects.by_content), JL_SUSPECTS_MAX);
  cr_assert_eq (suspects.open_count, JL_SUSPECTS_MAX);
  jl_suspects_expire (&suspects, NOW_US + limits.expiry_us + SECOND);
  cr_assert_eq (g_hash_table_size (suspects.by_content), 0);
  cr_assert_eq (suspects.open_count, 0);
  cr_assert_not (jl_suspects_knows_head (&suspects, 1));
  jl_suspects_clear (&suspects);
}
