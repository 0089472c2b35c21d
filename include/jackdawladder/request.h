#ifndef JACKDAWLADDER_REQUEST_H
#define JACKDAWLADDER_REQUEST_H

/**
 * DOC: The HTTP/1.1 server: requests received by a listener.
 */

#include "jackdawladder/conn.h"

struct jl_server;
struct jl_request;

/**
 * struct jl_handler - callbacks that process the requests of a listener
 * @begin: the head of a request was read; may respond immediately or set the
 *         request data
 * @body: part of the request body was read
 * @end: the request body is complete
 * @drained: the output backlog has fallen to JL_CONN_LOW_WATER_BYTES
 * @disconnected: the client has closed the connection, or it failed; the
 *                request is freed after this call
 *
 * No callback is called for a request after its response has ended.
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
  void (*disconnected) (void *context, struct jl_request *request);
};

/**
 * jl_server_open - accepts requests at @endpoint
 * @handler: callbacks, called with @context; all but @begin may be NULL
 *
 * Return: NULL if binding or listening fails; @why receives the reason.
 */
struct jl_server *jl_server_open (struct jl_net *net,
                                  struct jl_endpoint endpoint,
                                  const struct jl_handler *handler,
                                  void *context,
                                  const char **why);

/**
 * jl_server_set_idle_timeout - sets the idle timeout of connections that will
 * be accepted
 */
void jl_server_set_idle_timeout (struct jl_server *server,
                                 uint64_t idle_timeout_us);

/**
 * jl_server_close_after_response - closes each connection after its next
 * response
 */
void jl_server_close_after_response (struct jl_server *server);

/**
 * jl_request_head - returns the head of a request
 *
 * The head is valid until the response has ended.
 */
const struct jl_head *jl_request_head (const struct jl_request *request);

/**
 * jl_request_peer - returns the address of the client
 */
struct jl_endpoint jl_request_peer (const struct jl_request *request);

/**
 * jl_request_set_data - attaches data of the handler to a request
 */
void jl_request_set_data (struct jl_request *request, void *data);

/**
 * jl_request_data - returns what jl_request_set_data() attached, NULL for none
 */
void *jl_request_data (const struct jl_request *request);

/**
 * jl_request_is_complete - whether the request was read completely
 */
bool jl_request_is_complete (const struct jl_request *request);

/**
 * jl_request_set_read_paused - pauses or resumes reading from the client, for
 * flow control
 */
void jl_request_set_read_paused (struct jl_request *request, bool paused);

/**
 * jl_request_reply - sends a complete response
 * @fields: header lines, each terminated by CRLF; may be empty
 * @size: size of @body in bytes
 */
void jl_request_reply (struct jl_request *request,
                       unsigned status,
                       const char *fields,
                       const char *body,
                       size_t size);

/**
 * jl_request_start_response - writes the head of a response
 * @fields: header lines, each terminated by CRLF, without the fields that frame
 *          the body
 * @has_length: the body has @length bytes; otherwise it is sent with chunked
 *              transfer coding
 */
void jl_request_start_response (struct jl_request *request,
                                unsigned status,
                                const char *fields,
                                bool has_length,
                                uint64_t length);

/**
 * jl_request_write_body - writes part of the response body
 */
void jl_request_write_body (struct jl_request *request,
                            const char *data,
                            size_t size);

/**
 * jl_request_backlog - returns the bytes of output not yet taken by the kernel
 */
size_t jl_request_backlog (const struct jl_request *request);

/**
 * jl_request_end_response - ends the response body and the response
 */
void jl_request_end_response (struct jl_request *request);

/**
 * jl_request_abort - closes the connection of a response that cannot be
 * completed
 *
 * The client can tell that the response is truncated. Frees @request.
 */
void jl_request_abort (struct jl_request *request);

#endif
