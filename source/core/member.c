/**
 * DOC: The member list.
 */

#include "member.h"

#include <inttypes.h>
#include <string.h>

/* No work goes to a member for this long after a sending to it failed. */
#define EJECT_US (1 * JL_USEC_PER_SEC)
/* How often seeds that are not members yet are asked again. */
#define JOIN_INTERVAL_US (500 * JL_USEC_PER_MSEC)
#define SEED_MAX 64

struct jl_members
{
  struct jl_core *core;
  struct cds_list_head all;
  struct cds_list_head by_service[JL_SERVICE_MAX];
  GHashTable *by_id;
  struct jl_member *self;
  uint32_t seed_count;
  uint64_t seeds[SEED_MAX];
  struct jl_timer join;
};

static const char *const state_names[JL_MEMBER_STATE_COUNT]
    = { "alive", "suspect", "dead", "left" };

static void
place_by_service (struct jl_core *core, struct jl_member *member)
{
  cds_list_del_init (&member->by_service);
  member->service = JL_NONE;
  if (core->config != NULL)
    member->service = jl_config_service (core->config, member->info.service);
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
  member->level = JL_PRIORITY_COUNT;
  member->first_seen_us = core->now_us;
  member->changed_us = core->now_us;
  CDS_INIT_LIST_HEAD (&member->by_service);
  cds_list_add_tail (&member->all, &members->all);
  g_hash_table_insert (members->by_id, JL_HASH_KEY (info->identity.member),
                       member);
  return member;
}

static void
join_seeds (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct jl_members *members = core->members;

  for (uint32_t i = 0; i < members->seed_count; i++)
    {
      struct jl_effect_message *effect;

      if (jl_members_find (core, members->seeds[i]) != NULL)
        continue;
      effect = jl_emit (core, JL_EFFECT_MESSAGE)->message;
      effect->to = jl_member_endpoint (members->seeds[i]);
      effect->message.type = JL_MESSAGE_JOIN;
      effect->message.from = core->identity;
      effect->message.to.member = members->seeds[i];
      effect->message.updates[0] = members->self->info;
      effect->message.update_count = 1;
      core->counts.messages_sent++;
    }
  jl_timer_start (core->timers, timer, core->now_us + JOIN_INTERVAL_US,
                  join_seeds, core);
}

struct jl_members *
jl_members_new (struct jl_core *core)
{
  struct jl_members *members = g_new0 (struct jl_members, 1);
  struct jl_member_info self = { .identity = core->identity,
                                 .peer = core->options.peer,
                                 .incarnation = 1 };

  members->core = core;
  CDS_INIT_LIST_HEAD (&members->all);
  for (size_t i = 0; i < JL_SERVICE_MAX; i++)
    CDS_INIT_LIST_HEAD (&members->by_service[i]);
  members->by_id = g_hash_table_new (g_direct_hash, g_direct_equal);
  g_strlcpy (self.zone, core->options.zone, JL_NAME_SIZE);
  members->self = add_member (core, members, &self);
  members->self->service = JL_NONE;
  jl_timer_start (core->timers, &members->join, core->now_us, join_seeds, core);
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
  g_free (members);
}

void
jl_members_config (struct jl_core *core)
{
  struct jl_member *member;

  cds_list_for_each_entry (member, &core->members->all, all)
      place_by_service (core, member);
}

void
jl_members_seed (struct jl_core *core, struct jl_endpoint control)
{
  struct jl_members *members = core->members;
  uint64_t id = jl_member_id (control);

  if (id == core->identity.member || members->seed_count == SEED_MAX)
    return;
  for (uint32_t i = 0; i < members->seed_count; i++)
    if (members->seeds[i] == id)
      return;
  members->seeds[members->seed_count++] = id;
}

