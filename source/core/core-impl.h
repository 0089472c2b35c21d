#ifndef JACKDAWLADDER_CORE_IMPL_H
#define JACKDAWLADDER_CORE_IMPL_H

/**
 * DOC: What the parts of the reducer share with each other.
 *
 * Only files in source/core include this. Each part keeps its state in a
 * structure of its own behind struct jl_core.
 */

#include <urcu/list.h>

#include "jackdawladder/core.h"
#include "jackdawladder/log.h"
#include "jackdawladder/timer.h"

struct jl_members;
struct jl_admit;
struct jl_place;
struct jl_graph;
struct jl_retry;
struct jl_once;
struct jl_poison;
struct jl_seen_table;
struct jl_withdraw;

/**
 * struct jl_target - what is known of the own target
 * @service: index in the configuration, JL_NONE if not in it
 * @up: announced, and not seen to fail since
 * @announced_us: time of the last announcement
 */
struct jl_target
{
  char service_name[JL_NAME_SIZE];
  uint32_t service;
  uint32_t slots;
  uint32_t connections;
  uint64_t started;
  uint64_t announced_us;
  bool up;
  struct jl_timer lapse;
};

/**
 * enum jl_call_state - where a call of the entry stands
 * @JL_CALL_CLAIMING: waits for JL_EVENT_CLAIM_RESULT
 * @JL_CALL_SENT: one sending is out
 * @JL_CALL_FORWARDED: sent on to the issuer of its ticket
 * @JL_CALL_CANCELLING: waits for the guard to confirm a cancellation
 */
enum jl_call_state
{
  JL_CALL_NEW,
  JL_CALL_CLAIMING,
  JL_CALL_SENT,
  JL_CALL_FORWARDED,
  JL_CALL_CANCELLING,
};

/**
 * struct jl_call - a request at its entry
 * @config: the configuration that @kind is an index of
 * @parent: the work that makes it, NULL for a caller's
 * @siblings: place in @parent's list of children
 * @guarded: its runs are granted under @ticket, at most one of them
 * @keyed: its caller named it, and may have sent it before
 * @may_have_run: some sending may have run
 * @tokens: retry tokens of a call without @parent; else the parent's are used
 * @tokens_begun: what @tokens began with
 * @tokens_lent: what is out of @tokens with the sending in progress
 * @lent: tokens that went out with the sending in progress
 * @attempt: the sending in progress
 * @sent_us: when that began
 * @member: where it went
 * @member_epoch: the life of that daemon
 * @tried: members that are not to be tried again
 */
struct jl_call
{
  uint64_t number;
  enum jl_call_state state;
  struct jl_config *config;
  uint32_t kind;
  struct jl_work *parent;
  struct cds_list_head siblings;
  bool guarded;
  bool keyed;
  bool forwarded;
  bool may_have_run;
  struct jl_ticket ticket;
  struct jl_ticket anchor;
  uint64_t key_hash;
  uint64_t digest;
  uint32_t priority;
  uint64_t arrived_us;
  uint64_t invested_us;
  uint64_t deadline_us;
  uint32_t tokens;
  uint32_t tokens_begun;
  uint32_t tokens_lent;
  uint32_t lent;
  uint32_t sends;
  struct jl_attempt_id attempt;
  uint64_t sent_us;
  uint64_t member;
  uint64_t member_epoch;
#define JL_TRIED_MAX 8
  uint32_t tried_count;
  uint64_t tried[JL_TRIED_MAX];
  enum jl_reason last_reason;
  uint32_t last_retry_after_ms;
  struct jl_timer timer;
};

/**
 * enum jl_work_state - where a work item of the guard stands
 */
enum jl_work_state
{
  JL_WORK_WAITING,
  JL_WORK_RUNNING,
};

/**
 * struct jl_work - one sending of a call at its guard
 * @queue: place in the admission queue while it waits
 * @children: calls that the target makes meanwhile, by jl_call.siblings
 * @tokens: retry tokens that its children draw on
 * @tokens_begun: what @tokens began with
 * @tokens_lent: what is out of @tokens with sendings of its children
 * @cancelled: its result is wanted by nobody
 * @held: it waits for another request that has a strike to end
 * @struck: its content had a strike when it began to run
 * @report: what its children's answers said of the services below
 */
