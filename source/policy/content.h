#ifndef JACKDAWLADDER_CONTENT_H
#define JACKDAWLADDER_CONTENT_H

/**
 * DOC: The identity of a request's content.
 *
 * Requests with the same method, host, request target and body have the same
 * content, however their bodies are framed. The identity is a digest; the body
 * is digested while it arrives, so no body has to be kept for it. Other header
 * fields are not part of the content, since they differ between attempts.
 */

#include "jackdawladder/head.h"
#include "policy/content-id.h"

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

/* Size of the part of a body that is digested, in bytes. It bounds the part of
 * a body that has to be read before the content is known. */
#define JL_CONTENT_BODY_BYTES_MAX 262144u
/* Size of a content's text form, including the final NUL. */
#define JL_CONTENT_TEXT_SIZE 17

/**
 * struct jl_content - the digest of a content, while its body arrives
 * @head: digest of method, host and request target
 * @body: state of the body's digest
 * @body_bytes: number of bytes in @body
 * @known: the whole body was read, or JL_CONTENT_BODY_BYTES_MAX of it
 */
struct jl_content
{
  uint32_t head;
  XXH64_state_t body;
  uint64_t body_bytes;
  bool known;
};

/**
 * jl_content_begin - begins the digest of a request whose head was read
 */
void jl_content_begin (struct jl_content *content, const struct jl_head *head);

/**
 * jl_content_add_body - adds a part of the body
 */
void
jl_content_add_body (struct jl_content *content, const char *data, size_t size);

/**
 * jl_content_end_body - records that the whole body was read
 */
void jl_content_end_body (struct jl_content *content);

/**
 * jl_content_id - returns the identity of the content, see content-id.h
 */
uint64_t jl_content_id (const struct jl_content *content);

#endif
