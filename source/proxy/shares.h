#ifndef JACKDAWLADDER_PROXY_SHARES_H
#define JACKDAWLADDER_PROXY_SHARES_H

/**
 * DOC: Customers that compete for capacity, at the entry and at the guard.
 *
 * Without customers in the configuration, admission is decided by the plans
 * alone and the queue has its order of before.
 */

#include "proxy/call.h"
#include "proxy/guard.h"

/**
 * jl_shares_rank - returns the rank of a request: the customer's rank goes
 * before the rank of the route
 */
unsigned jl_shares_rank (const struct jl_call *call);

/**
 * jl_shares_choose_zone - decides whether a client's request is admitted
 *
 * Return: its zone, or NULL when it is refused.
 */
const char *jl_shares_choose_zone (struct jl_call *call,
                                   const struct jl_demand *demand);

/**
 * jl_shares_refusal_reason - returns why jl_shares_choose_zone() refused a
 * request
 */
const char *jl_shares_refusal_reason (const struct jl_call *call);

/**
 * jl_shares_end_window - updates the levels of all pools from the plans of the
 * new control window
 */
void jl_shares_end_window (struct jl_proxy *proxy);

/**
 * jl_shares_prepare_work - sets the queue item of work that has arrived at the
 * guard
 */
void jl_shares_prepare_work (struct jl_work *work);

/**
 * jl_shares_record_hold - records the time for which work held its slot
 */
void jl_shares_record_hold (struct jl_work *work, uint64_t held_us);

/**
 * jl_shares_append_state - appends the lines of the /state page: the ranks of
 * the queue, and the customers with the most refused requests
 */
void jl_shares_append_state (const struct jl_proxy *proxy, GString *text);

#endif
