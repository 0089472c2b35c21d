#ifndef JACKDAWLADDER_RUN_ESTIMATE_H
#define JACKDAWLADDER_RUN_ESTIMATE_H

/**
 * DOC: Estimates of the run time of each kind of request.
 *
 * An estimate follows the shorter run times of its kind. An item whose
 * remaining time is below the estimate cannot finish before its deadline.
 */

#include "core-impl.h"

struct jl_run_estimate;

struct jl_run_estimate *jl_run_estimate_new (void);
void jl_run_estimate_drop (struct jl_run_estimate *estimate);

/**
 * jl_run_estimate_get - returns the estimated run time of a work item's kind
 *
 * Return: the estimate in microseconds; 0 if there is none for the version of
 * the configuration that the item refers to.
 */
uint64_t jl_run_estimate_get (const struct jl_run_estimate *estimate,
                              const struct jl_work *work);

/**
 * jl_run_estimate_update - updates the estimate from a run of @duration_us
 */
void jl_run_estimate_update (struct jl_run_estimate *estimate,
                             const struct jl_work *work,
                             uint64_t duration_us);

#endif
