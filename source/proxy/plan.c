/**
 * DOC: What becomes of requests and calls until the next window.
 */

#include "proxy/plan.h"

#include <math.h>
#include <string.h>

/* Runs for a request from which on it cannot do without a service. */
#define RUNS_CERTAIN 0.7
/* Crossings that are as bad as a request that fails. */
#define FAILING_WEIGHT 10.0
/* Failing share that is no reason to cross. */
#define FAILING_LITTLE 0.04
/* Room at which another zone takes all that is offered to it. */
#define ROOM_FULL 0.25
/* Difference of what two zones let in from which on they even out. */
#define UNEVEN 0.1
/* Calls that overflow for each request that entries refuse: a call that crosses
 * costs less than a refusal. */
#define OVERFLOW_GAIN 2.0

/* What some targets of a service say. */
struct supply
{
  double capacity;
  double shed;
  double room;
  double failing;
  unsigned targets;
};

/* Of the targets in @zone, or else of all that are not there. */
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
          || !jl_member_takes_work (member, service, now_us))
        continue;
      if (member->capacity > 0)
        weight = member->capacity;
      supply.targets++;
      supply.capacity += weight;
      supply.shed += weight * member->shed;
      supply.room += weight * member->room;
      supply.failing += weight * member->failing;
    }
  if (supply.targets == 0)
    return supply;
  supply.shed /= supply.capacity;
  supply.room /= supply.capacity;
  supply.failing /= supply.capacity;
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

/* Whether @a is refused after @b. */
static bool
goes_before (const struct jl_demand *a,
             const struct jl_demand *b,
             const char *service)
{
  double a_runs = jl_needs_runs (&a->needs, service);
  double b_runs = jl_needs_runs (&b->needs, service);

  if (a->rank != b->rank)
    return a->rank < b->rank;
  if (a_runs != b_runs)
    return a_runs < b_runs;
  return a->route < b->route;
}

/*
 * Share of @demand that is let in when @service refuses the share @shed of
 * all: what is more important is let in first.
 */
static double
share_kept (const struct jl_demand *demands,
            unsigned demand_count,
            const struct jl_demand *demand,
            const char *service,
            double shed)
{
  double own = demand->rate * jl_needs_runs (&demand->needs, service);
  double before = 0;
  double total = 0;

  for (unsigned i = 0; i < demand_count; i++)
    {
      double load
          = demands[i].rate * jl_needs_runs (&demands[i].needs, service);

      total += load;
      if (&demands[i] != demand && goes_before (&demands[i], demand, service))
        before += load;
    }
  if (own <= 0)
    return 1 - shed;
  return CLAMP (((1 - shed) * total - before) / own, 0, 1);
}

/**
 * struct spot - where the runs of a need are, if the request is placed in a
 * zone
 * @inside: in that zone; else in others, which its calls went to
 * @crosses: the calls go from the zone to others here
 */
struct spot
{
  bool inside;
  bool crosses;
  struct supply supply;
};

/* Calls stay in their zone while it has a target; further ones stay out there.
 */
static void
find_spots (const struct jl_roster *roster,
            const struct jl_needs *needs,
            const char *zone,
            uint64_t now_us,
            struct spot *spots)
{
  for (unsigned i = 0; i < needs->count; i++)
    {
      const struct jl_need *need = &needs->list[i];
      bool from_inside = need->parent == JL_NONE || spots[need->parent].inside;
      struct spot *spot = &spots[i];

      spot->supply
          = supply_of (roster, need->service, zone, from_inside, now_us);
      spot->inside = from_inside && spot->supply.targets > 0;
      spot->crosses = from_inside && !spot->inside;
      if (spot->crosses)
        spot->supply = supply_of (roster, need->service, zone, false, now_us);
    }
}

static void
judge_zone (struct jl_plan *plan,
            const struct jl_roster *roster,
            const struct jl_demand *demands,
            unsigned demand_count,
            const struct jl_demand *demand,
            uint64_t now_us)
{
  struct spot spots[JL_NEED_MAX];

  find_spots (roster, &demand->needs, plan->zone, now_us, spots);
  for (unsigned i = 0; i < demand->needs.count; i++)
    {
      const char *service = demand->needs.list[i].service;
      const struct supply *supply = &spots[i].supply;
      double keep = 1;

      if (supply->targets == 0 && demand->needs.list[i].runs >= RUNS_CERTAIN)
        keep = 0;
      else if (supply->shed > 0)
        keep
            = share_kept (demands, demand_count, demand, service, supply->shed);
      if (keep >= plan->keep)
        continue;
      plan->keep = keep;
      plan->service = service;
      plan->shed = supply->shed;
    }
}

/*
 * What placing one request in @zone costs: messages that cross zones, and the
 * likelihood that one of its runs fails.
 */
static double
zone_cost (const struct jl_roster *roster,
           const struct jl_demand *demand,
           const char *zone,
           uint64_t now_us)
{
  struct spot spots[JL_NEED_MAX];
  double count = strcmp (zone, roster->own_zone) != 0 ? 1 : 0;
  double success = 1;

  find_spots (roster, &demand->needs, zone, now_us, spots);
  for (unsigned i = 0; i < demand->needs.count; i++)
    {
      double runs = demand->needs.list[i].runs;

      if (spots[i].crosses)
        count += runs;
      if (spots[i].supply.failing > FAILING_LITTLE)
        success *= pow (1 - spots[i].supply.failing, runs);
    }
  return count + FAILING_WEIGHT * (1 - success);
}

