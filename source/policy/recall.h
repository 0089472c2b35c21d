#ifndef JL_POLICY_RECALL_H
#define JL_POLICY_RECALL_H

/**
 * DOC: Whether a daemon that was started believes a heartbeat of its target.
 *
 * A daemon keeps nothing beyond its own life. The leaves that an earlier one
 * has acknowledged are known from the store (policy/leave-ack.h), and from
 * other daemons unless these were restarted too. As heartbeats may be late,
 * they do not show by themselves that the target has not left.
 *
 * So, for some time after its start, a daemon believes the heartbeats of an
 * incarnation that may be older than itself only if
 *
 * - no daemon of its name has run before it;
 * - or another daemon, which has heard of the earlier one until its end, says
 *   that this incarnation took work then, and the store has told which ones
 *   have left;
 * - or the heartbeats go on after the store has told which ones have left, or
 *   after another daemon has said which incarnation took work.
 */

#include "jackdawladder/base.h"

/* Time by which a heartbeat may be late. */
#define JL_HEARTBEAT_LATE_MAX_US (15 * JL_USEC_PER_SEC)
/* Number of incarnations of which others have said that they took work. */
#define JL_RECALL_VOUCHED_MAX 4

/**
 * struct jl_recall - what a daemon knows of the time before its start
 * @started_ms: wall clock at the start, 0 if nothing was forgotten
 * @started_us: time of the start
 * @is_first: no daemon of its name has run before it
 * @row_read: the store has told which incarnations have left
 * @vouched: ring of keys of incarnations that took work when the earlier daemon
 *           ended, 0 for none
 * @vouched_next: index in @vouched of the next one to write
 * @vouched_us: time at which the first one was told
 * @candidate: key of the incarnation whose heartbeats are counted, 0 for none
 * @sequence: sequence number of its last heartbeat
 * @candidate_us: time of its first heartbeat
 */
struct jl_recall
{
  uint64_t started_ms;
  uint64_t started_us;
  bool is_first;
  bool row_read;
  uint32_t vouched[JL_RECALL_VOUCHED_MAX];
  unsigned vouched_next;
  uint64_t vouched_us;
  uint32_t candidate;
  uint64_t sequence;
  uint64_t candidate_us;
};

/**
 * jl_recall_start - begins a daemon's life
 * @now_ms: wall clock
 */
void
jl_recall_start (struct jl_recall *recall, uint64_t now_ms, uint64_t now_us);

/**
 * jl_recall_vouch - records that another daemon says that an incarnation took
 * work when the earlier daemon ended
 * @key: key of the incarnation
 */
void jl_recall_vouch (struct jl_recall *recall, uint32_t key, uint64_t now_us);

/**
 * jl_recall_is_proven - whether the next heartbeat of an incarnation may be
 * believed without a further one
 * @key: key of the incarnation
 * @started_ms: wall clock at its start, 0 if not given
 */
bool jl_recall_is_proven (const struct jl_recall *recall,
                          uint32_t key,
                          uint64_t started_ms,
                          uint64_t now_us);

/**
 * jl_recall_count - counts a heartbeat of an incarnation that is not proven
 * @sequence: sequence number of the heartbeat
 *
 * Several late ones may come together, so those that follow the first one at
 * once do not count. Neither do those that come while neither the store nor
 * another daemon has said anything of the time before the start.
 *
 * Return: whether the heartbeats go on.
 */
bool jl_recall_count (struct jl_recall *recall,
                      uint32_t key,
                      uint64_t sequence,
                      uint64_t now_us);

/**
 * jl_recall_retry_us - returns the time after which jl_recall_is_proven() may
 * change by itself, 0 if it does not
 */
uint64_t jl_recall_retry_us (const struct jl_recall *recall, uint64_t now_us);

#endif
