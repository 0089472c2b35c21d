/**
 * DOC: A simulation of many entries that share the targets of one service.
 */

#include "proxy/parts/fleet.h"

#include <math.h>
#include <string.h>

#define STEPS_PER_S 200
/* Slots of a target, and those that its guard uses. */
#define SLOTS 30
#define LIMIT 28
/* Period of beacons while values change. */
#define BEACON_STEPS 40
#define CONTROL_STEPS 20
/* Age of a report after which a guard of another zone is asked again. */
#define OTHER_ZONE_AGE_US (250 * JL_USEC_PER_MSEC)
/* Longest time between two requests of another zone that count as one run. */
#define GUEST_GAP_US (500 * JL_USEC_PER_MSEC)
/* Period at which guards look for requests to hand back. */
#define MOVE_STEPS 4
/* Length and strength of a slow time. */
#define SLOW_US (600 * JL_USEC_PER_MSEC)
#define SLOW_FACTOR 2.5
/* Time for which a target is cold after its start, and how slow it is. */
#define COLD_US (4 * JL_USEC_PER_SEC)
#define COLD_FACTOR 3.0
/* Share of the slots above which a run takes longer, and how much. */
#define FULL_SHARE 0.95
#define FULL_FACTOR 1.2
/* Spare share at which another zone accepts all requests. */
#define SPARE_FULL 0.25
/* Period of the swing of the demand, and time until a request is useless. */
#define SWING_S 8
#define EXPIRY_GOALS 2

static uint64_t
now_us (const struct fleet *fleet)
{
  return JL_USEC_PER_SEC + fleet->step * FLEET_STEP_US;
}

void
fleet_init (struct fleet *fleet, unsigned entry_count, unsigned target_count)
{
  static const double speeds[] = { 0.7, 0.7, 1.6 };

  memset (fleet, 0, sizeof *fleet);
  fleet->outside = g_rand_new_with_seed (1);
  fleet->zone_count = 1;
  fleet->entry_count = entry_count;
  fleet->target_count = target_count;
  for (unsigned i = 0; i < target_count; i++)
    {
      struct fleet_target *target = &fleet->targets[i];

      jl_lane_init (&target->lane);
      jl_load_shedder_init (&target->shedder);
      target->lane.limit = LIMIT;
      target->hold_us = 180000 / speeds[i % G_N_ELEMENTS (speeds)];
      for (unsigned j = 0; j < FLEET_REQUESTS_MAX; j++)
        target->requests[j].entry = JL_NONE;
    }
  for (unsigned i = 0; i < entry_count; i++)
    {
      jl_roster_init (&fleet->rosters[i], "z1");
      fleet->rosters[i].uses_load_reports = true;
      for (unsigned j = 0; j < target_count; j++)
        {
          char name[16];
          struct jl_member *member;

          g_snprintf (name, sizeof name, "d%u", j);
          member = jl_roster_get_or_add (&fleet->rosters[i], name);
          jl_roster_set_zone (&fleet->rosters[i], member, "z1");
          g_strlcpy (member->service, "s", sizeof member->service);
          member->state = JL_TARGET_UP;
          member->limit = LIMIT;
          fleet->members[i][j] = member;
        }
    }
}

void
fleet_split (struct fleet *fleet)
{
  static const char *const names[] = { "z1", "z2" };

  fleet->zone_count = 2;
  for (unsigned i = 1; i < fleet->target_count; i++)
    fleet->targets[i].zone = 1;
  for (unsigned i = 0; i < fleet->entry_count; i++)
    {
      g_strlcpy (fleet->rosters[i].local_zone, names[i % 2], JL_TEXT_SIZE);
      for (unsigned j = 0; j < fleet->target_count; j++)
        jl_roster_set_zone (&fleet->rosters[i], fleet->members[i][j],
                            names[fleet->targets[j].zone]);
    }
}

void
fleet_clear (struct fleet *fleet)
{
  for (unsigned i = 0; i < fleet->entry_count; i++)
    jl_roster_clear (&fleet->rosters[i]);
  g_rand_free (fleet->outside);
}

static double
hold_now_us (const struct fleet *fleet, const struct fleet_target *target)
{
  double hold_us = target->hold_us;

  if (now_us (fleet) < target->slow_until_us)
    hold_us *= SLOW_FACTOR;
  if (now_us (fleet) < target->cold_until_us)
    hold_us *= COLD_FACTOR;
  if (fleet->goal_us > 0 && target->lane.running > FULL_SHARE * SLOTS)
    hold_us *= FULL_FACTOR;
  return hold_us;
}

