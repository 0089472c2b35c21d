/**
 * DOC: Tests of the platform client against a fake of the table service.
 */

#include <criterion/criterion.h>
#include <string.h>

#include "jackdawladder/platform.h"
#include "platform/row.h"
#include "support/table.h"

#define TIMEOUT_MS 5000
#define RACERS 8

/* Set up anew for each test. */
static struct table *table;
static struct jl_platform *platform;
static GError *error;

static void
set_up (void)
{
  table = table_open ();
  platform = jl_platform_new (table->endpoint, TIMEOUT_MS);
}

static void
tear_down (void)
{
  g_clear_error (&error);
  jl_platform_drop (platform);
  cr_assert_not (table->version_skipped);
  table_close (table);
}

TestSuite (platform, .init = set_up, .fini = tear_down);

static void
assert_failed (bool success, enum jl_platform_error code)
{
  cr_assert_not (success);
  cr_assert_not_null (error);
  cr_assert (g_error_matches (error, JL_PLATFORM_ERROR, (int)code),
             "code %d: %s", error->code, error->message);
  g_clear_error (&error);
}

static void
assert_succeeded (bool success)
{
  cr_assert (success, "%s", error == NULL ? "" : error->message);
  cr_assert_null (error);
}

static bool
apply (const char *text, uint64_t base)
{
  uint64_t version = 0;
  bool success
      = jl_platform_apply_config (platform, text, base, &version, &error);

  cr_assert (!success || version == base + 1);
  return success;
}

static void
assert_config (uint64_t version, const char *text)
{
  struct jl_stored_config stored;

  table_script_reads (table, NULL);
  assert_succeeded (jl_platform_read_config (platform, &stored, NULL, &error));
  cr_assert_eq (stored.version, version);
  cr_assert_str_eq (stored.text, text);
  g_free (stored.text);
}

Test (platform, reads_and_writes_under_conditions)
{
  char *etag = NULL;
  char *value = jl_platform_read (platform, "a/b", &etag, &error);

  assert_failed (value != NULL, JL_PLATFORM_ERROR_ABSENT);
  assert_succeeded (jl_platform_insert (platform, "a/b", "1", &error));
  assert_failed (jl_platform_insert (platform, "a/b", "2", &error),
                 JL_PLATFORM_ERROR_CONFLICT);
  value = jl_platform_read (platform, "a/b", &etag, &error);
  cr_assert_str_eq (value, "1");
  assert_succeeded (jl_platform_replace (platform, "a/b", "3", etag, &error));
  assert_failed (jl_platform_replace (platform, "a/b", "4", etag, &error),
                 JL_PLATFORM_ERROR_CONFLICT);
  assert_succeeded (jl_platform_replace (platform, "a/b", "5", NULL, &error));
  g_free (value);
  value = jl_platform_read (platform, "a/b", NULL, &error);
  cr_assert_str_eq (value, "5");
  g_free (value);
  g_free (etag);
}

Test (platform, lists_rows)
{
  GHashTable *rows;

  table_store (table, "list", "{\"p/1\":\"one\",\"p/2\":\"\"}");
  rows = jl_platform_list (platform, "p/", &error);
  assert_succeeded (rows != NULL);
  cr_assert_eq (g_hash_table_size (rows), 2);
  cr_assert_str_eq (g_hash_table_lookup (rows, "p/1"), "one");
  g_hash_table_unref (rows);
  table_store (table, "list", "{\"p/1\":7}");
  rows = jl_platform_list (platform, "p/", &error);
  assert_failed (rows != NULL, JL_PLATFORM_ERROR_REFUSED);
  table_store (table, "list", "[");
  rows = jl_platform_list (platform, "p/", &error);
  assert_failed (rows != NULL, JL_PLATFORM_ERROR_REFUSED);
}

Test (platform, tells_not_sent_from_unknown)
{
  struct jl_endpoint closed_endpoint = { .ip = 0x7f140002, .port = 9 };
  struct jl_platform *unreachable
      = jl_platform_new (closed_endpoint, TIMEOUT_MS);

  assert_failed (jl_platform_insert (unreachable, "a", "1", &error),
                 JL_PLATFORM_ERROR_UNREACHABLE);
  jl_platform_drop (unreachable);
  table_script_writes (table, "deb");
  assert_failed (jl_platform_insert (platform, "a", "1", &error),
                 JL_PLATFORM_ERROR_UNKNOWN);
  assert_failed (jl_platform_insert (platform, "a", "1", &error),
                 JL_PLATFORM_ERROR_UNKNOWN);
  assert_failed (jl_platform_insert (platform, "a", "1", &error),
                 JL_PLATFORM_ERROR_REFUSED);
}

Test (platform, never_repeats_a_write_on_a_dead_connection)
{
  assert_succeeded (jl_platform_insert (platform, "a", "1", &error));
  table_script_writes (table, "d");
  assert_failed (jl_platform_replace (platform, "a", "2", NULL, &error),
                 JL_PLATFORM_ERROR_UNKNOWN);
  cr_assert_eq (table_write_count (table), 2);
}

