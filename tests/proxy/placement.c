/**
 * DOC: Load tests of placement by load reports, in virtual time.
 *
 * 85 entries send to a few targets of one service, of which some are 2.4 times
 * as fast as others. Targets become 2.5 times slower for 0.6 s at a time, and
 * the demand swings by half.
 */

#include <criterion/criterion.h>

#include "proxy/parts/fleet.h"

#define SEEDS 3
/* Load at 1.7 times a usual load of half of the capacity. */
#define HEAVY_LOAD 0.85
#define SWING 0.25
#define SLOW_MEAN_S 3
#define SLOWEST_HOLD_US 260000
#define SPEED_RATIO 2.4

/**
 * struct load - what targets and callers do
 * @share: mean demand, relative to the capacity
 * @even: targets are equal, never slow, and the demand does not swing
 */
struct load
{
  unsigned target_count;
  double share;
  bool even;
};

/**
 * struct outcome - what callers get
 * @in_goal: share of the requests that completed within the goal
 * @half_spent: share that spent half of the goal before a target had them
 * @wait_ms: mean wait
 * @busiest: busiest target, relative to the mean
 * @moved: share that was handed back
 * @crossed: share that was sent to another zone
 * @traded: share that was sent there within a second after work from there
 */
struct outcome
{
  double in_goal;
  double half_spent;
  double wait_ms;
  double busiest;
  double moved;
  double crossed;
  double traded;
};

static void
play_seed (const struct load *load,
           bool reports,
           bool moves,
           unsigned seed,
           struct outcome *sum)
{
  struct fleet *fleet = g_new (struct fleet, 1);
  double rate;

  g_random_set_seed (seed);
  fleet_init (fleet, FLEET_ENTRIES_MAX, load->target_count);
  g_rand_set_seed (fleet->outside, seed);
  for (unsigned i = 0; i < load->target_count; i++)
    fleet->targets[i].hold_us = load->even || i % 3 < 2
                                    ? SLOWEST_HOLD_US
                                    : SLOWEST_HOLD_US / SPEED_RATIO;
  fleet->goal_us = 800 * JL_USEC_PER_MSEC;
  fleet->reports = reports;
  fleet->moves = moves;
  fleet->swing = load->even ? 0 : SWING;
  fleet->slow_mean_s = load->even ? 0 : SLOW_MEAN_S;
  rate = load->share * fleet_capacity (fleet);
  fleet_run (fleet, rate, 5);
  fleet_forget_start (fleet);
  fleet_run (fleet, rate, 40);
  sum->in_goal += (double)fleet->in_goal / (double)fleet->sent / SEEDS;
  sum->half_spent += (double)fleet->half_spent / (double)fleet->sent / SEEDS;
  sum->wait_ms += (double)fleet->waited_us / 1000 / (double)fleet->sent / SEEDS;
  sum->moved += (double)fleet->moved / (double)fleet->sent / SEEDS;
  sum->busiest += fleet_busiest_to_mean (fleet) / SEEDS;
  fleet_clear (fleet);
  g_free (fleet);
}

static struct outcome
play (const struct load *load, bool reports, bool moves)
{
  struct outcome outcome = { 0 };

  for (unsigned seed = 1; seed <= SEEDS; seed++)
    play_seed (load, reports, moves, seed, &outcome);
  cr_log_info ("targets %u load %.2f reports %d moves %d: in goal %.4f, half "
               "spent %.4f, wait %.1f ms, busiest %.3f, moved %.4f",
               load->target_count, load->share, reports, moves, outcome.in_goal,
               outcome.half_spent, outcome.wait_ms, outcome.busiest,
               outcome.moved);
  return outcome;
}

/* Without reports, an entry of 85 sees only its own few requests, and sends to
 * targets that have just become slow. */
Test (placement, fewer_requests_spend_half_of_their_goal_in_queues)
{
  static const unsigned counts[] = { 3, 8 };

  for (unsigned i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      struct load load = { counts[i], HEAVY_LOAD, false };
      struct outcome before = play (&load, false, false);
      struct outcome after = play (&load, true, false);

      cr_expect_gt (before.half_spent, 0.003);
      cr_expect_lt (after.half_spent, 0.7 * before.half_spent);
      cr_expect_gt (after.in_goal, before.in_goal);
      cr_expect_lt (after.wait_ms, before.wait_ms);
      cr_expect_lt (after.busiest, 1.1);
    }
}

/* Entries that act on the same report at once would make idle targets busy and
 * busy ones idle. */
Test (placement, even_targets_and_demand_are_served_as_well_as_before)
{
  static const double shares[] = { 0.5, HEAVY_LOAD };

  for (unsigned i = 0; i < G_N_ELEMENTS (shares); i++)
    {
      struct load load = { 8, shares[i], true };
      struct outcome before = play (&load, false, false);
      struct outcome after = play (&load, true, false);

      cr_expect_gt (after.in_goal, before.in_goal - 0.001);
      cr_expect_leq (after.half_spent, before.half_spent);
      cr_expect_lt (after.wait_ms, before.wait_ms + 1);
      cr_expect_lt (after.busiest, 1.1);
    }
}

