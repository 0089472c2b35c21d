/**
 * DOC: The queue before the own target.
 */

#include "policy/lane.h"

void
jl_lane_init (struct jl_lane *lane)
{
  lane->limit = 0;
  lane->running = 0;
  lane->waiting = 0;
  for (unsigned i = 0; i < JL_RANK_COUNT; i++)
    CDS_INIT_LIST_HEAD (&lane->queues[i]);
}

bool
jl_lane_arrive (struct jl_lane *lane, struct jl_lane_item *item)
{
  if (item->rank >= JL_RANK_COUNT)
    item->rank = JL_RANK_COUNT - 1;
  item->waiting = lane->waiting > 0 || lane->running >= lane->limit;
  if (!item->waiting)
    {
      lane->running++;
      return true;
    }
  cds_list_add_tail (&item->link, &lane->queues[item->rank]);
  lane->waiting++;
  return false;
}

void
jl_lane_done (struct jl_lane *lane)
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
}

struct jl_lane_item *
jl_lane_next (struct jl_lane *lane)
{
  if (lane->running >= lane->limit)
    return NULL;
  for (unsigned i = 0; i < JL_RANK_COUNT; i++)
    if (!cds_list_empty (&lane->queues[i]))
      {
        struct jl_lane_item *item = cds_list_first_entry (
            &lane->queues[i], struct jl_lane_item, link);

        jl_lane_remove (lane, item);
        lane->running++;
        return item;
      }
  return NULL;
}

struct jl_lane_item *
jl_lane_expired (struct jl_lane *lane, uint64_t now_us, uint64_t needed_us)
{
  struct jl_lane_item *item;

  for (unsigned i = 0; i < JL_RANK_COUNT; i++)
    cds_list_for_each_entry (item, &lane->queues[i],
                             link) if (item->expires_us < now_us + needed_us)
    {
      jl_lane_remove (lane, item);
      return item;
    }
  return NULL;
}

uint64_t
jl_lane_oldest_wait (struct jl_lane *lane, uint64_t now_us)
{
  uint64_t since_us = now_us;

  for (unsigned i = 0; i < JL_RANK_COUNT; i++)
    if (!cds_list_empty (&lane->queues[i]))
      {
        const struct jl_lane_item *item = cds_list_first_entry (
            &lane->queues[i], struct jl_lane_item, link);

        if (item->since_us < since_us)
          since_us = item->since_us;
      }
  return now_us - since_us;
}
