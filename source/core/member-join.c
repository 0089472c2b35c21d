/**
 * DOC: Gets the whole member list, and compares it with others' now and then.
 */

#include "member-impl.h"

#include <xxhash.h>

/* How often a seed is asked while no other member is known, and after. */
#define JOIN_INTERVAL_US (500 * JL_USEC_PER_MSEC)
#define JOIN_SLOW_INTERVAL_US (5 * JL_USEC_PER_SEC)
/* Seeds asked at a time. */
#define JOIN_COUNT 3
/* How often the list is compared with that of a member drawn at random. */
#define COMPARE_INTERVAL_US (10 * JL_USEC_PER_SEC)
#define COMPARE_JITTER_US (2 * JL_USEC_PER_SEC)
/* The same when news may have been missed. */
#define COMPARE_SOON_US (1 * JL_USEC_PER_SEC)
#define COMPARE_FIRST_US (2 * JL_USEC_PER_SEC)
/* Least time between two requests for the whole list of another. */
#define ASK_INTERVAL_US (2 * JL_USEC_PER_SEC)

static void
send_join (struct jl_core *core, uint64_t to, uint64_t digest)
{
  struct jl_message *message = jl_gossip_message (core, JL_MESSAGE_JOIN, to);

  message->sequence = digest;
  jl_gossip_add (message, core->members->self);
}

/* Whether a seed needs no asking: probes take care of it. */
static bool
is_known (struct jl_core *core, uint64_t seed)
{
  struct jl_member *member = jl_members_find (core, seed);

  return member != NULL && !member->hearsay
         && member->info.state != JL_MEMBER_LEFT;
}

static void
join_seeds (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_members *members = core->members;
  uint32_t asked = 0;
  bool alone = members->count[JL_MEMBER_ALIVE] <= 1;

  for (uint32_t i = 0; i < members->seed_count && asked < JOIN_COUNT; i++)
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

/* Makes room for a new seed where one is of no use, else at random. */
static uint32_t
seed_place (struct jl_core *core)
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
jl_members_seed (struct jl_core *core, struct jl_endpoint control)
{
  struct jl_members *members = core->members;
  uint64_t id = jl_member_id (control);

  if (id == core->identity.member || is_known (core, id))
    return;
  for (uint32_t i = 0; i < members->seed_count; i++)
    if (members->seeds[i] == id)
      return;
  members->seeds[seed_place (core)] = id;
  if (members->count[JL_MEMBER_ALIVE] <= 1)
    jl_timer_start (core->timers, &members->join, core->now_us, join_seeds,
                    core);
}

/* The same for two lists with the same members in the same lives. */
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
compare (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_member *member;

  if (jl_members_pick (core, 0, &member, 1) == 1)
    send_join (core, member->info.identity.member, list_digest (core));
  jl_timer_start (core->timers, timer,
                  core->now_us + COMPARE_INTERVAL_US
                      + jl_members_random (core->members, COMPARE_JITTER_US),
                  compare, core);
}

void
jl_join_start (struct jl_core *core, struct jl_members *members)
{
  jl_timer_start (core->timers, &members->join, core->now_us, join_seeds, core);
  jl_timer_start (core->timers, &members->sync,
                  core->now_us + COMPARE_FIRST_US
                      + jl_members_random (members, COMPARE_JITTER_US),
                  compare, core);
}

/* Sends the whole list in parts. */
static void
send_list (struct jl_core *core, uint64_t to)
{
  struct jl_message *message = NULL;
  struct jl_member *member;

  cds_list_for_each_entry (member, &core->members->all, all)
  {
    if (member->hearsay)
      continue;
    if (message == NULL)
      message = jl_gossip_message (core, JL_MESSAGE_SYNC, to);
    jl_gossip_add (message, member);
    if (message->update_count == JL_MESSAGE_UPDATE_MAX)
      message = NULL;
  }
}

/* Asks for the list of one whose list differs, but not too often. */
static void
ask_back (struct jl_core *core, uint64_t member)
{
  struct jl_members *members = core->members;

  if (members->asked_us != 0
      && core->now_us < members->asked_us + ASK_INTERVAL_US)
    return;
  members->asked_us = core->now_us;
  send_join (core, member, 0);
}

void
jl_join_message (struct jl_core *core, const struct jl_message *message)
{
  if (message->sequence != 0 && message->sequence == list_digest (core))
    return;
  send_list (core, message->from.member);
  if (message->sequence != 0)
    ask_back (core, message->from.member);
}

void
jl_join_compare_soon (struct jl_core *core)
{
  struct jl_timer *timer = &core->members->sync;

  if (timer->heap_position != 0
      && timer->due_us <= core->now_us + COMPARE_SOON_US)
    return;
  jl_timer_start (core->timers, timer,
                  core->now_us + COMPARE_SOON_US / 2
                      + jl_members_random (core->members, COMPARE_SOON_US / 2),
                  compare, core);
}
