/**
 * DOC: Tests of the load reports between entry and guard, and of the requests
 * that a guard hands back, against raw peers.
 */

#include <criterion/criterion.h>

#include <string.h>
#include <unistd.h>

#include "proxy/load-report.h"
#include "proxy/parts/raw.h"
#include "proxy/zone-spill.h"

#define ID "X-Jackdawladder-Attempt-Id: 1\r\n"
#define REQUEST "POST /x HTTP/1.1\r\nHost: a\r\n" ID "Content-Length: 0\r\n\r\n"
#define WORK(accept)                                                           \
  "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n" ID JL_WORK_FIELD      \
  ": front 1 5000 300 00000001 0 0\r\n" accept "\r\n"
#define ACCEPT(moves) JL_ACCEPT_LOAD_FIELD ": 1 " moves " 0\r\n"
#define SUCCESS "HTTP/1.1 200 OK\r\n" ID "Content-Length: 0\r\n\r\n"

static void
begin (struct rig *rig, struct raw_peer *peer, unsigned host, uint16_t port)
{
  rig_prepare (rig, host);
  rig->options.heartbeat_us = 60 * JL_USEC_PER_SEC;
  rig->options.load_reports = true;
  raw_peer_open (peer, rig, port);
  rig_start (rig);
}

/* Waits for a complete head on a connection. */
static char *
read_head (struct rig *rig, int fd)
{
  GString *text = g_string_new (NULL);
  uint64_t end_us = jl_now () + 3 * JL_USEC_PER_SEC;

  while (jl_now () < end_us && strstr (text->str, "\r\n\r\n") == NULL)
    {
      raw_turn (rig);
      if (!raw_read_available (fd, text))
        break;
    }
  return g_string_free (text, FALSE);
}

/* Sends work to the guard and lets the target answer. Returns what the entry
 * receives. */
static char *
serve_work (struct rig *rig, struct raw_peer *peer, const char *text)
{
  GString *request = g_string_new (NULL);
  int sender = rig_send_request (rig, PEER_PORT, text);
  int target = raw_accept_request (rig, peer, request);
  char *head;

  cr_assert_geq (target, 0);
  cr_expect_null (strstr (request->str, "Jl-"), "%s", request->str);
  raw_send (target, SUCCESS, strlen (SUCCESS));
  raw_turn (rig);
  close (target);
  head = read_head (rig, sender);
  cr_assert (g_str_has_prefix (head, "HTTP/1.1 200"), "%s", head);
  close (sender);
  rig_run (rig, 20);
  g_string_free (request, TRUE);
  return head;
}

/* Where the settings lack the feature, or the entry does not ask, the bytes on
 * the wire must stay as they were. */
Test (load_report, a_guard_reports_only_to_entries_that_ask)
{
  struct rig rig;
  struct raw_peer peer;

  begin (&rig, &peer, 160, TARGET_PORT);
  rig_heartbeat (&rig, "i-1", 5, 1);
  serve_work (&rig, &peer, WORK (""));
  cr_expect_null (strstr (serve_work (&rig, &peer, WORK ("")), JL_LOAD_FIELD));
  cr_expect_not_null (strstr (serve_work (&rig, &peer, WORK (ACCEPT ("2"))),
                              JL_LOAD_FIELD ": 1 0 9 "));
  rig.proxy->options->load_reports = false;
  cr_expect_null (
      strstr (serve_work (&rig, &peer, WORK (ACCEPT ("2"))), JL_LOAD_FIELD));
}

/* Sends a request to the entry. Returns the connection of the daemon that gets
 * it, and the head that it receives. */
static int
place (struct rig *rig, struct raw_peer *peer, int *client, GString *head)
{
  *client = rig_send_request (rig, ENTRY_PORT, REQUEST);
  return raw_accept_request (rig, peer, head);
}

static void
answer (struct rig *rig, int fd, const char *text)
{
  raw_send (fd, text, strlen (text));
  raw_turn (rig);
  rig_run (rig, 20);
}

