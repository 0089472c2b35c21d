/**
 * DOC: Placement at the size of 470 daemons: which targets an entry uses.
 */

#include <criterion/criterion.h>
#include <string.h>

#include "jackdawladder/core.h"

#define DAEMONS 470
#define TARGETS 16
#define ZONES 7
#define SLOTS 10
#define CONNECTIONS 170
#define CALLS 40

static const char document[]
    = "{ \"classes\": [\"browse\"],"
      "  \"zones\": [{ \"name\": \"zone-0\", \"region\": \"r\" }],"
      "  \"services\": [{ \"name\": \"front\", \"retry_percent\": 10,"
      "    \"queue_wait_ms\": 50, \"cold_start_ms\": 1000 },"
      "   { \"name\": \"other\", \"retry_percent\": 10,"
      "    \"queue_wait_ms\": 50, \"cold_start_ms\": 0 }],"
      "  \"kinds\": [{ \"name\": \"browse\", \"service\": \"front\","
      "     \"path\": \"/\", \"class\": \"browse\", \"idempotent\": true,"
      "     \"deadline_ms\": 1000, \"retry_tokens\": 2 }] }";

/**
 * struct entry - one daemon that makes calls
 * @used: which targets it has used
 */
struct entry
{
  struct jl_core *core;
  struct jl_effects *effects;
  uint64_t now_us;
  bool used[TARGETS + 1];
};

static struct jl_identity
identity_of (uint32_t number)
{
  struct jl_endpoint control
      = { .ip = 127U << 24 | 40U << 16 | number, .port = 7000 };

  return (struct jl_identity){ .member = jl_member_id (control), .epoch = 1 };
}

static void
name_zone (char *zone, uint32_t number, uint32_t zones)
{
  g_snprintf (zone, JL_NAME_SIZE, "zone-%u", number % zones);
}

static void
step (struct entry *entry, struct jl_event *event)
{
  entry->now_us += 100;
  event->now_us = entry->now_us;
  jl_effects_clear (entry->effects);
  jl_core_step (entry->core, event, entry->effects);
}

/* Targets are numbered from 1; all other daemons serve something else. */
static void
add_member (struct entry *entry, uint32_t number, uint32_t zones)
{
  struct jl_message message = { .type = JL_MESSAGE_SYNC };
  struct jl_event event = { .type = JL_EVENT_MESSAGE };
  struct jl_member_info *info = &message.updates[0];

  info->identity = identity_of (number);
  info->incarnation = 1;
  info->peer = jl_member_endpoint (info->identity.member);
  info->slots = SLOTS;
  info->connections = CONNECTIONS;
  info->target_up = true;
  name_zone (info->zone, number, zones);
  g_strlcpy (info->service, number <= TARGETS ? "front" : "other",
             JL_NAME_SIZE);
  message.from = info->identity;
  message.update_count = 1;
  event.message = &message;
  step (entry, &event);
}

static void
open_entry (struct entry *entry,
            struct jl_config *config,
            uint32_t number,
            uint32_t members,
            uint32_t zones)
{
  struct jl_core_options options = { .identity = identity_of (number) };
  struct jl_event event = { .type = JL_EVENT_CONFIG, .config = config };

  memset (entry, 0, sizeof *entry);
  name_zone (options.zone, number, zones);
  options.seed = number;
  entry->core = jl_core_new (&options);
  entry->effects = jl_effects_new ();
  step (entry, &event);
  for (uint32_t member = 1; member <= members; member++)
    add_member (entry, member, zones);
}

static void
close_entry (struct entry *entry)
{
  jl_core_drop (entry->core);
  jl_effects_drop (entry->effects);
}

static uint32_t
number_of (uint64_t member)
{
  return jl_member_endpoint (member).ip & 0xffff;
}

/* A call and its answer. Return: the target that got it, 0 for none. */
static uint32_t
make_call (struct entry *entry, uint64_t number, uint32_t load, bool answer)
{
  struct jl_event call = { .type = JL_EVENT_CALL };
  struct jl_event result = { .type = JL_EVENT_CALL_RESULT };
  uint32_t target = 0;

  call.call.call = number;
  call.call.config_version = 1;
  step (entry, &call);
  for (size_t i = 0; i < jl_effects_count (entry->effects); i++)
    {
      const struct jl_effect *effect = jl_effects_get (entry->effects, i);

      if (effect->type != JL_EFFECT_SEND)
        continue;
      target = number_of (effect->send.member);
      result.call_result.attempt = effect->send.attempt;
    }
  if (target == 0 || !answer)
    return target;
  result.call_result.call = number;
  result.call_result.report.load_permille = load;
  step (entry, &result);
  return target;
}

