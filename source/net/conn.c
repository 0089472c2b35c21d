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

/* Connections that the kernel queues for a listener until they are accepted. */
#define LISTEN_BACKLOG_MAX 1024
/* Time after which a connection that is not established is given up. */
#define CONNECT_TIMEOUT_US (2500 * JL_USEC_PER_MSEC)
/*
 * TCP keep-alive: idle time before the first probe, interval between probes,
 * and number of unanswered probes after which the kernel drops the connection.
 */
#define KEEPALIVE_IDLE_S 2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES_MAX 1
/* Time without output progress after which an accepted connection is closed. */
#define WRITE_TIMEOUT_US (10 * JL_USEC_PER_SEC)
/* Time to wait for the peer to close after the output was shut down. */
#define LINGER_TIMEOUT_US (1 * JL_USEC_PER_SEC)
/* Period of checks whether peers have ended connections that are not read. */
#define UNREAD_CHECK_PERIOD_US (100 * JL_USEC_PER_MSEC)
/* Size of an output buffer up to which its memory is kept for further output.
 */
#define OUTPUT_KEPT_BYTES 4096
/* Default limits, in force until jl_net_set_limits() is called. */
#define HEAD_BYTES_MAX_DEFAULT 65536
#define HEAD_TIMEOUT_DEFAULT_US (10 * JL_USEC_PER_SEC)
#define IDLE_TIMEOUT_DEFAULT_US (60 * JL_USEC_PER_SEC)

static void
on_closed (uv_handle_t *handle)
{
  struct jl_conn *conn = handle->data;

  jl_head_clear (&conn->head);
  g_byte_array_free (conn->output, TRUE);
  g_byte_array_free (conn->uv_output, TRUE);
  jl_wipe (conn->pending_input->data, conn->pending_input->len);
  g_byte_array_free (conn->pending_input, TRUE);
  g_free (conn);
}

static void
remove_from_flush_queue (struct jl_conn *conn)
{
  if (!conn->flush_queued)
    return;
  cds_list_del (&conn->flush_link);
  conn->flush_queued = false;
}

static void
remove_from_unread (struct jl_conn *conn)
{
  if (!conn->is_unread)
    return;
  cds_list_del (&conn->unread_link);
  conn->is_unread = false;
}

/* @reset: the peer must not wait for output that is on its way */
static void
close_conn (struct jl_conn *conn, bool reset)
{
  if (conn->closing)
    return;
  conn->closing = true;
  remove_from_flush_queue (conn);
  remove_from_unread (conn);
  cds_list_del (&conn->link);
  conn->net->open_count--;
  if (!reset || uv_tcp_close_reset (&conn->tcp, on_closed) != 0)
    uv_close ((uv_handle_t *)&conn->tcp, on_closed);
}

static void
close_now (struct jl_conn *conn)
{
  close_conn (conn, false);
}

void
jl_conn_fail (struct jl_conn *conn, enum jl_conn_error error)
{
  const struct jl_conn_ops *ops = conn->ops;

  if (conn->closing)
    return;
  if (!conn->closing_after_flush && ops != NULL)
    {
      conn->ops = NULL;
      ops->closed (conn->context, conn, error);
    }
  if (!conn->closing_after_flush
      || (error != JL_CONN_MALFORMED && error != JL_CONN_TOO_LARGE))
    close_now (conn);
}

static void
queue_flush (struct jl_conn *conn)
{
  if (conn->flush_queued || conn->closing)
    return;
  cds_list_add_tail (&conn->flush_link, &conn->net->flush_queue);
  conn->flush_queued = true;
}

static void
on_output_shut (uv_shutdown_t *request, int status)
{
  (void)request;
  (void)status;
}

/*
 * Called when all output is flushed. A server shuts its output down and waits
 * for the peer to close; a client connection is closed immediately.
 */
static void
shut_output_down (struct jl_conn *conn)
{
  if (conn->output_shut)
    return;
  conn->output_shut = true;
  conn->last_write_us = conn->net->loop->now_us;
  if (conn->is_client || conn->connecting
      || uv_shutdown (&conn->shutdown_request, (uv_stream_t *)&conn->tcp,
                      on_output_shut)
             != 0)
    close_now (conn);
}

