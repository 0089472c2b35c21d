#ifndef JACKDAWLADDER_QUEUE_H
#define JACKDAWLADDER_QUEUE_H

/**
 * DOC: The admission queue: waiting work items ordered by importance.
 *
 * There is one list for each pair of a priority and a band of invested work,
 * and a bitmap of the lists that are not empty. The cost of every operation is
 * independent of the number of items.
 */

#include "core-impl.h"

/*
 * Number of bands of invested work, which is the time already spent on a
 * request. Each bound between two bands is four times the next lower bound.
 */
#define JL_QUEUE_BAND_COUNT 8

struct jl_queue;

/**
 * jl_queue_new - creates an empty queue
 * @fifo: whether to order items by arrival only
 */
struct jl_queue *jl_queue_new (bool fifo);
void jl_queue_drop (struct jl_queue *queue);

void jl_queue_add (struct jl_queue *queue, struct jl_work *work);
void jl_queue_remove (struct jl_queue *queue, struct jl_work *work);

/**
 * jl_queue_first - returns the item to run next
 *
 * Items are ordered by priority, then by band of invested work with the most
 * work first, then by arrival.
 *
 * Return: the first item, or NULL when the queue is empty.
 */
struct jl_work *jl_queue_first (struct jl_queue *queue);

/**
 * jl_queue_last - returns the item to refuse first under overload
 *
 * Return: the last item, or NULL when the queue is empty.
 */
struct jl_work *jl_queue_last (struct jl_queue *queue);

/**
 * jl_queue_count_ahead - returns the number of waiting items that are at least
 * as important as @priority; all items in a FIFO queue
 */
uint32_t jl_queue_count_ahead (const struct jl_queue *queue, uint32_t priority);

/**
 * jl_queue_count - returns the number of waiting items
 */
uint32_t jl_queue_count (const struct jl_queue *queue);

#endif
