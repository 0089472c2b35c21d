/**
 * DOC: Parser of the settings of one proxy process.
 */

#include "proxy/options.h"

#include "config/reader.h"
#include "feature-names.h"

#include <arpa/inet.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Limits of the settings. */
#define DURATION_MAX_S 86400.0
#define RETRY_RATIO_MAX 100.0
#define RETRY_SLACK_MAX 1e9
#define STORE_WRITES_PER_S_MAX 1000000
/* Rate of writes of the store if the settings do not name it. */
#define STORE_WRITES_PER_S_DEFAULT 400
/* Limits and default of the time within which a configuration must be in force.
 */
#define CONFIG_APPLY_MIN_S 0.5
#define CONFIG_APPLY_DEFAULT_US (2 * JL_USEC_PER_SEC)
/* Defaults and limits of the settings of API keys and usage caps. */
#define REVOKE_DEFAULT_US (5 * JL_USEC_PER_SEC)
#define CAP_WINDOW_DEFAULT_US (5 * JL_USEC_PER_SEC)
#define CAP_WINDOW_MIN_S 1
#define CAP_OVER_RATIO_DEFAULT 0.1
#define CAP_OVER_RATIO_MAX 100.0
#define CAP_SLACK_DEFAULT 20
#define CAP_SLACK_MAX 1e9

static const char *const keys[]
    = { "name",           "zone",           "address",
        "service",        "target",         "entry",
        "ready",          "announce",       "peer_port",
        "advertise",      "store",          "metrics_port",
        "heartbeat_s",    "grace_s",        "retry_ratio",
        "retry_slack",    "retry_window_s", "store_writes_per_s",
        "config_apply_s", "strict_revoke",  "revoke_s",
        "cap_window_s",   "cap_over_ratio", "cap_slack",
        "zones",          "features",       NULL };

/* Reads a number from 0 to @max, which may have a fraction. */
static double
read_ratio (struct jl_reader *reader,
            struct json_object *document,
            const char *key,
            double max)
{
  struct json_object *value = NULL;
  double number;

  json_object_object_get_ex (document, key, &value);
  if (!json_object_is_type (value, json_type_int)
      && !json_object_is_type (value, json_type_double))
    {
      jl_reader_fail (reader, key, JL_CONFIG_ERROR_TYPE, "must be a number");
      return 0;
    }
  number = json_object_get_double (value);
  if (!(number >= 0) || number > max)
    jl_reader_fail (reader, key, JL_CONFIG_ERROR_RANGE, "must be from 0 to %g",
                    max);
  return number;
}

static uint64_t
read_seconds (struct jl_reader *reader,
              struct json_object *document,
              const char *key)
{
  double seconds = read_ratio (reader, document, key, DURATION_MAX_S);

  return (uint64_t)llround (seconds * (double)JL_USEC_PER_SEC);
}

static uint64_t
read_config_apply (struct jl_reader *reader, struct json_object *document)
{
  uint64_t apply_us;

  if (!jl_read_has_key (document, "config_apply_s"))
    return CONFIG_APPLY_DEFAULT_US;
  apply_us = read_seconds (reader, document, "config_apply_s");
  if (apply_us < (uint64_t)(CONFIG_APPLY_MIN_S * JL_USEC_PER_SEC))
    jl_reader_fail (reader, "config_apply_s", JL_CONFIG_ERROR_RANGE,
                    "must be at least %g", CONFIG_APPLY_MIN_S);
  return apply_us;
}

static uint32_t
read_address (struct jl_reader *reader, struct json_object *document)
{
  char text[INET_ADDRSTRLEN];
  struct in_addr address = { 0 };

  jl_read_text (reader, document, "address", text, sizeof text);
  if (inet_pton (AF_INET, text, &address) != 1)
    jl_reader_fail (reader, "address", JL_CONFIG_ERROR_RANGE,
                    "must be an IPv4 address");
  return ntohl (address.s_addr);
}

static bool
read_flag (struct jl_reader *reader,
           struct json_object *document,
           const char *key)
{
  struct json_object *value = NULL;

  json_object_object_get_ex (document, key, &value);
  if (!json_object_is_type (value, json_type_boolean))
    jl_reader_fail (reader, key, JL_CONFIG_ERROR_TYPE, "must be a boolean");
  return json_object_get_boolean (value);
}

static void
read_caps (struct jl_reader *reader,
           struct json_object *document,
           struct jl_options *options)
{
  struct jl_cap_policy *cap = &options->cap;

  cap->window_us = CAP_WINDOW_DEFAULT_US;
  cap->over_ratio = CAP_OVER_RATIO_DEFAULT;
  cap->slack = CAP_SLACK_DEFAULT;
  options->revoke_us = REVOKE_DEFAULT_US;
  if (jl_read_has_key (document, "strict_revoke"))
    options->strict_revoke = read_flag (reader, document, "strict_revoke");
  if (jl_read_has_key (document, "revoke_s"))
    options->revoke_us = read_seconds (reader, document, "revoke_s");
  if (jl_read_has_key (document, "cap_window_s"))
    cap->window_us = read_seconds (reader, document, "cap_window_s");
  if (cap->window_us < CAP_WINDOW_MIN_S * JL_USEC_PER_SEC)
    jl_reader_fail (reader, "cap_window_s", JL_CONFIG_ERROR_RANGE,
                    "must be at least %d", CAP_WINDOW_MIN_S);
  if (jl_read_has_key (document, "cap_over_ratio"))
    cap->over_ratio
        = read_ratio (reader, document, "cap_over_ratio", CAP_OVER_RATIO_MAX);
  if (jl_read_has_key (document, "cap_slack"))
    cap->slack = read_ratio (reader, document, "cap_slack", CAP_SLACK_MAX);
}

