/**
 * DOC: How many calls of each kind a run of each kind makes, learned.
 */

#include "policy/fanout.h"

#include <string.h>

/* What a window's count keeps in the next one. */
#define KEEP 0.8
/* Share of the error that one window corrects. */
#define STEP 0.5
/* Runs seen before anything is fitted. */
#define RUNS_MIN 5.0
/* Fewer calls a run than this are taken for none. */
#define CALLS_MIN 0.04

void
jl_fanout_init (struct jl_fanout *fanout)
{
  memset (fanout, 0, sizeof *fanout);
}

static void
count (struct jl_fanout_count *counts, unsigned *number, uint32_t key)
{
  for (unsigned i = 0; i < *number; i++)
    if (counts[i].key == key)
      {
        counts[i].window += 1;
        return;
      }
  if (*number == JL_FANOUT_MAX)
    return;
  counts[*number].key = key;
  counts[*number].window = 1;
  counts[*number].smooth = 0;
  (*number)++;
}

void
jl_fanout_run (struct jl_fanout *fanout, uint32_t run)
{
  count (fanout->runs, &fanout->run_count, run);
}

void
jl_fanout_call (struct jl_fanout *fanout, uint32_t call)
{
  count (fanout->calls, &fanout->call_count, call);
}

static void
smooth (struct jl_fanout_count *counts, unsigned number)
{
  for (unsigned i = 0; i < number; i++)
    {
      counts[i].smooth = KEEP * counts[i].smooth + counts[i].window;
      counts[i].window = 0;
    }
}

static void
fit_call (struct jl_fanout *fanout, unsigned call, double norm)
{
  double *row = fanout->calls_of[call];
  double error = fanout->calls[call].smooth;

  for (unsigned i = 0; i < fanout->run_count; i++)
    error -= row[i] * fanout->runs[i].smooth;
  for (unsigned i = 0; i < fanout->run_count; i++)
    row[i] = MAX (0, row[i] + STEP * error * fanout->runs[i].smooth / norm);
}

void
jl_fanout_window (struct jl_fanout *fanout)
{
  double total = 0;
  double norm = 0;

  smooth (fanout->runs, fanout->run_count);
  smooth (fanout->calls, fanout->call_count);
  for (unsigned i = 0; i < fanout->run_count; i++)
    {
      total += fanout->runs[i].smooth;
      norm += fanout->runs[i].smooth * fanout->runs[i].smooth;
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
        double calls = fanout->calls_of[call][run];

        if (calls < CALLS_MIN)
          continue;
        entries[number].run = fanout->runs[run].key;
        entries[number].call = fanout->calls[call].key;
        entries[number].calls = calls;
        number++;
      }
  return number;
}
