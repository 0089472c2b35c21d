#ifndef JACKDAWLADDER_POLICY_QUOTA_SHARE_H
#define JACKDAWLADDER_POLICY_QUOTA_SHARE_H

/**
 * DOC: Shares of zones in a usage cap, and how much of them moves.
 *
 * Shares are whole numbers of units, so that their sum is exact. A zone wants
 * more if its demand uses a larger part of its share than that of a customer
 * with the usual demand, and gives if it uses a smaller part. Demand counts
 * with its statistical error, so that random arrivals at customers with small
 * caps move nothing.
 */

#include "jackdawladder/base.h"

/* Units of the shares of all zones together. */
#define JL_QUOTA_SHARE_UNITS 1000000u

/**
 * struct jl_quota_use - demand of a customer in a zone
 * @rate: cap of the customer for the whole site, requests a second
 * @recent: requests a second over a few seconds, with refused ones
 * @recent_s: time over which @recent is averaged
 * @steady: requests a second over a longer time
 * @steady_s: time over which @steady is averaged
 */
struct jl_quota_use
{
  double rate;
  double recent;
  double recent_s;
  double steady;
  double steady_s;
};

/**
 * jl_quota_share_default - returns the units of each zone while none has moved
 */
unsigned jl_quota_share_default (unsigned zone_count);

/**
 * jl_quota_share_wanted - returns how many units a zone wants in addition
 * @units: its share
 */
unsigned jl_quota_share_wanted (const struct jl_quota_use *use, unsigned units);

/**
 * jl_quota_share_given - returns how many units a zone gives away
 * @units: its share
 * @wanted: units that another zone wants
 * @zone_count: number of zones of the site
 */
unsigned jl_quota_share_given (const struct jl_quota_use *use,
                               unsigned units,
                               unsigned wanted,
                               unsigned zone_count);

#endif
