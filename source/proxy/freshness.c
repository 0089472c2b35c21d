/**
 * DOC: How old this daemon's knowledge of the configuration in the store is.
 */

#include "proxy/freshness.h"

#include "proxy/announce.h"
#include "proxy/hooks.h"
#include "proxy/rows.h"
#include "rpc/gen/beacon.h"

#include <math.h>

/* The ratios are of the time within which a configuration must be in force. */

/* Time for which the long poll of the first follower waits, and its maximum. */
#define POLL_RATIO 0.35
#define POLL_MAX_US (4 * JL_USEC_PER_SEC)
/* Age from which on a daemon reads the configuration itself. It is higher than
 * the wait of a poll, since answers may be late. */
#define AGE_MAX_RATIO 0.5
/* Time over which the daemons of a zone spread these reads. */
#define SPREAD_RATIO 0.1
/* Time after which a daemon that has failed to reach the store reads again.
 * With the time between two looks at the age, it stays below the time after the
 * return of its connections from which on a daemon must keep all bounds. */
#define LOST_RETRY_RATIO 0.9
/* Duration from which on a read counts as slow. */
#define SLOW_RATIO 0.1
/* Time by which a slow read delays further ones, in multiples of its duration,
 * and time for which it does so: what it brings is old when it comes. */
#define SLOW_READ_FACTOR 1.5
#define SLOW_KEPT_US (5 * JL_USEC_PER_SEC)
/* Messages to other zones within the time in which a configuration must be in
 * force. */
#define TELL_ZONES_DIVISOR 4
/* Value that counts if revoke_s is less; bounds the calls of the store. */
#define REVOKE_MIN_US (500 * JL_USEC_PER_MSEC)

/**
 * struct jl_freshness - the age
 * @confirmed_us: time as of which the configuration in force was the newest
 *                one, 0 if none is known
 * @heard_version: version that another daemon has told of and that is not in
 *                 force here yet, 0 for none
 * @heard_as_of_us: time as of which that version was the newest one
 * @heard_from: the daemon that has told of it
 * @stale: the age exceeds its maximum, which was logged
 * @checking: this daemon has begun to read the configuration itself, and no
 *            answer or news has come since
 * @tried_us: start of its last such read, also of one that failed
 * @read_us: duration of its last such read that brought an answer, 0 for none
 * @read_ended_us: time at which that read ended
 * @told_zones_us: time at which this daemon last told all other zones
 * @turn_us: times of the last two calls of jl_freshness_note_turn(), the latest
 *           first
 * @timer: ends when the next such read is due
 */
struct jl_freshness
{
  struct jl_proxy *proxy;
  uint64_t confirmed_us;
  uint64_t heard_version;
  uint64_t heard_as_of_us;
  const struct jl_member *heard_from;
  bool stale;
  bool checking;
  uint64_t tried_us;
  uint64_t read_us;
  uint64_t read_ended_us;
  uint64_t told_zones_us;
  uint64_t turn_us[2];
  struct jl_timer timer;
};

/* Whether requests are refused once the configuration is too old. */
static bool
is_strict (const struct jl_proxy *proxy)
{
  return proxy->options->strict_revoke && proxy->site != NULL
         && proxy->site->customers != NULL;
}

/* With strict_revoke, the age stays below revoke_s at daemons in contact. */
static uint64_t
ratio_us (const struct jl_freshness *freshness, double ratio)
{
  const struct jl_proxy *proxy = freshness->proxy;
  uint64_t apply_us = proxy->options->config_apply_us;

  if (is_strict (proxy))
    apply_us = MIN (apply_us, MAX (proxy->options->revoke_us, REVOKE_MIN_US));
  return (uint64_t)(ratio * (double)apply_us);
}

static uint64_t
site_version (const struct jl_proxy *proxy)
{
  return proxy->site != NULL ? proxy->site->version : 0;
}

unsigned
jl_freshness_poll_ms (const struct jl_freshness *freshness)
{
  uint64_t poll_us = MIN (ratio_us (freshness, POLL_RATIO), POLL_MAX_US);

  return (unsigned)(poll_us / JL_USEC_PER_MSEC);
}

uint64_t
jl_freshness_age_ms (const struct jl_freshness *freshness)
{
  if (freshness->confirmed_us == 0)
    return 0;
  return (jl_now () - freshness->confirmed_us) / JL_USEC_PER_MSEC;
}

