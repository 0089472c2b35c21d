/**
 * DOC: Tests of a complete proxy in the test's process.
 *
 * The store, the peers and the clients are fakes in the same process. The tests
 * use real sockets and real time.
 */

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <string.h>
#include <unistd.h>

#include "proxy/demand.h"
#include "proxy/parts/rig.h"
#include "proxy/rows.h"

/* Number of daemons, half of them in each of two zones. */
/* Times that a busy machine may need to fetch the configuration, 100 ms each.
 */
#define FETCH_WAITS_MAX 30
#define MEMBERS 60

Test (daemon, a_leaving_is_acknowledged_when_it_is_written)
{
  struct rig rig;
  int fd;

  rig_prepare (&rig, 1);
  rig_start (&rig);
  rig_heartbeat (&rig, "i-1", 5, 1);
  rig.store.hold_writes = true;
  fd = rig_leave (&rig, "i-1");
  rig_run (&rig, 100);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_LEAVING,
                "the leave takes effect at once");
  cr_assert_str_eq (rig_received (fd), "");
  fake_store_release_writes (&rig.store);
  rig_run (&rig, 50);
  cr_assert (g_str_has_prefix (rig_received (fd), "HTTP/1.1 200"));
  cr_assert_not_null (
      strstr (fake_store_get (&rig.store, "targets", "d5"), "\"i-1\""));
}

/* Guards against a leave that is acknowledged and forgotten when all daemons
 * are killed while the store is away. */
Test (daemon, a_leaving_is_not_acknowledged_before_the_store_has_it)
{
  struct rig rig;
  int fd;

  rig_prepare (&rig, 2);
  rig_start (&rig);
  rig_heartbeat (&rig, "i-1", 5, 1);
  rig.store.hold_writes = true;
  fd = rig_leave (&rig, "i-1");
  rig_run (&rig, 600);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_LEAVING);
  cr_assert_str_eq (rig_received (fd), "");
  rig_run (&rig, 350);
  cr_assert (g_str_has_prefix (rig_received (fd), "HTTP/1.1 503"),
             "the target has its answer within a second");
  close (fd);
  rig.store.hold_writes = false;
  fake_store_release_writes (&rig.store);
  fd = rig_leave (&rig, "i-1");
  rig_run (&rig, 700);
  cr_assert (g_str_has_prefix (rig_received (fd), "HTTP/1.1 200"));
}

Test (daemon, an_incarnation_that_left_before_does_not_come_back)
{
  struct rig rig;

  rig_prepare (&rig, 3);
  fake_store_put (&rig.store, "targets", "d5",
                  "{\"left\":[{\"target\":\"i-1\",\"born_ms\":5}]}");
  rig_start (&rig);
  rig_heartbeat (&rig, "i-1", 5, 7);
  cr_assert_neq (rig.proxy->target.state, JL_TARGET_UP);
  rig_heartbeat (&rig, "i-1", 6, 1);
  cr_assert_eq (rig.proxy->target.state, JL_TARGET_UP, "a new incarnation");
  cr_assert_eq (rig.store.writes, 1, "only the daemon's own row");
}

/* Guards against the loss of earlier departed incarnations when the row is
 * written before it was read. */
Test (daemon, what_left_before_stays_in_the_row)
{
  struct rig rig;
  const char *row;

  rig_prepare (&rig, 4);
  fake_store_put (&rig.store, "targets", "d5",
                  "{\"left\":[{\"target\":\"i-1\",\"born_ms\":5}]}");
  rig.store.silent_table = "targets";
  rig_start (&rig);
  rig_heartbeat (&rig, "i-2", 6, 1);
  close (rig_leave (&rig, "i-2"));
  rig_run (&rig, 900);
  row = fake_store_get (&rig.store, "targets", "d5");
  cr_assert_not_null (strstr (row, "\"i-1\""), "%s", row);
  cr_assert_not_null (strstr (row, "\"i-2\""), "%s", row);
}

