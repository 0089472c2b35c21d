/**
 * DOC: The client of the platform's table, against a fake of its table.
 *
 * The fake is told by letters what becomes of each write and read.
 */

#include <criterion/criterion.h>
#include <string.h>

#include <civetweb.h>

#include "jackdawladder/platform.h"
#include "platform/row.h"

#define TIMEOUT_MS 5000
#define RACERS 8

/**
 * struct fake - the table
 * @writes: letters for the next writes: o obey, l obey and lose the answer,
 *          d drop, e answer 503, b answer 400, p drop and obey after the next
 *          read, f obey, let others follow and lose the answer, r let another
 *          win and drop; after the last letter all are obeyed
 * @reads: letters for the next reads: o obey, d drop
 * @followers: other applies for letter f
 * @went_back: a configuration was replaced by one not one version above it
 */
struct fake
{
  struct mg_context *server;
  struct jl_endpoint endpoint;
  GMutex lock;
  GHashTable *rows;
  uint64_t last_tag;
  const char *writes;
  const char *reads;
  uint32_t followers;
  uint32_t write_count;
  uint32_t read_count;
  bool went_back;
  char *pending_key;
  char *pending_tag;
  char *pending_value;
};

struct fake_row
{
  char tag[24];
  char *value;
};

static void
drop_row (gpointer data)
{
  struct fake_row *row = data;

  g_free (row->value);
  g_free (row);
}

static char
next_letter (const char **letters)
{
  return *letters == NULL || **letters == '\0' ? 'o' : *(*letters)++;
}

static uint64_t
version_of (const char *value)
{
  struct jl_row row;

  if (value == NULL || !jl_row_parse (&row, value, NULL))
    return 0;
  g_free (row.applied.text);
  return row.applied.version;
}

static void
store (struct fake *fake, const char *key, const char *value)
{
  struct fake_row *old = g_hash_table_lookup (fake->rows, key);
  struct fake_row *row = g_new0 (struct fake_row, 1);

  if (strcmp (key, JL_PLATFORM_CONFIG_KEY) == 0
      && version_of (value) != version_of (old == NULL ? NULL : old->value) + 1)
    fake->went_back = true;
  g_snprintf (row->tag, sizeof row->tag, "\"%" G_GUINT64_FORMAT "\"",
              ++fake->last_tag);
  row->value = g_strdup (value);
  g_hash_table_replace (fake->rows, g_strdup (key), row);
}

/* Stores under a condition: a tag, "*" for absent, NULL for none. */
static bool
store_if (struct fake *fake,
          const char *key,
          const char *tag,
          const char *value)
{
  struct fake_row *old = g_hash_table_lookup (fake->rows, key);

  if (tag != NULL && strcmp (tag, "*") == 0 && old != NULL)
    return false;
  if (tag != NULL && strcmp (tag, "*") != 0
      && (old == NULL || strcmp (old->tag, tag) != 0))
    return false;
  store (fake, key, value);
  return true;
}

/* Puts @count configurations of other operators on top. */
static void
follow (struct fake *fake, uint32_t count)
{
  char document[] = "other";

  for (uint32_t i = 0; i < count; i++)
    {
      struct fake_row *old
          = g_hash_table_lookup (fake->rows, JL_PLATFORM_CONFIG_KEY);
      struct jl_row row = { .applied.version = 0 };
      struct jl_row next;
      char *value;

      if (old != NULL)
        cr_assert (jl_row_parse (&row, old->value, NULL));
      jl_row_follow (&next, old == NULL ? NULL : &row, document);
      value = jl_row_format (&next);
      store (fake, JL_PLATFORM_CONFIG_KEY, value);
      g_free (value);
      g_free (row.applied.text);
    }
}

static int
hang_up (struct mg_connection *connection)
{
  mg_disable_connection_keep_alive (connection);
  return 1;
}

