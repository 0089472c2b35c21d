/**
 * DOC: Whether a route's requests come from clients or from targets.
 */

#include "policy/origin.h"

/* Factor by which counts decay in each window: half-life about 3 s. */
#define DECAY_FACTOR 0.94
/* Smallest total of all counts that allows a decision on one route. */
#define TOTAL_MIN 40.0
/* Routes with a smaller count are removed. */
#define COUNT_MIN 0.05
/* Routes with a smaller count are taken as absent. */
#define ABSENT_BELOW 0.3

void
jl_arrivals_add (struct jl_arrivals *arrivals, uint32_t route_key, double count)
{
  for (unsigned i = 0; i < arrivals->count; i++)
    if (arrivals->list[i].route_key == route_key)
      {
        arrivals->list[i].count += count;
        return;
      }
  if (arrivals->count == JL_ARRIVAL_ROUTES_MAX)
    return;
  arrivals->list[arrivals->count].route_key = route_key;
  arrivals->list[arrivals->count].count = count;
  arrivals->count++;
}

void
jl_arrivals_decay (struct jl_arrivals *arrivals)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < arrivals->count; i++)
    {
      arrivals->list[i].count *= DECAY_FACTOR;
      if (arrivals->list[i].count >= COUNT_MIN)
        arrivals->list[kept++] = arrivals->list[i];
    }
  arrivals->count = kept;
}

bool
jl_arrivals_is_route_absent (const struct jl_arrivals *arrivals,
                             uint32_t route_key)
{
  double total = 0;
  double route_count = 0;

  for (unsigned i = 0; i < arrivals->count; i++)
    {
      total += arrivals->list[i].count;
      if (arrivals->list[i].route_key == route_key)
        route_count = arrivals->list[i].count;
    }
  return total >= TOTAL_MIN && route_count < ABSENT_BELOW;
}
