/**
 * DOC: Beacons: UDP datagrams in which each daemon announces its state.
 *
 * A daemon sends a full beacon to the local zone every second. Traffic to other
 * zones is expensive: they get a brief beacon, with only the values that change
 * often, every two seconds, and a full beacon every five seconds. Beacons are
 * sent more often while the shed share, the spare capacity or the failure rate
 * of the target changes, and at once when its state changes or another daemon
 * starts. A lost beacon is not resent, as the next one replaces it. If a zone
 * has many targets of a service, each sends beacons to only a share of the
 * daemons of other zones. That share falls when targets are added. A daemon
 * that is not chosen any more still gets beacons, which tell it so, until the
 * requests that it has sent have ended.
 */

#include "proxy/proxy.h"

#include "proxy/hooks.h"
#include "proxy/infer.h"
#include "proxy/report.h"
#include "rpc/gen/beacon.h"

#include <arpa/inet.h>
#include <math.h>
#include <string.h>

/* Formats of the datagrams; datagrams of other formats are dropped. */
#define BEACON_FORMAT_FULL 1
#define BEACON_FORMAT_BRIEF 2
#define DATAGRAM_BYTES_MAX 1400
/* Period of beacons to the local zone. */
#define LOCAL_ZONE_PERIOD_US (1000 * JL_USEC_PER_MSEC)
/* Period of beacons, brief or full, to other zones. */
#define OTHER_ZONE_PERIOD_US (2000 * JL_USEC_PER_MSEC)
/* Period of full beacons to other zones. */
#define OTHER_ZONE_FULL_PERIOD_US (5 * JL_USEC_PER_SEC)
/* Minimum interval of beacons to other zones, unless the state has changed. */
#define OTHER_ZONE_GAP_US (400 * JL_USEC_PER_MSEC)
/* Period of checks for changed values; the period of beacons to the local zone
 * while the values keep changing. */
#define CHECK_PERIOD_US (200 * JL_USEC_PER_MSEC)
/* Minimum interval between two rounds of beacons. */
#define ROUND_GAP_US (20 * JL_USEC_PER_MSEC)
/* Time for which a daemon that is not chosen any more still gets beacons:
 * longer than requests usually last. */
#define WITHDRAWAL_US (10 * JL_USEC_PER_SEC)
/* Time for which a beacon may be in transit. */
#define IN_FLIGHT_US (50 * JL_USEC_PER_MSEC)
/* Change of the shed share that is announced at once. The spare capacity and
 * the failure rate use multiples of it. */
#define CHANGE_MIN_RATIO 0.03

/**
 * struct jl_beacon - sender and receiver of beacons
 * @sequence: number of the last beacon sent
 * @sent_local_zone_us: time of the last beacons to the local zone
 * @sent_other_zones_us: time of the last beacons to other zones
 * @sent_full_us: time of the last full beacons to other zones
 * @sent_shed_share: shed share last sent to the local zone
 * @sent_spare_share: spare capacity last sent to the local zone
 * @sent_failure_rate: failure rate last sent to the local zone
 * @buffer: received datagram
 */
struct jl_beacon
{
  struct jl_proxy *proxy;
  uv_udp_t socket;
  struct jl_timer timer;
  uint64_t sequence;
  uint64_t sent_local_zone_us;
  uint64_t sent_other_zones_us;
  uint64_t sent_full_us;
  double sent_shed_share;
  double sent_spare_share;
  double sent_failure_rate;
  char buffer[DATAGRAM_BYTES_MAX];
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

