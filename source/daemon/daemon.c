/**
 * DOC: Steps of the reducer, and the way of its effects to the threads.
 */

#include "daemon/daemon.h"

#include <string.h>
#include <urcu.h>

#include "daemon/answers.h"
#include "daemon/hooks.h"
#include "jackdawladder/log.h"

/* Kept connections to one endpoint. */
#define IDLE_CONNECTION_MAX 16
#define PLATFORM_TIMEOUT_MS 1000
/* How often it is looked whether a planned stop takes too long. */
#define EXIT_POLL_US (200 * JL_USEC_PER_MSEC)

/* Conditions wait by the clock that jl_now() reads. */
static void
init_condition (pthread_cond_t *condition)
{
  pthread_condattr_t attributes;

  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (condition, &attributes);
  pthread_condattr_destroy (&attributes);
}

/* Return: false when @until_us passed. */
static bool
wait_until (struct jl_daemon *daemon,
            pthread_cond_t *condition,
            uint64_t until_us)
{
  struct timespec until
      = { .tv_sec = (time_t)(until_us / JL_USEC_PER_SEC),
          .tv_nsec = (long)(until_us % JL_USEC_PER_SEC) * 1000 };

  return pthread_cond_timedwait (condition, &daemon->lock, &until) == 0;
}

void
jl_waiter_init (struct jl_waiter *waiter)
{
  memset (waiter, 0, sizeof *waiter);
  init_condition (&waiter->cond);
  g_queue_init (&waiter->inbox);
}

void
jl_waiter_clear (struct jl_waiter *waiter)
{
  pthread_cond_destroy (&waiter->cond);
  g_queue_clear_full (&waiter->inbox, g_free);
  if (waiter->ordinals != NULL)
    g_hash_table_destroy (waiter->ordinals);
}

struct jl_effect
jl_waiter_next (struct jl_daemon *daemon, struct jl_waiter *waiter)
{
  struct jl_effect *queued;
  struct jl_effect effect;

  while (g_queue_is_empty (&waiter->inbox))
    pthread_cond_wait (&waiter->cond, &daemon->lock);
  queued = g_queue_pop_head (&waiter->inbox);
  effect = *queued;
  g_free (queued);
  return effect;
}

/* Gives an effect to the thread that waits for it. */
static void
deliver (GHashTable *waiters, uint64_t number, const struct jl_effect *effect)
{
  struct jl_waiter *waiter = g_hash_table_lookup (waiters, &number);

  if (waiter == NULL)
    return;
  g_queue_push_tail (&waiter->inbox, g_memdup2 (effect, sizeof *effect));
  pthread_cond_signal (&waiter->cond);
}

static void
abort_run (struct jl_daemon *daemon, uint64_t number)
{
  struct jl_waiter *waiter = g_hash_table_lookup (daemon->works, &number);

  if (waiter != NULL)
    jl_http_transfer_abort (&waiter->transfer);
}

static void
stop_send (struct jl_daemon *daemon, const struct jl_effect_abort_attempt *stop)
{
  struct jl_waiter *waiter = g_hash_table_lookup (daemon->calls, &stop->call);

  if (waiter == NULL)
    return;
  waiter->stopped_attempt = stop->attempt.number;
  jl_http_transfer_abort (&waiter->transfer);
}

/* Keeps an effect until the lock is given back. */
static void
put_off (struct jl_daemon *daemon, const struct jl_effect *effect)
{
  struct jl_effect copy = *effect;

  if (effect->type == JL_EFFECT_MESSAGE)
    copy.message = g_memdup2 (effect->message, sizeof *effect->message);
  g_array_append_val (daemon->outgoing, copy);
}

