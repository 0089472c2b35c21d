#ifndef JACKDAWLADDER_ENTRY_IMPL_H
#define JACKDAWLADDER_ENTRY_IMPL_H

/**
 * DOC: What the files of the entry share with each other.
 *
 * entry.c takes calls up to their first sending, entry-send.c chooses and
 * sends, entry-result.c handles results, entry-stop.c stops calls.
 */

#include "entry.h"

/**
 * jl_call_kind - the kind of a call, in its own configuration
 */
const struct jl_kind *jl_call_kind (const struct jl_call *call);

/**
 * jl_entry_end - ends a call that was sent, or was refused before it was
 */
struct jl_effect_answer *jl_entry_end (struct jl_core *core,
                                       struct jl_call *call,
                                       enum jl_outcome outcome,
                                       enum jl_reason reason);

/**
 * jl_entry_report_service - tells the parent what the service of @call refuses
 */
void jl_entry_report_service (struct jl_core *core, struct jl_call *call);

/**
 * jl_call_receiver - the life of the daemon that the sending in progress went
 * to
 */
struct jl_identity jl_call_receiver (const struct jl_call *call);

/**
 * jl_entry_send_cancel - asks the receiver to cancel the sending in progress
 */
void jl_entry_send_cancel (struct jl_core *core, const struct jl_call *call);

/**
 * jl_entry_note_result - tells placement how the sending in progress ended
 */
void jl_entry_note_result (struct jl_core *core,
                           const struct jl_call *call,
                           const struct jl_event_call_result *event);

#endif
