/**
 * DOC: Exchange of configurations between daemons, for daemons that cannot
 * reach the store.
 */

#include "proxy/proxy.h"

#include <string.h>

/* Delay before a fetch, in which the store may deliver the newer version to a
 * daemon that follows it. */
#define FOLLOWER_DELAY_US (150 * JL_USEC_PER_MSEC)
/* The same before a fetch from another zone, in which a daemon of the local
 * zone may have got that version. */
#define OTHER_ZONE_DELAY_US (300 * JL_USEC_PER_MSEC)
/* Maximum of the random delay otherwise, which spreads the fetches. */
#define FETCH_DELAY_US (40 * JL_USEC_PER_MSEC)
/* Maximum size of a configuration in bytes: that of a page of the store. */
#define CONFIGURATION_BYTES_MAX ((size_t)2 << 20)
#define FETCH_TIMEOUT_US (400 * JL_USEC_PER_MSEC)
/* Maximum number of requests for one configuration. */
#define FETCH_ATTEMPTS_MAX 2

/**
 * struct jl_sync - state of the fetch; at most one is in progress
 * @member: daemon that has a newer version
 * @upstream: request to @member, NULL during the delay
 * @attempts: requests made so far
 * @began_us: start of that request
 * @timer: the delay, then the timeout
 * @active: a fetch is in progress or delayed
 */
struct jl_sync
{
  struct jl_proxy *proxy;
  struct jl_member *member;
  struct jl_upstream *upstream;
  unsigned attempts;
  uint64_t began_us;
  struct jl_timer timer;
  bool active;
};

static void
end_sync (struct jl_sync *sync)
{
  jl_timer_stop (sync->proxy->loop->timers, &sync->timer);
  if (sync->upstream != NULL)
    jl_upstream_close (sync->upstream);
  sync->upstream = NULL;
  sync->active = false;
}

static bool
is_behind (const struct jl_sync *sync, const struct jl_member *member)
{
  const struct jl_site *site = sync->proxy->site;

  return site == NULL || site->version < member->site_version;
}

/* Returns another daemon that has a newer version, of the local zone if there
 * is one there; the same as before if there is no other. */
static struct jl_member *
next_member (const struct jl_sync *sync)
{
  const GPtrArray *members = sync->proxy->roster.members;
  struct jl_member *found = NULL;

  for (guint i = 0; i < members->len; i++)
    {
      struct jl_member *member = g_ptr_array_index (members, i);

      if (member == sync->proxy->self || member == sync->member
          || !is_behind (sync, member)
          || !jl_member_is_alive (member, jl_now ()))
        continue;
      if (found == NULL || (found->in_other_zone && !member->in_other_zone))
        found = member;
    }
  return found != NULL ? found : sync->member;
}

static void send_request (struct jl_sync *sync);

/* Ends a request that has not brought the configuration, and makes another one
 * unless there were enough. */
static void
fail_sync (struct jl_sync *sync, const char *why)
{
  const struct jl_proxy *proxy = sync->proxy;

  jl_record (JL_RECORD_CHANGE, JL_RECORD_SITE_FETCH_FAILED,
             "from=%s version=%" PRIx64 " site=%" PRIx64 " took_ms=%" PRIu64
             " cause=\"%s\"",
             sync->member->name, sync->member->site_version,
             proxy->site != NULL ? proxy->site->version : 0,
             (jl_now () - sync->began_us) / JL_USEC_PER_MSEC, why);
  end_sync (sync);
  if (sync->attempts >= FETCH_ATTEMPTS_MAX)
    return;
  sync->active = true;
  sync->member = next_member (sync);
  send_request (sync);
}

static void
on_response (void *context, struct jl_upstream *upstream)
{
  struct jl_sync *sync = context;
  const GByteArray *body = jl_upstream_buffered_body (upstream);

  if (jl_upstream_head (upstream)->status != 200)
    {
      fail_sync (sync, "refused");
      return;
    }
  jl_proxy_install (sync->proxy, (const char *)body->data, body->len,
                    sync->member->name);
  end_sync (sync);
}

static void
on_failed (void *context,
           struct jl_upstream *upstream,
           enum jl_upstream_failure failure)
{
  (void)upstream;
  (void)failure;
  fail_sync (context, "connection failed");
}

static const struct jl_upstream_ops upstream_ops = {
  .response = on_response,
  .failed = on_failed,
};

static void
on_timeout (void *context, struct jl_timer *timer)
{
  (void)timer;
  fail_sync (context, "no answer in time");
}

/* After a failure it is made on a new connection, since the idle ones may pass
 * nothing any more. */
static void
send_request (struct jl_sync *sync)
{
  struct jl_proxy *proxy = sync->proxy;
  GString *head;

  sync->attempts++;
  sync->began_us = jl_now ();
  head = g_string_new ("GET " JL_SITE_PATH " HTTP/1.1\r\nHost: peer\r\n\r\n");
  sync->upstream = jl_upstream_open (proxy->peer_pool, sync->member->peer,
                                     sync->attempts > 1, 0, head, false,
                                     &upstream_ops, sync);
  g_string_free (head, TRUE);
  if (sync->upstream != NULL)
    {
      jl_upstream_buffer_response (sync->upstream, CONFIGURATION_BYTES_MAX);
      jl_upstream_end_body (sync->upstream, false);
    }
  jl_loop_start_timer (proxy->loop, &sync->timer, FETCH_TIMEOUT_US, on_timeout,
                       sync);
}

static void
on_delay (void *context, struct jl_timer *timer)
{
  struct jl_sync *sync = context;

  (void)timer;
  if (is_behind (sync, sync->member))
    send_request (sync);
  else
    end_sync (sync);
}

static uint64_t
fetch_delay_us (const struct jl_proxy *proxy, const struct jl_member *member)
{
  if (proxy->follows_store)
    return FOLLOWER_DELAY_US;
  if (member->in_other_zone)
    return OTHER_ZONE_DELAY_US;
  return (uint64_t)g_random_int_range (0, (gint32)FETCH_DELAY_US);
}

void
jl_sync_fetch (struct jl_proxy *proxy, struct jl_member *member)
{
  struct jl_sync *sync = proxy->sync;

  if (sync == NULL)
    {
      sync = g_new0 (struct jl_sync, 1);
      sync->proxy = proxy;
      proxy->sync = sync;
    }
  /* Traffic between zones is expensive: prefers a daemon of the local zone. */
  if (sync->active
      && (sync->upstream != NULL || member->in_other_zone
          || !sync->member->in_other_zone))
    return;
  sync->active = true;
  sync->attempts = 0;
  sync->member = member;
  jl_loop_start_timer (proxy->loop, &sync->timer,
                       fetch_delay_us (proxy, member), on_delay, sync);
}

void
jl_sync_reply (struct jl_proxy *proxy, struct jl_request *request)
{
  if (proxy->site == NULL)
    jl_request_reply (request, 404, "", "", 0);
  else
    jl_request_reply (request, 200, "Content-Type: application/json\r\n",
                      proxy->site_text, proxy->site_size);
}