Test (daemon, a_guard_sends_on_what_would_wait_too_long)
{
  struct rig rig;
  const char *answer;
  int fd;

  rig_prepare (&rig, 5);
  rig_start (&rig);
  rig_heartbeat (&rig, "i-1", 5, 1);
  rig.proxy->load_shedder.hold_us = 100.0 * JL_USEC_PER_MSEC;
  rig.proxy->lane.running = rig.proxy->lane.limit;
  rig.proxy->lane.waiting = 40;
  fd = rig_send_request (&rig, PEER_PORT,
                         "GET /x HTTP/1.1\r\nHost: a\r\n" JL_WORK_FIELD
                         ": front 1 700 300 00000001 1\r\n\r\n");
  rig_run (&rig, 50);
  answer = rig_received (fd);
  cr_assert (g_str_has_prefix (answer, "HTTP/1.1 503"), "%s", answer);
  cr_assert_not_null (strstr (answer, JL_OUTCOME_FIELD ": not-run"));
  cr_assert_not_null (strstr (answer, JL_REASON_FIELD ": queue-long"));
}

Test (daemon, calls_of_the_target_overflow_to_another_zone)
{
  struct rig rig;
  unsigned near_requests;
  unsigned far_requests;
  struct jl_member *far;

  rig_prepare (&rig, 6);
  rig_start (&rig);
  rig_install_call_route (&rig);
  rig_open_peer (&rig, OTHER_PORT, &near_requests);
  rig_open_peer (&rig, OTHER_PORT + 1, &far_requests);
  rig_add_member (&rig, "d6", "z1", "deep")->shed_share = 0.9;
  far = rig_add_member (&rig, "d7", "z2", "deep");
  far->peer.port = OTHER_PORT + 1;
  rig_send_request (&rig, ENTRY_PORT, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  rig_run (&rig, 30);
  cr_assert_eq (rig.proxy->counters.calls, 1);
  cr_assert_eq (far_requests, 1);
  cr_assert_eq (near_requests, 0);
}

Test (daemon, few_of_many_tell_other_zones_of_themselves)
{
  struct rig rig;
  uint64_t before;
  uint64_t sent;

  rig_prepare (&rig, 7);
  rig_start (&rig);
  for (unsigned i = 0; i < MEMBERS; i++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "m%u", i);
      rig_add_member (&rig, name, i < MEMBERS / 2 ? "z1" : "z2", "front");
    }
  before = rig.proxy->counters.beacons_sent;
  jl_beacon_send_soon (rig.proxy->beacon);
  rig_run (&rig, 60);
  sent = rig.proxy->counters.beacons_sent - before;
  cr_assert_geq (sent, MEMBERS / 2, "all of the local zone: %" PRIu64, sent);
  cr_assert_leq (sent, MEMBERS * 3 / 4, "%" PRIu64 " sent", sent);
}

/* Lets a beacon of each other daemon come. */
static void
hear_others (struct rig *rig)
{
  for (guint i = 0; i < rig->proxy->roster.members->len; i++)
    {
      struct jl_member *member
          = g_ptr_array_index (rig->proxy->roster.members, i);

      member->last_beacon_us = jl_now ();
    }
}

/* Changes the configuration ten times in a second, while the others are heard,
 * and returns the number of feed calls in this time. */
static unsigned
feed_calls_for_ten_changes (struct rig *rig)
{
  unsigned before = rig->store.feeds;

  for (unsigned i = 0; i < 10; i++)
    {
      char text[32];

      g_snprintf (text, sizeof text, "no configuration %u", i);
      fake_store_put (&rig->store, "op", "config", text);
      hear_others (rig);
      rig_run (rig, 100);
    }
  return rig->store.feeds - before;
}

Test (daemon, a_daemon_that_watches_closely_hears_of_each_change)
{
  struct rig rig;

  rig_prepare (&rig, 8);
  rig_start (&rig);
  cr_assert_geq (feed_calls_for_ten_changes (&rig), 8);
}

