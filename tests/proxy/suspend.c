/**
 * DOC: Tests with a machine that is suspended for some time: CLOCK_MONOTONIC
 * does not count it, CLOCK_BOOTTIME does.
 */

#include <criterion/criterion.h>

#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "proxy/freshness.h"
#include "proxy/parts/rig.h"

#define SUSPENDED_S 30

/* Time for which the machine seems to have been suspended. */
static time_t suspended_s;

/* Takes the place of the function of the C library. */
int
clock_gettime (clockid_t clock, struct timespec *now)
{
  int result = (int)syscall (SYS_clock_gettime, clock, now);

  if (clock == CLOCK_BOOTTIME)
    now->tv_sec += suspended_s;
  return result;
}

/* An answer of the store that came before the suspension, or during it, must
 * not pass for news. */
Test (suspend, what_was_known_before_a_suspension_is_old_after_it)
{
  struct rig rig;

  rig_prepare (&rig, 90);
  rig_start (&rig);
  rig_install_call_route (&rig);
  jl_freshness_confirm (rig.proxy->freshness, jl_now ());
  suspended_s = SUSPENDED_S;
  cr_assert_geq (jl_freshness_age_ms (rig.proxy->freshness),
                 (uint64_t)SUSPENDED_S * 1000);
}

Test (suspend, a_member_that_was_heard_before_a_suspension_is_silent_after_it)
{
  struct rig rig;
  struct jl_member *other;

  rig_prepare (&rig, 91);
  rig_start (&rig);
  other = rig_add_member (&rig, "d1", "z1", "front");
  cr_assert (jl_member_is_alive (other, jl_now ()));
  suspended_s = SUSPENDED_S;
  cr_assert_not (jl_member_is_alive (other, jl_now ()));
}

static void
count_fired (void *context, struct jl_timer *timer)
{
  (void)timer;
  ++*(unsigned *)context;
}

Test (suspend, a_timer_that_was_due_in_a_suspension_ends_after_it)
{
  struct rig rig;
  struct jl_timer timer = { 0 };
  unsigned fired = 0;

  rig_prepare (&rig, 92);
  rig_start (&rig);
  jl_loop_start_timer (rig.proxy->loop, &timer, 10 * JL_USEC_PER_SEC,
                       count_fired, &fired);
  rig_run (&rig, 300);
  cr_assert_eq (fired, 0);
  suspended_s = SUSPENDED_S;
  rig_run (&rig, 300);
  cr_assert_eq (fired, 1);
}
