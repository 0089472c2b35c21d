#ifndef JACKDAWLADDER_FAILING_H
#define JACKDAWLADDER_FAILING_H

/**
 * DOC: What share of its requests the own target fails by itself.
 *
 * Answers a target that fails part of its work while it says that it is well.
 * A run also fails when one of its calls does, further down: as many failures
 * as there were failed calls are not held against the target. What is known
 * fades within seconds, so that a target is tried again.
 */

#include "jackdawladder/base.h"

/**
 * struct jl_failing - counts, the latest weighing most
 */
struct jl_failing
{
  double ended;
  double failed;
  double calls_failed;
};

/**
 * jl_failing_run - a run has ended
 */
void jl_failing_run (struct jl_failing *failing, bool failed);

/**
 * jl_failing_call - a call that the target made has failed
 */
void jl_failing_call (struct jl_failing *failing);

/**
 * jl_failing_fade - a control window of 100 ms has passed
 */
void jl_failing_fade (struct jl_failing *failing);

/**
 * jl_failing_share - from 0 to 1
 */
double jl_failing_share (const struct jl_failing *failing);

#endif