Test (daemon, the_others_gather_changes)
{
  struct rig rig;
  unsigned feeds;

  rig_prepare (&rig, 9);
  rig_start (&rig);
  rig_add_member (&rig, "d1", "z1", "front");
  rig_add_member (&rig, "d2", "z1", "front");
  rig_run (&rig, 150);
  feeds = feed_calls_for_ten_changes (&rig);
  cr_assert_leq (feeds, 2, "%u calls", feeds);
}

Test (daemon, a_configuration_is_taken_from_a_near_daemon)
{
  struct rig rig;
  unsigned request_count;
  struct jl_member *near;
  struct jl_member *far;

  rig_prepare (&rig, 10);
  rig_start (&rig);
  rig_open_peer (&rig, OTHER_PORT, &request_count);
  far = rig_add_member (&rig, "d7", "z2", "deep");
  far->peer.port = OTHER_PORT + 1;
  far->site_version = 9;
  near = rig_add_member (&rig, "d6", "z1", "deep");
  near->site_version = 9;
  jl_sync_fetch (rig.proxy, far);
  jl_sync_fetch (rig.proxy, near);
  rig_run (&rig, 300);
  cr_assert_eq (request_count, 1);
}

Test (daemon, a_configuration_is_taken_from_another_if_the_first_is_stuck)
{
  struct rig rig;
  unsigned request_count;
  struct jl_member *stuck;
  struct jl_member *other;
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  rig_prepare (&rig, 12);
  rig_start (&rig);
  rig_open_peer (&rig, OTHER_PORT, &request_count);
  address.sin_addr.s_addr = htonl (rig.options.ip);
  address.sin_port = htons (OTHER_PORT + 1);
  cr_assert_eq (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  cr_assert_eq (listen (fd, 8), 0);
  stuck = rig_add_member (&rig, "d6", "z1", "deep");
  stuck->peer.port = OTHER_PORT + 1;
  stuck->site_version = 9;
  other = rig_add_member (&rig, "d7", "z1", "deep");
  other->site_version = 9;
  jl_sync_fetch (rig.proxy, stuck);
  for (unsigned i = 0; i < FETCH_WAITS_MAX && request_count == 0; i++)
    {
      hear_others (&rig);
      rig_run (&rig, 100);
    }
  cr_assert_geq (request_count, 1);
  close (fd);
}

/* Guards against a retry that is taken from the budget of "deep" only once. A
 * request runs there twice, by calls of "front" and of "middle". */
Test (daemon, a_repeat_is_paid_for_at_each_service_as_a_whole)
{
  struct rig rig;
  struct jl_site *site = jl_site_new (1);
  const char *names[] = { "front", "middle", "deep" };
  struct jl_member *members[3];
  const struct jl_route *route;

  rig_prepare (&rig, 11);
  rig_start (&rig);
  for (unsigned i = 0; i < 3; i++)
    {
      const struct jl_split split = { names[i], 1 };
      struct jl_route added = { .name = names[i],
                                .host = "a",
                                .prefix = "",
                                .split_count = 1,
                                .split = &split };

      jl_site_add_route (site, &added);
      members[i] = rig_add_member (&rig, names[i], "z1", names[i]);
    }
  members[0]->fanout_count = 2;
  members[0]->fanout[0] = (struct jl_fanout_entry){ jl_name_key ("front"),
                                                    jl_name_key ("middle"), 1 };
  members[0]->fanout[1] = (struct jl_fanout_entry){ jl_name_key ("front"),
                                                    jl_name_key ("deep"), 1 };
  members[1]->fanout_count = 1;
  members[1]->fanout[0] = (struct jl_fanout_entry){ jl_name_key ("middle"),
                                                    jl_name_key ("deep"), 1 };
  route = jl_site_route_by_key (site, jl_name_key ("front"));
  /* Allows one and a half retries at each service, with four daemons. */
  rig.options.retry_slack = 1.5 * 4 / 0.8;
  cr_assert_not (jl_demand_spend_retry (rig.proxy, site, route));
  rig.options.retry_slack = 2.5 * 4 / 0.8;
  cr_assert (jl_demand_spend_retry (rig.proxy, site, route));
  cr_assert_not (jl_demand_spend_retry (rig.proxy, site, route),
                 "budget is spent");
}
