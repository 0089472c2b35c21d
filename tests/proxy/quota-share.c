/**
 * DOC: Tests of the shares of two zones: moves, lost answers of the store, and
 * a store that comes back from an older copy. The shares must never sum to more
 * than the whole.
 */

#include <criterion/criterion.h>

#include <string.h>

#include "proxy/parts/quota-rig.h"
#include "store-tx.h"

#define GIFT 300000
#define HALF (JL_QUOTA_SHARE_UNITS / 2)

/* Two daemons, each alone in its zone, with the store of the first one. */
struct pair
{
  struct rig rigs[2];
};

static unsigned
units (const struct pair *pair, unsigned i)
{
  return jl_quota_units_of (pair->rigs[i].proxy->quota, jl_name_key ("c"));
}

static void
run (struct pair *pair, unsigned ms)
{
  uint64_t end_us = jl_now () + ms * JL_USEC_PER_MSEC;

  while (jl_now () < end_us)
    for (unsigned i = 0; i < 2; i++)
      {
        struct jl_roster *roster = &pair->rigs[i].proxy->roster;

        jl_roster_get_or_add (roster, i == 0 ? "d2" : "d1")->last_beacon_us
            = jl_now ();
        fake_store_run (&pair->rigs[0].store, pair->rigs[i].proxy->loop, 1);
        cr_assert_leq (units (pair, 0) + units (pair, 1), JL_QUOTA_SHARE_UNITS);
      }
}

/* Runs until the zones have these shares. */
static void
run_until (struct pair *pair, unsigned first, unsigned second)
{
  uint64_t end_us = jl_now () + 20 * JL_USEC_PER_SEC;

  while ((units (pair, 0) != first || units (pair, 1) != second)
         && jl_now () < end_us)
    run (pair, 10);
  cr_assert_eq (units (pair, 0), first, "%u", units (pair, 0));
  cr_assert_eq (units (pair, 1), second, "%u", units (pair, 1));
}

/* Runs until both zones have written their rows. */
static void
run_until_claimed (struct pair *pair)
{
  struct fake_store *store = &pair->rigs[0].store;
  uint64_t end_us = jl_now () + 20 * JL_USEC_PER_SEC;

  while (jl_now () < end_us
         && (fake_store_get (store, "caps", "z1") == NULL
             || fake_store_get (store, "caps", "z2") == NULL))
    run (pair, 10);
  run (pair, 200);
  cr_assert_not_null (fake_store_get (store, "caps", "z1"));
  cr_assert_not_null (fake_store_get (store, "caps", "z2"));
}

/* Value of the row of the first zone at the start, NULL for none. */
static const char *first_row;

static void
start (struct pair *pair, unsigned host)
{
  static const char *const names[] = { "d1", "d2" };
  static const char *const zones[] = { "z1", "z2" };

  for (unsigned i = 0; i < 2; i++)
    {
      quota_rig_prepare (&pair->rigs[i], host + i, names[i], zones[i]);
      pair->rigs[i].options.store = pair->rigs[0].options.store;
    }
  if (first_row != NULL)
    fake_store_put (&pair->rigs[0].store, "caps", "z1", first_row);
  for (unsigned i = 0; i < 2; i++)
    {
      pair->rigs[i].proxy = jl_proxy_new (&pair->rigs[i].options, NULL);
      cr_assert_not_null (pair->rigs[i].proxy);
      quota_rig_install (&pair->rigs[i], 100);
    }
  for (unsigned i = 0; i < 2; i++)
    rig_add_member (&pair->rigs[i], names[1 - i], zones[1 - i], "front")->peer
        = pair->rigs[1 - i].options.advertise;
  run (pair, 100);
  for (unsigned i = 0; i < 2; i++)
    {
      struct jl_quota *quota = pair->rigs[i].proxy->quota;
      uint64_t end_us = jl_now () + 20 * JL_USEC_PER_SEC;

      while (!quota->issuer.active && jl_now () < end_us)
        run (pair, 10);
      cr_assert (quota->issuer.active);
      /* So that the demand, which is none, counts as known. */
      quota->issuer.since_us -= 60 * JL_USEC_PER_SEC;
    }
  run_until_claimed (pair);
  run_until (pair, HALF, HALF);
}

static unsigned wanted_units = GIFT;

/* Lets the second zone give units to the first one. */
static void
give (struct pair *pair)
{
  struct beacon_share wanted = { jl_name_key ("c"), wanted_units, 0 };

  jl_quota_shares_give (pair->rigs[1].proxy->quota, "z1", &wanted, 1,
                        jl_now ());
}

Test (quota_share, units_move_with_both_rows)
{
  struct pair pair;

  start (&pair, 190);
  give (&pair);
  run_until (&pair, HALF + GIFT, HALF - GIFT);
  cr_assert_not_null (fake_store_get (&pair.rigs[0].store, "caps", "z1"));
  cr_assert_not_null (fake_store_get (&pair.rigs[0].store, "caps", "z2"));
}

