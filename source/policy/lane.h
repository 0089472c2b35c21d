#ifndef JACKDAWLADDER_LANE_H
#define JACKDAWLADDER_LANE_H

/**
 * DOC: The lane: the concurrency limit and the queue before the local target.
 *
 * All requests to a target pass through its guard, so the number of requests
 * that run there is exact. Requests above the limit wait in a queue. Requests
 * of rank 0 run first; all others run in the order of their due times, so that
 * a request with a short latency goal does not wait behind many with long ones.
 * Load shedding happens at the entries; the queue smooths the load that is
 * admitted. A request that can no longer end in time is removed from the queue
 * and refused, so that its caller learns of it at once. A request that arrives
 * at too long a queue is refused as well. While the target limits the rate of
 * its requests, the queue moves at that rate.
 *
 * On sites with customers, items have @fair set and wait in a queue of their
 * own order (policy/lane-fair.h), and long runs of low rank leave slots free
 * for the higher ranks (policy/lane-reserve.h). Items without it that wait
 * while the configuration changes go first.
 */

#include "jackdawladder/site.h"
#include "policy/lane-fair.h"

#include <urcu/list.h>

/**
 * struct jl_lane_item - a request in the lane, embedded in its owner
 * @rank: priority; 0 is the most important
 * @arrived_us: arrival time
 * @due_us: time at which the latency goal of its route is reached
 * @expires_us: deadline, after which its response is useless
 * @waiting: whether it is in the queue
 * @fair: the site has customers; the following fields are valid
 * @flow: its customer, or its route if it has none
 * @hold_us: expected time for which its run holds a slot
 */
struct jl_lane_item
{
  struct cds_list_head link;
  unsigned rank;
  uint64_t arrived_us;
  uint64_t due_us;
  uint64_t expires_us;
  bool waiting;
  bool fair;
  uint64_t flow;
  double hold_us;
};

/**
 * struct jl_lane - the limit and the queue
 * @limit: items that may run at once
 * @rate: items that may start in a second, infinite for no limit; the caller
 *        keeps it
 * @running: items that run now
 * @waiting: items in the queue, also in @fair
 * @waiting_rank_zero: those of rank 0
 * @rank_zero: queued items of rank 0, in order of arrival
 * @by_due_time: queued items of all other ranks, in order of their due times
 * @fair: queued items with @fair set
 * @reserve: recent load of the ranks of such items
 */
struct jl_lane
{
  unsigned limit;
  double rate;
  unsigned running;
  unsigned waiting;
  unsigned waiting_rank_zero;
  struct cds_list_head rank_zero;
  struct cds_list_head by_due_time;
  struct jl_fair_queue fair;
  struct jl_lane_reserve reserve;
};

void jl_lane_init (struct jl_lane *lane);

/**
 * jl_lane_submit - runs a new item, or queues it
 *
 * Return: true if it runs now, false if it waits.
 */
bool jl_lane_submit (struct jl_lane *lane, struct jl_lane_item *item);

/**
 * jl_lane_queue - queues a new item, also if it could run now
 */
void jl_lane_queue (struct jl_lane *lane, struct jl_lane_item *item);

/**
 * jl_lane_is_too_long - whether @item would spend too much of its time in the
 * queue
 * @held_us: mean time for which a run holds a slot
 *
 * A target that has just joined or has become slow may receive more requests
 * than it can run until the entries learn of it. Another target may still
 * complete the refused requests in time. An item of rank 0 waits however long
 * the queue is, unless the target limits its rate. On a site with customers, an
 * item of the highest rank in use does so while work of lower ranks is served.
 */
bool jl_lane_is_too_long (const struct jl_lane *lane,
                          const struct jl_lane_item *item,
                          uint64_t held_us);

/**
 * jl_lane_finish - frees the slot of a running item that has ended
 */
void jl_lane_finish (struct jl_lane *lane);

/**
 * jl_lane_end_run - like jl_lane_finish(), for a run of @item
 */
void jl_lane_end_run (struct jl_lane *lane, const struct jl_lane_item *item);

/**
 * jl_lane_take_next - removes the next item to run from the queue and takes a
 * slot for it
 *
 * Return: the item, or NULL if the queue is empty or no slot is free.
 */
struct jl_lane_item *jl_lane_take_next (struct jl_lane *lane);

/**
 * jl_lane_remove - removes a waiting item from the queue
 */
void jl_lane_remove (struct jl_lane *lane, struct jl_lane_item *item);

/**
 * jl_lane_take_expired - removes a waiting item that cannot end in time from
 * the queue
 * @needed_us: duration of a run
 *
 * Return: the item, or NULL if there is none.
 */
struct jl_lane_item *jl_lane_take_expired (struct jl_lane *lane,
                                           uint64_t now_us,
                                           uint64_t needed_us);

#endif
