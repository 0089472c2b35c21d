#ifndef JACKDAWLADDER_PROXY_PLACE_H
#define JACKDAWLADDER_PROXY_PLACE_H

/**
 * DOC: Estimates the call tree of a request, and chooses the daemon that a
 * request is sent to.
 *
 * The services that a request's calls will reach, and the number of runs there,
 * are estimated from the measured fan-outs. Of the daemons of a service, the
 * one with the lowest load in the preferred zone is chosen. Daemons of other
 * zones are chosen if that zone has none.
 */

#include "proxy/roster.h"

/* Maximum number of nodes of a call tree. */
#define JL_CALL_TREE_NODES_MAX 16

/**
 * struct jl_call_node - runs at one service that a request causes
 * @service: interned, so that it outlives the configuration
 * @runs: mean number of runs for each request
 * @parent: index of the node whose runs make the calls, JL_NONE for the
 *          request itself
 */
struct jl_call_node
{
  const char *service;
  double runs;
  unsigned parent;
};

/**
 * struct jl_call_tree - all runs that a request causes
 * @nodes: each node follows its parent
 */
struct jl_call_tree
{
  unsigned count;
  struct jl_call_node nodes[JL_CALL_TREE_NODES_MAX];
};

/**
 * jl_call_tree_runs - returns the number of runs at @service, over all nodes
 */
double jl_call_tree_runs (const struct jl_call_tree *tree, const char *service);

/**
 * jl_call_tree_estimate - estimates the runs that a request by @route causes
 * @tree: receives the estimate
 */
void jl_call_tree_estimate (const struct jl_roster *roster,
                            const struct jl_site *site,
                            const struct jl_route *route,
                            struct jl_call_tree *tree);

/**
 * jl_place_choose_daemon - chooses the daemon that a request is sent to
 * @zone: the preferred zone
 * @tried: daemons that have refused the request already
 *
 * Return: the daemon, or NULL if none accepts requests.
 */
struct jl_member *jl_place_choose_daemon (const struct jl_roster *roster,
                                          const char *service,
                                          const char *zone,
                                          struct jl_member *const *tried,
                                          unsigned tried_count,
                                          uint64_t now_us);

#endif