static void
on_write_progress (struct jl_conn *conn)
{
  size_t backlog = jl_conn_backlog (conn);

  conn->last_write_us = conn->net->loop->now_us;
  if (backlog == 0 && conn->closing_after_flush)
    {
      shut_output_down (conn);
      return;
    }
  if (conn->above_high_water && backlog <= JL_CONN_LOW_WATER_BYTES)
    {
      conn->above_high_water = false;
      if (conn->ops != NULL)
        conn->ops->drained (conn->context, conn);
    }
}

/* Empties a buffer of output, and frees its memory if it has grown large. */
static void
clear_output (GByteArray **output)
{
  if ((*output)->len <= OUTPUT_KEPT_BYTES)
    {
      g_byte_array_set_size (*output, 0);
      return;
    }
  g_byte_array_free (*output, TRUE);
  *output = g_byte_array_new ();
}

static void flush_conn (struct jl_conn *conn);

static void
on_write_done (uv_write_t *request, int status)
{
  struct jl_conn *conn = request->data;

  if (conn->closing)
    return;
  if (status != 0)
    {
      jl_conn_fail (conn, JL_CONN_RESET);
      return;
    }
  conn->net->counters.bytes_out += conn->uv_output->len;
  clear_output (&conn->uv_output);
  on_write_progress (conn);
  if (!conn->closing)
    flush_conn (conn);
}

/* Passes the output after the first @written bytes to libuv. */
static void
write_remaining (struct jl_conn *conn, size_t written)
{
  GByteArray *remaining = conn->output;
  uv_buf_t buffer;

  conn->output = conn->uv_output;
  conn->uv_output = remaining;
  if (written > 0)
    g_byte_array_remove_range (remaining, 0, (guint)written);
  buffer = uv_buf_init ((char *)remaining->data, remaining->len);
  conn->write_request.data = conn;
  if (uv_write (&conn->write_request, (uv_stream_t *)&conn->tcp, &buffer, 1,
                on_write_done)
      != 0)
    jl_conn_fail (conn, JL_CONN_RESET);
}

static void
flush_conn (struct jl_conn *conn)
{
  uv_buf_t buffer;
  int written;

  if (conn->connecting || conn->uv_output->len > 0 || conn->output->len == 0)
    return;
  conn->any_sent = true;
  jl_conn_expect_ack (conn);
  buffer = uv_buf_init ((char *)conn->output->data, conn->output->len);
  written = uv_try_write ((uv_stream_t *)&conn->tcp, &buffer, 1);
  if (written < 0 && written != UV_EAGAIN)
    {
      jl_conn_fail (conn, JL_CONN_RESET);
      return;
    }
  if (written > 0)
    conn->net->counters.bytes_out += (size_t)written;
  if (written < (int)conn->output->len)
    {
      write_remaining (conn, written > 0 ? (size_t)written : 0);
      return;
    }
  clear_output (&conn->output);
  on_write_progress (conn);
}

static void
flush_all (void *context)
{
  struct jl_net *net = context;

  while (!cds_list_empty (&net->flush_queue))
    {
      struct jl_conn *conn = cds_list_first_entry (&net->flush_queue,
                                                   struct jl_conn, flush_link);

      remove_from_flush_queue (conn);
      flush_conn (conn);
    }
}

struct jl_net *
jl_net_new (struct jl_loop *loop)
{
  struct jl_net *net = g_new0 (struct jl_net, 1);

  net->loop = loop;
  CDS_INIT_LIST_HEAD (&net->conns);
  CDS_INIT_LIST_HEAD (&net->flush_queue);
  CDS_INIT_LIST_HEAD (&net->unread);
  jl_net_set_limits (net, HEAD_BYTES_MAX_DEFAULT, HEAD_TIMEOUT_DEFAULT_US,
                     IDLE_TIMEOUT_DEFAULT_US);
  loop->flush = flush_all;
  loop->flush_context = net;
  return net;
}