Test (load_report, an_entry_asks_other_zones_only_for_what_it_lacks)
{
  struct rig rig;
  struct raw_peer peer;
  struct jl_member *member;
  GString *head = g_string_new (NULL);
  int client;
  int fd;

  begin (&rig, &peer, 161, OTHER_PORT);
  rig_install_call_route (&rig);
  member = rig_add_member (&rig, "d7", "z2", "deep");
  fd = place (&rig, &peer, &client, head);
  cr_expect_not_null (strstr (head->str, JL_ACCEPT_LOAD_FIELD ": 1 0 "));
  cr_expect_not_null (strstr (head->str, " 1\r\n"), "as of another zone");
  answer (&rig, fd,
          "HTTP/1.1 200 OK\r\n" ID "Jl-Load: 3 2 28 180\r\n"
          "Connection: close\r\nContent-Length: 0\r\n\r\n");
  cr_expect_eq (member->load.report.waiting, 2);
  /* However long this test takes, the report is new. */
  member->load.heard_us = jl_now () + 60 * JL_USEC_PER_SEC;
  g_string_truncate (head, 0);
  place (&rig, &peer, &client, head);
  cr_expect_null (strstr (head->str, JL_ACCEPT_LOAD_FIELD), "%s", head->str);
  cr_expect_eq (member->load.sent, 1);
  rig.proxy->options->load_reports = false;
  jl_roster_set_zone (&rig.proxy->roster, member, "z1");
  g_string_truncate (head, 0);
  place (&rig, &peer, &client, head);
  cr_expect_null (strstr (head->str, JL_ACCEPT_LOAD_FIELD), "%s", head->str);
  g_string_free (head, TRUE);
}

/* A guard whose target runs all that it may, and one request that waits. */
static int
begin_queue (struct rig *rig,
             struct raw_peer *peer,
             unsigned host,
             const char *last)
{
  GString *request = g_string_new (NULL);
  uint64_t end_us;
  int sender;

  begin (rig, peer, host, TARGET_PORT);
  rig_heartbeat (rig, "i-1", 5, 1);
  rig->proxy->load_shedder.hold_us = 900 * JL_USEC_PER_MSEC;
  for (unsigned i = 0; i < 9; i++)
    {
      rig_send_request (rig, PEER_PORT, WORK (""));
      cr_assert_geq (raw_accept_request (rig, peer, request), 0);
    }
  sender = rig_send_request (rig, PEER_PORT, last);
  end_us = jl_now () + 3 * JL_USEC_PER_SEC;
  while (jl_now () < end_us && rig->proxy->lane.waiting == 0)
    raw_turn (rig);
  cr_assert_eq (rig->proxy->lane.waiting, 1);
  g_string_free (request, TRUE);
  return sender;
}

/* Lets the guard look for requests to hand back, while another target of the
 * zone is idle. */
static void
offer_target (struct rig *rig)
{
  struct jl_load_report idle = { 0, 0, 9, 100 };

  jl_load_view_hear (&rig_add_member (rig, "d7", "z1", "front")->load, &idle,
                     jl_now ());
  jl_handback_check (rig->proxy);
}

/* Frees all slots, and expects that no further request comes. */
static void
expect_no_start (struct rig *rig, struct raw_peer *peer)
{
  GString *request = g_string_new (NULL);
  struct jl_work *work;
  struct jl_work *next;

  cds_list_for_each_entry_safe (work, next, &rig->proxy->work_items,
                                link) if (work->running)
      jl_guard_refuse (work, "test");
  jl_guard_run_queue (rig->proxy);
  rig_run (rig, 60);
  cr_expect_lt (raw_poll_request (rig, peer, request), 0, "%s", request->str);
  cr_expect_eq (rig->proxy->lane.waiting, 0);
  g_string_free (request, TRUE);
}

/* A request that another target completes sooner waited to its deadline. */
Test (load_report, a_request_that_was_handed_back_never_starts)
{
  struct rig rig;
  struct raw_peer peer;
  int sender = begin_queue (&rig, &peer, 162, WORK (ACCEPT ("2")));
  char *head;

  offer_target (&rig);
  head = read_head (&rig, sender);
  cr_expect (g_str_has_prefix (head, "HTTP/1.1 503"), "%s", head);
  cr_expect_not_null (strstr (head, "Jl-Outcome: not-run\r\n"), "%s", head);
  cr_expect_not_null (strstr (head, "Jl-Reason: moved\r\n"), "%s", head);
  cr_expect_eq (rig.proxy->counters.moved, 1);
  expect_no_start (&rig, &peer);
}

/* The message that hands the request back is lost with its connection. */
Test (load_report, a_request_whose_hand_back_is_lost_never_starts)
{
  struct rig rig;
  struct raw_peer peer;
  int sender = begin_queue (&rig, &peer, 163, WORK (ACCEPT ("2")));

  offer_target (&rig);
  cr_expect_eq (rig.proxy->counters.moved, 1);
  raw_reset (sender);
  expect_no_start (&rig, &peer);
}

/* The entry leaves before the guard hands the request back. */
Test (load_report, a_request_whose_entry_has_left_is_not_handed_back)
{
  struct rig rig;
  struct raw_peer peer;
  int sender = begin_queue (&rig, &peer, 164, WORK (ACCEPT ("2")));
  uint64_t end_us = jl_now () + 3 * JL_USEC_PER_SEC;

  raw_reset (sender);
  while (jl_now () < end_us && rig.proxy->lane.waiting > 0)
    raw_turn (&rig);
  offer_target (&rig);
  cr_expect_eq (rig.proxy->counters.moved, 0);
  expect_no_start (&rig, &peer);
}

