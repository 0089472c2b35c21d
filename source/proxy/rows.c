/**
 * DOC: Rows of the platform's store that the daemon reads and writes.
 */

#include "proxy/rows.h"

#include "json.h"
#include "policy/content.h"
#include "proxy/freshness.h"
#include "proxy/hooks.h"
#include "proxy/learned.h"
#include "proxy/quota.h"
#include "proxy/report.h"

#include <string.h>

/* Tables of the store: the operators' configuration; the endpoint of each
 * daemon; for each daemon the incarnations of its target that have left. */
#define SITE_TABLE "op"
#define SITE_KEY "config"
#define DAEMON_TABLE "daemons"
#define TARGET_TABLE "targets"
/* Prefix of the keys of rows in the table of daemons that hold the contents
 * that a daemon has found to end targets in trials. The table is watched
 * anyway. Older daemons ignore rows without an endpoint. */
#define REFUSED_PREFIX "refused/"
/* Maximum number of contents in such a row. */
#define REFUSED_CONTENTS_MAX 16
/* Length of the identity of a content in such a row. */
#define CONTENT_DIGITS 16
/* Time for which a long poll of the store waits for a change. The first
 * follower waits for a configuration as long as proxy/freshness.h says.
 */
#define SITE_POLL_MS 4000
#define DAEMON_POLL_MS 25000
/* Time after its start at which a daemon reads the rows of all daemons although
 * its own is not written yet. */
#define DAEMONS_READ_DELAY_US (700 * JL_USEC_PER_MSEC)
/* Delay between a response and the next poll of the table of daemons, so that
 * the rows of daemons that start together are read in few polls. It delays
 * contents that end targets, too. */
#define DAEMON_BATCH_US (100 * JL_USEC_PER_MSEC)
/* Time after its start in which a daemon does not follow the store: it does not
 * know yet who else does. */
#define FOLLOW_START_US (600 * JL_USEC_PER_MSEC)
/* Time for which a daemon that could not reach the store leaves it to others.
 */
#define STORE_LOST_KEPT_US (5 * JL_USEC_PER_SEC)
/* First byte of the lowest addresses that are of no single machine. */
#define FIRST_MULTICAST_NETWORK 224

/* Most of the writes of a daemon when the store was restored, the ratio of the
 * store's rate of writes that they may use, and the least and the most time
 * over which they are spread: rows must be back 2 s after the store's return.
 */
#define RESTORE_WRITES 2
#define RESTORE_RATE_RATIO 0.5
#define RESTORE_SPREAD_MIN_US (100 * JL_USEC_PER_MSEC)
#define RESTORE_SPREAD_MAX_US (800 * JL_USEC_PER_MSEC)

/* Returns the JSON object in a row, NULL if the row holds no valid object. */
static struct json_object *
parse_row (const struct jl_row *row)
{
  static const char *const names[]
      = { "peer",   "zone",    "refused", "content",  "ends",  "left",
          "target", "born_ms", "unheard", "replaced", "calls", NULL };
  struct json_object *document = jl_json_parse (row->value, row->size, names);

  if (json_object_is_type (document, json_type_object))
    return document;
  json_object_put (document);
  return NULL;
}

/* Whether a daemon can have this address: neither the own one, which another
 * daemon may have had before, nor one that is of no single machine. */
static bool
is_of_other_daemon (const struct jl_proxy *proxy, struct jl_endpoint endpoint)
{
  unsigned network = endpoint.ip >> 24;

  return network > 0 && network < FIRST_MULTICAST_NETWORK
         && !jl_endpoint_equal (endpoint, proxy->self->peer);
}

/* Adds a daemon that no beacon has announced yet. A row of this daemon's name
 * that is there before it is written is of an earlier one. */
