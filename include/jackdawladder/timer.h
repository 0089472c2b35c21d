#ifndef JACKDAWLADDER_TIMER_H
#define JACKDAWLADDER_TIMER_H

/**
 * DOC: Timers of the reducer.
 *
 * A component embeds a struct jl_timer for each of its timers. Timers fire in
 * order of their due times; timers with the same due time fire in the order in
 * which they were started.
 */

#include "jackdawladder/base.h"

struct jl_timers;
struct jl_timer;

/**
 * JL_TIMER_FN - declares a function pointer that is called when a timer fires
 * @name: name of the pointer
 *
 * The function gets the context that was passed to jl_timer_start(). It may
 * restart the timer or free it.
 */
#define JL_TIMER_FN(name) void (*name) (void *context, struct jl_timer *timer)

/**
 * struct jl_timer - a timer, embedded in its owner's structure
 * @due_us: monotonic time at which it fires
 * @sequence: number of the start, which orders timers with the same due time
 * @heap_position: index in the heap plus one; 0 while the timer is stopped
 * @fire: function to call
 * @context: first argument of @fire
 *
 * A zero-filled timer is a stopped one.
 */
struct jl_timer
{
  uint64_t due_us;
  uint64_t sequence;
  size_t heap_position;
  JL_TIMER_FN (fire);
  void *context;
};

struct jl_timers *jl_timers_new (void);

/**
 * jl_timers_drop - frees @timers without firing the started timers
 */
void jl_timers_drop (struct jl_timers *timers);

/**
 * jl_timer_start - starts @timer, or reschedules it if it is started already
 */
void jl_timer_start (struct jl_timers *timers,
                     struct jl_timer *timer,
                     uint64_t due_us,
                     JL_TIMER_FN (fire),
                     void *context);

/**
 * jl_timer_stop - stops @timer; has no effect on a stopped timer
 */
void jl_timer_stop (struct jl_timers *timers, struct jl_timer *timer);

/**
 * jl_timers_run - fires all timers that are due at or before @now_us
 */
void jl_timers_run (struct jl_timers *timers, uint64_t now_us);

/**
 * jl_timers_next - returns the earliest due time
 *
 * Return: monotonic time in microseconds, UINT64_MAX if no timer is started.
 */
uint64_t jl_timers_next (const struct jl_timers *timers);

#endif
