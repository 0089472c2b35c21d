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
#define BACKLOG_S 0.8
/* Queue that keeps the target busy through chance, in requests a slot. */
#define QUEUE_WANTED 1.0
/* Change of the refused share for each unit of error in a window. */
#define GAIN_UP 0.16
#define GAIN_DOWN 0.10
/* Largest error that a window counts. */
#define ERROR_MAX 0.6

void
jl_pressure_init (struct jl_pressure *pressure)
{
  memset (pressure, 0, sizeof *pressure);
  pressure->room = 1;
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

static void
control (struct jl_pressure *pressure, double wanted)
{
  double error = (pressure->rate - wanted) / MAX (pressure->rate, 1);

  error = CLAMP (error, -ERROR_MAX, ERROR_MAX);
  if (error > 0)
    pressure->shed += GAIN_UP * error * (1 - pressure->shed);
  else
    pressure->shed += GAIN_DOWN * error;
  pressure->shed = CLAMP (pressure->shed, 0, 0.98);
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
  if (capacity <= 0)
    return;
  control (pressure, wanted_rate (capacity, limit, waiting));
  pressure->room = CLAMP (ROOM_BELOW - pressure->rate / capacity, 0, 1);
}
