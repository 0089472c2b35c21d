/**
 * DOC: Tests of the load reports between entry and guard, and of the requests
 * that a guard hands back, against raw peers.
 */

#include <criterion/criterion.h>

#include <string.h>
#include <unistd.h>

#include "proxy/load-report.h"
#include "proxy/parts/raw.h"

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
  answer (&rig, fd,
          "HTTP/1.1 200 OK\r\n" ID "Jl-Load: 3 2 28 180\r\n"
          "Connection: close\r\nContent-Length: 0\r\n\r\n");
  cr_expect_eq (member->load.report.waiting, 2);
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
