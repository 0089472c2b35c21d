/**
 * DOC: Runs simulated loads against load shedding and the plans, and checks how
 * many requests are served, refused and expired.
 */

#include <criterion/criterion.h>
#include <math.h>
#include <string.h>

#include "policy/failure-rate.h"
#include "policy/fanout.h"
#include "policy/origin.h"
#include "proxy/plan.h"

#include "proxy/parts/model.h"

Test (load, a_usual_load_is_not_refused)
{
  struct model model;

  g_random_set_seed (1);
  model_init (&model, 14, 24000);
  model_run (&model, 400, 10);
  cr_assert_eq (model.refused, 0, "%" PRIu64 " refused", model.refused);
  cr_assert_eq (model.expired, 0);
}

/* A burst of 1.7 times the usual load for 20 s, as at the start of most days.
 */
Test (load, a_burst_is_refused_at_its_entry_and_not_in_the_lane)
{
  struct model model;
  double capacity = 14 / 0.024;
  double servable;

  g_random_set_seed (1);
  model_init (&model, 14, 24000);
  model_run (&model, 0.8 * capacity, 5);
  model.served = model.offered = model.refused = model.expired = 0;
  model.waiting_sum = 0;
  model_run (&model, 1.36 * capacity, 20);
  servable = capacity * 20;
  cr_assert_gt (model.served, 0.95 * servable, "%" PRIu64 " of %.0f served",
                model.served, servable);
  /* A request's latency goal has to cover several calls in sequence. */
  cr_assert_lt ((double)model.waiting_sum / 20000 / capacity, 0.05,
                "mean wait in the queue: %.0f ms",
                (double)model.waiting_sum / 20 / capacity);
  /* The work that callers have done before a request expires is wasted. */
  cr_assert_lt (model.expired, 0.02 * (double)model.offered,
                "%" PRIu64 " expired", model.expired);
}

/* All but one of the targets are lost, and the last one receives 30 times its
 * capacity. */
Test (load, a_demand_far_above_the_capacity_leaves_a_short_queue)
{
  struct model model;
  double capacity = 14 / 0.024;

  g_random_set_seed (1);
  model_init (&model, 14, 24000);
  model_run (&model, 0.8 * capacity, 5);
  model_run (&model, 30 * capacity, 5);
  model.served = model.expired = model.waiting_sum = 0;
  model_run (&model, 30 * capacity, 10);
  cr_assert_gt (model.served, 0.9 * capacity * 10, "%" PRIu64 " served",
                model.served);
  cr_assert_lt ((double)model.waiting_sum / 10000 / capacity, 0.05,
                "mean wait in the queue: %.0f ms",
                (double)model.waiting_sum / 10 / capacity);
}

Test (load, after_a_burst_all_are_let_in_again)
{
  struct model model;
  double capacity = 14 / 0.024;

  g_random_set_seed (1);
  model_init (&model, 14, 24000);
  model_run (&model, 1.7 * capacity, 10);
  model_run (&model, 0.6 * capacity, 5);
  model.offered = model.refused = 0;
  model_run (&model, 0.6 * capacity, 5);
  cr_assert_lt (model.refused, 0.01 * (double)model.offered);
}

/**
 * struct zones - two availability zones with one target each
 * @near: target of the zone "z1"
 * @far: target of the zone "z2"
 */
struct zones
{
  struct jl_roster roster;
  struct model near;
  struct model far;
};

/* The entries learn within a second that the target takes less than its slots
 * could run. */
Test (load, a_limit_that_the_target_names_is_lost_capacity)
{
  struct model model;
  double rate = 100;

  g_random_set_seed (39);
  model_init (&model, 14, 24000);
  model_run (&model, 2 * rate, 2);
  cr_assert_eq (model.refused, 0);
  model.shedder.rate_limit = rate;
  model_run (&model, 2 * rate, 1);
  model.offered = model.refused = 0;
  model_run (&model, 2 * rate, 10);
  cr_assert_float_eq ((double)model.refused / (double)model.offered, 0.5, 0.05,
                      "%" PRIu64 " of %" PRIu64 " refused", model.refused,
                      model.offered);
  cr_assert_eq (jl_load_shedder_used_slots (&model.shedder, 14), 3);
  cr_assert_float_eq (jl_load_shedder_capacity (&model.shedder, 14), rate,
                      1e-9);
}

