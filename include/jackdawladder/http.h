#ifndef JACKDAWLADDER_HTTP_H
#define JACKDAWLADDER_HTTP_H

/**
 * DOC: HTTP/1.1 server (CivetWeb) and client (libcurl).
 *
 * A response is delivered only when it has been received completely. A
 * connection whose response is still outstanding is never reused. The client
 * never resends a request on its own.
 */

#include <pthread.h>

#include "jackdawladder/base.h"

/* Headers kept of one message; further headers are discarded. */
#define JL_HTTP_HEADER_MAX 64

/**
 * struct jl_http_message - headers and body of a request or a response
 * @headers: char* elements of the form "Name: value"
 */
struct jl_http_message
{
  GPtrArray *headers;
  GString *body;
};

void jl_http_message_init (struct jl_http_message *message);
void jl_http_message_clear (struct jl_http_message *message);

/**
 * jl_http_header - returns the value of a header
 * @name: compared without regard to case
 *
 * Return: the first value, owned by @message, or NULL if the header is missing.
 */
const char *jl_http_header (const struct jl_http_message *message,
                            const char *name);

/**
 * jl_http_add_header - appends the header "@name: @value"
 *
 * Does nothing if the message already has JL_HTTP_HEADER_MAX headers.
 */
void jl_http_add_header (struct jl_http_message *message,
                         const char *name,
                         const char *value);

/**
 * jl_http_add_number - appends a header with a decimal value
 */
void jl_http_add_number (struct jl_http_message *message,
                         const char *name,
                         uint64_t value);

/**
 * jl_http_copy_headers - appends the end-to-end headers of @from
 *
 * Skips hop-by-hop headers, Host, Content-Length, Expect, and every header
 * whose name begins with "Jl-".
 */
void jl_http_copy_headers (struct jl_http_message *message,
                           const struct jl_http_message *from);

/**
 * enum jl_http_result - how a transfer ended
 * @JL_HTTP_COMPLETED: a complete response was received
 * @JL_HTTP_NOT_SENT: no byte of the request was sent
 * @JL_HTTP_BROKEN: the connection failed or the response was incomplete
 * @JL_HTTP_TIMEOUT: no complete response arrived within the timeout
 * @JL_HTTP_ABORTED: jl_http_transfer_abort() stopped the transfer
 * @JL_HTTP_TOO_LARGE: the response body exceeded the allowed size
 */
enum jl_http_result
{
  JL_HTTP_COMPLETED,
  JL_HTTP_NOT_SENT,
  JL_HTTP_BROKEN,
  JL_HTTP_TIMEOUT,
  JL_HTTP_ABORTED,
  JL_HTTP_TOO_LARGE,
};

struct jl_http_pool;

/**
 * jl_http_pool_new - creates a pool of keep-alive connections
 * @idle_max: idle connections kept for each endpoint
 */
struct jl_http_pool *jl_http_pool_new (uint32_t idle_max);
void jl_http_pool_drop (struct jl_http_pool *pool);

/**
 * jl_http_pool_expire - closes connections that exceeded the idle timeout
 */
void jl_http_pool_expire (struct jl_http_pool *pool);

/**
 * struct jl_http_transfer - handle by which another thread aborts a transfer
 * @aborted: nonzero once an abort was requested
 * @multi: libcurl handle of the transfer in progress, or NULL
 *
 * Must be zero-filled before its first use.
 */
struct jl_http_transfer
{
  int aborted;
  void *multi;
};

/**
 * jl_http_transfer_abort - aborts the transfer in progress, or the next one
 *
 * The caller must hold the lock that it passes to jl_http_perform(), so that
 * no jl_http_perform() with @transfer starts or ends at the same time.
 */
void jl_http_transfer_abort (struct jl_http_transfer *transfer);

/**
 * struct jl_http_call - one request to send
 * @target: path and query
 * @timeout_us: limit for the whole transfer
 * @response_max_bytes: largest response body that is accepted
 * @transfer: handle to abort the call, or NULL
 * @lock: protects @transfer; not used if @transfer is NULL
 */
struct jl_http_call
{
  struct jl_endpoint endpoint;
  const char *method;
  const char *target;
  const struct jl_http_message *request;
  uint64_t timeout_us;
  uint64_t response_max_bytes;
  struct jl_http_transfer *transfer;
  pthread_mutex_t *lock;
};

/**
 * jl_http_perform - sends a request and waits for its complete response
 * @status: receives the HTTP status; valid with JL_HTTP_COMPLETED
 * @response: initialized, empty message; valid with JL_HTTP_COMPLETED
 */
enum jl_http_result jl_http_perform (struct jl_http_pool *pool,
                                     const struct jl_http_call *call,
                                     uint32_t *status,
                                     struct jl_http_message *response);

#define JL_HTTP_ERROR jl_http_error_quark ()
GQuark jl_http_error_quark (void);

/**
 * enum jl_http_error - why a server cannot be opened
 * @JL_HTTP_ERROR_LISTEN: the address is in use or not local
 */
enum jl_http_error
{
  JL_HTTP_ERROR_LISTEN,
};

/**
 * struct jl_http_exchange - one received request and its response
 * @target: path and query as received
 * @path: path without the query, percent-decoded
 * @status: HTTP status, set by the handler
 * @response: filled by the handler
 * @close_connection: set by the handler to close the connection after the
 *                    response
 * @connection: CivetWeb's connection
 */
struct jl_http_exchange
{
  const char *method;
  const char *target;
  const char *path;
  struct jl_http_message request;
  uint32_t status;
  struct jl_http_message response;
  bool close_connection;
  void *connection;
};

/**
 * enum jl_http_body_result - result of reading a request body
 * @JL_HTTP_BODY_COMPLETE: the whole body was read
 * @JL_HTTP_BODY_TOO_LARGE: the body exceeds the limit
 * @JL_HTTP_BODY_INCOMPLETE: the connection failed before the end of the body
 */
enum jl_http_body_result
{
  JL_HTTP_BODY_COMPLETE,
  JL_HTTP_BODY_TOO_LARGE,
  JL_HTTP_BODY_INCOMPLETE,
};

/**
 * jl_http_read_body - reads the request body into @exchange->request
 * @max: largest accepted size in bytes
 */
enum jl_http_body_result jl_http_read_body (struct jl_http_exchange *exchange,
                                            uint64_t max);

/**
 * JL_HTTP_HANDLER - declares a function that answers one request
 *
 * The server calls it in one of its worker threads.
 */
#define JL_HTTP_HANDLER(name)                                                  \
  void (*name) (void *context, struct jl_http_exchange *exchange)

struct jl_http_server;

/**
 * jl_http_server_open - starts a server that listens at @endpoint
 * @threads: connections served at once; further connections are queued
 *
 * Return: the server, or NULL with @error set.
 */
struct jl_http_server *jl_http_server_open (struct jl_endpoint endpoint,
                                            uint32_t threads,
                                            JL_HTTP_HANDLER (handle),
                                            void *context,
                                            GError **error);

/**
 * jl_http_server_close - stops a server
 * @graceful: false closes all connections at once
 *
 * New connections are refused. A graceful close waits for the requests in
 * progress and for connections to end or exceed the keep-alive timeout.
 * Connections that are still open and idle after 7 seconds are closed.
 */
void jl_http_server_close (struct jl_http_server *server, bool graceful);

#endif