static int
reply (struct mg_connection *connection,
       int status,
       const char *tag,
       const char *body)
{
  mg_printf (connection,
             "HTTP/1.1 %d x\r\nETag: %s\r\nContent-Length: %zu\r\n\r\n%s",
             status, tag, strlen (body), body);
  return status;
}

static void
keep_pending (struct fake *fake,
              const char *key,
              const char *tag,
              const char *value)
{
  fake->pending_key = g_strdup (key);
  fake->pending_tag = g_strdup (tag);
  fake->pending_value = g_strdup (value);
}

static void
obey_pending (struct fake *fake)
{
  if (fake->pending_key != NULL)
    store_if (fake, fake->pending_key, fake->pending_tag, fake->pending_value);
  g_clear_pointer (&fake->pending_key, g_free);
  g_clear_pointer (&fake->pending_tag, g_free);
  g_clear_pointer (&fake->pending_value, g_free);
}

static int
serve_write (struct fake *fake,
             struct mg_connection *connection,
             const char *key,
             const char *value)
{
  const char *tag = mg_get_header (connection, "If-Match");
  char letter = next_letter (&fake->writes);
  bool stored;

  fake->write_count++;
  if (tag == NULL)
    tag = mg_get_header (connection, "If-None-Match");
  if (letter == 'e' || letter == 'b')
    return reply (connection, letter == 'e' ? 503 : 400, "\"\"", "");
  if (letter == 'p')
    keep_pending (fake, key, tag, value);
  if (letter == 'r')
    follow (fake, 1);
  if (strchr ("dpr", letter) != NULL)
    return hang_up (connection);
  stored = store_if (fake, key, tag, value);
  if (letter == 'f')
    follow (fake, fake->followers);
  if (letter != 'o')
    return hang_up (connection);
  return reply (connection, stored ? 200 : 412, "\"\"", "");
}

static int
serve_read (struct fake *fake,
            struct mg_connection *connection,
            const char *key)
{
  struct fake_row *row = g_hash_table_lookup (fake->rows, key);
  int status;

  fake->read_count++;
  if (next_letter (&fake->reads) == 'd')
    return hang_up (connection);
  status = row == NULL ? reply (connection, 404, "\"\"", "")
                       : reply (connection, 200, row->tag, row->value);
  obey_pending (fake);
  return status;
}

static int
serve_list (struct fake *fake, struct mg_connection *connection)
{
  struct fake_row *row = g_hash_table_lookup (fake->rows, "list");

  return reply (connection, 200, "\"\"", row->value);
}

static char *
read_value (struct mg_connection *connection)
{
  GString *value = g_string_new (NULL);
  char bytes[4096];
  int count;

  while ((count = mg_read (connection, bytes, sizeof bytes)) > 0)
    g_string_append_len (value, bytes, count);
  return g_string_free (value, FALSE);
}

static int
serve (struct mg_connection *connection, void *context)
{
  struct fake *fake = context;
  const struct mg_request_info *request = mg_get_request_info (connection);
  const char *key = request->local_uri + strlen ("/table/");
  g_autofree char *value = read_value (connection);
  int status;

  g_mutex_lock (&fake->lock);
  if (strcmp (request->local_uri, "/table") == 0)
    status = serve_list (fake, connection);
  else if (strcmp (request->request_method, "PUT") == 0)
    status = serve_write (fake, connection, key, value);
  else
    status = serve_read (fake, connection, key);
  g_mutex_unlock (&fake->lock);
  return status;
}

static struct fake *
fake_open (void)
{
  const char *options[] = { "listening_ports",
                            "127.20.0.1:0",
                            "num_threads",
                            "16",
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            "2000",
                            NULL };
  struct fake *fake = g_new0 (struct fake, 1);
  struct mg_server_port port;

  g_mutex_init (&fake->lock);
  fake->rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, drop_row);
  fake->server = mg_start (NULL, NULL, options);
  cr_assert_not_null (fake->server);
  mg_set_request_handler (fake->server, "/", serve, fake);
  cr_assert_eq (mg_get_server_ports (fake->server, 1, &port), 1);
  fake->endpoint.ip = 0x7f140001;
  fake->endpoint.port = (uint16_t)port.port;
  return fake;
}

