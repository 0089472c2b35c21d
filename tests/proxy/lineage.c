/**
 * DOC: Tests that calls of the local target find the run that made them, and
 * that requests are refused whose calls can hardly succeed.
 */

#include <criterion/criterion.h>

#include "policy/completion.h"
#include "policy/lineage.h"

#define RUNS 100
#define MSEC JL_USEC_PER_MSEC

/**
 * struct fixture - runs in progress whose deadlines spread over 1.5 s
 */
struct fixture
{
  struct jl_lineage lineage;
  struct jl_run runs[RUNS];
};

static void
fixture_init (struct fixture *fixture)
{
  jl_lineage_init (&fixture->lineage);
  for (unsigned i = 0; i < RUNS; i++)
    {
      fixture->runs[i]
          = (struct jl_run){ .expires_us
                             = 10 * JL_USEC_PER_SEC + (uint64_t)i * 15 * MSEC,
                             .rank = i % 3 };
      jl_lineage_begin_run (&fixture->lineage, &fixture->runs[i]);
    }
}

/* Guards against calls that keep the rank of their own route although their
 * deadline tells the run: the calls of the most urgent requests then wait
 * behind those of the others. */
Test (lineage, a_deadline_that_is_passed_on_identifies_the_run)
{
  struct fixture fixture;
  unsigned found = 0;

  g_random_set_seed (7);
  fixture_init (&fixture);
  for (unsigned i = 0; i < 1000; i++)
    {
      struct jl_run *made_by = &fixture.runs[i % RUNS];
      uint64_t early_us = (uint64_t)g_random_int_range (0, 3000);
      const struct jl_run *run = jl_lineage_find (
          &fixture.lineage, 1, made_by->expires_us - early_us);

      cr_assert (run == NULL || run == made_by);
      found += run != NULL;
    }
  cr_assert_gt (found, 900, "%u of 1000 found", found);
}

/* Guards against ranks by chance: calls with a time limit of their own, drawn
 * by each caller, fit the deadline of some run in four of ten cases. */
Test (lineage, a_deadline_of_the_call_itself_identifies_none)
{
  struct fixture fixture;
  unsigned found = 0;

  g_random_set_seed (7);
  fixture_init (&fixture);
  for (unsigned i = 0; i < 1000; i++)
    found += jl_lineage_find (&fixture.lineage, 2,
                              10 * JL_USEC_PER_SEC
                                  + (uint64_t)g_random_int_range (0, 1500000))
             != NULL;
  cr_assert_lt (found, 20, "%u of 1000 found", found);
}

/* Guards against the rank of a run that has ended and whose memory is gone. */
Test (lineage, a_run_that_has_ended_is_not_found)
{
  struct fixture fixture;

  fixture_init (&fixture);
  for (unsigned i = 0; i < RUNS; i++)
    {
      jl_lineage_end_run (&fixture.runs[i]);
      jl_lineage_end_run (&fixture.runs[i]);
    }
  for (unsigned i = 0; i < RUNS; i++)
    cr_assert_null (
        jl_lineage_find (&fixture.lineage, 1, fixture.runs[i].expires_us));
}

/* Guards against refusals of requests that would have completed: while nothing
 * fails beyond the usual, and where a third of the runs of a small tree fails.
 */
Test (completion, requests_that_may_complete_are_admitted)
{
  cr_assert_float_eq (jl_completion_after_runs (0.03, 8), 1, 1e-9);
  cr_assert (
      jl_completion_is_worthwhile (jl_completion_after_runs (0.03, 8), 0.99));
  cr_assert (
      jl_completion_is_worthwhile (jl_completion_after_runs (0.55, 4), 0.99));
}

/* Guards against runs in vain: of requests with eight runs at a service that
 * turns away 55 of 100, two of 1,000 complete. A few are admitted, to learn
 * that the service has recovered. */
Test (completion, hopeless_requests_are_refused_but_for_a_few)
{
  double chance = jl_completion_after_runs (0.55, 8);
  unsigned admitted = 0;

  for (unsigned i = 0; i < 1000; i++)
    admitted += jl_completion_is_worthwhile (chance, i / 1000.0);
  cr_assert_eq (admitted, 50);
}

/* Guards against a Retry-After that clients do not follow: they follow it up to
 * a third of the time that they have left. */
Test (completion, clients_follow_the_time_to_come_back)
{
  for (unsigned i = 0; i <= 10; i++)
    {
      uint64_t after_ms = jl_completion_retry_after_ms (5000, i / 10.0);

      cr_assert_gt (after_ms, 1000);
      cr_assert_lt (after_ms, 1667);
    }
}
