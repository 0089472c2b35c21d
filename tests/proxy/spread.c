/**
 * DOC: Load test of placement: many entries share many targets, and each entry
 * sees only its own requests and the beacons.
 *
 * Time is virtual. The load is the one of a zone of a large site in a burst: 39
 * entries and 20 targets of a service, of which some are more than twice as
 * fast as others.
 */

#include <criterion/criterion.h>

#include <math.h>
#include <string.h>

#include "policy/lane.h"
#include "policy/load-shedder.h"
#include "proxy/place.h"

#define STEP_US (5 * JL_USEC_PER_MSEC)
#define STEPS_PER_S 200
#define ENTRIES_MAX 39
#define TARGETS_MAX 20
#define LIMIT 28
/* Period of beacons while values change. */
#define BEACON_STEPS 40
#define CONTROL_STEPS 20
#define REQUESTS_MAX 4096

/**
 * struct request - one request, at its target
 * @entry: entry that sent it, JL_NONE for a free slot of the table
 * @ends_step: step at which its run ends, 0 while it waits
 */
struct request
{
  struct jl_lane_item item;
  unsigned entry;
  unsigned ends_step;
};

/**
 * struct target - a target and its queue
 * @hold_us: mean time of a run
 * @busy: sum over all steps of the requests that run
 */
struct target
{
  struct jl_lane lane;
  struct jl_load_shedder shedder;
  double hold_us;
  uint64_t busy;
  struct request requests[REQUESTS_MAX];
};

/**
 * struct zone - entries and targets
 * @sent: requests sent
 * @waited_us: sum of the times that they waited
 * @waited_long: requests that waited for more than 100 ms
 */
struct zone
{
  unsigned entry_count;
  unsigned target_count;
  struct jl_roster rosters[ENTRIES_MAX];
  struct jl_member *members[ENTRIES_MAX][TARGETS_MAX];
  struct target targets[TARGETS_MAX];
  unsigned step;
  uint64_t sent;
  uint64_t waited_us;
  uint64_t waited_long;
};

static uint64_t
now_us (const struct zone *zone)
{
  return JL_USEC_PER_SEC + zone->step * STEP_US;
}

static void
zone_init (struct zone *zone, unsigned entry_count, unsigned target_count)
{
  static const double speeds[] = { 0.7, 0.7, 1.6 };

  memset (zone, 0, sizeof *zone);
  zone->entry_count = entry_count;
  zone->target_count = target_count;
  for (unsigned i = 0; i < target_count; i++)
    {
      struct target *target = &zone->targets[i];

      jl_lane_init (&target->lane);
      jl_load_shedder_init (&target->shedder);
      target->lane.limit = LIMIT;
      target->hold_us = 180000 / speeds[i % G_N_ELEMENTS (speeds)];
      for (unsigned j = 0; j < REQUESTS_MAX; j++)
        target->requests[j].entry = JL_NONE;
    }
  for (unsigned i = 0; i < entry_count; i++)
    {
      jl_roster_init (&zone->rosters[i], "z1");
      for (unsigned j = 0; j < target_count; j++)
        {
          char name[16];
          struct jl_member *member;

          g_snprintf (name, sizeof name, "d%u", j);
          member = jl_roster_get_or_add (&zone->rosters[i], name);
          jl_roster_set_zone (&zone->rosters[i], member, "z1");
          g_strlcpy (member->service, "s", sizeof member->service);
          member->state = JL_TARGET_UP;
          member->limit = LIMIT;
          zone->members[i][j] = member;
        }
    }
}

static void
zone_clear (struct zone *zone)
{
  for (unsigned i = 0; i < zone->entry_count; i++)
    jl_roster_clear (&zone->rosters[i]);
}

static void
start_run (struct zone *zone, struct target *target, struct request *request)
{
  double hold_us = target->hold_us * (0.5 + g_random_double ());
  uint64_t waited_us = now_us (zone) - request->item.arrived_us;

  request->ends_step = zone->step + MAX ((unsigned)(hold_us / STEP_US), 1);
  zone->waited_us += waited_us;
  zone->waited_long += waited_us > 100 * JL_USEC_PER_MSEC;
}

static void
send_request (struct zone *zone, unsigned entry)
{
  struct jl_member *member = jl_place_choose_daemon (
      &zone->rosters[entry], "s", "z1", NULL, 0, now_us (zone));
  struct target *target = NULL;
  struct request *request;

  for (unsigned i = 0; target == NULL; i++)
    if (zone->members[entry][i] == member)
      target = &zone->targets[i];
  request = target->requests;
  while (request->entry != JL_NONE)
    request++;
  memset (request, 0, sizeof *request);
  request->entry = entry;
  request->item.rank = 1;
  request->item.arrived_us = now_us (zone);
  member->outstanding++;
  zone->sent++;
  jl_load_shedder_count_arrival (&target->shedder);
  if (jl_lane_submit (&target->lane, &request->item))
    start_run (zone, target, request);
}

