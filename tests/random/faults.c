/**
 * DOC: Starts and stops daemons, and injects faults into daemons, targets, the
 * network and the platform.
 */

#include <stdio.h>

#include "../support/print.h"
#include "core/core-impl.h"
#include "world.h"

#define POLL_INTERVAL_US (2 * JL_USEC_PER_SEC)
#define ANNOUNCE_INTERVAL_US (1 * JL_USEC_PER_SEC)
#define SLOTS 6
/* Time after a fault during which daemons may act on an outdated view. */
#define STALE_VIEW_US (6 * JL_USEC_PER_SEC)

/* Records when a target stops accepting work, and when it accepts it again. */
static void
update_availability (struct node *node)
{
  bool gone = node->core == NULL || node->core->draining || !node->target_up
              || node->target_leaving;

  if (!gone)
    node->unavailable_since_us = 0;
  else if (node->unavailable_since_us == 0)
    node->unavailable_since_us = node->world->now_us;
}

static void
seed_node (struct node *node, uint32_t other)
{
  struct jl_event event = { .type = JL_EVENT_SEED };

  event.seed.control = jl_member_endpoint (jl_print_member (other + 1));
  schedule_event (node, node->generation,
                  random_between (node->world, 1, 100000), &event);
}

/* Polls the platform; some reads return an old configuration version. */
static void
poll_platform (struct world *world,
               struct node *node,
               void *argument G_GNUC_UNUSED)
{
  struct jl_event event = { .type = JL_EVENT_CONFIG };
  uint32_t newest = world->configs->len - 1;

  schedule_on_node (node, node->generation, POLL_INTERVAL_US, poll_platform,
                    NULL);
  if (world->outage_until_us > world->now_us)
    return;
  if (random_chance (world, 150))
    newest = random_below (world, newest + 1);
  event.config = g_ptr_array_index (world->configs, newest);
  step (node, &event);
  if (node->core != NULL)
    seed_node (node, random_below (world, world->plan->node_count));
}

static void
announce (struct world *world G_GNUC_UNUSED,
          struct node *node,
          void *argument G_GNUC_UNUSED)
{
  struct jl_event event = { .type = JL_EVENT_ANNOUNCE };

  schedule_on_node (node, node->generation, ANNOUNCE_INTERVAL_US, announce,
                    NULL);
  if (!node->target_up || node->target_leaving)
    return;
  snprintf (event.announce.service, JL_NAME_SIZE, "s%u",
            node->index % world->plan->service_count);
  event.announce.slots = SLOTS;
  event.announce.connections = 64;
  event.announce.started = node->target_generation;
  step (node, &event);
}

void
start_node (struct node *node)
{
  struct world *world = node->world;
  uint64_t member = jl_print_member (node->index + 1);
  struct jl_core_options options = { .mode = JL_CORE_FULL };

  begin_stream (world, node->index, world->now_us);
  options.identity.member = member;
  options.identity.epoch = 1000000 + world->now_us;
  options.peer = jl_member_endpoint (member);
  options.peer.port = JL_PRINT_PEER_PORT;
  snprintf (options.zone, sizeof options.zone, "z%u", node->zone);
  options.seed = g_rand_int (world->random);
  options.switched_off = world->plan->switched_off;
  node->offset_us = random_between (world, 0, 1000 * JL_USEC_PER_SEC);
  options.now_us = world->now_us + node->offset_us;
  node->core = jl_core_new (&options);
  node->generation++;
  node->tick_us = 0;
  node->frozen_until_us = 0;
  node->stale_until_us = world->now_us + STALE_VIEW_US;
  node->config_version = 0;
  node->next_number = 0;
  node->calls
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  node->works
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  node->stored = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (uint32_t i = 0; i < 3; i++)
    seed_node (node, random_below (world, world->plan->node_count));
  schedule_on_node (node, node->generation, random_between (world, 1, 300000),
                    poll_platform, NULL);
  schedule_on_node (node, node->generation,
                    random_between (world, 1, ANNOUNCE_INTERVAL_US), announce,
                    NULL);
  update_availability (node);
}

void
exit_node (struct node *node)
{
  jl_core_drop (node->core);
  node->core = NULL;
  g_hash_table_destroy (node->calls);
  g_hash_table_destroy (node->works);
  g_hash_table_destroy (node->stored);
  node->calls = NULL;
  node->works = NULL;
  node->stored = NULL;
  update_availability (node);
}

void
stop_node (struct node *node)
{
  break_exchanges (node);
  exit_node (node);
}

