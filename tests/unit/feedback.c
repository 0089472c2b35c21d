/**
 * DOC: Tests of the feedback between entries and guards under overload.
 *
 * Simulates entries, the guard of a front service, and the guard of a deep
 * service that the front may call. A target is modelled by its number of slots
 * and its run time.
 */

#include <criterion/criterion.h>
#include <math.h>
#include <string.h>

#include "../support/site.h"

#define DEEP_SLOTS 4
/*
 * HTTP status if all calls succeeded, and if the call to the deep service
 * failed.
 */
#define HTTP_OK 200
#define HTTP_UNAVAILABLE 503
#define CLASS_COUNT 3
#define SOURCE_COUNT 3

static const char document[]
    = "{ \"classes\": [\"reserve\", \"browse\", \"upload\"],"
      "  \"zones\": [{ \"name\": \"zone-a\", \"region\": \"r\" }],"
      "  \"services\": [{ \"name\": \"front\", \"retry_percent\": 10,"
      "    \"queue_wait_ms\": 20, \"cold_start_ms\": 0 },"
      "   { \"name\": \"deep\", \"retry_percent\": 10,"
      "    \"queue_wait_ms\": 50, \"cold_start_ms\": 0 }],"
      "  \"kinds\": ["
      "   { \"name\": \"reserve\", \"service\": \"front\", \"path\": \"/r\","
      "     \"class\": \"reserve\", \"idempotent\": true,"
      "     \"deadline_ms\": 1000, \"retry_tokens\": 2 },"
      "   { \"name\": \"browse\", \"service\": \"front\", \"path\": \"/b\","
      "     \"class\": \"browse\", \"idempotent\": true,"
      "     \"deadline_ms\": 1000, \"retry_tokens\": 2 },"
      "   { \"name\": \"upload\", \"service\": \"front\", \"path\": \"/u\","
      "     \"class\": \"upload\", \"idempotent\": true,"
      "     \"deadline_ms\": 1000, \"retry_tokens\": 2 },"
      "   { \"name\": \"deep\", \"service\": \"deep\", \"path\": \"/d\","
      "     \"class\": \"upload\", \"idempotent\": true,"
      "     \"deadline_ms\": 1000, \"retry_tokens\": 2 }] }";

#define DEEP_KIND 3

/* Number of daemons that only act as entries. */
#define ENTRY_COUNT 12

/**
 * enum node - index of each daemon; entries start at FIRST_ENTRY
 */
enum node
{
  FRONT,
  DEEP,
  FIRST_ENTRY,
  NODE_COUNT = FIRST_ENTRY + ENTRY_COUNT,
};

/**
 * struct call_source - calls of one kind at regular intervals
 */
struct call_source
{
  uint32_t kind;
  uint64_t interval_us;
  uint64_t start_us;
  uint64_t end_us;
};

/**
 * struct counts - results of the calls of one class
 * @done: calls that succeeded
 * @wasted: calls that ran at the front, but failed because of the deep service
 * @refused: calls that were refused without running
 * @other: all other results
 */
struct counts
{
  uint32_t done;
  uint32_t wasted;
  uint32_t refused;
  uint32_t other;
};

/**
 * struct simulation - the simulated daemons and targets, and the results
 * @kinds: kind of each call by its number
 * @slots: number of slots of the front target
 * @run_time_us: run time at the target of each daemon
 * @random: if not NULL, run times at the front are exponentially distributed
 * @entry_count: number of entries to which the calls are distributed in turn
 * @calls_deep: whether each run at the front calls the deep service
 * @knee_running: requests in progress above which the throughput of the front
 *                falls; 0 for none
 */
struct simulation
{
  struct jl_site site;
  GArray *kinds;
  uint32_t slots;
  uint64_t run_time_us[NODE_COUNT];
  GRand *random;
  uint32_t entry_count;
  bool calls_deep;
  uint32_t knee_running;
  struct counts counts[CLASS_COUNT];
};

static uint32_t
count_running (struct jl_site *site, uint32_t node)
{
  GHashTableIter iterator;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iterator, site->works);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct jl_site_work *work = value;

      count += work->node == node && work->running;
    }
  return count;
}

/*
 * Returns the run time of a request that starts now. Above the knee it grows
 * with the square of the number of requests in progress.
 */
static uint64_t
choose_run_time (struct jl_site *site, uint32_t node)
{
  const struct simulation *simulation = site->context;
  uint64_t run_time_us = simulation->run_time_us[node];
  uint64_t running = count_running (site, node);

  if (node == FRONT && simulation->random != NULL)
    return (uint64_t)(-log (1 - g_rand_double (simulation->random))
                      * (double)run_time_us);
  if (node == DEEP || simulation->knee_running == 0
      || running <= simulation->knee_running)
    return run_time_us;
  return run_time_us * running * running / simulation->knee_running
         / simulation->knee_running;
}

