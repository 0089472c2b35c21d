/**
 * DOC: The member list: lookup, merging of updates, and removal of members
 * that have been dead or gone for long.
 */

#include "member-impl.h"

#include <inttypes.h>
#include <string.h>

#include "entry.h"

/* A member gets no new work for this long after a failed attempt. */
#define EJECTION_US (1 * JL_USEC_PER_SEC)
/* Dead members are kept and probed for this long, so that they can rejoin. */
#define DEAD_RETENTION_US (UINT64_C (6) * 3600 * JL_USEC_PER_SEC)
/* A member that left is kept this long, so that old gossip cannot re-add it. */
#define LEFT_RETENTION_US (3600 * JL_USEC_PER_SEC)
/*
 * Retention of the tombstones of members that this daemon has never known as
 * alive.
 */
#define NEVER_ALIVE_RETENTION_US (300 * JL_USEC_PER_SEC)
/* Interval of the removal of expired members. */
#define EXPIRY_INTERVAL_US (60 * JL_USEC_PER_SEC)
/* Random draws per requested member before a linear scan of the list. */
#define RANDOM_DRAWS_PER_MEMBER 4

static const char *const state_names[JL_MEMBER_STATE_COUNT]
    = { "alive", "suspect", "dead", "left" };

static const enum jl_log_number state_logs[JL_MEMBER_STATE_COUNT]
    = { JL_LOG_MEMBER_ALIVE, JL_LOG_MEMBER_SUSPECT, JL_LOG_MEMBER_DEAD,
        JL_LOG_MEMBER_LEFT };

/* Links @member into the list of its service, if that is configured. */
static void
index_by_service (struct jl_core *core, struct jl_member *member)
{
  cds_list_del_init (&member->by_service);
  member->service = JL_NONE;
  if (core->config != NULL)
    member->service
        = jl_config_find_service (core->config, member->info.service);
  if (member->service != JL_NONE)
    cds_list_add_tail (&member->by_service,
                       &core->members->by_service[member->service]);
}

static struct jl_member *
add_member (struct jl_core *core,
            struct jl_members *members,
            const struct jl_member_info *info)
{
  struct jl_member *member = g_new0 (struct jl_member, 1);

  member->info = *info;
  member->service = JL_NONE;
  member->level = JL_PRIORITY_COUNT;
  member->first_seen_us = core->now_us;
  member->changed_us = core->now_us;
  CDS_INIT_LIST_HEAD (&member->by_service);
  CDS_INIT_LIST_HEAD (&member->gossip_link);
  cds_list_add_tail (&member->all, &members->all);
  g_hash_table_insert (members->by_id, JL_HASH_KEY (info->identity.member),
                       member);
  return member;
}

static void
free_member (struct jl_core *core, struct jl_member *member)
{
  struct jl_members *members = core->members;

  jl_gossip_remove (core, member);
  jl_timer_stop (core->timers, &member->probe_timeout);
  jl_timer_stop (core->timers, &member->suspicion_timeout);
  if (!member->never_alive)
    members->count[member->info.state]--;
  g_hash_table_remove (members->by_id,
                       JL_HASH_KEY (member->info.identity.member));
  g_ptr_array_remove (members->probe_order, member);
  cds_list_del (&member->all);
  cds_list_del (&member->by_service);
  g_free (member);
}

/*
 * Whether a member has been dead or gone for so long that no other member
 * sends updates of it any more.
 */
static bool
is_expired (const struct jl_core *core, const struct jl_member *member)
{
  uint64_t retention_us = DEAD_RETENTION_US;

  if (member->info.state <= JL_MEMBER_SUSPECT || member->in_flight > 0)
    return false;
  if (member->info.state == JL_MEMBER_LEFT)
    retention_us = LEFT_RETENTION_US;
  if (member->never_alive)
    retention_us = NEVER_ALIVE_RETENTION_US;
  return core->now_us > member->changed_us + retention_us;
}

static void
remove_expired (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_member *member;
  struct jl_member *next;

  cds_list_for_each_entry_safe (member, next, &core->members->all, all)
  {
    if (member != core->members->self && is_expired (core, member))
      free_member (core, member);
  }
  jl_timer_start (core->timers, timer, core->now_us + EXPIRY_INTERVAL_US,
                  remove_expired, core);
}