  if (message->format == BEACON_FORMAT_BRIEF)
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
update_identity (struct jl_member *member, const struct beacon_message *message)
{
  copy_text (member->zone, message->zone);
  copy_text (member->service, message->service);
  copy_text (member->target, message->target);
  member->peer.ip = message->ip;
  member->peer.port = (uint16_t)message->port;
  read_fanout (member, message);
  read_arrivals (member, message);
}

/* Returns the state of a daemon's target. A leave that the daemon has announced
 * is binding also if the daemon has been restarted and does not know of it. */
static enum jl_target_state
target_state (struct jl_member *member,
              const struct beacon_message *message,
              uint32_t target_key,
              bool departed)
{
  enum jl_target_state state = (enum jl_target_state)message->state;

  if (departed && !JL_TEST_DISABLED ("left"))
    jl_member_add_departed (member, target_key);
  if (state == JL_TARGET_UP && jl_member_has_departed (member, target_key))
    return JL_TARGET_LEAVING;
  return state;
}

static void
update_state (struct jl_member *member,
              const struct beacon_message *message,
              uint32_t target_key,
              bool departed,
              uint64_t now_us)
{
  member->epoch = message->epoch;
  member->sequence = message->sequence;
  member->state = target_state (member, message, target_key, departed);
  member->limit = message->limit;
  member->shed_share = message->shed_milli / 1000.0;
  member->spare_share = message->room_milli / 1000.0;
  member->capacity
      = message->hold_us > 0 ? member->limit * 1e6 / message->hold_us : 0;
  member->failure_rate = message->failing_milli / 1000.0;
  member->site_version = message->site_version;
  member->last_beacon_us = now_us;
}

static bool
is_same_zone (const struct jl_proxy *proxy, const struct jl_member *member)
{
  return strcmp (member->zone, proxy->options->zone) == 0;
}

/* Handles the restart of a daemon: its old connections are closed, it does not
 * know the other daemons yet, and requests in progress there were lost. */
static void
handle_restart (struct jl_proxy *proxy, const struct jl_member *member)
{
  jl_infer_member_lost (proxy, member);
  jl_pool_close_endpoint (proxy->peer_pool, member->peer);
  jl_beacon_send_soon (proxy->beacon);
  jl_news_send_departed (proxy->news, member);
  jl_news_send_open (proxy->news, member, true);
}

static void
handle_message (struct jl_proxy *proxy,
                const struct beacon_message *message,
                uint32_t target_key,
                const struct beacon_notice *notice)
{
  struct jl_member *member;
  uint64_t now_us = jl_now ();

  if (message->state > JL_TARGET_DOWN
      || strcmp (message->name, proxy->options->name) == 0)
    return;
  member = jl_roster_get_or_add (&proxy->roster, message->name);
  if (!jl_member_beacon_is_newer (member, message->epoch, message->sequence,
                                  now_us))
    return;
  /* A brief beacon does not describe an incarnation that is not known yet. */
  if (message->format == BEACON_FORMAT_BRIEF && member->epoch != message->epoch)
    return;
  log_change (member, message, now_us);
  if (member->epoch != message->epoch)
    handle_restart (proxy, member);
  if (message->format == BEACON_FORMAT_FULL)
    update_identity (member, message);
  member->in_other_zone = !is_same_zone (proxy, member);
  update_state (member, message, target_key, notice->departed != 0, now_us);
  member->target_key = target_key;
  if (target_key != 0 && message->format == BEACON_FORMAT_FULL)
    {
      g_strlcpy (member->known_target, member->target, JL_TEXT_SIZE);
      member->known_target_key = target_key;
    }
  member->withdrawn = notice->withdrawn != 0;
  if (jl_store_look_for_era (proxy->store, notice->store_era))
    proxy->era_heard_from = member;
  if (member->state == JL_TARGET_UP || member->state == JL_TARGET_LEAVING)
    jl_suspects_target_lives (&proxy->suspects, jl_member_target_key (member),
                              now_us - IN_FLIGHT_US);
  if (proxy->site == NULL || message->site_version > proxy->site->version)
    jl_sync_fetch (proxy, member);
}

/* Whether a datagram has the format of a beacon, not of reports. */
static bool
is_beacon (char *datagram, size_t size)
{
  unsigned format = 0;
  XDR xdr;

  xdrmem_create (&xdr, datagram, (u_int)size, XDR_DECODE);
  return xdr_u_int (&xdr, &format)
         && (format == BEACON_FORMAT_FULL || format == BEACON_FORMAT_BRIEF);
}

static void
read_beacon (struct jl_proxy *proxy, char *datagram, size_t size)
{
  struct beacon_message message = { 0 };
  struct beacon_extension extension = { 0 };
  struct beacon_notice notice = { 0 };
  XDR xdr;

  xdrmem_create (&xdr, datagram, (u_int)size, XDR_DECODE);
  if (xdr_beacon_message (&xdr, &message))
    {
      /* Older daemons send no extension, or no notice. */
      if (!xdr_beacon_extension (&xdr, &extension))
        extension.target_key = 0;
      else if (!xdr_beacon_notice (&xdr, &notice))
        notice = (struct beacon_notice){ 0 };
      handle_message (proxy, &message, extension.target_key, &notice);
    }
  xdr_free ((xdrproc_t)xdr_beacon_message, &message);
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
  if (is_beacon (buffer->base, (size_t)size))
    read_beacon (beacon->proxy, buffer->base, (size_t)size);
  else
    jl_news_read (beacon->proxy->news, buffer->base, (size_t)size);
}

static void
on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  struct jl_beacon *beacon = handle->data;

