#ifndef JACKDAWLADDER_PROXY_MATCH_H
#define JACKDAWLADDER_PROXY_MATCH_H

/**
 * DOC: Whether a response on the connection of a request belongs to it.
 */

#include "proxy/guard.h"
#include "proxy/refused.h"

/* Status of a target's response if the request was sent to another incarnation
 * of the target. The request has not run. */
#define JL_STATUS_MISDIRECTED 421

/**
 * enum jl_match - whether a response belongs to a request
 * @JL_MATCH_OWN: it does
 * @JL_MATCH_FOREIGN: it does not
 * @JL_MATCH_UNKNOWN: it cannot be told
 */
enum jl_match
{
  JL_MATCH_OWN,
  JL_MATCH_FOREIGN,
  JL_MATCH_UNKNOWN,
};

/**
 * jl_match_hash - returns the hash of an identifier
 */
uint64_t jl_match_hash (const char *id);

/**
 * jl_match_says_not_run - whether the target states in a response that it has
 * not run the request
 */
bool jl_match_says_not_run (const struct jl_head *head);

/**
 * jl_match_response - returns how certain it is that the response that has come
 * belongs to the request
 *
 * The target has to echo the attempt identifier if the request has one. A
 * target may refuse without reading the identifier, but on a connection that
 * has carried other requests such a refusal may be of any of them. After a
 * response to another request, the target's statement that it has not run this
 * one cannot be told from an additional response either.
 */
enum jl_match jl_match_response (const struct jl_work *work);

/**
 * jl_match_attempt_mark - returns the mark of connections on which the attempt
 * was refused, 0 if the request has no identifier
 */
uint64_t jl_match_attempt_mark (const struct jl_work *work);

/**
 * jl_match_mark_refused - remembers that the target has refused the attempt
 *
 * The target may write the refusal once more. On its connection the attempt
 * must not come again, and no other attempt if the refusal names none.
 */
void jl_match_mark_refused (struct jl_work *work);

/**
 * jl_match_needs_new_conn - whether an earlier response could not be told from
 * that of the request on a connection that was used before
 *
 * This is so without an identifier, and if the target has refused the attempt
 * before: a copy of that refusal may come on any connection.
 */
bool jl_match_needs_new_conn (const struct jl_work *work);

#endif
