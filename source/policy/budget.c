/**
 * DOC: This daemon's share of the retry budget of a service.
 */

#include "policy/budget.h"

/* Fraction of this daemon's part of the budget that it uses. The margin is
 * needed since daemons may know different numbers of daemons. */
#define USABLE_SHARE 0.8
/* Ring slots that make up one window. The ring holds retries for two slots
 * longer than requests, so a retry is never counted for less than a window. */
#define WINDOW_SLOTS (JL_RETRY_BUDGET_SLOT_COUNT - 2)

/* Moves the ring on to the current slot and clears the slots passed over. */
static void
advance (struct jl_retry_budget *budget,
         const struct jl_retry_budget_policy *policy,
         uint64_t now_us)
{
  uint64_t slot = now_us / (policy->window_us / WINDOW_SLOTS);
  uint64_t gap = slot - budget->slot;

  if (gap > JL_RETRY_BUDGET_SLOT_COUNT)
    gap = JL_RETRY_BUDGET_SLOT_COUNT;
  for (uint64_t i = 0; i < gap; i++)
    {
      budget->requests[(slot - i) % JL_RETRY_BUDGET_SLOT_COUNT] = 0;
      budget->retries[(slot - i) % JL_RETRY_BUDGET_SLOT_COUNT] = 0;
    }
  budget->slot = slot;
}

void
jl_retry_budget_count_request (struct jl_retry_budget *budget,
                               const struct jl_retry_budget_policy *policy,
                               uint64_t now_us)
{
  advance (budget, policy, now_us);
  budget->requests[budget->slot % JL_RETRY_BUDGET_SLOT_COUNT] += 1;
}

bool
jl_retry_budget_allows (struct jl_retry_budget *budget,
                        const struct jl_retry_budget_policy *policy,
                        uint64_t now_us,
                        double retries)
{
  double requests = 0;
  double spent = 0;
  double allowed;

  advance (budget, policy, now_us);
  for (uint64_t i = 0; i < JL_RETRY_BUDGET_SLOT_COUNT; i++)
    {
      uint64_t age = (budget->slot + JL_RETRY_BUDGET_SLOT_COUNT - i)
                     % JL_RETRY_BUDGET_SLOT_COUNT;

      spent += budget->retries[i];
      if (age < WINDOW_SLOTS)
        requests += budget->requests[i];
    }
  allowed = policy->ratio * requests
            + policy->slack / MAX (policy->daemon_count, 1);
  return spent + retries <= USABLE_SHARE * allowed;
}

void
jl_retry_budget_spend (struct jl_retry_budget *budget,
                       const struct jl_retry_budget_policy *policy,
                       uint64_t now_us,
                       double retries)
{
  advance (budget, policy, now_us);
  budget->retries[budget->slot % JL_RETRY_BUDGET_SLOT_COUNT] += retries;
}
