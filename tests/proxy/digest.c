/**
 * DOC: Tests of digests: what daemons know of other zones, how soon, and at
 * what cost, when daemons end, zones are cut off and datagrams are lost.
 */

#include <criterion/criterion.h>

#include <math.h>
#include <string.h>

#include "proxy/parts/zones.h"

/* Time within which a change is known everywhere, in ms: the next beacon, the
 * next digest, and one of both that is lost. */
#define KNOWN_MS 2500
/* Time within which a representative that has ended is replaced, in addition.
 */
#define REPLACED_MS 3000
/* Time within which other zones know a changed load of a representative: a step
 * and the way of the digest. */
#define LOAD_KNOWN_MS 250

/* Returns the number of daemons outside @zone that count it as silent. */
static unsigned
count_silent (struct zones_site *site, unsigned zone)
{
  unsigned count = 0;
  char name[16];

  g_snprintf (name, sizeof name, "zone-%u", zone);
  for (unsigned i = 0; i < site->daemon_count; i++)
    {
      const struct zones_daemon *daemon = &site->daemons[i];

      for (guint j = 0; daemon->up && j < daemon->roster.zones->len; j++)
        {
          const struct jl_zone *other
              = g_ptr_array_index (daemon->roster.zones, j);

          count += other->silent && strcmp (other->name, name) == 0;
        }
    }
  return count;
}

/* The target of a daemon becomes slow to leave: all must learn of it. */
static unsigned
ms_until_leave_is_known (struct zones_site *site, unsigned zone, unsigned rank)
{
  struct zones_daemon *daemon = zones_daemon (site, zone, rank);

  daemon->self->state = JL_TARGET_LEAVING;
  return zones_run_until_known (site, daemon, JL_NONE);
}

/* Changes the refused share of a representative. Returns the time until a
 * daemon of another zone knows it, LOAD_KNOWN_MS * 10 at most. */
static unsigned
ms_until_load_is_known (struct zones_site *site, double shed_share)
{
  struct zones_daemon *teller = zones_daemon (site, 1, 0);
  const struct jl_member *view = zones_view (zones_daemon (site, 2, 5), teller);
  unsigned ms = 0;

  teller->self->shed_share = shed_share;
  while (ms < LOAD_KNOWN_MS * 10 && fabs (view->shed_share - shed_share) > 0.01)
    {
      zones_run (site, 10);
      ms += 10;
    }
  return ms;
}

/* Requests are moved between zones by what these announce. In a burst, news
 * that is old moves them to a zone that is full by now. */
Test (digest, a_change_of_load_is_known_in_other_zones_after_one_step)
{
  struct zones_site site;
  double shed_share = 0;
  unsigned most = 0;

  g_random_set_seed (10);
  zones_open (&site, 3, 8);
  zones_run (&site, 5000);
  for (unsigned i = 0; i < 20; i++)
    {
      unsigned ms;

      shed_share = shed_share > 0.5 ? 0.1 : shed_share + 0.1;
      ms = ms_until_load_is_known (&site, shed_share);
      most = MAX (most, ms);
      zones_run (&site, 70 * (i % 7));
    }
  cr_assert_leq (most, LOAD_KNOWN_MS, "%u ms", most);
  zones_close (&site);
}

Test (digest,
      other_zones_are_told_of_all_daemons_while_the_load_of_some_changes)
{
  struct zones_site site;
  struct zones_daemon *other;

  g_random_set_seed (11);
  zones_open (&site, 3, 8);
  zones_run (&site, 5000);
  other = zones_daemon (&site, 2, 5);
  for (unsigned i = 0; i < 80; i++)
    {
      for (unsigned rank = 0; rank < JL_REPRESENTATIVES_MAX; rank++)
        zones_daemon (&site, 1, rank)->self->shed_share
            = 0.1 + 0.1 * (i / 2 % 2);
      zones_run (&site, 100);
    }
  for (unsigned rank = 1; rank < 8; rank++)
    cr_assert (
        jl_member_is_alive (zones_view (other, zones_daemon (&site, 1, rank)),
                            site.now_us),
        "daemon %u", rank);
  zones_close (&site);
}

Test (digest, all_daemons_know_each_other_soon_after_the_start)
{
  struct zones_site site;

  g_random_set_seed (1);
  zones_open (&site, 3, 8);
  zones_run (&site, 3000);
  for (unsigned i = 0; i < site.daemon_count; i++)
    cr_assert_eq (zones_run_until_known (&site, &site.daemons[i], JL_NONE), 0,
                  "daemon %u", i);
  zones_close (&site);
}

