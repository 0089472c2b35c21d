#ifndef JACKDAWLADDER_CONTENT_ID_H
#define JACKDAWLADDER_CONTENT_ID_H

/**
 * DOC: The two halves of the identity of a content.
 *
 * The upper half is the digest of the head, the lower half that of the body; it
 * is 0 while the body is not known.
 */

#include "jackdawladder/base.h"

/**
 * jl_content_head - returns the digest of the head in an identity
 */
static inline uint32_t
jl_content_head (uint64_t id)
{
  return (uint32_t)(id >> 32);
}

/**
 * jl_content_is_known - whether the body was known when the identity was taken
 */
static inline bool
jl_content_is_known (uint64_t id)
{
  return (uint32_t)id != 0;
}

#endif
