/**
 * DOC: Tests of the token bucket for limits that targets name, in virtual time.
 */

#include <criterion/criterion.h>

#include <math.h>

#include "policy/rate-limit.h"

#define START_US (10 * JL_USEC_PER_SEC)
#define STEP_US (5 * JL_USEC_PER_MSEC)
/* The rule counts the requests of spans of this length. */
#define SPAN_S UINT64_C (4)

static double
allowed (double rate)
{
  return 1.5 * rate * SPAN_S + 5;
}

/* Sends as much as the limit allows for 20 s, with pauses of 2 s now and then
 * if
 * @pauses. Returns the most requests of a span that begins with one. */
static unsigned
most_of_a_span (double rate, bool pauses)
{
  struct jl_rate_limit limit;
  GArray *sent = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  uint64_t now_us = START_US;
  unsigned most = 0;

  jl_rate_limit_init (&limit);
  jl_rate_limit_name (&limit, rate, now_us);
  while (now_us < START_US + 20 * JL_USEC_PER_SEC)
    {
      while (jl_rate_limit_allows (&limit, now_us))
        {
          jl_rate_limit_count (&limit);
          g_array_append_val (sent, now_us);
        }
      now_us += pauses && g_random_int_range (0, 500) == 0 ? 2 * JL_USEC_PER_SEC
                                                           : STEP_US;
    }
  for (guint first = 0, last = 0; first < sent->len; first++)
    {
      while (last < sent->len
             && g_array_index (sent, uint64_t, last)
                    < g_array_index (sent, uint64_t, first)
                          + SPAN_S * JL_USEC_PER_SEC)
        last++;
      most = MAX (most, last - first);
    }
  g_array_free (sent, TRUE);
  return most;
}

Test (rate_limit, holds_in_each_span_and_is_used)
{
  static const double rates[] = { 0, 0.001, 0.3, 1, 4.5, 24.4, 500 };

  g_random_set_seed (39);
  for (unsigned i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      unsigned most = most_of_a_span (rates[i], true);
      unsigned steady = most_of_a_span (rates[i], false);

      cr_expect_leq (most, allowed (rates[i]), "%u of %.0f at %g a second",
                     most, allowed (rates[i]), rates[i]);
      cr_expect_leq (steady, allowed (rates[i]), "%u of %.0f at %g a second",
                     steady, allowed (rates[i]), rates[i]);
      cr_expect_geq (steady, floor (rates[i] * SPAN_S), "%u at %g a second",
                     steady, rates[i]);
    }
}

Test (rate_limit, lets_something_pass_however_low_it_is)
{
  struct jl_rate_limit limit;

  jl_rate_limit_init (&limit);
  jl_rate_limit_name (&limit, 0, START_US);
  for (uint64_t i = 0; i < 5; i++)
    {
      uint64_t now_us = START_US + i * 3 * JL_USEC_PER_SEC;

      cr_expect (jl_rate_limit_allows (&limit, now_us));
      jl_rate_limit_count (&limit);
      cr_expect_not (jl_rate_limit_allows (&limit, now_us));
    }
}

Test (rate_limit, falls_at_once_and_rises_or_ends_after_a_while)
{
  struct jl_rate_limit limit;

  jl_rate_limit_init (&limit);
  cr_assert (jl_rate_limit_name (&limit, 20, START_US));
  cr_assert (jl_rate_limit_name (&limit, 10, START_US + 1));
  cr_assert_not (jl_rate_limit_name (&limit, 20, START_US + 2));
  cr_assert_not (jl_rate_limit_name (&limit, INFINITY, START_US + 400000));
  cr_assert_not (jl_rate_limit_name (&limit, 10, START_US + 400001));
  cr_assert_not (jl_rate_limit_name (&limit, INFINITY, START_US + 800000));
  cr_assert (jl_rate_limit_is_set (&limit));
  cr_assert (jl_rate_limit_name (&limit, INFINITY, START_US + JL_USEC_PER_SEC));
  cr_assert_not (jl_rate_limit_is_set (&limit));
  cr_assert (jl_rate_limit_allows (&limit, START_US + JL_USEC_PER_SEC));
}

/* A target that names another limit in each answer, in turns. */
Test (rate_limit, is_the_lowest_of_those_that_change_with_each_answer)
{
  struct jl_rate_limit limit;
  unsigned sent = 0;

  jl_rate_limit_init (&limit);
  for (uint64_t i = 0; i < SPAN_S * 100; i++)
    {
      uint64_t now_us = START_US + i * 10 * JL_USEC_PER_MSEC;

      jl_rate_limit_name (&limit, i % 2 == 0 ? 5 : 500, now_us);
      while (jl_rate_limit_allows (&limit, now_us))
        {
          jl_rate_limit_count (&limit);
          sent++;
        }
    }
  cr_assert_leq (sent, allowed (5), "%u", sent);
}
