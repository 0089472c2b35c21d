/**
 * DOC: Runs the reducer's steps and dispatches its effects to the threads.
 */

#include "daemon/daemon.h"

#include <string.h>
#include <urcu.h>

#include "daemon/hooks.h"
#include "daemon/response-cache.h"
#include "jackdawladder/log.h"

/* Idle connections kept for each endpoint. */
#define IDLE_CONNECTION_MAX 16
#define PLATFORM_TIMEOUT_MS 1000
/* Interval at which the time limit of a graceful shutdown is checked. */
#define DRAIN_POLL_US (200 * JL_USEC_PER_MSEC)

/* Initializes a condition variable with a clock that no setting of the time of
 * day changes. */
static void
init_condition (pthread_cond_t *condition)
{
  pthread_condattr_t attributes;

  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (condition, &attributes);
  pthread_condattr_destroy (&attributes);
}

/* Waits for a condition. Returns false when the time @until_us has passed.
 * Condition variables cannot use the clock that jl_now() reads. */
static bool
wait_until (struct jl_daemon *daemon,
            pthread_cond_t *condition,
            uint64_t until_us)
{
  uint64_t now_us = jl_now ();
  uint64_t wait_us = until_us > now_us ? until_us - now_us : 0;
  uint64_t end_us = (uint64_t)g_get_monotonic_time () + wait_us;
  struct timespec until
      = { .tv_sec = (time_t)(end_us / JL_USEC_PER_SEC),
          .tv_nsec = (long)(end_us % JL_USEC_PER_SEC) * 1000 };

  return pthread_cond_timedwait (condition, &daemon->lock, &until) == 0;
}

void
jl_waiter_init (struct jl_waiter *waiter)
{
  memset (waiter, 0, sizeof *waiter);
  init_condition (&waiter->cond);
  g_queue_init (&waiter->effects);
}

void
jl_waiter_clear (struct jl_waiter *waiter)
{
  pthread_cond_destroy (&waiter->cond);
  g_queue_clear_full (&waiter->effects, g_free);
  if (waiter->ordinals != NULL)
    g_hash_table_destroy (waiter->ordinals);
}

struct jl_effect
jl_waiter_wait (struct jl_daemon *daemon, struct jl_waiter *waiter)
{
  struct jl_effect *queued;
  struct jl_effect effect;

  while (g_queue_is_empty (&waiter->effects))
    pthread_cond_wait (&waiter->cond, &daemon->lock);
  queued = g_queue_pop_head (&waiter->effects);
  effect = *queued;
  g_free (queued);
  return effect;
}

/* Passes an effect to the thread that waits for it, if there is one. */
static void
deliver (GHashTable *waiters, uint64_t number, const struct jl_effect *effect)
{
  struct jl_waiter *waiter = g_hash_table_lookup (waiters, &number);

  if (waiter == NULL)
    return;
  g_queue_push_tail (&waiter->effects, g_memdup2 (effect, sizeof *effect));
  pthread_cond_signal (&waiter->cond);
}

static void
cancel_run (struct jl_daemon *daemon, uint64_t number)
{
  struct jl_waiter *waiter = g_hash_table_lookup (daemon->work_items, &number);

  if (waiter != NULL)
    jl_http_transfer_abort (&waiter->transfer);
}

static void
cancel_send (struct jl_daemon *daemon,
             const struct jl_effect_abort_attempt *stop)
{
  struct jl_waiter *waiter = g_hash_table_lookup (daemon->calls, &stop->call);

  if (waiter == NULL)
    return;
  waiter->cancelled_attempt = stop->attempt.number;
  jl_http_transfer_abort (&waiter->transfer);
}

/* Queues a copy of an effect until the lock is released. */
static void
defer_effect (struct jl_daemon *daemon, const struct jl_effect *effect)
{
  struct jl_effect copy = *effect;

  if (effect->type == JL_EFFECT_MESSAGE)
    copy.message = g_memdup2 (effect->message, sizeof *effect->message);
  g_array_append_val (daemon->deferred, copy);
}

static void
replace_config (struct jl_daemon *daemon, struct jl_config *config)
{
  struct jl_config *old = daemon->config;

  /* A release store like rcu_assign_pointer(), but visible to sanitizers. */
  __atomic_store_n (&daemon->config, jl_config_keep (config), __ATOMIC_RELEASE);
  daemon->retired_config = old;
}

