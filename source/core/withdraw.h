#ifndef JACKDAWLADDER_WITHDRAW_H
#define JACKDAWLADDER_WITHDRAW_H

/**
 * DOC: Cancellations of sendings, repeated where nobody waits for the reply.
 */

#include "core-impl.h"

struct jl_withdraw *jl_withdraw_new (struct jl_core *core);
void jl_withdraw_drop (struct jl_withdraw *withdraw);

/**
 * jl_withdraw_send - sends one cancellation
 * @to: the life of the daemon that @attempt went to
 */
void jl_withdraw_send (struct jl_core *core,
                       struct jl_identity to,
                       struct jl_attempt_id attempt);

/**
 * jl_withdraw_begin - sends cancellations until one is answered
 */
void jl_withdraw_begin (struct jl_core *core,
                        struct jl_identity to,
                        struct jl_attempt_id attempt);

/**
 * jl_withdraw_answered - a cancellation was answered, in whichever way
 */
void jl_withdraw_answered (struct jl_core *core, struct jl_attempt_id attempt);

#endif
