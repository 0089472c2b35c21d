/**
 * DOC: The member list.
 */

#include "member-impl.h"

#include <inttypes.h>
#include <string.h>

#include "entry.h"

/* No work goes to a member for this long after a sending to it failed. */
#define EJECT_US (1 * JL_USEC_PER_SEC)
/* Dead members are kept and probed for this long. */
#define DEAD_KEEP_US (UINT64_C (6) * 3600 * JL_USEC_PER_SEC)
/* Old gossip must not bring back one that left. */
#define LEFT_KEEP_US (3600 * JL_USEC_PER_SEC)
#define HEARSAY_KEEP_US (300 * JL_USEC_PER_SEC)
#define SWEEP_INTERVAL_US (60 * JL_USEC_PER_SEC)
/* Random draws for each member wanted, before the list is gone through. */
#define DRAWS_PER_PICK 4

static const char *const state_names[JL_MEMBER_STATE_COUNT]
    = { "alive", "suspect", "dead", "left" };

static const enum jl_log_number state_logs[JL_MEMBER_STATE_COUNT]
    = { JL_LOG_MEMBER_ALIVE, JL_LOG_MEMBER_SUSPECT, JL_LOG_MEMBER_DEAD,
        JL_LOG_MEMBER_LEFT };

static void
place_by_service (struct jl_core *core, struct jl_member *member)
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
  CDS_INIT_LIST_HEAD (&member->news);
  cds_list_add_tail (&member->all, &members->all);
  g_hash_table_insert (members->by_id, JL_HASH_KEY (info->identity.member),
                       member);
  return member;
}

static void
free_member (struct jl_core *core, struct jl_member *member)
{
  struct jl_members *members = core->members;

  jl_gossip_forget (core, member);
  jl_timer_stop (core->timers, &member->probe);
  jl_timer_stop (core->timers, &member->suspicion);
  if (!member->hearsay)
    members->count[member->info.state]--;
  g_hash_table_remove (members->by_id,
                       JL_HASH_KEY (member->info.identity.member));
  g_ptr_array_remove (members->order, member);
  cds_list_del (&member->all);
  cds_list_del (&member->by_service);
  g_free (member);
}

/* Whether a member has been gone for so long that nobody speaks of it. */
static bool
is_forgotten (const struct jl_core *core, const struct jl_member *member)
{
  uint64_t keep_us = DEAD_KEEP_US;

  if (member->info.state <= JL_MEMBER_SUSPECT || member->in_flight > 0)
    return false;
  if (member->info.state == JL_MEMBER_LEFT)
    keep_us = LEFT_KEEP_US;
  if (member->hearsay)
    keep_us = HEARSAY_KEEP_US;
  return core->now_us > member->changed_us + keep_us;
}

static void
sweep (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_member *member;
  struct jl_member *next;

  cds_list_for_each_entry_safe (member, next, &core->members->all, all)
  {
    if (member != core->members->self && is_forgotten (core, member))
      free_member (core, member);
  }
  jl_timer_start (core->timers, timer, core->now_us + SWEEP_INTERVAL_US, sweep,
                  core);
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
  CDS_INIT_LIST_HEAD (&members->fresh_news);
  CDS_INIT_LIST_HEAD (&members->old_news);
  for (size_t i = 0; i < JL_SERVICE_MAX; i++)
    CDS_INIT_LIST_HEAD (&members->by_service[i]);
  members->by_id = g_hash_table_new (g_direct_hash, g_direct_equal);
  members->order = g_ptr_array_new ();
  members->random = g_rand_new_with_seed (core->options.seed);
  g_strlcpy (self.zone, core->options.zone, JL_NAME_SIZE);
  members->self = add_member (core, members, &self);
  members->count[JL_MEMBER_ALIVE] = 1;
  jl_probe_start (core, members);
  jl_join_start (core, members);
  jl_timer_start (core->timers, &members->sweep,
                  core->now_us + SWEEP_INTERVAL_US, sweep, core);
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
  g_ptr_array_free (members->order, TRUE);
  g_rand_free (members->random);
  g_free (members);
}

void
jl_members_config (struct jl_core *core)
{
  struct jl_member *member;

  cds_list_for_each_entry (member, &core->members->all, all)
      place_by_service (core, member);
  jl_gossip_push_version (core);
  jl_fetch_installed (core);
}

bool
jl_members_was_late (struct jl_core *core, const struct jl_timer *timer)
{
  if (core->now_us < timer->due_us + JL_MEMBER_LATE_US)
    return false;
  jl_join_compare_soon (core);
  return true;
}

static bool
is_newer (const struct jl_member_info *info, const struct jl_member_info *known)
{
  if (info->identity.epoch != known->identity.epoch)
    return info->identity.epoch > known->identity.epoch;
  if (info->incarnation != known->incarnation)
    return info->incarnation > known->incarnation;
  return info->state > known->state;
}

