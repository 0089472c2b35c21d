/**
 * DOC: Slots that long runs of low rank leave free.
 */

#include "policy/lane-reserve.h"

#include <math.h>

/* Time constant of the averages of load and rate. */
#define LOAD_S 2.0
/* Standard deviations of the number of busy slots that are kept free beyond the
 * mean. The number of concurrent runs of independent arrivals has a Poisson
 * distribution, whose variance is its mean. */
#define MARGIN_DEVIATIONS 2.0
/* A run is long if it holds its slot for this many times as long as the runs of
 * higher ranks do on average. Shorter ones free their slots soon enough. */
#define LONG_RATIO 2.0
/* Arrivals a second below which a rank counts as unused. */
#define RATE_MIN 0.05
/* Load below which the ranks need no reserve: a slot is used for less than a
 * fiftieth of the time. */
#define LOAD_MIN 0.02

unsigned
jl_lane_rank (unsigned rank)
{
  return MIN (rank, JL_LANE_RANKS - 1);
}

void
jl_lane_reserve_update (struct jl_lane_reserve *reserve, uint64_t now_us)
{
  double factor;

  if (now_us <= reserve->updated_us)
    return;
  factor = exp (-(double)(now_us - reserve->updated_us)
                / (LOAD_S * (double)JL_USEC_PER_SEC));
  reserve->updated_us = now_us;
  for (unsigned i = 0; i < JL_LANE_RANKS; i++)
    {
      reserve->ranks[i].load *= factor;
      reserve->ranks[i].rate *= factor;
    }
}

void
jl_lane_reserve_count (struct jl_lane_reserve *reserve,
                       unsigned rank,
                       double hold_us,
                       uint64_t now_us)
{
  struct jl_lane_rank_load *load = &reserve->ranks[jl_lane_rank (rank)];

  jl_lane_reserve_update (reserve, now_us);
  load->load += hold_us / (double)JL_USEC_PER_SEC / LOAD_S;
  load->rate += 1 / LOAD_S;
}

/* Sums up the load of the ranks above @rank. */
static struct jl_lane_rank_load
load_above (const struct jl_lane_reserve *reserve, unsigned rank)
{
  struct jl_lane_rank_load above = { 0 };

  for (unsigned i = 0; i < jl_lane_rank (rank); i++)
    {
      above.load += reserve->ranks[i].load;
      above.rate += reserve->ranks[i].rate;
    }
  return above;
}

unsigned
jl_lane_reserve_slots (const struct jl_lane_reserve *reserve,
                       unsigned rank,
                       unsigned limit)
{
  double load = load_above (reserve, rank).load;

  if (load < LOAD_MIN)
    return 0;
  return MIN ((unsigned)ceil (load + MARGIN_DEVIATIONS * sqrt (load)),
              limit / 2);
}

bool
jl_lane_reserve_allows (const struct jl_lane_reserve *reserve,
                        unsigned rank,
                        double hold_us,
                        unsigned limit)
{
  struct jl_lane_rank_load above = load_above (reserve, rank);
  unsigned running = 0;

  if (above.rate < RATE_MIN
      || hold_us
             < LONG_RATIO * above.load / above.rate * (double)JL_USEC_PER_SEC)
    return true;
  for (unsigned i = jl_lane_rank (rank); i < JL_LANE_RANKS; i++)
    running += reserve->ranks[i].running;
  return running + jl_lane_reserve_slots (reserve, rank, limit) < limit;
}

bool
jl_lane_reserve_serves_below (const struct jl_lane_reserve *reserve,
                              unsigned rank)
{
  double below = 0;

  if (load_above (reserve, rank).rate >= RATE_MIN)
    return false;
  for (unsigned i = jl_lane_rank (rank) + 1; i < JL_LANE_RANKS; i++)
    below += reserve->ranks[i].rate + reserve->ranks[i].running;
  return below >= RATE_MIN;
}
