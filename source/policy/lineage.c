/**
 * DOC: Finds the run that a call of the local target belongs to.
 */

#include "policy/lineage.h"

#include <stdlib.h>
#include <string.h>

/* Deadlines are passed on in whole milliseconds, rounded down, and the time on
 * the way is not deducted. So the deadline that a call names may be earlier
 * than its run's by up to EARLIER_MAX_US, and later by up to LATER_MAX_US. */
#define EARLIER_MAX_US (4 * JL_USEC_PER_MSEC)
#define LATER_MAX_US (2 * JL_USEC_PER_MSEC)
/* Difference that is expected of a call that was not delayed. */
#define EARLIER_USUAL_US 1000
/* Weight of a call in the moving average of the share that fits. */
#define FITTING_WEIGHT 0.02
/* Share that is assumed of a route that is new. */
#define FITTING_SHARE_FIRST 0.75
/* Share of a route's calls that must fit. With 200 runs in progress whose
 * deadlines spread over 2 s, half of all calls fit one of them by chance. */
#define FITTING_SHARE_MIN 0.85

void
jl_lineage_init (struct jl_lineage *lineage)
{
  memset (lineage, 0, sizeof *lineage);
  CDS_INIT_LIST_HEAD (&lineage->runs);
}

void
jl_lineage_begin_run (struct jl_lineage *lineage, struct jl_run *run)
{
  run->begun = true;
  cds_list_add_tail (&run->link, &lineage->runs);
}

void
jl_lineage_end_run (struct jl_run *run)
{
  if (!run->begun)
    return;
  run->begun = false;
  cds_list_del (&run->link);
}

/* Returns the entry of a route; adds it if there is room, else returns NULL. */
static struct jl_lineage_route *
find_route (struct jl_lineage *lineage, uint32_t route_key)
{
  struct jl_lineage_route *route = lineage->routes;

  for (unsigned i = 0; i < lineage->route_count; i++, route++)
    if (route->route_key == route_key)
      return route;
  if (lineage->route_count == JL_LINEAGE_ROUTES_MAX)
    return NULL;
  lineage->route_count++;
  *route = (struct jl_lineage_route){ route_key, FITTING_SHARE_FIRST };
  return route;
}

/* Returns how far the deadline of a call lies from the one that its run would
 * give it, UINT64_MAX if it cannot be of that run. */
static uint64_t
distance (uint64_t deadline_us, const struct jl_run *run)
{
  int64_t earlier = (int64_t)(run->expires_us - deadline_us);

  if (earlier > (int64_t)EARLIER_MAX_US || earlier < -(int64_t)LATER_MAX_US)
    return UINT64_MAX;
  return (uint64_t)llabs (earlier - EARLIER_USUAL_US);
}

static const struct jl_run *
find_nearest (const struct jl_lineage *lineage, uint64_t deadline_us)
{
  uint64_t nearest = UINT64_MAX;
  const struct jl_run *found = NULL;
  const struct jl_run *run;

  cds_list_for_each_entry (run, &lineage->runs, link)
  {
    uint64_t far = distance (deadline_us, run);

    if (far >= nearest)
      continue;
    nearest = far;
    found = run;
  }
  return found;
}

const struct jl_run *
jl_lineage_find (struct jl_lineage *lineage,
                 uint32_t route_key,
                 uint64_t deadline_us)
{
  struct jl_lineage_route *route = find_route (lineage, route_key);
  const struct jl_run *run = find_nearest (lineage, deadline_us);

  if (route != NULL)
    route->fitting_share
        += FITTING_WEIGHT * ((run != NULL) - route->fitting_share);
  if (run == NULL || route == NULL || route->fitting_share < FITTING_SHARE_MIN)
    {
      lineage->unknown++;
      return NULL;
    }
  lineage->found++;
  return run;
}
