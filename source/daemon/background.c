/**
 * DOC: The background thread: reads and writes the platform's table and fetches
 * configurations from other daemons. No call ever waits for this thread.
 */

#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>
#include <urcu.h>

#include "daemon/daemon.h"
#include "daemon/hooks.h"
#include "jackdawladder/log.h"

/* Rate of configuration polls that all daemons together aim at. */
#define PLATFORM_POLLS_PER_SECOND 20
#define POLL_INTERVAL_MIN_US (1 * JL_USEC_PER_SEC)
#define POLL_INTERVAL_MAX_US (25 * JL_USEC_PER_SEC)
/* Interval at which the daemon writes its own row and reads those of others. */
#define MEMBER_ROW_INTERVAL_US (60 * JL_USEC_PER_SEC)
#define FETCH_TIMEOUT_US (2 * JL_USEC_PER_SEC)
#define POOL_EXPIRE_INTERVAL_US (500 * JL_USEC_PER_MSEC)

/**
 * struct background - state of the thread
 * @row: contents of this daemon's row in the table
 * @has_row: whether the reducer has given @row
 * @row_written: whether the table holds @row
 * @members_read: whether the rows of other daemons were ever read
 * @platform_unreachable: whether the last poll did not reach the platform
 * @poll_at_us: time of the next poll of the configuration
 * @row_at_us: time of the next exchange of member rows
 */
struct background
{
  struct jl_daemon *daemon;
  GRand *random;
  struct jl_member_info row;
  bool has_row;
  bool row_written;
  bool members_read;
  bool platform_unreachable;
  uint64_t poll_at_us;
  uint64_t row_at_us;
};

/* Logs when the platform becomes unreachable and when it is reachable again. */
static void
set_platform_reachable (struct background *background, bool reachable)
{
  if (reachable == !background->platform_unreachable)
    return;
  background->platform_unreachable = !reachable;
  jl_log (reachable ? JL_LOG_PLATFORM_REACHABLE : JL_LOG_PLATFORM_UNREACHABLE,
          0, 0);
}

/*
 * Returns the time until the next poll. It grows with the number of members, so
 * that the platform's load stays constant, and has a jitter of +/-50%.
 */
static uint64_t
poll_interval (struct background *background)
{
  struct jl_daemon *daemon = background->daemon;
  uint64_t interval_us;
  uint32_t count;

  jl_daemon_lock (daemon);
  count = jl_core_member_count (daemon->core);
  jl_daemon_unlock (daemon);
  interval_us = count * JL_USEC_PER_SEC / PLATFORM_POLLS_PER_SECOND;
  interval_us = CLAMP (interval_us, POLL_INTERVAL_MIN_US, POLL_INTERVAL_MAX_US);
  return interval_us / 2
         + (uint64_t)g_rand_double_range (background->random, 0,
                                          (double)interval_us);
}

/* Reads the configuration from the platform and installs a newer version. */
static void
poll_platform (struct background *background)
{
  struct jl_daemon *daemon = background->daemon;
  struct jl_stored_config stored = { 0 };
  struct jl_config *config;
  GError *error = NULL;
  uint64_t installed_version = 0;

  if (!jl_platform_read_config (daemon->platform, &stored, NULL, &error))
    {
      set_platform_reachable (background,
                              error->code == JL_PLATFORM_ERROR_ABSENT
                                  || error->code == JL_PLATFORM_ERROR_REFUSED);
      g_error_free (error);
      return;
    }
  set_platform_reachable (background, true);
  config = jl_daemon_get_config (daemon);
  if (config != NULL)
    {
      installed_version = config->version;
      jl_config_drop (config);
    }
  if (stored.version > installed_version)
    jl_daemon_install (daemon, stored.text, strlen (stored.text),
                       stored.version, NULL);
  g_free (stored.text);
}

/* Writes this daemon's row, by which daemons without seeds discover it. */
static void
write_member_row (struct background *background)
{
  struct jl_daemon *daemon = background->daemon;
  const struct jl_member_info *row = &background->row;
  char control[JL_ENDPOINT_TEXT_SIZE];
  char *key;
  char *value;

  jl_endpoint_format (jl_member_endpoint (row->identity.member), control);
  key = g_strconcat (JL_PLATFORM_MEMBER_PREFIX, control, NULL);
  value
      = g_strdup_printf ("{\"control\":\"%s\",\"zone\":\"%s\","
                         "\"service\":\"%s\",\"epoch\":%" PRIu64 "}",
                         control, row->zone, row->service, row->identity.epoch);
  background->row_written
      = jl_platform_replace (daemon->platform, key, value, NULL, NULL);
  g_free (key);
  g_free (value);
}

