#ifndef JACKDAWLADDER_EXCHANGE_H
#define JACKDAWLADDER_EXCHANGE_H

/**
 * DOC: A request's way through the threads of the edge.
 */

#include "daemon/daemon.h"
#include "jackdawladder/peer.h"

/**
 * struct jl_run - a work item and its answer
 * @event: without the fields that jl_run_work() fills: work, kind and
 *         configuration version
 * @kind: name of its kind
 * @status: of the target, with JL_OUTCOME_DONE
 * @answer: likewise; initialized by the caller
 * @config: receives a reference to the configuration used, or NULL
 */
struct jl_run
{
  struct jl_event_work event;
  const char *kind;
  const char *method;
  const char *target;
  const struct jl_http_message *request;
  struct jl_effect_finish finish;
  uint32_t status;
  struct jl_http_message answer;
  struct jl_config *config;
};

/**
 * jl_run_work - takes one work item from arrival to its end at this guard
 */
void jl_run_work (struct jl_daemon *daemon, struct jl_run *run);

/**
 * struct jl_incoming - a call that arrives at this entry
 * @parent: work that makes it, 0 for a caller
 * @ordinal: JL_NONE lets the daemon count
 * @forward: headers of the daemon that sent it on, or NULL
 */
struct jl_incoming
{
  uint64_t parent;
  uint32_t ordinal;
  const struct jl_peer_forward *forward;
};

/**
 * jl_serve_call - takes one call from arrival to its answer
 */
void jl_serve_call (struct jl_daemon *daemon,
                    struct jl_http_exchange *exchange,
                    const struct jl_incoming *incoming);

/**
 * jl_answer_plain - answers with a status and a line of text
 */
void jl_answer_plain (struct jl_http_exchange *exchange,
                      uint32_t status,
                      const char *text);

#endif
