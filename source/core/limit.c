/**
 * DOC: The limit on requests in progress.
 */

#include "limit.h"

/* A new target starts with one part in this many of its slots. */
#define COLD_SHARE 8
/* The limit never goes below one part in this many of the slots. */
#define FLOOR_SHARE 4
/* Up to this share of its slots a target counts as unloaded. */
#define UNLOADED_SHARE 4
/* Weight of the newest latency in the means: 1 in 16. */
#define MEAN_SHIFT 4
/* Latency above the unloaded one from which a lower limit is tried. */
#define SLOW_PERCENT 200
/* Windows over which the throughput at one limit is measured. */
#define TRIAL_WINDOWS 10
/* Size of a step down or up, and the throughput it may cost. */
#define STEP_PERCENT 10
#define LOSS_PERCENT 3
/* Windows to wait after a lower limit did not help. */
#define REST_WINDOWS 200

/**
 * struct jl_limit - the limit and what it is set from
 * @cold: the limit that the age of the target's life allows
 * @adaptive: the limit that its latency allows
 * @held_us: mean time for which a request holds its slot
 * @latency_us: mean latency of answers
 * @baseline_us: mean latency of answers of the unloaded target
 * @windows: full windows in the trial in progress
 * @done: requests that ended in them
 * @last_done: the same in the trial before, 0 without one
 * @rest: windows left in which nothing is tried
 */
struct jl_limit
{
  uint32_t slots;
  uint32_t cold;
  uint32_t adaptive;
  uint64_t begun_us;
  uint64_t cold_start_us;
  uint64_t held_us;
  uint64_t latency_us;
  uint64_t baseline_us;
  uint32_t windows;
  uint64_t done;
  uint64_t last_done;
  uint32_t rest;
};

struct jl_limit *
jl_limit_new (void)
{
  return g_new0 (struct jl_limit, 1);
}

void
jl_limit_drop (struct jl_limit *limit)
{
  g_free (limit);
}

uint32_t
jl_limit_get (const struct jl_limit *limit)
{
  return MIN (limit->cold, limit->adaptive);
}

uint64_t
jl_limit_held (const struct jl_limit *limit)
{
  return limit->held_us;
}

static uint32_t
share_of (uint32_t slots, uint32_t share)
{
  return MIN (slots, MAX (slots / share, 1));
}

static void
grow_cold (struct jl_limit *limit, uint64_t now_us)
{
  uint32_t first = share_of (limit->slots, COLD_SHARE);
  uint64_t age_us = now_us - limit->begun_us;

  limit->cold = limit->slots;
  if (age_us < limit->cold_start_us)
    limit->cold
        = first
          + (uint32_t)((limit->slots - first) * age_us / limit->cold_start_us);
}

static void
end_trial (struct jl_limit *limit)
{
  limit->windows = 0;
  limit->done = 0;
}

void
jl_limit_announced (struct jl_limit *limit,
                    uint64_t now_us,
                    uint32_t slots,
                    bool new_life,
                    uint64_t cold_start_us)
{
  limit->slots = slots;
  limit->adaptive = slots;
  limit->last_done = 0;
  end_trial (limit);
  if (new_life)
    {
      limit->begun_us = now_us;
      limit->cold_start_us = cold_start_us;
    }
  grow_cold (limit, now_us);
}

static uint64_t
update_mean (uint64_t mean_us, uint64_t value_us)
{
  if (mean_us == 0)
    return value_us;
  return mean_us - (mean_us >> MEAN_SHIFT) + (value_us >> MEAN_SHIFT);
}

void
jl_limit_done (struct jl_limit *limit,
               uint64_t held_us,
               uint64_t latency_us,
               uint32_t running)
{
  limit->held_us = update_mean (limit->held_us, MAX (held_us, 1));
  limit->done++;
  if (latency_us == 0)
    return;
  limit->latency_us = update_mean (limit->latency_us, latency_us);
  if (running <= share_of (limit->slots, UNLOADED_SHARE))
    limit->baseline_us = update_mean (limit->baseline_us, latency_us);
}

static uint32_t
step_of (const struct jl_limit *limit)
{
  return MAX (limit->adaptive * STEP_PERCENT / 100, 1);
}

static void
step_up (struct jl_limit *limit)
{
  limit->adaptive = MIN (limit->adaptive + step_of (limit), limit->slots);
  limit->last_done = 0;
}

static void
step_down (struct jl_limit *limit)
{
  uint32_t lowest = share_of (limit->slots, FLOOR_SHARE);
  uint32_t step = step_of (limit);

  limit->last_done = limit->done;
  if (limit->adaptive > lowest + step)
    limit->adaptive -= step;
  else
    limit->adaptive = lowest;
}

/* Sets the limit after a trial: further down, or back up. */
static void
judge_trial (struct jl_limit *limit)
{
  uint64_t wanted = limit->last_done * (100 - LOSS_PERCENT) / 100;

  if (limit->baseline_us == 0
      || limit->latency_us * 100 <= limit->baseline_us * SLOW_PERCENT)
    step_up (limit);
  else if (limit->last_done > 0 && limit->done < wanted)
    {
      step_up (limit);
      limit->rest = REST_WINDOWS;
    }
  else
    step_down (limit);
  end_trial (limit);
}

void
jl_limit_window (struct jl_limit *limit, uint64_t now_us, bool full)
{
  if (limit->cold < limit->slots)
    grow_cold (limit, now_us);
  if (limit->rest > 0)
    {
      limit->rest--;
      end_trial (limit);
    }
  else if (!full)
    {
      step_up (limit);
      end_trial (limit);
    }
  else if (++limit->windows == TRIAL_WINDOWS)
    judge_trial (limit);
}

bool
jl_limit_settled (const struct jl_limit *limit)
{
  return limit->cold == limit->slots && limit->adaptive == limit->slots;
}
