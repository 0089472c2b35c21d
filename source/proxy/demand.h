#ifndef JACKDAWLADDER_PROXY_DEMAND_H
#define JACKDAWLADDER_PROXY_DEMAND_H

/**
 * DOC: What clients ask for, and what follows from it for each route: whether
 * its requests are calls of targets, which services they need, what becomes of
 * them until the next window, and what may be repeated.
 */

#include "proxy/proxy.h"

/**
 * jl_demand_of - the demand by a route, NULL when too many are tracked
 */
struct jl_demand *jl_demand_of (struct jl_proxy *proxy,
                                const struct jl_route *route);

/**
 * jl_demand_is_call - whether a route carries calls of targets
 */
bool jl_demand_is_call (const struct jl_proxy *proxy, uint32_t route);

/**
 * jl_demand_call_zone - where a call of the own target to @service goes
 * @draw: uniform, 0 to 1
 */
const char *
jl_demand_call_zone (struct jl_proxy *proxy, const char *service, double draw);

/**
 * jl_demand_budget - the retry budget of a service, NULL when too many are
 * tracked
 */
struct jl_budget *jl_demand_budget (struct jl_proxy *proxy,
                                    const char *service);

struct jl_budget_terms jl_demand_terms (struct jl_proxy *proxy);

/**
 * jl_demand_spend_repeat - takes a repeat of a request by @route out of the
 * budgets of all services that it runs at
 *
 * Return: whether they allow it; nothing is taken otherwise.
 */
bool jl_demand_spend_repeat (struct jl_proxy *proxy,
                             const struct jl_site *site,
                             const struct jl_route *route);

/**
 * jl_demand_window - a control window has ended: new plans for all routes
 */
void jl_demand_window (struct jl_proxy *proxy);

#endif
