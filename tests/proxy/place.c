/**
 * DOC: Tests of placement, refusal and the retry budget.
 */

#include <criterion/criterion.h>
#include <string.h>

#include "policy/budget.h"
#include "proxy/plan.h"

#define NOW (100 * JL_USEC_PER_SEC)

static struct jl_member *
add_member (struct jl_roster *roster,
            const char *name,
            const char *zone,
            const char *service)
{
  struct jl_member *member = jl_roster_get_or_add (roster, name);

  jl_roster_set_zone (roster, member, zone);
  g_strlcpy (member->service, service, sizeof member->service);
  member->state = JL_TARGET_UP;
  member->limit = 10;
  member->capacity = 100;
  member->last_beacon_us = NOW;
  return member;
}

Test (place, the_local_zone_comes_first)
{
  struct jl_roster roster;
  struct jl_member *near;
  struct jl_member *far;

  jl_roster_init (&roster, "z1");
  far = add_member (&roster, "far", "z2", "s");
  near = add_member (&roster, "near", "z1", "s");
  near->outstanding = 50;
  cr_assert_eq (jl_place_choose_daemon (&roster, "s", "z1", NULL, 0, NOW),
                near);
  cr_assert_eq (jl_place_choose_daemon (&roster, "s", "z1", &near, 1, NOW),
                far);
  jl_roster_clear (&roster);
}

/* While the targets of a service turn away half of their requests in all zones,
 * three of four calls crossed zones for nothing. */
Test (place, calls_stay_in_their_zone_while_all_targets_fail_alike)
{
  struct jl_roster roster;
  struct jl_member *near;
  struct jl_member *far;
  unsigned crossed = 0;

  jl_roster_init (&roster, "z1");
  near = add_member (&roster, "near", "z1", "s");
  far = add_member (&roster, "far", "z2", "s");
  near->failure_rate = 0.58;
  far->failure_rate = 0.5;
  roster.uses_load_reports = true;
  for (unsigned i = 0; i < 100; i++)
    crossed += jl_place_choose_daemon (&roster, "s", "z1", NULL, 0, NOW) == far;
  cr_assert_eq (crossed, 0);
  far->failure_rate = 0.05;
  cr_assert_eq (jl_place_choose_daemon (&roster, "s", "z1", NULL, 0, NOW), far);
  jl_roster_clear (&roster);
}

Test (place, nothing_goes_to_one_that_leaves_fails_or_is_silent)
{
  struct jl_roster roster;
  struct jl_member *member;

  jl_roster_init (&roster, "z1");
  member = add_member (&roster, "a", "z1", "s");
  member->state = JL_TARGET_LEAVING;
  cr_assert_null (jl_place_choose_daemon (&roster, "s", "z1", NULL, 0, NOW));
  member->state = JL_TARGET_UP;
  jl_roster_note_failure (&roster, member, NOW);
  cr_assert_null (jl_place_choose_daemon (&roster, "s", "z1", NULL, 0, NOW));
  member->failed_us = 0;
  member->last_beacon_us = NOW - 5 * JL_USEC_PER_SEC;
  cr_assert_null (jl_place_choose_daemon (&roster, "s", "z1", NULL, 0, NOW));
  member->last_beacon_us = NOW;
  cr_assert_null (jl_place_choose_daemon (&roster, "t", "z1", NULL, 0, NOW));
  jl_roster_clear (&roster);
}

/* A daemon to which a request failed is used again once it was heard, but not
 * at once. */
Test (place, a_daemon_that_failed_is_used_again_once_it_is_heard)
{
  struct jl_roster roster;
  struct jl_member *member;
  uint64_t later_us = NOW + 1500 * JL_USEC_PER_MSEC;

  jl_roster_init (&roster, "z1");
  member = add_member (&roster, "a", "z1", "s");
  jl_roster_note_failure (&roster, member, NOW + 1);
  cr_assert_null (
      jl_place_choose_daemon (&roster, "s", "z1", NULL, 0, later_us));
  member->last_beacon_us = NOW + 2;
  cr_assert_null (
      jl_place_choose_daemon (&roster, "s", "z1", NULL, 0, NOW + 2));
  cr_assert_eq (jl_place_choose_daemon (&roster, "s", "z1", NULL, 0, later_us),
                member);
  jl_roster_note_failure (&roster, member, later_us);
  member->last_answer_us = later_us + 1;
  cr_assert_eq (jl_place_choose_daemon (&roster, "s", "z1", NULL, 0,
                                        later_us + JL_USEC_PER_SEC),
                member, "an answer counts like a beacon");
  jl_roster_clear (&roster);
}