static struct jl_load_view
view_of (unsigned running, unsigned waiting, uint64_t heard_us)
{
  struct jl_load_report report = { running, waiting, 10, 100 };
  struct jl_load_view view = { 0 };

  jl_load_view_hear (&view, &report, heard_us);
  return view;
}

Test (placement, an_entry_sends_an_idle_target_no_more_than_its_free_slots)
{
  struct jl_load_view idle = view_of (7, 0, 1000);
  struct jl_load_view other = view_of (5, 0, 1000);

  for (unsigned i = 0; i < 3; i++)
    {
      cr_expect_eq (jl_load_view_compare (&idle, &other, 500000, 0.5), 0);
      idle.sent++;
    }
  cr_expect_gt (jl_load_view_compare (&idle, &other, 500000, 0.999), 0);
  cr_expect_lt (jl_load_view_compare (&other, &idle, 500000, 0.999), 0);
}

Test (placement, an_old_report_decides_less_often_and_then_not_at_all)
{
  uint64_t heard_us = 10 * JL_USEC_PER_SEC;
  struct jl_load_view busy = view_of (10, 19, heard_us);
  struct jl_load_view idle = view_of (0, 0, heard_us);

  cr_expect_gt (jl_load_view_compare (&busy, &idle, heard_us, 0.9), 0);
  cr_expect_lt (jl_load_view_compare (&busy, &idle, heard_us + 400000, 0.9), 0);
  cr_expect (jl_load_view_is_fresh (&busy, heard_us + JL_USEC_PER_SEC));
  cr_expect_not (jl_load_view_is_fresh (&busy, heard_us + JL_USEC_PER_SEC + 1));
}

Test (placement, malformed_reports_are_not_used)
{
  static const char *const texts[]
      = { "",        "1 2 3",    "1 2 0 4",           "1 2 3 0",  "1 2 3 4 5",
          "a 2 3 4", "1 2 3 4x", "99999999999 1 1 1", "-1 0 10 5" };
  struct jl_load_report report;

  for (unsigned i = 0; i < G_N_ELEMENTS (texts); i++)
    cr_expect_not (jl_load_report_parse (texts[i], &report), "%s", texts[i]);
  cr_expect (jl_load_report_parse ("12 3 28 180", &report));
  cr_expect_eq (report.hold_ms, 180);
}

/* Requests waited at a target that had become slow while others had free
 * slots. */
Test (placement, requests_that_wait_are_handed_back_to_free_targets)
{
  static const double shares[] = { 0.5, 0.7, HEAVY_LOAD };

  for (unsigned i = 0; i < G_N_ELEMENTS (shares); i++)
    {
      struct load load = { 8, shares[i], false };
      struct outcome before = play (&load, true, false);
      struct outcome after = play (&load, true, true);

      cr_expect_lt (after.wait_ms, before.wait_ms);
      cr_expect_gt (after.in_goal, before.in_goal - 0.002);
      cr_expect_leq (after.half_spent, before.half_spent + 0.0005);
      cr_expect_lt (after.moved, 0.1);
    }
}

/* Guards that see the same idle target must not all fill it. */
Test (placement, guards_share_the_free_slots_of_a_target)
{
  struct jl_load_report own = { 10, 20, 10, 100 };
  struct jl_load_view idle = view_of (4, 0, 1000);
  struct jl_load_view queue = view_of (10, 20, 1000);
  struct jl_load_view *others[] = { &queue, &idle };
  unsigned moved = 0;

  while (jl_rebind_choose (&own, 3, others, 2, 1000) != NULL)
    moved++;
  cr_expect_eq (moved, 3, "%u of 6 slots for one of two guards", moved);
}

/* Two guards with queues must not trade requests back and forth. */
Test (placement, targets_with_equal_queues_hand_nothing_back)
{
  struct jl_load_report own = { 10, 20, 10, 100 };
  struct jl_load_view queue = view_of (10, 20, 1000);
  struct jl_load_view *others[] = { &queue };

  cr_expect_null (jl_rebind_choose (&own, 19, others, 1, 1000));
}

