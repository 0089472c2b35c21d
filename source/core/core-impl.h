#ifndef JACKDAWLADDER_CORE_IMPL_H
#define JACKDAWLADDER_CORE_IMPL_H

/**
 * DOC: Internal types and functions shared by the modules of the reducer.
 *
 * Only files in source/core include this header. Each module keeps its state in
 * an opaque structure of its own, to which struct jl_core points.
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
struct jl_attempt_table;
struct jl_cancel_table;

/**
 * struct jl_target - state of the own target
 * @service: index of its service in the configuration; JL_NONE if the service
 *           is not configured
 * @slots: number of concurrent requests that it accepts
 * @started: start time of its process, which distinguishes the process from
 *           earlier ones
 * @announced_us: time of the last announcement
 * @up: whether it was announced and has neither failed nor left since
 * @lease_timer: expires when announcements stop
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
  struct jl_timer lease_timer;
};

/**
 * enum jl_call_state - state of a call at its entry
 * @JL_CALL_IDLE: no attempt is in progress: the call is new or about to be
 *                retried
 * @JL_CALL_CLAIMING: waiting for JL_EVENT_CLAIM_RESULT
 * @JL_CALL_SENT: an attempt is in progress
 * @JL_CALL_FORWARDED: forwarded to the issuer of its ticket
 * @JL_CALL_CANCELLING: waiting for the guard to confirm a cancellation
 */
enum jl_call_state
{
  JL_CALL_IDLE,
  JL_CALL_CLAIMING,
  JL_CALL_SENT,
  JL_CALL_FORWARDED,
  JL_CALL_CANCELLING,
};

/**
 * struct jl_call - a request at its entry
 * @config: configuration that @kind is an index into
 * @parent: work item whose run makes the call; NULL for a call of an external
 *          caller
 * @siblings: node in the list jl_work.children of @parent
 * @at_most_once: the request may run at most once, as granted under @ticket
 * @has_key: the caller sent an idempotency key, and may have sent the request
 *           before
 * @forwarded: another daemon forwarded the call to this one
 * @may_have_run: whether an attempt may have run
 * @anchor: ticket from which the tickets of calls further down the tree are
 *          derived
 * @invested_us: time already spent on the request by the daemons upstream
 * @tokens: retry tokens of a call without @parent; a call with a parent uses
 *          the parent's
 * @tokens_initial: initial value of @tokens
 * @tokens_lent: part of @tokens that is lent to the attempt in progress
 * @attempt_tokens: tokens lent to the attempt in progress, from this pool or
 *                  the parent's
 * @sends: number of attempts that were sent to a target so far
 * @attempt: ID of the attempt in progress
 * @sent_us: when the attempt was sent
 * @member: member that the attempt was sent to
 * @member_epoch: epoch of the process of @member
 * @tried: members that must not be tried again, the first @tried_count elements
 * @last_reason: why the last attempt was refused or failed
 * @last_retry_after_ms: retry delay that the last refusal asked for
 * @timer: timeout of the current state, or delay of a retry
 */
struct jl_call
{
  uint64_t number;
  enum jl_call_state state;
  struct jl_config *config;
  uint32_t kind;
  struct jl_work *parent;
  struct cds_list_head siblings;
  bool at_most_once;
  bool has_key;
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
  uint32_t tokens_initial;
  uint32_t tokens_lent;
  uint32_t attempt_tokens;
  uint32_t sends;
  struct jl_attempt_id attempt;
  uint64_t sent_us;
  uint64_t member;
  uint64_t member_epoch;
/* Maximum number of members that are remembered as tried. */
#define JL_TRIED_MAX 8
  uint32_t tried_count;
  uint64_t tried[JL_TRIED_MAX];
  enum jl_reason last_reason;
  uint32_t last_retry_after_ms;
  struct jl_timer timer;
};

/**
 * enum jl_work_state - state of a work item at its guard
 * @JL_WORK_WAITING: waiting for admission
 * @JL_WORK_RUNNING: running at the own target
 */
