/**
 * DOC: The queue of what is on its way, and the steps of the reducers.
 */

#include "world.h"

#include <string.h>

#include <xxhash.h>

#include "../support/print.h"

/**
 * struct item - something on its way
 * @node: where it happens, NULL for the world
 * @life: it is lost when the daemon has another life by then
 * @random: stream of what caused it
 */
struct item
{
  uint64_t due_us;
  uint64_t order;
  struct node *node;
  uint64_t life;
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
pick (struct world *world, uint32_t bound)
{
  return g_rand_int (world->random) % bound;
}

bool
chance (struct world *world, uint32_t permille)
{
  return pick (world, 1000) < permille;
}

uint64_t
between (struct world *world, uint64_t from, uint64_t to)
{
  return from + g_rand_int (world->random) % (to - from + 1);
}

bool
is_up (const struct node *node, uint64_t life)
{
  return node->core != NULL && (life == ANY_LIFE || node->life == life);
}

bool
is_cut (const struct world *world, const struct node *a, const struct node *b)
{
  return world->cut_until_us[a->zone][b->zone] > world->now_us;
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
             uint64_t life,
             uint64_t delay_us,
             ITEM_FN (fire),
             void *argument)
{
  struct item *item = g_new0 (struct item, 1);

  item->due_us = world->now_us + delay_us;
  item->order = world->next_order++;
  item->node = node;
  item->life = life;
  item->random = world->random;
  item->fire = fire;
  item->argument = argument;
  g_sequence_insert_sorted (world->queue, item, compare_items, NULL);
}

void
post (struct world *world, uint64_t delay_us, ITEM_FN (fire), void *argument)
{
  insert_item (world, NULL, ANY_LIFE, delay_us, fire, argument);
}

void
post_to (struct node *node,
         uint64_t life,
         uint64_t delay_us,
         ITEM_FN (fire),
         void *argument)
{
  if (life == ANY_LIFE || is_up (node, life))
    insert_item (node->world, node, life, delay_us, fire, argument);
}

/**
 * struct letter - an event on its way
 */
struct letter
{
  struct jl_event event;
  struct jl_message message;
};

static void
deliver (struct world *world G_GNUC_UNUSED, struct node *node, void *argument)
{
  struct letter *letter = argument;

  if (letter->event.type == JL_EVENT_MESSAGE)
    letter->event.message = &letter->message;
  step (node, &letter->event);
}

void
post_event (struct node *node,
            uint64_t life,
            uint64_t delay_us,
            const struct jl_event *event)
{
  struct letter *letter;

  if (life != ANY_LIFE && !is_up (node, life))
    return;
  letter = g_new0 (struct letter, 1);
  letter->event = *event;
  if (event->type == JL_EVENT_MESSAGE)
    letter->message = *event->message;
  post_to (node, life, delay_us, deliver, letter);
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

/* Sees to it that a tick comes when the next timer is due. */
static void
plan_tick (struct node *node)
{
  uint64_t next_us = jl_core_next_timer (node->core);
  uint64_t now_us = node->world->now_us + node->offset_us;

  if (next_us == UINT64_MAX || (node->tick_us != 0 && node->tick_us <= next_us))
    return;
  node->tick_us = next_us;
  post_to (node, node->life, next_us > now_us ? next_us - now_us : 0, tick,
           NULL);
}

static void
note_line (struct world *world)
{
  world->digest = XXH3_64bits_withSeed (world->line->str, world->line->len,
                                        world->digest);
  if (world->trace)
    g_print ("%s\n", world->line->str);
}

static void
note_event (struct node *node, const struct jl_event *event)
{
  struct world *world = node->world;

  g_string_truncate (world->line, 0);
  jl_print_time (world->line, world->now_us);
  g_string_append_printf (world->line, "%u < ", node->index);
  jl_print_event (world->line, NULL, event);
  note_line (world);
}

static void
note_effect (struct node *node, const struct jl_effect *effect)
{
  struct world *world = node->world;

  g_string_truncate (world->line, 0);
  jl_print_time (world->line, world->now_us);
  g_string_append_printf (world->line, "%u > ", node->index);
  jl_print_effect (world->line, NULL, effect);
  note_line (world);
}

void
step (struct node *node, struct jl_event *event)
{
  struct world *world = node->world;
  struct jl_effects *effects = world->effects;
  uint64_t life = node->life;

  event->now_us = world->now_us + node->offset_us;
  world->steps++;
  note_event (node, event);
  jl_effects_clear (effects);
  jl_core_step (node->core, event, effects);
  for (size_t i = 0; i < jl_effects_count (effects); i++)
    {
      note_effect (node, jl_effects_get (effects, i));
      if (is_up (node, life))
        carry_out (node, jl_effects_get (effects, i));
    }
  if (!is_up (node, life))
    return;
  observe_step (node);
  plan_tick (node);
}

/* Handles in any order what came in while the daemon was frozen. */
static void
thaw (struct world *world, struct node *node)
{
  GPtrArray *backlog = node->backlog;

  node->frozen_until_us = 0;
  node->backlog = g_ptr_array_new ();
  while (backlog->len > 0)
    {
      struct item *item
          = g_ptr_array_remove_index (backlog, pick (world, backlog->len));

      world->random = item->random;
      if (is_up (node, item->life) && world->failure == NULL)
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
  else if (is_up (node, item->life))
    {
      if (node->frozen_until_us > world->now_us)
        {
          g_ptr_array_add (node->backlog, item);
          return;
        }
      if (node->backlog->len > 0)
        thaw (world, node);
      world->random = item->random;
      if (is_up (node, item->life))
        item->fire (world, node, item->argument);
    }
  free_item (item);
}

void
world_run (struct world *world)
{
  uint64_t end_us = plan_end (world->plan) + QUIET_US;

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
  node->target_life = 1;
  start_node (node);
}

static void
drop_config (gpointer config)
{
  jl_config_unref (config);
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

      post (world, input->at_us, fire_input, input);
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
