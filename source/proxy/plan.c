/**
 * DOC: Plans which share of the requests and calls is admitted, and in which
 * zone.
 */

#include "proxy/plan.h"

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
/* Utilization up to which targets announce spare capacity. */
#define SPARE_UTILIZATION 0.85
/* Share of a zone's capacity that requests may use, its own and those of other
 * zones. */
#define USABLE_CAPACITY 0.95
/* Smallest demand of a zone, as a share of its capacity, and the largest share
 * of its demand that it admits. */
#define DEMAND_MIN 0.05
#define ADMITTED_MAX 100.0
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

/* Returns the demand that a zone's targets get, before they refuse any. */
static double
received_demand (const struct supply *supply)
{
  if (supply->shed_share > 0)
    return supply->capacity / (1 - supply->shed_share);
  return supply->capacity * (SPARE_UTILIZATION - supply->spare_share);
}

/* Returns the share of its callers' demand that a zone admits by the capacity
 * of its targets, over all services that a request reaches; above 1 if it has
 * capacity left. A demand that its callers have not announced is estimated by
 * what its targets get. */
static struct jl_zone_load
zone_load (const struct jl_roster *roster,
           const struct jl_demand *demand,
           const char *zone,
           const char *limiting_service,
           uint64_t now_us)
{
  struct jl_zone_load load = { .admitted = ADMITTED_MAX };

  for (unsigned i = 0; i < demand->tree.count; i++)
    {
      const char *service = demand->tree.nodes[i].service;
      struct supply supply = zone_supply (roster, service, zone, now_us);
      double runs = jl_roster_zone_demand (roster, zone, service);

      if (runs <= 0)
        runs = received_demand (&supply);
      runs = MAX (runs, DEMAND_MIN * supply.capacity);
      load.admitted
          = MIN (load.admitted,
                 runs > 0 ? USABLE_CAPACITY * supply.capacity / runs : 0);
      if (strcmp (service, limiting_service) == 0)
        load.demand = runs;
    }
  return load;
}

/* Plans where the requests go that are not admitted in the plan's zone, so that
 * all zones refuse the same share. */
static void
plan_overflow (struct jl_plan *plan,
               const struct jl_roster *roster,
               const struct jl_demand *demand,
               uint64_t now_us)
{
  const char *names[JL_BALANCE_ZONES_MAX] = { plan->zone };
  struct jl_zone_load loads[JL_BALANCE_ZONES_MAX];
  struct jl_balance balance;
  const char *zone;
  guint index = 0;
  unsigned count = 1;

  loads[0]
      = zone_load (roster, demand, plan->zone, plan->limiting_service, now_us);
  while (count < JL_BALANCE_ZONES_MAX
         && (zone = next_zone (roster, plan->zone, &index)) != NULL)
    {
      names[count] = zone;
      loads[count++]
          = zone_load (roster, demand, zone, plan->limiting_service, now_us);
    }
  balance = jl_balance_compute (loads, count, 0);
  if (balance.moved <= 0)
    return;
  plan->moved_share = balance.moved / (1 - loads[0].admitted);
  for (unsigned i = 0; i < count; i++)
    if (balance.shares[i] > 0)
      {
        plan->others[plan->other_count] = names[i];
        plan->other_shares[plan->other_count++] = balance.shares[i];
      }
}

struct jl_plan
jl_plan_compute (const struct jl_roster *roster,
                 const struct jl_demand *demands,
                 unsigned demand_count,
                 const struct jl_demand *demand,
                 uint64_t now_us)
{
  struct jl_plan plan = { .admit_share = 1, .limiting_service = "" };

  plan.zone = cheapest_zone (roster, demand, now_us);
  limit_to_zone_capacity (&plan, roster, demands, demand_count, demand, now_us);
  if (plan.admit_share < 1)
    plan_overflow (&plan, roster, demand, now_us);
  return plan;
}

const char *
jl_plan_choose_zone (const struct jl_plan *plan, double draw)
{
  if (draw < plan->admit_share)
    return plan->zone;
  if (plan->moved_share <= 0)
    return NULL;
  /* Scales the rest of the range, from the admitted share to 1, to 0 to 1, and
   * the part of it that is moved likewise. */
  draw = (draw - plan->admit_share) / (1 - plan->admit_share);
  draw /= plan->moved_share;
  for (unsigned i = 0; i < plan->other_count; i++)
    {
      if (draw < plan->other_shares[i])
        return plan->others[i];
      draw -= plan->other_shares[i];
    }
  return NULL;
}

/* Returns the share of the local zone's calls that should go to a zone with the
 * supply @other.
 * @shed: share of the calls that the local zone refuses, as far as this is not
 *        due to the demand of its callers */
static double
overflow_share (double shed, const struct supply *other)
{
  double accepted = MIN (1, other->spare_share / SPARE_SHARE_FULL);

  if (other->targets == 0)
    return 0;
  if (other->shed_share <= 0)
    return MIN (1, OVERFLOW_GAIN * shed) * accepted;
  return shed - other->shed_share < DIFFERENCE_MIN ? 0
                                                   : shed - other->shed_share;
}

/* Returns the share that the local targets of a service refuse although the
 * local zone's callers do not demand so much: calls have come from elsewhere.
 * What its callers demand too much is moved as whole requests. */
static double
unexplained_shed (const struct jl_roster *roster,
                  const char *service,
                  const struct supply *local)
{
  double demand = jl_roster_zone_demand (roster, roster->local_zone, service);
  double explained
      = demand > local->capacity ? 1 - local->capacity / demand : 0;

  return MAX (local->shed_share - explained, 0);
}

struct jl_overflow
jl_overflow_compute (const struct jl_roster *roster,
                     const char *service,
                     uint64_t now_us)
{
  struct jl_overflow overflow = { .service = g_intern_string (service) };
  struct supply local
      = zone_supply (roster, service, roster->local_zone, now_us);
  double shed = unexplained_shed (roster, service, &local);
  const char *zone;
  guint index = 0;

  while (shed > 0
         && (zone = next_zone (roster, roster->local_zone, &index)) != NULL)
    {
      struct supply other = zone_supply (roster, service, zone, now_us);
      double share = overflow_share (shed, &other);

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
