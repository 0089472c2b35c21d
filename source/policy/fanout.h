#ifndef JACKDAWLADDER_FANOUT_H
#define JACKDAWLADDER_FANOUT_H

/**
 * DOC: Estimates how many calls of each route a run of each route makes.
 *
 * A target's calls do not identify the run that made them. Therefore, a daemon
 * counts the runs that begin at its target and the calls that its target makes,
 * and estimates the calls for each run by non-negative least squares, with
 * gradient steps over smoothed counts.
 */

#include "jackdawladder/base.h"

/* Maximum number of routes of runs, and of routes of calls, that one daemon
 * counts. */
#define JL_FANOUT_ROUTES_MAX 8

/**
 * struct jl_fanout_entry - calls of one route that a run of one route makes
 * @run: key of the run's route
 * @call: key of the call's route
 * @calls: mean number of calls for each run
 */
struct jl_fanout_entry
{
  uint32_t run;
  uint32_t call;
  double calls;
};

/**
 * struct jl_fanout_count - runs or calls of one route
 * @key: the route's key
 * @window: number in the current window
 * @smoothed: exponentially decaying number over all windows
 */
struct jl_fanout_count
{
  uint32_t key;
  double window;
  double smoothed;
};

/**
 * struct jl_fanout - counts and estimates of one daemon
 * @calls_per_run: estimated calls for each run; indexed by call, then by run
 */
struct jl_fanout
{
  unsigned run_count;
  unsigned call_count;
  struct jl_fanout_count runs[JL_FANOUT_ROUTES_MAX];
  struct jl_fanout_count calls[JL_FANOUT_ROUTES_MAX];
  double calls_per_run[JL_FANOUT_ROUTES_MAX][JL_FANOUT_ROUTES_MAX];
};

void jl_fanout_init (struct jl_fanout *fanout);

/**
 * jl_fanout_count_run - counts a run that begins at the local target
 * @run: key of its route
 */
void jl_fanout_count_run (struct jl_fanout *fanout, uint32_t run);

/**
 * jl_fanout_discount_run - counts a run less, as the request has left without
 * having run
 */
void jl_fanout_discount_run (struct jl_fanout *fanout, uint32_t run);

/**
 * jl_fanout_count_call - counts a call that the local target makes
 * @call: key of its route
 */
void jl_fanout_count_call (struct jl_fanout *fanout, uint32_t call);

/**
 * jl_fanout_end_window - updates the estimates at the end of a window
 *
 * A window is about a quarter of a second long.
 */
void jl_fanout_end_window (struct jl_fanout *fanout);

/**
 * jl_fanout_restore - sets an estimate of an earlier incarnation, as long as
 * nothing was learned of the calls of this route by runs of this route
 *
 * Return: whether it was set.
 */
bool jl_fanout_restore (struct jl_fanout *fanout,
                        const struct jl_fanout_entry *entry);

/**
 * jl_fanout_differs - whether estimates differ from earlier ones by more than
 * they vary from window to window
 */
bool jl_fanout_differs (const struct jl_fanout_entry *entries,
                        unsigned count,
                        const struct jl_fanout_entry *earlier,
                        unsigned earlier_count);

/**
 * jl_fanout_list - lists the estimates
 * @entries: receives at most @max entries
 *
 * Return: the number of entries.
 */
unsigned jl_fanout_list (const struct jl_fanout *fanout,
                         struct jl_fanout_entry *entries,
                         unsigned max);

#endif
