/**
 * DOC: A request that crashes each target that runs it, sent again by its
 * caller, beside requests that do no harm.
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
#define RESENDS 20
#define RESEND_US (30 * JL_USEC_PER_MSEC)
#define RUN_US (40 * JL_USEC_PER_MSEC)
#define CRASH_AFTER_US (5 * JL_USEC_PER_MSEC)
#define RESTART_US (400 * JL_USEC_PER_MSEC)
#define END_US (20 * JL_USEC_PER_SEC)
/* Numbers of the calls: the poisonous ones come first. */
#define FIRST_OTHER 1000

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
 * struct world - the daemons, and what happened
 * @lives: how often each target was started
 * @resends: how often the poisonous request was sent
 * @crashes: targets that died
 * @others_done: other requests that were done
 * @others_barred: other requests refused because of strikes
 */
struct world
{
  struct jl_site site;
  uint64_t lives[NODE_COUNT];
  uint64_t down_until_us[NODE_COUNT];
  uint32_t resends;
  uint32_t crashes;
  uint32_t others_done;
  uint32_t others_barred;
};

static void
crash (struct world *world, uint32_t node)
{
  uint64_t back_us = world->site.now_us + CRASH_AFTER_US + RESTART_US;

  if (world->down_until_us[node] > world->site.now_us)
    return;
  world->crashes++;
  world->down_until_us[node] = back_us;
  jl_site_crash_target (&world->site, node, CRASH_AFTER_US);
  jl_site_announce (&world->site, node, "front", SLOTS, ++world->lives[node],
                    back_us, END_US);
}

static void
handle_run (struct jl_site *site, const struct jl_site_work *work)
{
  struct world *world = site->context;

  if (world->down_until_us[work->node] > site->now_us)
    jl_site_end_run (site, work->number, JL_RUN_NOT_SENT, 0, 0);
  else if (work->digest == POISON_DIGEST)
    crash (world, work->node);
  else
    jl_site_end_run (site, work->number, JL_RUN_ANSWERED, 200, RUN_US);
}

static void
send_poison (struct world *world, uint64_t at_us)
{
  struct jl_event event = { .type = JL_EVENT_CALL };

  event.call.call = ++world->resends;
  event.call.config_version = 1;
  event.call.digest = POISON_DIGEST;
  jl_site_schedule (&world->site, world->resends % ENTRY_COUNT, &event, at_us);
}

static void
handle_answer (struct jl_site *site,
               uint32_t node G_GNUC_UNUSED,
               const struct jl_effect_answer *answer,
               uint32_t status)
{
  struct world *world = site->context;

  if (answer->call < FIRST_OTHER)
    {
      if (world->resends < RESENDS)
        send_poison (world, site->now_us + RESEND_US);
      return;
    }
  world->others_done += status == 200;
  world->others_barred += answer->reason == JL_REASON_POISON;
}

/* Requests with contents of their own, and a popular one, at every entry. */
static void
plan_others (struct world *world, uint64_t from_us, uint64_t end_us)
{
  struct jl_event event = { .type = JL_EVENT_CALL };
  uint64_t number = FIRST_OTHER;

  event.call.config_version = 1;
  for (uint64_t at_us = from_us; at_us < end_us; at_us += 2000)
    {
      event.call.call = ++number;
      event.call.digest = number % 3 == 0 ? POPULAR_DIGEST : number;
      jl_site_schedule (&world->site, number % ENTRY_COUNT, &event, at_us);
    }
}

static void
open_world (struct world *world)
{
  const struct jl_site_hooks hooks = { handle_run, handle_answer };

  memset (world, 0, sizeof *world);
  jl_site_open (&world->site, NODE_COUNT, document, hooks, world);
  for (uint32_t node = ENTRY_COUNT; node < NODE_COUNT; node++)
    jl_site_announce (&world->site, node, "front", SLOTS, ++world->lives[node],
                      0, END_US);
}

/* One request, sent twenty times through all entries, kills two targets. */
Test (crashing, kills_at_most_two_targets)
{
  struct world world;

  open_world (&world);
  plan_others (&world, 2 * JL_USEC_PER_SEC, 8 * JL_USEC_PER_SEC);
  jl_site_run_until (&world.site, 3 * JL_USEC_PER_SEC);
  send_poison (&world, 3 * JL_USEC_PER_SEC);
  jl_site_run_until (&world.site, 10 * JL_USEC_PER_SEC);
  cr_log_info ("resends %u crashes %u others done %u barred %u", world.resends,
               world.crashes, world.others_done, world.others_barred);
  cr_expect_eq (world.resends, RESENDS);
  cr_expect_eq (world.crashes, 2);
  cr_expect_eq (world.others_barred, 0);
  jl_site_close (&world.site);
}
