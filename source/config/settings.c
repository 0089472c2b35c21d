/**
 * DOC: Parsing and validation of the settings of a daemon process.
 */

#include "jackdawladder/settings.h"

#include "config/reader.h"

#include <arpa/inet.h>
#include <string.h>

#define THREADS_DEFAULT 64
#define THREADS_MAX 4096
#define DRAIN_DEFAULT_MS 600000
#define DRAIN_MAX_MS 86400000

static const char *const settings_keys[]
    = { "name",       "zone",         "address",  "entry_port", "peer_port",
        "local_port", "control_port", "target",   "platform",   "seeds",
        "threads",    "mode",         "drain_ms", NULL };

static uint32_t
read_address (struct jl_reader *reader, struct json_object *document)
{
  char text[INET_ADDRSTRLEN];
  struct in_addr address = { 0 };

  jl_read_text (reader, document, "address", text, sizeof text);
  if (inet_pton (AF_INET, text, &address) != 1 || address.s_addr == 0)
    jl_reader_fail (reader, "address", JL_CONFIG_ERROR_RANGE,
                    "must be the IPv4 address that other instances connect to");
  return ntohl (address.s_addr);
}

static uint16_t
read_port (struct jl_reader *reader,
           struct json_object *document,
           const char *key)
{
  return (uint16_t)jl_read_number (reader, document, key, 1, UINT16_MAX);
}

static void
read_ports (struct jl_reader *reader,
            struct json_object *document,
            struct jl_settings *settings)
{
  settings->entry_port = read_port (reader, document, "entry_port");
  settings->peer_port = read_port (reader, document, "peer_port");
  settings->local_port = read_port (reader, document, "local_port");
  settings->control_port = read_port (reader, document, "control_port");
  if (settings->peer_port == settings->entry_port)
    jl_reader_fail (reader, "peer_port", JL_CONFIG_ERROR_RANGE,
                    "must differ from entry_port");
  if (settings->local_port == settings->entry_port
      || settings->local_port == settings->peer_port)
    jl_reader_fail (reader, "local_port", JL_CONFIG_ERROR_RANGE,
                    "must differ from entry_port and peer_port");
}

static void
read_seeds (struct jl_reader *reader,
            struct json_object *document,
            struct jl_settings *settings)
{
  struct json_object *list;

  if (!jl_read_has_key (document, "seeds"))
    return;
  list = jl_read_list (reader, document, "seeds", 0, JL_SEED_MAX,
                       &settings->seed_count);
  for (uint32_t i = 0; i < settings->seed_count; i++)
    {
      jl_reader_enter_item (reader, "seeds", i);
      jl_read_endpoint (reader, json_object_array_get_idx (list, i), NULL,
                        &settings->seeds[i]);
      jl_reader_leave (reader);
    }
}

static uint32_t
read_thread_count (struct jl_reader *reader,
                   struct json_object *object,
                   const char *key)
{
  return (uint32_t)jl_read_number_default (reader, object, key, 1, THREADS_MAX,
                                           THREADS_DEFAULT);
}

static void
read_threads (struct jl_reader *reader,
              struct json_object *document,
              struct jl_settings *settings)
{
  static const char *const thread_keys[] = { "entry", "peer", "local", NULL };
  struct json_object *object = NULL;

  settings->entry_threads = THREADS_DEFAULT;
  settings->peer_threads = THREADS_DEFAULT;
  settings->local_threads = THREADS_DEFAULT;
  if (!json_object_object_get_ex (document, "threads", &object))
    return;
  jl_reader_enter_object (reader, "threads");
  if (jl_read_check_keys (reader, object, thread_keys))
    {
      settings->entry_threads = read_thread_count (reader, object, "entry");
      settings->peer_threads = read_thread_count (reader, object, "peer");
      settings->local_threads = read_thread_count (reader, object, "local");
    }
  jl_reader_leave (reader);
}

static enum jl_core_mode
read_mode (struct jl_reader *reader, struct json_object *document)
{
  static const char *const names[] = { [JL_CORE_FULL] = "full",
                                       [JL_CORE_LIMIT_ONLY] = "limit-only",
                                       [JL_CORE_FORWARD] = "forward" };
  char name[JL_NAME_SIZE];

  if (!jl_read_has_key (document, "mode"))
    return JL_CORE_FULL;
  jl_read_name (reader, document, "mode", name);
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (names[i], name) == 0)
      return (enum jl_core_mode)i;
  jl_reader_fail (reader, "mode", JL_CONFIG_ERROR_RANGE,
                  "must be \"full\", \"limit-only\" or \"forward\"");
  return JL_CORE_FULL;
}

static void
read_settings (struct jl_reader *reader,
               struct json_object *document,
               struct jl_settings *settings)
{
  jl_read_check_keys (reader, document, settings_keys);
  jl_read_name (reader, document, "name", settings->name);
  jl_read_name (reader, document, "zone", settings->zone);
  settings->ip = read_address (reader, document);
  read_ports (reader, document, settings);
  jl_read_endpoint (reader, document, "target", &settings->target);
  settings->has_platform = jl_read_has_key (document, "platform");
  if (settings->has_platform)
    jl_read_endpoint (reader, document, "platform", &settings->platform);
  read_seeds (reader, document, settings);
  read_threads (reader, document, settings);
  settings->mode = read_mode (reader, document);
  settings->drain_ms = (uint32_t)jl_read_number_default (
      reader, document, "drain_ms", 0, DRAIN_MAX_MS, DRAIN_DEFAULT_MS);
}

struct jl_settings *
jl_settings_parse (const char *text, size_t size, GError **error)
{
  struct jl_reader reader = { .error = NULL };
  struct json_object *document = jl_reader_parse (&reader, text, size);
  struct jl_settings *settings;

  if (document == NULL)
    {
      jl_reader_finish (&reader, error);
      return NULL;
    }
  settings = g_new0 (struct jl_settings, 1);
  read_settings (&reader, document, settings);
  json_object_put (document);
  if (jl_reader_finish (&reader, error))
    return settings;
  g_free (settings);
  return NULL;
}

struct jl_settings *
jl_settings_load (const char *path, GError **error)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) cause = NULL;
  size_t size;

  if (g_file_get_contents (path, &text, &size, &cause))
    return jl_settings_parse (text, size, error);
  g_set_error_literal (error, JL_CONFIG_ERROR, JL_CONFIG_ERROR_FILE,
                       cause->message);
  return NULL;
}