Test (digest, a_change_is_known_everywhere_although_datagrams_are_lost)
{
  struct zones_site site;

  g_random_set_seed (2);
  zones_open (&site, 3, 8);
  site.loss = 0.03;
  zones_run (&site, 5000);
  for (unsigned rank = 2; rank < 8; rank++)
    {
      unsigned ms = ms_until_leave_is_known (&site, 1, rank);

      cr_assert_leq (ms, KNOWN_MS, "%u ms", ms);
    }
  zones_close (&site);
}

/* 195 daemons in five zones. What a daemon sends to other zones must stay far
 * below the 15 KB a second that it may spend for control in all. */
Test (digest, a_large_site_sends_little_between_zones)
{
  struct zones_site site;
  double bytes;

  g_random_set_seed (3);
  zones_open (&site, 5, 39);
  zones_run (&site, 5000);
  site.other_zone_bytes = 0;
  site.datagrams = 0;
  zones_run (&site, 10000);
  bytes = (double)site.other_zone_bytes / 10 / site.daemon_count;
  cr_assert_lt (bytes, 1500, "%.0f bytes a second for each daemon", bytes);
  cr_assert_lt ((double)site.datagrams / 10 / site.daemon_count, 80,
                "%.0f datagrams a second from each daemon",
                (double)site.datagrams / 10 / site.daemon_count);
  zones_close (&site);
}

/* Both representatives of a zone end at once, and then those that have taken
 * their place. */
Test (digest, the_next_daemons_take_the_place_of_representatives_that_ended)
{
  struct zones_site site;

  g_random_set_seed (4);
  zones_open (&site, 3, 8);
  zones_run (&site, 5000);
  for (unsigned rank = 0; rank < 4; rank += 2)
    {
      unsigned ms;

      zones_kill (zones_daemon (&site, 1, rank));
      zones_kill (zones_daemon (&site, 1, rank + 1));
      ms = ms_until_leave_is_known (&site, 1, rank + 4);
      cr_assert_leq (ms, REPLACED_MS + KNOWN_MS, "%u ms", ms);
      ms = ms_until_leave_is_known (&site, 2, rank + 4);
      cr_assert_leq (ms, REPLACED_MS + KNOWN_MS, "%u ms", ms);
    }
  zones_close (&site);
}

/* While a zone has no representative, its daemons hear of no other zone. They
 * must not take those for cut off. */
Test (digest, other_zones_are_not_silent_for_want_of_own_representatives)
{
  struct zones_site site;

  g_random_set_seed (5);
  zones_open (&site, 3, 8);
  zones_run (&site, 5000);
  zones_kill (zones_daemon (&site, 1, 0));
  zones_kill (zones_daemon (&site, 1, 1));
  zones_run (&site, REPLACED_MS + KNOWN_MS);
  for (unsigned rank = 2; rank < 8; rank++)
    cr_assert_eq (zones_daemon (&site, 1, rank)->silenced, 0);
  zones_close (&site);
}

Test (digest, a_zone_that_is_cut_off_is_silent_and_then_heard_again)
{
  struct zones_site site;

  g_random_set_seed (6);
  zones_open (&site, 3, 8);
  zones_run (&site, 5000);
  cr_assert_eq (count_silent (&site, 1), 0);
  site.cut_zone = 1;
  zones_run (&site, 2000);
  cr_assert_eq (count_silent (&site, 1), 16, "the others know it in 2 s");
  cr_assert_eq (count_silent (&site, 0), 8, "%u of the zone know it",
                count_silent (&site, 0));
  cr_assert_eq (count_silent (&site, 2), 8);
  zones_run (&site, 20000);
  site.cut_zone = JL_NONE;
  cr_assert_leq (ms_until_leave_is_known (&site, 1, 5), KNOWN_MS);
  zones_run (&site, KNOWN_MS);
  cr_assert_eq (count_silent (&site, 1), 0);
  cr_assert_eq (count_silent (&site, 0) + count_silent (&site, 2), 0);
  zones_close (&site);
}

Test (digest, usual_loss_lets_no_zone_be_silent)
{
  struct zones_site site;

  g_random_set_seed (7);
  zones_open (&site, 3, 8);
  site.loss = 0.03;
  zones_run (&site, 60000);
  for (unsigned i = 0; i < site.daemon_count; i++)
    cr_assert_eq (site.daemons[i].silenced, 0);
  zones_close (&site);
}

