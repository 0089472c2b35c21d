#ifndef JACKDAWLADDER_QUEUE_H
#define JACKDAWLADDER_QUEUE_H

/**
 * DOC: The queue of admission: waiting work items in order of importance.
 *
 * Items are kept in one list for each priority and band of invested work, and
 * a bitmap of the lists that are not empty. No operation's cost grows with
 * the number of items.
 */

#include "core-impl.h"

/* Bands of work already invested in a request, by powers of four. */
#define JL_QUEUE_BAND_COUNT 8

struct jl_queue;

/**
 * jl_queue_new - an empty queue
 * @fifo: items are ordered by arrival only
 */
struct jl_queue *jl_queue_new (bool fifo);
void jl_queue_drop (struct jl_queue *queue);

void jl_queue_add (struct jl_queue *queue, struct jl_work *work);
void jl_queue_remove (struct jl_queue *queue, struct jl_work *work);

/**
 * jl_queue_first - the item to run next, NULL when there is none
 *
 * The most important; of these one with the most invested work; of these the
 * oldest.
 */
struct jl_work *jl_queue_first (struct jl_queue *queue);

/**
 * jl_queue_last - the item to give up first, NULL when there is none
 */
struct jl_work *jl_queue_last (struct jl_queue *queue);

/**
 * jl_queue_count_ahead - how many items of at least this importance wait
 */
uint32_t jl_queue_count_ahead (const struct jl_queue *queue, uint32_t priority);

uint32_t jl_queue_count (const struct jl_queue *queue);

#endif