enum jl_work_state
{
  JL_WORK_WAITING,
  JL_WORK_RUNNING,
};

/**
 * struct jl_work - an attempt at its guard
 * @invested_us: time already spent on the request by the daemons upstream
 * @target_started: start time of the target process that runs the item
 * @tokens: retry tokens for the calls in @children
 * @tokens_initial: initial value of @tokens
 * @tokens_lent: part of @tokens that is lent to attempts of these calls
 * @cancelled: whether the sender has cancelled the attempt
 * @deferred: whether the item waits until another suspect request has ended
 * @suspect: whether its content had a strike when it started; see poison.h
 * @queue: node in an admission queue while the item waits
 * @children: calls made by the target during the run, linked by
 *            jl_call.siblings
 * @report: levels of services further down, from the answers to @children
 * @timer: fires when the item can no longer start in time
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
  uint32_t tokens_initial;
  uint32_t tokens_lent;
  bool cancelled;
  bool deferred;
  bool suspect;
  struct cds_list_head queue;
  struct cds_list_head children;
  struct jl_report report;
  struct jl_timer timer;
};

/**
 * struct jl_counts - counters of events and decisions; arrays of JL_CLASS_MAX
 * elements are indexed by importance class
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

/**
 * struct jl_core - state of the reducer
 * @now_us: time of the event being handled
 * @stale_until_us: after a pause of the process, requests that are read before
 *                  this time may have waited during the pause
 * @effects: effects of the step in progress
 * @exit_emitted: whether JL_EFFECT_EXIT was emitted
 * @drain_notice_timer: runs while a draining daemon waits for its peers to
 *                      learn that it drains
 * @drain_refuse_from_us: external calls are refused from this time on while
 *                        draining
 * @last_attempt: number of the last attempt that was started
 * @root_calls: number of calls in progress that have no parent
 * @calls: maps call numbers to struct jl_call
 * @works: maps work item numbers to struct jl_work
 * @cancelling: maps attempt numbers to calls in state JL_CALL_CANCELLING
 * @attempt_table: attempts received by this daemon
 * @cancel_table: cancellations that got no reply yet
 */
struct jl_core
{
  struct jl_core_options options;
  struct jl_identity identity;
  uint64_t now_us;
  uint64_t stale_until_us;
  GRand *random;
  struct jl_timers *timers;
  struct jl_effects *effects;
  struct jl_config *config;
  struct jl_target target;
  bool draining;
  bool exit_emitted;
  struct jl_timer drain_notice_timer;
  uint64_t drain_refuse_from_us;
  uint64_t last_attempt;
  uint32_t root_calls;
  GHashTable *calls;
  GHashTable *works;
  GHashTable *cancelling;
  struct jl_members *members;
  struct jl_admit *admit;
  struct jl_place *place;
  struct jl_graph *graph;
  struct jl_retry *retry;
  struct jl_once *once;
  struct jl_poison *poison;
  struct jl_attempt_table *attempt_table;
  struct jl_cancel_table *cancel_table;
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
 * jl_random_below - returns a random number from 0 to @bound - 1
 */
uint32_t jl_random_below (struct jl_core *core, uint32_t bound);

/**
 * JL_INVARIANT - aborts the process if an invariant does not hold
 *
 * Checked in all builds, since a daemon in an inconsistent state must not
 * continue.
 */
#define JL_INVARIANT(condition, text)                                          \
  do                                                                           \
    {                                                                          \
      if (!(condition))                                                        \
        g_error ("invariant broken: %s (%s)", (text), #condition);             \
    }                                                                          \
  while (0)

/* Whether a test has switched a mechanism off; false in release builds. */
#ifdef JL_TEST_HOOKS
#  define JL_SWITCHED_OFF(core, mechanism)                                     \
    (((core)->options.switched_off & (mechanism)) != 0)
#else
#  define JL_SWITCHED_OFF(core, mechanism) false
#endif

/* Converts a 64-bit number to the key of a GHashTable with g_direct_hash. */
#define JL_HASH_KEY(number) ((gpointer)(uintptr_t)(number))

#endif
