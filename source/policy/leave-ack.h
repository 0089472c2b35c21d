#ifndef JL_POLICY_LEAVE_ACK_H
#define JL_POLICY_LEAVE_ACK_H

/**
 * DOC: When a daemon acknowledges the leave of its target.
 *
 * A leave is in force as soon as a daemon hears of it. Its acknowledgement
 * promises more: that the target gets no requests even if all daemons are
 * killed at the next moment. Daemons that were started know of the leave from
 * the store only. So it is acknowledged once the store has the row that records
 * it; or once heartbeats that the target had sent before are too old to arrive.
 */

#include "jackdawladder/base.h"
#include "jackdawladder/site.h"

/**
 * enum jl_leave_answer - what to answer to a leave announcement
 * @JL_LEAVE_PENDING: nothing yet
 * @JL_LEAVE_ACKNOWLEDGED: the leave is final
 * @JL_LEAVE_UNAVAILABLE: the leave is in force, but may be forgotten; the
 *                        target may announce it again
 */
enum jl_leave_answer
{
  JL_LEAVE_PENDING,
  JL_LEAVE_ACKNOWLEDGED,
  JL_LEAVE_UNAVAILABLE,
};

/**
 * struct jl_leave_ack - the leave that was announced last
 * @id: identifier of the target, "" for none
 * @known_us: time at which the leave was first known
 */
struct jl_leave_ack
{
  char id[JL_TEXT_SIZE];
  uint64_t known_us;
};

/**
 * struct jl_leave_progress - what has become of a leave announcement
 * @written: the store has acknowledged the row that records the leave
 * @told: other daemons were heard, so that they know of the leave, too
 * @asked_us: time of the announcement
 * @tell_timeout_us: time for which the answer waits for @told
 */
struct jl_leave_progress
{
  bool written;
  bool told;
  uint64_t asked_us;
  uint64_t tell_timeout_us;
};

/**
 * jl_leave_ack_note - records that the target with identifier @id leaves
 */
void
jl_leave_ack_note (struct jl_leave_ack *ack, const char *id, uint64_t now_us);

/**
 * jl_leave_ack_forget - records that the target with identifier @id takes work:
 * a later leave is that of another incarnation
 */
void jl_leave_ack_forget (struct jl_leave_ack *ack, const char *id);

/**
 * jl_leave_ack_decide - decides on the answer to a leave announcement
 */
enum jl_leave_answer
jl_leave_ack_decide (const struct jl_leave_ack *ack,
                     const char *id,
                     const struct jl_leave_progress *progress,
                     uint64_t now_us);

#endif
