/**
 * DOC: Tests of responses that begin while the request is still being written
 * and are broken off, and of responses with invalid statuses.
 *
 * A part of a response must not reach the client as a complete one, and an
 * invalid status must not reach it at all. The plays act as the target of the
 * proxy, which is reached through its entry or its guard, or as the daemon that
 * the entry sends requests to.
 */

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/parts/raw.h"

/* More than the kernel holds on the way. */
#define UPLOAD_BYTES 24000000
/* Requests per second that a daemon takes, more than a play sends, and requests
 * in progress at one to which none is sent. */
#define CAPACITY 1000000
#define BUSY_OUTSTANDING 1000
/* Attempts to write after which nobody reads any more, and more than the kernel
 * holds. */
#define FLOOD_REFUSED 4
#define FLOOD_BYTES_MAX 80000000
/* Size of the line "4000" in front of a chunk. */
#define CHUNK_LINE_BYTES 6
/* Times that a request is sent. */
#define REQUESTS_MAX 50
/* Time for which a play is given to go on. */
#define PAUSE_MS 30
/* Time after which a connection that does not end is a failure. */
#define WAIT_US (10 * JL_USEC_PER_SEC)

/**
 * enum place - where the responses come from
 * @PLACE_ENTRY: the target, to a request to the entry
 * @PLACE_GUARD: the target, to a request to the guard
 * @PLACE_HOP: another daemon, to a request to the entry
 */
enum place
{
  PLACE_ENTRY,
  PLACE_GUARD,
  PLACE_HOP,
  PLACE_COUNT,
};

/**
 * enum ending - how the connection of the response is reset
 * @ENDING_AT_ONCE: together with the part of the body
 * @ENDING_UNREAD: it is closed while unread parts of the request wait in the
 *                 kernel, which resets it
 * @ENDING_DRAINED: it is closed when all that has arrived of the request was
 *                  read, and reset for what still arrives
 * @ENDING_READ: after the part of the body was read
 * @ENDING_PAUSED: after the proxy has stopped reading, as the client reads
 *                 nothing
 */
enum ending
{
  ENDING_AT_ONCE,
  ENDING_UNREAD,
  ENDING_DRAINED,
  ENDING_READ,
  ENDING_PAUSED,
  ENDING_COUNT,
};

/**
 * struct play - one proxy and the peer that responds
 * @name: of the case, for messages
 * @request_count: number of requests so far, which makes their paths differ
 */
struct play
{
  struct rig rig;
  struct raw_peer peer;
  enum place place;
  char *name;
  unsigned request_count;
};

static const char *const heads[] = {
  "HTTP/1.1 200 OK\r\n",
  "HTTP/1.1 200 OK\r\nContent-Length: 90000000\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
};
/* Sizes of the part of the body: none, a part that is held back, one that is
 * passed on, and one for which reading pauses. */
static const size_t part_sizes[] = { 0, 5, 40000, 400000 };
static const char *const uploads[] = {
  "Content-Length: 24000000\r\n",
  "Transfer-Encoding: chunked\r\n",
};

static void
install_route (struct rig *rig, const char *service)
{
  const struct jl_split split = { service, 1 };
  struct jl_route route = { .name = "early",
                            .host = "a",
                            .prefix = "/",
                            .timeout_us = 20 * JL_USEC_PER_SEC,
                            .attempts_max = 1,
                            .split_count = 1,
                            .split = &split };
  struct jl_site *site = jl_site_new (1);

  jl_site_add_route (site, &route);
  jl_site_seal (site);
  site->body_bytes_max = 2 * (uint64_t)UPLOAD_BYTES;
  rig->proxy->site = site;
}

/* Adds the daemon that responds, and a busy one, which keeps the service from
 * being without any daemon after the first one has failed. */
static void
add_daemons (struct rig *rig)
{
  struct jl_member *busy;

  rig_add_member (rig, "d7", "z1", "deep")->capacity = CAPACITY;
  busy = rig_add_member (rig, "d8", "z1", "deep");
  busy->capacity = CAPACITY;
  busy->peer.port = OTHER_PORT + 1;
  busy->outstanding = BUSY_OUTSTANDING;
}

static void
begin (struct play *play, unsigned host, enum place place)
{
  memset (play, 0, sizeof *play);
  play->place = place;
  rig_prepare (&play->rig, host);
  play->rig.options.heartbeat_us = 60 * JL_USEC_PER_SEC;
  raw_peer_open (&play->peer, &play->rig,
                 place == PLACE_HOP ? OTHER_PORT : TARGET_PORT);
  rig_start (&play->rig);
  install_route (&play->rig, place == PLACE_HOP ? "deep" : "front");
  if (place == PLACE_HOP)
    add_daemons (&play->rig);
  else
    rig_heartbeat (&play->rig, "i-1", 5, 1);
}

