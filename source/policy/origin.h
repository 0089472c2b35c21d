#ifndef JACKDAWLADDER_ORIGIN_H
#define JACKDAWLADDER_ORIGIN_H

/**
 * DOC: Whether a route's requests come from clients or from targets.
 *
 * Both arrive at the same address, and nothing in a request tells them apart.
 * But clients send requests to the daemons of all services alike, while a
 * target's calls arrive only at daemons beside targets of its own service. So a
 * route carries calls if there is a service whose daemons receive enough
 * requests of other routes, but none of this route.
 */

#include "jackdawladder/base.h"

/* Maximum number of routes whose arrivals one daemon counts. */
#define JL_ARRIVAL_ROUTES_MAX 32

/**
 * struct jl_arrival - recent requests of one route
 * @route_key: the route's key
 * @count: exponentially decaying number over some seconds
 */
struct jl_arrival
{
  uint32_t route_key;
  double count;
};

/**
 * struct jl_arrivals - recent requests at one daemon, or at the daemons of one
 * service, by route
 */
struct jl_arrivals
{
  unsigned count;
  struct jl_arrival list[JL_ARRIVAL_ROUTES_MAX];
};

/**
 * jl_arrivals_add - counts @count more requests of @route_key
 *
 * Requests of a new route are not counted when the list is full.
 */
void jl_arrivals_add (struct jl_arrivals *arrivals,
                      uint32_t route_key,
                      double count);

/**
 * jl_arrivals_decay - decays the counts; called about every quarter of a second
 */
void jl_arrivals_decay (struct jl_arrivals *arrivals);

/**
 * jl_arrivals_is_route_absent - whether @arrivals holds enough requests, but
 * almost none of @route_key
 */
bool jl_arrivals_is_route_absent (const struct jl_arrivals *arrivals,
                                  uint32_t route_key);

#endif
