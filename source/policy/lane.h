#ifndef JACKDAWLADDER_LANE_H
#define JACKDAWLADDER_LANE_H

/**
 * DOC: The queue before the own target.
 *
 * The guard is the only way to its target, so the number of requests that run
 * there is exact. What does not fit waits here, the most important first, and
 * within a rank in order of arrival. Work that cannot end in time any more is
 * handed back, so that its caller hears at once.
 */

#include "jackdawladder/site.h"

#include <urcu/list.h>

/**
 * struct jl_lane_item - a work item in the lane, embedded in its owner
 * @rank: 0 is the most important
 * @since_us: when it arrived
 * @expires_us: when its answer is of no use any more
 * @waiting: whether it is in the queue
 */
struct jl_lane_item
{
  struct cds_list_head link;
  unsigned rank;
  uint64_t since_us;
  uint64_t expires_us;
  bool waiting;
};

/**
 * struct jl_lane - the queue
 * @limit: items that may run at once
 * @running: items that do
 * @waiting: items in the queue
 */
struct jl_lane
{
  unsigned limit;
  unsigned running;
  unsigned waiting;
  struct cds_list_head queues[JL_RANK_COUNT];
};

void jl_lane_init (struct jl_lane *lane);

/**
 * jl_lane_arrive - a work item has come
 *
 * Return: whether it runs now; otherwise it waits.
 */
bool jl_lane_arrive (struct jl_lane *lane, struct jl_lane_item *item);

/**
 * jl_lane_done - a running item has ended
 */
void jl_lane_done (struct jl_lane *lane);

/**
 * jl_lane_next - the waiting item that runs now, NULL while none can
 */
struct jl_lane_item *jl_lane_next (struct jl_lane *lane);

/**
 * jl_lane_remove - a waiting item is given up
 */
void jl_lane_remove (struct jl_lane *lane, struct jl_lane_item *item);

/**
 * jl_lane_expired - a waiting item that cannot end in time, taken out
 * @needed_us: time that a run takes
 *
 * Return: NULL when there is none.
 */
struct jl_lane_item *
jl_lane_expired (struct jl_lane *lane, uint64_t now_us, uint64_t needed_us);

/**
 * jl_lane_oldest_wait - wait of the item that waits longest, 0 for none
 */
uint64_t jl_lane_oldest_wait (struct jl_lane *lane, uint64_t now_us);

#endif
