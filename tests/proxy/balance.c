/**
 * DOC: Load test of the balance between zones: all zones are short of a deep
 * service, but some more than others.
 *
 * Time is virtual. Demand and capacity of the five zones are those of the large
 * site in its long burst.
 */

#include <criterion/criterion.h>

#include <math.h>
#include <string.h>

#include "proxy/plan.h"

#include "proxy/parts/model.h"

#define ZONES 5
/* Time until other zones know a changed value, in steps of the model. */
#define DIGEST_STEPS 500
#define WINDOW_STEPS 100
/* Time for which a run holds a slot. */
#define HOLD_US 50000.0

static const char *const names[ZONES] = { "z1", "z2", "z3", "z4", "z5" };
/* Requests a second that the deep targets of each zone can run. */
static const double capacities[ZONES] = { 2160, 1360, 1960, 820, 1420 };
/* Shares of the callers in each zone. */
static const double callers[ZONES] = { 0.225, 0.216, 0.162, 0.22, 0.177 };

/**
 * struct caller_zone - the callers of one zone, and what is known there
 * @window: requests offered in this control window
 * @offered: requests offered
 * @admitted: requests admitted, in whichever zone
 * @moved: requests admitted in another zone
 */
struct caller_zone
{
  struct jl_roster roster;
  struct jl_demand demand;
  double due;
  unsigned window;
  uint64_t offered;
  uint64_t admitted;
  uint64_t moved;
};

struct site
{
  struct model models[ZONES];
  struct caller_zone zones[ZONES];
  unsigned step;
};

static double
total_capacity (void)
{
  double total = 0;

  for (unsigned i = 0; i < ZONES; i++)
    total += capacities[i];
  return total;
}

static void
site_init (struct site *site)
{
  memset (site, 0, sizeof *site);
  for (unsigned i = 0; i < ZONES; i++)
    {
      struct caller_zone *zone = &site->zones[i];

      model_init (&site->models[i],
                  (unsigned)lround (capacities[i] * HOLD_US / 1e6), HOLD_US);
      jl_load_shedder_record_hold (&site->models[i].shedder, (uint64_t)HOLD_US);
      jl_roster_init (&zone->roster, names[i]);
      zone->demand.route_key = 1;
      zone->demand.rank = 2;
      zone->demand.rate = 100;
      zone->demand.tree.count = 1;
      zone->demand.tree.nodes[0]
          = (struct jl_call_node){ g_intern_string ("deep"), 1, JL_NONE };
    }
}

static void
site_clear (struct site *site)
{
  for (unsigned i = 0; i < ZONES; i++)
    jl_roster_clear (&site->zones[i].roster);
}

/* Stores the state of a zone's target in the roster of another one. */
static void
announce (struct site *site, unsigned of, unsigned to)
{
  struct jl_roster *roster = &site->zones[to].roster;
  struct jl_member *member = jl_roster_get_or_add (roster, names[of]);
  const struct model *model = &site->models[of];

  jl_roster_set_zone (roster, member, names[of]);
  g_strlcpy (member->service, "deep", sizeof member->service);
  member->state = JL_TARGET_UP;
  member->limit = model->lane.limit;
  member->capacity
      = jl_load_shedder_capacity (&model->shedder, model->lane.limit);
  member->shed_share = model->shedder.shed_share;
  member->spare_share = model->shedder.spare_share;
  member->last_beacon_us = JL_USEC_PER_SEC;
}

/* Stores the demand of a zone's callers in the roster of another one. */
static void
announce_demand (struct site *site, unsigned of, unsigned to)
{
  struct jl_roster *roster = &site->zones[to].roster;
  const struct jl_member *member = jl_roster_get_or_add (roster, names[of]);
  struct jl_zone *zone = of == to ? &roster->local : member->contact;

  zone->demands.count = 0;
  jl_service_demands_add (&zone->demands, jl_name_key ("deep"),
                          site->zones[of].demand.rate);
}

static void
measure_demand (struct caller_zone *zone)
{
  zone->demand.rate += 0.15 * (zone->window * 10.0 - zone->demand.rate);
  zone->window = 0;
}

static void
plan (struct site *site)
{
  for (unsigned i = 0; i < ZONES; i++)
    {
      measure_demand (&site->zones[i]);
      site->models[i].demand = site->zones[i].demand.rate;
    }
  for (unsigned to = 0; to < ZONES; to++)
    {
      struct caller_zone *zone = &site->zones[to];

      for (unsigned of = 0; of < ZONES; of++)
        if (of == to || site->step % DIGEST_STEPS == 0)
          {
            announce (site, of, to);
            announce_demand (site, of, to);
          }
      zone->demand.plan = jl_plan_compute (&zone->roster, &zone->demand, 1,
                                           &zone->demand, JL_USEC_PER_SEC);
    }
}

