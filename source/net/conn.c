/**
 * DOC: HTTP/1.1 connections on the event loop.
 */

#include "conn-impl.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Connections that the kernel holds for a listener. */
#define LISTEN_BACKLOG 1024
/* Unacknowledged output ends a connection after this. */
#define USER_TIMEOUT_MS 2500
/* Keep-alive probes of a silent connection: first, between, number. */
#define PROBE_AFTER_S 2
#define PROBE_GAP_S 1
#define PROBE_COUNT 2
/* A reader that takes nothing for this long is cut off. */
#define STALLED_US (10 * JL_USEC_PER_SEC)
/* Wait for the peer's end after the own one. */
#define LINGER_US (1 * JL_USEC_PER_SEC)
#define HEAD_BYTES_DEFAULT 65536
#define HEAD_TIMEOUT_DEFAULT_US (10 * JL_USEC_PER_SEC)
#define IDLE_TIMEOUT_DEFAULT_US (60 * JL_USEC_PER_SEC)

static void
on_closed (uv_handle_t *handle)
{
  struct jl_conn *conn = handle->data;

  jl_head_clear (&conn->head);
  g_byte_array_free (conn->out, TRUE);
  g_byte_array_free (conn->sending, TRUE);
  g_byte_array_free (conn->stash, TRUE);
  g_free (conn);
}

static void
unlink_dirty (struct jl_conn *conn)
{
  if (!conn->dirty)
    return;
  cds_list_del (&conn->dirty_link);
  conn->dirty = false;
}

static void
close_now (struct jl_conn *conn)
{
  if (conn->closing)
    return;
  conn->closing = true;
  unlink_dirty (conn);
  cds_list_del (&conn->link);
  conn->net->open--;
  uv_close ((uv_handle_t *)&conn->tcp, on_closed);
}

void
jl_conn_fail (struct jl_conn *conn, enum jl_conn_error error)
{
  const struct jl_conn_ops *ops = conn->ops;

  if (conn->closing)
    return;
  if (!conn->finishing && ops != NULL)
    {
      conn->ops = NULL;
      ops->closed (conn->context, conn, error);
    }
  if (!conn->finishing
      || (error != JL_CONN_MALFORMED && error != JL_CONN_TOO_LARGE))
    close_now (conn);
}

static void
mark_dirty (struct jl_conn *conn)
{
  if (conn->dirty || conn->closing)
    return;
  cds_list_add_tail (&conn->dirty_link, &conn->net->dirty);
  conn->dirty = true;
}

static void
on_shutdown (uv_shutdown_t *request, int status)
{
  (void)request;
  (void)status;
}

/* All output is out: end the own side and wait for the peer's end. */
static void
finish_now (struct jl_conn *conn)
{
  if (conn->shut)
    return;
  conn->shut = true;
  conn->wrote_at = conn->net->loop->now_us;
  if (conn->is_client || conn->connecting
      || uv_shutdown (&conn->shutdown, (uv_stream_t *)&conn->tcp, on_shutdown)
             != 0)
    close_now (conn);
}

static void
after_progress (struct jl_conn *conn)
{
  size_t backlog = jl_conn_backlog (conn);

  conn->wrote_at = conn->net->loop->now_us;
  if (backlog == 0 && conn->finishing)
    {
      finish_now (conn);
      return;
    }
  if (conn->over_high && backlog <= JL_CONN_LOW_BYTES)
    {
      conn->over_high = false;
      if (conn->ops != NULL)
        conn->ops->drained (conn->context, conn);
    }
}

static void flush_conn (struct jl_conn *conn);

static void
on_written (uv_write_t *request, int status)
{
  struct jl_conn *conn = request->data;

  if (conn->closing)
    return;
  if (status != 0)
    {
      jl_conn_fail (conn, JL_CONN_RESET);
      return;
    }
  conn->net->counters.bytes_out += conn->sending->len;
  g_byte_array_set_size (conn->sending, 0);
  after_progress (conn);
  if (!conn->closing)
    flush_conn (conn);
}

/* Leaves to libuv what the kernel does not take now. */
static void
send_later (struct jl_conn *conn, size_t done)
{
  GByteArray *rest = conn->out;
  uv_buf_t buffer;

  conn->out = conn->sending;
  conn->sending = rest;
  if (done > 0)
    g_byte_array_remove_range (rest, 0, (guint)done);
  buffer = uv_buf_init ((char *)rest->data, rest->len);
  conn->write.data = conn;
  if (uv_write (&conn->write, (uv_stream_t *)&conn->tcp, &buffer, 1, on_written)
      != 0)
    jl_conn_fail (conn, JL_CONN_RESET);
}

