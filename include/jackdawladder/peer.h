#ifndef JACKDAWLADDER_PEER_H
#define JACKDAWLADDER_PEER_H

/**
 * DOC: Headers of the calls that one daemon sends to another.
 *
 * Kinds and services go by name, since two daemons may have different
 * configurations in force for a moment.
 */

#include "jackdawladder/effect.h"
#include "jackdawladder/http.h"

#define JL_PEER_CALL_HEADER "Jl-Call"
#define JL_PEER_FORWARD_HEADER "Jl-Forward"
#define JL_PEER_ANSWER_HEADER "Jl-Answer"
#define JL_PEER_REPORT_HEADER "Jl-Report"

/**
 * struct jl_peer_call - what goes with a call to a guard
 * @kind: name of the kind
 */
struct jl_peer_call
{
  struct jl_attempt_id attempt;
  uint32_t priority;
  uint64_t invested_us;
  uint64_t budget_us;
  struct jl_ticket anchor;
  uint32_t tokens;
  uint64_t digest;
  char kind[JL_NAME_SIZE];
};

void jl_peer_add_call (struct jl_http_message *message,
                       const struct jl_peer_call *call);

/**
 * jl_peer_get_call - Return: false when the header is missing or malformed
 */
bool jl_peer_get_call (const struct jl_http_message *message,
                       struct jl_peer_call *call);

/**
 * struct jl_peer_forward - what goes with a call to the issuer of its ticket
 */
struct jl_peer_forward
{
  struct jl_attempt_id attempt;
  struct jl_ticket ticket;
  uint32_t priority;
  uint64_t invested_us;
  uint64_t budget_us;
  uint32_t tokens;
  uint64_t digest;
  char kind[JL_NAME_SIZE];
};

void jl_peer_add_forward (struct jl_http_message *message,
                          const struct jl_peer_forward *forward);
bool jl_peer_get_forward (const struct jl_http_message *message,
                          struct jl_peer_forward *forward);

/**
 * struct jl_peer_answer - what goes with the answer to either
 */
struct jl_peer_answer
{
  struct jl_attempt_id attempt;
  enum jl_outcome outcome;
  enum jl_reason reason;
  bool no_retry;
  uint32_t retry_after_ms;
  uint32_t tokens;
  struct jl_report report;
};

void jl_peer_add_answer (struct jl_http_message *message,
                         const struct jl_peer_answer *answer,
                         const struct jl_config *config);
bool jl_peer_get_answer (const struct jl_http_message *message,
                         struct jl_peer_answer *answer,
                         const struct jl_config *config);

#endif