static unsigned
zone_number (const char *name)
{
  unsigned i = 0;

  while (strcmp (names[i], name) != 0)
    i++;
  return i;
}

static void
offer (struct site *site, unsigned from)
{
  struct caller_zone *zone = &site->zones[from];
  const char *name
      = jl_plan_choose_zone (&zone->demand.plan, g_random_double ());

  zone->offered++;
  zone->window++;
  if (name == NULL)
    return;
  zone->admitted++;
  zone->moved += zone_number (name) != from;
  model_admit (&site->models[zone_number (name)]);
}

/* Runs @seconds in which callers need @load times the capacity of all zones. */
static void
site_run (struct site *site, double load, unsigned seconds)
{
  double rate = load * total_capacity () / 1000;

  for (unsigned end = site->step + seconds * 1000; site->step < end;
       site->step++)
    {
      if (site->step % WINDOW_STEPS == 0)
        plan (site);
      for (unsigned i = 0; i < ZONES; i++)
        {
          struct caller_zone *zone = &site->zones[i];

          zone->due += rate * callers[i];
          while (zone->due > 0)
            {
              offer (site, i);
              zone->due += log (1 - g_random_double ());
            }
          model_step (&site->models[i], 0);
        }
    }
}

static void
forget_start (struct site *site)
{
  for (unsigned i = 0; i < ZONES; i++)
    {
      struct caller_zone *zone = &site->zones[i];

      zone->offered = zone->admitted = zone->moved = 0;
      site->models[i].served = site->models[i].expired = 0;
      site->models[i].waiting_sum = 0;
    }
}

static double
used_share (const struct site *site, unsigned seconds)
{
  uint64_t served = 0;

  for (unsigned i = 0; i < ZONES; i++)
    served += site->models[i].served;
  return (double)served / seconds / total_capacity ();
}

/* Returns the mean time in the queues, in ms. */
static double
mean_wait_ms (const struct site *site, unsigned seconds)
{
  uint64_t waiting = 0;

  for (unsigned i = 0; i < ZONES; i++)
    waiting += site->models[i].waiting_sum;
  return (double)waiting / seconds / total_capacity ();
}

static double
admitted_share (const struct caller_zone *zone)
{
  return (double)zone->admitted / (double)zone->offered;
}

/* The zones must not send all that they refuse to the same one, which is then
 * overloaded while the others are idle. */
Test (balance, zones_that_are_all_short_use_their_capacity)
{
  struct site *site = g_new (struct site, 1);
  double lowest = 1;
  double highest = 0;

  g_random_set_seed (1);
  site_init (site);
  site_run (site, 0.6, 4);
  site_run (site, 1.3, 6);
  forget_start (site);
  site_run (site, 1.3, 20);
  cr_assert_gt (used_share (site, 20), 0.95, "used %.3f",
                used_share (site, 20));
  cr_assert_lt (mean_wait_ms (site, 20), 60, "%.1f ms in the queue",
                mean_wait_ms (site, 20));
  for (unsigned i = 0; i < ZONES; i++)
    {
      lowest = MIN (lowest, admitted_share (&site->zones[i]));
      highest = MAX (highest, admitted_share (&site->zones[i]));
    }
  cr_assert_lt (highest - lowest, 0.15,
                "callers of one zone are admitted to %.2f, of another to %.2f",
                lowest, highest);
  site_clear (site);
  g_free (site);
}

/* All zones together have room, two of them alone have not. */
Test (balance, what_does_not_fit_in_a_zone_is_spread_over_those_with_room)
{
  struct site *site = g_new (struct site, 1);
  uint64_t refused = 0;
  uint64_t offered = 0;

  g_random_set_seed (2);
  site_init (site);
  site_run (site, 0.6, 4);
  site_run (site, 0.85, 6);
  forget_start (site);
  site_run (site, 0.85, 20);
  for (unsigned i = 0; i < ZONES; i++)
    {
      offered += site->zones[i].offered;
      refused += site->zones[i].offered - site->zones[i].admitted;
    }
  cr_assert_lt ((double)refused, 0.03 * (double)offered,
                "%" PRIu64 " of %" PRIu64 " refused", refused, offered);
  cr_assert_lt (mean_wait_ms (site, 20), 30, "%.1f ms in the queue",
                mean_wait_ms (site, 20));
  site_clear (site);
  g_free (site);
}