static void
flush_conn (struct jl_conn *conn)
{
  uv_buf_t buffer;
  int done;

  if (conn->connecting || conn->sending->len > 0 || conn->out->len == 0)
    return;
  conn->touched = true;
  buffer = uv_buf_init ((char *)conn->out->data, conn->out->len);
  done = uv_try_write ((uv_stream_t *)&conn->tcp, &buffer, 1);
  if (done < 0 && done != UV_EAGAIN)
    {
      jl_conn_fail (conn, JL_CONN_RESET);
      return;
    }
  if (done > 0)
    conn->net->counters.bytes_out += (size_t)done;
  if (done < (int)conn->out->len)
    {
      send_later (conn, done > 0 ? (size_t)done : 0);
      return;
    }
  g_byte_array_set_size (conn->out, 0);
  after_progress (conn);
}

static void
flush_all (void *context)
{
  struct jl_net *net = context;

  while (!cds_list_empty (&net->dirty))
    {
      struct jl_conn *conn
          = cds_list_first_entry (&net->dirty, struct jl_conn, dirty_link);

      unlink_dirty (conn);
      flush_conn (conn);
    }
}

struct jl_net *
jl_net_new (struct jl_loop *loop)
{
  struct jl_net *net = g_new0 (struct jl_net, 1);

  net->loop = loop;
  CDS_INIT_LIST_HEAD (&net->conns);
  CDS_INIT_LIST_HEAD (&net->dirty);
  jl_net_limits (net, HEAD_BYTES_DEFAULT, HEAD_TIMEOUT_DEFAULT_US,
                 IDLE_TIMEOUT_DEFAULT_US);
  loop->flush = flush_all;
  loop->flush_context = net;
  return net;
}

void
jl_net_limits (struct jl_net *net,
               size_t head_bytes,
               uint64_t head_timeout_us,
               uint64_t idle_timeout_us)
{
  net->head_bytes = head_bytes;
  net->head_timeout_us = head_timeout_us;
  net->idle_timeout_us = idle_timeout_us;
}

const struct jl_net_counters *
jl_net_counters (const struct jl_net *net)
{
  return &net->counters;
}

unsigned
jl_net_open (const struct jl_net *net)
{
  return net->open;
}

static bool
is_older (uint64_t now_us, uint64_t since, uint64_t age_us)
{
  return now_us > since && now_us - since > age_us;
}

static void
time_out_head (struct jl_conn *conn)
{
  static const char answer[] = "HTTP/1.1 408 Request Timeout\r\n"
                               "Content-Length: 0\r\nConnection: close\r\n\r\n";
  const struct jl_conn_ops *ops = conn->ops;

  conn->ops = NULL;
  jl_conn_write (conn, answer, sizeof answer - 1);
  if (ops != NULL)
    ops->closed (conn->context, conn, JL_CONN_CLOSED);
  if (!conn->closing)
    jl_conn_finish (conn);
}

static uint64_t
idle_timeout (const struct jl_conn *conn)
{
  return conn->idle_timeout_us != 0 ? conn->idle_timeout_us
                                    : conn->net->idle_timeout_us;
}

static void
sweep_conn (struct jl_conn *conn, uint64_t now_us)
{
  const struct jl_net *net = conn->net;

  if (conn->shut && is_older (now_us, conn->wrote_at, LINGER_US))
    close_now (conn);
  else if (jl_conn_backlog (conn) > 0
           && is_older (now_us, conn->wrote_at, STALLED_US))
    jl_conn_fail (conn, JL_CONN_RESET);
  else if (conn->is_client || conn->finishing || conn->waiting || conn->in_body)
    return;
  else if (conn->in_head
           && is_older (now_us, conn->head_since, net->head_timeout_us))
    time_out_head (conn);
  else if (!conn->in_head
           && is_older (now_us, conn->read_at, idle_timeout (conn)))
    jl_conn_fail (conn, JL_CONN_CLOSED);
}

void
jl_net_sweep (struct jl_net *net)
{
  struct jl_conn *conn;
  struct jl_conn *next;

  cds_list_for_each_entry_safe (conn, next, &net->conns, link)
      sweep_conn (conn, net->loop->now_us);
}

static void
on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  struct jl_conn *conn = handle->data;

  (void)size;
  *buffer = uv_buf_init (conn->net->buffer, READ_SIZE);
}

/*
 * libuv takes a hang-up after a partial read for the end of the input, also
 * when the peer has reset the connection.
 */
