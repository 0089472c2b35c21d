/**
 * DOC: Shares of zones in a usage cap, and how much of them moves.
 */

#include "policy/quota-share.h"

#include <math.h>

/* Part of its share that a zone with the usual demand uses. */
#define USUAL_RATIO 0.64
/* A zone that uses more wants units, and one that uses less gives them. */
#define WANT_RATIO 0.72
#define GIVE_RATIO 0.6
/* A zone keeps this part of an equal share, for a load that comes back. */
#define KEPT_RATIO 0.125

unsigned
jl_quota_share_default (unsigned zone_count)
{
  return JL_QUOTA_SHARE_UNITS / MAX (1u, zone_count);
}

/* Standard error of a demand that is averaged with exponential weights. */
static double
error_of (double demand, double time_s)
{
  return sqrt (demand / (2 * time_s));
}

static double
units_of (const struct jl_quota_use *use, double demand)
{
  return use->rate > 0 ? demand / use->rate * JL_QUOTA_SHARE_UNITS : 0;
}

unsigned
jl_quota_share_wanted (const struct jl_quota_use *use, unsigned units)
{
  double error = error_of (use->steady, use->steady_s);
  double certain
      = MAX (use->steady - 2 * error,
             use->recent - 2 * error_of (use->recent, use->recent_s));
  double wanted;

  if (units_of (use, certain) <= WANT_RATIO * units)
    return 0;
  wanted = units_of (use, MAX (use->steady + error, certain)) / USUAL_RATIO;
  return (unsigned)CLAMP (wanted - units, 0, JL_QUOTA_SHARE_UNITS);
}

unsigned
jl_quota_share_given (const struct jl_quota_use *use,
                      unsigned units,
                      unsigned wanted,
                      unsigned zone_count)
{
  double likely
      = MAX (use->steady + error_of (use->steady, use->steady_s), use->recent);
  double kept = MAX (units_of (use, likely) / USUAL_RATIO,
                     KEPT_RATIO * jl_quota_share_default (zone_count));

  if (units_of (use, likely) >= GIVE_RATIO * units || kept >= units)
    return 0;
  return (unsigned)MIN (units - kept, wanted);
}
