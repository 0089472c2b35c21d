/**
 * DOC: Placement by zone, rendezvous hashing and two random choices.
 */

#include "place.h"

#include <string.h>
#include <xxhash.h>

#include "admit.h"

/* A level that a member reported is trusted for this long. */
#define LEVEL_FRESH_US (500 * JL_USEC_PER_MSEC)
/* An older level is probed until it expires at this age. */
#define LEVEL_EXPIRY_US (5 * JL_USEC_PER_SEC)
/* Of this many calls, one probes a member whose reported level is old. */
#define PROBE_DIVISOR 8
/* The load that a member reported decays to zero over this time. */
#define LOAD_DECAY_US (1 * JL_USEC_PER_SEC)
/*
 * The own target is used without comparison while it has fewer than this many
 * requests per 1000 slots.
 */
#define OWN_TARGET_LOAD_PERMILLE 500
/* Members of other zones are considered from this load on. */
#define SPILL_LOAD_PERMILLE 1000
/* A member of another zone has to be less loaded by at least this much. */
#define SPILL_MARGIN_PERMILLE 250
/* Share of the connections of a service that all entries together may use. */
#define SUBSET_PERCENT 80
/* Minimum number of members of a service that each entry uses. */
#define SUBSET_MEMBERS_MIN 4
/* Divisor of the slots that a new member counts with at first. */
#define COLD_START_DIVISOR 4
/* Interval at which the members are counted. */
#define COUNT_INTERVAL_US (1 * JL_USEC_PER_SEC)

/**
 * struct retry_hint - retry delay of the last overload refusal of a service
 * @received_us: time of the refusal
 */
struct retry_hint
{
  uint32_t retry_after_ms;
  uint64_t received_us;
};

/**
 * struct jl_place - state of placement
 * @same_zone: candidates of the own zone for the call being placed
 * @other_zones: candidates of other zones
 * @retry_hints: retry delay of the last overload refusal of each service
 * @daemon_count: number of members, counted at @counted_us
 */
struct jl_place
{
  GPtrArray *same_zone;
  GPtrArray *other_zones;
  struct retry_hint retry_hints[JL_SERVICE_MAX];
  uint32_t daemon_count;
  uint64_t counted_us;
};

struct jl_place *
jl_place_new (struct jl_core *core G_GNUC_UNUSED)
{
  struct jl_place *place = g_new0 (struct jl_place, 1);

  place->same_zone = g_ptr_array_new ();
  place->other_zones = g_ptr_array_new ();
  return place;
}

void
jl_place_drop (struct jl_place *place)
{
  g_ptr_array_free (place->same_zone, TRUE);
  g_ptr_array_free (place->other_zones, TRUE);
  g_free (place);
}

static bool
was_tried (const struct jl_call *call, uint64_t member)
{
  for (uint32_t i = 0; i < call->tried_count; i++)
    if (call->tried[i] == member)
      return true;
  return false;
}

static bool
is_self (const struct jl_core *core, const struct jl_member *member)
{
  return member->info.identity.member == core->identity.member;
}

/* Whether @member is known or assumed to refuse calls of @priority. */
static bool
is_refusing (struct jl_core *core,
             const struct jl_member *member,
             uint32_t priority)
{
  uint64_t age_us = core->now_us - member->level_us;

  if (core->options.mode != JL_CORE_FULL)
    return false;
  if (is_self (core, member))
    return priority >= jl_admit_level (core);
  if (member->level_us == 0 || priority < member->level
      || age_us > LEVEL_EXPIRY_US)
    return false;
  if (age_us <= LEVEL_FRESH_US || member->in_flight > 0)
    return true;
  return jl_random_below (core, PROBE_DIVISOR) != 0;
}

/*
 * Returns the number of slots with which the load of a member is computed. It
 * is reduced during the cold start of the member.
 */
static uint64_t
effective_slots (const struct jl_core *core, const struct jl_member *member)
{
  uint64_t slots = MAX (member->info.slots, 1);
  uint64_t age_us = core->now_us - member->first_seen_us;
  uint64_t cold_us = core->config->services[member->service].cold_start_us;
  uint64_t first = MAX (slots / COLD_START_DIVISOR, 1);

  if (age_us >= cold_us)
    return slots;
  return first + (slots - first) * age_us / cold_us;
}

/*
 * Estimates the requests per 1000 slots of a member from its last reported load
 * and the attempts in flight from here.
 */
