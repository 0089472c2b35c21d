/**
 * DOC: Requests in, by CivetWeb: a thread for each connection in use.
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

/* Bytes of a request's line and headers. */
#define HEAD_SIZE_MAX "16384"
/* A sender that is silent for longer has its connection closed. */
#define SENDER_TIMEOUT_MS "10000"
/* An idle connection is kept this long; longer than clients keep one. */
#define KEEP_ALIVE_MS "5000"
/* Connections kept when this share of the threads is taken, in percent. */
#define KEEP_SHARE 75
#define READ_SIZE 16384
/* How long connections have to end by themselves when a server closes; longer
   than idle ones are kept. */
#define CLOSE_WAIT_US (7 * JL_USEC_PER_SEC)
/* Connections that were accepted, but no thread has taken up yet, do within. */
#define CLOSE_QUIET_US (200 * JL_USEC_PER_MSEC)
#define CLOSE_POLL_US (2 * JL_USEC_PER_MSEC)

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

enum jl_http_body
jl_http_read_body (struct jl_http_exchange *exchange, uint64_t max)
{
  struct mg_connection *connection = exchange->connection;
  const struct mg_request_info *info = mg_get_request_info (connection);
  GString *body = exchange->request.body;
  char buffer[READ_SIZE];

  if (info->content_length > 0 && (uint64_t)info->content_length > max)
    return JL_HTTP_BODY_TOO_LARGE;
  for (;;)
    {
      int count = mg_read (connection, buffer, sizeof buffer);

      if (count < 0)
        return JL_HTTP_BODY_BROKEN;
      if (count == 0)
        break;
      if (body->len + (size_t)count > max)
        return JL_HTTP_BODY_TOO_LARGE;
      g_string_append_len (body, buffer, count);
    }
  if (info->content_length > 0 && body->len != (size_t)info->content_length)
    return JL_HTTP_BODY_BROKEN;
  return JL_HTTP_BODY_WHOLE;
}

static const char *
status_text (uint32_t status)
{
  return mg_get_response_code_text (NULL, (int)status);
}

/* Writes head and body at once, so that a small answer is one packet. */
static void
write_answer (struct jl_http_exchange *exchange, bool keep)
{
  const struct jl_http_message *answer = &exchange->answer;
  GString *out = g_string_sized_new (512 + answer->body->len);
  bool has_body = strcmp (exchange->method, "HEAD") != 0;

  g_string_printf (out, "HTTP/1.1 %u %s\r\n", exchange->status,
                   status_text (exchange->status));
  for (guint i = 0; i < answer->headers->len; i++)
    {
      g_string_append (out, g_ptr_array_index (answer->headers, i));
      g_string_append (out, "\r\n");
    }
  g_string_append_printf (out, "Content-Length: %zu\r\nConnection: %s\r\n\r\n",
                          answer->body->len, keep ? "keep-alive" : "close");
  if (has_body)
    g_string_append_len (out, answer->body->str, (gssize)answer->body->len);
  mg_write (exchange->connection, out->str, out->len);
  g_string_free (out, TRUE);
}

static void
take_headers (struct jl_http_exchange *exchange,
              const struct mg_request_info *info)
{
  for (int i = 0; i < info->num_headers; i++)
    jl_http_add_header (&exchange->request, info->http_headers[i].name,
                        info->http_headers[i].value);
}

/* Path and query as they came; an absolute form is cut to its path. */
static char *
make_target (const struct mg_request_info *info)
{
  const char *uri = info->request_uri;

  if (info->query_string == NULL)
    return g_strdup (uri);
  return g_strconcat (uri, "?", info->query_string, NULL);
}

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
  bool keep;

  g_atomic_int_inc (&server->in_progress);
  exchange.target = target;
  jl_http_message_init (&exchange.request);
  jl_http_message_init (&exchange.answer);
  take_headers (&exchange, info);
  server->handle (server->handler_context, &exchange);
  keep = g_atomic_int_get (&server->connections) * 100
             <= (int)server->threads * KEEP_SHARE
         && exchange.status != 400 && exchange.status != 413 && !exchange.close;
  if (!keep)
    mg_disable_connection_keep_alive (connection);
  write_answer (&exchange, keep);
  jl_http_message_clear (&exchange.request);
  jl_http_message_clear (&exchange.answer);
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
    KEEP_ALIVE_MS,
    "request_timeout_ms",
    SENDER_TIMEOUT_MS,
    "max_request_size",
    HEAD_SIZE_MAX,
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
 * CivetWeb goes on accepting until it stops, and then drops what it has just
 * accepted. Its listening socket is replaced by a descriptor that is never
 * readable, so that new connections are refused from here on.
 */
static void
stop_listening (const struct jl_http_server *server)
{
  long fd_max = sysconf (_SC_OPEN_MAX);
  int quiet = eventfd (0, EFD_CLOEXEC);

  for (int fd = 0; fd < fd_max && quiet >= 0; fd++)
    if (listens_at (fd, server->endpoint))
      {
        /* The thread that waits at the socket has to let go of it. */
        shutdown (fd, SHUT_RD);
        dup2 (quiet, fd);
        break;
      }
  if (quiet >= 0)
    close (quiet);
}

/*
 * Waits for all requests in progress, and until no connection has been open
 * for a while, or those that are were idle for too long.
 */
static void
wait_quiet (struct jl_http_server *server)
{
  uint64_t now_us = jl_now ();
  uint64_t until_us = now_us + CLOSE_WAIT_US;
  uint64_t busy_us = now_us;

  while (g_atomic_int_get (&server->in_progress) > 0
         || (now_us < until_us && now_us < busy_us + CLOSE_QUIET_US))
    {
      g_usleep (CLOSE_POLL_US);
      now_us = jl_now ();
      if (g_atomic_int_get (&server->connections) > 0)
        busy_us = now_us;
    }
}

void
jl_http_server_close (struct jl_http_server *server, bool waits)
{
  stop_listening (server);
  g_atomic_int_set (&server->closing, 1);
  if (waits)
    wait_quiet (server);
  mg_stop (server->context);
  g_free (server);
}
