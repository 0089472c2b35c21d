/**
 * DOC: Tests of whom a daemon believes: which heartbeats are its own target's,
 * and which service the instance runs.
 *
 * The heartbeats carry no start time, as those of the users' platform.
 */

#include <criterion/criterion.h>

#include <string.h>
#include <unistd.h>

#include "names.h"
#include "proxy/announce.h"
#include "proxy/parts/rig.h"

#define PUT_FORMAT                                                             \
  "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\",\"version\":\"v1\"," \
  "\"slots\":10,\"state\":\"%s\",\"coldLeftS\":0,\"sequence\":%u%s}"
/* Time within which a target expects the answer to its leave. */
#define ANSWER_MAX_MS 1000
/* Period of heartbeats in the tests that wait for some. */
#define HEARTBEAT_MS 200
/* Heartbeats of another target that come together. */
#define FLOOD 40

/**
 * struct announced - fields of a heartbeat
 * @more: further fields, each after a comma; NULL for none
 */
struct announced
{
  const char *id;
  const char *service;
  struct jl_endpoint address;
  const char *state;
  unsigned sequence;
  const char *more;
};

/* Waits for what a connection receives, "" if nothing comes in time. */
static const char *
answer_of (struct rig *rig, int fd)
{
  const char *answer = "";

  for (unsigned i = 0; i < ANSWER_MAX_MS / 10 && *answer == '\0'; i++)
    {
      rig_run (rig, 10);
      answer = rig_received (fd);
    }
  return answer;
}

/* Waits until a list has this length. */
static void
wait_for_length (struct rig *rig, const GPtrArray *list, guint length)
{
  for (unsigned i = 0; i < ANSWER_MAX_MS / 10 && list->len < length; i++)
    rig_run (rig, 10);
  cr_assert_eq (list->len, length, "%u, expected %u", list->len, length);
}

/* Sends a heartbeat. Returns the status of the answer, 0 for none, and expects
 * an empty document as its body. */
static unsigned
announce (struct rig *rig, const struct announced *announced)
{
  char address[JL_ENDPOINT_TEXT_SIZE];
  char *body;
  unsigned status = 0;
  const char *answer;
  int fd;

  jl_endpoint_format (announced->address, address);
  body = g_strdup_printf (PUT_FORMAT, announced->service, address,
                          announced->state, announced->sequence,
                          announced->more != NULL ? announced->more : "");
  fd = rig_announce (rig, announced->id, body);
  answer = answer_of (rig, fd);
  sscanf (answer, "HTTP/1.1 %u", &status);
  cr_assert (status == 0 || g_str_has_suffix (answer, "\r\n\r\n{}"), "%s",
             answer);
  close (fd);
  g_free (body);
  return status;
}

/* A heartbeat as the own target of the rig sends it. */
static struct announced
own (const struct rig *rig, const char *id, unsigned sequence)
{
  return (struct announced){
    .id = id,
    .service = rig->proxy->options->service,
    .address = rig->proxy->options->target,
    .state = "ready",
    .sequence = sequence,
  };
}

static void
expect_target (const struct rig *rig,
               const char *id,
               enum jl_target_state state)
{
  const struct jl_target *target = &rig->proxy->target;

  cr_expect (strcmp (target->last.id, id) == 0 && target->state == state,
             "%s is %s, expected %s to be %s", target->last.id,
             jl_target_state_name (target->state), id,
             jl_target_state_name (state));
}

static void
heartbeat (struct rig *rig, const char *id, unsigned sequence)
{
  struct announced announced = own (rig, id, sequence);

  cr_assert_eq (announce (rig, &announced), 200);
}

/* Handler of a peer that keeps the caller's service of each request. */
static void
on_peer_begin (void *context, struct jl_request *request)
{
  GPtrArray *services = context;

  g_ptr_array_add (services, g_strdup (jl_head_get (jl_request_head (request),
                                                    JL_HEADER_CALLER_SERVICE)));
  jl_request_reply (request, 404, "", "", 0);
}

