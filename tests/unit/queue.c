/**
 * DOC: Tests of the admission queue against a reference model: an array that is
 * searched linearly.
 */

#include <criterion/criterion.h>

#include "core/queue.h"

#define ITEM_MAX 400
#define STEP_COUNT 20000

/**
 * struct model - the queue under test and the reference model
 * @items: waiting items in order of arrival
 * @works: storage of all items, waiting or not
 */
struct model
{
  struct jl_queue *queue;
  GPtrArray *items;
  struct jl_work works[ITEM_MAX];
};

/* Whether @a, which arrived before @b, is also ahead of it in the queue. */
static bool
precedes (const struct jl_work *a, const struct jl_work *b)
{
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return a->invested_us >= b->invested_us;
}

static struct jl_work *
find_first (const struct model *model)
{
  struct jl_work *first = NULL;

  for (uint32_t i = 0; i < model->items->len; i++)
    {
      struct jl_work *work = g_ptr_array_index (model->items, i);

      if (first == NULL || !precedes (first, work))
        first = work;
    }
  return first;
}

static struct jl_work *
find_last (const struct model *model)
{
  struct jl_work *last = NULL;

  for (uint32_t i = 0; i < model->items->len; i++)
    {
      struct jl_work *work = g_ptr_array_index (model->items, i);

      if (last == NULL || precedes (last, work))
        last = work;
    }
  return last;
}

/* Returns the number of items that are at least as important as @priority. */
static uint32_t
count_at_least (const struct model *model, uint32_t priority)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < model->items->len; i++)
    {
      const struct jl_work *work = g_ptr_array_index (model->items, i);

      count += work->priority <= priority;
    }
  return count;
}

static void
add_random_item (struct model *model, GRand *random)
{
  static const uint64_t invested_us[] = { 0, 500, 70000 };
  struct jl_work *work = &model->works[g_rand_int_range (random, 0, ITEM_MAX)];

  if (g_ptr_array_find (model->items, work, NULL))
    return;
  work->priority = (uint32_t)g_rand_int_range (random, 0, 40) * 25;
  work->invested_us = invested_us[g_rand_int_range (random, 0, 3)];
  g_ptr_array_add (model->items, work);
  jl_queue_add (model->queue, work);
}

static void
remove_item (struct model *model, struct jl_work *work)
{
  if (work == NULL)
    return;
  g_ptr_array_remove (model->items, work);
  jl_queue_remove (model->queue, work);
}

static void
apply_random_change (struct model *model, GRand *random)
{
  switch (g_rand_int_range (random, 0, 6))
    {
    case 0:
      remove_item (model, find_first (model));
      break;
    case 1:
      remove_item (model, find_last (model));
      break;
    case 2:
      if (model->items->len > 0)
        remove_item (model, g_ptr_array_index (model->items, 0));
      break;
    default:
      add_random_item (model, random);
      break;
    }
}

Test (queue, keeps_the_order_of_a_plain_array)
{
  struct model model
      = { .queue = jl_queue_new (false), .items = g_ptr_array_new () };
  GRand *random = g_rand_new_with_seed (1);

  for (int i = 0; i < STEP_COUNT; i++)
    {
      uint32_t priority = (uint32_t)g_rand_int_range (random, 0, 1024);

      apply_random_change (&model, random);
      cr_assert_eq (jl_queue_first (model.queue), find_first (&model));
      cr_assert_eq (jl_queue_last (model.queue), find_last (&model));
      cr_assert_eq (jl_queue_count (model.queue), model.items->len);
      cr_assert_eq (jl_queue_count_ahead (model.queue, priority),
                    count_at_least (&model, priority));
    }
  g_rand_free (random);
  g_ptr_array_free (model.items, TRUE);
  jl_queue_drop (model.queue);
}

/* A FIFO queue must ignore priority and invested work. */
Test (queue, keeps_arrivals_in_order_without_importance)
{
  struct jl_queue *queue = jl_queue_new (true);
  struct jl_work first = { .priority = 300 };
  struct jl_work second = { .priority = 1, .invested_us = 5000 };

  jl_queue_add (queue, &first);
  jl_queue_add (queue, &second);
  cr_expect_eq (jl_queue_first (queue), &first);
  cr_expect_eq (jl_queue_last (queue), &second);
  jl_queue_remove (queue, &first);
  cr_expect_eq (jl_queue_first (queue), &second);
  jl_queue_drop (queue);
}
