/**
 * DOC: Strikes against content that was in progress when a target died.
 */

#include "poison.h"

#include <string.h>

#include "admit.h"
#include "member.h"

/* Content with strikes on at least this many different targets is refused. */
#define STRIKE_LIMIT 2
/* A strike expires after this time. */
#define STRIKE_EXPIRY_US (300 * JL_USEC_PER_SEC)
/* Maximum number of records, and of targets in each record. */
#define RECORD_MAX 2048
#define RECORD_TARGETS_MAX 4
/* Number of gossip messages in which each strike is sent. */
#define GOSSIP_MESSAGES_PER_STRIKE 40
/* Maximum number of records that are searched to fill one message. */
#define GOSSIP_RECORDS_MAX 64
/*
 * Strikes of the own target are batched for this long before the daemons of the
 * own service are notified.
 */
#define NOTIFY_DELAY_US (1 * JL_USEC_PER_MSEC)
/*
 * A further strike by the same target counts as new, and is gossiped again,
 * only if it is younger than the recorded one by at least this much.
 */
#define REPEAT_INTERVAL_US (5 * JL_USEC_PER_SEC)
/*
 * Content that was answered within this time gets no strike unless it is
 * suspect when it runs.
 */
#define ANSWERED_EXPIRY_US (60 * JL_USEC_PER_SEC)
#define ANSWERED_SLOTS 1024

/**
 * struct strike - record that a target died while running the content
 * @target: member ID of the daemon whose target died
 * @gossip_left: number of gossip messages in which the strike is still to be
 *               sent
 */
struct strike
{
  uint64_t target;
  uint64_t struck_us;
  uint32_t gossip_left;
};

/**
 * struct record - strikes against one content
 * @answered_us: when the content was last answered at this daemon; older
 *               strikes do not count
 * @changed_us: time of the newest strike or answer, from which expiry counts
 * @notify_pending: whether the daemons of the own service have yet to be
 *                  notified
 * @count: number of entries of @strikes in use
 * @order: node in jl_poison.order
 */
struct record
{
  uint64_t digest;
  uint64_t answered_us;
  uint64_t changed_us;
  bool notify_pending;
  uint32_t count;
  struct strike strikes[RECORD_TARGETS_MAX];
  struct cds_list_head order;
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
 * @records: maps digests to struct record
 * @order: records ordered by @changed_us, oldest first
 * @has_blamed_process: whether @blamed_started is set
 * @blamed_started: start time of the last target process whose death is
 *                  attributed to a suspect request; no other request gets a
 *                  strike for it
 * @answered: recently answered contents, indexed by digest
 */
struct jl_poison
{
  GHashTable *records;
  struct cds_list_head order;
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