static void
fake_close (struct fake *fake)
{
  mg_stop (fake->server);
  cr_assert_not (fake->went_back);
  g_hash_table_unref (fake->rows);
  g_free (fake);
}

/* What every test starts with. */
static struct fake *fake;
static struct jl_platform *platform;
static GError *error;

static void
set_up (void)
{
  fake = fake_open ();
  platform = jl_platform_new (fake->endpoint, TIMEOUT_MS);
}

static void
tear_down (void)
{
  g_clear_error (&error);
  jl_platform_drop (platform);
  fake_close (fake);
}

TestSuite (platform, .init = set_up, .fini = tear_down);

static void
assert_failed (bool done, enum jl_platform_error code)
{
  cr_assert_not (done);
  cr_assert_not_null (error);
  cr_assert (g_error_matches (error, JL_PLATFORM_ERROR, (int)code),
             "code %d: %s", error->code, error->message);
  g_clear_error (&error);
}

static void
assert_done (bool done)
{
  cr_assert (done, "%s", error == NULL ? "" : error->message);
  cr_assert_null (error);
}

static bool
apply (const char *text, uint64_t base)
{
  uint64_t version = 0;
  bool done = jl_platform_apply_config (platform, text, base, &version, &error);

  cr_assert (!done || version == base + 1);
  return done;
}

static void
assert_in_force (uint64_t version, const char *text)
{
  struct jl_applied applied;

  fake->reads = NULL;
  assert_done (jl_platform_read_config (platform, &applied, NULL, &error));
  cr_assert_eq (applied.version, version);
  cr_assert_str_eq (applied.text, text);
  g_free (applied.text);
}

Test (platform, reads_and_writes_under_conditions)
{
  char *etag = NULL;
  char *value = jl_platform_read (platform, "a/b", &etag, &error);

  assert_failed (value != NULL, JL_PLATFORM_ERROR_ABSENT);
  assert_done (jl_platform_insert (platform, "a/b", "1", &error));
  assert_failed (jl_platform_insert (platform, "a/b", "2", &error),
                 JL_PLATFORM_ERROR_CONFLICT);
  value = jl_platform_read (platform, "a/b", &etag, &error);
  cr_assert_str_eq (value, "1");
  assert_done (jl_platform_replace (platform, "a/b", "3", etag, &error));
  assert_failed (jl_platform_replace (platform, "a/b", "4", etag, &error),
                 JL_PLATFORM_ERROR_CONFLICT);
  assert_done (jl_platform_replace (platform, "a/b", "5", NULL, &error));
  g_free (value);
  value = jl_platform_read (platform, "a/b", NULL, &error);
  cr_assert_str_eq (value, "5");
  g_free (value);
  g_free (etag);
}

Test (platform, lists_rows)
{
  GHashTable *rows;

  store (fake, "list", "{\"p/1\":\"one\",\"p/2\":\"\"}");
  rows = jl_platform_list (platform, "p/", &error);
  assert_done (rows != NULL);
  cr_assert_eq (g_hash_table_size (rows), 2);
  cr_assert_str_eq (g_hash_table_lookup (rows, "p/1"), "one");
  g_hash_table_unref (rows);
  store (fake, "list", "{\"p/1\":7}");
  rows = jl_platform_list (platform, "p/", &error);
  assert_failed (rows != NULL, JL_PLATFORM_ERROR_REFUSED);
  store (fake, "list", "[");
  rows = jl_platform_list (platform, "p/", &error);
  assert_failed (rows != NULL, JL_PLATFORM_ERROR_REFUSED);
}

