/**
 * DOC: Tests of routes with large responses.
 */

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <malloc.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/parts/rig.h"

#define REQUEST "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
/* Timeout of the route of most tests. */
#define ROUTE_TIMEOUT_US (500 * JL_USEC_PER_MSEC)
/* Downloads at once, and the memory that they may take in a daemon that is both
 * their entry and their guard. */
#define DOWNLOADS 200
#define MEMORY_BYTES_MAX (32u << 20)
/* Size of one response, far above what sockets hold. */
#define RESPONSE_BYTES (8u << 20)
/* Receive buffer of a slow caller. */
#define SLOW_CALLER_BYTES 4096

/**
 * struct sender - a daemon beside a target that sends as told
 * @requests: number of requests received
 * @body_bytes: bytes of the body that it sends
 * @length: length that it announces, 0 to reset the connection instead
 * @unfinished: the last request whose response is not complete
 */
struct sender
{
  unsigned requests;
  size_t body_bytes;
  size_t length;
  struct jl_request *unfinished;
};

static void
on_begin (void *context, struct jl_request *request)
{
  struct sender *sender = context;
  char *body = g_malloc0 (sender->body_bytes + 1);

  sender->requests++;
  if (sender->length == 0)
    {
      jl_request_abort (request);
      g_free (body);
      return;
    }
  jl_request_start_response (request, 200, "", true, sender->length);
  jl_request_write_body (request, body, sender->body_bytes);
  g_free (body);
  if (sender->body_bytes == sender->length)
    jl_request_end_response (request);
  else
    sender->unfinished = request;
}

static const struct jl_handler sender_handler = { .begin = on_begin };

static void
install_route (struct rig *rig, const char *service, uint64_t timeout_us)
{
  const struct jl_split split = { service, 1 };
  struct jl_route route = {
    .name = "large",
    .host = "a",
    .prefix = "/",
    .retry_policy = JL_RETRY_POLICY_DOWNLOAD,
    .timeout_us = timeout_us,
    .attempts_max = 2,
    .split_count = 1,
    .split = &split,
  };
  struct jl_site *site = jl_site_new (1);

  jl_site_add_route (site, &route);
  jl_site_seal (site);
  rig->proxy->site = site;
}

static void
open_sender (struct rig *rig, uint16_t port, struct sender *sender)
{
  const char *why = NULL;

  cr_assert_not_null (jl_server_open (rig->store.net, rig_at (rig, port),
                                      &sender_handler, sender, &why));
}

/* Starts a proxy with two daemons of the service "deep" in its zone. */
static void
begin (struct rig *rig, unsigned host, struct sender *first)
{
  rig_prepare (rig, host);
  rig->options.retry_slack = 100;
  rig_start (rig);
  install_route (rig, "deep", ROUTE_TIMEOUT_US);
  open_sender (rig, OTHER_PORT, first);
  rig_add_member (rig, "d7", "z1", "deep");
}

static void
add_second (struct rig *rig, struct sender *second)
{
  struct jl_member *member = rig_add_member (rig, "d8", "z1", "deep");

  open_sender (rig, OTHER_PORT + 1, second);
  member->peer.port = OTHER_PORT + 1;
  member->outstanding = 1;
}

/* Reads all that comes. Returns the number of bytes, and whether the connection
 * has ended in *@ended. */
static size_t
receive_all (struct rig *rig, int fd, bool *ended)
{
  static char buffer[65536];
  size_t total = 0;

  *ended = false;
  for (unsigned i = 0; i < 40; i++)
    {
      ssize_t size;

      rig_run (rig, 5);
      while ((size = recv (fd, buffer, sizeof buffer, MSG_DONTWAIT)) > 0)
        total += (size_t)size;
      *ended |= size == 0 || (size < 0 && errno != EAGAIN);
    }
  return total;
}

Test (download, is_repeated_while_nothing_of_it_has_reached_the_caller)
{
  struct rig rig;
  struct sender first = { 0 };
  struct sender second = { .body_bytes = 1000, .length = 1000 };
  bool ended;

  begin (&rig, 60, &first);
  add_second (&rig, &second);
  cr_assert_gt (
      receive_all (&rig, rig_send_request (&rig, ENTRY_PORT, REQUEST), &ended),
      1000);
  cr_assert_eq (first.requests, 1);
  cr_assert_eq (second.requests, 1);
}

Test (download, that_breaks_off_is_neither_repeated_nor_complete)
{
  struct rig rig;
  struct sender first = { .body_bytes = 200000, .length = 400000 };
  struct sender second = { .body_bytes = 400000, .length = 400000 };
  size_t size;
  bool ended;
  int fd;

  begin (&rig, 61, &first);
  add_second (&rig, &second);
  fd = rig_send_request (&rig, ENTRY_PORT, REQUEST);
  size = receive_all (&rig, fd, &ended);
  cr_assert_gt (size, 100000, "it begins before it is complete");
  cr_assert_not (ended);
  jl_request_abort (first.unfinished);
  size += receive_all (&rig, fd, &ended);
  cr_assert (ended, "the caller learns of it at once");
  cr_assert_lt (size, 400000);
  cr_assert_eq (second.requests, 0);
}

