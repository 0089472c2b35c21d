#ifndef TESTS_PROXY_MODEL_H
#define TESTS_PROXY_MODEL_H

/**
 * DOC: A simulation of one target deep in the call graph.
 *
 * Requests are admitted at entries, reach the target some time later, wait in
 * its lane and run. Time is virtual.
 */

#include "policy/lane.h"
#include "policy/load-shedder.h"

/* Virtual time of one step. */
#define STEP_US 1000
/* Steps from the admission of a request to its arrival at the target. */
#define DELAY_STEPS 200

/**
 * struct model - one target, its lane and its entries
 * @hold_us: time for which a request holds a slot
 * @in_transit: ring of admitted requests, by the step at which they arrive
 * @ending: ring of running requests, by the step at which they end
 * @arrivals_due: requests due to be offered, with a fraction of one
 * @offered: requests offered at entries
 * @refused: requests that entries refused
 * @served: requests that have run
 * @expired: requests that were removed from the queue because they could not
 *           end in time
 * @waiting_sum: queue lengths, summed over all steps
 * @step: number of steps so far
 */
struct model
{
  struct jl_lane lane;
  struct jl_load_shedder shedder;
  double hold_us;
  unsigned in_transit[DELAY_STEPS];
  unsigned ending[4096];
  double arrivals_due;
  uint64_t offered;
  uint64_t refused;
  uint64_t served;
  uint64_t expired;
  uint64_t waiting_sum;
  unsigned step;
};

void model_init (struct model *model, unsigned limit, double hold_us);

/**
 * model_offer - offers one request at an entry, which may refuse it
 *
 * Return: whether the request was admitted.
 */
bool model_offer (struct model *model);

/**
 * model_admit - sends an admitted request to the target
 */
void model_admit (struct model *model);

/**
 * model_step - runs one step in which @rate requests a second are offered
 */
void model_step (struct model *model, double rate);

/**
 * model_run - runs steps for @seconds of virtual time
 */
void model_run (struct model *model, double rate, double seconds);

#endif
