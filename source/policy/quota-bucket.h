#ifndef JACKDAWLADDER_POLICY_QUOTA_BUCKET_H
#define JACKDAWLADDER_POLICY_QUOTA_BUCKET_H

/**
 * DOC: Token buckets of usage caps, and the division of a cap's allowance.
 *
 * In any window W the requests of a customer that targets run are at most
 * (rate x W + burst) x (1 + over) + slack. The zones' buckets, the time for
 * which a token is valid, and the floors of daemons that reach no issuer share
 * this allowance.
 *
 * A bucket fills at a rate that uses up rate x W + burst evenly in W, so that a
 * customer who sends more than its cap all the time gets all of its allowance.
 * A count of the tokens of the last window, and of the time for which they are
 * valid, bounds what bursts add to that.
 */

#include "jackdawladder/base.h"

/* Time for which a token may be used after it was issued. */
#define JL_QUOTA_VALID_US (250 * JL_USEC_PER_MSEC)

/* Slots of the ring in which the tokens of the last window are counted. */
#define JL_QUOTA_SLOT_COUNT 44

/**
 * struct jl_quota_allowance - the parts of a customer's allowance, for the
 * whole site
 * @rate: tokens a second that issuers of all zones issue
 * @burst: depth of the buckets of all zones together, without @spread
 * @window_us: length of the window
 * @window: tokens that all issuers issue in a window, without @spread
 * @spread: additional depth, which is divided equally among the zones
 * @floor: requests in a window for all daemons that reach no issuer
 */
struct jl_quota_allowance
{
  double rate;
  double burst;
  uint64_t window_us;
  double window;
  double spread;
  double floor;
};

/**
 * struct jl_quota_cap - the cap of a bucket
 * @rate: tokens a second
 * @depth: maximum number of tokens
 * @window_us: length of the window
 * @window: tokens that are issued in a window
 */
struct jl_quota_cap
{
  double rate;
  double depth;
  uint64_t window_us;
  double window;
};

/**
 * struct jl_quota_bucket - a token bucket
 * @fraction: level as a fraction of the depth, so that a changed cap takes
 *            effect at once
 * @updated_us: time of @fraction
 * @slot: number of the current slot of @issued
 * @issued: ring of the tokens issued, without those that other zones have lent
 */
struct jl_quota_bucket
{
  double fraction;
  uint64_t updated_us;
  uint64_t slot;
  double issued[JL_QUOTA_SLOT_COUNT];
};

/**
 * jl_quota_divide - divides the allowance of a usage cap
 * @window_us: length of the window, and further limits of the rule
 */
struct jl_quota_allowance jl_quota_divide (double rate,
                                           double burst,
                                           uint64_t window_us,
                                           double over_ratio,
                                           double slack);

/**
 * jl_quota_zone_cap - returns the cap of one zone's bucket
 * @share: of the rate and the burst, from 0 to 1
 * @zone_count: number of zones of the site
 */
struct jl_quota_cap
jl_quota_zone_cap (const struct jl_quota_allowance *allowance,
                   double share,
                   unsigned zone_count);

/**
 * jl_quota_cap_part - returns a part, from 0 to 1, of a cap
 */
struct jl_quota_cap jl_quota_cap_part (const struct jl_quota_cap *cap,
                                       double part);

/**
 * jl_quota_bucket_update - adds the tokens that are due at @now_us
 *
 * Return: the number of tokens that can be issued.
 */
double jl_quota_bucket_update (struct jl_quota_bucket *bucket,
                               const struct jl_quota_cap *cap,
                               uint64_t now_us);

/**
 * jl_quota_bucket_take - takes up to @count tokens
 *
 * Return: the number of tokens taken.
 */
unsigned jl_quota_bucket_take (struct jl_quota_bucket *bucket,
                               const struct jl_quota_cap *cap,
                               unsigned count,
                               uint64_t now_us);

/**
 * jl_quota_bucket_add - adds tokens that another zone has lent; those above the
 * depth are lost
 */
void jl_quota_bucket_add (struct jl_quota_bucket *bucket,
                          const struct jl_quota_cap *cap,
                          unsigned count,
                          uint64_t now_us);

/**
 * jl_quota_bucket_withhold - removes tokens; the level may fall below 0
 */
void jl_quota_bucket_withhold (struct jl_quota_bucket *bucket,
                               const struct jl_quota_cap *cap,
                               double count);

/**
 * jl_quota_bucket_wait_us - returns the time until the bucket has @count tokens
 *
 * Return: the time, UINT64_MAX if it never has any.
 */
uint64_t jl_quota_bucket_wait_us (const struct jl_quota_bucket *bucket,
                                  const struct jl_quota_cap *cap,
                                  double count);

#endif
