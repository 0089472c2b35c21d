/**
 * DOC: Simulates customers that compete for a target's capacity at several
 * entries, and checks which share of its requests each customer is served.
 */

#include <criterion/criterion.h>
#include <math.h>

#include "policy/fair-share.h"

#include "proxy/parts/model.h"

/* As many daemons and as large a capacity as at the site with customers, so
 * that an entry sees about 28 requests a second. */
#define DAEMONS 78
#define CUSTOMERS_MAX 82
#define ROUTE 7
/* Slots and hold time of the target. */
#define SLOTS 56
#define HOLD_US 24000.0
/* Requests that a customer may send in one step. */
#define SLICES 8
#define CAPACITY (SLOTS * 1e6 / HOLD_US)

/**
 * struct market - customers, entries and one target
 * @random: the entries admit at random instead of by customer
 * @rates: requests a second of each customer
 * @tries: times that each customer sends a request that is refused
 * @offered: requests of each customer, without retries
 * @served: requests of each customer that were admitted
 */
struct market
{
  struct model model;
  struct jl_fair_share shares[DAEMONS];
  struct jl_fair_pool pools[DAEMONS];
  bool random;
  unsigned count;
  double rates[CUSTOMERS_MAX];
  unsigned tries[CUSTOMERS_MAX];
  double offered[CUSTOMERS_MAX];
  double served[CUSTOMERS_MAX];
};

static void
market_open (struct market *market, unsigned count)
{
  g_random_set_seed (1);
  *market = (struct market){ .count = count };
  model_init (&market->model, SLOTS, HOLD_US);
  for (unsigned i = 0; i < DAEMONS; i++)
    {
      jl_fair_share_init (&market->shares[i]);
      jl_fair_pool_init (&market->pools[i]);
      jl_fair_pool_add (&market->pools[i], ROUTE, 1);
    }
  for (unsigned i = 0; i < count; i++)
    market->tries[i] = 1;
}

static void
market_close (struct market *market)
{
  for (unsigned i = 0; i < DAEMONS; i++)
    jl_fair_share_clear (&market->shares[i]);
}

/* Sets rates in inverse proportion to the customers' numbers, as at the site
 * with customers. */
static void
set_skewed_rates (struct market *market, double total)
{
  double sum = 0;

  for (unsigned i = 0; i < market->count; i++)
    sum += pow (i + 1, -1.18);
  for (unsigned i = 0; i < market->count; i++)
    market->rates[i] = total * pow (i + 1, -1.18) / sum;
}

/* Sends a request to a random entry. Returns whether it was admitted. */
static bool
send (struct market *market, unsigned customer, uint64_t now_us)
{
  unsigned at = (unsigned)g_random_int_range (0, DAEMONS);
  struct jl_fair_pool *pool = &market->pools[at];
  double draw = g_random_double ();
  double keep = jl_fair_pool_keep_share (
      pool, jl_fair_share_count (&market->shares[at], customer, ROUTE, now_us),
      ROUTE, now_us);

  if (market->random)
    keep = pool->keep;
  jl_fair_pool_count (pool, ROUTE, draw < keep);
  if (draw < keep)
    model_admit (&market->model);
  return draw < keep;
}

static void
offer (struct market *market, unsigned customer, uint64_t now_us)
{
  bool admitted = false;

  market->offered[customer]++;
  for (unsigned i = 0; i < market->tries[customer] && !admitted; i++)
    admitted = send (market, customer, now_us);
  market->served[customer] += admitted;
}

/* Runs the market from now on, and counts from now on. */
static void
market_run (struct market *market, double seconds)
{
  for (unsigned i = 0; i < market->count; i++)
    market->offered[i] = market->served[i] = 0;
  for (unsigned step = 0; step < seconds * 1e6 / STEP_US; step++)
    {
      uint64_t now_us
          = JL_USEC_PER_SEC + (uint64_t)market->model.step * STEP_US;

      for (unsigned i = 0; i < market->count * SLICES; i++)
        if (g_random_double ()
            < market->rates[i / SLICES] * STEP_US / 1e6 / SLICES)
          offer (market, i / SLICES, now_us);
      model_step (&market->model, 0);
      if (market->model.step % (JL_CONTROL_WINDOW_US / STEP_US) != 0)
        continue;
      for (unsigned i = 0; i < DAEMONS; i++)
        jl_fair_pool_divide (&market->pools[i], &market->shares[i],
                             1 - market->model.shedder.shed_share, now_us);
    }
}

/* Returns the served share of the customers from @first on, @count of them. */
static double
served_share (const struct market *market, unsigned first, unsigned count)
{
  double offered = 0;
  double served = 0;

  for (unsigned i = first; i < first + count; i++)
    {
      offered += market->offered[i];
      served += market->served[i];
    }
  return offered > 0 ? served / offered : 1;
}

/* Returns by how much the served share of the others falls in a surge of the
 * first customer. */
static double
loss_in_surge (struct market *market, double factor)
{
  double before;
  double after;

  market_run (market, 20);
  before = served_share (market, 1, market->count - 1);
  market->rates[0] *= factor;
  market_run (market, 30);
  after = served_share (market, 1, market->count - 1);
  cr_log_info ("others %.3f, then %.3f; the surge %.3f, all %.3f", before,
               after, served_share (market, 0, 1),
               served_share (market, 0, market->count));
  return before - after;
}

/* Guards against a surge of one customer that its entries refuse at the cost of
 * all. The customer sends to all daemons. */