/* Stores a target's state in the roster, as its beacon would. */
static void
announce_zone (struct zones *zones, const char *zone, const struct model *model)
{
  struct jl_member *member = jl_roster_get_or_add (&zones->roster, zone);

  jl_roster_set_zone (&zones->roster, member, zone);
  g_strlcpy (member->service, "deep", sizeof member->service);
  member->state = JL_TARGET_UP;
  member->limit = model->lane.limit;
  member->capacity
      = jl_load_shedder_capacity (&model->shedder, model->lane.limit);
  member->shed_share = model->shedder.shed_share;
  member->spare_share = model->shedder.spare_share;
  member->last_beacon_us = JL_USEC_PER_SEC;
}

/* One step in which the zone "z1" makes @rate calls a second. */
static void
zones_step (struct zones *zones, double rate, struct jl_overflow *overflow)
{
  struct model *near = &zones->near;

  if (near->step % (JL_CONTROL_WINDOW_US / STEP_US) == 0)
    {
      announce_zone (zones, "z1", near);
      announce_zone (zones, "z2", &zones->far);
      *overflow = jl_overflow_compute (&zones->roster, "deep", JL_USEC_PER_SEC);
    }
  for (near->arrivals_due += rate * STEP_US / 1e6; near->arrivals_due >= 1;
       near->arrivals_due--)
    if (model_offer (near))
      model_admit (strcmp (jl_overflow_choose_zone (overflow, &zones->roster,
                                                    g_random_double ()),
                           "z1")
                           == 0
                       ? near
                       : &zones->far);
  model_step (near, 0);
  model_step (&zones->far, 0);
}

/*
 * The calling service has targets in one zone only. Its calls exceed the
 * capacity of that zone's deep target, while that of the other zone is idle.
 */
Test (load, calls_overflow_to_a_zone_whose_targets_are_idle)
{
  struct zones zones;
  struct jl_overflow overflow = { 0 };
  double capacity = 14 / 0.024;

  g_random_set_seed (1);
  jl_roster_init (&zones.roster, "z1");
  model_init (&zones.near, 14, 24000);
  model_init (&zones.far, 14, 24000);
  jl_load_shedder_record_hold (&zones.far.shedder, 24000);
  for (unsigned i = 0; i < 5000; i++)
    zones_step (&zones, 1.5 * capacity, &overflow);
  zones.near.served = zones.far.served = 0;
  for (unsigned i = 0; i < 10000; i++)
    zones_step (&zones, 1.5 * capacity, &overflow);
  cr_assert_gt (zones.near.served + zones.far.served, 0.85 * 15 * capacity,
                "%" PRIu64 " in z1 and %" PRIu64 " in z2 of %.0f",
                zones.near.served, zones.far.served, 15 * capacity);
  cr_assert_gt (zones.near.served, 0.9 * 10 * capacity,
                "calls stay in their zone while it has capacity");
  jl_roster_clear (&zones.roster);
}

/*
 * The other zone has callers of its own and refuses a small share of their
 * calls, while the local zone refuses half.
 */
Test (load, calls_overflow_to_a_zone_that_refuses_less)
{
  struct zones zones;
  struct jl_overflow overflow = { 0 };
  double capacity = 14 / 0.024;
  double far_due = 0;

  g_random_set_seed (1);
  jl_roster_init (&zones.roster, "z1");
  model_init (&zones.near, 14, 96000);
  model_init (&zones.far, 14, 24000);
  for (unsigned i = 0; i < 20000; i++)
    {
      if (i == 5000)
        zones.near.refused = zones.near.offered = 0;
      far_due += capacity * 1.05 * STEP_US / 1e6;
      while (far_due >= 1)
        {
          far_due--;
          if (model_offer (&zones.far))
            model_admit (&zones.far);
        }
      zones_step (&zones, 0.5 * capacity, &overflow);
    }
  cr_assert_lt ((double)zones.near.refused, 0.45 * (double)zones.near.offered,
                "%" PRIu64 " of %" PRIu64 " refused where the zone alone has "
                "capacity for half",
                zones.near.refused, zones.near.offered);
  jl_roster_clear (&zones.roster);
}

/* Daemons of the service in the zone that is cut off, and the time until an
 * attempt to connect to one of them ends. */
#define CUT_DAEMONS 8
#define CONNECT_STEPS 250

/**
 * struct cut - calls that overflow to a zone which is cut off
 * @failing: ring of the daemons to which an attempt to connect ends, by step
 * @lost: attempts to connect that were in vain
 * @local: calls that ran in the local zone at once
 */
