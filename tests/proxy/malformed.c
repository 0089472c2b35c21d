/**
 * DOC: Tests of malformed and endless answers and rows of the store: they end
 * nothing, cause no flood of calls, and nothing of them remains.
 */

#include <criterion/criterion.h>

#include <string.h>

#include "proxy/parts/address.h"
#include "proxy/parts/rig.h"
#include "store.h"

/* Most calls to the store in 500 ms by a client that reads a row, reads and
 * follows a table and writes a row, while no call succeeds. */
#define FAILING_CALLS_MAX 30
/* More than any table of the store has. */
#define ENDLESS_BYTES ((size_t)32 << 20)

static void
on_row (void *context, const struct jl_row *row)
{
  unsigned *rows = context;

  *rows += strcmp (row->key, "k") == 0;
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
  (void)context;
  (void)before;
  (void)era;
}

static const struct jl_store_ops ops = {
  .row = on_row,
  .reachable = on_reachability,
  .written = on_written,
  .restored = on_restored,
};

/* Plays a store that gives this answer to each call for 500 ms, and right ones
 * then. */
static void
play_answer (unsigned host, unsigned status, const char *answer)
{
  struct jl_endpoint endpoint
      = { .ip = test_address (host), .port = STORE_PORT };
  struct jl_loop *loop = jl_loop_new ();
  struct fake_store fake;
  struct jl_store *store;
  bool is_right_for_a_write = strstr (answer, "\"ver\":5") != NULL;
  unsigned rows = 0;

  fake_store_open (&fake, endpoint);
  fake_store_put (&fake, "t", "k", "there");
  fake.raw_answer = answer;
  fake.raw_status = status;
  store = jl_store_new (loop, jl_net_new (loop), endpoint, &ops, &rows);
  jl_store_watch (store, "t", 0, 1000, 0);
  jl_store_read_row (store, "r", "k");
  jl_store_write (store, "w", "l", "mine");
  fake_store_run (&fake, loop, 500);
  cr_expect_leq (fake.calls, FAILING_CALLS_MAX, "%u calls for %u \"%.60s\"",
                 fake.calls, status, answer);
  cr_expect_eq (rows, 0, "%u \"%.60s\"", status, answer);
  fake.raw_answer = NULL;
  fake_store_run (&fake, loop, 1500);
  cr_expect_gt (rows, 0, "%u \"%.60s\"", status, answer);
  cr_expect (fake_store_get (&fake, "w", "l") != NULL || is_right_for_a_write,
             "%u \"%.60s\"", status, answer);
}

Test (malformed, answers_that_are_no_pages_are_failures)
{
  static const char *const answers[] = {
    "",
    "{",
    "null",
    "[]",
    "\"rows\"",
    "{}",
    "{\"ver\":5}",
    "{\"ver\":5,\"morePages\":true}",
    "{\"rows\":[]}",
    "{\"rows\":{},\"ver\":5}",
    "{\"rows\":null,\"ver\":5,\"morePages\":true}",
    "{\"rows\":[],\"ver\":-5}",
    "{\"rows\":[],\"ver\":\"five\"}",
    "{\"rows\":[],\"ver\":5}",
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (answers); i++)
    play_answer (80, 200, answers[i]);
}

Test (malformed, pages_without_end_are_failures)
{
  static const char *const answers[] = {
    "{\"rows\":[],\"ver\":5,\"morePages\":true}",
    "{\"rows\":[null,[],7,{\"key\":null},{}],\"ver\":5,\"morePages\":true}",
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (answers); i++)
    play_answer (81, 200, answers[i]);
}

Test (malformed, refusals_without_rows_are_repeated_later)
{
  static const char *const answers[]
      = { "", "[]", "{}", "{\"rows\":[]}", "{\"rows\":[null]}" };

  for (unsigned i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      play_answer (82, 412, answers[i]);
      play_answer (82, 410, answers[i]);
    }
}

Test (malformed, an_answer_without_end_is_given_up)
{
  char *spaces = g_strnfill (ENDLESS_BYTES, ' ');
  char *answer
      = g_strconcat ("{\"rows\":[{\"key\":\"k\"}],\"ver\":5}", spaces, NULL);

  play_answer (83, 200, answer);
  g_free (answer);
  g_free (spaces);
}

#define LARGE_ROWS 40
#define LARGE_ROW_BYTES 65536

/* Guards against a daemon that hears of no change any more, once there were
 * more of them than one answer can hold. */