/* Sends the whole list to @to, in parts. */
static void
send_list (struct jl_core *core, uint64_t to)
{
  struct jl_member *member;
  struct jl_effect_message *effect = NULL;

  cds_list_for_each_entry (member, &core->members->all, all)
  {
    if (effect == NULL)
      {
        effect = jl_emit (core, JL_EFFECT_MESSAGE)->message;
        effect->to = jl_member_endpoint (to);
        effect->message.type = JL_MESSAGE_SYNC;
        effect->message.from = core->identity;
        effect->message.to.member = to;
        effect->message.config_version
            = core->config == NULL ? 0 : core->config->version;
        core->counts.messages_sent++;
      }
    effect->message.updates[effect->message.update_count++] = member->info;
    if (effect->message.update_count == JL_MESSAGE_UPDATE_MAX)
      effect = NULL;
  }
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

static void
merge (struct jl_core *core, const struct jl_member_info *info)
{
  struct jl_member *member = jl_members_find (core, info->identity.member);

  if (info->identity.member == core->identity.member)
    return;
  if (member == NULL)
    member = add_member (core, core->members, info);
  else if (is_newer (info, &member->info))
    member->info = *info;
  else
    return;
  member->changed_us = core->now_us;
  place_by_service (core, member);
}

void
jl_members_message (struct jl_core *core, const struct jl_message *message)
{
  struct jl_member *from;

  for (uint32_t i = 0; i < message->update_count; i++)
    merge (core, &message->updates[i]);
  if (message->type == JL_MESSAGE_JOIN)
    send_list (core, message->from.member);
  from = jl_members_find (core, message->from.member);
  if (from != NULL
      && message->config_version
             > (core->config == NULL ? 0 : core->config->version))
    {
      struct jl_effect *fetch = jl_emit (core, JL_EFFECT_FETCH_CONFIG);

      fetch->fetch_config.peer = from->info.peer;
      fetch->fetch_config.version = message->config_version;
    }
}

void
jl_members_self_changed (struct jl_core *core)
{
  struct jl_member *self = core->members->self;
  struct jl_member *member;

  self->info.incarnation++;
  g_strlcpy (self->info.service, core->target.service_name, JL_NAME_SIZE);
  self->info.slots = core->target.slots;
  self->info.connections = core->target.connections;
  self->info.target_up = core->target.up && !core->draining;
  place_by_service (core, self);
  jl_emit (core, JL_EFFECT_PUBLISH)->publish = self->info;
  cds_list_for_each_entry (member, &core->members->all, all) if (member != self)
      send_list (core, member->info.identity.member);
}

void
jl_members_leave (struct jl_core *core)
{
  core->members->self->info.state = JL_MEMBER_LEFT;
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
jl_member_usable (struct jl_core *core, const struct jl_member *member)
{
  return member->info.state == JL_MEMBER_ALIVE && member->info.target_up
         && member->ejected_until_us <= core->now_us;
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
  struct jl_member *member;
  uint32_t count = 0;

  cds_list_for_each_entry (member, &core->members->all, all) count
      += member->info.state == JL_MEMBER_ALIVE;
  return count;
}

void
jl_members_dump (struct jl_core *core, GString *out)
{
  struct jl_member *member;
  const char *comma = "";

  g_string_append (out, "[");
  cds_list_for_each_entry (member, &core->members->all, all)
  {
    char peer[JL_ENDPOINT_TEXT_SIZE];

    jl_endpoint_format (member->info.peer, peer);
    g_string_append_printf (
        out,
        "%s{\"member\":\"%" PRIx64 "\",\"peer\":\"%s\",\"zone\":\"%s\","
        "\"service\":\"%s\",\"state\":\"%s\",\"target_up\":%s,"
        "\"incarnation\":%u,\"in_flight\":%u,\"level\":%u}",
        comma, member->info.identity.member, peer, member->info.zone,
        member->info.service, state_names[member->info.state],
        member->info.target_up ? "true" : "false", member->info.incarnation,
        member->in_flight, member->level);
    comma = ",";
  }
  g_string_append (out, "]");
}