struct cut
{
  struct jl_roster roster;
  struct jl_member *failing[CONNECT_STEPS];
  unsigned lost;
  unsigned local;
};

static void
cut_init (struct cut *cut)
{
  struct jl_member *near;

  memset (cut, 0, sizeof *cut);
  jl_roster_init (&cut->roster, "z1");
  near = jl_roster_get_or_add (&cut->roster, "near");
  jl_roster_set_zone (&cut->roster, near, "z1");
  g_strlcpy (near->service, "deep", sizeof near->service);
  near->state = JL_TARGET_UP;
  near->capacity = near->limit = 100;
  near->shed_share = 0.5;
  for (unsigned i = 0; i < CUT_DAEMONS; i++)
    {
      char name[16];
      struct jl_member *far;

      g_snprintf (name, sizeof name, "far%u", i);
      far = jl_roster_get_or_add (&cut->roster, name);
      jl_roster_set_zone (&cut->roster, far, "z2");
      g_strlcpy (far->service, "deep", sizeof far->service);
      far->state = JL_TARGET_UP;
      far->capacity = far->limit = 100;
      far->spare_share = 1;
      far->last_beacon_us = JL_USEC_PER_SEC;
    }
}

/* One call each millisecond, placed as the local target's calls are. */
static void
cut_step (struct cut *cut, unsigned step)
{
  uint64_t now_us = JL_USEC_PER_SEC + (uint64_t)step * 1000;
  struct jl_member **failing = &cut->failing[step % CONNECT_STEPS];
  struct jl_overflow overflow;
  struct jl_member *member;

  jl_roster_get_or_add (&cut->roster, "near")->last_beacon_us = now_us;
  if (*failing != NULL)
    jl_roster_note_failure (&cut->roster, *failing, now_us);
  *failing = NULL;
  overflow = jl_overflow_compute (&cut->roster, "deep", now_us);
  member = jl_place_choose_daemon (
      &cut->roster, "deep",
      jl_overflow_choose_zone (&overflow, &cut->roster, g_random_double ()),
      NULL, 0, now_us);
  if (strcmp (member->zone, "z1") == 0)
    {
      cut->local++;
      return;
    }
  cut->lost++;
  *failing = member;
}

/*
 * A zone to which calls overflow is cut off. Its last beacons promise capacity
 * for five more seconds, but each call that is sent there loses 250 ms of the
 * 700 ms that it has. Only those of the first half second may be sent there.
 */
Test (load, a_zone_that_is_cut_off_gets_calls_only_until_two_have_failed)
{
  struct cut cut;

  g_random_set_seed (1);
  cut_init (&cut);
  for (unsigned i = 0; i < 5000; i++)
    cut_step (&cut, i);
  cr_assert_leq (cut.lost, 2 * CONNECT_STEPS, "%u of 5000 calls", cut.lost);
  cr_assert_geq (cut.local, 4500);
  jl_roster_clear (&cut.roster);
}

/* Returns the plan for the requests of clients in @zone. */
static struct jl_plan
plan_zone (struct zones *zones, const char *zone, double rate)
{
  struct jl_demand demand = { .route_key = 1, .rate = rate };

  demand.tree.count = 1;
  demand.tree.nodes[0] = (struct jl_call_node){ "deep", 1, JL_NONE };
  g_strlcpy (zones->roster.local_zone, zone, JL_TEXT_SIZE);
  return jl_plan_compute (&zones->roster, &demand, 1, &demand, JL_USEC_PER_SEC);
}

/* Clients of each zone send @rate requests a second. Returns the admitted share
 * of the requests in z1. */
static double
run_both_zones (struct zones *zones, double rate, double seconds)
{
  struct jl_plan plans[2] = { 0 };
  unsigned offered = 0;
  unsigned admitted = 0;

  for (unsigned step = 0; step < seconds * 1000; step++)
    {
      if (step % (JL_CONTROL_WINDOW_US / STEP_US) == 0)
        {
          announce_zone (zones, "z1", &zones->near);
          announce_zone (zones, "z2", &zones->far);
          plans[0] = plan_zone (zones, "z1", rate);
          plans[1] = plan_zone (zones, "z2", rate);
        }
      for (zones->near.arrivals_due += rate / 1000;
           zones->near.arrivals_due >= 1; zones->near.arrivals_due--)
        for (unsigned i = 0; i < 2; i++)
          {
            const char *zone
                = jl_plan_choose_zone (&plans[i], g_random_double ());

            offered += i == 0;
            admitted += i == 0 && zone != NULL;
            if (zone != NULL)
              model_admit (strcmp (zone, "z1") == 0 ? &zones->near
                                                    : &zones->far);
          }
      model_step (&zones->near, 0);
      model_step (&zones->far, 0);
    }
  return (double)admitted / offered;
}

