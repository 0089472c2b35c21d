/**
 * DOC: Entry and guards together: what the levels do to the traffic that they
 * hold back. An entry, the guard of a front service, and the guard of a deep
 * service that the front may call. Targets are a count of slots and a service
 * time.
 */

#include <criterion/criterion.h>
#include <math.h>
#include <string.h>

#include "../support/site.h"

#define DEEP_SLOTS 4
/* Statuses of answers that are whole, and of those that failed further down. */
#define STATUS_OK 200
#define STATUS_FAILED 503
#define CLASS_COUNT 3
#define CALLER_COUNT 3

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

/* Daemons that only take calls. */
#define ENTRY_COUNT 12

/**
 * enum place - the daemons; entries from FIRST_ENTRY on
 */
enum place
{
  FRONT,
  DEEP,
  FIRST_ENTRY,
  PLACE_COUNT = FIRST_ENTRY + ENTRY_COUNT,
};

/**
 * struct caller - calls of one kind at regular times
 */
struct caller
{
  uint32_t kind;
  uint64_t every_us;
  uint64_t from_us;
  uint64_t until_us;
};

/**
 * struct counts - answers to the calls of one class
 * @done: whole requests
 * @wasted: ran, and failed further down
 */
struct counts
{
  uint32_t done;
  uint32_t wasted;
  uint32_t refused;
  uint32_t other;
};

/**
 * struct world - the daemons, their targets and the callers
 * @kinds: kind of each call by number
 * @slots: slots of the front
 * @service_us: how long a run takes at the target of each daemon
 * @random: spreads the times of the front's runs, exponentially; may be NULL
 * @entries: how many entries get calls, in turn
 * @calls_deep: the front makes a call to the deep service in each run
 * @knee: requests in progress above which the front's runs take longer, all
 *        together longer than one after the other; 0 for none
 */
