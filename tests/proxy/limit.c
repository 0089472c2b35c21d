/**
 * DOC: Tests of targets whose responses name a limit of requests a second, or
 * say that they leave.
 */

#include <criterion/criterion.h>

#include <math.h>
#include <string.h>
#include <unistd.h>

#include "proxy/parts/rig.h"

/**
 * struct play - a proxy and its target
 * @fields: header lines that the target adds to its responses
 * @status: status of its responses, 0 for none
 * @told: what the entries know of the target, at the end of the field of work
 * @arrivals: requests that have reached it
 * @held: the last request without a response
 */
struct play
{
  struct rig rig;
  const char *fields;
  unsigned status;
  char told[32];
  unsigned arrivals;
  struct jl_request *held;
};

/* Answers a request as the target. */
static void
answer (struct play *play, struct jl_request *request, unsigned status)
{
  const char *id
      = jl_head_get (jl_request_head (request), "X-Jackdawladder-Attempt-Id");
  char *fields = g_strdup_printf ("X-Jackdawladder-Attempt-Id: %s\r\n%s",
                                  id != NULL ? id : "-", play->fields);

  jl_request_reply (request, status, fields, "ok", 2);
  g_free (fields);
}

static void
on_request (void *context, struct jl_request *request)
{
  struct play *play = context;

  play->arrivals++;
  if (play->status != 0)
    answer (play, request, play->status);
  else
    play->held = request;
}

static void
begin (struct play *play, unsigned host)
{
  static const struct jl_handler target = { .begin = on_request };
  const char *why = NULL;

  memset (play, 0, sizeof *play);
  play->fields = "";
  play->status = 200;
  rig_prepare (&play->rig, host);
  cr_assert_not_null (jl_server_open (play->rig.store.net,
                                      rig_at (&play->rig, TARGET_PORT), &target,
                                      play, &why),
                      "%s", why);
  rig_start (&play->rig);
  rig_heartbeat (&play->rig, "i-1", 5, 1);
}

/* Sends work to the guard. Returns the connection. */
static int
send_work (struct play *play, unsigned number)
{
  char *text
      = g_strdup_printf ("GET /x HTTP/1.1\r\nHost: a\r\n"
                         "X-Jackdawladder-Attempt-Id: w%u\r\n" JL_WORK_FIELD
                         ": front 1 5000 300 00000001 1 0%s\r\n\r\n",
                         number, play->told);
  int fd = rig_send_request (&play->rig, PEER_PORT, text);

  g_free (text);
  return fd;
}

/* Sends one piece of work and expects a response of the target. */
static void
serve_work (struct play *play, unsigned number)
{
  unsigned before = play->arrivals;
  int fd = send_work (play, number);

  rig_run (&play->rig, 30);
  close (fd);
  cr_assert_eq (play->arrivals, before + 1, "work %u does not arrive", number);
}

/* Sends @count pieces of work, one each 10 ms. Returns the requests that the
 * rule allows in that time with a limit of @rate, as in a span of 4 s. */
static double
send_series (struct play *play, unsigned count, double rate)
{
  uint64_t began_us = jl_now ();

  for (unsigned i = 0; i < count; i++)
    {
      send_work (play, 1000 + i);
      rig_run (&play->rig, 10);
    }
  return 1.5 * rate * (double)(jl_now () - began_us) / (double)JL_USEC_PER_SEC
         + 5;
}

Test (limit, that_answers_name_bounds_what_reaches_the_target)
{
  struct play play;
  double allowed;

  begin (&play, 130);
  play.fields = "Server-Limit: 4.5\r\n";
  serve_work (&play, 1);
  play.arrivals = 0;
  allowed = send_series (&play, 100, 4.5);
  cr_assert_leq (play.arrivals, allowed, "%u arrivals, %.0f allowed",
                 play.arrivals, allowed);
  cr_assert_gt (play.arrivals, 0, "the target gets nothing");
}

Test (leaving, by_an_answer_ends_requests_to_the_target)
{
  struct play play;

  begin (&play, 131);
  play.fields = "Server-Leaving: 1\r\n";
  serve_work (&play, 1);
  play.arrivals = 0;
  rig_heartbeat (&play.rig, "i-1", 5, 2);
  send_series (&play, 5, 0);
  cr_assert_eq (play.arrivals, 0, "%u arrivals", play.arrivals);
  cr_assert_eq (play.rig.proxy->target.state, JL_TARGET_LEAVING);
}

