#ifndef JACKDAWLADDER_TESTS_RUN_H
#define JACKDAWLADDER_TESTS_RUN_H

/**
 * DOC: One run of a script against one reducer, in virtual time.
 */

#include "jackdawladder/core.h"

/**
 * struct run_counts - works of one class since the last summary
 */
struct run_counts
{
  uint32_t works;
  uint32_t runs;
  uint32_t done;
  uint32_t refused;
  uint32_t late;
};

/**
 * struct run - the reducer and the small fakes around it
 * @quiet: only summaries are printed
 * @hide_membership: messages and rows of the membership are not printed
 * @serve_us: runs are answered by themselves after this long, 0 for never
 * @pending: events to come, in order of time
 * @members: members that answer probes
 * @attempts: call number to the attempt that is out
 * @works: work number to its priority plus one
 */
struct run
{
  struct jl_core *core;
  struct jl_config *config;
  struct jl_effects *effects;
  GString *out;
  uint64_t now_us;
  bool quiet;
  bool hide_membership;
  uint64_t serve_us;
  uint64_t next_order;
  GSequence *pending;
  GHashTable *members;
  GHashTable *attempts;
  GHashTable *works;
  struct run_counts counts[JL_CLASS_MAX];
};

struct run *run_new (const struct jl_core_options *options);
void run_drop (struct run *run);

/**
 * run_step - gives @event to the reducer now, and prints both sides
 * @echo: print the event
 */
void run_step (struct run *run, struct jl_event *event, bool echo);

/**
 * run_schedule - gives @event to the reducer at its own time
 * @event: a message in it is owned by the run from now on
 */
void run_schedule (struct run *run, const struct jl_event *event, bool echo);

/**
 * run_until - lets the time pass up to and including @time_us
 */
void run_until (struct run *run, uint64_t time_us);

/**
 * run_summary - prints the counts of works by class, and clears them
 */
void run_summary (struct run *run);

/**
 * run_show - prints the state of admission
 */
void run_show (struct run *run);

#endif
