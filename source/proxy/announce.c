/**
 * DOC: Encoding and decoding of beacons, and their effect on the roster.
 */

#include "proxy/announce.h"

#include "jackdawladder/record.h"
#include "proxy/hooks.h"
#include "rpc/gen/beacon.h"

#include <math.h>
#include <string.h>

unsigned
jl_announce_milli (double share)
{
  return (unsigned)lround (share * 1000);
}

unsigned
jl_announce_hold_us (const struct jl_member *member)
{
  if (member->capacity <= 0)
    return 0;
  return (unsigned)lround (member->limit * 1e6 / member->capacity);
}

void
jl_announce_set_load (struct jl_member *member,
                      unsigned limit,
                      unsigned hold_us,
                      unsigned shed_milli,
                      unsigned spare_milli,
                      unsigned failing_milli)
{
  member->limit = limit;
  member->capacity = hold_us > 0 ? limit * 1e6 / hold_us : 0;
  member->shed_share = shed_milli / 1000.0;
  member->spare_share = spare_milli / 1000.0;
  member->failure_rate = failing_milli / 1000.0;
}

unsigned
jl_announce_format (const char *datagram, size_t size)
{
  unsigned format = 0;
  XDR xdr;

  xdrmem_create (&xdr, (char *)datagram, (u_int)size, XDR_DECODE);
  return xdr_u_int (&xdr, &format) ? format : 0;
}

static unsigned
fill_fanout (const struct jl_member *member, struct beacon_fanout *list)
{
  unsigned count = MIN (member->fanout_count, BEACON_FANOUT_MAX);

  for (unsigned i = 0; i < count; i++)
    {
      list[i].run = member->fanout[i].run;
      list[i].call = member->fanout[i].call;
      list[i].calls_milli = (u_int)lround (member->fanout[i].calls * 1000);
    }
  return count;
}

static unsigned
fill_arrivals (const struct jl_member *member, struct beacon_arrival *list)
{
  const struct jl_arrivals *arrivals = &member->arrivals;

  for (unsigned i = 0; i < arrivals->count; i++)
    {
      list[i].route = arrivals->list[i].route_key;
      list[i].count_centi = (u_int)lround (arrivals->list[i].count * 100);
    }
  return arrivals->count;
}

static bool
encode_relay (XDR *xdr,
              const struct jl_member *member,
              unsigned hops,
              uint64_t now_us)
{
  uint64_t age_us = now_us - member->last_beacon_us;
  struct beacon_relay relay = {
    .format = JL_FORMAT_RELAY,
    .hops = hops,
    .age_ms = (unsigned)(age_us / JL_USEC_PER_MSEC),
  };

  return hops == JL_NONE || xdr_beacon_relay (xdr, &relay);
}

/* Beacons that are passed on carry no load report, as it would be too old. */
static bool
encode_load (XDR *xdr,
             const struct jl_member *member,
             unsigned hops,
             uint64_t now_us)
{
  const struct jl_load_report *report = &member->load.report;
  uint64_t guest_ms = (now_us - member->guest_us) / JL_USEC_PER_MSEC;
  struct beacon_load load = {
    report->running,
    report->waiting,
    report->limit,
    report->hold_ms,
    (unsigned)MIN (guest_ms, BEACON_GUEST_NONE),
  };

  return hops != JL_NONE || member->load.heard_us == 0
         || xdr_beacon_load (xdr, &load);
}

size_t
jl_announce_encode (const struct jl_member *member,
                    unsigned hops,
                    uint64_t store_era,
                    uint64_t now_us,
                    char *datagram)
{
  struct beacon_fanout fanout[BEACON_FANOUT_MAX];
  struct beacon_arrival arrivals[BEACON_ARRIVALS_MAX];
  struct beacon_message message = {
    .format = JL_FORMAT_BEACON,
    .name = (char *)member->name,
    .zone = (char *)member->zone,
    .service = (char *)member->service,
    .target = (char *)member->target,
    .ip = member->peer.ip,
    .port = member->peer.port,
    .epoch = member->epoch,
    .sequence = member->sequence,
    .state = member->state,
    .limit = member->limit,
    .shed_milli = jl_announce_milli (member->shed_share),
    .room_milli = jl_announce_milli (member->spare_share),
    .hold_us = jl_announce_hold_us (member),
    .failing_milli = jl_announce_milli (member->failure_rate),
    .site_version = member->site_version,
    .fanout.fanout_len = fill_fanout (member, fanout),
    .fanout.fanout_val = fanout,
    .arrivals.arrivals_len = fill_arrivals (member, arrivals),
    .arrivals.arrivals_val = arrivals,
  };
  struct beacon_extension extension = { member->target_key };
  struct beacon_notice notice
      = { .store_era = store_era, .departed = member->departed };
  struct beacon_watch watch = { member->store_lost };
  XDR xdr;

  xdrmem_create (&xdr, datagram, JL_DATAGRAM_BYTES_MAX, XDR_ENCODE);
  if (!encode_relay (&xdr, member, hops, now_us)
      || !xdr_beacon_message (&xdr, &message)
      || !xdr_beacon_extension (&xdr, &extension)
      || !xdr_beacon_notice (&xdr, &notice) || !xdr_beacon_watch (&xdr, &watch)
      || !encode_load (&xdr, member, hops, now_us))
    return 0;
  return xdr_getpos (&xdr);
}

