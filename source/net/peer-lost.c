/**
 * DOC: Whether the peer of a connection is gone, and whether it has ended the
 * connection in order.
 *
 * TCP_USER_TIMEOUT does not tell a peer that is gone from one that is alive and
 * reads nothing while it works: the kernel ends both connections. The latter
 * acknowledges each window probe, though.
 */

#include "conn-impl.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

/* Time without any acknowledgement after which a peer may be gone. */
#define ACK_TIMEOUT_US (2500 * JL_USEC_PER_MSEC)

bool
jl_ack_is_overdue (const struct jl_ack_state *state)
{
  /* A peer that is alive acknowledges the last transmission before the next one
   * is due. Half an interval more is for one that was lost on its way. */
  uint64_t timeout_us
      = MAX (ACK_TIMEOUT_US, state->interval_us + state->interval_us / 2);

  return state->unanswered > 0 && state->waited_us >= timeout_us
         && state->quiet_us >= timeout_us;
}

void
jl_conn_expect_ack (struct jl_conn *conn)
{
  if (conn->awaits_ack || !conn->is_client)
    return;
  conn->awaits_ack = true;
  conn->unacked_since_us = conn->net->loop->now_us;
}

/* Whether the kernel has output that the peer has not acknowledged. */
static bool
has_unacked_output (uv_os_fd_t fd)
{
  int size = 0;

  return ioctl (fd, TIOCOUTQ, &size) == 0 && size > 0;
}

bool
jl_conn_has_unacked_output (const struct jl_conn *conn)
{
  uv_os_fd_t fd;

  return uv_fileno ((const uv_handle_t *)&conn->tcp, &fd) == 0
         && has_unacked_output (fd);
}

bool
jl_conn_has_peer_ended (const struct jl_conn *conn)
{
  struct tcp_info info;
  socklen_t size = sizeof info;
  uv_os_fd_t fd;

  if (uv_fileno ((const uv_handle_t *)&conn->tcp, &fd) != 0
      || getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return true;
  return info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE;
}

/*
 * libuv reports a hang-up after a partial read as the end of the input, even if
 * the peer has reset the connection. Reading from the socket directly tells the
 * two cases apart.
 */
static bool
reports_reset (uv_os_fd_t fd)
{
  char byte;

  return recv (fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) < 0
         && errno != EAGAIN;
}

/* Whether the kernel has closed the connection, as it does if a reset follows
 * the end of the input; reading then reports the end of the input only. */
static bool
is_closed (uv_os_fd_t fd)
{
  struct tcp_info info;
  socklen_t size = sizeof info;

  return getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0
         || info.tcpi_state == TCP_CLOSE;
}

bool
jl_conn_ended_in_order (const struct jl_conn *conn)
{
  uv_os_fd_t fd;

  return jl_conn_backlog (conn) == 0
         && uv_fileno ((const uv_handle_t *)&conn->tcp, &fd) == 0
         && !reports_reset (fd) && !is_closed (fd) && !has_unacked_output (fd);
}

static bool
read_ack_state (uv_os_fd_t fd, struct jl_ack_state *state)
{
  struct tcp_info info;
  socklen_t size = sizeof info;

  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return false;
  state->unacked = info.tcpi_unacked > 0;
  state->unanswered = state->unacked ? info.tcpi_retransmits : info.tcpi_probes;
  state->interval_us = info.tcpi_rto;
  /* The interval of retransmissions includes the back-off, that of probes of a
   * closed window does not. */
  if (!state->unacked)
    state->interval_us <<= MIN (info.tcpi_backoff, 16);
  state->quiet_us = info.tcpi_last_ack_recv * JL_USEC_PER_MSEC;
  return true;
}

bool
jl_conn_is_peer_lost (struct jl_conn *conn, uint64_t now_us)
{
  struct jl_ack_state state = { 0 };
  uv_os_fd_t fd;

  if (!conn->awaits_ack
      || uv_fileno ((const uv_handle_t *)&conn->tcp, &fd) != 0)
    return false;
  conn->awaits_ack = has_unacked_output (fd);
  if (!conn->awaits_ack || !read_ack_state (fd, &state))
    return false;
  state.waited_us = now_us - MIN (now_us, conn->unacked_since_us);
  return jl_ack_is_overdue (&state);
}
