/**
 * DOC: Plans which share of the requests and calls is admitted, and in which
 * zone.
 */

#include "proxy/plan.h"

#include "policy/completion.h"

#include <math.h>
#include <string.h>

/* A request is refused if it causes at least this mean number of runs at a
 * service that has no target. */
#define RUNS_REQUIRED_MIN 0.7
/* Cost of a failed request, in messages that cross zones. */
#define FAILURE_COST 10.0
/* Failure rate up to which requests aren't moved to another zone. */
#define FAILURE_RATE_IGNORED 0.04
/* Spare share of the capacity at which another zone accepts all requests
 * offered to it. */
#define SPARE_SHARE_FULL 0.25
/* Smallest difference of the shares admitted, or refused, in two zones at which
 * requests move between two overloaded zones. */
#define DIFFERENCE_MIN 0.1
/* Share of the calls sent to another zone for each unit of the refused share.
 * It is above 1 since a call that crosses zones costs less than a refusal. */
#define OVERFLOW_GAIN 2.0

/**
 * struct supply - announced state of some targets of a service
 * @capacity: sum of their capacities; the limit is used where the capacity is
 *            not known
 * @shed_share: mean share of the demand to refuse, weighted by capacity
 * @spare_share: mean spare share, weighted by capacity
 * @failure_rate: mean failure rate, weighted by capacity
 * @targets: number of targets that accept work
 */
struct supply
{
  double capacity;
  double shed_share;
  double spare_share;
  double failure_rate;
  unsigned targets;
};

/* Sums up the targets in @zone if @inside, else those of all other zones. */
static struct supply
supply_of (const struct jl_roster *roster,
           const char *service,
           const char *zone,
           bool inside,
           uint64_t now_us)
{
  struct supply supply = { 0 };

  for (guint i = 0; i < roster->members->len; i++)
    {
      const struct jl_member *member = g_ptr_array_index (roster->members, i);
      double weight = MAX (member->limit, 1);

      if ((strcmp (member->zone, zone) == 0) != inside
          || !jl_member_accepts_work (member, service, now_us))
        continue;
      if (member->capacity > 0)
        weight = member->capacity;
      supply.targets++;
      supply.capacity += weight;
      supply.shed_share += weight * member->shed_share;
      supply.spare_share += weight * member->spare_share;
      supply.failure_rate += weight * member->failure_rate;
    }
  if (supply.targets == 0)
    return supply;
  supply.shed_share /= supply.capacity;
  supply.spare_share /= supply.capacity;
  supply.failure_rate /= supply.capacity;
  return supply;
}

static struct supply
zone_supply (const struct jl_roster *roster,
             const char *service,
             const char *zone,
             uint64_t now_us)
{
  return supply_of (roster, service, zone, true, now_us);
}

/* Whether requests of @a are admitted before those of @b: the more important
 * ones first, then those with fewer runs at @service. */
static bool
has_precedence (const struct jl_demand *a,
                const struct jl_demand *b,
                const char *service)
{
  double a_runs = jl_call_tree_runs (&a->tree, service);
  double b_runs = jl_call_tree_runs (&b->tree, service);

  if (a->rank != b->rank)
    return a->rank < b->rank;
  if (a_runs != b_runs)
    return a_runs < b_runs;
  return a->route_key < b->route_key;
}

/*
 * Returns the share of @demand that is admitted when @service refuses the share
 * @shed of its whole demand. More important requests are admitted first.
 */
static double
admitted_share (const struct jl_demand *demands,
                unsigned demand_count,
                const struct jl_demand *demand,
                const char *service,
                double shed)
{
  double demand_load
      = demand->rate * jl_call_tree_runs (&demand->tree, service);
  double preceding = 0;
  double total = 0;

  for (unsigned i = 0; i < demand_count; i++)
    {
      double load
          = demands[i].rate * jl_call_tree_runs (&demands[i].tree, service);

      total += load;
      if (&demands[i] != demand
          && has_precedence (&demands[i], demand, service))
        preceding += load;
    }
  if (demand_load <= 0)
    return 1 - shed;
  return CLAMP (((1 - shed) * total - preceding) / demand_load, 0, 1);
}

