#ifndef JACKDAWLADDER_SUSPECT_H
#define JACKDAWLADDER_SUSPECT_H

/**
 * DOC: Detection of poison requests, which end each target that runs them.
 *
 * A content that was in progress when a target ended gets a strike, and so do
 * all others in progress there; nearly all of them are innocent. A content with
 * strikes by some targets is suspect. A suspect content has to show itself: it
 * runs as a trial, alone among suspect contents at its target. If targets
 * answer often enough without an end in between, the content is cleared; a
 * single answer is not enough, since a content may end only some targets, or
 * only sometimes. If targets end in too many trials, or too many end at all,
 * the content is refused for some time. The owner sets the limits.
 *
 * A daemon that lost contact to another one with requests in progress there
 * infers that the target has ended. Such strikes are void once the target is
 * known to live.
 *
 * Contents are digests (policy/content.h). A strike against a content whose
 * body was not read yet marks its head: further requests with that head are
 * sent only when their bodies were read, so that the next strike names a
 * content.
 */

#include "policy/suspect-record.h"

/* Maximum number of contents with strikes that are remembered. */
#define JL_SUSPECTS_MAX 2048
/* Time after the last report of a trial for which its result is awaited. */
#define JL_TRIAL_LEASE_US (1000 * JL_USEC_PER_MSEC)
/* Time after its begin until which a trial in progress is reported. */
#define JL_TRIAL_REPORTED_US (2000 * JL_USEC_PER_MSEC)
/* Period at which the daemon of the target reports a trial in progress. */
#define JL_TRIAL_REPORT_PERIOD_US (300 * JL_USEC_PER_MSEC)
/**
 * enum jl_suspicion - how requests with a content are treated
 * @JL_SUSPICION_NONE: as all others
 * @JL_SUSPICION_SUSPECT: a trial may begin
 * @JL_SUSPICION_ON_TRIAL: a trial is in progress, whose result has to be
 * awaited
 * @JL_SUSPICION_REFUSED: requests are refused
 */
enum jl_suspicion
{
  JL_SUSPICION_NONE,
  JL_SUSPICION_SUSPECT,
  JL_SUSPICION_ON_TRIAL,
  JL_SUSPICION_REFUSED,
};

/**
 * struct jl_suspects - all contents with strikes
 * @limits: when contents are suspect or refused
 * @by_content: struct jl_suspect by content
 * @open_heads: number of open suspects by the head of their content
 * @order: all, least recently changed first
 * @open: those that are suspect or refused
 * @open_count: number of entries of @open
 * @inferred_count: number of inferred strikes
 */
struct jl_suspects
{
  struct jl_suspect_limits limits;
  GHashTable *by_content;
  GHashTable *open_heads;
  struct cds_list_head order;
  struct cds_list_head open;
  unsigned open_count;
  unsigned inferred_count;
};

/**
 * struct jl_verdict - how requests with a content are treated, and why
 * @ends: targets that ended, each counted once
 * @trials: those of @ends that ended during a trial
 * @until_us: end of the refusal, or of the wait for a trial's result
 */
struct jl_verdict
{
  enum jl_suspicion suspicion;
  unsigned ends;
  unsigned trials;
  uint64_t until_us;
};

void jl_suspects_init (struct jl_suspects *suspects,
                       const struct jl_suspect_limits *limits);
void jl_suspects_clear (struct jl_suspects *suspects);

/**
 * jl_suspects_find - returns the strikes against @content, NULL if there are
 * none
 */
struct jl_suspect *jl_suspects_find (const struct jl_suspects *suspects,
                                     uint64_t content);

/**
 * jl_suspects_add_strike - records the end of a target during a request with
 * @content
 *
 * Return: the strike, or NULL if it is known already, or void.
 */
struct jl_suspect_strike *
jl_suspects_add_strike (struct jl_suspects *suspects,
                        uint64_t content,
                        const struct jl_suspect_strike *strike,
                        uint64_t now_us);

/**
 * jl_suspects_count_answer - records that a target of @service has answered a
 * request with @content at @at_us; if it was answered often enough, the content
 * is cleared for the service
 *
 * Return: whether the content was suspect or refused for the service, and is
 * cleared.
 */
bool jl_suspects_count_answer (struct jl_suspects *suspects,
                               uint64_t content,
                               uint32_t service,
                               uint64_t at_us,
                               uint64_t now_us);

/**
 * jl_suspects_target_lives - voids inferred strikes by a target that is known
 * to live
 * @before_us: strikes since then are kept
 */
void jl_suspects_target_lives (struct jl_suspects *suspects,
                               uint64_t target,
                               uint64_t before_us);

/**
 * jl_suspects_begin_trial - records that a trial of @content is in progress
 * @at_us: time at which it was; a result since then is not overridden
 *
 * The daemon of the target repeats this while the trial lasts, so that the end
 * of that daemon is noticed.
 */
void jl_suspects_begin_trial (struct jl_suspects *suspects,
                              uint64_t content,
                              uint64_t at_us);

/**
 * jl_suspects_end_trial - records that a trial ended without a result
 * @at_us: time of its end; a trial that has begun since then goes on
 */
void jl_suspects_end_trial (struct jl_suspects *suspects,
                            uint64_t content,
                            uint64_t at_us);

/**
 * jl_suspects_judge - returns how a request with @content to @service is
 * treated now
 * @service: JL_ANY_SERVICE for a service for which it was never cleared
 */
struct jl_verdict jl_suspects_judge (const struct jl_suspects *suspects,
                                     uint64_t content,
                                     uint32_t service,
                                     uint64_t now_us);

/**
 * jl_suspects_knows_head - whether the content of a request with the head
 * @head has to be known before the request is sent
 */
bool jl_suspects_knows_head (const struct jl_suspects *suspects, uint32_t head);

/**
 * jl_suspects_expire - forgets contents without a change for a long time
 */
void jl_suspects_expire (struct jl_suspects *suspects, uint64_t now_us);

/**
 * jl_suspects_next_expiry - returns the time at which jl_suspects_expire() has
 * something to forget, UINT64_MAX if there is nothing
 */
uint64_t jl_suspects_next_expiry (const struct jl_suspects *suspects);

/**
 * jl_suspicion_name - returns the name of @suspicion in the log
 */
const char *jl_suspicion_name (enum jl_suspicion suspicion);

#endif
