#ifndef JACKDAWLADDER_PEER_H
#define JACKDAWLADDER_PEER_H

/**
 * DOC: HTTP headers of the calls between daemons.
 *
 * Kinds and services are sent by name, not by index, because two daemons may
 * briefly run with different configurations.
 */

#include "jackdawladder/effect.h"
#include "jackdawladder/http.h"

#define JL_PEER_CALL_HEADER "Jl-Call"
#define JL_PEER_FORWARD_HEADER "Jl-Forward"
#define JL_PEER_ANSWER_HEADER "Jl-Answer"
#define JL_PEER_REPORT_HEADER "Jl-Report"

/**
 * struct jl_peer_call - header of a call that is sent to a guard
 * @attempt: identifies this sending of the call
 * @invested_us: work already done for the request by upstream services
 * @budget_us: time left until the deadline
 * @anchor: names the daemon that holds the at-most-once state of this tree
 * @tokens: retry tokens lent to the receiver
 * @digest: hash of method, path and body
 * @kind: name of the request kind
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

/**
 * jl_peer_add_call - appends the Jl-Call header
 */
void jl_peer_add_call (struct jl_http_message *message,
                       const struct jl_peer_call *call);

/**
 * jl_peer_get_call - parses the Jl-Call header
 *
 * Return: false when the header is missing or malformed.
 */
bool jl_peer_get_call (const struct jl_http_message *message,
                       struct jl_peer_call *call);

/**
 * struct jl_peer_forward - header of a call that is forwarded
 * @ticket: the request's ticket; the call goes to the daemon that issued it
 *
 * The other fields are those of struct jl_peer_call.
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

/**
 * jl_peer_add_forward - appends the Jl-Forward header
 */
void jl_peer_add_forward (struct jl_http_message *message,
                          const struct jl_peer_forward *forward);

/**
 * jl_peer_get_forward - parses the Jl-Forward header
 *
 * Return: false when the header is missing or malformed.
 */
bool jl_peer_get_forward (const struct jl_http_message *message,
                          struct jl_peer_forward *forward);

/**
 * struct jl_peer_answer - headers of the response to either kind of call
 * @attempt: copied from the request
 * @no_retry: a retry would be of no use
 * @retry_after_ms: delay before a retry, 0 if not given
 * @tokens: unspent retry tokens that are returned
 * @report: load of the services that the response passed through
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

/**
 * jl_peer_add_answer - appends the Jl-Answer and Jl-Report headers
 * @config: gives the names of services; NULL omits Jl-Report
 */
void jl_peer_add_answer (struct jl_http_message *message,
                         const struct jl_peer_answer *answer,
                         const struct jl_config *config);

/**
 * jl_peer_get_answer - parses the Jl-Answer and Jl-Report headers
 * @config: maps the names of services to indices
 *
 * Return: false when Jl-Answer is missing or malformed.
 */
bool jl_peer_get_answer (const struct jl_http_message *message,
                         struct jl_peer_answer *answer,
                         const struct jl_config *config);

#endif