/* Opens a daemon beside a target of the service "deep". Returns the callers'
 * services of the requests that it gets. */
static GPtrArray *
open_deep (struct rig *rig)
{
  static const struct jl_handler handler = { .begin = on_peer_begin };
  GPtrArray *services = g_ptr_array_new ();
  const char *why = NULL;

  rig_install_call_route (rig);
  rig_add_member (rig, "d6", "z1", "deep");
  cr_assert_not_null (jl_server_open (rig->store.net, rig_at (rig, OTHER_PORT),
                                      &handler, services, &why),
                      "%s", why);
  return services;
}

/* Sends a request that begins at the daemon. Returns the caller's service that
 * it carries. */
static const char *
caller_service (struct rig *rig, GPtrArray *services)
{
  guint before = services->len;
  int fd = rig_send_request (rig, ENTRY_PORT,
                             "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");

  wait_for_length (rig, services, before + 1);
  close (fd);
  return g_ptr_array_index (services, services->len - 1);
}

/* Handler of a peer or target that answers when the test says so. */
static void
on_waiting_begin (void *context, struct jl_request *request)
{
  g_ptr_array_add (context, request);
}

/* Opens a peer or target. Returns the requests that wait there. */
static GPtrArray *
open_waiting (struct rig *rig, uint16_t port)
{
  static const struct jl_handler handler = { .begin = on_waiting_begin };
  GPtrArray *requests = g_ptr_array_new ();
  const char *why = NULL;

  cr_assert_not_null (jl_server_open (rig->store.net, rig_at (rig, port),
                                      &handler, requests, &why),
                      "%s", why);
  return requests;
}

/* Sends work for a service to the guard. Returns the connection. */
static int
send_work (struct rig *rig, const char *service)
{
  char *text = g_strdup_printf (
      "GET /x HTTP/1.1\r\nHost: a\r\nX-Jackdawladder-Attempt-Id: 1\r\n%s: "
      "%s 1 5000 300 00000001 1\r\n\r\n",
      JL_WORK_FIELD, service);
  int fd = rig_send_request (rig, PEER_PORT, text);

  g_free (text);
  return fd;
}

static void
expect_refused (struct rig *rig, int fd, const char *reason)
{
  const char *answer = answer_of (rig, fd);

  cr_expect (g_str_has_prefix (answer, "HTTP/1.1 503"), "%s", answer);
  cr_expect_not_null (strstr (answer, JL_OUTCOME_FIELD ": not-run"), "%s",
                      answer);
  cr_expect_not_null (strstr (answer, reason), "%s: %s", reason, answer);
  close (fd);
}

/* Writes the settings file of the rig, in place of its options. */
static void
write_settings (struct rig *rig, const char *service, struct jl_endpoint target)
{
  static char path[] = "/tmp/identity-XXXXXX";
  char ip[JL_ENDPOINT_TEXT_SIZE];
  char to[JL_ENDPOINT_TEXT_SIZE];
  char *text;

  if (rig->settings_path == NULL)
    close (g_mkstemp (path));
  rig->settings_path = path;
  jl_endpoint_format (rig_at (rig, 0), ip);
  *strchr (ip, ':') = '\0';
  jl_endpoint_format (target, to);
  text = g_strdup_printf (
      "{\"name\":\"d5\",\"zone\":\"z1\",\"address\":\"%s\",\"service\":\"%s\","
      "\"target\":\"%s\",\"entry\":\"%s:%d\",\"ready\":\"%s:%d\","
      "\"announce\":\"%s:%d\",\"store\":\"%s:%d\",\"peer_port\":%d,"
      "\"metrics_port\":%d,\"heartbeat_s\":1,\"grace_s\":6,\"retry_ratio\":0.2,"
      "\"retry_slack\":%.0f,\"retry_window_s\":10}",
      ip, service, to, ip, ENTRY_PORT, ip, READY_PORT, ip, ANNOUNCE_PORT, ip,
      STORE_PORT, PEER_PORT, METRICS_PORT, rig->options.retry_slack);
  cr_assert (g_file_set_contents (path, text, -1, NULL));
  g_free (text);
}

