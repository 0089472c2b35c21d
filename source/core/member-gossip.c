/**
 * DOC: Gossip of member updates.
 *
 * A changed entry is pushed to a few members at once, each of which pushes it
 * on in the same way. It is then piggybacked on a limited number of probes and
 * acknowledgements, so that messages are short while nothing changes.
 */

#include "member-impl.h"

#include "poison.h"

/* Number of members that an update is pushed to. */
#define PUSH_FANOUT 4
/* Number of members that an update of this daemon itself is pushed to. */
#define PUSH_FANOUT_SELF 8
/* An update that was queued longer ago is sent after all recent ones. */
#define RECENT_UPDATE_US (3 * JL_USEC_PER_SEC)
/* Maximum delay of an update that waits to be pushed together with others. */
#define PUSH_DELAY_MAX_US (20 * JL_USEC_PER_MSEC)
/* Minimum time between two pushes. */
#define PUSH_INTERVAL_US (100 * JL_USEC_PER_MSEC)
/* Delay before the next try when no member is alive to push updates to. */
#define PUSH_RETRY_US (500 * JL_USEC_PER_MSEC)
/* Messages that carry an update, per bit of the number of alive members. */
#define SENDS_PER_LOG2_MEMBERS 3

static uint64_t
config_version (const struct jl_core *core)
{
  return core->config == NULL ? 0 : core->config->version;
}

struct jl_message *
jl_gossip_emit (struct jl_core *core, enum jl_message_type type, uint64_t to)
{
  struct jl_effect_message *effect = jl_emit (core, JL_EFFECT_MESSAGE)->message;
  struct jl_message *message = &effect->message;
  struct jl_member *member = jl_members_find (core, to);

  effect->to = jl_member_endpoint (to);
  message->type = type;
  message->from = core->identity;
  message->to.member = to;
  message->config_version = config_version (core);
  if (core->config != NULL)
    message->config_digest = core->config->digest;
  jl_poison_fill_message (core, message);
  core->counts.messages_sent++;
  if (member == NULL)
    return message;
  message->to = member->info.identity;
  if (member->info.state == JL_MEMBER_SUSPECT
      || member->info.state == JL_MEMBER_DEAD)
    jl_gossip_add (message, member);
  return message;
}

static bool
has_update (const struct jl_message *message, uint64_t member)
{
  for (uint32_t i = 0; i < message->update_count; i++)
    if (message->updates[i].identity.member == member)
      return true;
  return false;
}

void
jl_gossip_add (struct jl_message *message, const struct jl_member *member)
{
  if (message->update_count < JL_MESSAGE_UPDATE_MAX
      && !has_update (message, member->info.identity.member))
    message->updates[message->update_count++] = member->info;
}

/* Removes @member from the list of queued updates that holds it. */
static void
dequeue_update (struct jl_members *members, struct jl_member *member)
{
  if (member->gossip_sends_left == 0)
    return;
  member->gossip_sends_left = 0;
  members->queued_update_count--;
  cds_list_del_init (&member->gossip_link);
}

/*
 * Counts one message that carries the update of @member, and moves the update
 * behind the others, to the older updates if it is no longer recent.
 */
static void
record_send (struct jl_core *core, struct jl_member *member)
{
  struct jl_members *members = core->members;
  bool is_old = core->now_us > member->gossip_queued_us + RECENT_UPDATE_US;

  if (member->gossip_sends_left == 1)
    {
      dequeue_update (members, member);
      return;
    }
  member->gossip_sends_left--;
  cds_list_del (&member->gossip_link);
  cds_list_add_tail (&member->gossip_link, is_old ? &members->older_updates
                                                  : &members->recent_updates);
}

/* Recent updates come before older ones. */
static struct jl_member *
first_update (struct jl_members *members)
{
  if (!cds_list_empty (&members->recent_updates))
    return cds_list_first_entry (&members->recent_updates, struct jl_member,
                                 gossip_link);
  return cds_list_first_entry (&members->older_updates, struct jl_member,
                               gossip_link);
}

