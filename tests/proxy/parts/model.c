/**
 * DOC: A small model of one deep target.
 */

#include "proxy/parts/model.h"

#include <string.h>

void
model_init (struct model *model, unsigned limit, double hold_us)
{
  memset (model, 0, sizeof *model);
  jl_lane_init (&model->lane);
  jl_load_shedder_init (&model->pressure);
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
  jl_load_shedder_count_arrival (&model->pressure);
  if (jl_lane_submit (&model->lane, item))
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

  while ((item = jl_lane_take_expired (&model->lane, now_us,
                                       (uint64_t)model->hold_us))
         != NULL)
    {
      model->late++;
      g_free (item);
    }
  while ((item = jl_lane_take_next (&model->lane)) != NULL)
    {
      run_one (model);
      g_free (item);
    }
}

bool
model_offer (struct model *model)
{
  model->offered++;
  if (g_random_double () >= model->pressure.shed)
    return true;
  model->refused++;
  return false;
}

void
model_admit (struct model *model)
{
  model->pending[(model->step + DELAY_STEPS - 1) % DELAY_STEPS]++;
}

void
model_step (struct model *model, double rate)
{
  unsigned *slot
      = &model->finishing[model->step % G_N_ELEMENTS (model->finishing)];
  unsigned *pending = &model->pending[model->step % DELAY_STEPS];

  for (; *slot > 0; (*slot)--)
    {
      jl_lane_finish (&model->lane);
      jl_load_shedder_record_hold (&model->pressure, (uint64_t)model->hold_us);
      model->served++;
    }
  for (; *pending > 0; (*pending)--)
    arrive_one (model);
  pump (model);
  for (model->owed += rate * STEP_US / 1e6; model->owed >= 1; model->owed--)
    if (model_offer (model))
      model_admit (model);
  model->step++;
  model->waiting += model->lane.waiting;
  if (model->step % (JL_CONTROL_WINDOW_US / STEP_US) == 0)
    jl_load_shedder_end_window (&model->pressure, model->lane.limit,
                                model->lane.waiting);
}

void
model_play (struct model *model, double rate, double seconds)
{
  for (unsigned i = 0; i < seconds * 1e6 / STEP_US; i++)
    model_step (model, rate);
}