/* A request would be handed back without end while reports lag behind. */
Test (load_report, a_request_without_moves_left_stays)
{
  struct rig rig;
  struct raw_peer peer;
  int sender = begin_queue (&rig, &peer, 165, WORK (ACCEPT ("0")));

  offer_target (&rig);
  cr_expect_eq (rig.proxy->counters.moved, 0);
  cr_expect_eq (rig.proxy->lane.waiting, 1);
  close (sender);
}

#define MOVED                                                                  \
  "HTTP/1.1 503 No\r\nJl-Outcome: not-run\r\nJl-Reason: moved\r\n"             \
  "Connection: close\r\nContent-Length: 0\r\n\r\n"

/* An entry with the two daemons d7 and d8 behind one raw peer, and a request
 * that may run only once. Returns the connection of the first daemon. */
static int
begin_once (struct rig *rig,
            struct raw_peer *peer,
            unsigned host,
            int *client,
            GString *head)
{
  begin (rig, peer, host, OTHER_PORT);
  rig_install_call_route (rig);
  ((struct jl_route *)g_ptr_array_index (rig->proxy->site->routes, 0))
      ->retry_policy
      = JL_RETRY_POLICY_AT_MOST_ONCE;
  rig_add_member (rig, "d7", "z1", "deep");
  rig_add_member (rig, "d8", "z1", "deep");
  return place (rig, peer, client, head);
}

/* Without the rule of two moves a request would wander; with a retry budget of
 * zero it must still be placed. */
Test (load_report, a_moved_request_is_placed_elsewhere_without_retry_budget)
{
  struct rig rig;
  struct raw_peer peer;
  GString *head = g_string_new (NULL);
  int client;
  int fd = begin_once (&rig, &peer, 166, &client, head);
  const char *const moves[] = { ": 1 2 ", ": 1 1 ", ": 1 0 " };
  struct jl_member *last = NULL;
  char *text;

  for (unsigned i = 0; i < G_N_ELEMENTS (moves); i++)
    {
      struct jl_call *call
          = cds_list_first_entry (&rig.proxy->calls, struct jl_call, link);

      cr_assert_geq (fd, 0);
      cr_expect_not_null (strstr (head->str, moves[i]), "%s", head->str);
      cr_expect_neq (call->member, last, "it came back at once");
      last = call->member;
      if (i == 2)
        break;
      raw_forget_failures (&rig);
      answer (&rig, fd, MOVED);
      close (fd);
      g_string_truncate (head, 0);
      fd = raw_accept_request (&rig, &peer, head);
    }
  answer (&rig, fd, SUCCESS);
  text = read_head (&rig, client);
  cr_expect (g_str_has_prefix (text, "HTTP/1.1 200"), "%s", text);
  g_string_free (head, TRUE);
}

/* The answer that hands the request back is cut off: the entry can't know that
 * it has not run. */
Test (load_report, a_request_with_a_lost_hand_back_is_not_placed_again)
{
  static const char *const cuts[]
      = { "", "HTTP/1.1 503 No\r\nJl-Outcome: not-run\r\nJl-Reas",
          "HTTP/1.1 503 No\r\nJl-Outcome: not-run\r\nJl-Reason: moved\r\n" };

  for (unsigned i = 0; i < G_N_ELEMENTS (cuts); i++)
    {
      struct rig rig;
      struct raw_peer peer;
      GString *head = g_string_new (NULL);
      int client;
      int fd = begin_once (&rig, &peer, 167 + i, &client, head);
      char *text;

      raw_send (fd, cuts[i], strlen (cuts[i]));
      raw_turn (&rig);
      raw_reset (fd);
      text = read_head (&rig, client);
      cr_expect (g_str_has_prefix (text, "HTTP/1.1 502"), "%s", text);
      rig_run (&rig, 60);
      cr_expect_lt (raw_poll_request (&rig, &peer, head), 0);
      g_string_free (head, TRUE);
    }
}

/* The only other daemon ends before it gets the request. */
Test (load_report, a_moved_request_returns_if_no_other_daemon_is_left)
{
  struct rig rig;
  struct raw_peer peer;
  GString *head = g_string_new (NULL);
  int client;
  int fd = begin_once (&rig, &peer, 170, &client, head);

  for (guint i = 0; i < rig.proxy->roster.members->len; i++)
    {
      struct jl_member *member
          = g_ptr_array_index (rig.proxy->roster.members, i);

      if (member->outstanding == 0 && strcmp (member->service, "deep") == 0)
        member->state = JL_TARGET_DOWN;
    }
  answer (&rig, fd, MOVED);
  close (fd);
  fd = raw_accept_request (&rig, &peer, head);
  cr_assert_geq (fd, 0, "%s", read_head (&rig, client));
  answer (&rig, fd, SUCCESS);
  cr_expect (g_str_has_prefix (read_head (&rig, client), "HTTP/1.1 200"));
  g_string_free (head, TRUE);
}

