/**
 * DOC: Finds out which members are gone.
 *
 * Several members are probed in each period, in a random order that every
 * member comes up in once. One that does not answer is probed through others,
 * then suspected, and taken for dead unless it refutes that. Whoever is held
 * for suspect or dead is told so by the probe itself.
 */

#include "member-impl.h"

#define PERIOD_US (500 * JL_USEC_PER_MSEC)
/* Probes in a period: a member that is gone is soon probed by someone. */
#define PROBES_PER_PERIOD 4
#define DIRECT_TIMEOUT_US (200 * JL_USEC_PER_MSEC)
#define RELAY_COUNT 3
#define SUSPICION_US (4 * JL_USEC_PER_SEC)
/* Suspicion left to run after this process was not running. */
#define LATE_SUSPICION_US (1 * JL_USEC_PER_SEC)

static void probe_expired (void *context, struct jl_timer *timer);

static void
send_probe (struct jl_core *core, struct jl_member *member)
{
  struct jl_message *message = jl_gossip_message (core, JL_MESSAGE_PROBE,
                                                  member->info.identity.member);

  member->probe_sequence = ++core->members->next_sequence;
  member->probe_relayed = false;
  message->sequence = member->probe_sequence;
  jl_gossip_fill (core, message);
  jl_timer_start (core->timers, &member->probe,
                  core->now_us + DIRECT_TIMEOUT_US, probe_expired, core);
}

static void
end_probe (struct jl_core *core, struct jl_member *member)
{
  member->probe_sequence = 0;
  jl_timer_stop (core->timers, &member->probe);
}

/* Asks others to probe @member too. */
static void
send_relays (struct jl_core *core, struct jl_member *member)
{
  struct jl_member *relays[RELAY_COUNT];
  uint64_t id = member->info.identity.member;
  uint32_t count = jl_members_pick (core, id, relays, RELAY_COUNT);

  for (uint32_t i = 0; i < count; i++)
    {
      struct jl_message *message = jl_gossip_message (
          core, JL_MESSAGE_PROBE_RELAY, relays[i]->info.identity.member);

      message->sequence = member->probe_sequence;
      message->subject = id;
      jl_gossip_fill (core, message);
    }
  member->probe_relayed = true;
  jl_timer_start (core->timers, &member->probe,
                  core->now_us + PERIOD_US - DIRECT_TIMEOUT_US, probe_expired,
                  core);
}

static void
suspect (struct jl_core *core, struct jl_member *member)
{
  jl_members_set_state (core, member, JL_MEMBER_SUSPECT);
  member->suspected_here = true;
  send_probe (core, member);
}

static void
probe_expired (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_member *member = caa_container_of (timer, struct jl_member, probe);

  if (jl_members_was_late (core, timer))
    {
      /* The answer may wait in the socket. */
      send_probe (core, member);
      return;
    }
  /*
   * Whoever was cut off alone must tell each of its suspects directly, since
   * nobody heard its news.
   */
  if (member->info.state == JL_MEMBER_SUSPECT && member->suspected_here)
    send_probe (core, member);
  else if (member->info.state != JL_MEMBER_ALIVE)
    member->probe_sequence = 0;
  else if (!member->probe_relayed)
    send_relays (core, member);
  else
    suspect (core, member);
}

static void
suspicion_expired (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_member *member
      = caa_container_of (timer, struct jl_member, suspicion);

  if (jl_members_was_late (core, timer))
    jl_timer_start (core->timers, timer, core->now_us + LATE_SUSPICION_US,
                    suspicion_expired, core);
  else
    jl_members_set_state (core, member, JL_MEMBER_DEAD);
}

void
jl_probe_changed (struct jl_core *core, struct jl_member *member)
{
  if (member->info.state == JL_MEMBER_SUSPECT)
    jl_timer_start (core->timers, &member->suspicion,
                    core->now_us + SUSPICION_US, suspicion_expired, core);
  else
    jl_timer_stop (core->timers, &member->suspicion);
  if (member->info.state == JL_MEMBER_LEFT)
    end_probe (core, member);
}

static void
shuffle (struct jl_core *core, GPtrArray *order)
{
  for (guint i = order->len; i > 1; i--)
    {
      guint j = jl_members_random (core->members, i);
      gpointer swapped = order->pdata[i - 1];

      order->pdata[i - 1] = order->pdata[j];
      order->pdata[j] = swapped;
    }
}

static struct jl_member *
next_in_order (struct jl_core *core)
{
  struct jl_members *members = core->members;

  if (members->next >= members->order->len)
    {
      shuffle (core, members->order);
      members->next = 0;
    }
  return g_ptr_array_index (members->order, members->next++);
}

