/**
 * DOC: The attempts that the local target has refused last.
 */

#include "proxy/refused.h"

void
jl_refused_add (struct jl_refused *refused, uint64_t mark)
{
  refused->marks[refused->next] = mark;
  refused->next = (refused->next + 1) % JL_REFUSED_MAX;
}

bool
jl_refused_has (const struct jl_refused *refused, uint64_t mark)
{
  for (unsigned i = 0; i < JL_REFUSED_MAX; i++)
    if (refused->marks[i] == mark)
      return true;
  return false;
}