static void
dispatch (struct jl_daemon *daemon, const struct jl_effect *effect)
{
  switch (effect->type)
    {
    case JL_EFFECT_SEND:
      deliver (daemon->calls, effect->send.call, effect);
      break;
    case JL_EFFECT_FORWARD:
      deliver (daemon->calls, effect->forward.call, effect);
      break;
    case JL_EFFECT_ANSWER:
      deliver (daemon->calls, effect->answer.call, effect);
      break;
    case JL_EFFECT_CLAIM:
      deliver (daemon->calls, effect->claim.call, effect);
      break;
    case JL_EFFECT_RUN:
      deliver (daemon->work_items, effect->run.work, effect);
      break;
    case JL_EFFECT_FINISH:
      deliver (daemon->work_items, effect->finish.work, effect);
      break;
    case JL_EFFECT_ABORT_WORK:
      cancel_run (daemon, effect->abort_work);
      break;
    case JL_EFFECT_ABORT_ATTEMPT:
      cancel_send (daemon, &effect->abort_attempt);
      break;
    case JL_EFFECT_CONFIG:
      replace_config (daemon, effect->config);
      break;
    case JL_EFFECT_PUBLISH:
    case JL_EFFECT_FETCH_CONFIG:
      g_queue_push_tail (&daemon->background_effects,
                         g_memdup2 (effect, sizeof *effect));
      pthread_cond_signal (&daemon->background_cond);
      break;
    case JL_EFFECT_MESSAGE:
    case JL_EFFECT_LOG:
      defer_effect (daemon, effect);
      break;
    case JL_EFFECT_EXIT:
      daemon->drained = true;
      pthread_cond_broadcast (&daemon->drained_cond);
      break;
    }
}

void
jl_daemon_lock (struct jl_daemon *daemon)
{
  pthread_mutex_lock (&daemon->lock);
}

void
jl_daemon_step (struct jl_daemon *daemon, struct jl_event *event)
{
  uint64_t next_us;

  event->now_us = jl_now ();
  jl_effects_clear (daemon->effects);
  jl_core_step (daemon->core, event, daemon->effects);
  for (size_t i = 0; i < jl_effects_count (daemon->effects); i++)
    dispatch (daemon, jl_effects_get (daemon->effects, i));
  next_us = jl_core_next_timer (daemon->core);
  if (next_us >= daemon->tick_at_us)
    return;
  daemon->tick_at_us = next_us;
  pthread_cond_signal (&daemon->tick_cond);
}

/* Executes a deferred effect: writes a log event or sends a message. */
static void
run_deferred (struct jl_daemon *daemon, const struct jl_effect *effect)
{
  if (effect->type == JL_EFFECT_LOG)
    {
      jl_log (effect->log.number, effect->log.first, effect->log.second);
      return;
    }
  if (!jl_hooks_partitioned (effect->message->to.ip))
    jl_control_send (daemon->control, effect->message->to,
                     &effect->message->message);
  g_free (effect->message);
}

void
jl_daemon_unlock (struct jl_daemon *daemon)
{
  GArray *deferred = NULL;
  struct jl_config *retired_config = daemon->retired_config;

  if (daemon->deferred->len > 0)
    {
      deferred = daemon->deferred;
      daemon->deferred = g_array_new (FALSE, FALSE, sizeof (struct jl_effect));
    }
  daemon->retired_config = NULL;
  pthread_mutex_unlock (&daemon->lock);
  if (deferred != NULL)
    {
      for (guint i = 0; i < deferred->len; i++)
        run_deferred (daemon, &g_array_index (deferred, struct jl_effect, i));
      g_array_free (deferred, TRUE);
    }
  if (retired_config != NULL)
    {
      synchronize_rcu ();
      jl_config_drop (retired_config);
    }
}

void
jl_daemon_post (struct jl_daemon *daemon, struct jl_event *event)
{
  jl_daemon_lock (daemon);
  jl_daemon_step (daemon, event);
  jl_daemon_unlock (daemon);
}

bool
jl_daemon_await_background (struct jl_daemon *daemon,
                            uint64_t wait_us,
                            struct jl_effect **effect)
{
  bool closing;

  jl_daemon_lock (daemon);
  if (!daemon->closing && g_queue_is_empty (&daemon->background_effects))
    wait_until (daemon, &daemon->background_cond, jl_now () + wait_us);
  *effect = g_queue_pop_head (&daemon->background_effects);
  closing = daemon->closing;
  jl_daemon_unlock (daemon);
  return !closing;
}

struct jl_config *
jl_daemon_get_config (struct jl_daemon *daemon)
{
  struct jl_config *config;

  rcu_read_lock ();
  config = __atomic_load_n (&daemon->config, __ATOMIC_ACQUIRE);
  if (config != NULL)
    jl_config_keep (config);
  rcu_read_unlock ();
  return config;
}

