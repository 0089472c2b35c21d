/**
 * DOC: Estimates how many calls of each route a run of each route makes.
 */

#include "policy/fanout.h"

#include <math.h>
#include <string.h>

/* Factor by which the smoothed counts decay in each window. */
#define DECAY_FACTOR 0.8
/* Share of the error that the gradient step of one window corrects. */
#define STEP_SHARE 0.5
/* Smoothed number of runs below which the estimates are not updated. */
#define RUNS_MIN 5.0
/* Estimates below this number of calls for each run are left out. */
#define CALLS_PER_RUN_MIN 0.04
/* Estimates differ if one does by this share, and by this number of calls. */
#define DIFFERENT_SHARE 0.3
#define DIFFERENT_CALLS 0.2

void
jl_fanout_init (struct jl_fanout *fanout)
{
  memset (fanout, 0, sizeof *fanout);
}

/* Returns the index of the route @key, which is added if it is new; JL_NONE if
 * the table is full. */
static unsigned
find_or_add_route (struct jl_fanout_count *counts,
                   unsigned *number,
                   uint32_t key)
{
  for (unsigned i = 0; i < *number; i++)
    if (counts[i].key == key)
      return i;
  if (*number == JL_FANOUT_ROUTES_MAX)
    return JL_NONE;
  counts[*number] = (struct jl_fanout_count){ .key = key };
  return (*number)++;
}

/* Counts a run or call of the route @key. */
static void
count_route (struct jl_fanout_count *counts, unsigned *number, uint32_t key)
{
  unsigned route = find_or_add_route (counts, number, key);

  if (route != JL_NONE)
    counts[route].window += 1;
}

void
jl_fanout_count_run (struct jl_fanout *fanout, uint32_t run)
{
  count_route (fanout->runs, &fanout->run_count, run);
}

void
jl_fanout_discount_run (struct jl_fanout *fanout, uint32_t run)
{
  for (unsigned i = 0; i < fanout->run_count; i++)
    if (fanout->runs[i].key == run)
      fanout->runs[i].window = MAX (fanout->runs[i].window - 1, 0);
}

void
jl_fanout_count_call (struct jl_fanout *fanout, uint32_t call)
{
  count_route (fanout->calls, &fanout->call_count, call);
}

/* Adds the window's counts to the smoothed ones and starts a new window. */
static void
end_count_window (struct jl_fanout_count *counts, unsigned number)
{
  for (unsigned i = 0; i < number; i++)
    {
      counts[i].smoothed = DECAY_FACTOR * counts[i].smoothed + counts[i].window;
      counts[i].window = 0;
    }
}

/* Corrects the estimates of one call route by a normalized gradient step. @norm
 * is the sum of the squares of the smoothed run counts. */
static void
fit_call (struct jl_fanout *fanout, unsigned call, double norm)
{
  double *row = fanout->calls_per_run[call];
  double error = fanout->calls[call].smoothed;

  for (unsigned i = 0; i < fanout->run_count; i++)
    error -= row[i] * fanout->runs[i].smoothed;
  for (unsigned i = 0; i < fanout->run_count; i++)
    row[i] = MAX (
        0, row[i] + STEP_SHARE * error * fanout->runs[i].smoothed / norm);
}

void
jl_fanout_end_window (struct jl_fanout *fanout)
{
  double total = 0;
  double norm = 0;

  end_count_window (fanout->runs, fanout->run_count);
  end_count_window (fanout->calls, fanout->call_count);
  for (unsigned i = 0; i < fanout->run_count; i++)
    {
      total += fanout->runs[i].smoothed;
      norm += fanout->runs[i].smoothed * fanout->runs[i].smoothed;
    }
  if (total < RUNS_MIN)
    return;
  for (unsigned i = 0; i < fanout->call_count; i++)
    fit_call (fanout, i, norm);
}

unsigned
jl_fanout_list (const struct jl_fanout *fanout,
                struct jl_fanout_entry *entries,
                unsigned max)
{
  unsigned number = 0;

  for (unsigned call = 0; call < fanout->call_count; call++)
    for (unsigned run = 0; run < fanout->run_count && number < max; run++)
      {
        double calls = fanout->calls_per_run[call][run];

        if (calls < CALLS_PER_RUN_MIN)
          continue;
        entries[number].run = fanout->runs[run].key;
        entries[number].call = fanout->calls[call].key;
        entries[number].calls = calls;
        number++;
      }
  return number;
}

bool
jl_fanout_restore (struct jl_fanout *fanout,
                   const struct jl_fanout_entry *entry)
{
  unsigned run
      = find_or_add_route (fanout->runs, &fanout->run_count, entry->run);
  unsigned call
      = find_or_add_route (fanout->calls, &fanout->call_count, entry->call);

  if (run == JL_NONE || call == JL_NONE || fanout->calls_per_run[call][run] > 0)
    return false;
  fanout->calls_per_run[call][run] = entry->calls;
  return true;
}

/* Returns the estimate for a pair of routes, 0 if there is none. */
static double
calls_of (const struct jl_fanout_entry *entries,
          unsigned count,
          const struct jl_fanout_entry *pair)
{
  for (unsigned i = 0; i < count; i++)
    if (entries[i].run == pair->run && entries[i].call == pair->call)
      return entries[i].calls;
  return 0;
}

static bool
is_different (double calls, double earlier)
{
  double difference = fabs (calls - earlier);

  return difference > DIFFERENT_CALLS
         && difference > DIFFERENT_SHARE * MAX (calls, earlier);
}

bool
jl_fanout_differs (const struct jl_fanout_entry *entries,
                   unsigned count,
                   const struct jl_fanout_entry *earlier,
                   unsigned earlier_count)
{
  for (unsigned i = 0; i < count; i++)
    if (is_different (entries[i].calls,
                      calls_of (earlier, earlier_count, &entries[i])))
      return true;
  return false;
}
