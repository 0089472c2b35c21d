/**
 * DOC: Sends requests and calls to another zone where that zone completes them
 * sooner.
 */

#include "proxy/zone-spill.h"

#include <string.h>

/* Least gain for which a request crosses zones. Two messages take 1.8 ms; the
 * rest stands for the cost of their bytes. */
#define CROSSING_COST_US (50 * JL_USEC_PER_MSEC)
/* Spare share of the capacity at which another zone accepts all requests. */
#define SPARE_SHARE_FULL 0.25

/**
 * struct zone_load - load of a service in one zone
 * @targets: targets that accept work
 * @capacity: sum of their capacities
 * @wait_us: mean expected wait, weighted by capacity; 0 where it is not known
 * @spare_share: mean spare share, weighted by capacity
 * @shed_share: largest share of the demand that one of them refuses
 */
struct zone_load
{
  unsigned targets;
  double capacity;
  double wait_us;
  double spare_share;
  double shed_share;
};

static struct zone_load
load_of_zone (const struct jl_roster *roster,
              const char *service,
              const char *zone,
              uint64_t now_us)
{
  struct zone_load load = { 0 };

  for (guint i = 0; i < roster->members->len; i++)
    {
      const struct jl_member *member = g_ptr_array_index (roster->members, i);
      double weight = member->capacity > 0 ? member->capacity : 1;

      if (strcmp (member->zone, zone) != 0
          || !jl_member_accepts_work (member, service, now_us))
        continue;
      load.targets++;
      load.capacity += weight;
      load.spare_share += weight * member->spare_share;
      load.shed_share = MAX (load.shed_share, member->shed_share);
      if (jl_load_view_is_fresh (&member->load, now_us))
        load.wait_us += weight * jl_load_view_wait_us (&member->load);
    }
  if (load.targets > 0)
    {
      load.spare_share /= load.capacity;
      load.wait_us /= load.capacity;
    }
  return load;
}

/* Returns the offer of one zone. It accepts nothing if it lacks a service of
 * the tree, refuses demand or has no spare capacity. */
static struct jl_spill_offer
offer_of (const struct jl_roster *roster,
          const struct jl_call_tree *tree,
          const char *zone,
          uint64_t now_us)
{
  struct jl_spill_offer offer = {
    .zone = g_intern_string (zone),
    .gain_us = -(double)CROSSING_COST_US,
    .accepted = 1,
  };

  for (unsigned i = 0; i < tree->count && offer.accepted > 0; i++)
    {
      const struct jl_call_node *node = &tree->nodes[i];
      struct zone_load here
          = load_of_zone (roster, node->service, roster->local_zone, now_us);
      struct zone_load there
          = load_of_zone (roster, node->service, zone, now_us);
      double accepted = there.spare_share / SPARE_SHARE_FULL;

      if (there.targets == 0 || there.shed_share > 0)
        accepted = 0;
      offer.accepted = MIN (offer.accepted, accepted);
      if (here.targets > 0)
        offer.gain_us += node->runs * (here.wait_us - there.wait_us);
    }
  return offer;
}

/* Returns the time for which all runs of a tree wait in the local zone. */
static double
local_wait_us (const struct jl_roster *roster,
               const struct jl_call_tree *tree,
               uint64_t now_us)
{
  double wait_us = 0;

  for (unsigned i = 0; i < tree->count; i++)
    wait_us += tree->nodes[i].runs
               * load_of_zone (roster, tree->nodes[i].service,
                               roster->local_zone, now_us)
                     .wait_us;
  return wait_us;
}

struct jl_spill_offer
jl_spill_best_offer (const struct jl_roster *roster,
                     const struct jl_call_tree *tree,
                     uint64_t now_us)
{
  struct jl_spill_offer best = { 0 };

  if (local_wait_us (roster, tree, now_us) <= CROSSING_COST_US)
    return best;
  for (guint i = 0; i < roster->zones->len && tree->count > 0; i++)
    {
      const struct jl_zone *zone = g_ptr_array_index (roster->zones, i);
      struct jl_spill_offer offer;

      if (zone->silent)
        continue;
      offer = offer_of (roster, tree, zone->name, now_us);
      if (offer.gain_us > 0
          && offer.gain_us * offer.accepted > best.gain_us * best.accepted)
        best = offer;
    }
  return best;
}

bool
jl_spill_has_received (const struct jl_roster *roster,
                       const struct jl_call_tree *tree,
                       uint64_t now_us)
{
  for (guint i = 0; i < roster->members->len; i++)
    {
      const struct jl_member *member = g_ptr_array_index (roster->members, i);

      if (!member->in_other_zone && member->guest_us != 0
          && now_us < member->guest_us + JL_SPILL_REST_US
          && jl_call_tree_runs (tree, member->service) > 0)
        return true;
    }
  return false;
}

static struct jl_route_spill *
find_or_add (struct jl_spill_table *table, uint32_t route_key)
{
  for (unsigned i = 0; i < table->count; i++)
    if (table->routes[i].route_key == route_key)
      return &table->routes[i];
  if (table->count == JL_SPILL_ROUTES_MAX)
    return NULL;
  table->routes[table->count].route_key = route_key;
  return &table->routes[table->count++];
}

static void
update (struct jl_spill *spill, const struct jl_call *call, uint64_t now_us)
{
  const struct jl_roster *roster = &call->proxy->roster;
  struct jl_spill_offer offer;
  struct jl_call_tree tree;

  jl_call_tree_estimate (roster, call->site, call->route, &tree);
  offer = jl_spill_best_offer (roster, &tree, now_us);
  jl_spill_update (spill, &offer, call->route->latency_goal_us,
                   jl_spill_has_received (roster, &tree, now_us), now_us);
}

const char *
jl_spill_choose_zone (struct jl_call *call, const char *zone)
{
  struct jl_proxy *proxy = call->proxy;
  uint64_t now_us = jl_now ();
  struct jl_route_spill *route;

  if (!proxy->options->load_reports || zone == NULL
      || strcmp (zone, proxy->roster.local_zone) != 0)
    return zone;
  if (proxy->spills == NULL)
    proxy->spills = g_new0 (struct jl_spill_table, 1);
  route = find_or_add (proxy->spills, call->route->key);
  if (route == NULL)
    return zone;
  if (now_us >= route->spill.updated_us + JL_CONTROL_WINDOW_US)
    update (&route->spill, call, now_us);
  if (g_random_double () >= route->spill.share)
    return zone;
  proxy->counters.spilled++;
  return route->spill.zone;
}
