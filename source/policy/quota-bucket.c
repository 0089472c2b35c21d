/**
 * DOC: Token buckets of usage caps, and the division of a cap's allowance.
 */

#include "policy/quota-bucket.h"

#include <math.h>

/* Parts of the slack: additional depth of the buckets, and floors. With 12 of
 * 20 as depth, four zones refused 10 in 1,000 requests of a customer with a cap
 * of 7 a second and a demand of 1/1.6 of it; with 17 they refuse 3. At most
 * half of the daemons of a zone use the floor while its issuer issues. */
#define SPREAD_RATIO 0.85
#define SPREAD_MAX 17.0
#define FLOOR_SLACK_RATIO 0.15
#define FLOOR_SLACK_MAX 3.0
/* Floor as a part of the rate. */
#define FLOOR_RATE_RATIO 0.2
/* Margin for rounding when whole tokens are counted. */
#define ROUNDING 1e-9

struct jl_quota_allowance
jl_quota_divide (double rate,
                 double burst,
                 uint64_t window_us,
                 double over_ratio,
                 double slack)
{
  double window_s = (double)window_us / 1e6;
  double valid_s = (double)JL_QUOTA_VALID_US / 1e6;
  double extra = over_ratio * (rate * window_s + burst);
  struct jl_quota_allowance allowance = {
    .rate = rate,
    .burst = burst,
    .spread = MIN (SPREAD_MAX, SPREAD_RATIO * slack),
    .floor = MIN (FLOOR_SLACK_MAX, FLOOR_SLACK_RATIO * slack),
  };

  /* Tokens that are used late lengthen the window in which they were issued. */
  if (extra < rate * valid_s)
    allowance.rate = (rate * window_s + extra) / (window_s + valid_s);
  else
    allowance.floor
        += MIN (FLOOR_RATE_RATIO * rate, 0.6 * (extra - rate * valid_s));
  return allowance;
}

struct jl_quota_cap
jl_quota_zone_cap (const struct jl_quota_allowance *allowance,
                   double share,
                   unsigned zone_count)
{
  struct jl_quota_cap cap = {
    .rate = share * allowance->rate,
    .depth
    = share * allowance->burst + allowance->spread / MAX (1u, zone_count),
  };

  return cap;
}

double
jl_quota_bucket_update (struct jl_quota_bucket *bucket,
                        const struct jl_quota_cap *cap,
                        uint64_t now_us)
{
  if (now_us > bucket->updated_us)
    {
      double elapsed_s = (double)(now_us - bucket->updated_us) / 1e6;

      if (cap->depth > 0)
        bucket->fraction
            = MIN (1.0, bucket->fraction + elapsed_s * cap->rate / cap->depth);
      bucket->updated_us = now_us;
    }
  return bucket->fraction * cap->depth;
}

unsigned
jl_quota_bucket_take (struct jl_quota_bucket *bucket,
                      const struct jl_quota_cap *cap,
                      unsigned count,
                      uint64_t now_us)
{
  double level = jl_quota_bucket_update (bucket, cap, now_us);
  unsigned taken
      = (unsigned)CLAMP (floor (level + ROUNDING), 0.0, (double)count);

  if (taken > 0)
    bucket->fraction = MAX (0.0, (level - taken) / cap->depth);
  return taken;
}

void
jl_quota_bucket_withhold (struct jl_quota_bucket *bucket,
                          const struct jl_quota_cap *cap,
                          double count)
{
  if (cap->depth > 0)
    bucket->fraction -= count / cap->depth;
}

uint64_t
jl_quota_bucket_wait_us (const struct jl_quota_bucket *bucket,
                         const struct jl_quota_cap *cap,
                         double count)
{
  double missing = count - bucket->fraction * cap->depth;

  if (missing <= 0)
    return 0;
  if (cap->rate <= 0)
    return UINT64_MAX;
  return (uint64_t)ceil (missing / cap->rate * 1e6);
}
