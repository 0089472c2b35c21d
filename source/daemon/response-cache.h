#ifndef JACKDAWLADDER_RESPONSE_CACHE_H
#define JACKDAWLADDER_RESPONSE_CACHE_H

/**
 * DOC: Cache of responses for requests that are repeated under their ticket.
 *
 * The total size and the age of the responses are limited; the oldest responses
 * are evicted first.
 */

#include "jackdawladder/http.h"

struct jl_response_cache;

struct jl_response_cache *jl_response_cache_new (void);
void jl_response_cache_drop (struct jl_response_cache *cache);

/**
 * jl_response_cache_put - stores a copy of a response
 *
 * Does nothing if the body exceeds 256 KiB or the ticket already has a
 * response.
 */
void jl_response_cache_put (struct jl_response_cache *cache,
                            struct jl_ticket ticket,
                            uint32_t status,
                            const struct jl_http_message *response);

/**
 * jl_response_cache_get - copies a cached response
 * @response: initialized, empty message
 *
 * Return: false when the response was never stored or has been evicted.
 */
bool jl_response_cache_get (struct jl_response_cache *cache,
                            struct jl_ticket ticket,
                            uint32_t *status,
                            struct jl_http_message *response);

#endif
