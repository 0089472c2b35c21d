#ifndef JACKDAWLADDER_LANE_H
#define JACKDAWLADDER_LANE_H

/**
 * DOC: The queue before the own target.
 *
 * The guard is the only way to its target, so the number of requests that run
 * there is exact. What does not fit waits here. The highest rank goes first;
 * all others go by the time at which they are due, so that a request with a
 * close goal is not kept waiting by a crowd with distant ones. What is too much
 * is refused at the entries; the queue evens out what remains. Work that cannot
 * end in time any more is handed back, so that its caller hears at once, and so
 * is work that finds too long a queue.
 */

#include "jackdawladder/site.h"

#include <urcu/list.h>

/**
 * struct jl_lane_item - a work item in the lane, embedded in its owner
 * @rank: 0 is the most important
 * @since_us: when it arrived
 * @due_us: when its answer should be there
 * @expires_us: when its answer is of no use any more
 * @waiting: whether it is in the queue
 */
struct jl_lane_item
{
  struct cds_list_head link;
  unsigned rank;
  uint64_t since_us;
  uint64_t due_us;
  uint64_t expires_us;
  bool waiting;
};

/**
 * struct jl_lane - the queue
 * @limit: items that may run at once
 * @running: items that do
 * @waiting: items in the queue
 * @first: items of rank 0, in order of arrival
 * @others: the rest, by the time at which they are due
 */
struct jl_lane
{
  unsigned limit;
  unsigned running;
  unsigned waiting;
  struct cds_list_head first;
  struct cds_list_head others;
};

void jl_lane_init (struct jl_lane *lane);

/**
 * jl_lane_arrive - a work item has come
 *
 * Return: whether it runs now; otherwise it waits.
 */
bool jl_lane_arrive (struct jl_lane *lane, struct jl_lane_item *item);

/**
 * jl_lane_is_long - whether @item would spend much of its time in the queue
 * @held_us: time for which a run holds a slot
 *
 * Answers a target that has just joined, or turned slow, and gets more than it
 * can do before its entries know: another target may still do that in time.
 */
bool jl_lane_is_long (const struct jl_lane *lane,
                      const struct jl_lane_item *item,
                      uint64_t held_us);

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

#endif
