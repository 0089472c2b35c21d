/**
 * DOC: What share of its requests the own target fails by itself.
 */

#include "policy/failing.h"

/* What counts keep from one window to the next: halved in 1.4 s. */
#define KEEP 0.95
/* Runs that are assumed to have gone well, so that few failures say little. */
#define ASSUMED 8.0

void
jl_failing_run (struct jl_failing *failing, bool failed)
{
  failing->ended += 1;
  if (failed)
    failing->failed += 1;
}

void
jl_failing_call (struct jl_failing *failing)
{
  failing->calls_failed += 1;
}

void
jl_failing_fade (struct jl_failing *failing)
{
  failing->ended *= KEEP;
  failing->failed *= KEEP;
  failing->calls_failed *= KEEP;
}

double
jl_failing_share (const struct jl_failing *failing)
{
  double own = failing->failed - failing->calls_failed;

  return MAX (own, 0) / (failing->ended + ASSUMED);
}
