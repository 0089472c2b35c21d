/**
 * DOC: Plays loads against the decisions and checks what callers get.
 *
 * A small model of one deep service: requests are admitted at entries, reach
 * the service some time later, wait in its lane and run. Time is virtual.
 */

#include <criterion/criterion.h>
#include <math.h>

#include "policy/failing.h"
#include "policy/fanout.h"
#include "policy/lane.h"
#include "policy/origin.h"
#include "policy/pressure.h"

#define STEP_US 1000
#define DELAY_STEPS 200

/**
 * struct model - one target, its lane and its entries
 * @hold_us: time for which a request holds a slot
 * @pending: admitted requests, by the step at which they arrive
 */
struct model
{
  struct jl_lane lane;
  struct jl_pressure pressure;
  double hold_us;
  unsigned pending[DELAY_STEPS];
  unsigned finishing[4096];
  double owed;
  uint64_t offered;
  uint64_t refused;
  uint64_t served;
  uint64_t late;
  uint64_t waiting;
  unsigned step;
};

static void
model_init (struct model *model, unsigned limit, double hold_us)
{
  memset (model, 0, sizeof *model);
  jl_lane_init (&model->lane);
  jl_pressure_init (&model->pressure);
  model->lane.limit = limit;
  model->hold_us = hold_us;
}

static void
run_one (struct model *model)
{
  unsigned hold = (unsigned)(model->hold_us / STEP_US);

  model->finishing[(model->step + hold) % G_N_ELEMENTS (model->finishing)]++;
}

static void
arrive_one (struct model *model)
{
  struct jl_lane_item *item = g_new0 (struct jl_lane_item, 1);
  uint64_t now_us = (uint64_t)model->step * STEP_US;

  item->rank = 1;
  item->since_us = now_us;
  item->expires_us = now_us + 700 * JL_USEC_PER_MSEC;
  jl_pressure_arrive (&model->pressure);
  if (jl_lane_arrive (&model->lane, item))
    {
      run_one (model);
      g_free (item);
    }
}

static void
pump (struct model *model)
{
  uint64_t now_us = (uint64_t)model->step * STEP_US;
  struct jl_lane_item *item;

  while (
      (item = jl_lane_expired (&model->lane, now_us, (uint64_t)model->hold_us))
      != NULL)
    {
      model->late++;
      g_free (item);
    }
  while ((item = jl_lane_next (&model->lane)) != NULL)
    {
      run_one (model);
      g_free (item);
    }
}

/* One step of 1 ms in which @rate requests a second are offered. */
static void
model_step (struct model *model, double rate)
{
  unsigned *slot
      = &model->finishing[model->step % G_N_ELEMENTS (model->finishing)];
  unsigned *pending = &model->pending[model->step % DELAY_STEPS];

  for (; *slot > 0; (*slot)--)
    {
      jl_lane_done (&model->lane);
      jl_pressure_done (&model->pressure, (uint64_t)model->hold_us);
      model->served++;
    }
  for (; *pending > 0; (*pending)--)
    arrive_one (model);
  pump (model);
  for (model->owed += rate * STEP_US / 1e6; model->owed >= 1; model->owed--)
    {
      model->offered++;
      if (g_random_double () < model->pressure.shed)
        model->refused++;
      else
        model->pending[(model->step + DELAY_STEPS - 1) % DELAY_STEPS]++;
    }
  model->step++;
  model->waiting += model->lane.waiting;
  if (model->step % (JL_PRESSURE_WINDOW_US / STEP_US) == 0)
    jl_pressure_window (&model->pressure, model->lane.limit,
                        model->lane.waiting);
}

static void
play (struct model *model, double rate, double seconds)
{
  for (unsigned i = 0; i < seconds * 1e6 / STEP_US; i++)
    model_step (model, rate);
}

Test (load, a_usual_load_is_not_refused)
{
  struct model model;

  g_random_set_seed (1);
  model_init (&model, 14, 24000);
  play (&model, 400, 10);
  cr_assert_eq (model.refused, 0, "%" PRIu64 " refused", model.refused);
  cr_assert_eq (model.late, 0);
}

