/**
 * DOC: The share of requests that the local target itself fails.
 */

#include "policy/failure-rate.h"

/* Factor by which counts decay in each window of 100 ms: half-life 1.4 s. */
#define DECAY_FACTOR 0.95
/* Successful runs added to those counted, so that a few failures among few runs
 * do not give a high rate. */
#define ASSUMED_RUNS 8.0

void
jl_failure_rate_count_run (struct jl_failure_rate *rate, bool failed)
{
  rate->ended += 1;
  if (failed)
    rate->failed += 1;
}

void
jl_failure_rate_count_failed_call (struct jl_failure_rate *rate)
{
  rate->calls_failed += 1;
}

void
jl_failure_rate_decay (struct jl_failure_rate *rate)
{
  rate->ended *= DECAY_FACTOR;
  rate->failed *= DECAY_FACTOR;
  rate->calls_failed *= DECAY_FACTOR;
}

double
jl_failure_rate_get (const struct jl_failure_rate *rate)
{
  double own_failures = rate->failed - rate->calls_failed;

  return MAX (own_failures, 0) / (rate->ended + ASSUMED_RUNS);
}
