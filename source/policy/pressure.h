#ifndef JACKDAWLADDER_PRESSURE_H
#define JACKDAWLADDER_PRESSURE_H

/**
 * DOC: How much of the demand for a target should be refused at its entries.
 *
 * Answers a demand that is above what the target can do. The arrivals of a
 * window are what the share let in a few windows ago has left of the demand;
 * so the whole demand is known, and with the target's capacity (its limit over
 * the time for which a request holds a slot) the share that has to be refused.
 * A queue takes off the capacity until it is short.
 */

#include "jackdawladder/base.h"

/* Length of a control window. */
#define JL_PRESSURE_WINDOW_US (100 * JL_USEC_PER_MSEC)

/* Windows until a refusal at an entry shows deep in the call graph. */
#define JL_PRESSURE_DELAY 3

/**
 * struct jl_pressure - state for one target
 * @shed: share of the demand that entries should refuse, 0 to 1
 * @room: share of the capacity that is free for other zones, 0 to 1
 * @hold_us: time for which a request holds a slot, smoothed
 * @arrivals: in this window
 * @rate: arrivals a second, smoothed
 * @passed: share of the demand that @rate is, smoothed like it
 * @history: what was let in, by window, until it shows in @rate
 * @window: counts the windows
 */
struct jl_pressure
{
  double shed;
  double room;
  double hold_us;
  double rate;
  double passed;
  double history[JL_PRESSURE_DELAY];
  unsigned window;
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