Test (platform, tells_not_sent_from_unknown)
{
  struct jl_endpoint nowhere = { .ip = 0x7f140002, .port = 9 };
  struct jl_platform *lost = jl_platform_new (nowhere, TIMEOUT_MS);

  assert_failed (jl_platform_insert (lost, "a", "1", &error),
                 JL_PLATFORM_ERROR_UNREACHABLE);
  jl_platform_drop (lost);
  fake->writes = "deb";
  assert_failed (jl_platform_insert (platform, "a", "1", &error),
                 JL_PLATFORM_ERROR_UNKNOWN);
  assert_failed (jl_platform_insert (platform, "a", "1", &error),
                 JL_PLATFORM_ERROR_UNKNOWN);
  assert_failed (jl_platform_insert (platform, "a", "1", &error),
                 JL_PLATFORM_ERROR_REFUSED);
}

Test (platform, never_repeats_a_write_on_a_dead_connection)
{
  assert_done (jl_platform_insert (platform, "a", "1", &error));
  fake->writes = "d";
  assert_failed (jl_platform_replace (platform, "a", "2", NULL, &error),
                 JL_PLATFORM_ERROR_UNKNOWN);
  cr_assert_eq (fake->write_count, 2);
}

Test (platform, repeats_a_read_on_a_dead_connection)
{
  char *value;

  assert_done (jl_platform_insert (platform, "a", "1", &error));
  fake->reads = "d";
  value = jl_platform_read (platform, "a", NULL, &error);
  assert_done (value != NULL);
  g_free (value);
}

Test (platform, applies_one_version_after_the_other)
{
  struct jl_applied applied;

  assert_failed (jl_platform_read_config (platform, &applied, NULL, &error),
                 JL_PLATFORM_ERROR_ABSENT);
  assert_done (apply ("{\"first\": \"\xc3\xa9\"}\n// \\ \" end", 0));
  assert_in_force (1, "{\"first\": \"\xc3\xa9\"}\n// \\ \" end");
  assert_done (apply ("second", 1));
  assert_in_force (2, "second");
}

Test (platform, names_the_conflict)
{
  follow (fake, 3);
  cr_assert_not (apply ("mine", 2));
  cr_assert_str_eq (error->message,
                    "version 3 is in force, not 2 which this was to follow");
  assert_failed (false, JL_PLATFORM_ERROR_CONFLICT);
  assert_failed (apply ("mine", 0), JL_PLATFORM_ERROR_CONFLICT);
  assert_failed (apply ("mine", 4), JL_PLATFORM_ERROR_CONFLICT);
  cr_assert_eq (fake->write_count, 0);
  assert_in_force (3, "other");
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
      struct jl_applied applied;

      store (fake, JL_PLATFORM_CONFIG_KEY, rows[i]);
      assert_failed (jl_platform_read_config (platform, &applied, NULL, &error),
                     JL_PLATFORM_ERROR_REFUSED);
    }
  fake->went_back = false;
}

Test (platform, learns_that_its_lost_apply_won)
{
  fake->writes = "l";
  assert_done (apply ("mine", 0));
  fake->writes = "l";
  assert_done (apply ("next", 1));
  cr_assert_eq (fake->write_count, 2);
  assert_in_force (2, "next");
}

Test (platform, learns_that_its_lost_apply_lost)
{
  fake->writes = "r";
  assert_failed (apply ("mine", 0), JL_PLATFORM_ERROR_CONFLICT);
  assert_in_force (1, "other");
}

Test (platform, sends_a_dropped_apply_again)
{
  fake->writes = "dde";
  cr_assert_not (apply ("mine", 0));
  assert_failed (false, JL_PLATFORM_ERROR_UNKNOWN);
  fake->writes = "de";
  assert_done (apply ("mine", 0));
  assert_in_force (1, "mine");
}

