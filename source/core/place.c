/**
 * DOC: Placement by zone, rank and two random choices.
 */

#include "place.h"

#include <string.h>
#include <xxhash.h>

#include "admit.h"

/* What an answer said of a member's level holds this long. */
#define LEVEL_FRESH_US (500 * JL_USEC_PER_MSEC)
/* After that it is tried out, and forgotten after this long. */
#define LEVEL_KEEP_US (5 * JL_USEC_PER_SEC)
/* Of the calls that could try out a member, one in this many does. */
#define TRIAL_SHARE 8
/* Load that a member reported fades over this time. */
#define LOAD_FADE_US (1 * JL_USEC_PER_SEC)
/* Requests in progress for 1000 slots, below which the own target is taken. */
#define OWN_LOAD_PERMILLE 500
/* The same, from which on members of other zones are looked at. */
#define SPILL_LOAD_PERMILLE 1000
/* How much less loaded these have to be. */
#define SPILL_MARGIN_PERMILLE 250
/* Share of a service's connections that all entries together may take. */
#define SUBSET_PERCENT 80
/* Members of a service that each entry uses at least. */
#define SUBSET_MIN 4
/* A new member counts as having one part in this many of its slots. */
#define COLD_SHARE 4
/* How often the members are counted. */
#define COUNT_INTERVAL_US (1 * JL_USEC_PER_SEC)

/**
 * struct hint - when callers of a service are to come back
 */
struct hint
{
  uint32_t retry_after_ms;
  uint64_t heard_us;
};

/**
 * struct jl_place - lists for one choice
 * @near: members of the own zone that take the call
 * @far: those of other zones
 * @hints: the last refusal for overload by each service
 * @daemons: number of members, counted at @counted_us
 */
struct jl_place
{
  GPtrArray *near;
  GPtrArray *far;
  struct hint hints[JL_SERVICE_MAX];
  uint32_t daemons;
  uint64_t counted_us;
};

struct jl_place *
jl_place_new (struct jl_core *core G_GNUC_UNUSED)
{
  struct jl_place *place = g_new0 (struct jl_place, 1);

  place->near = g_ptr_array_new ();
  place->far = g_ptr_array_new ();
  return place;
}

void
jl_place_drop (struct jl_place *place)
{
  g_ptr_array_free (place->near, TRUE);
  g_ptr_array_free (place->far, TRUE);
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

/* Whether @member refuses calls of @priority, as far as is known. */
static bool
refuses (struct jl_core *core,
         const struct jl_member *member,
         uint32_t priority)
{
  uint64_t age_us = core->now_us - member->level_us;

  if (core->options.mode != JL_CORE_FULL)
    return false;
  if (is_self (core, member))
    return priority >= jl_admit_level (core);
  if (member->level_us == 0 || priority < member->level
      || age_us > LEVEL_KEEP_US)
    return false;
  if (age_us <= LEVEL_FRESH_US || member->in_flight > 0)
    return true;
  return jl_random_below (core, TRIAL_SHARE) != 0;
}

/* Slots that a member is taken to have; fewer while it is new. */
static uint64_t
slots_of (const struct jl_core *core, const struct jl_member *member)
{
  uint64_t slots = MAX (member->info.slots, 1);
  uint64_t age_us = core->now_us - member->first_seen_us;
  uint64_t cold_us = core->config->services[member->service].cold_start_us;
  uint64_t first = MAX (slots / COLD_SHARE, 1);

  if (age_us >= cold_us)
    return slots;
  return first + (slots - first) * age_us / cold_us;
}

/* Requests in progress for 1000 slots, by what is known here. */
static uint64_t
load_of (struct jl_core *core, const struct jl_member *member)
{
  uint64_t age_us = core->now_us - member->load_us;
  uint64_t load = UINT64_C (1000) * member->in_flight / slots_of (core, member);

  if (is_self (core, member))
    return jl_admit_load (core);
  if (member->load_us > 0 && age_us < LOAD_FADE_US)
    load += member->load_permille * (LOAD_FADE_US - age_us) / LOAD_FADE_US;
  return load;
}

/* Place of @member among those of its service, as this daemon sees them. */
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

  if (place->daemons == 0
      || place->counted_us + COUNT_INTERVAL_US <= core->now_us)
    {
      place->daemons = MAX (jl_members_count (core), 1);
      place->counted_us = core->now_us;
    }
  return place->daemons;
}