  poison->records
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  CDS_INIT_LIST_HEAD (&poison->order);
  return poison;
}

void
jl_poison_drop (struct jl_poison *poison)
{
  g_hash_table_destroy (poison->records);
  g_free (poison);
}

static struct record *
find_record (const struct jl_core *core, uint64_t digest)
{
  if (g_hash_table_size (core->poison->records) == 0)
    return NULL;
  return g_hash_table_lookup (core->poison->records, JL_HASH_KEY (digest));
}

static void
remove_oldest_record (struct jl_core *core)
{
  struct record *oldest
      = cds_list_first_entry (&core->poison->order, struct record, order);

  cds_list_del (&oldest->order);
  g_hash_table_remove (core->poison->records, JL_HASH_KEY (oldest->digest));
}

static void
expire_records (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;

  while (!cds_list_empty (&core->poison->order))
    {
      const struct record *oldest
          = cds_list_first_entry (&core->poison->order, struct record, order);
      uint64_t due_us = oldest->changed_us + STRIKE_EXPIRY_US;

      if (due_us > core->now_us)
        {
          jl_timer_start (core->timers, timer, due_us, expire_records, core);
          return;
        }
      remove_oldest_record (core);
    }
}

/* Restarts the expiry time of a record and moves it to the end of the order. */
static void
refresh_expiry (struct jl_core *core, struct record *record)
{
  struct jl_poison *poison = core->poison;

  record->changed_us = core->now_us;
  cds_list_del (&record->order);
  cds_list_add_tail (&record->order, &poison->order);
  if (poison->expiry_timer.heap_position == 0)
    jl_timer_start (core->timers, &poison->expiry_timer,
                    core->now_us + STRIKE_EXPIRY_US, expire_records, core);
}

static struct record *
add_record (struct jl_core *core, uint64_t digest)
{
  struct record *record = g_new0 (struct record, 1);

  if (g_hash_table_size (core->poison->records) >= RECORD_MAX)
    remove_oldest_record (core);
  record->digest = digest;
  cds_list_add_tail (&record->order, &core->poison->order);
  g_hash_table_insert (core->poison->records, JL_HASH_KEY (digest), record);
  return record;
}

/* Whether a strike has not expired and was not followed by an answer. */
static bool
is_active (const struct jl_core *core,
           const struct record *record,
           const struct strike *strike)
{
  return strike->struck_us > record->answered_us
         && strike->struck_us + STRIKE_EXPIRY_US > core->now_us;
}

/*
 * Returns the entry for a strike by @target: its existing entry, else a free
 * entry, else the oldest entry.
 */
static struct strike *
find_strike_slot (struct record *record, uint64_t target)
{
  struct strike *oldest = &record->strikes[0];

  for (uint32_t i = 0; i < record->count; i++)
    {
      if (record->strikes[i].target == target)
        return &record->strikes[i];
      if (record->strikes[i].struck_us < oldest->struck_us)
        oldest = &record->strikes[i];
    }
  if (record->count < RECORD_TARGETS_MAX)
    return &record->strikes[record->count++];
  return oldest;
}

/*
 * Logs each strike by the own target, and a strike by any target with which the
 * content reaches the limit.
 */
static void
log_strike (struct jl_core *core, const struct record *record, uint64_t target)
{
  uint32_t strikes = jl_poison_strikes (core, record->digest);

  if (target == core->identity.member || strikes == STRIKE_LIMIT)
    jl_log_event (core, JL_LOG_STRIKE, record->digest, strikes);
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
  struct record *record = find_record (core, digest);
  struct strike *strike;

  if (record == NULL)
    record = add_record (core, digest);
  if (struck_us <= record->answered_us)
    return false;
  strike = find_strike_slot (record, target);
  if (strike->target == target
      && strike->struck_us + REPEAT_INTERVAL_US > struck_us)
    return false;
  strike->target = target;
  strike->struck_us = struck_us;
  strike->gossip_left = GOSSIP_MESSAGES_PER_STRIKE;
  refresh_expiry (core, record);
  log_strike (core, record, target);
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
  struct record *record;

  cds_list_for_each_entry_reverse (record, &core->poison->order, order)
  {
    if (!record->notify_pending)
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
    for (uint32_t i = 0; i < record->count; i++)
      if (record->strikes[i].target == core->identity.member)
        {
          struct jl_strike *strike = &message->strikes[message->strike_count++];

          strike->digest = record->digest;
          strike->target = record->strikes[i].target;
          strike->age_ms
              = (uint32_t)((core->now_us - record->strikes[i].struck_us)
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
  struct record *record;

  if (members != NULL)
    cds_list_for_each_entry (member, members, by_service)
    {
      if (member->info.identity.member != core->identity.member
          && member->info.state == JL_MEMBER_ALIVE)
        send_local_strikes (core, member);
    }
  cds_list_for_each_entry (record, &core->poison->order, order)
  {
    record->notify_pending = false;
  }
}

static void
add_local_strike (struct jl_core *core, uint64_t digest)
{
  struct record *record;

  if (!add_strike (core, digest, core->identity.member, core->now_us))
    return;
  record = find_record (core, digest);
  record->notify_pending = true;
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
  struct record *record = find_record (core, digest);

  if (digest == 0 || core->options.mode != JL_CORE_FULL)
    return;
  answered->digest = digest;
  answered->answered_us = core->now_us;
  if (record == NULL)
    return;
  record->answered_us = core->now_us;
  refresh_expiry (core, record);
}

uint32_t
jl_poison_strikes (struct jl_core *core, uint64_t digest)
{
  const struct record *record = find_record (core, digest);
  uint32_t strikes = 0;

  if (record == NULL)
    return 0;
  for (uint32_t i = 0; i < record->count; i++)
    strikes += is_active (core, record, &record->strikes[i]);
  return strikes;
}

bool
jl_poison_refuses (struct jl_core *core, uint64_t digest)
{
  return jl_poison_strikes (core, digest) >= STRIKE_LIMIT;
}

bool
jl_poison_is_suspect (struct jl_core *core, uint64_t digest)
{
  return jl_poison_strikes (core, digest) > 0;
}

static void
append_strikes (const struct jl_core *core,
                struct record *record,
                struct jl_message *message)
{
  for (uint32_t i = 0; i < record->count; i++)
    {
      struct strike *strike = &record->strikes[i];
      struct jl_strike *out;

      if (message->strike_count == JL_MESSAGE_STRIKE_MAX)
        return;
      if (strike->gossip_left == 0 || !is_active (core, record, strike))
        continue;
      strike->gossip_left--;
      out = &message->strikes[message->strike_count++];
      out->digest = record->digest;
      out->target = strike->target;
      out->age_ms
          = (uint32_t)((core->now_us - strike->struck_us) / JL_USEC_PER_MSEC);
    }
}

void
jl_poison_fill_message (struct jl_core *core, struct jl_message *message)
{
  struct record *record;
  uint32_t searched = 0;

  cds_list_for_each_entry_reverse (record, &core->poison->order, order)
  {
    if (message->strike_count == JL_MESSAGE_STRIKE_MAX
        || ++searched > GOSSIP_RECORDS_MAX)
      return;
    append_strikes (core, record, message);
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

      if (strike->digest != 0 && age_us < STRIKE_EXPIRY_US)
        add_strike (core, strike->digest, strike->target, struck_us);
    }
}

void
jl_poison_dump (struct jl_core *core, GString *out)
{
  struct record *record;
  uint32_t suspect = 0;
  uint32_t refused = 0;

  cds_list_for_each_entry (record, &core->poison->order, order)
  {
    suspect += jl_poison_is_suspect (core, record->digest);
    refused += jl_poison_refuses (core, record->digest);
  }
  g_string_append_printf (out, "{\"struck\":%u,\"refused\":%u}", suspect,
                          refused);
}
