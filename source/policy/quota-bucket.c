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
/* Floor as a part of the rate, and at most as a part of what the over ratio
 * allows. */
#define FLOOR_RATE_RATIO 0.2
#define FLOOR_EXTRA_RATIO 0.35
/* Margin for rounding when whole tokens are counted. */
#define ROUNDING 1e-9

/* Part of the over ratio's allowance that issuers may use: the ring counts up
 * to 2 in 100 more than a window and the time for which tokens are valid. */
#define OVER_RATIO_USED 0.6
/* Depth of the buckets as a part of the burst. A new issuer does not know what
 * was issued before it; its empty bucket, and the time without an issuer, make
 * up for that as long as the depth is below the over ratio's usual allowance.
 */
#define DEPTH_RATIO 0.6
/* Slots that make up a window and the time for which tokens are valid. */
#define WINDOW_SLOTS (JL_QUOTA_SLOT_COUNT - 2)

struct jl_quota_allowance
jl_quota_divide (double rate,
                 double burst,
                 uint64_t window_us,
                 double over_ratio,
                 double slack)
{
  double window_s = (double)window_us / 1e6;
  double extra = over_ratio * (rate * window_s + burst);
  struct jl_quota_allowance allowance = {
    .rate = rate + burst / window_s,
    .burst = DEPTH_RATIO * burst,
    .window_us = window_us,
    .window = rate * window_s + burst + OVER_RATIO_USED * extra,
    .spread = MIN (SPREAD_MAX, SPREAD_RATIO * slack),
    .floor = MIN (FLOOR_SLACK_MAX, FLOOR_SLACK_RATIO * slack),
  };

  allowance.floor += MIN (FLOOR_RATE_RATIO * rate, FLOOR_EXTRA_RATIO * extra);
  return allowance;
}

struct jl_quota_cap
jl_quota_zone_cap (const struct jl_quota_allowance *allowance,
                   double share,
                   unsigned zone_count)
{
  double spread = allowance->spread / MAX (1u, zone_count);
  struct jl_quota_cap cap = {
    .rate = share * allowance->rate,
    .depth = share * allowance->burst + spread,
    .window_us = allowance->window_us,
    .window = share * allowance->window + spread,
  };

  return cap;
}

struct jl_quota_cap
jl_quota_cap_part (const struct jl_quota_cap *cap, double part)
{
  struct jl_quota_cap scaled = {
    .rate = part * cap->rate,
    .depth = part * cap->depth,
    .window_us = cap->window_us,
    .window = part * cap->window,
  };

  return scaled;
}

/* Moves the ring on to the current slot. */
static void
advance (struct jl_quota_bucket *bucket,
         const struct jl_quota_cap *cap,
         uint64_t now_us)
{
  uint64_t slot_us
      = MAX ((cap->window_us + JL_QUOTA_VALID_US) / WINDOW_SLOTS, 1);
  uint64_t slot = now_us / slot_us;
  uint64_t gap = slot > bucket->slot ? slot - bucket->slot : 0;

  for (uint64_t i = 0; i < MIN (gap, JL_QUOTA_SLOT_COUNT); i++)
    bucket->issued[(slot - i) % JL_QUOTA_SLOT_COUNT] = 0;
  bucket->slot = MAX (slot, bucket->slot);
}

static double
sum_issued (const struct jl_quota_bucket *bucket)
{
  double sum = 0;

  for (unsigned i = 0; i < JL_QUOTA_SLOT_COUNT; i++)
    sum += bucket->issued[i];
  return sum;
}

static void
count_issued (struct jl_quota_bucket *bucket, double count)
{
  bucket->issued[bucket->slot % JL_QUOTA_SLOT_COUNT] += count;
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
  advance (bucket, cap, now_us);
  return MIN (bucket->fraction * cap->depth, cap->window - sum_issued (bucket));
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
    {
      bucket->fraction = MAX (0.0, bucket->fraction - taken / cap->depth);
      count_issued (bucket, taken);
    }
  return taken;
}

void
jl_quota_bucket_add (struct jl_quota_bucket *bucket,
                     const struct jl_quota_cap *cap,
                     unsigned count,
                     uint64_t now_us)
{
  if (cap->depth <= 0)
    return;
  jl_quota_bucket_update (bucket, cap, now_us);
  bucket->fraction = MIN (1.0, bucket->fraction + count / cap->depth);
  count_issued (bucket, -(double)count);
}

void
jl_quota_bucket_withhold (struct jl_quota_bucket *bucket,
                          const struct jl_quota_cap *cap,
                          double count)
{
  if (cap->depth <= 0)
    return;
  bucket->fraction -= count / cap->depth;
  count_issued (bucket, count);
}

/* Returns the time until the count of the window leaves room for @count tokens.
 */
static uint64_t
window_wait_us (const struct jl_quota_bucket *bucket,
                const struct jl_quota_cap *cap,
                double count)
{
  uint64_t slot_us
      = MAX ((cap->window_us + JL_QUOTA_VALID_US) / WINDOW_SLOTS, 1);
  double room = cap->window - sum_issued (bucket);

  for (uint64_t i = 1; i <= JL_QUOTA_SLOT_COUNT; i++)
    {
      if (room >= count)
        return (i - 1) * slot_us;
      room += bucket->issued[(bucket->slot + i) % JL_QUOTA_SLOT_COUNT];
    }
  return room >= count ? JL_QUOTA_SLOT_COUNT * slot_us : UINT64_MAX;
}

uint64_t
jl_quota_bucket_wait_us (const struct jl_quota_bucket *bucket,
                         const struct jl_quota_cap *cap,
                         double count)
{
  double missing = count - bucket->fraction * cap->depth;
  uint64_t wait_us = 0;

  if (missing > 0 && cap->rate <= 0)
    return UINT64_MAX;
  if (missing > 0)
    wait_us = (uint64_t)ceil (missing / cap->rate * 1e6);
  return MAX (wait_us, window_wait_us (bucket, cap, count));
}
