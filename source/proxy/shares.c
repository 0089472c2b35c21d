/**
 * DOC: Customers that compete for capacity, at the entry and at the guard.
 */

#include "proxy/shares.h"

#include "names.h"

/* Number of customers on the /state page. */
#define LISTED_CUSTOMERS_MAX 20
/* Distinguishes the flows of calls, by route, from those of customers. */
#define FLOW_OF_ROUTE (UINT64_C (1) << 32)
/* Largest factor below 1 that keeps a draw within the admitted range in spite
 * of rounding. */
#define BELOW_ONE (1 - 1e-9)

unsigned
jl_shares_rank (const struct jl_call *call)
{
  unsigned customer_rank = call->customer != NULL ? call->customer->rank : 0;

  if (call->inherited_rank != JL_NONE)
    return call->inherited_rank;
  return customer_rank * JL_RANK_COUNT + call->route->rank;
}

/* Requests without a customer count as one customer for each route. */
static uint64_t
customer_key (const struct jl_call *call)
{
  return call->customer != NULL ? call->customer->key
                                : FLOW_OF_ROUTE | call->route->key;
}

/* Returns the share of its requests that a plan admits in any zone. */
static double
admitted_anywhere (const struct jl_plan *plan)
{
  double other = plan->other_zone != NULL ? plan->other_zone_share : 0;

  return plan->admit_share + (1 - plan->admit_share) * CLAMP (other, 0, 1);
}

/* Returns the zone of an admitted request. The plan's shares apply among the
 * admitted requests. @draw: random number, uniform from 0 to 1 */
static const char *
zone_of_admitted (const struct jl_plan *plan, double draw)
{
  const char *zone
      = jl_plan_choose_zone (plan, draw * admitted_anywhere (plan) * BELOW_ONE);

  return zone != NULL ? zone : plan->zone;
}

const char *
jl_shares_choose_zone (struct jl_call *call, const struct jl_demand *demand)
{
  struct jl_proxy *proxy = call->proxy;
  double draw = g_random_double ();
  struct jl_fair_customer *customer;
  struct jl_fair_pool *pool;
  uint64_t now_us;
  double keep;

  if (call->site->customers == NULL)
    return jl_plan_choose_zone (&demand->plan, draw);
  now_us = jl_now ();
  customer = jl_fair_share_count (&proxy->fair_share, customer_key (call),
                                  call->route->key, now_us);
  if (demand->pool == JL_NONE || demand->pool >= proxy->pool_count)
    return jl_plan_choose_zone (&demand->plan, draw);
  pool = &proxy->pools[demand->pool].pool;
  keep = jl_fair_pool_keep_share (pool, customer, call->route->key, now_us);
  jl_fair_pool_count (pool, call->route->key, draw < keep);
  if (draw < keep)
    return zone_of_admitted (&demand->plan, draw / keep);
  customer->refused++;
  call->over_share = pool->keep > 0;
  if (call->over_share)
    proxy->counters.refused_by_share++;
  return NULL;
}

const char *
jl_shares_refusal_reason (const struct jl_call *call)
{
  return call->over_share ? "fair-share" : "overload";
}

/* Whether a demand competes with others for a share of a service: not if the
 * service has no target at all. */
static bool
is_short (const struct jl_demand *demand)
{
  return demand->plan.admit_share < 1 && demand->plan.shed_share > 0;
}

/* Returns the demand without a pool that is admitted least, NULL if all of the
 * others have enough. */
static struct jl_demand *
find_shortest (struct jl_proxy *proxy)
{
  struct jl_demand *shortest = NULL;

  for (unsigned i = 0; i < proxy->demand_count; i++)
    {
      struct jl_demand *demand = &proxy->demands[i];

      if (demand->pool == JL_NONE && is_short (demand)
          && (shortest == NULL
              || demand->plan.admit_share < shortest->plan.admit_share))
        shortest = demand;
    }
  return shortest;
}

/* Returns the gain that the pool of a rank and service had in the last window,
 * with its counts. */
static struct jl_fair_pool
continue_pool (const struct jl_ranked_pool *before,
               unsigned before_count,
               unsigned rank,
               const char *service)
{
  struct jl_fair_pool pool;

  jl_fair_pool_init (&pool);
  for (unsigned i = 0; i < before_count; i++)
    if (before[i].rank == rank && before[i].service == service)
      {
        pool = before[i].pool;
        pool.route_count = 0;
      }
  return pool;
}

/* Fills a pool with all demands of the rank of @shortest that load its limiting
 * service, also those that the plan admits completely: within a rank, capacity
 * is divided by customer and not by route. */
static void
fill_pool (struct jl_proxy *proxy,
           struct jl_demand *shortest,
           unsigned number,
           uint64_t now_us)
{
  struct jl_ranked_pool *ranked = &proxy->pools[number];
  double offered = 0;
  double kept = 0;

  for (unsigned i = 0; i < proxy->demand_count; i++)
    {
      struct jl_demand *demand = &proxy->demands[i];
      double runs = jl_call_tree_runs (&demand->tree, ranked->service);

      if (demand->pool != JL_NONE || demand->rank != ranked->rank
          || (demand != shortest && runs <= 0)
          || (demand->plan.admit_share <= 0 && !is_short (demand)))
        continue;
      runs = runs > 0 ? runs : 1;
      demand->pool = number;
      jl_fair_pool_add (&ranked->pool, demand->route_key, runs);
      offered += demand->rate * runs;
      kept += demand->rate * runs * admitted_anywhere (&demand->plan);
    }
  jl_fair_pool_divide (&ranked->pool, &proxy->fair_share,
                       offered > 0 ? kept / offered
                                   : admitted_anywhere (&shortest->plan),
                       now_us);
}

