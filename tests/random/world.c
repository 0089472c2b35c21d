/**
 * DOC: The event queue of the simulation, and the steps of the reducers.
 */

#include "world.h"

#include <string.h>

#include <xxhash.h>

#include "../support/print.h"

/**
 * struct item - a scheduled function call in the event queue
 * @due_us: virtual time of the call
 * @order: order of items that are due at the same time
 * @node: the daemon that the call applies to, NULL for none
 * @generation: number of the daemon's start that the item belongs to, or
 *              ANY_GENERATION; it is dropped if another start is current
 * @random: random number stream of the item that scheduled this one
 */
struct item
{
  uint64_t due_us;
  uint64_t order;
  struct node *node;
  uint64_t generation;
  GRand *random;
  ITEM_FN (fire);
  void *argument;
};

void
begin_stream (struct world *world, uint64_t first, uint64_t second)
{
  uint64_t numbers[3] = { world->plan->seed, first, second };
  uint64_t hash = XXH3_64bits (numbers, sizeof numbers);

  world->random = g_rand_new_with_seed ((uint32_t)hash);
  g_ptr_array_add (world->streams, world->random);
}

uint32_t
random_below (struct world *world, uint32_t bound)
{
  return g_rand_int (world->random) % bound;
}

bool
random_chance (struct world *world, uint32_t permille)
{
  return random_below (world, 1000) < permille;
}

uint64_t
random_between (struct world *world, uint64_t from, uint64_t to)
{
  return from + g_rand_int (world->random) % (to - from + 1);
}

bool
is_up (const struct node *node, uint64_t generation)
{
  return node->core != NULL
         && (generation == ANY_GENERATION || node->generation == generation);
}

bool
is_partitioned (const struct world *world,
                const struct node *a,
                const struct node *b)
{
  return world->partitioned_until_us[a->zone][b->zone] > world->now_us;
}

static int
compare_items (gconstpointer a, gconstpointer b, gpointer data G_GNUC_UNUSED)
{
  const struct item *first = a;
  const struct item *second = b;

  if (first->due_us != second->due_us)
    return first->due_us < second->due_us ? -1 : 1;
  return first->order < second->order ? -1 : 1;
}

static void
insert_item (struct world *world,
             struct node *node,
             uint64_t generation,
             uint64_t delay_us,
             ITEM_FN (fire),
             void *argument)
{
  struct item *item = g_new0 (struct item, 1);

  item->due_us = world->now_us + delay_us;
  item->order = world->next_order++;
  item->node = node;
  item->generation = generation;
  item->random = world->random;
  item->fire = fire;
  item->argument = argument;
  g_sequence_insert_sorted (world->queue, item, compare_items, NULL);
}

void
schedule (struct world *world,
          uint64_t delay_us,
          ITEM_FN (fire),
          void *argument)
{
  insert_item (world, NULL, ANY_GENERATION, delay_us, fire, argument);
}

void
schedule_on_node (struct node *node,
                  uint64_t generation,
                  uint64_t delay_us,
                  ITEM_FN (fire),
                  void *argument)
{
  if (generation == ANY_GENERATION || is_up (node, generation))
    insert_item (node->world, node, generation, delay_us, fire, argument);
}

/**
 * struct queued_event - an event that is scheduled for a reducer
 * @message: storage for the message that the event refers to
 */
struct queued_event
{
  struct jl_event event;
  struct jl_message message;
};

static void
deliver (struct world *world G_GNUC_UNUSED, struct node *node, void *argument)
{
  struct queued_event *queued_event = argument;

  if (queued_event->event.type == JL_EVENT_MESSAGE)
    queued_event->event.message = &queued_event->message;
  step (node, &queued_event->event);
}

void
schedule_event (struct node *node,
                uint64_t generation,
                uint64_t delay_us,
                const struct jl_event *event)
{
  struct queued_event *queued_event;

  if (generation != ANY_GENERATION && !is_up (node, generation))
    return;
  queued_event = g_new0 (struct queued_event, 1);
  queued_event->event = *event;
  if (event->type == JL_EVENT_MESSAGE)
    queued_event->message = *event->message;
  schedule_on_node (node, generation, delay_us, deliver, queued_event);
}

static void
free_item (struct item *item)
{
  if (item->fire == deliver)
    g_free (item->argument);
  g_free (item);
}

static void
tick (struct world *world, struct node *node, void *argument G_GNUC_UNUSED)
{
  struct jl_event event = { .type = JL_EVENT_TICK };

  node->tick_us = 0;
  if (jl_core_next_timer (node->core) <= world->now_us + node->offset_us)
    step (node, &event);
}

/* Schedules a tick for the next timer of the reducer. */
static void
schedule_tick (struct node *node)
{
  uint64_t next_us = jl_core_next_timer (node->core);
  uint64_t now_us = node->world->now_us + node->offset_us;

  if (next_us == UINT64_MAX || (node->tick_us != 0 && node->tick_us <= next_us))
    return;
  node->tick_us = next_us;
  schedule_on_node (node, node->generation,
                    next_us > now_us ? next_us - now_us : 0, tick, NULL);
}

static void
record_line (struct world *world)
{
  world->digest = XXH3_64bits_withSeed (world->line->str, world->line->len,
                                        world->digest);
  if (world->trace)
    g_print ("%s\n", world->line->str);
}

static void
record_event (struct node *node, const struct jl_event *event)
{
  struct world *world = node->world;

  g_string_truncate (world->line, 0);
  jl_print_time (world->line, world->now_us);
  g_string_append_printf (world->line, "%u < ", node->index);
  jl_print_event (world->line, NULL, event);
  record_line (world);
}

