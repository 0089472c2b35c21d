/**
 * DOC: Expected time for which a run of each route holds a slot.
 */

#include "policy/hold-time.h"

/* Weight of a new hold time in the moving average. */
#define HOLD_WEIGHT 0.05

void
jl_hold_times_record (struct jl_hold_times *times,
                      uint32_t route_key,
                      double hold_us)
{
  for (unsigned i = 0; i < times->count; i++)
    if (times->routes[i].route_key == route_key)
      {
        times->routes[i].mean_us
            += HOLD_WEIGHT * (hold_us - times->routes[i].mean_us);
        return;
      }
  if (times->count == JL_HOLD_ROUTES_MAX)
    return;
  times->routes[times->count].route_key = route_key;
  times->routes[times->count++].mean_us = hold_us;
}

double
jl_hold_times_get (const struct jl_hold_times *times,
                   uint32_t route_key,
                   double mean_us)
{
  for (unsigned i = 0; i < times->count; i++)
    if (times->routes[i].route_key == route_key)
      return times->routes[i].mean_us;
  return mean_us;
}
