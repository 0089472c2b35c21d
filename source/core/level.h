#ifndef JACKDAWLADDER_LEVEL_H
#define JACKDAWLADDER_LEVEL_H

/**
 * DOC: The admission level: the smallest priority value that is refused.
 *
 * A smaller value is more important. Arrivals are counted by priority in short
 * control windows. After an overloaded window the level is lowered until the
 * arrivals below it fit the measured capacity. After a window without overload
 * or backlog it is raised in growing steps, as far as the capacity also covers
 * the average arrivals of the added priorities.
 */

#include "core-impl.h"

/* Length of a control window. */
#define JL_LEVEL_WINDOW_US (50 * JL_USEC_PER_MSEC)

struct jl_level;

struct jl_level *jl_level_new (void);
void jl_level_drop (struct jl_level *level);

/**
 * jl_level_get - returns the smallest priority value that is refused
 *
 * Return: the level; JL_PRIORITY_COUNT when no priority is refused.
 */
uint32_t jl_level_get (const struct jl_level *level);

/**
 * jl_level_count_arrival - counts an arrival, whether it is then refused or not
 */
void jl_level_count_arrival (struct jl_level *level, uint32_t priority);

/**
 * jl_level_count_refusal - counts an overload refusal
 *
 * Lowers the level, so that no less important item is admitted before the
 * window ends.
 */
void jl_level_count_refusal (struct jl_level *level, uint32_t priority);

/**
 * jl_level_lowest_refused - returns the most important priority, which is the
 * smallest value, that was refused in this window
 *
 * Return: the priority; JL_PRIORITY_COUNT if there was no refusal.
 */
uint32_t jl_level_lowest_refused (const struct jl_level *level);

/**
 * jl_level_refused_permille - returns the moving average of the share of
 * arrivals that were refused
 */
uint32_t jl_level_refused_permille (const struct jl_level *level);

/**
 * struct jl_level_window - measurements of a control window
 * @capacity_milli: items that the target can complete in one window, in
 *                  thousandths of an item; 0 while this is not known
 * @overloaded: whether items waited too long or were refused from the queue
 * @backlogged: whether a backlog remains, so that the level must not be raised
 */
struct jl_level_window
{
  uint64_t capacity_milli;
  bool overloaded;
  bool backlogged;
};

/**
 * jl_level_end_window - sets the level for the next window from the arrivals
 * and refusals of this one
 */
void jl_level_end_window (struct jl_level *level,
                          const struct jl_level_window *window);

/**
 * jl_level_idle - whether no priority is refused and the averages of arrivals
 * and refusals have decayed to zero
 */
bool jl_level_idle (const struct jl_level *level);

#endif
