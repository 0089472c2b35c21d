/**
 * DOC: Test of poison detection: a caller repeats a request that crashes every
 * target that runs it, while harmless requests are served.
 */

#include <criterion/criterion.h>
#include <string.h>

#include "../support/site.h"

#define ENTRY_COUNT 3
#define TARGET_COUNT 5
#define NODE_COUNT (ENTRY_COUNT + TARGET_COUNT)
#define SLOTS 20
#define POISON_DIGEST 666
#define POPULAR_DIGEST 5
#define RESEND_COUNT 20
#define RESEND_DELAY_US (30 * JL_USEC_PER_MSEC)
#define RUN_TIME_US (40 * JL_USEC_PER_MSEC)
#define CRASH_DELAY_US (5 * JL_USEC_PER_MSEC)
#define RESTART_DELAY_US (400 * JL_USEC_PER_MSEC)
#define END_US (20 * JL_USEC_PER_SEC)
/* Number of the first harmless call; lower numbers are poison requests. */
#define FIRST_OTHER_CALL 1000

static const char document[]
    = "{ \"classes\": [\"browse\"],"
      "  \"zones\": [{ \"name\": \"zone-a\", \"region\": \"r\" }],"
      "  \"services\": [{ \"name\": \"front\", \"retry_percent\": 100,"
      "    \"queue_wait_ms\": 50, \"cold_start_ms\": 0 }],"
      "  \"kinds\": ["
      "   { \"name\": \"browse\", \"service\": \"front\", \"path\": \"/b\","
      "     \"class\": \"browse\", \"idempotent\": true,"
      "     \"deadline_ms\": 1000, \"retry_tokens\": 2 }] }";

/**
 * struct simulation - the simulated daemons and the results
 * @start_count: number of starts of each target
 * @down_until_us: time at which each crashed target is up again
 * @poison_sends: number of times the poison request was sent
 * @crashes: number of crashes of targets
 * @others_done: number of harmless requests that were answered
 * @others_refused: number of harmless requests refused as poison
 */
struct simulation
{
  struct jl_site site;
  uint64_t start_count[NODE_COUNT];
  uint64_t down_until_us[NODE_COUNT];
  uint32_t poison_sends;
  uint32_t crashes;
  uint32_t others_done;
  uint32_t others_refused;
};

static void
crash_target (struct simulation *simulation, uint32_t node)
{
  uint64_t restarted_us
      = simulation->site.now_us + CRASH_DELAY_US + RESTART_DELAY_US;

  if (simulation->down_until_us[node] > simulation->site.now_us)
    return;
  simulation->crashes++;
  simulation->down_until_us[node] = restarted_us;
  jl_site_crash_target (&simulation->site, node, CRASH_DELAY_US);
  jl_site_announce (&simulation->site, node, "front", SLOTS,
                    ++simulation->start_count[node], restarted_us, END_US);
}

static void
handle_run (struct jl_site *site, const struct jl_site_work *work)
{
  struct simulation *simulation = site->context;

  if (simulation->down_until_us[work->node] > site->now_us)
    jl_site_end_run (site, work->number, JL_RUN_NOT_SENT, 0, 0);
  else if (work->digest == POISON_DIGEST)
    crash_target (simulation, work->node);
  else
    jl_site_end_run (site, work->number, JL_RUN_ANSWERED, 200, RUN_TIME_US);
}

static void
send_poison (struct simulation *simulation, uint64_t at_us)
{
  struct jl_event event = { .type = JL_EVENT_CALL };

  event.call.call = ++simulation->poison_sends;
  event.call.config_version = 1;
  event.call.digest = POISON_DIGEST;
  jl_site_schedule (&simulation->site, simulation->poison_sends % ENTRY_COUNT,
                    &event, at_us);
}

static void
handle_answer (struct jl_site *site,
               uint32_t node G_GNUC_UNUSED,
               const struct jl_effect_answer *answer,
               uint32_t status)
{
  struct simulation *simulation = site->context;

  if (answer->call < FIRST_OTHER_CALL)
    {
      if (simulation->poison_sends < RESEND_COUNT)
        send_poison (simulation, site->now_us + RESEND_DELAY_US);
      return;
    }
  simulation->others_done += status == 200;
  simulation->others_refused += answer->reason == JL_REASON_POISON;
}

/*
 * Schedules harmless requests at all entries. Every third request has the same
 * content; each of the others has a content of its own.
 */
static void
schedule_others (struct simulation *simulation,
                 uint64_t from_us,
                 uint64_t end_us)
{
  struct jl_event event = { .type = JL_EVENT_CALL };
  uint64_t number = FIRST_OTHER_CALL;

  event.call.config_version = 1;
  for (uint64_t at_us = from_us; at_us < end_us; at_us += 2000)
    {
      event.call.call = ++number;
      event.call.digest = number % 3 == 0 ? POPULAR_DIGEST : number;
      jl_site_schedule (&simulation->site, number % ENTRY_COUNT, &event, at_us);
    }
}

static void
open_simulation (struct simulation *simulation)
{
  const struct jl_site_hooks hooks = { handle_run, handle_answer };

  memset (simulation, 0, sizeof *simulation);
  jl_site_open (&simulation->site, NODE_COUNT, document, hooks, simulation);
  for (uint32_t node = ENTRY_COUNT; node < NODE_COUNT; node++)
    jl_site_announce (&simulation->site, node, "front", SLOTS,
                      ++simulation->start_count[node], 0, END_US);
}

/*
 * A poison request that is sent 20 times, through all entries in turn, must
 * crash exactly two targets. No harmless request may be refused as poison.
 */
Test (crashing, kills_at_most_two_targets)
{
  struct simulation simulation;

  open_simulation (&simulation);
  schedule_others (&simulation, 2 * JL_USEC_PER_SEC, 8 * JL_USEC_PER_SEC);
  jl_site_run_until (&simulation.site, 3 * JL_USEC_PER_SEC);
  send_poison (&simulation, 3 * JL_USEC_PER_SEC);
  jl_site_run_until (&simulation.site, 10 * JL_USEC_PER_SEC);
  cr_log_info ("resends %u crashes %u others done %u refused %u",
               simulation.poison_sends, simulation.crashes,
               simulation.others_done, simulation.others_refused);
  cr_expect_eq (simulation.poison_sends, RESEND_COUNT);
  cr_expect_eq (simulation.crashes, 2);
  cr_expect_eq (simulation.others_refused, 0);
  jl_site_close (&simulation.site);
}
