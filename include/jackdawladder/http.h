#ifndef JACKDAWLADDER_HTTP_H
#define JACKDAWLADDER_HTTP_H

/**
 * DOC: HTTP/1.1 in (CivetWeb) and out (libcurl).
 *
 * An answer is handed on only when it is whole. A connection that has an
 * answer outstanding is never used again. No request is sent twice behind
 * the caller's back.
 */

#include <pthread.h>

#include "jackdawladder/base.h"

/* Headers of one message that are kept. */
#define JL_HTTP_HEADER_MAX 64

/**
 * struct jl_http_message - headers and body of a request or an answer
 * @headers: char* of the form "Name: value"
 */
struct jl_http_message
{
  GPtrArray *headers;
  GString *body;
};

void jl_http_message_init (struct jl_http_message *message);
void jl_http_message_clear (struct jl_http_message *message);

/**
 * jl_http_header - value of a header, NULL when it is not there
 */
const char *jl_http_header (const struct jl_http_message *message,
                            const char *name);

/**
 * jl_http_add_header - appends "@name: @value"
 */
void jl_http_add_header (struct jl_http_message *message,
                         const char *name,
                         const char *value);

/**
 * jl_http_add_number - appends "@name: @value"
 */
void jl_http_add_number (struct jl_http_message *message,
                         const char *name,
                         uint64_t value);

/**
 * jl_http_copy_headers - appends those of @from that go from end to end
 *
 * Left out are hop-by-hop headers, Host, Content-Length, and all that begin
 * with "Jl-".
 */
void jl_http_copy_headers (struct jl_http_message *message,
                           const struct jl_http_message *from);

/**
 * enum jl_http_result - how a transfer ended
 * @JL_HTTP_ANSWERED: with a whole answer
 * @JL_HTTP_NOT_SENT: no byte of the request was sent
 * @JL_HTTP_BROKEN: the connection broke, or the answer was not whole
 * @JL_HTTP_TIMEOUT: no whole answer in time
 * @JL_HTTP_ABORTED: by jl_http_transfer_abort()
 * @JL_HTTP_TOO_LARGE: the answer's body was larger than allowed
 */
enum jl_http_result
{
  JL_HTTP_ANSWERED,
  JL_HTTP_NOT_SENT,
  JL_HTTP_BROKEN,
  JL_HTTP_TIMEOUT,
  JL_HTTP_ABORTED,
  JL_HTTP_TOO_LARGE,
};

struct jl_http_pool;

/**
 * jl_http_pool_new - kept connections to many endpoints
 * @idle_max: kept for one endpoint while nothing is sent there
 */
struct jl_http_pool *jl_http_pool_new (uint32_t idle_max);
void jl_http_pool_drop (struct jl_http_pool *pool);

/**
 * jl_http_pool_expire - closes connections that were idle for too long
 */
void jl_http_pool_expire (struct jl_http_pool *pool);

/**
 * struct jl_http_transfer - handle by which another thread stops a transfer
 *
 * Zero-filled before first use.
 */
struct jl_http_transfer
{
  int aborted;
  void *multi;
};

/**
 * jl_http_transfer_abort - stops the transfer in progress, or the next one
 *
 * The caller sees to it that no jl_http_perform() with it begins or ends
 * meanwhile, by the lock that it passes to jl_http_perform().
 */
void jl_http_transfer_abort (struct jl_http_transfer *transfer);

/**
 * struct jl_http_call - one request to send
 * @target: path and query
 * @timeout_us: for the whole transfer
 * @answer_max: bytes of the answer's body
 * @transfer: may be NULL
 * @lock: guards @transfer
 */
struct jl_http_call
{
  struct jl_endpoint endpoint;
  const char *method;
  const char *target;
  const struct jl_http_message *request;
  uint64_t timeout_us;
  uint64_t answer_max;
  struct jl_http_transfer *transfer;
  pthread_mutex_t *lock;
};

/**
 * jl_http_perform - sends a request and waits for its whole answer
 * @status: receives the status, with JL_HTTP_ANSWERED
 * @answer: initialized and empty; filled with JL_HTTP_ANSWERED
 */
enum jl_http_result jl_http_perform (struct jl_http_pool *pool,
                                     const struct jl_http_call *call,
                                     uint32_t *status,
                                     struct jl_http_message *answer);

#define JL_HTTP_ERROR jl_http_error_quark ()
GQuark jl_http_error_quark (void);

/**
 * enum jl_http_error - why requests cannot be taken
 * @JL_HTTP_ERROR_LISTEN: the address is taken or not ours
 */
enum jl_http_error
{
  JL_HTTP_ERROR_LISTEN,
};

/**
 * struct jl_http_exchange - one request that came in, and its answer
 * @target: path and query as they came
 * @path: path alone, decoded
 * @status: set by the handler
 * @answer: filled by the handler
 * @close: set by the handler to close the connection after the answer
 */
struct jl_http_exchange
{
  const char *method;
  const char *target;
  const char *path;
  struct jl_http_message request;
  uint32_t status;
  struct jl_http_message answer;
  bool close;
  void *connection;
};

/**
 * enum jl_http_body - how the reading of a body ended
 */
enum jl_http_body
{
  JL_HTTP_BODY_WHOLE,
  JL_HTTP_BODY_TOO_LARGE,
  JL_HTTP_BODY_BROKEN,
};

/**
 * jl_http_read_body - reads the body of a request
 * @max: its largest size in bytes
 */
enum jl_http_body jl_http_read_body (struct jl_http_exchange *exchange,
                                     uint64_t max);

/**
 * JL_HTTP_HANDLER - answers one request, in a thread of the server
 */
#define JL_HTTP_HANDLER(name)                                                  \
  void (*name) (void *context, struct jl_http_exchange *exchange)

struct jl_http_server;

/**
 * jl_http_server_open - takes requests at @endpoint
 * @threads: connections served at once; further ones wait
 */
struct jl_http_server *jl_http_server_open (struct jl_endpoint endpoint,
                                            uint32_t threads,
                                            JL_HTTP_HANDLER (handle),
                                            void *context,
                                            GError **error);

/**
 * jl_http_server_close - answers what still comes, then closes
 * @waits: false closes at once
 *
 * Each connection is closed after its next answer or when it was idle. What is
 * then still open is cut off after some seconds.
 */
void jl_http_server_close (struct jl_http_server *server, bool waits);

#endif