/* Has the daemon read its settings, also if it has just done so. */
static void
renew (struct rig *rig)
{
  rig->proxy->options_read_us = 0;
  jl_proxy_renew_settings (rig->proxy);
}

/* Starts the rig with a settings file, beside a target of the service "front".
 */
static void
start_with_settings (struct rig *rig)
{
  write_settings (rig, "front", rig->options.target);
  rig_start (rig);
}

static void
end_with_settings (struct rig *rig)
{
  unlink (rig->settings_path);
}

/* Guards against requests that carry the service of another machine's target.
 */
Test (identity, a_heartbeat_of_another_service_changes_nothing)
{
  struct rig rig;
  struct announced strange;
  GPtrArray *services;

  rig_prepare (&rig, 101);
  rig_start (&rig);
  services = open_deep (&rig);
  heartbeat (&rig, "i-1", 1);
  strange = own (&rig, "i-9", 1);
  strange.service = "other";
  strange.address.port++;
  strange.more = ",\"born\":99";
  cr_expect_eq (announce (&rig, &strange), 421);
  cr_expect_str_eq (caller_service (&rig, services), "front");
  cr_expect_eq (strcmp (rig.proxy->self->service, "front"), 0);
  expect_target (&rig, "i-1", JL_TARGET_UP);
  cr_expect_eq (rig.proxy->target.departed_revision, 0);
  heartbeat (&rig, "i-1", 2);
  cr_expect_eq (rig.proxy->target.last.sequence, 2, "its heartbeats count");
}

Test (identity, neither_address_nor_service_alone_makes_a_heartbeat_the_own_one)
{
  struct rig rig;
  struct announced strange;

  rig_prepare (&rig, 102);
  rig_start (&rig);
  strange = own (&rig, "i-9", 1);
  strange.service = "other";
  cr_expect_eq (announce (&rig, &strange), 421);
  strange = own (&rig, "i-9", 1);
  strange.address.port++;
  cr_expect_eq (announce (&rig, &strange), 421);
  expect_target (&rig, "", JL_TARGET_NONE);
  heartbeat (&rig, "i-9", 2);
  expect_target (&rig, "i-9", JL_TARGET_UP);
}

/* An acknowledgement would bind this daemon, which does not send the target's
 * requests. */
Test (identity, a_leave_of_another_target_is_not_acknowledged)
{
  struct rig rig;
  struct announced strange;

  rig_prepare (&rig, 103);
  rig_start (&rig);
  heartbeat (&rig, "i-1", 1);
  strange = own (&rig, "i-9", 1);
  strange.service = "other";
  strange.state = "draining";
  cr_expect_eq (announce (&rig, &strange), 421);
  expect_target (&rig, "i-1", JL_TARGET_UP);
  cr_expect_eq (rig.proxy->target.departed_revision, 0);
}

/* Sends a heartbeat that a daemon does not believe, as it was restarted. */
static void
held_heartbeat (struct rig *rig, const char *id, unsigned sequence)
{
  struct announced announced = own (rig, id, sequence);

  cr_assert_eq (announce (rig, &announced), 503);
  cr_assert (rig->proxy->target.is_held);
}

/* A daemon that was restarted holds the first heartbeat of its target. */
Test (identity, a_strange_heartbeat_does_not_replace_a_held_one)
{
  struct rig rig;
  struct announced strange;

  rig_prepare (&rig, 104);
  rig.options.heartbeat_us = HEARTBEAT_MS * JL_USEC_PER_MSEC;
  rig_put_own_row (&rig);
  rig_start_now (&rig);
  held_heartbeat (&rig, "i-1", 1);
  strange = own (&rig, "i-9", 1);
  strange.service = "other";
  cr_expect_eq (announce (&rig, &strange), 421);
  rig_run (&rig, HEARTBEAT_MS);
  heartbeat (&rig, "i-1", 2);
  expect_target (&rig, "i-1", JL_TARGET_UP);
}

