#ifndef JACKDAWLADDER_REQUEST_H
#define JACKDAWLADDER_REQUEST_H

/**
 * DOC: The server's side of HTTP/1.1: requests that a listener takes.
 */

#include "jackdawladder/conn.h"

struct jl_server;
struct jl_request;

/**
 * struct jl_handler - what a listener does with requests
 * @begin: a request's head is in; may answer at once or set the request's data
 * @body: a piece of its body
 * @end: its body is complete
 * @drained: the client takes output again
 * @gone: the client has left; the request is freed after this call
 *
 * After its answer has ended, a request is not mentioned any more.
 */
struct jl_handler
{
  void (*begin) (void *context, struct jl_request *request);
  void (*body) (void *context,
                struct jl_request *request,
                const char *data,
                size_t size);
  void (*end) (void *context, struct jl_request *request);
  void (*drained) (void *context, struct jl_request *request);
  void (*gone) (void *context, struct jl_request *request);
};

/**
 * jl_server_open - takes requests at @endpoint
 * @handler: @body, @end, @drained and @gone may be NULL
 *
 * Return: NULL when the port cannot be had; @why receives the reason.
 */
struct jl_server *jl_server_open (struct jl_net *net,
                                  struct jl_endpoint endpoint,
                                  const struct jl_handler *handler,
                                  void *context,
                                  const char **why);

/**
 * jl_server_idle_timeout - how long its connections may be idle
 */
void jl_server_idle_timeout (struct jl_server *server,
                             uint64_t idle_timeout_us);

/**
 * jl_server_close_after - from now on, each connection ends with its answer
 */
void jl_server_close_after (struct jl_server *server);

/**
 * jl_request_head - valid until the answer has ended
 */
const struct jl_head *jl_request_head (const struct jl_request *request);

struct jl_endpoint jl_request_peer (const struct jl_request *request);
void jl_request_set_data (struct jl_request *request, void *data);
void *jl_request_data (const struct jl_request *request);

/**
 * jl_request_ended - whether the whole request was read
 */
bool jl_request_ended (const struct jl_request *request);

/**
 * jl_request_hold - lets a client that sends fast wait
 */
void jl_request_hold (struct jl_request *request, bool hold);

/**
 * jl_request_reply - answers with a whole message
 * @fields: header lines, each with its line end; may be empty
 */
void jl_request_reply (struct jl_request *request,
                       unsigned status,
                       const char *fields,
                       const char *body,
                       size_t size);

/**
 * jl_request_start - begins an answer
 * @fields: header lines without those of the framing
 * @has_length: the body has @length bytes, else it goes in chunks
 */
void jl_request_start (struct jl_request *request,
                       unsigned status,
                       const char *fields,
                       bool has_length,
                       uint64_t length);

void
jl_request_piece (struct jl_request *request, const char *data, size_t size);

/**
 * jl_request_backlog - bytes of the answer that the client has not taken
 */
size_t jl_request_backlog (const struct jl_request *request);

/**
 * jl_request_finish - the body of the answer is complete
 */
void jl_request_finish (struct jl_request *request);

/**
 * jl_request_break - ends an answer that cannot be completed; the client sees
 * that its end is missing
 */
void jl_request_break (struct jl_request *request);

#endif