static void
handle_run (struct jl_site *site, const struct jl_site_work *work)
{
  const struct simulation *simulation = site->context;
  uint64_t run_time_us = choose_run_time (site, work->node);
  struct jl_event call = { .type = JL_EVENT_CALL };

  if (work->node == DEEP || !simulation->calls_deep)
    {
      jl_site_end_run (site, work->number, JL_RUN_ANSWERED, HTTP_OK,
                       run_time_us);
      return;
    }
  call.call.call = work->number;
  call.call.kind = DEEP_KIND;
  call.call.config_version = 1;
  call.call.parent = work->number;
  jl_site_schedule (site, FRONT, &call, site->now_us + run_time_us);
}

static void
handle_answer (struct jl_site *site,
               uint32_t node,
               const struct jl_effect_answer *answer,
               uint32_t status)
{
  struct simulation *simulation = site->context;
  struct counts *counts;

  if (node == FRONT)
    {
      jl_site_end_run (site, answer->call, JL_RUN_ANSWERED,
                       status == HTTP_OK ? HTTP_OK : HTTP_UNAVAILABLE, 0);
      return;
    }
  counts = &simulation->counts[g_array_index (simulation->kinds, uint32_t,
                                              answer->call)];
  if (status == HTTP_OK)
    counts->done++;
  else if (answer->outcome == JL_OUTCOME_DONE)
    counts->wasted++;
  else if (answer->outcome == JL_OUTCOME_NOT_RUN)
    counts->refused++;
  else
    counts->other++;
}

static void
open_simulation (struct simulation *simulation)
{
  const struct jl_site_hooks hooks = { handle_run, handle_answer };

  memset (simulation, 0, sizeof *simulation);
  simulation->kinds = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  g_array_set_size (simulation->kinds, 1);
  simulation->entry_count = 1;
  simulation->slots = 10;
  simulation->run_time_us[FRONT] = 20 * JL_USEC_PER_MSEC;
  simulation->run_time_us[DEEP] = 20 * JL_USEC_PER_MSEC;
  jl_site_open (&simulation->site, NODE_COUNT, document, hooks, simulation);
}

static void
close_simulation (struct simulation *simulation)
{
  jl_site_close (&simulation->site);
  g_array_free (simulation->kinds, TRUE);
}

/* Schedules the announcements of the targets and all calls. */
static void
schedule_calls (struct simulation *simulation,
                const struct call_source *sources,
                uint32_t count,
                uint64_t end_us)
{
  struct jl_event call = { .type = JL_EVENT_CALL };

  jl_site_announce (&simulation->site, FRONT, "front", simulation->slots, 1, 0,
                    end_us);
  jl_site_announce (&simulation->site, DEEP, "deep", DEEP_SLOTS, 1, 0, end_us);
  for (uint32_t i = 0; i < count; i++)
    for (uint64_t at_us = sources[i].start_us; at_us < sources[i].end_us;
         at_us += sources[i].interval_us)
      {
        call.call.call = simulation->kinds->len;
        call.call.kind = sources[i].kind;
        call.call.config_version = 1;
        g_array_append_val (simulation->kinds, sources[i].kind);
        jl_site_schedule (&simulation->site,
                          FIRST_ENTRY
                              + call.call.call % simulation->entry_count,
                          &call, at_us);
      }
}

static void
run_until (struct simulation *simulation, uint64_t end_us)
{
  jl_site_run_until (&simulation->site, end_us);
}

/* Runs until @end_us and stores the results since the previous run. */
static void
take_counts (struct simulation *simulation,
             uint64_t end_us,
             struct counts *counts)
{
  memset (simulation->counts, 0, sizeof simulation->counts);
  run_until (simulation, end_us);
  memcpy (counts, simulation->counts, sizeof simulation->counts);
  for (int i = 0; i < CLASS_COUNT; i++)
    cr_log_info ("until %u ms class %d: done %u wasted %u refused %u other %u",
                 (unsigned)(end_us / JL_USEC_PER_MSEC), i, counts[i].done,
                 counts[i].wasted, counts[i].refused, counts[i].other);
}

/*
 * The front has a capacity of 500 requests per second. 250 requests per second
 * arrive in the upper two classes and 900 in the lowest. All requests of the
 * upper classes must succeed, and at least 90% of the capacity must be used.
 */
