/**
 * DOC: Tests of targets whose responses name a limit of requests a second, or
 * say that they leave.
 */

#include <criterion/criterion.h>

#include <string.h>
#include <unistd.h>

#include "proxy/parts/rig.h"

/**
 * struct play - a proxy and its target
 * @fields: header lines that the target adds to its responses
 * @status: status of its responses
 * @arrivals: requests that have reached it
 */
struct play
{
  struct rig rig;
  const char *fields;
  unsigned status;
  unsigned arrivals;
};

static void
on_request (void *context, struct jl_request *request)
{
  struct play *play = context;
  const char *id
      = jl_head_get (jl_request_head (request), "X-Jackdawladder-Attempt-Id");
  char *fields = g_strdup_printf ("X-Jackdawladder-Attempt-Id: %s\r\n%s",
                                  id != NULL ? id : "-", play->fields);

  play->arrivals++;
  jl_request_reply (request, play->status, fields, "ok", 2);
  g_free (fields);
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
                         ": front 1 5000 300 00000001 1\r\n\r\n",
                         number);
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
