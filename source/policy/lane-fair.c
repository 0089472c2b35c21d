/**
 * DOC: The queue of a lane on sites with customers.
 */

#include "policy/lane-fair.h"

#include "policy/lane.h"

#include <math.h>

/* Maximum number of flows of a rank without queued items that are kept. */
#define IDLE_FLOWS_MAX 1024
/* Least cost of a run, in microseconds, also while its hold time is not known.
 */
#define COST_MIN_US 1000.0
/* Share of its expected hold time that a run must have left until its deadline.
 * Hold times vary, so that many runs end sooner than expected. */
#define NEEDED_SHARE 0.5

/**
 * struct flow - queued items of a customer, or of a route of calls
 * @link: in the list of busy or idle flows of its rank
 * @start_us: virtual time at which its next run starts
 * @hold_us: sum of the expected hold times of @items
 * @count: number of @items
 * @items: in the order of their due times
 */
struct flow
{
  struct cds_list_head link;
  uint64_t key;
  double start_us;
  double hold_us;
  unsigned count;
  struct cds_list_head items;
};

void
jl_fair_queue_init (struct jl_fair_queue *queue)
{
  for (unsigned i = 0; i < JL_LANE_RANKS; i++)
    {
      struct jl_fair_rank *rank = &queue->ranks[i];

      rank->waiting = 0;
      rank->virtual_us = 0;
      CDS_INIT_LIST_HEAD (&rank->busy);
      CDS_INIT_LIST_HEAD (&rank->idle);
    }
}

static void
free_flows (struct cds_list_head *flows)
{
  struct flow *flow;
  struct flow *next;

  cds_list_for_each_entry_safe (flow, next, flows, link)
      g_slice_free (struct flow, flow);
  CDS_INIT_LIST_HEAD (flows);
}

void
jl_fair_queue_clear (struct jl_fair_queue *queue)
{
  for (unsigned i = 0; i < JL_LANE_RANKS; i++)
    {
      free_flows (&queue->ranks[i].busy);
      free_flows (&queue->ranks[i].idle);
    }
}

static double
cost_of (const struct jl_lane_item *item)
{
  return fmax (item->hold_us, COST_MIN_US);
}

static struct jl_fair_rank *
rank_of (struct jl_fair_queue *queue, const struct jl_lane_item *item)
{
  return &queue->ranks[jl_lane_rank (item->rank)];
}

static struct flow *
find_flow (const struct cds_list_head *flows, uint64_t key)
{
  struct flow *flow;

  cds_list_for_each_entry (flow, flows, link)
  {
    if (flow->key == key)
      return flow;
  }
  return NULL;
}

/* Returns the flow of a new item, which is busy from now on. */
static struct flow *
find_or_add_flow (struct jl_fair_rank *rank, uint64_t key)
{
  struct flow *flow = find_flow (&rank->busy, key);

  if (flow != NULL)
    return flow;
  flow = find_flow (&rank->idle, key);
  if (flow != NULL)
    cds_list_del (&flow->link);
  else
    {
      flow = g_slice_new0 (struct flow);
      flow->key = key;
      CDS_INIT_LIST_HEAD (&flow->items);
    }
  flow->start_us = fmax (flow->start_us, rank->virtual_us);
  cds_list_add_tail (&flow->link, &rank->busy);
  return flow;
}

/* Drops idle flows that are not ahead of the others any more, and the ones that
 * are idle longest beyond the maximum number. */
static void
drop_idle_flows (struct jl_fair_rank *rank)
{
  struct flow *flow;
  struct flow *next;
  unsigned count = 0;

  cds_list_for_each_entry_safe (flow, next, &rank->idle, link)
  {
    count++;
    if (flow->start_us > rank->virtual_us && count <= IDLE_FLOWS_MAX)
      continue;
    cds_list_del (&flow->link);
    g_slice_free (struct flow, flow);
  }
}

void
jl_fair_queue_add (struct jl_fair_queue *queue, struct jl_lane_item *item)
{
  struct jl_fair_rank *rank = rank_of (queue, item);
  struct flow *flow = find_or_add_flow (rank, item->flow);
  struct cds_list_head *after = flow->items.prev;

  while (after != &flow->items
         && cds_list_entry (after, struct jl_lane_item, link)->due_us
                > item->due_us)
    after = after->prev;
  cds_list_add (&item->link, after);
  flow->count++;
  flow->hold_us += cost_of (item);
  rank->waiting++;
}

/* Takes an item out of its flow. Without queued items, a rank needs no history:
 * nobody waits for others. */
