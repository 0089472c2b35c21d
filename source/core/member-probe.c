/**
 * DOC: Failure detection by probes.
 *
 * Several members are probed in each period, in a random order in which every
 * member occurs once. A member that does not answer is probed through other
 * members, then suspected, and declared dead unless it refutes the suspicion.
 * A probe tells a suspect or dead member that it is believed to be so.
 */

#include "member-impl.h"

/*
 * Time limit of a probe including its relays; also the interval at which dead
 * members are probed.
 */
#define PROBE_PERIOD_US (500 * JL_USEC_PER_MSEC)
/*
 * Members probed in a period. With several per daemon, a member that has failed
 * is soon probed by some daemon.
 */
#define PROBES_PER_PERIOD 4
/* A probe without an answer is relayed by other members after this time. */
#define DIRECT_PROBE_TIMEOUT_US (200 * JL_USEC_PER_MSEC)
/* Maximum number of members that are asked to relay a probe. */
#define RELAYS_PER_PROBE 3
/* A suspect member is declared dead after this time. */
#define SUSPICION_TIMEOUT_US (4 * JL_USEC_PER_SEC)
/*
 * After a pause of this process, a suspect member is declared dead only after
 * this further time, so that it can still refute the suspicion.
 */
#define PAUSED_SUSPICION_US (1 * JL_USEC_PER_SEC)

static void probe_expired (void *context, struct jl_timer *timer);

static void
send_probe (struct jl_core *core, struct jl_member *member)
{
  struct jl_message *message
      = jl_gossip_emit (core, JL_MESSAGE_PROBE, member->info.identity.member);

  member->probe_sequence = ++core->members->last_probe_sequence;
  member->probe_relayed = false;
  message->sequence = member->probe_sequence;
  jl_gossip_add_queued (core, message);
  jl_timer_start (core->timers, &member->probe_timeout,
                  core->now_us + DIRECT_PROBE_TIMEOUT_US, probe_expired, core);
}

static void
end_probe (struct jl_core *core, struct jl_member *member)
{
  member->probe_sequence = 0;
  jl_timer_stop (core->timers, &member->probe_timeout);
}

/* Asks other members to probe @member too. */
static void
send_relays (struct jl_core *core, struct jl_member *member)
{
  struct jl_member *relays[RELAYS_PER_PROBE];
  uint64_t id = member->info.identity.member;
  uint32_t count = jl_members_pick (core, id, relays, RELAYS_PER_PROBE);

  for (uint32_t i = 0; i < count; i++)
    {
      struct jl_message *message = jl_gossip_emit (
          core, JL_MESSAGE_PROBE_RELAY, relays[i]->info.identity.member);

      message->sequence = member->probe_sequence;
      message->subject = id;
      jl_gossip_add_queued (core, message);
    }
  member->probe_relayed = true;
  jl_timer_start (core->timers, &member->probe_timeout,
                  core->now_us + PROBE_PERIOD_US - DIRECT_PROBE_TIMEOUT_US,
                  probe_expired, core);
}

static void
suspect (struct jl_core *core, struct jl_member *member)
{
  jl_members_set_state (core, member, JL_MEMBER_SUSPECT);
  member->suspected_locally = true;
  send_probe (core, member);
}

static void
probe_expired (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_member *member
      = caa_container_of (timer, struct jl_member, probe_timeout);

  if (jl_members_timer_is_late (core, timer))
    {
      /* The acknowledgement may still be in the socket buffer. */
      send_probe (core, member);
      return;
    }
  /*
   * A daemon that was partitioned from all others must tell each of its
   * suspects directly, since its gossip reached no other member.
   */
  if (member->info.state == JL_MEMBER_SUSPECT && member->suspected_locally)
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
      = caa_container_of (timer, struct jl_member, suspicion_timeout);

  if (jl_members_timer_is_late (core, timer))
    jl_timer_start (core->timers, timer, core->now_us + PAUSED_SUSPICION_US,
                    suspicion_expired, core);
  else
    jl_members_set_state (core, member, JL_MEMBER_DEAD);
}

