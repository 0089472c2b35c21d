/**
 * DOC: Beacons: UDP datagrams in which each daemon announces its state.
 *
 * A daemon sends a beacon to all daemons of its zone every second, more often
 * while the shed share, the spare capacity or the failure rate of the target
 * changes, and at once when its state changes or another daemon starts. A lost
 * beacon is not resent, as the next one replaces it. Daemons of other zones
 * learn of it by digests (proxy/digest.h).
 */

#include "proxy/proxy.h"

#include "policy/spill.h"
#include "proxy/announce.h"
#include "proxy/digest.h"
#include "proxy/freshness.h"
#include "proxy/hooks.h"
#include "proxy/infer.h"
#include "proxy/quota.h"
#include "proxy/report.h"

#include <arpa/inet.h>
#include <math.h>
#include <string.h>

/* Period of beacons. */
#define PERIOD_US (1000 * JL_USEC_PER_MSEC)
/* Period in which older daemons of other zones get beacons, and suspect
 * contents are told to other zones. */
#define OTHER_ZONES_PERIOD_US (2000 * JL_USEC_PER_MSEC)
/* Period of checks for changed values; the period of beacons while the values
 * keep changing. */
#define CHECK_PERIOD_US (200 * JL_USEC_PER_MSEC)
/* Minimum interval between two rounds of beacons. */
#define ROUND_GAP_US (20 * JL_USEC_PER_MSEC)
/* Time from the last beacon of a daemon to the first one of its next
 * incarnation, up to which it counts as heard until its end. */
#define HEARD_UNTIL_END_US (2500 * JL_USEC_PER_MSEC)
/* Time for which a beacon may be in transit. */
#define IN_FLIGHT_US (50 * JL_USEC_PER_MSEC)
/* Change of the shed share that is announced at once. The spare capacity and
 * the failure rate use multiples of it. */
#define CHANGE_MIN_RATIO 0.03

/**
 * struct jl_beacon - sender and receiver of beacons
 * @timer: sends the next beacons
 * @digest_timer: next step of @digest
 * @sent_us: time of the last beacons
 * @sent_other_zones_us: time of the last datagrams to other zones
 * @sent_shed_share: shed share last sent
 * @sent_spare_share: spare capacity last sent
 * @sent_failure_rate: failure rate last sent
 * @sent_guests: the local target had received work from another zone then
 * @sent_queue: requests waited at the local target when beacons were last sent
 * @buffer: received datagram
 */
struct jl_beacon
{
  struct jl_proxy *proxy;
  struct jl_digest *digest;
  uv_udp_t socket;
  struct jl_timer timer;
  struct jl_timer digest_timer;
  uint64_t sent_us;
  uint64_t sent_other_zones_us;
  double sent_shed_share;
  double sent_spare_share;
  double sent_failure_rate;
  bool sent_queue;
  bool sent_guests;
  char buffer[JL_DATAGRAM_BYTES_MAX];
};

/* Encodes this daemon's own beacon. */
static size_t
encode (struct jl_beacon *beacon, char *datagram)
{
  struct jl_proxy *proxy = beacon->proxy;

  proxy->self->sequence++;
  return jl_announce_encode (proxy->self, JL_NONE, jl_store_era (proxy->store),
                             jl_now (), datagram);
}

static void
send_to_member (struct jl_beacon *beacon, const struct jl_member *member)
{
  char datagram[JL_DATAGRAM_BYTES_MAX];

  jl_beacon_send_datagram (beacon, member->peer, datagram,
                           encode (beacon, datagram));
}

/* Tells a daemon that has just started what it has forgotten of its target. One
 * that was not heard until its end may have acknowledged a leave since. */
static void
recall_target (struct jl_beacon *beacon, const struct jl_applied *applied)
{
  struct jl_news *news = beacon->proxy->news;
  struct jl_member *member = applied->member;
  uint32_t key = applied->former_serving_key;

  jl_news_send_departed (news, member);
  if (key != 0 && !jl_member_has_departed (member, key)
      && jl_now () < applied->former_heard_us + HEARD_UNTIL_END_US)
    jl_news_send_serving (news, member, key);
}

/* Tells a daemon of the local zone that has just started what it needs. */
static void
welcome_member (struct jl_beacon *beacon, const struct jl_applied *applied)
{
  struct jl_member *member = applied->member;

  send_to_member (beacon, member);
  jl_digest_introduce (beacon->digest, member, jl_now ());
  recall_target (beacon, applied);
  jl_news_send_open (beacon->proxy->news, member, true);
}