/* Two daemons of a zone fail, and none of it is heard: the others of the zone
 * are not tried one after the other. One that is heard is used again. */
Test (place, a_zone_of_which_nothing_is_heard_is_left_as_a_whole)
{
  struct jl_roster roster;
  struct jl_member *members[4];
  char name[] = "a0";

  jl_roster_init (&roster, "z1");
  for (unsigned i = 0; i < 4; i++, name[1]++)
    members[i] = add_member (&roster, name, i < 3 ? "z2" : "z3", "s");
  jl_roster_note_failure (&roster, members[0], NOW + 1);
  cr_assert_eq (
      jl_place_choose_daemon (&roster, "s", "z2", NULL, 0, NOW + 1)->zone[1],
      '2');
  jl_roster_note_failure (&roster, members[1], NOW + 2);
  cr_assert_eq (jl_place_choose_daemon (&roster, "s", "z2", NULL, 0, NOW + 2),
                members[3]);
  members[2]->last_beacon_us = NOW + 3;
  cr_assert_eq (jl_place_choose_daemon (&roster, "s", "z2", NULL, 0,
                                        NOW + JL_USEC_PER_SEC),
                members[2]);
  jl_roster_clear (&roster);
}

Test (place, a_target_that_joins_gets_its_part)
{
  struct jl_roster roster;
  struct jl_member *old;
  struct jl_member *joined;
  unsigned joined_count = 0;

  jl_roster_init (&roster, "z1");
  old = add_member (&roster, "old", "z1", "s");
  old->capacity = 900;
  joined = add_member (&roster, "joined", "z1", "s");
  joined->capacity = 0;
  for (unsigned i = 0; i < 10; i++)
    {
      struct jl_member *member
          = jl_place_choose_daemon (&roster, "s", "z1", NULL, 0, NOW);

      member->outstanding++;
      joined_count += member == joined;
    }
  cr_assert_geq (joined_count, 4, "%u of 10", joined_count);
  cr_assert_eq (old->outstanding + joined->outstanding, 10);
  jl_roster_clear (&roster);
}

/* A target has named a limit of 24 requests a second; the other one completes
 * 2,000. All requests end at once, so that neither has any in progress. */
Test (place, a_target_of_far_lower_capacity_is_chosen_rarely)
{
  struct jl_roster roster;
  struct jl_member *sound;
  struct jl_member *limited;
  unsigned limited_count = 0;

  g_random_set_seed (39);
  jl_roster_init (&roster, "z1");
  sound = add_member (&roster, "sound", "z1", "s");
  sound->limit = 113;
  sound->capacity = 2000;
  sound->outstanding = 1;
  limited = add_member (&roster, "limited", "z1", "s");
  limited->limit = 2;
  limited->capacity = 24;
  limited->asked_us = NOW;
  for (unsigned i = 0; i < 2000; i++)
    limited_count
        += jl_place_choose_daemon (&roster, "s", "z1", NULL, 0, NOW) == limited;
  cr_assert_leq (limited_count, 3 * 24, "%u of 2000", limited_count);
  cr_assert_gt (limited_count, 0);
  jl_roster_clear (&roster);
}

/* Of few requests none would reach a target that takes nearly none, and nothing
 * would tell that its limit has ended. */