static int
send_head (struct play *play, const char *method, const char *fields)
{
  bool at_guard = play->place == PLACE_GUARD;
  char *text = g_strdup_printf (
      "%s /%u HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
      "X-Jackdawladder-Attempt-Id: 1\r\n%s%s\r\n",
      method, play->request_count++, fields,
      at_guard ? JL_WORK_FIELD ": front 1 9000 300 00000001 0\r\n" : "");
  int fd
      = rig_send_request (&play->rig, at_guard ? PEER_PORT : ENTRY_PORT, text);

  g_free (text);
  return fd;
}

/* Writes as much of an upload as there is room for. */
static void
write_upload (int fd, bool chunked)
{
  static char data[16 + 16384 + 2];
  size_t size = 16384;
  size_t sent = 0;
  ssize_t written = 0;

  memset (data, 'u', sizeof data);
  if (chunked)
    {
      g_snprintf (data, sizeof data, "%zx\r\n", size);
      data[CHUNK_LINE_BYTES] = 'u';
      data[CHUNK_LINE_BYTES + size] = '\r';
      data[CHUNK_LINE_BYTES + size + 1] = '\n';
      size += CHUNK_LINE_BYTES + 2;
    }
  while (sent < UPLOAD_BYTES && written >= 0)
    {
      /* A chunk that is cut stays open, since nothing follows. */
      written = send (fd, data, size, MSG_DONTWAIT | MSG_NOSIGNAL);
      if (written > 0)
        sent += (size_t)written;
      if (written < (ssize_t)size)
        return;
    }
}

/* Waits for the request at the peer. Returns -1 if it is refused before, as the
 * entry does when the failures of the plays look like a lack of capacity. */
static int
await_request (struct play *play, int fd)
{
  GString *request = g_string_new (NULL);
  uint64_t end_us = jl_now () + WAIT_US;
  int target = -1;
  char byte;

  while (target < 0 && jl_now () < end_us
         && recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0)
    target = raw_poll_request (&play->rig, &play->peer, request);
  g_string_free (request, TRUE);
  return target;
}

/* Sends a request until it reaches the peer. @upload: fields of a request with
 * a body, NULL for a download. Returns the client's connection. */
static int
send_request (struct play *play, const char *upload, int *target)
{
  int fd = -1;

  *target = -1;
  for (unsigned i = 0; i < REQUESTS_MAX && *target < 0; i++)
    {
      if (fd >= 0)
        {
          raw_reset (fd);
          rig_run (&play->rig, PAUSE_MS);
        }
      raw_forget_failures (&play->rig);
      fd = send_head (play, upload != NULL ? "POST" : "GET",
                      upload != NULL ? upload : "");
      if (upload != NULL)
        write_upload (fd, strstr (upload, "chunked") != NULL);
      *target = await_request (play, fd);
    }
  cr_assert_geq (*target, 0, "%s: no request", play->name);
  return fd;
}

/* Begins a response: its head, and a part of its body. */
static void
send_part (int target, const char *head, size_t size)
{
  GString *text = g_string_new (head);

  g_string_append (text, "X-Jackdawladder-Attempt-Id: 1\r\n\r\n");
  if (strstr (head, "chunked") != NULL)
    g_string_append_printf (text, "%x\r\n", 90000000);
  for (size_t i = 0; i < size; i++)
    g_string_append_c (text, 'x');
  raw_send (target, text->str, text->len);
  g_string_free (text, TRUE);
}

/* Goes on with the body until nobody takes it any more. */
static void
flood (struct play *play, int target)
{
  static const char data[65536];
  unsigned refused = 0;
  ssize_t sent = 0;
  ssize_t written;

  while (refused < FLOOD_REFUSED && sent < FLOOD_BYTES_MAX)
    {
      written = send (target, data, sizeof data, MSG_DONTWAIT | MSG_NOSIGNAL);
      sent += MAX (written, 0);
      refused = written < 0 ? refused + 1 : 0;
      rig_run (&play->rig, written < 0 ? 5 : 1);
    }
  cr_assert_eq (refused, FLOOD_REFUSED, "%s: reading does not pause",
                play->name);
  cr_assert (jl_net_has_unsent_output (play->rig.proxy->net));
}

static void
read_arrived (int target)
{
  static char data[1 << 20];

  while (recv (target, data, sizeof data, MSG_DONTWAIT) > 0)
    ;
}

