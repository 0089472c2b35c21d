#ifndef JACKDAWLADDER_LINEAGE_H
#define JACKDAWLADDER_LINEAGE_H

/**
 * DOC: Finds the run that a call of the local target belongs to.
 *
 * A call names no parent, but it names the time that is left until its
 * deadline. Targets pass on the deadline of the run unless calls of the route
 * have an earlier one of their own. The deadlines of the runs in progress
 * differ, so a deadline that is passed on identifies the run nearly always. A
 * call then inherits the rank of the request that the run is for.
 *
 * Calls with deadlines of their own fit some run by chance. So a run is only
 * believed if nearly all calls of the route fit one.
 */

#include "jackdawladder/base.h"

#include <urcu/list.h>

/* Maximum number of routes of calls that are told apart. */
#define JL_LINEAGE_ROUTES_MAX 16

/**
 * struct jl_run - a run in progress at the local target
 * @link: in the list of runs
 * @begun: it is in the list
 * @expires_us: its deadline
 * @rank: rank of the request that it is for
 */
struct jl_run
{
  struct cds_list_head link;
  bool begun;
  uint64_t expires_us;
  unsigned rank;
};

/**
 * struct jl_lineage_route - what is known of the calls of one route
 * @fitting_share: moving average of the share that fit the deadline of a run
 */
struct jl_lineage_route
{
  uint32_t route_key;
  double fitting_share;
};

/**
 * struct jl_lineage - the runs in progress, and what is known of calls
 * @runs: list of struct jl_run
 * @found: calls whose run was found
 * @unknown: calls whose run was not found
 */
struct jl_lineage
{
  struct cds_list_head runs;
  unsigned route_count;
  struct jl_lineage_route routes[JL_LINEAGE_ROUTES_MAX];
  uint64_t found;
  uint64_t unknown;
};

void jl_lineage_init (struct jl_lineage *lineage);

/**
 * jl_lineage_begin_run - adds a run that begins
 * @run: its deadline and its rank are set
 */
void jl_lineage_begin_run (struct jl_lineage *lineage, struct jl_run *run);

/**
 * jl_lineage_end_run - removes a run; nothing if it has not begun
 */
void jl_lineage_end_run (struct jl_run *run);

/**
 * jl_lineage_find - finds the run that made a call
 * @route_key: key of the call's route
 * @deadline_us: deadline that the call names
 *
 * Return: the run, or NULL if it is not known.
 */
const struct jl_run *jl_lineage_find (struct jl_lineage *lineage,
                                      uint32_t route_key,
                                      uint64_t deadline_us);

#endif
