#ifndef JACKDAWLADDER_EFFECT_H
#define JACKDAWLADDER_EFFECT_H

/**
 * DOC: Effects, the actions that the reducer requests from the I/O layer.
 *
 * The I/O layer executes the effects of a step in order. An effect holds all
 * data that its execution needs; the I/O layer never reads the reducer's state.
 */

#include "jackdawladder/event.h"
#include "jackdawladder/log.h"

/**
 * enum jl_effect_type - type of an action
 * @JL_EFFECT_SEND: send a call to the guard of a target
 * @JL_EFFECT_FORWARD: forward a call to the daemon that issued its ticket
 * @JL_EFFECT_ANSWER: send the final answer to the originator of a call
 * @JL_EFFECT_CLAIM: claim a caller's idempotency key in the platform's table
 * @JL_EFFECT_RUN: send a work item to the local target
 * @JL_EFFECT_FINISH: answer the daemon that sent a work item
 * @JL_EFFECT_ABORT_WORK: abort a running work item; the reducer still expects a
 *                        JL_EVENT_WORK_RESULT
 * @JL_EFFECT_ABORT_ATTEMPT: abort an attempt; the I/O layer still reports its
 *                           result, which the reducer ignores
 * @JL_EFFECT_MESSAGE: send a control message
 * @JL_EFFECT_PUBLISH: update this daemon's row in the platform's table
 * @JL_EFFECT_CONFIG: use the given configuration from now on
 * @JL_EFFECT_FETCH_CONFIG: fetch the configuration from a peer
 * @JL_EFFECT_LOG: write a log event
 * @JL_EFFECT_EXIT: exit the process because draining is complete
 */
enum jl_effect_type
{
  JL_EFFECT_SEND,
  JL_EFFECT_FORWARD,
  JL_EFFECT_ANSWER,
  JL_EFFECT_CLAIM,
  JL_EFFECT_RUN,
  JL_EFFECT_FINISH,
  JL_EFFECT_ABORT_WORK,
  JL_EFFECT_ABORT_ATTEMPT,
  JL_EFFECT_MESSAGE,
  JL_EFFECT_PUBLISH,
  JL_EFFECT_CONFIG,
  JL_EFFECT_FETCH_CONFIG,
  JL_EFFECT_LOG,
  JL_EFFECT_EXIT,
};

/**
 * struct jl_effect_send - send a call to the guard of a target
 * @peer: endpoint at which the guard takes calls of other daemons
 * @member: daemon that acts as the guard
 * @local: whether @member is this daemon
 * @budget_us: time left until the deadline
 * @anchor: see struct jl_event_work
 * @tokens: retry tokens lent to the attempt
 */
struct jl_effect_send
{
  uint64_t call;
  struct jl_attempt_id attempt;
  struct jl_endpoint peer;
  uint64_t member;
  bool local;
  uint32_t kind;
  uint64_t config_version;
  uint32_t priority;
  uint64_t invested_us;
  uint64_t budget_us;
  struct jl_ticket anchor;
  uint32_t tokens;
  uint64_t digest;
};

/**
 * struct jl_effect_forward - forward a call to the daemon that issued its
 * ticket
 * @peer: endpoint at which that daemon takes calls of other daemons
 * @tokens: retry tokens lent to the attempt
 * @budget_us: time left until the deadline
 */
struct jl_effect_forward
{
  uint64_t call;
  struct jl_attempt_id attempt;
  struct jl_endpoint peer;
  struct jl_ticket ticket;
  uint32_t kind;
  uint64_t config_version;
  uint32_t priority;
  uint32_t tokens;
  uint64_t invested_us;
  uint64_t budget_us;
};

/**
 * struct jl_effect_answer - send the final answer to the originator of a call
 * @outcome: outcome of the request over all transmissions of it by the caller
 *           under one key; with JL_OUTCOME_DONE, the response that came with
 *           the last result is sent
 * @attempt_outcome: outcome of this transmission alone; it may be
 *                   JL_OUTCOME_NOT_RUN while @outcome is JL_OUTCOME_UNKNOWN
 * @retry_after_ms: delay after which the caller should retry; 0 if a retry
 *                  cannot succeed
 * @replay_stored: whether to send the response that is stored under @ticket
 * @store: whether to store the response under @ticket
 * @ticket: ticket of the request; its number is 0 if there is none
 * @next_ticket: new ticket for the caller's next request
 * @tokens: unspent retry tokens of the call tree
 * @sends: number of attempts that were sent for this call
 * @report: overload report of the services that the answer passed through
 */
