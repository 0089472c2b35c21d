#ifndef JACKDAWLADDER_LOAD_SHEDDER_H
#define JACKDAWLADDER_LOAD_SHEDDER_H

/**
 * DOC: Computes the share of the demand for a target that entries should
 * refuse.
 *
 * Shedding keeps the admitted load within the target's capacity. The arrivals
 * of a window are the demand times the share that was admitted a few windows
 * ago. Dividing by that share gives the whole demand. The demand and the
 * target's capacity (its limit divided by the time for which a request holds a
 * slot) give the share to refuse. A long queue reduces the capacity until the
 * queue is short. A limit of the rate that the target has named limits its
 * capacity.
 */

#include "jackdawladder/base.h"

/* Length of a control window. */
#define JL_CONTROL_WINDOW_US (100 * JL_USEC_PER_MSEC)

/* Expected hold time of a target that has just started, relative to that of a
 * warm one. */
#define JL_COLD_HOLD_FACTOR 3.0

/* Number of windows until a refusal at an entry lowers the arrivals at a target
 * deep in the call graph. */
#define JL_CONTROL_DELAY_WINDOWS 3

/**
 * struct jl_load_shedder - state for one target
 * @shed_share: share of the demand that entries should refuse, 0 to 1
 * @spare_share: share of the capacity that is free for other zones, 0 to 1
 * @hold_us: exponential moving average of the time for which a request holds a
 *           slot
 * @first_holds: hold times since the start of the incarnation, as long as they
 *               weigh more than HOLD_WEIGHT; JL_NONE after that
 * @rate_limit: requests a second that the target takes, infinite for no limit
 * @arrival_rate: exponential moving average of the arrivals a second
 * @admitted_share: admitted share of the demand, averaged like @arrival_rate
 * @admitted_history: ring of the admitted shares of past windows that do not
 *                    show in
 *           @arrival_rate yet
 * @window: number of windows so far
 * @arrivals: arrivals in this window
 */
struct jl_load_shedder
{
  double shed_share;
  double spare_share;
  double hold_us;
  unsigned first_holds;
  double rate_limit;
  double arrival_rate;
  double admitted_share;
  double admitted_history[JL_CONTROL_DELAY_WINDOWS];
  unsigned window;
  unsigned arrivals;
};

void jl_load_shedder_init (struct jl_load_shedder *shedder);

/**
 * jl_load_shedder_count_arrival - counts a request that arrives at the target
 */
void jl_load_shedder_count_arrival (struct jl_load_shedder *shedder);

/**
 * jl_load_shedder_discount_arrival - counts a request that leaves without
 * having run, and arrives at another target
 */
void jl_load_shedder_discount_arrival (struct jl_load_shedder *shedder);

/**
 * jl_load_shedder_record_hold - records that a request held its slot for
 * @hold_us
 */
void jl_load_shedder_record_hold (struct jl_load_shedder *shedder,
                                  uint64_t hold_us);

/**
 * jl_load_shedder_restart - begins with a new incarnation of the target
 * @cold: it is still slow
 *
 * A cold one is expected to hold requests for longer than the former one did,
 * by JL_COLD_HOLD_FACTOR. Its own hold times replace that from the first one
 * on, so it is announced with the capacity that it has while it is cold.
 */
void jl_load_shedder_restart (struct jl_load_shedder *shedder, bool cold);

/**
 * jl_load_shedder_end_window - updates the shares at the end of a control
 * window
 * @limit: requests that may run at once
 * @waiting: requests in the queue
 */
void jl_load_shedder_end_window (struct jl_load_shedder *shedder,
                                 unsigned limit,
                                 unsigned waiting);

/**
 * jl_load_shedder_capacity - returns the target's capacity in requests a second
 *
 * Return: the capacity, or 0 while it is not known.
 */
double jl_load_shedder_capacity (const struct jl_load_shedder *shedder,
                                 unsigned limit);

/**
 * jl_load_shedder_used_slots - returns the number of slots in use at the
 * target's capacity: fewer than @limit, but at least one, if the rate limit is
 * what limits the capacity
 */
unsigned jl_load_shedder_used_slots (const struct jl_load_shedder *shedder,
                                     unsigned limit);

#endif