/* Handles the restart of a daemon: its old connections are closed, it does not
 * know the other daemons yet, and requests in progress there were lost. Daemons
 * of its own zone tell it of others; those of other zones do so too, since all
 * of its zone may have been restarted. */
static void
handle_restart (struct jl_beacon *beacon, const struct jl_applied *applied)
{
  struct jl_proxy *proxy = beacon->proxy;
  struct jl_member *member = applied->member;

  jl_infer_member_lost (proxy, member);
  jl_pool_close_endpoint (proxy->peer_pool, applied->former_peer);
  if (!member->in_other_zone)
    welcome_member (beacon, applied);
  else if (jl_digest_is_representative (beacon->digest, jl_now ()))
    {
      jl_digest_note_restart (beacon->digest, member);
      recall_target (beacon, applied);
    }
}

static void
on_alive (void *context, struct jl_member *member, uint64_t heard_us)
{
  struct jl_beacon *beacon = context;

  if (member->state == JL_TARGET_UP || member->state == JL_TARGET_LEAVING)
    jl_suspects_target_lives (&beacon->proxy->suspects,
                              jl_member_target_key (member),
                              heard_us - MIN (IN_FLIGHT_US, heard_us));
}

static bool
is_newer_site (const struct jl_proxy *proxy, uint64_t version)
{
  return proxy->site == NULL ? version > 0 : version > proxy->site->version;
}

/* Acts on a beacon, or on one that was passed on, that has been applied to the
 * roster. */
static void
on_applied (void *context, const struct jl_applied *applied)
{
  struct jl_beacon *beacon = context;
  struct jl_proxy *proxy = beacon->proxy;
  struct jl_member *member = applied->member;

  if (applied->restarted)
    handle_restart (beacon, applied);
  if (jl_store_look_for_era (proxy->store, applied->store_era))
    proxy->era_heard_from = member;
  on_alive (beacon, member, member->last_beacon_us);
  if (is_newer_site (proxy, applied->site_version))
    jl_sync_fetch (proxy, member);
}

void
jl_beacon_heard (struct jl_proxy *proxy,
                 struct jl_member *sender,
                 uint64_t site_version,
                 uint64_t store_era)
{
  if (jl_store_look_for_era (proxy->store, store_era))
    proxy->era_heard_from = sender;
  if (sender->peer.port == 0 || !is_newer_site (proxy, site_version))
    return;
  sender->site_version = site_version;
  jl_sync_fetch (proxy, sender);
}

static void
on_heard (void *context,
          struct jl_member *sender,
          uint64_t site_version,
          uint64_t store_era)
{
  struct jl_beacon *beacon = context;

  jl_beacon_heard (beacon->proxy, sender, site_version, store_era);
}

static void
on_zone_changed (void *context, const struct jl_zone *zone)
{
  (void)context;
  jl_record (JL_RECORD_CHANGE, JL_RECORD_ZONE_CHANGED,
             "zone=%s heard=%d last_ms=%" PRIu64, zone->name, !zone->silent,
             (jl_now () - zone->heard_us) / JL_USEC_PER_MSEC);
}

static void
on_send (void *context, struct jl_endpoint peer, char *datagram, size_t size)
{
  jl_beacon_send_datagram (context, peer, datagram, size);
}

static const struct jl_digest_ops digest_ops = {
  .send = on_send,
  .applied = on_applied,
  .heard = on_heard,
  .alive = on_alive,
  .zone_changed = on_zone_changed,
};

static void
read_beacon (struct jl_beacon *beacon, const char *datagram, size_t size)
{
  struct jl_proxy *proxy = beacon->proxy;
  unsigned hops;
  struct jl_applied applied = jl_announce_read (
      &proxy->roster, proxy->self, datagram, size, jl_now (), &hops);

  if (applied.member != NULL)
    on_applied (beacon, &applied);
}

static struct jl_endpoint
endpoint_of (const struct sockaddr *address)
{
  const struct sockaddr_in *in = (const struct sockaddr_in *)address;
  struct jl_endpoint endpoint = { 0 };

  if (address->sa_family == AF_INET)
    {
      endpoint.ip = ntohl (in->sin_addr.s_addr);
      endpoint.port = ntohs (in->sin_port);
    }
  return endpoint;
}