Test (fair_share, others_do_not_notice_a_surge_of_the_largest_customer)
{
  struct market market;
  double loss;

  market_open (&market, 81);
  set_skewed_rates (&market, 0.85 * CAPACITY);
  market.random = true;
  cr_assert_gt (loss_in_surge (&market, 5), 0.2, "the load is not scarce");
  market_close (&market);
  market_open (&market, 81);
  set_skewed_rates (&market, 0.85 * CAPACITY);
  loss = loss_in_surge (&market, 5);
  cr_assert_lt (loss, 0.02, "loss of the others: %.3f", loss);
  cr_assert_gt (served_share (&market, 0, 81) * (5 * 0.27 + 0.73) * 0.85, 0.9,
                "capacity is not used");
  market_close (&market);
}

/* Equal customers have a request in three seconds at each daemon, so that
 * estimates of their demand vary by a large part of their size. */
Test (fair_share, others_do_not_notice_a_surge_among_equal_customers)
{
  struct market market;
  double loss;

  market_open (&market, 81);
  for (unsigned i = 0; i < 81; i++)
    market.rates[i] = 0.96 * CAPACITY / 81;
  loss = loss_in_surge (&market, 5);
  cr_assert_lt (loss, 0.02, "loss of the others: %.3f", loss);
  market_close (&market);
}

/* Guards against a larger share for a customer that sends refused requests
 * again at once. */
Test (fair_share, retries_of_refused_requests_gain_nothing)
{
  struct market market;
  double with;
  double without;

  market_open (&market, 20);
  for (unsigned i = 0; i < 20; i++)
    market.rates[i] = 1.8 * CAPACITY / 20;
  for (unsigned i = 0; i < 5; i++)
    market.tries[i] = 3;
  market_run (&market, 20);
  market_run (&market, 40);
  with = served_share (&market, 0, 5);
  without = served_share (&market, 5, 15);
  cr_log_info ("%.3f with retries, %.3f without", with, without);
  cr_assert_lt (with, 1.05 * without, "%.3f with retries, %.3f without", with,
                without);
  market_close (&market);
}

/* Guards against a customer that is cut off because its demand is far above
 * all others. */
Test (fair_share, no_customer_is_below_a_quarter_of_the_share_of_all)
{
  struct market market;

  market_open (&market, 82);
  set_skewed_rates (&market, 1.5 * CAPACITY);
  market.rates[0] *= 6;
  market_run (&market, 20);
  market_run (&market, 40);
  for (unsigned i = 0; i < 82; i++)
    cr_assert_gt (served_share (&market, i, 1),
                  0.25 * served_share (&market, 0, 82),
                  "customer %u: %.3f, all: %.3f", i,
                  served_share (&market, i, 1), served_share (&market, 0, 82));
  market_close (&market);
}

/* A customer that surges on a cheap route must not displace the dearer requests
 * of others, but uses its own share for its cheapest requests first. */
Test (fair_share, capacity_is_divided_by_customer_and_not_by_route)
{
  struct jl_fair_share share;
  struct jl_fair_pool pool;
  struct jl_fair_customer *customer[2] = { NULL };
  uint64_t now_us = JL_USEC_PER_SEC;

  jl_fair_share_init (&share);
  jl_fair_pool_init (&pool);
  jl_fair_pool_add (&pool, 2, 8);
  jl_fair_pool_add (&pool, 1, 1);
  for (unsigned i = 0; i < 6000; i++, now_us += 10000)
    {
      customer[0] = jl_fair_share_count (&share, 10, 1, now_us);
      if (i % 10 == 0)
        customer[0] = jl_fair_share_count (&share, 10, 2, now_us);
      if (i % 20 == 0)
        customer[1] = jl_fair_share_count (&share, 11, 2, now_us);
    }
  /* The first one has a load of 180, the second one a load of 40. */
  jl_fair_pool_divide (&pool, &share, 0.6, now_us);
  cr_assert_eq (jl_fair_pool_keep_share (&pool, customer[1], 2, now_us), 1);
  cr_assert_gt (jl_fair_pool_keep_share (&pool, customer[0], 1, now_us), 0.85);
  cr_assert_lt (jl_fair_pool_keep_share (&pool, customer[0], 2, now_us), 0.1);
  jl_fair_share_clear (&share);
}

/* Guards against state that grows with the number of customers ever seen. */
Test (fair_share, the_state_of_many_customers_is_bounded)
{
  struct jl_fair_share share;
  struct jl_fair_pool pool;
  uint64_t now_us = JL_USEC_PER_SEC;

  jl_fair_share_init (&share);
  jl_fair_pool_init (&pool);
  jl_fair_pool_add (&pool, ROUTE, 1);
  for (unsigned i = 0; i < 2000; i++)
    jl_fair_share_count (&share, i, ROUTE, now_us += 100);
  cr_assert_eq (g_hash_table_size (share.customers), 2000);
  jl_fair_pool_divide (&pool, &share, 0.5, now_us);
  for (unsigned i = 0; i < 3 * JL_FAIR_SHARE_CUSTOMERS_MAX; i++)
    jl_fair_share_count (&share, i, ROUTE, now_us += 100);
  cr_assert_eq (g_hash_table_size (share.customers),
                JL_FAIR_SHARE_CUSTOMERS_MAX);
  jl_fair_share_expire (&share, now_us + JL_FAIR_SHARE_RETENTION_US + 1);
  cr_assert_eq (g_hash_table_size (share.customers), 0);
  jl_fair_share_clear (&share);
}
