#ifndef JACKDAWLADDER_CANCEL_H
#define JACKDAWLADDER_CANCEL_H

/**
 * DOC: Cancellations of attempts at the daemons that received them.
 *
 * Control messages may be lost. The cancellation of a forwarded call, whose
 * reply no call waits for, is therefore repeated until a reply arrives.
 */

#include "core-impl.h"

struct jl_cancel_table *jl_cancel_table_new (struct jl_core *core);
void jl_cancel_table_drop (struct jl_cancel_table *table);

/**
 * jl_cancel_send - sends one cancellation
 * @to: identity of the daemon to which @attempt was sent
 */
void jl_cancel_send (struct jl_core *core,
                     struct jl_identity to,
                     struct jl_attempt_id attempt);

/**
 * jl_cancel_send_until_answered - sends cancellations until a reply arrives
 * @to: identity of the daemon to which @attempt was sent
 *
 * The number of cancellations per attempt is limited.
 */
void jl_cancel_send_until_answered (struct jl_core *core,
                                    struct jl_identity to,
                                    struct jl_attempt_id attempt);

/**
 * jl_cancel_answered - stops the cancellations of @attempt after a reply to one
 * of them
 */
void jl_cancel_answered (struct jl_core *core, struct jl_attempt_id attempt);

#endif
