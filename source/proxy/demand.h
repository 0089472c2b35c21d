#ifndef JACKDAWLADDER_PROXY_DEMAND_H
#define JACKDAWLADDER_PROXY_DEMAND_H

/**
 * DOC: The demand of this daemon's clients by route, and the values that are
 * derived from it: which routes carry calls of targets, the call tree and the
 * plan of each route, the zone of calls, and the retry budgets.
 */

#include "proxy/proxy.h"

/**
 * jl_demand_track - returns the demand by a route of the customers of a rank,
 * which it adds if it is new
 * @customer: NULL for none
 *
 * Return: the demand. If JL_DEMAND_ROUTES_MAX are tracked already, that of
 * another rank by the same route, or NULL if there is none.
 */
struct jl_demand *jl_demand_track (struct jl_proxy *proxy,
                                   const struct jl_route *route,
                                   const struct jl_customer *customer);

/**
 * jl_demand_is_call_route - whether a route carries calls of targets
 * @route_key: the route's key
 */
bool jl_demand_is_call_route (const struct jl_proxy *proxy, uint32_t route_key);

/**
 * jl_demand_choose_call_zone - chooses the zone of a call of the local target
 * to
 * @service
 * @draw: random number, uniform from 0 to 1
 */
const char *jl_demand_choose_call_zone (struct jl_proxy *proxy,
                                        const char *service,
                                        double draw);

/**
 * jl_demand_retry_budget - returns the retry budget of a service, which it adds
 * if it is new
 *
 * Return: the budget, or NULL if JL_BUDGET_SERVICES_MAX services are tracked
 * already.
 */
struct jl_retry_budget *jl_demand_retry_budget (struct jl_proxy *proxy,
                                                const char *service);

/**
 * jl_demand_retry_policy - returns the limits of the retry budgets, from the
 * options and the number of known daemons
 */
struct jl_retry_budget_policy jl_demand_retry_policy (struct jl_proxy *proxy);

/**
 * jl_demand_spend_retry - charges a retry of a request by @route to the budgets
 * of all services in its call tree
 *
 * Return: whether all budgets allow the retry; otherwise nothing is charged.
 */
bool jl_demand_spend_retry (struct jl_proxy *proxy,
                            const struct jl_site *site,
                            const struct jl_route *route);

/**
 * jl_demand_end_window - updates the demand and the plans of all routes at the
 * end of a control window
 */
void jl_demand_end_window (struct jl_proxy *proxy);

#endif
