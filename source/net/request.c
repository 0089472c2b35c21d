/**
 * DOC: The HTTP/1.1 server.
 */

#include "jackdawladder/request.h"

#include <stdio.h>
#include <string.h>

#include <http_parser.h>

/**
 * struct jl_server - a listener and its handler
 * @idle_timeout_us: idle timeout of accepted connections; 0 for the default
 * @close_after_response: connections close after each response
 */
struct jl_server
{
  struct jl_net *net;
  const struct jl_handler *handler;
  void *context;
  uint64_t idle_timeout_us;
  bool close_after_response;
};

/**
 * struct jl_request - a request, or the wait for the next one on a connection
 * @data: data of the handler
 * @active: the handler was called for the request
 * @complete: the request was read completely
 * @responded: the response is complete; further input of the request is
 *             discarded
 * @chunked: the response body uses chunked transfer coding
 * @no_body: the response has no body, as for a HEAD request
 * @response_began: the head of the response was written
 */
struct jl_request
{
  struct jl_server *server;
  struct jl_conn *conn;
  void *data;
  bool active;
  bool complete;
  bool responded;
  bool chunked;
  bool no_body;
  bool response_began;
};

/* Reads the next request, or closes a connection that is not kept alive. */
static void
finish_exchange (struct jl_request *request)
{
  struct jl_conn *conn = request->conn;

  if (!jl_conn_head (conn)->keep_alive || request->server->close_after_response)
    {
      jl_conn_close_after_flush (conn);
      g_free (request);
      return;
    }
  request->active = false;
  request->complete = false;
  request->responded = false;
  request->response_began = false;
  jl_head_reset (jl_conn_head (conn));
  jl_conn_read_next (conn);
}

static void
on_head (void *context, struct jl_conn *conn)
{
  struct jl_request *request = context;
  struct jl_server *server = request->server;
  const struct jl_head *head = jl_conn_head (conn);
  const char *expect = jl_head_get (head, "Expect");

  request->active = true;
  request->data = NULL;
  request->no_body = strcmp (head->method, "HEAD") == 0;
  if (expect != NULL && g_ascii_strcasecmp (expect, "100-continue") == 0)
    jl_conn_printf (conn, "HTTP/1.1 100 Continue\r\n\r\n");
  server->handler->begin (server->context, request);
}

static void
on_body (void *context, struct jl_conn *conn, const char *data, size_t size)
{
  struct jl_request *request = context;
  struct jl_server *server = request->server;

  (void)conn;
  if (!request->responded && server->handler->body != NULL)
    server->handler->body (server->context, request, data, size);
}

static void
on_end (void *context, struct jl_conn *conn)
{
  struct jl_request *request = context;
  struct jl_server *server = request->server;

  (void)conn;
  request->complete = true;
  if (request->responded)
    finish_exchange (request);
  else if (server->handler->end != NULL)
    server->handler->end (server->context, request);
}

static void
on_drained (void *context, struct jl_conn *conn)
{
  struct jl_request *request = context;
  struct jl_server *server = request->server;

  (void)conn;
  if (request->active && !request->responded
      && server->handler->drained != NULL)
    server->handler->drained (server->context, request);
}

/* Responds with @status to a malformed request and closes the connection. */
static void
reject_request (struct jl_conn *conn, unsigned status)
{
  jl_conn_printf (conn,
                  "HTTP/1.1 %u %s\r\nContent-Length: 0\r\n"
                  "Connection: close\r\n\r\n",
                  status, http_status_str ((enum http_status)status));
  jl_conn_close_after_flush (conn);
}

static void
on_closed (void *context, struct jl_conn *conn, enum jl_conn_error error)
{
  struct jl_request *request = context;
  struct jl_server *server = request->server;
  bool in_progress = request->active && !request->responded;

  if (!request->response_began && error == JL_CONN_MALFORMED)
    reject_request (conn, 400);
  else if (!request->response_began && error == JL_CONN_TOO_LARGE)
    reject_request (conn, 431);
  if (in_progress && server->handler->disconnected != NULL)
    server->handler->disconnected (server->context, request);
  g_free (request);
}

