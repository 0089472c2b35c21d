/**
 * DOC: The row of a zone that holds its shares of usage caps, and the list of
 * its daemons that count.
 */

#include "proxy/quota-row.h"

#include "json.h"
#include "policy/quota-share.h"

static bool
read_units (struct json_object *list, GHashTable *units)
{
  size_t count = json_object_is_type (list, json_type_array)
                     ? json_object_array_length (list)
                     : 0;
  bool valid = json_object_is_type (list, json_type_array) && count % 2 == 0;

  for (size_t i = 0; valid && i < count; i += 2)
    {
      uint64_t customer;
      uint64_t value;

      valid = jl_json_read_integer (json_object_array_get_idx (list, i),
                                    G_MAXUINT32, &customer)
              && jl_json_read_integer (json_object_array_get_idx (list, i + 1),
                                       JL_QUOTA_SHARE_UNITS, &value);
      if (valid)
        g_hash_table_insert (units, GUINT_TO_POINTER ((uint32_t)customer),
                             GUINT_TO_POINTER ((unsigned)value));
    }
  return valid;
}

static bool
read_keys (struct json_object *list, uint32_t *keys, unsigned *count)
{
  size_t length = json_object_is_type (list, json_type_array)
                      ? json_object_array_length (list)
                      : SIZE_MAX;

  if (length > JL_QUOTA_MEMBERS_MAX)
    return false;
  for (size_t i = 0; i < length; i++)
    {
      uint64_t key;

      if (!jl_json_read_integer (json_object_array_get_idx (list, i),
                                 G_MAXUINT32, &key))
        return false;
      keys[i] = (uint32_t)key;
    }
  *count = (unsigned)length;
  return true;
}

static void
read_members (struct json_object *document, struct jl_quota_members *list)
{
  const struct jl_quota_members none = { 0 };
  uint64_t challenger;

  if (!jl_json_read_integer (jl_json_member (document, "version"),
                             JL_JSON_INTEGER_MAX - 1, &list->version)
      || !read_keys (jl_json_member (document, "keys"), list->keys,
                     &list->count)
      || !read_keys (jl_json_member (document, "previous"), list->previous,
                     &list->previous_count)
      || !jl_json_read_integer (jl_json_member (document, "challenger"),
                                G_MAXUINT32, &challenger)
      || list->count == 0)
    *list = none;
  else
    list->challenger = (uint32_t)challenger;
}

bool
jl_quota_row_read (const struct jl_row *row, struct jl_quota_row *read)
{
  static const char *const names[]
      = { "shares", "era",      "members",    "version",
          "keys",   "previous", "challenger", NULL };
  struct json_object *document = jl_json_parse (row->value, row->size, names);
  bool valid = read_units (jl_json_member (document, "shares"), read->units);

  read->era = jl_json_number (document, "era");
  read_members (jl_json_member (document, "members"), &read->list);
  json_object_put (document);
  return valid;
}

static struct json_object *
format_units (GHashTable *units)
{
  struct json_object *list = json_object_new_array ();
  GHashTableIter iterator;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iterator, units);
  while (g_hash_table_iter_next (&iterator, &key, &value))
    {
      json_object_array_add (list,
                             json_object_new_int64 (GPOINTER_TO_UINT (key)));
      json_object_array_add (list,
                             json_object_new_int64 (GPOINTER_TO_UINT (value)));
    }
  return list;
}

static struct json_object *
format_keys (const uint32_t *keys, unsigned count)
{
  struct json_object *list = json_object_new_array ();

  for (unsigned i = 0; i < count; i++)
    json_object_array_add (list, json_object_new_int64 (keys[i]));
  return list;
}

static struct json_object *
format_members (const struct jl_quota_members *list)
{
  struct json_object *members = json_object_new_object ();

  json_object_object_add (members, "version",
                          json_object_new_int64 ((int64_t)list->version));
  json_object_object_add (members, "keys",
                          format_keys (list->keys, list->count));
  json_object_object_add (members, "previous",
                          format_keys (list->previous, list->previous_count));
  json_object_object_add (members, "challenger",
                          json_object_new_int64 (list->challenger));
  return members;
}

char *
jl_quota_row_format (const struct jl_quota_row *row)
{
  struct json_object *document = json_object_new_object ();
  char *text;

  json_object_object_add (document, "shares", format_units (row->units));
  json_object_object_add (document, "era",
                          json_object_new_int64 ((int64_t)row->era));
  if (row->list.version > 0)
    json_object_object_add (document, "members", format_members (&row->list));
  text = g_strdup (json_object_to_json_string (document));
  json_object_put (document);
  return text;
}