void
jl_gossip_add_queued (struct jl_core *core, struct jl_message *message)
{
  struct jl_members *members = core->members;
  uint32_t max = MIN (members->queued_update_count, JL_MEMBER_PIGGYBACK_MAX);

  for (uint32_t i = 0; i < max; i++)
    {
      struct jl_member *member = first_update (members);

      if (member->info.identity.member != message->to.member)
        jl_gossip_add (message, member);
      record_send (core, member);
    }
}

/*
 * Collects the members with a pending push, as many as fit into one message
 * beside the update of the receiver that jl_gossip_emit() may add.
 * @more: set if further members are pending
 */
static uint32_t
collect_pending (struct jl_members *members,
                 struct jl_member **pending,
                 bool *more)
{
  struct jl_member *member;
  uint32_t count = 0;

  *more = false;
  cds_list_for_each_entry (member, &members->all, all)
  {
    if (!member->push_pending)
      continue;
    if (count == JL_MESSAGE_UPDATE_MAX - 1)
      {
        *more = true;
        return count;
      }
    pending[count++] = member;
  }
  return count;
}

static void
send_updates (struct jl_core *core,
              uint64_t to,
              struct jl_member *const *pending,
              uint32_t count)
{
  struct jl_message *message = jl_gossip_emit (core, JL_MESSAGE_SYNC, to);

  for (uint32_t i = 0; i < count; i++)
    jl_gossip_add (message, pending[i]);
}

static void push (void *context, struct jl_timer *timer);

static void
push_to (struct jl_core *core, uint32_t fanout)
{
  struct jl_members *members = core->members;
  struct jl_member *pending[JL_MESSAGE_UPDATE_MAX];
  struct jl_member *targets[PUSH_FANOUT_SELF];
  uint32_t target_count = jl_members_pick (core, 0, targets, fanout);
  bool more;
  uint32_t count = collect_pending (members, pending, &more);

  if (count == 0)
    return;
  if (target_count == 0)
    {
      jl_timer_start (core->timers, &members->push,
                      core->now_us + PUSH_RETRY_US, push, core);
      return;
    }
  for (uint32_t i = 0; i < target_count; i++)
    send_updates (core, targets[i]->info.identity.member, pending, count);
  for (uint32_t i = 0; i < count; i++)
    pending[i]->push_pending = false;
  members->last_push_us = core->now_us;
  if (!more)
    return;
  /* With so many updates at a time, some members may miss some of them. */
  jl_join_schedule_compare (core);
  jl_timer_start (core->timers, &members->push, core->now_us + PUSH_INTERVAL_US,
                  push, core);
}

static void
push (void *context, struct jl_timer *timer G_GNUC_UNUSED)
{
  push_to (context, PUSH_FANOUT);
}

void
jl_gossip_queue (struct jl_core *core, struct jl_member *member)
{
  struct jl_members *members = core->members;
  uint64_t due_us
      = core->now_us + jl_members_random (core->members, PUSH_DELAY_MAX_US);
  uint32_t bits = g_bit_storage (members->count[JL_MEMBER_ALIVE]);

  member->push_pending = true;
  dequeue_update (members, member);
  member->gossip_queued_us = core->now_us;
  member->gossip_sends_left = SENDS_PER_LOG2_MEMBERS * bits;
  members->queued_update_count++;
  cds_list_add (&member->gossip_link, &members->recent_updates);
  if (members->push.heap_position != 0)
    return;
  if (members->last_push_us != 0)
    due_us = MAX (due_us, members->last_push_us + PUSH_INTERVAL_US);
  jl_timer_start (core->timers, &members->push, due_us, push, core);
}

void
jl_gossip_remove (struct jl_core *core, struct jl_member *member)
{
  dequeue_update (core->members, member);
}

void
jl_gossip_push_now (struct jl_core *core)
{
  jl_timer_stop (core->timers, &core->members->push);
  push_to (core, PUSH_FANOUT_SELF);
}

void
jl_gossip_push_version (struct jl_core *core)
{
  struct jl_member *targets[PUSH_FANOUT];
  uint32_t count = jl_members_pick (core, 0, targets, PUSH_FANOUT);

  for (uint32_t i = 0; i < count; i++)
    jl_gossip_emit (core, JL_MESSAGE_SYNC, targets[i]->info.identity.member);
}
