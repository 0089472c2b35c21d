#ifndef JACKDAWLADDER_PROXY_PLAN_H
#define JACKDAWLADDER_PROXY_PLAN_H

/**
 * DOC: What becomes of requests and calls until the next window: how many are
 * let in, and in which zone.
 *
 * Answers overload deep in the call graph. A client's request is judged as a
 * whole, before anything ran: the services that its calls will reach are known
 * from learned fan-outs, and each says what share of its demand is too much.
 * That share is taken from what is least important and, among equals, from
 * what costs the service most. When the own zone has no room and another one
 * has, or refuses less, the whole request goes there, so that only its first
 * message crosses zones. Calls of a request that has begun are never refused
 * here. They stay in their zone while it has a target with room for them.
 */

#include "proxy/place.h"

/**
 * struct jl_plan - what becomes of a route's requests until the next window
 * @zone: where they go
 * @keep: share that is let in there
 * @service: the service that has no room for the others, "" for none
 * @shed: the share of its demand that it refuses
 * @other_zone: zone that has room or refuses less, NULL for none
 * @room: share of the others that goes to @other_zone
 */
struct jl_plan
{
  const char *zone;
  double keep;
  const char *service;
  double shed;
  const char *other_zone;
  double room;
};

/**
 * struct jl_demand - what this daemon's clients ask for by one route
 * @route: the route's key
 * @rank: its importance
 * @counted: requests in this window
 * @rate: requests a second, smoothed
 * @needs: runs that one request leads to
 * @plan: what becomes of its requests
 */
struct jl_demand
{
  uint32_t route;
  unsigned rank;
  unsigned counted;
  double rate;
  struct jl_needs needs;
  struct jl_plan plan;
};

/**
 * jl_plan_of - what becomes of the requests of @demand
 * @demands: of all routes that this daemon's clients use, @demand among them
 */
struct jl_plan jl_plan_of (const struct jl_roster *roster,
                           const struct jl_demand *demands,
                           unsigned demand_count,
                           const struct jl_demand *demand,
                           uint64_t now_us);

/**
 * jl_plan_zone - where one request goes
 * @draw: uniform, 0 to 1
 *
 * Return: a zone, or NULL when the request is refused.
 */
const char *jl_plan_zone (const struct jl_plan *plan, double draw);

/**
 * struct jl_overflow - where the own target's calls to one service go until the
 * next window
 * @service: interned
 * @zone: another zone, which has room, NULL for none
 * @share: share of the calls that goes there, 0 to 1
 */
struct jl_overflow
{
  const char *service;
  const char *zone;
  double share;
};

/**
 * jl_overflow_of - what becomes of calls to @service
 *
 * Answers a zone whose targets of @service get the calls of other zones too,
 * as when the service above is left in this one only: its own targets then
 * refuse while those of other zones are idle or refuse less.
 */
struct jl_overflow jl_overflow_of (const struct jl_roster *roster,
                                   const char *service,
                                   uint64_t now_us);

/**
 * jl_overflow_zone - the zone of one call
 * @draw: uniform, 0 to 1
 */
const char *jl_overflow_zone (const struct jl_overflow *overflow,
                              const struct jl_roster *roster,
                              double draw);

#endif
