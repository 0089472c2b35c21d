/**
 * DOC: Requests the full member list, and periodically compares it with the
 * lists of other members.
 */

#include "member-impl.h"

#include <xxhash.h>

/*
 * Interval of join requests while no other member is alive, and the longer
 * interval while a member is alive.
 */
#define JOIN_INTERVAL_US (500 * JL_USEC_PER_MSEC)
#define JOIN_SLOW_INTERVAL_US (5 * JL_USEC_PER_SEC)
/* Maximum number of seeds that join requests are sent to at a time. */
#define JOIN_SEEDS_MAX 3
/*
 * Minimum interval of list comparisons with a random member, and the maximum of
 * the random jitter that is added to it.
 */
#define COMPARE_INTERVAL_US (10 * JL_USEC_PER_SEC)
#define COMPARE_JITTER_US (2 * JL_USEC_PER_SEC)
/* Longest delay of a comparison when updates may have been missed. */
#define COMPARE_SOON_DELAY_MAX_US (1 * JL_USEC_PER_SEC)
/* Delay of the first comparison after the start. */
#define COMPARE_START_DELAY_US (2 * JL_USEC_PER_SEC)
/* Minimum time between two requests for the full list of another member. */
#define LIST_REQUEST_INTERVAL_US (2 * JL_USEC_PER_SEC)

/* Requests the full list; if @digest is not 0, only if the lists differ. */
static void
send_join (struct jl_core *core, uint64_t to, uint64_t digest)
{
  struct jl_message *message = jl_gossip_emit (core, JL_MESSAGE_JOIN, to);

  message->sequence = digest;
  jl_gossip_add (message, core->members->self);
}

/* Whether a seed is already a known member, which needs no join request. */
static bool
is_known (struct jl_core *core, uint64_t seed)
{
  struct jl_member *member = jl_members_find (core, seed);

  /* Alive, suspect and dead members are probed, so they need no request. */
  return member != NULL && !member->never_alive
         && member->info.state != JL_MEMBER_LEFT;
}

static void
join_seeds (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_members *members = core->members;
  uint32_t asked = 0;
  bool alone = members->count[JL_MEMBER_ALIVE] <= 1;

  for (uint32_t i = 0; i < members->seed_count && asked < JOIN_SEEDS_MAX; i++)
    {
      uint64_t seed
          = members->seeds[members->next_seed++ % members->seed_count];

      if (is_known (core, seed))
        continue;
      send_join (core, seed, 0);
      asked++;
    }
  jl_timer_start (core->timers, timer,
                  core->now_us
                      + (alone ? JOIN_INTERVAL_US : JOIN_SLOW_INTERVAL_US),
                  join_seeds, core);
}

/*
 * Returns the index for a new seed. When all slots are in use, it replaces a
 * seed that is already a member, or else a random one.
 */
static uint32_t
allocate_seed_slot (struct jl_core *core)
{
  struct jl_members *members = core->members;

  if (members->seed_count < JL_MEMBER_SEED_MAX)
    return members->seed_count++;
  for (uint32_t i = 0; i < members->seed_count; i++)
    if (is_known (core, members->seeds[i]))
      return i;
  return jl_members_random (core->members, members->seed_count);
}

void
jl_members_add_seed (struct jl_core *core, struct jl_endpoint control)
{
  struct jl_members *members = core->members;
  uint64_t id = jl_member_id (control);

  if (id == core->identity.member || is_known (core, id))
    return;
  for (uint32_t i = 0; i < members->seed_count; i++)
    if (members->seeds[i] == id)
      return;
  members->seeds[allocate_seed_slot (core)] = id;
  if (members->count[JL_MEMBER_ALIVE] <= 1)
    jl_timer_start (core->timers, &members->join, core->now_us, join_seeds,
                    core);
}

/*
 * Returns a digest of the alive and suspect members with their epochs and
 * incarnations. It does not depend on the order of the list.
 */
static uint64_t
list_digest (struct jl_core *core)
{
  struct jl_member *member;
  uint64_t digest = 0;

  cds_list_for_each_entry (member, &core->members->all, all)
  {
    uint64_t words[3]
        = { member->info.identity.member, member->info.identity.epoch,
            member->info.incarnation };

    if (member->info.state <= JL_MEMBER_SUSPECT)
      digest += XXH3_64bits (words, sizeof words);
  }
  return digest;
}

static void
compare_lists (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_member *member;

  if (jl_members_pick (core, 0, &member, 1) == 1)
    send_join (core, member->info.identity.member, list_digest (core));
  jl_timer_start (core->timers, timer,
                  core->now_us + COMPARE_INTERVAL_US
                      + jl_members_random (core->members, COMPARE_JITTER_US),
                  compare_lists, core);
}

void
jl_join_start (struct jl_core *core, struct jl_members *members)
{
  jl_timer_start (core->timers, &members->join, core->now_us, join_seeds, core);
  jl_timer_start (core->timers, &members->compare,
                  core->now_us + COMPARE_START_DELAY_US
                      + jl_members_random (members, COMPARE_JITTER_US),
                  compare_lists, core);
}

/* Sends the full member list in as many messages as it takes. */
static void
send_list (struct jl_core *core, uint64_t to)
{
  struct jl_message *message = NULL;
  struct jl_member *member;

  cds_list_for_each_entry (member, &core->members->all, all)
  {
    if (member->never_alive)
      continue;
    if (message == NULL)
      message = jl_gossip_emit (core, JL_MESSAGE_SYNC, to);
    jl_gossip_add (message, member);
    if (message->update_count == JL_MESSAGE_UPDATE_MAX)
      message = NULL;
  }
}

/* Requests the list of a member whose list differs, at a limited rate. */
static void
request_list (struct jl_core *core, uint64_t member)
{
  struct jl_members *members = core->members;

  if (members->list_requested_us != 0
      && core->now_us < members->list_requested_us + LIST_REQUEST_INTERVAL_US)
    return;
  members->list_requested_us = core->now_us;
  send_join (core, member, 0);
}

void
jl_join_handle_request (struct jl_core *core, const struct jl_message *message)
{
  if (message->sequence != 0 && message->sequence == list_digest (core))
    return;
  send_list (core, message->from.member);
  if (message->sequence != 0)
    request_list (core, message->from.member);
}

void
jl_join_schedule_compare (struct jl_core *core)
{
  struct jl_timer *timer = &core->members->compare;

  if (timer->heap_position != 0
      && timer->due_us <= core->now_us + COMPARE_SOON_DELAY_MAX_US)
    return;
  jl_timer_start (
      core->timers, timer,
      core->now_us + COMPARE_SOON_DELAY_MAX_US / 2
          + jl_members_random (core->members, COMPARE_SOON_DELAY_MAX_US / 2),
      compare_lists, core);
}
