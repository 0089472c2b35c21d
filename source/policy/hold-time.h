#ifndef JACKDAWLADDER_HOLD_TIME_H
#define JACKDAWLADDER_HOLD_TIME_H

/**
 * DOC: Expected time for which a run of each route holds a slot.
 */

#include "jackdawladder/base.h"

/* Maximum number of routes; runs of further ones have the mean of all. */
#define JL_HOLD_ROUTES_MAX 64

/**
 * struct jl_hold_times - moving average of the hold time by route
 */
struct jl_hold_times
{
  unsigned count;
  struct
  {
    uint32_t route_key;
    double mean_us;
  } routes[JL_HOLD_ROUTES_MAX];
};

void jl_hold_times_record (struct jl_hold_times *times,
                           uint32_t route_key,
                           double hold_us);

/**
 * jl_hold_times_get - returns the expected hold time of a route
 * @mean_us: mean of all routes, for a route that is not known
 */
double jl_hold_times_get (const struct jl_hold_times *times,
                          uint32_t route_key,
                          double mean_us);

#endif