void
jl_net_set_limits (struct jl_net *net,
                   size_t head_bytes_max,
                   uint64_t head_timeout_us,
                   uint64_t idle_timeout_us)
{
  net->head_bytes_max = head_bytes_max;
  net->head_timeout_us = head_timeout_us;
  net->idle_timeout_us = idle_timeout_us;
}

const struct jl_net_counters *
jl_net_counters (const struct jl_net *net)
{
  return &net->counters;
}

unsigned
jl_net_open_count (const struct jl_net *net)
{
  return net->open_count;
}

bool
jl_net_has_unsent_output (const struct jl_net *net)
{
  const struct jl_conn *conn;

  cds_list_for_each_entry (conn, &net->conns, link)
  {
    if (!conn->is_client && jl_conn_backlog (conn) > 0)
      return true;
  }
  return false;
}

static bool
has_elapsed (uint64_t now_us, uint64_t since_us, uint64_t timeout_us)
{
  return now_us > since_us && now_us - since_us > timeout_us;
}

/* Responds with 408 to a client that did not send its request head in time. */
static void
reject_slow_head (struct jl_conn *conn)
{
  static const char response[]
      = "HTTP/1.1 408 Request Timeout\r\n"
        "Content-Length: 0\r\nConnection: close\r\n\r\n";
  const struct jl_conn_ops *ops = conn->ops;

  conn->ops = NULL;
  jl_conn_write (conn, response, sizeof response - 1);
  if (ops != NULL)
    ops->closed (conn->context, conn, JL_CONN_CLOSED);
  if (!conn->closing)
    jl_conn_close_after_flush (conn);
}

static uint64_t
idle_timeout (const struct jl_conn *conn)
{
  return conn->idle_timeout_us != 0 ? conn->idle_timeout_us
                                    : conn->net->idle_timeout_us;
}

/* Ends a connection to a peer that has not accepted it in time, or that is gone
 * by what it acknowledges. How long an answer may take is up to the owner. */
static void
close_if_lost (struct jl_conn *conn, uint64_t now_us)
{
  if (conn->connecting
      && has_elapsed (now_us, conn->last_write_us, CONNECT_TIMEOUT_US))
    jl_conn_fail (conn, JL_CONN_CONNECT_FAILED);
  else if (!conn->connecting && jl_conn_is_peer_lost (conn, now_us))
    jl_conn_fail (conn, JL_CONN_RESET);
}

static void
close_if_expired (struct jl_conn *conn, uint64_t now_us)
{
  const struct jl_net *net = conn->net;
  size_t backlog = jl_conn_backlog (conn);

  if (conn->is_client)
    close_if_lost (conn, now_us);
  else if (conn->output_shut
           && has_elapsed (now_us, conn->last_write_us, LINGER_TIMEOUT_US))
    close_now (conn);
  else if (backlog > 0
           && has_elapsed (now_us, conn->last_write_us, WRITE_TIMEOUT_US))
    jl_conn_fail (conn, JL_CONN_RESET);
  else if (conn->closing_after_flush || conn->message_complete || conn->in_body)
    return;
  else if (conn->in_head
           && has_elapsed (now_us, conn->head_began_us, net->head_timeout_us))
    reject_slow_head (conn);
  else if (!conn->in_head && backlog == 0
           && has_elapsed (now_us,
                           MAX (conn->last_read_us, conn->last_write_us),
                           idle_timeout (conn)))
    jl_conn_fail (conn, JL_CONN_CLOSED);
}

void
jl_net_close_expired (struct jl_net *net)
{
  struct jl_conn *conn;
  struct jl_conn *next;

  cds_list_for_each_entry_safe (conn, next, &net->conns, link)
      close_if_expired (conn, net->loop->now_us);
}

static void
on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  struct jl_conn *conn = handle->data;

  (void)size;
  *buffer = uv_buf_init (conn->net->read_buffer, READ_BUFFER_BYTES);
}