/* A burst of 1.7 times the load, for 20 s, as most days begin with. */
Test (load, a_burst_is_refused_at_its_entry_and_not_in_the_lane)
{
  struct model model;
  double capacity = 14 / 0.024;
  double fitting;

  g_random_set_seed (1);
  model_init (&model, 14, 24000);
  play (&model, 0.8 * capacity, 5);
  model.served = model.offered = model.refused = model.late = 0;
  model.waiting = 0;
  play (&model, 1.36 * capacity, 20);
  fitting = capacity * 20;
  cr_assert_gt (model.served, 0.95 * fitting, "%" PRIu64 " of %.0f served",
                model.served, fitting);
  /* Several calls in a row have to fit into the goal of their request. */
  cr_assert_lt ((double)model.waiting / 20000 / capacity, 0.05,
                "they wait for %.0f ms on average",
                (double)model.waiting / 20 / capacity);
  /* What is begun and then given up was wasted above. */
  cr_assert_lt (model.late, 0.02 * (double)model.offered, "%" PRIu64 " late",
                model.late);
}

Test (load, after_a_burst_all_are_let_in_again)
{
  struct model model;
  double capacity = 14 / 0.024;

  g_random_set_seed (1);
  model_init (&model, 14, 24000);
  play (&model, 1.7 * capacity, 10);
  play (&model, 0.6 * capacity, 5);
  model.offered = model.refused = 0;
  play (&model, 0.6 * capacity, 5);
  cr_assert_lt (model.refused, 0.01 * (double)model.offered);
}

/* Runs of two kinds make calls of one kind: 2 and 1 each. */
Test (load, fanout_is_learned_from_counts)
{
  struct jl_fanout fanout;
  struct jl_fanout_entry entries[8];
  unsigned count;

  g_random_set_seed (2);
  jl_fanout_init (&fanout);
  for (unsigned window = 0; window < 80; window++)
    {
      unsigned first = (unsigned)g_random_int_range (5, 20);
      unsigned second = (unsigned)g_random_int_range (2, 9);

      for (unsigned i = 0; i < first; i++)
        jl_fanout_run (&fanout, 1);
      for (unsigned i = 0; i < second; i++)
        jl_fanout_run (&fanout, 2);
      for (unsigned i = 0; i < first * 2 + second; i++)
        jl_fanout_call (&fanout, 7);
      jl_fanout_window (&fanout);
    }
  count = jl_fanout_list (&fanout, entries, 8);
  cr_assert_eq (count, 2);
  for (unsigned i = 0; i < count; i++)
    {
      double wanted = entries[i].run == 1 ? 2 : 1;

      cr_assert_eq (entries[i].call, 7);
      cr_assert_lt (fabs (entries[i].calls - wanted), 0.25, "run %u: %f",
                    entries[i].run, entries[i].calls);
    }
}

Test (load, a_route_that_one_service_never_sees_carries_calls)
{
  struct jl_arrivals arrivals = { 0 };

  jl_arrivals_add (&arrivals, 1, 30);
  cr_assert_not (jl_arrivals_lack (&arrivals, 2), "too little was seen");
  jl_arrivals_add (&arrivals, 1, 30);
  cr_assert (jl_arrivals_lack (&arrivals, 2));
  cr_assert_not (jl_arrivals_lack (&arrivals, 1));
  for (unsigned i = 0; i < 200; i++)
    jl_arrivals_fade (&arrivals);
  cr_assert_eq (arrivals.count, 0);
}

/* Half of the runs fail, all since their calls do: not the target's fault. */
Test (load, failures_further_down_are_not_held_against_a_target)
{
  struct jl_failing failing = { 0 };

  for (unsigned i = 0; i < 400; i++)
    {
      jl_failing_run (&failing, i % 2 == 0);
      if (i % 2 == 0)
        jl_failing_call (&failing);
      if (i % 10 == 0)
        jl_failing_fade (&failing);
    }
  cr_assert_lt (jl_failing_share (&failing), 0.05);
  for (unsigned i = 0; i < 400; i++)
    {
      jl_failing_run (&failing, i % 2 == 0);
      if (i % 10 == 0)
        jl_failing_fade (&failing);
    }
  cr_assert_gt (jl_failing_share (&failing), 0.3);
  for (unsigned i = 0; i < 100; i++)
    jl_failing_fade (&failing);
  cr_assert_lt (jl_failing_share (&failing), 0.1, "it must be tried again");
}
