#ifndef JACKDAWLADDER_EXCHANGE_H
#define JACKDAWLADDER_EXCHANGE_H

/**
 * DOC: Processing of calls and work items in the server threads.
 */

#include "daemon/daemon.h"
#include "jackdawladder/peer.h"

/**
 * struct jl_work_run - a work item and its result
 * @event: filled by the caller, except for the work number, kind and
 *         configuration version, which jl_work_run_execute() sets
 * @kind: name of the request kind
 * @method: HTTP method of the request
 * @target: path and query of the request
 * @finish: receives the outcome
 * @status: receives the target's HTTP status, with JL_OUTCOME_DONE
 * @response: receives the target's response, with JL_OUTCOME_DONE;
 *            initialized by the caller
 * @config: receives a reference to the configuration used, or NULL
 */
struct jl_work_run
{
  struct jl_event_work event;
  const char *kind;
  const char *method;
  const char *target;
  const struct jl_http_message *request;
  struct jl_effect_finish finish;
  uint32_t status;
  struct jl_http_message response;
  struct jl_config *config;
};

/**
 * jl_work_run_execute - admits one work item and runs it at the target
 *
 * Blocks until the work item is refused or its result is known.
 */
void jl_work_run_execute (struct jl_daemon *daemon, struct jl_work_run *run);

/**
 * struct jl_call_origin - where a call at this entry comes from
 * @parent: number of the work item that makes the call, 0 for a caller
 * @ordinal: number of calls of the same kind that @parent made before; JL_NONE
 *           lets the daemon count them
 * @forward: header set by the daemon that forwarded the call, or NULL
 */
struct jl_call_origin
{
  uint64_t parent;
  uint32_t ordinal;
  const struct jl_peer_forward *forward;
};

/**
 * jl_serve_call - processes one call and fills in its response
 */
void jl_serve_call (struct jl_daemon *daemon,
                    struct jl_http_exchange *exchange,
                    const struct jl_call_origin *origin);

/**
 * jl_respond_text - responds with a status and one line of plain text
 */
void jl_respond_text (struct jl_http_exchange *exchange,
                      uint32_t status,
                      const char *text);

#endif