/* Reports all daemons that have rows in the table to the reducer as seeds. */
static void
read_member_rows (struct background *background)
{
  struct jl_daemon *daemon = background->daemon;
  GHashTable *rows
      = jl_platform_list (daemon->platform, JL_PLATFORM_MEMBER_PREFIX, NULL);
  GHashTableIter iterator;
  gpointer key;

  if (rows == NULL)
    return;
  background->members_read = true;
  g_hash_table_iter_init (&iterator, rows);
  while (g_hash_table_iter_next (&iterator, &key, NULL))
    {
      struct jl_event event = { .type = JL_EVENT_SEED };
      const char *control
          = (const char *)key + strlen (JL_PLATFORM_MEMBER_PREFIX);

      if (jl_endpoint_parse (control, &event.seed.control))
        jl_daemon_post (daemon, &event);
    }
  g_hash_table_destroy (rows);
}

/* Fetches the configuration from a peer that has announced a newer version. */
static void
fetch_config (struct background *background,
              const struct jl_effect_fetch_config *fetch)
{
  struct jl_daemon *daemon = background->daemon;
  struct jl_http_message request;
  struct jl_http_message response;
  struct jl_http_call call = { .endpoint = fetch->peer,
                               .method = "GET",
                               .target = "/jl/config",
                               .request = &request,
                               .timeout_us = FETCH_TIMEOUT_US,
                               .response_max_bytes = JL_CONFIG_BYTES_MAX };
  const char *text;
  uint64_t version;
  uint32_t status;

  if (jl_hooks_partitioned (fetch->peer.ip))
    return;
  jl_http_message_init (&request);
  jl_http_message_init (&response);
  if (jl_http_perform (daemon->pool, &call, &status, &response)
          == JL_HTTP_COMPLETED
      && status == 200)
    {
      text = jl_http_header (&response, "Jl-Config-Version");
      if (text != NULL
          && g_ascii_string_to_unsigned (text, 10, 1, INT64_MAX, &version,
                                         NULL))
        jl_daemon_install (daemon, response.body->str, response.body->len,
                           version, NULL);
    }
  jl_http_message_clear (&request);
  jl_http_message_clear (&response);
}

/* Executes an effect that the reducer gave to the background thread. */
static void
handle_effect (struct background *background, const struct jl_effect *effect)
{
  if (effect->type == JL_EFFECT_FETCH_CONFIG)
    fetch_config (background, &effect->fetch_config);
  else if (effect->type == JL_EFFECT_PUBLISH)
    {
      background->row = effect->publish;
      background->has_row = true;
      background->row_written = false;
      background->row_at_us = 0;
    }
}

/* Polls the configuration and exchanges member rows when they are due. */
static void
run_periodic (struct background *background)
{
  uint64_t now_us = jl_now ();

  if (background->daemon->platform == NULL)
    return;
  if (now_us >= background->poll_at_us)
    {
      poll_platform (background);
      if (!background->members_read
          || (background->has_row && !background->row_written))
        background->row_at_us = 0;
      background->poll_at_us = jl_now () + poll_interval (background);
    }
  if (now_us >= background->row_at_us && !background->platform_unreachable)
    {
      if (background->has_row)
        write_member_row (background);
      read_member_rows (background);
      background->row_at_us = jl_now () + MEMBER_ROW_INTERVAL_US;
    }
}

void *
jl_background_run (void *context)
{
  struct background background = { .daemon = context };
  struct jl_daemon *daemon = context;
  struct jl_effect *effect;

  rcu_register_thread ();
  background.random = g_rand_new_with_seed ((uint32_t)daemon->settings->ip
                                            ^ daemon->settings->control_port);
  while (jl_daemon_await_background (daemon, POOL_EXPIRE_INTERVAL_US, &effect))
    {
      if (effect != NULL)
        handle_effect (&background, effect);
      g_free (effect);
      run_periodic (&background);
      jl_http_pool_expire (daemon->pool);
    }
  g_free (effect);
  g_rand_free (background.random);
  rcu_unregister_thread ();
  return NULL;
}
