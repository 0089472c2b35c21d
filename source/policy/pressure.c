/**
 * DOC: How much of the demand for a target should be refused at its entries.
 */

#include "policy/pressure.h"

#include <string.h>

/* Weight of a new hold time in the smoothed one. */
#define HOLD_WEIGHT 0.03
/* Weight of a window in the smoothed rate. */
#define RATE_WEIGHT 0.25
/* Use of the capacity up to which other zones are let in. */
#define ROOM_BELOW 0.85
/* Time in which the queue should come to the wanted length, in seconds. */
#define BACKLOG_S 0.5
/* Queue that keeps the target busy through chance, in requests a slot. */
#define QUEUE_WANTED 0.6
/* Part of the way to the wanted share that one window goes. */
#define STEP_UP 0.5
#define STEP_DOWN 0.2
/* Largest share that is refused, so that something still shows the demand. */
#define SHED_MAX 0.995
/* A smaller share is none. */
#define SHED_LEAST 0.01

void
jl_pressure_init (struct jl_pressure *pressure)
{
  memset (pressure, 0, sizeof *pressure);
  pressure->room = 1;
  pressure->passed = 1;
  for (unsigned i = 0; i < JL_PRESSURE_DELAY; i++)
    pressure->history[i] = 1;
}

void
jl_pressure_arrive (struct jl_pressure *pressure)
{
  pressure->arrivals++;
}

void
jl_pressure_done (struct jl_pressure *pressure, uint64_t held_us)
{
  double held = (double)held_us;

  if (pressure->hold_us <= 0)
    pressure->hold_us = held;
  else
    pressure->hold_us += HOLD_WEIGHT * (held - pressure->hold_us);
}

double
jl_pressure_capacity (const struct jl_pressure *pressure, unsigned limit)
{
  if (pressure->hold_us <= 0)
    return 0;
  return limit * (double)JL_USEC_PER_SEC / pressure->hold_us;
}

/* Arrivals a second that bring the queue to the wanted length. */
static double
wanted_rate (double capacity, unsigned limit, unsigned waiting)
{
  double backlog = waiting - QUEUE_WANTED * limit;

  return MAX (capacity - backlog / BACKLOG_S, 0);
}

/* The share let in some windows ago is what shows in the arrivals now. */
static void
update_passed (struct jl_pressure *pressure)
{
  double *slot = &pressure->history[pressure->window % JL_PRESSURE_DELAY];

  pressure->passed += RATE_WEIGHT * (*slot - pressure->passed);
  *slot = 1 - pressure->shed;
  pressure->window++;
}

static void
control (struct jl_pressure *pressure, double wanted)
{
  double demand = pressure->rate / pressure->passed;
  double shed = demand > wanted ? 1 - wanted / demand : 0;
  double step = shed > pressure->shed ? STEP_UP : STEP_DOWN;

  pressure->shed += step * (shed - pressure->shed);
  if (shed <= 0 && pressure->shed < SHED_LEAST)
    pressure->shed = 0;
  pressure->shed = MIN (pressure->shed, SHED_MAX);
}

void
jl_pressure_window (struct jl_pressure *pressure,
                    unsigned limit,
                    unsigned waiting)
{
  double capacity = jl_pressure_capacity (pressure, limit);
  double rate = pressure->arrivals * (double)JL_USEC_PER_SEC
                / (double)JL_PRESSURE_WINDOW_US;

  pressure->arrivals = 0;
  pressure->rate += RATE_WEIGHT * (rate - pressure->rate);
  update_passed (pressure);
  if (capacity <= 0)
    return;
  control (pressure, wanted_rate (capacity, limit, waiting));
  pressure->room = CLAMP (ROOM_BELOW - pressure->rate / capacity, 0, 1);
}
