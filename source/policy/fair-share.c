/**
 * DOC: Divides scarce capacity over customers by max-min fairness.
 */

#include "policy/fair-share.h"

#include <math.h>

/* Time constants of the two averages of a customer's demand. The slow one has
 * little variance for customers with less than a request a second at a daemon;
 * the fast one shows a surge within a second. */
#define SLOW_S 10.0
#define FAST_S 1.0
/* The fast average counts as far as it is this many standard deviations above
 * the slow one. */
#define FAST_DEVIATIONS 2.0
/* Least share of a customer's load that is kept, relative to the share of all.
 * The required ratio is a quarter; the rest covers later losses. */
#define FLOOR_RATIO 0.3
/* Steps of the bisection for the level. */
#define BISECTION_STEPS 40
/* Factor by which the counts of decisions decay in each window. */
#define DECISIONS_DECAY 0.9
/* Share of the error of the kept load that one window corrects, and limits of
 * the correction. */
#define GAIN_STEP 0.1
#define GAIN_MIN 0.5
#define GAIN_MAX 3.0

static double
elapsed_s (uint64_t from_us, uint64_t now_us)
{
  return now_us > from_us ? (double)(now_us - from_us) / (double)JL_USEC_PER_SEC
                          : 0;
}

/* Returns the recent demand on a route in requests a second. */
static double
demand_of (const struct jl_fair_route *route, uint64_t now_us)
{
  double seconds = elapsed_s (route->counted_us, now_us);
  double slow = route->slow * exp (-seconds / SLOW_S);
  double fast = route->fast * exp (-seconds / FAST_S);

  return fmax (slow, fast - FAST_DEVIATIONS * sqrt (fast / (2 * FAST_S)));
}

void
jl_fair_share_init (struct jl_fair_share *share)
{
  share->customers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  CDS_INIT_LIST_HEAD (&share->by_use);
}

static void
drop (struct jl_fair_share *share, struct jl_fair_customer *customer)
{
  cds_list_del (&customer->link);
  g_hash_table_remove (share->customers, &customer->key);
}

static struct jl_fair_customer *
oldest (struct jl_fair_share *share)
{
  if (cds_list_empty (&share->by_use))
    return NULL;
  return cds_list_first_entry (&share->by_use, struct jl_fair_customer, link);
}

void
jl_fair_share_clear (struct jl_fair_share *share)
{
  g_hash_table_destroy (share->customers);
}

void
jl_fair_share_expire (struct jl_fair_share *share, uint64_t now_us)
{
  struct jl_fair_customer *customer;

  while ((customer = oldest (share)) != NULL
         && customer->seen_us + JL_FAIR_SHARE_RETENTION_US < now_us)
    drop (share, customer);
}

static size_t
size_of_customer (unsigned route_count)
{
  return sizeof (struct jl_fair_customer)
         + route_count * sizeof (struct jl_fair_route);
}

static struct jl_fair_customer *
find_or_add_customer (struct jl_fair_share *share, uint64_t key)
{
  struct jl_fair_customer *customer
      = g_hash_table_lookup (share->customers, &key);

  if (customer != NULL)
    {
      cds_list_del (&customer->link);
      cds_list_add_tail (&customer->link, &share->by_use);
      return customer;
    }
  if (g_hash_table_size (share->customers) == JL_FAIR_SHARE_CUSTOMERS_MAX)
    drop (share, oldest (share));
  customer = g_malloc0 (size_of_customer (0));
  customer->key = key;
  cds_list_add_tail (&customer->link, &share->by_use);
  g_hash_table_insert (share->customers, &customer->key, customer);
  return customer;
}

/* Adds a route to a customer, whose state moves. */
static struct jl_fair_customer *
add_route (struct jl_fair_share *share,
           struct jl_fair_customer *customer,
           uint32_t route_key)
{
  unsigned count = customer->route_count;

  g_hash_table_steal (share->customers, &customer->key);
  cds_list_del (&customer->link);
  customer = g_realloc (customer, size_of_customer (count + 1));
  customer->routes[count] = (struct jl_fair_route){ .key = route_key };
  customer->route_count++;
  cds_list_add_tail (&customer->link, &share->by_use);
  g_hash_table_insert (share->customers, &customer->key, customer);
  return customer;
}

static unsigned
find_route (const struct jl_fair_customer *customer, uint32_t route_key)
{
  unsigned i = 0;

  while (i < customer->route_count && customer->routes[i].key != route_key)
    i++;
  return i;
}

struct jl_fair_customer *
jl_fair_share_count (struct jl_fair_share *share,
                     uint64_t key,
                     uint32_t route_key,
                     uint64_t now_us)
{
  struct jl_fair_customer *customer = find_or_add_customer (share, key);
  unsigned index = find_route (customer, route_key);
  struct jl_fair_route *route;
  double seconds;

  customer->seen_us = now_us;
  if (index == JL_FAIR_SHARE_ROUTES_MAX)
    return customer;
  if (index == customer->route_count)
    customer = add_route (share, customer, route_key);
  route = &customer->routes[index];
  seconds = elapsed_s (route->counted_us, now_us);
  route->slow = (float)(route->slow * exp (-seconds / SLOW_S) + 1 / SLOW_S);
  route->fast = (float)(route->fast * exp (-seconds / FAST_S) + 1 / FAST_S);
  route->counted_us = now_us;
  return customer;
}

