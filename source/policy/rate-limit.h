#ifndef JACKDAWLADDER_RATE_LIMIT_H
#define JACKDAWLADDER_RATE_LIMIT_H

/**
 * DOC: Keeps the requests to the local target within the rate that the target
 * itself has named.
 *
 * A token bucket. All requests to a target pass through its guard, so that one
 * bucket holds for all daemons together. A lower limit is in force at once. A
 * higher one, or none, is in force when no lower one was named for some time,
 * since responses may overtake each other.
 */

#include "jackdawladder/base.h"

/**
 * struct jl_rate_limit - the limit of one target
 * @rate: limit in force in requests a second, infinite for none
 * @tokens: requests that may be sent at once
 * @filled_us: time as of which @tokens is valid
 * @named_us: time at which the limit in force, or a lower one, was named last
 */
struct jl_rate_limit
{
  double rate;
  double tokens;
  uint64_t filled_us;
  uint64_t named_us;
};

/**
 * jl_rate_limit_init - begins without a limit
 */
void jl_rate_limit_init (struct jl_rate_limit *limit);

/**
 * jl_rate_limit_name - handles a limit that the target has named
 * @rate: in requests a second, infinite for none
 *
 * Return: whether the limit in force has changed.
 */
bool
jl_rate_limit_name (struct jl_rate_limit *limit, double rate, uint64_t now_us);

/**
 * jl_rate_limit_is_set - whether there is a limit
 */
bool jl_rate_limit_is_set (const struct jl_rate_limit *limit);

/**
 * jl_rate_limit_rate - returns the rate that is kept, infinite for none
 *
 * It is never zero: only a response can tell that a limit has ended.
 */
double jl_rate_limit_rate (const struct jl_rate_limit *limit);

/**
 * jl_rate_limit_allows - whether a request may be sent now
 */
bool jl_rate_limit_allows (struct jl_rate_limit *limit, uint64_t now_us);

/**
 * jl_rate_limit_count - counts a request that is sent
 */
void jl_rate_limit_count (struct jl_rate_limit *limit);

#endif