/* Restarts a target every 5 s. Returns the outcome. */
static struct outcome
play_restarts (bool slow_start)
{
  struct fleet *fleet = g_new (struct fleet, 1);
  struct outcome outcome = { 0 };
  double rate;

  g_random_set_seed (1);
  fleet_init (fleet, FLEET_ENTRIES_MAX, 8);
  fleet->goal_us = 800 * JL_USEC_PER_MSEC;
  fleet->reports = true;
  fleet->moves = true;
  rate = 0.7 * fleet_capacity (fleet);
  fleet_run (fleet, rate, 5);
  fleet_forget_start (fleet);
  for (unsigned i = 0; i < 16; i++)
    {
      fleet_restart (fleet, i % 8, slow_start);
      fleet_run (fleet, rate, 5);
    }
  outcome.in_goal = (double)fleet->in_goal / (double)fleet->sent;
  outcome.half_spent = (double)fleet->half_spent / (double)fleet->sent;
  outcome.wait_ms = (double)fleet->waited_us / 1000 / (double)fleet->sent;
  cr_log_info ("slow start %d: in goal %.4f, half spent %.4f, wait %.1f ms, "
               "refused %.4f",
               slow_start, outcome.in_goal, outcome.half_spent, outcome.wait_ms,
               (double)fleet->refused / (double)fleet->sent);
  fleet_clear (fleet);
  g_free (fleet);
  return outcome;
}

/* A target that has just started is idle, and got as much as a warm one. */
Test (placement, a_cold_target_gets_what_it_can_run)
{
  struct outcome before = play_restarts (false);
  struct outcome after = play_restarts (true);

  cr_expect_gt (after.in_goal, before.in_goal);
  cr_expect_lt (after.wait_ms, before.wait_ms);
}

/* One zone has one target of the service, the other two. */
static struct outcome
play_zones (unsigned target_count, double share, bool spills)
{
  struct outcome sum = { 0 };

  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      struct fleet *fleet = g_new (struct fleet, 1);
      double rate;

      g_random_set_seed (seed);
      fleet_init (fleet, FLEET_ENTRIES_MAX, target_count);
      fleet_split (fleet);
      g_rand_set_seed (fleet->outside, seed);
      fleet->goal_us = 800 * JL_USEC_PER_MSEC;
      fleet->reports = true;
      fleet->moves = true;
      fleet->spills = spills;
      fleet->swing = SWING;
      fleet->slow_mean_s = SLOW_MEAN_S;
      rate = share * fleet_capacity (fleet);
      fleet_run (fleet, rate, 5);
      fleet_forget_start (fleet);
      fleet_run (fleet, rate, 40);
      sum.in_goal += (double)fleet->in_goal / (double)fleet->sent / SEEDS;
      sum.half_spent += (double)fleet->half_spent / (double)fleet->sent / SEEDS;
      sum.wait_ms
          += (double)fleet->waited_us / 1000 / (double)fleet->sent / SEEDS;
      sum.crossed += (double)fleet->crossed / (double)fleet->sent / SEEDS;
      sum.traded += (double)fleet->traded / (double)fleet->sent / SEEDS;
      sum.busiest += fleet_busiest_to_mean (fleet) / SEEDS;
      fleet_clear (fleet);
      g_free (fleet);
    }
  cr_log_info ("zones, load %.2f, spills %d: in goal %.4f, half spent %.4f, "
               "wait %.1f ms, busiest %.3f, crossed %.4f, traded %.4f",
               share, spills, sum.in_goal, sum.half_spent, sum.wait_ms,
               sum.busiest, sum.crossed, sum.traded);
  return sum;
}

/* Requests waited in the zone with one target until it refused some, while the
 * other had free slots. */
Test (placement, work_goes_to_a_zone_that_completes_it_sooner)
{
  static const double shares[] = { 0.3, 0.45, 0.6, 0.75, 0.9 };

  for (unsigned i = 0; i < G_N_ELEMENTS (shares); i++)
    {
      struct outcome before = play_zones (3, shares[i], false);
      struct outcome after = play_zones (3, shares[i], true);

      cr_expect_gt (after.in_goal, before.in_goal);
      cr_expect_leq (after.half_spent, before.half_spent + 0.0005);
      cr_expect_lt (after.crossed, before.crossed + 0.02,
                    "bytes between zones are expensive");
      cr_expect_eq (after.traded, 0, "zones trade load");
    }
}

/* Two equal zones whose targets become slow in turn would send each other the
 * same load. */
Test (placement, equal_zones_do_not_trade_load)
{
  static const double shares[] = { 0.5, 0.6, 0.7 };

  for (unsigned i = 0; i < G_N_ELEMENTS (shares); i++)
    cr_expect_eq (play_zones (2, shares[i], true).traded, 0);
}

/* A zone must stop sending as soon as it receives, and must not send all its
 * work at once. */
Test (placement, the_share_for_another_zone_rises_in_steps_and_ends_at_once)
{
  struct jl_spill_offer offer = { "z2", 300000, 1 };
  struct jl_spill spill = { 0 };

  jl_spill_update (&spill, &offer, 600000, false, 1);
  cr_expect_float_eq (spill.share, 0.6, 1e-9);
  jl_spill_update (&spill, &offer, 600000, true, 2);
  cr_expect_eq (spill.share, 0);
  offer.gain_us = -1;
  jl_spill_update (&spill, &offer, 600000, false, 3);
  cr_expect_eq (spill.share, 0);
}
