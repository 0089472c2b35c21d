/**
 * DOC: Run time estimates by kind of request.
 */

#include "run-estimate.h"

#include <string.h>

/*
 * Weight of a new sample below the estimate, 1/4, and above it, 1/64. The
 * estimate thus follows the shorter runs.
 */
#define DECREASE_SHIFT 2
#define INCREASE_SHIFT 6

/**
 * struct jl_run_estimate - run time estimates of all kinds
 * @config_version: version of the configuration that the indices refer to
 * @run_us: estimate by index of the kind; 0 if there is none
 */
struct jl_run_estimate
{
  uint64_t config_version;
  uint64_t run_us[JL_KIND_MAX];
};

struct jl_run_estimate *
jl_run_estimate_new (void)
{
  return g_new0 (struct jl_run_estimate, 1);
}

void
jl_run_estimate_drop (struct jl_run_estimate *estimate)
{
  g_free (estimate);
}

uint64_t
jl_run_estimate_get (const struct jl_run_estimate *estimate,
                     const struct jl_work *work)
{
  if (estimate->config_version != work->config->version)
    return 0;
  return estimate->run_us[work->kind];
}

void
jl_run_estimate_update (struct jl_run_estimate *estimate,
                        const struct jl_work *work,
                        uint64_t duration_us)
{
  uint64_t *run_us = &estimate->run_us[work->kind];

  if (work->config->version < estimate->config_version)
    return;
  if (work->config->version > estimate->config_version)
    {
      memset (estimate->run_us, 0, sizeof estimate->run_us);
      estimate->config_version = work->config->version;
    }
  if (*run_us == 0)
    *run_us = duration_us;
  else if (duration_us < *run_us)
    *run_us -= (*run_us - duration_us) >> DECREASE_SHIFT;
  else
    *run_us += (duration_us - *run_us) >> INCREASE_SHIFT;
}
