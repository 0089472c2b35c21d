/**
 * DOC: The sending part of digests: how the daemons of one zone become known in
 * the others.
 */

#include "proxy/digest-impl.h"

#include <math.h>
#include <string.h>

/* Time after its start in which a daemon does not represent its zone, since it
 * does not know yet who else could. */
#define START_US (600 * JL_USEC_PER_MSEC)
/* Period in which each daemon of the zone is in a digest. */
#define STATE_PERIOD_US (1000 * JL_USEC_PER_MSEC)
/* Changes of a share that other zones are told at once. */
#define SHED_CHANGE 0.03
#define SPARE_CHANGE 0.1
#define FAILURE_CHANGE 0.06
/* Spare share above which a change makes no difference to other zones. */
#define SPARE_ENOUGH 0.3
/* Period in which the full beacon of each daemon is passed on. */
#define RELAY_PERIOD_US (15 * JL_USEC_PER_SEC)
/* Daemons of a silent zone to which a digest is sent in each step, in turn. */
#define PROBES_MAX 4
/* Beacons sent in one step to a daemon that has just become known. */
#define INTRODUCED_PER_STEP 40

/**
 * struct introduction - beacons that are being sent to a daemon
 * @to: the daemon: of the local zone, which gets those of all zones; or of
 *      another zone, which gets those of the local zone
 * @next: index in the roster of the next one to send
 */
struct introduction
{
  struct cds_list_head link;
  struct jl_member *to;
  guint next;
};

/**
 * struct zone_link - what this daemon sends to another zone
 * @fed: the representatives that got the last digest
 * @next_probe: index in the roster from which daemons of a silent zone are
 * tried
 */
struct zone_link
{
  struct jl_zone *zone;
  unsigned fed_count;
  struct jl_member *fed[JL_REPRESENTATIVES_MAX];
  guint next_probe;
};

struct jl_digest *
jl_digest_new (struct jl_roster *roster,
               struct jl_member *self,
               const struct jl_digest_ops *ops,
               void *context,
               uint64_t now_us)
{
  struct jl_digest *digest = g_new0 (struct jl_digest, 1);

  digest->roster = roster;
  digest->self = self;
  digest->ops = ops;
  digest->context = context;
  digest->started_us = now_us;
  digest->links = g_array_new (FALSE, TRUE, sizeof (struct zone_link));
  CDS_INIT_LIST_HEAD (&digest->introductions);
  return digest;
}

static void
end_introduction (struct introduction *introduction)
{
  cds_list_del (&introduction->link);
  g_free (introduction);
}

void
jl_digest_free (struct jl_digest *digest)
{
  struct introduction *introduction;
  struct introduction *next;

  cds_list_for_each_entry_safe (introduction, next, &digest->introductions,
                                link) end_introduction (introduction);
  g_array_free (digest->links, TRUE);
  g_free (digest);
}

const struct jl_digest_counters *
jl_digest_counters (const struct jl_digest *digest)
{
  return &digest->counters;
}

bool
jl_digest_is_representative (const struct jl_digest *digest, uint64_t now_us)
{
  return now_us >= digest->started_us + START_US
         && jl_roster_represents (digest->roster, digest->self, now_us);
}

void
jl_digest_send_to (struct jl_digest *digest,
                   const struct jl_member *to,
                   char *datagram,
                   size_t size)
{
  if (size > 0 && to->peer.port != 0)
    digest->ops->send (digest->context, to->peer, datagram, size);
}

size_t
jl_digest_encode (struct beacon_digest *message, char *datagram)
{
  XDR xdr;

  xdrmem_create (&xdr, datagram, JL_DATAGRAM_BYTES_MAX, XDR_ENCODE);
  return xdr_beacon_digest (&xdr, message) ? xdr_getpos (&xdr) : 0;
}

size_t
jl_digest_encode_relay (const struct jl_member *member,
                        unsigned hops,
                        uint64_t now_us,
                        char *datagram)
{
  return jl_announce_encode (member, hops, 0, now_us, datagram);
}

/* Whether a daemon has changed so that other zones are told at once. */
static bool
has_new_state (const struct jl_member *member)
{
  const struct jl_told *told = &member->told;

  return member->state != told->state || member->epoch != told->epoch
         || member->target_key != told->target_key;
}

/* Whether the load of a daemon has changed so much that other zones are told at
 * once. */
static bool
has_new_load (const struct jl_member *member)
{
  const struct jl_told *told = &member->told;
  double spare = MIN (member->spare_share, SPARE_ENOUGH);
  double told_spare = MIN (told->spare_share, SPARE_ENOUGH);

  return fabs (member->shed_share - told->shed_share) > SHED_CHANGE
         || (member->shed_share > 0) != (told->shed_share > 0)
         || fabs (spare - told_spare) > SPARE_CHANGE
         || fabs (member->failure_rate - told->failure_rate) > FAILURE_CHANGE;
}

static void
remember_told (struct jl_member *member, uint64_t now_us)
{
  member->told = (struct jl_told){
    .at_us = now_us,
    .epoch = member->epoch,
    .target_key = member->target_key,
    .state = member->state,
    .shed_share = member->shed_share,
    .spare_share = member->spare_share,
    .failure_rate = member->failure_rate,
  };
}

