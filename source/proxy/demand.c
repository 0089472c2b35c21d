/**
 * DOC: What clients ask for, and what follows from it for each route.
 */

#include "proxy/demand.h"

#include <string.h>

/* Weight of a window in the smoothed demand. */
#define DEMAND_WEIGHT 0.15
/* Windows between two classifications of routes. */
#define CLASSIFY_WINDOWS 3

struct jl_budget *
jl_demand_budget (struct jl_proxy *proxy, const char *service)
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

struct jl_budget_terms
jl_demand_terms (struct jl_proxy *proxy)
{
  struct jl_budget_terms terms = {
    .ratio = proxy->options->retry_ratio,
    .slack = proxy->options->retry_slack,
    .window_us = proxy->options->retry_window_us,
    .daemons = MAX (proxy->roster.members->len, 1),
  };

  return terms;
}

struct jl_demand *
jl_demand_of (struct jl_proxy *proxy, const struct jl_route *route)
{
  struct jl_demand *demand;

  for (unsigned i = 0; i < proxy->demand_count; i++)
    if (proxy->demands[i].route == route->key)
      return &proxy->demands[i];
  if (proxy->demand_count == JL_DEMAND_ROUTES_MAX)
    return NULL;
  demand = &proxy->demands[proxy->demand_count++];
  demand->route = route->key;
  demand->plan.zone = proxy->roster.own_zone;
  demand->plan.keep = 1;
  demand->plan.service = "";
  return demand;
}

/* Classifies each route that came lately; that holds until the next window. */
static void
classify_routes (struct jl_proxy *proxy)
{
  const struct jl_arrivals *arrivals = &proxy->self->arrivals;
  uint64_t now_us = jl_now ();

  proxy->call_route_count = 0;
  for (unsigned i = 0; i < arrivals->count; i++)
    if (jl_roster_is_call (&proxy->roster, arrivals->list[i].route, now_us))
      proxy->call_routes[proxy->call_route_count++] = arrivals->list[i].route;
}

static void
update_needs (struct jl_proxy *proxy, struct jl_demand *demand)
{
  const struct jl_route *route = jl_site_route (proxy->site, demand->route);

  demand->needs.count = 0;
  if (route == NULL)
    return;
  demand->rank = route->rank;
  jl_place_needs (&proxy->roster, proxy->site, route, &demand->needs);
}

static bool
allows_repeat (struct jl_proxy *proxy,
               const struct jl_needs *needs,
               const struct jl_budget_terms *terms,
               uint64_t now_us)
{
  for (unsigned i = 0; i < needs->count; i++)
    {
      const char *service = needs->list[i].service;
      struct jl_budget *budget = jl_demand_budget (proxy, service);

      if (budget == NULL
          || !jl_budget_allows (budget, terms, now_us,
                                jl_needs_runs (needs, service)))
        return false;
    }
  return true;
}

bool
jl_demand_spend_repeat (struct jl_proxy *proxy,
                        const struct jl_site *site,
                        const struct jl_route *route)
{
  struct jl_budget_terms terms = jl_demand_terms (proxy);
  uint64_t now_us = jl_now ();
  struct jl_needs needs;

  jl_place_needs (&proxy->roster, site, route, &needs);
  if (!allows_repeat (proxy, &needs, &terms, now_us))
    return false;
  for (unsigned i = 0; i < needs.count; i++)
    jl_budget_spend (jl_demand_budget (proxy, needs.list[i].service), &terms,
                     now_us, needs.list[i].runs);
  return true;
}

const char *
jl_demand_call_zone (struct jl_proxy *proxy, const char *service, double draw)
{
  struct jl_overflow *overflow;

  for (unsigned i = 0; i < proxy->overflow_count; i++)
    if (strcmp (proxy->overflows[i].service, service) == 0)
      return jl_overflow_zone (&proxy->overflows[i], &proxy->roster, draw);
  if (proxy->overflow_count == JL_OVERFLOW_SERVICES_MAX)
    return proxy->roster.own_zone;
  overflow = &proxy->overflows[proxy->overflow_count++];
  *overflow = jl_overflow_of (&proxy->roster, service, jl_now ());
  return jl_overflow_zone (overflow, &proxy->roster, draw);
}

void
jl_demand_window (struct jl_proxy *proxy)
{
  double window_s = (double)JL_PRESSURE_WINDOW_US / (double)JL_USEC_PER_SEC;

  for (unsigned i = 0; i < proxy->demand_count; i++)
    {
      struct jl_demand *demand = &proxy->demands[i];

      demand->rate
          += DEMAND_WEIGHT * (demand->counted / window_s - demand->rate);
      demand->counted = 0;
    }
  if (proxy->window_count % CLASSIFY_WINDOWS == 0)
    {
      jl_arrivals_fade (&proxy->self->arrivals);
      classify_routes (proxy);
    }
  for (unsigned i = 0; i < proxy->demand_count; i++)
    update_needs (proxy, &proxy->demands[i]);
  /* Worked out anew with the next call to each service. */
  proxy->overflow_count = 0;
  proxy->planned_us = jl_now ();
  for (unsigned i = 0; i < proxy->demand_count; i++)
    proxy->demands[i].plan
        = jl_plan_of (&proxy->roster, proxy->demands, proxy->demand_count,
                      &proxy->demands[i], jl_now ());
}

bool
jl_demand_is_call (const struct jl_proxy *proxy, uint32_t route)
{
  for (unsigned i = 0; i < proxy->call_route_count; i++)
    if (proxy->call_routes[i] == route)
      return true;
  return false;
}
