/**
 * DOC: The receiving part of digests: what other zones tell, and which of them
 * have fallen silent.
 */

#include "proxy/digest-impl.h"

#include <string.h>

/* Time for which a daemon counts as a representative after a digest of it. */
#define REPRESENTS_US (2500 * JL_USEC_PER_MSEC)
/* Time without a digest after which a zone is silent, if a representative of
 * the local zone was heard so long after the last one that it would have told.
 */
#define SILENT_US (1300 * JL_USEC_PER_MSEC)
#define INFORMED_US (1000 * JL_USEC_PER_MSEC)
/* Time after which the other zones send digests to a new representative. */
#define INSTALLED_US (2500 * JL_USEC_PER_MSEC)

static void
update_representatives (struct jl_digest *digest, uint64_t now_us)
{
  for (guint i = 0; i < digest->roster->members->len; i++)
    {
      struct jl_member *member = g_ptr_array_index (digest->roster->members, i);

      if (!jl_digest_is_local (member))
        continue;
      if (!jl_roster_represents (digest->roster, member, now_us))
        member->represents_since_us = 0;
      else if (member->represents_since_us == 0)
        member->represents_since_us = now_us;
    }
}

/* Whether a representative of the local zone would have told of a digest of
 * @zone, had one come since the last one. */
static bool
would_have_told (const struct jl_digest *digest, const struct jl_zone *zone)
{
  for (guint i = 0; i < digest->roster->members->len; i++)
    {
      const struct jl_member *member
          = g_ptr_array_index (digest->roster->members, i);
      uint64_t since_us = member->represents_since_us;

      if (jl_digest_is_local (member) && since_us != 0
          && member->last_beacon_us
                 >= MAX (zone->heard_us, since_us + INSTALLED_US) + INFORMED_US)
        return true;
    }
  return false;
}

static void
find_silent_zones (struct jl_digest *digest, uint64_t now_us)
{
  for (guint i = 0; i < digest->roster->zones->len; i++)
    {
      struct jl_zone *zone = g_ptr_array_index (digest->roster->zones, i);

      if (zone->silent || zone->heard_us == 0
          || now_us < zone->heard_us + SILENT_US
          || !would_have_told (digest, zone))
        continue;
      zone->silent = true;
      digest->ops->zone_changed (digest->context, zone);
    }
}

void
jl_digest_check_zones (struct jl_digest *digest, uint64_t now_us)
{
  update_representatives (digest, now_us);
  find_silent_zones (digest, now_us);
}

static void
hear_zone (struct jl_digest *digest, struct jl_zone *zone, uint64_t now_us)
{
  bool was_silent = zone->silent;

  zone->heard_us = now_us;
  zone->silent = false;
  if (was_silent)
    digest->ops->zone_changed (digest->context, zone);
}

/* Applies one state. Returns whether it is newer than the known one. */
static bool
apply_state (struct jl_digest *digest,
             const struct beacon_state *state,
             uint64_t now_us)
{
  struct jl_member *member = jl_roster_find_key (digest->roster, state->key);
  unsigned target_state = state->limit_state & (BEACON_DEPARTED - 1);
  uint64_t age_us
      = (state->failing_age & JL_DIGEST_AGE_MS_MAX) * JL_USEC_PER_MSEC;
  uint64_t heard_us = now_us - MIN (age_us, now_us);
  int32_t ahead;

  if (member == NULL || jl_digest_is_local (member)
      || (unsigned)member->epoch != state->epoch
      || target_state > JL_TARGET_DOWN)
    {
      digest->counters.unknown++;
      return false;
    }
  ahead = (int32_t)(state->sequence - (uint32_t)member->sequence);
  if (ahead <= 0)
    return false;
  member->sequence += (uint32_t)ahead;
  jl_announce_set_state (member, (enum jl_target_state)target_state,
                         state->target_key,
                         (state->limit_state & BEACON_DEPARTED) != 0);
  jl_announce_set_load (member, state->limit_state >> 8, state->hold_us,
                        state->shed_room >> 16, state->shed_room & 0xffff,
                        state->failing_age >> 16);
  member->last_beacon_us = MAX (member->last_beacon_us, heard_us);
  digest->ops->alive (digest->context, member, heard_us);
  return true;
}

