/**
 * DOC: Unit test of timers: firing order, stopping and restarting.
 */

#include <criterion/criterion.h>

#include "jackdawladder/timer.h"

/* A timer that appends its name to a log when it fires. */
struct log_timer
{
  struct jl_timer timer;
  char name;
  GString *log;
};

static void
append_name (void *context, struct jl_timer *timer)
{
  struct log_timer *log_timer = (struct log_timer *)timer;

  g_string_append_c (context, log_timer->name);
}

Test (timer, fires_in_order_of_time_then_start)
{
  struct jl_timers *timers = jl_timers_new ();
  GString *log = g_string_new ("");
  struct log_timer items[5] = { { .name = 'a' },
                                { .name = 'b' },
                                { .name = 'c' },
                                { .name = 'd' },
                                { .name = 'e' } };
  uint64_t due[5] = { 30, 10, 20, 10, 40 };

  for (int i = 0; i < 5; i++)
    jl_timer_start (timers, &items[i].timer, due[i], append_name, log);
  jl_timer_stop (timers, &items[2].timer);
  cr_assert_eq (jl_timers_next (timers), 10);
  jl_timers_run (timers, 30);
  cr_assert_str_eq (log->str, "bda");
  jl_timer_start (timers, &items[4].timer, 31, append_name, log);
  jl_timers_run (timers, 31);
  cr_assert_str_eq (log->str, "bdae");
  cr_assert_eq (jl_timers_next (timers), UINT64_MAX);
  g_string_free (log, TRUE);
  jl_timers_drop (timers);
}