void
jl_probe_member_changed (struct jl_core *core, struct jl_member *member)
{
  if (member->info.state == JL_MEMBER_SUSPECT)
    jl_timer_start (core->timers, &member->suspicion_timeout,
                    core->now_us + SUSPICION_TIMEOUT_US, suspicion_expired,
                    core);
  else
    jl_timer_stop (core->timers, &member->suspicion_timeout);
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

/* Returns the next member in probing order; shuffles the order at its end. */
static struct jl_member *
next_in_order (struct jl_core *core)
{
  struct jl_members *members = core->members;

  if (members->next_probe_index >= members->probe_order->len)
    {
      shuffle (core, members->probe_order);
      members->next_probe_index = 0;
    }
  return g_ptr_array_index (members->probe_order, members->next_probe_index++);
}

/* Returns the next alive or suspect member to probe, or NULL for none. */
static struct jl_member *
next_to_probe (struct jl_core *core)
{
  for (guint i = core->members->probe_order->len; i > 0; i--)
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
  uint32_t others = members->probe_order->len;
  struct jl_member *member = NULL;

  if (!JL_SWITCHED_OFF (core, JL_MECHANISM_PROBES))
    member = next_to_probe (core);
  if (member != NULL)
    send_probe (core, member);
  jl_timer_start (core->timers, timer,
                  core->now_us
                      + PROBE_PERIOD_US / CLAMP (others, 1, PROBES_PER_PERIOD),
                  probe_next, core);
}

/* Returns a random dead member that is not being probed, or NULL. */
static struct jl_member *
pick_dead (struct jl_core *core)
{
  GPtrArray *order = core->members->probe_order;
  guint start = jl_members_random (core->members, order->len);

  for (guint i = 0; i < order->len; i++)
    {
      struct jl_member *member
          = g_ptr_array_index (order, (start + i) % order->len);

      if (member->info.state == JL_MEMBER_DEAD && !member->never_alive
          && member->probe_sequence == 0)
        return member;
    }
  return NULL;
}

/*
 * Probes a dead member at times, so that two partitions merge again. All
 * alive members together probe each dead member about once a period.
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
    member = pick_dead (core);
  if (member != NULL)
    send_probe (core, member);
  jl_timer_start (core->timers, timer, core->now_us + PROBE_PERIOD_US,
                  probe_dead, core);
}

void
jl_probe_start (struct jl_core *core, struct jl_members *members)
{
  jl_timer_start (core->timers, &members->probe,
                  core->now_us + jl_members_random (members, PROBE_PERIOD_US),
                  probe_next, core);
  jl_timer_start (core->timers, &members->dead_probe,
                  core->now_us + jl_members_random (members, PROBE_PERIOD_US),
                  probe_dead, core);
}

static void
send_ack (struct jl_core *core, const struct jl_message *probe)
{
  struct jl_message *ack
      = jl_gossip_emit (core, JL_MESSAGE_ACK, probe->from.member);

  ack->sequence = probe->sequence;
  ack->subject = probe->subject;
  if (core->members->send_self_info || probe->to.epoch != core->identity.epoch)
    jl_gossip_add (ack, core->members->self);
  core->members->send_self_info = false;
  jl_gossip_add_queued (core, ack);
}

/*
 * Probes the subject on behalf of the sender of @request. The acknowledgement
 * names that sender as its subject.
 */
static void
relay_probe (struct jl_core *core, const struct jl_message *request)
{
  struct jl_message *probe;

  if (request->subject == 0)
    return;
  probe = jl_gossip_emit (core, JL_MESSAGE_PROBE, request->subject);
  probe->sequence = request->sequence;
  probe->subject = request->from.member;
}

/* Forwards the acknowledgement of a relayed probe to its requester. */
static void
relay_ack (struct jl_core *core, const struct jl_message *ack)
{
  struct jl_message *message
      = jl_gossip_emit (core, JL_MESSAGE_RELAY_ACK, ack->subject);

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
jl_probe_handle_message (struct jl_core *core, const struct jl_message *message)
{
  if (message->type == JL_MESSAGE_PROBE)
    {
      send_ack (core, message);
      return;
    }
  /* Sequence numbers are valid only within one epoch of this daemon. */
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
jl_probe_unknown_sender (struct jl_core *core, uint64_t member)
{
  struct jl_message *probe = jl_gossip_emit (core, JL_MESSAGE_PROBE, member);

  probe->to.epoch = 0;
  jl_gossip_add (probe, core->members->self);
}