struct world
{
  struct jl_site site;
  GArray *kinds;
  uint32_t slots;
  uint64_t service_us[PLACE_COUNT];
  GRand *random;
  uint32_t entries;
  bool calls_deep;
  uint32_t knee;
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

/* How long a run takes beside those in progress. */
static uint64_t
choose_service (struct jl_site *site, uint32_t node)
{
  const struct world *world = site->context;
  uint64_t service_us = world->service_us[node];
  uint64_t running = count_running (site, node);

  if (node == FRONT && world->random != NULL)
    return (uint64_t)(-log (1 - g_rand_double (world->random))
                      * (double)service_us);
  if (node == DEEP || world->knee == 0 || running <= world->knee)
    return service_us;
  return service_us * running * running / world->knee / world->knee;
}

static void
handle_run (struct jl_site *site, const struct jl_site_work *work)
{
  const struct world *world = site->context;
  uint64_t service_us = choose_service (site, work->node);
  struct jl_event call = { .type = JL_EVENT_CALL };

  if (work->node == DEEP || !world->calls_deep)
    {
      jl_site_end_run (site, work->number, JL_RUN_ANSWERED, STATUS_OK,
                       service_us);
      return;
    }
  call.call.call = work->number;
  call.call.kind = DEEP_KIND;
  call.call.config_version = 1;
  call.call.parent = work->number;
  jl_site_schedule (site, FRONT, &call, site->now_us + service_us);
}

static void
handle_answer (struct jl_site *site,
               uint32_t node,
               const struct jl_effect_answer *answer,
               uint32_t status)
{
  struct world *world = site->context;
  struct counts *counts;

  if (node == FRONT)
    {
      jl_site_end_run (site, answer->call, JL_RUN_ANSWERED,
                       status == STATUS_OK ? STATUS_OK : STATUS_FAILED, 0);
      return;
    }
  counts = &world->counts[g_array_index (world->kinds, uint32_t, answer->call)];
  if (status == STATUS_OK)
    counts->done++;
  else if (answer->outcome == JL_OUTCOME_DONE)
    counts->wasted++;
  else if (answer->outcome == JL_OUTCOME_NOT_RUN)
    counts->refused++;
  else
    counts->other++;
}

static void
open_world (struct world *world)
{
  const struct jl_site_hooks hooks = { handle_run, handle_answer };

  memset (world, 0, sizeof *world);
  world->kinds = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  g_array_set_size (world->kinds, 1);
  world->entries = 1;
  world->slots = 10;
  world->service_us[FRONT] = 20 * JL_USEC_PER_MSEC;
  world->service_us[DEEP] = 20 * JL_USEC_PER_MSEC;
  jl_site_open (&world->site, PLACE_COUNT, document, hooks, world);
}

static void
close_world (struct world *world)
{
  jl_site_close (&world->site);
  g_array_free (world->kinds, TRUE);
}

/* Announces the targets, and makes the calls. */
static void
plan (struct world *world,
      const struct caller *callers,
      uint32_t count,
      uint64_t end_us)
{
  struct jl_event call = { .type = JL_EVENT_CALL };

  jl_site_announce (&world->site, FRONT, "front", world->slots, 1, 0, end_us);
  jl_site_announce (&world->site, DEEP, "deep", DEEP_SLOTS, 1, 0, end_us);
  for (uint32_t i = 0; i < count; i++)
    for (uint64_t at_us = callers[i].from_us; at_us < callers[i].until_us;
         at_us += callers[i].every_us)
      {
        call.call.call = world->kinds->len;
        call.call.kind = callers[i].kind;
        call.call.config_version = 1;
        g_array_append_val (world->kinds, callers[i].kind);
        jl_site_schedule (&world->site,
                          FIRST_ENTRY + call.call.call % world->entries, &call,
                          at_us);
      }
}

static void
run_until (struct world *world, uint64_t end_us)
{
  jl_site_run_until (&world->site, end_us);
}

/* Goes on to @end_us and returns the answers since the last time. */
static void
take_counts (struct world *world, uint64_t end_us, struct counts *counts)
{
  memset (world->counts, 0, sizeof world->counts);
  run_until (world, end_us);
  memcpy (counts, world->counts, sizeof world->counts);
  for (int i = 0; i < CLASS_COUNT; i++)
    cr_log_info ("until %u ms class %d: done %u wasted %u refused %u other %u",
                 (unsigned)(end_us / JL_USEC_PER_MSEC), i, counts[i].done,
                 counts[i].wasted, counts[i].refused, counts[i].other);
}

/* 500 runs a second fit; 250 of the upper classes and 900 uploads arrive. */
Test (feedback, upper_classes_are_done_and_the_slots_stay_full)
{
  struct world world;
  struct counts counts[CLASS_COUNT];
  const struct caller callers[CALLER_COUNT] = {
    { 0, 10000, 2 * JL_USEC_PER_SEC, 16 * JL_USEC_PER_SEC },
    { 1, 6666, 2 * JL_USEC_PER_SEC, 16 * JL_USEC_PER_SEC },
    { 2, 1111, 4 * JL_USEC_PER_SEC, 10 * JL_USEC_PER_SEC },
  };

  open_world (&world);
  plan (&world, callers, CALLER_COUNT, 16 * JL_USEC_PER_SEC);
  run_until (&world, 4 * JL_USEC_PER_SEC);
  for (uint64_t second = 5; second <= 10; second++)
    {
      take_counts (&world, second * JL_USEC_PER_SEC, counts);
      cr_expect_eq (counts[0].refused + counts[0].other, 0);
      cr_expect_eq (counts[1].refused + counts[1].other, 0);
      cr_expect_geq (counts[0].done + counts[1].done + counts[2].done, 450);
    }
  take_counts (&world, 12 * JL_USEC_PER_SEC, counts);
  take_counts (&world, 13 * JL_USEC_PER_SEC, counts);
  cr_expect_geq (counts[0].done + counts[1].done, 248);
  close_world (&world);
}

/* After a surge of 4 times the capacity a trickle of uploads is let in again.
 */
Test (feedback, the_lowest_class_is_back_within_two_seconds)
{
  struct world world;
  struct counts counts[CLASS_COUNT];
  const struct caller callers[] = {
    { 0, 10000, 2 * JL_USEC_PER_SEC, 16 * JL_USEC_PER_SEC },
    { 2, 500, 4 * JL_USEC_PER_SEC, 8 * JL_USEC_PER_SEC },
    { 2, 5000, 8 * JL_USEC_PER_SEC, 16 * JL_USEC_PER_SEC },
  };

  open_world (&world);
  plan (&world, callers, G_N_ELEMENTS (callers), 16 * JL_USEC_PER_SEC);
  run_until (&world, 8 * JL_USEC_PER_SEC);
  take_counts (&world, 10 * JL_USEC_PER_SEC, counts);
  take_counts (&world, 12 * JL_USEC_PER_SEC, counts);
  cr_expect_eq (counts[2].refused, 0);
  cr_expect_geq (counts[2].done, 395);
  close_world (&world);
}

/* The target slows down to a fifth while demand stays. */
Test (feedback, a_slow_target_keeps_the_upper_class)
{
  struct world world;
  struct counts counts[CLASS_COUNT];
  const struct caller callers[] = {
    { 0, 20000, 2 * JL_USEC_PER_SEC, 20 * JL_USEC_PER_SEC },
    { 2, 3000, 2 * JL_USEC_PER_SEC, 20 * JL_USEC_PER_SEC },
  };

  open_world (&world);
  plan (&world, callers, G_N_ELEMENTS (callers), 20 * JL_USEC_PER_SEC);
  run_until (&world, 4 * JL_USEC_PER_SEC);
  world.service_us[FRONT] = 100 * JL_USEC_PER_MSEC;
  take_counts (&world, 5 * JL_USEC_PER_SEC, counts);
  for (uint64_t second = 6; second <= 10; second++)
    {
      take_counts (&world, second * JL_USEC_PER_SEC, counts);
      cr_expect_eq (counts[0].refused + counts[0].other, 0);
      cr_expect_geq (counts[0].done + counts[2].done, 90);
    }
  world.service_us[FRONT] = 20 * JL_USEC_PER_MSEC;
  run_until (&world, 12 * JL_USEC_PER_SEC);
  take_counts (&world, 14 * JL_USEC_PER_SEC, counts);
  cr_expect_eq (counts[2].refused, 0);
  cr_expect_geq (counts[2].done, 660);
  close_world (&world);
}

/*
 * The deep service takes 200 calls a second, the front 1,000. Of the upper
 * class 50 a second arrive, of the lowest 400.
 */
static void
expect_refused_early (uint32_t entries)
{
  struct world world;
  struct counts counts[CLASS_COUNT];
  const struct caller callers[] = {
    { 0, 20000, 2 * JL_USEC_PER_SEC, 16 * JL_USEC_PER_SEC },
    { 2, 2500, 4 * JL_USEC_PER_SEC, 10 * JL_USEC_PER_SEC },
    { 2, 10000, 10 * JL_USEC_PER_SEC, 16 * JL_USEC_PER_SEC },
  };

  open_world (&world);
  world.entries = entries;
  world.calls_deep = true;
  world.service_us[FRONT] = 5 * JL_USEC_PER_MSEC;
  plan (&world, callers, G_N_ELEMENTS (callers), 16 * JL_USEC_PER_SEC);
  run_until (&world, 4 * JL_USEC_PER_SEC);
  take_counts (&world, 5 * JL_USEC_PER_SEC, counts);
  for (uint64_t second = 6; second <= 10; second++)
    {
      take_counts (&world, second * JL_USEC_PER_SEC, counts);
      cr_expect_eq (counts[0].wasted + counts[0].refused + counts[0].other, 0);
      cr_expect_geq (counts[0].done + counts[2].done, 180);
      cr_expect_leq (counts[2].wasted, 30);
    }
  run_until (&world, 12 * JL_USEC_PER_SEC);
  take_counts (&world, 14 * JL_USEC_PER_SEC, counts);
  cr_expect_eq (counts[2].wasted + counts[2].refused, 0);
  cr_expect_geq (counts[2].done, 195);
  close_world (&world);
}

Test (feedback, what_the_deep_service_refuses_does_not_run_at_the_front)
{
  expect_refused_early (1);
}

Test (feedback, many_entries_learn_what_the_deep_service_refuses)
{
  expect_refused_early (ENTRY_COUNT);
}

/*
 * With its ten slots in use the target takes 125 requests a second, with five
 * of them 250.
 */
Test (feedback, a_target_that_thrashes_gets_fewer_at_a_time)
{
  struct world world;
  struct counts counts[CLASS_COUNT];
  const struct caller callers[] = {
    { 0, 20000, 2 * JL_USEC_PER_SEC, 20 * JL_USEC_PER_SEC },
    { 2, 2000, 4 * JL_USEC_PER_SEC, 20 * JL_USEC_PER_SEC },
  };

  open_world (&world);
  world.knee = 5;
  plan (&world, callers, G_N_ELEMENTS (callers), 20 * JL_USEC_PER_SEC);
  run_until (&world, 4 * JL_USEC_PER_SEC);
  for (uint64_t second = 5; second <= 19; second++)
    {
      take_counts (&world, second * JL_USEC_PER_SEC, counts);
      cr_expect_eq (counts[0].refused + counts[0].other, 0);
      if (second > 10)
        cr_expect_geq (counts[0].done + counts[2].done, 190);
    }
  close_world (&world);
}

/*
 * Four slots and exponential run times: 200 a second fit. Of the upper two
 * classes 187 arrive, of the lowest 213.
 */
Test (feedback, few_slots_with_widely_spread_runs_stay_in_use)
{
  struct world world;
  struct counts counts[CLASS_COUNT];
  const struct caller callers[] = {
    { 0, 18700, 2 * JL_USEC_PER_SEC, 30 * JL_USEC_PER_SEC },
    { 1, 7500, 2 * JL_USEC_PER_SEC, 30 * JL_USEC_PER_SEC },
    { 2, 4700, 2 * JL_USEC_PER_SEC, 30 * JL_USEC_PER_SEC },
  };

  open_world (&world);
  world.slots = 4;
  world.random = g_rand_new_with_seed (1);
  plan (&world, callers, G_N_ELEMENTS (callers), 30 * JL_USEC_PER_SEC);
  run_until (&world, 5 * JL_USEC_PER_SEC);
  take_counts (&world, 25 * JL_USEC_PER_SEC, counts);
  cr_expect_eq (counts[0].refused + counts[0].other, 0);
  cr_expect_geq (counts[0].done + counts[1].done + counts[2].done, 3700);
  g_rand_free (world.random);
  close_world (&world);
}
