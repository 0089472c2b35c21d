/**
 * DOC: Configurations between daemons, for those that the store does not reach.
 */

#include "proxy/proxy.h"

#include <string.h>

/* Wait for the store to bring the newer version first. */
#define DELAY_US (150 * JL_USEC_PER_MSEC)
#define TIMEOUT_US (1000 * JL_USEC_PER_MSEC)

/**
 * struct jl_sync - one exchange at a time
 * @member: the daemon that has a newer version
 * @active: an exchange has begun, or will after the delay
 */
struct jl_sync
{
  struct jl_proxy *proxy;
  struct jl_member *member;
  struct jl_upstream *upstream;
  struct jl_timer timer;
  bool active;
};

static void
end_sync (struct jl_sync *sync)
{
  jl_timer_stop (sync->proxy->loop->timers, &sync->timer);
  if (sync->upstream != NULL)
    jl_upstream_drop (sync->upstream);
  sync->upstream = NULL;
  sync->active = false;
}

static void
on_answer (void *context, struct jl_upstream *upstream)
{
  struct jl_sync *sync = context;
  const GByteArray *taken = jl_upstream_taken (upstream);

  if (jl_upstream_head (upstream)->status == 200)
    jl_proxy_install (sync->proxy, (const char *)taken->data, taken->len,
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
  end_sync (context);
}

static const struct jl_upstream_ops upstream_ops = {
  .answer = on_answer,
  .failed = on_failed,
};

static void
on_timeout (void *context, struct jl_timer *timer)
{
  (void)timer;
  end_sync (context);
}

static bool
is_behind (const struct jl_sync *sync)
{
  const struct jl_site *site = sync->proxy->site;

  return site == NULL || site->version < sync->member->site_version;
}

static void
on_delay (void *context, struct jl_timer *timer)
{
  struct jl_sync *sync = context;
  struct jl_proxy *proxy = sync->proxy;
  GString *head;

  if (!is_behind (sync))
    {
      end_sync (sync);
      return;
    }
  head = g_string_new ("GET " JL_SYNC_PATH " HTTP/1.1\r\nHost: peer\r\n\r\n");
  sync->upstream = jl_upstream_open (proxy->peers, sync->member->peer, false,
                                     head, false, &upstream_ops, sync);
  g_string_free (head, TRUE);
  if (sync->upstream != NULL)
    {
      jl_upstream_want_whole (sync->upstream);
      jl_upstream_body_end (sync->upstream, false);
    }
  jl_loop_after (proxy->loop, timer, TIMEOUT_US, on_timeout, sync);
}

void
jl_proxy_site_behind (struct jl_proxy *proxy, struct jl_member *member)
{
  struct jl_sync *sync = proxy->sync;

  if (sync == NULL)
    {
      sync = g_new0 (struct jl_sync, 1);
      sync->proxy = proxy;
      proxy->sync = sync;
    }
  /* Bytes between zones are dear: a near daemon goes before a far one. */
  if (sync->active && sync->upstream == NULL && !member->in_other_zone)
    sync->member = member;
  if (sync->active)
    return;
  sync->active = true;
  sync->member = member;
  jl_loop_after (proxy->loop, &sync->timer, DELAY_US, on_delay, sync);
}

void
jl_sync_answer (struct jl_proxy *proxy, struct jl_request *request)
{
  if (proxy->site == NULL)
    jl_request_reply (request, 404, "", "", 0);
  else
    jl_request_reply (request, 200, "Content-Type: application/json\r\n",
                      proxy->site_text, proxy->site_size);
}
