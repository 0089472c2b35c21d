/**
 * DOC: The control endpoint: a UDP socket and a receiving thread.
 */

#include "jackdawladder/control.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "wire.h"

/* Socket buffer; holds the datagrams of a full member list. */
#define RECEIVE_BUFFER_BYTES (1024 * 1024)

GQuark
jl_control_error_quark (void)
{
  return g_quark_from_static_string ("jl-control-error");
}

/**
 * struct jl_control - a control endpoint
 * @socket: UDP socket, also used for sending
 * @stop_event: event descriptor; becomes readable when the thread is to end
 * @receive: called on the receiving thread for each valid message
 * @next_call_id: RPC transaction identifier of the next message sent
 */
struct jl_control
{
  int socket;
  int stop_event;
  pthread_t thread;
  JL_CONTROL_FN (receive);
  void *context;
  _Atomic uint32_t next_call_id;
  _Atomic uint64_t sent;
  _Atomic uint64_t sent_bytes;
  _Atomic uint64_t received;
  _Atomic uint64_t received_bytes;
  _Atomic uint64_t malformed;
};

/* Receives and decodes datagrams until the socket buffer is empty. */
static void
receive_all (struct jl_control *control)
{
  /* One byte more than the maximum, to detect a datagram that is too long. */
  _Alignas(8) uint8_t data[JL_WIRE_BYTES_MAX + 1];
  struct jl_message message;
  ssize_t size;

  while ((size = recv (control->socket, data, sizeof data, MSG_DONTWAIT)) >= 0)
    {
      control->received++;
      control->received_bytes += (uint64_t)size;
      if (jl_wire_decode (data, (size_t)size, &message))
        control->receive (control->context, &message);
      else
        control->malformed++;
    }
}

static void *
receive_loop (void *context)
{
  struct jl_control *control = context;
  struct pollfd fds[2] = { { .fd = control->socket, .events = POLLIN },
                           { .fd = control->stop_event, .events = POLLIN } };

  for (;;)
    {
      if (poll (fds, 2, -1) < 0 && errno != EINTR)
        g_error ("poll: %s", g_strerror (errno));
      if (fds[1].revents != 0)
        return NULL;
      if (fds[0].revents != 0)
        receive_all (control);
      fds[0].revents = 0;
    }
}

static struct sockaddr_in
to_sockaddr (struct jl_endpoint endpoint)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (endpoint.ip);
  address.sin_port = htons (endpoint.port);
  return address;
}

static bool
bind_socket (struct jl_control *control,
             struct jl_endpoint local,
             GError **error)
{
  struct sockaddr_in address = to_sockaddr (local);
  int buffer_size = RECEIVE_BUFFER_BYTES;
  char text[JL_ENDPOINT_TEXT_SIZE];

  control->socket = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (control->socket >= 0
      && bind (control->socket, (struct sockaddr *)&address, sizeof address)
             == 0)
    {
      setsockopt (control->socket, SOL_SOCKET, SO_RCVBUF, &buffer_size,
                  sizeof buffer_size);
      return true;
    }
  jl_endpoint_format (local, text);
  g_set_error (error, JL_CONTROL_ERROR, JL_CONTROL_ERROR_BIND, "%s: %s", text,
               g_strerror (errno));
  return false;
}

static bool
start_thread (struct jl_control *control, GError **error)
{
  int result;

  control->stop_event = eventfd (0, EFD_CLOEXEC);
  result = control->stop_event < 0
               ? errno
               : pthread_create (&control->thread, NULL, receive_loop, control);
  if (result == 0)
    return true;
  g_set_error (error, JL_CONTROL_ERROR, JL_CONTROL_ERROR_THREAD,
               "cannot start the receiving thread: %s", g_strerror (result));
  return false;
}

static void
free_control (struct jl_control *control)
{
  if (control->socket >= 0)
    close (control->socket);
  if (control->stop_event >= 0)
    close (control->stop_event);
  g_free (control);
}

struct jl_control *
jl_control_open (struct jl_endpoint local,
                 JL_CONTROL_FN (receive),
                 void *context,
                 GError **error)
{
  struct jl_control *control = g_new0 (struct jl_control, 1);

  control->stop_event = -1;
  control->receive = receive;
  control->context = context;
  if (bind_socket (control, local, error) && start_thread (control, error))
    return control;
  free_control (control);
  return NULL;
}

void
jl_control_close (struct jl_control *control)
{
  uint64_t one = 1;

  if (write (control->stop_event, &one, sizeof one) != sizeof one)
    g_error ("eventfd: %s", g_strerror (errno));
  pthread_join (control->thread, NULL);
  free_control (control);
}

void
jl_control_send (struct jl_control *control,
                 struct jl_endpoint to,
                 const struct jl_message *message)
{
  struct sockaddr_in address = to_sockaddr (to);
  _Alignas(8) uint8_t data[JL_WIRE_BYTES_MAX];
  size_t size = jl_wire_encode (message, control->next_call_id++, data);

  if (size == 0
      || sendto (control->socket, data, size, MSG_DONTWAIT,
                 (struct sockaddr *)&address, sizeof address)
             < 0)
    return;
  control->sent++;
  control->sent_bytes += size;
}

void
jl_control_get_counts (struct jl_control *control,
                       struct jl_control_counts *counts)
{
  counts->sent = control->sent;
  counts->sent_bytes = control->sent_bytes;
  counts->received = control->received;
  counts->received_bytes = control->received_bytes;
  counts->malformed = control->malformed;
}