static uint64_t
estimate_load_permille (struct jl_core *core, const struct jl_member *member)
{
  uint64_t age_us = core->now_us - member->load_us;
  uint64_t load
      = UINT64_C (1000) * member->in_flight / effective_slots (core, member);

  if (is_self (core, member))
    return jl_admit_load_permille (core);
  if (member->load_us > 0 && age_us < LOAD_DECAY_US)
    load += member->load_permille * (LOAD_DECAY_US - age_us) / LOAD_DECAY_US;
  return load;
}

/*
 * Returns the rank of @member in the rendezvous hashing of this daemon. Members
 * with lower ranks are preferred.
 */
static uint64_t
rank_of (const struct jl_core *core, struct jl_member *member)
{
  uint64_t id = member->info.identity.member;

  if (member->rank == 0)
    member->rank
        = XXH3_64bits_withSeed (&id, sizeof id, core->identity.member) | 1;
  return member->rank;
}

static uint32_t
count_daemons (struct jl_core *core)
{
  struct jl_place *place = core->place;

  if (place->daemon_count == 0
      || place->counted_us + COUNT_INTERVAL_US <= core->now_us)
    {
      place->daemon_count = MAX (jl_members_count (core), 1);
      place->counted_us = core->now_us;
    }
  return place->daemon_count;
}

/* Returns how many members of a service this daemon may use. */
static uint32_t
subset_size (struct jl_core *core, uint32_t members, uint64_t connections)
{
  uint64_t size = connections * SUBSET_PERCENT / 100 / count_daemons (core);

  return (uint32_t)CLAMP (size, MIN (SUBSET_MEMBERS_MIN, members), members);
}

/* Keeps the @count members with the lowest ranks and removes all others. */
static void
truncate_to_subset (struct jl_core *core, GPtrArray *members, uint32_t count)
{
  if (members->len <= count)
    return;
  for (uint32_t i = 0; i < count; i++)
    for (uint32_t j = i + 1; j < members->len; j++)
      {
        struct jl_member *first = g_ptr_array_index (members, i);
        struct jl_member *other = g_ptr_array_index (members, j);

        if (rank_of (core, other) >= rank_of (core, first))
          continue;
        g_ptr_array_index (members, i) = other;
        g_ptr_array_index (members, j) = first;
      }
  g_ptr_array_set_size (members, (int)count);
}

/* Returns the less loaded of two members chosen at random. */
static struct jl_member *
pick_less_loaded (struct jl_core *core, const GPtrArray *members)
{
  uint32_t first = jl_random_below (core, members->len);
  uint32_t second;
  struct jl_member *a = g_ptr_array_index (members, first);
  struct jl_member *b;

  if (members->len == 1)
    return a;
  second
      = (first + 1 + jl_random_below (core, members->len - 1)) % members->len;
  b = g_ptr_array_index (members, second);
  return estimate_load_permille (core, b) < estimate_load_permille (core, a)
             ? b
             : a;
}

/* Chooses a member from the candidates, of which there must be at least one. */
static struct jl_member *
choose_candidate (struct jl_core *core)
{
  const struct jl_place *place = core->place;
  struct jl_member *local;
  struct jl_member *remote;
  uint64_t load;

  if (place->same_zone->len == 0)
    return pick_less_loaded (core, place->other_zones);
  local = pick_less_loaded (core, place->same_zone);
  load = estimate_load_permille (core, local);
  if (load < SPILL_LOAD_PERMILLE || place->other_zones->len == 0)
    return local;
  remote = pick_less_loaded (core, place->other_zones);
  return estimate_load_permille (core, remote) + SPILL_MARGIN_PERMILLE <= load
             ? remote
             : local;
}

/* Returns the own member if it is a candidate and lightly loaded, else NULL. */
static struct jl_member *
find_own_target (struct jl_core *core)
{
  const GPtrArray *same_zone = core->place->same_zone;

  for (uint32_t i = 0; i < same_zone->len; i++)
    {
      struct jl_member *member = g_ptr_array_index (same_zone, i);

      if (is_self (core, member))
        return jl_admit_load_permille (core) < OWN_TARGET_LOAD_PERMILLE ? member
                                                                        : NULL;
    }
  return NULL;
}

static void
add_candidate (struct jl_core *core, struct jl_member *member)
{
  bool same_zone = strcmp (member->info.zone, core->options.zone) == 0;

  g_ptr_array_add (
      same_zone ? core->place->same_zone : core->place->other_zones, member);
}

uint32_t
jl_place_service (const struct jl_core *core, const struct jl_call *call)
{
  uint32_t service = call->config->kinds[call->kind].service;

  if (call->config == core->config)
    return service;
  return jl_config_find_service (core->config,
                                 call->config->services[service].name);
}

/*
 * Collects the members that admit the call as candidates. Members to which an
 * attempt of this daemon has failed recently are only included if
 * @include_ejected is true.
 *
 * Return: whether a member was excluded because it refuses the call's priority.
 */
