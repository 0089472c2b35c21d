/**
 * DOC: When a daemon acknowledges the leave of its target.
 */

#include "policy/leave-ack.h"

#include "policy/recall.h"

#include <string.h>

/* Time for which an answer waits for the store. The target expects it within a
 * second. */
#define WRITE_TIMEOUT_US (800 * JL_USEC_PER_MSEC)

void
jl_leave_ack_note (struct jl_leave_ack *ack, const char *id, uint64_t now_us)
{
  if (strcmp (ack->id, id) == 0)
    return;
  g_strlcpy (ack->id, id, sizeof ack->id);
  ack->known_us = now_us;
}

void
jl_leave_ack_forget (struct jl_leave_ack *ack, const char *id)
{
  if (strcmp (ack->id, id) == 0)
    ack->id[0] = '\0';
}

/* Whether no heartbeat from before the leave can arrive any more. */
static bool
is_past_late_heartbeats (const struct jl_leave_ack *ack,
                         const char *id,
                         uint64_t now_us)
{
  return strcmp (ack->id, id) == 0
         && now_us >= ack->known_us + JL_HEARTBEAT_LATE_MAX_US;
}

enum jl_leave_answer
jl_leave_ack_decide (const struct jl_leave_ack *ack,
                     const char *id,
                     const struct jl_leave_progress *progress,
                     uint64_t now_us)
{
  if (progress->written
      && (progress->told
          || now_us >= progress->asked_us + progress->tell_timeout_us))
    return JL_LEAVE_ACKNOWLEDGED;
  if (is_past_late_heartbeats (ack, id, now_us))
    return JL_LEAVE_ACKNOWLEDGED;
  return now_us >= progress->asked_us + WRITE_TIMEOUT_US ? JL_LEAVE_UNAVAILABLE
                                                         : JL_LEAVE_PENDING;
}
