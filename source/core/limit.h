#ifndef JACKDAWLADDER_LIMIT_H
#define JACKDAWLADDER_LIMIT_H

/**
 * DOC: The limit on requests in progress at the own target.
 *
 * It grows from a share to all slots while the target is new. Later it goes
 * below the slots only where that helps: when the target is overloaded and its
 * latency far above the one without load, lower limits are tried. The limit
 * follows the rate of requests that is measured at each, down while it does
 * not fall, up while it grows.
 */

#include "core-impl.h"

struct jl_limit;

struct jl_limit *jl_limit_new (void);
void jl_limit_drop (struct jl_limit *limit);

/**
 * jl_limit_set_slots - the target has announced @slots
 * @new_life: it is another process than before
 * @cold_start_us: time over which the limit grows
 */
void jl_limit_set_slots (struct jl_limit *limit,
                         uint64_t now_us,
                         uint32_t slots,
                         bool new_life,
                         uint64_t cold_start_us);

/**
 * jl_limit_get - requests that may run now
 */
uint32_t jl_limit_get (const struct jl_limit *limit);

/**
 * jl_limit_set_running - @running requests are in progress from now on
 */
void jl_limit_set_running (struct jl_limit *limit,
                           uint64_t now_us,
                           uint32_t running);

/**
 * jl_limit_done - a request has run for @held_us
 * @latency_us: 0 when it was not answered
 * @running: requests that ran beside it, itself included
 */
void jl_limit_done (struct jl_limit *limit,
                    uint64_t held_us,
                    uint64_t latency_us,
                    uint32_t running);

/**
 * jl_limit_mean_hold_us - mean time for which a request holds its slot, 0 while
 * that is not known
 */
uint64_t jl_limit_mean_hold_us (const struct jl_limit *limit);

/**
 * jl_limit_end_window - a control window has ended
 * @overloaded: in it requests waited, or were refused
 */
void
jl_limit_end_window (struct jl_limit *limit, uint64_t now_us, bool overloaded);

/**
 * jl_limit_settled - whether the limit stays as it is without traffic
 */
bool jl_limit_settled (const struct jl_limit *limit);

#endif