/* Returns the list at @key, NULL if there is none or it is no list. */
static struct json_object *
read_list (struct jl_reader *reader,
           struct json_object *document,
           const char *key)
{
  struct json_object *list = NULL;

  if (!json_object_object_get_ex (document, key, &list))
    return NULL;
  if (json_object_is_type (list, json_type_array))
    return list;
  jl_reader_fail (reader, key, JL_CONFIG_ERROR_TYPE, "must be a list");
  return NULL;
}

static void
read_zones (struct jl_reader *reader,
            struct json_object *document,
            struct jl_options *options)
{
  struct json_object *list = read_list (reader, document, "zones");
  size_t count = list != NULL ? json_object_array_length (list) : 0;

  if (count > JL_OPTIONS_ZONES_MAX)
    jl_reader_fail (reader, "zones", JL_CONFIG_ERROR_RANGE,
                    "must have at most %d entries", JL_OPTIONS_ZONES_MAX);
  for (size_t i = 0; i < MIN (count, JL_OPTIONS_ZONES_MAX); i++)
    {
      const char *zone
          = json_object_get_string (json_object_array_get_idx (list, i));

      if (zone == NULL || zone[0] == '\0' || strlen (zone) >= JL_TEXT_SIZE)
        jl_reader_fail (reader, "zones", JL_CONFIG_ERROR_RANGE,
                        "must be names of zones");
      else
        g_strlcpy (options->zones[options->zone_count++], zone, JL_TEXT_SIZE);
    }
}

/* Unknown words are ignored, since newer settings may name more. */
static void
read_features (struct jl_reader *reader,
               struct json_object *document,
               struct jl_options *options)
{
  struct json_object *list = read_list (reader, document, "features");
  size_t count = list != NULL ? json_object_array_length (list) : 0;

  for (size_t i = 0; i < count; i++)
    {
      const char *word
          = json_object_get_string (json_object_array_get_idx (list, i));

      if (g_strcmp0 (word, JL_FEATURE_LOAD_REPORTS) == 0)
        options->load_reports = true;
    }
}

static void
read_fields (struct jl_reader *reader,
             struct json_object *document,
             struct jl_options *options)
{
  jl_read_text (reader, document, "name", options->name, JL_TEXT_SIZE);
  jl_read_text (reader, document, "zone", options->zone, JL_TEXT_SIZE);
  jl_read_text (reader, document, "service", options->service, JL_TEXT_SIZE);
  options->ip = read_address (reader, document);
  jl_read_endpoint (reader, document, "target", &options->target);
  jl_read_endpoint (reader, document, "entry", &options->entry);
  jl_read_endpoint (reader, document, "ready", &options->ready);
  jl_read_endpoint (reader, document, "announce", &options->announce);
  options->peer_port
      = (uint16_t)jl_read_number (reader, document, "peer_port", 1, UINT16_MAX);
  options->advertise.ip = options->ip;
  options->advertise.port = options->peer_port;
  if (jl_read_has_key (document, "advertise"))
    jl_read_endpoint (reader, document, "advertise", &options->advertise);
  options->metrics_port = (uint16_t)jl_read_number (
      reader, document, "metrics_port", 1, UINT16_MAX);
  jl_read_endpoint (reader, document, "store", &options->store);
  options->store_writes_per_s = STORE_WRITES_PER_S_DEFAULT;
  if (jl_read_has_key (document, "store_writes_per_s"))
    options->store_writes_per_s = (unsigned)jl_read_number (
        reader, document, "store_writes_per_s", 1, STORE_WRITES_PER_S_MAX);
  options->config_apply_us = read_config_apply (reader, document);
  options->heartbeat_us = read_seconds (reader, document, "heartbeat_s");
  options->grace_us = read_seconds (reader, document, "grace_s");
  options->retry_ratio
      = read_ratio (reader, document, "retry_ratio", RETRY_RATIO_MAX);
  options->retry_slack
      = read_ratio (reader, document, "retry_slack", RETRY_SLACK_MAX);
  options->retry_window_us = read_seconds (reader, document, "retry_window_s");
  read_caps (reader, document, options);
  read_zones (reader, document, options);
  read_features (reader, document, options);
  if (options->retry_window_us < JL_USEC_PER_SEC)
    jl_reader_fail (reader, "retry_window_s", JL_CONFIG_ERROR_RANGE,
                    "must be at least 1");
}

struct jl_options *
jl_options_parse (const char *text, size_t size, GError **error)
{
  struct jl_reader reader = { .prefix = "", .error = NULL };
  struct json_object *document = jl_reader_parse (&reader, text, size);
  struct jl_options *options = g_new0 (struct jl_options, 1);

  if (document != NULL && jl_read_check_keys (&reader, document, keys))
    read_fields (&reader, document, options);
  options->digest = XXH3_64bits (text, size);
  json_object_put (document);
  if (jl_reader_finish (&reader, error))
    return options;
  g_free (options);
  return NULL;
}

struct jl_options *
jl_options_load (const char *path, GError **error)
{
  struct jl_options *options;
  GError *cause = NULL;
  char *text;
  gsize size;

  if (!g_file_get_contents (path, &text, &size, &cause))
    {
      g_set_error (error, JL_CONFIG_ERROR, JL_CONFIG_ERROR_FILE, "%s",
                   cause->message);
      g_error_free (cause);
      return NULL;
    }
  options = jl_options_parse (text, size, error);
  g_free (text);
  return options;
}
