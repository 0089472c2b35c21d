/**
 * DOC: Admission at the guard.
 */

#include "admit.h"

#include <inttypes.h>
#include <math.h>

#include "guard.h"
#include "level.h"
#include "limit.h"
#include "poison.h"
#include "queue.h"
#include "quick.h"

/* Waiting items for each slot at most. */
#define QUEUE_PER_SLOT 8
/* The same without measured control, and before anything was measured. */
#define QUEUE_PER_SLOT_PLAIN 2
/* How far the queue may grow beyond the wait that the service allows. */
#define QUEUE_WAIT_FACTOR 2
#define QUEUE_MIN 4
/* Items in the queue for the square root of the slots, at least. */
#define QUEUE_GAPS 4
/* Wait that is allowed while the own target's service is not configured. */
#define QUEUE_WAIT_US (100 * JL_USEC_PER_MSEC)
/* The level comes up while the queue is shorter than this part of the wait. */
#define QUEUE_SHORT_SHARE 4
/* A caller comes back after this long, and after up to as much again. */
#define RETRY_AFTER_MS 500
#define RETRY_AFTER_MAX_MS 8000
/* A level restored for this long is logged. */
#define RESTORED_LOG_US (1 * JL_USEC_PER_SEC)

/**
 * struct jl_admit - admission at the own target
 * @started: life of the target that @slots are of
 * @struck_running: requests with a strike that are running
 * @queue: items that wait for a slot
 * @held: items with a strike that wait until no other one runs
 * @window_started: items that began to run in this window
 * @window_waited_us: time for which these waited, in sum
 * @window_waiting: items that waited when this window began
 * @window_refused: an item was refused from the queue in this window
 * @lowered_us: when the level was last below its highest; 0 if that has been
 *              logged as over
 */
struct jl_admit
{
  uint32_t slots;
  uint64_t started;
  uint32_t running;
  uint32_t struck_running;
  bool plain;
  struct jl_queue *queue;
  struct jl_queue *held;
  struct jl_level *level;
  struct jl_limit *limit;
  struct jl_quick *quick;
  uint32_t window_started;
  uint64_t window_waited_us;
  uint32_t window_waiting;
  bool window_refused;
  uint64_t lowered_us;
  struct jl_timer window;
};

static void end_window (void *context, struct jl_timer *timer);

struct jl_admit *
jl_admit_new (struct jl_core *core)
{
  struct jl_admit *admit = g_new0 (struct jl_admit, 1);

  admit->plain = core->options.mode != JL_CORE_FULL
                 || JL_SWITCHED_OFF (core, JL_MECHANISM_IMPORTANCE);
  admit->queue = jl_queue_new (admit->plain);
  admit->held = jl_queue_new (admit->plain);
  admit->level = jl_level_new ();
  admit->limit = jl_limit_new ();
  admit->quick = jl_quick_new ();
  return admit;
}

void
jl_admit_drop (struct jl_admit *admit)
{
  jl_queue_drop (admit->queue);
  jl_queue_drop (admit->held);
  jl_level_drop (admit->level);
  jl_limit_drop (admit->limit);
  jl_quick_drop (admit->quick);
  g_free (admit);
}

static uint32_t
limit_of (const struct jl_core *core)
{
  const struct jl_admit *admit = core->admit;

  if (core->options.mode == JL_CORE_FORWARD && admit->slots > 0)
    return G_MAXINT;
  if (core->options.mode == JL_CORE_LIMIT_ONLY)
    return admit->slots;
  return MIN (jl_limit_get (admit->limit), admit->slots);
}

static const struct jl_service *
own_service (const struct jl_core *core)
{
  if (core->config == NULL || core->target.service == JL_NONE)
    return NULL;
  return &core->config->services[core->target.service];
}

/*
 * Wait above which load is shed: what the service allows, or the time in which
 * a queue drains that keeps the slots in use between chance gaps. Such a queue
 * grows with the square root of the slots.
 */
static uint64_t
allowed_wait (const struct jl_core *core)
{
  const struct jl_service *service = own_service (core);
  double held_us = (double)jl_limit_held (core->admit->limit);
  double slots = MAX (core->admit->slots, 1);
  uint64_t wait_us = service == NULL ? QUEUE_WAIT_US : service->queue_wait_us;

  return MAX (wait_us, (uint64_t)(QUEUE_GAPS * held_us / sqrt (slots)));
}

/* Items that end, and so can start, within @span_us; in thousandths. */
static uint64_t
capacity_milli (const struct jl_core *core, uint64_t span_us)
{
  uint64_t held_us = jl_limit_held (core->admit->limit);

  return held_us == 0 ? 0
                      : UINT64_C (1000) * limit_of (core) * span_us / held_us;
}