static void
start_run (struct fleet *fleet,
           struct fleet_target *target,
           struct fleet_request *request)
{
  double hold_us = hold_now_us (fleet, target) * (0.5 + g_random_double ());
  uint64_t waited_us = now_us (fleet) - request->begun_us;

  request->ends_step
      = fleet->step + MAX ((unsigned)(hold_us / FLEET_STEP_US), 1);
  fleet->waited_us += waited_us;
  fleet->waited_long += waited_us > 100 * JL_USEC_PER_MSEC;
  fleet->half_spent += waited_us > fleet->goal_us / 2;
}

static struct jl_load_report
report_of (const struct fleet_target *target)
{
  return (struct jl_load_report){
    .running = target->lane.running,
    .waiting = target->lane.waiting,
    .limit = LIMIT,
    .hold_ms = MAX ((unsigned)(target->shedder.hold_us / 1000), 1),
  };
}

static void
hear_report (struct fleet *fleet, unsigned entry, unsigned index)
{
  struct jl_load_report report = report_of (&fleet->targets[index]);

  struct jl_member *member = fleet->members[entry][index];

  if (fleet->reports && fleet->targets[index].shedder.hold_us > 0
      && (!member->in_other_zone
          || now_us (fleet) > member->load.heard_us + OTHER_ZONE_AGE_US))
    jl_load_view_hear (&member->load, &report, now_us (fleet));
}

/* Returns the mean shed share of the targets in the entry's zone, or the mean
 * spare share of those of others, of which none may refuse requests. */
static double
mean_share (const struct fleet *fleet, unsigned entry, bool spare)
{
  double capacity = 0;
  double sum = 0;

  for (unsigned i = 0; i < fleet->target_count; i++)
    {
      const struct jl_member *member = fleet->members[entry][i];

      if (member->in_other_zone != spare)
        continue;
      if (spare && member->shed_share > 0)
        return 0;
      capacity += member->capacity;
      sum += member->capacity
             * (spare ? member->spare_share : member->shed_share);
    }
  return capacity > 0 ? sum / capacity : 0;
}

/* Whether beacons have told all entries of a zone that it receives work. */
static bool
is_known_to_receive (const struct fleet *fleet, unsigned zone)
{
  uint64_t known_us = (BEACON_STEPS + CONTROL_STEPS + 1) * FLEET_STEP_US;

  return fleet->guests_us[zone] != 0
         && now_us (fleet) < fleet->guests_us[zone] + GUEST_GAP_US
         && now_us (fleet) > fleet->guests_since_us[zone] + known_us;
}

/* Chooses the zone of a request as the plans do; NULL if it is refused. */
static const char *
choose_zone (struct fleet *fleet, unsigned entry)
{
  struct jl_roster *roster = &fleet->rosters[entry];
  struct jl_spill *spill = &fleet->spill[entry];
  struct jl_call_tree tree = { 1, { { "s", 1, JL_NONE } } };
  uint64_t at_us = now_us (fleet);

  if (fleet->goal_us > 0
      && g_random_double () < mean_share (fleet, entry, false))
    return g_random_double () < mean_share (fleet, entry, true) / SPARE_FULL
               ? ((struct jl_zone *)roster->zones->pdata[0])->name
               : NULL;
  if (!fleet->spills)
    return roster->local_zone;
  if (at_us >= spill->updated_us + JL_CONTROL_WINDOW_US)
    {
      struct jl_spill_offer offer = jl_spill_best_offer (roster, &tree, at_us);

      jl_spill_update (spill, &offer, fleet->goal_us,
                       jl_spill_has_received (roster, &tree, at_us), at_us);
    }
  if (g_random_double () >= spill->share)
    return roster->local_zone;
  fleet->traded += is_known_to_receive (fleet, entry % 2);
  return spill->zone;
}

/* Counts a request that the zone @to receives from another one. */
static void
note_crossing (struct fleet *fleet, unsigned to)
{
  if (now_us (fleet) > fleet->guests_us[to] + GUEST_GAP_US)
    fleet->guests_since_us[to] = now_us (fleet);
  fleet->guests_us[to] = now_us (fleet);
  fleet->crossed++;
}

