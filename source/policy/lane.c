/**
 * DOC: The lane: the concurrency limit and the queue before the local target.
 */

#include "policy/lane.h"

#include <math.h>

/* Share of an item's time until it expires that it may spend in the queue; of
 * its time until it is due, if the target limits its rate. */
#define WAIT_SHARE_MAX 0.5

void
jl_lane_init (struct jl_lane *lane)
{
  lane->limit = 0;
  lane->rate = INFINITY;
  lane->running = 0;
  lane->waiting = 0;
  lane->waiting_rank_zero = 0;
  CDS_INIT_LIST_HEAD (&lane->rank_zero);
  CDS_INIT_LIST_HEAD (&lane->by_due_time);
  jl_fair_queue_init (&lane->fair);
  lane->reserve = (struct jl_lane_reserve){ 0 };
}

/* Inserts @item behind all items that are due no later than it. The search
 * begins at the end, since most new items are due last. */
static void
insert_by_due_time (struct cds_list_head *queue, struct jl_lane_item *item)
{
  struct cds_list_head *after = queue->prev;

  while (after != queue
         && cds_list_entry (after, struct jl_lane_item, link)->due_us
                > item->due_us)
    after = after->prev;
  cds_list_add (&item->link, after);
}

void
jl_lane_queue (struct jl_lane *lane, struct jl_lane_item *item)
{
  item->waiting = true;
  lane->waiting++;
  if (item->fair)
    jl_fair_queue_add (&lane->fair, item);
  else if (item->rank == 0)
    {
      lane->waiting_rank_zero++;
      cds_list_add_tail (&item->link, &lane->rank_zero);
    }
  else
    insert_by_due_time (&lane->by_due_time, item);
}

/* Takes a slot for an item with @fair set. */
static void
start_fair (struct jl_lane *lane, const struct jl_lane_item *item)
{
  lane->reserve.ranks[jl_lane_rank (item->rank)].running++;
  lane->running++;
}

/* Runs a new item at once only if no waiting one of its rank or a higher rank
 * may run. Others may wait for slots that are reserved for this one. */
static bool
submit_fair (struct jl_lane *lane, struct jl_lane_item *item)
{
  const struct jl_lane_item *next;

  if (lane->running >= lane->limit || !cds_list_empty (&lane->rank_zero)
      || !cds_list_empty (&lane->by_due_time)
      || !jl_lane_reserve_allows (&lane->reserve, item->rank, item->hold_us,
                                  lane->limit))
    return false;
  next = jl_fair_queue_next (&lane->fair, &lane->reserve, lane->limit);
  return next == NULL || jl_lane_rank (next->rank) > jl_lane_rank (item->rank);
}

bool
jl_lane_submit (struct jl_lane *lane, struct jl_lane_item *item)
{
  item->waiting = false;
  if (item->fair && submit_fair (lane, item))
    {
      start_fair (lane, item);
      return true;
    }
  if (item->fair || lane->waiting > 0 || lane->running >= lane->limit)
    {
      jl_lane_queue (lane, item);
      return false;
    }
  lane->running++;
  return true;
}

/* Returns the number of items that are served before a new one. */
static double
items_before (const struct jl_lane *lane, const struct jl_lane_item *item)
{
  if (item->fair)
    return jl_fair_queue_before (&lane->fair, item).items;
  return item->rank == 0 ? lane->waiting_rank_zero : lane->waiting;
}

/* Whether an item would wait too long for its turn at the target's rate. */
static bool
is_too_long_for_rate (const struct jl_lane *lane,
                      const struct jl_lane_item *item)
{
  double before = items_before (lane, item);
  uint64_t until_us = MIN (item->due_us, item->expires_us);
  double remaining_us = (double)(until_us - MIN (item->arrived_us, until_us));
  double wait_us = (before + 1) * (double)JL_USEC_PER_SEC / lane->rate;

  return wait_us > WAIT_SHARE_MAX * remaining_us;
}

/* Whether an item waits however long the queue is. */
static bool
waits_in_any_case (const struct jl_lane *lane, const struct jl_lane_item *item)
{
  return item->fair ? jl_lane_reserve_serves_below (&lane->reserve, item->rank)
                    : item->rank == 0;
}

bool
jl_lane_is_too_long (const struct jl_lane *lane,
                     const struct jl_lane_item *item,
                     uint64_t held_us)
{
  double remaining_us = (double)(item->expires_us - item->arrived_us);
  double wait_us;

  if (isfinite (lane->rate) && is_too_long_for_rate (lane, item))
    return true;
  if (lane->limit == 0 || waits_in_any_case (lane, item))
    return false;
  wait_us = item->fair
                ? jl_fair_queue_before (&lane->fair, item).hold_us / lane->limit
                : (double)lane->waiting * (double)held_us / lane->limit;
  return wait_us > WAIT_SHARE_MAX * remaining_us;
}

void
jl_lane_finish (struct jl_lane *lane)
{
  lane->running--;
}

void
jl_lane_end_run (struct jl_lane *lane, const struct jl_lane_item *item)
{
  jl_lane_finish (lane);
  if (item->fair)
    lane->reserve.ranks[jl_lane_rank (item->rank)].running--;
}

/* Updates the numbers of a lane for an item that does not wait any longer. */
static void
note_removed (struct jl_lane *lane, struct jl_lane_item *item)
{
  item->waiting = false;
  lane->waiting--;
  if (item->rank == 0 && !item->fair)
    lane->waiting_rank_zero--;
}

void
jl_lane_remove (struct jl_lane *lane, struct jl_lane_item *item)
{
  if (!item->waiting)
    return;
  if (item->fair)
    jl_fair_queue_remove (&lane->fair, item);
  else
    cds_list_del (&item->link);
  note_removed (lane, item);
}

static struct jl_lane_item *
front (struct cds_list_head *queue)
{
  if (cds_list_empty (queue))
    return NULL;
  return cds_list_first_entry (queue, struct jl_lane_item, link);
}

/* Takes the next item with @fair set. */
static struct jl_lane_item *
take_fair (struct jl_lane *lane)
{
  struct jl_lane_item *item
      = jl_fair_queue_next (&lane->fair, &lane->reserve, lane->limit);

  if (item == NULL)
    return NULL;
  jl_fair_queue_start (&lane->fair, item);
  note_removed (lane, item);
  start_fair (lane, item);
  return item;
}

struct jl_lane_item *
jl_lane_take_next (struct jl_lane *lane)
{
  struct jl_lane_item *item;

  if (lane->running >= lane->limit)
    return NULL;
  item = front (&lane->rank_zero);
  if (item == NULL)
    item = front (&lane->by_due_time);
  if (item == NULL)
    return take_fair (lane);
  jl_lane_remove (lane, item);
  lane->running++;
  return item;
}

/* Returns the first item that expires before @at_us, or NULL. */
static struct jl_lane_item *
find_expired (struct cds_list_head *queue, uint64_t at_us)
{
  struct jl_lane_item *item;

  cds_list_for_each_entry (item, queue,
                           link) if (item->expires_us < at_us) return item;
  return NULL;
}

struct jl_lane_item *
jl_lane_take_expired (struct jl_lane *lane, uint64_t now_us, uint64_t needed_us)
{
  struct jl_lane_item *item
      = find_expired (&lane->rank_zero, now_us + needed_us);

  jl_lane_reserve_update (&lane->reserve, now_us);
  if (item == NULL)
    item = find_expired (&lane->by_due_time, now_us + needed_us);
  if (item == NULL)
    item = jl_fair_queue_find_expired (&lane->fair, now_us);
  if (item != NULL)
    jl_lane_remove (lane, item);
  return item;
}
