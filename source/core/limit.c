/**
 * DOC: The adaptive concurrency limit: cold start and hill climbing by measured
 * throughput.
 */

#include "limit.h"

/* Divisor of the slots for the initial limit of a new target. */
#define COLD_START_DIVISOR 8
/* Divisor of the slots for the minimum of the limit. */
#define MIN_LIMIT_DIVISOR 4
/*
 * Divisor of the slots for the number of requests in progress up to which the
 * target counts as unloaded.
 */
#define UNLOADED_DIVISOR 4
/* The newest sample has a weight of 1/32 in the moving averages. */
#define MEAN_WEIGHT_SHIFT 5
/*
 * A lower limit is tried when the latency exceeds this percentage of the
 * latency without load.
 */
#define SLOW_LATENCY_PERCENT 300
/* Number of samples from which the latency without load counts as known. */
#define BASELINE_SAMPLES_MIN 64
/* Number of requests over which the throughput at one limit is measured. */
#define TRIAL_REQUESTS_MIN 200
/* A trial is only valid if at least this share of the limit was in use. */
#define TRIAL_UTILIZATION_PERCENT 85
/* Size of a step as a share of the current limit. */
#define STEP_PERCENT 20
/*
 * A step down may reduce the throughput by up to this much; a step up has to
 * increase it by at least this much.
 */
#define RATE_TOLERANCE_PERCENT 8
/*
 * Number of windows without trials after a trial of a lower limit failed to
 * improve the throughput. It doubles with each further failure, up to the
 * maximum.
 */
#define TRIAL_PAUSE_WINDOWS 200
#define TRIAL_PAUSE_WINDOWS_MAX 6400
/* The limit is raised by one step after this many windows without overload. */
#define RAISE_INTERVAL_WINDOWS 20

/**
 * struct trial - throughput measurement at one limit
 * @skip_count: number of completions still to be ignored, since their requests
 *              may have started under the previous limit
 * @count: number of completions counted after the ignored ones
 * @started_us: when counting started
 * @used_us: time for which slots were in use since @started_us, summed over all
 *           slots
 */
struct trial
{
  uint32_t skip_count;
  uint32_t count;
  uint64_t started_us;
  uint64_t used_us;
};

/**
 * struct jl_limit - the limit and the measurements behind it
 * @cold_start_limit: limit that results from the age of the target process
 * @adaptive_limit: limit that results from the measured latency and throughput
 * @started_us: when the target process was first announced
 * @mean_hold_us: moving average of the time for which a request holds its slot
 * @mean_latency_us: moving average of the latency of answers
 * @baseline_latency_us: moving average of the latency of answers without load
 * @running: number of requests in progress
 * @running_us: time of the last change of @running
 * @previous_rate: throughput at the previous limit in requests per second; 0 if
 *                 it was not measured
 * @upward: whether the last step raised the limit
 * @windows_without_overload: consecutive windows without overload
 * @pause_windows: remaining windows in which no trial takes place
 * @next_pause_windows: length of the pause after the next failed trial
 */
struct jl_limit
{
  uint32_t slots;
  uint32_t cold_start_limit;
  uint32_t adaptive_limit;
  uint64_t started_us;
  uint64_t cold_start_us;
  uint64_t mean_hold_us;
  uint64_t mean_latency_us;
  uint64_t baseline_latency_us;
  uint32_t baseline_count;
  struct trial trial;
  uint32_t running;
  uint64_t running_us;
  uint64_t previous_rate;
  bool upward;
  uint32_t windows_without_overload;
  uint32_t pause_windows;
  uint32_t next_pause_windows;
};

struct jl_limit *
jl_limit_new (void)
{
  struct jl_limit *limit = g_new0 (struct jl_limit, 1);

  limit->next_pause_windows = TRIAL_PAUSE_WINDOWS;
  return limit;
}

void
jl_limit_drop (struct jl_limit *limit)
{
  g_free (limit);
}

uint32_t
jl_limit_get (const struct jl_limit *limit)
{
  return MIN (limit->cold_start_limit, limit->adaptive_limit);
}

uint64_t
jl_limit_mean_hold_us (const struct jl_limit *limit)
{
  return limit->mean_hold_us;
}

static uint32_t
divide_slots (uint32_t slots, uint32_t divisor)
{
  return MIN (slots, MAX (slots / divisor, 1));
}

static void
update_cold_limit (struct jl_limit *limit, uint64_t now_us)
{
  uint32_t first = divide_slots (limit->slots, COLD_START_DIVISOR);
  uint64_t age_us = now_us - limit->started_us;

  limit->cold_start_limit = limit->slots;
  if (age_us < limit->cold_start_us)
    limit->cold_start_limit
        = first
          + (uint32_t)((limit->slots - first) * age_us / limit->cold_start_us);
}

static void
begin_trial (struct jl_limit *limit)
{
  limit->trial = (struct trial){ .skip_count = limit->slots };
}

void
jl_limit_set_slots (struct jl_limit *limit,
                    uint64_t now_us,
                    uint32_t slots,
                    bool new_process,
                    uint64_t cold_start_us)
{
  limit->slots = slots;
  limit->adaptive_limit = slots;
  limit->previous_rate = 0;
  begin_trial (limit);
  if (new_process)
    {
      limit->started_us = now_us;
      limit->cold_start_us = cold_start_us;
    }
  update_cold_limit (limit, now_us);
}

