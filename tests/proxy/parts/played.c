/**
 * DOC: The platform's store, played in the test's process.
 */

#include "proxy/parts/played.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <string.h>

struct played_row
{
  char *table;
  char *key;
  char *value;
  uint64_t version;
};

static void
free_row (gpointer data)
{
  struct played_row *row = data;

  g_free (row->table);
  g_free (row->key);
  g_free (row->value);
  g_free (row);
}

static struct json_object *
row_object (const struct played_row *row)
{
  struct json_object *object = json_object_new_object ();
  char *value
      = g_base64_encode ((const guchar *)row->value, strlen (row->value));

  json_object_object_add (object, "table", json_object_new_string (row->table));
  json_object_object_add (object, "key", json_object_new_string (row->key));
  json_object_object_add (object, "value", json_object_new_string (value));
  json_object_object_add (object, "ver",
                          json_object_new_int64 ((int64_t)row->version));
  g_free (value);
  return object;
}

static void
reply (struct played *played,
       struct jl_request *request,
       unsigned status,
       struct json_object *rows)
{
  struct json_object *answer = json_object_new_object ();
  const char *text;

  if (rows != NULL)
    json_object_object_add (answer, "rows", rows);
  json_object_object_add (answer, "ver",
                          json_object_new_int64 ((int64_t)played->version));
  text = json_object_to_json_string (answer);
  jl_request_reply (request, status, "Content-Type: application/json\r\n", text,
                    strlen (text));
  json_object_put (answer);
}

static char *
query_text (const char *target, const char *name)
{
  const char *from = strstr (target, name);

  if (from == NULL)
    return g_strdup ("");
  from += strlen (name);
  return g_strndup (from, strcspn (from, "&"));
}

/* Rows of a table, all or that of one key, changed after @after. */
static struct json_object *
rows_of (struct played *played, const char *target, uint64_t after)
{
  struct json_object *rows = json_object_new_array ();
  char *table = query_text (target, "table=");
  char *from = query_text (target, "from=");
  GHashTableIter iter;
  gpointer data;

  g_hash_table_iter_init (&iter, played->rows);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      const struct played_row *row = data;

      if (strcmp (row->table, table) == 0 && row->version > after
          && (*from == '\0' || strcmp (row->key, from) == 0))
        json_object_array_add (rows, row_object (row));
    }
  g_free (from);
  g_free (table);
  return rows;
}

/* Answers a call for changes if there are any. */
static bool
answer_feed (struct played *played, struct jl_request *request)
{
  const char *target = jl_head_target (jl_request_head (request));
  char *after = query_text (target, "after=");
  struct json_object *rows
      = rows_of (played, target, g_ascii_strtoull (after, NULL, 10));
  bool changed = json_object_array_length (rows) > 0;

  g_free (after);
  if (changed)
    reply (played, request, 200, rows);
  else
    json_object_put (rows);
  return changed;
}

static bool
is_silent (const struct played *played, const char *target)
{
  char *table = query_text (target, "table=");
  bool silent = played->silent != NULL && strcmp (table, played->silent) == 0;

  g_free (table);
  return silent;
}

static void
on_begin (void *context, struct jl_request *request)
{
  struct played *played = context;
  const struct jl_head *head = jl_request_head (request);
  const char *target = jl_head_target (head);

  if (strcmp (head->method, "POST") == 0)
    {
      jl_request_set_data (request, g_string_new (NULL));
      return;
    }
  if (is_silent (played, target))
    return;
  if (g_str_has_prefix (target, "/api/rows-feed"))
    {
      played->feeds += strstr (target, "table=op&") != NULL;
      if (!answer_feed (played, request))
        g_ptr_array_add (played->waiting, request);
      return;
    }
  played->reads++;
  reply (played, request, 200, rows_of (played, target, 0));
}

static void
on_body (void *context,
         struct jl_request *request,
         const char *data,
         size_t size)
{
  (void)context;
  if (jl_request_data (request) != NULL)
    g_string_append_len (jl_request_data (request), data, (gssize)size);
}

static char *
row_name (const char *table, const char *key)
{
  return g_strconcat (table, "/", key, NULL);
}

