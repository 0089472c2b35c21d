#ifndef JACKDAWLADDER_EVENT_H
#define JACKDAWLADDER_EVENT_H

/**
 * DOC: Events, all that the reducer ever hears of.
 *
 * Two roles of a daemon show in their names. A *call* is a request at the
 * daemon that took it from a caller, or from its own target (entry). A *work*
 * item is one sending of a call at the daemon of the target that is to run it
 * (guard). Calls and works are numbered by the edge of the daemon; a number
 * is never used twice in one life.
 */

#include "jackdawladder/config.h"
#include "jackdawladder/message.h"

/* Services in the report of one answer. */
#define JL_REPORT_MAX 32

/**
 * struct jl_report_item - state of a service that an answer passed through
 * @service: index in the configuration
 * @level: lowest priority that it refuses; JL_PRIORITY_COUNT refuses none
 */
struct jl_report_item
{
  uint32_t service;
  uint32_t level;
};

/**
 * struct jl_report - what an answer says of the services below it
 * @load_permille: requests in progress per slot at the answering daemon
 */
struct jl_report
{
  uint32_t load_permille;
  uint32_t count;
  struct jl_report_item items[JL_REPORT_MAX];
};

enum jl_event_type
{
  JL_EVENT_TICK,
  JL_EVENT_CONFIG,
  JL_EVENT_ANNOUNCE,
  JL_EVENT_TARGET_LEAVE,
  JL_EVENT_DRAIN,
  JL_EVENT_CALL,
  JL_EVENT_CALL_RESULT,
  JL_EVENT_CALL_GONE,
  JL_EVENT_CLAIM_RESULT,
  JL_EVENT_WORK,
  JL_EVENT_WORK_RESULT,
  JL_EVENT_MESSAGE,
  JL_EVENT_SEED,
  JL_EVENT_TYPE_COUNT,
};

/**
 * struct jl_event_announce - the own target says that it takes work
 * @started: differs in each life of the target
 */
struct jl_event_announce
{
  char service[JL_NAME_SIZE];
  uint32_t slots;
  uint32_t connections;
  uint64_t started;
};

/**
 * enum jl_key_type - how a request is told from its repetitions
 * @JL_KEY_NONE: by nothing; a repetition is a new request
 * @JL_KEY_TICKET: by a ticket that a daemon minted
 * @JL_KEY_CALLER: by a key of the caller's own
 */
enum jl_key_type
{
  JL_KEY_NONE,
  JL_KEY_TICKET,
  JL_KEY_CALLER,
};

/**
 * struct jl_event_call - a request arrives
 * @call: number given by the edge
 * @kind: index in the configuration of @config_version, JL_NONE if none fits
 * @parent: work during which the own target makes this call, 0 for a caller
 * @ordinal: how many calls of @kind @parent made before, or given by it
 * @forwarded: sent on by another daemon to the issuer of its ticket
 * @attempt: with @forwarded only, that daemon's sending
 * @key_hash: hash of a caller's key, with JL_KEY_CALLER
 * @digest: digest of method, path and body
 * @budget_us: how long the caller waits, 0 for as long as the kind allows
 * @priority: with @forwarded only; else the reducer sets it
 * @tokens: with @forwarded only, retry tokens lent with it
 * @invested_us: with @forwarded only, work already done up the chain
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
 * enum jl_send_result - how a sending to another daemon ended
 * @JL_SEND_ANSWERED: with a whole answer of the other daemon
 * @JL_SEND_NOT_SENT: no byte of the request left this process
 * @JL_SEND_BROKEN: the connection broke after the request left
 * @JL_SEND_TIMEOUT: no whole answer in time
 */
enum jl_send_result
{
  JL_SEND_ANSWERED,
  JL_SEND_NOT_SENT,
  JL_SEND_BROKEN,
  JL_SEND_TIMEOUT,
};

/**
 * struct jl_event_call_result - a JL_EFFECT_SEND or JL_EFFECT_FORWARD ended
 * @outcome: said by the other daemon, with JL_SEND_ANSWERED
 * @reason: likewise
 * @no_retry: the other daemon says that no retry is useful
 * @retry_after_ms: likewise, 0 when it said none
 * @status: HTTP status of the target, with JL_OUTCOME_DONE
 * @tokens: unspent retry tokens that came back
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
 * struct jl_event_claim_result - a JL_EFFECT_CLAIM ended
 * @known: whether the platform gave a certain answer
 * @owner: the daemon whose claim stands, with @known
 * @owner_ticket: the ticket that it minted for the key
 */
struct jl_event_claim_result
{
  uint64_t call;
  bool known;
  struct jl_ticket owner_ticket;
};

/**
 * struct jl_event_work - a sending of a call arrives at its guard
 * @work: number given by the edge
 * @priority: see JL_PRIORITY_COUNT
 * @invested_us: work already done for the request up the chain
 * @budget_us: time left until its deadline
 * @anchor: names the daemon that keeps the at-most-once state of this tree
 * @tokens: retry tokens lent with it
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
 * enum jl_run_result - how a run at the own target ended
 * @JL_RUN_ANSWERED: whole answer
 * @JL_RUN_NOT_SENT: no byte of the request reached the target
 * @JL_RUN_BROKEN: the target's connection broke, or the answer was not whole
 * @JL_RUN_TIMEOUT: no whole answer before the deadline
 * @JL_RUN_ABORTED: stopped by JL_EFFECT_ABORT
 * @JL_RUN_TOO_LARGE: the answer was larger than its kind allows
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

struct jl_event_work_result
{
  uint64_t work;
  enum jl_run_result result;
  uint32_t status;
};

/**
 * struct jl_event_seed - a daemon may be reached there
 *
 * From the settings, or from a row in the platform's table.
 */
struct jl_event_seed
{
  struct jl_endpoint control;
};

/**
 * struct jl_event - one event
 * @now_us: monotonic time; never goes back from event to event
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
    uint64_t call_gone;
    struct jl_event_claim_result claim_result;
    struct jl_event_work work;
    struct jl_event_work_result work_result;
    const struct jl_message *message;
    struct jl_event_seed seed;
  };
};

#endif
