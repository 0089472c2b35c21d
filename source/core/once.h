#ifndef JACKDAWLADDER_ONCE_H
#define JACKDAWLADDER_ONCE_H

/**
 * DOC: At-most-once execution of requests that are not idempotent.
 *
 * A ticket identifies a request. Only the daemon that issued the ticket grants
 * runs under it: one run at a time, and no further run after one that may have
 * taken place. If that daemon fails or restarts, no more runs are granted under
 * the ticket.
 */

#include "core-impl.h"

struct jl_once *jl_once_new (struct jl_core *core);
void jl_once_drop (struct jl_once *once);

/**
 * jl_once_issue_ticket - returns a new ticket issued by this daemon
 */
struct jl_ticket jl_once_issue_ticket (struct jl_core *core);

/**
 * jl_once_derive_ticket - returns the ticket of a call that a target makes
 * @anchor: anchor of the work item during which the target makes the call
 * @kind: name of the call's kind; its index may differ between configurations
 * @ordinal: see struct jl_event_call
 *
 * The branch of the ticket is a hash of the path down the call tree. At 64 bits
 * a collision between two paths of one tree is very unlikely.
 */
struct jl_ticket jl_once_derive_ticket (struct jl_ticket anchor,
                                        const char *kind,
                                        uint32_t ordinal);

/**
 * jl_once_grant - grants a run of @call under its ticket, which this daemon
 * issued
 *
 * Return: true if the call may be sent; false if it was answered instead.
 */
bool jl_once_grant (struct jl_core *core, struct jl_call *call);

/**
 * jl_once_record_outcome - records the final outcome of a granted run
 * @outcome: after JL_OUTCOME_NOT_RUN another run may be granted
 * @retry_after_ms: proposed retry delay for the caller
 *
 * After JL_OUTCOME_NOT_RUN no run is granted until the retry delay is over: a
 * transmission that arrives earlier may be one that its caller has abandoned.
 *
 * Return: retry delay to give to the caller, at least @retry_after_ms.
 */
uint32_t jl_once_record_outcome (struct jl_core *core,
                                 struct jl_call *call,
                                 enum jl_outcome outcome,
                                 enum jl_reason reason,
                                 uint32_t retry_after_ms);

/**
 * jl_once_find_key - looks up the ticket of a caller's key
 * @ticket: set to the ticket, if the key is found
 *
 * Return: false if the key isn't in the local table.
 */
bool jl_once_find_key (struct jl_core *core,
                       uint64_t key_hash,
                       struct jl_ticket *ticket);

/**
 * jl_once_store_key - stores the ticket of a caller's key, as read from the
 * platform's table
 */
void jl_once_store_key (struct jl_core *core,
                        uint64_t key_hash,
                        struct jl_ticket ticket);

/**
 * jl_once_dump - appends counts of tickets and keys as a JSON object
 */
void jl_once_dump (struct jl_core *core, GString *out);

#endif
