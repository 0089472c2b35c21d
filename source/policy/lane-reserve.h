#ifndef JACKDAWLADDER_LANE_RESERVE_H
#define JACKDAWLADDER_LANE_RESERVE_H

/**
 * DOC: Slots that long runs of low rank leave free.
 *
 * A slot that a long run has taken is lost to more urgent requests until the
 * run ends. So a run that is much longer than those of the higher ranks starts
 * only while as many slots are left as the recent load of the higher ranks
 * needs, up to half of all.
 */

#include "jackdawladder/base.h"

/* Ranks that are told apart; all lower ones count as the last. */
#define JL_LANE_RANKS 16

/**
 * struct jl_lane_rank_load - load of one rank
 * @load: mean number of slots that recent arrivals need: rate times hold time
 * @rate: recent arrivals a second
 * @running: runs that hold a slot now
 */
struct jl_lane_rank_load
{
  double load;
  double rate;
  unsigned running;
};

/**
 * struct jl_lane_reserve - load of all ranks
 * @updated_us: time to which the loads have decayed
 */
struct jl_lane_reserve
{
  uint64_t updated_us;
  struct jl_lane_rank_load ranks[JL_LANE_RANKS];
};

/**
 * jl_lane_rank - returns the index of a rank in the arrays by rank
 */
unsigned jl_lane_rank (unsigned rank);

/**
 * jl_lane_reserve_update - lets the loads decay until @now_us
 */
void jl_lane_reserve_update (struct jl_lane_reserve *reserve, uint64_t now_us);

/**
 * jl_lane_reserve_count - counts an arrival
 * @hold_us: expected hold time of its run
 */
void jl_lane_reserve_count (struct jl_lane_reserve *reserve,
                            unsigned rank,
                            double hold_us,
                            uint64_t now_us);

/**
 * jl_lane_reserve_slots - returns the number of slots kept free for the ranks
 * above @rank
 */
unsigned jl_lane_reserve_slots (const struct jl_lane_reserve *reserve,
                                unsigned rank,
                                unsigned limit);

/**
 * jl_lane_reserve_allows - whether a run leaves enough slots for higher ranks
 * @hold_us: its expected hold time
 */
bool jl_lane_reserve_allows (const struct jl_lane_reserve *reserve,
                             unsigned rank,
                             double hold_us,
                             unsigned limit);

/**
 * jl_lane_reserve_serves_below - whether there was recent work of lower ranks
 * than @rank, and none of higher ones
 */
bool jl_lane_reserve_serves_below (const struct jl_lane_reserve *reserve,
                                   unsigned rank);

#endif