static void
on_end_of_input (struct jl_conn *conn, ssize_t status)
{
  if (status == UV_EOF && conn->in_body && !jl_conn_ended_in_order (conn))
    status = UV_ECONNRESET;
  if (conn->closing_after_flush)
    {
      close_now (conn);
      return;
    }
  if (status == UV_EOF && !conn->message_complete && conn->in_body)
    jl_conn_parse (conn, "", 0);
  if (!conn->closing && !conn->closing_after_flush)
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
  conn->last_read_us = conn->net->loop->now_us;
  if (!conn->closing_after_flush)
    jl_conn_parse (conn, buffer->base, (size_t)size);
  /* Input may hold API keys, and the buffer lasts. */
  jl_wipe (buffer->base, (size_t)size);
}

/* Ends the connections that are not read and that their peers have ended. What
 * is left to be read belongs to requests that nobody waits for. */
static void
on_unread_timer (void *context, struct jl_timer *timer)
{
  struct jl_net *net = context;
  GPtrArray *ended = g_ptr_array_new ();
  struct jl_conn *conn;

  cds_list_for_each_entry (conn, &net->unread, unread_link)
  {
    if (jl_conn_has_peer_ended (conn))
      g_ptr_array_add (ended, conn);
  }
  /* The owners' callbacks may change the list; connections are freed later. */
  for (guint i = 0; i < ended->len; i++)
    jl_conn_fail (g_ptr_array_index (ended, i), JL_CONN_RESET);
  g_ptr_array_free (ended, TRUE);
  if (!cds_list_empty (&net->unread))
    jl_loop_start_timer (net->loop, timer, UNREAD_CHECK_PERIOD_US,
                         on_unread_timer, net);
}

/* Notes whether an accepted connection is not read, so that its end does not
 * show. */
static void
update_unread (struct jl_conn *conn)
{
  struct jl_net *net = conn->net;

  if (conn->reading || conn->is_client || conn->closing)
    {
      remove_from_unread (conn);
      return;
    }
  if (net->unread_timer.heap_position == 0)
    jl_loop_start_timer (net->loop, &net->unread_timer, UNREAD_CHECK_PERIOD_US,
                         on_unread_timer, net);
  if (!conn->is_unread)
    cds_list_add_tail (&conn->unread_link, &net->unread);
  conn->is_unread = true;
}

/* Starts or stops reading from the socket, as the connection's state requires.
 */
static void
update_reading (struct jl_conn *conn)
{
  bool should_read = !conn->read_paused && !conn->connecting && !conn->closing;

  if (should_read == conn->reading)
    return;
  conn->reading = should_read;
  update_unread (conn);
  if (should_read)
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
  conn->output = g_byte_array_new ();
  conn->uv_output = g_byte_array_new ();
  conn->pending_input = g_byte_array_new ();
  conn->last_read_us = net->loop->now_us;
  conn->last_write_us = net->loop->now_us;
  jl_head_init (&conn->head);
  jl_conn_parse_init (conn);
  uv_tcp_init_ex (&net->loop->uv, &conn->tcp, is_client ? AF_INET : AF_UNSPEC);
  conn->tcp.data = conn;
  cds_list_add_tail (&conn->link, &net->conns);
  net->open_count++;
  return conn;
}

static void
set_options (struct jl_conn *conn)
{
  int interval = KEEPALIVE_INTERVAL_S;
  int count = KEEPALIVE_PROBES_MAX;
  uv_os_fd_t fd;

  uv_tcp_nodelay (&conn->tcp, 1);
  if (!conn->is_client || uv_fileno ((uv_handle_t *)&conn->tcp, &fd) != 0)
    return;
  uv_tcp_keepalive (&conn->tcp, 1, KEEPALIVE_IDLE_S);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
}

/**
 * struct listener - a listening socket, never freed
 */
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
    status = uv_listen ((uv_stream_t *)&listener->tcp, LISTEN_BACKLOG_MAX,
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
      jl_conn_fail (conn, JL_CONN_CONNECT_FAILED);
      return;
    }
  conn->connecting = false;
  conn->net->counters.connected++;
  update_reading (conn);
  queue_flush (conn);
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
  conn->message_complete = true;
  set_options (conn);
  jl_conn_set_owner (conn, ops, context);
  conn->connect_request.data = conn;
  if (uv_tcp_connect (&conn->connect_request, &conn->tcp,
                      (const struct sockaddr *)&address, on_connected)
      != 0)
    {
      close_now (conn);
      return NULL;
    }
  return conn;
}