/* The settings change before the daemon is told, and the new target's heartbeat
 * may come first. */
Test (identity, a_heartbeat_that_only_changed_settings_name_is_taken_at_once)
{
  struct rig rig;
  struct announced former;
  struct announced next;

  rig_prepare (&rig, 105);
  start_with_settings (&rig);
  heartbeat (&rig, "i-1", 1);
  former = own (&rig, "i-1", 2);
  former.service = "front";
  next = own (&rig, "i-2", 1);
  next.service = "back";
  write_settings (&rig, "back", rig.options.target);
  rig.proxy->options_read_us = 0;
  cr_expect_eq (announce (&rig, &next), 200);
  expect_target (&rig, "i-2", JL_TARGET_UP);
  cr_expect_eq (announce (&rig, &former), 421,
                "it is no longer the own target");
  expect_target (&rig, "i-2", JL_TARGET_UP);
  end_with_settings (&rig);
}

Test (identity, many_strange_heartbeats_cause_few_reads_of_the_settings)
{
  struct rig rig;
  uint64_t begun_us;
  uint64_t read_us = 0;
  unsigned reads = 0;

  rig_prepare (&rig, 106);
  start_with_settings (&rig);
  begun_us = jl_now ();
  for (unsigned i = 0; i < FLOOD; i++)
    {
      struct announced strange = own (&rig, "i-9", i);

      strange.service = "other";
      cr_expect_eq (announce (&rig, &strange), 421);
      reads += rig.proxy->options_read_us != read_us;
      read_us = rig.proxy->options_read_us;
    }
  cr_expect_leq (reads, (jl_now () - begun_us) / (100 * JL_USEC_PER_MSEC) + 2,
                 "%u reads", reads);
  end_with_settings (&rig);
}

/* Guards against requests that carry the service of the target that was heard
 * last, while the settings name another one. */
Test (identity, requests_carry_the_service_that_the_settings_name_now)
{
  struct rig rig;
  GPtrArray *services;

  rig_prepare (&rig, 107);
  start_with_settings (&rig);
  services = open_deep (&rig);
  heartbeat (&rig, "i-1", 1);
  cr_expect_str_eq (caller_service (&rig, services), "front");
  write_settings (&rig, "back", rig.options.target);
  renew (&rig);
  cr_expect_str_eq (caller_service (&rig, services), "back");
  cr_expect_eq (strcmp (rig.proxy->self->service, "back"), 0);
  cr_expect_eq (rig.proxy->self->state, JL_TARGET_NONE);
  end_with_settings (&rig);
}

/* Guards against calls of the earlier target that carry the service of the next
 * one, since they are sent to a second daemon. */