struct jl_effect_answer
{
  uint64_t call;
  enum jl_outcome outcome;
  enum jl_outcome attempt_outcome;
  enum jl_reason reason;
  uint32_t retry_after_ms;
  bool replay_stored;
  bool store;
  struct jl_ticket ticket;
  struct jl_ticket next_ticket;
  uint32_t tokens;
  uint32_t sends;
  struct jl_report report;
};

/**
 * struct jl_effect_claim - claim a caller's idempotency key
 * @key_hash: hash of the key
 * @ticket: ticket to record for the key, unless the key is claimed already
 */
struct jl_effect_claim
{
  uint64_t call;
  uint64_t key_hash;
  struct jl_ticket ticket;
};

/**
 * struct jl_effect_run - send a work item to the local target
 * @budget_us: time left until the deadline of the work item
 */
struct jl_effect_run
{
  uint64_t work;
  uint64_t budget_us;
};

/**
 * struct jl_effect_finish - answer the daemon that sent a work item
 * @outcome: outcome of the work item; with JL_OUTCOME_DONE, the response that
 *           came with its result is sent
 * @no_retry: whether a retry cannot succeed
 * @retry_after_ms: delay after which the sender should retry, 0 if not
 *                  specified
 * @tokens: unspent retry tokens that are given back
 * @report: overload report of this service and of the services that it calls,
 *          directly or indirectly
 */
struct jl_effect_finish
{
  uint64_t work;
  enum jl_outcome outcome;
  enum jl_reason reason;
  bool no_retry;
  uint32_t retry_after_ms;
  uint32_t tokens;
  struct jl_report report;
};

/**
 * struct jl_effect_abort_attempt - abort an attempt
 */
struct jl_effect_abort_attempt
{
  uint64_t call;
  struct jl_attempt_id attempt;
};

/**
 * struct jl_effect_message - send a control message
 */
struct jl_effect_message
{
  struct jl_endpoint to;
  struct jl_message message;
};

/**
 * struct jl_effect_fetch_config - fetch a configuration from a peer
 * @peer: endpoint at which the peer takes calls of other daemons
 * @version: version that the peer has installed
 */
struct jl_effect_fetch_config
{
  struct jl_endpoint peer;
  uint64_t version;
};

/**
 * struct jl_effect_log - write a log event
 * @first: first value of the event, see jl_log()
 * @second: second value of the event
 */
struct jl_effect_log
{
  enum jl_log_number number;
  uint64_t first;
  uint64_t second;
};

/**
 * struct jl_effect - an effect
 * @type: selects the member of the union
 */
struct jl_effect
{
  enum jl_effect_type type;
  union
  {
    struct jl_effect_send send;
    struct jl_effect_forward forward;
    struct jl_effect_answer answer;
    struct jl_effect_claim claim;
    struct jl_effect_run run;
    struct jl_effect_finish finish;
    uint64_t abort_work;
    struct jl_effect_abort_attempt abort_attempt;
    struct jl_effect_message *message; /* owned by the effect list */
    struct jl_member_info publish;
    struct jl_config *config; /* valid until the next step */
    struct jl_effect_fetch_config fetch_config;
    struct jl_effect_log log;
  };
};

/**
 * struct jl_effects - list of effects, reused from step to step
 */
struct jl_effects;

struct jl_effects *jl_effects_new (void);
void jl_effects_drop (struct jl_effects *effects);

/**
 * jl_effects_clear - removes all effects and keeps the allocated memory
 */
void jl_effects_clear (struct jl_effects *effects);

size_t jl_effects_count (const struct jl_effects *effects);
const struct jl_effect *jl_effects_get (const struct jl_effects *effects,
                                        size_t index);

/**
 * jl_effects_add - appends a zero-filled effect
 *
 * For JL_EFFECT_MESSAGE, a zero-filled message is allocated as well.
 *
 * Return: the effect, valid until the next call that changes @effects.
 */
struct jl_effect *jl_effects_add (struct jl_effects *effects,
                                  enum jl_effect_type type);

#endif