Test (platform, knows_its_apply_that_came_late)
{
  fake->writes = "p";
  assert_done (apply ("mine", 0));
  cr_assert_eq (fake->write_count, 2);
  assert_in_force (1, "mine");
}

Test (platform, knows_its_apply_below_others)
{
  fake->writes = "f";
  fake->followers = JL_ROW_EARLIER_MAX;
  assert_done (apply ("mine", 0));
  assert_in_force (1 + JL_ROW_EARLIER_MAX, "other");
}

Test (platform, admits_that_too_many_others_have_followed)
{
  fake->writes = "f";
  fake->followers = JL_ROW_EARLIER_MAX + 1;
  assert_failed (apply ("mine", 0), JL_PLATFORM_ERROR_UNKNOWN);
}

Test (platform, admits_that_an_outage_hides_the_outcome)
{
  fake->writes = "lll";
  fake->reads = "odddddd";
  assert_failed (apply ("mine", 0), JL_PLATFORM_ERROR_UNKNOWN);
  assert_in_force (1, "mine");
}

Test (platform, says_that_nothing_was_written_when_it_could_not_read)
{
  fake->reads = "dd";
  assert_failed (apply ("mine", 0), JL_PLATFORM_ERROR_UNREACHABLE);
  cr_assert_eq (fake->write_count, 0);
}

/**
 * struct racer - one of several operators or daemons at once
 * @outcome: an enum jl_platform_error, or -1 when it won
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
      = { .minter = { .member = racer->number + 1, .epoch = 5 }, .number = 9 };

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

/* Races for version @base + 1 and checks that one has it and all know. */
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
  assert_in_force (base + 1, text);
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
      fake->writes = base % 2 == 0 ? "lolllold" : "plopdlo";
      check_race (base);
    }
}

static struct jl_ticket
claim (uint64_t number)
{
  struct jl_ticket ticket
      = { .minter = { .member = 1, .epoch = 2 }, .number = number };
  struct jl_ticket owner = { .number = 0 };

  assert_done (jl_platform_claim (platform, 7, ticket, &owner, &error));
  return owner;
}

Test (platform, gives_a_key_to_its_first_claim)
{
  cr_assert_eq (claim (5).number, 5);
  cr_assert_eq (claim (6).number, 5);
  cr_assert_not_null (
      g_hash_table_lookup (fake->rows, "jackdawladder/claim/0000000000000007"));
}

Test (platform, finds_out_about_a_claim_whose_answer_was_lost)
{
  fake->writes = "l";
  cr_assert_eq (claim (5).number, 5);
  fake->writes = "l";
  cr_assert_eq (claim (6).number, 5);
}

Test (platform, sends_a_dropped_claim_again)
{
  fake->writes = "de";
  cr_assert_eq (claim (5).number, 5);
}

Test (platform, knows_its_claim_that_came_late)
{
  fake->writes = "p";
  cr_assert_eq (claim (5).number, 5);
}

Test (platform, is_not_certain_of_a_claim_in_an_outage)
{
  struct jl_ticket ticket = { .number = 5 };
  struct jl_ticket owner;

  fake->writes = "l";
  fake->reads = "dd";
  assert_failed (jl_platform_claim (platform, 7, ticket, &owner, &error),
                 JL_PLATFORM_ERROR_UNKNOWN);
  store (fake, "jackdawladder/claim/0000000000000008", "not a ticket");
  assert_failed (jl_platform_claim (platform, 8, ticket, &owner, &error),
                 JL_PLATFORM_ERROR_REFUSED);
}

Test (platform, lets_racing_claims_agree_on_one_owner)
{
  struct racer racers[RACERS];

  fake->writes = "ldpolld";
  race (racers, race_claim, 0);
  for (uint32_t i = 0; i < RACERS; i++)
    {
      cr_assert_eq (racers[i].outcome, -1);
      cr_assert (jl_ticket_equal (racers[i].owner, racers[0].owner));
    }
}
