/**
 * DOC: Balances demand between availability zones.
 */

#include "policy/balance.h"

/* Difference to the balanced share up to which a zone sends nothing: moving
 * costs messages between zones. */
#define DIFFERENCE_MIN 0.02

/* Returns the share that all zones could admit together. */
static double
balanced_share (const struct jl_zone_load *loads, unsigned count)
{
  double demand = 0;
  double admitted = 0;

  for (unsigned i = 0; i < count; i++)
    {
      demand += loads[i].demand;
      admitted += loads[i].demand * loads[i].admitted;
    }
  return demand > 0 ? MIN (admitted / demand, 1) : 1;
}

struct jl_balance
jl_balance_compute (const struct jl_zone_load *loads,
                    unsigned count,
                    unsigned home)
{
  struct jl_balance balance = { .admitted = balanced_share (loads, count) };
  double room = 0;

  if (loads[home].admitted > balance.admitted - DIFFERENCE_MIN)
    return balance;
  for (unsigned i = 0; i < count; i++)
    if (loads[i].admitted > balance.admitted)
      {
        balance.shares[i]
            = loads[i].demand * (loads[i].admitted - balance.admitted);
        room += balance.shares[i];
      }
  for (unsigned i = 0; i < count && room > 0; i++)
    balance.shares[i] /= room;
  if (room > 0)
    balance.moved = balance.admitted - loads[home].admitted;
  return balance;
}
