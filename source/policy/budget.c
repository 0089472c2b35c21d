/**
 * DOC: This daemon's part of the retry budget that all daemons share.
 */

#include "policy/budget.h"

/* What is used of the own part; the rest covers views that differ. */
#define USED_SHARE 0.8
/* Slots of the ring that make up one window. */
#define WINDOW_SLOTS (JL_BUDGET_SLOTS - 2)

static void
advance (struct jl_budget *budget,
         const struct jl_budget_terms *terms,
         uint64_t now_us)
{
  uint64_t slot = now_us / (terms->window_us / WINDOW_SLOTS);
  uint64_t gap = slot - budget->slot;

  if (gap > JL_BUDGET_SLOTS)
    gap = JL_BUDGET_SLOTS;
  for (uint64_t i = 0; i < gap; i++)
    {
      budget->requests[(slot - i) % JL_BUDGET_SLOTS] = 0;
      budget->repeats[(slot - i) % JL_BUDGET_SLOTS] = 0;
    }
  budget->slot = slot;
}

void
jl_budget_request (struct jl_budget *budget,
                   const struct jl_budget_terms *terms,
                   uint64_t now_us)
{
  advance (budget, terms, now_us);
  budget->requests[budget->slot % JL_BUDGET_SLOTS] += 1;
}

bool
jl_budget_allows (struct jl_budget *budget,
                  const struct jl_budget_terms *terms,
                  uint64_t now_us,
                  double repeats)
{
  double requests = 0;
  double spent = 0;
  double allowed;

  advance (budget, terms, now_us);
  for (uint64_t i = 0; i < JL_BUDGET_SLOTS; i++)
    {
      uint64_t age = (budget->slot + JL_BUDGET_SLOTS - i) % JL_BUDGET_SLOTS;

      spent += budget->repeats[i];
      if (age < WINDOW_SLOTS)
        requests += budget->requests[i];
    }
  allowed = terms->ratio * requests + terms->slack / MAX (terms->daemons, 1);
  return spent + repeats <= USED_SHARE * allowed;
}

void
jl_budget_spend (struct jl_budget *budget,
                 const struct jl_budget_terms *terms,
                 uint64_t now_us,
                 double repeats)
{
  advance (budget, terms, now_us);
  budget->repeats[budget->slot % JL_BUDGET_SLOTS] += repeats;
}
