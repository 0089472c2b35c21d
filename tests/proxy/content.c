/**
 * DOC: Tests of the identity of a request's content.
 */

#include <criterion/criterion.h>

#include "proxy/parts/make-content.h"

Test (content, does_not_depend_on_how_the_body_is_framed)
{
  cr_assert_eq (make_content ("a", "/x", "some body", 9),
                make_content ("a", "/x", "some body", 2));
}

Test (content, differs_by_host_target_and_body)
{
  uint64_t id = make_content ("a", "/x", "body", 4);

  cr_assert_neq (id, make_content ("b", "/x", "body", 4));
  cr_assert_neq (id, make_content ("a", "/y", "body", 4));
  cr_assert_neq (id, make_content ("a", "/x", "bodi", 4));
  cr_assert_neq (id, make_content ("a", "/x", "", 1));
  cr_assert_eq (jl_content_head (id),
                jl_content_head (make_content ("a", "/x", "", 1)));
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
