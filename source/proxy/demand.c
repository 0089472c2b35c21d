/**
 * DOC: The demand of this daemon's clients by route, and the values that are
 * derived from it.
 */

#include "proxy/demand.h"

#include "proxy/shares.h"

#include <string.h>

/* Weight of a window in the moving average of the demand. */
#define DEMAND_WEIGHT 0.15
/* Control windows between two classifications of routes. */
#define CLASSIFY_WINDOWS 3

struct jl_retry_budget *
jl_demand_retry_budget (struct jl_proxy *proxy, const char *service)
{
  struct jl_service_budget *entry;

  for (unsigned i = 0; i < proxy->budget_count; i++)
    if (strcmp (proxy->budgets[i].service, service) == 0)
      return &proxy->budgets[i].budget;
  if (proxy->budget_count == JL_BUDGET_SERVICES_MAX)
    return NULL;
  entry = &proxy->budgets[proxy->budget_count++];
  g_strlcpy (entry->service, service, sizeof entry->service);
  return &entry->budget;
}

struct jl_retry_budget_policy
jl_demand_retry_policy (struct jl_proxy *proxy)
{
  struct jl_retry_budget_policy policy = {
    .ratio = proxy->options->retry_ratio,
    .slack = proxy->options->retry_slack,
    .window_us = proxy->options->retry_window_us,
    .daemon_count = MAX (proxy->roster.members->len, 1),
  };

  return policy;
}

struct jl_demand *
jl_demand_track (struct jl_proxy *proxy,
                 const struct jl_route *route,
                 const struct jl_customer *customer)
{
  unsigned customer_rank = customer != NULL ? customer->rank : 0;
  struct jl_demand *demand = NULL;

  for (unsigned i = 0; i < proxy->demand_count; i++)
    {
      if (proxy->demands[i].route_key != route->key)
        continue;
      demand = &proxy->demands[i];
      if (demand->customer_rank == customer_rank)
        return demand;
    }
  /* A plan for another rank of customers is better than none. */
  if (proxy->demand_count == JL_DEMAND_ROUTES_MAX)
    return demand;
  demand = &proxy->demands[proxy->demand_count++];
  demand->route_key = route->key;
  demand->customer_rank = customer_rank;
  demand->pool = JL_NONE;
  demand->plan.zone = proxy->roster.local_zone;
  demand->plan.admit_share = 1;
  demand->plan.chance = 1;
  demand->plan.limiting_service = "";
  return demand;
}

/* Determines which of the routes with recent requests carry calls of targets.
 * The result is used until the next classification. */
static void
classify_routes (struct jl_proxy *proxy)
{
  const struct jl_arrivals *arrivals = &proxy->self->arrivals;
  uint64_t now_us = jl_now ();

  proxy->call_route_count = 0;
  for (unsigned i = 0; i < arrivals->count; i++)
    if (jl_roster_is_call_route (&proxy->roster, arrivals->list[i].route_key,
                                 now_us))
      proxy->call_routes[proxy->call_route_count++]
          = arrivals->list[i].route_key;
}

/* Updates the estimated call tree of a route. The tree is empty if the
 * configuration in force lacks the route. */
static void
update_call_tree (struct jl_proxy *proxy, struct jl_demand *demand)
{
  const struct jl_route *route
      = jl_site_route_by_key (proxy->site, demand->route_key);

  demand->tree.count = 0;
  if (route == NULL)
    return;
  demand->rank = demand->customer_rank * JL_RANK_COUNT + route->rank;
  jl_call_tree_estimate (&proxy->roster, proxy->site, route, &demand->tree);
}

/* Whether the budgets of all services in @tree allow a retry. */
static bool
allows_retry (struct jl_proxy *proxy,
              const struct jl_call_tree *tree,
              const struct jl_retry_budget_policy *policy,
              uint64_t now_us)
{
  for (unsigned i = 0; i < tree->count; i++)
    {
      const char *service = tree->nodes[i].service;
      struct jl_retry_budget *budget = jl_demand_retry_budget (proxy, service);

      if (budget == NULL
          || !jl_retry_budget_allows (budget, policy, now_us,
                                      jl_call_tree_runs (tree, service)))
        return false;
    }
  return true;
}

bool
jl_demand_spend_retry (struct jl_proxy *proxy,
                       const struct jl_site *site,
                       const struct jl_route *route)
{
  struct jl_retry_budget_policy policy = jl_demand_retry_policy (proxy);
  uint64_t now_us = jl_now ();
  struct jl_call_tree tree;

  jl_call_tree_estimate (&proxy->roster, site, route, &tree);
  if (!allows_retry (proxy, &tree, &policy, now_us))
    return false;
  for (unsigned i = 0; i < tree.count; i++)
    jl_retry_budget_spend (
        jl_demand_retry_budget (proxy, tree.nodes[i].service), &policy, now_us,
        tree.nodes[i].runs);
  return true;
}

const char *
jl_demand_choose_call_zone (struct jl_proxy *proxy,
                            const char *service,
                            double draw)
{
  struct jl_overflow *overflow;

  for (unsigned i = 0; i < proxy->overflow_count; i++)
    if (strcmp (proxy->overflows[i].service, service) == 0)
      return jl_overflow_choose_zone (&proxy->overflows[i], &proxy->roster,
                                      draw);
  if (proxy->overflow_count == JL_OVERFLOW_SERVICES_MAX)
    return proxy->roster.local_zone;
  overflow = &proxy->overflows[proxy->overflow_count++];
  *overflow = jl_overflow_compute (&proxy->roster, service, jl_now ());
  return jl_overflow_choose_zone (overflow, &proxy->roster, draw);
}

void
jl_demand_end_window (struct jl_proxy *proxy)
{
  double window_s = (double)JL_CONTROL_WINDOW_US / (double)JL_USEC_PER_SEC;

  for (unsigned i = 0; i < proxy->demand_count; i++)
    {
      struct jl_demand *demand = &proxy->demands[i];

      demand->rate += DEMAND_WEIGHT
                      * (demand->window_requests / window_s - demand->rate);
      demand->window_requests = 0;
    }
  if (proxy->window_count % CLASSIFY_WINDOWS == 0)
    {
      jl_arrivals_decay (&proxy->self->arrivals);
      classify_routes (proxy);
    }
  for (unsigned i = 0; i < proxy->demand_count; i++)
    update_call_tree (proxy, &proxy->demands[i]);
  /* The next call to each service computes its overflow again. */
  proxy->overflow_count = 0;
  proxy->plans_computed_us = jl_now ();
  for (unsigned i = 0; i < proxy->demand_count; i++)
    proxy->demands[i].plan
        = jl_plan_compute (&proxy->roster, proxy->demands, proxy->demand_count,
                           &proxy->demands[i], jl_now ());
  jl_shares_end_window (proxy);
}

bool
jl_demand_is_call_route (const struct jl_proxy *proxy, uint32_t route_key)
{
  for (unsigned i = 0; i < proxy->call_route_count; i++)
    if (proxy->call_routes[i] == route_key)
      return true;
  return false;
}
