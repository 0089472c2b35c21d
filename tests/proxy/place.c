/**
 * DOC: Tests of placing, refusing and the retry budget.
 */

#include <criterion/criterion.h>
#include <string.h>

#include "policy/budget.h"
#include "proxy/plan.h"

#define NOW (100 * JL_USEC_PER_SEC)

static struct jl_member *
add (struct jl_roster *roster,
     const char *name,
     const char *zone,
     const char *service)
{
  struct jl_member *member = jl_roster_member (roster, name);

  g_strlcpy (member->zone, zone, sizeof member->zone);
  g_strlcpy (member->service, service, sizeof member->service);
  member->state = JL_TARGET_UP;
  member->limit = 10;
  member->capacity = 100;
  member->last_beacon_us = NOW;
  return member;
}

Test (place, the_own_zone_comes_first)
{
  struct jl_roster roster;
  struct jl_member *near;
  struct jl_member *far;

  jl_roster_init (&roster, "z1");
  far = add (&roster, "far", "z2", "s");
  near = add (&roster, "near", "z1", "s");
  near->outstanding = 50;
  cr_assert_eq (jl_place_choose_daemon (&roster, "s", "z1", NULL, 0, NOW),
                near);
  cr_assert_eq (jl_place_choose_daemon (&roster, "s", "z1", &near, 1, NOW),
                far);
  jl_roster_clear (&roster);
}

Test (place, nothing_goes_to_one_that_leaves_fails_or_is_silent)
{
  struct jl_roster roster;
  struct jl_member *member;

  jl_roster_init (&roster, "z1");
  member = add (&roster, "a", "z1", "s");
  member->state = JL_TARGET_LEAVING;
  cr_assert_null (jl_place_choose_daemon (&roster, "s", "z1", NULL, 0, NOW));
  member->state = JL_TARGET_UP;
  jl_member_avoid (member, NOW);
  cr_assert_null (jl_place_choose_daemon (&roster, "s", "z1", NULL, 0, NOW));
  member->avoid_until_us = 0;
  member->last_beacon_us = NOW - 5 * JL_USEC_PER_SEC;
  cr_assert_null (jl_place_choose_daemon (&roster, "s", "z1", NULL, 0, NOW));
  member->last_beacon_us = NOW;
  cr_assert_null (jl_place_choose_daemon (&roster, "t", "z1", NULL, 0, NOW));
  jl_roster_clear (&roster);
}

Test (place, a_target_that_joins_gets_its_part)
{
  struct jl_roster roster;
  struct jl_member *old;
  struct jl_member *joined;
  unsigned part = 0;

  jl_roster_init (&roster, "z1");
  old = add (&roster, "old", "z1", "s");
  old->capacity = 900;
  joined = add (&roster, "joined", "z1", "s");
  joined->capacity = 0;
  for (unsigned i = 0; i < 10; i++)
    {
      struct jl_member *member
          = jl_place_choose_daemon (&roster, "s", "z1", NULL, 0, NOW);

      member->outstanding++;
      part += member == joined;
    }
  cr_assert_geq (part, 4, "%u of 10", part);
  cr_assert_eq (old->outstanding + joined->outstanding, 10);
  jl_roster_clear (&roster);
}

static struct jl_demand
demand (uint32_t route, unsigned rank, double rate, double runs)
{
  struct jl_demand result = { .route = route, .rank = rank, .rate = rate };

  result.tree.count = 1;
  result.tree.nodes[0].service = "deep";
  result.tree.nodes[0].runs = runs;
  result.tree.nodes[0].parent = JL_NONE;
  return result;
}

/* A deep service 30 % short: who is let in? */
Test (place, what_is_least_important_and_dearest_gives_way_first)
{
  struct jl_roster roster;
  struct jl_demand demands[3]
      = { demand (1, 0, 10, 4), demand (2, 2, 10, 1), demand (3, 2, 10, 8) };

  jl_roster_init (&roster, "z1");
  add (&roster, "a", "z1", "deep")->shed = 0.3;
  cr_assert_eq (
      jl_plan_compute (&roster, demands, 3, &demands[0], NOW).admit_share, 1);
  cr_assert_eq (
      jl_plan_compute (&roster, demands, 3, &demands[1], NOW).admit_share, 1);
  cr_assert_float_eq (
      jl_plan_compute (&roster, demands, 3, &demands[2], NOW).admit_share,
      (0.7 * 130 - 50) / 80, 1e-9);
  jl_roster_clear (&roster);
}

Test (place, a_request_goes_to_a_zone_with_room_as_a_whole)
{
  struct jl_roster roster;
  struct jl_demand demands[1] = { demand (1, 0, 10, 4) };
  struct jl_plan plan;

  jl_roster_init (&roster, "z1");
  add (&roster, "a", "z1", "deep")->shed = 0.3;
  add (&roster, "b", "z2", "deep")->spare_share = 0.5;
  plan = jl_plan_compute (&roster, demands, 1, &demands[0], NOW);
  cr_assert_str_eq (jl_plan_choose_zone (&plan, 0.1), "z1");
  cr_assert_str_eq (jl_plan_choose_zone (&plan, 0.9), "z2");
  jl_roster_member (&roster, "b")->spare_share = 0;
  plan = jl_plan_compute (&roster, demands, 1, &demands[0], NOW);
  cr_assert_null (jl_plan_choose_zone (&plan, 0.9));
  jl_roster_clear (&roster);
}