/* The next member that is not dead, gone or being probed; NULL for none. */
static struct jl_member *
next_to_probe (struct jl_core *core)
{
  for (guint i = core->members->order->len; i > 0; i--)
    {
      struct jl_member *member = next_in_order (core);

      if (member->info.state <= JL_MEMBER_SUSPECT
          && member->probe_sequence == 0)
        return member;
    }
  return NULL;
}

static void
probe_next (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_members *members = core->members;
  uint32_t others = members->order->len;
  struct jl_member *member = NULL;

  if (!JL_SWITCHED_OFF (core, JL_MECHANISM_PROBES))
    member = next_to_probe (core);
  if (member != NULL)
    send_probe (core, member);
  jl_timer_start (core->timers, timer,
                  core->now_us
                      + PERIOD_US / CLAMP (others, 1, PROBES_PER_PERIOD),
                  probe_next, core);
}

/* A dead member, drawn from all of them; NULL for none. */
static struct jl_member *
draw_dead (struct jl_core *core)
{
  GPtrArray *order = core->members->order;
  guint start = jl_members_random (core->members, order->len);

  for (guint i = 0; i < order->len; i++)
    {
      struct jl_member *member
          = g_ptr_array_index (order, (start + i) % order->len);

      if (member->info.state == JL_MEMBER_DEAD && !member->hearsay
          && member->probe_sequence == 0)
        return member;
    }
  return NULL;
}

/*
 * Probes a dead member now and then, so that two halves join again. All
 * members together probe each dead one about once a period.
 */
static void
probe_dead (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  const uint32_t *count = core->members->count;
  struct jl_member *member = NULL;

  if (jl_members_random (core->members, MAX (count[JL_MEMBER_ALIVE], 1))
          < count[JL_MEMBER_DEAD]
      && !JL_SWITCHED_OFF (core, JL_MECHANISM_PROBES))
    member = draw_dead (core);
  if (member != NULL)
    send_probe (core, member);
  jl_timer_start (core->timers, timer, core->now_us + PERIOD_US, probe_dead,
                  core);
}

void
jl_probe_start (struct jl_core *core, struct jl_members *members)
{
  jl_timer_start (core->timers, &members->probe,
                  core->now_us + jl_members_random (members, PERIOD_US),
                  probe_next, core);
  jl_timer_start (core->timers, &members->slow_probe,
                  core->now_us + jl_members_random (members, PERIOD_US),
                  probe_dead, core);
}

static void
answer_probe (struct jl_core *core, const struct jl_message *probe)
{
  struct jl_message *ack
      = jl_gossip_message (core, JL_MESSAGE_ACK, probe->from.member);

  ack->sequence = probe->sequence;
  ack->subject = probe->subject;
  if (core->members->show_self || probe->to.epoch != core->identity.epoch)
    jl_gossip_add (ack, core->members->self);
  core->members->show_self = false;
  jl_gossip_fill (core, ack);
}

/* Probes the subject for the sender; the answer names the sender again. */
static void
relay_probe (struct jl_core *core, const struct jl_message *request)
{
  struct jl_message *probe;

  if (request->subject == 0)
    return;
  probe = jl_gossip_message (core, JL_MESSAGE_PROBE, request->subject);
  probe->sequence = request->sequence;
  probe->subject = request->from.member;
}

static void
relay_ack (struct jl_core *core, const struct jl_message *ack)
{
  struct jl_message *message
      = jl_gossip_message (core, JL_MESSAGE_RELAY_ACK, ack->subject);

  message->sequence = ack->sequence;
  message->subject = ack->from.member;
}

static void
handle_ack (struct jl_core *core, uint64_t id, uint64_t sequence)
{
  struct jl_member *member = jl_members_find (core, id);

  if (member != NULL && sequence != 0 && member->probe_sequence == sequence)
    end_probe (core, member);
}

void
jl_probe_message (struct jl_core *core, const struct jl_message *message)
{
  if (message->type == JL_MESSAGE_PROBE)
    {
      answer_probe (core, message);
      return;
    }
  /* Sequences of an earlier life mean nothing to this one. */
  if (message->to.epoch != core->identity.epoch)
    return;
  if (message->type == JL_MESSAGE_PROBE_RELAY)
    relay_probe (core, message);
  else if (message->type == JL_MESSAGE_RELAY_ACK)
    handle_ack (core, message->subject, message->sequence);
  else if (message->type == JL_MESSAGE_ACK && message->subject != 0)
    relay_ack (core, message);
  else if (message->type == JL_MESSAGE_ACK)
    handle_ack (core, message->from.member, message->sequence);
}

void
jl_probe_introduce (struct jl_core *core, uint64_t member)
{
  struct jl_message *probe = jl_gossip_message (core, JL_MESSAGE_PROBE, member);

  probe->to.epoch = 0;
  jl_gossip_add (probe, core->members->self);
}