static void
place (struct fleet *fleet,
       unsigned entry,
       const char *zone,
       uint64_t begun_us,
       struct jl_member *tried,
       unsigned moves)
{
  struct jl_member *member = jl_place_choose_daemon (
      &fleet->rosters[entry], "s", zone, &tried, tried != NULL, now_us (fleet));
  struct fleet_target *target = NULL;
  struct fleet_request *request;

  for (unsigned i = 0; target == NULL; i++)
    if (fleet->members[entry][i] == member)
      target = &fleet->targets[i];
  request = target->requests;
  while (request->entry != JL_NONE)
    request++;
  memset (request, 0, sizeof *request);
  request->entry = entry;
  request->moves = moves;
  request->begun_us = begun_us;
  request->item.rank = 1;
  request->item.arrived_us = now_us (fleet);
  request->item.due_us = begun_us + fleet->goal_us;
  request->item.expires_us = begun_us + EXPIRY_GOALS * fleet->goal_us;
  if (member->in_other_zone)
    {
      target->guest_us = now_us (fleet);
      note_crossing (fleet, target->zone);
    }
  member->outstanding++;
  member->load.sent++;
  jl_load_shedder_count_arrival (&target->shedder);
  if (jl_lane_submit (&target->lane, &request->item))
    start_run (fleet, target, request);
}

static void
leave_target (struct fleet *fleet,
              unsigned index,
              struct fleet_request *request)
{
  fleet->members[request->entry][index]->outstanding--;
  hear_report (fleet, request->entry, index);
  request->entry = JL_NONE;
}

static void
end_runs (struct fleet *fleet, unsigned index)
{
  struct fleet_target *target = &fleet->targets[index];
  struct jl_lane_item *item;

  for (unsigned i = 0; i < FLEET_REQUESTS_MAX; i++)
    {
      struct fleet_request *request = &target->requests[i];

      if (request->entry == JL_NONE || request->ends_step == 0
          || request->ends_step > fleet->step)
        continue;
      fleet->in_goal += now_us (fleet) - request->begun_us <= fleet->goal_us;
      jl_lane_finish (&target->lane);
      jl_load_shedder_record_hold (&target->shedder,
                                   (uint64_t)hold_now_us (fleet, target));
      leave_target (fleet, index, request);
    }
  while (
      fleet->goal_us > 0
      && (item = jl_lane_take_expired (&target->lane, now_us (fleet),
                                       (uint64_t)target->shedder.hold_us / 2))
             != NULL)
    {
      fleet->expired++;
      leave_target (fleet, index,
                    caa_container_of (item, struct fleet_request, item));
    }
  while ((item = jl_lane_take_next (&target->lane)) != NULL)
    start_run (fleet, target,
               caa_container_of (item, struct fleet_request, item));
  target->busy += target->lane.running;
}

static void
announce (struct fleet *fleet, unsigned index)
{
  const struct fleet_target *target = &fleet->targets[index];
  struct jl_load_report report = report_of (target);

  for (unsigned i = 0; i < fleet->target_count; i++)
    jl_load_view_hear (&fleet->targets[i].peers[index], &report,
                       now_us (fleet));
  for (unsigned i = 0; i < fleet->entry_count; i++)
    {
      struct jl_member *member = fleet->members[i][index];

      member->last_beacon_us = now_us (fleet);
      member->capacity = jl_load_shedder_capacity (&target->shedder, LIMIT);
      member->shed_share = target->shedder.shed_share;
      member->spare_share = target->shedder.spare_share;
      if (!member->in_other_zone)
        hear_report (fleet, i, index);
      if (!member->in_other_zone && target->guest_us != 0)
        member->guest_us = target->guest_us;
    }
}

void
fleet_restart (struct fleet *fleet, unsigned index, bool slow_start)
{
  struct fleet_target *target = &fleet->targets[index];

  for (unsigned i = 0; i < FLEET_REQUESTS_MAX; i++)
    {
      struct fleet_request *request = &target->requests[i];

      if (request->entry == JL_NONE)
        continue;
      fleet->members[request->entry][index]->outstanding--;
      jl_lane_remove (&target->lane, &request->item);
      request->entry = JL_NONE;
    }
  target->lane.running = 0;
  target->cold_until_us = now_us (fleet) + COLD_US;
  if (slow_start)
    jl_load_shedder_restart (&target->shedder, true);
  announce (fleet, index);
}

/* Hands back the request that came last, while another target completes it
 * sooner. */
