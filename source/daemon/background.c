/**
 * DOC: The background thread: the platform's table and configurations of
 * other daemons. Nothing that a call needs waits for it.
 */

#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>
#include <urcu.h>

#include "daemon/daemon.h"
#include "daemon/hooks.h"
#include "jackdawladder/log.h"

/* The platform gets about this many polls a second from all daemons. */
#define POLLS_PER_SECOND 20
#define POLL_MIN_US (1 * JL_USEC_PER_SEC)
#define POLL_MAX_US (25 * JL_USEC_PER_SEC)
/* How often the own row is written, and those of others are read. */
#define ROW_INTERVAL_US (60 * JL_USEC_PER_SEC)
#define FETCH_TIMEOUT_US (2 * JL_USEC_PER_SEC)
#define EXPIRE_INTERVAL_US (500 * JL_USEC_PER_MSEC)

/**
 * struct background - state of the thread
 * @row: what the own row is to say
 * @has_row: whether there is one
 * @row_written: whether the table has it
 * @rows_read: whether rows of others were ever read
 */
struct background
{
  struct jl_daemon *daemon;
  GRand *random;
  struct jl_member_info row;
  bool has_row;
  bool row_written;
  bool rows_read;
  bool platform_lost;
  uint64_t poll_at_us;
  uint64_t row_at_us;
};

/* Logs when the platform goes out of reach, and when it is back. */
static void
note_platform (struct background *background, bool reached)
{
  if (reached == !background->platform_lost)
    return;
  background->platform_lost = !reached;
  jl_log (reached ? JL_LOG_PLATFORM_REACHABLE : JL_LOG_PLATFORM_UNREACHABLE, 0,
          0);
}

static uint64_t
poll_interval (struct background *background)
{
  struct jl_daemon *daemon = background->daemon;
  uint64_t interval_us;
  uint32_t count;

  jl_daemon_begin (daemon);
  count = jl_core_member_count (daemon->core);
  jl_daemon_end (daemon);
  interval_us = count * JL_USEC_PER_SEC / POLLS_PER_SECOND;
  interval_us = CLAMP (interval_us, POLL_MIN_US, POLL_MAX_US);
  return interval_us / 2
         + (uint64_t)g_rand_double_range (background->random, 0,
                                          (double)interval_us);
}

/* Reads the configuration from the platform's table. */
static void
poll_platform (struct background *background)
{
  struct jl_daemon *daemon = background->daemon;
  struct jl_applied applied = { 0 };
  struct jl_config *config;
  GError *error = NULL;
  uint64_t installed = 0;

  if (!jl_platform_read_config (daemon->platform, &applied, NULL, &error))
    {
      note_platform (background,
                     error->code == JL_PLATFORM_ERROR_ABSENT
                         || error->code == JL_PLATFORM_ERROR_REFUSED);
      g_error_free (error);
      return;
    }
  note_platform (background, true);
  config = jl_daemon_get_config (daemon);
  if (config != NULL)
    {
      installed = config->version;
      jl_config_unref (config);
    }
  if (applied.version > installed)
    jl_daemon_install (daemon, applied.text, strlen (applied.text),
                       applied.version, NULL);
  g_free (applied.text);
}

/* Writes the own row, by which daemons without seeds find this one. */
static void
write_row (struct background *background)
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

/* Tells the reducer of the daemons that have rows. */
static void
read_rows (struct background *background)
{
  struct jl_daemon *daemon = background->daemon;
  GHashTable *rows
      = jl_platform_list (daemon->platform, JL_PLATFORM_MEMBER_PREFIX, NULL);
  GHashTableIter iterator;
  gpointer key;

  if (rows == NULL)
    return;
  background->rows_read = true;
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

/* Gets the configuration from a peer that said it has a newer one. */
static void
fetch_config (struct background *background,
              const struct jl_effect_fetch_config *fetch)
{
  struct jl_daemon *daemon = background->daemon;
  struct jl_http_message request;
  struct jl_http_message answer;
  struct jl_http_call call = { .endpoint = fetch->peer,
                               .method = "GET",
                               .target = "/jl/config",
                               .request = &request,
                               .timeout_us = FETCH_TIMEOUT_US,
                               .answer_max = JL_CONFIG_BYTES_MAX };
  const char *text;
  uint64_t version;
  uint32_t status;

  if (jl_hooks_cut (fetch->peer.ip))
    return;
  jl_http_message_init (&request);
  jl_http_message_init (&answer);
  if (jl_http_perform (daemon->pool, &call, &status, &answer)
          == JL_HTTP_ANSWERED
      && status == 200)
    {
      text = jl_http_header (&answer, "Jl-Config-Version");
      if (text != NULL
          && g_ascii_string_to_unsigned (text, 10, 1, INT64_MAX, &version,
                                         NULL))
        jl_daemon_install (daemon, answer.body->str, answer.body->len, version,
                           NULL);
    }
  jl_http_message_clear (&request);
  jl_http_message_clear (&answer);
}

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

static void
run_due (struct background *background)
{
  uint64_t now_us = jl_now ();

  if (background->daemon->platform == NULL)
    return;
  if (now_us >= background->poll_at_us)
    {
      poll_platform (background);
      if (!background->rows_read
          || (background->has_row && !background->row_written))
        background->row_at_us = 0;
      background->poll_at_us = jl_now () + poll_interval (background);
    }
  if (now_us >= background->row_at_us && !background->platform_lost)
    {
      if (background->has_row)
        write_row (background);
      read_rows (background);
      background->row_at_us = jl_now () + ROW_INTERVAL_US;
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
  while (jl_daemon_await_background (daemon, EXPIRE_INTERVAL_US, &effect))
    {
      if (effect != NULL)
        handle_effect (&background, effect);
      g_free (effect);
      run_due (&background);
      jl_http_pool_expire (daemon->pool);
    }
  g_free (effect);
  g_rand_free (background.random);
  rcu_unregister_thread ();
  return NULL;
}
