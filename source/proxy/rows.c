/**
 * DOC: Rows of the platform's store that the daemon reads and writes.
 */

#include "proxy/rows.h"

#include "proxy/hooks.h"

#include <json-c/json.h>
#include <string.h>

/* Tables of the store: the operators' configuration; the endpoint of each
 * daemon; for each daemon the incarnations of its target that have left. */
#define SITE_TABLE "op"
#define SITE_KEY "config"
#define DAEMON_TABLE "daemons"
#define TARGET_TABLE "targets"
/* Time for which a long poll of the store waits for a change. */
#define SITE_POLL_MS 20000
#define DAEMON_POLL_MS 25000
/* Delay between a response and the next poll of the table of daemons, so that
 * the rows of daemons that start together are read in one poll. */
#define DAEMON_BATCH_US (1 * JL_USEC_PER_SEC)
/* Long-poll time and number of the daemons of each zone that poll the
 * configuration frequently. The short time limits the delay if the store has
 * lost a poll. The other daemons get the configuration from these daemons. */
#define SITE_FREQUENT_POLL_MS 4000
#define FREQUENT_POLLERS_MAX 2
/* Delay between a response and the next poll at the other daemons, to receive
 * several changes in one poll. It is shorter than the time within which a
 * change must be in force, also at a daemon that receives no beacons. */
#define SITE_BATCH_US (1200 * JL_USEC_PER_MSEC)

/* Returns the JSON object in a row, NULL if the row holds no valid object. */
static struct json_object *
parse_row (const struct jl_row *row)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *document
      = json_tokener_parse_ex (tokener, row->value, (int)row->size);

  json_tokener_free (tokener);
  if (json_object_is_type (document, json_type_object))
    return document;
  json_object_put (document);
  return NULL;
}

/* Adds a daemon that no beacon has announced yet. */
static void
handle_daemon_row (struct jl_proxy *proxy, const struct jl_row *row)
{
  struct json_object *document = parse_row (row);
  struct json_object *peer = json_object_object_get (document, "peer");
  struct json_object *zone = json_object_object_get (document, "zone");
  struct jl_endpoint endpoint;

  if (peer != NULL && zone != NULL
      && jl_endpoint_parse (json_object_get_string (peer), &endpoint))
    {
      struct jl_member *member
          = jl_roster_get_or_add (&proxy->roster, row->key);

      if (member != proxy->self && member->last_beacon_us == 0)
        {
          member->peer = endpoint;
          g_strlcpy (member->zone, json_object_get_string (zone), JL_TEXT_SIZE);
          jl_beacon_send_soon (proxy->beacon);
        }
    }
  json_object_put (document);
}

static void
restore_departed (struct jl_proxy *proxy, struct json_object *departed)
{
  struct json_object *id = json_object_object_get (departed, "target");
  struct json_object *born = json_object_object_get (departed, "born_ms");

  if (id == NULL || born == NULL || JL_TEST_DISABLED ("left"))
    return;
  if (jl_target_restore_departed (&proxy->target, json_object_get_string (id),
                                  (uint64_t)json_object_get_int64 (born)))
    jl_proxy_target_changed (proxy, "left-before");
}

/* Restores the incarnations of the target whose leave an earlier incarnation of
 * this daemon has acknowledged. Writes the row again if this daemon had changed
 * it before the row could be read. */
static void
handle_target_row (struct jl_proxy *proxy, const struct jl_row *row)
{
  struct json_object *document = parse_row (row);
  struct json_object *list = json_object_object_get (document, "left");
  size_t count = json_object_is_type (list, json_type_array)
                     ? json_object_array_length (list)
                     : 0;

  for (size_t i = 0; i < count; i++)
    {
      struct json_object *departed = json_object_array_get_idx (list, i);

      if (json_object_is_type (departed, json_type_object))
        restore_departed (proxy, departed);
    }
  json_object_put (document);
  if (proxy->departed_row_acknowledged)
    proxy->departed_revision_sent = proxy->target.departed_revision;
  else
    jl_rows_write_departed (proxy);
}

static void
on_row (void *context, const struct jl_row *row)
{
  struct jl_proxy *proxy = context;

  if (row->removed || row->value == NULL)
    return;
  if (strcmp (row->table, DAEMON_TABLE) == 0)
    handle_daemon_row (proxy, row);
  else if (strcmp (row->table, TARGET_TABLE) == 0
           && strcmp (row->key, proxy->options->name) == 0)
    handle_target_row (proxy, row);
  else if (strcmp (row->table, SITE_TABLE) == 0
           && strcmp (row->key, SITE_KEY) == 0)
    jl_proxy_install (proxy, row->value, row->size, "store");
}