struct jl_work
{
  uint64_t number;
  enum jl_work_state state;
  struct jl_config *config;
  struct jl_attempt_id attempt;
  uint32_t kind;
  uint32_t priority;
  uint64_t digest;
  uint64_t invested_us;
  uint64_t arrived_us;
  uint64_t started_us;
  uint64_t deadline_us;
  uint64_t target_started;
  struct jl_ticket anchor;
  uint32_t tokens;
  uint32_t tokens_begun;
  uint32_t tokens_lent;
  bool cancelled;
  bool held;
  bool struck;
  struct cds_list_head queue;
  struct cds_list_head children;
  struct jl_report report;
  struct jl_timer timer;
};

/**
 * struct jl_counts - counters of decisions, by class where that matters
 */
struct jl_counts
{
  uint64_t events;
  uint64_t calls[JL_CLASS_MAX];
  uint64_t answers_done[JL_CLASS_MAX];
  uint64_t answers_not_run[JL_CLASS_MAX];
  uint64_t answers_unknown[JL_CLASS_MAX];
  uint64_t sends;
  uint64_t retries;
  uint64_t works[JL_CLASS_MAX];
  uint64_t runs[JL_CLASS_MAX];
  uint64_t refused[JL_CLASS_MAX];
  uint64_t refused_reason[JL_REASON_COUNT];
  uint64_t messages_sent;
  uint64_t messages_received;
};

struct jl_core
{
  struct jl_core_options options;
  struct jl_identity identity;
  uint64_t now_us;
  uint64_t stale_until_us; /* what arrives before may have lain for long */
  GRand *random;
  struct jl_timers *timers;
  struct jl_effects *effects;
  struct jl_config *config;
  struct jl_target target;
  bool draining;
  bool left;
  struct jl_timer drain_linger;
  uint64_t drain_refuse_us; /* from then on callers are refused */
  uint64_t next_attempt;
  uint32_t caller_calls;  /* calls of callers in progress */
  GHashTable *calls;      /* number to struct jl_call */
  GHashTable *works;      /* number to struct jl_work */
  GHashTable *cancelling; /* attempt number to struct jl_call */
  struct jl_members *members;
  struct jl_admit *admit;
  struct jl_place *place;
  struct jl_graph *graph;
  struct jl_retry *retry;
  struct jl_once *once;
  struct jl_poison *poison;
  struct jl_seen_table *seen;
  struct jl_withdraw *withdraw;
  struct jl_counts counts;
};

/**
 * jl_emit - appends an effect to the step in progress
 */
struct jl_effect *jl_emit (struct jl_core *core, enum jl_effect_type type);

/**
 * jl_log_event - emits JL_EFFECT_LOG
 */
void jl_log_event (struct jl_core *core,
                   enum jl_log_number number,
                   uint64_t first,
                   uint64_t second);

/**
 * jl_random_below - a number from 0 to @bound - 1
 */
uint32_t jl_random_below (struct jl_core *core, uint32_t bound);

/**
 * JL_INVARIANT - ends the process when an invariant is broken
 *
 * Always on: a daemon that has broken an invariant must not go on.
 */
#define JL_INVARIANT(condition, text)                                          \
  do                                                                           \
    {                                                                          \
      if (!(condition))                                                        \
        g_error ("invariant broken: %s (%s)", (text), #condition);             \
    }                                                                          \
  while (0)

/* Whether a test has switched a mechanism off; never in the product. */
#ifdef JL_TEST_HOOKS
#  define JL_SWITCHED_OFF(core, mechanism)                                     \
    (((core)->options.switched_off & (mechanism)) != 0)
#else
#  define JL_SWITCHED_OFF(core, mechanism) false
#endif

/* Key of a 64-bit number in a GHashTable with g_direct_hash. */
#define JL_HASH_KEY(number) ((gpointer)(uintptr_t)(number))

#endif
