/**
 * DOC: Parsing and validation of the configuration document.
 */

#include "jackdawladder/config.h"

#include "config/reader.h"

#include <string.h>

#include <xxhash.h>

#define RETRY_PERCENT_DEFAULT 10
#define RETRY_PERCENT_MAX 100
#define QUEUE_WAIT_DEFAULT_MS 20
#define QUEUE_WAIT_MAX_MS 60000
#define COLD_START_DEFAULT_MS 2000
#define COLD_START_MAX_MS 600000
#define DEADLINE_MAX_MS 600000
#define RETRY_TOKENS_DEFAULT 2
#define RETRY_TOKENS_MAX 8
#define BODY_DEFAULT_BYTES (UINT64_C (1) << 20)
#define BODY_MAX_BYTES (INT64_C (64) << 20)

static const char any_method[] = "*";

/*
 * Rejects item @index of @items if an earlier item has the same name. Each item
 * is @size bytes long and begins with its name.
 */
static void
check_name_is_unique (struct jl_reader *reader,
                      const char *key,
                      const void *items,
                      size_t size,
                      uint32_t index)
{
  const char *name = (const char *)items + index * size;

  for (uint32_t i = 0; i < index; i++)
    if (strcmp ((const char *)items + i * size, name) == 0)
      jl_reader_fail (reader, key, JL_CONFIG_ERROR_KEY, "\"%s\" is given twice",
                      name);
}

static void
read_classes (struct jl_reader *reader,
              struct json_object *document,
              struct jl_config *config)
{
  struct json_object *list = jl_read_list (reader, document, "classes", 1,
                                           JL_CLASS_MAX, &config->class_count);

  for (uint32_t i = 0; i < config->class_count; i++)
    {
      jl_reader_enter_item (reader, "classes", i);
      jl_read_name (reader, json_object_array_get_idx (list, i), NULL,
                    config->classes[i]);
      check_name_is_unique (reader, NULL, config->classes,
                            sizeof config->classes[0], i);
      jl_reader_leave (reader);
    }
}

static void
read_zone (struct jl_reader *reader,
           struct json_object *object,
           struct jl_zone *zone)
{
  static const char *const keys[] = { "name", "region", NULL };

  if (!jl_read_check_keys (reader, object, keys))
    return;
  jl_read_name (reader, object, "name", zone->name);
  jl_read_name (reader, object, "region", zone->region);
}

static void
read_zones (struct jl_reader *reader,
            struct json_object *document,
            struct jl_config *config)
{
  struct json_object *list = jl_read_list (reader, document, "zones", 1,
                                           JL_ZONE_MAX, &config->zone_count);

  for (uint32_t i = 0; i < config->zone_count; i++)
    {
      jl_reader_enter_item (reader, "zones", i);
      read_zone (reader, json_object_array_get_idx (list, i),
                 &config->zones[i]);
      check_name_is_unique (reader, "name", config->zones,
                            sizeof config->zones[0], i);
      jl_reader_leave (reader);
    }
}

static void
read_service (struct jl_reader *reader,
              struct json_object *object,
              struct jl_service *service)
{
  static const char *const keys[]
      = { "name", "retry_percent", "queue_wait_ms", "cold_start_ms", NULL };

  if (!jl_read_check_keys (reader, object, keys))
    return;
  jl_read_name (reader, object, "name", service->name);
  service->retry_percent = (uint32_t)jl_read_number_default (
      reader, object, "retry_percent", 0, RETRY_PERCENT_MAX,
      RETRY_PERCENT_DEFAULT);
  service->queue_wait_us
      = JL_USEC_PER_MSEC
        * jl_read_number_default (reader, object, "queue_wait_ms", 1,
                                  QUEUE_WAIT_MAX_MS, QUEUE_WAIT_DEFAULT_MS);
  service->cold_start_us
      = JL_USEC_PER_MSEC
        * jl_read_number_default (reader, object, "cold_start_ms", 0,
                                  COLD_START_MAX_MS, COLD_START_DEFAULT_MS);
}

