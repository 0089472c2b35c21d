#ifndef JACKDAWLADDER_LANE_FAIR_H
#define JACKDAWLADDER_LANE_FAIR_H

/**
 * DOC: The queue of a lane on sites with customers.
 *
 * Ranks are served strictly in their order. Within a rank, the flow with the
 * lowest virtual start time is next (start-time fair queueing): a run costs its
 * expected hold time, so that a flow is charged for the capacity that it uses.
 * Equal start times, and the items of a flow, go by their due times. A flow is
 * forgotten when its rank has nothing queued, or when its last run is as far as
 * the others are.
 */

#include "policy/lane-reserve.h"

#include <urcu/list.h>

struct jl_lane_item;

/**
 * struct jl_fair_rank - queued items of one rank
 * @waiting: number of them
 * @virtual_us: start time of the run that began last
 * @busy: flows with queued items
 * @idle: flows that have used more than the others, without queued items
 */
struct jl_fair_rank
{
  unsigned waiting;
  double virtual_us;
  struct cds_list_head busy;
  struct cds_list_head idle;
};

/**
 * struct jl_fair_queue - queued items of all ranks
 */
struct jl_fair_queue
{
  struct jl_fair_rank ranks[JL_LANE_RANKS];
};

void jl_fair_queue_init (struct jl_fair_queue *queue);

/**
 * jl_fair_queue_clear - frees all flows; the items belong to their owners
 */
void jl_fair_queue_clear (struct jl_fair_queue *queue);

void jl_fair_queue_add (struct jl_fair_queue *queue, struct jl_lane_item *item);

/**
 * jl_fair_queue_remove - removes an item that does not run
 */
void jl_fair_queue_remove (struct jl_fair_queue *queue,
                           struct jl_lane_item *item);

/**
 * jl_fair_queue_next - returns the item that is next, NULL if none may run
 * @reserve: slots that long runs leave free
 */
struct jl_lane_item *jl_fair_queue_next (const struct jl_fair_queue *queue,
                                         const struct jl_lane_reserve *reserve,
                                         unsigned limit);

/**
 * jl_fair_queue_start - removes an item that runs now, and charges its flow
 */
void jl_fair_queue_start (struct jl_fair_queue *queue,
                          struct jl_lane_item *item);

/**
 * struct jl_fair_wait - what would be served before a new item
 * @items: number of items
 * @hold_us: sum of their expected hold times
 */
struct jl_fair_wait
{
  double items;
  double hold_us;
};

/**
 * jl_fair_queue_before - returns what would be served before a new item: all of
 * higher ranks, and of each other flow of its rank as much as of its own
 */
struct jl_fair_wait jl_fair_queue_before (const struct jl_fair_queue *queue,
                                          const struct jl_lane_item *item);

/**
 * jl_fair_queue_find_expired - returns an item that cannot end before its
 * deadline, NULL if there is none
 */
struct jl_lane_item *
jl_fair_queue_find_expired (const struct jl_fair_queue *queue, uint64_t now_us);

#endif
