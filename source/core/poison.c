/**
 * DOC: Strikes against content that was in progress when a target died: what
 * the reducer adds to policy/suspect.h, which keeps them.
 */

#include "poison.h"

#include <string.h>

#include "admit.h"
#include "member.h"
#include "policy/suspect.h"

/* Number of gossip messages in which each strike is sent. */
#define GOSSIP_MESSAGES_PER_STRIKE 40
/* Maximum number of contents that are searched to fill one message. */
#define GOSSIP_SUSPECTS_MAX 64
/*
 * Strikes of the own target are batched for this long before the daemons of the
 * own service are notified.
 */
#define NOTIFY_DELAY_US (1 * JL_USEC_PER_MSEC)
/*
 * Content that was answered within this time gets no strike unless it is
 * suspect when it runs.
 */
#define ANSWERED_EXPIRY_US (60 * JL_USEC_PER_SEC)
#define ANSWERED_SLOTS 1024

/* Content with strikes on two different targets is refused until the strikes
 * expire. A strike on the same target is gossiped again after some seconds. */
static const struct jl_suspect_limits limits = {
  .suspect_ends = 1,
  .refuse_ends = 2,
  .clear_answers = 1,
  .strike_us = 300 * JL_USEC_PER_SEC,
  .expiry_us = 300 * JL_USEC_PER_SEC,
  .repeat_us = 5 * JL_USEC_PER_SEC,
};

/**
 * struct answered - content that was recently answered
 */
struct answered
{
  uint64_t digest;
  uint64_t answered_us;
};

/**
 * struct jl_poison - all strikes
 * @suspects: the strikes by digest; the owner's fields of each strike and
 *            content say what is still to be gossiped
 * @has_blamed_process: whether @blamed_started is set
 * @blamed_started: start time of the last target process whose death is
 *                  attributed to a suspect request; no other request gets a
 *                  strike for it
 * @answered: recently answered contents, indexed by digest
 */
struct jl_poison
{
  struct jl_suspects suspects;
  bool has_blamed_process;
  uint64_t blamed_started;
  struct answered answered[ANSWERED_SLOTS];
  struct jl_timer expiry_timer;
  struct jl_timer notify_timer;
};

struct jl_poison *
jl_poison_new (struct jl_core *core G_GNUC_UNUSED)
{
  struct jl_poison *poison = g_new0 (struct jl_poison, 1);

  jl_suspects_init (&poison->suspects, &limits);
  return poison;
}

void
jl_poison_drop (struct jl_poison *poison)
{
  jl_suspects_clear (&poison->suspects);
  g_free (poison);
}

static void
expire_suspects (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_suspects *suspects = &core->poison->suspects;
  uint64_t due_us;

  jl_suspects_expire (suspects, core->now_us);
  due_us = jl_suspects_next_expiry (suspects);
  if (due_us != UINT64_MAX)
    jl_timer_start (core->timers, timer, due_us, expire_suspects, core);
}

static void
start_expiry_timer (struct jl_core *core)
{
  struct jl_poison *poison = core->poison;

  if (poison->expiry_timer.heap_position == 0)
    jl_timer_start (core->timers, &poison->expiry_timer,
                    jl_suspects_next_expiry (&poison->suspects),
                    expire_suspects, core);
}

/*
 * Logs each strike by the own target, and a strike by any target with which the
 * content reaches the limit.
 */
static void
log_strike (struct jl_core *core, uint64_t digest, uint64_t target)
{
  uint32_t strikes = jl_poison_strikes (core, digest);

  if (target == core->identity.member || strikes == limits.refuse_ends)
    jl_log_event (core, JL_LOG_STRIKE, digest, strikes);
}

/*
 * Records a strike.
 *
 * Return: whether the strike was new.
 */
static bool
add_strike (struct jl_core *core,
            uint64_t digest,
            uint64_t target,
            uint64_t struck_us)
{
  struct jl_suspect_strike strike = { .target = target, .at_us = struck_us };
  struct jl_suspect_strike *added = jl_suspects_add_strike (
      &core->poison->suspects, digest, &strike, core->now_us);

  if (added == NULL)
    return false;
  added->sends_left = GOSSIP_MESSAGES_PER_STRIKE;
  start_expiry_timer (core);
  log_strike (core, digest, target);
  return true;
}

void
jl_poison_strike (struct jl_core *core, uint64_t digest, uint64_t target)
{
  if (digest != 0 && core->options.mode == JL_CORE_FULL)
    add_strike (core, digest, target, core->now_us);
}

/* Sends the pending strikes of the own target to a daemon of its service. */
static void
send_local_strikes (struct jl_core *core, const struct jl_member *member)
{
  struct jl_message *message = NULL;
  const struct jl_suspect *suspect;

  cds_list_for_each_entry_reverse (suspect, &core->poison->suspects.order,
                                   order)
  {
    if (!suspect->notify_pending)
      continue;
    if (message == NULL)
      {
        struct jl_effect_message *effect
            = jl_emit (core, JL_EFFECT_MESSAGE)->message;

        effect->to = jl_member_endpoint (member->info.identity.member);
        message = &effect->message;
        message->type = JL_MESSAGE_SYNC;
        message->from = core->identity;
        message->to = member->info.identity;
        core->counts.messages_sent++;
      }
    for (uint32_t i = 0; i < suspect->strike_count; i++)
      if (suspect->strikes[i].target == core->identity.member)
        {
          struct jl_strike *strike = &message->strikes[message->strike_count++];

          strike->digest = suspect->content;
          strike->target = suspect->strikes[i].target;
          strike->age_ms = (uint32_t)((core->now_us - suspect->strikes[i].at_us)
                                      / JL_USEC_PER_MSEC);
        }
    if (message->strike_count == JL_MESSAGE_STRIKE_MAX)
      message = NULL;
  }
}