/* Serves work until the limit of the guard is @rate. */
static void
expect_limit (struct play *play, double rate)
{
  const struct jl_rate_limit *limit = &play->rig.proxy->target_limit.rate;

  for (unsigned i = 0; i < 200 && limit->rate != rate; i++)
    {
      send_work (play, 5000 + i);
      rig_run (&play->rig, 20);
    }
  cr_expect_eq (limit->rate, rate, "%g in place of %g after \"%s\"",
                limit->rate, rate, play->fields);
}

Test (limit, is_read_from_each_spelling_and_ends_with_the_answers_that_name_it)
{
  static const struct
  {
    const char *fields;
    double rate;
  } cases[] = {
    { "server-limit: 8\r\n", 8 },
    { "X-Jackdawladder-Server-Limit:  7.25 \r\n", 7.25 },
    { "", INFINITY },
    { "Server-Limit: 9\r\nServer-Limit: 6\r\n", 6 },
    { "Server-Limit: 0\r\n", 0 },
    { "", INFINITY },
    { "Server-Limit: 0.001\r\n", 0.001 },
  };
  struct play play;

  begin (&play, 132);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      play.fields = cases[i].fields;
      expect_limit (&play, cases[i].rate);
    }
}

Test (limit, that_is_no_number_changes_nothing)
{
  static const char many_digits[]
      = "9999999999999999999999999999999999999999999999999999999999999999999";
  static const char *const values[]
      = { "",    "-1",  "+4", "nan", "inf",       "1e999", "0x10",
          "5,6", "5 6", ".5", "5.",  many_digits, "many" };
  struct play play;

  begin (&play, 133);
  play.fields = "Server-Limit: 50\r\n";
  expect_limit (&play, 50);
  for (unsigned i = 0; i < G_N_ELEMENTS (values); i++)
    {
      char *fields = g_strdup_printf ("Server-Limit: %s\r\n", values[i]);

      play.rig.proxy->target_limit.rate.named_us = 0;
      play.fields = fields;
      serve_work (&play, 100 + i);
      cr_expect_eq (play.rig.proxy->target_limit.rate.rate, 50, "%s", fields);
      play.fields = "";
      g_free (fields);
    }
}

Test (limit, is_learned_from_refusals_of_the_target_too)
{
  struct play play;

  begin (&play, 134);
  play.status = 503;
  play.fields = "Server-Limit: 3\r\nX-Jackdawladder-Not-Executed: 1\r\n";
  serve_work (&play, 1);
  cr_assert_eq (play.rig.proxy->target_limit.rate.rate, 3);
}

Test (limit, of_another_incarnation_says_nothing)
{
  struct play play;

  begin (&play, 135);
  play.fields = "Server-Limit: 3\r\n";
  serve_work (&play, 1);
  cr_assert_eq (play.rig.proxy->target_limit.rate.rate, 3);
  rig_heartbeat (&play.rig, "i-2", 6, 1);
  cr_assert_eq (play.rig.proxy->target_limit.rate.rate, INFINITY);
}

Test (limit, of_an_earlier_incarnation_that_answers_late_says_nothing)
{
  struct play play;

  begin (&play, 136);
  play.status = 0;
  send_work (&play, 1);
  rig_run (&play.rig, 30);
  cr_assert_eq (play.arrivals, 1);
  rig_heartbeat (&play.rig, "i-2", 6, 1);
  play.fields = "Server-Limit: 3\r\nServer-Leaving: 1\r\n";
  answer (&play, play.held, 200);
  rig_run (&play.rig, 30);
  cr_assert_eq (play.rig.proxy->target_limit.rate.rate, INFINITY);
  cr_assert_not (play.rig.proxy->target_limit.heard);
  cr_assert_eq (play.rig.proxy->target.state, JL_TARGET_UP);
}

/* Names a limit in the requests of entries, for an incarnation. */
static void
tell (struct play *play, uint32_t key, double rate)
{
  g_snprintf (play->told, sizeof play->told, " %08x %.3f", key, rate);
}

Test (limit, is_known_after_a_restart_from_the_requests_of_entries)
{
  struct play play;
  double allowed;

  begin (&play, 137);
  play.status = 0;
  tell (&play, jl_target_key (&play.rig.proxy->target), 2);
  allowed = send_series (&play, 60, 2);
  cr_assert_leq (play.arrivals, allowed, "%u arrivals, %.0f allowed",
                 play.arrivals, allowed);
  cr_assert_gt (play.arrivals, 0, "the target gets nothing");
}

