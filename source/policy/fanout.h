#ifndef JACKDAWLADDER_FANOUT_H
#define JACKDAWLADDER_FANOUT_H

/**
 * DOC: How many calls of each kind a run of each kind makes, learned.
 *
 * A target's calls do not say which run made them. But a daemon sees the runs
 * that begin at its target and the calls that its target makes, and fits the
 * second by the first: non-negative least squares by gradient steps over
 * smoothed counts.
 */

#include "jackdawladder/base.h"

/* Kinds of run, and kinds of call, that one daemon tells apart. */
#define JL_FANOUT_MAX 8

/**
 * struct jl_fanout_entry - calls of one kind that one run of a kind makes
 * @run: key of the run's route
 * @call: key of the call's route
 * @calls: mean number
 */
struct jl_fanout_entry
{
  uint32_t run;
  uint32_t call;
  double calls;
};

/**
 * struct jl_fanout_count - how often a key was seen
 */
struct jl_fanout_count
{
  uint32_t key;
  double window;
  double smooth;
};

/**
 * struct jl_fanout - state of one daemon
 * @calls_of: by call and run, the fitted numbers
 */
struct jl_fanout
{
  unsigned run_count;
  unsigned call_count;
  struct jl_fanout_count runs[JL_FANOUT_MAX];
  struct jl_fanout_count calls[JL_FANOUT_MAX];
  double calls_of[JL_FANOUT_MAX][JL_FANOUT_MAX];
};

void jl_fanout_init (struct jl_fanout *fanout);
void jl_fanout_run (struct jl_fanout *fanout, uint32_t run);
void jl_fanout_call (struct jl_fanout *fanout, uint32_t call);

/**
 * jl_fanout_window - a window of about a quarter of a second has ended
 */
void jl_fanout_window (struct jl_fanout *fanout);

/**
 * jl_fanout_list - what was learned so far
 * @entries: receives at most @max of them
 *
 * Return: their number.
 */
unsigned jl_fanout_list (const struct jl_fanout *fanout,
                         struct jl_fanout_entry *entries,
                         unsigned max);

#endif
