/**
 * DOC: Whether a route's requests come from clients or from targets.
 */

#include "policy/origin.h"

/* What a count keeps from one window to the next: halved in 3 s. */
#define KEEP 0.94
/* Requests of other routes that make the lack of one a sign. */
#define ENOUGH 40.0
/* A count below this is forgotten. */
#define FORGET 0.05
/* A route whose part is smaller is lacking. */
#define LACKING 0.3

void
jl_arrivals_add (struct jl_arrivals *arrivals, uint32_t route, double count)
{
  for (unsigned i = 0; i < arrivals->count; i++)
    if (arrivals->list[i].route == route)
      {
        arrivals->list[i].count += count;
        return;
      }
  if (arrivals->count == JL_ARRIVALS_MAX)
    return;
  arrivals->list[arrivals->count].route = route;
  arrivals->list[arrivals->count].count = count;
  arrivals->count++;
}

void
jl_arrivals_fade (struct jl_arrivals *arrivals)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < arrivals->count; i++)
    {
      arrivals->list[i].count *= KEEP;
      if (arrivals->list[i].count >= FORGET)
        arrivals->list[kept++] = arrivals->list[i];
    }
  arrivals->count = kept;
}

bool
jl_arrivals_lack (const struct jl_arrivals *arrivals, uint32_t route)
{
  double total = 0;
  double own = 0;

  for (unsigned i = 0; i < arrivals->count; i++)
    {
      total += arrivals->list[i].count;
      if (arrivals->list[i].route == route)
        own = arrivals->list[i].count;
    }
  return total >= ENOUGH && own < LACKING;
}