/* How many items may wait, as far as the queue's own bounds go. */
static uint64_t
queue_room (const struct jl_core *core)
{
  const struct jl_admit *admit = core->admit;
  uint64_t highest = (uint64_t)admit->slots * QUEUE_PER_SLOT;
  uint64_t bound;

  if (core->options.mode == JL_CORE_FORWARD)
    return UINT64_MAX;
  if (admit->plain || jl_limit_held (admit->limit) == 0)
    return (uint64_t)admit->slots * QUEUE_PER_SLOT_PLAIN;
  bound = capacity_milli (core, QUEUE_WAIT_FACTOR * allowed_wait (core)) / 1000;
  return CLAMP (bound, QUEUE_MIN, MAX (highest, QUEUE_MIN));
}

/*
 * How many items may wait. Each holds a thread of the peer port; what found
 * none would wait in front of the daemon, in no order.
 */
static uint64_t
queue_bound (const struct jl_core *core)
{
  uint64_t room = queue_room (core);
  uint64_t max = core->options.work_max;
  uint64_t running = core->admit->running;

  if (max == 0 || core->options.mode != JL_CORE_FULL)
    return room;
  return MIN (room, max > running ? max - running : 0);
}

/* Expected time until an item of @priority would start, if it has to wait. */
static uint64_t
expected_wait (const struct jl_core *core, uint32_t priority)
{
  const struct jl_admit *admit = core->admit;
  uint64_t ahead = jl_queue_ahead (admit->queue, priority);

  return ahead * jl_limit_held (admit->limit) / MAX (limit_of (core), 1);
}

static void
start_window (struct jl_core *core)
{
  struct jl_admit *admit = core->admit;

  if (core->options.mode != JL_CORE_FULL || admit->window.heap_position != 0)
    return;
  jl_timer_start (core->timers, &admit->window,
                  core->now_us + JL_LEVEL_WINDOW_US, end_window, core);
}

/* The item to give up first of all that wait. */
static struct jl_work *
last_waiting (struct jl_core *core)
{
  struct jl_work *queued = jl_queue_last (core->admit->queue);
  struct jl_work *held = jl_queue_last (core->admit->held);

  if (held == NULL || queued == NULL)
    return held == NULL ? queued : held;
  return held->priority > queued->priority ? held : queued;
}

/* Refuses an item, waiting or just arrived, in favour of others. */
static void
refuse_for_overload (struct jl_core *core, struct jl_work *work)
{
  struct jl_admit *admit = core->admit;
  const struct jl_work *last = last_waiting (core);

  if (!admit->plain)
    {
      jl_level_refused (admit->level, work->priority);
      JL_INVARIANT (last == NULL || last->priority <= work->priority,
                    "nothing less important waits at a refusal");
      JL_INVARIANT (jl_level_get (admit->level) <= work->priority + 1,
                    "nothing less important is let in after a refusal");
    }
  jl_guard_refuse (core, work, JL_REASON_OVERLOAD, jl_admit_retry_after (core));
}

/* Refuses waiting items that the level, or the length of the queue, bars. */
static void
evict (struct jl_core *core)
{
  struct jl_admit *admit = core->admit;
  uint64_t bound = queue_bound (core);

  for (;;)
    {
      struct jl_work *last = last_waiting (core);

      if (last == NULL)
        return;
      if (jl_admit_waiting (core) <= bound
          && (admit->plain || last->priority < jl_level_get (admit->level)))
        return;
      jl_admit_remove (core, last);
      admit->window_refused = true;
      refuse_for_overload (core, last);
    }
}

void
jl_admit_remove (struct jl_core *core, struct jl_work *work)
{
  struct jl_admit *admit = core->admit;

  jl_queue_remove (work->held ? admit->held : admit->queue, work);
  work->held = false;
}

/* Lets an item with a strike wait until the one that runs has ended. */
static void
hold (struct jl_core *core, struct jl_work *work)
{
  work->held = true;
  jl_queue_add (core->admit->held, work);
}

/* Puts held items back into the queue, up to one that still has a strike. */
static void
release_held (struct jl_core *core)
{
  struct jl_admit *admit = core->admit;
  struct jl_work *work;

  while ((work = jl_queue_first (admit->held)) != NULL)
    {
      jl_admit_remove (core, work);
      jl_queue_add (admit->queue, work);
      if (jl_poison_runs_alone (core, work->digest))
        return;
    }
}

