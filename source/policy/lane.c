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
  if (item->rank == 0)
    {
      lane->waiting_rank_zero++;
      cds_list_add_tail (&item->link, &lane->rank_zero);
    }
  else
    insert_by_due_time (&lane->by_due_time, item);
}

bool
jl_lane_submit (struct jl_lane *lane, struct jl_lane_item *item)
{
  item->waiting = false;
  if (lane->waiting > 0 || lane->running >= lane->limit)
    {
      jl_lane_queue (lane, item);
      return false;
    }
  lane->running++;
  return true;
}

/* Whether an item would wait too long for its turn at the target's rate. */
static bool
is_too_long_for_rate (const struct jl_lane *lane,
                      const struct jl_lane_item *item)
{
  unsigned before = item->rank == 0 ? lane->waiting_rank_zero : lane->waiting;
  uint64_t until_us = MIN (item->due_us, item->expires_us);
  double remaining_us = (double)(until_us - MIN (item->arrived_us, until_us));
  double wait_us = (before + 1) * (double)JL_USEC_PER_SEC / lane->rate;

  return wait_us > WAIT_SHARE_MAX * remaining_us;
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
  if (item->rank == 0 || lane->limit == 0)
    return false;
  wait_us = (double)lane->waiting * (double)held_us / lane->limit;
  return wait_us > WAIT_SHARE_MAX * remaining_us;
}

void
jl_lane_finish (struct jl_lane *lane)
{
  lane->running--;
}

void
jl_lane_remove (struct jl_lane *lane, struct jl_lane_item *item)
{
  if (!item->waiting)
    return;
  cds_list_del (&item->link);
  item->waiting = false;
  lane->waiting--;
  if (item->rank == 0)
    lane->waiting_rank_zero--;
}

static struct jl_lane_item *
front (struct cds_list_head *queue)
{
  if (cds_list_empty (queue))
    return NULL;
  return cds_list_first_entry (queue, struct jl_lane_item, link);
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
    return NULL;
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

  if (item == NULL)
    item = find_expired (&lane->by_due_time, now_us + needed_us);
  if (item != NULL)
    jl_lane_remove (lane, item);
  return item;
}