static bool
collect_candidates (struct jl_core *core,
                    const struct jl_call *call,
                    struct cds_list_head *members,
                    bool include_ejected)
{
  struct jl_member *each;
  bool refused = false;

  g_ptr_array_set_size (core->place->same_zone, 0);
  g_ptr_array_set_size (core->place->other_zones, 0);
  cds_list_for_each_entry (each, members, by_service)
  {
    if (!jl_member_serves (each)
        || (!include_ejected && !jl_member_usable (core, each))
        || was_tried (call, each->info.identity.member))
      continue;
    if (is_refusing (core, each, call->priority))
      refused = true;
    else
      add_candidate (core, each);
  }
  return refused;
}

static uint32_t
service_subset_size (struct jl_core *core, struct cds_list_head *members)
{
  struct jl_member *each;
  uint64_t connections = 0;
  uint32_t count = 0;

  cds_list_for_each_entry (each, members, by_service)
  {
    connections += each->info.connections;
    count++;
  }
  return subset_size (core, count, connections);
}

static bool
has_candidates (const struct jl_place *place)
{
  return place->same_zone->len + place->other_zones->len > 0;
}

enum jl_place_status
jl_place_choose (struct jl_core *core,
                 const struct jl_call *call,
                 struct jl_member **member)
{
  struct jl_place *place = core->place;
  struct cds_list_head *members
      = jl_members_of_service (core, jl_place_service (core, call));
  uint32_t count;

  if (members == NULL)
    return JL_PLACE_NO_TARGET;
  if (collect_candidates (core, call, members, false)
      && !has_candidates (place))
    return JL_PLACE_REFUSED;
  /*
   * Includes ejected members, so that a failed attempt never excludes the last
   * target of a service.
   */
  if (!has_candidates (place) && collect_candidates (core, call, members, true)
      && !has_candidates (place))
    return JL_PLACE_REFUSED;
  if (!has_candidates (place))
    return JL_PLACE_NO_TARGET;
  *member = find_own_target (core);
  if (*member != NULL)
    return JL_PLACE_CHOSEN;
  count = service_subset_size (core, members);
  truncate_to_subset (core, place->same_zone, count);
  truncate_to_subset (core, place->other_zones,
                      MAX (count - place->same_zone->len, 1));
  *member = choose_candidate (core);
  return JL_PLACE_CHOSEN;
}

uint32_t
jl_place_level (struct jl_core *core, uint32_t service)
{
  struct cds_list_head *members = jl_members_of_service (core, service);
  struct jl_member *each;
  uint32_t level = 0;
  bool found = false;

  if (members == NULL)
    return JL_PRIORITY_COUNT;
  cds_list_for_each_entry (each, members, by_service)
  {
    if (!jl_member_usable (core, each))
      continue;
    if (is_self (core, each))
      level = MAX (level, jl_admit_level (core));
    else if (each->level_us == 0
             || each->level_us + 2 * LEVEL_FRESH_US < core->now_us)
      return JL_PRIORITY_COUNT;
    else
      level = MAX (level, each->level);
    found = true;
  }
  return found ? level : JL_PRIORITY_COUNT;
}

uint32_t
jl_place_retry_after_ms (struct jl_core *core, uint32_t service)
{
  const struct retry_hint *retry_hint;

  if (service >= JL_SERVICE_MAX)
    return 0;
  retry_hint = &core->place->retry_hints[service];
  if (retry_hint->retry_after_ms == 0
      || retry_hint->received_us + LEVEL_EXPIRY_US < core->now_us)
    return 0;
  return retry_hint->retry_after_ms / 2
         + jl_random_below (core, retry_hint->retry_after_ms);
}

void
jl_place_sent (struct jl_core *core G_GNUC_UNUSED, struct jl_member *member)
{
  member->in_flight++;
}

void
jl_place_result (struct jl_core *core,
                 struct jl_member *member,
                 const struct jl_event_call_result *event)
{
  if (member->in_flight > 0)
    member->in_flight--;
  if (event->result != JL_SEND_ANSWERED)
    return;
  if (event->outcome == JL_OUTCOME_NOT_RUN
      && event->reason == JL_REASON_OVERLOAD && member->service != JL_NONE)
    core->place->retry_hints[member->service]
        = (struct retry_hint){ event->retry_after_ms, core->now_us };
  member->load_permille = event->report.load_permille;
  member->load_us = core->now_us;
  for (uint32_t i = 0; i < event->report.count; i++)
    if (event->report.items[i].service == member->service)
      {
        member->level = event->report.items[i].level;
        member->level_us = core->now_us;
      }
}