static void
start (struct jl_core *core, struct jl_work *work)
{
  struct jl_admit *admit = core->admit;

  JL_INVARIANT (admit->plain
                    || work->priority <= jl_level_lowest_refused (admit->level),
                "nothing less important is let in after a refusal");
  jl_timer_stop (core->timers, &work->timer);
  admit->window_started++;
  admit->window_waited_us += core->now_us - work->arrived_us;
  jl_limit_running (admit->limit, core->now_us, ++admit->running);
  work->struck = jl_poison_runs_alone (core, work->digest);
  admit->struck_running += work->struck;
  jl_guard_run (core, work);
}

/* Requests with a strike run one at a time. */
static bool
waits_for_struck (struct jl_core *core, const struct jl_work *work)
{
  return core->admit->struck_running > 0
         && jl_poison_runs_alone (core, work->digest);
}

/* Takes the next item out of the queue to run it, or to refuse it. */
static void
take_first (struct jl_core *core, struct jl_work *work)
{
  struct jl_admit *admit = core->admit;

  jl_queue_remove (admit->queue, work);
  if (core->now_us >= work->deadline_us)
    jl_guard_refuse (core, work, JL_REASON_DEADLINE, 0);
  else if (jl_poison_refuses (core, work->digest))
    jl_guard_refuse (core, work, JL_REASON_POISON, jl_admit_retry_after (core));
  else if (waits_for_struck (core, work))
    hold (core, work);
  else
    start (core, work);
}

static void
run_waiting (struct jl_core *core)
{
  struct jl_admit *admit = core->admit;
  uint32_t limit = limit_of (core);

  while (admit->running < limit)
    {
      struct jl_work *work = jl_queue_first (admit->queue);

      if (work == NULL)
        return;
      take_first (core, work);
    }
}

void
jl_admit_slots (struct jl_core *core, uint32_t slots)
{
  struct jl_admit *admit = core->admit;
  const struct jl_service *service = own_service (core);
  uint64_t cold_start_us = service == NULL ? 0 : service->cold_start_us;
  bool new_life = slots > 0 && admit->started != core->target.started;

  admit->slots = slots;
  if (slots > 0)
    admit->started = core->target.started;
  jl_limit_announced (admit->limit, core->now_us, slots, new_life,
                      cold_start_us);
  if (slots > 0)
    start_window (core);
  run_waiting (core);
}

/* Refuses an item that is not done in time after a wait of @wait_us. */
static void
refuse_for_deadline (struct jl_core *core,
                     struct jl_work *work,
                     uint64_t wait_us,
                     uint32_t retry_after_ms)
{
  if (wait_us > allowed_wait (core))
    core->admit->window_refused = true;
  jl_guard_refuse (core, work, JL_REASON_DEADLINE, retry_after_ms);
}

static void
deadline_passed (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_work *work = caa_container_of (timer, struct jl_work, timer);

  jl_admit_remove (core, work);
  refuse_for_deadline (core, work, core->now_us - work->arrived_us, 0);
}

/* Puts an item into the queue, unless it could not be done in time. */
static void
wait_for_slot (struct jl_core *core, struct jl_work *work)
{
  struct jl_admit *admit = core->admit;
  uint64_t quick_us = admit->plain ? 0 : jl_quick_get (admit->quick, work);
  uint64_t wait_us = admit->plain ? 0 : expected_wait (core, work->priority);

  if (core->now_us + wait_us + quick_us >= work->deadline_us)
    {
      refuse_for_deadline (core, work, wait_us, jl_admit_retry_after (core));
      return;
    }
  if (waits_for_struck (core, work))
    hold (core, work);
  else
    jl_queue_add (admit->queue, work);
  jl_timer_start (core->timers, &work->timer, work->deadline_us - quick_us,
                  deadline_passed, core);
  evict (core);
}

void
jl_admit_arrive (struct jl_core *core, struct jl_work *work)
{
  struct jl_admit *admit = core->admit;

  start_window (core);
  if (!admit->plain)
    jl_level_arrive (admit->level, work->priority);
  if (work->priority >= jl_level_get (admit->level))
    refuse_for_overload (core, work);
  else if (admit->running < limit_of (core) && !waits_for_struck (core, work))
    start (core, work);
  else
    wait_for_slot (core, work);
}

void
jl_admit_done (struct jl_core *core, struct jl_work *work, uint64_t latency_us)
{
  struct jl_admit *admit = core->admit;
  uint64_t held_us = core->now_us - work->started_us;

  jl_limit_done (admit->limit, held_us, latency_us, admit->running);
  jl_limit_running (admit->limit, core->now_us, --admit->running);
  jl_quick_learn (admit->quick, work, held_us);
  admit->struck_running -= work->struck;
  if (admit->struck_running == 0)
    release_held (core);
  run_waiting (core);
}