static void
handle_daemon_row (struct jl_proxy *proxy, const struct jl_row *row)
{
  struct json_object *document = parse_row (row);
  const char *peer = jl_json_text (jl_json_member (document, "peer"),
                                   JL_ENDPOINT_TEXT_SIZE - 1);
  const char *zone
      = jl_json_text (jl_json_member (document, "zone"), JL_TEXT_SIZE - 1);
  struct jl_endpoint endpoint;

  if (strcmp (row->key, proxy->options->name) == 0)
    proxy->own_row_found = true;
  if (peer != NULL && zone != NULL && strlen (row->key) < JL_TEXT_SIZE
      && jl_endpoint_parse (peer, &endpoint)
      && is_of_other_daemon (proxy, endpoint))
    {
      struct jl_member *member
          = jl_roster_get_or_add (&proxy->roster, row->key);

      if (member != proxy->self && member->last_beacon_us == 0)
        {
          member->peer = endpoint;
          jl_roster_set_zone (&proxy->roster, member, zone);
          if (!member->in_other_zone)
            jl_beacon_send_soon (proxy->beacon);
        }
    }
  json_object_put (document);
}

static uint64_t
wall_clock_ms (void)
{
  return (uint64_t)g_get_real_time () / JL_USEC_PER_MSEC;
}

/* Reads when an end was, as time on this machine. Returns false if it does not
 * count any more, or is as far in the future: clocks of machines differ. */
static bool
read_end_time (const struct jl_proxy *proxy,
               struct json_object *value,
               uint64_t *at_us)
{
  uint64_t expiry_us = proxy->suspects.limits.expiry_us;
  uint64_t now_us = jl_now ();
  uint64_t now_ms = wall_clock_ms ();
  uint64_t ended_ms;
  uint64_t age_us;

  if (!jl_json_read_integer (value, JL_JSON_INTEGER_MAX, &ended_ms)
      || ended_ms > now_ms + expiry_us / JL_USEC_PER_MSEC)
    return false;
  age_us = now_ms > ended_ms ? (now_ms - ended_ms) * JL_USEC_PER_MSEC : 0;
  *at_us = now_us > age_us ? now_us - age_us : 1;
  return age_us <= expiry_us;
}

/* Reads an end of a target during a trial, "[target, wall clock, inferred,
 * service]". Older daemons write no service. Returns false if it is malformed
 * or does not count any more. */
static bool
read_end (const struct jl_proxy *proxy,
          struct json_object *end,
          struct jl_report *report)
{
  struct json_object *inferred;
  uint64_t target;
  uint64_t service = JL_ANY_SERVICE;

  if (!json_object_is_type (end, json_type_array)
      || json_object_array_length (end) < 3)
    return false;
  inferred = json_object_array_get_idx (end, 2);
  if (!jl_json_read_integer (json_object_array_get_idx (end, 0), UINT32_MAX,
                             &target)
      || !read_end_time (proxy, json_object_array_get_idx (end, 1),
                         &report->at_us)
      || !json_object_is_type (inferred, json_type_boolean)
      || (json_object_array_length (end) > 3
          && !jl_json_read_integer (json_object_array_get_idx (end, 3),
                                    UINT32_MAX, &service)))
    return false;
  report->target = (uint32_t)target;
  report->service = (uint32_t)service;
  report->inferred = json_object_get_boolean (inferred);
  return true;
}

/* Reads an identity of a content, of 16 hexadecimal digits. */
static bool
read_content (struct json_object *value, uint64_t *content)
{
  const char *text = jl_json_text (value, CONTENT_DIGITS);

  return text != NULL && strspn (text, "0123456789abcdef") == CONTENT_DIGITS
         && g_ascii_string_to_unsigned (text, 16, 1, G_MAXUINT64, content,
                                        NULL);
}