/* The giver must not use what it may have given, and the receiver gets it. */
Test (quota_share, an_answer_that_is_lost_gives_the_units_once)
{
  struct pair pair;

  start (&pair, 192);
  pair.rigs[0].store.hold_writes = true;
  give (&pair);
  run_until (&pair, HALF, HALF - GIFT);
  pair.rigs[0].store.hold_writes = false;
  run_until (&pair, HALF + GIFT, HALF - GIFT);
}

/* A transaction that was not applied must not take the units for good. */
Test (quota_share, a_store_that_is_away_moves_nothing)
{
  struct pair pair;
  unsigned calls;

  start (&pair, 194);
  pair.rigs[0].store.silent_table = "none";
  give (&pair);
  calls = pair.rigs[0].store.writes;
  for (unsigned i = 0; i < 100 && pair.rigs[0].store.writes == calls; i++)
    {
      /* The read has been answered, and the write is not. */
      if (units (&pair, 1) < HALF)
        pair.rigs[0].store.away = true;
      run (&pair, 2);
    }
  pair.rigs[0].store.away = true;
  run (&pair, 500);
  pair.rigs[0].store.away = false;
  run (&pair, 6000);
  cr_assert_eq (units (&pair, 0) + units (&pair, 1), JL_QUOTA_SHARE_UNITS);
}

/* The smaller of the known and the read share applies. */
Test (quota_share, a_restored_store_raises_no_share)
{
  struct pair pair;

  start (&pair, 196);
  pair.rigs[0].store.era = 1;
  give (&pair);
  run_until (&pair, HALF + GIFT, HALF - GIFT);
  run (&pair, 300);
  fake_store_restore (&pair.rigs[0].store, 1);
  run_until (&pair, HALF, HALF - GIFT);
  run_until_claimed (&pair);
  run_until (&pair, HALF, HALF - GIFT);
}

/* Units that belong to no zone after that are used again. */
Test (quota_share, units_that_a_restored_store_lost_are_given_again)
{
  struct pair pair;

  start (&pair, 200);
  pair.rigs[0].store.era = 1;
  give (&pair);
  run_until (&pair, HALF + GIFT, HALF - GIFT);
  run (&pair, 300);
  fake_store_restore (&pair.rigs[0].store, 1);
  run_until_claimed (&pair);
  run (&pair, 1500);
  wanted_units = 1000;
  give (&pair);
  run_until (&pair, HALF + GIFT + 1000, HALF - GIFT - 1000);
}

/* Versions of the rows that a read has found, and the result of a write. */
struct access
{
  uint64_t versions[2];
  bool read;
  int result;
};

static void
on_row (void *context, const struct jl_row *row, uint64_t version)
{
  struct access *access = context;

  access->versions[row->key[1] - '1'] = version;
}

static void
on_read (void *context, bool complete)
{
  ((struct access *)context)->read = complete;
}

static void
on_written (void *context, enum jl_store_result result, uint64_t version)
{
  (void)version;
  ((struct access *)context)->result = result;
}

/* A transaction that the issuer before has begun must not be applied after the
 * next one has read the row. */
Test (quota_share, a_claim_refuses_an_earlier_transaction)
{
  static const struct jl_store_tx_ops ops
      = { .row = on_row, .read = on_read, .written = on_written };
  struct pair pair;
  struct access access = { .result = -1 };
  struct jl_store_tx *tx;
  uint64_t version;

  start (&pair, 198);
  tx = jl_store_tx_new (pair.rigs[0].proxy->store, "caps", &ops, &access);
  jl_store_tx_read (tx);
  for (unsigned i = 0; i < 500 && !access.read; i++)
    run (&pair, 10);
  version = pair.rigs[0].store.version;
  pair.rigs[1].proxy->quota->issuer.active = false;
  jl_quota_shares_tick (pair.rigs[1].proxy->quota, jl_now ());
  pair.rigs[1].proxy->quota->issuer.active = true;
  for (unsigned i = 0; i < 500 && pair.rigs[0].store.version == version; i++)
    run (&pair, 10);
  run (&pair, 100);
  jl_store_tx_write (
      tx,
      (const struct jl_store_put[]){ { "z1", access.versions[0], "{}" },
                                     { "z2", access.versions[1], "{}" } },
      2);
  for (unsigned i = 0; i < 500 && access.result < 0; i++)
    run (&pair, 10);
  cr_assert_eq (access.result, JL_STORE_REFUSED);
  cr_assert_str_neq (fake_store_get (&pair.rigs[0].store, "caps", "z1"), "{}");
}

/* Guards against a zone without an issuer because its row is malformed. */
Test (quota_share, an_odd_row_is_replaced)
{
  struct pair pair;

  first_row = "{\"shares\":7,\"members\":[[]]}";
  start (&pair, 169);
  cr_assert_not_null (
      strstr (fake_store_get (&pair.rigs[0].store, "caps", "z1"), "\"keys\""));
}