static void
replace_config (struct jl_daemon *daemon, struct jl_config *config)
{
  struct jl_config *old = daemon->config;

  /* Releases as rcu_assign_pointer() does, and where sanitizers see it. */
  __atomic_store_n (&daemon->config, jl_config_keep (config), __ATOMIC_RELEASE);
  daemon->retired = old;
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
      deliver (daemon->works, effect->run.work, effect);
      break;
    case JL_EFFECT_FINISH:
      deliver (daemon->works, effect->finish.work, effect);
      break;
    case JL_EFFECT_ABORT_WORK:
      abort_run (daemon, effect->abort_work);
      break;
    case JL_EFFECT_ABORT_ATTEMPT:
      stop_send (daemon, &effect->abort_attempt);
      break;
    case JL_EFFECT_CONFIG:
      replace_config (daemon, effect->config);
      break;
    case JL_EFFECT_PUBLISH:
    case JL_EFFECT_FETCH_CONFIG:
      g_queue_push_tail (&daemon->background,
                         g_memdup2 (effect, sizeof *effect));
      pthread_cond_signal (&daemon->has_background);
      break;
    case JL_EFFECT_MESSAGE:
    case JL_EFFECT_LOG:
      put_off (daemon, effect);
      break;
    case JL_EFFECT_EXIT:
      daemon->exiting = true;
      pthread_cond_broadcast (&daemon->exit);
      break;
    }
}

void
jl_daemon_begin (struct jl_daemon *daemon)
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
  pthread_cond_signal (&daemon->tick);
}

static void
carry_out (struct jl_daemon *daemon, const struct jl_effect *effect)
{
  if (effect->type == JL_EFFECT_LOG)
    {
      jl_log (effect->log.number, effect->log.first, effect->log.second);
      return;
    }
  if (!jl_hooks_cut (effect->message->to.ip))
    jl_control_send (daemon->control, effect->message->to,
                     &effect->message->message);
  g_free (effect->message);
}

void
jl_daemon_end (struct jl_daemon *daemon)
{
  GArray *outgoing = NULL;
  struct jl_config *retired = daemon->retired;

  if (daemon->outgoing->len > 0)
    {
      outgoing = daemon->outgoing;
      daemon->outgoing = g_array_new (FALSE, FALSE, sizeof (struct jl_effect));
    }
  daemon->retired = NULL;
  pthread_mutex_unlock (&daemon->lock);
  if (outgoing != NULL)
    {
      for (guint i = 0; i < outgoing->len; i++)
        carry_out (daemon, &g_array_index (outgoing, struct jl_effect, i));
      g_array_free (outgoing, TRUE);
    }
  if (retired != NULL)
    {
      synchronize_rcu ();
      jl_config_drop (retired);
    }
}

void
jl_daemon_post (struct jl_daemon *daemon, struct jl_event *event)
{
  jl_daemon_begin (daemon);
  jl_daemon_step (daemon, event);
  jl_daemon_end (daemon);
}

bool
jl_daemon_await_background (struct jl_daemon *daemon,
                            uint64_t wait_us,
                            struct jl_effect **effect)
{
  bool stopping;

  jl_daemon_begin (daemon);
  if (!daemon->stopping && g_queue_is_empty (&daemon->background))
    wait_until (daemon, &daemon->has_background, jl_now () + wait_us);
  *effect = g_queue_pop_head (&daemon->background);
  stopping = daemon->stopping;
  jl_daemon_end (daemon);
  return !stopping;
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

  if (!jl_hooks_cut (jl_member_endpoint (message->from.member).ip))
    jl_daemon_post (context, &event);
}

/* Sends ticks when timers of the reducer are due. */
static void *
run_timers (void *context)
{
  struct jl_daemon *daemon = context;
  struct jl_event event = { .type = JL_EVENT_TICK };

  rcu_register_thread ();
  jl_daemon_begin (daemon);
  while (!daemon->stopping)
    {
      uint64_t now_us = jl_now ();

      daemon->tick_at_us = jl_core_next_timer (daemon->core);
      if (daemon->tick_at_us > now_us)
        {
          wait_until (daemon, &daemon->tick,
                      MIN (daemon->tick_at_us, now_us + JL_USEC_PER_SEC));
          continue;
        }
      daemon->tick_at_us = 0;
      jl_daemon_step (daemon, &event);
      jl_daemon_end (daemon);
      jl_daemon_begin (daemon);
    }
  jl_daemon_end (daemon);
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
  options.switched_off = jl_hooks_switched_off ();
  g_strlcpy (options.zone, settings->zone, JL_NAME_SIZE);
  return jl_core_new (&options);
}

