/**
 * DOC: Whether a daemon that was started believes a heartbeat of its target.
 */

#include "policy/recall.h"

/* Time after a heartbeat within which another one may have come together with
 * it. A target that lives answers a refusal with the next heartbeat later. */
#define TOGETHER_US (200 * JL_USEC_PER_MSEC)
/* Time between the first word of another daemon and its use. Those that know of
 * a leave speak in that time too. */
#define WORD_WAIT_US (40 * JL_USEC_PER_MSEC)

void
jl_recall_start (struct jl_recall *recall, uint64_t now_ms, uint64_t now_us)
{
  *recall = (struct jl_recall){ .started_ms = now_ms, .started_us = now_us };
}

static bool
is_vouched (const struct jl_recall *recall, uint32_t key)
{
  for (unsigned i = 0; i < JL_RECALL_VOUCHED_MAX; i++)
    if (key != 0 && recall->vouched[i] == key)
      return true;
  return false;
}

void
jl_recall_vouch (struct jl_recall *recall, uint32_t key, uint64_t now_us)
{
  if (key == 0 || is_vouched (recall, key))
    return;
  if (recall->vouched_us == 0)
    recall->vouched_us = now_us;
  recall->vouched[recall->vouched_next] = key;
  recall->vouched_next = (recall->vouched_next + 1) % JL_RECALL_VOUCHED_MAX;
}

bool
jl_recall_is_proven (const struct jl_recall *recall,
                     uint32_t key,
                     uint64_t started_ms,
                     uint64_t now_us)
{
  return recall->is_first || started_ms >= recall->started_ms
         || now_us >= recall->started_us + JL_HEARTBEAT_LATE_MAX_US
         || (recall->row_read && is_vouched (recall, key)
             && now_us >= recall->vouched_us + WORD_WAIT_US);
}

bool
jl_recall_count (struct jl_recall *recall,
                 uint32_t key,
                 uint64_t sequence,
                 uint64_t now_us)
{
  if (!recall->row_read && recall->vouched_us == 0)
    return false;
  if (recall->candidate != key)
    {
      recall->candidate = key;
      recall->sequence = sequence;
      recall->candidate_us = now_us;
      return false;
    }
  if (sequence <= recall->sequence)
    return false;
  recall->sequence = sequence;
  return now_us >= recall->candidate_us + TOGETHER_US;
}

uint64_t
jl_recall_retry_us (const struct jl_recall *recall, uint64_t now_us)
{
  uint64_t due_us = recall->vouched_us + WORD_WAIT_US;

  return recall->vouched_us != 0 && now_us < due_us ? due_us - now_us : 0;
}
