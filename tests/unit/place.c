/**
 * DOC: Tests of placement: which targets an entry uses in a site of 470
 * daemons.
 */

#include <criterion/criterion.h>
#include <string.h>

#include "jackdawladder/core.h"

#define DAEMON_COUNT 470
#define TARGET_COUNT 16
#define ZONE_COUNT 7
#define SLOTS_PER_TARGET 10
#define CONNECTIONS_PER_TARGET 170
#define CALL_COUNT 40

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
 * struct entry - a daemon whose entry makes calls
 * @used: whether the entry has sent a call to a target, by number of the target
 */
struct entry
{
  struct jl_core *core;
  struct jl_effects *effects;
  uint64_t now_us;
  bool used[TARGET_COUNT + 1];
};

static struct jl_identity
identity_of (uint32_t number)
{
  struct jl_endpoint control
      = { .ip = 127U << 24 | 40U << 16 | number, .port = 7000 };

  return (struct jl_identity){ .member = jl_member_id (control), .epoch = 1 };
}

static void
format_zone (char *zone, uint32_t number, uint32_t zone_count)
{
  g_snprintf (zone, JL_NAME_SIZE, "zone-%u", number % zone_count);
}

static void
step (struct entry *entry, struct jl_event *event)
{
  entry->now_us += 100;
  event->now_us = entry->now_us;
  jl_effects_clear (entry->effects);
  jl_core_step (entry->core, event, entry->effects);
}

/*
 * Makes a member known to the entry. Daemons 1 to TARGET_COUNT have a target of
 * the service "front", all others of the service "other".
 */
static void
announce_member (struct entry *entry, uint32_t number, uint32_t zone_count)
{
  struct jl_message message = { .type = JL_MESSAGE_SYNC };
  struct jl_event event = { .type = JL_EVENT_MESSAGE };
  struct jl_member_info *info = &message.updates[0];

  info->identity = identity_of (number);
  info->incarnation = 1;
  info->peer = jl_member_endpoint (info->identity.member);
  info->slots = SLOTS_PER_TARGET;
  info->connections = CONNECTIONS_PER_TARGET;
  info->target_up = true;
  format_zone (info->zone, number, zone_count);
  g_strlcpy (info->service, number <= TARGET_COUNT ? "front" : "other",
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
            uint32_t member_count,
            uint32_t zone_count)
{
  struct jl_core_options options = { .identity = identity_of (number) };
  struct jl_event event = { .type = JL_EVENT_CONFIG, .config = config };

  memset (entry, 0, sizeof *entry);
  format_zone (options.zone, number, zone_count);
  options.seed = number;
  entry->core = jl_core_new (&options);
  entry->effects = jl_effects_new ();
  step (entry, &event);
  for (uint32_t member = 1; member <= member_count; member++)
    announce_member (entry, member, zone_count);
}

static void
close_entry (struct entry *entry)
{
  jl_core_drop (entry->core);
  jl_effects_drop (entry->effects);
}

static uint32_t
member_number (uint64_t member)
{
  return jl_member_endpoint (member).ip & 0xffff;
}

/*
 * Makes a call and, if @answer is true, answers it with @load_permille.
 *
 * Return: number of the target that the call was sent to; 0 for none.
 */
static uint32_t
make_call (struct entry *entry,
           uint64_t number,
           uint32_t load_permille,
           bool answer)
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
      target = member_number (effect->send.member);
      result.call_result.attempt = effect->send.attempt;
    }
  if (target == 0 || !answer)
    return target;
  result.call_result.call = number;
  result.call_result.report.load_permille = load_permille;
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