static void
take_out (struct jl_fair_rank *rank,
          struct flow *flow,
          struct jl_lane_item *item)
{
  cds_list_del (&item->link);
  flow->count--;
  flow->hold_us -= cost_of (item);
  rank->waiting--;
  if (flow->count == 0)
    {
      flow->hold_us = 0;
      cds_list_del (&flow->link);
      cds_list_add (&flow->link, &rank->idle);
    }
  if (rank->waiting > 0)
    return;
  free_flows (&rank->idle);
  rank->virtual_us = 0;
}

void
jl_fair_queue_remove (struct jl_fair_queue *queue, struct jl_lane_item *item)
{
  struct jl_fair_rank *rank = rank_of (queue, item);

  take_out (rank, find_flow (&rank->busy, item->flow), item);
}

void
jl_fair_queue_start (struct jl_fair_queue *queue, struct jl_lane_item *item)
{
  struct jl_fair_rank *rank = rank_of (queue, item);
  struct flow *flow = find_flow (&rank->busy, item->flow);

  rank->virtual_us = fmax (rank->virtual_us, flow->start_us);
  flow->start_us += cost_of (item);
  take_out (rank, flow, item);
  drop_idle_flows (rank);
}

/* Returns the first item of a flow that may run, NULL if there is none. */
static struct jl_lane_item *
first_allowed (const struct flow *flow,
               const struct jl_lane_reserve *reserve,
               unsigned limit)
{
  struct jl_lane_item *item;

  cds_list_for_each_entry (item, &flow->items, link)
  {
    if (jl_lane_reserve_allows (reserve, item->rank, item->hold_us, limit))
      return item;
  }
  return NULL;
}

static struct jl_lane_item *
next_of_rank (const struct jl_fair_rank *rank,
              const struct jl_lane_reserve *reserve,
              unsigned limit)
{
  struct jl_lane_item *best = NULL;
  double best_start_us = INFINITY;
  const struct flow *flow;

  cds_list_for_each_entry (flow, &rank->busy, link)
  {
    struct jl_lane_item *item;

    if (flow->start_us > best_start_us)
      continue;
    item = first_allowed (flow, reserve, limit);
    if (item == NULL
        || (best != NULL && flow->start_us >= best_start_us
            && item->due_us >= best->due_us))
      continue;
    best = item;
    best_start_us = flow->start_us;
  }
  return best;
}

struct jl_lane_item *
jl_fair_queue_next (const struct jl_fair_queue *queue,
                    const struct jl_lane_reserve *reserve,
                    unsigned limit)
{
  struct jl_lane_item *item = NULL;

  for (unsigned i = 0; i < JL_LANE_RANKS && item == NULL; i++)
    if (queue->ranks[i].waiting > 0)
      item = next_of_rank (&queue->ranks[i], reserve, limit);
  return item;
}

struct jl_fair_wait
jl_fair_queue_before (const struct jl_fair_queue *queue,
                      const struct jl_lane_item *item)
{
  unsigned own_rank = jl_lane_rank (item->rank);
  const struct flow *own = find_flow (&queue->ranks[own_rank].busy, item->flow);
  double items_max = (own != NULL ? own->count : 0) + 1;
  double hold_max_us = (own != NULL ? own->hold_us : 0) + cost_of (item);
  struct jl_fair_wait wait = { 0 };
  const struct flow *flow;

  for (unsigned i = 0; i <= own_rank; i++)
    cds_list_for_each_entry (flow, &queue->ranks[i].busy, link)
    {
      bool all = i < own_rank || flow == own;

      wait.items += all ? flow->count : fmin (flow->count, items_max);
      wait.hold_us += all ? flow->hold_us : fmin (flow->hold_us, hold_max_us);
    }
  return wait;
}

static bool
is_expired (const struct jl_lane_item *item, uint64_t now_us)
{
  return (double)item->expires_us
         < (double)now_us + NEEDED_SHARE * item->hold_us;
}

struct jl_lane_item *
jl_fair_queue_find_expired (const struct jl_fair_queue *queue, uint64_t now_us)
{
  const struct flow *flow;
  struct jl_lane_item *item;

  for (unsigned i = 0; i < JL_LANE_RANKS; i++)
    cds_list_for_each_entry (flow, &queue->ranks[i].busy, link)
    {
      cds_list_for_each_entry (item, &flow->items, link)
      {
        if (is_expired (item, now_us))
          return item;
      }
    }
  return NULL;
}