Test (identity, a_request_keeps_the_service_with_which_it_began)
{
  struct rig rig;
  GPtrArray *services;
  GPtrArray *first;
  int fd;

  rig_prepare (&rig, 108);
  start_with_settings (&rig);
  services = open_deep (&rig);
  first = open_waiting (&rig, OTHER_PORT + 1);
  rig_add_member (&rig, "d6", "z1", "deep")->state = JL_TARGET_DOWN;
  rig_add_member (&rig, "d7", "z1", "deep")->peer.port = OTHER_PORT + 1;
  fd = rig_send_request (&rig, ENTRY_PORT,
                         "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  wait_for_length (&rig, first, 1);
  write_settings (&rig, "back", rig.options.target);
  renew (&rig);
  rig_add_member (&rig, "d6", "z1", "deep");
  jl_request_reply (
      first->pdata[0], 503,
      JL_OUTCOME_FIELD ": not-run\r\n" JL_REASON_FIELD ": draining\r\n", "", 0);
  wait_for_length (&rig, services, 1);
  cr_expect_str_eq (services->pdata[0], "front");
  close (fd);
  end_with_settings (&rig);
}

/* The address is used again by a target of another service. */
Test (identity, a_target_that_the_settings_no_longer_name_gets_no_further_work)
{
  struct rig rig;
  GPtrArray *requests;
  int running;
  int waiting;

  rig_prepare (&rig, 109);
  start_with_settings (&rig);
  requests = open_waiting (&rig, TARGET_PORT);
  heartbeat (&rig, "i-1", 1);
  running = send_work (&rig, "front");
  wait_for_length (&rig, requests, 1);
  rig.proxy->lane.limit = 1;
  waiting = send_work (&rig, "front");
  for (unsigned i = 0; i < 100 && rig.proxy->lane.waiting == 0; i++)
    rig_run (&rig, 10);
  cr_assert_eq (rig.proxy->lane.waiting, 1);
  write_settings (&rig, "back", rig.options.target);
  renew (&rig);
  expect_refused (&rig, waiting, "no-target");
  expect_refused (&rig, send_work (&rig, "front"), "no-target");
  expect_refused (&rig, send_work (&rig, "back"), "no-target");
  heartbeat (&rig, "i-2", 1);
  expect_refused (&rig, send_work (&rig, "front"), "other-service");
  cr_expect_eq (requests->len, 1, "%u requests", requests->len);
  jl_request_reply (requests->pdata[0], 200,
                    "X-Jackdawladder-Attempt-Id: 1\r\n", "", 0);
  cr_expect (g_str_has_prefix (answer_of (&rig, running), "HTTP/1.1 200"),
             "a request in progress goes on");
  send_work (&rig, "back");
  wait_for_length (&rig, requests, 2);
  close (running);
  end_with_settings (&rig);
}

Test (identity, a_target_at_another_address_gets_the_work_there)
{
  struct rig rig;
  GPtrArray *former;
  GPtrArray *next;
  struct jl_endpoint moved;
  struct announced late;

  rig_prepare (&rig, 110);
  start_with_settings (&rig);
  former = open_waiting (&rig, TARGET_PORT);
  next = open_waiting (&rig, OTHER_PORT);
  heartbeat (&rig, "i-1", 1);
  late = own (&rig, "i-1", 2);
  /* The settings that own() refers to are freed when they change. */
  late.service = "front";
  moved = rig_at (&rig, OTHER_PORT);
  write_settings (&rig, "front", moved);
  renew (&rig);
  expect_refused (&rig, send_work (&rig, "front"), "no-target");
  heartbeat (&rig, "i-2", 1);
  cr_expect_eq (announce (&rig, &late), 421);
  send_work (&rig, "front");
  wait_for_length (&rig, next, 1);
  cr_expect_eq (former->len, 0);
  end_with_settings (&rig);
}

Test (identity,
      a_held_heartbeat_is_dropped_when_the_settings_name_another_target)
{
  struct rig rig;

  rig_prepare (&rig, 111);
  write_settings (&rig, "front", rig.options.target);
  rig_put_own_row (&rig);
  rig_start_now (&rig);
  held_heartbeat (&rig, "i-1", 1);
  write_settings (&rig, "back", rig.options.target);
  renew (&rig);
  cr_expect_not (rig.proxy->target.is_held);
  rig.proxy->target.recall.is_first = true;
  jl_heartbeats_check_held (rig.proxy);
  rig_run (&rig, 150);
  expect_target (&rig, "", JL_TARGET_NONE);
  end_with_settings (&rig);
}

Test (identity, other_changes_of_the_settings_leave_the_target_in_use)
{
  struct rig rig;

  rig_prepare (&rig, 112);
  start_with_settings (&rig);
  heartbeat (&rig, "i-1", 1);
  rig.options.retry_slack = 31;
  write_settings (&rig, "front", rig.options.target);
  renew (&rig);
  cr_assert_float_eq (rig.proxy->options->retry_slack, 31, 0.1);
  expect_target (&rig, "i-1", JL_TARGET_UP);
  end_with_settings (&rig);
}

/* The settings go back to the earlier service, and a heartbeat of the target
 * that has left is late. */
Test (identity, a_target_that_has_left_does_not_come_back_with_its_settings)
{
  struct rig rig;

  rig_prepare (&rig, 113);
  start_with_settings (&rig);
  heartbeat (&rig, "i-1", 1);
  answer_of (&rig, rig_leave (&rig, "i-1"));
  write_settings (&rig, "back", rig.options.target);
  renew (&rig);
  write_settings (&rig, "front", rig.options.target);
  renew (&rig);
  cr_assert_eq (strcmp (rig.proxy->options->service, "front"), 0);
  heartbeat (&rig, "i-1", 2);
  cr_expect_eq (rig.proxy->target.state, JL_TARGET_NONE);
  end_with_settings (&rig);
}

/* Sends a leave. Returns the status of the answer, 0 for none. */
static unsigned
leave (struct rig *rig, const char *id)
{
  int fd = rig_leave (rig, id);
  unsigned status = 0;

  sscanf (answer_of (rig, fd), "HTTP/1.1 %u", &status);
  close (fd);
  return status;
}

/* Guards against work for a target whose leave was acknowledged. */
Test (identity, leaves_of_other_targets_do_not_push_out_one_that_has_left)
{
  struct rig rig;
  char id[16];

  rig_prepare (&rig, 114);
  rig_start (&rig);
  heartbeat (&rig, "i-1", 1);
  cr_assert_eq (leave (&rig, "i-1"), 200);
  heartbeat (&rig, "i-2", 1);
  for (unsigned i = 0; i < JL_TARGET_UNHEARD_MAX + 4; i++)
    {
      g_snprintf (id, sizeof id, "x-%u", i);
      cr_expect_eq (leave (&rig, id), i < JL_TARGET_UNHEARD_MAX ? 200 : 421,
                    "leave %u", i);
    }
  heartbeat (&rig, "i-1", 2);
  expect_target (&rig, "i-2", JL_TARGET_UP);
  cr_expect_not_null (
      strstr (fake_store_get (&rig.store, "targets", "d5"), "\"i-1\""));
  cr_expect_eq (leave (&rig, "i-2"), 200, "its own target can leave");
}

/* The other daemon goes on to send it work. */
Test (identity, the_leave_of_a_target_beside_another_daemon_is_not_acknowledged)
{
  struct rig rig;
  struct jl_member *other;

  rig_prepare (&rig, 115);
  rig_start (&rig);
  other = rig_add_member (&rig, "d6", "z1", "front");
  g_strlcpy (other->target, "i-6", sizeof other->target);
  other = rig_add_member (&rig, "d7", "z2", "front");
  other->target_key = jl_target_make_key (other->key, "i-7", 0);
  cr_expect_eq (leave (&rig, "i-6"), 421);
  cr_expect_eq (leave (&rig, "i-7"), 421);
  cr_expect_eq (rig.proxy->target.departed_revision, 0);
  cr_expect_eq (leave (&rig, "i-8"), 200, "it may be the own one");
  heartbeat (&rig, "i-8", 1);
  cr_expect_eq (rig.proxy->target.state, JL_TARGET_NONE);
}

/* The daemon is restarted after it has acknowledged the leave of a target of
 * which it had heard nothing. */
Test (identity, a_leave_without_a_heartbeat_holds_after_a_restart)
{
  struct rig rig;

  rig_prepare (&rig, 116);
  fake_store_put (&rig.store, "targets", "d5",
                  "{\"left\":[{\"target\":\"i-1\",\"born_ms\":99,"
                  "\"unheard\":true}]}");
  rig_start (&rig);
  heartbeat (&rig, "i-1", 7);
  cr_expect_eq (rig.proxy->target.state, JL_TARGET_NONE);
  cr_expect_eq (leave (&rig, "i-2"), 200);
  cr_expect_not_null (
      strstr (fake_store_get (&rig.store, "targets", "d5"), "\"unheard\""));
}

/* Handler of a target "i-1", which runs only what names it. */
static void
on_target_begin (void *context, struct jl_request *request)
{
  unsigned *runs = context;
  const char *asked
      = jl_head_get (jl_request_head (request), JL_HEADER_TARGET_INSTANCE);

  if (strcmp (asked, "i-1") == 0)
    {
      (*runs)++;
      jl_request_reply (request, 200, JL_HEADER_ATTEMPT_ID ": 1\r\n", "", 0);
      return;
    }
  jl_request_reply (request, 421,
                    JL_HEADER_ATTEMPT_ID ": 1\r\n" JL_HEADER_NOT_EXECUTED
                                         ": 1\r\n" JL_HEADER_INSTANCE_ID
                                         ": i-1\r\n",
                    "", 0);
}

/* Starts a rig beside the target "i-1". A heartbeat of "i-0", which ended
 * before this daemon started, arrives late. Returns the number of runs. */
static const unsigned *
start_with_late_heartbeat (struct rig *rig)
{
  static const struct jl_handler handler = { .begin = on_target_begin };
  unsigned *runs = g_new0 (unsigned, 1);
  const char *why = NULL;

  rig->options.heartbeat_us = HEARTBEAT_MS * JL_USEC_PER_MSEC;
  rig_start (rig);
  cr_assert_not_null (jl_server_open (rig->store.net, rig_at (rig, TARGET_PORT),
                                      &handler, runs, &why),
                      "%s", why);
  heartbeat (rig, "i-1", 5);
  heartbeat (rig, "i-0", 9);
  expect_target (rig, "i-0", JL_TARGET_UP);
  return runs;
}

/* Sends heartbeats at their period. */
static void
go_on (struct rig *rig, const char *id, unsigned sequence, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      rig_run (rig, HEARTBEAT_MS - 10);
      heartbeat (rig, id, sequence + i);
    }
}

