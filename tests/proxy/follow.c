/**
 * DOC: Tests of how daemons hear of changes in the store: a few of each zone
 * follow it, and the others hear of changes from them.
 */

#include <criterion/criterion.h>

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/announce.h"
#include "proxy/parts/rig.h"

/* Calls that a daemon makes at its start: it reads its target's row, writes its
 * own, and reads the configuration and all daemons. */
#define START_CALLS_MAX 4
/* Time within which a new configuration is in force although the daemons that
 * follow the store have ended just before. */
#define IN_FORCE_MS 1900
/* Time within which the zone hears of a content that another zone has found to
 * end targets. */
#define TOLD_MS 300

/**
 * struct others - two daemons of the zone that precede this one
 */
struct others
{
  struct jl_member *members[2];
};

/* Lets time pass in which beacons of the others come. */
static void
run_with_others (struct rig *rig, struct others *others, unsigned ms)
{
  for (unsigned i = 0; i < ms; i += 100)
    {
      for (unsigned j = 0; j < 2; j++)
        others->members[j]->last_beacon_us = jl_now ();
      rig_run (rig, 100);
    }
}

static void
add_others (struct rig *rig, struct others *others, const char *const names[2])
{
  for (unsigned i = 0; i < 2; i++)
    others->members[i] = rig_add_member (rig, names[i], "z1", "front");
}

static void
write_configuration (struct rig *rig, unsigned version)
{
  char *text = g_strdup_printf (
      "{\"version\":\"%08x\",\"routes\":{\"columns\":[\"name\"],\"rows\":[]},"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000,"
      "\"headerTimeoutS\":3,\"idleTimeoutS\":15}}",
      version);

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
  calls = rig.store.calls;
  run_with_others (&rig, &others, 2000);
  cr_assert_eq (rig.store.calls, calls, "%u calls", rig.store.calls - calls);
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

/* Returns the number of datagrams with reports that have come. */
static unsigned
count_report_datagrams (int fd)
{
  char datagram[JL_DATAGRAM_BYTES_MAX];
  unsigned count = 0;
  ssize_t size;

  while ((size = recv (fd, datagram, sizeof datagram, MSG_DONTWAIT)) > 0)
    count += jl_announce_format (datagram, (size_t)size) == JL_FORMAT_REPORTS;
  return count;
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
  count_report_datagrams (fd);
  fake_store_put (&rig.store, "daemons", "refused/d9", text);
  run_with_others (&rig, &others, TOLD_MS);
  cr_assert_gt (count_report_datagrams (fd), 0);
  close (fd);
  g_free (text);
}
