#ifndef JACKDAWLADDER_ORIGIN_H
#define JACKDAWLADDER_ORIGIN_H

/**
 * DOC: Whether a route's requests come from clients or from targets.
 *
 * Both arrive at the same address, and nothing in a request tells them apart.
 * But clients send to the daemons of all services alike, while a target's
 * calls arrive beside targets of its own service only. So a route that one
 * service's daemons never see, though they see enough of others, carries calls.
 */

#include "jackdawladder/base.h"

/* Routes whose arrivals one daemon counts. */
#define JL_ARRIVALS_MAX 32

/**
 * struct jl_arrival - how often requests of a route came lately
 * @route: the route's key
 * @count: over some seconds, older ones weighing less
 */
struct jl_arrival
{
  uint32_t route;
  double count;
};

/**
 * struct jl_arrivals - what came to one daemon, or to those of one service
 */
struct jl_arrivals
{
  unsigned count;
  struct jl_arrival list[JL_ARRIVALS_MAX];
};

/**
 * jl_arrivals_add - @count more requests of @route have come
 */
void
jl_arrivals_add (struct jl_arrivals *arrivals, uint32_t route, double count);

/**
 * jl_arrivals_fade - about a quarter of a second has passed
 */
void jl_arrivals_fade (struct jl_arrivals *arrivals);

/**
 * jl_arrivals_lack - whether a service's daemons see enough, but not @route
 */
bool jl_arrivals_lack (const struct jl_arrivals *arrivals, uint32_t route);

#endif