static bool
was_reset (const struct jl_conn *conn)
{
  uv_os_fd_t fd;
  char byte;

  if (uv_fileno ((const uv_handle_t *)&conn->tcp, &fd) != 0)
    return true;
  return recv (fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) < 0
         && errno != EAGAIN;
}

static void
on_end_of_input (struct jl_conn *conn, ssize_t status)
{
  if (status == UV_EOF && conn->in_body && was_reset (conn))
    status = UV_ECONNRESET;
  if (conn->finishing)
    {
      close_now (conn);
      return;
    }
  if (status == UV_EOF && !conn->waiting && conn->in_body)
    jl_conn_parse (conn, NULL, 0);
  if (!conn->closing && !conn->finishing)
    jl_conn_fail (conn, status == UV_EOF ? JL_CONN_CLOSED : JL_CONN_RESET);
}

static void
on_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
  struct jl_conn *conn = stream->data;

  if (conn->closing || size == 0)
    return;
  if (size < 0)
    {
      on_end_of_input (conn, size);
      return;
    }
  conn->net->counters.bytes_in += (size_t)size;
  conn->read_at = conn->net->loop->now_us;
  if (!conn->finishing)
    jl_conn_parse (conn, buffer->base, (size_t)size);
}

static void
update_reading (struct jl_conn *conn)
{
  bool want = !conn->held && !conn->connecting && !conn->closing;

  if (want == conn->reading)
    return;
  conn->reading = want;
  if (want)
    uv_read_start ((uv_stream_t *)&conn->tcp, on_alloc, on_read);
  else
    uv_read_stop ((uv_stream_t *)&conn->tcp);
}

static struct jl_conn *
new_conn (struct jl_net *net, bool is_client)
{
  struct jl_conn *conn = g_new0 (struct jl_conn, 1);

  conn->net = net;
  conn->is_client = is_client;
  conn->out = g_byte_array_new ();
  conn->sending = g_byte_array_new ();
  conn->stash = g_byte_array_new ();
  conn->read_at = net->loop->now_us;
  conn->wrote_at = net->loop->now_us;
  jl_head_init (&conn->head);
  jl_conn_parse_init (conn);
  uv_tcp_init_ex (&net->loop->uv, &conn->tcp, is_client ? AF_INET : AF_UNSPEC);
  conn->tcp.data = conn;
  cds_list_add_tail (&conn->link, &net->conns);
  net->open++;
  return conn;
}

static void
set_options (struct jl_conn *conn)
{
  int timeout = USER_TIMEOUT_MS;
  int gap = PROBE_GAP_S;
  int count = PROBE_COUNT;
  uv_os_fd_t fd;

  uv_tcp_nodelay (&conn->tcp, 1);
  if (!conn->is_client || uv_fileno ((uv_handle_t *)&conn->tcp, &fd) != 0)
    return;
  uv_tcp_keepalive (&conn->tcp, 1, PROBE_AFTER_S);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &gap, sizeof gap);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

/* A listening socket; lives as long as the process. */
struct listener
{
  uv_tcp_t tcp;
  struct jl_net *net;
  JL_ACCEPT_FN (accept);
  void *context;
};

static void
read_peer (struct jl_conn *conn)
{
  struct sockaddr_in address;
  int size = sizeof address;

  if (uv_tcp_getpeername (&conn->tcp, (struct sockaddr *)&address, &size) != 0)
    return;
  conn->peer.ip = ntohl (address.sin_addr.s_addr);
  conn->peer.port = ntohs (address.sin_port);
}

static void
on_connection (uv_stream_t *server, int status)
{
  struct listener *listener = server->data;
  struct jl_conn *conn;

  if (status != 0)
    return;
  conn = new_conn (listener->net, false);
  if (uv_accept (server, (uv_stream_t *)&conn->tcp) != 0)
    {
      close_now (conn);
      return;
    }
  listener->net->counters.accepted++;
  set_options (conn);
  read_peer (conn);
  listener->accept (listener->context, conn);
  update_reading (conn);
}

static struct sockaddr_in
socket_address (struct jl_endpoint endpoint)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (endpoint.ip);
  address.sin_port = htons (endpoint.port);
  return address;
}

bool
jl_net_listen (struct jl_net *net,
               struct jl_endpoint endpoint,
               JL_ACCEPT_FN (accept),
               void *context,
               const char **why)
{
  struct sockaddr_in address = socket_address (endpoint);
  struct listener *listener = g_new0 (struct listener, 1);
  int status;

  listener->net = net;
  listener->accept = accept;
  listener->context = context;
  uv_tcp_init (&net->loop->uv, &listener->tcp);
  listener->tcp.data = listener;
  status = uv_tcp_bind (&listener->tcp, (const struct sockaddr *)&address, 0);
  if (status == 0)
    status = uv_listen ((uv_stream_t *)&listener->tcp, LISTEN_BACKLOG,
                        on_connection);
  if (status != 0)
    *why = uv_strerror (status);
  return status == 0;
}

