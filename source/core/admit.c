/**
 * DOC: Admission control: starts, queues or refuses the work items of the own
 * target.
 */

#include "admit.h"

#include <inttypes.h>
#include <math.h>

#include "guard.h"
#include "level.h"
#include "limit.h"
#include "poison.h"
#include "queue.h"
#include "run-estimate.h"

/* Maximum number of waiting items per slot. */
#define QUEUE_ITEMS_PER_SLOT_MAX 8
/*
 * Maximum number of waiting items per slot without priorities, or while the
 * mean hold time of a slot is unknown.
 */
#define QUEUE_ITEMS_PER_SLOT_FIFO 2
/*
 * The queue holds at most the items that can start within this multiple of the
 * allowed wait.
 */
#define QUEUE_WAIT_FACTOR 2
/* Lower limit of the queue bound, in items. */
#define QUEUE_ITEMS_MIN 4
/*
 * The allowed wait is at least the time in which this many items, multiplied by
 * the square root of the number of slots, drain.
 */
#define QUEUE_ITEMS_PER_SQRT_SLOT 4
/* Allowed wait if the own target's service is not in the configuration. */
#define QUEUE_WAIT_DEFAULT_US (100 * JL_USEC_PER_MSEC)
/*
 * The level may be raised while the waiting items can start within this
 * fraction of the allowed wait.
 */
#define BACKLOG_WAIT_DIVISOR 4
/*
 * Retry delay of a refused caller when no arrivals are refused. It grows with
 * the share of refusals; up to 100% of jitter is added.
 */
#define RETRY_AFTER_BASE_MS 500
/* Maximum of the base delay, before jitter. */
#define RETRY_AFTER_MAX_MS 8000
/* The level is logged as restored if it was at its maximum for this long. */
#define RESTORED_LOG_DELAY_US (1 * JL_USEC_PER_SEC)

/**
 * struct jl_admit - admission control for the own target
 * @target_started: start time of the target process that announced @slots
 * @suspects_running: number of suspect requests that are running
 * @fifo: whether requests are handled in order of arrival, without priorities
 * @queue: items that wait for a slot
 * @deferred: suspect items that wait until no other suspect request runs
 * @window_start_count: number of items that started in this window
 * @window_wait_sum_us: total wait of these items
 * @window_initial_waiting: number of waiting items at the start of this window
 * @window_refused: whether an item was refused from the queue in this window
 * @last_lowered_us: when the level was last below its maximum; 0 once its
 *                   restoration has been logged
 */
struct jl_admit
{
  uint32_t slots;
  uint64_t target_started;
  uint32_t running;
  uint32_t suspects_running;
  bool fifo;
  struct jl_queue *queue;
  struct jl_queue *deferred;
  struct jl_level *level;
  struct jl_limit *limit;
  struct jl_run_estimate *run_estimate;
  uint32_t window_start_count;
  uint64_t window_wait_sum_us;
  uint32_t window_initial_waiting;
  bool window_refused;
  uint64_t last_lowered_us;
  struct jl_timer window_timer;
};

static void end_window (void *context, struct jl_timer *timer);

struct jl_admit *
jl_admit_new (struct jl_core *core)
{
  struct jl_admit *admit = g_new0 (struct jl_admit, 1);

  admit->fifo = core->options.mode != JL_CORE_FULL
                || JL_SWITCHED_OFF (core, JL_MECHANISM_IMPORTANCE);
  admit->queue = jl_queue_new (admit->fifo);
  admit->deferred = jl_queue_new (admit->fifo);
  admit->level = jl_level_new ();
  admit->limit = jl_limit_new ();
  admit->run_estimate = jl_run_estimate_new ();
  return admit;
}

void
jl_admit_drop (struct jl_admit *admit)
{
  jl_queue_drop (admit->queue);
  jl_queue_drop (admit->deferred);
  jl_level_drop (admit->level);
  jl_limit_drop (admit->limit);
  jl_run_estimate_drop (admit->run_estimate);
  g_free (admit);
}

