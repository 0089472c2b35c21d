#ifndef JACKDAWLADDER_DAEMON_H
#define JACKDAWLADDER_DAEMON_H

/**
 * DOC: The edge of the daemon: threads that turn sockets into events and
 * carry out effects.
 *
 * The thread that has an event runs the reducer's step itself, under one
 * lock. A thread that waits for an effect of its request sleeps on a
 * condition of its own and is woken by the step that gives the effect.
 */

#include <urcu/list.h>

#include "jackdawladder/control.h"
#include "jackdawladder/core.h"
#include "jackdawladder/http.h"
#include "jackdawladder/platform.h"
#include "jackdawladder/settings.h"

struct jl_answer_store;

/**
 * struct jl_daemon - one daemon
 * @lock: guards the reducer and everything below up to @pool
 * @config: read by other threads under RCU, too
 * @calls: number to struct jl_waiter
 * @works: number to struct jl_waiter
 * @outgoing: effects to be carried out after the step's lock is given back
 * @draining: callers' connections are closed after each answer
 * @background: struct jl_effect of the background thread
 * @tick_at_us: when the timer thread will wake up
 */
struct jl_daemon
{
  struct jl_settings *settings;
  pthread_mutex_t lock;
  struct jl_core *core;
  struct jl_effects *effects;
  struct jl_config *config;
  struct jl_config *retired;
  GHashTable *calls;
  GHashTable *works;
  uint64_t next_number;
  GArray *outgoing;
  GQueue background;
  pthread_cond_t has_background;
  uint64_t tick_at_us;
  pthread_cond_t tick;
  int draining;
  uint64_t drain_begun_us;
  bool exiting;
  bool stopping;
  pthread_cond_t exit;
  struct jl_answer_store *answers;
  struct jl_http_pool *pool;
  struct jl_control *control;
  struct jl_platform *platform;
  struct jl_http_server *entry_server;
  struct jl_http_server *peer_server;
  struct jl_http_server *local_server;
  bool has_threads;
  pthread_t timer_thread;
  pthread_t background_thread;
};

/**
 * struct jl_waiter - a thread that waits for effects of its request
 * @inbox: struct jl_effect, in order
 * @stopped_attempt: of a call, number of the sending stopped last
 * @ordinals: of a work item, calls made so far by kind
 */
struct jl_waiter
{
  uint64_t number;
  pthread_cond_t cond;
  GQueue inbox;
  struct jl_http_transfer transfer;
  uint64_t stopped_attempt;
  GHashTable *ordinals;
};

struct jl_daemon *jl_daemon_open (struct jl_settings *settings, GError **error);

/**
 * jl_daemon_drain - begins a planned stop
 */
void jl_daemon_drain (struct jl_daemon *daemon);

/**
 * jl_daemon_wait_exit - waits until the daemon has drained
 *
 * Return: false when that took longer than the settings' drain_ms.
 */
bool jl_daemon_wait_exit (struct jl_daemon *daemon);

void jl_daemon_close (struct jl_daemon *daemon);

/**
 * jl_daemon_begin - takes the lock for one or more steps
 */
void jl_daemon_begin (struct jl_daemon *daemon);

/**
 * jl_daemon_step - runs one step, under the lock
 *
 * Sets the event's time.
 */
void jl_daemon_step (struct jl_daemon *daemon, struct jl_event *event);

/**
 * jl_daemon_end - gives the lock back, then carries out what needs no lock
 */
void jl_daemon_end (struct jl_daemon *daemon);

/**
 * jl_daemon_post - one step on its own
 */
void jl_daemon_post (struct jl_daemon *daemon, struct jl_event *event);

void jl_waiter_init (struct jl_waiter *waiter);
void jl_waiter_clear (struct jl_waiter *waiter);

/**
 * jl_waiter_next - waits for the next effect, under the lock
 */
struct jl_effect jl_waiter_next (struct jl_daemon *daemon,
                                 struct jl_waiter *waiter);

/**
 * jl_daemon_await_background - waits for an effect of the background thread
 * @effect: receives it, to be freed, or NULL when there was none in time
 *
 * Return: false when the daemon stops.
 */
bool jl_daemon_await_background (struct jl_daemon *daemon,
                                 uint64_t wait_us,
                                 struct jl_effect **effect);

/**
 * jl_daemon_get_config - a reference to the configuration in force, or NULL
 */
struct jl_config *jl_daemon_get_config (struct jl_daemon *daemon);

/**
 * jl_daemon_install - checks a document and hands it to the reducer
 */
bool jl_daemon_install (struct jl_daemon *daemon,
                        const char *text,
                        size_t size,
                        uint64_t version,
                        GError **error);

/* Handlers of the three HTTP servers. */
void jl_entry_handle (void *context, struct jl_http_exchange *exchange);
void jl_peer_handle (void *context, struct jl_http_exchange *exchange);
void jl_local_handle (void *context, struct jl_http_exchange *exchange);

/**
 * jl_daemon_serve_config - answers GET /jl/config
 */
void jl_daemon_serve_config (struct jl_daemon *daemon,
                             struct jl_http_exchange *exchange);

/**
 * jl_background_run - the background thread: platform and configuration
 */
void *jl_background_run (void *daemon);

#endif
