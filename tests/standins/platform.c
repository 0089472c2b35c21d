/**
 * DOC: Stand-in for the platform: a table service and an object store.
 *
 * Rows and objects are kept in memory. Requests under /test/ at the control
 * address inject faults: outages, delays, and writes that take effect but whose
 * answer is lost. That address has threads of its own, since an outage may hold
 * all others.
 */

#include "common.h"

#include <argp.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HANG_POLL_US (20 * USEC_PER_MSEC)
#define CONTROL_THREADS 2

/**
 * enum outage - how requests fail during an outage
 * @OUTAGE_CLOSE: the connection is closed without an answer
 * @OUTAGE_ERROR: the answer has status 503
 * @OUTAGE_HANG: there is no answer until the outage ends, then the connection
 *               is closed
 */
enum outage
{
  OUTAGE_NONE,
  OUTAGE_CLOSE,
  OUTAGE_ERROR,
  OUTAGE_HANG,
};

/**
 * struct row - a row of the table, or an object
 * @tag: number of the write that stored it, sent as ETag
 */
struct row
{
  uint64_t tag;
  GString *value;
};

/**
 * struct platform - the options, the data and the current faults
 * @listen: "a.b.c.d:port" of the table and the object store
 * @control: "a.b.c.d:port" of the requests under /test/
 * @last_tag: number of the last write
 * @delay_ms: delay of each request
 * @lost_answers_percent: probability that a write's answer is lost
 * @reads: number of reads, for /test/counts
 * @writes: number of writes, for /test/counts
 */
struct platform
{
  const char *listen;
  const char *control;
  const char *history_path;
  unsigned threads;
  struct history *history;
  GMutex lock;
  GHashTable *rows; /* struct row of table and objects, by path */
  GRand *random;
  uint64_t last_tag;
  atomic_uint outage;
  atomic_uint delay_ms;
  atomic_uint lost_answers_percent;
  atomic_ullong reads;
  atomic_ullong writes;
};

static struct platform platform = { .threads = 64 };

static void
row_free (gpointer data)
{
  struct row *row = data;

  g_string_free (row->value, TRUE);
  g_free (row);
}

static int
reply_text (struct mg_connection *connection, int status, const char *text)
{
  return server_reply (connection, status, NULL, text, strlen (text));
}

static enum outage
parse_outage (const struct mg_request_info *request)
{
  g_autofree char *mode = server_query (request, "mode", "close");

  if (server_query_number (request, "on", 1) == 0)
    return OUTAGE_NONE;
  if (strcmp (mode, "503") == 0)
    return OUTAGE_ERROR;
  if (strcmp (mode, "hang") == 0)
    return OUTAGE_HANG;
  return OUTAGE_CLOSE;
}

static int
reply_counts (struct mg_connection *connection)
{
  g_autofree char *text = g_strdup_printf ("{\"reads\":%llu,\"writes\":%llu}\n",
                                           (unsigned long long)platform.reads,
                                           (unsigned long long)platform.writes);

  return reply_text (connection, 200, text);
}

static int
handle_control (struct mg_connection *connection, void *context G_GNUC_UNUSED)
{
  const struct mg_request_info *request = mg_get_request_info (connection);
  const char *path = request->local_uri;
  g_autofree char *query = history_text (request->query_string);

  if (strcmp (path, "/test/counts") == 0)
    return reply_counts (connection);
  if (strcmp (path, "/test/outage") == 0)
    platform.outage = parse_outage (request);
  else if (strcmp (path, "/test/delay") == 0)
    platform.delay_ms = (unsigned)server_query_number (request, "ms", 0);
  else if (strcmp (path, "/test/lose-answers") == 0)
    platform.lost_answers_percent
        = (unsigned)server_query_number (request, "percent", 100);
  else
    return reply_text (connection, 404, "unknown fault\n");
  history_add (platform.history,
               "\"t\":\"fault\",\"who\":\"platform\",\"what\":\"%s\","
               "\"query\":\"%s\"",
               path + strlen ("/test/"), query);
  return reply_text (connection, 200, "ok\n");
}

/* Fails the request if there is an outage. Returns false if there is none, and
 * sets the handler's return value otherwise. */
static bool
fail_by_outage (struct mg_connection *connection, int *status)
{
  enum outage outage = platform.outage;

  if (outage == OUTAGE_NONE)
    return false;
  if (outage == OUTAGE_ERROR)
    {
      *status = reply_text (connection, 503, "outage\n");
      return true;
    }
  while (platform.outage == OUTAGE_HANG)
    sleep_us (HANG_POLL_US);
  *status = server_hang_up (connection);
  return true;
}

/* Whether the write's If-Match and If-None-Match allow it. The caller holds the
 * lock. */
static bool
condition_holds (struct mg_connection *connection, const struct row *row)
{
  const char *match = mg_get_header (connection, "If-Match");
  const char *none_match = mg_get_header (connection, "If-None-Match");
  g_autofree char *tag
      = row == NULL ? NULL : g_strdup_printf ("\"%" PRIu64 "\"", row->tag);

  if (none_match != NULL && strcmp (none_match, "*") == 0 && row != NULL)
    return false;
  if (match == NULL)
    return true;
  if (row == NULL)
    return false;
  return strcmp (match, "*") == 0 || strcmp (match, tag) == 0;
}