static uint32_t
current_limit (const struct jl_core *core)
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
 * Returns the wait above which load is shed. This is the wait that the service
 * allows, or, if longer, the drain time of a queue that is long enough to keep
 * the slots in use across random gaps between arrivals. The length of such a
 * queue grows with the square root of the slots.
 */
static uint64_t
allowed_wait_us (const struct jl_core *core)
{
  const struct jl_service *service = own_service (core);
  double hold_us = (double)jl_limit_mean_hold_us (core->admit->limit);
  double slots = MAX (core->admit->slots, 1);
  uint64_t wait_us
      = service == NULL ? QUEUE_WAIT_DEFAULT_US : service->queue_wait_us;

  return MAX (wait_us,
              (uint64_t)(QUEUE_ITEMS_PER_SQRT_SLOT * hold_us / sqrt (slots)));
}

/*
 * Returns how many items can finish, and so how many can start, within
 * @span_us; in thousandths of an item.
 */
static uint64_t
capacity_milli (const struct jl_core *core, uint64_t span_us)
{
  uint64_t hold_us = jl_limit_mean_hold_us (core->admit->limit);

  return hold_us == 0
             ? 0
             : UINT64_C (1000) * current_limit (core) * span_us / hold_us;
}

/* Returns how many items may wait, regardless of the number of threads. */
static uint64_t
queue_capacity (const struct jl_core *core)
{
  const struct jl_admit *admit = core->admit;
  uint64_t max = (uint64_t)admit->slots * QUEUE_ITEMS_PER_SLOT_MAX;
  uint64_t bound;

  if (core->options.mode == JL_CORE_FORWARD)
    return UINT64_MAX;
  if (admit->fifo || jl_limit_mean_hold_us (admit->limit) == 0)
    return (uint64_t)admit->slots * QUEUE_ITEMS_PER_SLOT_FIFO;
  bound = capacity_milli (core, QUEUE_WAIT_FACTOR * allowed_wait_us (core))
          / 1000;
  return CLAMP (bound, QUEUE_ITEMS_MIN, MAX (max, QUEUE_ITEMS_MIN));
}

/*
 * Returns how many items may wait. Each waiting item holds a thread of the peer
 * port. If no thread were free, requests would wait in front of the daemon,
 * where they are not ordered by priority.
 */
static uint64_t
queue_bound (const struct jl_core *core)
{
  uint64_t capacity = queue_capacity (core);
  uint64_t max = core->options.work_max;
  uint64_t running = core->admit->running;

  if (max == 0 || core->options.mode != JL_CORE_FULL)
    return capacity;
  return MIN (capacity, max > running ? max - running : 0);
}

/* Returns the expected wait of an item of @priority if it is queued now. */
static uint64_t
expected_wait_us (const struct jl_core *core, uint32_t priority)
{
  const struct jl_admit *admit = core->admit;
  uint64_t ahead = jl_queue_count_ahead (admit->queue, priority);

  return ahead * jl_limit_mean_hold_us (admit->limit)
         / MAX (current_limit (core), 1);
}

static void
start_window (struct jl_core *core)
{
  struct jl_admit *admit = core->admit;

  if (core->options.mode != JL_CORE_FULL
      || admit->window_timer.heap_position != 0)
    return;
  jl_timer_start (core->timers, &admit->window_timer,
                  core->now_us + JL_LEVEL_WINDOW_US, end_window, core);
}

/* Returns the least important of all waiting items. */
static struct jl_work *
least_important_waiting (struct jl_core *core)
{
  struct jl_work *queued = jl_queue_last (core->admit->queue);
  struct jl_work *deferred = jl_queue_last (core->admit->deferred);

  if (deferred == NULL || queued == NULL)
    return deferred == NULL ? queued : deferred;
  return deferred->priority > queued->priority ? deferred : queued;
}

