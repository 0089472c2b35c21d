/**
 * DOC: Load test of the calls to the store after its return from an older copy.
 *
 * All daemons of a site lose the store at the same time, and have to read and
 * write again when it is back. The store allows 400 writes and 2,000 reads a
 * second.
 */

#include <criterion/criterion.h>

#include <arpa/inet.h>

#include "proxy/parts/address.h"
#include "proxy/parts/fake-store.h"
#include "store.h"

#define DAEMONS_MAX 300
#define WRITES_PER_S_MAX 400
#define CALLS_PER_S_MAX 2000
#define STEP_MS 100
#define STEPS_PER_S 10
/* Time within which all rows have to be back. */
#define RESTORED_STEPS (2 * STEPS_PER_S)

/**
 * struct daemon - a client of the store, which writes a row
 */
struct daemon
{
  struct jl_store *store;
  char name[16];
};

/**
 * struct site - all daemons and their store
 */
struct site
{
  struct fake_store fake;
  struct jl_loop *loop;
  unsigned count;
  struct daemon daemons[DAEMONS_MAX];
};

/**
 * struct load - calls to the store in each step after its return
 * @restored_steps: steps until all rows were back
 */
struct load
{
  unsigned writes[RESTORED_STEPS];
  unsigned calls[RESTORED_STEPS];
  unsigned restored_steps;
};

static void
write_row (struct daemon *daemon)
{
  jl_store_write (daemon->store, "daemons", daemon->name, "{}");
}

static void
on_row (void *context, const struct jl_row *row)
{
  (void)context;
  (void)row;
}

static void
on_reachability (void *context, bool reachable, const char *why)
{
  (void)context;
  (void)reachable;
  (void)why;
}

static void
on_written (void *context, const char *table)
{
  (void)context;
  (void)table;
}

static void
on_restored (void *context, uint64_t before, uint64_t era)
{
  (void)before;
  (void)era;
  write_row (context);
}

static const struct jl_store_ops ops = {
  .row = on_row,
  .reachable = on_reachability,
  .written = on_written,
  .restored = on_restored,
};

static void
run (struct site *site, unsigned ms)
{
  fake_store_run (&site->fake, site->loop, ms);
}

static void
open_site (struct site *site, unsigned count, unsigned host, unsigned spread_ms)
{
  struct jl_endpoint endpoint = { .ip = test_address (host), .port = 17007 };
  struct jl_net *net;

  fake_store_open (&site->fake, endpoint);
  site->fake.era = 5;
  site->loop = jl_loop_new ();
  net = jl_net_new (site->loop);
  site->count = count;
  for (unsigned i = 0; i < count; i++)
    {
      struct daemon *daemon = &site->daemons[i];

      g_snprintf (daemon->name, sizeof daemon->name, "d%03u", i);
      daemon->store = jl_store_new (site->loop, net, endpoint, &ops, daemon);
      jl_store_set_restore_spread (daemon->store, spread_ms * JL_USEC_PER_MSEC);
      jl_store_watch (daemon->store, "op", 0, 20000, 1200 * JL_USEC_PER_MSEC);
      jl_store_watch (daemon->store, "daemons", 0, 25000, JL_USEC_PER_SEC);
      write_row (daemon);
      run (site, 2);
    }
  run (site, 4000);
}

static unsigned
count_rows (struct site *site)
{
  unsigned count = 0;

  for (unsigned i = 0; i < site->count; i++)
    count += fake_store_get (&site->fake, "daemons", site->daemons[i].name)
             != NULL;
  return count;
}

/* The store is away for @away_ms, and comes back without the rows. */
static struct load
lose_and_restore (struct site *site, unsigned away_ms)
{
  struct load load = { .restored_steps = RESTORED_STEPS };

  cr_assert_eq (count_rows (site), site->count);
  site->fake.away = true;
  fake_store_restore (&site->fake, 2);
  run (site, away_ms);
  site->fake.away = false;
  for (unsigned i = 0; i < RESTORED_STEPS; i++)
    {
      unsigned writes = site->fake.writes;
      unsigned calls = site->fake.calls;

      run (site, STEP_MS);
      load.writes[i] = site->fake.writes - writes;
      load.calls[i] = site->fake.calls - calls;
      if (count_rows (site) == site->count)
        load.restored_steps = MIN (load.restored_steps, i + 1);
    }
  return load;
}

/* Returns the most calls within a second. */
static unsigned
most_in_a_second (const unsigned *steps)
{
  unsigned most = 0;

  for (unsigned i = 0; i + STEPS_PER_S <= RESTORED_STEPS; i++)
    {
      unsigned sum = 0;

      for (unsigned j = 0; j < STEPS_PER_S; j++)
        sum += steps[i + j];
      most = MAX (most, sum);
    }
  return most;
}

static void
check (unsigned count, unsigned host, unsigned spread_ms, unsigned away_ms)
{
  struct site *site = g_new0 (struct site, 1);
  struct load load;

  open_site (site, count, host, spread_ms);
  load = lose_and_restore (site, away_ms);
  cr_log_info ("%u daemons, away for %u ms: rows back within %u ms; at most %u "
               "writes and %u calls in a second",
               count, away_ms, load.restored_steps * STEP_MS,
               most_in_a_second (load.writes), most_in_a_second (load.calls));
  cr_assert_eq (count_rows (site), count);
  cr_assert_leq (most_in_a_second (load.writes), WRITES_PER_S_MAX);
  cr_assert_leq (most_in_a_second (load.calls), CALLS_PER_S_MAX);
  g_free (site);
}

Test (stampede, thirty_daemons_restore_their_rows_within_the_rates)
{
  check (30, 80, 300, 1000);
}

Test (stampede, three_hundred_daemons_restore_their_rows_within_the_rates)
{
  check (300, 81, 800, 1000);
}

Test (stampede, three_hundred_daemons_after_a_long_time_without_the_store)
{
  check (300, 82, 800, 5000);
}
