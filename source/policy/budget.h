#ifndef JACKDAWLADDER_BUDGET_H
#define JACKDAWLADDER_BUDGET_H

/**
 * DOC: This daemon's share of the retry budget of a service.
 *
 * All daemons share one retry budget for each service: within a sliding window
 * the service may receive a fixed ratio of its requests as retries, plus a
 * fixed number (the slack). Each daemon applies the ratio to the requests that
 * it received itself and uses an equal part of the slack, so a retry needs no
 * message to other daemons. The retry of a request whose call tree reaches
 * deeper services is also charged to the budgets of those services, by the
 * number of calls that it causes there.
 */

#include "jackdawladder/base.h"

/* Slots of the ring in which requests and retries are counted. */
#define JL_RETRY_BUDGET_SLOT_COUNT 12

/**
 * struct jl_retry_budget - requests and retries of one service
 * @slot: number of the current slot; its index in the rings is this number
 *        modulo their length
 * @requests: ring of the requests received, by slot
 * @retries: ring of the retries charged, by slot
 */
struct jl_retry_budget
{
  uint64_t slot;
  double requests[JL_RETRY_BUDGET_SLOT_COUNT];
  double retries[JL_RETRY_BUDGET_SLOT_COUNT];
};

/**
 * struct jl_retry_budget_policy - limits of the retry budget
 * @ratio: retries allowed for each request
 * @slack: retries allowed in addition, for all daemons together
 * @window_us: length of the sliding window
 * @daemon_count: number of daemons that share @slack
 */
struct jl_retry_budget_policy
{
  double ratio;
  double slack;
  uint64_t window_us;
  unsigned daemon_count;
};

/**
 * jl_retry_budget_count_request - counts a caller's request for the service
 */
void jl_retry_budget_count_request (struct jl_retry_budget *budget,
                                    const struct jl_retry_budget_policy *policy,
                                    uint64_t now_us);

/**
 * jl_retry_budget_allows - whether @retries more retries fit into the budget
 */
bool jl_retry_budget_allows (struct jl_retry_budget *budget,
                             const struct jl_retry_budget_policy *policy,
                             uint64_t now_us,
                             double retries);

/**
 * jl_retry_budget_spend - charges @retries retries to the budget
 */
void jl_retry_budget_spend (struct jl_retry_budget *budget,
                            const struct jl_retry_budget_policy *policy,
                            uint64_t now_us,
                            double retries);

#endif
