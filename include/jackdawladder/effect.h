#ifndef JACKDAWLADDER_EFFECT_H
#define JACKDAWLADDER_EFFECT_H

/**
 * DOC: Effects, all that the reducer asks the edge to do.
 *
 * Effects of one step are carried out in order. Each is complete in itself;
 * the edge never reads the reducer's state to carry one out.
 */

#include "jackdawladder/event.h"
#include "jackdawladder/log.h"

/**
 * enum jl_effect_type - what the edge is to do
 * @JL_EFFECT_SEND: send a call to the guard of a target
 * @JL_EFFECT_FORWARD: send a call on to the issuer of its ticket
 * @JL_EFFECT_ANSWER: give a call its final answer
 * @JL_EFFECT_CLAIM: claim a caller's key in the platform's table
 * @JL_EFFECT_RUN: send a work item to the own target
 * @JL_EFFECT_FINISH: answer the daemon that sent a work item
 * @JL_EFFECT_ABORT: stop the run of a work item; its result still comes
 * @JL_EFFECT_STOP_SEND: stop the sending of a call; its result still comes
 * @JL_EFFECT_MESSAGE: send a control message
 * @JL_EFFECT_PUBLISH: the own row for the platform's table has changed
 * @JL_EFFECT_CONFIG: a configuration is in force from now on
 * @JL_EFFECT_FETCH_CONFIG: get the configuration from a peer
 * @JL_EFFECT_LOG: write a log event
 * @JL_EFFECT_EXIT: drained; end the process
 */
enum jl_effect_type
{
  JL_EFFECT_SEND,
  JL_EFFECT_FORWARD,
  JL_EFFECT_ANSWER,
  JL_EFFECT_CLAIM,
  JL_EFFECT_RUN,
  JL_EFFECT_FINISH,
  JL_EFFECT_ABORT,
  JL_EFFECT_STOP_SEND,
  JL_EFFECT_MESSAGE,
  JL_EFFECT_PUBLISH,
  JL_EFFECT_CONFIG,
  JL_EFFECT_FETCH_CONFIG,
  JL_EFFECT_LOG,
  JL_EFFECT_EXIT,
};

/**
 * struct jl_effect_send - send a call to the guard of a target
 * @peer: where that daemon takes calls of other daemons
 * @member: that daemon
 * @local: it is this daemon itself
 * @budget_us: time left until the deadline
 * @anchor: see struct jl_event_work
 * @tokens: retry tokens lent with it
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
 * struct jl_effect_forward - send a call on to the issuer of its ticket
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
 * struct jl_effect_answer - give a call its final answer
 * @outcome: with JL_OUTCOME_DONE, the answer that came with the last result
 * @sending: what became of this sending of the request alone; it may be
 *           JL_OUTCOME_NOT_RUN where @outcome, which speaks of all sendings
 *           under the same key, is JL_OUTCOME_UNKNOWN
 * @retry_after_ms: when to come back; 0 when that is of no use
 * @stored: answer with the copy that the edge kept under @ticket
 * @keep: keep a copy of the answer under @ticket
 * @ticket: the request's ticket; number 0 when it has none
 * @next_ticket: a fresh ticket for the caller's next request
 * @tokens: unspent retry tokens of the tree
 * @sends: sendings of this call so far
 */
struct jl_effect_answer
{
  uint64_t call;
  enum jl_outcome outcome;
  enum jl_outcome sending;
  enum jl_reason reason;
  uint32_t retry_after_ms;
  bool stored;
  bool keep;
  struct jl_ticket ticket;
  struct jl_ticket next_ticket;
  uint32_t tokens;
  uint32_t sends;
  struct jl_report report;
};

struct jl_effect_claim
{
  uint64_t call;
  uint64_t key_hash;
  struct jl_ticket ticket;
};

/**
 * struct jl_effect_run - send a work item to the own target
 * @budget_us: time left until its deadline
 */
struct jl_effect_run
{
  uint64_t work;
  uint64_t budget_us;
};

/**
 * struct jl_effect_finish - answer the daemon that sent a work item
 * @outcome: with JL_OUTCOME_DONE, the answer that came with the result
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

struct jl_effect_stop_send
{
  uint64_t call;
  struct jl_attempt_id attempt;
};

struct jl_effect_message
{
  struct jl_endpoint to;
  struct jl_message message;
};

struct jl_effect_fetch_config
{
  struct jl_endpoint peer;
  uint64_t version;
};

/**
 * struct jl_effect_log - write a log event, see jl_log()
 */
struct jl_effect_log
{
  enum jl_log_number number;
  uint64_t first;
  uint64_t second;
};

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
    struct jl_effect_stop_send stop_send;
    struct jl_effect_message *message; /* owned by the effect list */
    struct jl_member_info publish;
    struct jl_config *config; /* valid until the next step */
    struct jl_effect_fetch_config fetch_config;
    struct jl_effect_log log;
  };
};

/**
 * struct jl_effects - a list of effects, used again from step to step
 */
struct jl_effects;

struct jl_effects *jl_effects_new (void);
void jl_effects_drop (struct jl_effects *effects);

/**
 * jl_effects_clear - empties the list and keeps its memory
 */
void jl_effects_clear (struct jl_effects *effects);

size_t jl_effects_count (const struct jl_effects *effects);
const struct jl_effect *jl_effects_get (const struct jl_effects *effects,
                                        size_t index);

/**
 * jl_effects_add - appends a zero-filled effect
 *
 * With JL_EFFECT_MESSAGE its message is there, zero-filled too.
 *
 * Return: valid until the next call on @effects.
 */
struct jl_effect *jl_effects_add (struct jl_effects *effects,
                                  enum jl_effect_type type);

#endif
