#ifndef JACKDAWLADDER_TESTS_SITE_H
#define JACKDAWLADDER_TESTS_SITE_H

/**
 * DOC: A few reducers that talk to each other in virtual time, for tests of
 * what they decide together. Nothing is lost or late; targets and callers are
 * callbacks of the test.
 */

#include "jackdawladder/core.h"

#define JL_SITE_NODE_MAX 16
/* Time that anything takes from one daemon to another. */
#define JL_SITE_HOP_US (1 * JL_USEC_PER_MSEC)

struct jl_site;

/**
 * struct jl_site_work - a work item at its daemon
 * @node: the daemon of the target
 * @sender: the daemon that sent it
 * @call: its call there
 * @status: HTTP status of its answer
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
 * struct jl_site_hooks - what the test does about runs and answers
 * @run: the target of @node is to run @work; see jl_site_end()
 * @answer: a call at @node has its final answer; @status is 0 unless done
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
 * struct jl_site - the daemons, and what is on its way
 * @context: of the test
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
  GHashTable *works;    /* number to struct jl_site_work */
  GHashTable *statuses; /* call to status of its last answer */
};

/**
 * jl_site_open - @count daemons with a configuration and each other as seeds
 */
void jl_site_open (struct jl_site *site,
                   uint32_t count,
                   const char *document,
                   struct jl_site_hooks hooks,
                   void *context);
void jl_site_close (struct jl_site *site);

/**
 * jl_site_run_until - lets the time pass up to and including @end_us
 */
void jl_site_run_until (struct jl_site *site, uint64_t end_us);

/**
 * jl_site_schedule - gives @event to a daemon at a time
 */
void jl_site_schedule (struct jl_site *site,
                       uint32_t node,
                       const struct jl_event *event,
                       uint64_t at_us);

/**
 * jl_site_announce - announces a target once a second
 * @started: its life
 */
void jl_site_announce (struct jl_site *site,
                       uint32_t node,
                       const char *service,
                       uint32_t slots,
                       uint64_t started,
                       uint64_t from_us,
                       uint64_t end_us);

/**
 * jl_site_end - ends a run after @delay_us
 */
void jl_site_end (struct jl_site *site,
                  uint64_t work,
                  enum jl_run_result result,
                  uint32_t status,
                  uint64_t delay_us);

/**
 * jl_site_crash - breaks all runs at the target of @node after @delay_us
 */
void jl_site_crash (struct jl_site *site, uint32_t node, uint64_t delay_us);

#endif
