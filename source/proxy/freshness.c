/**
 * DOC: How old this daemon's knowledge of the configuration in the store is.
 */

#include "proxy/freshness.h"

/* Age from which on it counts as too old, as a ratio of the time within which a
 * configuration must be in force. */
#define AGE_MAX_RATIO 0.5

/**
 * struct jl_freshness - the age
 * @confirmed_us: time as of which the configuration in force was the newest one
 * @stale: the age was too old, which was logged
 * @timer: ends when it becomes too old
 */
struct jl_freshness
{
  struct jl_proxy *proxy;
  uint64_t confirmed_us;
  bool stale;
  struct jl_timer timer;
};

static uint64_t
age_max_us (const struct jl_freshness *freshness)
{
  return (uint64_t)(AGE_MAX_RATIO
                    * (double)freshness->proxy->options->config_apply_us);
}

static void
on_timer (void *context, struct jl_timer *timer)
{
  struct jl_freshness *freshness = context;
  const struct jl_proxy *proxy = freshness->proxy;

  (void)timer;
  if (!proxy->follows_store)
    return;
  freshness->stale = true;
  jl_record (JL_RECORD_CHANGE, JL_RECORD_STORE_UNHEARD,
             "age_ms=%" PRIu64 " apply_ms=%" PRIu64 " site=%" PRIx64,
             (jl_now () - freshness->confirmed_us) / JL_USEC_PER_MSEC,
             proxy->options->config_apply_us / JL_USEC_PER_MSEC,
             proxy->site != NULL ? proxy->site->version : 0);
}

struct jl_freshness *
jl_freshness_new (struct jl_proxy *proxy)
{
  struct jl_freshness *freshness = g_new0 (struct jl_freshness, 1);

  freshness->proxy = proxy;
  return freshness;
}

static void
log_heard (const struct jl_freshness *freshness, uint64_t as_of_us)
{
  const struct jl_proxy *proxy = freshness->proxy;

  jl_record (JL_RECORD_CHANGE, JL_RECORD_STORE_HEARD,
             "unheard_ms=%" PRIu64 " age_ms=%" PRIu64 " site=%" PRIx64,
             (jl_now () - freshness->confirmed_us) / JL_USEC_PER_MSEC,
             (jl_now () - as_of_us) / JL_USEC_PER_MSEC,
             proxy->site != NULL ? proxy->site->version : 0);
}

void
jl_freshness_confirm (struct jl_freshness *freshness, uint64_t as_of_us)
{
  if (as_of_us <= freshness->confirmed_us)
    return;
  if (freshness->stale)
    log_heard (freshness, as_of_us);
  freshness->stale = false;
  freshness->confirmed_us = as_of_us;
  jl_timer_start (freshness->proxy->loop->timers, &freshness->timer,
                  as_of_us + age_max_us (freshness), on_timer, freshness);
}
