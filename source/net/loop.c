/**
 * DOC: The event loop of a single-threaded process.
 */

#include "jackdawladder/loop.h"

static void
on_wakeup (uv_timer_t *wakeup)
{
  struct jl_loop *loop = wakeup->data;

  loop->now_us = jl_now ();
}

/*
 * Timers run before the flush, so that the output of their callbacks is flushed
 * in the same iteration.
 */
static void
before_poll (uv_prepare_t *prepare)
{
  struct jl_loop *loop = prepare->data;
  uint64_t next;
  uint64_t wait_us;

  loop->now_us = jl_now ();
  jl_timers_run (loop->timers, loop->now_us);
  if (loop->flush != NULL)
    loop->flush (loop->flush_context);
  next = jl_timers_next (loop->timers);
  if (next == UINT64_MAX)
    {
      uv_timer_stop (&loop->wakeup);
      return;
    }
  wait_us = next > loop->now_us ? next - loop->now_us : 0;
  uv_update_time (&loop->uv);
  uv_timer_start (&loop->wakeup, on_wakeup,
                  (wait_us + JL_USEC_PER_MSEC - 1) / JL_USEC_PER_MSEC, 0);
}

static void
after_poll (uv_check_t *check)
{
  struct jl_loop *loop = check->data;

  loop->now_us = jl_now ();
}

struct jl_loop *
jl_loop_new (void)
{
  struct jl_loop *loop = g_new0 (struct jl_loop, 1);

  if (uv_loop_init (&loop->uv) != 0)
    g_error ("cannot initialize the event loop");
  loop->timers = jl_timers_new ();
  loop->now_us = jl_now ();
  uv_timer_init (&loop->uv, &loop->wakeup);
  uv_prepare_init (&loop->uv, &loop->before_poll);
  uv_check_init (&loop->uv, &loop->after_poll);
  loop->wakeup.data = loop;
  loop->before_poll.data = loop;
  loop->after_poll.data = loop;
  uv_prepare_start (&loop->before_poll, before_poll);
  uv_check_start (&loop->after_poll, after_poll);
  return loop;
}

void
jl_loop_drop (struct jl_loop *loop)
{
  uv_close ((uv_handle_t *)&loop->wakeup, NULL);
  uv_close ((uv_handle_t *)&loop->before_poll, NULL);
  uv_close ((uv_handle_t *)&loop->after_poll, NULL);
  uv_run (&loop->uv, UV_RUN_NOWAIT);
  uv_loop_close (&loop->uv);
  jl_timers_drop (loop->timers);
  g_free (loop);
}

void
jl_loop_run (struct jl_loop *loop)
{
  uv_run (&loop->uv, UV_RUN_DEFAULT);
}

void
jl_loop_stop (struct jl_loop *loop)
{
  uv_stop (&loop->uv);
}

void
jl_loop_start_timer (struct jl_loop *loop,
                     struct jl_timer *timer,
                     uint64_t delay_us,
                     JL_TIMER_FN (fire),
                     void *context)
{
  jl_timer_start (loop->timers, timer, jl_now () + delay_us, fire, context);
}
