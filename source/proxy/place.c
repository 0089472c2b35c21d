/**
 * DOC: Which services a request needs, and which daemon it is sent to.
 */

#include "proxy/place.h"

#include <string.h>

/* Depth to which calls are followed. */
#define DEPTH_MAX 10
/* Runs for a request below which a service is left out. */
#define RUNS_MIN 0.02
/* Times that a target which fails all its work counts as more loaded. */
#define FAILING_LOAD 10.0
/* Failing share above which a near target is passed over, if far ones are
 * better. */
#define FAILING_MUCH 0.2

/* Index of the need, JL_NONE when there are too many. */
static unsigned
add_need (struct jl_needs *needs,
          const char *service,
          double runs,
          unsigned parent)
{
  struct jl_need *need = needs->list;

  for (unsigned i = 0; i < needs->count; i++, need++)
    if (need->parent == parent && strcmp (need->service, service) == 0)
      {
        need->runs += runs;
        return i;
      }
  if (needs->count == JL_NEED_MAX)
    return JL_NONE;
  need->service = g_intern_string (service);
  need->runs = runs;
  need->parent = parent;
  return needs->count++;
}

/* Mean calls of kind @call by a run of @run, over the service's daemons. */
struct mean
{
  uint32_t call;
  double sum;
};

static unsigned
mean_fanout (const struct jl_roster *roster,
             const char *service,
             uint32_t run,
             struct mean *means,
             unsigned *daemons)
{
  unsigned count = 0;

  *daemons = 0;
  for (guint i = 0; i < roster->members->len; i++)
    {
      const struct jl_member *member = g_ptr_array_index (roster->members, i);
      bool knows = false;

      if (strcmp (member->service, service) != 0)
        continue;
      for (unsigned j = 0; j < member->fanout_count; j++)
        {
          const struct jl_fanout_entry *entry = &member->fanout[j];
          unsigned k = 0;

          if (entry->run != run)
            continue;
          knows = true;
          while (k < count && means[k].call != entry->call)
            k++;
          if (k == JL_FANOUT_MAX)
            continue;
          if (k == count)
            means[count++] = (struct mean){ entry->call, 0 };
          means[k].sum += entry->calls;
        }
      if (knows)
        (*daemons)++;
    }
  return count;
}

static void
follow (const struct jl_roster *roster,
        const struct jl_site *site,
        const struct jl_route *route,
        double runs,
        unsigned parent,
        unsigned depth,
        struct jl_needs *needs)
{
  uint64_t weights = 0;

  for (unsigned i = 0; i < route->split_count; i++)
    weights += route->split[i].weight;
  for (unsigned i = 0; i < route->split_count && weights > 0; i++)
    {
      const struct jl_split *split = &route->split[i];
      double part = runs * split->weight / (double)weights;
      struct mean means[JL_FANOUT_MAX];
      unsigned daemons;
      unsigned count;
      unsigned need;

      if (part < RUNS_MIN)
        continue;
      need = add_need (needs, split->service, part, parent);
      if (need == JL_NONE)
        return;
      count = mean_fanout (roster, split->service, route->key, means, &daemons);
      for (unsigned j = 0; j < count && depth < DEPTH_MAX; j++)
        {
          const struct jl_route *call = jl_site_route (site, means[j].call);

          if (call != NULL)
            follow (roster, site, call, part * means[j].sum / daemons, need,
                    depth + 1, needs);
        }
    }
}

void
jl_place_needs (const struct jl_roster *roster,
                const struct jl_site *site,
                const struct jl_route *route,
                struct jl_needs *needs)
{
  needs->count = 0;
  follow (roster, site, route, 1, JL_NONE, 0, needs);
}

double
jl_needs_runs (const struct jl_needs *needs, const char *service)
{
  double runs = 0;

  for (unsigned i = 0; i < needs->count; i++)
    if (strcmp (needs->list[i].service, service) == 0)
      runs += needs->list[i].runs;
  return runs;
}

static bool
was_tried (const struct jl_member *member,
           struct jl_member *const *tried,
           unsigned tried_count)
{
  for (unsigned i = 0; i < tried_count; i++)
    if (tried[i] == member)
      return true;
  return false;
}

/* Requests a second for each slot, over the targets of a service. */
static double
mean_slot_rate (const struct jl_roster *roster, const char *service)
{
  double capacity = 0;
  double slots = 0;

  for (guint i = 0; i < roster->members->len; i++)
    {
      const struct jl_member *member = g_ptr_array_index (roster->members, i);

      if (member->capacity <= 0 || strcmp (member->service, service) != 0)
        continue;
      capacity += member->capacity;
      slots += member->limit;
    }
  return slots > 0 ? capacity / slots : 1;
}

/*
 * Load that one more request would find; a target not known yet is average, and
 * one that fails part of its work counts as loaded.
 */
static double
member_load (const struct jl_member *member, double slot_rate)
{
  double capacity = member->capacity > 0 ? member->capacity
                                         : slot_rate * MAX (member->limit, 1);

  return (member->outstanding + 1) / capacity
         * (1 + FAILING_LOAD * member->failing);
}

struct jl_member *
jl_place_pick (const struct jl_roster *roster,
               const char *service,
               const char *zone,
               struct jl_member *const *tried,
               unsigned tried_count,
               uint64_t now_us)
{
  struct jl_member *best = NULL;
  bool best_near = false;
  double slot_rate = mean_slot_rate (roster, service);

  for (guint i = 0; i < roster->members->len; i++)
    {
      struct jl_member *member = g_ptr_array_index (roster->members, i);
      bool near;

      if (!jl_member_takes_work (member, service, now_us)
          || was_tried (member, tried, tried_count))
        continue;
      near = strcmp (member->zone, zone) == 0 && member->failing < FAILING_MUCH;
      if (best != NULL
          && (best_near > near
              || (best_near == near
                  && member_load (best, slot_rate)
                         <= member_load (member, slot_rate))))
        continue;
      best = member;
      best_near = near;
    }
  return best;
}