static const struct jl_conn_ops conn_ops = {
  .head = on_head,
  .body = on_body,
  .end = on_end,
  .drained = on_drained,
  .closed = on_closed,
};

static void
on_accept (void *context, struct jl_conn *conn)
{
  struct jl_request *request = g_new0 (struct jl_request, 1);

  request->server = context;
  request->conn = conn;
  jl_conn_set_idle_timeout (conn, request->server->idle_timeout_us);
  jl_conn_set_owner (conn, &conn_ops, request);
}

struct jl_server *
jl_server_open (struct jl_net *net,
                struct jl_endpoint endpoint,
                const struct jl_handler *handler,
                void *context,
                const char **why)
{
  struct jl_server *server = g_new0 (struct jl_server, 1);

  server->net = net;
  server->handler = handler;
  server->context = context;
  if (jl_net_listen (net, endpoint, on_accept, server, why))
    return server;
  g_free (server);
  return NULL;
}

void
jl_server_set_idle_timeout (struct jl_server *server, uint64_t idle_timeout_us)
{
  server->idle_timeout_us = idle_timeout_us;
}

void
jl_server_close_after_response (struct jl_server *server)
{
  server->close_after_response = true;
}

const struct jl_head *
jl_request_head (const struct jl_request *request)
{
  return jl_conn_head (request->conn);
}

struct jl_endpoint
jl_request_peer (const struct jl_request *request)
{
  return jl_conn_peer (request->conn);
}

void
jl_request_set_data (struct jl_request *request, void *data)
{
  request->data = data;
}

void *
jl_request_data (const struct jl_request *request)
{
  return request->data;
}

bool
jl_request_is_complete (const struct jl_request *request)
{
  return request->complete;
}

void
jl_request_set_read_paused (struct jl_request *request, bool paused)
{
  jl_conn_set_read_paused (request->conn, paused);
}

void
jl_request_start_response (struct jl_request *request,
                           unsigned status,
                           const char *fields,
                           bool has_length,
                           uint64_t length)
{
  bool close = request->server->close_after_response
               || !jl_conn_head (request->conn)->keep_alive;

  request->response_began = true;
  request->chunked = !has_length;
  jl_conn_printf (request->conn, "HTTP/1.1 %u %s\r\n%s", status,
                  http_status_str ((enum http_status)status), fields);
  if (close)
    jl_conn_printf (request->conn, "Connection: close\r\n");
  if (status == 204 || status == 304)
    {
      request->no_body = true;
      jl_conn_printf (request->conn, "\r\n");
    }
  else if (has_length)
    jl_conn_printf (request->conn,
                    "Content-Length: %" G_GUINT64_FORMAT "\r\n\r\n",
                    (guint64)length);
  else
    jl_conn_printf (request->conn, "Transfer-Encoding: chunked\r\n\r\n");
}

void
jl_request_write_body (struct jl_request *request,
                       const char *data,
                       size_t size)
{
  if (request->no_body || size == 0)
    return;
  if (request->chunked)
    jl_conn_write_chunk (request->conn, data, size);
  else
    jl_conn_write (request->conn, data, size);
}

size_t
jl_request_backlog (const struct jl_request *request)
{
  return jl_conn_backlog (request->conn);
}

void
jl_request_end_response (struct jl_request *request)
{
  if (request->chunked && !request->no_body)
    jl_conn_write_chunk (request->conn, NULL, 0);
  request->responded = true;
  if (request->complete)
    finish_exchange (request);
  else
    jl_conn_set_read_paused (request->conn, false);
}

void
jl_request_reply (struct jl_request *request,
                  unsigned status,
                  const char *fields,
                  const char *body,
                  size_t size)
{
  jl_request_start_response (request, status, fields, true, size);
  jl_request_write_body (request, body, size);
  jl_request_end_response (request);
}

void
jl_request_abort (struct jl_request *request)
{
  jl_conn_abort (request->conn);
  g_free (request);
}
