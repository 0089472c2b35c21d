#ifndef JACKDAWLADDER_LIMIT_H
#define JACKDAWLADDER_LIMIT_H

/**
 * DOC: The adaptive concurrency limit of the own target.
 *
 * While the target is new, the limit grows from a fraction of its slots to all
 * of them. After that the limit goes below the slots only where this improves
 * throughput: when the target is overloaded and its latency is far above its
 * latency without load, lower limits are tried. The throughput is measured at
 * each limit. The limit keeps going down as long as throughput does not fall,
 * and keeps going up as long as throughput grows.
 */

#include "core-impl.h"

struct jl_limit;

struct jl_limit *jl_limit_new (void);
void jl_limit_drop (struct jl_limit *limit);

/**
 * jl_limit_set_slots - sets the number of slots that the target announced
 * @new_process: whether the target is a new process since the last announcement
 * @cold_start_us: time over which the limit of a new process grows to @slots
 */
void jl_limit_set_slots (struct jl_limit *limit,
                         uint64_t now_us,
                         uint32_t slots,
                         bool new_process,
                         uint64_t cold_start_us);

/**
 * jl_limit_get - returns how many requests may be in progress
 */
uint32_t jl_limit_get (const struct jl_limit *limit);

/**
 * jl_limit_set_running - records a change of the number of requests in progress
 */
void jl_limit_set_running (struct jl_limit *limit,
                           uint64_t now_us,
                           uint32_t running);

/**
 * jl_limit_done - records the end of a request
 * @hold_us: time for which the request held its slot
 * @latency_us: latency of the answer; 0 when there was no answer
 * @running: requests in progress when it ended, including this request
 */
void jl_limit_done (struct jl_limit *limit,
                    uint64_t hold_us,
                    uint64_t latency_us,
                    uint32_t running);

/**
 * jl_limit_mean_hold_us - returns the mean time for which a request holds its
 * slot
 *
 * Return: the moving average in microseconds; 0 before the first request ended.
 */
uint64_t jl_limit_mean_hold_us (const struct jl_limit *limit);

/**
 * jl_limit_end_window - adjusts the limit at the end of a control window
 * @overloaded: whether requests were queued or refused in the window
 */
void
jl_limit_end_window (struct jl_limit *limit, uint64_t now_us, bool overloaded);

/**
 * jl_limit_settled - whether the limit equals the slots and therefore does not
 * change without traffic
 */
bool jl_limit_settled (const struct jl_limit *limit);

#endif