Test (feedback, upper_classes_are_done_and_the_slots_stay_full)
{
  struct simulation simulation;
  struct counts counts[CLASS_COUNT];
  const struct call_source sources[SOURCE_COUNT] = {
    { 0, 10000, 2 * JL_USEC_PER_SEC, 16 * JL_USEC_PER_SEC },
    { 1, 6666, 2 * JL_USEC_PER_SEC, 16 * JL_USEC_PER_SEC },
    { 2, 1111, 4 * JL_USEC_PER_SEC, 10 * JL_USEC_PER_SEC },
  };

  open_simulation (&simulation);
  schedule_calls (&simulation, sources, SOURCE_COUNT, 16 * JL_USEC_PER_SEC);
  run_until (&simulation, 4 * JL_USEC_PER_SEC);
  for (uint64_t second = 5; second <= 10; second++)
    {
      take_counts (&simulation, second * JL_USEC_PER_SEC, counts);
      cr_expect_eq (counts[0].refused + counts[0].other, 0);
      cr_expect_eq (counts[1].refused + counts[1].other, 0);
      cr_expect_geq (counts[0].done + counts[1].done + counts[2].done, 450);
    }
  take_counts (&simulation, 12 * JL_USEC_PER_SEC, counts);
  take_counts (&simulation, 13 * JL_USEC_PER_SEC, counts);
  cr_expect_geq (counts[0].done + counts[1].done, 248);
  close_simulation (&simulation);
}

/*
 * Uploads arrive at 4 times the capacity for a while. Within two seconds after
 * that, all of 200 uploads per second must be admitted.
 */
Test (feedback, the_lowest_class_is_back_within_two_seconds)
{
  struct simulation simulation;
  struct counts counts[CLASS_COUNT];
  const struct call_source sources[] = {
    { 0, 10000, 2 * JL_USEC_PER_SEC, 16 * JL_USEC_PER_SEC },
    { 2, 500, 4 * JL_USEC_PER_SEC, 8 * JL_USEC_PER_SEC },
    { 2, 5000, 8 * JL_USEC_PER_SEC, 16 * JL_USEC_PER_SEC },
  };

  open_simulation (&simulation);
  schedule_calls (&simulation, sources, G_N_ELEMENTS (sources),
                  16 * JL_USEC_PER_SEC);
  run_until (&simulation, 8 * JL_USEC_PER_SEC);
  take_counts (&simulation, 10 * JL_USEC_PER_SEC, counts);
  take_counts (&simulation, 12 * JL_USEC_PER_SEC, counts);
  cr_expect_eq (counts[2].refused, 0);
  cr_expect_geq (counts[2].done, 395);
  close_simulation (&simulation);
}

/*
 * The capacity of the target drops to a fifth for a while, with unchanged
 * demand. No request of the upper class may be refused.
 */
Test (feedback, a_slow_target_keeps_the_upper_class)
{
  struct simulation simulation;
  struct counts counts[CLASS_COUNT];
  const struct call_source sources[] = {
    { 0, 20000, 2 * JL_USEC_PER_SEC, 20 * JL_USEC_PER_SEC },
    { 2, 3000, 2 * JL_USEC_PER_SEC, 20 * JL_USEC_PER_SEC },
  };

  open_simulation (&simulation);
  schedule_calls (&simulation, sources, G_N_ELEMENTS (sources),
                  20 * JL_USEC_PER_SEC);
  run_until (&simulation, 4 * JL_USEC_PER_SEC);
  simulation.run_time_us[FRONT] = 100 * JL_USEC_PER_MSEC;
  take_counts (&simulation, 5 * JL_USEC_PER_SEC, counts);
  for (uint64_t second = 6; second <= 10; second++)
    {
      take_counts (&simulation, second * JL_USEC_PER_SEC, counts);
      cr_expect_eq (counts[0].refused + counts[0].other, 0);
      cr_expect_geq (counts[0].done + counts[2].done, 90);
    }
  simulation.run_time_us[FRONT] = 20 * JL_USEC_PER_MSEC;
  run_until (&simulation, 12 * JL_USEC_PER_SEC);
  take_counts (&simulation, 14 * JL_USEC_PER_SEC, counts);
  cr_expect_eq (counts[2].refused, 0);
  cr_expect_geq (counts[2].done, 660);
  close_simulation (&simulation);
}

/*
 * The deep service has a capacity of 200 calls per second and the front of
 * 1,000. 50 requests per second arrive in the upper class and 400 in the
 * lowest. Requests that the deep service would refuse must be refused before
 * they run at the front.
 */
