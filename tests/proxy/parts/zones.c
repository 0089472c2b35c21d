/**
 * DOC: A simulation of the datagrams between the daemons of several zones.
 */

#include "proxy/parts/zones.h"

#include <string.h>

/* Virtual time of one step, and the time that a datagram takes. */
#define STEP_US (5 * JL_USEC_PER_MSEC)
#define LOCAL_DELAY_US STEP_US
#define OTHER_ZONE_DELAY_US (2 * STEP_US)
/* Period of beacons. */
#define BEACON_PERIOD_US JL_USEC_PER_SEC
/* Bytes of the headers of IP and UDP. */
#define HEADER_BYTES 28
/* Time at which all daemons start. */
#define START_US (10 * JL_USEC_PER_SEC)
#define KNOWN_MS_MAX 20000

/**
 * struct datagram - a datagram on its way
 * @from: where it comes from
 */
struct datagram
{
  struct jl_endpoint from;
  struct zones_daemon *to;
  uint64_t arrives_us;
  size_t size;
  char bytes[JL_DATAGRAM_BYTES_MAX];
};

static void
send_datagram (void *context, struct jl_endpoint peer, char *bytes, size_t size)
{
  struct zones_daemon *from = context;
  struct zones_site *site = from->site;
  struct zones_daemon *to = &site->daemons[peer.port - 1];
  bool local = to->zone == from->zone;
  struct datagram *datagram;

  site->datagrams++;
  if (!local)
    site->other_zone_bytes += size + HEADER_BYTES;
  if (!local
      && (to->zone == site->cut_zone || from->zone == site->cut_zone
          || g_random_double () < site->loss))
    return;
  datagram = g_new0 (struct datagram, 1);
  datagram->from = from->self->peer;
  datagram->to = to;
  datagram->arrives_us
      = site->now_us + (local ? LOCAL_DELAY_US : OTHER_ZONE_DELAY_US);
  datagram->size = size;
  memcpy (datagram->bytes, bytes, size);
  g_queue_push_tail (&site->flying, datagram);
}

static size_t
encode_own_beacon (struct zones_daemon *daemon, char *bytes)
{
  daemon->self->sequence++;
  return jl_announce_encode (daemon->self, JL_NONE, 0, daemon->site->now_us,
                             bytes);
}

static void
on_applied (void *context, const struct jl_applied *applied)
{
  struct zones_daemon *daemon = context;
  char bytes[JL_DATAGRAM_BYTES_MAX];
  size_t size;

  if (!applied->restarted)
    return;
  if (applied->member->in_other_zone)
    {
      if (jl_digest_is_representative (daemon->digest, daemon->site->now_us))
        jl_digest_note_restart (daemon->digest, applied->member);
      return;
    }
  size = encode_own_beacon (daemon, bytes);
  send_datagram (daemon, applied->member->peer, bytes, size);
  jl_digest_introduce (daemon->digest, applied->member, daemon->site->now_us);
}

static void
on_heard (void *context,
          struct jl_member *sender,
          uint64_t site_version,
          uint64_t store_era)
{
  (void)context;
  (void)sender;
  (void)site_version;
  (void)store_era;
}

static void
on_alive (void *context, struct jl_member *member, uint64_t heard_us)
{
  (void)context;
  (void)member;
  (void)heard_us;
}

static void
on_zone_changed (void *context, const struct jl_zone *zone)
{
  struct zones_daemon *daemon = context;

  daemon->silenced += zone->silent;
}

static const struct jl_digest_ops ops = {
  .send = send_datagram,
  .applied = on_applied,
  .heard = on_heard,
  .alive = on_alive,
  .zone_changed = on_zone_changed,
};

static struct jl_member *
add_member (struct zones_daemon *daemon, const struct zones_daemon *of)
{
  char name[32];
  char zone[16];
  struct jl_member *member;

  g_snprintf (name, sizeof name, "sidecar-zone-%u-%03u", of->zone, of->index);
  g_snprintf (zone, sizeof zone, "zone-%u", of->zone);
  member = jl_roster_get_or_add (&daemon->roster, name);
  jl_roster_set_zone (&daemon->roster, member, zone);
  member->peer.port = (uint16_t)(of->index + 1);
  return member;
}

static void
start (struct zones_daemon *daemon, bool knows_others)
{
  struct zones_site *site = daemon->site;
  char zone[16];

  g_snprintf (zone, sizeof zone, "zone-%u", daemon->zone);
  jl_roster_init (&daemon->roster, zone);
  for (unsigned i = 0; knows_others && i < site->daemon_count; i++)
    add_member (daemon, &site->daemons[i]);
  daemon->self = add_member (daemon, daemon);
  g_strlcpy (daemon->self->service, "listings", JL_TEXT_SIZE);
  g_strlcpy (daemon->self->target, "i-0123456789", JL_TEXT_SIZE);
  daemon->self->epoch = site->now_us;
  daemon->self->target_key = daemon->index + 1;
  daemon->self->state = JL_TARGET_UP;
  jl_announce_set_load (daemon->self, 28, 40000, 0, 300, 0);
  daemon->digest = jl_digest_new (&daemon->roster, daemon->self, &ops, daemon,
                                  site->now_us);
  daemon->beacon_us
      = site->now_us + (uint64_t)g_random_int_range (0, 200) * 1000;
  daemon->up = true;
}

