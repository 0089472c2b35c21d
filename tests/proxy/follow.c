/**
 * DOC: Tests of how daemons hear of changes in the store: a few of each zone
 * follow it, and the others hear of changes from them.
 */

#include <criterion/criterion.h>

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/announce.h"
#include "proxy/freshness.h"
#include "proxy/parts/rig.h"
#include "rpc/gen/beacon.h"

/* Calls that a daemon makes at its start: it reads its target's row, writes its
 * own, and reads the configuration and all daemons. */
#define START_CALLS_MAX 4
/* Time within which a new configuration is in force although the daemons that
 * follow the store have ended just before. */
#define IN_FORCE_MS 1900
/* Period in which the first follower tells what it has heard of the store. */
#define TOLD_PERIOD_MS 600
/* Time within which a new configuration is in force whatever has become of
 * those that follow the store: three quarters of what the settings allow. */
#define KNOWN_RATIO 0.75
/* Reads of a slow store that a daemon may make in six seconds. */
#define SLOW_READS_MAX 3
/* Calls that a daemon may make in some seconds in which the store is away. */
#define AWAY_CALLS_MAX 3
/* Time after the return of an instance's connections from which on it must keep
 * all bounds on time. */
#define CONTACT_MS 3000
/* Time within which the zone hears of a content that another zone has found to
 * end targets. */
#define TOLD_MS 300

/**
 * struct others - two daemons of the zone that precede this one
 * @fd: socket of the first one
 * @hear_nothing: they hear nothing from the store
 * @told_us: time at which the first one told last what it has heard
 */
struct others
{
  struct jl_member *members[2];
  int fd;
  bool hear_nothing;
  uint64_t told_us;
};

static void
send_freshness_of (struct rig *rig,
                   int fd,
                   const char *name,
                   unsigned site_version,
                   unsigned age_ms)
{
  struct beacon_freshness message = {
    .format = JL_FORMAT_FRESHNESS,
    .name = (char *)name,
    .site_version = site_version,
    .age_ms = age_ms,
  };
  char datagram[JL_DATAGRAM_BYTES_MAX];
  XDR xdr;

  xdrmem_create (&xdr, datagram, sizeof datagram, XDR_ENCODE);
  cr_assert (xdr_beacon_freshness (&xdr, &message));
  rig_send_datagram (rig, fd, datagram, xdr_getpos (&xdr));
}

static void
send_freshness (struct rig *rig, int fd, const char *name, unsigned age_ms)
{
  send_freshness_of (rig, fd, name, 1, age_ms);
}

static void
tell_freshness (struct rig *rig, struct others *others)
{
  uint64_t now_us = jl_now ();

  if (others->hear_nothing
      || now_us < others->told_us + TOLD_PERIOD_MS * JL_USEC_PER_MSEC)
    return;
  others->told_us = now_us;
  send_freshness (rig, others->fd, others->members[0]->name, 0);
}

/* Lets time pass in which beacons of the others come. It passes by the clock,
 * since steps last longer on a busy machine. */
static void
run_with_others (struct rig *rig, struct others *others, unsigned ms)
{
  uint64_t until_us = jl_now () + ms * JL_USEC_PER_MSEC;

  while (jl_now () < until_us)
    {
      tell_freshness (rig, others);
      for (unsigned j = 0; j < 2; j++)
        others->members[j]->last_beacon_us = jl_now ();
      rig_run (rig, 100);
    }
}

static void
add_others (struct rig *rig, struct others *others, const char *const names[2])
{
  memset (others, 0, sizeof *others);
  others->fd = socket (AF_INET, SOCK_DGRAM, 0);
  /* Only the first follower tells. */
  others->hear_nothing = strcmp (names[0], rig->options.name) > 0;
  for (unsigned i = 0; i < 2; i++)
    others->members[i] = rig_add_member (rig, names[i], "z1", "front");
}

static char *
make_configuration (unsigned version)
{
  return g_strdup_printf (
      "{\"version\":\"%08x\",\"routes\":{\"columns\":[\"name\"],\"rows\":[]},"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000,"
      "\"headerTimeoutS\":3,\"idleTimeoutS\":15}}",
      version);
}

static void
write_configuration (struct rig *rig, unsigned version)
{
  char *text = make_configuration (version);

  fake_store_put (&rig->store, "op", "config", text);
  g_free (text);
}