void
jl_admit_refuse_all (struct jl_core *core, enum jl_reason reason)
{
  struct jl_work *work;

  while ((work = last_waiting (core)) != NULL)
    {
      jl_admit_remove (core, work);
      jl_guard_refuse (core, work, reason, jl_admit_retry_after (core));
    }
}

static bool
is_overloaded (const struct jl_core *core)
{
  const struct jl_admit *admit = core->admit;

  if (admit->window_refused)
    return true;
  return admit->window_started > 0
         && admit->window_waited_us / admit->window_started
                > allowed_wait (core);
}

/* Whether the queue has become shorter, and refused nothing. */
static bool
is_draining (struct jl_core *core)
{
  const struct jl_admit *admit = core->admit;

  return !admit->window_refused
         && jl_admit_waiting (core) < admit->window_waiting;
}

/* Whether more waits than can start in a small part of the allowed wait. */
static bool
is_backlogged (const struct jl_core *core)
{
  uint64_t milli
      = capacity_milli (core, allowed_wait (core) / QUEUE_SHORT_SHARE);

  return jl_queue_count (core->admit->queue) * UINT64_C (1000) > milli;
}

/* Logs the first time the level goes down, and when it has come up again. */
static void
log_level (struct jl_core *core)
{
  struct jl_admit *admit = core->admit;
  uint32_t value = jl_level_get (admit->level);

  if (value < JL_PRIORITY_COUNT)
    {
      if (admit->lowered_us == 0)
        jl_log_event (core, JL_LOG_LEVEL_LOWERED, value,
                      value / JL_SAMPLE_COUNT);
      admit->lowered_us = core->now_us;
    }
  else if (admit->lowered_us > 0
           && admit->lowered_us + RESTORED_LOG_US <= core->now_us)
    {
      jl_log_event (core, JL_LOG_LEVEL_RESTORED, 0, 0);
      admit->lowered_us = 0;
    }
}

static void
end_window (void *context, struct jl_timer *timer G_GNUC_UNUSED)
{
  struct jl_core *core = context;
  struct jl_admit *admit = core->admit;
  struct jl_level_window window;

  window.capacity_milli = capacity_milli (core, JL_LEVEL_WINDOW_US);
  window.waiting = is_overloaded (core) || is_backlogged (core);
  window.overloaded = is_overloaded (core) && !is_draining (core);
  jl_limit_window (admit->limit, core->now_us,
                   window.waiting || jl_admit_level (core) < JL_PRIORITY_COUNT);
  admit->window_waiting = jl_admit_waiting (core);
  admit->window_started = 0;
  admit->window_waited_us = 0;
  admit->window_refused = false;
  if (!admit->plain)
    {
      jl_level_end_window (admit->level, &window);
      evict (core);
      log_level (core);
    }
  run_waiting (core);
  if (!jl_level_idle (admit->level) || !jl_limit_settled (admit->limit)
      || admit->lowered_us > 0 || admit->running > 0)
    start_window (core);
}

uint32_t
jl_admit_level (struct jl_core *core)
{
  return jl_level_get (core->admit->level);
}

uint32_t
jl_admit_load (struct jl_core *core)
{
  uint32_t limit = MAX (limit_of (core), 1);
  uint64_t items = jl_admit_running (core) + jl_admit_waiting (core);

  return (uint32_t)MIN (1000 * items / limit, UINT32_MAX);
}

uint32_t
jl_admit_retry_after (struct jl_core *core)
{
  uint32_t refused = jl_level_refused_permille (core->admit->level);
  uint32_t base_ms = RETRY_AFTER_MS * 1000 / (1001 - MIN (refused, 1000));

  base_ms = MIN (base_ms, RETRY_AFTER_MAX_MS);
  return base_ms + jl_random_below (core, base_ms);
}

uint32_t
jl_admit_running (struct jl_core *core)
{
  return core->admit->running;
}

uint32_t
jl_admit_waiting (struct jl_core *core)
{
  return jl_queue_count (core->admit->queue)
         + jl_queue_count (core->admit->held);
}

uint32_t
jl_admit_struck_running (struct jl_core *core)
{
  return core->admit->struck_running;
}

void
jl_admit_dump (struct jl_core *core, GString *out)
{
  const struct jl_admit *admit = core->admit;

  g_string_append_printf (
      out,
      "{\"slots\":%u,\"limit\":%u,\"running\":%u,"
      "\"waiting\":%u,\"level\":%u,\"held_us\":%" PRIu64 "}",
      admit->slots, limit_of (core), admit->running, jl_admit_waiting (core),
      jl_admit_level (core), jl_limit_held (admit->limit));
}
