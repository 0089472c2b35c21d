/**
 * DOC: Decides whether a request is worth starting while its calls fail.
 */

#include "policy/completion.h"

#include <math.h>

/* Failure rate up to which a service counts as sound. */
#define FAILURE_RATE_IGNORED 0.04
/* Chance of success below which a request is refused. A client that comes back
 * after a third of its time meets a service that has recovered more often, as
 * such failures last for seconds. */
#define CHANCE_MIN 0.02
/* Share of the requests that are admitted below that chance. */
#define ADMITTED_SHARE 0.05
/* Clients follow a Retry-After of up to a third of their remaining time. */
#define RETRY_AFTER_SHARE_MAX 0.32
#define RETRY_AFTER_SHARE_MIN 0.24

double
jl_completion_after_runs (double failure_rate, double runs)
{
  if (failure_rate <= FAILURE_RATE_IGNORED)
    return 1;
  return pow (1 - MIN (failure_rate, 1), runs);
}

bool
jl_completion_is_worthwhile (double chance, double draw)
{
  return chance >= CHANCE_MIN || draw < ADMITTED_SHARE;
}

uint64_t
jl_completion_retry_after_ms (uint64_t remaining_ms, double draw)
{
  double share = RETRY_AFTER_SHARE_MIN
                 + draw * (RETRY_AFTER_SHARE_MAX - RETRY_AFTER_SHARE_MIN);

  return (uint64_t)((double)remaining_ms * share);
}