uint32_t
jl_members_random (struct jl_members *members, uint32_t bound)
{
  return g_rand_int (members->random) % bound;
}

struct jl_members *
jl_members_new (struct jl_core *core)
{
  struct jl_members *members = g_new0 (struct jl_members, 1);
  struct jl_member_info self = { .identity = core->identity,
                                 .peer = core->options.peer,
                                 .incarnation = 1 };

  CDS_INIT_LIST_HEAD (&members->all);
  CDS_INIT_LIST_HEAD (&members->recent_updates);
  CDS_INIT_LIST_HEAD (&members->older_updates);
  for (size_t i = 0; i < JL_SERVICE_MAX; i++)
    CDS_INIT_LIST_HEAD (&members->by_service[i]);
  members->by_id = g_hash_table_new (g_direct_hash, g_direct_equal);
  members->probe_order = g_ptr_array_new ();
  members->random = g_rand_new_with_seed (core->options.seed);
  g_strlcpy (self.zone, core->options.zone, JL_NAME_SIZE);
  members->self = add_member (core, members, &self);
  members->count[JL_MEMBER_ALIVE] = 1;
  jl_probe_start (core, members);
  jl_join_start (core, members);
  jl_timer_start (core->timers, &members->expiry,
                  core->now_us + EXPIRY_INTERVAL_US, remove_expired, core);
  return members;
}

void
jl_members_drop (struct jl_members *members)
{
  struct jl_member *member;
  struct jl_member *next;

  cds_list_for_each_entry_safe (member, next, &members->all, all)
      g_free (member);
  g_hash_table_destroy (members->by_id);
  g_ptr_array_free (members->probe_order, TRUE);
  g_rand_free (members->random);
  g_free (members);
}

void
jl_members_config_changed (struct jl_core *core)
{
  struct jl_member *member;

  cds_list_for_each_entry (member, &core->members->all, all)
      index_by_service (core, member);
  jl_gossip_push_version (core);
  jl_fetch_config_installed (core);
}

bool
jl_members_timer_is_late (struct jl_core *core, const struct jl_timer *timer)
{
  if (core->now_us < timer->due_us + JL_MEMBER_TIMER_LATE_US)
    return false;
  jl_join_schedule_compare (core);
  return true;
}

/* Compares the epoch first, then the incarnation, then the state. */
static bool
is_newer (const struct jl_member_info *info, const struct jl_member_info *known)
{
  if (info->identity.epoch != known->identity.epoch)
    return info->identity.epoch > known->identity.epoch;
  if (info->incarnation != known->incarnation)
    return info->incarnation > known->incarnation;
  return info->state > known->state;
}

/*
 * Handles an update about this daemon. If the update would override this
 * daemon's entry, raises the incarnation above that of the update, unless this
 * daemon is leaving.
 */
static void
refute (struct jl_core *core, const struct jl_member_info *info)
{
  struct jl_members *members = core->members;
  struct jl_member *self = members->self;

  if (info->identity.epoch > core->identity.epoch)
    return;
  members->send_self_info |= is_newer (&self->info, info);
  if (!is_newer (info, &self->info) || self->info.state == JL_MEMBER_LEFT)
    return;
  self->info.incarnation = info->incarnation + 1;
  members->send_self_info = true;
  jl_gossip_queue (core, self);
}

/* Resets the fields that describe only the previous epoch of @member. */
static void
reset_epoch_state (struct jl_core *core, struct jl_member *member)
{
  member->first_seen_us = core->now_us;
  member->ejected_until_us = 0;
  member->load_permille = 0;
  member->level = JL_PRIORITY_COUNT;
  member->level_us = 0;
  member->load_us = 0;
  member->config_version = 0;
  member->probe_sequence = 0;
  jl_timer_stop (core->timers, &member->probe_timeout);
}

