#ifndef JACKDAWLADDER_PROXY_RELAY_H
#define JACKDAWLADDER_PROXY_RELAY_H

/**
 * DOC: Relays bodies between a request and its upstream request, with flow
 * control in both directions to bound the number of buffered bytes.
 *
 * Entry and guard each embed a relay in their state of a request. The relay is
 * the data of the request and the context of the upstream request.
 */

#include "jackdawladder/request.h"
#include "jackdawladder/upstream.h"

/**
 * enum jl_hold - why a request is held before it is sent on
 * @JL_HOLD_NONE: it is not held
 * @JL_HOLD_BODY: its content has to be known first
 * @JL_HOLD_RESULT: a trial of a suspect content has to end first
 * @JL_HOLD_TOKEN: it waits for a token of its customer's usage cap
 */
enum jl_hold
{
  JL_HOLD_NONE,
  JL_HOLD_BODY,
  JL_HOLD_RESULT,
  JL_HOLD_TOKEN,
};

/**
 * struct jl_relay - a request and its upstream request
 * @request: request received from the client or the entry
 * @upstream: current upstream request, NULL while there is none
 * @buffered_body: buffered part of the request's body
 * @chunked: the request's body uses chunked transfer encoding
 * @response_started: the head of the response has been passed on
 * @hold: why the request is held
 */
struct jl_relay
{
  struct jl_request *request;
  struct jl_upstream *upstream;
  GByteArray *buffered_body;
  bool chunked;
  bool response_started;
  enum jl_hold hold;
};

/**
 * jl_relay_init - attaches the relay to a request whose head has been read
 */
void jl_relay_init (struct jl_relay *relay, struct jl_request *request);

/**
 * jl_relay_clear - cancels the upstream request and frees the buffered body
 */
void jl_relay_clear (struct jl_relay *relay);

/**
 * jl_relay_cancel_upstream - cancels the upstream request, if there is one
 */
void jl_relay_cancel_upstream (struct jl_relay *relay);

/**
 * jl_relay_start_response - passes on the head of the response and the part of
 * its body received so far
 * @own_lines: header lines of this daemon that are added, "" for none
 *
 * Return: whether the whole response was passed on; the caller then has to
 * finish the request.
 */
bool jl_relay_start_response (struct jl_relay *relay, const char *own_lines);

/**
 * jl_relay_hold_body - buffers a part of the body of a held request, and stops
 * reading once the content must be known
 */
void jl_relay_hold_body (struct jl_relay *relay, const char *data, size_t size);

/**
 * jl_relay_send_body - passes on a part of the request's body, and pauses the
 * sender if too much of it is not sent yet
 */
void jl_relay_send_body (struct jl_relay *relay, const char *data, size_t size);

/**
 * jl_relay_send_buffered_body - sends the buffered body upstream, and ends it
 * if the whole request was read
 */
void jl_relay_send_buffered_body (struct jl_relay *relay);

/* Members of struct jl_upstream_ops that entry and guard share. */

void jl_relay_on_response_body (void *context,
                                struct jl_upstream *upstream,
                                const char *data,
                                size_t size);
void jl_relay_on_drained (void *context, struct jl_upstream *upstream);

/* Members of struct jl_handler that entry and guard share. */

void jl_relay_on_end (void *context, struct jl_request *request);
void jl_relay_on_client_drained (void *context, struct jl_request *request);

#endif
