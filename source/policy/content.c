/**
 * DOC: The identity of a request's content.
 */

#include "policy/content.h"

#include <string.h>

static void
add_text (XXH64_state_t *state, const char *text)
{
  /* The final NUL separates the texts. */
  XXH64_update (state, text, strlen (text) + 1);
}

/* Folds a digest of 64 bits into 32 bits other than 0. */
static uint32_t
fold (uint64_t digest)
{
  uint32_t folded = (uint32_t)(digest ^ digest >> 32);

  return folded != 0 ? folded : 1;
}

void
jl_content_begin (struct jl_content *content, const struct jl_head *head)
{
  const char *host = jl_head_get (head, "Host");
  XXH64_state_t state;

  XXH64_reset (&state, 0);
  add_text (&state, head->method);
  add_text (&state, host != NULL ? host : "");
  add_text (&state, jl_head_target (head));
  content->head = fold (XXH64_digest (&state));
  XXH64_reset (&content->body, 0);
  content->body_bytes = 0;
  content->known = false;
}

void
jl_content_add_body (struct jl_content *content, const char *data, size_t size)
{
  size_t used = MIN (size, JL_CONTENT_BODY_BYTES_MAX - content->body_bytes);

  XXH64_update (&content->body, data, used);
  content->body_bytes += used;
  if (content->body_bytes == JL_CONTENT_BODY_BYTES_MAX)
    content->known = true;
}

void
jl_content_end_body (struct jl_content *content)
{
  content->known = true;
}

uint64_t
jl_content_id (const struct jl_content *content)
{
  uint32_t body = content->known ? fold (XXH64_digest (&content->body)) : 0;

  return (uint64_t)content->head << 32 | body;
}