/* Guards against a target that gets only requests for another one until it
 * ends. */
Test (identity,
      a_target_that_names_itself_replaces_one_whose_heartbeat_was_late)
{
  struct rig rig;
  const unsigned *runs;
  int fd;

  rig_prepare (&rig, 117);
  runs = start_with_late_heartbeat (&rig);
  expect_refused (&rig, send_work (&rig, "front"), "target-changed");
  expect_target (&rig, "i-1", JL_TARGET_UP);
  fd = send_work (&rig, "front");
  cr_expect (g_str_has_prefix (answer_of (&rig, fd), "HTTP/1.1 200"));
  cr_expect_eq (*runs, 1);
  close (fd);
  heartbeat (&rig, "i-1", 6);
  cr_expect_eq (rig.proxy->target.last.sequence, 6, "its heartbeats count");
  heartbeat (&rig, "i-0", 10);
  expect_target (&rig, "i-1", JL_TARGET_UP);
}

Test (identity, a_target_whose_heartbeats_go_on_replaces_one_heard_once)
{
  struct rig rig;

  rig_prepare (&rig, 118);
  start_with_late_heartbeat (&rig);
  go_on (&rig, "i-1", 6, 4);
  expect_target (&rig, "i-1", JL_TARGET_UP);
  cr_expect_eq (rig.proxy->target.last.sequence, 9);
}

