/**
 * DOC: Reads values of JSON documents into structures.
 */

#include "config/reader.h"

#include "config/strict.h"

#include <inttypes.h>
#include <string.h>

GQuark
jl_config_error_quark (void)
{
  return g_quark_from_static_string ("jl-config-error");
}

void
jl_reader_fail (struct jl_reader *reader,
                const char *key,
                enum jl_config_error code,
                const char *format,
                ...)
{
  const char *dot = key != NULL && reader->prefix[0] != '\0' ? "." : "";
  g_autofree char *message = NULL;
  va_list arguments;

  if (reader->error != NULL)
    return;
  va_start (arguments, format);
  message = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  g_set_error (&reader->error, JL_CONFIG_ERROR, (int)code, "%s%s%s: %s",
               reader->prefix, dot, key == NULL ? "" : key, message);
}

/* Records an error of the JSON parser together with its line. */
static void
fail_parse (struct jl_reader *reader,
            struct json_tokener *tokener,
            const char *text)
{
  enum json_tokener_error code = json_tokener_get_error (tokener);
  unsigned line = jl_strict_line (text, json_tokener_get_parse_end (tokener));

  g_set_error (&reader->error, JL_CONFIG_ERROR, JL_CONFIG_ERROR_SYNTAX,
               "line %u: %s", line,
               code == json_tokener_continue ? "document is incomplete"
                                             : json_tokener_error_desc (code));
}

static struct json_object *
parse_json (struct jl_reader *reader, const char *text, size_t size)
{
  struct json_tokener *tokener = json_tokener_new_ex (JL_STRICT_DEPTH_MAX + 1);
  struct json_object *document;

  json_tokener_set_flags (tokener, JSON_TOKENER_STRICT);
  /* The terminating NUL tells the parser that a trailing number is complete. */
  document = json_tokener_parse_ex (tokener, text, (int)size + 1);
  if (json_tokener_get_error (tokener) != json_tokener_success)
    fail_parse (reader, tokener, text);
  json_tokener_free (tokener);
  return document;
}

struct json_object *
jl_reader_parse (struct jl_reader *reader, const char *text, size_t size)
{
  g_autofree char *stripped = NULL;
  struct json_object *document;

  if (size == 0 || size > JL_CONFIG_BYTES_MAX)
    {
      jl_reader_fail (reader, "document", JL_CONFIG_ERROR_RANGE,
                      "must have 1 to %u bytes", JL_CONFIG_BYTES_MAX);
      return NULL;
    }
  stripped = jl_strict_scan (text, size, &reader->error);
  if (stripped == NULL)
    return NULL;
  document = parse_json (reader, stripped, size);
  if (reader->error == NULL
      && !json_object_is_type (document, json_type_object))
    jl_reader_fail (reader, "document", JL_CONFIG_ERROR_TYPE,
                    "must be an object");
  if (reader->error == NULL)
    return document;
  json_object_put (document);
  return NULL;
}

bool
jl_reader_finish (struct jl_reader *reader, GError **error)
{
  if (reader->error == NULL)
    return true;
  g_propagate_error (error, g_steal_pointer (&reader->error));
  return false;
}

void
jl_reader_enter_item (struct jl_reader *reader, const char *list, size_t index)
{
  g_snprintf (reader->prefix, sizeof reader->prefix, "%s[%zu]", list, index);
}

void
jl_reader_enter_object (struct jl_reader *reader, const char *key)
{
  g_strlcpy (reader->prefix, key, sizeof reader->prefix);
}

void
jl_reader_leave (struct jl_reader *reader)
{
  reader->prefix[0] = '\0';
}

bool
jl_read_check_keys (struct jl_reader *reader,
                    struct json_object *object,
                    const char *const *keys)
{
  if (!json_object_is_type (object, json_type_object))
    {
      jl_reader_fail (reader, NULL, JL_CONFIG_ERROR_TYPE, "must be an object");
      return false;
    }
  json_object_object_foreach (object, key, value)
  {
    (void)value;
    if (!g_strv_contains (keys, key))
      jl_reader_fail (reader, key, JL_CONFIG_ERROR_KEY, "unknown key");
  }
  return true;
}

bool
jl_read_has_key (struct json_object *object, const char *key)
{
  return json_object_object_get_ex (object, key, NULL);
}

/*
 * Returns the value at @key, or @object itself if @key is NULL. Records an
 * error and returns NULL if the value is missing or isn't of @type.
 */
