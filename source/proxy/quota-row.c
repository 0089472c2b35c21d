/**
 * DOC: The row of a zone that holds its shares of usage caps.
 */

#include "proxy/quota-row.h"

#include "json.h"
#include "policy/quota-share.h"

bool
jl_quota_row_read (const struct jl_row *row, GHashTable *units, uint64_t *era)
{
  static const char *const names[] = { "shares", "era", NULL };
  struct json_object *document = jl_json_parse (row->value, row->size, names);
  struct json_object *list = jl_json_member (document, "shares");
  size_t count = json_object_is_type (list, json_type_array)
                     ? json_object_array_length (list)
                     : 0;
  bool valid = json_object_is_type (list, json_type_array) && count % 2 == 0;

  *era = jl_json_number (document, "era");

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
  json_object_put (document);
  return valid;
}

char *
jl_quota_row_format (GHashTable *units, uint64_t era)
{
  struct json_object *document = json_object_new_object ();
  struct json_object *list = json_object_new_array ();
  GHashTableIter iterator;
  gpointer key;
  gpointer value;
  char *text;

  g_hash_table_iter_init (&iterator, units);
  while (g_hash_table_iter_next (&iterator, &key, &value))
    {
      json_object_array_add (list,
                             json_object_new_int64 (GPOINTER_TO_UINT (key)));
      json_object_array_add (list,
                             json_object_new_int64 (GPOINTER_TO_UINT (value)));
    }
  json_object_object_add (document, "shares", list);
  json_object_object_add (document, "era",
                          json_object_new_int64 ((int64_t)era));
  text = g_strdup (json_object_to_json_string (document));
  json_object_put (document);
  return text;
}