/**
 * struct location - where the runs of a call tree node take place, if the
 * request is placed in a zone
 * @inside: in that zone; otherwise in other zones
 * @crosses: the calls that start these runs leave the zone
 * @supply: targets of the node's service there
 */
struct location
{
  bool inside;
  bool crosses;
  struct supply supply;
};

/* Calls stay in their zone while it has a target of the service. Calls that are
 * made outside the zone stay outside. */
static void
locate_runs (const struct jl_roster *roster,
             const struct jl_call_tree *tree,
             const char *zone,
             uint64_t now_us,
             struct location *locations)
{
  for (unsigned i = 0; i < tree->count; i++)
    {
      const struct jl_call_node *node = &tree->nodes[i];
      bool from_inside
          = node->parent == JL_NONE || locations[node->parent].inside;
      struct location *location = &locations[i];

      location->supply
          = supply_of (roster, node->service, zone, from_inside, now_us);
      location->inside = from_inside && location->supply.targets > 0;
      location->crosses = from_inside && !location->inside;
      if (location->crosses)
        location->supply
            = supply_of (roster, node->service, zone, false, now_us);
    }
}

/* Lowers the admitted share of @plan to what the services of the call tree
 * admit with the request in the plan's zone. */
static void
limit_to_zone_capacity (struct jl_plan *plan,
                        const struct jl_roster *roster,
                        const struct jl_demand *demands,
                        unsigned demand_count,
                        const struct jl_demand *demand,
                        uint64_t now_us)
{
  struct location locations[JL_CALL_TREE_NODES_MAX];

  locate_runs (roster, &demand->tree, plan->zone, now_us, locations);
  for (unsigned i = 0; i < demand->tree.count; i++)
    {
      const char *service = demand->tree.nodes[i].service;
      const struct supply *supply = &locations[i].supply;
      double admit_share = 1;

      if (supply->targets == 0
          && demand->tree.nodes[i].runs >= RUNS_REQUIRED_MIN)
        admit_share = 0;
      else if (supply->shed_share > 0)
        admit_share = admitted_share (demands, demand_count, demand, service,
                                      supply->shed_share);
      if (admit_share >= plan->admit_share)
        continue;
      plan->admit_share = admit_share;
      plan->limiting_service = service;
      plan->shed_share = supply->shed_share;
    }
}

/*
 * Returns the cost of placing one request in @zone: the messages that cross
 * zones, plus FAILURE_COST times the probability that one of its runs fails.
 */
static double
zone_cost (const struct jl_roster *roster,
           const struct jl_demand *demand,
           const char *zone,
           uint64_t now_us)
{
  struct location locations[JL_CALL_TREE_NODES_MAX];
  double crossings = strcmp (zone, roster->local_zone) != 0 ? 1 : 0;
  double success = 1;

  locate_runs (roster, &demand->tree, zone, now_us, locations);
  for (unsigned i = 0; i < demand->tree.count; i++)
    {
      double runs = demand->tree.nodes[i].runs;

      if (locations[i].crosses)
        crossings += runs;
      if (locations[i].supply.failure_rate > FAILURE_RATE_IGNORED)
        success *= pow (1 - locations[i].supply.failure_rate, runs);
    }
  return crossings + FAILURE_COST * (1 - success);
}

/* Returns the share of the requests offered by other zones that @zone accepts.
 */
static double
zone_accepted_share (const struct jl_roster *roster,
                     const struct jl_demand *demand,
                     const char *zone,
                     uint64_t now_us)
{
  double accepted = 1;

  for (unsigned i = 0; i < demand->tree.count; i++)
    {
      struct supply supply
          = zone_supply (roster, demand->tree.nodes[i].service, zone, now_us);

      if (supply.targets == 0 || supply.shed_share > 0)
        return 0;
      accepted = MIN (accepted, supply.spare_share / SPARE_SHARE_FULL);
    }
  return accepted;
}