void
jl_shares_end_window (struct jl_proxy *proxy)
{
  struct jl_ranked_pool before[JL_DEMAND_ROUTES_MAX];
  unsigned before_count = proxy->pool_count;
  uint64_t now_us = jl_now ();
  struct jl_demand *shortest;

  for (unsigned i = 0; i < proxy->demand_count; i++)
    proxy->demands[i].pool = JL_NONE;
  proxy->pool_count = 0;
  jl_fair_share_expire (&proxy->fair_share, now_us);
  if (proxy->site == NULL || proxy->site->customers == NULL)
    return;
  for (unsigned i = 0; i < before_count; i++)
    before[i] = proxy->pools[i];
  while ((shortest = find_shortest (proxy)) != NULL)
    {
      const char *service = g_intern_string (shortest->plan.limiting_service);

      proxy->pools[proxy->pool_count] = (struct jl_ranked_pool){
        .rank = shortest->rank,
        .service = service,
        .pool = continue_pool (before, before_count, shortest->rank, service),
      };
      fill_pool (proxy, shortest, proxy->pool_count++, now_us);
    }
}

/* Returns the flow of work: its customer, or its route if it has none. */
static uint64_t
flow_of (const struct jl_work *work)
{
  const char *name
      = jl_head_get (jl_request_head (work->relay.request), JL_HEADER_CUSTOMER);

  return name != NULL ? jl_name_key (name)
                      : FLOW_OF_ROUTE | work->header.route_key;
}

void
jl_shares_prepare_work (struct jl_work *work)
{
  struct jl_proxy *proxy = work->proxy;
  struct jl_lane_item *item = &work->item;

  item->rank = work->header.rank;
  item->arrived_us = jl_now ();
  item->expires_us
      = item->arrived_us + work->header.remaining_ms * JL_USEC_PER_MSEC;
  /* The time that the request has spent elsewhere counts towards its goal. */
  item->due_us = item->arrived_us
                 + (work->header.latency_goal_ms
                    - MIN (work->header.spent_ms, work->header.latency_goal_ms))
                       * JL_USEC_PER_MSEC;
  if (proxy->site == NULL || proxy->site->customers == NULL)
    return;
  item->fair = true;
  item->flow = flow_of (work);
  item->hold_us = jl_hold_times_get (&proxy->hold_times, work->header.route_key,
                                     proxy->load_shedder.hold_us);
  jl_lane_reserve_count (&proxy->lane.reserve, item->rank, item->hold_us,
                         item->arrived_us);
}

void
jl_shares_record_hold (struct jl_work *work, uint64_t held_us)
{
  jl_load_shedder_record_hold (&work->proxy->load_shedder, held_us);
  if (work->item.fair)
    jl_hold_times_record (&work->proxy->hold_times, work->header.route_key,
                          (double)held_us);
}

static gint
compare_refused (gconstpointer a, gconstpointer b)
{
  const struct jl_fair_customer *left
      = *(const struct jl_fair_customer *const *)a;
  const struct jl_fair_customer *right
      = *(const struct jl_fair_customer *const *)b;

  return (left->refused < right->refused) - (left->refused > right->refused);
}

static void
append_customers (const struct jl_proxy *proxy, GString *text)
{
  GPtrArray *refused = g_ptr_array_new ();
  struct jl_fair_customer *customer;

  cds_list_for_each_entry (customer, &proxy->fair_share.by_use, link)
  {
    if (customer->refused > 0)
      g_ptr_array_add (refused, customer);
  }
  g_ptr_array_sort (refused, compare_refused);
  for (guint i = 0; i < MIN (refused->len, LISTED_CUSTOMERS_MAX); i++)
    {
      const struct jl_customer *known;

      customer = g_ptr_array_index (refused, i);
      known = customer->key < FLOW_OF_ROUTE ? jl_customers_find (
                  proxy->site->customers, (uint32_t)customer->key)
                                            : NULL;
      g_string_append_printf (
          text, "# customer: name=%s refused=%" PRIu64 " demand=%.2f\n",
          known != NULL ? known->label : "-", customer->refused,
          jl_fair_customer_demand (customer, jl_now ()));
    }
  g_ptr_array_free (refused, TRUE);
}

void
jl_shares_append_state (const struct jl_proxy *proxy, GString *text)
{
  const struct jl_lane *lane = &proxy->lane;

  if (proxy->site == NULL || proxy->site->customers == NULL)
    return;
  for (unsigned i = 0; i < proxy->pool_count; i++)
    g_string_append_printf (
        text, "# pool: rank=%u short_of=%s keep=%.3f level=%.3f gain=%.2f\n",
        proxy->pools[i].rank, proxy->pools[i].service,
        proxy->pools[i].pool.keep, proxy->pools[i].pool.level,
        proxy->pools[i].pool.gain);
  for (unsigned i = 0; i < JL_LANE_RANKS; i++)
    if (lane->reserve.ranks[i].load > 0)
      g_string_append_printf (
          text, "# rank: rank=%u load=%.2f running=%u waiting=%u reserve=%u\n",
          i, lane->reserve.ranks[i].load, lane->reserve.ranks[i].running,
          lane->fair.ranks[i].waiting,
          jl_lane_reserve_slots (&lane->reserve, i, lane->limit));
  append_customers (proxy, text);
}
