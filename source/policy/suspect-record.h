#ifndef JACKDAWLADDER_SUSPECT_RECORD_H
#define JACKDAWLADDER_SUSPECT_RECORD_H

/**
 * DOC: What is known of one content that may end targets: the ends of targets
 * during its requests (strikes), and the answers of each service.
 *
 * The strikes of a service count until it has answered often enough since,
 * which clears the content for it. policy/suspect.h decides from them.
 */

#include "jackdawladder/base.h"

#include <urcu/list.h>

/* Maximum number of strikes that are remembered for each content. */
#define JL_STRIKES_MAX 8
/* Maximum number of services whose answers are remembered for each content. */
#define JL_ANSWERING_SERVICES_MAX 4
/* Answers within this time are taken for reports of the same one. */
#define JL_SAME_ANSWER_US (20 * JL_USEC_PER_MSEC)
/* Maximum number of refusal times. */
#define JL_REFUSALS_MAX 4

/**
 * struct jl_suspect_limits - when contents are suspect or refused
 * @suspect_ends: ends of different targets with which a content is suspect; one
 *                end in a trial is enough
 * @refuse_ends: ends with which it is refused until they expire, 0 for none
 * @refuse_trials: ends in trials with which it is refused, 0 for none
 * @clear_answers: answers without an end in between that clear a content
 * @clear_answers_again: the same for a content that has ended a target in a
 *                       trial, or was cleared before and is suspect again
 * @refuse_us: time of refusal after the last trial, by the number of trials
 *             beyond @refuse_trials; after it, another trial may begin
 * @strike_us: time after which a strike is void, UINT64_MAX for never
 * @expiry_us: time after the last change after which a content is forgotten; at
 *             least the longest refusal
 * @repeat_us: a strike by the same target counts as new if it is later than the
 *             known one by at least this; UINT64_MAX if a target ends only once
 */
struct jl_suspect_limits
{
  unsigned suspect_ends;
  unsigned refuse_ends;
  unsigned refuse_trials;
  unsigned clear_answers;
  unsigned clear_answers_again;
  uint64_t refuse_us[JL_REFUSALS_MAX];
  uint64_t strike_us;
  uint64_t expiry_us;
  uint64_t repeat_us;
};

/* Key of a service that is not known, or does not matter. */
#define JL_ANY_SERVICE 0

/**
 * struct jl_suspect_strike - the end of a target during a request
 * @target: key of the target, or of its incarnation
 * @service: key of its service, JL_ANY_SERVICE if it is not known
 * @trial: the request ran as a trial
 * @inferred: only the loss of contact to the target's daemon is known
 * @at_us: time of the end
 * @sends_left: for the owner: number of messages that still tell of it
 */
struct jl_suspect_strike
{
  uint64_t target;
  uint32_t service;
  bool trial;
  bool inferred;
  uint64_t at_us;
  uint32_t sends_left;
};

/**
 * struct jl_suspect_answers - the answers of one service to a content
 * @service: its key
 * @cleared_us: time at which the content was last cleared for the service, 0
 * for never; its strikes until then are void
 * @answered_us: time of the last answer
 * @answers: answers since the service's last strike, or since the content was
 *           cleared
 * @was_suspect: the content was suspect or refused when it was cleared
 */
struct jl_suspect_answers
{
  uint32_t service;
  uint64_t cleared_us;
  uint64_t answered_us;
  unsigned answers;
  bool was_suspect;
};

/**
 * struct jl_suspect - the strikes against a content
 * @order: link in the list of all, by the time of the last change
 * @open: link in the list of those that are suspect or refused
 * @is_open: whether it is in that list
 * @service_count: number of entries of @services
 * @services: the services that answered
 * @trial_us: time at which the trial in progress was last reported
 * @trial_until_us: time until which its result is awaited, 0 for none
 * @result_us: time of the last result of a trial
 * @changed_us: time of the last strike or answer
 * @notify_pending: for the owner: others have yet to be told of a strike
 */
struct jl_suspect
{
  struct cds_list_head order;
  struct cds_list_head open;
  bool is_open;
  uint64_t content;
  unsigned service_count;
  struct jl_suspect_answers services[JL_ANSWERING_SERVICES_MAX];
  uint64_t trial_us;
  uint64_t trial_until_us;
  uint64_t result_us;
  uint64_t changed_us;
  bool notify_pending;
  unsigned strike_count;
  struct jl_suspect_strike strikes[JL_STRIKES_MAX];
};

/**
 * struct jl_suspect_tally - the active strikes against a content that count for
 * a service
 * @last_us: time of the last one
 * @last_trial_us: time of the last one during a trial
 */
struct jl_suspect_tally
{
  unsigned ends;
  unsigned trials;
  uint64_t last_us;
  uint64_t last_trial_us;
};

/**
 * jl_suspect_is_active - whether a strike has neither expired nor become void
 * because its service has cleared the content since
 */
bool jl_suspect_is_active (const struct jl_suspect *suspect,
                           const struct jl_suspect_limits *limits,
                           const struct jl_suspect_strike *strike,
                           uint64_t now_us);

/**
 * jl_suspect_count_strikes - counts the active strikes for a service:
 * those of this service, or of all if the content was never cleared for it
 */
struct jl_suspect_tally
jl_suspect_count_strikes (const struct jl_suspect *suspect,
                          const struct jl_suspect_limits *limits,
                          uint32_t service,
                          uint64_t now_us);

/**
 * jl_suspect_find_strike - returns the strike by @target, NULL if there is none
 */
struct jl_suspect_strike *jl_suspect_find_strike (struct jl_suspect *suspect,
                                                  uint64_t target);

/**
 * jl_suspect_put_strike - records a strike, which may tell more of a known one
 * by the same target
 * @changed: whether it tells anything new
 *
 * Return: the strike as it is known now.
 */
struct jl_suspect_strike *
jl_suspect_put_strike (struct jl_suspect *suspect,
                       const struct jl_suspect_limits *limits,
                       const struct jl_suspect_strike *strike,
                       bool *changed);

/**
 * jl_suspect_inferred_count - returns the number of inferred strikes
 */
unsigned jl_suspect_inferred_count (const struct jl_suspect *suspect);

/**
 * jl_suspect_forget_answers - forgets the answers before a strike of the same
 * service
 */
void jl_suspect_forget_answers (struct jl_suspect *suspect,
                                const struct jl_suspect_strike *strike);

/**
 * jl_suspect_get_answers - returns the answers of a service, which replace
 * those of the service that has not answered for the longest time if there are
 * too many
 */
struct jl_suspect_answers *jl_suspect_get_answers (struct jl_suspect *suspect,
                                                   uint32_t service);

/**
 * jl_suspect_is_same_answer - whether an answer is the one that was counted
 * last, reported again
 */
bool jl_suspect_is_same_answer (const struct jl_suspect_answers *answers,
                                uint64_t at_us);

/**
 * jl_suspect_last_own_strike_us - returns the time of the last active strike of
 * a service itself, 0 for none
 */
uint64_t jl_suspect_last_own_strike_us (const struct jl_suspect *suspect,
                                        const struct jl_suspect_limits *limits,
                                        uint32_t service,
                                        uint64_t now_us);

/**
 * jl_suspect_end_trial - ends the trial in progress unless it was reported
 * after
 * @at_us
 */
void jl_suspect_end_trial (struct jl_suspect *suspect, uint64_t at_us);

#endif