/* Share of other zones' requests that @zone takes. */
static double
zone_room (const struct jl_roster *roster,
           const struct jl_demand *demand,
           const char *zone,
           uint64_t now_us)
{
  double room = 1;

  for (unsigned i = 0; i < demand->needs.count; i++)
    {
      struct supply supply
          = zone_supply (roster, demand->needs.list[i].service, zone, now_us);

      if (supply.targets == 0 || supply.shed > 0)
        return 0;
      room = MIN (room, supply.room / ROOM_FULL);
    }
  return room;
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
 * The next zone that members from *@index on name, other than @but; NULL at the
 * end. @but may be NULL.
 */
static const char *
next_zone (const struct jl_roster *roster, const char *but, guint *index)
{
  while (*index < roster->members->len)
    {
      const struct jl_member *member
          = g_ptr_array_index (roster->members, *index);
      bool first = is_first_of_zone (roster, *index);

      (*index)++;
      if (first && (but == NULL || strcmp (member->zone, but) != 0))
        return member->zone;
    }
  return NULL;
}

/* The zone in which a request costs least; the own one if it is as good. */
static const char *
home_zone (const struct jl_roster *roster,
           const struct jl_demand *demand,
           uint64_t now_us)
{
  const char *best = roster->own_zone;
  double best_cost = zone_cost (roster, demand, best, now_us);
  double best_room = 0;
  const char *zone;
  guint index = 0;

  while (best_cost > 0 && (zone = next_zone (roster, NULL, &index)) != NULL)
    {
      double cost = zone_cost (roster, demand, zone, now_us);
      double room;

      if (cost > best_cost)
        continue;
      room = zone_room (roster, demand, zone, now_us);
      if (cost == best_cost && room <= best_room)
        continue;
      best = zone;
      best_cost = cost;
      best_room = room;
    }
  return best;
}

static const char *
roomiest_zone (const struct jl_roster *roster,
               const struct jl_demand *demand,
               const char *home,
               uint64_t now_us,
               double *room)
{
  const char *best = NULL;
  const char *zone;
  guint index = 0;

  *room = 0;
  while ((zone = next_zone (roster, home, &index)) != NULL)
    {
      double other = zone_room (roster, demand, zone, now_us);

      if (other <= *room)
        continue;
      *room = other;
      best = zone;
    }
  return best;
}

/* The zone, other than @home, that lets in most, and what it lets in. */
static struct jl_plan
mildest_zone (const struct jl_roster *roster,
              const struct jl_demand *demands,
              unsigned demand_count,
              const struct jl_demand *demand,
              const char *home,
              uint64_t now_us)
{
  struct jl_plan best = { .keep = 0 };
  const char *zone;
  guint index = 0;

  while ((zone = next_zone (roster, home, &index)) != NULL)
    {
      struct jl_plan plan = { .zone = zone, .keep = 1 };

      judge_zone (&plan, roster, demands, demand_count, demand, now_us);
      if (plan.keep > best.keep)
        best = plan;
    }
  return best;
}

/* What the own zone has no room for: another one has, or refuses less. */
static void
plan_overflow (struct jl_plan *plan,
               const struct jl_roster *roster,
               const struct jl_demand *demands,
               unsigned demand_count,
               const struct jl_demand *demand,
               uint64_t now_us)
{
  struct jl_plan mildest = mildest_zone (roster, demands, demand_count, demand,
                                         plan->zone, now_us);
  double difference = mildest.keep - plan->keep;

  plan->other_zone
      = roomiest_zone (roster, demand, plan->zone, now_us, &plan->room);
  if (difference < UNEVEN || difference < plan->room)
    return;
  plan->other_zone = mildest.zone;
  plan->room = difference;
}

struct jl_plan
jl_plan_of (const struct jl_roster *roster,
            const struct jl_demand *demands,
            unsigned demand_count,
            const struct jl_demand *demand,
            uint64_t now_us)
{
  struct jl_plan plan = { .keep = 1, .service = "" };

  plan.zone = home_zone (roster, demand, now_us);
  judge_zone (&plan, roster, demands, demand_count, demand, now_us);
  if (plan.keep < 1)
    plan_overflow (&plan, roster, demands, demand_count, demand, now_us);
  return plan;
}

const char *
jl_plan_zone (const struct jl_plan *plan, double draw)
{
  if (draw < plan->keep)
    return plan->zone;
  if (plan->other_zone == NULL)
    return NULL;
  /* Uniform between the share that was kept and 1. */
  draw = (draw - plan->keep) / (1 - plan->keep);
  return draw < plan->room ? plan->other_zone : NULL;
}

/* Share of the own zone's calls that should go to a zone of this supply. */
static double
overflow_share (const struct supply *own, const struct supply *other)
{
  double room = MIN (1, other->room / ROOM_FULL);

  if (other->targets == 0)
    return 0;
  if (other->shed <= 0)
    return MIN (1, OVERFLOW_GAIN * own->shed) * room;
  return own->shed - other->shed < UNEVEN ? 0 : own->shed - other->shed;
}

struct jl_overflow
jl_overflow_of (const struct jl_roster *roster,
                const char *service,
                uint64_t now_us)
{
  struct jl_overflow overflow = { .service = g_intern_string (service) };
  struct supply own = zone_supply (roster, service, roster->own_zone, now_us);
  const char *zone;
  guint index = 0;

  while (own.shed > 0
         && (zone = next_zone (roster, roster->own_zone, &index)) != NULL)
    {
      struct supply other = zone_supply (roster, service, zone, now_us);
      double share = overflow_share (&own, &other);

      if (share <= overflow.share)
        continue;
      overflow.zone = zone;
      overflow.share = share;
    }
  return overflow;
}

const char *
jl_overflow_zone (const struct jl_overflow *overflow,
                  const struct jl_roster *roster,
                  double draw)
{
  if (overflow->zone != NULL && draw < overflow->share)
    return overflow->zone;
  return roster->own_zone;
}
