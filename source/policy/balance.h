#ifndef JACKDAWLADDER_BALANCE_H
#define JACKDAWLADDER_BALANCE_H

/**
 * DOC: Balances demand between availability zones.
 *
 * Zones that cannot admit all of their demand send a part of it to zones that
 * can admit more, until all admit the same share. Each zone computes this for
 * itself from the same announced values. It is meant for a load above the
 * capacity of some zones: if each zone sent all that it refuses to the zone
 * that refuses least, that one would be overloaded while others have capacity
 * left.
 */

#include "jackdawladder/base.h"

/* Maximum number of zones. */
#define JL_BALANCE_ZONES_MAX 16

/**
 * struct jl_zone_load - demand and capacity of one zone
 * @demand: demand of its callers; any unit, the same for all zones
 * @admitted: share of @demand that its capacity admits; above 1 if it has
 *            capacity left for others
 */
struct jl_zone_load
{
  double demand;
  double admitted;
};

/**
 * struct jl_balance - what one zone sends to the others
 * @admitted: share of the demand that each zone admits when all are balanced,
 * at most 1
 * @moved: share of the zone's own demand that it sends to others
 * @shares: share of that for each zone, in the order of the zones; the sum is
 * 1, or 0 if no zone takes any
 */
struct jl_balance
{
  double admitted;
  double moved;
  double shares[JL_BALANCE_ZONES_MAX];
};

/**
 * jl_balance_compute - computes what the zone @home sends to the others
 * @loads: of @count zones, at most JL_BALANCE_ZONES_MAX
 */
struct jl_balance jl_balance_compute (const struct jl_zone_load *loads,
                                      unsigned count,
                                      unsigned home);

#endif
