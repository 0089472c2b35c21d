#ifndef JACKDAWLADDER_LEVEL_H
#define JACKDAWLADDER_LEVEL_H

/**
 * DOC: The admission level: the lowest priority that is refused.
 *
 * Arrivals are counted by priority in short windows. When a window was
 * overloaded, the level goes down to where the arrivals below it fit the
 * measured capacity. When it was not, the level comes up in growing steps, as
 * far as the arrivals last seen above it fit.
 */

#include "core-impl.h"

#define JL_LEVEL_WINDOW_US (50 * JL_USEC_PER_MSEC)

struct jl_level;

struct jl_level *jl_level_new (void);
void jl_level_drop (struct jl_level *level);

/**
 * jl_level_get - lowest priority refused; JL_PRIORITY_COUNT refuses none
 */
uint32_t jl_level_get (const struct jl_level *level);

/**
 * jl_level_count_arrival - an item of @priority has arrived, refused or not
 */
void jl_level_count_arrival (struct jl_level *level, uint32_t priority);

/**
 * jl_level_count_refusal - an item of @priority was refused for overload
 *
 * Nothing less important is let in before the window ends.
 */
void jl_level_count_refusal (struct jl_level *level, uint32_t priority);

/**
 * jl_level_lowest_refused - most important priority refused in this window,
 * JL_PRIORITY_COUNT for none
 */
uint32_t jl_level_lowest_refused (const struct jl_level *level);

/**
 * jl_level_refused_permille - share of the arrivals refused in recent windows
 */
uint32_t jl_level_refused_permille (const struct jl_level *level);

/**
 * struct jl_level_window - what a window was like
 * @capacity_milli: items that can run in one window, in thousandths; 0 while
 *                  that is not known
 * @overloaded: items waited too long, or were refused from the queue
 * @waiting: items wait at its end
 */
struct jl_level_window
{
  uint64_t capacity_milli;
  bool overloaded;
  bool waiting;
};

/**
 * jl_level_end_window - sets the level for the next window
 */
void jl_level_end_window (struct jl_level *level,
                          const struct jl_level_window *window);

/**
 * jl_level_idle - whether nothing is refused and nothing has arrived lately
 */
bool jl_level_idle (const struct jl_level *level);

#endif