  (void)size;
  *buffer = uv_buf_init (beacon->buffer, sizeof beacon->buffer);
}

static unsigned
fill_fanout (const struct jl_proxy *proxy, struct beacon_fanout *list)
{
  struct jl_fanout_entry entries[BEACON_FANOUT_MAX];
  unsigned count = jl_fanout_list (&proxy->fanout, entries, BEACON_FANOUT_MAX);

  for (unsigned i = 0; i < count; i++)
    {
      list[i].run = entries[i].run;
      list[i].call = entries[i].call;
      list[i].calls_milli = (u_int)lround (entries[i].calls * 1000);
    }
  return count;
}

static unsigned
fill_arrivals (const struct jl_proxy *proxy, struct beacon_arrival *list)
{
  const struct jl_arrivals *arrivals = &proxy->self->arrivals;

  for (unsigned i = 0; i < arrivals->count; i++)
    {
      list[i].route = arrivals->list[i].route_key;
      list[i].count_centi = (u_int)lround (arrivals->list[i].count * 100);
    }
  return arrivals->count;
}

static size_t
encode (struct jl_beacon *beacon, bool full, bool withdrawn, char *datagram)
{
  struct jl_proxy *proxy = beacon->proxy;
  static char empty[] = "";
  struct beacon_fanout fanout[BEACON_FANOUT_MAX];
  struct beacon_arrival arrivals[BEACON_ARRIVALS_MAX];
  struct beacon_message message = {
    .format = full ? BEACON_FORMAT_FULL : BEACON_FORMAT_BRIEF,
    .name = proxy->options->name,
    .zone = full ? proxy->options->zone : empty,
    .service = full ? (char *)jl_proxy_service (proxy) : empty,
    .target = full ? proxy->target.last.id : empty,
    .ip = proxy->options->advertise.ip,
    .port = proxy->options->advertise.port,
    .epoch = proxy->epoch,
    .sequence = ++beacon->sequence,
    .state = proxy->self->state,
    .limit = proxy->lane.limit,
    .shed_milli = (u_int)lround (proxy->load_shedder.shed_share * 1000),
    .room_milli = (u_int)lround (proxy->load_shedder.spare_share * 1000),
    .hold_us = (u_int)proxy->load_shedder.hold_us,
    .failing_milli = (u_int)lround (proxy->self->failure_rate * 1000),
    .site_version = proxy->site != NULL ? proxy->site->version : 0,
  };
  struct beacon_extension extension = { proxy->self->target_key };
  struct beacon_notice notice = {
    .withdrawn = withdrawn,
    .store_era = jl_store_era (proxy->store),
    .departed = proxy->target.state == JL_TARGET_LEAVING,
  };
  XDR xdr;
  size_t size = 0;

  if (full)
    {
      message.fanout.fanout_len = fill_fanout (proxy, fanout);
      message.fanout.fanout_val = fanout;
      message.arrivals.arrivals_len = fill_arrivals (proxy, arrivals);
      message.arrivals.arrivals_val = arrivals;
    }
  xdrmem_create (&xdr, datagram, DATAGRAM_BYTES_MAX, XDR_ENCODE);
  if (xdr_beacon_message (&xdr, &message)
      && xdr_beacon_extension (&xdr, &extension)
      && xdr_beacon_notice (&xdr, &notice))
    size = xdr_getpos (&xdr);
  return size;
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
  double share
      = jl_roster_announce_share (&proxy->roster, proxy->self, jl_now ());

  for (guint i = 0; i < proxy->roster.members->len; i++)
    {
      const struct jl_member *member
          = g_ptr_array_index (proxy->roster.members, i);

      if (jl_member_is_addressed (proxy->self, member, local_zone, share))
        jl_beacon_send_datagram (beacon, member->peer, datagram, size);
    }
}