static uint64_t
update_mean (uint64_t mean_us, uint64_t value_us)
{
  if (mean_us == 0)
    return value_us;
  return mean_us - (mean_us >> MEAN_WEIGHT_SHIFT)
         + (value_us >> MEAN_WEIGHT_SHIFT);
}

void
jl_limit_set_running (struct jl_limit *limit, uint64_t now_us, uint32_t running)
{
  limit->trial.used_us += limit->running * (now_us - limit->running_us);
  limit->running = running;
  limit->running_us = now_us;
}

static void
count_completion (struct jl_limit *limit)
{
  struct trial *trial = &limit->trial;

  if (trial->skip_count == 0)
    {
      trial->count++;
      return;
    }
  trial->skip_count--;
  trial->started_us = limit->running_us;
  trial->used_us = 0;
}

void
jl_limit_done (struct jl_limit *limit,
               uint64_t hold_us,
               uint64_t latency_us,
               uint32_t running)
{
  limit->mean_hold_us = update_mean (limit->mean_hold_us, MAX (hold_us, 1));
  count_completion (limit);
  if (latency_us == 0)
    return;
  limit->mean_latency_us = update_mean (limit->mean_latency_us, latency_us);
  if (running <= divide_slots (limit->slots, UNLOADED_DIVISOR))
    {
      limit->baseline_latency_us
          = update_mean (limit->baseline_latency_us, latency_us);
      limit->baseline_count++;
    }
}

static void
step_limit (struct jl_limit *limit, bool upward)
{
  uint32_t size = MAX (limit->adaptive_limit * STEP_PERCENT / 100, 1);
  uint32_t lowest = divide_slots (limit->slots, MIN_LIMIT_DIVISOR);

  limit->upward = upward;
  if (upward)
    limit->adaptive_limit = MIN (limit->adaptive_limit + size, limit->slots);
  else
    limit->adaptive_limit = MAX (
        limit->adaptive_limit - MIN (size, limit->adaptive_limit), lowest);
}

static bool
is_slow (const struct jl_limit *limit)
{
  return limit->baseline_count >= BASELINE_SAMPLES_MIN
         && limit->mean_latency_us * 100
                > limit->baseline_latency_us * SLOW_LATENCY_PERCENT;
}

/*
 * Tries a lower limit if the target is slow with all of its slots in use.
 * Pauses the trials if the previous trial ended with all slots in use again.
 */
static void
evaluate_at_slots (struct jl_limit *limit, uint64_t rate)
{
  bool failed = limit->previous_rate > 0;

  limit->previous_rate = 0;
  if (failed)
    {
      limit->pause_windows = limit->next_pause_windows;
      limit->next_pause_windows
          = MIN (2 * limit->next_pause_windows, TRIAL_PAUSE_WINDOWS_MAX);
    }
  else if (is_slow (limit))
    {
      limit->previous_rate = rate;
      step_limit (limit, false);
    }
}

/*
 * Keeps the direction of the last step if the throughput did not fall too much
 * after a step down, or grew enough after a step up; otherwise reverses it.
 */
static void
evaluate_below_slots (struct jl_limit *limit, uint64_t rate)
{
  uint32_t percent = limit->upward ? 100 + RATE_TOLERANCE_PERCENT
                                   : 100 - RATE_TOLERANCE_PERCENT;
  bool keeps_direction = rate * 100 >= limit->previous_rate * percent;

  limit->previous_rate = rate;
  step_limit (limit, keeps_direction ? limit->upward : !limit->upward);
}

static void
evaluate_trial (struct jl_limit *limit)
{
  const struct trial *trial = &limit->trial;
  uint64_t span_us = MAX (limit->running_us - trial->started_us, 1);
  uint64_t rate = trial->count * JL_USEC_PER_SEC / span_us;
  bool utilized = trial->used_us * 100 >= span_us * TRIAL_UTILIZATION_PERCENT
                                              * limit->adaptive_limit;

  if (!utilized)
    {
      begin_trial (limit);
      return;
    }
  if (limit->adaptive_limit == limit->slots)
    evaluate_at_slots (limit, rate);
  else
    evaluate_below_slots (limit, rate);
  begin_trial (limit);
}

/* Raises the limit step by step while there is no overload. */
static void
handle_window_without_overload (struct jl_limit *limit)
{
  begin_trial (limit);
  if (++limit->windows_without_overload < RAISE_INTERVAL_WINDOWS)
    return;
  limit->windows_without_overload = 0;
  limit->previous_rate = 0;
  limit->next_pause_windows = TRIAL_PAUSE_WINDOWS;
  step_limit (limit, true);
}

void
jl_limit_end_window (struct jl_limit *limit, uint64_t now_us, bool overloaded)
{
  if (limit->cold_start_limit < limit->slots)
    update_cold_limit (limit, now_us);
  if (!overloaded)
    {
      handle_window_without_overload (limit);
      return;
    }
  limit->windows_without_overload = 0;
  if (limit->pause_windows > 0)
    {
      limit->pause_windows--;
      begin_trial (limit);
    }
  else if (limit->trial.count >= TRIAL_REQUESTS_MIN)
    evaluate_trial (limit);
}

bool
jl_limit_settled (const struct jl_limit *limit)
{
  return limit->cold_start_limit == limit->slots
         && limit->adaptive_limit == limit->slots;
}
