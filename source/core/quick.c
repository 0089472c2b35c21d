/**
 * DOC: Estimates of the quicker runs by kind.
 */

#include "quick.h"

#include <string.h>

/* How fast an estimate goes down and up. */
#define DOWN_SHIFT 2
#define UP_SHIFT 6

/**
 * struct jl_quick - the estimates
 * @config_version: configuration whose kinds they are of
 */
struct jl_quick
{
  uint64_t config_version;
  uint64_t run_us[JL_KIND_MAX];
};

struct jl_quick *
jl_quick_new (void)
{
  return g_new0 (struct jl_quick, 1);
}

void
jl_quick_drop (struct jl_quick *quick)
{
  g_free (quick);
}

uint64_t
jl_quick_get (const struct jl_quick *quick, const struct jl_work *work)
{
  if (quick->config_version != work->config->version)
    return 0;
  return quick->run_us[work->kind];
}

void
jl_quick_learn (struct jl_quick *quick,
                const struct jl_work *work,
                uint64_t duration_us)
{
  uint64_t *run_us = &quick->run_us[work->kind];

  if (work->config->version < quick->config_version)
    return;
  if (work->config->version > quick->config_version)
    {
      memset (quick->run_us, 0, sizeof quick->run_us);
      quick->config_version = work->config->version;
    }
  if (*run_us == 0)
    *run_us = duration_us;
  else if (duration_us < *run_us)
    *run_us -= (*run_us - duration_us) >> DOWN_SHIFT;
  else
    *run_us += (duration_us - *run_us) >> UP_SHIFT;
}