void
fetch_config (struct node *node, struct jl_endpoint peer)
{
  struct jl_event event = { .type = JL_EVENT_CONFIG };
  struct node *other = node_at (node->world, peer);

  if (other == NULL || other->core == NULL
      || is_partitioned (node->world, node, other)
      || other->frozen_until_us > node->world->now_us
      || other->core->config == NULL)
    return;
  event.config = g_ptr_array_index (node->world->configs,
                                    (uint32_t)other->core->config->version - 1);
  schedule_event (node, node->generation,
                  random_between (node->world, 500, 5000), &event);
}

static void
restart_node (struct world *world G_GNUC_UNUSED,
              struct node *unused G_GNUC_UNUSED,
              void *argument)
{
  struct node *node = argument;

  if (node->core == NULL)
    start_node (node);
}

static void
restore_target (struct world *world G_GNUC_UNUSED,
                struct node *unused G_GNUC_UNUSED,
                void *argument)
{
  struct node *node = argument;

  if (!node->target_up)
    node->target_generation++;
  node->target_up = true;
  node->target_leaving = false;
  update_availability (node);
}

/*
 * Item without an effect of its own: the first item after a freeze makes the
 * event queue replay the backlog.
 */
static void
trigger_backlog (struct world *world G_GNUC_UNUSED,
                 struct node *node G_GNUC_UNUSED,
                 void *argument G_GNUC_UNUSED)
{
}

static void
freeze (struct node *node, uint64_t duration_us)
{
  node->frozen_until_us = node->world->now_us + duration_us;
  node->stale_until_us = node->frozen_until_us + STALE_VIEW_US;
  schedule_on_node (node, node->generation, duration_us + 1, trigger_backlog,
                    NULL);
}

static void
partition_zones (struct world *world,
                 uint32_t a,
                 uint32_t b,
                 uint64_t duration_us)
{
  uint64_t until_us = world->now_us + duration_us;

  if (a == b)
    return;
  world->partitioned_until_us[a][b] = until_us;
  world->partitioned_until_us[b][a] = until_us;
  world->stable_from_us = MAX (world->stable_from_us, until_us + STALE_VIEW_US);
}

static void
drain (struct node *node, uint64_t duration_us)
{
  struct jl_event event = { .type = JL_EVENT_DRAIN };

  if (node->unavailable_since_us == 0)
    node->unavailable_since_us = node->world->now_us;
  schedule_event (node, node->generation, 0, &event);
  schedule (node->world, duration_us + 5 * JL_USEC_PER_SEC, restart_node, node);
}

static void
leave (struct node *node)
{
  struct jl_event event = { .type = JL_EVENT_TARGET_LEAVE };

  node->target_leaving = true;
  update_availability (node);
  schedule_event (node, node->generation, 1000, &event);
}

/*
 * Adds the next configuration version. If two operators change the same
 * version at once, one of them wins, which also adds one version.
 */
static void
apply (struct world *world)
{
  if (world->outage_until_us > world->now_us)
    return;
  g_ptr_array_add (world->configs,
                   make_config (world->plan, world->configs->len + 1));
}

static void
begin_node_fault (struct node *node, const struct input *input)
{
  struct world *world = node->world;

  if (node->core == NULL)
    return;
  switch (input->type)
    {
    case INPUT_FREEZE:
      freeze (node, input->duration_us);
      return;
    case INPUT_CRASH:
      stop_node (node);
      schedule (world, input->duration_us, restart_node, node);
      return;
    case INPUT_TARGET_SLOW:
      node->target_slow_until_us = world->now_us + input->duration_us;
      return;
    case INPUT_TARGET_CRASH:
      crash_target (node);
      update_availability (node);
      schedule (world, input->duration_us, restore_target, node);
      return;
    case INPUT_TARGET_LEAVE:
      leave (node);
      schedule (world, input->duration_us, restore_target, node);
      return;
    case INPUT_DRAIN:
      drain (node, input->duration_us);
      return;
    default:
      return;
    }
}

void
begin_input (struct world *world, const struct input *input)
{
  switch (input->type)
    {
    case INPUT_REQUEST:
      begin_request (world, input);
      return;
    case INPUT_PARTITION:
      partition_zones (world, input->node, input->argument, input->duration_us);
      return;
    case INPUT_OUTAGE:
      world->outage_until_us = world->now_us + input->duration_us;
      return;
    case INPUT_LOSS:
      world->loss_until_us = world->now_us + input->duration_us;
      world->stable_from_us
          = MAX (world->stable_from_us, world->loss_until_us + STALE_VIEW_US);
      return;
    case INPUT_APPLY:
      apply (world);
      return;
    default:
      begin_node_fault (&world->nodes[input->node], input);
      return;
    }
}