static bool
hand_back (struct fleet *fleet, unsigned index)
{
  struct fleet_target *target = &fleet->targets[index];
  struct jl_load_view *others[FLEET_TARGETS_MAX];
  struct jl_load_report own = report_of (target);
  struct fleet_request *last = NULL;
  struct fleet_request moved;
  unsigned count = 0;

  for (unsigned i = 0; i < FLEET_REQUESTS_MAX; i++)
    {
      struct fleet_request *request = &target->requests[i];

      if (request->entry != JL_NONE && request->item.waiting
          && request->moves < JL_REBIND_MOVES_MAX
          && (last == NULL || request->item.due_us >= last->item.due_us))
        last = request;
    }
  for (unsigned i = 0; i < fleet->target_count; i++)
    if (i != index && fleet->targets[i].zone == target->zone)
      others[count++] = &target->peers[i];
  if (last == NULL
      || jl_rebind_choose (&own, own.waiting - 1, others, count, now_us (fleet))
             == NULL)
    return false;
  jl_lane_remove (&target->lane, &last->item);
  moved = *last;
  fleet->moved++;
  jl_load_shedder_discount_arrival (&target->shedder);
  leave_target (fleet, index, last);
  place (fleet, moved.entry, fleet->rosters[moved.entry].local_zone,
         moved.begun_us, fleet->members[moved.entry][index], moved.moves + 1);
  return true;
}

static void
step_target (struct fleet *fleet, unsigned index)
{
  struct fleet_target *target = &fleet->targets[index];

  if (fleet->slow_mean_s > 0
      && g_rand_double (fleet->outside)
             < 1 / (fleet->slow_mean_s * STEPS_PER_S))
    target->slow_until_us = now_us (fleet) + SLOW_US;
  end_runs (fleet, index);
  while (fleet->moves && fleet->step % MOVE_STEPS == 0
         && hand_back (fleet, index))
    ;
  if ((fleet->step + index) % CONTROL_STEPS == 0)
    jl_load_shedder_end_window (&target->shedder, LIMIT, target->lane.waiting);
  if (fleet->step == 0 || (fleet->step + 2 * index) % BEACON_STEPS == 0)
    announce (fleet, index);
}

/* Draws the entry of a request, in a zone by its part of the demand. */
static unsigned
draw_entry (const struct fleet *fleet)
{
  double phase = 2 * M_PI * fleet->step / (SWING_S * STEPS_PER_S);
  unsigned entry = g_rand_int (fleet->outside) % fleet->entry_count;

  if (fleet->zone_count == 1)
    return entry;
  entry -= entry % 2;
  if (g_rand_double (fleet->outside) < 0.5 - fleet->swing * sin (phase))
    entry += entry + 1 < fleet->entry_count ? 1 : -1;
  return entry;
}

/* Places the requests of a step. Arrivals are a Poisson process: the time
 * between them is exponential. */
static void
offer_requests (struct fleet *fleet, double rate, double *due)
{
  double phase = 2 * M_PI * fleet->step / (SWING_S * STEPS_PER_S);

  if (fleet->zone_count == 1)
    rate *= 1 + fleet->swing * sin (phase);
  for (*due += rate / STEPS_PER_S; *due > 0;
       *due += log (1 - g_rand_double (fleet->outside)))
    {
      unsigned entry = draw_entry (fleet);
      const char *zone = choose_zone (fleet, entry);

      fleet->sent++;
      if (zone == NULL)
        fleet->refused++;
      else
        place (fleet, entry, zone, now_us (fleet), NULL, 0);
    }
}

void
fleet_run (struct fleet *fleet, double rate, unsigned seconds)
{
  double due = 0;

  for (unsigned end = fleet->step + seconds * STEPS_PER_S; fleet->step < end;
       fleet->step++)
    {
      for (unsigned i = 0; i < fleet->target_count; i++)
        step_target (fleet, i);
      offer_requests (fleet, rate, &due);
    }
}

double
fleet_capacity (const struct fleet *fleet)
{
  double capacity = 0;

  for (unsigned i = 0; i < fleet->target_count; i++)
    capacity += LIMIT * 1e6 / fleet->targets[i].hold_us;
  return capacity;
}

double
fleet_busiest_to_mean (const struct fleet *fleet)
{
  double most = 0;
  double sum = 0;

  for (unsigned i = 0; i < fleet->target_count; i++)
    {
      most = MAX (most, (double)fleet->targets[i].busy);
      sum += (double)fleet->targets[i].busy;
    }
  return most / (sum / fleet->target_count);
}

void
fleet_forget_start (struct fleet *fleet)
{
  fleet->sent = fleet->waited_us = fleet->waited_long = 0;
  fleet->crossed = fleet->traded = fleet->in_goal = fleet->half_spent
      = fleet->expired = fleet->moved = fleet->refused = 0;
  for (unsigned i = 0; i < fleet->target_count; i++)
    fleet->targets[i].busy = 0;
}
