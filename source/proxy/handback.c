/**
 * DOC: Work that leaves the guard's queue without having run: refusals of all
 * of it, and requests that the guard hands back because another target
 * completes them sooner.
 *
 * Work is removed from the queue before its response is written, and nothing
 * starts it afterwards. So "not run" is true, whether or not the response
 * reaches the entry.
 */

#include "policy/rebind.h"
#include "proxy/guard.h"
#include "proxy/load-report.h"

/* Maximum number of other targets that are compared. */
#define OTHERS_MAX 64
/* Maximum number of requests that one check hands back. */
#define MOVES_MAX 64

void
jl_guard_refuse_waiting (struct jl_proxy *proxy, const char *reason)
{
  struct jl_work *work;
  struct jl_work *next;

  cds_list_for_each_entry_safe (work, next, &proxy->work_items,
                                link) if (work->item.waiting
                                          || work->relay.hold != JL_HOLD_NONE)
      jl_guard_refuse (work, reason);
}

/* Whether @a is behind @b in the queue, by rank and due time. */
static bool
is_behind (const struct jl_lane_item *a, const struct jl_lane_item *b)
{
  return a->rank != b->rank ? a->rank > b->rank : a->due_us >= b->due_us;
}

static bool
may_move (const struct jl_work *work)
{
  return work->item.waiting && work->header.moves_left > 0 && !work->on_trial
         && work->relay.hold == JL_HOLD_NONE;
}

/* Returns the work that is last in the queue, of that which may be moved. */
static struct jl_work *
find_last (const struct jl_proxy *proxy)
{
  struct jl_work *last = NULL;
  struct jl_work *work;

  cds_list_for_each_entry (
      work, &proxy->work_items,
      link) if (may_move (work)
                && (last == NULL || is_behind (&work->item, &last->item))) last
      = work;
  return last;
}

static unsigned
count_ahead (const struct jl_proxy *proxy, const struct jl_work *of)
{
  const struct jl_work *work;
  unsigned ahead = 0;

  cds_list_for_each_entry (work, &proxy->work_items,
                           link) if (work != of && work->item.waiting
                                     && is_behind (&of->item, &work->item))
      ahead++;
  return ahead;
}

/* Lists the load of the other targets of the service in this zone. */
static unsigned
list_others (const struct jl_proxy *proxy,
             struct jl_load_view *others[OTHERS_MAX])
{
  const GPtrArray *members = proxy->roster.members;
  const char *service = proxy->target.last.service;
  uint64_t now_us = jl_now ();
  unsigned count = 0;

  for (guint i = 0; i < members->len && count < OTHERS_MAX; i++)
    {
      struct jl_member *member = g_ptr_array_index (members, i);

      if (member != proxy->self && !member->in_other_zone
          && jl_member_accepts_work (member, service, now_us))
        others[count++] = &member->load;
    }
  return count;
}

/* Hands work back. Its arrival and its run count where it is placed next. */
static void
move (struct jl_work *work)
{
  struct jl_proxy *proxy = work->proxy;

  proxy->counters.moved++;
  jl_load_shedder_discount_arrival (&proxy->load_shedder);
  jl_fanout_discount_run (&proxy->fanout, work->header.route_key);
  jl_guard_refuse (work, JL_REASON_MOVED);
}

void
jl_handback_check (struct jl_proxy *proxy)
{
  struct jl_load_view *others[OTHERS_MAX];
  struct jl_load_report own = jl_load_report_own (proxy);
  unsigned count;

  if (!proxy->options->load_reports || proxy->lane.waiting == 0
      || own.limit == 0)
    return;
  count = list_others (proxy, others);
  for (unsigned i = 0; i < MOVES_MAX; i++)
    {
      struct jl_work *work = find_last (proxy);

      if (work == NULL
          || jl_rebind_choose (&own, count_ahead (proxy, work), others, count,
                               jl_now ())
                 == NULL)
        return;
      move (work);
    }
}