static struct json_object *
get_required (struct jl_reader *reader,
              struct json_object *object,
              const char *key,
              enum json_type type,
              const char *type_name)
{
  struct json_object *value = object;

  if (key != NULL && !json_object_object_get_ex (object, key, &value))
    {
      jl_reader_fail (reader, key, JL_CONFIG_ERROR_KEY, "is missing");
      return NULL;
    }
  if (!json_object_is_type (value, type))
    {
      jl_reader_fail (reader, key, JL_CONFIG_ERROR_TYPE, "must be %s",
                      type_name);
      return NULL;
    }
  return value;
}

uint64_t
jl_read_number (struct jl_reader *reader,
                struct json_object *object,
                const char *key,
                int64_t low,
                int64_t high)
{
  struct json_object *value
      = get_required (reader, object, key, json_type_int, "an integer");
  int64_t number;

  if (value == NULL)
    return 0;
  number = json_object_get_int64 (value);
  if (number < low || number > high)
    {
      jl_reader_fail (reader, key, JL_CONFIG_ERROR_RANGE,
                      "must be from %" PRId64 " to %" PRId64, low, high);
      return 0;
    }
  return (uint64_t)number;
}

uint64_t
jl_read_number_default (struct jl_reader *reader,
                        struct json_object *object,
                        const char *key,
                        int64_t low,
                        int64_t high,
                        uint64_t default_value)
{
  if (!jl_read_has_key (object, key))
    return default_value;
  return jl_read_number (reader, object, key, low, high);
}

bool
jl_read_boolean (struct jl_reader *reader,
                 struct json_object *object,
                 const char *key)
{
  struct json_object *value
      = get_required (reader, object, key, json_type_boolean, "true or false");

  return value != NULL && json_object_get_boolean (value);
}

static bool
is_printable (const char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (!g_ascii_isgraph (text[i]))
      return false;
  return true;
}

void
jl_read_text (struct jl_reader *reader,
              struct json_object *object,
              const char *key,
              char *text,
              size_t size)
{
  struct json_object *value
      = get_required (reader, object, key, json_type_string, "a string");
  size_t length;

  text[0] = '\0';
  if (value == NULL)
    return;
  length = (size_t)json_object_get_string_len (value);
  if (length == 0 || length >= size)
    jl_reader_fail (reader, key, JL_CONFIG_ERROR_RANGE,
                    "must have 1 to %zu characters", size - 1);
  else if (!is_printable (json_object_get_string (value), length))
    jl_reader_fail (reader, key, JL_CONFIG_ERROR_RANGE,
                    "must be printable ASCII without spaces");
  else
    memcpy (text, json_object_get_string (value), length + 1);
}

void
jl_read_name (struct jl_reader *reader,
              struct json_object *object,
              const char *key,
              char *name)
{
  static const char letters[] = "abcdefghijklmnopqrstuvwxyz0123456789-";

  jl_read_text (reader, object, key, name, JL_NAME_SIZE);
  if (name[strspn (name, letters)] != '\0')
    jl_reader_fail (reader, key, JL_CONFIG_ERROR_RANGE,
                    "must consist of lower-case letters, digits and dashes");
}

void
jl_read_endpoint (struct jl_reader *reader,
                  struct json_object *object,
                  const char *key,
                  struct jl_endpoint *endpoint)
{
  char text[JL_ENDPOINT_TEXT_SIZE];

  jl_read_text (reader, object, key, text, sizeof text);
  if (text[0] != '\0' && !jl_endpoint_parse (text, endpoint))
    jl_reader_fail (reader, key, JL_CONFIG_ERROR_RANGE,
                    "must be an IPv4 address and port, a.b.c.d:port");
}

struct json_object *
jl_read_list (struct jl_reader *reader,
              struct json_object *object,
              const char *key,
              size_t low,
              size_t high,
              uint32_t *count)
{
  struct json_object *value
      = get_required (reader, object, key, json_type_array, "a list");
  size_t length;

  *count = 0;
  if (value == NULL)
    return NULL;
  length = json_object_array_length (value);
  if (length < low || length > high)
    {
      jl_reader_fail (reader, key, JL_CONFIG_ERROR_RANGE,
                      "must have %zu to %zu items", low, high);
      return NULL;
    }
  *count = (uint32_t)length;
  return value;
}
