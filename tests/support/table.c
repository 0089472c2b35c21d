/**
 * DOC: Fake of the platform's table service.
 */

#include "support/table.h"

#include <string.h>

#include <civetweb.h>

#include "jackdawladder/platform.h"
#include "platform/row.h"

struct table_row
{
  char tag[24];
  char *value;
};

static void
free_row (gpointer data)
{
  struct table_row *row = data;

  g_free (row->value);
  g_free (row);
}

/* Returns the next letter of a script, 'o' after its end. */
static char
next_action (const char **script)
{
  return *script == NULL || **script == '\0' ? 'o' : *(*script)++;
}

static uint64_t
version_of (const char *value)
{
  struct jl_config_row row;

  if (value == NULL || !jl_config_row_parse (&row, value, NULL))
    return 0;
  g_free (row.stored.text);
  return row.stored.version;
}

static void
store (struct table *table, const char *key, const char *value)
{
  struct table_row *old = g_hash_table_lookup (table->rows, key);
  struct table_row *row = g_new0 (struct table_row, 1);

  if (strcmp (key, JL_PLATFORM_CONFIG_KEY) == 0
      && version_of (value) != version_of (old == NULL ? NULL : old->value) + 1)
    table->version_skipped = true;
  g_snprintf (row->tag, sizeof row->tag, "\"%" G_GUINT64_FORMAT "\"",
              ++table->last_tag);
  row->value = g_strdup (value);
  g_hash_table_replace (table->rows, g_strdup (key), row);
}

/* Stores a row if it has the ETag @tag, if it is absent for "*", or always for
   NULL. */
static bool
store_conditionally (struct table *table,
                     const char *key,
                     const char *tag,
                     const char *value)
{
  struct table_row *old = g_hash_table_lookup (table->rows, key);

  if (tag != NULL && strcmp (tag, "*") == 0 && old != NULL)
    return false;
  if (tag != NULL && strcmp (tag, "*") != 0
      && (old == NULL || strcmp (old->tag, tag) != 0))
    return false;
  store (table, key, value);
  return true;
}

static void
apply_others (struct table *table, uint32_t count)
{
  char document[] = "other";

  for (uint32_t i = 0; i < count; i++)
    {
      struct table_row *old
          = g_hash_table_lookup (table->rows, JL_PLATFORM_CONFIG_KEY);
      struct jl_config_row row = { .stored.version = 0 };
      struct jl_config_row next;
      char *value;

      if (old != NULL)
        g_assert_true (jl_config_row_parse (&row, old->value, NULL));
      jl_config_row_next (&next, old == NULL ? NULL : &row, document);
      value = jl_config_row_format (&next);
      store (table, JL_PLATFORM_CONFIG_KEY, value);
      g_free (value);
      g_free (row.stored.text);
    }
}

static int
close_without_response (struct mg_connection *connection)
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
keep_pending (struct table *table,
              const char *key,
              const char *tag,
              const char *value)
{
  table->pending_key = g_strdup (key);
  table->pending_tag = g_strdup (tag);
  table->pending_value = g_strdup (value);
}

static void
run_pending (struct table *table)
{
  if (table->pending_key != NULL)
    store_conditionally (table, table->pending_key, table->pending_tag,
                         table->pending_value);
  g_clear_pointer (&table->pending_key, g_free);
  g_clear_pointer (&table->pending_tag, g_free);
  g_clear_pointer (&table->pending_value, g_free);
}

static int
serve_write (struct table *table,
             struct mg_connection *connection,
             const char *key,
             const char *value)
{
  const char *tag = mg_get_header (connection, "If-Match");
  char action = next_action (&table->writes);
  bool stored;

  table->write_count++;
  if (tag == NULL)
    tag = mg_get_header (connection, "If-None-Match");
  if (action == 'e' || action == 'b')
    return reply (connection, action == 'e' ? 503 : 400, "\"\"", "");
  if (action == 'p')
    keep_pending (table, key, tag, value);
  if (action == 'r')
    apply_others (table, 1);
  if (strchr ("dpr", action) != NULL)
    return close_without_response (connection);
  stored = store_conditionally (table, key, tag, value);
  if (action == 'f')
    apply_others (table, table->other_applies);
  if (action != 'o')
    return close_without_response (connection);
  return reply (connection, stored ? 200 : 412, "\"\"", "");
}

static int
serve_read (struct table *table,
            struct mg_connection *connection,
            const char *key)
{
  struct table_row *row = g_hash_table_lookup (table->rows, key);
  int status;

  if (next_action (&table->reads) == 'd')
    return close_without_response (connection);
  status = row == NULL ? reply (connection, 404, "\"\"", "")
                       : reply (connection, 200, row->tag, row->value);
  run_pending (table);
  return status;
}

static int
serve_list (struct table *table, struct mg_connection *connection)
{
  struct table_row *row = g_hash_table_lookup (table->rows, "list");

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
  struct table *table = context;
  const struct mg_request_info *request = mg_get_request_info (connection);
  const char *key = request->local_uri + strlen ("/table/");
  g_autofree char *value = read_value (connection);
  int status;

  pthread_mutex_lock (&table->lock);
  if (strcmp (request->local_uri, "/table") == 0)
    status = serve_list (table, connection);
  else if (strcmp (request->request_method, "PUT") == 0)
    status = serve_write (table, connection, key, value);
  else
    status = serve_read (table, connection, key);
  pthread_mutex_unlock (&table->lock);
  return status;
}

struct table *
table_open (void)
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
  struct table *table = g_new0 (struct table, 1);
  struct mg_server_port port;

  pthread_mutex_init (&table->lock, NULL);
  table->rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_row);
  table->server = mg_start (NULL, NULL, options);
  g_assert_nonnull (table->server);
  mg_set_request_handler (table->server, "/", serve, table);
  g_assert_cmpint (mg_get_server_ports (table->server, 1, &port), ==, 1);
  table->endpoint.ip = 0x7f140001;
  table->endpoint.port = (uint16_t)port.port;
  return table;
}

void
table_close (struct table *table)
{
  mg_stop (table->server);
  g_hash_table_unref (table->rows);
  g_free (table);
}

bool
table_has (struct table *table, const char *key)
{
  bool has;

  pthread_mutex_lock (&table->lock);
  has = g_hash_table_contains (table->rows, key);
  pthread_mutex_unlock (&table->lock);
  return has;
}

void
table_store (struct table *table, const char *key, const char *value)
{
  pthread_mutex_lock (&table->lock);
  store (table, key, value);
  pthread_mutex_unlock (&table->lock);
}

void
table_apply_others (struct table *table, uint32_t count)
{
  pthread_mutex_lock (&table->lock);
  apply_others (table, count);
  pthread_mutex_unlock (&table->lock);
}

void
table_script_writes (struct table *table, const char *script)
{
  pthread_mutex_lock (&table->lock);
  table->writes = script;
  pthread_mutex_unlock (&table->lock);
}

void
table_script_reads (struct table *table, const char *script)
{
  pthread_mutex_lock (&table->lock);
  table->reads = script;
  pthread_mutex_unlock (&table->lock);
}

uint32_t
table_write_count (struct table *table)
{
  uint32_t count;

  pthread_mutex_lock (&table->lock);
  count = table->write_count;
  pthread_mutex_unlock (&table->lock);
  return count;
}
