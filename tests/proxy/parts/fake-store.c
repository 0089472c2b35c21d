/**
 * DOC: Fake of the platform's store in the test's process.
 */

#include "proxy/parts/fake-store.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <string.h>

/**
 * struct fake_store_row - a row of a table
 * @value: decoded, zero-terminated
 * @raw: JSON text of the row in answers instead of the right one, NULL for none
 * @version: store's version after the row's last change
 */
struct fake_store_row
{
  char *table;
  char *key;
  char *value;
  char *raw;
  uint64_t version;
};

static void
free_row (gpointer data)
{
  struct fake_store_row *row = data;

  g_free (row->table);
  g_free (row->key);
  g_free (row->value);
  g_free (row->raw);
  g_free (row);
}

static struct json_object *
row_object (const struct fake_store_row *row)
{
  struct json_object *object = json_object_new_object ();
  char *value
      = g_base64_encode ((const guchar *)row->value, strlen (row->value));

  json_object_object_add (object, "table", json_object_new_string (row->table));
  json_object_object_add (object, "key", json_object_new_string (row->key));
  json_object_object_add (object, "value", json_object_new_string (value));
  json_object_object_add (object, "ver",
                          json_object_new_int64 ((int64_t)row->version));
  if (row->raw != NULL)
    json_object_set_serializer (object, json_object_userdata_to_json_string,
                                g_strdup (row->raw), json_object_free_userdata);
  g_free (value);
  return object;
}

static void
reply_page (struct fake_store *store,
            struct jl_request *request,
            unsigned status,
            struct json_object *rows,
            bool more_pages)
{
  struct json_object *answer = json_object_new_object ();
  char *fields = g_strdup_printf ("Content-Type: application/json\r\n"
                                  "Store-Era: %" G_GUINT64_FORMAT "\r\n",
                                  (guint64)store->era);
  const char *text;

  if (rows != NULL)
    json_object_object_add (answer, "rows", rows);
  json_object_object_add (answer, "ver",
                          json_object_new_int64 ((int64_t)store->version));
  json_object_object_add (answer, "morePages",
                          json_object_new_boolean (more_pages));
  text = json_object_to_json_string (answer);
  jl_request_reply (request, status, store->era > 0 ? fields : "", text,
                    strlen (text));
  json_object_put (answer);
  g_free (fields);
}

static void
reply (struct fake_store *store,
       struct jl_request *request,
       unsigned status,
       struct json_object *rows)
{
  reply_page (store, request, status, rows, false);
}

static const char *
text_of (struct json_object *object, const char *name)
{
  return json_object_get_string (json_object_object_get (object, name));
}

/* Returns the value of a query parameter, "" if it is missing. @name includes
 * the equals sign. */
static char *
query_text (const char *target, const char *name)
{
  const char *from = strstr (target, name);

  if (from == NULL)
    return g_strdup ("");
  from += strlen (name);
  return g_strndup (from, strcspn (from, "&"));
}

/* Returns the rows that a call asks for: of a table, or only the row of the key
 * in "from", if changed after version @after. */
static struct json_object *
rows_of (struct fake_store *store, const char *target, uint64_t after)
{
  struct json_object *rows = json_object_new_array ();
  char *table = query_text (target, "table=");
  char *from = query_text (target, "from=");
  GHashTableIter iter;
  gpointer data;

  g_hash_table_iter_init (&iter, store->rows);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      const struct fake_store_row *row = data;

      if (strcmp (row->table, table) == 0 && row->version > after
          && (*from == '\0' || strcmp (row->key, from) == 0))
        json_object_array_add (rows, row_object (row));
    }
  g_free (from);
  g_free (table);
  return rows;
}

static int
compare_keys (const void *a, const void *b)
{
  struct json_object *const *first = a;
  struct json_object *const *second = b;

  return strcmp (text_of (*first, "key"), text_of (*second, "key"));
}

/* Answers a read with the first rows of a table from the key "from" on. */
static void
answer_page (struct fake_store *store, struct jl_request *request)
{
  const char *target = jl_head_target (jl_request_head (request));
  char *from = query_text (target, "from=");
  char *whole = g_strndup (target, strcspn (target, "&"));
  struct json_object *rows = rows_of (store, whole, 0);
  struct json_object *page = json_object_new_array ();
  bool more_pages = false;

  json_object_array_sort (rows, compare_keys);
  for (size_t i = 0; i < json_object_array_length (rows); i++)
    {
      struct json_object *row = json_object_array_get_idx (rows, i);

      if (strcmp (text_of (row, "key"), from) < 0)
        continue;
      more_pages = json_object_array_length (page) == store->page_rows;
      if (more_pages)
        break;
      json_object_array_add (page, json_object_get (row));
    }
  reply_page (store, request, 200, page, more_pages);
  json_object_put (rows);
  g_free (whole);
  g_free (from);
}

/* A feed call that waits for a change until a time. */
struct fake_feed
{
  struct jl_request *request;
  uint64_t until_us;
};