/* The entries that use a target must not exceed its number of connections. */
Test (place, subsets_fit_the_connections)
{
  struct jl_config *config = open_config ();
  uint32_t entry_counts[TARGET_COUNT + 1] = { 0 };

  for (uint32_t number = TARGET_COUNT + 1; number <= DAEMON_COUNT; number++)
    {
      struct entry entry;

      open_entry (&entry, config, number, DAEMON_COUNT, 1);
      for (uint64_t i = 1; i <= CALL_COUNT; i++)
        entry.used[make_call (&entry, i, 0, true)] = true;
      for (uint32_t target = 1; target <= TARGET_COUNT; target++)
        entry_counts[target] += entry.used[target];
      close_entry (&entry);
    }
  for (uint32_t target = 1; target <= TARGET_COUNT; target++)
    {
      cr_log_info ("target %u is used by %u entries", target,
                   entry_counts[target]);
      cr_expect_leq (entry_counts[target], CONNECTIONS_PER_TARGET);
      cr_expect_gt (entry_counts[target], 0);
    }
  jl_config_drop (config);
}

/*
 * Calls must not go to other zones unless the targets of the own zone are
 * full.
 */
Test (place, other_zones_are_used_when_the_own_is_full)
{
  struct jl_config *config = open_config ();
  struct entry entry;
  uint32_t own_zone = 0;
  uint32_t other_zone = 0;

  open_entry (&entry, config, 100, DAEMON_COUNT, ZONE_COUNT);
  for (uint64_t i = 1; i <= CALL_COUNT; i++)
    {
      cr_expect_eq (make_call (&entry, i, 500, true) % ZONE_COUNT,
                    100 % ZONE_COUNT);
      cr_expect_eq (make_call (&entry, CALL_COUNT + i, 500, true) % ZONE_COUNT,
                    100 % ZONE_COUNT);
    }
  for (uint64_t i = 1; i <= CALL_COUNT; i++)
    if (make_call (&entry, 1000 + i, 0, false) % ZONE_COUNT == 100 % ZONE_COUNT)
      own_zone++;
    else
      other_zone++;
  cr_log_info ("%u in the own zone, %u in others", own_zone, other_zone);
  cr_expect_gt (own_zone, 0);
  cr_expect_gt (other_zone, 0);
  close_entry (&entry);
  jl_config_drop (config);
}

/* Dead members of the subset must be replaced by other members. */
Test (place, a_subset_grows_when_its_members_fail)
{
  struct jl_config *config = open_config ();
  struct entry entry;
  uint32_t used = 0;

  open_entry (&entry, config, 100, DAEMON_COUNT, 1);
  for (uint64_t i = 1; i <= UINT64_C (3) * CALL_COUNT; i++)
    entry.used[make_call (&entry, i, 0, false)] = true;
  for (uint32_t target = 1; target <= TARGET_COUNT; target++)
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
  cr_expect_lt (used, TARGET_COUNT);
  for (uint64_t i = 1; i <= CALL_COUNT; i++)
    {
      uint32_t target = make_call (&entry, 1000 + i, 0, false);

      cr_expect_neq (target, 0);
      cr_expect_not (entry.used[target]);
    }
  close_entry (&entry);
  jl_config_drop (config);
}

/* Counts how many unanswered calls go to the second of two targets. */
static uint32_t
count_calls_to_second (struct entry *entry, uint64_t first_number)
{
  uint32_t second = 0;

  for (uint64_t i = 0; i < CALL_COUNT / 4; i++)
    second += make_call (entry, first_number + i, 0, false) == 2;
  return second;
}

/*
 * A new target must get fewer calls than after its cold start. The test
 * compares the calls to the second of two targets during and after its cold
 * start.
 */
Test (place, a_new_member_gets_a_growing_share)
{
  struct jl_config *config = open_config ();
  struct entry entry;
  uint32_t new_member_calls;

  open_entry (&entry, config, 100, 1, 1);
  entry.now_us += 2 * JL_USEC_PER_SEC;
  announce_member (&entry, 2, 1);
  new_member_calls = count_calls_to_second (&entry, 1);
  close_entry (&entry);
  open_entry (&entry, config, 100, 2, 1);
  entry.now_us += 2 * JL_USEC_PER_SEC;
  cr_expect_lt (new_member_calls, count_calls_to_second (&entry, 1));
  cr_log_info ("%u of %u calls to a new target", new_member_calls,
               CALL_COUNT / 4);
  close_entry (&entry);
  jl_config_drop (config);
}