bool
jl_conn_is_connected (const struct jl_conn *conn)
{
  return !conn->connecting;
}

void
jl_conn_set_owner (struct jl_conn *conn,
                   const struct jl_conn_ops *ops,
                   void *context)
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
jl_conn_start_request (struct jl_conn *conn, bool no_body)
{
  jl_conn_parse_init (conn);
  g_byte_array_set_size (conn->pending_input, 0);
  conn->no_body = no_body;
  conn->any_sent = false;
}

bool
jl_conn_has_extra_input (const struct jl_conn *conn)
{
  return conn->pending_input->len > 0;
}

bool
jl_conn_mark (struct jl_conn *conn, uint64_t mark)
{
  if (conn->mark_count == JL_CONN_MARKS_MAX)
    return false;
  conn->marks[conn->mark_count++] = mark;
  return true;
}

bool
jl_conn_has_mark (const struct jl_conn *conn, uint64_t mark)
{
  for (unsigned i = 0; i < conn->mark_count; i++)
    if (conn->marks[i] == mark)
      return true;
  return false;
}

bool
jl_conn_has_unread_input (const struct jl_conn *conn)
{
  uv_os_fd_t fd;
  char byte;

  if (uv_fileno ((const uv_handle_t *)&conn->tcp, &fd) != 0)
    return true;
  return recv (fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) >= 0
         || (errno != EAGAIN && errno != EINTR);
}

void
jl_conn_write (struct jl_conn *conn, const char *data, size_t size)
{
  if (conn->closing)
    return;
  if (jl_conn_backlog (conn) == 0)
    conn->last_write_us = conn->net->loop->now_us;
  g_byte_array_append (conn->output, (const guint8 *)data, (guint)size);
  if (jl_conn_backlog (conn) > JL_CONN_HIGH_WATER_BYTES)
    conn->above_high_water = true;
  queue_flush (conn);
}

void
jl_conn_printf (struct jl_conn *conn, const char *format, ...)
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
jl_conn_write_chunk (struct jl_conn *conn, const char *data, size_t size)
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
  return conn->output->len + conn->uv_output->len;
}

bool
jl_conn_is_unsent (const struct jl_conn *conn)
{
  return !conn->any_sent;
}

void
jl_conn_set_read_paused (struct jl_conn *conn, bool paused)
{
  conn->read_paused = paused;
  update_reading (conn);
}

void
jl_conn_read_next (struct jl_conn *conn)
{
  GByteArray *input;

  if (conn->closing || conn->closing_after_flush)
    return;
  jl_conn_parse_init (conn);
  conn->last_read_us = conn->net->loop->now_us;
  jl_conn_set_read_paused (conn, false);
  if (conn->pending_input->len == 0)
    return;
  input = conn->pending_input;
  conn->pending_input = g_byte_array_new ();
  jl_conn_parse (conn, (const char *)input->data, input->len);
  jl_wipe (input->data, input->len);
  g_byte_array_free (input, TRUE);
}

void
jl_conn_close_after_flush (struct jl_conn *conn)
{
  if (conn->closing)
    return;
  conn->closing_after_flush = true;
  conn->ops = NULL;
  jl_conn_set_read_paused (conn, false);
  if (jl_conn_backlog (conn) == 0)
    shut_output_down (conn);
}

void
jl_conn_abort (struct jl_conn *conn)
{
  bool reset
      = conn->is_client && !conn->connecting && !conn->closing
        && (jl_conn_backlog (conn) > 0 || jl_conn_has_unacked_output (conn));

  conn->ops = NULL;
  close_conn (conn, reset);
}

void
jl_conn_set_idle_timeout (struct jl_conn *conn, uint64_t idle_timeout_us)
{
  conn->idle_timeout_us = idle_timeout_us;
}
