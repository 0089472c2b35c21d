/**
 * DOC: Which daemon of the zone a daemon takes as the issuer, and its support.
 */

#include "policy/quota-vote.h"

#include "policy/quota-issuer.h"

#include <string.h>

/* Time without an answer after which another daemon is asked. The support for
 * the silent one lasts longer, so an earlier choice would gain nothing, and
 * would replace an issuer that was only held up. */
#define SILENT_US (1000 * JL_USEC_PER_MSEC)
/* Minimum time after which another daemon is asked if the chosen one does not
 * issue; up to as much again is added at random, since daemons that change
 * their choices at the same times may never agree. It is longer than the
 * support of an earlier issuer lasts. */
#define INACTIVE_US (2500 * JL_USEC_PER_MSEC)
/* Time for which such a daemon is not asked again. */
#define AVOIDED_US (3000 * JL_USEC_PER_MSEC)
/* Time without an answer after which the issuer counts as unreachable: two
 * waits of a request. */
#define CONTACT_LOST_US (60 * JL_USEC_PER_MSEC)

void
jl_quota_vote_init (struct jl_quota_vote *vote, uint64_t started_us)
{
  memset (vote, 0, sizeof *vote);
  vote->promised_until_us = started_us + JL_QUOTA_SUPPORT_US;
}

static bool
contains (const uint32_t *candidates, unsigned count, uint32_t key)
{
  for (unsigned i = 0; i < count; i++)
    if (candidates[i] == key)
      return true;
  return false;
}

static bool
is_avoided (const struct jl_quota_vote *vote, uint32_t key, uint64_t now_us)
{
  for (unsigned i = 0; i < JL_QUOTA_AVOIDED_MAX; i++)
    if (vote->avoided[i] == key && now_us < vote->avoided_until_us[i])
      return true;
  return false;
}

/* Returns a number below INACTIVE_US that differs between daemons. */
static uint64_t
scatter_us (uint64_t seed)
{
  return (seed * UINT64_C (0x9E3779B97F4A7C15) >> 32) % INACTIVE_US;
}

/* Passes over the chosen daemon for a while, in place of the one that was
 * passed over the longest time ago. */
static void
avoid_chosen (struct jl_quota_vote *vote, uint64_t now_us)
{
  unsigned oldest = 0;

  for (unsigned i = 1; i < JL_QUOTA_AVOIDED_MAX; i++)
    if (vote->avoided_until_us[i] < vote->avoided_until_us[oldest])
      oldest = i;
  vote->avoided[oldest] = vote->chosen;
  vote->avoided_until_us[oldest]
      = now_us + AVOIDED_US + scatter_us (now_us ^ ~vote->chosen);
}

static uint32_t
first_candidate (const struct jl_quota_vote *vote,
                 const uint32_t *candidates,
                 unsigned count,
                 uint64_t now_us)
{
  for (unsigned i = 0; i < count; i++)
    if (!is_avoided (vote, candidates[i], now_us))
      return candidates[i];
  return count > 0 ? candidates[0] : 0;
}

/* A daemon that has just been heard may give the support that was missing. */
static void
begin_anew (struct jl_quota_vote *vote, uint64_t now_us)
{
  vote->chosen_us = now_us;
  memset (vote->avoided, 0, sizeof vote->avoided);
}

static void
set_chosen (struct jl_quota_vote *vote, uint32_t chosen, uint64_t now_us)
{
  vote->chosen = chosen;
  vote->chosen_us = now_us;
  vote->patience_us = INACTIVE_US + scatter_us (now_us ^ chosen);
  vote->epoch = 0;
  vote->stamp_us = 0;
  vote->elected_us = 0;
  vote->active_us = 0;
  vote->part = 0;
  vote->unanswered_us = 0;
}

/* Returns the part that the chosen daemon issues, 0 if it does not answer. One
 * that has just been chosen may not have answered yet. */
static double
chosen_part (const struct jl_quota_vote *vote, uint64_t now_us)
{
  return jl_quota_vote_in_contact (vote, now_us)
                 || now_us < vote->chosen_us + SILENT_US
             ? vote->part
             : 0;
}

void
jl_quota_vote_hear_issuer (struct jl_quota_vote *vote,
                           uint32_t daemon,
                           double part,
                           bool precedes,
                           uint64_t now_us)
{
  double known = chosen_part (vote, now_us);
  bool is_larger = precedes ? part >= known && part > 0 : part > known;

  if (!is_larger || daemon == vote->chosen || is_avoided (vote, daemon, now_us))
    return;
  set_chosen (vote, daemon, now_us);
  vote->part = part;
  /* It has told so itself, and is kept as long as it answers. */
  vote->elected_us = now_us;
}

bool
jl_quota_vote_choose (struct jl_quota_vote *vote,
                      const uint32_t *candidates,
                      unsigned count,
                      uint64_t now_us)
{
  bool silent
      = vote->unanswered_us != 0 && now_us > vote->unanswered_us + SILENT_US;
  bool inactive;
  uint32_t chosen;

  if (count > vote->candidate_count)
    begin_anew (vote, now_us);
  vote->candidate_count = count;
  inactive
      = now_us > MAX (vote->chosen_us, vote->elected_us) + vote->patience_us;
  if (vote->chosen != 0 && (silent || inactive))
    avoid_chosen (vote, now_us);
  else if (contains (candidates, count, vote->chosen) && vote->elected_us != 0)
    return false;
  chosen = first_candidate (vote, candidates, count, now_us);
  if (chosen == vote->chosen)
    return false;
  set_chosen (vote, chosen, now_us);
  return true;
}

uint64_t
jl_quota_vote_asked (struct jl_quota_vote *vote, uint64_t now_us)
{
  uint64_t until_us = vote->stamp_heard_us + JL_QUOTA_SUPPORT_US;

  vote->asked_us = now_us;
  if (vote->unanswered_us == 0)
    vote->unanswered_us = now_us;
  if (vote->stamp_us == 0 || until_us <= now_us)
    return 0;
  if (vote->promised != vote->chosen && now_us < vote->promised_until_us)
    return 0;
  vote->promised = vote->chosen;
  vote->promised_until_us = MAX (vote->promised_until_us, until_us);
  return vote->stamp_us;
}

void
jl_quota_vote_answered (struct jl_quota_vote *vote,
                        uint64_t epoch,
                        uint64_t stamp_us,
                        double part,
                        bool active,
                        uint64_t now_us)
{
  if (epoch == vote->epoch && stamp_us < vote->stamp_us)
    return;
  vote->epoch = epoch;
  vote->stamp_us = stamp_us;
  vote->stamp_heard_us = now_us;
  vote->unanswered_us = 0;
  vote->part = part;
  if (part > 0)
    vote->elected_us = now_us;
  if (active)
    vote->active_us = now_us;
}

void
jl_quota_vote_release (struct jl_quota_vote *vote,
                       uint32_t daemon,
                       uint64_t now_us)
{
  if (vote->promised == daemon)
    vote->promised_until_us = now_us;
  if (vote->chosen == daemon)
    {
      avoid_chosen (vote, now_us);
      vote->chosen = 0;
      vote->elected_us = 0;
      vote->active_us = 0;
      vote->stamp_us = 0;
      vote->unanswered_us = 0;
    }
}

bool
jl_quota_vote_in_contact (const struct jl_quota_vote *vote, uint64_t now_us)
{
  return vote->chosen != 0 && vote->active_us != 0
         && vote->active_us == vote->stamp_heard_us
         && (vote->unanswered_us == 0
             || now_us < vote->unanswered_us + CONTACT_LOST_US);
}
