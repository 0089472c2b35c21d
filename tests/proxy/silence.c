/**
 * DOC: Tests of requests in progress at daemons whose beacons are missing.
 */

#include <criterion/criterion.h>

#include <signal.h>
#include <string.h>

#include "proxy/announce.h"
#include "proxy/parts/rig.h"
#include "rpc/gen/beacon.h"

#include <arpa/inet.h>
#include <unistd.h>

#define REQUEST                                                                \
  "GET /x HTTP/1.1\r\nHost: a\r\nX-Jackdawladder-Deadline-Ms: 900\r\n\r\n"
/* Time without beacons after which a daemon of another zone is silent. */
#define SILENT_US (6 * JL_USEC_PER_SEC)

/**
 * struct far - the daemon of another zone, with a target of the service "deep"
 * @last: the request that it received last, not answered yet
 */
struct far
{
  struct jl_member *member;
  struct jl_request *last;
};

static void
on_begin (void *context, struct jl_request *request)
{
  struct far *far = context;

  far->last = request;
}

static const struct jl_handler handler = { .begin = on_begin };

/* Starts a proxy that sends its requests to a daemon of another zone. */
static void
begin (struct rig *rig, struct far *far, unsigned host)
{
  const char *why = NULL;

  memset (far, 0, sizeof *far);
  rig_prepare (rig, host);
  rig_start (rig);
  rig_install_call_route (rig);
  cr_assert_not_null (jl_server_open (rig->store.net, rig_at (rig, OTHER_PORT),
                                      &handler, far, &why));
  far->member = rig_add_member (rig, "d7", "z2", "deep");
}

/* Sends a request, and lets the daemon that has it be silent. */
static int
send_and_hear_nothing (struct rig *rig, struct far *far)
{
  int fd = rig_send_request (rig, ENTRY_PORT, REQUEST);

  rig_run (rig, 50);
  cr_assert_not_null (far->last);
  far->member->last_beacon_us = jl_now () - SILENT_US;
  rig_run (rig, 300);
  return fd;
}

static void
assert_is_served (struct rig *rig, struct far *far, int fd)
{
  const char *answer = rig_received (fd);

  cr_assert_str_eq (answer, "", "given up: %s", answer);
  jl_request_reply (far->last, 200, "", "", 0);
  rig_run (rig, 50);
  answer = rig_received (fd);
  cr_assert (g_str_has_prefix (answer, "HTTP/1.1 200"), "%s", answer);
}

Test (silence, a_request_at_a_silent_daemon_is_awaited_if_no_other_can_take_it)
{
  struct rig rig;
  struct far far;

  begin (&rig, &far, 40);
  assert_is_served (&rig, &far, send_and_hear_nothing (&rig, &far));
}

Test (silence, a_stopping_daemon_awaits_requests_at_silent_daemons)
{
  struct rig rig;
  struct far far;
  int fd;

  begin (&rig, &far, 41);
  fd = rig_send_request (&rig, ENTRY_PORT, REQUEST);
  rig_run (&rig, 50);
  raise (SIGTERM);
  rig_run (&rig, 50);
  cr_assert (rig.proxy->stopping);
  far.member->last_beacon_us = jl_now () - SILENT_US;
  rig_run (&rig, 300);
  assert_is_served (&rig, &far, fd);
}

static bool
has_stopped (const struct rig *rig)
{
  return rig->proxy->stop_timer.heap_position == 0;
}

/* Sends requests to a daemon that stops, until some time after the end of the
 * time for which it serves. */
static void
send_to_stopping (struct rig *rig, unsigned ms)
{
  raise (SIGTERM);
  for (unsigned i = 0; i < 100 + ms; i += 20)
    {
      if (i == 100)
        rig->proxy->stop_began_us -= 2600 * JL_USEC_PER_MSEC;
      close (rig_send_request (rig, ENTRY_PORT, REQUEST));
      rig_run (rig, 20);
    }
}

