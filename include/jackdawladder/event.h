#ifndef JACKDAWLADDER_EVENT_H
#define JACKDAWLADDER_EVENT_H

/**
 * DOC: Events, the only input of the reducer.
 *
 * A daemon has two roles. As an entry it takes requests from callers and from
 * the local target; such a request is a *call*. As a guard it controls access
 * to the local target; an attempt of a call that arrives there is a *work*
 * item. The I/O layer numbers calls and work items. A number is never reused
 * while the process runs.
 */

#include "jackdawladder/config.h"
#include "jackdawladder/message.h"

/* Maximum number of services in the report of one answer. */
#define JL_REPORT_MAX 32

/**
 * struct jl_report_item - admission level of a service that an answer passed
 * through
 * @service: index in the configuration
 * @level: lowest priority value that the service refuses; JL_PRIORITY_COUNT if
 *         it refuses none
 */
struct jl_report_item
{
  uint32_t service;
  uint32_t level;
};

/**
 * struct jl_report - overload report that is attached to an answer
 * @load_permille: requests in progress per slot at the answering daemon, in
 *                 thousandths
 * @count: number of valid elements of @items
 * @items: admission levels of the services that the answer passed through
 */
struct jl_report
{
  uint32_t load_permille;
  uint32_t count;
  struct jl_report_item items[JL_REPORT_MAX];
};

/**
 * enum jl_event_type - type of an event
 * @JL_EVENT_TICK: time has passed; due timers fire
 * @JL_EVENT_CONFIG: a configuration was loaded
 * @JL_EVENT_ANNOUNCE: the local target announces that it takes requests
 * @JL_EVENT_TARGET_LEAVE: the local target takes no more requests
 * @JL_EVENT_DRAIN: an operator asks the daemon to drain and exit
 * @JL_EVENT_CALL: a request has arrived at this entry
 * @JL_EVENT_CALL_RESULT: an attempt has ended
 * @JL_EVENT_CALLER_DISCONNECTED: the originator of a call no longer waits for
 *                                its answer
 * @JL_EVENT_CLAIM_RESULT: a claim of a caller's key has ended
 * @JL_EVENT_WORK: a work item has arrived at this guard
 * @JL_EVENT_WORK_RESULT: a run at the local target has ended
 * @JL_EVENT_MESSAGE: a control message was received
 * @JL_EVENT_SEED: the control endpoint of another daemon became known
 * @JL_EVENT_TYPE_COUNT: number of types
 */
enum jl_event_type
{
  JL_EVENT_TICK,
  JL_EVENT_CONFIG,
  JL_EVENT_ANNOUNCE,
  JL_EVENT_TARGET_LEAVE,
  JL_EVENT_DRAIN,
  JL_EVENT_CALL,
  JL_EVENT_CALL_RESULT,
  JL_EVENT_CALLER_DISCONNECTED,
  JL_EVENT_CLAIM_RESULT,
  JL_EVENT_WORK,
  JL_EVENT_WORK_RESULT,
  JL_EVENT_MESSAGE,
  JL_EVENT_SEED,
  JL_EVENT_TYPE_COUNT,
};

/**
 * struct jl_event_announce - the local target announces that it takes requests
 * @service: name of its service
 * @slots: requests that it runs concurrently
 * @connections: connections that it accepts
 * @started: value that differs after each restart of the target
 */
struct jl_event_announce
{
  char service[JL_NAME_SIZE];
  uint32_t slots;
  uint32_t connections;
  uint64_t started;
};

/**
 * enum jl_key_type - type of the idempotency key of a request
 * @JL_KEY_NONE: no key; a repetition counts as a new request
 * @JL_KEY_TICKET: a ticket that a daemon issued
 * @JL_KEY_CALLER: a key that the caller chose
 */
enum jl_key_type
{
  JL_KEY_NONE,
  JL_KEY_TICKET,
  JL_KEY_CALLER,
};

/**
 * struct jl_event_call - a request has arrived at this entry
 * @call: number assigned by the I/O layer
 * @kind: index in the configuration of @config_version, JL_NONE if no kind
 *        matches
 * @config_version: version of the configuration that @kind refers to
 * @parent: work item during which the local target makes this call, 0 for a
 *          call of a caller
 * @ordinal: number of earlier calls of @kind that @parent made, or a number
 *           that the target assigned
 * @forwarded: whether another daemon forwarded the call to this one, which
 *             issued its ticket
 * @attempt: attempt of the forwarding daemon, only with @forwarded
 * @key_type: type of the idempotency key
 * @ticket: ticket of the request, only with JL_KEY_TICKET
 * @key_hash: hash of the caller's key, only with JL_KEY_CALLER
 * @digest: digest of method, path and body
 * @budget_us: time for which the caller waits, 0 for the deadline of the kind
 * @priority: priority, only with @forwarded; otherwise the reducer sets it
 * @tokens: retry tokens lent with the call, only with @forwarded
 * @invested_us: time already spent on the request by the daemons upstream, only
 *               with @forwarded
 */