Test (place, a_target_that_takes_nearly_nothing_is_not_forgotten)
{
  struct jl_roster roster;
  struct jl_member *limited;
  struct jl_member *chosen;

  jl_roster_init (&roster, "z1");
  add_member (&roster, "sound", "z1", "s")->capacity = 2000;
  limited = add_member (&roster, "limited", "z1", "s");
  limited->capacity = 0.01;
  limited->asked_us = NOW - 3 * JL_USEC_PER_SEC;
  chosen = jl_place_choose_daemon (&roster, "s", "z1", NULL, 0, NOW);
  cr_assert_neq (chosen, limited, "two daemons share the requests");
  limited->asked_us = NOW - 5 * JL_USEC_PER_SEC;
  chosen = jl_place_choose_daemon (&roster, "s", "z1", NULL, 0, NOW);
  cr_assert_eq (chosen, limited);
  jl_roster_clear (&roster);
}

static struct jl_demand
demand (uint32_t route, unsigned rank, double rate, double runs)
{
  struct jl_demand result = { .route_key = route, .rank = rank, .rate = rate };

  result.tree.count = 1;
  result.tree.nodes[0].service = "deep";
  result.tree.nodes[0].runs = runs;
  result.tree.nodes[0].parent = JL_NONE;
  return result;
}

/* A deep service refuses 30 % of its demand. The least important requests with
 * the most runs there are refused first. */
Test (place, what_is_least_important_and_dearest_gives_way_first)
{
  struct jl_roster roster;
  struct jl_demand demands[3]
      = { demand (1, 0, 10, 4), demand (2, 2, 10, 1), demand (3, 2, 10, 8) };

  jl_roster_init (&roster, "z1");
  add_member (&roster, "a", "z1", "deep")->shed_share = 0.3;
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
  add_member (&roster, "a", "z1", "deep")->shed_share = 0.3;
  add_member (&roster, "b", "z2", "deep")->spare_share = 0.5;
  plan = jl_plan_compute (&roster, demands, 1, &demands[0], NOW);
  cr_assert_str_eq (jl_plan_choose_zone (&plan, 0.1), "z1");
  cr_assert_str_eq (jl_plan_choose_zone (&plan, 0.9), "z2");
  jl_roster_get_or_add (&roster, "b")->spare_share = 0;
  plan = jl_plan_compute (&roster, demands, 1, &demands[0], NOW);
  cr_assert_null (jl_plan_choose_zone (&plan, 0.9));
  jl_roster_clear (&roster);
}

/* The zone's only deep target is down. Either one request crosses zones, or all
 * of its calls do. */
Test (place, a_request_goes_where_the_fewest_messages_cross)
{
  struct jl_roster roster;
  struct jl_demand demands[2]
      = { demand (1, 0, 10, 4), demand (2, 2, 10, 0.5) };
  struct jl_plan plan;

  jl_roster_init (&roster, "z1");
  add_member (&roster, "a", "z1", "deep")->state = JL_TARGET_DOWN;
  add_member (&roster, "b", "z2", "deep");
  plan = jl_plan_compute (&roster, demands, 2, &demands[0], NOW);
  cr_assert_str_eq (plan.zone, "z2");
  plan = jl_plan_compute (&roster, demands, 2, &demands[1], NOW);
  cr_assert_str_eq (plan.zone, "z1");
  jl_roster_clear (&roster);
}

/* Calls to another zone's target are subject to the share that it refuses. */
Test (place, a_zone_without_target_shares_in_the_refusals_of_others)
{
  struct jl_roster roster;
  struct jl_demand demands[1] = { demand (1, 2, 10, 4) };
  struct jl_plan plan;

  jl_roster_init (&roster, "z1");
  add_member (&roster, "b", "z2", "deep")->shed_share = 0.4;
  plan = jl_plan_compute (&roster, demands, 1, &demands[0], NOW);
  cr_assert_float_eq (plan.admit_share, 0.6, 1e-9);
  jl_roster_clear (&roster);
}

/* One zone's deep target fails half of its requests, and a client's request
 * needs eight runs there that all succeed. */