/* Applies the ends by one content. Returns whether there is any. */
static bool
restore_refused (struct jl_proxy *proxy, struct json_object *refused)
{
  struct json_object *ends = jl_json_member (refused, "ends");
  size_t count = json_object_is_type (ends, json_type_array)
                     ? json_object_array_length (ends)
                     : 0;
  unsigned applied = 0;
  uint64_t content;

  if (!read_content (jl_json_member (refused, "content"), &content))
    return false;
  for (size_t i = 0; i < count && applied < JL_STRIKES_MAX; i++)
    {
      struct jl_report report = {
        .kind = JL_REPORT_STRIKE,
        .trial = true,
        .count = 1,
        .contents = &content,
      };

      if (!read_end (proxy, json_object_array_get_idx (ends, i), &report))
        continue;
      applied++;
      jl_report_apply (proxy, &report, "store");
    }
  return applied > 0;
}

/* Applies the refused contents that a daemon has written, and tells them to the
 * zone, of which few daemons follow the store. Writes the own row again if it
 * was changed before it could be read. */
static void
handle_refused_row (struct jl_proxy *proxy, const struct jl_row *row)
{
  struct json_object *document = parse_row (row);
  struct json_object *list = json_object_object_get (document, "refused");
  size_t count = json_object_is_type (list, json_type_array)
                     ? json_object_array_length (list)
                     : 0;
  unsigned restored = 0;

  for (size_t i = 0; i < count && restored < REFUSED_CONTENTS_MAX; i++)
    restored += restore_refused (proxy, json_object_array_get_idx (list, i));
  json_object_put (document);
  if (restored > 0 && proxy->follows_store)
    jl_news_send_open (proxy->news, NULL, true);
  if (proxy->refused_row_pending
      && strcmp (row->key + strlen (REFUSED_PREFIX), proxy->options->name) == 0)
    jl_rows_write_refused (proxy);
}

/* A start out of range, which the parser reads as the largest integer, would
 * make an entry hold for all incarnations of its identifier. */
static void
restore_departed (struct jl_proxy *proxy, struct json_object *departed)
{
  const char *id
      = jl_json_text (jl_json_member (departed, "target"), JL_TEXT_SIZE - 1);
  struct jl_departed_incarnation left = { 0 };

  if (id == NULL || JL_TEST_DISABLED ("left")
      || !jl_json_read_integer (jl_json_member (departed, "born_ms"),
                                G_MAXINT64 - 1, &left.started_ms))
    return;
  g_strlcpy (left.id, id, sizeof left.id);
  left.unheard = json_object_get_boolean (jl_json_member (departed, "unheard"));
  left.replaced
      = json_object_get_boolean (jl_json_member (departed, "replaced"));
  if (jl_target_restore_departed (&proxy->target, &left))
    jl_proxy_target_changed (proxy, "left-before");
}

/* Restores the incarnations of the target whose leave an earlier incarnation of
 * this daemon has acknowledged, and what that one had learned. Writes the row
 * again if this daemon had changed it before the row could be read. */
static void
handle_target_row (struct jl_proxy *proxy, const struct jl_row *row)
{
  struct json_object *document = parse_row (row);
  struct json_object *list = json_object_object_get (document, "left");
  size_t count = json_object_is_type (list, json_type_array)
                     ? json_object_array_length (list)
                     : 0;

  for (size_t i = 0; i < count; i++)
    restore_departed (proxy, json_object_array_get_idx (list, i));
  jl_learned_restore (proxy, json_object_object_get (document, "calls"));
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
  if (strcmp (row->table, DAEMON_TABLE) == 0
      && g_str_has_prefix (row->key, REFUSED_PREFIX))
    handle_refused_row (proxy, row);
  else if (strcmp (row->table, DAEMON_TABLE) == 0)
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
  struct jl_proxy *proxy = context;

  if (proxy->self->store_lost == reachable)
    jl_beacon_send_soon (proxy->beacon);
  proxy->self->store_lost = !reachable;
  proxy->store_lost_us = jl_now ();
  jl_record (JL_RECORD_CHANGE, JL_RECORD_STORE_REACHABILITY,
             "reached=%d cause=\"%s\" site=%" PRIx64, reachable,
             reachable ? "answered" : why,
             proxy->site != NULL ? proxy->site->version : 0);
}

