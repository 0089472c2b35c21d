#ifndef JACKDAWLADDER_PROXY_PLAN_H
#define JACKDAWLADDER_PROXY_PLAN_H

/**
 * DOC: Plans for each control window which share of the requests and calls is
 * admitted, and in which zone.
 *
 * The plans handle overload deep in the call graph. A client's request is
 * admitted or refused as a whole, before any part of it runs: the call tree
 * gives the services that its calls will reach, and each service announces the
 * share of its demand that has to be refused. That share is taken from the
 * least important requests first and, among equally important ones, from those
 * that cause the most runs at the service. When the local zone has no capacity
 * left and another zone has some, or refuses less, the whole request goes
 * there, so that only its first message crosses zones. Calls of a request that
 * has begun are never refused here. They stay in their zone while its targets
 * have capacity for them.
 */

#include "proxy/place.h"

/**
 * struct jl_plan - the plan for a route's requests until the next window
 * @zone: zone of the admitted requests
 * @admit_share: share of the requests that is admitted there
 * @limiting_service: service whose overload limits @admit_share, "" for none
 * @shed_share: share of its demand that @limiting_service has to refuse
 * @other_zone: zone that has capacity left or refuses less, NULL for none
 * @other_zone_share: share of the requests not admitted in @zone that goes to
 *                    @other_zone
 * @chance: chance that all runs of a request succeed, as far as targets fail or
 *          turn away requests whatever their load is
 */
struct jl_plan
{
  const char *zone;
  double admit_share;
  const char *limiting_service;
  double shed_share;
  const char *other_zone;
  double other_zone_share;
  double chance;
};

/**
 * struct jl_demand - requests of this daemon's clients by one route
 * @route_key: the route's key
 * @rank: priority of the requests, 0 is the most important; on a site with
 *        customers the customer's rank goes before the route's
 * @customer_rank: rank of their customers, 0 without customers
 * @pool: number of the pool in which customers compete, JL_NONE for none
 * @window_requests: requests in this window
 * @rate: requests a second, exponential moving average
 * @tree: runs that one request causes
 * @plan: the plan for its requests
 */
struct jl_demand
{
  uint32_t route_key;
  unsigned rank;
  unsigned customer_rank;
  unsigned pool;
  unsigned window_requests;
  double rate;
  struct jl_call_tree tree;
  struct jl_plan plan;
};

/**
 * jl_plan_compute - computes the plan for the requests of @demand
 * @demands: of all routes that this daemon's clients use, @demand among them
 */
struct jl_plan jl_plan_compute (const struct jl_roster *roster,
                                const struct jl_demand *demands,
                                unsigned demand_count,
                                const struct jl_demand *demand,
                                uint64_t now_us);

/**
 * jl_plan_chance - returns the chance that all runs of a call tree succeed
 */
double jl_plan_chance (const struct jl_roster *roster,
                       const struct jl_call_tree *tree,
                       uint64_t now_us);

/**
 * jl_plan_choose_zone - chooses the zone of one request
 * @draw: random number, uniform from 0 to 1
 *
 * Return: a zone, or NULL when the request is refused.
 */
const char *jl_plan_choose_zone (const struct jl_plan *plan, double draw);

/**
 * struct jl_overflow - the plan for the local target's calls to one service
 * until the next window
 * @service: interned
 * @zone: another zone with capacity for these calls, NULL for none
 * @share: share of the calls that goes there, 0 to 1; the others stay in the
 *         local zone
 */
struct jl_overflow
{
  const char *service;
  const char *zone;
  double share;
};

/**
 * jl_overflow_compute - computes the plan for calls to @service
 *
 * It is needed where one zone's targets of @service receive the calls of other
 * zones too, for example when the calling service has targets left in this zone
 * only. The zone's own targets of @service would refuse calls then, while those
 * of other zones are idle or refuse less.
 */
struct jl_overflow jl_overflow_compute (const struct jl_roster *roster,
                                        const char *service,
                                        uint64_t now_us);

/**
 * jl_overflow_choose_zone - chooses the zone of one call
 * @draw: random number, uniform from 0 to 1
 */
const char *jl_overflow_choose_zone (const struct jl_overflow *overflow,
                                     const struct jl_roster *roster,
                                     double draw);

#endif