Test (platform, repeats_a_read_on_a_dead_connection)
{
  char *value;

  assert_succeeded (jl_platform_insert (platform, "a", "1", &error));
  table_script_reads (table, "d");
  value = jl_platform_read (platform, "a", NULL, &error);
  assert_succeeded (value != NULL);
  g_free (value);
}

Test (platform, applies_one_version_after_the_other)
{
  struct jl_stored_config stored;

  assert_failed (jl_platform_read_config (platform, &stored, NULL, &error),
                 JL_PLATFORM_ERROR_ABSENT);
  assert_succeeded (apply ("{\"first\": \"\xc3\xa9\"}\n// \\ \" end", 0));
  assert_config (1, "{\"first\": \"\xc3\xa9\"}\n// \\ \" end");
  assert_succeeded (apply ("second", 1));
  assert_config (2, "second");
}

Test (platform, names_the_conflict)
{
  table_apply_others (table, 3);
  cr_assert_not (apply ("mine", 2));
  cr_assert_str_eq (error->message, "version 3 is in force, not 2 as expected");
  assert_failed (false, JL_PLATFORM_ERROR_CONFLICT);
  assert_failed (apply ("mine", 0), JL_PLATFORM_ERROR_CONFLICT);
  assert_failed (apply ("mine", 4), JL_PLATFORM_ERROR_CONFLICT);
  cr_assert_eq (table_write_count (table), 0);
  assert_config (3, "other");
}

Test (platform, refuses_a_malformed_row)
{
  static const char *const rows[] = {
    "",
    "[]",
    "{}",
    "{\"version\":0,\"apply_id\":\"a\",\"document\":\"\"}",
    "{\"version\":-1,\"apply_id\":\"a\",\"document\":\"\"}",
    "{\"version\":\"1\",\"apply_id\":\"a\",\"document\":\"\"}",
    "{\"version\":1,\"apply_id\":7,\"document\":\"\"}",
    "{\"version\":1,\"apply_id\":\"a\"}",
    "{\"version\":1,\"apply_id\":\"a\",\"document\":\"\",\"earlier\":1}"
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct jl_stored_config stored;

      table_store (table, JL_PLATFORM_CONFIG_KEY, rows[i]);
      assert_failed (jl_platform_read_config (platform, &stored, NULL, &error),
                     JL_PLATFORM_ERROR_REFUSED);
    }
  table->version_skipped = false;
}

Test (platform, learns_that_its_lost_apply_won)
{
  table_script_writes (table, "l");
  assert_succeeded (apply ("mine", 0));
  table_script_writes (table, "l");
  assert_succeeded (apply ("next", 1));
  cr_assert_eq (table_write_count (table), 2);
  assert_config (2, "next");
}

Test (platform, learns_that_its_lost_apply_lost)
{
  table_script_writes (table, "r");
  assert_failed (apply ("mine", 0), JL_PLATFORM_ERROR_CONFLICT);
  assert_config (1, "other");
}

Test (platform, sends_a_dropped_apply_again)
{
  table_script_writes (table, "dde");
  cr_assert_not (apply ("mine", 0));
  assert_failed (false, JL_PLATFORM_ERROR_UNKNOWN);
  table_script_writes (table, "de");
  assert_succeeded (apply ("mine", 0));
  assert_config (1, "mine");
}

Test (platform, knows_its_apply_that_came_late)
{
  table_script_writes (table, "p");
  assert_succeeded (apply ("mine", 0));
  cr_assert_eq (table_write_count (table), 2);
  assert_config (1, "mine");
}

Test (platform, knows_its_apply_below_others)
{
  table_script_writes (table, "f");
  table->other_applies = JL_CONFIG_ROW_EARLIER_MAX;
  assert_succeeded (apply ("mine", 0));
  assert_config (1 + JL_CONFIG_ROW_EARLIER_MAX, "other");
}

Test (platform, admits_that_too_many_others_have_followed)
{
  table_script_writes (table, "f");
  table->other_applies = JL_CONFIG_ROW_EARLIER_MAX + 1;
  assert_failed (apply ("mine", 0), JL_PLATFORM_ERROR_UNKNOWN);
}

Test (platform, admits_that_an_outage_hides_the_outcome)
{
  table_script_writes (table, "lll");
  table_script_reads (table, "odddddd");
  assert_failed (apply ("mine", 0), JL_PLATFORM_ERROR_UNKNOWN);
  assert_config (1, "mine");
}

Test (platform, says_that_nothing_was_written_when_it_could_not_read)
{
  table_script_reads (table, "dd");
  assert_failed (apply ("mine", 0), JL_PLATFORM_ERROR_UNREACHABLE);
  cr_assert_eq (table_write_count (table), 0);
}

/**
 * struct racer - one of several concurrent operators or daemons
 * @outcome: an enum jl_platform_error, or -1 on success
 */
