/**
 * DOC: Tests of the identity of a request's content.
 */

#include <criterion/criterion.h>

#include "policy/content.h"

#include <string.h>

static uint64_t
identify (const char *host, const char *target, const char *body, size_t part)
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

Test (content, does_not_depend_on_how_the_body_is_framed)
{
  cr_assert_eq (identify ("a", "/x", "some body", 9),
                identify ("a", "/x", "some body", 2));
}

Test (content, differs_by_host_target_and_body)
{
  uint64_t id = identify ("a", "/x", "body", 4);

  cr_assert_neq (id, identify ("b", "/x", "body", 4));
  cr_assert_neq (id, identify ("a", "/y", "body", 4));
  cr_assert_neq (id, identify ("a", "/x", "bodi", 4));
  cr_assert_neq (id, identify ("a", "/x", "", 1));
  cr_assert_eq (jl_content_head (id),
                jl_content_head (identify ("a", "/x", "", 1)));
}

Test (content, is_unknown_until_the_body_or_its_digested_part_was_read)
{
  static char part[JL_CONTENT_BODY_BYTES_MAX / 2];
  struct jl_head head;
  struct jl_content content;
  uint64_t id;

  jl_head_init (&head);
  g_string_append_len (head.text, "/x", 3);
  jl_content_begin (&content, &head);
  jl_content_add_body (&content, part, sizeof part);
  cr_assert (!jl_content_is_known (jl_content_id (&content)));
  jl_content_add_body (&content, part, sizeof part);
  id = jl_content_id (&content);
  cr_assert (jl_content_is_known (id));
  jl_content_add_body (&content, part, sizeof part);
  cr_assert_eq (jl_content_id (&content), id);
  jl_head_clear (&head);
}
