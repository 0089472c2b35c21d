#ifndef JACKDAWLADDER_PROXY_RELAY_H
#define JACKDAWLADDER_PROXY_RELAY_H

/**
 * DOC: Passing bodies on between a request and its sending, with bounds on
 * what waits in between.
 *
 * An entry and a guard each embed a relay in what they know of a request. It is
 * the request's data and the context of its sending.
 */

#include "jackdawladder/request.h"
#include "jackdawladder/upstream.h"

/**
 * struct jl_relay - a request and its sending
 * @request: the side of who sent it
 * @upstream: its sending, NULL between two
 * @kept: body as far as it is kept
 * @in_chunks: the body comes in chunks
 * @passing: the answer is being passed on
 */
struct jl_relay
{
  struct jl_request *request;
  struct jl_upstream *upstream;
  GByteArray *kept;
  bool in_chunks;
  bool passing;
};

/**
 * jl_relay_init - takes over a request whose head is in
 */
void jl_relay_init (struct jl_relay *relay, struct jl_request *request);

/**
 * jl_relay_clear - ends the sending and frees what was kept
 */
void jl_relay_clear (struct jl_relay *relay);

/**
 * jl_relay_drop_sending - ends the sending in progress, if there is one
 */
void jl_relay_drop_sending (struct jl_relay *relay);

/**
 * jl_relay_answer - begins to pass the answer on, as far as it is in
 *
 * Return: whether all of it was passed on; the request is not finished yet.
 */
bool jl_relay_answer (struct jl_relay *relay);

/**
 * jl_relay_body - passes on a piece of the request's body
 */
void jl_relay_body (struct jl_relay *relay, const char *data, size_t size);

/**
 * jl_relay_kept - sends the body that is there, and its end if that is too
 */
void jl_relay_kept (struct jl_relay *relay);

/* What is the same at entry and guard: of struct jl_upstream_ops, ... */

void jl_relay_on_piece (void *context,
                        struct jl_upstream *upstream,
                        const char *data,
                        size_t size);
void jl_relay_on_drained (void *context, struct jl_upstream *upstream);

/* ... and of struct jl_handler. */

void jl_relay_on_end (void *context, struct jl_request *request);
void jl_relay_on_client_drained (void *context, struct jl_request *request);

#endif