/* How many members of a service this daemon may use. */
static uint32_t
subset_size (struct jl_core *core, uint32_t members, uint64_t connections)
{
  uint64_t size = connections * SUBSET_PERCENT / 100 / count_daemons (core);

  return (uint32_t)CLAMP (size, MIN (SUBSET_MIN, members), members);
}

/* Moves the @count first by rank to the front, and cuts off the others. */
static void
cut_to_subset (struct jl_core *core, GPtrArray *members, uint32_t count)
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

/* The less loaded of two that are drawn at random. */
static struct jl_member *
draw (struct jl_core *core, const GPtrArray *members)
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
  return load_of (core, b) < load_of (core, a) ? b : a;
}

/* Chooses from the lists of candidates, of which one is not empty. */
static struct jl_member *
choose (struct jl_core *core)
{
  const struct jl_place *place = core->place;
  struct jl_member *near;
  struct jl_member *far;
  uint64_t load;

  if (place->near->len == 0)
    return draw (core, place->far);
  near = draw (core, place->near);
  load = load_of (core, near);
  if (load < SPILL_LOAD_PERMILLE || place->far->len == 0)
    return near;
  far = draw (core, place->far);
  return load_of (core, far) + SPILL_MARGIN_PERMILLE <= load ? far : near;
}

/* Whether the own target is among the candidates and has slots to spare. */
static struct jl_member *
find_own (struct jl_core *core)
{
  const GPtrArray *near = core->place->near;

  for (uint32_t i = 0; i < near->len; i++)
    {
      struct jl_member *member = g_ptr_array_index (near, i);

      if (is_self (core, member))
        return jl_admit_load (core) < OWN_LOAD_PERMILLE ? member : NULL;
    }
  return NULL;
}

static void
add_candidate (struct jl_core *core, struct jl_member *member)
{
  bool near = strcmp (member->info.zone, core->options.zone) == 0;

  g_ptr_array_add (near ? core->place->near : core->place->far, member);
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
 * Fills the lists with members that take the call; @ejected says whether
 * those count to which a sending of ours has just failed.
 *
 * Return: true when some member was left out because it refuses the call.
 */
static bool
gather (struct jl_core *core,
        const struct jl_call *call,
        struct cds_list_head *members,
        bool ejected)
{
  struct jl_member *each;
  bool refused = false;

  g_ptr_array_set_size (core->place->near, 0);
  g_ptr_array_set_size (core->place->far, 0);
  cds_list_for_each_entry (each, members, by_service)
  {
    if (!jl_member_serves (each) || (!ejected && !jl_member_usable (core, each))
        || was_tried (call, each->info.identity.member))
      continue;
    if (refuses (core, each, call->priority))
      refused = true;
    else
      add_candidate (core, each);
  }
  return refused;
}

static uint32_t
subset_of (struct jl_core *core, struct cds_list_head *members)
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
  return place->near->len + place->far->len > 0;
}

enum jl_place_verdict
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
  if (gather (core, call, members, false) && !has_candidates (place))
    return JL_PLACE_REFUSED;
  /* One broken connection does not bar the last target of a service. */
  if (!has_candidates (place) && gather (core, call, members, true)
      && !has_candidates (place))
    return JL_PLACE_REFUSED;
  if (!has_candidates (place))
    return JL_PLACE_NO_TARGET;
  *member = find_own (core);
  if (*member != NULL)
    return JL_PLACE_CHOSEN;
  count = subset_of (core, members);
  cut_to_subset (core, place->near, count);
  cut_to_subset (core, place->far, MAX (count - place->near->len, 1));
  *member = choose (core);
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
jl_place_retry_after (struct jl_core *core, uint32_t service)
{
  const struct hint *hint;

  if (service >= JL_SERVICE_MAX)
    return 0;
  hint = &core->place->hints[service];
  if (hint->retry_after_ms == 0
      || hint->heard_us + LEVEL_KEEP_US < core->now_us)
    return 0;
  return hint->retry_after_ms / 2
         + jl_random_below (core, hint->retry_after_ms);
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
    core->place->hints[member->service]
        = (struct hint){ event->retry_after_ms, core->now_us };
  member->load_permille = event->report.load_permille;
  member->load_us = core->now_us;
  for (uint32_t i = 0; i < event->report.count; i++)
    if (event->report.items[i].service == member->service)
      {
        member->level = event->report.items[i].level;
        member->level_us = core->now_us;
      }
}
