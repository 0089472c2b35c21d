#ifndef JACKDAWLADDER_FAIR_SHARE_H
#define JACKDAWLADDER_FAIR_SHARE_H

/**
 * DOC: Divides scarce capacity over customers by max-min fairness.
 *
 * Each entry estimates the recent demand of each customer on each route, in
 * requests a second. Routes that compete for one service at one rank form a
 * pool; a request loads the pool by the runs that it causes at that service. If
 * the pool can keep only a part of its load, the level of the water-filling is
 * the load up to which customers are served completely; a customer above it is
 * served the level, and uses it for its cheapest requests first. A customer
 * that retries refused requests raises its own load, but not the level.
 *
 * Customers that send nothing for JL_FAIR_SHARE_RETENTION_US are dropped, and
 * the longest idle ones beyond JL_FAIR_SHARE_CUSTOMERS_MAX.
 */

#include "jackdawladder/base.h"

#include <urcu/list.h>

/* Time without requests after which a customer's state is dropped. */
#define JL_FAIR_SHARE_RETENTION_US (30 * JL_USEC_PER_SEC)
/* Maximum number of customers with state. */
#define JL_FAIR_SHARE_CUSTOMERS_MAX 4096
/* Maximum number of routes of one customer, and of one pool. */
#define JL_FAIR_SHARE_ROUTES_MAX 32

/**
 * struct jl_fair_route - recent demand of a customer on a route
 * @slow: requests a second, averaged over about ten seconds
 * @fast: requests a second, averaged over about a second
 * @counted_us: time of the last update of both
 */
struct jl_fair_route
{
  uint32_t key;
  float slow;
  float fast;
  uint64_t counted_us;
};

/**
 * struct jl_fair_customer - state of a customer
 * @link: in order of the last request
 * @key: identifies the customer
 * @seen_us: time of the last request
 * @refused: requests refused since the state exists
 * @routes: demand by route
 * @route_count: number of entries in @routes
 */
struct jl_fair_customer
{
  struct cds_list_head link;
  uint64_t key;
  uint64_t seen_us;
  uint64_t refused;
  unsigned route_count;
  struct jl_fair_route routes[];
};

/**
 * struct jl_fair_share - all customers with recent requests
 * @customers: by key
 * @by_use: in order of the last request, the oldest first
 */
struct jl_fair_share
{
  GHashTable *customers;
  struct cds_list_head by_use;
};

/**
 * struct jl_fair_pool_route - a route of a pool
 * @runs: runs that a request causes at the scarce service
 */
struct jl_fair_pool_route
{
  uint32_t key;
  double runs;
};

/**
 * struct jl_fair_pool - routes of one rank that compete for a service
 * @routes: in ascending order of runs
 * @keep: share of the load that is kept
 * @level: load up to which a customer is served completely
 * @floor: least share of a customer's load that is kept
 * @offered: recent load of the requests that were decided on
 * @kept: recent load of those that were kept
 * @gain: correction of @keep in the computation of @level
 */
struct jl_fair_pool
{
  unsigned route_count;
  struct jl_fair_pool_route routes[JL_FAIR_SHARE_ROUTES_MAX];
  double keep;
  double level;
  double floor;
  double offered;
  double kept;
  double gain;
};

void jl_fair_share_init (struct jl_fair_share *share);

void jl_fair_share_clear (struct jl_fair_share *share);

/**
 * jl_fair_share_count - counts a request of a customer
 *
 * Return: the customer's state, valid until the next call.
 */
struct jl_fair_customer *jl_fair_share_count (struct jl_fair_share *share,
                                              uint64_t customer,
                                              uint32_t route_key,
                                              uint64_t now_us);

/**
 * jl_fair_customer_demand - returns the recent requests a second of a customer
 */
double jl_fair_customer_demand (const struct jl_fair_customer *customer,
                                uint64_t now_us);

/**
 * jl_fair_share_expire - drops customers without recent requests
 */
void jl_fair_share_expire (struct jl_fair_share *share, uint64_t now_us);

/**
 * jl_fair_pool_init - initializes a pool without routes
 */
void jl_fair_pool_init (struct jl_fair_pool *pool);

/**
 * jl_fair_pool_add - adds a route to a pool in the order of its runs; routes
 * above the maximum number are left out
 */
void
jl_fair_pool_add (struct jl_fair_pool *pool, uint32_t route_key, double runs);

/**
 * jl_fair_pool_divide - computes the level of a pool from the recent demand;
 * called at the end of each control window
 * @keep: share of the load that is kept
 */
void jl_fair_pool_divide (struct jl_fair_pool *pool,
                          const struct jl_fair_share *share,
                          double keep,
                          uint64_t now_us);

/**
 * jl_fair_pool_keep_share - returns the share of the customer's requests by a
 * route that is kept
 */
double jl_fair_pool_keep_share (const struct jl_fair_pool *pool,
                                const struct jl_fair_customer *customer,
                                uint32_t route_key,
                                uint64_t now_us);

/**
 * jl_fair_pool_count - counts a decision, by which the next level is corrected
 */
void
jl_fair_pool_count (struct jl_fair_pool *pool, uint32_t route_key, bool kept);

#endif