/* The zone's only deep target is lost: many calls would cross, or one request.
 */
Test (place, a_request_goes_where_the_fewest_messages_cross)
{
  struct jl_roster roster;
  struct jl_demand demands[2]
      = { demand (1, 0, 10, 4), demand (2, 2, 10, 0.5) };
  struct jl_plan plan;

  jl_roster_init (&roster, "z1");
  add (&roster, "a", "z1", "deep")->state = JL_TARGET_DOWN;
  add (&roster, "b", "z2", "deep");
  plan = jl_plan_compute (&roster, demands, 2, &demands[0], NOW);
  cr_assert_str_eq (plan.zone, "z2");
  plan = jl_plan_compute (&roster, demands, 2, &demands[1], NOW);
  cr_assert_str_eq (plan.zone, "z1");
  jl_roster_clear (&roster);
}

/* Calls that cross to another zone's target count against what that refuses. */
Test (place, a_zone_without_target_shares_in_the_refusals_of_others)
{
  struct jl_roster roster;
  struct jl_demand demands[1] = { demand (1, 2, 10, 4) };
  struct jl_plan plan;

  jl_roster_init (&roster, "z1");
  add (&roster, "b", "z2", "deep")->shed = 0.4;
  plan = jl_plan_compute (&roster, demands, 1, &demands[0], NOW);
  cr_assert_float_eq (plan.admit_share, 0.6, 1e-9);
  jl_roster_clear (&roster);
}

/* One zone's deep target fails half of its work; eight runs all have to pass.
 */
Test (place, a_request_avoids_a_zone_whose_target_fails_much)
{
  struct jl_roster roster;
  struct jl_demand demands[1] = { demand (1, 2, 10, 8) };
  struct jl_member *bad;
  struct jl_member *good;
  struct jl_plan plan;

  jl_roster_init (&roster, "z1");
  bad = add (&roster, "a", "z1", "deep");
  good = add (&roster, "b", "z2", "deep");
  bad->failure_rate = 0.5;
  plan = jl_plan_compute (&roster, demands, 1, &demands[0], NOW);
  cr_assert_str_eq (plan.zone, "z2");
  cr_assert_eq (jl_place_choose_daemon (&roster, "deep", "z1", NULL, 0, NOW),
                good);
  bad->failure_rate = 0.01;
  plan = jl_plan_compute (&roster, demands, 1, &demands[0], NOW);
  cr_assert_str_eq (plan.zone, "z1");
  cr_assert_eq (jl_place_choose_daemon (&roster, "deep", "z1", NULL, 0, NOW),
                bad);
  jl_roster_clear (&roster);
}

/* A configuration goes while what was worked out from it is still in use. */
Test (place, needs_outlive_their_configuration)
{
  struct jl_roster roster;
  struct jl_site *site = jl_site_new (1);
  struct jl_route route = { .name = "r", .host = "h", .prefix = "/" };
  struct jl_call_tree tree;

  jl_roster_init (&roster, "z1");
  route.split_count = 1;
  route.split[0].weight = 1;
  g_strlcpy (route.split[0].service, "deep", JL_TEXT_SIZE);
  jl_site_add_route (site, &route);
  jl_site_seal (site);
  jl_call_tree_estimate (&roster, site,
                         jl_site_route_by_key (site, jl_name_key ("r")), &tree);
  jl_site_unref (site);
  cr_assert_eq (tree.count, 1);
  cr_assert_eq (tree.nodes[0].service, g_intern_string ("deep"));
  jl_roster_clear (&roster);
}

/* A clock that stepped back gives a new life a lower epoch than the old one. */
Test (place, a_new_life_counts_although_its_clock_stepped_back)
{
  struct jl_member member
      = { .epoch = 100, .sequence = 7, .last_beacon_us = NOW };

  cr_assert_not (jl_member_is_newer_beacon (&member, 100, 7, NOW));
  cr_assert (jl_member_is_newer_beacon (&member, 100, 8, NOW));
  cr_assert (jl_member_is_newer_beacon (&member, 101, 1, NOW));
  cr_assert_not (jl_member_is_newer_beacon (&member, 90, 1, NOW));
  cr_assert (
      jl_member_is_newer_beacon (&member, 90, 1, NOW + 2 * JL_USEC_PER_SEC));
}

/*
 * The own zone has lost its middle service: calls go out, and what these call
 * runs out there, so the room that the own deep target has is of no use.
 */