static void
on_datagram (uv_udp_t *socket,
             ssize_t size,
             const uv_buf_t *buffer,
             const struct sockaddr *address,
             unsigned flags)
{
  struct jl_beacon *beacon = socket->data;

  (void)flags;
  if (size <= 0 || address == NULL)
    return;
  beacon->proxy->counters.beacons_received++;
  switch (jl_announce_format (buffer->base, (size_t)size))
    {
    case JL_FORMAT_BEACON:
    case JL_FORMAT_BRIEF:
      read_beacon (beacon, buffer->base, (size_t)size);
      break;
    case JL_FORMAT_REPORTS:
      jl_news_read (beacon->proxy->news, buffer->base, (size_t)size);
      break;
    case JL_FORMAT_DIGEST:
    case JL_FORMAT_RELAY:
      jl_digest_read (beacon->digest, buffer->base, (size_t)size,
                      endpoint_of (address), jl_now ());
      break;
    case JL_FORMAT_FRESHNESS:
      jl_freshness_read (beacon->proxy->freshness, buffer->base, (size_t)size);
      break;
    case JL_FORMAT_QUOTA_ASK:
    case JL_FORMAT_QUOTA_ANSWER:
    case JL_FORMAT_QUOTA_SHARES:
    case JL_FORMAT_QUOTA_MEMBERS:
      jl_quota_read (beacon->proxy->quota, buffer->base, (size_t)size);
      break;
    }
}

static void
on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  struct jl_beacon *beacon = handle->data;

  (void)size;
  *buffer = uv_buf_init (beacon->buffer, sizeof beacon->buffer);
}

void
jl_beacon_send_datagram (struct jl_beacon *beacon,
                         struct jl_endpoint peer,
                         char *datagram,
                         size_t size)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  uv_buf_t buffer = uv_buf_init (datagram, (unsigned)size);

  address.sin_addr.s_addr = htonl (peer.ip);
  address.sin_port = htons (peer.port);
  if (uv_udp_try_send (&beacon->socket, &buffer, 1,
                       (const struct sockaddr *)&address)
      >= 0)
    beacon->proxy->counters.beacons_sent++;
}

void
jl_beacon_send_to_zone (struct jl_beacon *beacon,
                        bool local_zone,
                        char *datagram,
                        size_t size)
{
  const struct jl_proxy *proxy = beacon->proxy;

  for (guint i = 0; i < proxy->roster.members->len; i++)
    {
      const struct jl_member *member
          = g_ptr_array_index (proxy->roster.members, i);

      if (member != proxy->self && member->peer.port != 0
          && member->in_other_zone != local_zone)
        jl_beacon_send_datagram (beacon, member->peer, datagram, size);
    }
}

/* Whether the local target has received work from another zone lately. */
static bool
has_guests (const struct jl_beacon *beacon)
{
  uint64_t guest_us = beacon->proxy->self->guest_us;

  return guest_us != 0 && jl_now () < guest_us + JL_SPILL_REST_US;
}

static void
send_to_local_zone (struct jl_beacon *beacon)
{
  const struct jl_proxy *proxy = beacon->proxy;
  char datagram[JL_DATAGRAM_BYTES_MAX];
  size_t size = encode (beacon, datagram);

  beacon->sent_us = jl_now ();
  beacon->sent_shed_share = proxy->load_shedder.shed_share;
  beacon->sent_spare_share = proxy->load_shedder.spare_share;
  beacon->sent_failure_rate = proxy->self->failure_rate;
  beacon->sent_queue = proxy->lane.waiting > 0;
  beacon->sent_guests = has_guests (beacon);
  jl_beacon_send_to_zone (beacon, true, datagram, size);
  jl_news_send_open (proxy->news, NULL, true);
}

/* Sends beacons to the older daemons of other zones, which read no digests. */
static void
send_to_older_daemons (struct jl_beacon *beacon)
{
  const GPtrArray *members = beacon->proxy->roster.members;
  uint64_t now_us = jl_now ();

  for (guint i = 0; i < members->len; i++)
    {
      const struct jl_member *member = g_ptr_array_index (members, i);

      if (now_us < member->older_until_us && member->in_other_zone)
        send_to_member (beacon, member);
    }
}

/* Sends, to daemons of other zones, what a datagram may have been lost of. */
static void
send_to_other_zones (struct jl_beacon *beacon)
{
  beacon->sent_other_zones_us = jl_now ();
  send_to_older_daemons (beacon);
  if (jl_digest_is_representative (beacon->digest, jl_now ()))
    jl_news_send_open (beacon->proxy->news, NULL, false);
}

