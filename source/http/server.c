/**
 * DOC: HTTP server, by CivetWeb: one thread for each open connection.
 */

#include "jackdawladder/http.h"

#include <civetweb.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu.h>

#include "jackdawladder/log.h"

/* Limit on the request line and headers. */
#define HEAD_MAX_BYTES "16384"
/* A connection is closed if the client sends no data for this time while the
   server reads a request. */
#define REQUEST_TIMEOUT_MS "10000"
/* Idle time after which a connection is closed; longer than the idle timeout of
   the client. */
#define KEEP_ALIVE_TIMEOUT_MS "5000"
/* Connections are kept alive while at most this share of the threads is in
   use. */
#define KEEP_ALIVE_LOAD_MAX_PERCENT 75
#define READ_BUFFER_BYTES 16384
/* Time that a closing server gives connections to end by themselves; longer
   than KEEP_ALIVE_TIMEOUT_MS. */
#define CLOSE_TIMEOUT_US (7 * JL_USEC_PER_SEC)
/* Time without an open connection after which a closing server stops; accepted
   connections in the queue get a thread within this time. */
#define CLOSE_IDLE_US (200 * JL_USEC_PER_MSEC)
#define CLOSE_POLL_US (2 * JL_USEC_PER_MSEC)

/**
 * struct jl_http_server - server at one endpoint
 * @threads: number of worker threads
 * @connections: open connections that have a thread
 * @in_progress: requests in progress
 * @closing: set when the server closes
 */
struct jl_http_server
{
  struct mg_context *context;
  struct jl_endpoint endpoint;
  JL_HTTP_HANDLER (handle);
  void *handler_context;
  uint32_t threads;
  int connections;
  int in_progress;
  int closing;
};

GQuark
jl_http_error_quark (void)
{
  return g_quark_from_static_string ("jl-http-error");
}

enum jl_http_body_result
jl_http_read_body (struct jl_http_exchange *exchange, uint64_t max)
{
  struct mg_connection *connection = exchange->connection;
  const struct mg_request_info *info = mg_get_request_info (connection);
  GString *body = exchange->request.body;
  char buffer[READ_BUFFER_BYTES];

  if (info->content_length > 0 && (uint64_t)info->content_length > max)
    return JL_HTTP_BODY_TOO_LARGE;
  for (;;)
    {
      int count = mg_read (connection, buffer, sizeof buffer);

      if (count < 0)
        return JL_HTTP_BODY_INCOMPLETE;
      if (count == 0)
        break;
      if (body->len + (size_t)count > max)
        return JL_HTTP_BODY_TOO_LARGE;
      g_string_append_len (body, buffer, count);
    }
  if (info->content_length > 0 && body->len != (size_t)info->content_length)
    return JL_HTTP_BODY_INCOMPLETE;
  return JL_HTTP_BODY_COMPLETE;
}

static const char *
status_text (uint32_t status)
{
  return mg_get_response_code_text (NULL, (int)status);
}

/* Writes header and body at once, so that a small response is one packet. */
static void
write_response (struct jl_http_exchange *exchange, bool keep_alive)
{
  const struct jl_http_message *response = &exchange->response;
  GString *out = g_string_sized_new (512 + response->body->len);
  bool has_body = strcmp (exchange->method, "HEAD") != 0;

  g_string_printf (out, "HTTP/1.1 %u %s\r\n", exchange->status,
                   status_text (exchange->status));
  for (guint i = 0; i < response->headers->len; i++)
    {
      g_string_append (out, g_ptr_array_index (response->headers, i));
      g_string_append (out, "\r\n");
    }
  g_string_append_printf (out, "Content-Length: %zu\r\nConnection: %s\r\n\r\n",
                          response->body->len,
                          keep_alive ? "keep-alive" : "close");
  if (has_body)
    g_string_append_len (out, response->body->str, (gssize)response->body->len);
  mg_write (exchange->connection, out->str, out->len);
  g_string_free (out, TRUE);
}

static void
copy_request_headers (struct jl_http_exchange *exchange,
                      const struct mg_request_info *info)
{
  for (int i = 0; i < info->num_headers; i++)
    jl_http_add_header (&exchange->request, info->http_headers[i].name,
                        info->http_headers[i].value);
}

/* Returns path and query as received; of an absolute URI, only the path. */
static char *
make_target (const struct mg_request_info *info)
{
  const char *uri = info->request_uri;

  if (info->query_string == NULL)
    return g_strdup (uri);
  return g_strconcat (uri, "?", info->query_string, NULL);
}

/* CivetWeb callback that handles one request. */
static int
begin_request (struct mg_connection *connection)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  struct jl_http_server *server = info->user_data;
  struct jl_http_exchange exchange = { .method = info->request_method,
                                       .path = info->local_uri,
                                       .status = 500,
                                       .connection = connection };
  char *target = make_target (info);
  bool keep_alive;

  g_atomic_int_inc (&server->in_progress);
  exchange.target = target;
  jl_http_message_init (&exchange.request);
  jl_http_message_init (&exchange.response);
  copy_request_headers (&exchange, info);
  server->handle (server->handler_context, &exchange);
  keep_alive = g_atomic_int_get (&server->connections) * 100
                   <= (int)server->threads * KEEP_ALIVE_LOAD_MAX_PERCENT
               && exchange.status != 400 && exchange.status != 413
               && !exchange.close_connection;
  if (!keep_alive)
    mg_disable_connection_keep_alive (connection);
  write_response (&exchange, keep_alive);
  jl_http_message_clear (&exchange.request);
  jl_http_message_clear (&exchange.response);
  g_free (target);
  g_atomic_int_add (&server->in_progress, -1);
  return (int)exchange.status;
}

