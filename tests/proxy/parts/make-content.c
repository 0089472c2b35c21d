/**
 * DOC: Contents for tests.
 */

#include "proxy/parts/make-content.h"

#include <string.h>

uint64_t
make_content (const char *host,
              const char *target,
              const char *body,
              size_t part)
{
  struct jl_head head;
  struct jl_content content;
  struct jl_field field = { .name = 0, .value = 5 };
  size_t size = strlen (body);

  jl_head_init (&head);
  g_strlcpy (head.method, "GET", sizeof head.method);
  g_string_append_len (head.text, "Host", 5);
  g_string_append_len (head.text, host, (gssize)strlen (host) + 1);
  head.target = (uint32_t)head.text->len;
  g_string_append_len (head.text, target, (gssize)strlen (target) + 1);
  g_array_append_val (head.fields, field);
  jl_content_begin (&content, &head);
  for (size_t i = 0; i < size; i += part)
    jl_content_add_body (&content, body + i, MIN (part, size - i));
  jl_content_end_body (&content);
  jl_head_clear (&head);
  return jl_content_id (&content);
}
