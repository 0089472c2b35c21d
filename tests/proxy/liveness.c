/**
 * DOC: Tests of the decision whether the local target has ended.
 */

#include <criterion/criterion.h>

#include "policy/liveness.h"

#define MS JL_USEC_PER_MSEC
/* Period of the checks, as in the proxy. */
#define CHECK_US (20 * MS)
#define HEARTBEAT_US (400 * MS)
#define BEGIN_US (1000 * MS)

/**
 * struct rig - a target, and the requests in progress there
 * @probe_becomes: state of each probe after the next check
 * @heartbeats: the target sends heartbeats
 * @probes: probes opened so far
 */
struct rig
{
  struct jl_liveness liveness;
  struct jl_liveness_view view;
  enum jl_probe_state probe_becomes;
  bool heartbeats;
  unsigned probes;
  uint64_t now_us;
};

static void
rig_begin (struct rig *rig, enum jl_probe_state probe_becomes)
{
  *rig = (struct rig){ .probe_becomes = probe_becomes, .now_us = BEGIN_US };
  rig->liveness.heartbeat_interval_us = HEARTBEAT_US;
  rig->view.heartbeat_us = BEGIN_US;
  jl_liveness_begin (&rig->liveness, BEGIN_US);
}

static void
run_request (struct rig *rig)
{
  if (rig->view.running++ == 0)
    rig->view.oldest_us = rig->now_us;
}

static void
lose_request (struct rig *rig)
{
  rig->view.running--;
  jl_liveness_count_break (&rig->liveness, rig->now_us);
}

/* Runs checks for @ms. Returns how the target was found to have ended; sets
 * *@alive if it was found to live. */
static enum jl_target_end
check_for (struct rig *rig, unsigned ms, bool *alive)
{
  uint64_t until_us = rig->now_us + ms * MS;

  *alive = false;
  for (; rig->now_us <= until_us; rig->now_us += CHECK_US)
    {
      struct jl_liveness_result result
          = jl_liveness_check (&rig->liveness, &rig->view, rig->now_us);

      *alive |= result.alive;
      if (result.end != JL_TARGET_END_NONE)
        return result.end;
      if (rig->view.probe == JL_PROBE_CONNECTING)
        rig->view.probe = rig->probe_becomes;
      if (result.close_probe)
        rig->view.probe = JL_PROBE_NONE;
      if (result.open_probe)
        {
          rig->view.probe = JL_PROBE_CONNECTING;
          rig->probes++;
        }
      if (rig->heartbeats)
        rig->view.heartbeat_us = rig->now_us;
    }
  return JL_TARGET_END_NONE;
}

Test (liveness, a_lost_answer_does_not_end_a_target_that_sends_heartbeats)
{
  struct rig rig;
  bool alive;

  rig_begin (&rig, JL_PROBE_CONNECTED);
  rig.heartbeats = true;
  run_request (&rig);
  lose_request (&rig);
  cr_assert_eq (check_for (&rig, 2000, &alive), JL_TARGET_END_NONE);
  cr_assert (alive);
  cr_assert_eq (rig.probes, 1);
}

Test (liveness, a_target_that_refuses_or_resets_connections_has_ended)
{
  struct rig rig;
  bool alive;

  rig_begin (&rig, JL_PROBE_REFUSED);
  run_request (&rig);
  lose_request (&rig);
  cr_assert_eq (check_for (&rig, 100, &alive), JL_TARGET_END_REFUSED);

  rig_begin (&rig, JL_PROBE_CLOSED);
  run_request (&rig);
  lose_request (&rig);
  cr_assert_eq (check_for (&rig, 100, &alive), JL_TARGET_END_RESET);
}

Test (liveness, a_full_target_that_resets_new_connections_has_not_ended)
{
  struct rig rig;
  bool alive;

  rig_begin (&rig, JL_PROBE_CLOSED);
  run_request (&rig);
  run_request (&rig);
  rig.now_us += CHECK_US;
  lose_request (&rig);
  cr_assert_eq (check_for (&rig, 200, &alive), JL_TARGET_END_NONE);
  jl_liveness_count_response (&rig.liveness, BEGIN_US, rig.now_us);
  rig.view.running = 0;
  cr_assert_eq (check_for (&rig, 2000, &alive), JL_TARGET_END_NONE);
}

Test (liveness, a_connection_that_is_accepted_and_closed_later_shows_no_life)
{
  struct rig rig;
  bool alive;

  rig_begin (&rig, JL_PROBE_CONNECTED);
  run_request (&rig);
  lose_request (&rig);
  cr_assert_eq (check_for (&rig, 120, &alive), JL_TARGET_END_NONE);
  cr_assert_not (alive);
  rig.view.probe = JL_PROBE_CLOSED;
  cr_assert_eq (check_for (&rig, 40, &alive), JL_TARGET_END_RESET);
}

Test (liveness, a_target_without_connections_has_ended)
{
  struct rig rig;
  bool alive;

  rig_begin (&rig, JL_PROBE_CONNECTING);
  run_request (&rig);
  cr_assert_eq (check_for (&rig, 700, &alive), JL_TARGET_END_UNREACHABLE);
  cr_assert_geq (rig.now_us, BEGIN_US + 550 * MS);
}

Test (liveness, a_target_without_answers_and_heartbeats_has_ended)
{
  struct rig rig;
  bool alive;

  rig_begin (&rig, JL_PROBE_CONNECTED);
  run_request (&rig);
  cr_assert_eq (check_for (&rig, 1100, &alive), JL_TARGET_END_SILENT);
  cr_assert_geq (rig.now_us, BEGIN_US + 1000 * MS);
}

Test (liveness, a_slow_target_with_heartbeats_has_not_ended)
{
  struct rig rig;
  bool alive;

  rig_begin (&rig, JL_PROBE_CONNECTED);
  rig.heartbeats = true;
  run_request (&rig);
  cr_assert_eq (check_for (&rig, 5000, &alive), JL_TARGET_END_NONE);
  cr_assert_leq (rig.probes, 10);
}

Test (liveness, a_pause_of_this_process_is_no_silence_of_the_target)
{
  struct rig rig;
  bool alive;

  rig_begin (&rig, JL_PROBE_CONNECTING);
  run_request (&rig);
  cr_assert_eq (check_for (&rig, 320, &alive), JL_TARGET_END_NONE);
  rig.now_us += 3000 * MS;
  rig.probe_becomes = JL_PROBE_CONNECTED;
  rig.heartbeats = true;
  cr_assert_eq (check_for (&rig, 200, &alive), JL_TARGET_END_NONE);
}