Test (place, calls_that_left_the_zone_count_where_they_run)
{
  struct jl_roster roster;
  struct jl_demand demands[1] = { demand (1, 2, 10, 8) };
  struct jl_call_tree *tree = &demands[0].tree;
  struct jl_plan plan;

  jl_roster_init (&roster, "z1");
  tree->count = 2;
  tree->nodes[0] = (struct jl_call_node){ "middle", 2, JL_NONE };
  tree->nodes[1] = (struct jl_call_node){ "deep", 8, 0 };
  add (&roster, "a", "z1", "deep");
  add (&roster, "b", "z2", "middle");
  add (&roster, "c", "z2", "deep")->shed = 0.5;
  plan = jl_plan_compute (&roster, demands, 1, &demands[0], NOW);
  cr_assert_float_eq (plan.admit_share, 0.5, 1e-9);
  cr_assert_str_eq (plan.zone, "z2", "one message crosses, and not two");
  jl_roster_clear (&roster);
}

/* A repeat is charged for each way that leads to a service. */
Test (place, runs_by_several_ways_add_up)
{
  struct jl_call_tree tree = { .count = 3 };

  tree.nodes[0] = (struct jl_call_node){ "front", 1, JL_NONE };
  tree.nodes[1] = (struct jl_call_node){ "deep", 2, 0 };
  tree.nodes[2] = (struct jl_call_node){ "deep", 0.5, 0 };
  cr_assert_float_eq (jl_call_tree_runs (&tree, "deep"), 2.5, 1e-9);
}

/* A zone cut off without a target of every service. */
Test (place, a_request_that_cannot_be_completed_does_not_begin)
{
  struct jl_roster roster;
  struct jl_demand demands[1] = { demand (1, 0, 10, 4) };
  struct jl_member *far;
  struct jl_plan plan;

  jl_roster_init (&roster, "z1");
  add (&roster, "a", "z1", "front");
  far = add (&roster, "b", "z2", "deep");
  far->last_beacon_us = NOW - 10 * JL_USEC_PER_SEC;
  plan = jl_plan_compute (&roster, demands, 1, &demands[0], NOW);
  cr_assert_null (jl_plan_choose_zone (&plan, 0));
  far->last_beacon_us = NOW;
  plan = jl_plan_compute (&roster, demands, 1, &demands[0], NOW);
  cr_assert_not_null (jl_plan_choose_zone (&plan, 0));
  jl_roster_clear (&roster);
}

/* 30 targets of a service in each of two zones. */
Test (place, some_targets_of_many_are_known_in_other_zones)
{
  struct jl_roster roster;
  unsigned told = 0;
  unsigned least = G_MAXUINT;

  jl_roster_init (&roster, "z1");
  for (unsigned i = 0; i < 60; i++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "d%u", i);
      add (&roster, name, i < 30 ? "z1" : "z2", "s");
    }
  for (unsigned i = 30; i < 60; i++)
    {
      const struct jl_member *peer = g_ptr_array_index (roster.members, i);
      unsigned known = 0;

      for (unsigned j = 0; j < 30; j++)
        {
          const struct jl_member *self = g_ptr_array_index (roster.members, j);

          known += jl_member_announces_to (
              self, peer, jl_roster_announce_share (&roster, self, NOW));
        }
      told += known;
      least = MIN (least, known);
    }
  cr_assert_lt (told, 30 * 9, "%u told", told);
  cr_assert_geq (least, 1, "each daemon must know some");
  jl_roster_clear (&roster);
}

/* As in the sites that are served today. */
Test (place, all_targets_of_few_are_known_in_other_zones)
{
  struct jl_roster roster;
  struct jl_member *self;
  struct jl_member *peer;

  jl_roster_init (&roster, "z1");
  peer = add (&roster, "far", "z2", "s");
  self = add (&roster, "a", "z1", "s");
  add (&roster, "b", "z1", "s");
  cr_assert_eq (jl_roster_announce_share (&roster, self, NOW), 1);
  cr_assert (jl_member_announces_to (self, peer, 1));
  jl_roster_clear (&roster);
}

Test (place, the_retry_budget_slides)
{
  struct jl_retry_budget budget = { 0 };
  struct jl_retry_budget_policy policy = { .ratio = 0.2,
                                           .slack = 50,
                                           .window_us = 10 * JL_USEC_PER_SEC,
                                           .daemon_count = 10 };
  double spent = 0;

  for (unsigned i = 0; i < 100; i++)
    jl_retry_budget_count_request (&budget, &policy, NOW);
  while (jl_retry_budget_allows (&budget, &policy, NOW, 1))
    {
      jl_retry_budget_spend (&budget, &policy, NOW, 1);
      spent++;
    }
  cr_assert_leq (spent, 0.2 * 100 + 5);
  cr_assert_geq (spent, 15);
  cr_assert_not (
      jl_retry_budget_allows (&budget, &policy, NOW + 9 * JL_USEC_PER_SEC, 1));
  cr_assert (
      jl_retry_budget_allows (&budget, &policy, NOW + 13 * JL_USEC_PER_SEC, 1));
}
