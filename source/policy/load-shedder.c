/**
 * DOC: Computes the share of the demand for a target that entries should
 * refuse.
 */

#include "policy/load-shedder.h"

#include <math.h>
#include <string.h>

/* Weight of a new hold time in the moving average. */
#define HOLD_WEIGHT 0.03
/* Weight of a window in the moving average of the arrival rate. */
#define RATE_WEIGHT 0.25
/* Utilization up to which capacity is offered to other zones. */
#define SPARE_UTILIZATION 0.85
/* Time in which the queue should reach the desired length, in seconds. */
#define QUEUE_CORRECTION_S 0.5
/* Desired queue length for each slot that the capacity uses. It keeps the
 * target busy while arrivals fluctuate. */
#define QUEUE_PER_SLOT 0.6
/* Fraction of the difference to the computed share by which one window raises
 * or lowers the shed share. */
#define STEP_UP_SHARE 0.5
#define STEP_DOWN_SHARE 0.2
/* Maximum shed share. The admitted requests are needed to measure the demand.
 */
#define SHED_SHARE_MAX 0.995
/* A smaller shed share becomes 0 once no demand has to be refused. */
#define SHED_SHARE_MIN 0.01

void
jl_load_shedder_init (struct jl_load_shedder *shedder)
{
  memset (shedder, 0, sizeof *shedder);
  shedder->spare_share = 1;
  shedder->admitted_share = 1;
  shedder->rate_limit = INFINITY;
  shedder->first_holds = JL_NONE;
  for (unsigned i = 0; i < JL_CONTROL_DELAY_WINDOWS; i++)
    shedder->admitted_history[i] = 1;
}

void
jl_load_shedder_count_arrival (struct jl_load_shedder *shedder)
{
  shedder->arrivals++;
}

void
jl_load_shedder_discount_arrival (struct jl_load_shedder *shedder)
{
  if (shedder->arrivals > 0)
    shedder->arrivals--;
}

void
jl_load_shedder_record_hold (struct jl_load_shedder *shedder, uint64_t hold_us)
{
  double held = (double)hold_us;
  double weight = HOLD_WEIGHT;

  if (shedder->first_holds != JL_NONE)
    {
      shedder->first_holds++;
      weight = MAX (weight, 1.0 / shedder->first_holds);
    }
  if (weight <= HOLD_WEIGHT)
    shedder->first_holds = JL_NONE;
  if (shedder->hold_us <= 0)
    shedder->hold_us = held;
  else
    shedder->hold_us += weight * (held - shedder->hold_us);
}

void
jl_load_shedder_restart (struct jl_load_shedder *shedder, bool cold)
{
  if (cold)
    shedder->hold_us *= JL_COLD_HOLD_FACTOR;
  shedder->first_holds = 0;
}

double
jl_load_shedder_capacity (const struct jl_load_shedder *shedder, unsigned limit)
{
  double capacity = INFINITY;

  if (shedder->hold_us > 0)
    capacity = limit * (double)JL_USEC_PER_SEC / shedder->hold_us;
  capacity = fmin (capacity, shedder->rate_limit);
  return isfinite (capacity) ? capacity : 0;
}

unsigned
jl_load_shedder_used_slots (const struct jl_load_shedder *shedder,
                            unsigned limit)
{
  double used
      = ceil (shedder->rate_limit * shedder->hold_us / (double)JL_USEC_PER_SEC);

  if (!isfinite (shedder->rate_limit))
    return limit;
  return (unsigned)CLAMP (used, 1, MAX (limit, 1));
}

/* Returns the arrivals a second that bring the queue to the desired length. */
static double
desired_rate (double capacity, unsigned used_slots, unsigned waiting)
{
  double backlog = waiting - QUEUE_PER_SLOT * used_slots;

  return MAX (capacity - backlog / QUEUE_CORRECTION_S, 0);
}

/* Averages the admitted share of JL_CONTROL_DELAY_WINDOWS windows ago, which
 * shows in the arrivals of this window, and stores the current one. */
static void
update_admitted_share (struct jl_load_shedder *shedder)
{
  double *slot
      = &shedder->admitted_history[shedder->window % JL_CONTROL_DELAY_WINDOWS];

  shedder->admitted_share += RATE_WEIGHT * (*slot - shedder->admitted_share);
  *slot = 1 - shedder->shed_share;
  shedder->window++;
}

static void
update_shed_share (struct jl_load_shedder *shedder, double desired)
{
  double demand = shedder->arrival_rate / shedder->admitted_share;
  double shed = demand > desired ? 1 - desired / demand : 0;
  double step = shed > shedder->shed_share ? STEP_UP_SHARE : STEP_DOWN_SHARE;

  shedder->shed_share += step * (shed - shedder->shed_share);
  if (shed <= 0 && shedder->shed_share < SHED_SHARE_MIN)
    shedder->shed_share = 0;
  shedder->shed_share = MIN (shedder->shed_share, SHED_SHARE_MAX);
}

void
jl_load_shedder_end_window (struct jl_load_shedder *shedder,
                            unsigned limit,
                            unsigned waiting)
{
  double capacity = jl_load_shedder_capacity (shedder, limit);
  double rate = shedder->arrivals * (double)JL_USEC_PER_SEC
                / (double)JL_CONTROL_WINDOW_US;

  shedder->arrivals = 0;
  shedder->arrival_rate += RATE_WEIGHT * (rate - shedder->arrival_rate);
  update_admitted_share (shedder);
  if (capacity <= 0)
    return;
  update_shed_share (shedder,
                     desired_rate (capacity,
                                   jl_load_shedder_used_slots (shedder, limit),
                                   waiting));
  shedder->spare_share
      = CLAMP (SPARE_UTILIZATION - shedder->arrival_rate / capacity, 0, 1);
}