double
jl_fair_customer_demand (const struct jl_fair_customer *customer,
                         uint64_t now_us)
{
  double demand = 0;

  for (unsigned i = 0; i < customer->route_count; i++)
    demand += demand_of (&customer->routes[i], now_us);
  return demand;
}

void
jl_fair_pool_init (struct jl_fair_pool *pool)
{
  *pool = (struct jl_fair_pool){ .keep = 1, .level = INFINITY, .gain = 1 };
}

void
jl_fair_pool_add (struct jl_fair_pool *pool, uint32_t route_key, double runs)
{
  unsigned at = pool->route_count;

  if (at == JL_FAIR_SHARE_ROUTES_MAX)
    return;
  for (; at > 0 && pool->routes[at - 1].runs > runs; at--)
    pool->routes[at] = pool->routes[at - 1];
  pool->routes[at]
      = (struct jl_fair_pool_route){ .key = route_key, .runs = runs };
  pool->route_count++;
}

/* Returns the customer's load by one route of the pool. */
static double
route_load (const struct jl_fair_pool_route *route,
            const struct jl_fair_customer *customer,
            uint64_t now_us)
{
  unsigned index = find_route (customer, route->key);

  return index < customer->route_count
             ? route->runs * demand_of (&customer->routes[index], now_us)
             : 0;
}

static double
customer_load (const struct jl_fair_pool *pool,
               const struct jl_fair_customer *customer,
               uint64_t now_us)
{
  double load = 0;

  for (unsigned i = 0; i < pool->route_count; i++)
    load += route_load (&pool->routes[i], customer, now_us);
  return load;
}

/* Returns the part of a customer's load that is kept. */
static double
kept_load (double load, double level, double floor)
{
  return fmax (fmin (load, level), floor * load);
}

/* Returns the level at which the part @keep of all loads is kept. */
static double
find_level (const GArray *loads, double total, double keep, double floor)
{
  double low = 0;
  double high = 0;

  for (guint i = 0; i < loads->len; i++)
    high = fmax (high, g_array_index (loads, double, i));
  if (keep >= 1)
    return INFINITY;
  for (unsigned step = 0; step < BISECTION_STEPS; step++)
    {
      double level = (low + high) / 2;
      double kept = 0;

      for (guint i = 0; i < loads->len; i++)
        kept += kept_load (g_array_index (loads, double, i), level, floor);
      if (kept < keep * total)
        low = level;
      else
        high = level;
    }
  return high;
}

/* Corrects the gain by the load that was kept. The demand of a customer is an
 * estimate that its own request has just raised, so that the kept part of the
 * load differs from that of the estimates where requests are few. */
static void
update_gain (struct jl_fair_pool *pool)
{
  if (pool->keep >= 1 || pool->keep <= 0)
    pool->gain = 1;
  else if (pool->offered > 0)
    pool->gain += GAIN_STEP * (pool->keep - pool->kept / pool->offered);
  pool->gain = CLAMP (pool->gain, GAIN_MIN, GAIN_MAX);
  pool->offered *= DECISIONS_DECAY;
  pool->kept *= DECISIONS_DECAY;
}

void
jl_fair_pool_divide (struct jl_fair_pool *pool,
                     const struct jl_fair_share *share,
                     double keep,
                     uint64_t now_us)
{
  const struct jl_fair_customer *customer;
  GArray *loads;
  double total = 0;

  update_gain (pool);
  pool->keep = keep;
  pool->floor = FLOOR_RATIO * keep;
  pool->level = INFINITY;
  if (keep >= 1)
    return;
  loads = g_array_new (FALSE, FALSE, sizeof (double));
  cds_list_for_each_entry (customer, &share->by_use, link)
  {
    double load = customer_load (pool, customer, now_us);

    if (load <= 0)
      continue;
    total += load;
    g_array_append_val (loads, load);
  }
  pool->level = find_level (loads, total, pool->gain * keep, pool->floor);
  g_array_free (loads, TRUE);
}

double
jl_fair_pool_keep_share (const struct jl_fair_pool *pool,
                         const struct jl_fair_customer *customer,
                         uint32_t route_key,
                         uint64_t now_us)
{
  double load;
  double rest;

  if (pool->keep >= 1)
    return 1;
  load = customer_load (pool, customer, now_us);
  rest = kept_load (load, pool->level, pool->floor);
  for (unsigned i = 0; i < pool->route_count; i++)
    {
      double part = route_load (&pool->routes[i], customer, now_us);

      if (pool->routes[i].key == route_key)
        return part > 0 ? CLAMP (rest / part, 0, 1) : pool->keep;
      rest = fmax (rest - part, 0);
    }
  return pool->keep;
}

void
jl_fair_pool_count (struct jl_fair_pool *pool, uint32_t route_key, bool kept)
{
  for (unsigned i = 0; i < pool->route_count; i++)
    {
      if (pool->routes[i].key != route_key)
        continue;
      pool->offered += pool->routes[i].runs;
      if (kept)
        pool->kept += pool->routes[i].runs;
    }
}