/**
 * struct beacon - a decoded beacon
 * @relayed: it was passed on
 * @heard_us: time at which its daemon sent it, at the latest
 */
struct beacon
{
  struct beacon_message message;
  struct beacon_extension extension;
  struct beacon_notice notice;
  struct beacon_watch watch;
  struct beacon_load load;
  bool relayed;
  uint64_t heard_us;
};

static void
copy_text (char *to, const char *from)
{
  g_strlcpy (to, from != NULL ? from : "", JL_TEXT_SIZE);
}

static void
read_fanout (struct jl_member *member, const struct beacon_message *message)
{
  member->fanout_count = MIN (message->fanout.fanout_len, JL_MEMBER_FANOUT_MAX);
  for (unsigned i = 0; i < member->fanout_count; i++)
    {
      const struct beacon_fanout *from = &message->fanout.fanout_val[i];

      member->fanout[i].run = from->run;
      member->fanout[i].call = from->call;
      member->fanout[i].calls = from->calls_milli / 1000.0;
    }
}

static void
read_arrivals (struct jl_member *member, const struct beacon_message *message)
{
  member->arrivals.count = 0;
  for (unsigned i = 0; i < message->arrivals.arrivals_len; i++)
    jl_arrivals_add (&member->arrivals, message->arrivals.arrivals_val[i].route,
                     message->arrivals.arrivals_val[i].count_centi / 100.0);
}

/* Logs a change that a full beacon announces: a daemon whose beacons were
 * missing, a new incarnation of the daemon or of its target, or another state.
 */
static void
log_change (const struct jl_member *member,
            const struct beacon_message *message,
            uint64_t now_us)
{
  bool was_alive = jl_member_is_alive (member, now_us);

  if (message->format == JL_FORMAT_BRIEF)
    return;
  if (was_alive && member->epoch == message->epoch
      && member->state == (enum jl_target_state)message->state
      && strcmp (member->target, message->target) == 0)
    return;
  jl_record (JL_RECORD_CHANGE, JL_RECORD_MEMBER_CHANGED,
             "name=%s zone=%s service=%s target=%s state=%s heard_before=%d "
             "sequence=%" PRIu64,
             member->name, message->zone, message->service, message->target,
             jl_target_state_name (message->state), was_alive,
             (uint64_t)message->sequence);
}

/* Updates the values that only full beacons carry. */
static void
update_identity (struct jl_roster *roster,
                 struct jl_member *member,
                 const struct beacon *beacon)
{
  const struct beacon_message *message = &beacon->message;

  jl_roster_set_zone (roster, member, message->zone);
  copy_text (member->service, message->service);
  copy_text (member->target, message->target);
  member->peer.ip = message->ip;
  member->peer.port = (uint16_t)message->port;
  member->identity_sequence = message->sequence;
  read_fanout (member, message);
  read_arrivals (member, message);
  if (beacon->extension.target_key == 0)
    return;
  g_strlcpy (member->known_target, member->target, JL_TEXT_SIZE);
  member->known_target_key = beacon->extension.target_key;
}

void
jl_announce_set_state (struct jl_member *member,
                       enum jl_target_state state,
                       uint32_t target_key,
                       bool departed)
{
  if (departed && !JL_TEST_DISABLED ("left"))
    jl_member_add_departed (member, target_key);
  if (state == JL_TARGET_UP && jl_member_has_departed (member, target_key))
    state = JL_TARGET_LEAVING;
  if (state == JL_TARGET_UP)
    member->serving_key = target_key;
  if (member->target_key != target_key)
    member->load.heard_us = 0;
  member->state = state;
  member->target_key = target_key;
  member->departed = departed;
}

/* Without a report, the limit is 0 and the report not valid. */
static void
update_load (struct jl_member *member, const struct beacon *beacon)
{
  struct jl_load_report report = { beacon->load.running, beacon->load.waiting,
                                   beacon->load.limit, beacon->load.hold_ms };

  if (beacon->relayed || !jl_load_report_is_valid (&report))
    return;
  jl_load_view_hear (&member->load, &report, beacon->heard_us);
  if (beacon->load.guest_ms < BEACON_GUEST_NONE)
    member->guest_us
        = beacon->heard_us
          - MIN (beacon->load.guest_ms * JL_USEC_PER_MSEC, beacon->heard_us);
}