static uint64_t
version_in_force (const struct rig *rig)
{
  return rig->proxy->site != NULL ? rig->proxy->site->version : 0;
}

/* Starts the daemon beside two others of its zone, and lets @ms pass. */
static void
begin (struct rig *rig,
       struct others *others,
       unsigned host,
       const char *const names[2],
       unsigned ms)
{
  rig_prepare (rig, host);
  write_configuration (rig, 1);
  rig_start_now (rig);
  add_others (rig, others, names);
  run_with_others (rig, others, ms);
}

static const char *const preceding[2] = { "d1", "d2" };
static const char *const following[2] = { "d6", "d7" };

Test (follow, one_of_many_makes_few_calls_at_its_start_and_none_at_changes)
{
  struct rig rig;
  struct others others;

  begin (&rig, &others, 70, preceding, 1500);
  cr_assert_eq (version_in_force (&rig), 1);
  cr_assert_leq (rig.store.calls, START_CALLS_MAX, "%u calls", rig.store.calls);
  for (unsigned i = 2; i < 12; i++)
    {
      write_configuration (&rig, i);
      run_with_others (&rig, &others, 100);
    }
  cr_assert_leq (rig.store.calls, START_CALLS_MAX, "%u calls", rig.store.calls);
}

Test (follow, a_change_is_in_force_soon_after_those_that_follow_have_ended)
{
  struct rig rig;
  struct others others;

  begin (&rig, &others, 71, preceding, 1000);
  write_configuration (&rig, 2);
  rig_run (&rig, IN_FORCE_MS);
  cr_assert_eq (version_in_force (&rig), 2);
}

static void
send_configuration (void *context, struct jl_request *request)
{
  const char *text = context;

  jl_request_reply (request, 200, "", text, strlen (text));
}

/* The store has come back from an older copy, nobody has written again, and the
 * daemon has been restarted. */
Test (follow, a_daemon_that_starts_takes_a_newer_version_of_others)
{
  static const struct jl_handler handler = { .begin = send_configuration };
  char *text = make_configuration (2);
  const char *why = NULL;
  struct rig rig;
  struct others others;

  begin (&rig, &others, 86, preceding, 100);
  cr_assert_eq (version_in_force (&rig), 1);
  cr_assert_not_null (jl_server_open (rig.store.net, rig_at (&rig, OTHER_PORT),
                                      &handler, text, &why),
                      "%s", why);
  send_freshness_of (&rig, others.fd, "d1", 2, 0);
  others.hear_nothing = true;
  run_with_others (&rig, &others, 300);
  cr_assert_eq (version_in_force (&rig), 2);
  run_with_others (&rig, &others, 2500);
  cr_assert_gt (rig.proxy->counters.store_checks, 0);
  cr_assert_eq (version_in_force (&rig), 2);
  g_free (text);
}

/* Lets the time pass in which a change must be known, as a ratio. */
static void
run_until_known (struct rig *rig, struct others *others)
{
  run_with_others (rig, others,
                   (unsigned)(KNOWN_RATIO * (double)rig->options.config_apply_us
                              / (double)JL_USEC_PER_MSEC));
}

Test (follow, a_change_is_known_although_those_that_follow_hear_nothing)
{
  struct rig rig;
  struct others others;

  begin (&rig, &others, 77, preceding, 1500);
  others.hear_nothing = true;
  write_configuration (&rig, 2);
  run_until_known (&rig, &others);
  cr_assert_eq (version_in_force (&rig), 2);
  cr_assert_gt (rig.proxy->counters.store_checks, 0);
}

Test (follow, a_change_is_known_in_time_where_little_time_is_allowed)
{
  struct rig rig;
  struct others others;

  rig_prepare (&rig, 78);
  rig.options.config_apply_us = JL_USEC_PER_SEC;
  write_configuration (&rig, 1);
  rig_start_now (&rig);
  add_others (&rig, &others, preceding);
  run_with_others (&rig, &others, 1500);
  others.hear_nothing = true;
  write_configuration (&rig, 2);
  run_until_known (&rig, &others);
  cr_assert_eq (version_in_force (&rig), 2);
}

