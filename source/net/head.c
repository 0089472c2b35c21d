/**
 * DOC: The head of an HTTP/1.1 message.
 */

#include "jackdawladder/head.h"

#include <stdio.h>
#include <string.h>

/*
 * Fields that are never forwarded: hop-by-hop fields, and those that depend on
 * how a connection frames the body.
 */
static const char *const hop_by_hop_names[]
    = { "Connection", "Keep-Alive",        "Proxy-Connection",
        "TE",         "Transfer-Encoding", "Trailer",
        "Upgrade",    "Content-Length",    "Expect" };

void
jl_head_init (struct jl_head *head)
{
  memset (head, 0, sizeof *head);
  head->text = g_string_sized_new (256);
  head->fields = g_array_new (FALSE, FALSE, sizeof (struct jl_field));
}

void
jl_head_clear (struct jl_head *head)
{
  jl_wipe (head->text->str, head->text->len);
  g_string_free (head->text, TRUE);
  g_array_free (head->fields, TRUE);
}

void
jl_head_reset (struct jl_head *head)
{
  GString *text = head->text;
  GArray *fields = head->fields;

  memset (head, 0, sizeof *head);
  jl_wipe (text->str, text->len);
  head->text = g_string_truncate (text, 0);
  head->fields = g_array_set_size (fields, 0);
}

void
jl_head_append_text (struct jl_head *head, const char *data, size_t size)
{
  GString *text = head->text;

  if (text->len + size >= text->allocated_len)
    {
      head->text = g_string_sized_new (2 * (text->len + size));
      g_string_append_len (head->text, text->str, (gssize)text->len);
      jl_wipe (text->str, text->len);
      g_string_free (text, TRUE);
    }
  g_string_append_len (head->text, data, (gssize)size);
}

void
jl_head_copy (struct jl_head *to, const struct jl_head *from)
{
  GString *text = to->text;
  GArray *fields = to->fields;

  *to = *from;
  to->text = g_string_truncate (text, 0);
  g_string_append_len (to->text, from->text->str, (gssize)from->text->len);
  to->fields = g_array_set_size (fields, 0);
  if (from->fields->len > 0)
    g_array_append_vals (to->fields, from->fields->data, from->fields->len);
}

const char *
jl_head_target (const struct jl_head *head)
{
  return head->text->str + head->target;
}

const char *
jl_head_name (const struct jl_head *head, size_t index)
{
  return head->text->str
         + g_array_index (head->fields, struct jl_field, index).name;
}

const char *
jl_head_value (const struct jl_head *head, size_t index)
{
  return head->text->str
         + g_array_index (head->fields, struct jl_field, index).value;
}

const char *
jl_head_get (const struct jl_head *head, const char *name)
{
  for (size_t i = 0; i < head->fields->len; i++)
    if (g_ascii_strcasecmp (jl_head_name (head, i), name) == 0)
      return jl_head_value (head, i);
  return NULL;
}

unsigned
jl_head_count (const struct jl_head *head, const char *name)
{
  unsigned count = 0;

  for (size_t i = 0; i < head->fields->len; i++)
    count += g_ascii_strcasecmp (jl_head_name (head, i), name) == 0;
  return count;
}

bool
jl_head_get_number (const struct jl_head *head,
                    const char *name,
                    uint64_t *number)
{
  const char *value = jl_head_get (head, name);

  if (value == NULL)
    return false;
  return g_ascii_string_to_unsigned (value, 10, 0, UINT64_C (1) << 53, number,
                                     NULL);
}

bool
jl_head_get_idle_timeout (const struct jl_head *head, uint64_t *timeout_us)
{
  static const char parameter[] = "timeout=";
  const char *value = jl_head_get (head, "Keep-Alive");
  unsigned seconds;

  while (value != NULL)
    {
      value += strspn (value, " \t");
      if (g_ascii_strncasecmp (value, parameter, strlen (parameter)) == 0
          && sscanf (value + strlen (parameter), "%9u", &seconds) == 1)
        {
          *timeout_us = seconds * JL_USEC_PER_SEC;
          return true;
        }
      value = strchr (value, ',');
      if (value != NULL)
        value++;
    }
  return false;
}

static bool
lists_name (const char *list, const char *name)
{
  size_t length = strlen (name);

  while (*list != '\0')
    {
      list += strspn (list, " ,\t");
      if (g_ascii_strncasecmp (list, name, length) == 0
          && strchr (" ,\t", list[length]) != NULL)
        return true;
      list += strcspn (list, ",");
    }
  return false;
}

/* Whether a Connection field lists @name as a hop-by-hop field. */
static bool
is_connection_option (const struct jl_head *head, const char *name)
{
  for (size_t i = 0; i < head->fields->len; i++)
    if (g_ascii_strcasecmp (jl_head_name (head, i), "Connection") == 0
        && lists_name (jl_head_value (head, i), name))
      return true;
  return false;
}

bool
jl_head_is_hop_by_hop (const struct jl_head *head, size_t index)
{
  const char *name = jl_head_name (head, index);

  for (size_t i = 0; i < G_N_ELEMENTS (hop_by_hop_names); i++)
    if (g_ascii_strcasecmp (name, hop_by_hop_names[i]) == 0)
      return true;
  return is_connection_option (head, name);
}

size_t
jl_head_memory_bytes (const struct jl_head *head)
{
  return head->text->len + head->fields->len * sizeof (struct jl_field);
}