bool
jl_daemon_install (struct jl_daemon *daemon,
                   const char *text,
                   size_t size,
                   uint64_t version,
                   GError **error)
{
  struct jl_config *config = jl_config_new (text, size, version, error);
  struct jl_event event = { .type = JL_EVENT_CONFIG, .config = config };

  if (config == NULL)
    {
      jl_log (JL_LOG_CONFIG_REFUSED, version, 0);
      return false;
    }
  jl_daemon_post (daemon, &event);
  jl_config_drop (config);
  return true;
}

static void
receive_message (void *context, const struct jl_message *message)
{
  struct jl_event event = { .type = JL_EVENT_MESSAGE, .message = message };

  if (!jl_hooks_partitioned (jl_member_endpoint (message->from.member).ip))
    jl_daemon_post (context, &event);
}

/* Main function of the timer thread: posts ticks when timers are due. */
static void *
run_timers (void *context)
{
  struct jl_daemon *daemon = context;
  struct jl_event event = { .type = JL_EVENT_TICK };

  rcu_register_thread ();
  jl_daemon_lock (daemon);
  while (!daemon->closing)
    {
      uint64_t now_us = jl_now ();

      daemon->tick_at_us = jl_core_next_timer (daemon->core);
      if (daemon->tick_at_us > now_us)
        {
          wait_until (daemon, &daemon->tick_cond,
                      MIN (daemon->tick_at_us, now_us + JL_USEC_PER_SEC));
          continue;
        }
      daemon->tick_at_us = 0;
      jl_daemon_step (daemon, &event);
      jl_daemon_unlock (daemon);
      jl_daemon_lock (daemon);
    }
  jl_daemon_unlock (daemon);
  rcu_unregister_thread ();
  return NULL;
}

static struct jl_endpoint
own_endpoint (const struct jl_settings *settings, uint16_t port)
{
  return (struct jl_endpoint){ .ip = settings->ip, .port = port };
}

static struct jl_core *
make_core (const struct jl_settings *settings)
{
  struct jl_core_options options = {
    .identity = { .member = jl_member_id (
                      own_endpoint (settings, settings->control_port)),
                  .epoch = (uint64_t)g_get_real_time () },
    .peer = own_endpoint (settings, settings->peer_port),
    .call_max = settings->entry_threads,
    .work_max = settings->peer_threads,
    .now_us = jl_now (),
    .mode = settings->mode,
  };

  options.seed = (uint32_t)(options.identity.epoch ^ options.identity.member);
  options.switched_off = jl_hooks_disabled_mechanisms ();
  g_strlcpy (options.zone, settings->zone, JL_NAME_SIZE);
  return jl_core_new (&options);
}

/*
 * Opens the control socket. The lock delays messages that arrive at once until
 * daemon->control is set, which their replies need.
 */
static bool
open_control (struct jl_daemon *daemon, GError **error)
{
  const struct jl_settings *settings = daemon->settings;

  pthread_mutex_lock (&daemon->lock);
  daemon->control
      = jl_control_open (own_endpoint (settings, settings->control_port),
                         receive_message, daemon, error);
  pthread_mutex_unlock (&daemon->lock);
  return daemon->control != NULL;
}

static bool
open_sockets (struct jl_daemon *daemon, GError **error)
{
  const struct jl_settings *settings = daemon->settings;

  if (!open_control (daemon, error))
    return false;
  daemon->peer_server = jl_http_server_open (
      own_endpoint (settings, settings->peer_port), settings->peer_threads,
      jl_peer_handle, daemon, error);
  if (daemon->peer_server == NULL)
    return false;
  daemon->local_server = jl_http_server_open (
      own_endpoint (settings, settings->local_port), settings->local_threads,
      jl_local_handle, daemon, error);
  if (daemon->local_server == NULL)
    return false;
  daemon->entry_server = jl_http_server_open (
      own_endpoint (settings, settings->entry_port), settings->entry_threads,
      jl_entry_handle, daemon, error);
  return daemon->entry_server != NULL;
}

/* Passes the seeds from the settings to the reducer. */
static void
post_seeds (struct jl_daemon *daemon)
{
  for (uint32_t i = 0; i < daemon->settings->seed_count; i++)
    {
      struct jl_event event = { .type = JL_EVENT_SEED,
                                .seed.control = daemon->settings->seeds[i] };

      jl_daemon_post (daemon, &event);
    }
}

