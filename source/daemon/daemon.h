#ifndef JACKDAWLADDER_DAEMON_H
#define JACKDAWLADDER_DAEMON_H

/**
 * DOC: The daemon's threads, which turn network input into events and execute
 * effects.
 *
 * The thread that has an event runs the reducer's step itself, under one
 * lock. A thread that waits for an effect of its request sleeps on a condition
 * variable of its own; the step that produces the effect wakes it.
 */

#include <urcu/list.h>

#include "jackdawladder/control.h"
#include "jackdawladder/core.h"
#include "jackdawladder/http.h"
#include "jackdawladder/platform.h"
#include "jackdawladder/settings.h"

struct jl_response_cache;

/**
 * struct jl_daemon - one daemon
 * @lock: protects the reducer and the fields from @core to @drained_cond
 * @config: configuration in force; threads without @lock read it under RCU
 * @retired_config: replaced configuration, freed after an RCU grace period
 * @calls: map of call numbers to struct jl_waiter
 * @work_items: map of work numbers to struct jl_waiter
 * @next_number: number given to the last call or work item
 * @deferred: effects to execute after @lock is released
 * @background_effects: queue of struct jl_effect for the background thread
 * @background_cond: signalled when @background_effects gets an element
 * @tick_at_us: when the timer thread will wake up
 * @tick_cond: signalled when @tick_at_us becomes earlier
 * @draining: set atomically; connections of callers are closed after each
 *            response
 * @drain_started_us: time of the drain request, 0 before it
 * @drained: no requests are left; the process can end
 * @closing: tells the timer and background threads to end
 * @drained_cond: signalled when @drained is set
 */
struct jl_daemon
{
  struct jl_settings *settings;
  pthread_mutex_t lock;
  struct jl_core *core;
  struct jl_effects *effects;
  struct jl_config *config;
  struct jl_config *retired_config;
  GHashTable *calls;
  GHashTable *work_items;
  uint64_t next_number;
  GArray *deferred;
  GQueue background_effects;
  pthread_cond_t background_cond;
  uint64_t tick_at_us;
  pthread_cond_t tick_cond;
  int draining;
  uint64_t drain_started_us;
  bool drained;
  bool closing;
  pthread_cond_t drained_cond;
  struct jl_response_cache *response_cache;
  struct jl_http_pool *pool;
  struct jl_control *control;
  struct jl_platform *platform;
  struct jl_http_server *entry_server;
  struct jl_http_server *peer_server;
  struct jl_http_server *local_server;
  bool threads_started;
  pthread_t timer_thread;
  pthread_t background_thread;
};

/**
 * struct jl_waiter - a thread that waits for effects of its request
 * @number: number of the call or work item
 * @cond: signalled when @effects gets an element
 * @effects: queue of struct jl_effect, in order
 * @transfer: handle to abort the HTTP transfer in progress
 * @cancelled_attempt: calls only, number of the attempt cancelled last
 * @ordinals: work items only, number of calls made so far by kind; may be NULL
 */
struct jl_waiter
{
  uint64_t number;
  pthread_cond_t cond;
  GQueue effects;
  struct jl_http_transfer transfer;
  uint64_t cancelled_attempt;
  GHashTable *ordinals;
};

/**
 * jl_daemon_open - opens the sockets and starts the threads
 * @settings: must stay valid until jl_daemon_close()
 *
 * Return: the daemon, or NULL with @error set.
 */
struct jl_daemon *jl_daemon_open (struct jl_settings *settings, GError **error);

/**
 * jl_daemon_drain - begins a graceful shutdown
 *
 * The daemon refuses new work and finishes the requests in progress.
 */
void jl_daemon_drain (struct jl_daemon *daemon);

/**
 * jl_daemon_wait_exit - waits until the daemon has drained
 *
 * Return: false when draining took longer than the settings' drain_ms.
 */
bool jl_daemon_wait_exit (struct jl_daemon *daemon);

/**
 * jl_daemon_close - stops servers and threads and frees the daemon
 */
void jl_daemon_close (struct jl_daemon *daemon);

/**
 * jl_daemon_lock - acquires the lock for one or more steps
 */
void jl_daemon_lock (struct jl_daemon *daemon);

/**
 * jl_daemon_step - runs one step of the reducer and dispatches its effects
 * @event: the function sets its time
 *
 * The caller must hold the lock.
 */
void jl_daemon_step (struct jl_daemon *daemon, struct jl_event *event);

/**
 * jl_daemon_unlock - releases the lock, then executes the deferred effects
 */
void jl_daemon_unlock (struct jl_daemon *daemon);

/**
 * jl_daemon_post - acquires the lock, runs one step and releases the lock
 */
void jl_daemon_post (struct jl_daemon *daemon, struct jl_event *event);

void jl_waiter_init (struct jl_waiter *waiter);
void jl_waiter_clear (struct jl_waiter *waiter);

/**
 * jl_waiter_wait - waits for the next effect of a call or work item
 *
 * The caller must hold the lock, which is released while the thread sleeps.
 */
struct jl_effect jl_waiter_wait (struct jl_daemon *daemon,
                                 struct jl_waiter *waiter);

/**
 * jl_daemon_await_background - waits for an effect of the background thread
 * @wait_us: longest wait
 * @effect: receives the effect, to be freed with g_free(), or NULL after a
 *          timeout
 *
 * Return: false when the daemon is closing.
 */
bool jl_daemon_await_background (struct jl_daemon *daemon,
                                 uint64_t wait_us,
                                 struct jl_effect **effect);

/**
 * jl_daemon_get_config - returns the configuration in force
 *
 * Return: a new reference, or NULL if there is no configuration.
 */
struct jl_config *jl_daemon_get_config (struct jl_daemon *daemon);

/**
 * jl_daemon_install - validates a configuration and passes it to the reducer
 *
 * Return: false with @error set if the document is invalid.
 */
bool jl_daemon_install (struct jl_daemon *daemon,
                        const char *text,
                        size_t size,
                        uint64_t version,
                        GError **error);

/* Request handlers of the three HTTP servers. */
void jl_entry_handle (void *context, struct jl_http_exchange *exchange);
void jl_peer_handle (void *context, struct jl_http_exchange *exchange);
void jl_local_handle (void *context, struct jl_http_exchange *exchange);

/**
 * jl_daemon_serve_config - responds with the configuration in force
 *
 * The response to GET /jl/config has the version in Jl-Config-Version; status
 * 404 means that there is no configuration.
 */
void jl_daemon_serve_config (struct jl_daemon *daemon,
                             struct jl_http_exchange *exchange);

/**
 * jl_background_run - main function of the background thread
 *
 * The thread handles the platform's table and fetches configurations.
 */
void *jl_background_run (void *daemon);

#endif
