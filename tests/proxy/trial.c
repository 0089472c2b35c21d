/**
 * DOC: Tests of suspect contents at the entry and the guard of a complete
 * proxy.
 */

#include <criterion/criterion.h>

#include <string.h>

#include "proxy/parts/make-content.h"
#include "proxy/parts/rig.h"
#include "proxy/report.h"

#define REQUEST                                                                \
  "GET /x HTTP/1.1\r\nHost: a\r\nX-Jackdawladder-Deadline-Ms: 900\r\n\r\n"
#define WORK_FIELDS "Host: a\r\nX-Jackdawladder-Attempt-Id: 1\r\n" JL_WORK_FIELD

/**
 * struct peer - another daemon, with a target of the service "deep"
 * @requests: requests received
 * @last: the last one, not answered yet
 * @resets: it resets the connection instead of answering
 */
struct peer
{
  unsigned requests;
  struct jl_request *last;
  bool resets;
};

static void
on_begin (void *context, struct jl_request *request)
{
  struct peer *peer = context;

  peer->requests++;
  peer->last = request;
  if (peer->resets)
    jl_request_abort (request);
}

static const struct jl_handler handler = { .begin = on_begin };

/* Starts a proxy whose entry knows one daemon of the service "deep". */
static void
begin (struct rig *rig, struct peer *peer, unsigned host)
{
  const char *why = NULL;

  memset (peer, 0, sizeof *peer);
  rig_prepare (rig, host);
  rig_start (rig);
  rig_install_call_route (rig);
  cr_assert_not_null (jl_server_open (rig->store.net, rig_at (rig, OTHER_PORT),
                                      &handler, peer, &why));
  rig_add_member (rig, "d6", "z1", "deep")->target_key = 77;
}

static uint64_t
content (void)
{
  return make_content ("a", "/x", "", 1);
}

static void
report (struct rig *rig, enum jl_report_kind kind, uint32_t target, bool trial)
{
  uint64_t id = content ();
  struct jl_report report = {
    .kind = kind,
    .trial = trial,
    .target = target,
    .at_us = jl_now (),
    .count = 1,
    .contents = &id,
  };

  jl_report_apply (rig->proxy, &report, "d6");
}

static void
make_suspect (struct rig *rig)
{
  report (rig, JL_REPORT_STRIKE, 1, false);
  report (rig, JL_REPORT_STRIKE, 2, false);
}

static struct jl_verdict
judge (const struct rig *rig)
{
  return jl_suspects_judge (&rig->proxy->suspects, content (), JL_ANY_SERVICE,
                            jl_now ());
}

Test (trial, an_entry_refuses_a_content_that_ended_targets_in_two_trials)
{
  struct rig rig;
  struct peer peer;
  const char *answer;
  int fd;

  begin (&rig, &peer, 30);
  make_suspect (&rig);
  report (&rig, JL_REPORT_STRIKE, 3, true);
  report (&rig, JL_REPORT_STRIKE, 4, true);
  fd = rig_send_request (&rig, ENTRY_PORT, REQUEST);
  rig_run (&rig, 50);
  answer = rig_received (fd);
  cr_assert (g_str_has_prefix (answer, "HTTP/1.1 503"), "%s", answer);
  cr_assert_not_null (strstr (answer, "Retry-After: 29."), "%s", answer);
  cr_assert_eq (peer.requests, 0);
  rig_send_request (&rig, ENTRY_PORT, "GET /y HTTP/1.1\r\nHost: a\r\n\r\n");
  rig_run (&rig, 50);
  cr_assert_eq (peer.requests, 1, "another content");
}

Test (trial, an_entry_sends_one_request_of_a_suspect_content_at_a_time)
{
  struct rig rig;
  struct peer peer;
  int first;
  int second;

  begin (&rig, &peer, 31);
  make_suspect (&rig);
  first = rig_send_request (&rig, ENTRY_PORT, REQUEST);
  rig_run (&rig, 50);
  second = rig_send_request (&rig, ENTRY_PORT, REQUEST);
  rig_run (&rig, 100);
  cr_assert_eq (peer.requests, 1);
  cr_assert_eq (judge (&rig).suspicion, JL_SUSPICION_ON_TRIAL);
  jl_request_reply (peer.last, 200, "", "", 0);
  rig_run (&rig, 50);
  cr_assert (g_str_has_prefix (rig_received (first), "HTTP/1.1 200"));
  rig_run (&rig, 100);
  cr_assert_eq (peer.requests, 2, "the answer ends the trial");
  jl_request_reply (peer.last, 200, "", "", 0);
  rig_run (&rig, 50);
  cr_assert (g_str_has_prefix (rig_received (second), "HTTP/1.1 200"));
}

Test (trial, a_request_that_waits_too_long_for_a_trial_is_refused)
{
  struct rig rig;
  struct peer peer;
  const char *answer;
  int fd;

  begin (&rig, &peer, 32);
  make_suspect (&rig);
  report (&rig, JL_REPORT_TRIAL_RUNNING, 0, false);
  fd = rig_send_request (&rig, ENTRY_PORT, REQUEST);
  rig_run (&rig, 400);
  cr_assert_str_eq (rig_received (fd), "");
  rig_run (&rig, 100);
  answer = rig_received (fd);
  cr_assert (g_str_has_prefix (answer, "HTTP/1.1 503"), "%s", answer);
  cr_assert_eq (peer.requests, 0);
}

/* Guards against the refusal of innocent contents whose trials met an instance
 * that had ended before. */
