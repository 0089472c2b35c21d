#ifndef JACKDAWLADDER_PROXY_RELAY_H
#define JACKDAWLADDER_PROXY_RELAY_H

/**
 * DOC: Passing bodies on between a request and its sending, with bounds on
 * what waits in between.
 */

#include "jackdawladder/request.h"
#include "jackdawladder/upstream.h"

/**
 * jl_relay_answer - begins to pass an answer on, as far as it is in
 *
 * Return: whether all of it was passed on; the request is not finished yet.
 */
bool jl_relay_answer (struct jl_request *request, struct jl_upstream *upstream);

/**
 * jl_relay_piece - passes on more of the answer's body
 */
void jl_relay_piece (struct jl_request *request,
                     struct jl_upstream *upstream,
                     const char *data,
                     size_t size);

/**
 * jl_relay_body - passes on a piece of the request's body
 */
void jl_relay_body (struct jl_request *request,
                    struct jl_upstream *upstream,
                    const char *data,
                    size_t size,
                    bool in_chunks);

/**
 * jl_relay_kept - sends the body that is there, and its end if that is too
 */
void jl_relay_kept (struct jl_request *request,
                    struct jl_upstream *upstream,
                    const GByteArray *kept,
                    bool in_chunks);

#endif
