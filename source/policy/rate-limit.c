/**
 * DOC: Keeps the requests to the local target within the rate that the target
 * itself has named.
 */

#include "policy/rate-limit.h"

#include <math.h>

/* Requests that may be sent at once, as time at the limit in seconds; at least
 * one. */
#define BURST_S 0.5
/* Time without a lower limit after which a higher one is in force. */
#define RAISE_DELAY_US (500 * JL_USEC_PER_MSEC)
/* Requests a second that are sent to a target with a lower limit, since only a
 * response tells that the limit has ended. */
#define RATE_MIN 0.5

void
jl_rate_limit_init (struct jl_rate_limit *limit)
{
  *limit = (struct jl_rate_limit){ .rate = INFINITY };
}

bool
jl_rate_limit_is_set (const struct jl_rate_limit *limit)
{
  return isfinite (limit->rate);
}

double
jl_rate_limit_rate (const struct jl_rate_limit *limit)
{
  return fmax (limit->rate, RATE_MIN);
}

static double
bucket_size (const struct jl_rate_limit *limit)
{
  return fmax (jl_rate_limit_rate (limit) * BURST_S, 1);
}

/* Adds the tokens of the time that has passed. */
static void
fill (struct jl_rate_limit *limit, uint64_t now_us)
{
  double passed_s
      = (double)(now_us - limit->filled_us) / (double)JL_USEC_PER_SEC;

  limit->tokens = fmin (limit->tokens + passed_s * jl_rate_limit_rate (limit),
                        bucket_size (limit));
  limit->filled_us = now_us;
}

/* Puts a limit in force. A first one begins with a full bucket. */
static void
set_rate (struct jl_rate_limit *limit, double rate, uint64_t now_us)
{
  if (jl_rate_limit_is_set (limit))
    fill (limit, now_us);
  else
    limit->tokens = INFINITY;
  limit->rate = rate;
  limit->tokens = fmin (limit->tokens, bucket_size (limit));
  limit->filled_us = now_us;
  limit->named_us = now_us;
}

bool
jl_rate_limit_name (struct jl_rate_limit *limit, double rate, uint64_t now_us)
{
  bool raises = rate > limit->rate;

  if (!raises)
    limit->named_us = now_us;
  if (rate == limit->rate
      || (raises && now_us < limit->named_us + RAISE_DELAY_US))
    return false;
  set_rate (limit, rate, now_us);
  return true;
}

bool
jl_rate_limit_allows (struct jl_rate_limit *limit, uint64_t now_us)
{
  if (!jl_rate_limit_is_set (limit))
    return true;
  fill (limit, now_us);
  return limit->tokens >= 1;
}

void
jl_rate_limit_count (struct jl_rate_limit *limit)
{
  if (jl_rate_limit_is_set (limit))
    limit->tokens -= 1;
}
