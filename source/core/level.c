/**
 * DOC: The admission level, computed from the demand of each priority.
 */

#include "level.h"

/* Fixed-point representation of one item in the averages of arrivals. */
#define FIXED_POINT_ONE (1 << 16)
#define ITEM_MILLI 1000
/* Weight of the newest window below the level: 1/4. */
#define ADMITTED_WEIGHT_SHIFT 2
/*
 * Weight of the newest window above the level: 1/64. The average decays more
 * slowly there, since refused callers back off and send no requests for a
 * while.
 */
#define REFUSED_WEIGHT_SHIFT 6
/* Share of the capacity that is admitted after an overloaded window. */
#define OVERLOADED_CAPACITY_PERCENT 98
/*
 * After this many consecutive overloaded windows, the level admits at most the
 * given share of the demand that was admitted before.
 */
#define PERSISTENT_OVERLOAD_WINDOWS 3
#define PERSISTENT_OVERLOAD_DEMAND_PERCENT 95
/*
 * First increase of the level, in priorities. Each further one is twice as
 * large.
 */
#define STEP_MIN 8
#define STEP_MAX (JL_PRIORITY_COUNT / 2)

/**
 * struct jl_level - the level and the measurements behind it
 * @value: the level, the smallest priority value that is refused
 * @lowest_refused: most important priority that was refused in this window
 * @step: maximum increase of the level after the next window without overload
 * @overloaded_windows: number of consecutive overloaded windows
 * @arrivals: number of arrivals in this window
 * @refusals: number of refusals in this window
 * @refused_permille: moving average of the share of arrivals that were refused
 * @arrived: arrivals in this window by priority
 * @demand: moving average of the arrivals per window by priority, in fixed
 *          point
 */
struct jl_level
{
  uint32_t value;
  uint32_t lowest_refused;
  uint32_t step;
  uint32_t overloaded_windows;
  uint32_t arrivals;
  uint32_t refusals;
  uint32_t refused_permille;
  uint32_t arrived[JL_PRIORITY_COUNT];
  uint32_t demand[JL_PRIORITY_COUNT];
};

struct jl_level *
jl_level_new (void)
{
  struct jl_level *level = g_new0 (struct jl_level, 1);

  level->value = JL_PRIORITY_COUNT;
  level->lowest_refused = JL_PRIORITY_COUNT;
  level->step = STEP_MIN;
  return level;
}

void
jl_level_drop (struct jl_level *level)
{
  g_free (level);
}

uint32_t
jl_level_get (const struct jl_level *level)
{
  return level->value;
}

uint32_t
jl_level_lowest_refused (const struct jl_level *level)
{
  return level->lowest_refused;
}

uint32_t
jl_level_refused_permille (const struct jl_level *level)
{
  return level->refused_permille;
}

void
jl_level_count_arrival (struct jl_level *level, uint32_t priority)
{
  level->arrived[priority]++;
  level->arrivals++;
}

void
jl_level_count_refusal (struct jl_level *level, uint32_t priority)
{
  level->refusals++;
  level->lowest_refused = MIN (level->lowest_refused, priority);
  level->value = MIN (level->value, priority + 1);
}

/* Updates the moving averages with the arrivals of this window. */
static void
update_demand (struct jl_level *level)
{
  for (uint32_t i = 0; i < JL_PRIORITY_COUNT; i++)
    {
      uint32_t shift
          = i < level->value ? ADMITTED_WEIGHT_SHIFT : REFUSED_WEIGHT_SHIFT;
      uint32_t old = level->demand[i];
      uint32_t new = level->arrived[i] * FIXED_POINT_ONE;

      old -= (old + (1U << shift) - 1) >> shift;
      level->demand[i] = old + (new >> shift);
      level->arrived[i] = 0;
    }
}

/* Returns the highest level at which the admitted demand fits @capacity. */
static uint32_t
highest_level_within (const struct jl_level *level, uint64_t capacity)
{
  uint64_t sum = 0;
  uint32_t fitting = 0;

  for (; fitting < JL_PRIORITY_COUNT; fitting++)
    {
      sum += level->demand[fitting];
      if (sum > capacity)
        break;
    }
  return fitting;
}

static uint64_t
demand_below (const struct jl_level *level, uint32_t end)
{
  uint64_t sum = 0;

  for (uint32_t i = 0; i < end; i++)
    sum += level->demand[i];
  return sum;
}

/*
 * Returns the lowest level that still admits the most important priority for
 * which requests arrive.
 */
static uint32_t
min_level (const struct jl_level *level)
{
  for (uint32_t i = 0; i < JL_PRIORITY_COUNT; i++)
    if (level->demand[i] > 0)
      return i + 1;
  return JL_PRIORITY_COUNT;
}

static uint64_t
capacity_fixed_point (const struct jl_level_window *window)
{
  return window->capacity_milli * FIXED_POINT_ONE / ITEM_MILLI;
}

static void
lower_level (struct jl_level *level, const struct jl_level_window *window)
{
  uint64_t capacity = UINT64_MAX;
  uint32_t fitting;

  if (window->capacity_milli > 0)
    capacity
        = capacity_fixed_point (window) * OVERLOADED_CAPACITY_PERCENT / 100;
  if (++level->overloaded_windows >= PERSISTENT_OVERLOAD_WINDOWS)
    capacity = MIN (capacity, demand_below (level, level->value)
                                  * PERSISTENT_OVERLOAD_DEMAND_PERCENT / 100);
  fitting = highest_level_within (level, capacity);
  fitting = MAX (fitting, min_level (level));
  level->value = MIN (level->value, fitting);
  level->step = STEP_MIN;
}

static void
raise_level (struct jl_level *level, const struct jl_level_window *window)
{
  uint32_t highest = MIN (level->value + level->step, JL_PRIORITY_COUNT);
  uint32_t fitting = highest;

  if (window->capacity_milli > 0)
    fitting = highest_level_within (level, capacity_fixed_point (window));
  level->step = MIN (level->step * 2, STEP_MAX);
  level->value = MAX (level->value, MIN (fitting, highest));
}

void
jl_level_end_window (struct jl_level *level,
                     const struct jl_level_window *window)
{
  uint32_t refused_permille = 1000 * level->refusals / MAX (level->arrivals, 1);

  update_demand (level);
  level->refused_permille
      = (3 * level->refused_permille + MIN (refused_permille, 1000)) / 4;
  level->arrivals = 0;
  level->refusals = 0;
  level->lowest_refused = JL_PRIORITY_COUNT;
  if (!window->overloaded)
    level->overloaded_windows = 0;
  if (window->overloaded)
    lower_level (level, window);
  else if (level->value < JL_PRIORITY_COUNT && !window->backlogged)
    raise_level (level, window);
}

bool
jl_level_idle (const struct jl_level *level)
{
  return level->value == JL_PRIORITY_COUNT && level->refused_permille == 0
         && demand_below (level, JL_PRIORITY_COUNT) == 0;
}
