/**
 * DOC: Headers and body of an HTTP message.
 */

#include "jackdawladder/http.h"

#include <inttypes.h>
#include <string.h>

/* Headers that jl_http_copy_headers() skips. */
static const char *const excluded_headers[] = {
  "Connection",
  "Keep-Alive",
  "Transfer-Encoding",
  "Upgrade",
  "TE",
  "Trailer",
  "Host",
  "Content-Length",
  "Expect",
  "Proxy-Connection",
};

void
jl_http_message_init (struct jl_http_message *message)
{
  message->headers = g_ptr_array_new_with_free_func (g_free);
  message->body = g_string_new (NULL);
}

void
jl_http_message_clear (struct jl_http_message *message)
{
  g_ptr_array_free (message->headers, TRUE);
  g_string_free (message->body, TRUE);
}

/* Returns the value of a "Name: value" line, NULL if it has another name. */
static const char *
header_value (const char *line, const char *name)
{
  size_t size = strlen (name);

  if (g_ascii_strncasecmp (line, name, size) != 0 || line[size] != ':')
    return NULL;
  line += size + 1;
  while (*line == ' ' || *line == '\t')
    line++;
  return line;
}

const char *
jl_http_header (const struct jl_http_message *message, const char *name)
{
  for (guint i = 0; i < message->headers->len; i++)
    {
      const char *value
          = header_value (g_ptr_array_index (message->headers, i), name);

      if (value != NULL)
        return value;
    }
  return NULL;
}

void
jl_http_add_header (struct jl_http_message *message,
                    const char *name,
                    const char *value)
{
  if (message->headers->len < JL_HTTP_HEADER_MAX)
    g_ptr_array_add (message->headers, g_strconcat (name, ": ", value, NULL));
}

void
jl_http_add_number (struct jl_http_message *message,
                    const char *name,
                    uint64_t value)
{
  char text[24];

  g_snprintf (text, sizeof text, "%" PRIu64, value);
  jl_http_add_header (message, name, text);
}

static bool
is_copied (const char *line)
{
  if (g_ascii_strncasecmp (line, "Jl-", 3) == 0)
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS (excluded_headers); i++)
    if (header_value (line, excluded_headers[i]) != NULL)
      return false;
  return true;
}

void
jl_http_copy_headers (struct jl_http_message *message,
                      const struct jl_http_message *from)
{
  for (guint i = 0; i < from->headers->len; i++)
    {
      const char *line = g_ptr_array_index (from->headers, i);

      if (is_copied (line) && message->headers->len < JL_HTTP_HEADER_MAX)
        g_ptr_array_add (message->headers, g_strdup (line));
    }
}
