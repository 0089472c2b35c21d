/**
 * DOC: A simulation of one target deep in the call graph.
 */

#include "proxy/parts/model.h"

#include <string.h>

void
model_init (struct model *model, unsigned limit, double hold_us)
{
  memset (model, 0, sizeof *model);
  jl_lane_init (&model->lane);
  jl_load_shedder_init (&model->shedder);
  model->lane.limit = limit;
  model->hold_us = hold_us;
}

static void
start_run (struct model *model)
{
  unsigned hold = (unsigned)(model->hold_us / STEP_US);

  model->ending[(model->step + hold) % G_N_ELEMENTS (model->ending)]++;
}

static void
receive_request (struct model *model)
{
  struct jl_lane_item *item = g_new0 (struct jl_lane_item, 1);
  uint64_t now_us = (uint64_t)model->step * STEP_US;

  item->rank = 1;
  item->arrived_us = now_us;
  item->expires_us = now_us + 700 * JL_USEC_PER_MSEC;
  jl_load_shedder_count_arrival (&model->shedder);
  if (jl_lane_submit (&model->lane, item))
    {
      start_run (model);
      g_free (item);
    }
}

static void
run_queue (struct model *model)
{
  uint64_t now_us = (uint64_t)model->step * STEP_US;
  struct jl_lane_item *item;

  while ((item = jl_lane_take_expired (&model->lane, now_us,
                                       (uint64_t)model->hold_us))
         != NULL)
    {
      model->expired++;
      g_free (item);
    }
  while ((item = jl_lane_take_next (&model->lane)) != NULL)
    {
      start_run (model);
      g_free (item);
    }
}

bool
model_offer (struct model *model)
{
  model->offered++;
  if (g_random_double () >= model->shedder.shed_share)
    return true;
  model->refused++;
  return false;
}

void
model_admit (struct model *model)
{
  model->in_transit[(model->step + DELAY_STEPS - 1) % DELAY_STEPS]++;
}

void
model_step (struct model *model, double rate)
{
  unsigned *ending = &model->ending[model->step % G_N_ELEMENTS (model->ending)];
  unsigned *arriving = &model->in_transit[model->step % DELAY_STEPS];

  for (; *ending > 0; (*ending)--)
    {
      jl_lane_finish (&model->lane);
      jl_load_shedder_record_hold (&model->shedder, (uint64_t)model->hold_us);
      model->served++;
    }
  for (; *arriving > 0; (*arriving)--)
    receive_request (model);
  run_queue (model);
  for (model->arrivals_due += rate * STEP_US / 1e6; model->arrivals_due >= 1;
       model->arrivals_due--)
    if (model_offer (model))
      model_admit (model);
  model->step++;
  model->waiting_sum += model->lane.waiting;
  if (model->step % (JL_CONTROL_WINDOW_US / STEP_US) == 0)
    jl_load_shedder_end_window (&model->shedder, model->lane.limit,
                                model->lane.waiting);
}

void
model_run (struct model *model, double rate, double seconds)
{
  for (unsigned i = 0; i < seconds * 1e6 / STEP_US; i++)
    model_step (model, rate);
}
