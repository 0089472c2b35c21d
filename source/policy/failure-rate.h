#ifndef JACKDAWLADDER_FAILURE_RATE_H
#define JACKDAWLADDER_FAILURE_RATE_H

/**
 * DOC: The share of requests that the local target itself fails.
 *
 * The failure rate detects a target that fails part of its requests while its
 * heartbeats report that it is healthy. A run also fails when one of its calls
 * fails at a deeper service. The number of failed calls is therefore subtracted
 * from the number of failed runs. The counts decay within seconds, so requests
 * are sent to a failing target again.
 */

#include "jackdawladder/base.h"

/**
 * struct jl_failure_rate - exponentially decaying counts
 * @ended: runs that have ended
 * @failed: runs that have failed
 * @calls_failed: failed calls of the target
 */
struct jl_failure_rate
{
  double ended;
  double failed;
  double calls_failed;
};

/**
 * jl_failure_rate_count_run - counts a run that has ended
 */
void jl_failure_rate_count_run (struct jl_failure_rate *rate, bool failed);

/**
 * jl_failure_rate_count_failed_call - counts a failed call of the target
 */
void jl_failure_rate_count_failed_call (struct jl_failure_rate *rate);

/**
 * jl_failure_rate_decay - decays the counts at the end of a control window of
 * 100 ms
 */
void jl_failure_rate_decay (struct jl_failure_rate *rate);

/**
 * jl_failure_rate_get - returns the share of runs that the target fails itself
 *
 * Return: the share, from 0 to 1.
 */
double jl_failure_rate_get (const struct jl_failure_rate *rate);

#endif