/* Keeps a feed call that waits for the time that it names. */
static void
keep_feed (struct fake_store *store, struct jl_request *request)
{
  struct fake_feed *feed = g_new0 (struct fake_feed, 1);
  char *text
      = query_text (jl_head_target (jl_request_head (request)), "waitMs=");

  feed->request = request;
  feed->until_us = jl_now ()
                   + (g_ascii_strtoull (text, NULL, 10) + store->late_ms)
                         * JL_USEC_PER_MSEC;
  g_ptr_array_add (store->waiting_feeds, feed);
  g_free (text);
}

/* Returns the version after which a feed call asks for changes. */
static uint64_t
feed_version (struct jl_request *request)
{
  char *text
      = query_text (jl_head_target (jl_request_head (request)), "after=");
  uint64_t version = g_ascii_strtoull (text, NULL, 10);

  g_free (text);
  return version;
}

static struct json_object *
changed_rows (struct fake_store *store, struct jl_request *request)
{
  return rows_of (store, jl_head_target (jl_request_head (request)),
                  feed_version (request));
}

/* Answers the feed calls that have waited long enough. */
static void
answer_expired_feeds (struct fake_store *store)
{
  for (guint i = store->waiting_feeds->len; i > 0; i--)
    {
      struct fake_feed *feed = g_ptr_array_index (store->waiting_feeds, i - 1);
      struct jl_request *request = feed->request;

      if (feed->until_us > jl_now ())
        continue;
      g_ptr_array_remove_index (store->waiting_feeds, i - 1);
      reply (store, request, 200, changed_rows (store, request));
    }
}

/* Answers a feed call if there are changes, or if it begins at a version that
 * does not exist. */
static bool
answer_feed (struct fake_store *store, struct jl_request *request)
{
  const char *target = jl_head_target (jl_request_head (request));
  uint64_t after = feed_version (request);
  struct json_object *rows = changed_rows (store, request);
  bool changed = json_object_array_length (rows) > 0;

  if (after > store->version && !store->hold_ahead)
    {
      json_object_put (rows);
      reply (store, request, 410, NULL);
      return true;
    }
  changed |= g_str_has_suffix (target, "waitMs=0");
  if (changed)
    reply (store, request, 200, rows);
  else
    json_object_put (rows);
  return changed;
}

static bool
is_silent (const struct fake_store *store, const char *target)
{
  char *table = query_text (target, "table=");
  bool silent
      = store->silent_table != NULL && strcmp (table, store->silent_table) == 0;

  g_free (table);
  return silent;
}

static void
on_begin (void *context, struct jl_request *request)
{
  struct fake_store *store = context;
  const struct jl_head *head = jl_request_head (request);
  const char *target = jl_head_target (head);

  store->calls++;
  if (strcmp (head->method, "POST") == 0 && !store->away)
    {
      jl_request_set_data (request, g_string_new (NULL));
      return;
    }
  if (store->away)
    {
      jl_request_abort (request);
      return;
    }
  if (is_silent (store, target))
    return;
  if (store->raw_answer != NULL)
    {
      jl_request_reply (request, store->raw_status, "", store->raw_answer,
                        strlen (store->raw_answer));
      return;
    }
  if (g_str_has_prefix (target, "/api/rows-feed"))
    {
      store->feeds += strstr (target, "table=op&") != NULL;
      if (store->late_ms > 0 || !answer_feed (store, request))
        keep_feed (store, request);
      return;
    }
  store->reads++;
  if (store->page_rows > 0)
    answer_page (store, request);
  else
    reply (store, request, 200, rows_of (store, target, 0));
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

/* Returns the row that conflicts with a write, NULL if there is no row or it
 * has the version that the write expects. */
static struct fake_store_row *
conflict_of (struct fake_store *store, struct json_object *wanted)
{
  char *name = row_name (text_of (wanted, "table"), text_of (wanted, "key"));
  struct fake_store_row *row = g_hash_table_lookup (store->rows, name);
  uint64_t version = (uint64_t)json_object_get_int64 (
      json_object_object_get (wanted, "ver"));

  g_free (name);
  return row != NULL && row->version != version ? row : NULL;
}

static void
write_row (struct fake_store *store, struct json_object *put)
{
  gsize size;
  guchar *value = g_base64_decode (text_of (put, "value"), &size);
  char *text = g_strndup ((const char *)value, size);

  fake_store_put (store, text_of (put, "table"), text_of (put, "key"), text);
  g_free (text);
  g_free (value);
}

static void
on_end (void *context, struct jl_request *request)
{
  struct fake_store *store = context;
  GString *body = jl_request_data (request);
  struct json_object *document;
  struct fake_store_row *conflict = NULL;
  struct json_object *expected;
  struct json_object *puts;
  struct json_object *rows;

  if (body == NULL)
    return;
  store->writes++;
  if (store->raw_answer != NULL)
    {
      jl_request_set_data (request, NULL);
      g_string_free (body, TRUE);
      jl_request_reply (request, store->raw_status, "", store->raw_answer,
                        strlen (store->raw_answer));
      return;
    }
  document = json_tokener_parse (body->str);
  cr_assert_not_null (document, "%s", body->str);
  expected = json_object_object_get (document, "expectedRevision");
  puts = json_object_object_get (document, "puts");
  for (size_t i = 0;
       conflict == NULL && i < json_object_array_length (expected); i++)
    conflict = conflict_of (store, json_object_array_get_idx (expected, i));
  jl_request_set_data (request, NULL);
  g_string_free (body, TRUE);
  if (conflict != NULL)
    {
      rows = json_object_new_array ();
      json_object_array_add (rows, row_object (conflict));
      reply (store, request, 412, rows);
    }
  else
    {
      for (size_t i = 0; i < json_object_array_length (puts); i++)
        write_row (store, json_object_array_get_idx (puts, i));
      if (store->hold_writes)
        g_ptr_array_add (store->held_writes, request);
      else
        reply (store, request, 200, NULL);
    }
  json_object_put (document);
}

static void
on_disconnected (void *context, struct jl_request *request)
{
  struct fake_store *store = context;

  for (guint i = store->waiting_feeds->len; i > 0; i--)
    {
      struct fake_feed *feed = g_ptr_array_index (store->waiting_feeds, i - 1);

      if (feed->request == request)
        g_ptr_array_remove_index (store->waiting_feeds, i - 1);
    }
  g_ptr_array_remove (store->held_writes, request);
}

static const struct jl_handler handler = {
  .begin = on_begin,
  .body = on_body,
  .end = on_end,
  .disconnected = on_disconnected,
};

void
fake_store_open (struct fake_store *store, struct jl_endpoint endpoint)
{
  const char *why = NULL;

  memset (store, 0, sizeof *store);
  store->rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_row);
  store->held_writes = g_ptr_array_new ();
  store->waiting_feeds = g_ptr_array_new_with_free_func (g_free);
  store->version = 1;
  store->loop = jl_loop_new ();
  store->net = jl_net_new (store->loop);
  cr_assert_not_null (
      jl_server_open (store->net, endpoint, &handler, store, &why), "%s", why);
}

