#ifndef JACKDAWLADDER_PROXY_PLACE_H
#define JACKDAWLADDER_PROXY_PLACE_H

/**
 * DOC: Which services a request needs, and which daemon it is sent to.
 *
 * The services that a request's calls will reach are known from learned
 * fan-outs, and how often. Of the daemons of a service the one with the least
 * load is chosen, in the zone to prefer if it has any.
 */

#include "proxy/roster.h"

/* Services that one request's calls can reach. */
#define JL_NEED_MAX 16

/**
 * struct jl_need - runs at one service that a request leads to
 * @service: interned, so that it outlives the configuration
 * @parent: index of the need whose runs make these calls, JL_NONE for the
 *          request itself
 */
struct jl_need
{
  const char *service;
  double runs;
  unsigned parent;
};

/**
 * struct jl_needs - all runs that a request leads to
 */
struct jl_needs
{
  unsigned count;
  struct jl_need list[JL_NEED_MAX];
};

/**
 * jl_needs_runs - all runs at @service, whichever calls lead to them
 */
double jl_needs_runs (const struct jl_needs *needs, const char *service);

/**
 * jl_place_needs - runs that a request to @service by route @route leads to
 */
void jl_place_needs (const struct jl_roster *roster,
                     const struct jl_site *site,
                     const struct jl_route *route,
                     struct jl_needs *needs);

/**
 * jl_place_pick - the daemon that a request is sent to
 * @zone: the zone to prefer
 * @tried: daemons that refused it already
 *
 * Return: NULL when none takes work.
 */
struct jl_member *jl_place_pick (const struct jl_roster *roster,
                                 const char *service,
                                 const char *zone,
                                 struct jl_member *const *tried,
                                 unsigned tried_count,
                                 uint64_t now_us);

#endif