/* A partition has delayed the heartbeats of a target that has crashed. */
Test (identity, late_heartbeats_do_not_bring_back_a_target_while_the_next_lives)
{
  struct rig rig;

  rig_prepare (&rig, 119);
  start_with_late_heartbeat (&rig);
  for (unsigned i = 0; i < 4; i++)
    {
      go_on (&rig, "i-1", 6 + i, 1);
      heartbeat (&rig, "i-0", 10 + i);
    }
  expect_target (&rig, "i-0", JL_TARGET_UP);
}

Test (identity, a_target_that_announced_its_leave_is_never_reinstated)
{
  struct rig rig;
  struct announced draining;

  rig_prepare (&rig, 120);
  start_with_late_heartbeat (&rig);
  draining = own (&rig, "i-1", 6);
  draining.state = "draining";
  cr_expect_eq (announce (&rig, &draining), 200);
  go_on (&rig, "i-1", 7, 4);
  expect_target (&rig, "i-0", JL_TARGET_UP);
  expect_refused (&rig, send_work (&rig, "front"), "target-changed");
  expect_target (&rig, "i-0", JL_TARGET_UP);
}

Test (identity, a_target_that_has_left_is_never_reinstated)
{
  struct rig rig;

  rig_prepare (&rig, 121);
  start_with_late_heartbeat (&rig);
  cr_expect_eq (leave (&rig, "i-1"), 200);
  go_on (&rig, "i-1", 7, 4);
  expect_refused (&rig, send_work (&rig, "front"), "target-changed");
  expect_target (&rig, "i-0", JL_TARGET_UP);
}

