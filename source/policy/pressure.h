#ifndef JACKDAWLADDER_PRESSURE_H
#define JACKDAWLADDER_PRESSURE_H

/**
 * DOC: How much of the demand for a target should be refused at its entries.
 *
 * Answers a demand that stays above what the target can do. In windows the
 * arrivals are compared with the target's capacity, which is its limit over
 * the time for which a request holds a slot. The refused share follows by
 * integral control: slow enough for the delay between an entry's refusal and
 * its effect deep in the call graph, fast enough for a queue that callers
 * still wait out.
 */

#include "jackdawladder/base.h"

/* Length of a control window. */
#define JL_PRESSURE_WINDOW_US (100 * JL_USEC_PER_MSEC)

/**
 * struct jl_pressure - state for one target
 * @shed: share of the demand that entries should refuse, 0 to 1
 * @room: share of the capacity that is free for other zones, 0 to 1
 * @hold_us: time for which a request holds a slot, smoothed
 * @arrivals: in this window
 * @rate: arrivals a second, smoothed
 */
struct jl_pressure
{
  double shed;
  double room;
  double hold_us;
  double rate;
  unsigned arrivals;
};

void jl_pressure_init (struct jl_pressure *pressure);
void jl_pressure_arrive (struct jl_pressure *pressure);

/**
 * jl_pressure_done - a request has held its slot for @held_us
 */
void jl_pressure_done (struct jl_pressure *pressure, uint64_t held_us);

/**
 * jl_pressure_window - a window has ended
 * @limit: requests that may run at once
 * @waiting: requests in the queue
 */
void jl_pressure_window (struct jl_pressure *pressure,
                         unsigned limit,
                         unsigned waiting);

/**
 * jl_pressure_capacity - requests a second that the target can do, 0 while
 * that is not known
 */
double jl_pressure_capacity (const struct jl_pressure *pressure,
                             unsigned limit);

#endif