/* The only daemon hands a request back twice: the list of those that had it was
 * empty then, and the entry read the name of the last one in front of it. */
Test (load_report, the_only_daemon_may_hand_a_request_back_twice)
{
  struct rig rig;
  struct raw_peer peer;
  GString *head = g_string_new (NULL);
  int client;
  int fd = begin_once (&rig, &peer, 172, &client, head);

  for (guint i = 0; i < rig.proxy->roster.members->len; i++)
    {
      struct jl_member *member
          = g_ptr_array_index (rig.proxy->roster.members, i);

      if (member->outstanding == 0 && strcmp (member->service, "deep") == 0)
        member->state = JL_TARGET_DOWN;
    }
  for (unsigned i = 0; i < 2; i++)
    {
      answer (&rig, fd, MOVED);
      close (fd);
      fd = raw_accept_request (&rig, &peer, head);
      cr_assert_geq (fd, 0, "%s", read_head (&rig, client));
    }
  answer (&rig, fd, SUCCESS);
  cr_expect (g_str_has_prefix (read_head (&rig, client), "HTTP/1.1 200"));
  g_string_free (head, TRUE);
}

/* A new incarnation was taken for as fast as the former one, or with a hold
 * time that only 30 responses replaced. */
Test (load_report, a_cold_target_is_announced_with_less_capacity)
{
  static const char *const cold[] = { "0", "3" };
  struct rig rig;
  struct raw_peer peer;
  char address[JL_ENDPOINT_TEXT_SIZE];

  begin (&rig, &peer, 171, TARGET_PORT);
  rig_heartbeat (&rig, "i-1", 5, 1);
  jl_endpoint_format (rig_at (&rig, TARGET_PORT), address);
  for (unsigned i = 0; i < 4; i++)
    {
      bool reports = i >= 2;
      char *body = g_strdup_printf (
          "{\"service\":\"front\",\"address\":\"%s\",\"zone\":\"z1\","
          "\"version\":\"v1\",\"slots\":10,\"state\":\"ready\","
          "\"coldLeftS\":%s,\"sequence\":%u,\"born\":%u}",
          address, cold[i % 2], 10 + i, 10 + i);
      uint32_t key = jl_target_key (&rig.proxy->target);
      uint64_t end_us = jl_now () + 3 * JL_USEC_PER_SEC;
      int fd;

      rig.proxy->options->load_reports = reports;
      rig.proxy->load_shedder.hold_us = 1000;
      rig.proxy->load_shedder.first_holds = JL_NONE;
      fd = rig_announce (&rig, "i-1", body);
      while (jl_now () < end_us && jl_target_key (&rig.proxy->target) == key)
        raw_turn (&rig);
      cr_expect_neq (jl_target_key (&rig.proxy->target), key);
      cr_expect_eq (rig.proxy->load_shedder.hold_us,
                    reports && i % 2 == 1 ? 3000 : 1000, "case %u", i);
      jl_load_shedder_record_hold (&rig.proxy->load_shedder, 2000);
      cr_expect_eq (rig.proxy->load_shedder.hold_us == 2000, reports);
      close (fd);
      g_free (body);
    }
}

/* Calls waited in their zone until its targets refused some. A zone that
 * receives calls must keep its own. */
Test (load_report, calls_go_to_a_zone_that_completes_them_sooner)
{
  struct jl_load_report busy = { 10, 100, 10, 100 };
  struct rig rig;
  struct raw_peer peer;
  struct jl_member *member;
  struct jl_spill *spill;
  GString *head = g_string_new (NULL);
  int client;

  begin (&rig, &peer, 172, OTHER_PORT);
  rig_install_call_route (&rig);
  member = rig_add_member (&rig, "d7", "z1", "deep");
  rig_add_member (&rig, "d8", "z2", "deep");
  jl_load_view_hear (&member->load, &busy, jl_now ());
  place (&rig, &peer, &client, head);
  spill = &rig.proxy->spills->routes[0].spill;
  cr_expect_gt (spill->share, 0.5);
  cr_expect_str_eq (spill->zone, "z2");
  raw_forget_failures (&rig);
  jl_load_view_hear (&member->load, &busy, jl_now ());
  member->guest_us = jl_now ();
  spill->updated_us = 0;
  place (&rig, &peer, &client, head);
  cr_expect_eq (spill->share, 0);
  g_string_free (head, TRUE);
}
