#ifndef JACKDAWLADDER_TIMER_H
#define JACKDAWLADDER_TIMER_H

/**
 * DOC: The timer service of the reducer.
 *
 * Parts subscribe with an embedded struct jl_timer. Timers fire in order of
 * their time, those of one time in the order in which they were started.
 */

#include "jackdawladder/base.h"

struct jl_timers;
struct jl_timer;

/**
 * jl_timer_fn - called when a timer has fired; may start it again
 * @context: as given to jl_timer_start()
 */
#define JL_TIMER_FN(name) void (*name) (void *context, struct jl_timer *timer)

/**
 * struct jl_timer - a subscription, embedded in its owner's structure
 * @due_us: time at which it fires
 * @index: place in the heap plus one; 0 while it is stopped
 *
 * Zero-filled is stopped.
 */
struct jl_timer
{
  uint64_t due_us;
  uint64_t order;
  size_t index;
  JL_TIMER_FN (fire);
  void *context;
};

struct jl_timers *jl_timers_new (void);

/**
 * jl_timers_drop - frees the service; timers still started are forgotten
 */
void jl_timers_drop (struct jl_timers *timers);

/**
 * jl_timer_start - starts @timer, or moves it when it was started before
 */
void jl_timer_start (struct jl_timers *timers,
                     struct jl_timer *timer,
                     uint64_t due_us,
                     JL_TIMER_FN (fire),
                     void *context);

/**
 * jl_timer_stop - stops @timer; nothing happens when it is stopped already
 */
void jl_timer_stop (struct jl_timers *timers, struct jl_timer *timer);

/**
 * jl_timers_run - fires every timer due at or before @now_us
 */
void jl_timers_run (struct jl_timers *timers, uint64_t now_us);

/**
 * jl_timers_next - time of the next timer, UINT64_MAX when there is none
 */
uint64_t jl_timers_next (const struct jl_timers *timers);

#endif
