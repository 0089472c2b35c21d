#ifndef JACKDAWLADDER_ENTRY_H
#define JACKDAWLADDER_ENTRY_H

/**
 * DOC: The entry, where calls of callers and of the own target come in.
 */

#include "core-impl.h"

void jl_entry_call (struct jl_core *core, const struct jl_event_call *event);
void jl_entry_result (struct jl_core *core,
                      const struct jl_event_call_result *event);
void jl_entry_gone (struct jl_core *core, uint64_t call);
void jl_entry_claim_result (struct jl_core *core,
                            const struct jl_event_claim_result *event);

/**
 * jl_entry_cancelled - a guard answers a cancellation
 */
void jl_entry_cancelled (struct jl_core *core,
                         const struct jl_message *message);

/**
 * jl_entry_work_ended - the work that made some calls is over; they are
 * stopped
 */
void jl_entry_work_ended (struct jl_core *core, struct jl_work *work);

/**
 * jl_entry_member_lost - @member is silent; idempotent calls that were sent
 * there go elsewhere, as far as their tokens allow
 */
void jl_entry_member_lost (struct jl_core *core, uint64_t member);

/**
 * jl_entry_proceed - chooses a target for @call and sends it there, or answers
 *
 * For a new call, and for a call that is to be retried.
 */
void jl_entry_proceed (struct jl_core *core, struct jl_call *call);

/**
 * jl_entry_forward - sends @call on to the issuer of its ticket
 */
void jl_entry_forward (struct jl_core *core, struct jl_call *call);

/**
 * jl_entry_answer - gives @call its final answer and frees it
 *
 * Return: the JL_EFFECT_ANSWER, for its remaining fields.
 */
struct jl_effect_answer *jl_entry_answer (struct jl_core *core,
                                          struct jl_call *call,
                                          enum jl_outcome outcome,
                                          enum jl_reason reason);

#endif