static void
send_to_other_zone_members (struct jl_beacon *beacon, bool full)
{
  const struct jl_proxy *proxy = beacon->proxy;
  uint64_t now_us = jl_now ();
  double share = jl_roster_announce_share (&proxy->roster, proxy->self, now_us);
  char chosen[DATAGRAM_BYTES_MAX];
  char withdrawn[DATAGRAM_BYTES_MAX];
  size_t chosen_size = encode (beacon, full, false, chosen);
  size_t withdrawn_size = encode (beacon, full, true, withdrawn);

  for (guint i = 0; i < proxy->roster.members->len; i++)
    {
      struct jl_member *member = g_ptr_array_index (proxy->roster.members, i);

      if (jl_member_is_addressed (proxy->self, member, false, share))
        {
          member->announced_until_us = now_us + WITHDRAWAL_US;
          jl_beacon_send_datagram (beacon, member->peer, chosen, chosen_size);
        }
      else if (now_us < member->announced_until_us)
        jl_beacon_send_datagram (beacon, member->peer, withdrawn,
                                 withdrawn_size);
    }
}

static void
send_to_local_zone (struct jl_beacon *beacon)
{
  const struct jl_proxy *proxy = beacon->proxy;
  char datagram[DATAGRAM_BYTES_MAX];
  size_t size = encode (beacon, true, false, datagram);

  beacon->sent_local_zone_us = jl_now ();
  beacon->sent_shed_share = proxy->load_shedder.shed_share;
  beacon->sent_spare_share = proxy->load_shedder.spare_share;
  beacon->sent_failure_rate = proxy->self->failure_rate;
  jl_beacon_send_to_zone (beacon, true, datagram, size);
  jl_news_send_open (proxy->news, NULL, true);
}

static void
send_to_other_zones (struct jl_beacon *beacon, bool full)
{
  beacon->sent_other_zones_us = jl_now ();
  send_to_other_zone_members (beacon, full);
  if (!full)
    return;
  beacon->sent_full_us = beacon->sent_other_zones_us;
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
         || (shedder->shed_share > 0) != (beacon->sent_shed_share > 0);
}

static void
on_timer (void *context, struct jl_timer *timer)
{
  struct jl_beacon *beacon = context;
  uint64_t now_us = jl_now () + ROUND_GAP_US;
  uint64_t other_zones_age_us = now_us - beacon->sent_other_zones_us;
  bool changed = has_changed (beacon);

  if (now_us - beacon->sent_full_us >= OTHER_ZONE_FULL_PERIOD_US)
    send_to_other_zones (beacon, true);
  else if (other_zones_age_us >= OTHER_ZONE_PERIOD_US
           || (changed && other_zones_age_us >= OTHER_ZONE_GAP_US))
    send_to_other_zones (beacon, false);
  if (changed || now_us - beacon->sent_local_zone_us >= LOCAL_ZONE_PERIOD_US)
    send_to_local_zone (beacon);
  jl_loop_start_timer (beacon->proxy->loop, timer, CHECK_PERIOD_US, on_timer,
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
  send_to_other_zones (beacon, true);
  jl_loop_start_timer (beacon->proxy->loop, &beacon->timer, CHECK_PERIOD_US,
                       on_timer, beacon);
}

void
jl_beacon_send_soon (struct jl_beacon *beacon)
{
  uint64_t now_us = jl_now ();
  uint64_t due_us = MAX (now_us, beacon->sent_local_zone_us + ROUND_GAP_US);

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
      g_free (beacon);
      return NULL;
    }
  jl_loop_start_timer (proxy->loop, &beacon->timer, ROUND_GAP_US, on_send_timer,
                       beacon);
  return beacon;
}
