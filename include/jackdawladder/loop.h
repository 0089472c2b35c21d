#ifndef JACKDAWLADDER_LOOP_H
#define JACKDAWLADDER_LOOP_H

/**
 * DOC: The event loop of a single-threaded process.
 *
 * libuv polls the sockets; the timer service of timer.h runs on top of it.
 * Output that callbacks produce is flushed once per iteration, before the loop
 * polls again.
 */

#include "jackdawladder/timer.h"

#include <uv.h>

/**
 * struct jl_loop - an event loop with its timers
 * @uv: the libuv loop
 * @wakeup: ends the poll when the next timer of @timers is due
 * @before_poll: runs due timers and the flush callback before each poll
 * @after_poll: updates @now_us after each poll
 * @timers: the timer service; it runs before each poll
 * @now_us: monotonic time, updated before and after each poll
 * @flush: called with @flush_context before each poll; may be NULL
 */
struct jl_loop
{
  uv_loop_t uv;
  uv_timer_t wakeup;
  uv_prepare_t before_poll;
  uv_check_t after_poll;
  struct jl_timers *timers;
  uint64_t now_us;
  void (*flush) (void *context);
  void *flush_context;
};

/**
 * jl_loop_new - creates a loop; aborts the process on failure
 */
struct jl_loop *jl_loop_new (void);

/**
 * jl_loop_drop - frees a loop; all handles of its users must be closed
 */
void jl_loop_drop (struct jl_loop *loop);

/**
 * jl_loop_run - processes events until jl_loop_stop() is called
 */
void jl_loop_run (struct jl_loop *loop);

/**
 * jl_loop_stop - makes jl_loop_run() return after the current iteration
 */
void jl_loop_stop (struct jl_loop *loop);

/**
 * jl_loop_start_timer - starts @timer
 * @delay_us: time until @fire is called with @context
 */
void jl_loop_start_timer (struct jl_loop *loop,
                          struct jl_timer *timer,
                          uint64_t delay_us,
                          JL_TIMER_FN (fire),
                          void *context);

#endif