/* Refuses a waiting or newly arrived item because of overload. */
static void
refuse_for_overload (struct jl_core *core, struct jl_work *work)
{
  struct jl_admit *admit = core->admit;
  const struct jl_work *last = least_important_waiting (core);

  if (!admit->fifo)
    {
      jl_level_count_refusal (admit->level, work->priority);
      JL_INVARIANT (last == NULL || last->priority <= work->priority,
                    "no less important item waits at a refusal");
      JL_INVARIANT (jl_level_get (admit->level) <= work->priority + 1,
                    "no less important item is admitted after a refusal");
    }
  jl_guard_refuse (core, work, JL_REASON_OVERLOAD,
                   jl_admit_retry_after_ms (core));
}

/*
 * Refuses the least important waiting items, until the level admits all others
 * and their number is within the queue bound.
 */
static void
evict (struct jl_core *core)
{
  struct jl_admit *admit = core->admit;
  uint64_t bound = queue_bound (core);

  for (;;)
    {
      struct jl_work *last = least_important_waiting (core);

      if (last == NULL)
        return;
      if (jl_admit_waiting (core) <= bound
          && (admit->fifo || last->priority < jl_level_get (admit->level)))
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

  jl_queue_remove (work->deferred ? admit->deferred : admit->queue, work);
  work->deferred = false;
}

/* Makes a suspect item wait until the running suspect request has ended. */
static void
defer (struct jl_core *core, struct jl_work *work)
{
  work->deferred = true;
  jl_queue_add (core->admit->deferred, work);
}

/*
 * Moves deferred items back to the queue, up to and including the first item
 * that is still suspect.
 */
static void
release_deferred (struct jl_core *core)
{
  struct jl_admit *admit = core->admit;
  struct jl_work *work;

  while ((work = jl_queue_first (admit->deferred)) != NULL)
    {
      jl_admit_remove (core, work);
      jl_queue_add (admit->queue, work);
      if (jl_poison_is_suspect (core, work->digest))
        return;
    }
}

static void
start_work (struct jl_core *core, struct jl_work *work)
{
  struct jl_admit *admit = core->admit;

  JL_INVARIANT (admit->fifo
                    || work->priority <= jl_level_lowest_refused (admit->level),
                "no less important item is admitted after a refusal");
  jl_timer_stop (core->timers, &work->timer);
  admit->window_start_count++;
  admit->window_wait_sum_us += core->now_us - work->arrived_us;
  jl_limit_set_running (admit->limit, core->now_us, ++admit->running);
  work->suspect = jl_poison_is_suspect (core, work->digest);
  admit->suspects_running += work->suspect;
  jl_guard_run (core, work);
}

/*
 * Whether an item has to wait because it is suspect and a suspect request is
 * running.
 */
static bool
waits_for_suspect (struct jl_core *core, const struct jl_work *work)
{
  return core->admit->suspects_running > 0
         && jl_poison_is_suspect (core, work->digest);
}

/* Removes the next item from the queue and starts, refuses or defers it. */
static void
start_or_refuse (struct jl_core *core, struct jl_work *work)
{
  struct jl_admit *admit = core->admit;

  jl_queue_remove (admit->queue, work);
  if (core->now_us >= work->deadline_us)
    jl_guard_refuse (core, work, JL_REASON_DEADLINE, 0);
  else if (jl_poison_refuses (core, work->digest))
    jl_guard_refuse (core, work, JL_REASON_POISON,
                     jl_admit_retry_after_ms (core));
  else if (waits_for_suspect (core, work))
    defer (core, work);
  else
    start_work (core, work);
}

/* Starts waiting items in free slots. */
static void
start_waiting (struct jl_core *core)
{
  struct jl_admit *admit = core->admit;
  uint32_t limit = current_limit (core);

  while (admit->running < limit)
    {
      struct jl_work *work = jl_queue_first (admit->queue);

      if (work == NULL)
        return;
      start_or_refuse (core, work);
    }
}

void
jl_admit_set_slots (struct jl_core *core, uint32_t slots)
{
  struct jl_admit *admit = core->admit;
  const struct jl_service *service = own_service (core);
  uint64_t cold_start_us = service == NULL ? 0 : service->cold_start_us;
  bool new_process = slots > 0 && admit->target_started != core->target.started;

  admit->slots = slots;
  if (slots > 0)
    admit->target_started = core->target.started;
  jl_limit_set_slots (admit->limit, core->now_us, slots, new_process,
                      cold_start_us);
  if (slots > 0)
    start_window (core);
  start_waiting (core);
}

/* Refuses an item that cannot meet its deadline after a wait of @wait_us. */
static void
refuse_for_deadline (struct jl_core *core,
                     struct jl_work *work,
                     uint64_t wait_us,
                     uint32_t retry_after_ms)
{
  if (wait_us > allowed_wait_us (core))
    core->admit->window_refused = true;
  jl_guard_refuse (core, work, JL_REASON_DEADLINE, retry_after_ms);
}

static void
handle_deadline (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_work *work = caa_container_of (timer, struct jl_work, timer);

  jl_admit_remove (core, work);
  refuse_for_deadline (core, work, core->now_us - work->arrived_us, 0);
}

/* Queues an item, unless it could not finish before its deadline. */
static void
enqueue (struct jl_core *core, struct jl_work *work)
{
  struct jl_admit *admit = core->admit;
  uint64_t estimate_us
      = admit->fifo ? 0 : jl_run_estimate_get (admit->run_estimate, work);
  uint64_t wait_us = admit->fifo ? 0 : expected_wait_us (core, work->priority);

  if (core->now_us + wait_us + estimate_us >= work->deadline_us)
    {
      refuse_for_deadline (core, work, wait_us, jl_admit_retry_after_ms (core));
      return;
    }
  if (waits_for_suspect (core, work))
    defer (core, work);
  else
    jl_queue_add (admit->queue, work);
  jl_timer_start (core->timers, &work->timer, work->deadline_us - estimate_us,
                  handle_deadline, core);
  evict (core);
}

void
jl_admit_submit (struct jl_core *core, struct jl_work *work)
{
  struct jl_admit *admit = core->admit;

  start_window (core);
  if (!admit->fifo)
    jl_level_count_arrival (admit->level, work->priority);
  if (work->priority >= jl_level_get (admit->level))
    refuse_for_overload (core, work);
  else if (admit->running < current_limit (core)
           && !waits_for_suspect (core, work))
    start_work (core, work);
  else
    enqueue (core, work);
}

void
jl_admit_done (struct jl_core *core, struct jl_work *work, uint64_t latency_us)
{
  struct jl_admit *admit = core->admit;
  uint64_t hold_us = core->now_us - work->started_us;

  jl_limit_done (admit->limit, hold_us, latency_us, admit->running);
  jl_limit_set_running (admit->limit, core->now_us, --admit->running);
  jl_run_estimate_update (admit->run_estimate, work, hold_us);
  admit->suspects_running -= work->suspect;
  if (admit->suspects_running == 0)
    release_deferred (core);
  start_waiting (core);
}

void
jl_admit_refuse_all (struct jl_core *core, enum jl_reason reason)
{
  struct jl_work *work;

  while ((work = least_important_waiting (core)) != NULL)
    {
      jl_admit_remove (core, work);
      jl_guard_refuse (core, work, reason, jl_admit_retry_after_ms (core));
    }
}

/*
 * Whether an item was refused in this window, or the mean wait of the started
 * items exceeds the allowed wait.
 */
static bool
is_overloaded (const struct jl_core *core)
{
  const struct jl_admit *admit = core->admit;

  if (admit->window_refused)
    return true;
  return admit->window_start_count > 0
         && admit->window_wait_sum_us / admit->window_start_count
                > allowed_wait_us (core);
}

/* Whether the queue became shorter in this window and no item was refused. */
static bool
is_queue_shrinking (struct jl_core *core)
{
  const struct jl_admit *admit = core->admit;

  return !admit->window_refused
         && jl_admit_waiting (core) < admit->window_initial_waiting;
}

/*
 * Whether more items wait than can start in a small fraction of the allowed
 * wait.
 */
static bool
is_backlogged (const struct jl_core *core)
{
  uint64_t milli
      = capacity_milli (core, allowed_wait_us (core) / BACKLOG_WAIT_DIVISOR);

  return jl_queue_count (core->admit->queue) * UINT64_C (1000) > milli;
}

/* Logs when the level is first lowered, and when it has been restored. */
static void
log_level_change (struct jl_core *core)
{
  struct jl_admit *admit = core->admit;
  uint32_t value = jl_level_get (admit->level);

  if (value < JL_PRIORITY_COUNT)
    {
      if (admit->last_lowered_us == 0)
        jl_log_event (core, JL_LOG_LEVEL_LOWERED, value,
                      value / JL_SAMPLE_COUNT);
      admit->last_lowered_us = core->now_us;
    }
  else if (admit->last_lowered_us > 0
           && admit->last_lowered_us + RESTORED_LOG_DELAY_US <= core->now_us)
    {
      jl_log_event (core, JL_LOG_LEVEL_RESTORED, 0, 0);
      admit->last_lowered_us = 0;
    }
}

static void
end_window (void *context, struct jl_timer *timer G_GNUC_UNUSED)
{
  struct jl_core *core = context;
  struct jl_admit *admit = core->admit;
  struct jl_level_window window;

  window.capacity_milli = capacity_milli (core, JL_LEVEL_WINDOW_US);
  window.backlogged = is_overloaded (core) || is_backlogged (core);
  window.overloaded = is_overloaded (core) && !is_queue_shrinking (core);
  jl_limit_end_window (admit->limit, core->now_us,
                       window.backlogged
                           || jl_admit_level (core) < JL_PRIORITY_COUNT);
  admit->window_initial_waiting = jl_admit_waiting (core);
  admit->window_start_count = 0;
  admit->window_wait_sum_us = 0;
  admit->window_refused = false;
  if (!admit->fifo)
    {
      jl_level_end_window (admit->level, &window);
      evict (core);
      log_level_change (core);
    }
  start_waiting (core);
  if (!jl_level_idle (admit->level) || !jl_limit_settled (admit->limit)
      || admit->last_lowered_us > 0 || admit->running > 0)
    start_window (core);
}

uint32_t
jl_admit_level (struct jl_core *core)
{
  return jl_level_get (core->admit->level);
}

uint32_t
jl_admit_load_permille (struct jl_core *core)
{
  uint32_t limit = MAX (current_limit (core), 1);
  uint64_t items = jl_admit_running (core) + jl_admit_waiting (core);

  return (uint32_t)MIN (1000 * items / limit, UINT32_MAX);
}

uint32_t
jl_admit_retry_after_ms (struct jl_core *core)
{
  uint32_t refused = jl_level_refused_permille (core->admit->level);
  uint32_t base_ms = RETRY_AFTER_BASE_MS * 1000 / (1001 - MIN (refused, 1000));

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
         + jl_queue_count (core->admit->deferred);
}

uint32_t
jl_admit_suspects_running (struct jl_core *core)
{
  return core->admit->suspects_running;
}

void
jl_admit_dump (struct jl_core *core, GString *out)
{
  const struct jl_admit *admit = core->admit;

  g_string_append_printf (out,
                          "{\"slots\":%u,\"limit\":%u,\"running\":%u,"
                          "\"waiting\":%u,\"level\":%u,\"held_us\":%" PRIu64
                          "}",
                          admit->slots, current_limit (core), admit->running,
                          jl_admit_waiting (core), jl_admit_level (core),
                          jl_limit_mean_hold_us (admit->limit));
}