bool
jl_freshness_is_older (const struct jl_freshness *freshness, uint64_t limit_us)
{
  return freshness->confirmed_us == 0
         || jl_now () - freshness->confirmed_us > limit_us;
}

void
jl_freshness_note_turn (struct jl_freshness *freshness)
{
  freshness->turn_us[1] = freshness->turn_us[0];
  freshness->turn_us[0] = jl_now ();
}

static void
log_unheard (const struct jl_freshness *freshness, bool reads)
{
  const struct jl_proxy *proxy = freshness->proxy;

  jl_record (JL_RECORD_CHANGE, JL_RECORD_STORE_UNHEARD,
             "age_ms=%" PRIu64 " apply_ms=%" PRIu64
             " follows=%d reached=%d reads=%d site=%" PRIx64,
             jl_freshness_age_ms (freshness),
             proxy->options->config_apply_us / JL_USEC_PER_MSEC,
             proxy->follows_store, !proxy->self->store_lost, reads,
             site_version (proxy));
}

static void
log_heard (const struct jl_freshness *freshness,
           uint64_t as_of_us,
           const char *by)
{
  jl_record (JL_RECORD_CHANGE, JL_RECORD_STORE_HEARD,
             "by=%s unheard_ms=%" PRIu64 " age_ms=%" PRIu64 " site=%" PRIx64,
             by, jl_freshness_age_ms (freshness),
             (jl_now () - as_of_us) / JL_USEC_PER_MSEC,
             site_version (freshness->proxy));
}

/* Returns a random number from 0 to 1, of which few of @count draws are small:
 * their density rises exponentially, so that about one of them comes first. */
static double
draw_late (unsigned count)
{
  double rise = log (count) + 1;

  return log1p (g_random_double () * expm1 (rise)) / rise;
}

/* Returns the delay after which this daemon reads the configuration itself once
 * it is too old: first those that follow the store, which thereby renew their
 * calls, then the others in random order until one of them has told. */
static uint64_t
read_delay_us (const struct jl_freshness *freshness)
{
  const struct jl_proxy *proxy = freshness->proxy;
  uint64_t spread_us = ratio_us (freshness, SPREAD_RATIO);

  if (proxy->follow_rank < JL_REPRESENTATIVES_MAX)
    return proxy->follow_rank * spread_us / 8;
  return spread_us / 4
         + (uint64_t)(draw_late (proxy->roster.members->len) * (double)spread_us
                      * 3 / 4);
}

/* Returns the time by which reads are delayed since the store is slow. */
static uint64_t
slowness_us (const struct jl_freshness *freshness)
{
  if (freshness->read_us < ratio_us (freshness, SLOW_RATIO)
      || jl_now () > freshness->read_ended_us + SLOW_KEPT_US)
    return 0;
  return (uint64_t)(SLOW_READ_FACTOR * (double)freshness->read_us);
}

static void on_timer (void *context, struct jl_timer *timer);

/* @from_us: time from which on the age counts */
static void
start_timer (struct jl_freshness *freshness, uint64_t from_us)
{
  uint64_t due_us = from_us + ratio_us (freshness, AGE_MAX_RATIO)
                    + slowness_us (freshness) + read_delay_us (freshness);

  jl_timer_start (freshness->proxy->loop->timers, &freshness->timer, due_us,
                  on_timer, freshness);
}

/* Whether the daemon reads the configuration itself now. One that did not reach
 * the store leaves it to others at first, unless it follows the store, but
 * tries again later: nobody might tell it what they know. */
static bool
may_read (const struct jl_freshness *freshness)
{
  const struct jl_proxy *proxy = freshness->proxy;
  uint64_t retry_us
      = freshness->tried_us + ratio_us (freshness, LOST_RETRY_RATIO);

  return proxy->follows_store || !proxy->self->store_lost
         || jl_now () >= retry_us;
}

static void
on_timer (void *context, struct jl_timer *timer)
{
  struct jl_freshness *freshness = context;
  struct jl_proxy *proxy = freshness->proxy;
  bool reads = may_read (freshness);

  (void)timer;
  start_timer (freshness, jl_now ());
  if (JL_TEST_DISABLED ("freshness"))
    return;
  if (!freshness->stale)
    log_unheard (freshness, reads);
  freshness->stale = true;
  freshness->checking |= reads;
  if (!reads)
    return;
  proxy->counters.store_checks++;
  if (jl_rows_check_site (proxy))
    freshness->tried_us = jl_now ();
}