/* A request that has just been refused still gets its response. */
Test (silence, a_stopping_daemon_exits_after_a_pause_in_the_requests)
{
  struct rig rig;
  struct far far;

  begin (&rig, &far, 46);
  send_to_stopping (&rig, 200);
  cr_assert_not (has_stopped (&rig));
  rig_run (&rig, 120);
  cr_assert (has_stopped (&rig));
}

Test (silence, a_stopping_daemon_exits_although_requests_do_not_end)
{
  struct rig rig;
  struct far far;

  begin (&rig, &far, 47);
  send_to_stopping (&rig, 800);
  cr_assert (has_stopped (&rig));
}

Test (silence,
      a_request_at_a_silent_daemon_is_awaited_if_it_was_its_last_attempt)
{
  struct rig rig;
  struct far far;
  unsigned other_requests;
  struct jl_route *route;
  int fd;

  begin (&rig, &far, 42);
  route = (struct jl_route *)jl_site_route_by_key (rig.proxy->site,
                                                   jl_name_key ("inner"));
  route->attempts_max = 1;
  rig_open_peer (&rig, OTHER_PORT + 1, &other_requests);
  fd = rig_send_request (&rig, ENTRY_PORT, REQUEST);
  rig_run (&rig, 50);
  rig_add_member (&rig, "d8", "z2", "deep")->peer.port = OTHER_PORT + 1;
  far.member->last_beacon_us = jl_now () - SILENT_US;
  rig_run (&rig, 300);
  cr_assert_eq (other_requests, 0);
  assert_is_served (&rig, &far, fd);
}

Test (silence, a_request_at_a_silent_daemon_is_repeated_at_another_one)
{
  struct rig rig;
  struct far far;
  unsigned other_requests;

  begin (&rig, &far, 43);
  rig_open_peer (&rig, OTHER_PORT + 1, &other_requests);
  rig.options.retry_slack = 100;
  rig_send_request (&rig, ENTRY_PORT, REQUEST);
  rig_run (&rig, 50);
  rig_add_member (&rig, "d8", "z2", "deep")->peer.port = OTHER_PORT + 1;
  far.member->last_beacon_us = jl_now () - SILENT_US;
  rig_run (&rig, 300);
  cr_assert_eq (other_requests, 1);
}

/* Sends a beacon as a daemon of another zone does that knows no digests. */
static void
send_older_beacon (struct rig *rig, int fd)
{
  static char empty[] = "";
  static char name[] = "d6";
  static char zone[] = "z2";
  struct beacon_message message = {
    .format = JL_FORMAT_BEACON,
    .name = name,
    .zone = zone,
    .service = empty,
    .target = empty,
    .ip = rig->options.ip,
    .port = OTHER_PORT,
    .epoch = 1,
    .sequence = 1,
  };
  char datagram[JL_DATAGRAM_BYTES_MAX];
  XDR xdr;

  xdrmem_create (&xdr, datagram, sizeof datagram, XDR_ENCODE);
  cr_assert (xdr_beacon_message (&xdr, &message));
  rig_send_datagram (rig, fd, datagram, xdr_getpos (&xdr));
}

/* Returns the number of beacons that have come; other datagrams are ignored. */
static unsigned
count_beacons (int fd)
{
  char datagram[2048];
  unsigned count = 0;
  ssize_t size;

  while ((size = recv (fd, datagram, sizeof datagram, MSG_DONTWAIT)) > 0)
    count += jl_announce_format (datagram, (size_t)size) == JL_FORMAT_BEACON;
  return count;
}

/* While daemons are replaced by newer ones, a zone may have older ones only,
 * which know others by their beacons alone. */
Test (silence, an_older_daemon_of_another_zone_gets_beacons)
{
  struct rig rig;
  int fd;

  rig_prepare (&rig, 44);
  rig_start (&rig);
  fd = rig_open_datagrams (&rig, OTHER_PORT);
  rig_run (&rig, 2100);
  cr_assert_eq (count_beacons (fd), 0);
  send_older_beacon (&rig, fd);
  rig_run (&rig, 2100);
  cr_assert_geq (count_beacons (fd), 1);
  close (fd);
}