/* Stores a row, whose value it takes over. Returns the tag, 0 if the write's
 * condition does not hold. */
static uint64_t
store_row (struct mg_connection *connection, const char *path, GString *value)
{
  g_autoptr (GMutexLocker) locker = g_mutex_locker_new (&platform.lock);
  struct row *row;

  if (!condition_holds (connection, g_hash_table_lookup (platform.rows, path)))
    {
      g_string_free (value, TRUE);
      return 0;
    }
  row = g_new0 (struct row, 1);
  row->tag = ++platform.last_tag;
  row->value = value;
  g_hash_table_replace (platform.rows, g_strdup (path), row);
  return row->tag;
}

static bool
draw_lost_answer (void)
{
  g_autoptr (GMutexLocker) locker = g_mutex_locker_new (&platform.lock);

  return g_rand_int_range (platform.random, 0, 100)
         < (int)platform.lost_answers_percent;
}

static int
handle_put (struct mg_connection *connection, const char *path)
{
  uint64_t tag = store_row (connection, path, server_read_body (connection));
  g_autofree char *header = g_strdup_printf ("ETag: \"%" PRIu64 "\"\r\n", tag);

  platform.writes++;
  if (draw_lost_answer ())
    return server_hang_up (connection);
  if (tag == 0)
    return reply_text (connection, 412, "the condition does not hold\n");
  return server_reply (connection, 200, header, "", 0);
}

/* Returns a copy of a row's value and sets its tag, NULL if there is no row. */
static GString *
copy_row (const char *path, uint64_t *tag)
{
  g_autoptr (GMutexLocker) locker = g_mutex_locker_new (&platform.lock);
  const struct row *row = g_hash_table_lookup (platform.rows, path);

  if (row == NULL)
    return NULL;
  *tag = row->tag;
  return g_string_new_len (row->value->str, (gssize)row->value->len);
}

static int
handle_get (struct mg_connection *connection, const char *path)
{
  uint64_t tag = 0;
  g_autoptr (GString) value = copy_row (path, &tag);
  g_autofree char *header = g_strdup_printf ("ETag: \"%" PRIu64 "\"\r\n", tag);

  platform.reads++;
  if (value == NULL)
    return reply_text (connection, 404, "no such row\n");
  return server_reply (connection, 200, header, value->str, value->len);
}

static int
handle_list (struct mg_connection *connection,
             const struct mg_request_info *request)
{
  g_autofree char *prefix = server_query (request, "prefix", "");
  g_autofree char *start = g_strconcat ("/table/", prefix, NULL);
  struct json_object *rows = json_object_new_object ();
  GHashTableIter iterator;
  gpointer path, row;
  int status;

  platform.reads++;
  g_mutex_lock (&platform.lock);
  g_hash_table_iter_init (&iterator, platform.rows);
  while (g_hash_table_iter_next (&iterator, &path, &row))
    if (g_str_has_prefix (path, start))
      json_object_object_add (
          rows, (char *)path + strlen ("/table/"),
          json_object_new_string (((struct row *)row)->value->str));
  g_mutex_unlock (&platform.lock);
  status = reply_text (connection, 200, json_object_to_json_string (rows));
  json_object_put (rows);
  return status;
}

static int
handle (struct mg_connection *connection, void *context G_GNUC_UNUSED)
{
  const struct mg_request_info *request = mg_get_request_info (connection);
  const char *path = request->local_uri;
  int status;

  if (platform.delay_ms > 0)
    sleep_us (platform.delay_ms * USEC_PER_MSEC);
  if (fail_by_outage (connection, &status))
    return status;
  if (strcmp (path, "/table") == 0)
    return handle_list (connection, request);
  if (!g_str_has_prefix (path, "/table/")
      && !g_str_has_prefix (path, "/objects/"))
    return reply_text (connection, 404, "no such service\n");
  if (strcmp (request->request_method, "PUT") == 0)
    return handle_put (connection, path);
  return handle_get (connection, path);
}

static const struct argp_option options[] = {
  { "listen", 'l', "ADDRESS:PORT", 0, "address to listen on", 0 },
  { "control", 'c', "ADDRESS:PORT", 0, "address of requests for faults", 0 },
  { "history", 'h', "FILE", 0, "history file for faults", 0 },
  { "threads", 't', "N", 0, "maximum number of connections", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  switch (key)
    {
    case 'l':
      platform.listen = argument;
      return 0;
    case 'c':
      platform.control = argument;
      return 0;
    case 'h':
      platform.history_path = argument;
      return 0;
    case 't':
      platform.threads = (unsigned)strtoul (argument, NULL, 10);
      return 0;
    case ARGP_KEY_END:
      if (platform.listen == NULL || platform.control == NULL)
        argp_error (state, "--listen and --control are required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  const struct argp argp
      = { options, parse_option, NULL, "Stand-in for the platform.",
          NULL,    NULL,         NULL };
  struct mg_context *server;
  struct mg_context *control;

  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  block_stop_signals ();
  platform.history = history_open (platform.history_path);
  platform.random = g_rand_new_with_seed (1);
  platform.rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  server = server_start (platform.listen, platform.threads, NULL, handle);
  control
      = server_start (platform.control, CONTROL_THREADS, NULL, handle_control);
  wait_for_stop ();
  platform.outage = OUTAGE_NONE;
  mg_stop (control);
  mg_stop (server);
  return 0;
}
