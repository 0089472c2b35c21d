/**
 * DOC: Decides which share of a route's requests goes to another zone.
 */

#include "policy/spill.h"

/* Part of the latency goal that has to be gained for all requests to go. */
#define FULL_GAIN_SHARE 0.3
/* Fraction of the difference to the wanted share that one update makes up. */
#define STEP_SHARE 0.6
/* A smaller share becomes 0 when nothing is to be gained. */
#define SHARE_MIN 0.01

void
jl_spill_update (struct jl_spill *spill,
                 const struct jl_spill_offer *offer,
                 uint64_t goal_us,
                 bool received,
                 uint64_t now_us)
{
  double full_us = FULL_GAIN_SHARE * (double)MAX (goal_us, 1);
  double wanted = 0;

  spill->updated_us = now_us;
  if (received)
    {
      spill->share = 0;
      return;
    }
  if (offer->zone != NULL && offer->gain_us > 0)
    {
      wanted = CLAMP (offer->gain_us / full_us, 0, 1) * offer->accepted;
      if (spill->zone != offer->zone)
        spill->share = 0;
      spill->zone = offer->zone;
    }
  spill->share += STEP_SHARE * (wanted - spill->share);
  if (wanted <= 0 && spill->share < SHARE_MIN)
    spill->share = 0;
}
