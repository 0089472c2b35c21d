#ifndef JACKDAWLADDER_TESTS_SITE_H
#define JACKDAWLADDER_TESTS_SITE_H

/**
 * DOC: Simulates several daemons in virtual time, for tests of how their
 * reducers interact. The network loses nothing and has a constant latency; the
 * test provides targets and callers as callbacks.
 */

#include "jackdawladder/core.h"

#define JL_SITE_NODE_MAX 16
/* Latency of work items, their results and messages between daemons. */
#define JL_SITE_LATENCY_US (1 * JL_USEC_PER_MSEC)

struct jl_site;

/**
 * struct jl_site_work - a work item at its daemon
 * @node: index of the daemon whose target runs it
 * @sender: index of the daemon that sent it
 * @number: number of the work item, unique in the site
 * @call: number of the call at @sender
 * @running: whether the target runs it
 * @status: HTTP status of the answer
 */
struct jl_site_work
{
  uint32_t node;
  uint32_t sender;
  uint64_t number;
  uint64_t call;
  struct jl_attempt_id attempt;
  uint64_t digest;
  bool running;
  uint32_t status;
};

/**
 * struct jl_site_hooks - callbacks of the test
 * @run: starts @work at its target; jl_site_end_run() ends it
 * @answer: takes the final answer of a call at @node; @status is 0 unless the
 *          outcome is done
 */
struct jl_site_hooks
{
  void (*run) (struct jl_site *site, const struct jl_site_work *work);
  void (*answer) (struct jl_site *site,
                  uint32_t node,
                  const struct jl_effect_answer *answer,
                  uint32_t status);
};

/**
 * struct jl_site - the daemons and the scheduled events
 * @context: data of the test
 * @pending: scheduled events, in order of time
 * @works: number to struct jl_site_work
 * @statuses: call to the HTTP status of its last answer
 */
struct jl_site
{
  uint32_t count;
  struct jl_core *cores[JL_SITE_NODE_MAX];
  struct jl_config *config;
  struct jl_effects *effects;
  struct jl_site_hooks hooks;
  void *context;
  uint64_t now_us;
  uint64_t next_order;
  uint64_t next_work;
  GSequence *pending;
  GHashTable *works;
  GHashTable *statuses;
};

/**
 * jl_site_open - starts @count daemons with each other as seeds
 * @document: configuration of all daemons
 */
void jl_site_open (struct jl_site *site,
                   uint32_t count,
                   const char *document,
                   struct jl_site_hooks hooks,
                   void *context);
void jl_site_close (struct jl_site *site);

/**
 * jl_site_run_until - handles all events and timers due up to and including
 * @end_us
 */
void jl_site_run_until (struct jl_site *site, uint64_t end_us);

/**
 * jl_site_schedule - schedules an event for a daemon at @at_us
 */
void jl_site_schedule (struct jl_site *site,
                       uint32_t node,
                       const struct jl_event *event,
                       uint64_t at_us);

/**
 * jl_site_announce - announces a target once a second until @end_us
 * @started: number that identifies this start of the target
 */
void jl_site_announce (struct jl_site *site,
                       uint32_t node,
                       const char *service,
                       uint32_t slots,
                       uint64_t started,
                       uint64_t from_us,
                       uint64_t end_us);

/**
 * jl_site_end_run - ends the run of a work item after @delay_us
 * @status: HTTP status of the answer
 */
void jl_site_end_run (struct jl_site *site,
                      uint64_t work,
                      enum jl_run_result result,
                      uint32_t status,
                      uint64_t delay_us);

/**
 * jl_site_crash_target - crashes the target of @node
 *
 * All its runs end as broken after @delay_us.
 */
void
jl_site_crash_target (struct jl_site *site, uint32_t node, uint64_t delay_us);

#endif
