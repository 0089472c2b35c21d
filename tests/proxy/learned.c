/**
 * DOC: Tests of the calls for each run that a daemon keeps in the store, so
 * that they are known after a start of all daemons.
 */

#include <criterion/criterion.h>

#include <string.h>

#include "policy/fanout.h"
#include "proxy/parts/rig.h"

#define RUN_ROUTE 11
#define CALL_ROUTE 22
#define CALLS_PER_RUN 4
/* Time in which a daemon learns the calls and writes them. */
#define LEARNING_MS 4000
/* Time after its start in which a daemon knows what an earlier one has learned.
 */
#define RESTORED_MS 300
/* Writes of a daemon that learns the same all the time: its own row and that of
 * its target. */
#define WRITES_MAX 2

/* Lets the target run requests that each make the same number of calls. */
static void
run_requests (struct rig *rig, unsigned ms)
{
  for (unsigned i = 0; i < ms; i += 50)
    {
      for (unsigned j = 0; j < 3; j++)
        jl_fanout_count_run (&rig->proxy->fanout, RUN_ROUTE);
      for (unsigned j = 0; j < 3 * CALLS_PER_RUN; j++)
        jl_fanout_count_call (&rig->proxy->fanout, CALL_ROUTE);
      rig_run (rig, 50);
    }
}

static double
known_calls (const struct rig *rig)
{
  const struct jl_member *self = rig->proxy->self;

  for (unsigned i = 0; i < self->fanout_count; i++)
    if (self->fanout[i].run == RUN_ROUTE && self->fanout[i].call == CALL_ROUTE)
      return self->fanout[i].calls;
  return 0;
}

static const char *
target_row (struct rig *rig)
{
  return fake_store_get (&rig->store, "targets", "d5");
}

Test (learned, the_calls_of_a_run_are_known_at_once_after_a_start_of_all)
{
  struct rig rig;
  struct rig again;
  char *row;

  rig_prepare (&rig, 93);
  rig_start_now (&rig);
  run_requests (&rig, LEARNING_MS);
  cr_assert_not_null (target_row (&rig));
  row = g_strdup (target_row (&rig));
  rig_prepare (&again, 94);
  fake_store_put (&again.store, "targets", "d5", row);
  rig_start_now (&again);
  rig_run (&again, RESTORED_MS);
  cr_assert_float_eq (known_calls (&again), CALLS_PER_RUN, 0.5);
  g_free (row);
}

Test (learned, calls_that_stay_the_same_are_written_once)
{
  struct rig rig;

  rig_prepare (&rig, 95);
  rig_start_now (&rig);
  run_requests (&rig, LEARNING_MS);
  rig.proxy->learned.written_us -= 60 * JL_USEC_PER_SEC;
  run_requests (&rig, 1000);
  cr_assert_not_null (target_row (&rig));
  cr_assert_leq (rig.store.writes, WRITES_MAX, "%u writes", rig.store.writes);
}

Test (learned, one_daemon_of_a_service_in_a_zone_writes)
{
  struct rig rig;
  struct jl_member *first;

  rig_prepare (&rig, 96);
  rig_start_now (&rig);
  first = rig_add_member (&rig, "d1", "z1", "front");
  for (unsigned i = 0; i < LEARNING_MS; i += 500)
    {
      first->last_beacon_us = jl_now ();
      run_requests (&rig, 500);
    }
  cr_assert_gt (known_calls (&rig), 0);
  cr_assert_null (target_row (&rig));
}

/* A leave that was acknowledged must stay in the row that both share. */
Test (learned, a_leave_stays_in_the_row_although_the_row_could_not_be_read)
{
  struct rig rig;

  rig_prepare (&rig, 97);
  fake_store_put (&rig.store, "targets", "d5",
                  "{\"left\":[{\"target\":\"i-old\",\"born_ms\":1}]}");
  rig.store.silent_table = "targets";
  rig_start_now (&rig);
  run_requests (&rig, LEARNING_MS);
  cr_assert_not_null (strstr (target_row (&rig), "i-old"));
  cr_assert_not_null (strstr (target_row (&rig), "calls"));
}

Test (learned, malformed_entries_are_ignored)
{
  struct rig rig;

  rig_prepare (&rig, 98);
  fake_store_put (&rig.store, "targets", "d5",
                  "{\"calls\":[7,[1],[1,2,\"x\"],[1,2,-5],[1,2,1e12],"
                  "[11,22,3000]]}");
  rig_start_now (&rig);
  rig_run (&rig, RESTORED_MS);
  cr_assert_eq (rig.proxy->self->fanout_count, 1);
  cr_assert_float_eq (known_calls (&rig), 3, 0.01);
}

Test (learned, what_is_learned_already_is_kept)
{
  struct jl_fanout fanout;
  struct jl_fanout_entry old = { RUN_ROUTE, CALL_ROUTE, 9 };
  struct jl_fanout_entry now = { RUN_ROUTE, CALL_ROUTE, 4 };

  jl_fanout_init (&fanout);
  cr_assert (jl_fanout_restore (&fanout, &now));
  cr_assert_not (jl_fanout_restore (&fanout, &old));
  cr_assert (jl_fanout_differs (&old, 1, &now, 1));
  now.calls = 8;
  cr_assert_not (jl_fanout_differs (&old, 1, &now, 1));
  cr_assert (jl_fanout_differs (&old, 1, NULL, 0));
}