static void
read_services (struct jl_reader *reader,
               struct json_object *document,
               struct jl_config *config)
{
  struct json_object *list = jl_read_list (
      reader, document, "services", 1, JL_SERVICE_MAX, &config->service_count);

  for (uint32_t i = 0; i < config->service_count; i++)
    {
      jl_reader_enter_item (reader, "services", i);
      read_service (reader, json_object_array_get_idx (list, i),
                    &config->services[i]);
      check_name_is_unique (reader, "name", config->services,
                            sizeof config->services[0], i);
      jl_reader_leave (reader);
    }
}

static uint32_t
read_service_reference (struct jl_reader *reader,
                        struct json_object *object,
                        const struct jl_config *config)
{
  char name[JL_NAME_SIZE];
  uint32_t service;

  jl_read_name (reader, object, "service", name);
  service = jl_config_find_service (config, name);
  if (service == JL_NONE)
    jl_reader_fail (reader, "service", JL_CONFIG_ERROR_REFERENCE,
                    "no service \"%s\"", name);
  return service;
}

static uint32_t
read_class_reference (struct jl_reader *reader,
                      struct json_object *object,
                      const struct jl_config *config)
{
  char name[JL_NAME_SIZE];

  jl_read_name (reader, object, "class", name);
  for (uint32_t i = 0; i < config->class_count; i++)
    if (strcmp (config->classes[i], name) == 0)
      return i;
  jl_reader_fail (reader, "class", JL_CONFIG_ERROR_REFERENCE, "no class \"%s\"",
                  name);
  return 0;
}

static void
read_method (struct jl_reader *reader,
             struct json_object *object,
             struct jl_kind *kind)
{
  static const char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ";

  g_strlcpy (kind->method, any_method, sizeof kind->method);
  if (!jl_read_has_key (object, "method"))
    return;
  jl_read_text (reader, object, "method", kind->method, sizeof kind->method);
  if (strcmp (kind->method, any_method) != 0
      && kind->method[strspn (kind->method, letters)] != '\0')
    jl_reader_fail (reader, "method", JL_CONFIG_ERROR_RANGE,
                    "must be \"*\" or upper-case letters");
}

static void
read_path (struct jl_reader *reader,
           struct json_object *object,
           struct jl_kind *kind)
{
  jl_read_text (reader, object, "path", kind->path, sizeof kind->path);
  if (kind->path[0] != '/' || strpbrk (kind->path, "?#") != NULL)
    jl_reader_fail (reader, "path", JL_CONFIG_ERROR_RANGE,
                    "must start with \"/\" and have no \"?\" or \"#\"");
}

static void
read_kind (struct jl_reader *reader,
           struct json_object *object,
           const struct jl_config *config,
           struct jl_kind *kind)
{
  static const char *const keys[]
      = { "name",          "service",      "method",      "path",
          "class",         "idempotent",   "deadline_ms", "retry_tokens",
          "request_bytes", "answer_bytes", NULL };

  if (!jl_read_check_keys (reader, object, keys))
    return;
  jl_read_name (reader, object, "name", kind->name);
  kind->service = read_service_reference (reader, object, config);
  read_method (reader, object, kind);
  read_path (reader, object, kind);
  kind->importance = read_class_reference (reader, object, config);
  kind->idempotent = jl_read_boolean (reader, object, "idempotent");
  kind->deadline_us
      = JL_USEC_PER_MSEC
        * jl_read_number (reader, object, "deadline_ms", 1, DEADLINE_MAX_MS);
  kind->retry_tokens = (uint32_t)jl_read_number_default (
      reader, object, "retry_tokens", 0, RETRY_TOKENS_MAX,
      RETRY_TOKENS_DEFAULT);
  kind->request_bytes = jl_read_number_default (
      reader, object, "request_bytes", 0, BODY_MAX_BYTES, BODY_DEFAULT_BYTES);
  kind->answer_bytes = jl_read_number_default (
      reader, object, "answer_bytes", 0, BODY_MAX_BYTES, BODY_DEFAULT_BYTES);
}