/*
 * The deep target of one zone is four times as slow as that of the other. The
 * demand is 1.3 times the capacity of both zones together.
 */
Test (load, callers_of_a_weak_zone_are_not_the_only_ones_refused)
{
  struct zones zones;
  double capacity = 14 / 0.024;
  double rate = 1.3 * (capacity + capacity / 4) / 2;
  double share;

  g_random_set_seed (1);
  jl_roster_init (&zones.roster, "z1");
  model_init (&zones.near, 14, 96000);
  model_init (&zones.far, 14, 24000);
  run_both_zones (&zones, rate, 5);
  zones.near.served = zones.far.served = 0;
  share = run_both_zones (&zones, rate, 20);
  cr_assert_gt (share, 0.62, "%.2f of the slow zone's requests admitted",
                share);
  cr_assert_gt (zones.near.served + zones.far.served,
                0.93 * 20 * 1.25 * capacity,
                "%" PRIu64 " served of %.0f that fit",
                zones.near.served + zones.far.served, 25 * capacity);
  jl_roster_clear (&zones.roster);
}

/* Runs of two routes make calls of one route: 2 and 1 for each run. */
Test (load, fanout_is_learned_from_counts)
{
  struct jl_fanout fanout;
  struct jl_fanout_entry entries[8];
  unsigned count;

  g_random_set_seed (2);
  jl_fanout_init (&fanout);
  for (unsigned window = 0; window < 80; window++)
    {
      unsigned first = (unsigned)g_random_int_range (5, 20);
      unsigned second = (unsigned)g_random_int_range (2, 9);

      for (unsigned i = 0; i < first; i++)
        jl_fanout_count_run (&fanout, 1);
      for (unsigned i = 0; i < second; i++)
        jl_fanout_count_run (&fanout, 2);
      for (unsigned i = 0; i < first * 2 + second; i++)
        jl_fanout_count_call (&fanout, 7);
      jl_fanout_end_window (&fanout);
    }
  count = jl_fanout_list (&fanout, entries, 8);
  cr_assert_eq (count, 2);
  for (unsigned i = 0; i < count; i++)
    {
      double expected = entries[i].run == 1 ? 2 : 1;

      cr_assert_eq (entries[i].call, 7);
      cr_assert_lt (fabs (entries[i].calls - expected), 0.25, "run %u: %f",
                    entries[i].run, entries[i].calls);
    }
}

Test (load, a_route_that_one_service_never_sees_carries_calls)
{
  struct jl_arrivals arrivals = { 0 };

  jl_arrivals_add (&arrivals, 1, 30);
  cr_assert_not (jl_arrivals_is_route_absent (&arrivals, 2),
                 "too few requests for a decision");
  jl_arrivals_add (&arrivals, 1, 30);
  cr_assert (jl_arrivals_is_route_absent (&arrivals, 2));
  cr_assert_not (jl_arrivals_is_route_absent (&arrivals, 1));
  for (unsigned i = 0; i < 200; i++)
    jl_arrivals_decay (&arrivals);
  cr_assert_eq (arrivals.count, 0);
}

/* Half of the runs fail, each because one of its calls fails. The target itself
 * must not count as failing. */
Test (load, failures_further_down_are_not_held_against_a_target)
{
  struct jl_failure_rate failure_rate = { 0 };

  for (unsigned i = 0; i < 400; i++)
    {
      jl_failure_rate_count_run (&failure_rate, i % 2 == 0);
      if (i % 2 == 0)
        jl_failure_rate_count_failed_call (&failure_rate);
      if (i % 10 == 0)
        jl_failure_rate_decay (&failure_rate);
    }
  cr_assert_lt (jl_failure_rate_get (&failure_rate), 0.05);
  for (unsigned i = 0; i < 400; i++)
    {
      jl_failure_rate_count_run (&failure_rate, i % 2 == 0);
      if (i % 10 == 0)
        jl_failure_rate_decay (&failure_rate);
    }
  cr_assert_gt (jl_failure_rate_get (&failure_rate), 0.3);
  for (unsigned i = 0; i < 100; i++)
    jl_failure_rate_decay (&failure_rate);
  cr_assert_lt (jl_failure_rate_get (&failure_rate), 0.1,
                "the rate must decay so that the target is used again");
}