static void
end_response (struct play *play, int target, enum ending ending)
{
  if (ending == ENDING_READ)
    rig_run (&play->rig, PAUSE_MS);
  else if (ending == ENDING_PAUSED)
    flood (play, target);
  else if (ending == ENDING_DRAINED)
    read_arrived (target);
  if (ending == ENDING_UNREAD || ending == ENDING_DRAINED)
    close (target);
  else
    raw_reset (target);
  if (ending == ENDING_PAUSED)
    rig_run (&play->rig, PAUSE_MS);
}

/* Expects that the client gets nothing that looks like a complete response
 * other than a failure. */
static void
expect_no_success (struct play *play, int fd)
{
  GString *text = g_string_new (NULL);
  struct raw_answer answer = raw_parse (text, false);
  uint64_t end_us = jl_now () + WAIT_US;
  bool is_open = true;

  /* The rest of an upload is awaited after a complete response. */
  while (is_open && !answer.complete && jl_now () < end_us)
    {
      raw_turn (&play->rig);
      is_open = raw_read_available (fd, text);
      raw_answer_clear (&answer);
      answer = raw_parse (text, false);
    }
  cr_expect (!is_open || answer.complete, "%s: no end", play->name);
  cr_expect (!answer.complete || answer.status == 502, "%s: %s", play->name,
             answer.head);
  cr_expect_null (strstr (answer.head, "not-run"), "%s", play->name);
  raw_reset (fd);
  rig_run (&play->rig, 2);
  raw_answer_clear (&answer);
  g_string_free (text, TRUE);
}

static void
play_broken (struct play *play,
             const char *upload,
             const char *head,
             size_t size,
             enum ending ending)
{
  int target;
  int fd;

  play->name = g_strdup_printf ("place %d, ending %d, %zu bytes, %s%s",
                                play->place, ending, size, head,
                                upload != NULL ? upload : "download");
  fd = send_request (play, upload, &target);
  if (upload != NULL)
    rig_run (&play->rig, 5);
  send_part (target, head, size);
  end_response (play, target, ending);
  expect_no_success (play, fd);
  g_free (play->name);
}

static void
play_all_broken (unsigned host, enum place place, bool download)
{
  struct play play;

  begin (&play, host, place);
  for (size_t head = 0; head < G_N_ELEMENTS (heads); head++)
    for (size_t part = 0; part < G_N_ELEMENTS (part_sizes); part++)
      for (enum ending ending = 0; ending < ENDING_COUNT; ending++)
        for (size_t i = 0; i < (download ? 1 : G_N_ELEMENTS (uploads)); i++)
          /* A download has no unread request, and its end would be in order.
           * Reading pauses for large parts only. */
          if ((!download
               || (ending != ENDING_UNREAD && ending != ENDING_DRAINED))
              && (ending != ENDING_PAUSED
                  || part == G_N_ELEMENTS (part_sizes) - 1))
            play_broken (&play, download ? NULL : uploads[i], heads[head],
                         part_sizes[part], ending);
}

Test (early, responses_to_uploads_are_broken_off_at_the_entry, .timeout = 120)
{
  play_all_broken (205, PLACE_ENTRY, false);
}

Test (early, responses_to_uploads_are_broken_off_at_the_guard, .timeout = 120)
{
  play_all_broken (206, PLACE_GUARD, false);
}

Test (early,
      responses_to_uploads_are_broken_off_between_daemons,
      .timeout = 120)
{
  play_all_broken (207, PLACE_HOP, false);
}

Test (early, downloads_are_broken_off, .timeout = 120)
{
  for (enum place place = 0; place < PLACE_COUNT; place++)
    play_all_broken (208 + place, place, true);
}

/* Guards against statuses that a client may read in another way. */
Test (early, invalid_statuses_do_not_reach_clients, .timeout = 120)
{
  static const char *const statuses[]
      = { "000",  "0",    "00",   "099", "99",   "600",  "601", "999",
          "700",  "1000", "2000", "20",  "2",    "200x", "abc", "",
          "-200", "+200", "2e2",  "0x1", "200,", "65736" };
  static const char *const bodies[]
      = { "Content-Length: 2\r\n\r\nok",
          "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "\r\nok" };

  for (enum place place = 0; place < PLACE_COUNT; place++)
    {
      struct play play;

      begin (&play, 211 + place, place);
      for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
        for (size_t body = 0; body < G_N_ELEMENTS (bodies); body++)
          {
            char *text = g_strdup_printf (
                "HTTP/1.1 %s OK\r\nX-Jackdawladder-Attempt-Id: 1\r\n%s",
                statuses[i], bodies[body]);
            int fd;
            int target;

            play.name = text;
            fd = send_request (&play, NULL, &target);
            raw_send (target, text, strlen (text));
            close (target);
            expect_no_success (&play, fd);
            g_free (text);
          }
    }
}
