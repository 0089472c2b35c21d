#ifndef JACKDAWLADDER_ENTRY_H
#define JACKDAWLADDER_ENTRY_H

/**
 * DOC: The entry, which takes calls from callers and from the local target.
 */

#include "core-impl.h"

/**
 * jl_entry_call - handles the arrival of a call
 */
void jl_entry_call (struct jl_core *core, const struct jl_event_call *event);

/**
 * jl_entry_result - handles the result of an attempt
 *
 * A result that does not belong to the attempt in progress is ignored.
 */
void jl_entry_result (struct jl_core *core,
                      const struct jl_event_call_result *event);

/**
 * jl_entry_caller_disconnected - cancels the call with number @call, whose
 * originator no longer waits for the answer
 */
void jl_entry_caller_disconnected (struct jl_core *core, uint64_t call);

/**
 * jl_entry_claim_result - handles the result of a claim of a caller's key
 */
void jl_entry_claim_result (struct jl_core *core,
                            const struct jl_event_claim_result *event);

/**
 * jl_entry_cancel_reply - handles a guard's reply to a cancellation
 */
void jl_entry_cancel_reply (struct jl_core *core,
                            const struct jl_message *message);

/**
 * jl_entry_work_ended - cancels the calls that were made by @work, which has
 * ended or was cancelled
 */
void jl_entry_work_ended (struct jl_core *core, struct jl_work *work);

/**
 * jl_entry_member_lost - retries the idempotent calls that were sent to
 * @member, which no longer responds
 *
 * Calls that are not allowed a retry keep waiting for their attempt.
 */
void jl_entry_member_lost (struct jl_core *core, uint64_t member);

/**
 * jl_entry_dispatch - chooses a target for @call and sends it there
 *
 * If no attempt is possible or allowed, the call ends with an answer. Used for
 * the first attempt and for retries.
 */
void jl_entry_dispatch (struct jl_core *core, struct jl_call *call);

/**
 * jl_entry_forward - forwards @call to the daemon that issued its ticket
 */
void jl_entry_forward (struct jl_core *core, struct jl_call *call);

/**
 * jl_entry_answer - emits the final answer of @call and frees the call
 *
 * Return: the answer, so that the caller can fill in the remaining fields.
 */
struct jl_effect_answer *jl_entry_answer (struct jl_core *core,
                                          struct jl_call *call,
                                          enum jl_outcome outcome,
                                          enum jl_reason reason);

#endif
