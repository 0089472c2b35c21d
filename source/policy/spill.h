#ifndef JACKDAWLADDER_SPILL_H
#define JACKDAWLADDER_SPILL_H

/**
 * DOC: Decides which share of a route's requests goes to another zone because
 * that zone completes them sooner.
 *
 * The share follows the gain in small steps, so that the waits in both zones
 * can show the effect. A zone that has received such work sends none for
 * JL_SPILL_REST_US, so that two zones do not trade the same load.
 */

#include "jackdawladder/base.h"

/* Time after the receipt of work of a service from another zone in which a zone
 * sends none of it to others. */
#define JL_SPILL_REST_US JL_USEC_PER_SEC

/**
 * struct jl_spill_offer - what another zone offers
 * @zone: its name, NULL for none; interned
 * @gain_us: time by which a request completes sooner there, less the cost of
 *           crossing zones
 * @accepted: share of the requests that the zone has capacity for, 0 to 1
 */
struct jl_spill_offer
{
  const char *zone;
  double gain_us;
  double accepted;
};

/**
 * struct jl_spill - state of one route at one entry
 * @zone: zone that receives the share, NULL for none
 * @share: share of the requests that goes there, 0 to 1
 * @updated_us: time of the last update
 */
struct jl_spill
{
  const char *zone;
  double share;
  uint64_t updated_us;
};

/**
 * jl_spill_update - updates the share once in a control window
 * @offer: the best offer
 * @goal_us: latency goal of the route
 * @received: the local zone has received work of one of the route's services
 *            within JL_SPILL_REST_US
 */
void jl_spill_update (struct jl_spill *spill,
                      const struct jl_spill_offer *offer,
                      uint64_t goal_us,
                      bool received,
                      uint64_t now_us);

#endif