Test (trial, a_trial_that_is_lost_before_it_runs_is_no_lost_trial)
{
  struct rig rig;
  struct peer peer;

  begin (&rig, &peer, 33);
  peer.resets = true;
  make_suspect (&rig);
  rig_send_request (&rig, ENTRY_PORT, REQUEST);
  rig_run (&rig, 200);
  cr_assert_eq (peer.requests, 1);
  cr_assert_eq (judge (&rig).ends, 3);
  cr_assert_eq (judge (&rig).trials, 0);
}

Test (trial, a_trial_that_runs_when_its_daemon_is_lost_is_a_lost_trial)
{
  struct rig rig;
  struct peer peer;

  begin (&rig, &peer, 34);
  make_suspect (&rig);
  rig_send_request (&rig, ENTRY_PORT, REQUEST);
  rig_run (&rig, 50);
  report (&rig, JL_REPORT_TRIAL_RUNNING, 0, false);
  jl_request_abort (peer.last);
  rig_run (&rig, 200);
  cr_assert_eq (judge (&rig).trials, 1);
}

/* Opens the local target. */
static void
open_target (struct rig *rig, struct peer *target)
{
  const char *why = NULL;

  cr_assert_not_null (jl_server_open (rig->store.net, rig_at (rig, TARGET_PORT),
                                      &handler, target, &why));
}

static void
send_work (struct rig *rig, const char *path)
{
  char *text = g_strdup_printf ("GET %s HTTP/1.1\r\n" WORK_FIELDS
                                ": front 1 700 300 00000001 1\r\n\r\n",
                                path);

  rig_send_request (rig, PEER_PORT, text);
  g_free (text);
}

Test (trial, a_trial_that_ended_a_target_is_lost_also_if_connections_still_open)
{
  struct rig rig;
  struct peer peer;
  struct peer target = { .resets = true };

  begin (&rig, &peer, 36);
  open_target (&rig, &target);
  rig_heartbeat (&rig, "i-1", 5, 1);
  make_suspect (&rig);
  send_work (&rig, "/x");
  rig_run (&rig, 300);
  cr_assert_eq (target.requests, 1);
  rig_heartbeat (&rig, "i-2", 6, 1);
  cr_assert_eq (judge (&rig).trials, 1);
}

/* Guards against zones without contact that each have to lose two trials. */
Test (trial, a_lost_trial_is_written_to_the_store)
{
  struct rig rig;
  struct peer peer;
  struct peer target = { .resets = true };
  const char *row;

  begin (&rig, &peer, 38);
  open_target (&rig, &target);
  rig_heartbeat (&rig, "i-1", 5, 1);
  make_suspect (&rig);
  send_work (&rig, "/x");
  rig_run (&rig, 100);
  rig_heartbeat (&rig, "i-2", 6, 1);
  rig_run (&rig, 200);
  row = fake_store_get (&rig.store, "daemons", "refused/d5");
  cr_assert_not_null (row);
  cr_assert_not_null (strstr (row, "\"content\""), "%s", row);
}

Test (trial, a_trial_is_not_lost_at_a_target_that_answers_a_later_request)
{
  struct rig rig;
  struct peer peer;
  struct peer target = { .resets = true };

  begin (&rig, &peer, 37);
  open_target (&rig, &target);
  rig_heartbeat (&rig, "i-1", 5, 1);
  make_suspect (&rig);
  send_work (&rig, "/x");
  rig_run (&rig, 300);
  target.resets = false;
  send_work (&rig, "/y");
  rig_run (&rig, 50);
  jl_request_reply (target.last, 200, "X-Jackdawladder-Attempt-Id: 1\r\n", "",
                    0);
  rig_run (&rig, 50);
  rig_heartbeat (&rig, "i-2", 6, 1);
  cr_assert_eq (judge (&rig).trials, 0);
}

Test (trial, a_guard_refuses_what_an_entry_does_not_know_yet)
{
  struct rig rig;
  struct peer peer;
  const char *answer;
  int fd;

  begin (&rig, &peer, 35);
  rig_heartbeat (&rig, "i-1", 5, 1);
  make_suspect (&rig);
  report (&rig, JL_REPORT_STRIKE, 3, true);
  report (&rig, JL_REPORT_STRIKE, 4, true);
  fd = rig_send_request (&rig, PEER_PORT,
                         "GET /x HTTP/1.1\r\n" WORK_FIELDS
                         ": front 1 700 300 00000001 1\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  rig_run (&rig, 50);
  answer = rig_received (fd);
  cr_assert_not_null (strstr (answer, JL_OUTCOME_FIELD ": not-run"), "%s",
                      answer);
  cr_assert_not_null (strstr (answer, JL_REASON_FIELD ": poison"), "%s",
                      answer);
}

/* Guards against a guard that reads a request after it has refused and freed
 * it; AddressSanitizer tells (tests/checks/unit-sanitized). The guard knows
 * nothing of the content, and has no target. */
Test (trial, a_trial_of_an_entry_that_a_guard_refuses_is_not_used_again)
{
  struct rig rig;
  struct peer peer;
  const char *answer;
  int fd;

  begin (&rig, &peer, 36);
  fd = rig_send_request (&rig, PEER_PORT,
                         "GET /x HTTP/1.1\r\n" WORK_FIELDS
                         ": front 1 700 300 00000001 1 1\r\n\r\n");
  rig_run (&rig, 50);
  answer = rig_received (fd);
  cr_assert_not_null (strstr (answer, JL_REASON_FIELD ": no-target"), "%s",
                      answer);
}