/* Sends a datagram to all other daemons of the zone. */
static void
pass_on (struct jl_digest *digest, char *datagram, size_t size)
{
  digest->counters.passed_on++;
  for (guint i = 0; i < digest->roster->members->len; i++)
    {
      const struct jl_member *member
          = g_ptr_array_index (digest->roster->members, i);

      if (jl_digest_is_local (member) && member != digest->self)
        jl_digest_send_to (digest, member, datagram, size);
    }
}

static void
pass_digest_on (struct jl_digest *digest, struct beacon_digest *message)
{
  char datagram[JL_DATAGRAM_BYTES_MAX];

  message->hops = 1;
  pass_on (digest, datagram, jl_digest_encode (message, datagram));
}

static void
apply_digest (struct jl_digest *digest,
              struct beacon_digest *message,
              struct jl_endpoint from,
              uint64_t now_us)
{
  struct jl_member *sender
      = jl_roster_get_or_add (digest->roster, message->name);
  uint64_t heard_before_us;
  bool news = false;

  if (sender->zone[0] == '\0')
    jl_roster_set_zone (digest->roster, sender, message->zone);
  if (jl_digest_is_local (sender))
    return;
  /* A daemon that has just started, and reaches no store, answers to where the
   * digest came from: by its own beacon the sender learns of its start. */
  if (sender->peer.port == 0 && message->hops == 0)
    sender->peer = from;
  heard_before_us = sender->contact->heard_us;
  digest->counters.received++;
  sender->represents_until_us = now_us + REPRESENTS_US;
  hear_zone (digest, sender->contact, now_us);
  for (unsigned i = 0; i < message->states.states_len; i++)
    if (apply_state (digest, &message->states.states_val[i], now_us))
      news = true;
  digest->ops->heard (digest->context, sender, message->site_version,
                      message->store_era);
  if (message->hops == 0
      && (news || now_us >= heard_before_us + JL_DIGEST_PERIOD_US / 2)
      && jl_digest_is_representative (digest, now_us))
    pass_digest_on (digest, message);
}

static void
read_digest (struct jl_digest *digest,
             const char *datagram,
             size_t size,
             struct jl_endpoint from,
             uint64_t now_us)
{
  struct beacon_digest message = { 0 };
  XDR xdr;

  xdrmem_create (&xdr, (char *)datagram, (u_int)size, XDR_DECODE);
  if (xdr_beacon_digest (&xdr, &message) && message.name[0] != '\0'
      && message.zone[0] != '\0')
    apply_digest (digest, &message, from, now_us);
  xdr_free ((xdrproc_t)xdr_beacon_digest, &message);
}

/* Reads a beacon that was passed on, and passes it on in this zone if it came
 * from another one. */
static void
read_relay (struct jl_digest *digest,
            const char *datagram,
            size_t size,
            uint64_t now_us)
{
  unsigned hops;
  struct jl_applied applied = jl_announce_read (digest->roster, digest->self,
                                                datagram, size, now_us, &hops);
  char copy[JL_DATAGRAM_BYTES_MAX];

  if (applied.member == NULL)
    return;
  digest->ops->applied (digest->context, &applied);
  if (hops == 0 && applied.identity && !jl_digest_is_local (applied.member)
      && jl_digest_is_representative (digest, now_us))
    pass_on (digest, copy,
             jl_digest_encode_relay (applied.member, 1, now_us, copy));
}

void
jl_digest_read (struct jl_digest *digest,
                const char *datagram,
                size_t size,
                struct jl_endpoint from,
                uint64_t now_us)
{
  if (jl_announce_format (datagram, size) == JL_FORMAT_DIGEST)
    read_digest (digest, datagram, size, from, now_us);
  else
    read_relay (digest, datagram, size, now_us);
}