static void
end_runs (struct zone *zone, unsigned index)
{
  struct target *target = &zone->targets[index];
  struct jl_lane_item *item;

  for (unsigned i = 0; i < REQUESTS_MAX; i++)
    {
      struct request *request = &target->requests[i];

      if (request->entry == JL_NONE || request->ends_step == 0
          || request->ends_step > zone->step)
        continue;
      zone->members[request->entry][index]->outstanding--;
      request->entry = JL_NONE;
      jl_lane_finish (&target->lane);
      jl_load_shedder_record_hold (&target->shedder, (uint64_t)target->hold_us);
    }
  while ((item = jl_lane_take_next (&target->lane)) != NULL)
    start_run (zone, target, caa_container_of (item, struct request, item));
  target->busy += target->lane.running;
}

static void
announce (struct zone *zone, unsigned index)
{
  const struct target *target = &zone->targets[index];

  for (unsigned i = 0; i < zone->entry_count; i++)
    {
      struct jl_member *member = zone->members[i][index];

      member->last_beacon_us = now_us (zone);
      member->capacity = jl_load_shedder_capacity (&target->shedder, LIMIT);
      member->shed_share = target->shedder.shed_share;
      member->spare_share = target->shedder.spare_share;
    }
}

/* Runs @seconds in which the entries together send @rate requests a second. */
static void
zone_run (struct zone *zone, double rate, unsigned seconds)
{
  double due = 0;

  for (unsigned end = zone->step + seconds * STEPS_PER_S; zone->step < end;
       zone->step++)
    {
      for (unsigned i = 0; i < zone->target_count; i++)
        {
          struct target *target = &zone->targets[i];

          end_runs (zone, i);
          if ((zone->step + i) % CONTROL_STEPS == 0)
            jl_load_shedder_end_window (&target->shedder, LIMIT,
                                        target->lane.waiting);
          if (zone->step == 0 || (zone->step + 2 * i) % BEACON_STEPS == 0)
            announce (zone, i);
        }
      /* Arrivals are a Poisson process: the time between them is exponential.
       */
      due += rate / STEPS_PER_S;
      while (due > 0)
        {
          send_request (zone, g_random_int () % zone->entry_count);
          due += log (1 - g_random_double ());
        }
    }
}

/* Requests a second that all targets together can run. */
static double
zone_capacity (const struct zone *zone)
{
  double capacity = 0;

  for (unsigned i = 0; i < zone->target_count; i++)
    capacity += LIMIT * 1e6 / zone->targets[i].hold_us;
  return capacity;
}

/* Returns how busy the busiest target was, relative to the mean. */
static double
busiest_to_mean (const struct zone *zone)
{
  double most = 0;
  double sum = 0;

  for (unsigned i = 0; i < zone->target_count; i++)
    {
      most = MAX (most, (double)zone->targets[i].busy);
      sum += (double)zone->targets[i].busy;
    }
  return most / (sum / zone->target_count);
}

static void
forget_start (struct zone *zone)
{
  zone->sent = zone->waited_us = zone->waited_long = 0;
  for (unsigned i = 0; i < zone->target_count; i++)
    zone->targets[i].busy = 0;
}

Test (spread, many_entries_keep_many_targets_equally_busy)
{
  struct zone *zone = g_new (struct zone, 1);
  double ratio;

  g_random_set_seed (1);
  zone_init (zone, ENTRIES_MAX, TARGETS_MAX);
  zone_run (zone, 0.5 * zone_capacity (zone), 5);
  forget_start (zone);
  zone_run (zone, 0.5 * zone_capacity (zone), 20);
  ratio = busiest_to_mean (zone);
  cr_assert_lt (ratio, 1.3,
                "the busiest target is %.2f times as busy as the "
                "mean",
                ratio);
  zone_clear (zone);
  g_free (zone);
}

/* A burst takes the targets to nine tenths of what they can do. Their queues
 * must not hold requests while other targets have free slots. */
Test (spread, requests_rarely_wait_while_other_targets_are_free)
{
  struct zone *zone = g_new (struct zone, 1);
  double long_share;
  double mean_ms;

  g_random_set_seed (2);
  zone_init (zone, ENTRIES_MAX, TARGETS_MAX);
  zone_run (zone, 0.5 * zone_capacity (zone), 5);
  forget_start (zone);
  zone_run (zone, 0.9 * zone_capacity (zone), 20);
  long_share = (double)zone->waited_long / (double)zone->sent;
  mean_ms = (double)zone->waited_us / (double)zone->sent / 1000;
  cr_assert_lt (long_share, 0.05, "%.3f waited over 100 ms, mean %.1f ms",
                long_share, mean_ms);
  zone_clear (zone);
  g_free (zone);
}

/* With few targets each entry's own requests show the load well. */
Test (spread, few_entries_and_two_targets_stay_balanced)
{
  struct zone *zone = g_new (struct zone, 1);
  double long_share;

  g_random_set_seed (3);
  zone_init (zone, 5, 3);
  zone_run (zone, 0.5 * zone_capacity (zone), 5);
  forget_start (zone);
  zone_run (zone, 0.8 * zone_capacity (zone), 20);
  long_share = (double)zone->waited_long / (double)zone->sent;
  cr_assert_lt (long_share, 0.05, "%.3f waited over 100 ms", long_share);
  cr_assert_lt (busiest_to_mean (zone), 1.15, "%.2f", busiest_to_mean (zone));
  zone_clear (zone);
  g_free (zone);
}