/*
 * Notifies the daemons of the own service, which are likely to receive retries
 * of the suspect requests.
 */
static void
notify_members (void *context, struct jl_timer *timer G_GNUC_UNUSED)
{
  struct jl_core *core = context;
  struct cds_list_head *members
      = jl_members_of_service (core, core->target.service);
  struct jl_member *member;
  struct jl_suspect *suspect;

  if (members != NULL)
    cds_list_for_each_entry (member, members, by_service)
    {
      if (member->info.identity.member != core->identity.member
          && member->info.state == JL_MEMBER_ALIVE)
        send_local_strikes (core, member);
    }
  cds_list_for_each_entry (suspect, &core->poison->suspects.order, order)
  {
    suspect->notify_pending = false;
  }
}

static void
add_local_strike (struct jl_core *core, uint64_t digest)
{
  if (!add_strike (core, digest, core->identity.member, core->now_us))
    return;
  jl_suspects_find (&core->poison->suspects, digest)->notify_pending = true;
  if (core->poison->notify_timer.heap_position == 0)
    jl_timer_start (core->timers, &core->poison->notify_timer,
                    core->now_us + NOTIFY_DELAY_US, notify_members, core);
}

static struct answered *
answered_slot (struct jl_core *core, uint64_t digest)
{
  return &core->poison->answered[digest % ANSWERED_SLOTS];
}

static bool
was_answered (struct jl_core *core, uint64_t digest)
{
  const struct answered *answered = answered_slot (core, digest);

  return answered->digest == digest && answered->answered_us > 0
         && answered->answered_us + ANSWERED_EXPIRY_US > core->now_us;
}

bool
jl_poison_target_died (struct jl_core *core, const struct jl_work *work)
{
  struct jl_poison *poison = core->poison;

  if (work->digest == 0 || core->options.mode != JL_CORE_FULL)
    return false;
  if (poison->has_blamed_process
      && poison->blamed_started == work->target_started)
    return false;
  if (work->suspect)
    {
      poison->has_blamed_process = true;
      poison->blamed_started = work->target_started;
    }
  else if (jl_admit_suspects_running (core) > 0
           || was_answered (core, work->digest))
    return false;
  add_local_strike (core, work->digest);
  return true;
}

void
jl_poison_request_answered (struct jl_core *core, uint64_t digest)
{
  struct answered *answered = answered_slot (core, digest);

  if (digest == 0 || core->options.mode != JL_CORE_FULL)
    return;
  answered->digest = digest;
  answered->answered_us = core->now_us;
  jl_suspects_count_answer (&core->poison->suspects, digest, JL_ANY_SERVICE,
                            core->now_us, core->now_us);
}

uint32_t
jl_poison_strikes (struct jl_core *core, uint64_t digest)
{
  return jl_suspects_judge (&core->poison->suspects, digest, JL_ANY_SERVICE,
                            core->now_us)
      .ends;
}

bool
jl_poison_refuses (struct jl_core *core, uint64_t digest)
{
  return jl_poison_strikes (core, digest) >= limits.refuse_ends;
}

bool
jl_poison_is_suspect (struct jl_core *core, uint64_t digest)
{
  return jl_poison_strikes (core, digest) >= limits.suspect_ends;
}

static void
append_strikes (const struct jl_core *core,
                struct jl_suspect *suspect,
                struct jl_message *message)
{
  for (uint32_t i = 0; i < suspect->strike_count; i++)
    {
      struct jl_suspect_strike *strike = &suspect->strikes[i];
      struct jl_strike *out;

      if (message->strike_count == JL_MESSAGE_STRIKE_MAX)
        return;
      if (strike->sends_left == 0
          || !jl_suspect_is_active (suspect, &core->poison->suspects.limits,
                                    strike, core->now_us))
        continue;
      strike->sends_left--;
      out = &message->strikes[message->strike_count++];
      out->digest = suspect->content;
      out->target = strike->target;
      out->age_ms
          = (uint32_t)((core->now_us - strike->at_us) / JL_USEC_PER_MSEC);
    }
}

void
jl_poison_fill_message (struct jl_core *core, struct jl_message *message)
{
  struct jl_suspect *suspect;
  uint32_t searched = 0;

  cds_list_for_each_entry_reverse (suspect, &core->poison->suspects.order,
                                   order)
  {
    if (message->strike_count == JL_MESSAGE_STRIKE_MAX
        || ++searched > GOSSIP_SUSPECTS_MAX)
      return;
    append_strikes (core, suspect, message);
  }
}

void
jl_poison_read_message (struct jl_core *core, const struct jl_message *message)
{
  if (core->options.mode != JL_CORE_FULL)
    return;
  for (uint32_t i = 0; i < message->strike_count; i++)
    {
      const struct jl_strike *strike = &message->strikes[i];
      uint64_t age_us = strike->age_ms * JL_USEC_PER_MSEC;
      uint64_t struck_us = core->now_us > age_us ? core->now_us - age_us : 1;

      if (strike->digest != 0 && age_us < limits.strike_us)
        add_strike (core, strike->digest, strike->target, struck_us);
    }
}

void
jl_poison_dump (struct jl_core *core, GString *out)
{
  const struct jl_suspect *suspect;
  uint32_t struck = 0;
  uint32_t refused = 0;

  cds_list_for_each_entry (suspect, &core->poison->suspects.order, order)
  {
    struck += jl_poison_is_suspect (core, suspect->content);
    refused += jl_poison_refuses (core, suspect->content);
  }
  g_string_append_printf (out, "{\"struck\":%u,\"refused\":%u}", struck,
                          refused);
}