/* Whether a daemon that hears the next beacon of the rig sends work to its
 * target. */
static bool
is_used_by_other (struct rig *rig, struct jl_roster *roster)
{
  char bytes[JL_DATAGRAM_BYTES_MAX];
  unsigned hops;
  size_t size;

  rig->proxy->self->sequence++;
  size = jl_announce_encode (rig->proxy->self, JL_NONE, 0, jl_now (), bytes);
  jl_announce_read (roster, jl_roster_get_or_add (roster, "d6"), bytes, size,
                    jl_now (), &hops);
  return jl_member_accepts_work (jl_roster_get_or_add (roster, "d5"), "front",
                                 jl_now ());
}

/* The late heartbeats end with a leave, which is acknowledged. Others have
 * heard of it. */
Test (identity, a_target_is_reinstated_after_the_leave_of_the_earlier_one)
{
  struct rig rig;
  struct jl_roster other;

  rig_prepare (&rig, 122);
  jl_roster_init (&other, "z1");
  start_with_late_heartbeat (&rig);
  cr_expect (is_used_by_other (&rig, &other));
  cr_expect_eq (leave (&rig, "i-0"), 200);
  expect_target (&rig, "i-0", JL_TARGET_LEAVING);
  cr_expect_not (is_used_by_other (&rig, &other));
  go_on (&rig, "i-1", 6, 4);
  expect_target (&rig, "i-1", JL_TARGET_UP);
  cr_expect (is_used_by_other (&rig, &other));
  heartbeat (&rig, "i-0", 10);
  expect_target (&rig, "i-1", JL_TARGET_UP);
  jl_roster_clear (&other);
}

/* An earlier incarnation of this daemon has recorded the replacement. */
Test (identity, a_replaced_target_is_reinstated_after_a_restart_of_the_daemon)
{
  struct rig rig;

  rig_prepare (&rig, 123);
  rig.options.heartbeat_us = HEARTBEAT_MS * JL_USEC_PER_MSEC;
  fake_store_put (&rig.store, "targets", "d5",
                  "{\"left\":[{\"target\":\"i-1\",\"born_ms\":0,"
                  "\"replaced\":true}]}");
  rig_start (&rig);
  heartbeat (&rig, "i-1", 7);
  cr_expect_eq (rig.proxy->target.state, JL_TARGET_NONE);
  go_on (&rig, "i-1", 8, 3);
  expect_target (&rig, "i-1", JL_TARGET_UP);
  cr_expect_eq (leave (&rig, "i-1"), 200);
  cr_expect_null (
      strstr (fake_store_get (&rig.store, "targets", "d5"), "\"replaced\""));
}
