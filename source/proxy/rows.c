/**
 * DOC: What the daemon reads from the platform's store and keeps there.
 */

#include "proxy/rows.h"

#include "proxy/hooks.h"

#include <json-c/json.h>
#include <string.h>

/* Tables of the store: the operators' configuration; where each daemon is; for
 * each daemon the lives of its target that have left. */
#define SITE_TABLE "op"
#define SITE_KEY "config"
#define DAEMON_TABLE "daemons"
#define TARGET_TABLE "targets"
/* How long a call to the store waits for a change. */
#define SITE_WAIT_MS 20000
#define DAEMON_WAIT_MS 25000
/* Daemons that start together are read together. */
#define DAEMON_GATHER_US (1 * JL_USEC_PER_SEC)
/* The same for the daemons of each zone that watch the configuration closely:
 * a call that the store has lost ends soon. The others hear of it from them. */
#define SITE_WATCH_MS 4000
#define WATCHERS 2
/* Changes that the others gather: within the time in which one has to be in
 * force, also for a daemon that hears nobody. */
#define SITE_GATHER_US (1200 * JL_USEC_PER_MSEC)

/* The object in a row, NULL if it holds none. */
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

static void
take_daemon_row (struct jl_proxy *proxy, const struct jl_row *row)
{
  struct json_object *document = parse_row (row);
  struct json_object *peer = json_object_object_get (document, "peer");
  struct json_object *zone = json_object_object_get (document, "zone");
  struct jl_endpoint endpoint;

  if (peer != NULL && zone != NULL
      && jl_endpoint_parse (json_object_get_string (peer), &endpoint))
    {
      struct jl_member *member = jl_roster_member (&proxy->roster, row->key);

      if (member != proxy->self && member->last_beacon_us == 0)
        {
          member->peer = endpoint;
          g_strlcpy (member->zone, json_object_get_string (zone), JL_TEXT_SIZE);
          jl_beacon_soon (proxy->beacon);
        }
    }
  json_object_put (document);
}

static void
take_left (struct jl_proxy *proxy, struct json_object *left)
{
  struct json_object *id = json_object_object_get (left, "target");
  struct json_object *born = json_object_object_get (left, "born_ms");

  if (id == NULL || born == NULL || JL_OFF ("left"))
    return;
  if (jl_target_restore_left (&proxy->target, json_object_get_string (id),
                              (uint64_t)json_object_get_int64 (born)))
    jl_proxy_target_changed (proxy, "left-before");
}

/* What an earlier life of this daemon has acknowledged holds for this one. */
static void
take_target_row (struct jl_proxy *proxy, const struct jl_row *row)
{
  struct json_object *document = parse_row (row);
  struct json_object *list = json_object_object_get (document, "left");
  size_t count = json_object_is_type (list, json_type_array)
                     ? json_object_array_length (list)
                     : 0;

  for (size_t i = 0; i < count; i++)
    {
      struct json_object *left = json_object_array_get_idx (list, i);

      if (json_object_is_type (left, json_type_object))
        take_left (proxy, left);
    }
  json_object_put (document);
  if (proxy->left_written)
    proxy->left_edition = proxy->target.left_edition;
  else
    jl_rows_keep_left (proxy);
}

static void
on_row (void *context, const struct jl_row *row)
{
  struct jl_proxy *proxy = context;

  if (row->removed || row->value == NULL)
    return;
  if (strcmp (row->table, DAEMON_TABLE) == 0)
    take_daemon_row (proxy, row);
  else if (strcmp (row->table, TARGET_TABLE) == 0
           && strcmp (row->key, proxy->options->name) == 0)
    take_target_row (proxy, row);
  else if (strcmp (row->table, SITE_TABLE) == 0
           && strcmp (row->key, SITE_KEY) == 0)
    jl_proxy_install (proxy, row->value, row->size, "store");
}

static void
on_reach (void *context, bool reached, const char *why)
{
  const struct jl_proxy *proxy = context;

  jl_record (JL_RECORD_CHANGE, JL_RECORD_STORE,
             "reached=%d cause=\"%s\" site=%" PRIx64, reached,
             reached ? "answered" : why,
             proxy->site != NULL ? proxy->site->version : 0);
}

static void
on_written (void *context, const char *table)
{
  struct jl_proxy *proxy = context;

  if (strcmp (table, TARGET_TABLE) != 0)
    return;
  proxy->left_written = true;
  jl_pages_left_written (proxy);
}

static const struct jl_store_ops store_ops = {
  .row = on_row,
  .reach = on_reach,
  .written = on_written,
};

static void
keep_daemon_row (struct jl_proxy *proxy)
{
  char peer[JL_ENDPOINT_TEXT_SIZE];
  char *value;

  jl_endpoint_format (proxy->self->peer, peer);
  value = g_strdup_printf ("{\"peer\":\"%s\",\"zone\":\"%s\"}", peer,
                           proxy->options->zone);
  jl_store_keep (proxy->store, DAEMON_TABLE, proxy->options->name, value);
  g_free (value);
}

static struct json_object *
left_list (const struct jl_target *target)
{
  struct json_object *list = json_object_new_array ();

  for (size_t i = 0; i < G_N_ELEMENTS (target->left); i++)
    {
      struct json_object *left;

      if (target->left[i].id[0] == '\0')
        continue;
      left = json_object_new_object ();
      json_object_object_add (left, "target",
                              json_object_new_string (target->left[i].id));
      json_object_object_add (
          left, "born_ms",
          json_object_new_int64 ((int64_t)target->left[i].started_ms));
      json_object_array_add (list, left);
    }
  return list;
}

void
jl_rows_keep_left (struct jl_proxy *proxy)
{
  struct json_object *document;

  if (proxy->left_edition == proxy->target.left_edition)
    return;
  proxy->left_edition = proxy->target.left_edition;
  proxy->left_written = false;
  document = json_object_new_object ();
  json_object_object_add (document, "left", left_list (&proxy->target));
  jl_store_keep (proxy->store, TARGET_TABLE, proxy->options->name,
                 json_object_to_json_string (document));
  json_object_put (document);
}

/* Whether this daemon is among the first of its zone, by name. */
static bool
is_watcher (const struct jl_proxy *proxy)
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
  return before < WATCHERS;
}

void
jl_rows_window (struct jl_proxy *proxy)
{
  if (is_watcher (proxy))
    jl_store_set_pace (proxy->store, SITE_TABLE, SITE_WATCH_MS, 0);
  else
    jl_store_set_pace (proxy->store, SITE_TABLE, SITE_WAIT_MS, SITE_GATHER_US);
}

void
jl_rows_open (struct jl_proxy *proxy)
{
  proxy->left_written = true;
  proxy->store = jl_store_new (proxy->loop, proxy->net, proxy->options->store,
                               &store_ops, proxy);
  jl_store_read (proxy->store, TARGET_TABLE, proxy->options->name);
  keep_daemon_row (proxy);
  jl_store_watch (proxy->store, SITE_TABLE, SITE_WATCH_MS, 0);
  jl_store_watch (proxy->store, DAEMON_TABLE, DAEMON_WAIT_MS, DAEMON_GATHER_US);
}
