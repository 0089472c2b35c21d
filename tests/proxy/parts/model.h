#ifndef TESTS_PROXY_MODEL_H
#define TESTS_PROXY_MODEL_H

/**
 * DOC: A small model of one deep target: requests are admitted at entries,
 * reach the target some time later, wait in its lane and run. Time is virtual.
 */

#include "policy/lane.h"
#include "policy/load-shedder.h"

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
  struct jl_load_shedder pressure;
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

void model_init (struct model *model, unsigned limit, double hold_us);

/**
 * model_offer - one request at an entry, which may refuse it
 *
 * Return: whether it was let in.
 */
bool model_offer (struct model *model);

/**
 * model_admit - a request that was let in is on its way to the target
 */
void model_admit (struct model *model);

/**
 * model_step - one step in which @rate requests a second are offered
 */
void model_step (struct model *model, double rate);

void model_play (struct model *model, double rate, double seconds);

#endif
