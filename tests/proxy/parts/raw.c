/**
 * DOC: Raw sockets beside a rig.
 */

#include "proxy/parts/raw.h"

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time after which a function that waits gives up. */
#define WAIT_US (10 * JL_USEC_PER_SEC)
/* Iterations of an event loop after which nothing is ready any more. */
#define TURN_ITERATIONS 4

void
raw_peer_open (struct raw_peer *peer, const struct rig *rig, uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int yes = 1;

  peer->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  peer->waiting = g_array_new (FALSE, FALSE, sizeof (int));
  address.sin_addr.s_addr = htonl (rig->options.ip);
  address.sin_port = htons (port);
  setsockopt (peer->listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  cr_assert_eq (
      bind (peer->listener, (struct sockaddr *)&address, sizeof address), 0);
  cr_assert_eq (listen (peer->listener, 16), 0);
}

void
raw_turn (struct rig *rig)
{
  for (unsigned i = 0; i < TURN_ITERATIONS; i++)
    {
      uv_run (&rig->proxy->loop->uv, UV_RUN_NOWAIT);
      uv_run (&rig->store.loop->uv, UV_RUN_NOWAIT);
    }
}

bool
raw_read_available (int fd, GString *text)
{
  char data[16384];
  ssize_t size = recv (fd, data, sizeof data, MSG_DONTWAIT);

  if (size > 0)
    g_string_append_len (text, data, size);
  return size > 0 || (size < 0 && errno == EAGAIN);
}

static void
accept_waiting (struct raw_peer *peer)
{
  int fd;

  while ((fd = accept (peer->listener, NULL, NULL)) >= 0)
    g_array_append_val (peer->waiting, fd);
}

/* Returns a connection with a request, -1 if there is none yet. */
static int
find_request (struct raw_peer *peer, GString *request)
{
  for (guint i = peer->waiting->len; i > 0; i--)
    {
      int fd = g_array_index (peer->waiting, int, i - 1);
      bool is_open = raw_read_available (fd, request);

      if (is_open && request->len == 0)
        continue;
      g_array_remove_index (peer->waiting, i - 1);
      if (is_open)
        return fd;
      close (fd);
    }
  return -1;
}

int
raw_poll_request (struct rig *rig, struct raw_peer *peer, GString *request)
{
  raw_turn (rig);
  accept_waiting (peer);
  return find_request (peer, request);
}

int
raw_accept_request (struct rig *rig, struct raw_peer *peer, GString *request)
{
  uint64_t end_us = jl_now () + WAIT_US;
  int fd = -1;

  while (fd < 0 && jl_now () < end_us)
    fd = raw_poll_request (rig, peer, request);
  while (fd >= 0 && strstr (request->str, "\r\n\r\n") == NULL
         && jl_now () < end_us)
    {
      raw_turn (rig);
      raw_read_available (fd, request);
    }
  return fd;
}

bool
raw_read_all (struct rig *rig, int fd, GString *text)
{
  uint64_t end_us = jl_now () + WAIT_US;

  while (raw_read_available (fd, text))
    {
      if (jl_now () > end_us)
        return false;
      raw_turn (rig);
    }
  return true;
}

void
raw_send (int fd, const char *data, size_t size)
{
  cr_assert_eq (send (fd, data, size, MSG_NOSIGNAL | MSG_DONTWAIT),
                (ssize_t)size);
}

void
raw_reset (int fd)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
}

/* Decodes a chunked body without trailers. */
static void
parse_chunks (struct raw_answer *answer, const char *data, const char *end)
{
  while (data < end && memchr (data, '\n', (size_t)(end - data)) != NULL)
    {
      char *line_end;
      size_t size = strtoul (data, &line_end, 16);

      if (memcmp (line_end, "\r\n", 2) != 0
          || size + 2 > (size_t)(end - line_end) - 2)
        return;
      data = line_end + 2;
      g_string_append_len (answer->body, data, (gssize)size);
      data += size;
      if (memcmp (data, "\r\n", 2) != 0)
        return;
      data += 2;
      if (size > 0)
        continue;
      answer->complete = true;
      answer->extra = data < end;
      return;
    }
}

struct raw_answer
raw_parse (const GString *text, bool no_body)
{
  struct raw_answer answer = { .body = g_string_new (NULL) };
  const char *body = strstr (text->str, "\r\n\r\n");
  const char *end = text->str + text->len;
  const char *field;
  size_t size;

  answer.head
      = g_strndup (text->str, body != NULL ? (gsize)(body + 2 - text->str) : 0);
  if (body == NULL)
    return answer;
  body += 4;
  sscanf (text->str, "HTTP/1.1 %u", &answer.status);
  if (no_body || answer.status == 204 || answer.status == 304)
    {
      answer.complete = true;
      answer.extra = body < end;
      return answer;
    }
  if (strstr (answer.head, "\r\nTransfer-Encoding: chunked\r\n") != NULL)
    {
      parse_chunks (&answer, body, end);
      return answer;
    }
  field = strstr (answer.head, "\r\nContent-Length: ");
  if (field == NULL)
    return answer;
  size = strtoul (field + strlen ("\r\nContent-Length: "), NULL, 10);
  answer.complete = size <= (size_t)(end - body);
  answer.extra = size < (size_t)(end - body);
  g_string_append_len (answer.body, body,
                       (gssize)MIN (size, (size_t)(end - body)));
  return answer;
}

void
raw_answer_clear (struct raw_answer *answer)
{
  g_free (answer->head);
  g_string_free (answer->body, TRUE);
}

void
raw_forget_failures (struct rig *rig)
{
  const GPtrArray *members = rig->proxy->roster.members;

  for (guint i = 0; i < members->len; i++)
    {
      struct jl_member *member = g_ptr_array_index (members, i);

      member->failed_us = 0;
      member->last_beacon_us = jl_now ();
    }
}
