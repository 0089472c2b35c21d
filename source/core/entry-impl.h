#ifndef JACKDAWLADDER_ENTRY_IMPL_H
#define JACKDAWLADDER_ENTRY_IMPL_H

/**
 * DOC: Declarations shared by the source files of the entry.
 *
 * entry.c handles new calls and final answers, entry-send.c chooses targets
 * and sends calls, entry-result.c handles results, entry-cancel.c cancels
 * calls.
 */

#include "entry.h"

/**
 * jl_call_kind - returns the kind of @call, from the configuration under which
 * the call arrived
 */
const struct jl_kind *jl_call_kind (const struct jl_call *call);

/**
 * jl_entry_finish - ends a call that was sent, or that was refused before its
 * first attempt
 *
 * Records the outcome under the call's ticket if the call is at-most-once,
 * emits the answer and frees the call.
 *
 * Return: the answer, so that the caller can fill in the remaining fields.
 */
struct jl_effect_answer *jl_entry_finish (struct jl_core *core,
                                          struct jl_call *call,
                                          enum jl_outcome outcome,
                                          enum jl_reason reason);

/**
 * jl_entry_report_level - adds the admission level of @call's service to the
 * report of its parent
 */
void jl_entry_report_level (struct jl_core *core, struct jl_call *call);

/**
 * jl_call_receiver - returns the identity of the daemon to which the attempt in
 * progress was sent
 */
struct jl_identity jl_call_receiver (const struct jl_call *call);

/**
 * jl_entry_send_cancel - asks the receiver to cancel the attempt in progress
 */
void jl_entry_send_cancel (struct jl_core *core, const struct jl_call *call);

/**
 * jl_entry_record_result - passes the result of the attempt in progress to
 * placement
 */
void jl_entry_record_result (struct jl_core *core,
                             const struct jl_call *call,
                             const struct jl_event_call_result *event);

#endif