struct jl_freshness *
jl_freshness_new (struct jl_proxy *proxy)
{
  struct jl_freshness *freshness = g_new0 (struct jl_freshness, 1);

  freshness->proxy = proxy;
  return freshness;
}

/* Returns false if a later time is known already. */
static bool
confirm (struct jl_freshness *freshness, uint64_t as_of_us, const char *by)
{
  if (as_of_us <= freshness->confirmed_us)
    return false;
  if (freshness->stale)
    log_heard (freshness, as_of_us, by);
  freshness->stale = false;
  freshness->checking = false;
  freshness->confirmed_us = as_of_us;
  start_timer (freshness, as_of_us);
  return true;
}

void
jl_freshness_installed (struct jl_freshness *freshness)
{
  if (freshness->heard_version == 0
      || freshness->heard_version != site_version (freshness->proxy))
    return;
  confirm (freshness, freshness->heard_as_of_us, freshness->heard_from->name);
  freshness->heard_version = 0;
}

/* Whether other zones are told as well: with strict_revoke, a zone that does
 * not reach the store depends on them. */
static bool
may_tell_zones (struct jl_freshness *freshness)
{
  uint64_t period_us = ratio_us (freshness, 1) / TELL_ZONES_DIVISOR;

  if (!is_strict (freshness->proxy)
      || jl_now () < freshness->told_zones_us + period_us)
    return false;
  freshness->told_zones_us = jl_now ();
  return true;
}

static void
tell (struct jl_freshness *freshness)
{
  const struct jl_proxy *proxy = freshness->proxy;
  struct beacon_freshness message = {
    .format = JL_FORMAT_FRESHNESS,
    .name = proxy->options->name,
    .site_version = site_version (proxy),
    .store_era = jl_store_era (proxy->store),
    .age_ms = (u_int)jl_freshness_age_ms (freshness),
  };
  char datagram[JL_DATAGRAM_BYTES_MAX];
  XDR xdr;

  xdrmem_create (&xdr, datagram, sizeof datagram, XDR_ENCODE);
  if (!xdr_beacon_freshness (&xdr, &message))
    return;
  jl_beacon_send_to_zone (proxy->beacon, true, datagram, xdr_getpos (&xdr));
  if (may_tell_zones (freshness))
    jl_beacon_send_to_zone (proxy->beacon, false, datagram, xdr_getpos (&xdr));
}

void
jl_freshness_confirm (struct jl_freshness *freshness, uint64_t as_of_us)
{
  bool tells = freshness->proxy->follow_rank == 0;

  if (freshness->checking)
    {
      freshness->read_ended_us = jl_now ();
      freshness->read_us = jl_now () - as_of_us;
      /* Slow news comes too late to spare others their reads. */
      tells |= slowness_us (freshness) == 0;
    }
  if (confirm (freshness, as_of_us, "store") && tells)
    tell (freshness);
}

/* What another daemon knows holds here once both have the same configuration.
 */
static void
apply (struct jl_freshness *freshness, const struct beacon_freshness *message)
{
  struct jl_proxy *proxy = freshness->proxy;
  struct jl_member *sender
      = jl_roster_find_key (&proxy->roster, jl_name_key (message->name));
  uint64_t age_us = message->age_ms * JL_USEC_PER_MSEC;
  /* The datagram came after the loop had last looked for one. The last turn may
   * be that in which a stopped process went on. */
  uint64_t sent_us
      = proxy->options->strict_revoke ? freshness->turn_us[1] : jl_now ();

  if (sender == NULL || sender == proxy->self || age_us >= sent_us)
    return;
  freshness->heard_version = message->site_version;
  freshness->heard_as_of_us = sent_us - age_us;
  freshness->heard_from = sender;
  jl_freshness_installed (freshness);
  jl_beacon_heard (proxy, sender, message->site_version, message->store_era);
}

void
jl_freshness_read (struct jl_freshness *freshness,
                   const char *datagram,
                   size_t size)
{
  struct beacon_freshness message = { 0 };
  XDR xdr;

  xdrmem_create (&xdr, (char *)datagram, (u_int)size, XDR_DECODE);
  if (xdr_beacon_freshness (&xdr, &message))
    apply (freshness, &message);
  xdr_free ((xdrproc_t)xdr_beacon_freshness, &message);
}