static int
connection_opened (const struct mg_connection *connection,
                   void **connection_data G_GNUC_UNUSED)
{
  struct jl_http_server *server
      = mg_get_user_data (mg_get_context (connection));

  g_atomic_int_inc (&server->connections);
  return 0;
}

static void
connection_closed (const struct mg_connection *connection)
{
  struct jl_http_server *server
      = mg_get_user_data (mg_get_context (connection));

  g_atomic_int_add (&server->connections, -1);
}

static void *
thread_started (const struct mg_context *context G_GNUC_UNUSED,
                int type G_GNUC_UNUSED)
{
  rcu_register_thread ();
  return NULL;
}

static void
thread_ended (const struct mg_context *context G_GNUC_UNUSED,
              int type G_GNUC_UNUSED,
              void *data G_GNUC_UNUSED)
{
  rcu_unregister_thread ();
}

static int
log_message (const struct mg_connection *connection G_GNUC_UNUSED,
             const char *message)
{
  jl_log_text (JL_LOG_MALFORMED_REQUEST, message);
  return 1;
}

struct jl_http_server *
jl_http_server_open (struct jl_endpoint endpoint,
                     uint32_t threads,
                     JL_HTTP_HANDLER (handle),
                     void *context,
                     GError **error)
{
  struct jl_http_server *server = g_new0 (struct jl_http_server, 1);
  struct mg_callbacks callbacks = { .begin_request = begin_request,
                                    .init_connection = connection_opened,
                                    .connection_closed = connection_closed,
                                    .init_thread = thread_started,
                                    .exit_thread = thread_ended,
                                    .log_message = log_message };
  char port[JL_ENDPOINT_TEXT_SIZE];
  char count[16];
  const char *options[] = {
    "listening_ports",
    port,
    "num_threads",
    count,
    "enable_keep_alive",
    "yes",
    "keep_alive_timeout_ms",
    KEEP_ALIVE_TIMEOUT_MS,
    "request_timeout_ms",
    REQUEST_TIMEOUT_MS,
    "max_request_size",
    HEAD_MAX_BYTES,
    "tcp_nodelay",
    "1",
    "connection_queue",
    "256",
    NULL,
  };

  jl_endpoint_format (endpoint, port);
  snprintf (count, sizeof count, "%u", threads);
  server->endpoint = endpoint;
  server->handle = handle;
  server->handler_context = context;
  server->threads = threads;
  server->context = mg_start (&callbacks, server, options);
  if (server->context == NULL)
    {
      g_set_error (error, JL_HTTP_ERROR, JL_HTTP_ERROR_LISTEN,
                   "cannot listen at %s", port);
      g_free (server);
      return NULL;
    }
  return server;
}

/* Whether a descriptor is a socket that listens at @endpoint. */
static bool
listens_at (int fd, struct jl_endpoint endpoint)
{
  struct sockaddr_in address = { 0 };
  socklen_t size = sizeof address;
  int listening = 0;
  socklen_t listening_size = sizeof listening;

  if (getsockopt (fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &listening_size)
          != 0
      || listening == 0)
    return false;
  return getsockname (fd, (struct sockaddr *)&address, &size) == 0
         && ntohl (address.sin_addr.s_addr) == endpoint.ip
         && ntohs (address.sin_port) == endpoint.port;
}

/*
 * CivetWeb accepts connections until it stops, and then drops those that it has
 * just accepted. To refuse new connections before, the listening socket is
 * replaced by a descriptor that is never readable.
 */
static void
stop_listening (const struct jl_http_server *server)
{
  long fd_max = sysconf (_SC_OPEN_MAX);
  int never_readable = eventfd (0, EFD_CLOEXEC);

  for (int fd = 0; fd < fd_max && never_readable >= 0; fd++)
    if (listens_at (fd, server->endpoint))
      {
        /* Wakes the thread that polls the socket, which releases it. */
        shutdown (fd, SHUT_RD);
        dup2 (never_readable, fd);
        break;
      }
  if (never_readable >= 0)
    close (never_readable);
}

/*
 * Waits for all requests in progress, and until no connection has been open for
 * CLOSE_IDLE_US or CLOSE_TIMEOUT_US has passed.
 */
static void
wait_idle (struct jl_http_server *server)
{
  uint64_t now_us = jl_now ();
  uint64_t deadline_us = now_us + CLOSE_TIMEOUT_US;
  uint64_t last_open_us = now_us;

  while (g_atomic_int_get (&server->in_progress) > 0
         || (now_us < deadline_us && now_us < last_open_us + CLOSE_IDLE_US))
    {
      g_usleep (CLOSE_POLL_US);
      now_us = jl_now ();
      if (g_atomic_int_get (&server->connections) > 0)
        last_open_us = now_us;
    }
}

void
jl_http_server_close (struct jl_http_server *server, bool graceful)
{
  stop_listening (server);
  g_atomic_int_set (&server->closing, 1);
  if (graceful)
    wait_idle (server);
  mg_stop (server->context);
  g_free (server);
}