/* Another member is wrong about this daemon: raises the incarnation. */
static void
refute (struct jl_core *core, const struct jl_member_info *info)
{
  struct jl_members *members = core->members;
  struct jl_member *self = members->self;

  if (info->identity.epoch > core->identity.epoch)
    return;
  members->show_self |= is_newer (&self->info, info);
  if (!is_newer (info, &self->info) || self->info.state == JL_MEMBER_LEFT)
    return;
  self->info.incarnation = info->incarnation + 1;
  members->show_self = true;
  jl_gossip_queue (core, self);
}

/* Forgets what only the earlier life of a member was like. */
static void
start_life (struct jl_core *core, struct jl_member *member)
{
  member->first_seen_us = core->now_us;
  member->ejected_until_us = 0;
  member->load_permille = 0;
  member->level = JL_PRIORITY_COUNT;
  member->level_us = 0;
  member->load_us = 0;
  member->config_version = 0;
  member->probe_sequence = 0;
  jl_timer_stop (core->timers, &member->probe);
}

/* Takes over @info, which is newer than what is known. */
static void
replace_info (struct jl_core *core,
              struct jl_member *member,
              const struct jl_member_info *info)
{
  struct jl_members *members = core->members;
  bool new_life = info->identity.epoch != member->info.identity.epoch;
  bool new_state = new_life || info->state != member->info.state;
  bool new_service = strcmp (info->service, member->info.service) != 0;

  if (!member->hearsay)
    members->count[member->info.state]--;
  member->hearsay &= info->state >= JL_MEMBER_DEAD;
  if (!member->hearsay)
    members->count[info->state]++;
  if (new_life)
    start_life (core, member);
  member->info = *info;
  member->suspected_here = false;
  if (new_service)
    place_by_service (core, member);
  if (!new_state)
    return;
  member->changed_us = core->now_us;
  if (!member->hearsay)
    jl_log_event (core, state_logs[info->state], info->identity.member,
                  info->incarnation);
}

static struct jl_member *
add_other (struct jl_core *core, const struct jl_member_info *info)
{
  struct jl_members *members = core->members;
  struct jl_member *member = add_member (core, members, info);
  guint place = jl_members_random (core->members, members->order->len + 1);

  g_ptr_array_insert (members->order, (gint)place, member);
  member->hearsay = info->state >= JL_MEMBER_DEAD;
  place_by_service (core, member);
  if (member->hearsay)
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
  /* What an earlier life was sent is lost with it. */
  if (member != NULL && member->info.identity.epoch < info->identity.epoch)
    lost = true;
  if (member == NULL)
    member = add_other (core, info);
  else if (is_newer (info, &member->info))
    replace_info (core, member, info);
  else
    return;
  jl_probe_changed (core, member);
  if (!member->hearsay)
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

/* Adds the member at @place, if it is alive and was not drawn before. */
static uint32_t
pick_one (struct jl_core *core,
          guint place,
          uint64_t except,
          struct jl_member **picked,
          uint32_t count)
{
  struct jl_member *member = g_ptr_array_index (core->members->order, place);

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
  guint length = core->members->order->len;
  uint32_t count = 0;
  guint start;

  if (length == 0)
    return 0;
  for (uint32_t i = 0; i < DRAWS_PER_PICK * max && count < max; i++)
    count = pick_one (core, jl_members_random (core->members, length), except,
                      picked, count);
  /* Few are alive, or the list is short: take whoever there is. */
  start = jl_members_random (core->members, length);
  for (guint i = 0; i < length && count < max; i++)
    count = pick_one (core, (start + i) % length, except, picked, count);
  return count;
}

void
jl_members_message (struct jl_core *core, const struct jl_message *message)
{
  struct jl_members *members = core->members;
  struct jl_member *from = jl_members_find (core, message->from.member);

  if (message->from.member == core->identity.member)
    return;
  /* A late message of a life that has ended. */
  if (from != NULL && message->from.epoch < from->info.identity.epoch)
    return;
  members->show_self = false;
  for (uint32_t i = 0; i < message->update_count; i++)
    jl_members_merge (core, &message->updates[i]);
  from = jl_members_find (core, message->from.member);
  if (from != NULL && message->from.epoch == from->info.identity.epoch)
    jl_fetch_heard (core, from, message->config_version);
  else
    jl_probe_introduce (core, message->from.member);
  if (message->type == JL_MESSAGE_JOIN)
    jl_join_message (core, message);
  else
    jl_probe_message (core, message);
  if (members->show_self)
    jl_gossip_add (
        jl_gossip_message (core, JL_MESSAGE_SYNC, message->from.member),
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
  place_by_service (core, self);
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
    member->ejected_until_us = core->now_us + EJECT_US;
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