static void
on_reachability (void *context, bool reachable, const char *why)
{
  const struct jl_proxy *proxy = context;

  jl_record (JL_RECORD_CHANGE, JL_RECORD_STORE_REACHABILITY,
             "reached=%d cause=\"%s\" site=%" PRIx64, reachable,
             reachable ? "answered" : why,
             proxy->site != NULL ? proxy->site->version : 0);
}

static void
on_written (void *context, const char *table)
{
  struct jl_proxy *proxy = context;

  if (strcmp (table, TARGET_TABLE) != 0)
    return;
  proxy->departed_row_acknowledged = true;
  jl_pages_acknowledge_leave (proxy);
}

static const struct jl_store_ops store_ops = {
  .row = on_row,
  .reachable = on_reachability,
  .written = on_written,
};

static void
write_daemon_row (struct jl_proxy *proxy)
{
  char peer[JL_ENDPOINT_TEXT_SIZE];
  char *value;

  jl_endpoint_format (proxy->self->peer, peer);
  value = g_strdup_printf ("{\"peer\":\"%s\",\"zone\":\"%s\"}", peer,
                           proxy->options->zone);
  jl_store_write (proxy->store, DAEMON_TABLE, proxy->options->name, value);
  g_free (value);
}

static struct json_object *
departed_list (const struct jl_target *target)
{
  struct json_object *list = json_object_new_array ();

  for (size_t i = 0; i < G_N_ELEMENTS (target->departed); i++)
    {
      struct json_object *departed;

      if (target->departed[i].id[0] == '\0')
        continue;
      departed = json_object_new_object ();
      json_object_object_add (departed, "target",
                              json_object_new_string (target->departed[i].id));
      json_object_object_add (
          departed, "born_ms",
          json_object_new_int64 ((int64_t)target->departed[i].started_ms));
      json_object_array_add (list, departed);
    }
  return list;
}

void
jl_rows_write_departed (struct jl_proxy *proxy)
{
  struct json_object *document;

  if (proxy->departed_revision_sent == proxy->target.departed_revision)
    return;
  proxy->departed_revision_sent = proxy->target.departed_revision;
  proxy->departed_row_acknowledged = false;
  document = json_object_new_object ();
  json_object_object_add (document, "left", departed_list (&proxy->target));
  jl_store_write (proxy->store, TARGET_TABLE, proxy->options->name,
                  json_object_to_json_string (document));
  json_object_put (document);
}

/* Whether this daemon is among the first FREQUENT_POLLERS_MAX daemons of its
 * zone, by name. */
static bool
is_frequent_poller (const struct jl_proxy *proxy)
{
  unsigned before = 0;
  uint64_t now_us = jl_now ();

  for (guint i = 0; i < proxy->roster.members->len; i++)
    {
      const struct jl_member *member
          = g_ptr_array_index (proxy->roster.members, i);

      if (!member->in_other_zone && jl_member_is_alive (member, now_us)
          && strcmp (member->name, proxy->self->name) < 0)
        before++;
    }
  return before < FREQUENT_POLLERS_MAX;
}

void
jl_rows_update_polling (struct jl_proxy *proxy)
{
  if (is_frequent_poller (proxy))
    jl_store_set_watch_intervals (proxy->store, SITE_TABLE,
                                  SITE_FREQUENT_POLL_MS, 0);
  else
    jl_store_set_watch_intervals (proxy->store, SITE_TABLE, SITE_POLL_MS,
                                  SITE_BATCH_US);
}

void
jl_rows_open (struct jl_proxy *proxy)
{
  proxy->departed_row_acknowledged = true;
  proxy->store = jl_store_new (proxy->loop, proxy->net, proxy->options->store,
                               &store_ops, proxy);
  jl_store_read_row (proxy->store, TARGET_TABLE, proxy->options->name);
  write_daemon_row (proxy);
  jl_store_watch (proxy->store, SITE_TABLE, SITE_FREQUENT_POLL_MS, 0);
  jl_store_watch (proxy->store, DAEMON_TABLE, DAEMON_POLL_MS, DAEMON_BATCH_US);
}