static bool
matches_method (const struct jl_kind *kind, const char *method)
{
  return strcmp (kind->method, any_method) == 0
         || strcmp (kind->method, method) == 0;
}

/* Rejects kind @index if an earlier kind matches all of its requests. */
static void
check_reachable (struct jl_reader *reader,
                 const struct jl_config *config,
                 uint32_t index)
{
  const struct jl_kind *kind = &config->kinds[index];

  for (uint32_t i = 0; i < index; i++)
    {
      const struct jl_kind *earlier = &config->kinds[i];

      if (matches_method (earlier, kind->method)
          && g_str_has_prefix (kind->path, earlier->path))
        jl_reader_fail (reader, "path", JL_CONFIG_ERROR_REFERENCE,
                        "never matches, kinds[%u] matches all its requests", i);
    }
}

static void
read_kinds (struct jl_reader *reader,
            struct json_object *document,
            struct jl_config *config)
{
  struct json_object *list = jl_read_list (reader, document, "kinds", 1,
                                           JL_KIND_MAX, &config->kind_count);

  for (uint32_t i = 0; i < config->kind_count; i++)
    {
      jl_reader_enter_item (reader, "kinds", i);
      read_kind (reader, json_object_array_get_idx (list, i), config,
                 &config->kinds[i]);
      check_name_is_unique (reader, "name", config->kinds,
                            sizeof config->kinds[0], i);
      check_reachable (reader, config, i);
      jl_reader_leave (reader);
    }
}

static void
read_document (struct jl_reader *reader,
               struct json_object *document,
               struct jl_config *config)
{
  static const char *const keys[]
      = { "classes", "zones", "services", "kinds", NULL };

  jl_read_check_keys (reader, document, keys);
  read_classes (reader, document, config);
  read_zones (reader, document, config);
  read_services (reader, document, config);
  read_kinds (reader, document, config);
}

struct jl_config *
jl_config_new (const char *text, size_t size, uint64_t version, GError **error)
{
  struct jl_reader reader = { .error = NULL };
  struct json_object *document = jl_reader_parse (&reader, text, size);
  struct jl_config *config;

  if (document == NULL)
    {
      jl_reader_finish (&reader, error);
      return NULL;
    }
  config = g_new0 (struct jl_config, 1);
  config->ref_count = 1;
  config->version = version;
  config->digest = XXH3_64bits (text, size);
  config->text = g_strndup (text, size);
  config->text_size = size;
  read_document (&reader, document, config);
  json_object_put (document);
  if (jl_reader_finish (&reader, error))
    return config;
  jl_config_drop (config);
  return NULL;
}

struct jl_config *
jl_config_keep (struct jl_config *config)
{
  g_atomic_int_inc (&config->ref_count);
  return config;
}

void
jl_config_drop (struct jl_config *config)
{
  if (config == NULL || !g_atomic_int_dec_and_test (&config->ref_count))
    return;
  g_free (config->text);
  g_free (config);
}

uint32_t
jl_config_match_kind (const struct jl_config *config,
                      const char *method,
                      const char *path)
{
  for (uint32_t i = 0; i < config->kind_count; i++)
    if (matches_method (&config->kinds[i], method)
        && g_str_has_prefix (path, config->kinds[i].path))
      return i;
  return JL_NONE;
}

uint32_t
jl_config_find_kind (const struct jl_config *config, const char *name)
{
  for (uint32_t i = 0; i < config->kind_count; i++)
    if (strcmp (config->kinds[i].name, name) == 0)
      return i;
  return JL_NONE;
}

uint32_t
jl_config_find_service (const struct jl_config *config, const char *name)
{
  for (uint32_t i = 0; i < config->service_count; i++)
    if (strcmp (config->services[i].name, name) == 0)
      return i;
  return JL_NONE;
}
