/**
 * DOC: Decides when a guard hands a waiting request back to its entry.
 */

#include "policy/rebind.h"

/* Expected gain below which a request stays: two messages between daemons that
 * may be late, and a part of the hold time for the variance of both waits. */
#define TRANSFER_US (10 * JL_USEC_PER_MSEC)
#define HOLD_SHARE 0.25

/* Returns the number of guards that may hand requests back: this one, and those
 * of others with a queue. */
static unsigned
count_queues (struct jl_load_view *const *others,
              unsigned count,
              uint64_t now_us)
{
  unsigned queues = 1;

  for (unsigned i = 0; i < count; i++)
    if (jl_load_view_is_fresh (others[i], now_us)
        && others[i]->report.waiting > 0)
      queues++;
  return queues;
}

struct jl_load_view *
jl_rebind_choose (const struct jl_load_report *own,
                  unsigned ahead,
                  struct jl_load_view *const *others,
                  unsigned count,
                  uint64_t now_us)
{
  double hold_us = own->hold_ms * (double)JL_USEC_PER_MSEC;
  double limit_us = (ahead + 1) * hold_us / own->limit
                    + (1 - HOLD_SHARE) * hold_us - (double)TRANSFER_US;
  struct jl_load_view *best = NULL;

  for (unsigned i = 0; i < count; i++)
    {
      double completion_us;

      if (!jl_load_view_is_fresh (others[i], now_us)
          || others[i]->report.waiting > 0)
        continue;
      completion_us = jl_load_view_completion_us (others[i]);
      if (completion_us >= limit_us)
        continue;
      limit_us = completion_us;
      best = others[i];
    }
  if (best != NULL)
    best->claimed += count_queues (others, count, now_us);
  return best;
}