Test (place, a_request_avoids_a_zone_whose_target_fails_much)
{
  struct jl_roster roster;
  struct jl_demand demands[1] = { demand (1, 2, 10, 8) };
  struct jl_member *bad;
  struct jl_member *good;
  struct jl_plan plan;

  jl_roster_init (&roster, "z1");
  bad = add_member (&roster, "a", "z1", "deep");
  good = add_member (&roster, "b", "z2", "deep");
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

/* Guards against a call tree that holds names of a freed configuration. */
Test (place, needs_outlive_their_configuration)
{
  struct jl_roster roster;
  struct jl_site *site = jl_site_new (1);
  const struct jl_split split = { "deep", 1 };
  struct jl_route route = {
    .name = "r", .host = "h", .prefix = "/", .split_count = 1, .split = &split
  };
  struct jl_call_tree tree;

  jl_roster_init (&roster, "z1");
  jl_site_add_route (site, &route);
  jl_site_seal (site);
  jl_call_tree_estimate (&roster, site,
                         jl_site_route_by_key (site, jl_name_key ("r")), &tree);
  jl_site_drop (site);
  cr_assert_eq (tree.count, 1);
  cr_assert_eq (tree.nodes[0].service, g_intern_string ("deep"));
  jl_roster_clear (&roster);
}

/* After a clock has stepped back, a new incarnation has a lower epoch than the
 * old one. Its beacons must be accepted once the old one is silent. */
Test (place, a_new_incarnation_counts_although_its_clock_stepped_back)
{
  struct jl_member member
      = { .epoch = 100, .sequence = 7, .last_beacon_us = NOW };

  cr_assert_not (jl_member_beacon_is_newer (&member, 100, 7, NOW));
  cr_assert (jl_member_beacon_is_newer (&member, 100, 8, NOW));
  cr_assert (jl_member_beacon_is_newer (&member, 101, 1, NOW));
  cr_assert_not (jl_member_beacon_is_newer (&member, 90, 1, NOW));
  cr_assert (
      jl_member_beacon_is_newer (&member, 90, 1, NOW + 2 * JL_USEC_PER_SEC));
}

/*
 * The local zone has no target of the middle service. Its calls go to another
 * zone, and their own calls run there, so the spare capacity of the local deep
 * target can't be used.
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
  add_member (&roster, "a", "z1", "deep");
  add_member (&roster, "b", "z2", "middle");
  add_member (&roster, "c", "z2", "deep")->shed_share = 0.5;
  plan = jl_plan_compute (&roster, demands, 1, &demands[0], NOW);
  cr_assert_float_eq (plan.admit_share, 0.5, 1e-9);
  cr_assert_str_eq (plan.zone, "z2",
                    "one message crosses zones instead of two");
  jl_roster_clear (&roster);
}

/* A retry is charged for all nodes of the call tree at a service. */
Test (place, runs_by_several_ways_add_up)
{
  struct jl_call_tree tree = { .count = 3 };

  tree.nodes[0] = (struct jl_call_node){ "front", 1, JL_NONE };
  tree.nodes[1] = (struct jl_call_node){ "deep", 2, 0 };
  tree.nodes[2] = (struct jl_call_node){ "deep", 0.5, 0 };
  cr_assert_float_eq (jl_call_tree_runs (&tree, "deep"), 2.5, 1e-9);
}

/* A network partition cuts off a zone that lacks targets of one service. */
Test (place, a_request_that_cannot_be_completed_does_not_begin)
{
  struct jl_roster roster;
  struct jl_demand demands[1] = { demand (1, 0, 10, 4) };
  struct jl_member *far;
  struct jl_plan plan;

  jl_roster_init (&roster, "z1");
  add_member (&roster, "a", "z1", "front");
  far = add_member (&roster, "b", "z2", "deep");
  far->last_beacon_us = NOW - 10 * JL_USEC_PER_SEC;
  plan = jl_plan_compute (&roster, demands, 1, &demands[0], NOW);
  cr_assert_null (jl_plan_choose_zone (&plan, 0));
  far->last_beacon_us = NOW;
  plan = jl_plan_compute (&roster, demands, 1, &demands[0], NOW);
  cr_assert_not_null (jl_plan_choose_zone (&plan, 0));
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
