#ifndef JACKDAWLADDER_RETRY_H
#define JACKDAWLADDER_RETRY_H

/**
 * DOC: Retry budgets: tokens for a tree of calls, and a ratio per service.
 *
 * Each attempt carries retry tokens down the call tree, and its answer returns
 * the unspent tokens. If an answer is lost, so are its tokens. Tokens are
 * created only at the root of the tree.
 *
 * The second budget limits the retries to a service to a percentage of the
 * first attempts. A retry after an overload refusal is not charged to this
 * budget: nothing ran, and the refusal reported which priorities the target
 * refuses, so that placement avoids the target.
 */

#include "core-impl.h"

struct jl_retry *jl_retry_new (struct jl_core *core);
void jl_retry_drop (struct jl_retry *retry);

/**
 * jl_retry_lend - takes tokens from the call's pool for its next attempt
 *
 * Return: the number of tokens lent: half of the pool, rounded up.
 */
uint32_t jl_retry_lend (struct jl_core *core, struct jl_call *call);

/**
 * jl_retry_return - returns unspent tokens of an attempt to the call's pool
 * @tokens: tokens that the answer returned, capped at the number lent; 0 when
 *          the answer was lost
 */
void
jl_retry_return (struct jl_core *core, struct jl_call *call, uint32_t tokens);

/**
 * jl_retry_earn_budget - credits the retry budget of a service for the first
 * attempt of a call
 */
void jl_retry_earn_budget (struct jl_core *core, uint32_t service);

/**
 * jl_retry_spend - charges a retry to the call's tokens and, unless it follows
 * an overload refusal, to the budget of its service
 *
 * Return: false if the retry is not allowed because the call has no token left
 * or the budget of its service is used up.
 */
bool jl_retry_spend (struct jl_core *core, struct jl_call *call);

/**
 * jl_retry_tokens_left - returns the number of tokens left in the call's pool
 */
uint32_t jl_retry_tokens_left (const struct jl_call *call);

#endif
