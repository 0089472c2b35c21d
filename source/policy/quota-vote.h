#ifndef JACKDAWLADDER_POLICY_QUOTA_VOTE_H
#define JACKDAWLADDER_POLICY_QUOTA_VOTE_H

/**
 * DOC: Which daemon of the zone a daemon takes as the issuer, and its support.
 *
 * A daemon asks one daemon at a time, the first of the candidates unless
 * another one issues already. It supports the daemon that it asks by returning
 * the stamp of that daemon's last answer. For JL_QUOTA_SUPPORT_US after such an
 * answer it supports no other one.
 */

#include "jackdawladder/base.h"

/* Number of daemons that are passed over because they did not answer, or did
 * not become the issuer. */
#define JL_QUOTA_AVOIDED_MAX 4

/**
 * struct jl_quota_vote - the daemon that is asked for tokens
 * @chosen: key of that daemon, 0 for none
 * @chosen_us: time at which it was chosen
 * @patience_us: time for which it is asked although it does not issue
 * @candidate_count: number of candidates at the last choice
 * @epoch: incarnation of that daemon that has answered, 0 for none
 * @stamp_us: stamp of its last answer, on its own clock
 * @stamp_heard_us: time at which that answer came
 * @elected_us: time of its last answer in which it had enough support, 0 for
 *              none
 * @active_us: time of its last answer as the issuer, 0 for none
 * @part: part of the zone's shares that it issues, by its last answer
 * @asked_us: time at which it was last asked
 * @unanswered_us: time of the first request to it since its last answer, 0 if
 *                 none waits for an answer
 * @promised: key of the daemon that this one supports
 * @promised_until_us: time until which it supports no other one
 */
struct jl_quota_vote
{
  uint32_t chosen;
  uint64_t chosen_us;
  uint64_t patience_us;
  unsigned candidate_count;
  uint64_t epoch;
  uint64_t stamp_us;
  uint64_t stamp_heard_us;
  uint64_t elected_us;
  uint64_t active_us;
  double part;
  uint64_t asked_us;
  uint64_t unanswered_us;
  uint32_t promised;
  uint64_t promised_until_us;
  uint32_t avoided[JL_QUOTA_AVOIDED_MAX];
  uint64_t avoided_until_us[JL_QUOTA_AVOIDED_MAX];
};

/**
 * jl_quota_vote_init - prepares the state of a process that has just started
 *
 * It does not know what it has promised before, so it supports none for a
 * while.
 */
void jl_quota_vote_init (struct jl_quota_vote *vote, uint64_t started_us);

/**
 * jl_quota_vote_choose - chooses the daemon to ask
 * @candidates: keys of the daemons that may issue, in order
 *
 * Return: whether another one was chosen than before.
 */
bool jl_quota_vote_choose (struct jl_quota_vote *vote,
                           const uint32_t *candidates,
                           unsigned count,
                           uint64_t now_us);

/**
 * jl_quota_vote_hear_issuer - chooses a daemon that says that it issues, if its
 * part is larger than that of the chosen one, unless it is passed over
 * @part: part of the zone's shares that it issues
 * @precedes: it comes before the chosen one if their parts are equal
 *
 * All daemons that hear several issuers so choose the same one.
 */
void jl_quota_vote_hear_issuer (struct jl_quota_vote *vote,
                                uint32_t daemon,
                                double part,
                                bool precedes,
                                uint64_t now_us);

/**
 * jl_quota_vote_asked - records that the chosen daemon is asked
 *
 * Return: the stamp that the request returns, 0 if it gives no support.
 */
uint64_t jl_quota_vote_asked (struct jl_quota_vote *vote, uint64_t now_us);

/**
 * jl_quota_vote_answered - records an answer of the chosen daemon
 * @part: part of the zone's shares that it issues, or will issue soon; 0 if it
 *        has no support
 * @active: it issues
 */
void jl_quota_vote_answered (struct jl_quota_vote *vote,
                             uint64_t epoch,
                             uint64_t stamp_us,
                             double part,
                             bool active,
                             uint64_t now_us);

/**
 * jl_quota_vote_release - ends the support of a daemon that has resigned for
 * good
 */
void jl_quota_vote_release (struct jl_quota_vote *vote,
                            uint32_t daemon,
                            uint64_t now_us);

/**
 * jl_quota_vote_in_contact - whether the issuer answers
 */
bool jl_quota_vote_in_contact (const struct jl_quota_vote *vote,
                               uint64_t now_us);

#endif