/* Messages that come at once wait for the lock: their answers need control. */
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
    g_error ("cannot start the daemon's threads");
  daemon->has_threads = true;
}

struct jl_daemon *
jl_daemon_open (struct jl_settings *settings, GError **error)
{
  struct jl_daemon *daemon = g_new0 (struct jl_daemon, 1);

  daemon->settings = settings;
  pthread_mutex_init (&daemon->lock, NULL);
  init_condition (&daemon->tick);
  init_condition (&daemon->exit);
  init_condition (&daemon->has_background);
  daemon->core = make_core (settings);
  daemon->effects = jl_effects_new ();
  daemon->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  daemon->works = g_hash_table_new (g_int64_hash, g_int64_equal);
  daemon->outgoing = g_array_new (FALSE, FALSE, sizeof (struct jl_effect));
  daemon->answers = jl_answer_store_new ();
  daemon->pool = jl_http_pool_new (IDLE_CONNECTION_MAX);
  g_queue_init (&daemon->background);
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
  jl_daemon_begin (daemon);
  if (daemon->drain_begun_us == 0)
    daemon->drain_begun_us = jl_now ();
  jl_daemon_step (daemon, &event);
  jl_daemon_end (daemon);
}

/* Whether a planned stop takes longer than the settings allow; locked. */
static bool
is_overdue (const struct jl_daemon *daemon)
{
  uint64_t allowed_us = daemon->settings->drain_ms * JL_USEC_PER_MSEC;

  return daemon->drain_begun_us > 0
         && daemon->drain_begun_us + allowed_us <= jl_now ();
}

bool
jl_daemon_wait_exit (struct jl_daemon *daemon)
{
  bool exiting;

  pthread_mutex_lock (&daemon->lock);
  while (!daemon->exiting && !is_overdue (daemon))
    wait_until (daemon, &daemon->exit, jl_now () + EXIT_POLL_US);
  exiting = daemon->exiting;
  pthread_mutex_unlock (&daemon->lock);
  return exiting;
}

static void
join_threads (struct jl_daemon *daemon)
{
  if (!daemon->has_threads)
    return;
  jl_daemon_begin (daemon);
  daemon->stopping = true;
  pthread_cond_signal (&daemon->tick);
  pthread_cond_signal (&daemon->has_background);
  jl_daemon_end (daemon);
  pthread_join (daemon->background_thread, NULL);
  pthread_join (daemon->timer_thread, NULL);
}

void
jl_daemon_close (struct jl_daemon *daemon)
{
  bool waits = (jl_hooks_switched_off () & JL_MECHANISM_DRAIN) == 0;

  if (daemon->entry_server != NULL)
    jl_http_server_close (daemon->entry_server, waits);
  if (daemon->peer_server != NULL)
    jl_http_server_close (daemon->peer_server, waits);
  if (daemon->local_server != NULL)
    jl_http_server_close (daemon->local_server, waits);
  join_threads (daemon);
  if (daemon->control != NULL)
    jl_control_close (daemon->control);
  if (daemon->platform != NULL)
    jl_platform_drop (daemon->platform);
  jl_http_pool_drop (daemon->pool);
  jl_core_drop (daemon->core);
  jl_effects_drop (daemon->effects);
  jl_answer_store_drop (daemon->answers);
  if (daemon->config != NULL)
    jl_config_drop (daemon->config);
  g_array_free (daemon->outgoing, TRUE);
  g_queue_clear_full (&daemon->background, g_free);
  g_hash_table_destroy (daemon->calls);
  g_hash_table_destroy (daemon->works);
  jl_log_text (JL_LOG_STOPPED, daemon->settings->name);
  g_free (daemon);
}