/* The values of this daemon change between its beacons, so each time that they
 * are sent needs a sequence number of its own. */
static void
advance_own_sequence (const struct jl_digest *digest, struct jl_member *member)
{
  if (member == digest->self)
    member->sequence++;
}

static struct beacon_state
encode_state (const struct jl_member *member, uint64_t now_us)
{
  uint64_t age_ms = (now_us - member->last_beacon_us) / JL_USEC_PER_MSEC;
  struct beacon_state state = {
    .key = member->key,
    .epoch = (unsigned)member->epoch,
    .sequence = (unsigned)member->sequence,
    .target_key = member->target_key,
    .limit_state = member->limit << 8 | (unsigned)member->state
                   | (member->departed ? BEACON_DEPARTED : 0),
    .shed_room = jl_announce_milli (member->shed_share) << 16
                 | jl_announce_milli (member->spare_share),
    .hold_us = jl_announce_hold_us (member),
    .failing_age = jl_announce_milli (member->failure_rate) << 16
                   | (unsigned)MIN (age_ms, JL_DIGEST_AGE_MS_MAX),
  };

  return state;
}

/**
 * struct draft - a digest that is being made
 */
struct draft
{
  struct beacon_digest message;
  struct beacon_state states[BEACON_DIGEST_MAX];
};

static struct zone_link *
get_link (struct jl_digest *digest, struct jl_zone *zone)
{
  struct zone_link new_link = { .zone = zone };

  for (guint i = 0; i < digest->links->len; i++)
    if (g_array_index (digest->links, struct zone_link, i).zone == zone)
      return &g_array_index (digest->links, struct zone_link, i);
  g_array_append_val (digest->links, new_link);
  return &g_array_index (digest->links, struct zone_link,
                         digest->links->len - 1);
}

static void
introduce (struct jl_digest *digest, struct jl_member *to)
{
  struct introduction *introduction;

  cds_list_for_each_entry (introduction, &digest->introductions, link)
  {
    if (introduction->to != to)
      continue;
    introduction->next = 0;
    return;
  }
  introduction = g_new0 (struct introduction, 1);
  introduction->to = to;
  cds_list_add_tail (&introduction->link, &digest->introductions);
}

void
jl_digest_introduce (struct jl_digest *digest,
                     struct jl_member *member,
                     uint64_t now_us)
{
  if (jl_digest_is_representative (digest, now_us))
    introduce (digest, member);
}

static bool
was_fed (const struct zone_link *link, const struct jl_member *member)
{
  for (unsigned i = 0; i < link->fed_count; i++)
    if (link->fed[i] == member)
      return true;
  return false;
}

void
jl_digest_note_restart (struct jl_digest *digest,
                        const struct jl_member *member)
{
  for (guint i = 0; i < digest->links->len; i++)
    {
      struct zone_link *link
          = &g_array_index (digest->links, struct zone_link, i);

      for (unsigned j = 0; j < link->fed_count; j++)
        if (link->fed[j] == member)
          link->fed[j] = NULL;
    }
}

/* Sends the digest to the next daemons of a zone of which none is known to be
 * alive. */
static void
probe_zone (struct jl_digest *digest,
            struct zone_link *link,
            char *datagram,
            size_t size)
{
  const GPtrArray *members = digest->roster->members;
  unsigned sent = 0;

  for (guint i = 0; i < members->len && sent < PROBES_MAX; i++)
    {
      struct jl_member *member
          = g_ptr_array_index (members, link->next_probe % members->len);

      link->next_probe++;
      if (member->contact != link->zone)
        continue;
      jl_digest_send_to (digest, member, datagram, size);
      sent++;
    }
}

/* Sends a digest to the representatives of a zone. New ones get the beacons of
 * all daemons of this zone too. */
static void
feed_zone (struct jl_digest *digest,
           struct zone_link *link,
           char *datagram,
           size_t size,
           uint64_t now_us)
{
  struct jl_member *list[JL_REPRESENTATIVES_MAX];
  unsigned count = jl_roster_list_representatives (digest->roster, link->zone,
                                                   now_us, list);

  for (unsigned i = 0; i < count; i++)
    {
      if (!was_fed (link, list[i]))
        introduce (digest, list[i]);
      jl_digest_send_to (digest, list[i], datagram, size);
    }
  link->fed_count = count;
  for (unsigned i = 0; i < count; i++)
    link->fed[i] = list[i];
  if (count == 0 || link->zone->silent)
    probe_zone (digest, link, datagram, size);
}

static void
send_draft (struct jl_digest *digest, struct draft *draft, uint64_t now_us)
{
  char datagram[JL_DATAGRAM_BYTES_MAX];
  size_t size = jl_digest_encode (&draft->message, datagram);

  draft->message.states.states_len = 0;
  digest->counters.sent++;
  for (guint i = 0; i < digest->roster->zones->len; i++)
    feed_zone (digest,
               get_link (digest, g_ptr_array_index (digest->roster->zones, i)),
               datagram, size, now_us);
}

