/**
 * DOC: What is known of one content that may end targets.
 */

#include "policy/suspect-record.h"

static const struct jl_suspect_answers *
find_answers (const struct jl_suspect *suspect, uint32_t service)
{
  for (unsigned i = 0; i < suspect->service_count; i++)
    if (suspect->services[i].service == service)
      return &suspect->services[i];
  return NULL;
}

/* Returns the time at which a content was last cleared for a service, 0 for
 * never. */
static uint64_t
cleared_us (const struct jl_suspect *suspect, uint32_t service)
{
  const struct jl_suspect_answers *answers = find_answers (suspect, service);

  return answers != NULL ? answers->cleared_us : 0;
}

bool
jl_suspect_is_active (const struct jl_suspect *suspect,
                      const struct jl_suspect_limits *limits,
                      const struct jl_suspect_strike *strike,
                      uint64_t now_us)
{
  return strike->at_us > cleared_us (suspect, strike->service)
         && (now_us < strike->at_us
             || now_us - strike->at_us < limits->strike_us);
}

/* Whether a strike counts for a service: it is of this service, or the content
 * was never cleared for the service. */
static bool
counts_for (const struct jl_suspect *suspect,
            const struct jl_suspect_strike *strike,
            uint32_t service)
{
  uint64_t since_us = cleared_us (suspect, service);

  if (since_us == 0)
    return true;
  return strike->at_us > since_us
         && (strike->service == service || strike->service == JL_ANY_SERVICE);
}

struct jl_suspect_tally
jl_suspect_count_strikes (const struct jl_suspect *suspect,
                          const struct jl_suspect_limits *limits,
                          uint32_t service,
                          uint64_t now_us)
{
  struct jl_suspect_tally tally = { 0 };

  for (unsigned i = 0; i < suspect->strike_count; i++)
    {
      const struct jl_suspect_strike *strike = &suspect->strikes[i];

      if (!jl_suspect_is_active (suspect, limits, strike, now_us)
          || !counts_for (suspect, strike, service))
        continue;
      tally.ends++;
      tally.last_us = MAX (tally.last_us, strike->at_us);
      if (!strike->trial)
        continue;
      tally.trials++;
      tally.last_trial_us = MAX (tally.last_trial_us, strike->at_us);
    }
  return tally;
}

struct jl_suspect_strike *
jl_suspect_find_strike (struct jl_suspect *suspect, uint64_t target)
{
  for (unsigned i = 0; i < suspect->strike_count; i++)
    if (suspect->strikes[i].target == target)
      return &suspect->strikes[i];
  return NULL;
}

/* Returns the entry for a new strike: a free one, or the oldest that was not
 * during a trial, or the oldest. */
static struct jl_suspect_strike *
take_slot (struct jl_suspect *suspect)
{
  struct jl_suspect_strike *slot = &suspect->strikes[0];

  if (suspect->strike_count < JL_STRIKES_MAX)
    return &suspect->strikes[suspect->strike_count++];
  for (unsigned i = 1; i < JL_STRIKES_MAX; i++)
    {
      struct jl_suspect_strike *other = &suspect->strikes[i];

      if (slot->trial != other->trial ? slot->trial
                                      : other->at_us < slot->at_us)
        slot = other;
    }
  return slot;
}

/* Adds what @strike tells beyond the known strike by the same target. */
static bool
merge_strike (const struct jl_suspect_limits *limits,
              struct jl_suspect_strike *known,
              const struct jl_suspect_strike *strike)
{
  uint64_t repeat_us = limits->repeat_us;
  bool is_repeat
      = repeat_us != UINT64_MAX && strike->at_us >= known->at_us + repeat_us;
  bool changed = is_repeat || (strike->trial && !known->trial)
                 || (known->inferred && !strike->inferred);

  known->trial |= strike->trial;
  if (known->service == JL_ANY_SERVICE)
    known->service = strike->service;
  if (is_repeat)
    known->at_us = strike->at_us;
  known->inferred &= strike->inferred;
  return changed;
}

struct jl_suspect_strike *
jl_suspect_put_strike (struct jl_suspect *suspect,
                       const struct jl_suspect_limits *limits,
                       const struct jl_suspect_strike *strike,
                       bool *changed)
{
  struct jl_suspect_strike *known
      = jl_suspect_find_strike (suspect, strike->target);

  if (known != NULL)
    {
      *changed = merge_strike (limits, known, strike);
      return known;
    }
  known = take_slot (suspect);
  *known = *strike;
  *changed = true;
  return known;
}

unsigned
jl_suspect_inferred_count (const struct jl_suspect *suspect)
{
  unsigned count = 0;

  for (unsigned i = 0; i < suspect->strike_count; i++)
    count += suspect->strikes[i].inferred;
  return count;
}

void
jl_suspect_forget_answers (struct jl_suspect *suspect,
                           const struct jl_suspect_strike *strike)
{
  for (unsigned i = 0; i < suspect->service_count; i++)
    {
      struct jl_suspect_answers *answers = &suspect->services[i];

      if (strike->at_us > answers->answered_us
          && (strike->service == answers->service
              || strike->service == JL_ANY_SERVICE))
        answers->answers = 0;
    }
}

struct jl_suspect_answers *
jl_suspect_get_answers (struct jl_suspect *suspect, uint32_t service)
{
  struct jl_suspect_answers *oldest = &suspect->services[0];

  for (unsigned i = 0; i < suspect->service_count; i++)
    {
      struct jl_suspect_answers *answers = &suspect->services[i];

      if (answers->service == service)
        return answers;
      if (answers->answered_us < oldest->answered_us)
        oldest = answers;
    }
  if (suspect->service_count < JL_ANSWERING_SERVICES_MAX)
    oldest = &suspect->services[suspect->service_count++];
  *oldest = (struct jl_suspect_answers){ .service = service };
  return oldest;
}

bool
jl_suspect_is_same_answer (const struct jl_suspect_answers *answers,
                           uint64_t at_us)
{
  uint64_t same_us = answers->answers > 0 ? JL_SAME_ANSWER_US : 0;

  return at_us <= answers->answered_us + same_us;
}

uint64_t
jl_suspect_last_own_strike_us (const struct jl_suspect *suspect,
                               const struct jl_suspect_limits *limits,
                               uint32_t service,
                               uint64_t now_us)
{
  uint64_t last_us = 0;

  for (unsigned i = 0; i < suspect->strike_count; i++)
    {
      const struct jl_suspect_strike *strike = &suspect->strikes[i];

      if ((strike->service == service || strike->service == JL_ANY_SERVICE)
          && jl_suspect_is_active (suspect, limits, strike, now_us))
        last_us = MAX (last_us, strike->at_us);
    }
  return last_us;
}

void
jl_suspect_end_trial (struct jl_suspect *suspect, uint64_t at_us)
{
  suspect->result_us = MAX (suspect->result_us, at_us);
  if (suspect->trial_us <= at_us)
    suspect->trial_until_us = 0;
}