Test (limit, that_entries_name_counts_less_than_an_answer)
{
  struct play play;

  begin (&play, 138);
  serve_work (&play, 1);
  tell (&play, jl_target_key (&play.rig.proxy->target), 2);
  serve_work (&play, 2);
  cr_assert_eq (play.rig.proxy->target_limit.rate.rate, INFINITY);
}

Test (limit, that_entries_name_for_another_incarnation_says_nothing)
{
  struct play play;

  begin (&play, 139);
  tell (&play, jl_target_key (&play.rig.proxy->target) + 1, 2);
  play.status = 0;
  send_work (&play, 1);
  rig_run (&play.rig, 30);
  cr_assert_eq (play.rig.proxy->target_limit.rate.rate, INFINITY);
}

/**
 * struct guard - a guard at another daemon
 * @line: header line that it adds to its responses
 * @work: field of work of the last request
 */
struct guard
{
  const char *line;
  char work[256];
  unsigned requests;
};

static void
on_work (void *context, struct jl_request *request)
{
  struct guard *guard = context;
  const char *work = jl_head_get (jl_request_head (request), JL_WORK_FIELD);

  guard->requests++;
  g_strlcpy (guard->work, work != NULL ? work : "", sizeof guard->work);
  jl_request_reply (request, 200, guard->line, "", 0);
}

/* Starts a proxy and a guard for a route of calls. */
static struct jl_member *
begin_entry (struct play *play, struct guard *guard, unsigned host)
{
  static const struct jl_handler handler = { .begin = on_work };
  struct jl_member *member;
  const char *why = NULL;

  memset (guard, 0, sizeof *guard);
  begin (play, host);
  cr_assert_not_null (jl_server_open (play->rig.store.net,
                                      rig_at (&play->rig, OTHER_PORT), &handler,
                                      guard, &why),
                      "%s", why);
  rig_install_call_route (&play->rig);
  member = rig_add_member (&play->rig, "d6", "z1", "deep");
  member->target_key = 0x2a;
  return member;
}

static void
call (struct play *play)
{
  int fd;

  play->rig.proxy->call_routes[0] = jl_name_key ("inner");
  play->rig.proxy->call_route_count = 1;
  fd = rig_send_request (&play->rig, ENTRY_PORT,
                         "GET /x HTTP/1.1\r\nHost: a\r\n"
                         "X-Jackdawladder-Attempt-Id: c\r\n\r\n");
  rig_run (&play->rig, 30);
  close (fd);
}

Test (limit, of_an_answer_that_was_passed_on_is_named_to_the_guard)
{
  struct play play;
  struct guard guard;

  begin_entry (&play, &guard, 143);
  guard.line = JL_TARGET_FIELD ": 0000002a 4.500 0\r\n";
  call (&play);
  cr_assert_null (strstr (guard.work, "0000002a"), "%s", guard.work);
  guard.line = "";
  call (&play);
  cr_assert (g_str_has_suffix (guard.work, " 0000002a 4.500"), "%s",
             guard.work);
  call (&play);
  cr_assert_null (strstr (guard.work, "0000002a"), "%s", guard.work);
  cr_assert_eq (guard.requests, 3);
}

Test (leaving, by_an_answer_that_was_passed_on_ends_requests_of_the_entry)
{
  struct play play;
  struct guard guard;
  struct jl_member *member = begin_entry (&play, &guard, 144);

  guard.line = JL_TARGET_FIELD ": 0000002a inf 1\r\n";
  call (&play);
  cr_assert_eq (guard.requests, 1);
  call (&play);
  cr_assert_eq (guard.requests, 1);
  cr_assert_eq (member->state, JL_TARGET_LEAVING);
  cr_assert (jl_member_has_departed (member, 0x2a));
}

Test (leaving, of_an_earlier_incarnation_does_not_end_the_present_one)
{
  struct play play;
  struct guard guard;
  struct jl_member *member = begin_entry (&play, &guard, 145);

  guard.line = JL_TARGET_FIELD ": 00000029 inf 1\r\n";
  call (&play);
  cr_assert_eq (member->state, JL_TARGET_UP);
  call (&play);
  cr_assert_eq (guard.requests, 2);
}

Test (leaving, other_than_by_the_value_1_says_nothing)
{
  struct play play;

  begin (&play, 146);
  play.fields = "Server-Leaving: 0\r\n";
  serve_work (&play, 1);
  serve_work (&play, 2);
  cr_assert_eq (play.rig.proxy->target.state, JL_TARGET_UP);
}