Test (follow, a_change_is_known_although_the_call_that_waits_is_never_answered)
{
  struct rig rig;
  struct others others;

  begin (&rig, &others, 79, following, 1500);
  cr_assert (rig.proxy->follows_store);
  fake_store_lose_calls (&rig.store, "op");
  write_configuration (&rig, 2);
  run_until_known (&rig, &others);
  cr_assert_eq (version_in_force (&rig), 2);
}

Test (follow,
      a_new_daemon_is_known_although_the_call_for_rows_is_never_answered)
{
  struct rig rig;
  struct others others;

  begin (&rig, &others, 80, following, 1500);
  run_with_others (&rig, &others, 1000);
  fake_store_lose_calls (&rig.store, "daemons");
  fake_store_put (&rig.store, "daemons", "d9",
                  "{\"peer\":\"127.0.0.1:9\",\"zone\":\"z2\"}");
  run_with_others (&rig, &others, 2500);
  cr_assert_not_null (g_hash_table_lookup (rig.proxy->roster.by_name, "d9"));
}

Test (follow,
      a_daemon_that_does_not_reach_the_store_leaves_it_alone_for_some_time)
{
  struct rig rig;
  struct others others;
  unsigned calls;

  begin (&rig, &others, 81, preceding, 1500);
  others.hear_nothing = true;
  rig.store.away = true;
  calls = rig.store.calls;
  run_with_others (&rig, &others, 4000);
  cr_assert_gt (rig.store.calls, calls);
  cr_assert_leq (rig.store.calls, calls + AWAY_CALLS_MAX, "%u calls",
                 rig.store.calls - calls);
}

/* The others hear nothing either, so nobody would tell it of a change. */
Test (follow, a_change_is_known_soon_after_the_way_to_the_store_is_back)
{
  struct rig rig;
  struct others others;

  begin (&rig, &others, 85, preceding, 1500);
  others.hear_nothing = true;
  rig.store.away = true;
  run_with_others (&rig, &others, 1500);
  cr_assert (rig.proxy->self->store_lost);
  rig.store.away = false;
  write_configuration (&rig, 2);
  run_with_others (&rig, &others, CONTACT_MS);
  cr_assert_eq (version_in_force (&rig), 2);
}

/* Returns the number of datagrams of a format that have come. */
static unsigned
count_datagrams (int fd, unsigned format)
{
  char datagram[JL_DATAGRAM_BYTES_MAX];
  unsigned count = 0;
  ssize_t size;

  while ((size = recv (fd, datagram, sizeof datagram, MSG_DONTWAIT)) > 0)
    count += jl_announce_format (datagram, (size_t)size) == format;
  return count;
}

/* Reads that take longer than the allowed age would follow each other without a
 * pause, at all daemons, which would tell all others each time. */
Test (follow, a_slow_store_is_not_read_again_and_again)
{
  struct rig rig;
  struct others others;
  int fd;

  begin (&rig, &others, 83, preceding, 1500);
  fd = rig_open_datagrams (&rig, OTHER_PORT);
  others.hear_nothing = true;
  rig.store.late_ms = 1200;
  run_with_others (&rig, &others, 6000);
  cr_assert_gt (rig.proxy->counters.store_checks, 0);
  cr_assert_leq (rig.proxy->counters.store_checks, SLOW_READS_MAX);
  cr_assert_eq (count_datagrams (fd, JL_FORMAT_FRESHNESS), 0);
  close (fd);
}

/* A change that comes late says nothing of the time since it was made. */
Test (follow, news_that_is_late_is_as_old_as_the_call)
{
  struct rig rig;
  struct others others;

  rig_prepare (&rig, 84);
  rig.options.config_apply_us = 4 * JL_USEC_PER_SEC;
  rig.store.late_ms = 400;
  write_configuration (&rig, 1);
  rig_start_now (&rig);
  add_others (&rig, &others, following);
  run_with_others (&rig, &others, 1800);
  write_configuration (&rig, 2);
  for (unsigned i = 0; i < 250 && version_in_force (&rig) < 2; i++)
    rig_run (&rig, 10);
  cr_assert_eq (version_in_force (&rig), 2);
  cr_assert_gt (jl_freshness_age_ms (rig.proxy->freshness), 1000);
}