/* A target that stops in the middle of a response holds its slot, and the
 * caller, until the route's timeout and not longer. */
Test (download, that_never_ends_is_broken_off_after_its_timeout)
{
  struct rig rig;
  struct sender sender = { .body_bytes = 200000, .length = 400000 };
  uint64_t due_us;
  bool ended;
  int fd;

  begin (&rig, 62, &sender);
  due_us = jl_now () + ROUTE_TIMEOUT_US;
  fd = rig_send_request (&rig, ENTRY_PORT, REQUEST);
  rig_run (&rig, 200);
  receive_all (&rig, fd, &ended);
  cr_assert (!ended || jl_now () >= due_us, "it is broken off too soon");
  rig_run (&rig, 500);
  receive_all (&rig, fd, &ended);
  cr_assert (ended);
  cr_assert (cds_list_empty (&rig.proxy->calls));
}

/* Sends as much of the responses as the connections take. */
static void
send_responses (struct pollfd *fds, size_t *left, unsigned count)
{
  static char body[65536];

  for (unsigned i = 1; i < count; i++)
    {
      ssize_t size = fds[i].revents == 0
                         ? 0
                         : send (fds[i].fd, body, MIN (sizeof body, left[i]),
                                 MSG_NOSIGNAL | MSG_DONTWAIT);

      left[i] -= size > 0 ? (size_t)size : 0;
      fds[i].events = left[i] > 0 ? POLLOUT : 0;
    }
}

/* The main function of a target in a process of its own: answers each request
 * with RESPONSE_BYTES. */
static void
run_target (int listener)
{
  static struct pollfd fds[DOWNLOADS + 1];
  static size_t left[DOWNLOADS + 1];
  char head[128];
  char request[1024];
  unsigned count = 1;

  fds[0] = (struct pollfd){ .fd = listener, .events = POLLIN };
  g_snprintf (head, sizeof head,
              "HTTP/1.1 200 OK\r\nContent-Length: %u\r\n\r\n", RESPONSE_BYTES);
  while (poll (fds, count, -1) >= 0)
    {
      if (fds[0].revents != 0 && count <= DOWNLOADS)
        {
          int fd = accept (listener, NULL, NULL);

          recv (fd, request, sizeof request, 0);
          send (fd, head, strlen (head), MSG_NOSIGNAL);
          left[count] = RESPONSE_BYTES;
          fds[count++] = (struct pollfd){ .fd = fd, .events = POLLOUT };
        }
      send_responses (fds, left, count);
    }
}

/* Starts the target as a child process. */
static pid_t
start_target (const struct rig *rig)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int yes = 1;
  pid_t child;

  address.sin_addr.s_addr = htonl (rig->options.ip);
  address.sin_port = htons (TARGET_PORT);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  cr_assert_eq (bind (listener, (struct sockaddr *)&address, sizeof address),
                0);
  cr_assert_eq (listen (listener, DOWNLOADS), 0);
  child = fork ();
  if (child == 0)
    {
      run_target (listener);
      _exit (0);
    }
  close (listener);
  return child;
}

static int
send_slow_request (struct rig *rig)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int size = SLOW_CALLER_BYTES;

  address.sin_addr.s_addr = htonl (rig->options.ip);
  address.sin_port = htons (ENTRY_PORT);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  cr_assert_eq (connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  cr_assert_eq (send (fd, REQUEST, strlen (REQUEST), MSG_NOSIGNAL),
                (ssize_t)strlen (REQUEST));
  return fd;
}

static size_t
used_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

Test (download, slow_callers_of_large_responses_take_little_memory)
{
  struct rig rig;
  size_t before;
  size_t most = 0;
  pid_t target;

  rig_prepare (&rig, 63);
  target = start_target (&rig);
  rig_start (&rig);
  install_route (&rig, "front", 60 * JL_USEC_PER_SEC);
  rig_heartbeat (&rig, "i-1", 5, 1);
  rig.proxy->lane.limit = DOWNLOADS;
  before = used_bytes ();
  for (unsigned i = 0; i < DOWNLOADS; i++)
    {
      send_slow_request (&rig);
      rig_run (&rig, 1);
    }
  for (unsigned i = 0; i < 100; i++)
    {
      rig_run (&rig, 10);
      most = MAX (most, used_bytes () - before);
    }
  kill (target, SIGKILL);
  cr_assert_eq (rig.proxy->lane.running, DOWNLOADS);
  cr_assert_lt (most, MEMORY_BYTES_MAX, "%zu bytes", most);
}