static void
on_connected (uv_connect_t *request, int status)
{
  struct jl_conn *conn = request->data;

  if (conn->closing)
    return;
  if (status != 0)
    {
      conn->net->counters.connect_failed++;
      jl_conn_fail (conn, JL_CONN_REFUSED);
      return;
    }
  conn->connecting = false;
  conn->net->counters.connected++;
  update_reading (conn);
  mark_dirty (conn);
}

struct jl_conn *
jl_conn_connect (struct jl_net *net,
                 struct jl_endpoint endpoint,
                 const struct jl_conn_ops *ops,
                 void *context)
{
  struct sockaddr_in address = socket_address (endpoint);
  struct jl_conn *conn = new_conn (net, true);

  conn->peer = endpoint;
  conn->connecting = true;
  conn->waiting = true;
  set_options (conn);
  jl_conn_own (conn, ops, context);
  conn->connect.data = conn;
  if (uv_tcp_connect (&conn->connect, &conn->tcp,
                      (const struct sockaddr *)&address, on_connected)
      != 0)
    {
      close_now (conn);
      return NULL;
    }
  return conn;
}

void
jl_conn_own (struct jl_conn *conn, const struct jl_conn_ops *ops, void *context)
{
  conn->ops = ops;
  conn->context = context;
}

struct jl_head *
jl_conn_head (struct jl_conn *conn)
{
  return &conn->head;
}

struct jl_endpoint
jl_conn_peer (const struct jl_conn *conn)
{
  return conn->peer;
}

void
jl_conn_expect (struct jl_conn *conn, bool no_body)
{
  jl_conn_parse_init (conn);
  g_byte_array_set_size (conn->stash, 0);
  conn->no_body = no_body;
  conn->touched = false;
}

bool
jl_conn_dirty (const struct jl_conn *conn)
{
  return conn->stash->len > 0;
}

void
jl_conn_write (struct jl_conn *conn, const char *data, size_t size)
{
  if (conn->closing)
    return;
  if (jl_conn_backlog (conn) == 0)
    conn->wrote_at = conn->net->loop->now_us;
  g_byte_array_append (conn->out, (const guint8 *)data, (guint)size);
  if (jl_conn_backlog (conn) > JL_CONN_HIGH_BYTES)
    conn->over_high = true;
  mark_dirty (conn);
}

void
jl_conn_print (struct jl_conn *conn, const char *format, ...)
{
  va_list arguments;
  char *text;

  va_start (arguments, format);
  text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  jl_conn_write (conn, text, strlen (text));
  g_free (text);
}

void
jl_conn_chunk (struct jl_conn *conn, const char *data, size_t size)
{
  char line[24];
  int length = snprintf (line, sizeof line, "%zx\r\n", size);

  jl_conn_write (conn, line, (size_t)length);
  if (size > 0)
    jl_conn_write (conn, data, size);
  jl_conn_write (conn, "\r\n", 2);
}

size_t
jl_conn_backlog (const struct jl_conn *conn)
{
  return conn->out->len + conn->sending->len;
}

bool
jl_conn_untouched (const struct jl_conn *conn)
{
  return !conn->touched;
}

void
jl_conn_hold (struct jl_conn *conn, bool hold)
{
  conn->held = hold;
  update_reading (conn);
}

void
jl_conn_next (struct jl_conn *conn)
{
  GByteArray *input;

  if (conn->closing || conn->finishing)
    return;
  jl_conn_parse_init (conn);
  conn->read_at = conn->net->loop->now_us;
  jl_conn_hold (conn, false);
  if (conn->stash->len == 0)
    return;
  input = conn->stash;
  conn->stash = g_byte_array_new ();
  jl_conn_parse (conn, (const char *)input->data, input->len);
  g_byte_array_free (input, TRUE);
}

void
jl_conn_finish (struct jl_conn *conn)
{
  if (conn->closing)
    return;
  conn->finishing = true;
  conn->ops = NULL;
  jl_conn_hold (conn, false);
  if (jl_conn_backlog (conn) == 0)
    finish_now (conn);
}

void
jl_conn_abort (struct jl_conn *conn)
{
  conn->ops = NULL;
  close_now (conn);
}

void
jl_conn_set_idle_timeout (struct jl_conn *conn, uint64_t idle_timeout_us)
{
  conn->idle_timeout_us = idle_timeout_us;
}
