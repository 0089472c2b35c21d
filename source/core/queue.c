/**
 * DOC: The admission queue: lists by priority, indexed by a two-level bitmap.
 */

#include "queue.h"

/*
 * Number of lists, of bitmap words, and of words in the summary of the bitmap.
 */
#define LIST_COUNT ((size_t)JL_PRIORITY_COUNT * JL_QUEUE_BAND_COUNT)
#define WORD_BITS 64
#define WORD_COUNT (LIST_COUNT / WORD_BITS)
#define SUMMARY_COUNT (WORD_COUNT / WORD_BITS)
/* Requests with less invested work than this are in the last band. */
#define BAND_BASE_US 250

/**
 * struct jl_queue - lists of waiting items, indexed by a two-level bitmap
 * @fifo: all items are in the first list, in order of arrival
 * @summary: one bit per word of @words, set if the word is not zero
 * @words: one bit per list, set if the list is not empty
 * @priority_counts: Fenwick tree of the number of items of each priority
 */
struct jl_queue
{
  bool fifo;
  uint32_t count;
  uint64_t summary[SUMMARY_COUNT];
  uint64_t words[WORD_COUNT];
  uint32_t priority_counts[JL_PRIORITY_COUNT + 1];
  struct cds_list_head lists[LIST_COUNT];
};

struct jl_queue *
jl_queue_new (bool fifo)
{
  struct jl_queue *queue = g_new0 (struct jl_queue, 1);

  queue->fifo = fifo;
  for (size_t i = 0; i < LIST_COUNT; i++)
    CDS_INIT_LIST_HEAD (&queue->lists[i]);
  return queue;
}

void
jl_queue_drop (struct jl_queue *queue)
{
  g_free (queue);
}

/* Returns the band: the more work is invested, the lower its index. */
static uint32_t
band_index (uint64_t invested_us)
{
  uint64_t bound_us = BAND_BASE_US;
  uint32_t band = JL_QUEUE_BAND_COUNT - 1;

  for (; band > 0 && invested_us >= bound_us; band--)
    bound_us *= 4;
  return band;
}

static size_t
list_index (const struct jl_queue *queue, const struct jl_work *work)
{
  if (queue->fifo)
    return 0;
  return (size_t)work->priority * JL_QUEUE_BAND_COUNT
         + band_index (work->invested_us);
}

static void
update_priority_counts (struct jl_queue *queue,
                        uint32_t priority,
                        uint32_t amount)
{
  for (uint32_t i = priority + 1; i <= JL_PRIORITY_COUNT; i += i & -i)
    queue->priority_counts[i] += amount;
}

void
jl_queue_add (struct jl_queue *queue, struct jl_work *work)
{
  size_t list = list_index (queue, work);
  size_t word = list / WORD_BITS;

  cds_list_add_tail (&work->queue, &queue->lists[list]);
  queue->words[word] |= UINT64_C (1) << list % WORD_BITS;
  queue->summary[word / WORD_BITS] |= UINT64_C (1) << word % WORD_BITS;
  queue->count++;
  update_priority_counts (queue, queue->fifo ? 0 : work->priority, 1);
}

void
jl_queue_remove (struct jl_queue *queue, struct jl_work *work)
{
  size_t list = list_index (queue, work);
  size_t word = list / WORD_BITS;

  cds_list_del_init (&work->queue);
  queue->count--;
  update_priority_counts (queue, queue->fifo ? 0 : work->priority, UINT32_MAX);
  if (!cds_list_empty (&queue->lists[list]))
    return;
  queue->words[word] &= ~(UINT64_C (1) << list % WORD_BITS);
  if (queue->words[word] == 0)
    queue->summary[word / WORD_BITS] &= ~(UINT64_C (1) << word % WORD_BITS);
}

static size_t
lowest_bit (uint64_t word)
{
  return (size_t)__builtin_ctzll (word);
}

static size_t
highest_bit (uint64_t word)
{
  return WORD_BITS - 1 - (size_t)__builtin_clzll (word);
}

struct jl_work *
jl_queue_first (struct jl_queue *queue)
{
  for (size_t i = 0; i < SUMMARY_COUNT; i++)
    {
      size_t word;
      size_t list;

      if (queue->summary[i] == 0)
        continue;
      word = i * WORD_BITS + lowest_bit (queue->summary[i]);
      list = word * WORD_BITS + lowest_bit (queue->words[word]);
      return cds_list_first_entry (&queue->lists[list], struct jl_work, queue);
    }
  return NULL;
}

struct jl_work *
jl_queue_last (struct jl_queue *queue)
{
  for (size_t i = SUMMARY_COUNT; i-- > 0;)
    {
      size_t word;
      size_t list;

      if (queue->summary[i] == 0)
        continue;
      word = i * WORD_BITS + highest_bit (queue->summary[i]);
      list = word * WORD_BITS + highest_bit (queue->words[word]);
      return cds_list_entry (queue->lists[list].prev, struct jl_work, queue);
    }
  return NULL;
}

uint32_t
jl_queue_count_ahead (const struct jl_queue *queue, uint32_t priority)
{
  uint32_t ahead = 0;

  if (queue->fifo)
    return queue->count;
  for (uint32_t i = priority + 1; i > 0; i -= i & -i)
    ahead += queue->priority_counts[i];
  return ahead;
}

uint32_t
jl_queue_count (const struct jl_queue *queue)
{
  return queue->count;
}