/* Reads the rows of all daemons once this daemon's own row is written. Of two
 * daemons that start together, the one that reads later then sees the other. */
static void
read_daemons_once (struct jl_proxy *proxy)
{
  if (!proxy->daemon_row_acknowledged)
    jl_store_read_table (proxy->store, DAEMON_TABLE);
  proxy->daemon_row_acknowledged = true;
}

/* Before this daemon's row was written for the first time, the store had none
 * of its name: no earlier daemon has acknowledged a leave. */
static void
note_first_start (struct jl_proxy *proxy)
{
  if (proxy->daemon_row_acknowledged || proxy->own_row_found)
    return;
  proxy->target.recall.is_first = true;
  jl_heartbeats_check_held (proxy);
}

static void
on_row_read (void *context, const char *table)
{
  struct jl_proxy *proxy = context;

  (void)table;
  proxy->target.recall.row_read = true;
  jl_heartbeats_check_held (proxy);
}

static void
on_written (void *context, const char *table)
{
  struct jl_proxy *proxy = context;

  if (strcmp (table, DAEMON_TABLE) == 0)
    {
      proxy->refused_row_pending = false;
      note_first_start (proxy);
      read_daemons_once (proxy);
    }
  if (strcmp (table, TARGET_TABLE) != 0)
    return;
  proxy->departed_row_acknowledged = true;
  jl_heartbeats_answer_leaves (proxy);
}

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

static void
add_departed (struct json_object *list,
              const struct jl_departed_incarnation *left)
{
  struct json_object *departed;

  if (left->id[0] == '\0')
    return;
  departed = json_object_new_object ();
  json_object_object_add (departed, "target",
                          json_object_new_string (left->id));
  json_object_object_add (departed, "born_ms",
                          json_object_new_int64 ((int64_t)left->started_ms));
  if (left->unheard)
    json_object_object_add (departed, "unheard",
                            json_object_new_boolean (true));
  if (left->replaced)
    json_object_object_add (departed, "replaced",
                            json_object_new_boolean (true));
  json_object_array_add (list, departed);
}

/* Older daemons read the last entries only, so those of the daemon's own
 * targets come last. */
static struct json_object *
departed_list (const struct jl_target *target)
{
  struct json_object *list = json_object_new_array ();

  for (size_t i = 0; i < G_N_ELEMENTS (target->unheard); i++)
    add_departed (list, &target->unheard[i]);
  for (size_t i = 0; i < G_N_ELEMENTS (target->departed); i++)
    add_departed (list, &target->departed[i]);
  return list;
}

/* Writes the row of the local target. */
static void
write_target_row (struct jl_proxy *proxy)
{
  struct json_object *document;

  proxy->departed_revision_sent = proxy->target.departed_revision;
  proxy->departed_row_acknowledged = false;
  document = json_object_new_object ();
  json_object_object_add (document, "left", departed_list (&proxy->target));
  json_object_object_add (document, "calls", jl_learned_list (proxy));
  jl_store_write (proxy->store, TARGET_TABLE, proxy->options->name,
                  json_object_to_json_string (document));
  json_object_put (document);
}

void
jl_rows_write_departed (struct jl_proxy *proxy)
{
  if (proxy->departed_revision_sent != proxy->target.departed_revision)
    write_target_row (proxy);
}

void
jl_rows_write_learned (struct jl_proxy *proxy)
{
  if (proxy->departed_row_acknowledged && jl_learned_is_due (proxy))
    write_target_row (proxy);
}

