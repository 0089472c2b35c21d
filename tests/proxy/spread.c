/**
 * DOC: Load test of placement: many entries share many targets, and each entry
 * sees only its own requests and the beacons.
 *
 * Time is virtual. The load is the one of a zone of a large site in a burst: 39
 * entries and 20 targets of a service, of which some are more than twice as
 * fast as others.
 */

#include <criterion/criterion.h>

#include "proxy/parts/fleet.h"

#define ENTRIES_MAX 39
#define TARGETS_MAX 20

Test (spread, many_entries_keep_many_targets_equally_busy)
{
  struct fleet *fleet = g_new (struct fleet, 1);
  double ratio;

  g_random_set_seed (1);
  fleet_init (fleet, ENTRIES_MAX, TARGETS_MAX);
  fleet_run (fleet, 0.5 * fleet_capacity (fleet), 5);
  fleet_forget_start (fleet);
  fleet_run (fleet, 0.5 * fleet_capacity (fleet), 20);
  ratio = fleet_busiest_to_mean (fleet);
  cr_assert_lt (ratio, 1.3,
                "the busiest target is %.2f times as busy as the "
                "mean",
                ratio);
  fleet_clear (fleet);
  g_free (fleet);
}

/* A burst takes the targets to nine tenths of what they can do. Their queues
 * must not hold requests while other targets have free slots. */
Test (spread, requests_rarely_wait_while_other_targets_are_free)
{
  struct fleet *fleet = g_new (struct fleet, 1);
  double long_share;
  double mean_ms;

  g_random_set_seed (2);
  fleet_init (fleet, ENTRIES_MAX, TARGETS_MAX);
  fleet_run (fleet, 0.5 * fleet_capacity (fleet), 5);
  fleet_forget_start (fleet);
  fleet_run (fleet, 0.9 * fleet_capacity (fleet), 20);
  long_share = (double)fleet->waited_long / (double)fleet->sent;
  mean_ms = (double)fleet->waited_us / (double)fleet->sent / 1000;
  cr_assert_lt (long_share, 0.05, "%.3f waited over 100 ms, mean %.1f ms",
                long_share, mean_ms);
  fleet_clear (fleet);
  g_free (fleet);
}

/* With few targets each entry's own requests show the load well. */
Test (spread, few_entries_and_two_targets_stay_balanced)
{
  struct fleet *fleet = g_new (struct fleet, 1);
  double long_share;

  g_random_set_seed (3);
  fleet_init (fleet, 5, 3);
  fleet_run (fleet, 0.5 * fleet_capacity (fleet), 5);
  fleet_forget_start (fleet);
  fleet_run (fleet, 0.8 * fleet_capacity (fleet), 20);
  long_share = (double)fleet->waited_long / (double)fleet->sent;
  cr_assert_lt (long_share, 0.05, "%.3f waited over 100 ms", long_share);
  cr_assert_lt (fleet_busiest_to_mean (fleet), 1.15, "%.2f",
                fleet_busiest_to_mean (fleet));
  fleet_clear (fleet);
  g_free (fleet);
}