static void
start_threads (struct jl_daemon *daemon)
{
  if (pthread_create (&daemon->timer_thread, NULL, run_timers, daemon) != 0
      || pthread_create (&daemon->background_thread, NULL, jl_background_run,
                         daemon)
             != 0)
    g_error ("cannot start the timer and background threads");
  daemon->threads_started = true;
}

struct jl_daemon *
jl_daemon_open (struct jl_settings *settings, GError **error)
{
  struct jl_daemon *daemon = g_new0 (struct jl_daemon, 1);

  daemon->settings = settings;
  pthread_mutex_init (&daemon->lock, NULL);
  init_condition (&daemon->tick_cond);
  init_condition (&daemon->drained_cond);
  init_condition (&daemon->background_cond);
  daemon->core = make_core (settings);
  daemon->effects = jl_effects_new ();
  daemon->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  daemon->work_items = g_hash_table_new (g_int64_hash, g_int64_equal);
  daemon->deferred = g_array_new (FALSE, FALSE, sizeof (struct jl_effect));
  daemon->response_cache = jl_response_cache_new ();
  daemon->pool = jl_http_pool_new (IDLE_CONNECTION_MAX);
  g_queue_init (&daemon->background_effects);
  if (settings->has_platform)
    daemon->platform
        = jl_platform_new (settings->platform, PLATFORM_TIMEOUT_MS);
  if (!open_sockets (daemon, error))
    {
      jl_daemon_close (daemon);
      return NULL;
    }
  post_seeds (daemon);
  start_threads (daemon);
  jl_log_text (JL_LOG_STARTED, settings->name);
  return daemon;
}

void
jl_daemon_drain (struct jl_daemon *daemon)
{
  struct jl_event event = { .type = JL_EVENT_DRAIN };

  g_atomic_int_set (&daemon->draining, 1);
  jl_daemon_lock (daemon);
  if (daemon->drain_started_us == 0)
    daemon->drain_started_us = jl_now ();
  jl_daemon_step (daemon, &event);
  jl_daemon_unlock (daemon);
}

/*
 * Whether a graceful shutdown takes longer than the settings allow. The caller
 * must hold the lock.
 */
static bool
drain_timed_out (const struct jl_daemon *daemon)
{
  uint64_t allowed_us = daemon->settings->drain_ms * JL_USEC_PER_MSEC;

  return daemon->drain_started_us > 0
         && daemon->drain_started_us + allowed_us <= jl_now ();
}

bool
jl_daemon_wait_exit (struct jl_daemon *daemon)
{
  bool exiting;

  pthread_mutex_lock (&daemon->lock);
  while (!daemon->drained && !drain_timed_out (daemon))
    wait_until (daemon, &daemon->drained_cond, jl_now () + DRAIN_POLL_US);
  exiting = daemon->drained;
  pthread_mutex_unlock (&daemon->lock);
  return exiting;
}

static void
join_threads (struct jl_daemon *daemon)
{
  if (!daemon->threads_started)
    return;
  jl_daemon_lock (daemon);
  daemon->closing = true;
  pthread_cond_signal (&daemon->tick_cond);
  pthread_cond_signal (&daemon->background_cond);
  jl_daemon_unlock (daemon);
  pthread_join (daemon->background_thread, NULL);
  pthread_join (daemon->timer_thread, NULL);
}

void
jl_daemon_close (struct jl_daemon *daemon)
{
  bool graceful = (jl_hooks_disabled_mechanisms () & JL_MECHANISM_DRAIN) == 0;

  if (daemon->entry_server != NULL)
    jl_http_server_close (daemon->entry_server, graceful);
  if (daemon->peer_server != NULL)
    jl_http_server_close (daemon->peer_server, graceful);
  if (daemon->local_server != NULL)
    jl_http_server_close (daemon->local_server, graceful);
  join_threads (daemon);
  if (daemon->control != NULL)
    jl_control_close (daemon->control);
  if (daemon->platform != NULL)
    jl_platform_drop (daemon->platform);
  jl_http_pool_drop (daemon->pool);
  jl_core_drop (daemon->core);
  jl_effects_drop (daemon->effects);
  jl_response_cache_drop (daemon->response_cache);
  if (daemon->config != NULL)
    jl_config_drop (daemon->config);
  g_array_free (daemon->deferred, TRUE);
  g_queue_clear_full (&daemon->background_effects, g_free);
  g_hash_table_destroy (daemon->calls);
  g_hash_table_destroy (daemon->work_items);
  jl_log_text (JL_LOG_STOPPED, daemon->settings->name);
  g_free (daemon);
}