struct jl_event_call
{
  uint64_t call;
  uint32_t kind;
  uint64_t config_version;
  uint64_t parent;
  uint32_t ordinal;
  bool forwarded;
  struct jl_attempt_id attempt;
  enum jl_key_type key_type;
  struct jl_ticket ticket;
  uint64_t key_hash;
  uint64_t digest;
  uint64_t budget_us;
  uint32_t priority;
  uint32_t tokens;
  uint64_t invested_us;
};

/**
 * enum jl_send_result - how an attempt ended
 * @JL_SEND_ANSWERED: the other daemon sent a complete answer
 * @JL_SEND_NOT_SENT: no byte of the request was sent
 * @JL_SEND_BROKEN: the connection broke after a part of the request was sent
 * @JL_SEND_TIMEOUT: no complete answer arrived in time
 */
enum jl_send_result
{
  JL_SEND_ANSWERED,
  JL_SEND_NOT_SENT,
  JL_SEND_BROKEN,
  JL_SEND_TIMEOUT,
};

/**
 * struct jl_event_call_result - a JL_EFFECT_SEND or JL_EFFECT_FORWARD has ended
 * @outcome: outcome that the other daemon reports, only with JL_SEND_ANSWERED
 * @reason: reason that the other daemon reports, only with JL_SEND_ANSWERED
 * @no_retry: whether the other daemon reports that a retry cannot succeed
 * @retry_after_ms: delay after which the other daemon asks for a retry, 0 if it
 *                  did not specify one
 * @status: HTTP status of the target, only with JL_OUTCOME_DONE
 * @tokens: unspent retry tokens that the other daemon gave back
 * @report: overload report that the other daemon attached
 */
struct jl_event_call_result
{
  uint64_t call;
  struct jl_attempt_id attempt;
  enum jl_send_result result;
  enum jl_outcome outcome;
  enum jl_reason reason;
  bool no_retry;
  uint32_t retry_after_ms;
  uint32_t status;
  uint32_t tokens;
  struct jl_report report;
};

/**
 * struct jl_event_claim_result - a JL_EFFECT_CLAIM has ended
 * @known: whether the platform confirmed who owns the key
 * @owner_ticket: ticket that the key stands for, only with @known; its issuer
 *                owns the key
 */
struct jl_event_claim_result
{
  uint64_t call;
  bool known;
  struct jl_ticket owner_ticket;
};

/**
 * struct jl_event_work - an attempt of a call has arrived at its guard
 * @work: number assigned by the I/O layer
 * @kind: index in the configuration of @config_version
 * @priority: see JL_PRIORITY_COUNT
 * @invested_us: time already spent on the request by the daemons upstream
 * @budget_us: time left until the deadline
 * @anchor: ticket whose issuer keeps the at-most-once state of the call tree
 * @tokens: retry tokens lent to the attempt
 * @digest: digest of method, path and body
 */
struct jl_event_work
{
  uint64_t work;
  struct jl_attempt_id attempt;
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
 * enum jl_run_result - how a run at the local target ended
 * @JL_RUN_ANSWERED: the target sent a complete response
 * @JL_RUN_NOT_SENT: no byte of the request reached the target
 * @JL_RUN_BROKEN: the connection to the target broke, or the response was
 *                 incomplete
 * @JL_RUN_TIMEOUT: no complete response arrived before the deadline
 * @JL_RUN_ABORTED: the run was aborted by JL_EFFECT_ABORT_WORK
 * @JL_RUN_TOO_LARGE: the response was larger than its kind allows
 */
enum jl_run_result
{
  JL_RUN_ANSWERED,
  JL_RUN_NOT_SENT,
  JL_RUN_BROKEN,
  JL_RUN_TIMEOUT,
  JL_RUN_ABORTED,
  JL_RUN_TOO_LARGE,
};

/**
 * struct jl_event_work_result - a JL_EFFECT_RUN has ended
 * @status: HTTP status of the target, only with JL_RUN_ANSWERED
 */
struct jl_event_work_result
{
  uint64_t work;
  enum jl_run_result result;
  uint32_t status;
};

/**
 * struct jl_event_seed - control endpoint of a daemon that may be running
 *
 * The endpoint comes from the settings or from a row of the platform's table.
 */
struct jl_event_seed
{
  struct jl_endpoint control;
};

/**
 * struct jl_event - an event
 * @now_us: monotonic time; must not decrease from event to event
 */
struct jl_event
{
  enum jl_event_type type;
  uint64_t now_us;
  union
  {
    struct jl_config *config; /* the reducer keeps its own reference */
    struct jl_event_announce announce;
    struct jl_event_call call;
    struct jl_event_call_result call_result;
    uint64_t disconnected_call;
    struct jl_event_claim_result claim_result;
    struct jl_event_work work;
    struct jl_event_work_result work_result;
    const struct jl_message *message;
    struct jl_event_seed seed;
  };
};

#endif