Test (malformed, changes_beyond_an_answer_are_read_as_a_whole_table)
{
  struct jl_endpoint endpoint = { .ip = test_address (79), .port = STORE_PORT };
  struct jl_loop *loop = jl_loop_new ();
  char *value = g_strnfill (LARGE_ROW_BYTES, 'v');
  struct fake_store fake;
  struct jl_store *store;
  unsigned rows = 0;

  fake_store_open (&fake, endpoint);
  fake.page_rows = 8;
  fake_store_put (&fake, "t", "k", "there");
  store = jl_store_new (loop, jl_net_new (loop), endpoint, &ops, &rows);
  jl_store_watch (store, "t", 0, 1000, 0);
  fake_store_run (&fake, loop, 200);
  cr_assert_eq (rows, 1);
  fake_store_lose_calls (&fake, "t");
  for (unsigned i = 0; i < LARGE_ROWS; i++)
    {
      char *key = g_strdup_printf ("k%u", i);

      fake_store_put (&fake, "t", key, value);
      g_free (key);
    }
  fake_store_put (&fake, "t", "k", "changed");
  fake_store_run (&fake, loop, 5000);
  cr_assert_geq (rows, 2);
  g_free (value);
}

static const char *const rows_of_daemons[] = {
  "",
  "[]",
  "{\"peer\":7,\"zone\":{}}",
  "{\"peer\":\"127.0.0.1:99999\",\"zone\":\"z1\"}",
  "{\"peer\":\"127.0.0.1:9\"}",
  "{\"peer\":null,\"zone\":null}",
  "{\"refused\":7}",
  "{\"refused\":[null,7,{},{\"content\":7},{\"content\":\"x\",\"ends\":{}}]}",
  "{\"refused\":[{\"content\":\"1\",\"ends\":[7,[],[1],[{},[],\"x\",null]]}]}",
};

static const char *const rows_of_targets[] = {
  "",
  "7",
  "{\"left\":{}}",
  "{\"left\":[null,7,{},{\"target\":{},\"born_ms\":[]}]}",
};

static const char *const configurations[] = {
  "",
  "[]",
  "{}",
  "{\"version\":7}",
  "{\"version\":\"0000ffff\",\"routes\":7}",
  "{\"version\":\"0000ffff\",\"routes\":{\"columns\":7,\"rows\":{}}}",
  "{\"version\":\"0000ffff\",\"routes\":{\"columns\":[7],\"rows\":[7,[[]]]}}",
  "{\"version\":\"0000ffff\",\"limits\":[],\"customers\":7,\"plan\":[]}",
};

/* All rows are met at the start, when the target's row is read, and then as
 * changes. */
static void
put_malformed_rows (struct rig *rig, unsigned i)
{
  char *key = g_strdup_printf ("m%u", i);
  char *refused_key = g_strdup_printf ("refused/m%u", i);

  fake_store_put (&rig->store, "daemons", key,
                  rows_of_daemons[i % G_N_ELEMENTS (rows_of_daemons)]);
  fake_store_put (&rig->store, "daemons", refused_key,
                  rows_of_daemons[i % G_N_ELEMENTS (rows_of_daemons)]);
  fake_store_put (&rig->store, "targets", "d5",
                  rows_of_targets[i % G_N_ELEMENTS (rows_of_targets)]);
  fake_store_put (&rig->store, "op", "config",
                  configurations[i % G_N_ELEMENTS (configurations)]);
  g_free (refused_key);
  g_free (key);
}

Test (malformed, rows_end_no_daemon_and_later_ones_hold)
{
  struct rig rig;

  rig_prepare (&rig, 84);
  put_malformed_rows (&rig, 3);
  rig_start (&rig);
  rig_run (&rig, 800);
  for (unsigned i = 0; i < 12; i++)
    {
      put_malformed_rows (&rig, i);
      rig_run (&rig, 150);
    }
  fake_store_put (
      &rig.store, "op", "config",
      "{\"version\":\"00000009\",\"routes\":{\"columns\":[\"name\"],\"rows\":[]"
      "},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000,"
      "\"headerTimeoutS\":3,\"idleTimeoutS\":15}}");
  rig_run (&rig, 500);
  cr_assert_not_null (rig.proxy->site);
  cr_assert_eq (rig.proxy->site->version, 9);
  rig_heartbeat (&rig, "t1", 1, 1);
}

/* Names of daemons have a maximum length. A row with a longer one must not add
 * a daemon each time it is read. */
Test (malformed, a_name_of_a_daemon_that_is_too_long_adds_none)
{
  struct rig rig;
  char *key = g_strnfill ((gsize)4 * JL_TEXT_SIZE, 'n');
  guint before;

  rig_prepare (&rig, 85);
  rig_start (&rig);
  rig_run (&rig, 800);
  before = g_hash_table_size (rig.proxy->roster.by_name);
  for (unsigned i = 0; i < 4; i++)
    {
      fake_store_put (&rig.store, "daemons", key,
                      "{\"peer\":\"127.0.0.1:9\",\"zone\":\"z1\"}");
      fake_store_put (&rig.store, "daemons", "",
                      "{\"peer\":\"127.0.0.1:9\",\"zone\":\"z1\"}");
      rig_run (&rig, 300);
    }
  cr_assert_eq (g_hash_table_size (rig.proxy->roster.by_name), before);
  g_free (key);
}