/* Replaces the information on @member by @info, which is newer. */
static void
replace_info (struct jl_core *core,
              struct jl_member *member,
              const struct jl_member_info *info)
{
  struct jl_members *members = core->members;
  bool new_epoch = info->identity.epoch != member->info.identity.epoch;
  bool new_state = new_epoch || info->state != member->info.state;
  bool new_service = strcmp (info->service, member->info.service) != 0;

  if (!member->never_alive)
    members->count[member->info.state]--;
  member->never_alive &= info->state >= JL_MEMBER_DEAD;
  if (!member->never_alive)
    members->count[info->state]++;
  if (new_epoch)
    reset_epoch_state (core, member);
  member->info = *info;
  member->suspected_locally = false;
  if (new_service)
    index_by_service (core, member);
  if (!new_state)
    return;
  member->changed_us = core->now_us;
  if (!member->never_alive)
    jl_log_event (core, state_logs[info->state], info->identity.member,
                  info->incarnation);
}

/* Adds a member at a random place in the probing order. */
static struct jl_member *
add_remote_member (struct jl_core *core, const struct jl_member_info *info)
{
  struct jl_members *members = core->members;
  struct jl_member *member = add_member (core, members, info);
  guint index
      = jl_members_random (core->members, members->probe_order->len + 1);

  g_ptr_array_insert (members->probe_order, (gint)index, member);
  member->never_alive = info->state >= JL_MEMBER_DEAD;
  index_by_service (core, member);
  if (member->never_alive)
    return member;
  members->count[info->state]++;
  jl_log_event (core, state_logs[info->state], info->identity.member,
                info->incarnation);
  return member;
}

void
jl_members_merge (struct jl_core *core, const struct jl_member_info *info)
{
  struct jl_member *member = jl_members_find (core, info->identity.member);
  bool lost = info->state == JL_MEMBER_SUSPECT || info->state == JL_MEMBER_DEAD;

  if (info->identity.member == core->identity.member)
    {
      refute (core, info);
      return;
    }
  /* Attempts sent to an earlier epoch of the member were lost with it. */
  if (member != NULL && member->info.identity.epoch < info->identity.epoch)
    lost = true;
  if (member == NULL)
    member = add_remote_member (core, info);
  else if (is_newer (info, &member->info))
    replace_info (core, member, info);
  else
    return;
  jl_probe_member_changed (core, member);
  if (!member->never_alive)
    jl_gossip_queue (core, member);
  if (member->in_flight > 0 && lost)
    jl_entry_member_lost (core, member->info.identity.member);
}

void
jl_members_set_state (struct jl_core *core,
                      struct jl_member *member,
                      enum jl_member_state state)
{
  struct jl_member_info info = member->info;

  info.state = state;
  jl_members_merge (core, &info);
}

/*
 * Adds the member at @index of the probing order to @picked, if it is alive,
 * is not @except and was not picked before.
 *
 * Return: the new number of members picked.
 */
static uint32_t
pick_at (struct jl_core *core,
         guint index,
         uint64_t except,
         struct jl_member **picked,
         uint32_t count)
{
  struct jl_member *member
      = g_ptr_array_index (core->members->probe_order, index);

  if (member->info.state != JL_MEMBER_ALIVE
      || member->info.identity.member == except)
    return count;
  for (uint32_t i = 0; i < count; i++)
    if (picked[i] == member)
      return count;
  picked[count] = member;
  return count + 1;
}

uint32_t
jl_members_pick (struct jl_core *core,
                 uint64_t except,
                 struct jl_member **picked,
                 uint32_t max)
{
  guint length = core->members->probe_order->len;
  uint32_t count = 0;
  guint start;

  if (length == 0)
    return 0;
  for (uint32_t i = 0; i < RANDOM_DRAWS_PER_MEMBER * max && count < max; i++)
    count = pick_at (core, jl_members_random (core->members, length), except,
                     picked, count);
  /* Few members are alive or the list is short: scan it from a random start. */
  start = jl_members_random (core->members, length);
  for (guint i = 0; i < length && count < max; i++)
    count = pick_at (core, (start + i) % length, except, picked, count);
  return count;
}