void
zones_start (struct zones_daemon *daemon)
{
  start (daemon, true);
}

void
zones_start_alone (struct zones_daemon *daemon)
{
  start (daemon, false);
}

void
zones_kill (struct zones_daemon *daemon)
{
  jl_digest_free (daemon->digest);
  jl_roster_clear (&daemon->roster);
  daemon->up = false;
}

void
zones_open (struct zones_site *site, unsigned zone_count, unsigned zone_size)
{
  memset (site, 0, sizeof *site);
  g_queue_init (&site->flying);
  site->now_us = START_US;
  site->cut_zone = JL_NONE;
  site->zone_count = zone_count;
  site->daemon_count = zone_count * zone_size;
  site->daemons = g_new0 (struct zones_daemon, site->daemon_count);
  for (unsigned i = 0; i < site->daemon_count; i++)
    {
      site->daemons[i].site = site;
      site->daemons[i].index = i;
      site->daemons[i].zone = i / zone_size;
    }
  for (unsigned i = 0; i < site->daemon_count; i++)
    zones_start (&site->daemons[i]);
}

void
zones_close (struct zones_site *site)
{
  for (unsigned i = 0; i < site->daemon_count; i++)
    if (site->daemons[i].up)
      zones_kill (&site->daemons[i]);
  g_queue_clear_full (&site->flying, g_free);
  g_free (site->daemons);
}

static void
receive (struct datagram *datagram)
{
  struct zones_daemon *daemon = datagram->to;
  uint64_t now_us = daemon->site->now_us;
  struct jl_applied applied;
  unsigned hops;

  if (!daemon->up)
    return;
  if (jl_announce_format (datagram->bytes, datagram->size) != JL_FORMAT_BEACON)
    {
      jl_digest_read (daemon->digest, datagram->bytes, datagram->size,
                      datagram->from, now_us);
      return;
    }
  applied = jl_announce_read (&daemon->roster, daemon->self, datagram->bytes,
                              datagram->size, now_us, &hops);
  if (applied.member != NULL)
    on_applied (daemon, &applied);
}

static void
send_beacons (struct zones_daemon *daemon)
{
  char bytes[JL_DATAGRAM_BYTES_MAX];
  size_t size = encode_own_beacon (daemon, bytes);

  for (guint i = 0; i < daemon->roster.members->len; i++)
    {
      const struct jl_member *member
          = g_ptr_array_index (daemon->roster.members, i);

      if (member != daemon->self && !member->in_other_zone)
        send_datagram (daemon, member->peer, bytes, size);
    }
}

static void
run_daemon (struct zones_daemon *daemon)
{
  uint64_t now_us = daemon->site->now_us;
  uint64_t phase_us = (uint64_t)daemon->index * 7 * JL_USEC_PER_MSEC;

  daemon->self->last_beacon_us = now_us;
  if (now_us >= daemon->beacon_us)
    {
      daemon->beacon_us = now_us + BEACON_PERIOD_US;
      send_beacons (daemon);
    }
  if ((now_us + phase_us) / STEP_US % (JL_DIGEST_STEP_US / STEP_US) == 0)
    jl_digest_step (daemon->digest, 1, 0, now_us);
}

static void
run_step (struct zones_site *site)
{
  guint count = g_queue_get_length (&site->flying);

  site->now_us += STEP_US;
  for (guint i = 0; i < count; i++)
    {
      struct datagram *datagram = g_queue_pop_head (&site->flying);

      if (datagram->arrives_us > site->now_us)
        {
          g_queue_push_tail (&site->flying, datagram);
          continue;
        }
      receive (datagram);
      g_free (datagram);
    }
  for (unsigned i = 0; i < site->daemon_count; i++)
    if (site->daemons[i].up)
      run_daemon (&site->daemons[i]);
}

void
zones_run (struct zones_site *site, unsigned ms)
{
  uint64_t until_us = site->now_us + ms * JL_USEC_PER_MSEC;

  while (site->now_us < until_us)
    run_step (site);
}

struct zones_daemon *
zones_daemon (struct zones_site *site, unsigned zone, unsigned rank)
{
  return &site->daemons[zone * (site->daemon_count / site->zone_count) + rank];
}

struct jl_member *
zones_view (struct zones_daemon *daemon, const struct zones_daemon *of)
{
  return add_member (daemon, of);
}

static bool
is_known (struct zones_site *site,
          const struct zones_daemon *of,
          unsigned except_zone)
{
  for (unsigned i = 0; i < site->daemon_count; i++)
    {
      struct zones_daemon *daemon = &site->daemons[i];
      const struct jl_member *member;

      if (!daemon->up || daemon->zone == except_zone)
        continue;
      member = zones_view (daemon, of);
      if (member->state != of->self->state
          || !jl_member_is_alive (member, site->now_us))
        return false;
    }
  return true;
}

unsigned
zones_run_until_known (struct zones_site *site,
                       const struct zones_daemon *of,
                       unsigned except_zone)
{
  uint64_t began_us = site->now_us;
  uint64_t until_us = began_us + KNOWN_MS_MAX * JL_USEC_PER_MSEC;

  while (site->now_us < until_us && !is_known (site, of, except_zone))
    run_step (site);
  return (unsigned)((site->now_us - began_us) / JL_USEC_PER_MSEC);
}
