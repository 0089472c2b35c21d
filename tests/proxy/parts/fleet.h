#ifndef TESTS_PROXY_FLEET_H
#define TESTS_PROXY_FLEET_H

/**
 * DOC: A simulation of many entries that share the targets of one service, in
 * virtual time.
 *
 * Each entry sees its own requests, the beacons and, if they are on, the load
 * reports.
 */

#include "policy/lane.h"
#include "policy/load-shedder.h"
#include "policy/rebind.h"
#include "proxy/zone-spill.h"

#define FLEET_STEP_US (5 * JL_USEC_PER_MSEC)
#define FLEET_ENTRIES_MAX 85
#define FLEET_TARGETS_MAX 20
#define FLEET_REQUESTS_MAX 4096
#define FLEET_ZONES_MAX 2

/**
 * struct fleet_request - one request, at its target
 * @entry: entry that sent it, JL_NONE for a free place of the table
 * @ends_step: step at which its run ends, 0 while it waits
 * @begun_us: arrival at the entry
 * @moves: times that a guard has handed it back
 */
struct fleet_request
{
  struct jl_lane_item item;
  unsigned entry;
  unsigned ends_step;
  uint64_t begun_us;
  unsigned moves;
};

/**
 * struct fleet_target - a target, its queue and its guard
 * @hold_us: mean time of a run at its usual speed
 * @slow_until_us: it is slow until then
 * @cold_until_us: it is cold until then
 * @zone: its zone; entries alternate between the zones
 * @guest_us: time at which work of another zone last came
 * @busy: sum over all steps of the requests that run
 * @peers: load of the other targets as its guard knows it
 */
struct fleet_target
{
  struct jl_lane lane;
  struct jl_load_shedder shedder;
  double hold_us;
  uint64_t slow_until_us;
  uint64_t cold_until_us;
  unsigned zone;
  uint64_t guest_us;
  uint64_t busy;
  struct jl_load_view peers[FLEET_TARGETS_MAX];
  struct fleet_request requests[FLEET_REQUESTS_MAX];
};

/**
 * struct fleet - entries and targets
 * @outside: draws arrivals and slow times, which do not depend on the choices
 * @goal_us: latency goal, 0 for a service without goals and slow times
 * @slow_mean_s: mean time between two slow times of a target, 0 for none
 * @swing: part of the demand by which it rises and falls
 * @zone_count: zones; their swings have shifted phases
 * @spills: entries send to another zone that completes requests sooner
 * @reports: load reports are on
 * @moves: guards hand requests back
 * @sent: requests sent
 * @waited_us: sum of the times that they waited
 * @waited_long: requests that waited for more than 100 ms
 * @in_goal: requests that completed within the goal
 * @half_spent: requests that spent more than half of the goal before a target
 *              had them
 * @refused: requests that entries refused
 * @expired: requests that were refused because they could not end in time
 * @moved: times that requests were handed back
 * @crossed: requests sent to another zone
 * @traded: those of them that were sent because the other zone completes them
 *          sooner, while the own zone was known to receive others from there
 * @guests_since_us: by zone: time since which it has received others without a
 *                   gap of GUEST_GAP_US
 * @guests_us: by zone: time at which it received the last one
 */
struct fleet
{
  unsigned entry_count;
  unsigned target_count;
  GRand *outside;
  uint64_t goal_us;
  double slow_mean_s;
  double swing;
  unsigned zone_count;
  bool spills;
  bool reports;
  bool moves;
  struct jl_spill spill[FLEET_ENTRIES_MAX];
  struct jl_roster rosters[FLEET_ENTRIES_MAX];
  struct jl_member *members[FLEET_ENTRIES_MAX][FLEET_TARGETS_MAX];
  struct fleet_target targets[FLEET_TARGETS_MAX];
  unsigned step;
  uint64_t sent;
  uint64_t waited_us;
  uint64_t waited_long;
  uint64_t in_goal;
  uint64_t half_spent;
  uint64_t refused;
  uint64_t expired;
  uint64_t moved;
  uint64_t crossed;
  uint64_t traded;
  uint64_t guests_since_us[FLEET_ZONES_MAX];
  uint64_t guests_us[FLEET_ZONES_MAX];
};

/**
 * fleet_init - sets up targets of which some are 2.3 times as fast as others
 */
void
fleet_init (struct fleet *fleet, unsigned entry_count, unsigned target_count);

/**
 * fleet_split - puts the first target into one zone and all others into
 * another, and the entries into both
 */
void fleet_split (struct fleet *fleet);

void fleet_clear (struct fleet *fleet);

/**
 * fleet_restart - ends a target with its requests; the new incarnation is cold
 * @slow_start: its guard expects that
 */
void fleet_restart (struct fleet *fleet, unsigned index, bool slow_start);

/**
 * fleet_run - runs @seconds in which the entries together send @rate requests a
 * second
 */
void fleet_run (struct fleet *fleet, double rate, unsigned seconds);

/**
 * fleet_capacity - returns the requests a second that all targets can run
 */
double fleet_capacity (const struct fleet *fleet);

/**
 * fleet_busiest_to_mean - returns how busy the busiest target was, relative to
 * the mean
 */
double fleet_busiest_to_mean (const struct fleet *fleet);

/**
 * fleet_forget_start - sets all totals to 0
 */
void fleet_forget_start (struct fleet *fleet);

#endif