void
jl_members_handle_message (struct jl_core *core,
                           const struct jl_message *message)
{
  struct jl_members *members = core->members;
  struct jl_member *from = jl_members_find (core, message->from.member);

  if (message->from.member == core->identity.member)
    return;
  /* A delayed message from an earlier epoch of the sender. */
  if (from != NULL && message->from.epoch < from->info.identity.epoch)
    return;
  members->send_self_info = false;
  for (uint32_t i = 0; i < message->update_count; i++)
    jl_members_merge (core, &message->updates[i]);
  from = jl_members_find (core, message->from.member);
  if (from != NULL && message->from.epoch == from->info.identity.epoch)
    jl_fetch_version_reported (core, from, message->config_version);
  else
    jl_probe_unknown_sender (core, message->from.member);
  if (message->type == JL_MESSAGE_JOIN)
    jl_join_handle_request (core, message);
  else
    jl_probe_handle_message (core, message);
  if (members->send_self_info)
    jl_gossip_add (jl_gossip_emit (core, JL_MESSAGE_SYNC, message->from.member),
                   members->self);
}

void
jl_members_self_changed (struct jl_core *core)
{
  struct jl_member *self = core->members->self;

  self->info.incarnation++;
  g_strlcpy (self->info.service, core->target.service_name, JL_NAME_SIZE);
  self->info.slots = core->target.slots;
  self->info.connections = core->target.connections;
  self->info.target_up = core->target.up && !core->draining;
  index_by_service (core, self);
  jl_emit (core, JL_EFFECT_PUBLISH)->publish = self->info;
  jl_gossip_queue (core, self);
  jl_gossip_push_now (core);
}

void
jl_members_leave (struct jl_core *core)
{
  struct jl_members *members = core->members;

  members->count[members->self->info.state]--;
  members->self->info.state = JL_MEMBER_LEFT;
  members->count[JL_MEMBER_LEFT]++;
  jl_members_self_changed (core);
}

struct jl_member *
jl_members_find (struct jl_core *core, uint64_t member)
{
  return g_hash_table_lookup (core->members->by_id, JL_HASH_KEY (member));
}

struct cds_list_head *
jl_members_of_service (struct jl_core *core, uint32_t service)
{
  if (service >= JL_SERVICE_MAX)
    return NULL;
  return &core->members->by_service[service];
}

bool
jl_member_serves (const struct jl_member *member)
{
  return member->info.state == JL_MEMBER_ALIVE && member->info.target_up;
}

bool
jl_member_usable (struct jl_core *core, const struct jl_member *member)
{
  return jl_member_serves (member) && member->ejected_until_us <= core->now_us;
}

void
jl_members_eject (struct jl_core *core, uint64_t id)
{
  struct jl_member *member = jl_members_find (core, id);

  if (member != NULL)
    member->ejected_until_us = core->now_us + EJECTION_US;
}

uint32_t
jl_members_count (struct jl_core *core)
{
  return core->members->count[JL_MEMBER_ALIVE];
}

static void
dump_member (const struct jl_member *member, GString *out)
{
  char peer[JL_ENDPOINT_TEXT_SIZE];

  jl_endpoint_format (member->info.peer, peer);
  g_string_append_printf (out,
                          "{\"member\":\"%" PRIx64 "\",\"epoch\":%" PRIu64
                          ",\"peer\":\"%s\",\"zone\":\"%s\",\"service\":\"%s\"",
                          member->info.identity.member,
                          member->info.identity.epoch, peer, member->info.zone,
                          member->info.service);
  g_string_append_printf (
      out, ",\"state\":\"%s\",\"target_up\":%s,\"incarnation\":%u",
      state_names[member->info.state],
      member->info.target_up ? "true" : "false", member->info.incarnation);
  g_string_append_printf (out,
                          ",\"in_flight\":%u,\"level\":%u"
                          ",\"config_version\":%" PRIu64 "}",
                          member->in_flight, member->level,
                          member->config_version);
}

void
jl_members_dump (struct jl_core *core, GString *out)
{
  struct jl_member *member;
  const char *comma = "";

  g_string_append (out, "[");
  cds_list_for_each_entry (member, &core->members->all, all)
  {
    g_string_append (out, comma);
    dump_member (member, out);
    comma = ",";
  }
  g_string_append (out, "]");
}
