#ifndef JACKDAWLADDER_LOOP_H
#define JACKDAWLADDER_LOOP_H

/**
 * DOC: The event loop of a process with one thread.
 *
 * libuv waits for sockets; the timer service of timer.h runs on top of it.
 * Output that callbacks produce is flushed once, before the loop waits again.
 */

#include "jackdawladder/timer.h"

#include <uv.h>

/**
 * struct jl_loop - the loop and what its users share
 * @uv: libuv's loop
 * @timers: the timer service; it runs at the start of each turn
 * @now_us: monotonic clock at the start of this turn
 * @flush: called before each wait
 */
struct jl_loop
{
  uv_loop_t uv;
  uv_timer_t wakeup;
  uv_prepare_t before_wait;
  uv_check_t after_wait;
  struct jl_timers *timers;
  uint64_t now_us;
  void (*flush) (void *context);
  void *flush_context;
};

/**
 * jl_loop_new - makes a loop; ends the process when the system refuses one
 */
struct jl_loop *jl_loop_new (void);

/**
 * jl_loop_drop - frees a loop whose handles are all closed
 */
void jl_loop_drop (struct jl_loop *loop);

/**
 * jl_loop_run - handles events until jl_loop_stop()
 */
void jl_loop_run (struct jl_loop *loop);

/**
 * jl_loop_stop - lets jl_loop_run() return after this turn
 */
void jl_loop_stop (struct jl_loop *loop);

/**
 * jl_loop_after - starts @timer @delay_us from now
 */
void jl_loop_after (struct jl_loop *loop,
                    struct jl_timer *timer,
                    uint64_t delay_us,
                    JL_TIMER_FN (fire),
                    void *context);

#endif
