#ifndef JACKDAWLADDER_TESTS_RUN_H
#define JACKDAWLADDER_TESTS_RUN_H

/**
 * DOC: Run of a script against one reducer, in virtual time.
 */

#include "jackdawladder/core.h"

/**
 * struct run_counts - number of work items of one class since the last summary
 * @works: work items that arrived
 * @runs: work items that were started at the target
 * @done: work items that were answered
 * @refused: work items that ended otherwise, but for those in @late
 * @late: work items whose deadline passed
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
 * struct run - a reducer with a fake target and fake members
 * @quiet: whether only summaries and states of admission are printed
 * @hide_membership: whether membership messages and published rows are omitted
 * @serve_us: time after which the fake target answers a run, 0 for never
 * @next_order: order of the next event among events of the same time
 * @pending: scheduled events, in order of time
 * @members: members that acknowledge probes
 * @attempts: call number to the last attempt that was sent
 * @works: number of a work item to its priority plus one
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
 * run_step - gives @event to the reducer now, and prints the effects
 * @echo: whether the event is printed too
 */
void run_step (struct run *run, struct jl_event *event, bool echo);

/**
 * run_schedule - schedules @event for the time that it carries
 * @event: the run takes ownership of the message in it, if there is one
 * @echo: whether the event is printed
 */
void run_schedule (struct run *run, const struct jl_event *event, bool echo);

/**
 * run_until - handles all events and timers due up to and including @time_us
 */
void run_until (struct run *run, uint64_t time_us);

/**
 * run_summary - prints the counts of work items by class, and clears them
 */
void run_summary (struct run *run);

/**
 * run_show - prints the state of admission
 */
void run_show (struct run *run);

#endif