static bool
is_due (const struct jl_member *member, bool period_over, uint64_t now_us)
{
  if (!jl_digest_is_local (member) || !jl_member_is_alive (member, now_us))
    return false;
  if (has_new_state (member) || has_new_load (member))
    return true;
  return period_over && now_us >= member->told.at_us + STATE_PERIOD_US;
}

/* Sends the daemons of the zone that are due, in as many digests as needed, but
 * one in each period at least. */
static void
send_digests (struct jl_digest *digest,
              uint64_t site_version,
              uint64_t store_era,
              uint64_t now_us)
{
  /* Steps may be early by some jitter. */
  bool period_over
      = now_us + JL_DIGEST_STEP_US / 2 >= digest->sent_us + JL_DIGEST_PERIOD_US;
  struct draft draft = {
    .message = {
      .format = JL_FORMAT_DIGEST,
      .name = digest->self->name,
      .zone = digest->self->zone,
      .site_version = site_version,
      .store_era = store_era,
    },
  };

  draft.message.states.states_val = draft.states;
  for (guint i = 0; i < digest->roster->members->len; i++)
    {
      struct jl_member *member = g_ptr_array_index (digest->roster->members, i);

      if (!is_due (member, period_over, now_us))
        continue;
      advance_own_sequence (digest, member);
      draft.states[draft.message.states.states_len++]
          = encode_state (member, now_us);
      remember_told (member, now_us);
      if (draft.message.states.states_len == BEACON_DIGEST_MAX)
        send_draft (digest, &draft, now_us);
    }
  if (draft.message.states.states_len > 0 || period_over)
    send_draft (digest, &draft, now_us);
  if (period_over)
    digest->sent_us = now_us;
}

/* Passes the beacon of a daemon on to other zones: to all their representatives
 * if it is new, else to one. */
static void
relay_beacon (struct jl_digest *digest,
              struct jl_member *member,
              bool is_new,
              uint64_t now_us)
{
  char datagram[JL_DATAGRAM_BYTES_MAX];
  size_t size;

  advance_own_sequence (digest, member);
  size = jl_digest_encode_relay (member, 0, now_us, datagram);
  member->relayed_us = now_us;
  digest->counters.relayed++;
  for (guint i = 0; i < digest->links->len; i++)
    {
      const struct zone_link *link
          = &g_array_index (digest->links, struct zone_link, i);
      unsigned chosen = g_random_int () % MAX (link->fed_count, 1);

      for (unsigned j = 0; j < link->fed_count; j++)
        if (link->fed[j] != NULL && (is_new || j == chosen))
          jl_digest_send_to (digest, link->fed[j], datagram, size);
    }
}

/* Passes on the beacons of daemons that are new or have a new target, and those
 * that are due. The representatives share the latter among them by chance. */
static void
relay_beacons (struct jl_digest *digest, uint64_t now_us)
{
  for (guint i = 0; i < digest->roster->members->len; i++)
    {
      struct jl_member *member = g_ptr_array_index (digest->roster->members, i);
      bool is_new;

      if (!jl_digest_is_local (member) || !jl_member_is_alive (member, now_us))
        continue;
      is_new = member->relayed_us == 0 || member->told.epoch != member->epoch
               || member->told.target_key != member->target_key;
      if (is_new || now_us >= member->relayed_us + RELAY_PERIOD_US)
        relay_beacon (digest, member, is_new, now_us);
    }
}

/* Sends the next beacons of an introduction. Returns whether it is complete. */
static bool
continue_introduction (struct jl_digest *digest,
                       struct introduction *introduction,
                       uint64_t now_us)
{
  const GPtrArray *members = digest->roster->members;
  bool to_local = jl_digest_is_local (introduction->to);
  unsigned sent = 0;

  for (; introduction->next < members->len && sent < INTRODUCED_PER_STEP;
       introduction->next++)
    {
      struct jl_member *member
          = g_ptr_array_index (members, introduction->next);
      char datagram[JL_DATAGRAM_BYTES_MAX];

      if (member == introduction->to
          || (!to_local && !jl_digest_is_local (member))
          || !jl_member_is_alive (member, now_us))
        continue;
      advance_own_sequence (digest, member);
      jl_digest_send_to (
          digest, introduction->to, datagram,
          jl_digest_encode_relay (member, to_local ? 1 : 0, now_us, datagram));
      sent++;
    }
  return introduction->next >= members->len;
}

static void
continue_introductions (struct jl_digest *digest, uint64_t now_us)
{
  struct introduction *introduction;
  struct introduction *next;

  cds_list_for_each_entry_safe (
      introduction, next, &digest->introductions,
      link) if (continue_introduction (digest, introduction, now_us))
      end_introduction (introduction);
}

void
jl_digest_step (struct jl_digest *digest,
                uint64_t site_version,
                uint64_t store_era,
                uint64_t now_us)
{
  jl_digest_check_zones (digest, now_us);
  if (jl_digest_is_representative (digest, now_us))
    {
      relay_beacons (digest, now_us);
      send_digests (digest, site_version, store_era, now_us);
      continue_introductions (digest, now_us);
    }
}