static void
record_effect (struct node *node, const struct jl_effect *effect)
{
  struct world *world = node->world;

  g_string_truncate (world->line, 0);
  jl_print_time (world->line, world->now_us);
  g_string_append_printf (world->line, "%u > ", node->index);
  jl_print_effect (world->line, NULL, effect);
  record_line (world);
}

void
step (struct node *node, struct jl_event *event)
{
  struct world *world = node->world;
  struct jl_effects *effects = world->effects;
  uint64_t generation = node->generation;

  event->now_us = world->now_us + node->offset_us;
  world->steps++;
  record_event (node, event);
  jl_effects_clear (effects);
  jl_core_step (node->core, event, effects);
  for (size_t i = 0; i < jl_effects_count (effects); i++)
    {
      record_effect (node, jl_effects_get (effects, i));
      if (is_up (node, generation))
        execute_effect (node, jl_effects_get (effects, i));
    }
  if (!is_up (node, generation))
    return;
  observe_step (node);
  schedule_tick (node);
}

/* Processes in random order the items that became due during a freeze. */
static void
replay_backlog (struct world *world, struct node *node)
{
  GPtrArray *backlog = node->backlog;

  node->frozen_until_us = 0;
  node->backlog = g_ptr_array_new ();
  while (backlog->len > 0)
    {
      struct item *item = g_ptr_array_remove_index (
          backlog, random_below (world, backlog->len));

      world->random = item->random;
      if (is_up (node, item->generation) && world->failure == NULL)
        item->fire (world, node, item->argument);
      free_item (item);
    }
  g_ptr_array_free (backlog, TRUE);
}

static void
fire_item (struct world *world, struct item *item)
{
  struct node *node = item->node;

  world->random = item->random;
  if (node == NULL)
    item->fire (world, NULL, item->argument);
  else if (is_up (node, item->generation))
    {
      if (node->frozen_until_us > world->now_us)
        {
          g_ptr_array_add (node->backlog, item);
          return;
        }
      if (node->backlog->len > 0)
        replay_backlog (world, node);
      world->random = item->random;
      if (is_up (node, item->generation))
        item->fire (world, node, item->argument);
    }
  free_item (item);
}

void
world_run (struct world *world)
{
  uint64_t end_us = plan_end (world->plan) + QUIET_PERIOD_US;

  while (world->failure == NULL)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (world->queue);
      struct item *item;

      if (g_sequence_iter_is_end (first))
        break;
      item = g_sequence_get (first);
      if (item->due_us > end_us)
        break;
      g_sequence_remove (first);
      world->now_us = item->due_us;
      fire_item (world, item);
    }
  if (world->failure == NULL)
    observe_end (world);
}

static void
fire_input (struct world *world,
            struct node *node G_GNUC_UNUSED,
            void *argument)
{
  const struct input *input = argument;

  begin_stream (world, input->at_us, input->type);
  begin_input (world, input);
}

static void
init_node (struct world *world, uint32_t index)
{
  struct node *node = &world->nodes[index];

  node->world = world;
  node->index = index;
  node->zone = index % world->plan->zone_count;
  node->backlog = g_ptr_array_new ();
  node->target_up = true;
  node->target_generation = 1;
  start_node (node);
}

static void
drop_config (gpointer config)
{
  jl_config_drop (config);
}

struct world *
world_new (const struct plan *plan, bool trace)
{
  struct world *world = g_new0 (struct world, 1);

  world->plan = plan;
  world->trace = trace;
  world->streams = g_ptr_array_new_with_free_func ((GDestroyNotify)g_rand_free);
  begin_stream (world, 0, 0);
  world->now_us = 1;
  world->queue = g_sequence_new (NULL);
  world->claims
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  world->requests
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  world->configs = g_ptr_array_new_with_free_func (drop_config);
  world->tickets = g_array_new (FALSE, FALSE, sizeof (struct jl_ticket));
  world->owned = g_ptr_array_new_with_free_func (g_free);
  world->runs = g_ptr_array_new_with_free_func (g_free);
  world->exchanges = g_ptr_array_new_with_free_func (g_free);
  world->callers = g_ptr_array_new_with_free_func (g_free);
  world->effects = jl_effects_new ();
  world->line = g_string_new ("");
  g_ptr_array_add (world->configs, make_config (plan, 1));
  for (uint32_t i = 0; i < plan->node_count; i++)
    init_node (world, i);
  for (uint32_t i = 0; i < plan->inputs->len; i++)
    {
      struct input *input = &g_array_index (plan->inputs, struct input, i);

      schedule (world, input->at_us, fire_input, input);
    }
  return world;
}

static void
free_queue_item (gpointer item, gpointer data G_GNUC_UNUSED)
{
  free_item (item);
}

void
world_drop (struct world *world)
{
  for (uint32_t i = 0; i < world->plan->node_count; i++)
    {
      struct node *node = &world->nodes[i];

      if (node->core != NULL)
        exit_node (node);
      for (uint32_t j = 0; j < node->backlog->len; j++)
        free_item (g_ptr_array_index (node->backlog, j));
      g_ptr_array_free (node->backlog, TRUE);
    }
  g_sequence_foreach (world->queue, free_queue_item, NULL);
  g_sequence_free (world->queue);
  g_hash_table_destroy (world->claims);
  g_hash_table_destroy (world->requests);
  g_ptr_array_free (world->configs, TRUE);
  g_array_free (world->tickets, TRUE);
  g_ptr_array_free (world->owned, TRUE);
  g_ptr_array_free (world->runs, TRUE);
  g_ptr_array_free (world->exchanges, TRUE);
  g_ptr_array_free (world->callers, TRUE);
  jl_effects_drop (world->effects);
  g_string_free (world->line, TRUE);
  g_ptr_array_free (world->streams, TRUE);
  g_free (world->failure);
  g_free (world);
}