/* Returns the ends of targets during trials, for a row. */
static struct json_object *
list_ends (const struct jl_proxy *proxy, const struct jl_suspect *suspect)
{
  struct json_object *ends = json_object_new_array ();
  uint64_t now_us = jl_now ();

  for (unsigned i = 0; i < suspect->strike_count; i++)
    {
      const struct jl_suspect_strike *strike = &suspect->strikes[i];
      uint64_t age_ms = (now_us - strike->at_us) / JL_USEC_PER_MSEC;
      struct json_object *end;

      if (!strike->trial
          || !jl_suspect_is_active (suspect, &proxy->suspects.limits, strike,
                                    now_us))
        continue;
      end = json_object_new_array ();
      json_object_array_add (end,
                             json_object_new_int64 ((int64_t)strike->target));
      json_object_array_add (
          end, json_object_new_int64 ((int64_t)(wall_clock_ms () - age_ms)));
      json_object_array_add (end, json_object_new_boolean (strike->inferred));
      json_object_array_add (end, json_object_new_int64 (strike->service));
      json_object_array_add (ends, end);
    }
  return ends;
}

static struct json_object *
list_refused (const struct jl_proxy *proxy)
{
  struct json_object *list = json_object_new_array ();
  const struct jl_suspect *suspect;
  uint64_t now_us = jl_now ();

  cds_list_for_each_entry (suspect, &proxy->suspects.open, open)
  {
    struct jl_verdict verdict = jl_suspects_judge (
        &proxy->suspects, suspect->content, JL_ANY_SERVICE, now_us);
    struct json_object *refused;
    char content[JL_CONTENT_TEXT_SIZE];

    if (verdict.trials == 0
        || json_object_array_length (list) == REFUSED_CONTENTS_MAX)
      continue;
    refused = json_object_new_object ();
    g_snprintf (content, sizeof content, "%016" PRIx64, suspect->content);
    json_object_object_add (refused, "content",
                            json_object_new_string (content));
    json_object_object_add (refused, "ends", list_ends (proxy, suspect));
    json_object_array_add (list, refused);
  }
  return list;
}

void
jl_rows_write_refused (struct jl_proxy *proxy)
{
  struct json_object *document = json_object_new_object ();
  char *key = g_strconcat (REFUSED_PREFIX, proxy->options->name, NULL);

  proxy->refused_row_pending = true;
  json_object_object_add (document, "refused", list_refused (proxy));
  jl_store_write (proxy->store, DAEMON_TABLE, key,
                  json_object_to_json_string (document));
  json_object_put (document);
  g_free (key);
}

static void
on_confirmed (void *context, const char *table, uint64_t as_of_us)
{
  const struct jl_proxy *proxy = context;

  if (strcmp (table, SITE_TABLE) == 0)
    jl_freshness_confirm (proxy->freshness, as_of_us);
}

/* Writes all rows of this daemon again. */
static void
on_restored (void *context, uint64_t before, uint64_t era)
{
  struct jl_proxy *proxy = context;
  bool has_departed = proxy->target.departed_revision > 0;
  bool has_refused = proxy->suspects.open_count > 0;

  proxy->counters.store_restores++;
  jl_record (JL_RECORD_CHANGE, JL_RECORD_STORE_RESTORED,
             "before=%" PRIu64 " era=%" PRIu64
             " heard_from=%s reads=2 writes=%d site=%" PRIx64,
             before, era,
             proxy->era_heard_from != NULL ? proxy->era_heard_from->name : "-",
             1 + has_departed + has_refused,
             proxy->site != NULL ? proxy->site->version : 0);
  write_daemon_row (proxy);
  proxy->learned.written_count = 0;
  if (has_departed)
    {
      proxy->departed_revision_sent = 0;
      jl_rows_write_departed (proxy);
    }
  if (has_refused)
    jl_rows_write_refused (proxy);
  proxy->era_heard_from = NULL;
  jl_quota_store_restored (proxy->quota);
  jl_beacon_send_soon (proxy->beacon);
}

static const struct jl_store_ops store_ops = {
  .row = on_row,
  .reachable = on_reachability,
  .written = on_written,
  .confirmed = on_confirmed,
  .row_read = on_row_read,
  .restored = on_restored,
};