static void
expect_early_refusals (uint32_t entry_count)
{
  struct simulation simulation;
  struct counts counts[CLASS_COUNT];
  const struct call_source sources[] = {
    { 0, 20000, 2 * JL_USEC_PER_SEC, 16 * JL_USEC_PER_SEC },
    { 2, 2500, 4 * JL_USEC_PER_SEC, 10 * JL_USEC_PER_SEC },
    { 2, 10000, 10 * JL_USEC_PER_SEC, 16 * JL_USEC_PER_SEC },
  };

  open_simulation (&simulation);
  simulation.entry_count = entry_count;
  simulation.calls_deep = true;
  simulation.run_time_us[FRONT] = 5 * JL_USEC_PER_MSEC;
  schedule_calls (&simulation, sources, G_N_ELEMENTS (sources),
                  16 * JL_USEC_PER_SEC);
  run_until (&simulation, 4 * JL_USEC_PER_SEC);
  take_counts (&simulation, 5 * JL_USEC_PER_SEC, counts);
  for (uint64_t second = 6; second <= 10; second++)
    {
      take_counts (&simulation, second * JL_USEC_PER_SEC, counts);
      cr_expect_eq (counts[0].wasted + counts[0].refused + counts[0].other, 0);
      cr_expect_geq (counts[0].done + counts[2].done, 180);
      cr_expect_leq (counts[2].wasted, 30);
    }
  run_until (&simulation, 12 * JL_USEC_PER_SEC);
  take_counts (&simulation, 14 * JL_USEC_PER_SEC, counts);
  cr_expect_eq (counts[2].wasted + counts[2].refused, 0);
  cr_expect_geq (counts[2].done, 195);
  close_simulation (&simulation);
}

Test (feedback, what_the_deep_service_refuses_does_not_run_at_the_front)
{
  expect_early_refusals (1);
}

Test (feedback, many_entries_learn_what_the_deep_service_refuses)
{
  expect_early_refusals (ENTRY_COUNT);
}

/*
 * The target serves 125 requests per second with ten in progress, and 250 per
 * second with five. The concurrency limit must be reduced to reach the higher
 * rate.
 */
Test (feedback, a_target_that_thrashes_gets_fewer_at_a_time)
{
  struct simulation simulation;
  struct counts counts[CLASS_COUNT];
  const struct call_source sources[] = {
    { 0, 20000, 2 * JL_USEC_PER_SEC, 20 * JL_USEC_PER_SEC },
    { 2, 2000, 4 * JL_USEC_PER_SEC, 20 * JL_USEC_PER_SEC },
  };

  open_simulation (&simulation);
  simulation.knee_running = 5;
  schedule_calls (&simulation, sources, G_N_ELEMENTS (sources),
                  20 * JL_USEC_PER_SEC);
  run_until (&simulation, 4 * JL_USEC_PER_SEC);
  for (uint64_t second = 5; second <= 19; second++)
    {
      take_counts (&simulation, second * JL_USEC_PER_SEC, counts);
      cr_expect_eq (counts[0].refused + counts[0].other, 0);
      if (second > 10)
        cr_expect_geq (counts[0].done + counts[2].done, 190);
    }
  close_simulation (&simulation);
}

/*
 * Four slots with exponentially distributed run times serve 200 requests per
 * second. 187 requests per second arrive in the upper two classes and 213 in
 * the lowest. The queue must be long enough to keep the slots in use.
 */
Test (feedback, few_slots_with_widely_spread_runs_stay_in_use)
{
  struct simulation simulation;
  struct counts counts[CLASS_COUNT];
  const struct call_source sources[] = {
    { 0, 18700, 2 * JL_USEC_PER_SEC, 30 * JL_USEC_PER_SEC },
    { 1, 7500, 2 * JL_USEC_PER_SEC, 30 * JL_USEC_PER_SEC },
    { 2, 4700, 2 * JL_USEC_PER_SEC, 30 * JL_USEC_PER_SEC },
  };

  open_simulation (&simulation);
  simulation.slots = 4;
  simulation.random = g_rand_new_with_seed (1);
  schedule_calls (&simulation, sources, G_N_ELEMENTS (sources),
                  30 * JL_USEC_PER_SEC);
  run_until (&simulation, 5 * JL_USEC_PER_SEC);
  take_counts (&simulation, 25 * JL_USEC_PER_SEC, counts);
  cr_expect_eq (counts[0].refused + counts[0].other, 0);
  cr_expect_geq (counts[0].done + counts[1].done + counts[2].done, 3700);
  g_rand_free (simulation.random);
  close_simulation (&simulation);
}