static struct jl_config *
open_config (void)
{
  struct jl_config *config
      = jl_config_new (document, strlen (document), 1, NULL);

  cr_assert_not_null (config);
  return config;
}

/* All entries together keep below the connections of each target. */
Test (place, subsets_fit_the_connections)
{
  struct jl_config *config = open_config ();
  uint32_t entries[TARGETS + 1] = { 0 };

  for (uint32_t number = TARGETS + 1; number <= DAEMONS; number++)
    {
      struct entry entry;

      open_entry (&entry, config, number, DAEMONS, 1);
      for (uint64_t i = 1; i <= CALLS; i++)
        entry.used[make_call (&entry, i, 0, true)] = true;
      for (uint32_t target = 1; target <= TARGETS; target++)
        entries[target] += entry.used[target];
      close_entry (&entry);
    }
  for (uint32_t target = 1; target <= TARGETS; target++)
    {
      cr_log_info ("target %u is used by %u entries", target, entries[target]);
      cr_expect_leq (entries[target], CONNECTIONS);
      cr_expect_gt (entries[target], 0);
    }
  jl_config_unref (config);
}

/* Calls stay in the own zone until its targets are full. */
Test (place, other_zones_are_used_when_the_own_is_full)
{
  struct jl_config *config = open_config ();
  struct entry entry;
  uint32_t own = 0;
  uint32_t other = 0;

  open_entry (&entry, config, 100, DAEMONS, ZONES);
  for (uint64_t i = 1; i <= CALLS; i++)
    {
      cr_expect_eq (make_call (&entry, i, 500, true) % ZONES, 100 % ZONES);
      cr_expect_eq (make_call (&entry, CALLS + i, 500, true) % ZONES,
                    100 % ZONES);
    }
  for (uint64_t i = 1; i <= CALLS; i++)
    if (make_call (&entry, 1000 + i, 0, false) % ZONES == 100 % ZONES)
      own++;
    else
      other++;
  cr_log_info ("%u in the own zone, %u in others", own, other);
  cr_expect_gt (own, 0);
  cr_expect_gt (other, 0);
  close_entry (&entry);
  jl_config_unref (config);
}

/* A member that cannot be reached makes room for the next in the subset. */
Test (place, a_subset_grows_when_its_members_fail)
{
  struct jl_config *config = open_config ();
  struct entry entry;
  uint32_t used = 0;

  open_entry (&entry, config, 100, DAEMONS, 1);
  for (uint64_t i = 1; i <= UINT64_C (3) * CALLS; i++)
    entry.used[make_call (&entry, i, 0, false)] = true;
  for (uint32_t target = 1; target <= TARGETS; target++)
    {
      struct jl_message message = { .type = JL_MESSAGE_SYNC };
      struct jl_event event = { .type = JL_EVENT_MESSAGE };

      if (!entry.used[target])
        continue;
      used++;
      message.from = identity_of (target);
      message.update_count = 1;
      message.updates[0].identity = message.from;
      message.updates[0].incarnation = 1;
      message.updates[0].state = JL_MEMBER_DEAD;
      event.message = &message;
      step (&entry, &event);
    }
  cr_log_info ("%u targets in the subset", used);
  cr_expect_lt (used, TARGETS);
  for (uint64_t i = 1; i <= CALLS; i++)
    {
      uint32_t target = make_call (&entry, 1000 + i, 0, false);

      cr_expect_neq (target, 0);
      cr_expect_not (entry.used[target]);
    }
  close_entry (&entry);
  jl_config_unref (config);
}

/* Calls to the second of two targets, without answers. */
static uint32_t
count_second (struct entry *entry, uint64_t first_number)
{
  uint32_t second = 0;

  for (uint64_t i = 0; i < CALLS / 4; i++)
    second += make_call (entry, first_number + i, 0, false) == 2;
  return second;
}

/* A target that has just come gets a share that grows to a half. */
Test (place, a_new_member_gets_a_growing_share)
{
  struct jl_config *config = open_config ();
  struct entry entry;
  uint32_t at_first;

  open_entry (&entry, config, 100, 1, 1);
  entry.now_us += 2 * JL_USEC_PER_SEC;
  add_member (&entry, 2, 1);
  at_first = count_second (&entry, 1);
  close_entry (&entry);
  open_entry (&entry, config, 100, 2, 1);
  entry.now_us += 2 * JL_USEC_PER_SEC;
  cr_expect_lt (at_first, count_second (&entry, 1));
  cr_log_info ("%u of %u calls to a new target", at_first, CALLS / 4);
  close_entry (&entry);
  jl_config_unref (config);
}
