/**
 * DOC: Encodes and decodes the configuration's row in the platform's table.
 */

#include "platform/row.h"

#include <string.h>

#include <json-c/json.h>

static const char *
get_string (struct json_object *object, const char *key)
{
  struct json_object *value = NULL;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_string))
    return NULL;
  return json_object_get_string (value);
}

/* Returns the version of a row, 0 if it is missing or invalid. */
static uint64_t
get_version (struct json_object *object)
{
  struct json_object *value = NULL;

  if (!json_object_object_get_ex (object, "version", &value)
      || !json_object_is_type (value, json_type_int)
      || json_object_get_int64 (value) < 0)
    return 0;
  return (uint64_t)json_object_get_int64 (value);
}

static bool
parse_earlier_ids (struct jl_config_row *row, struct json_object *object)
{
  struct json_object *list = NULL;
  size_t count;

  if (!json_object_object_get_ex (object, "earlier", &list))
    return true;
  if (!json_object_is_type (list, json_type_array))
    return false;
  count = MIN (json_object_array_length (list), JL_CONFIG_ROW_EARLIER_MAX);
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *item = json_object_array_get_idx (list, i);

      if (!json_object_is_type (item, json_type_string))
        return false;
      g_strlcpy (row->earlier_ids[i], json_object_get_string (item),
                 JL_APPLY_ID_SIZE);
    }
  row->earlier_count = (uint32_t)count;
  return true;
}

static bool
parse_row (struct jl_config_row *row, struct json_object *object)
{
  const char *id = get_string (object, "apply_id");
  const char *text = get_string (object, "document");

  row->stored.version = get_version (object);
  if (row->stored.version == 0 || id == NULL || text == NULL
      || strlen (id) >= JL_APPLY_ID_SIZE || !parse_earlier_ids (row, object))
    return false;
  g_strlcpy (row->stored.apply_id, id, JL_APPLY_ID_SIZE);
  row->stored.text = g_strdup (text);
  return true;
}

bool
jl_config_row_parse (struct jl_config_row *row,
                     const char *value,
                     GError **error)
{
  struct json_object *object = json_tokener_parse (value);
  bool valid;

  memset (row, 0, sizeof *row);
  valid = json_object_is_type (object, json_type_object)
          && parse_row (row, object);
  json_object_put (object);
  if (!valid)
    g_set_error (error, JL_PLATFORM_ERROR, JL_PLATFORM_ERROR_REFUSED,
                 "platform: malformed configuration row");
  return valid;
}

char *
jl_config_row_format (const struct jl_config_row *row)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *earlier = json_object_new_array ();
  char *text;

  for (uint32_t i = 0; i < row->earlier_count; i++)
    json_object_array_add (earlier,
                           json_object_new_string (row->earlier_ids[i]));
  json_object_object_add (object, "version",
                          json_object_new_int64 ((int64_t)row->stored.version));
  json_object_object_add (object, "apply_id",
                          json_object_new_string (row->stored.apply_id));
  json_object_object_add (object, "document",
                          json_object_new_string (row->stored.text));
  json_object_object_add (object, "earlier", earlier);
  text = g_strdup (json_object_to_json_string (object));
  json_object_put (object);
  return text;
}

void
jl_config_row_next (struct jl_config_row *next,
                    const struct jl_config_row *row,
                    char *text)
{
  g_autofree char *id = g_uuid_string_random ();
  uint32_t kept;

  memset (next, 0, sizeof *next);
  next->stored.version = 1;
  next->stored.text = text;
  g_strlcpy (next->stored.apply_id, id, JL_APPLY_ID_SIZE);
  if (row == NULL)
    return;
  kept = MIN (row->earlier_count, JL_CONFIG_ROW_EARLIER_MAX - 1);
  next->stored.version = row->stored.version + 1;
  memcpy (next->earlier_ids[0], row->stored.apply_id, JL_APPLY_ID_SIZE);
  memcpy (next->earlier_ids[1], row->earlier_ids[0], kept * JL_APPLY_ID_SIZE);
  next->earlier_count = kept + 1;
}

const char *
jl_config_row_apply_id (const struct jl_config_row *row, uint64_t version)
{
  uint64_t age = row->stored.version - version;

  if (version > row->stored.version)
    return NULL;
  if (age == 0)
    return row->stored.apply_id;
  return age <= row->earlier_count ? row->earlier_ids[age - 1] : NULL;
}
