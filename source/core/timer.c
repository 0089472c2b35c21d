/**
 * DOC: Timers of the reducer, kept in a binary min-heap.
 */

#include "jackdawladder/timer.h"

struct jl_timers
{
  GPtrArray *heap;
  uint64_t next_sequence;
};

struct jl_timers *
jl_timers_new (void)
{
  struct jl_timers *timers = g_new0 (struct jl_timers, 1);

  timers->heap = g_ptr_array_new ();
  return timers;
}

void
jl_timers_drop (struct jl_timers *timers)
{
  g_ptr_array_free (timers->heap, TRUE);
  g_free (timers);
}

static struct jl_timer *
heap_get (const struct jl_timers *timers, size_t index)
{
  return g_ptr_array_index (timers->heap, index);
}

static void
heap_set (struct jl_timers *timers, size_t index, struct jl_timer *timer)
{
  g_ptr_array_index (timers->heap, index) = timer;
  timer->heap_position = index + 1;
}

static bool
fires_before (const struct jl_timer *a, const struct jl_timer *b)
{
  if (a->due_us != b->due_us)
    return a->due_us < b->due_us;
  return a->sequence < b->sequence;
}

static void
sift_up (struct jl_timers *timers, struct jl_timer *timer)
{
  size_t index = timer->heap_position - 1;

  while (index > 0)
    {
      struct jl_timer *parent = heap_get (timers, (index - 1) / 2);

      if (!fires_before (timer, parent))
        break;
      heap_set (timers, index, parent);
      index = (index - 1) / 2;
    }
  heap_set (timers, index, timer);
}

static void
sift_down (struct jl_timers *timers, struct jl_timer *timer)
{
  size_t index = timer->heap_position - 1;
  size_t count = timers->heap->len;

  for (;;)
    {
      size_t child = 2 * index + 1;

      if (child >= count)
        break;
      if (child + 1 < count
          && fires_before (heap_get (timers, child + 1),
                           heap_get (timers, child)))
        child++;
      if (!fires_before (heap_get (timers, child), timer))
        break;
      heap_set (timers, index, heap_get (timers, child));
      index = child;
    }
  heap_set (timers, index, timer);
}

void
jl_timer_start (struct jl_timers *timers,
                struct jl_timer *timer,
                uint64_t due_us,
                JL_TIMER_FN (fire),
                void *context)
{
  jl_timer_stop (timers, timer);
  timer->due_us = due_us;
  timer->sequence = timers->next_sequence++;
  timer->fire = fire;
  timer->context = context;
  g_ptr_array_add (timers->heap, timer);
  timer->heap_position = timers->heap->len;
  sift_up (timers, timer);
}

void
jl_timer_stop (struct jl_timers *timers, struct jl_timer *timer)
{
  size_t index = timer->heap_position;
  struct jl_timer *last;

  if (index == 0)
    return;
  last = heap_get (timers, timers->heap->len - 1);
  g_ptr_array_set_size (timers->heap, (int)timers->heap->len - 1);
  timer->heap_position = 0;
  if (last == timer)
    return;
  heap_set (timers, index - 1, last);
  sift_up (timers, last);
  sift_down (timers, last);
}

void
jl_timers_run (struct jl_timers *timers, uint64_t now_us)
{
  while (timers->heap->len > 0)
    {
      struct jl_timer *timer = heap_get (timers, 0);

      if (timer->due_us > now_us)
        return;
      jl_timer_stop (timers, timer);
      timer->fire (timer->context, timer);
    }
}

uint64_t
jl_timers_next (const struct jl_timers *timers)
{
  if (timers->heap->len == 0)
    return UINT64_MAX;
  return heap_get (timers, 0)->due_us;
}