static void
update_state (struct jl_member *member, const struct beacon *beacon)
{
  const struct beacon_message *message = &beacon->message;

  member->epoch = message->epoch;
  member->sequence = message->sequence;
  jl_announce_set_state (member, (enum jl_target_state)message->state,
                         beacon->extension.target_key,
                         beacon->notice.departed != 0);
  jl_announce_set_load (member, message->limit, message->hold_us,
                        message->shed_milli, message->room_milli,
                        message->failing_milli);
  update_load (member, beacon);
  member->site_version = message->site_version;
  member->store_lost = beacon->watch.store_lost != 0;
  member->last_beacon_us = MAX (member->last_beacon_us, beacon->heard_us);
}

/* Whether a beacon has the identity of the known incarnation, newer than the
 * known one, although its state is older than the known one. */
static bool
has_newer_identity (const struct jl_member *member,
                    const struct beacon_message *message)
{
  return message->format == JL_FORMAT_BEACON && message->epoch == member->epoch
         && message->sequence > member->identity_sequence;
}

/* A direct beacon of a daemon of another zone is one of an older daemon. Its
 * zone may be without digests. */
static void
note_contact (struct jl_member *member,
              const struct beacon *beacon,
              uint64_t now_us)
{
  if (beacon->relayed || member->contact == NULL)
    return;
  member->contact->heard_us = 0;
  member->contact->silent = false;
  member->older_until_us = now_us + JL_OLDER_DAEMON_US;
}

static struct jl_applied
apply (struct jl_roster *roster,
       struct jl_member *member,
       const struct beacon *beacon,
       uint64_t now_us)
{
  const struct beacon_message *message = &beacon->message;
  struct jl_applied applied = {
    .site_version = message->site_version,
    .store_era = beacon->notice.store_era,
    .former_peer = member->peer,
    .former_serving_key = member->serving_key,
    .former_heard_us = member->last_beacon_us,
    .restarted = member->epoch != message->epoch,
  };
  bool newer = jl_member_beacon_is_newer (member, message->epoch,
                                          message->sequence, now_us);

  /* A brief beacon does not describe an incarnation that is not known yet. */
  if (applied.restarted && message->format == JL_FORMAT_BRIEF)
    return applied;
  applied.identity = message->format == JL_FORMAT_BEACON
                     && (newer || has_newer_identity (member, message));
  if (!newer && !applied.identity)
    return applied;
  applied.member = member;
  if (newer)
    log_change (member, message, now_us);
  if (newer && applied.restarted)
    member->serving_key = 0;
  if (applied.identity)
    update_identity (roster, member, beacon);
  if (newer)
    update_state (member, beacon);
  note_contact (member, beacon, now_us);
  return applied;
}

/* Decodes what precedes a beacon that was passed on. Returns false if it is
 * malformed. */
static bool
decode_relay (XDR *xdr, unsigned format, struct beacon *beacon, unsigned *hops)
{
  struct beacon_relay relay;
  uint64_t age_us;

  *hops = JL_NONE;
  if (format != JL_FORMAT_RELAY)
    return true;
  if (!xdr_beacon_relay (xdr, &relay))
    return false;
  age_us = relay.age_ms * JL_USEC_PER_MSEC;
  beacon->relayed = true;
  beacon->heard_us -= MIN (age_us, beacon->heard_us);
  *hops = relay.hops;
  return true;
}

/* Older daemons send no extension, no notice, or nothing after it. */
static void
decode_extension (XDR *xdr, struct beacon *beacon)
{
  if (!xdr_beacon_extension (xdr, &beacon->extension))
    beacon->extension.target_key = 0;
  else if (!xdr_beacon_notice (xdr, &beacon->notice))
    beacon->notice = (struct beacon_notice){ 0 };
  else if (!xdr_beacon_watch (xdr, &beacon->watch))
    beacon->watch.store_lost = 0;
  else if (!xdr_beacon_load (xdr, &beacon->load))
    beacon->load.limit = 0;
}

static bool
is_valid (const struct beacon_message *message)
{
  return (message->format == JL_FORMAT_BEACON
          || message->format == JL_FORMAT_BRIEF)
         && message->state <= JL_TARGET_DOWN && message->port <= UINT16_MAX
         && message->name[0] != '\0';
}

struct jl_applied
jl_announce_read (struct jl_roster *roster,
                  const struct jl_member *self,
                  const char *datagram,
                  size_t size,
                  uint64_t now_us,
                  unsigned *hops)
{
  struct jl_applied applied = { 0 };
  struct beacon beacon = { .heard_us = now_us };
  XDR xdr;

  xdrmem_create (&xdr, (char *)datagram, (u_int)size, XDR_DECODE);
  if (decode_relay (&xdr, jl_announce_format (datagram, size), &beacon, hops)
      && xdr_beacon_message (&xdr, &beacon.message)
      && is_valid (&beacon.message)
      && strcmp (beacon.message.name, self->name) != 0)
    {
      decode_extension (&xdr, &beacon);
      applied
          = apply (roster, jl_roster_get_or_add (roster, beacon.message.name),
                   &beacon, now_us);
    }
  xdr_free ((xdrproc_t)xdr_beacon_message, &beacon.message);
  return applied;
}