struct racer
{
  GThread *thread;
  uint64_t base;
  struct jl_ticket owner;
  uint32_t number;
  int outcome;
  char message[128];
};

static gpointer
race_apply (gpointer data)
{
  struct racer *racer = data;
  GError *failure = NULL;
  uint64_t version = 0;
  char text[16];

  g_snprintf (text, sizeof text, "by %u", racer->number);
  racer->outcome = -1;
  if (!jl_platform_apply_config (platform, text, racer->base, &version,
                                 &failure))
    {
      racer->outcome = failure->code;
      g_strlcpy (racer->message, failure->message, sizeof racer->message);
      g_error_free (failure);
    }
  return NULL;
}

static gpointer
race_claim (gpointer data)
{
  struct racer *racer = data;
  struct jl_ticket ticket
      = { .issuer = { .member = racer->number + 1, .epoch = 5 }, .number = 9 };

  racer->outcome = -1;
  if (!jl_platform_claim (platform, 42, ticket, &racer->owner, NULL))
    racer->outcome = 0;
  return NULL;
}

static void
race (struct racer *racers, GThreadFunc run, uint64_t base)
{
  for (uint32_t i = 0; i < RACERS; i++)
    {
      racers[i] = (struct racer){ .number = i, .base = base };
      racers[i].thread = g_thread_new ("racer", run, &racers[i]);
    }
  for (uint32_t i = 0; i < RACERS; i++)
    g_thread_join (racers[i].thread);
}

/* Runs concurrent applies on version @base. Exactly one must succeed; the
   others must report the conflict. */
static void
check_race (uint64_t base)
{
  struct racer racers[RACERS];
  char text[16] = "";
  char conflict[64];
  uint32_t winners = 0;

  race (racers, race_apply, base);
  g_snprintf (conflict, sizeof conflict, "version %u is in force, not %u",
              (unsigned)base + 1, (unsigned)base);
  for (uint32_t i = 0; i < RACERS; i++)
    {
      if (racers[i].outcome != -1)
        {
          cr_assert_eq (racers[i].outcome, JL_PLATFORM_ERROR_CONFLICT, "%s",
                        racers[i].message);
          cr_assert (g_str_has_prefix (racers[i].message, conflict), "%s",
                     racers[i].message);
          continue;
        }
      winners++;
      g_snprintf (text, sizeof text, "by %u", i);
    }
  cr_assert_eq (winners, 1);
  assert_config (base + 1, text);
}

Test (platform, lets_one_of_racing_applies_win)
{
  for (uint64_t base = 0; base < 20; base++)
    check_race (base);
}

Test (platform, lets_one_of_racing_applies_win_with_lost_answers)
{
  for (uint64_t base = 0; base < 20; base++)
    {
      table_script_writes (table, base % 2 == 0 ? "lolllold" : "plopdlo");
      check_race (base);
    }
}

static struct jl_ticket
claim (uint64_t number)
{
  struct jl_ticket ticket
      = { .issuer = { .member = 1, .epoch = 2 }, .number = number };
  struct jl_ticket owner = { .number = 0 };

  assert_succeeded (jl_platform_claim (platform, 7, ticket, &owner, &error));
  return owner;
}

Test (platform, gives_a_key_to_its_first_claim)
{
  cr_assert_eq (claim (5).number, 5);
  cr_assert_eq (claim (6).number, 5);
  cr_assert_not_null (g_hash_table_lookup (
      table->rows, "jackdawladder/claim/0000000000000007"));
}

Test (platform, finds_out_about_a_claim_whose_answer_was_lost)
{
  table_script_writes (table, "l");
  cr_assert_eq (claim (5).number, 5);
  table_script_writes (table, "l");
  cr_assert_eq (claim (6).number, 5);
}

Test (platform, sends_a_dropped_claim_again)
{
  table_script_writes (table, "de");
  cr_assert_eq (claim (5).number, 5);
}

Test (platform, knows_its_claim_that_came_late)
{
  table_script_writes (table, "p");
  cr_assert_eq (claim (5).number, 5);
}

Test (platform, is_not_certain_of_a_claim_in_an_outage)
{
  struct jl_ticket ticket = { .number = 5 };
  struct jl_ticket owner;

  table_script_writes (table, "l");
  table_script_reads (table, "dd");
  assert_failed (jl_platform_claim (platform, 7, ticket, &owner, &error),
                 JL_PLATFORM_ERROR_UNKNOWN);
  table_store (table, "jackdawladder/claim/0000000000000008", "not a ticket");
  assert_failed (jl_platform_claim (platform, 8, ticket, &owner, &error),
                 JL_PLATFORM_ERROR_REFUSED);
}

Test (platform, lets_racing_claims_agree_on_one_owner)
{
  struct racer racers[RACERS];

  table_script_writes (table, "ldpolld");
  race (racers, race_claim, 0);
  for (uint32_t i = 0; i < RACERS; i++)
    {
      cr_assert_eq (racers[i].outcome, -1);
      cr_assert (jl_ticket_equal (racers[i].owner, racers[0].owner));
    }
}
