#ifndef JACKDAWLADDER_COMPLETION_H
#define JACKDAWLADDER_COMPLETION_H

/**
 * DOC: Decides whether a request is worth starting while its calls fail.
 *
 * Answers a load in which the targets of a service deep in the call graph turn
 * away or fail a large share of their requests for some seconds, whatever the
 * load is. A request whose runs there are many then fails nearly always, after
 * it has used all services above. It is refused at its entry, and told to come
 * back as late as its client can wait.
 */

#include "jackdawladder/base.h"

/**
 * jl_completion_after_runs - returns the chance that @runs runs all succeed
 * @failure_rate: share of the runs that fail
 */
double jl_completion_after_runs (double failure_rate, double runs);

/**
 * jl_completion_is_worthwhile - whether a request is admitted
 * @chance: chance that all its runs succeed
 * @draw: random number from 0 to 1
 *
 * A few are admitted at any chance, since without them nobody would learn that
 * the service has recovered.
 */
bool jl_completion_is_worthwhile (double chance, double draw);

/**
 * jl_completion_retry_after_ms - returns the time after which a refused request
 * should come back
 * @remaining_ms: time until its deadline
 * @draw: random number from 0 to 1, to spread the requests that come back
 */
uint64_t jl_completion_retry_after_ms (uint64_t remaining_ms, double draw);

#endif