/* Whether the values have changed enough since the last beacons to the local
 * zone. */
static bool
has_changed (const struct jl_beacon *beacon)
{
  const struct jl_load_shedder *shedder = &beacon->proxy->load_shedder;

  return fabs (shedder->shed_share - beacon->sent_shed_share) > CHANGE_MIN_RATIO
         || fabs (shedder->spare_share - beacon->sent_spare_share)
                > CHANGE_MIN_RATIO * 3
         || fabs (beacon->proxy->self->failure_rate - beacon->sent_failure_rate)
                > CHANGE_MIN_RATIO * 2
         || (shedder->shed_share > 0) != (beacon->sent_shed_share > 0)
         || (beacon->proxy->options->load_reports
             && ((beacon->proxy->lane.waiting > 0) != beacon->sent_queue
                 || has_guests (beacon) != beacon->sent_guests));
}

static void
on_timer (void *context, struct jl_timer *timer)
{
  struct jl_beacon *beacon = context;
  struct jl_proxy *proxy = beacon->proxy;
  uint64_t due_us = jl_now () + ROUND_GAP_US;

  if (has_changed (beacon) || due_us >= beacon->sent_us + PERIOD_US)
    send_to_local_zone (beacon);
  if (due_us >= beacon->sent_other_zones_us + OTHER_ZONES_PERIOD_US)
    send_to_other_zones (beacon);
  jl_loop_start_timer (proxy->loop, timer, CHECK_PERIOD_US, on_timer, beacon);
}

static void
on_digest_timer (void *context, struct jl_timer *timer)
{
  struct jl_beacon *beacon = context;
  struct jl_proxy *proxy = beacon->proxy;

  jl_digest_step (beacon->digest, proxy->self->site_version,
                  jl_store_era (proxy->store), jl_now ());
  jl_loop_start_timer (proxy->loop, timer, JL_DIGEST_STEP_US, on_digest_timer,
                       beacon);
}

static void
on_send_timer (void *context, struct jl_timer *timer)
{
  (void)timer;
  jl_beacon_send_now (context);
}

void
jl_beacon_send_now (struct jl_beacon *beacon)
{
  send_to_local_zone (beacon);
  jl_loop_start_timer (beacon->proxy->loop, &beacon->timer, CHECK_PERIOD_US,
                       on_timer, beacon);
}

void
jl_beacon_send_soon (struct jl_beacon *beacon)
{
  uint64_t now_us = jl_now ();
  uint64_t due_us = MAX (now_us, beacon->sent_us + ROUND_GAP_US);

  jl_timer_start (beacon->proxy->loop->timers, &beacon->timer, due_us,
                  on_send_timer, beacon);
}

struct jl_beacon *
jl_beacon_new (struct jl_proxy *proxy, const char **why)
{
  struct jl_beacon *beacon = g_new0 (struct jl_beacon, 1);
  struct sockaddr_in address = { .sin_family = AF_INET };
  int status;

  beacon->proxy = proxy;
  beacon->digest = jl_digest_new (&proxy->roster, proxy->self, &digest_ops,
                                  beacon, jl_now ());
  beacon->socket.data = beacon;
  address.sin_addr.s_addr = htonl (proxy->options->ip);
  address.sin_port = htons (proxy->options->peer_port);
  uv_udp_init (&proxy->loop->uv, &beacon->socket);
  status = uv_udp_bind (&beacon->socket, (const struct sockaddr *)&address, 0);
  if (status == 0)
    status = uv_udp_recv_start (&beacon->socket, on_alloc, on_datagram);
  if (status != 0)
    {
      *why = uv_strerror (status);
      jl_digest_free (beacon->digest);
      g_free (beacon);
      return NULL;
    }
  jl_loop_start_timer (proxy->loop, &beacon->timer, ROUND_GAP_US, on_send_timer,
                       beacon);
  jl_loop_start_timer (proxy->loop, &beacon->digest_timer, JL_DIGEST_STEP_US,
                       on_digest_timer, beacon);
  return beacon;
}

const struct jl_digest_counters *
jl_beacon_digest_counters (const struct jl_beacon *beacon)
{
  return jl_digest_counters (beacon->digest);
}

bool
jl_beacon_is_representative (const struct jl_beacon *beacon)
{
  return jl_digest_is_representative (beacon->digest, jl_now ());
}