/* Replaces a row, and answers the feed calls that wait for it. */
static void
put_row (struct fake_store *store,
         const char *table,
         const char *key,
         const char *value,
         const char *raw)
{
  struct fake_store_row *row = g_new0 (struct fake_store_row, 1);

  row->table = g_strdup (table);
  row->key = g_strdup (key);
  row->value = g_strdup (value);
  row->raw = g_strdup (raw);
  row->version = ++store->version;
  g_hash_table_replace (store->rows, row_name (table, key), row);
  for (guint i = store->waiting_feeds->len; i > 0; i--)
    {
      struct fake_feed *feed = g_ptr_array_index (store->waiting_feeds, i - 1);

      if (store->late_ms == 0 && answer_feed (store, feed->request))
        g_ptr_array_remove_index (store->waiting_feeds, i - 1);
    }
}

void
fake_store_put (struct fake_store *store,
                const char *table,
                const char *key,
                const char *value)
{
  put_row (store, table, key, value, NULL);
}

void
fake_store_put_raw (struct fake_store *store,
                    const char *table,
                    const char *key,
                    const char *raw)
{
  put_row (store, table, key, "", raw);
}

void
fake_store_restore (struct fake_store *store, uint64_t version)
{
  g_hash_table_remove_all (store->rows);
  store->version = version;
  store->era++;
  while (store->waiting_feeds->len > 0)
    {
      struct fake_feed *feed = g_ptr_array_index (store->waiting_feeds, 0);
      struct jl_request *request = feed->request;

      g_ptr_array_remove_index (store->waiting_feeds, 0);
      jl_request_abort (request);
    }
}

void
fake_store_lose_calls (struct fake_store *store, const char *table)
{
  char *word = g_strdup_printf ("table=%s&", table);

  for (guint i = store->waiting_feeds->len; i > 0; i--)
    {
      struct fake_feed *feed = g_ptr_array_index (store->waiting_feeds, i - 1);
      const struct jl_head *head = jl_request_head (feed->request);

      if (strstr (jl_head_target (head), word) != NULL)
        g_ptr_array_remove_index (store->waiting_feeds, i - 1);
    }
  g_free (word);
}

const char *
fake_store_get (struct fake_store *store, const char *table, const char *key)
{
  char *name = row_name (table, key);
  const struct fake_store_row *row = g_hash_table_lookup (store->rows, name);

  g_free (name);
  return row != NULL ? row->value : NULL;
}

void
fake_store_release_writes (struct fake_store *store)
{
  for (guint i = 0; i < store->held_writes->len; i++)
    reply (store, g_ptr_array_index (store->held_writes, i), 200, NULL);
  g_ptr_array_set_size (store->held_writes, 0);
}

void
fake_store_run (struct fake_store *store, struct jl_loop *loop, unsigned ms)
{
  uint64_t end_us = jl_now () + ms * JL_USEC_PER_MSEC;

  while (jl_now () < end_us)
    {
      uv_run (&loop->uv, UV_RUN_NOWAIT);
      uv_run (&store->loop->uv, UV_RUN_NOWAIT);
      answer_expired_feeds (store);
      g_usleep (300);
    }
}
