#ifndef JACKDAWLADDER_BUDGET_H
#define JACKDAWLADDER_BUDGET_H

/**
 * DOC: This daemon's part of the retry budget that all daemons share.
 *
 * A service may get a share of its requests, and some more, as repeats in each
 * window. Each daemon keeps to the share of the requests that it took itself,
 * and to its equal part of the rest, so that no message is needed for a retry.
 * A repeat of a request whose tree of calls reaches deeper services is charged
 * there as well, by the calls that it makes.
 */

#include "jackdawladder/base.h"

/* Parts of a window that are counted apart. */
#define JL_BUDGET_SLOTS 12

/**
 * struct jl_budget - for one service
 */
struct jl_budget
{
  uint64_t slot;
  double requests[JL_BUDGET_SLOTS];
  double repeats[JL_BUDGET_SLOTS];
};

/**
 * struct jl_budget_terms - what is allowed
 * @ratio: repeats for each request
 * @slack: repeats beside those, for all daemons together
 * @window_us: length of the sliding window
 * @daemons: number among which @slack is parted
 */
struct jl_budget_terms
{
  double ratio;
  double slack;
  uint64_t window_us;
  unsigned daemons;
};

/**
 * jl_budget_request - a caller's request for the service has come
 */
void jl_budget_request (struct jl_budget *budget,
                        const struct jl_budget_terms *terms,
                        uint64_t now_us);

/**
 * jl_budget_allows - whether @repeats more may arrive at the service
 */
bool jl_budget_allows (struct jl_budget *budget,
                       const struct jl_budget_terms *terms,
                       uint64_t now_us,
                       double repeats);

/**
 * jl_budget_spend - @repeats more will arrive
 */
void jl_budget_spend (struct jl_budget *budget,
                      const struct jl_budget_terms *terms,
                      uint64_t now_us,
                      double repeats);

#endif