Test (digest, a_daemon_that_starts_again_knows_all_others_at_once)
{
  struct zones_site site;
  struct zones_daemon *daemon;

  g_random_set_seed (8);
  zones_open (&site, 3, 8);
  zones_run (&site, 5000);
  daemon = zones_daemon (&site, 1, 5);
  zones_kill (daemon);
  zones_run (&site, 1000);
  zones_start (daemon);
  zones_run (&site, 1000);
  for (unsigned i = 0; i < site.daemon_count; i++)
    cr_assert (
        jl_member_is_alive (zones_view (daemon, &site.daemons[i]), site.now_us),
        "daemon %u", i);
  cr_assert_leq (ms_until_leave_is_known (&site, 1, 5), KNOWN_MS,
                 "others know its new incarnation");
  zones_close (&site);
}

/* All daemons lose power, and start again with what the store knows. */
Test (digest, all_daemons_start_again)
{
  struct zones_site site;

  g_random_set_seed (9);
  zones_open (&site, 5, 39);
  zones_run (&site, 3000);
  for (unsigned i = 0; i < site.daemon_count; i++)
    zones_kill (&site.daemons[i]);
  zones_run (&site, 1000);
  for (unsigned i = 0; i < site.daemon_count; i++)
    zones_start (&site.daemons[i]);
  site.other_zone_bytes = 0;
  zones_run (&site, 3000);
  for (unsigned i = 0; i < site.daemon_count; i++)
    cr_assert_eq (zones_run_until_known (&site, &site.daemons[i], JL_NONE), 0,
                  "daemon %u", i);
  cr_assert_lt (site.other_zone_bytes, UINT64_C (45000) * site.daemon_count,
                "%" PRIu64 " bytes from %u daemons", site.other_zone_bytes,
                site.daemon_count);
  zones_close (&site);
}

/* Digests and beacons that are cut short or changed must do no harm. */
Test (digest, malformed_datagrams_are_dropped)
{
  struct zones_site site;
  struct zones_daemon *daemon;
  GQueue flying;

  g_random_set_seed (10);
  zones_open (&site, 2, 3);
  zones_run (&site, 3000);
  flying = site.flying;
  g_queue_init (&site.flying);
  daemon = zones_daemon (&site, 0, 0);
  for (unsigned i = 0; i < 20000; i++)
    {
      char bytes[JL_DATAGRAM_BYTES_MAX];
      size_t size = jl_announce_encode (zones_daemon (&site, 1, 0)->self, 0, 0,
                                        site.now_us, bytes);

      bytes[3]
          = (char)g_random_int_range (JL_FORMAT_DIGEST, JL_FORMAT_RELAY + 1);
      for (unsigned j = 0; j < 4; j++)
        bytes[g_random_int_range (4, (gint32)size)] = (char)g_random_int ();
      jl_digest_read (daemon->digest, bytes,
                      (size_t)g_random_int_range (0, (gint32)size + 1),
                      (struct jl_endpoint){ 0 }, site.now_us);
    }
  site.flying = flying;
  cr_assert_lt (daemon->roster.members->len, 20000);
  zones_close (&site);
}

/* Guards against a daemon that knows of no other zone after its restart, and
 * whose restart no other zone learns of, while the store cannot be reached: as
 * the last one of its zone, or together with all of them. */
Test (digest, a_zone_that_is_restarted_meets_the_others_without_the_store)
{
  for (unsigned size = 1; size <= 3; size++)
    {
      struct zones_site site;
      struct zones_daemon *first;
      struct zones_daemon *other;

      g_random_set_seed (20 + size);
      zones_open (&site, 3, size);
      zones_run (&site, 4000);
      for (unsigned i = 0; i < size; i++)
        zones_kill (zones_daemon (&site, 0, i));
      zones_run (&site, 500);
      for (unsigned i = 0; i < size; i++)
        zones_start_alone (zones_daemon (&site, 0, i));
      zones_run (&site, 2500);
      first = zones_daemon (&site, 0, 0);
      for (unsigned zone = 1; zone < 3; zone++)
        for (unsigned i = 0; i < size; i++)
          {
            other = zones_daemon (&site, zone, i);
            cr_expect_eq (zones_view (other, first)->epoch, first->self->epoch,
                          "zones of %u, zone %u", size, zone);
            cr_expect (
                jl_member_is_alive (zones_view (first, other), site.now_us),
                "zones of %u, zone %u", size, zone);
          }
      zones_close (&site);
    }
}
