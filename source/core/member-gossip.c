/**
 * DOC: Spreads news of members.
 *
 * A change is pushed to a few members at once, each of which does the same,
 * and then rides on a limited number of probes and acknowledgements, so that
 * messages are short when there is no news.
 */

#include "member-impl.h"

#include "poison.h"

/* Members that a change is pushed to. */
#define PUSH_FANOUT 4
/* Members that a change of this daemon itself is pushed to. */
#define PUSH_FANOUT_SELF 8
/* News that is older gives way to younger news. */
#define FRESH_US (3 * JL_USEC_PER_SEC)
/* News waits this long at most for more of it. */
#define PUSH_DELAY_US (20 * JL_USEC_PER_MSEC)
/* Least time between two pushes. */
#define PUSH_INTERVAL_US (100 * JL_USEC_PER_MSEC)
/* News waits this long for a member to push it to. */
#define ALONE_INTERVAL_US (500 * JL_USEC_PER_MSEC)
/* Messages that carry an update, times the binary logarithm of members. */
#define REPEAT_FACTOR 3

static uint64_t
config_version (const struct jl_core *core)
{
  return core->config == NULL ? 0 : core->config->version;
}

struct jl_message *
jl_gossip_message (struct jl_core *core, enum jl_message_type type, uint64_t to)
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

/* Takes @member out of its list of news. */
static void
drop_news (struct jl_members *members, struct jl_member *member)
{
  if (member->gossip_left == 0)
    return;
  member->gossip_left = 0;
  members->news_count--;
  cds_list_del_init (&member->news);
}

/* Counts one message that carries @member, and lets others go before it. */
static void
count_sent (struct jl_core *core, struct jl_member *member)
{
  struct jl_members *members = core->members;
  bool is_old = core->now_us > member->news_us + FRESH_US;

  if (member->gossip_left == 1)
    {
      drop_news (members, member);
      return;
    }
  member->gossip_left--;
  cds_list_del (&member->news);
  cds_list_add_tail (&member->news,
                     is_old ? &members->old_news : &members->fresh_news);
}

static struct jl_member *
first_news (struct jl_members *members)
{
  if (!cds_list_empty (&members->fresh_news))
    return cds_list_first_entry (&members->fresh_news, struct jl_member, news);
  return cds_list_first_entry (&members->old_news, struct jl_member, news);
}

void
jl_gossip_fill (struct jl_core *core, struct jl_message *message)
{
  struct jl_members *members = core->members;
  uint32_t max = MIN (members->news_count, JL_MEMBER_PIGGYBACK_MAX);

  for (uint32_t i = 0; i < max; i++)
    {
      struct jl_member *member = first_news (members);

      if (member->info.identity.member != message->to.member)
        jl_gossip_add (message, member);
      count_sent (core, member);
    }
}

/* Takes up to a message full of members that are due into @due. */
static uint32_t
collect_due (struct jl_members *members, struct jl_member **due, bool *more)
{
  struct jl_member *member;
  uint32_t count = 0;

  *more = false;
  cds_list_for_each_entry (member, &members->all, all)
  {
    if (!member->push_due)
      continue;
    if (count == JL_MESSAGE_UPDATE_MAX - 1)
      {
        *more = true;
        return count;
      }
    due[count++] = member;
  }
  return count;
}

static void
send_due (struct jl_core *core,
          uint64_t to,
          struct jl_member *const *due,
          uint32_t count)
{
  struct jl_message *message = jl_gossip_message (core, JL_MESSAGE_SYNC, to);

  for (uint32_t i = 0; i < count; i++)
    jl_gossip_add (message, due[i]);
}

static void push (void *context, struct jl_timer *timer);

static void
push_to (struct jl_core *core, uint32_t fanout)
{
  struct jl_members *members = core->members;
  struct jl_member *due[JL_MESSAGE_UPDATE_MAX];
  struct jl_member *targets[PUSH_FANOUT_SELF];
  uint32_t target_count = jl_members_pick (core, 0, targets, fanout);
  bool more;
  uint32_t count = collect_due (members, due, &more);

  if (count == 0)
    return;
  if (target_count == 0)
    {
      jl_timer_start (core->timers, &members->push,
                      core->now_us + ALONE_INTERVAL_US, push, core);
      return;
    }
  for (uint32_t i = 0; i < target_count; i++)
    send_due (core, targets[i]->info.identity.member, due, count);
  for (uint32_t i = 0; i < count; i++)
    due[i]->push_due = false;
  members->pushed_us = core->now_us;
  if (!more)
    return;
  /* In a flood of news some of it is missed. */
  jl_join_compare_soon (core);
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
      = core->now_us + jl_members_random (core->members, PUSH_DELAY_US);
  uint32_t bits = g_bit_storage (members->count[JL_MEMBER_ALIVE]);

  member->push_due = true;
  drop_news (members, member);
  member->news_us = core->now_us;
  member->gossip_left = REPEAT_FACTOR * bits;
  members->news_count++;
  cds_list_add (&member->news, &members->fresh_news);
  if (members->push.heap_position != 0)
    return;
  if (members->pushed_us != 0)
    due_us = MAX (due_us, members->pushed_us + PUSH_INTERVAL_US);
  jl_timer_start (core->timers, &members->push, due_us, push, core);
}

void
jl_gossip_forget (struct jl_core *core, struct jl_member *member)
{
  drop_news (core->members, member);
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
    jl_gossip_message (core, JL_MESSAGE_SYNC, targets[i]->info.identity.member);
}
