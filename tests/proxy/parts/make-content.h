#ifndef TESTS_PROXY_MAKE_CONTENT_H
#define TESTS_PROXY_MAKE_CONTENT_H

/**
 * DOC: Contents for tests.
 */

#include "policy/content.h"

/**
 * make_content - returns the identity of the content of a GET request
 * @part: size of the parts in which the body arrives
 */
uint64_t make_content (const char *host,
                       const char *target,
                       const char *body,
                       size_t part);

#endif
