#ifndef JACKDAWLADDER_RUN_ESTIMATE_H
#define JACKDAWLADDER_RUN_ESTIMATE_H

/**
 * DOC: How long the quicker runs of each kind of request take. An item with
 * less time left than that can't be done before its deadline.
 */

#include "core-impl.h"

struct jl_run_estimate;

struct jl_run_estimate *jl_run_estimate_new (void);
void jl_run_estimate_drop (struct jl_run_estimate *estimate);

/**
 * jl_run_estimate_get - time that the quicker runs of a work item's kind take,
 * 0 while that is not known in its configuration
 */
uint64_t jl_run_estimate_get (const struct jl_run_estimate *estimate,
                              const struct jl_work *work);

/**
 * jl_run_estimate_update - @work has run for @duration_us
 */
void jl_run_estimate_update (struct jl_run_estimate *estimate,
                             const struct jl_work *work,
                             uint64_t duration_us);

#endif
