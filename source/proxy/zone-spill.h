#ifndef JACKDAWLADDER_PROXY_ZONE_SPILL_H
#define JACKDAWLADDER_PROXY_ZONE_SPILL_H

/**
 * DOC: Sends requests and calls to another zone where that zone completes them
 * sooner, before the local targets have to refuse any.
 */

#include "policy/spill.h"
#include "proxy/call.h"

/* Maximum number of routes with a share; others stay in their zone. */
#define JL_SPILL_ROUTES_MAX 32

/**
 * struct jl_route_spill - share of one route
 * @route_key: the route's key
 */
struct jl_route_spill
{
  uint32_t route_key;
  struct jl_spill spill;
};

/**
 * struct jl_spill_table - shares of all routes
 */
struct jl_spill_table
{
  unsigned count;
  struct jl_route_spill routes[JL_SPILL_ROUTES_MAX];
};

/**
 * jl_spill_best_offer - returns the offer of the zone that gains most
 * @tree: runs that one request causes
 *
 * The gain is summed over all runs of the tree, since a request's calls stay in
 * the zone to which it is sent.
 */
struct jl_spill_offer jl_spill_best_offer (const struct jl_roster *roster,
                                           const struct jl_call_tree *tree,
                                           uint64_t now_us);

/**
 * jl_spill_has_received - whether the local zone has received work for a
 * service of @tree from another zone lately
 */
bool jl_spill_has_received (const struct jl_roster *roster,
                            const struct jl_call_tree *tree,
                            uint64_t now_us);

/**
 * jl_spill_choose_zone - chooses the zone of a request
 * @zone: zone that the plans have chosen, NULL if it is refused
 *
 * Return: @zone, or another zone instead of the local one.
 */
const char *jl_spill_choose_zone (struct jl_call *call, const char *zone);

#endif