static bool
is_first_of_zone (const struct jl_roster *roster, guint index)
{
  const struct jl_member *member = g_ptr_array_index (roster->members, index);

  for (guint i = 0; i < index; i++)
    {
      const struct jl_member *other = g_ptr_array_index (roster->members, i);

      if (strcmp (other->zone, member->zone) == 0)
        return false;
    }
  return true;
}

/*
 * Returns the next zone of the members from *@index on, or NULL at the end. The
 * zone @except is left out; it may be NULL.
 */
static const char *
next_zone (const struct jl_roster *roster, const char *except, guint *index)
{
  while (*index < roster->members->len)
    {
      const struct jl_member *member
          = g_ptr_array_index (roster->members, *index);
      bool first = is_first_of_zone (roster, *index);

      (*index)++;
      if (first && (except == NULL || strcmp (member->zone, except) != 0))
        return member->zone;
    }
  return NULL;
}

/* Returns the zone in which a request costs least. The local zone is preferred
 * at equal cost. */
static const char *
cheapest_zone (const struct jl_roster *roster,
               const struct jl_demand *demand,
               uint64_t now_us)
{
  const char *best = roster->local_zone;
  double best_cost = zone_cost (roster, demand, best, now_us);
  double best_accepted = 0;
  const char *zone;
  guint index = 0;

  while (best_cost > 0 && (zone = next_zone (roster, NULL, &index)) != NULL)
    {
      double cost = zone_cost (roster, demand, zone, now_us);
      double accepted;

      if (cost > best_cost)
        continue;
      accepted = zone_accepted_share (roster, demand, zone, now_us);
      if (cost == best_cost && accepted <= best_accepted)
        continue;
      best = zone;
      best_cost = cost;
      best_accepted = accepted;
    }
  return best;
}

/* Returns the zone, other than @home, that accepts the largest share of the
 * requests, NULL if none accepts any. Sets *@accepted to that share. */
static const char *
zone_with_most_spare_capacity (const struct jl_roster *roster,
                               const struct jl_demand *demand,
                               const char *home,
                               uint64_t now_us,
                               double *accepted)
{
  const char *best = NULL;
  const char *zone;
  guint index = 0;

  *accepted = 0;
  while ((zone = next_zone (roster, home, &index)) != NULL)
    {
      double other_accepted
          = zone_accepted_share (roster, demand, zone, now_us);

      if (other_accepted <= *accepted)
        continue;
      *accepted = other_accepted;
      best = zone;
    }
  return best;
}

/* Returns the plan with the largest admitted share among the zones other than
 * @home. */
static struct jl_plan
most_admitting_plan (const struct jl_roster *roster,
                     const struct jl_demand *demands,
                     unsigned demand_count,
                     const struct jl_demand *demand,
                     const char *home,
                     uint64_t now_us)
{
  struct jl_plan best = { .admit_share = 0 };
  const char *zone;
  guint index = 0;

  while ((zone = next_zone (roster, home, &index)) != NULL)
    {
      struct jl_plan plan = { .zone = zone, .admit_share = 1 };

      limit_to_zone_capacity (&plan, roster, demands, demand_count, demand,
                              now_us);
      if (plan.admit_share > best.admit_share)
        best = plan;
    }
  return best;
}

/* Plans where the requests go that are not admitted in the plan's zone: to a
 * zone with spare capacity, or to a zone that refuses less. */
