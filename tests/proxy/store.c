/**
 * DOC: Tests of rows that are kept written and read, against a played store.
 */

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <string.h>

#include "proxy/parts/fake-store.h"
#include "store.h"

/**
 * struct owner - what the owner of the client was told
 */
struct owner
{
  unsigned rows;
  unsigned written;
  char value[64];
};

static void
on_row (void *context, const struct jl_row *row)
{
  struct owner *owner = context;

  cr_assert_str_eq (row->key, "k");
  owner->rows++;
  g_strlcpy (owner->value, row->value, MIN (row->size + 1, 64));
}

static void
on_reach (void *context, bool reached, const char *why)
{
  (void)context;
  cr_assert (reached, "%s", why);
}

static void
on_written (void *context, const char *table)
{
  struct owner *owner = context;

  cr_assert_str_eq (table, "t");
  owner->written++;
}

static const struct jl_store_ops ops = {
  .row = on_row,
  .reach = on_reach,
  .written = on_written,
};

/**
 * struct rig - a client, and the store that it speaks to
 */
struct rig
{
  struct jl_loop *loop;
  struct fake_store played;
  struct jl_store *store;
  struct owner owner;
};

static void
rig_open (struct rig *rig, unsigned host)
{
  struct jl_endpoint endpoint
      = { .ip = INADDR_LOOPBACK + (host << 8), .port = 17007 };

  memset (rig, 0, sizeof *rig);
  fake_store_open (&rig->played, endpoint);
  rig->loop = jl_loop_new ();
  rig->store = jl_store_new (rig->loop, jl_net_new (rig->loop), endpoint, &ops,
                             &rig->owner);
}

static void
rig_turn (struct rig *rig)
{
  fake_store_run (&rig->played, rig->loop, 500);
}

/* A daemon that starts again has its row there already. */
Test (store, a_row_that_is_there_is_not_written_again)
{
  struct rig rig;

  rig_open (&rig, 77);
  fake_store_put (&rig.played, "t", "k", "mine");
  jl_store_keep (rig.store, "t", "k", "mine");
  rig_turn (&rig);
  cr_assert_eq (rig.played.writes, 1, "%u writes", rig.played.writes);
  cr_assert_eq (rig.owner.written, 1);
}

Test (store, the_owner_hears_of_the_row_that_its_own_replaces)
{
  struct rig rig;

  rig_open (&rig, 78);
  fake_store_put (&rig.played, "t", "k", "other");
  jl_store_keep (rig.store, "t", "k", "mine");
  rig_turn (&rig);
  cr_assert_eq (rig.played.writes, 2, "%u writes", rig.played.writes);
  cr_assert_str_eq (rig.owner.value, "other");
  cr_assert_eq (rig.owner.written, 1);
  cr_assert_str_eq (fake_store_get (&rig.played, "t", "k"), "mine");
}

Test (store, one_row_is_read)
{
  struct rig rig;

  rig_open (&rig, 79);
  fake_store_put (&rig.played, "t", "k", "there");
  fake_store_put (&rig.played, "t", "l", "of another");
  jl_store_read (rig.store, "t", "k");
  rig_turn (&rig);
  cr_assert_eq (rig.owner.rows, 1);
  cr_assert_str_eq (rig.owner.value, "there");
}