static const char *
text_of (struct json_object *object, const char *name)
{
  return json_object_get_string (json_object_object_get (object, name));
}

/* The row that a write depends on, NULL if it has the version wanted. */
static struct played_row *
conflict_of (struct played *played, struct json_object *wanted)
{
  char *name = row_name (text_of (wanted, "table"), text_of (wanted, "key"));
  struct played_row *row = g_hash_table_lookup (played->rows, name);
  uint64_t version = (uint64_t)json_object_get_int64 (
      json_object_object_get (wanted, "ver"));

  g_free (name);
  return row != NULL && row->version != version ? row : NULL;
}

static void
write_row (struct played *played, struct json_object *put)
{
  gsize size;
  guchar *value = g_base64_decode (text_of (put, "value"), &size);
  char *text = g_strndup ((const char *)value, size);

  played_put (played, text_of (put, "table"), text_of (put, "key"), text);
  g_free (text);
  g_free (value);
}

static void
on_end (void *context, struct jl_request *request)
{
  struct played *played = context;
  GString *body = jl_request_data (request);
  struct json_object *document;
  struct played_row *conflict;
  struct json_object *rows;

  if (body == NULL)
    return;
  played->writes++;
  document = json_tokener_parse (body->str);
  cr_assert_not_null (document, "%s", body->str);
  conflict = conflict_of (
      played, json_object_array_get_idx (
                  json_object_object_get (document, "expectedRevision"), 0));
  jl_request_set_data (request, NULL);
  g_string_free (body, TRUE);
  if (conflict != NULL)
    {
      rows = json_object_new_array ();
      json_object_array_add (rows, row_object (conflict));
      reply (played, request, 412, rows);
    }
  else
    {
      write_row (played, json_object_array_get_idx (
                             json_object_object_get (document, "puts"), 0));
      if (played->hold)
        g_ptr_array_add (played->held, request);
      else
        reply (played, request, 200, NULL);
    }
  json_object_put (document);
}

static void
on_gone (void *context, struct jl_request *request)
{
  struct played *played = context;

  g_ptr_array_remove (played->waiting, request);
  g_ptr_array_remove (played->held, request);
}

static const struct jl_handler handler = {
  .begin = on_begin,
  .body = on_body,
  .end = on_end,
  .disconnected = on_gone,
};

void
played_open (struct played *played, struct jl_endpoint endpoint)
{
  const char *why = NULL;

  memset (played, 0, sizeof *played);
  played->rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_row);
  played->held = g_ptr_array_new ();
  played->waiting = g_ptr_array_new ();
  played->version = 1;
  played->loop = jl_loop_new ();
  played->net = jl_net_new (played->loop);
  cr_assert_not_null (
      jl_server_open (played->net, endpoint, &handler, played, &why), "%s",
      why);
}

void
played_put (struct played *played,
            const char *table,
            const char *key,
            const char *value)
{
  struct played_row *row = g_new0 (struct played_row, 1);

  row->table = g_strdup (table);
  row->key = g_strdup (key);
  row->value = g_strdup (value);
  row->version = ++played->version;
  g_hash_table_replace (played->rows, row_name (table, key), row);
  for (guint i = played->waiting->len; i > 0; i--)
    if (answer_feed (played, g_ptr_array_index (played->waiting, i - 1)))
      g_ptr_array_remove_index (played->waiting, i - 1);
}

const char *
played_get (struct played *played, const char *table, const char *key)
{
  char *name = row_name (table, key);
  const struct played_row *row = g_hash_table_lookup (played->rows, name);

  g_free (name);
  return row != NULL ? row->value : NULL;
}

void
played_release (struct played *played)
{
  for (guint i = 0; i < played->held->len; i++)
    reply (played, g_ptr_array_index (played->held, i), 200, NULL);
  g_ptr_array_set_size (played->held, 0);
}

void
played_turn (struct played *played, struct jl_loop *loop, unsigned ms)
{
  uint64_t end_us = jl_now () + ms * JL_USEC_PER_MSEC;

  while (jl_now () < end_us)
    {
      uv_run (&loop->uv, UV_RUN_NOWAIT);
      uv_run (&played->loop->uv, UV_RUN_NOWAIT);
      g_usleep (300);
    }
}