/* What an unknown daemon tells, and what is malformed, shows nothing. */
Test (follow, only_what_daemons_of_the_zone_tell_counts)
{
  struct rig rig;
  struct others others;

  begin (&rig, &others, 82, preceding, 1500);
  others.hear_nothing = true;
  run_with_others (&rig, &others, 300);
  send_freshness (&rig, others.fd, "nobody", 0);
  send_freshness (&rig, others.fd, "d1", G_MAXUINT32);
  rig_send_datagram (&rig, others.fd, "\0\0\0\6\0\0\0\3d1", 10);
  rig_run (&rig, 20);
  cr_assert_geq (jl_freshness_age_ms (rig.proxy->freshness), 300);
  send_freshness (&rig, others.fd, "d1", 0);
  rig_run (&rig, 20);
  cr_assert_lt (jl_freshness_age_ms (rig.proxy->freshness), 300);
}

Test (follow, a_daemon_that_follows_hears_of_a_change_at_once)
{
  struct rig rig;
  struct others others;

  begin (&rig, &others, 72, following, 1000);
  write_configuration (&rig, 2);
  run_with_others (&rig, &others, 100);
  cr_assert_eq (version_in_force (&rig), 2);
}

Test (follow, a_daemon_that_cannot_reach_the_store_leaves_it_to_others)
{
  struct rig rig;
  struct others others;

  begin (&rig, &others, 73, following, 1000);
  cr_assert (rig.proxy->follows_store);
  rig.store.away = true;
  fake_store_restore (&rig.store, 1);
  run_with_others (&rig, &others, 1000);
  cr_assert_not (rig.proxy->follows_store);
  cr_assert (rig.proxy->self->store_lost, "and tells the others");
}

/* Calls of a daemon that does not follow the store any more would be as many as
 * there are daemons, for as long as the store is away. */
Test (follow, a_daemon_that_leaves_it_to_others_makes_no_more_calls)
{
  struct rig rig;
  struct others others;
  unsigned calls;

  begin (&rig, &others, 76, following, 1000);
  rig.store.away = true;
  fake_store_restore (&rig.store, 1);
  run_with_others (&rig, &others, 1000);
  cr_assert_not (rig.proxy->follows_store);
  others.hear_nothing = false;
  calls = rig.store.calls;
  /* It is among those that follow the store again 5 s after it has lost it. */
  run_with_others (&rig, &others, 1500);
  cr_assert_eq (rig.store.calls, calls, "%u calls", rig.store.calls - calls);
  others.hear_nothing = true;
  run_with_others (&rig, &others, 2000);
  cr_assert_leq (rig.store.calls, calls + 1, "%u calls",
                 rig.store.calls - calls);
}

/* If nobody can reach the store, all who would follow it keep trying. */
Test (follow, the_return_of_the_store_is_noticed)
{
  struct rig rig;
  struct others others;

  begin (&rig, &others, 74, following, 1000);
  rig.store.away = true;
  fake_store_restore (&rig.store, 1);
  others.members[0]->store_lost = others.members[1]->store_lost = true;
  run_with_others (&rig, &others, 1500);
  cr_assert (rig.proxy->follows_store);
  rig.store.away = false;
  write_configuration (&rig, 2);
  run_with_others (&rig, &others, 1500);
  cr_assert_eq (version_in_force (&rig), 2);
}

/* A zone that is cut off from the others hears of such contents only from the
 * store, and only two of its daemons follow that. */
Test (follow, contents_that_end_targets_are_told_to_the_zone_at_once)
{
  struct rig rig;
  struct others others;
  char *text = g_strdup_printf (
      "{\"refused\":[{\"content\":\"00000000deadbeef\",\"ends\":"
      "[[7,%" G_GINT64_FORMAT ",false,0],[8,%" G_GINT64_FORMAT ",false,0]]}]}",
      g_get_real_time () / 1000, g_get_real_time () / 1000);
  int fd;

  rig_prepare (&rig, 75);
  write_configuration (&rig, 1);
  rig_start_now (&rig);
  fd = rig_open_datagrams (&rig, OTHER_PORT);
  add_others (&rig, &others, following);
  run_with_others (&rig, &others, 3000);
  count_datagrams (fd, JL_FORMAT_REPORTS);
  fake_store_put (&rig.store, "daemons", "refused/d9", text);
  run_with_others (&rig, &others, TOLD_MS);
  cr_assert_gt (count_datagrams (fd, JL_FORMAT_REPORTS), 0);
  close (fd);
  g_free (text);
}
