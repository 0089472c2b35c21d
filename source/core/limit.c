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
/* Weight of the newest latency in the means: 1 in 32. */
#define MEAN_SHIFT 5
/* Latency above the unloaded one from which a lower limit is tried. */
#define SLOW_PERCENT 300
/* Answers of the unloaded target from which its latency is known. */
#define BASELINE_COUNT 64
/* Requests over which the rate at one limit is measured. */
#define TRIAL_COUNT 200
/* Use of the limit from which the rate says something of it. */
#define USED_PERCENT 85
/* Size of a step. */
#define STEP_PERCENT 20
/* A step down may cost this much of the rate, a step up has to gain it. */
#define TOLERANCE_PERCENT 8
/* Windows to wait after a lower limit did not help, at first and at most. */
#define REST_WINDOWS 200
#define REST_WINDOWS_MAX 6400
/* Windows without overload after which the limit goes up by a step. */
#define CALM_WINDOWS 20

/**
 * struct trial - what is measured at one limit
 * @skip: requests that began at the limit before; then the others are counted
 * @begun_us: when their count began
 * @used_us: time for which all slots together were in use since then
 */
struct trial
{
  uint32_t skip;
  uint32_t count;
  uint64_t begun_us;
  uint64_t used_us;
};

/**
 * struct jl_limit - the limit and what it is set from
 * @cold: the limit that the age of the target's life allows
 * @adaptive: the limit that its latency allows
 * @held_us: mean time for which a request holds its slot
 * @latency_us: mean latency of answers
 * @baseline_us: mean latency of answers of the unloaded target
 * @running: requests in progress since @running_us
 * @last_rate: requests for each second at the limit before, 0 without one
 * @upwards: the last step was one up
 * @calm: windows without overload so far
 * @rest: windows left in which nothing is tried
 * @next_rest: the same after the next trial in vain
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
  uint32_t baseline_count;
  struct trial trial;
  uint32_t running;
  uint64_t running_us;
  uint64_t last_rate;
  bool upwards;
  uint32_t calm;
  uint32_t rest;
  uint32_t next_rest;
};

struct jl_limit *
jl_limit_new (void)
{
  struct jl_limit *limit = g_new0 (struct jl_limit, 1);

  limit->next_rest = REST_WINDOWS;
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
begin_trial (struct jl_limit *limit)
{
  limit->trial = (struct trial){ .skip = limit->slots };
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
  limit->last_rate = 0;
  begin_trial (limit);
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
jl_limit_running (struct jl_limit *limit, uint64_t now_us, uint32_t running)
{
  limit->trial.used_us += limit->running * (now_us - limit->running_us);
  limit->running = running;
  limit->running_us = now_us;
}

static void
count_done (struct jl_limit *limit)
{
  struct trial *trial = &limit->trial;

  if (trial->skip == 0)
    {
      trial->count++;
      return;
    }
  trial->skip--;
  trial->begun_us = limit->running_us;
  trial->used_us = 0;
}

void
jl_limit_done (struct jl_limit *limit,
               uint64_t held_us,
               uint64_t latency_us,
               uint32_t running)
{
  limit->held_us = update_mean (limit->held_us, MAX (held_us, 1));
  count_done (limit);
  if (latency_us == 0)
    return;
  limit->latency_us = update_mean (limit->latency_us, latency_us);
  if (running <= share_of (limit->slots, UNLOADED_SHARE))
    {
      limit->baseline_us = update_mean (limit->baseline_us, latency_us);
      limit->baseline_count++;
    }
}

static void
step (struct jl_limit *limit, bool upwards)
{
  uint32_t size = MAX (limit->adaptive * STEP_PERCENT / 100, 1);
  uint32_t lowest = share_of (limit->slots, FLOOR_SHARE);

  limit->upwards = upwards;
  if (upwards)
    limit->adaptive = MIN (limit->adaptive + size, limit->slots);
  else
    limit->adaptive
        = MAX (limit->adaptive - MIN (size, limit->adaptive), lowest);
}

static bool
is_slow (const struct jl_limit *limit)
{
  return limit->baseline_count >= BASELINE_COUNT
         && limit->latency_us * 100 > limit->baseline_us * SLOW_PERCENT;
}

/* Tries a lower limit if the target is slow at all its slots. */
static void
judge_at_slots (struct jl_limit *limit, uint64_t rate)
{
  bool in_vain = limit->last_rate > 0;

  limit->last_rate = 0;
  if (in_vain)
    {
      limit->rest = limit->next_rest;
      limit->next_rest = MIN (2 * limit->next_rest, REST_WINDOWS_MAX);
    }
  else if (is_slow (limit))
    {
      limit->last_rate = rate;
      step (limit, false);
    }
}

/* Goes on in the same direction while that pays, or turns back. */
static void
judge_below_slots (struct jl_limit *limit, uint64_t rate)
{
  uint32_t percent
      = limit->upwards ? 100 + TOLERANCE_PERCENT : 100 - TOLERANCE_PERCENT;
  bool pays = rate * 100 >= limit->last_rate * percent;

  limit->last_rate = rate;
  step (limit, pays ? limit->upwards : !limit->upwards);
}

static void
judge_trial (struct jl_limit *limit)
{
  const struct trial *trial = &limit->trial;
  uint64_t span_us = MAX (limit->running_us - trial->begun_us, 1);
  uint64_t rate = trial->count * JL_USEC_PER_SEC / span_us;
  bool used = trial->used_us * 100 >= span_us * USED_PERCENT * limit->adaptive;

  if (!used)
    {
      begin_trial (limit);
      return;
    }
  if (limit->adaptive == limit->slots)
    judge_at_slots (limit, rate);
  else
    judge_below_slots (limit, rate);
  begin_trial (limit);
}

/* Without overload the limit comes back up. */
static void
note_calm (struct jl_limit *limit)
{
  begin_trial (limit);
  if (++limit->calm < CALM_WINDOWS)
    return;
  limit->calm = 0;
  limit->last_rate = 0;
  limit->next_rest = REST_WINDOWS;
  step (limit, true);
}

void
jl_limit_window (struct jl_limit *limit, uint64_t now_us, bool overloaded)
{
  if (limit->cold < limit->slots)
    grow_cold (limit, now_us);
  if (!overloaded)
    {
      note_calm (limit);
      return;
    }
  limit->calm = 0;
  if (limit->rest > 0)
    {
      limit->rest--;
      begin_trial (limit);
    }
  else if (limit->trial.count >= TRIAL_COUNT)
    judge_trial (limit);
}

bool
jl_limit_settled (const struct jl_limit *limit)
{
  return limit->cold == limit->slots && limit->adaptive == limit->slots;
}
