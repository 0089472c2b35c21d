/**
 * DOC: Tests of many responses without end at once, from daemons as senders.
 */

#include <criterion/criterion.h>

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/parts/raw.h"

/* Callers at once of each kind of response. */
#define CALLERS 150
/* Most time of a play; the requests expire much earlier. */
#define PLAY_MAX_US (20 * JL_USEC_PER_SEC)
/* Most memory that all of them may take: half of a small instance's. */
#define MEMORY_KB_MAX (80L << 10)
#define BLOCK_BYTES 16384
#define BEGIN                                                                  \
  "HTTP/1.1 200 OK\r\nX-Jackdawladder-Attempt-Id: 1\r\n"                       \
  "X-Jackdawladder-Server-Seal: s\r\n"
#define CHUNKED BEGIN "Transfer-Encoding: chunked\r\n\r\n"

/**
 * struct kind - a response without end
 * @begin: how it begins
 * @repeated: what follows again and again
 * @is_body: it is a response whose body has no end, which is passed on
 */
struct kind
{
  const char *begin;
  const char *repeated;
  bool is_body;
};

static const struct kind kinds[] = {
  { "", "HTTP/1.1 102 Wait\r\n\r\n", false },
  { "", "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n", false },
  { "", "x", false },
  { "HTTP/1.1 200 ", "x", false },
  { BEGIN "X-Field: ", "x", false },
  { BEGIN, "X-Field: x\r\n", false },
  { BEGIN "\r\n", "x", true },
  { BEGIN "Content-Length: 9000000000\r\n\r\n", "x", true },
  { CHUNKED, "1\r\nx\r\n", true },
  { CHUNKED, "0", false },
  { CHUNKED "1;a=", "x", false },
  { CHUNKED "1\r\nx\r\n0\r\n", "X-Field: x\r\n", false },
};

/**
 * struct sender - connections on which a daemon sends without end
 * @fds: array of int
 * @block: what is sent next on each
 * @ended: connections that the proxy has closed
 */
struct sender
{
  GArray *fds;
  GString *block;
  unsigned ended;
};

static void
install_route (struct rig *rig)
{
  const struct jl_split split = { "deep", 1 };
  struct jl_route route = {
    .name = "endless",
    .host = "a",
    .prefix = "/",
    .retry_policy = JL_RETRY_POLICY_IDEMPOTENT,
    .timeout_us = 1500 * JL_USEC_PER_MSEC,
    .attempts_max = 1,
    .split_count = 1,
    .split = &split,
  };
  struct jl_site *site = jl_site_new (1);

  jl_site_add_route (site, &route);
  jl_site_seal (site);
  site->body_bytes_max = 1000;
  rig->proxy->site = site;
}

static long
memory_kb (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

/* Begins the response to each request that has arrived. */
static void
accept_requests (struct rig *rig,
                 struct raw_peer *peer,
                 const struct kind *kind,
                 struct sender *sender)
{
  GString *head = g_string_new (NULL);
  int fd;

  while ((fd = raw_poll_request (rig, peer, head)) >= 0)
    {
      send (fd, kind->begin, strlen (kind->begin), MSG_NOSIGNAL | MSG_DONTWAIT);
      g_array_append_val (sender->fds, fd);
    }
  g_string_free (head, TRUE);
}

static void
send_blocks (struct sender *sender)
{
  for (guint i = 0; i < sender->fds->len; i++)
    {
      int *fd = &g_array_index (sender->fds, int, i);

      if (*fd < 0
          || send (*fd, sender->block->str, sender->block->len,
                   MSG_NOSIGNAL | MSG_DONTWAIT)
                 >= 0
          || errno == EAGAIN)
        continue;
      close (*fd);
      *fd = -1;
      sender->ended++;
    }
}

/* Returns the status that a caller has got, 0 for none. */
static unsigned
status_at (int fd)
{
  char text[64] = "";
  unsigned status = 0;

  if (recv (fd, text, sizeof text - 1, MSG_DONTWAIT | MSG_PEEK) > 0)
    sscanf (text, "HTTP/1.1 %u", &status);
  return status;
}

static bool
are_all_answered (const int *callers)
{
  for (unsigned i = 0; i < CALLERS; i++)
    if (status_at (callers[i]) == 0)
      return false;
  return true;
}

/* The callers do not read before the play is over. */
static void
play (struct rig *rig,
      struct raw_peer *peer,
      struct jl_member *member,
      const struct kind *kind)
{
  struct sender sender = { .fds = g_array_new (FALSE, FALSE, sizeof (int)),
                           .block = g_string_new (NULL) };
  uint64_t end_us = jl_now () + PLAY_MAX_US;
  long before_kb = memory_kb ();
  int callers[CALLERS];

  while (sender.block->len < BLOCK_BYTES)
    g_string_append (sender.block, kind->repeated);
  for (unsigned i = 0; i < CALLERS; i++)
    callers[i] = rig_send_request (
        rig, ENTRY_PORT,
        "GET /x HTTP/1.1\r\nHost: a\r\nX-Jackdawladder-Attempt-Id: 1\r\n\r\n");
  raw_forget_failures (rig);
  while (jl_now () < end_us
         && (sender.ended < sender.fds->len || !are_all_answered (callers)))
    {
      /* Its failures keep no request from it. */
      member->failed_us = 0;
      accept_requests (rig, peer, kind, &sender);
      send_blocks (&sender);
      raw_turn (rig);
    }
  cr_expect_eq (sender.ended, sender.fds->len, "%.60s %.20s: %u of %u ended",
                kind->begin, kind->repeated, sender.ended, sender.fds->len);
  cr_expect_gt (sender.ended, 0);
  cr_expect_lt (memory_kb () - before_kb, MEMORY_KB_MAX, "%.60s %.20s: %ld KB",
                kind->begin, kind->repeated, memory_kb () - before_kb);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      unsigned status = status_at (callers[i]);

      cr_expect ((status == 200 && kind->is_body) || status >= 500,
                 "%.60s %.20s: %u", kind->begin, kind->repeated, status);
      close (callers[i]);
    }
  g_array_free (sender.fds, TRUE);
  g_string_free (sender.block, TRUE);
}

/* Guards against a daemon that keeps what another one, or another program at
 * its former address, sends without end. */
Test (endless, responses_of_other_daemons_take_little_memory, .timeout = 120)
{
  struct rig rig;
  struct raw_peer peer;
  struct jl_member *member;

  rig_prepare (&rig, 251);
  raw_peer_open (&peer, &rig, OTHER_PORT);
  listen (peer.listener, 4 * CALLERS);
  rig_start (&rig);
  install_route (&rig);
  member = rig_add_member (&rig, "d7", "z1", "deep");
  member->limit = 10 * CALLERS;
  member->capacity = 1000 * CALLERS;
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      rig_run (&rig, 100);
      member->last_beacon_us = jl_now () + 60 * JL_USEC_PER_SEC;
      play (&rig, &peer, member, &kinds[i]);
    }
}