/* Returns the time over which all daemons spread their writes when the store
 * was restored. */
static uint64_t
restore_spread_us (const struct jl_proxy *proxy)
{
  double writes
      = RESTORE_WRITES * jl_roster_alive_count (&proxy->roster, jl_now ());
  double rate = RESTORE_RATE_RATIO * proxy->options->store_writes_per_s;
  double spread_us = writes / rate * JL_USEC_PER_SEC;

  return (uint64_t)CLAMP (spread_us, RESTORE_SPREAD_MIN_US,
                          RESTORE_SPREAD_MAX_US);
}

/* Forgets after some time that the store could not be reached: a daemon that
 * does not follow it makes no calls that would tell. */
static void
expire_store_loss (struct jl_proxy *proxy)
{
  if (proxy->self->store_lost
      && jl_now () > proxy->store_lost_us + STORE_LOST_KEPT_US)
    proxy->self->store_lost = false;
}

bool
jl_rows_check_site (struct jl_proxy *proxy)
{
  return jl_store_renew (proxy->store, SITE_TABLE);
}

/* The first follower calls often, so that all can tell from its silence that
 * they do not hear of changes. */
static void
set_rank (struct jl_proxy *proxy, unsigned rank)
{
  bool became_first = rank == 0 && proxy->follow_rank != 0;

  if (rank == proxy->follow_rank)
    return;
  proxy->follow_rank = rank;
  jl_store_set_watch_intervals (proxy->store, SITE_TABLE,
                                rank == 0 && !JL_TEST_DISABLED ("freshness")
                                    ? jl_freshness_poll_ms (proxy->freshness)
                                    : SITE_POLL_MS,
                                0);
  if (became_first && proxy->follows_store)
    jl_rows_check_site (proxy);
}

static void
set_following (struct jl_proxy *proxy, bool follows)
{
  if (proxy->follows_store == follows)
    return;
  proxy->follows_store = follows;
  jl_record (JL_RECORD_CHANGE, JL_RECORD_STORE_FOLLOWED,
             "follows=%d reached=%d site=%" PRIx64, follows,
             !proxy->self->store_lost,
             proxy->site != NULL ? proxy->site->version : 0);
  jl_store_set_watched (proxy->store, SITE_TABLE, follows);
  jl_store_set_watched (proxy->store, DAEMON_TABLE, follows);
}

void
jl_rows_update_following (struct jl_proxy *proxy)
{
  uint64_t now_us = jl_now ();

  jl_store_set_restore_spread (proxy->store, restore_spread_us (proxy));
  expire_store_loss (proxy);
  set_rank (proxy, jl_roster_follow_rank (&proxy->roster, proxy->self, now_us));
  set_following (proxy, now_us > proxy->started_us + FOLLOW_START_US
                            && proxy->follow_rank < JL_REPRESENTATIVES_MAX);
}

void
jl_rows_open (struct jl_proxy *proxy)
{
  proxy->departed_row_acknowledged = true;
  proxy->follow_rank = JL_NONE;
  proxy->store = jl_store_new (proxy->loop, proxy->net, proxy->options->store,
                               &store_ops, proxy);
  jl_store_set_restore_spread (proxy->store, RESTORE_SPREAD_MIN_US);
  jl_store_read_row (proxy->store, TARGET_TABLE, proxy->options->name);
  write_daemon_row (proxy);
  jl_store_watch (proxy->store, SITE_TABLE, 0, SITE_POLL_MS, 0);
  jl_store_watch (proxy->store, DAEMON_TABLE, DAEMONS_READ_DELAY_US,
                  DAEMON_POLL_MS, DAEMON_BATCH_US);
  jl_store_set_watched (proxy->store, SITE_TABLE, false);
  jl_store_set_watched (proxy->store, DAEMON_TABLE, false);
}