static void
plan_overflow (struct jl_plan *plan,
               const struct jl_roster *roster,
               const struct jl_demand *demands,
               unsigned demand_count,
               const struct jl_demand *demand,
               uint64_t now_us)
{
  struct jl_plan most_admitting = most_admitting_plan (
      roster, demands, demand_count, demand, plan->zone, now_us);
  double difference = most_admitting.admit_share - plan->admit_share;

  plan->other_zone = zone_with_most_spare_capacity (
      roster, demand, plan->zone, now_us, &plan->other_zone_share);
  if (difference < DIFFERENCE_MIN || difference < plan->other_zone_share)
    return;
  plan->other_zone = most_admitting.zone;
  plan->other_zone_share = difference;
}

/* Returns the lowest failure rate among the targets of a service. Requests are
 * sent to sound targets first, in any zone. */
static double
lowest_failure_rate (const struct jl_roster *roster,
                     const char *service,
                     uint64_t now_us)
{
  double lowest = 1;

  for (guint i = 0; i < roster->members->len; i++)
    {
      const struct jl_member *member = g_ptr_array_index (roster->members, i);

      if (member->failure_rate < lowest
          && jl_member_accepts_work (member, service, now_us))
        lowest = member->failure_rate;
    }
  return lowest;
}

double
jl_plan_chance (const struct jl_roster *roster,
                const struct jl_call_tree *tree,
                uint64_t now_us)
{
  double chance = 1;

  for (unsigned i = 0; i < tree->count; i++)
    chance *= jl_completion_after_runs (
        lowest_failure_rate (roster, tree->nodes[i].service, now_us),
        tree->nodes[i].runs);
  return chance;
}

struct jl_plan
jl_plan_compute (const struct jl_roster *roster,
                 const struct jl_demand *demands,
                 unsigned demand_count,
                 const struct jl_demand *demand,
                 uint64_t now_us)
{
  struct jl_plan plan = { .admit_share = 1, .limiting_service = "" };

  plan.chance = jl_plan_chance (roster, &demand->tree, now_us);
  plan.zone = cheapest_zone (roster, demand, now_us);
  limit_to_zone_capacity (&plan, roster, demands, demand_count, demand, now_us);
  if (plan.admit_share < 1)
    plan_overflow (&plan, roster, demands, demand_count, demand, now_us);
  return plan;
}

const char *
jl_plan_choose_zone (const struct jl_plan *plan, double draw)
{
  if (draw < plan->admit_share)
    return plan->zone;
  if (plan->other_zone == NULL)
    return NULL;
  /* Scales the rest of the range, from the admitted share to 1, to 0 to 1. */
  draw = (draw - plan->admit_share) / (1 - plan->admit_share);
  return draw < plan->other_zone_share ? plan->other_zone : NULL;
}

/* Returns the share of the local zone's calls that should go to a zone with the
 * supply @other. */
static double
overflow_share (const struct supply *local, const struct supply *other)
{
  double accepted = MIN (1, other->spare_share / SPARE_SHARE_FULL);

  if (other->targets == 0)
    return 0;
  if (other->shed_share <= 0)
    return MIN (1, OVERFLOW_GAIN * local->shed_share) * accepted;
  return local->shed_share - other->shed_share < DIFFERENCE_MIN
             ? 0
             : local->shed_share - other->shed_share;
}

struct jl_overflow
jl_overflow_compute (const struct jl_roster *roster,
                     const char *service,
                     uint64_t now_us)
{
  struct jl_overflow overflow = { .service = g_intern_string (service) };
  struct supply local
      = zone_supply (roster, service, roster->local_zone, now_us);
  const char *zone;
  guint index = 0;

  while (local.shed_share > 0
         && (zone = next_zone (roster, roster->local_zone, &index)) != NULL)
    {
      struct supply other = zone_supply (roster, service, zone, now_us);
      double share = overflow_share (&local, &other);

      if (share <= overflow.share)
        continue;
      overflow.zone = zone;
      overflow.share = share;
    }
  return overflow;
}

const char *
jl_overflow_choose_zone (const struct jl_overflow *overflow,
                         const struct jl_roster *roster,
                         double draw)
{
  if (overflow->zone != NULL && draw < overflow->share)
    return overflow->zone;
  return roster->local_zone;
}
