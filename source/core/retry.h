#ifndef JACKDAWLADDER_RETRY_H
#define JACKDAWLADDER_RETRY_H

/**
 * DOC: Retries: tokens for a whole tree of calls, and a ratio per service.
 *
 * Tokens are lent down with a sending, and the unspent ones come back with
 * its answer. A lost answer loses tokens; nothing makes them.
 *
 * The ratio does not count a sending after a refusal for overload: nothing ran,
 * and the refusal has told which priorities to keep away from that target.
 */

#include "core-impl.h"

struct jl_retry *jl_retry_new (struct jl_core *core);
void jl_retry_drop (struct jl_retry *retry);

/**
 * jl_retry_lend - takes tokens from the call's pool for its next sending
 */
uint32_t jl_retry_lend (struct jl_core *core, struct jl_call *call);

/**
 * jl_retry_return - gives unspent tokens back to the call's pool
 * @tokens: more than were lent is cut to what was lent; 0 when the sending's
 *          answer is lost
 */
void
jl_retry_return (struct jl_core *core, struct jl_call *call, uint32_t tokens);

/**
 * jl_retry_earn_budget - a call's first sending; it earns its service's ratio
 */
void jl_retry_earn_budget (struct jl_core *core, uint32_t service);

/**
 * jl_retry_spend - takes one token for a retry
 *
 * Return: false when the tree has none left, or the service's ratio is spent.
 */
bool jl_retry_spend (struct jl_core *core, struct jl_call *call);

/**
 * jl_retry_tokens_left - tokens left in the call's pool
 */
uint32_t jl_retry_tokens_left (const struct jl_call *call);

#endif
