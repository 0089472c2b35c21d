/**
 * DOC: Tests of group membership on a simulated network in virtual time.
 *
 * Throughout every run, no node gives new work to a member that left more than
 * PROPAGATION_MAX_US ago.
 */

#include <criterion/criterion.h>

#include "core/member.h"
#include "support/network.h"

#define SEC JL_USEC_PER_SEC
/* The invariant is checked after each slice of virtual time. */
#define SLICE_US (100 * JL_USEC_PER_MSEC)
/* Time within which every running node must know of a change. */
#define PROPAGATION_MAX_US (3 * SEC)
/* Time within which all nodes join each other after the start. */
#define JOIN_US (20 * SEC)
/* Time for the member lists to settle before a fault. */
#define SETTLE_US (15 * SEC)

static const uint32_t sizes[] = { 3, 30, 470 };

/* Whether a node may miss changes: it is stopped, frozen or just resumed. */
static bool
may_be_outdated (const struct network *network, uint32_t index)
{
  const struct network_node *node = &network->nodes[index];

  return node->core == NULL || node->frozen
         || network->now_us < node->resumed_us + PROPAGATION_MAX_US;
}

/* Checks that no node gives work to a member that left. */
static void
check_left (struct network *network)
{
  for (uint32_t left = 0; left < network->count; left++)
    {
      uint64_t left_us = network->nodes[left].left_us;

      if (left_us == 0 || network->now_us < left_us + PROPAGATION_MAX_US)
        continue;
      for (uint32_t i = 0; i < network->count; i++)
        cr_assert (may_be_outdated (network, i)
                       || !network_usable (network, i, left),
                   "node %u gives work to node %u, which left", i, left);
    }
}

static void
run (struct network *network, uint64_t duration_us)
{
  for (uint64_t done_us = 0; done_us < duration_us; done_us += SLICE_US)
    {
      network_run (network, SLICE_US);
      check_left (network);
    }
}

/* Starts all nodes, with node 0 as their only seed, and their targets. */
static struct network *
start_all (uint32_t count, uint32_t seed, uint32_t switched_off)
{
  struct network *network = network_new (count, seed);

  network->switched_off = switched_off;
  for (uint32_t i = 0; i < count; i++)
    {
      network_start (network, i, 0);
      network_announce (network, i);
    }
  run (network, JOIN_US);
  cr_assert_eq (network_joined_count (network), count);
  return network;
}

/* Checks that all other running nodes would give work to @subject, or none. */
static void
check_usable (struct network *network, uint32_t subject, bool usable)
{
  uint32_t running = 0;

  for (uint32_t i = 0; i < network->count; i++)
    running += i != subject && network->nodes[i].core != NULL;
  cr_assert_eq (network_usable_count (network, subject), usable ? running : 0,
                "node %u is usable to %u of %u", subject,
                network_usable_count (network, subject), running);
}

/* Returns the entry of @subject in the member list of @observer. */
static struct jl_member *
seen_by (struct network *network, uint32_t observer, uint32_t subject)
{
  return jl_members_find (network->nodes[observer].core,
                          network_member (subject));
}

Test (member, one_seed_is_enough_to_join)
{
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      struct network *network = start_all (sizes[i], 1, 0);

      for (uint32_t j = 0; j < sizes[i]; j++)
        check_usable (network, j, true);
      network_drop (network);
    }
}

Test (member, a_crash_is_known_everywhere_in_time)
{
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      struct network *network = start_all (sizes[i], 2, 0);

      run (network, SETTLE_US);
      check_usable (network, 1, true);
      network_stop (network, 1);
      run (network, PROPAGATION_MAX_US);
      check_usable (network, 1, false);
      network_drop (network);
    }
}

Test (member, a_rack_that_crashes_is_known_everywhere_in_time)
{
  struct network *network = start_all (470, 3, 0);

  run (network, SETTLE_US);
  for (uint32_t i = 100; i < 120; i++)
    network_stop (network, i);
  run (network, PROPAGATION_MAX_US);
  for (uint32_t i = 100; i < 120; i++)
    check_usable (network, i, false);
  for (uint32_t i = 0; i < 100; i++)
    check_usable (network, i, true);
  network_drop (network);
}

#ifdef JL_TEST_HOOKS
Test (member, without_probes_a_crash_goes_unnoticed)
{
  struct network *network = start_all (30, 4, JL_MECHANISM_PROBES);

  network_stop (network, 1);
  run (network, PROPAGATION_MAX_US);
  cr_assert_gt (network_usable_count (network, 1), 0);
  network_drop (network);
}
#endif

Test (member, a_target_that_goes_down_is_known_everywhere_in_time)
{
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      struct network *network = start_all (sizes[i], 5, 0);

      run (network, SETTLE_US);
      network_target_leave (network, 2);
      run (network, PROPAGATION_MAX_US);
      check_usable (network, 2, false);
      cr_assert_eq (network_joined_count (network), sizes[i]);
      network_announce (network, 2);
      run (network, PROPAGATION_MAX_US);
      check_usable (network, 2, true);
      network_drop (network);
    }
}

Test (member, a_false_suspicion_is_refuted)
{
  struct network *network = start_all (30, 6, 0);
  uint32_t incarnation = seen_by (network, 0, 7)->info.incarnation;

  network->nodes[7].group = 1;
  run (network, 2 * SEC);
  check_usable (network, 7, false);
  cr_assert_eq (seen_by (network, 0, 7)->info.state, JL_MEMBER_SUSPECT);
  network->nodes[7].group = 0;
  run (network, PROPAGATION_MAX_US);
  check_usable (network, 7, true);
  cr_assert_gt (seen_by (network, 0, 7)->info.incarnation, incarnation);
  for (uint32_t i = 0; i < 30; i++)
    check_usable (network, i, true);
  network_drop (network);
}

Test (member, others_reach_a_member_that_one_cannot_reach)
{
  struct network *network = start_all (5, 24, 0);
  uint32_t incarnation = seen_by (network, 0, 1)->info.incarnation;

  network->has_blocked_pair = true;
  network->blocked_pair[0] = 0;
  network->blocked_pair[1] = 1;
  for (int i = 0; i < 300; i++)
    {
      run (network, SLICE_US);
      cr_assert_eq (seen_by (network, 0, 1)->info.state, JL_MEMBER_ALIVE);
      cr_assert_eq (seen_by (network, 2, 1)->info.state, JL_MEMBER_ALIVE);
    }
  cr_assert_eq (seen_by (network, 2, 1)->info.incarnation, incarnation);
  network_drop (network);
}

Test (member, one_that_was_cut_off_alone_soon_works_with_all)
{
  for (uint32_t seed = 30; seed < 40; seed++)
    {
      struct network *network = start_all (30, seed, 0);

      network->nodes[7].group = 1;
      run (network, 2 * SEC);
      network->nodes[7].group = 0;
      run (network, 2 * SEC);
      for (uint32_t i = 0; i < 30; i++)
        check_usable (network, i, true);
      network_drop (network);
    }
}

/*
 * A process that was paused during a probe finds the timeout expired before it
 * reads the acknowledgement from its socket, and must not suspect the member.
 */
Test (member, a_frozen_process_suspects_nobody)
{
  struct network *network = start_all (5, 27, 0);
  struct jl_member *member = seen_by (network, 1, 0);
  uint32_t incarnation = member->info.incarnation;

  network->has_blocked_pair = true;
  network->blocked_pair[0] = 0;
  network->blocked_pair[1] = 1;
  while (member->probe_sequence == 0 || !member->probe_relayed)
    network_run (network, JL_USEC_PER_MSEC / 10);
  network_freeze (network, 1);
  run (network, 2 * SEC);
  network_resume (network, 1);
  cr_assert_eq (member->info.state, JL_MEMBER_ALIVE);
  run (network, PROPAGATION_MAX_US);
  cr_assert_eq (member->info.state, JL_MEMBER_ALIVE);
  cr_assert_eq (member->info.incarnation, incarnation,
                "the member had to refute a suspicion");
  network_drop (network);
}

Test (member, lost_messages_end_no_life)
{
  struct network *network = start_all (30, 7, 0);

  network->loss_permille = 100;
  for (int i = 0; i < 60; i++)
    {
      run (network, SEC);
      for (uint32_t j = 1; j < 30; j++)
        cr_assert_neq (seen_by (network, 0, j)->info.state, JL_MEMBER_DEAD);
    }
  network->loss_permille = 0;
  run (network, PROPAGATION_MAX_US);
  cr_assert_eq (network_joined_count (network), 30);
  network_drop (network);
}

Test (member, one_that_leaves_gets_no_work_again)
{
  struct network *network = start_all (30, 8, 0);

  network_drain (network, 3);
  run (network, SEC);
  check_usable (network, 3, false);
  network_stop (network, 3);
  run (network, 60 * SEC);
  check_usable (network, 3, false);
  cr_assert_eq (seen_by (network, 0, 3)->info.state, JL_MEMBER_LEFT);
  network_start (network, 3, 0);
  network_announce (network, 3);
  run (network, PROPAGATION_MAX_US);
  check_usable (network, 3, true);
  network_drop (network);
}

Test (member, old_news_does_not_bring_back_one_that_left)
{
  struct network *network = start_all (30, 9, 0);

  network_freeze (network, 9);
  run (network, SEC);
  network_drain (network, 3);
  run (network, SEC);
  network_stop (network, 3);
  run (network, 60 * SEC);
  network_resume (network, 9);
  run (network, 60 * SEC);
  check_usable (network, 3, false);
  check_usable (network, 9, true);
  network_drop (network);
}

Test (member, a_frozen_process_is_taken_back)
{
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      struct network *network = start_all (sizes[i], 10, 0);
      uint32_t incarnation;

      run (network, SETTLE_US);
      incarnation = seen_by (network, 0, 1)->info.incarnation;
      network_freeze (network, 1);
      run (network, 5 * SEC);
      cr_assert_eq (network_usable_count (network, 1), 0);
      network_resume (network, 1);
      run (network, PROPAGATION_MAX_US);
      check_usable (network, 1, true);
      cr_assert_gt (seen_by (network, 0, 1)->info.incarnation, incarnation);
      /* The resumed process must not declare others dead for its own pause. */
      for (uint32_t j = 0; j < sizes[i]; j++)
        check_usable (network, j, true);
      network_drop (network);
    }
}

/* Partitions the network after the only seed has stopped, then heals it. */
static void
cut_and_rejoin (uint32_t count, uint32_t seed)
{
  struct network *network = start_all (count, seed, 0);

  network_stop (network, 0);
  run (network, SETTLE_US);
  for (uint32_t i = 0; i < count / 2; i++)
    network->nodes[i].group = 1;
  run (network, 60 * SEC);
  cr_assert_eq (network_usable_count (network, 1), count / 2 - 2);
  cr_assert_eq (seen_by (network, 1, count - 1)->info.state, JL_MEMBER_DEAD);
  for (uint32_t i = 0; i < count / 2; i++)
    network->nodes[i].group = 0;
  run (network, 5 * SEC);
  cr_assert_eq (network_joined_count (network), count - 1);
  for (uint32_t i = 1; i < count; i++)
    check_usable (network, i, true);
  network_drop (network);
}

Test (member, halves_join_again_without_seeds)
{
  cut_and_rejoin (30, 11);
  cut_and_rejoin (5, 12);
}

Test (member, large_halves_join_again_without_seeds)
{
  cut_and_rejoin (470, 13);
}

Test (member, a_later_life_replaces_the_earlier_one)
{
  struct network *network = start_all (30, 14, 0);

  for (int i = 0; i < 5; i++)
    {
      /* The earlier epoch has the higher incarnation. */
      network_target_leave (network, 4);
      network_announce (network, 4);
      run (network, SEC);
      network_stop (network, 4);
      network_start (network, 4, 5);
      run (network, PROPAGATION_MAX_US);
      cr_assert_eq (network_joined_count (network), 30);
      check_usable (network, 4, false);
      network_announce (network, 4);
      run (network, PROPAGATION_MAX_US);
      check_usable (network, 4, true);
    }
  network_drop (network);
}

/* An acknowledgement to or from an earlier epoch must not end a probe. */
Test (member, acknowledgements_of_another_life_do_not_count)
{
  struct network *network = start_all (3, 20, 0);
  struct jl_member *member = seen_by (network, 0, 1);
  struct jl_message ack = { .type = JL_MESSAGE_ACK };

  network->nodes[1].group = 1;
  while (member->probe_sequence == 0)
    network_run (network, JL_USEC_PER_MSEC);
  ack.from = member->info.identity;
  ack.to.member = network_member (0);
  ack.to.epoch = network->nodes[0].epoch - 1;
  ack.sequence = member->probe_sequence;
  network_deliver (network, 0, &ack);
  cr_assert_neq (member->probe_sequence, 0,
                 "accepted an acknowledgement to an earlier epoch");
  ack.to.epoch++;
  ack.from.epoch--;
  network_deliver (network, 0, &ack);
  cr_assert_neq (member->probe_sequence, 0,
                 "accepted an acknowledgement from an earlier epoch");
  ack.from.epoch++;
  network_deliver (network, 0, &ack);
  cr_assert_eq (member->probe_sequence, 0);
  network_drop (network);
}

Test (member, hearsay_of_the_dead_is_not_passed_on)
{
  struct network *network = start_all (3, 21, 0);
  struct jl_message sync = { .type = JL_MESSAGE_SYNC, .update_count = 1 };

  sync.from = seen_by (network, 0, 1)->info.identity;
  sync.to.member = network_member (0);
  sync.updates[0] = seen_by (network, 0, 1)->info;
  sync.updates[0].identity.member = network_member (200);
  sync.updates[0].state = JL_MEMBER_DEAD;
  network_deliver (network, 0, &sync);
  cr_assert (seen_by (network, 0, 200)->never_alive);
  run (network, 30 * SEC);
  cr_assert_null (seen_by (network, 1, 200));
  /* An older update must not change the state back to alive. */
  sync.updates[0].state = JL_MEMBER_ALIVE;
  network_deliver (network, 0, &sync);
  cr_assert_eq (seen_by (network, 0, 200)->info.state, JL_MEMBER_DEAD);
  run (network, 400 * SEC);
  cr_assert_null (seen_by (network, 0, 200));
  network_drop (network);
}

Test (member, messages_are_short_while_there_is_no_news)
{
  struct network *network = start_all (30, 22, 0);

  run (network, 60 * SEC);
  network->sent = 0;
  network->sent_bytes = 0;
  run (network, 30 * SEC);
  cr_assert_leq (network->sent, UINT64_C (30) * 30 * 17);
  cr_assert_leq (network->sent_bytes, network->sent * 124);
  network_drop (network);
}

Test (member, the_dead_are_probed_slowly)
{
  struct network *network = start_all (30, 23, 0);
  uint64_t alive_sent;

  run (network, 60 * SEC);
  network->sent = 0;
  run (network, 30 * SEC);
  alive_sent = network->sent;
  network_stop (network, 5);
  run (network, 60 * SEC);
  network->sent = 0;
  run (network, 30 * SEC);
  cr_assert_leq (network->sent, alive_sent + UINT64_C (30) * 4);
  network_drop (network);
}

Test (member, the_dead_are_forgotten_in_the_end)
{
  struct network *network = start_all (3, 25, 0);

  network_stop (network, 2);
  network_run (network, UINT64_C (5) * 3600 * SEC);
  cr_assert_eq (seen_by (network, 0, 2)->info.state, JL_MEMBER_DEAD);
  network_run (network, UINT64_C (2) * 3600 * SEC);
  cr_assert_null (seen_by (network, 0, 2));
  cr_assert_null (seen_by (network, 1, 2));
  cr_assert_eq (network_joined_count (network), 2);
  network_drop (network);
}

Test (member, a_failed_sending_keeps_work_away_for_a_while)
{
  struct network *network = start_all (3, 26, 0);

  jl_members_eject (network->nodes[0].core, network_member (1));
  cr_assert_not (network_usable (network, 0, 1));
  cr_assert (network_usable (network, 2, 1));
  run (network, 2 * SEC);
  cr_assert (network_usable (network, 0, 1));
  network_drop (network);
}

Test (member, load_hints_survive_news_of_the_same_life_only)
{
  struct network *network = start_all (3, 15, 0);
  struct jl_member *member = seen_by (network, 0, 1);

  member->in_flight = 5;
  member->load_permille = 700;
  member->level = 3;
  network_target_leave (network, 1);
  network_announce (network, 1);
  run (network, SEC);
  cr_assert_eq (member->in_flight, 5);
  cr_assert_eq (member->load_permille, 700);
  cr_assert_eq (member->level, 3);
  network_stop (network, 1);
  network_start (network, 1, 2);
  run (network, SEC);
  cr_assert_eq (member->in_flight, 5);
  cr_assert_eq (member->load_permille, 0);
  cr_assert_eq (member->level, JL_PRIORITY_COUNT);
  network_drop (network);
}

static uint32_t
nodes_with_version (const struct network *network, uint64_t version)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < network->count; i++)
    count += network->nodes[i].config != NULL
             && network->nodes[i].config->version == version;
  return count;
}

Test (member, a_configuration_reaches_everyone)
{
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      struct network *network = start_all (sizes[i], 16, 0);

      for (uint64_t version = 1; version <= 3; version++)
        {
          uint64_t fetches = network->fetches;

          network_install_config (network, sizes[i] - 1, version);
          run (network, PROPAGATION_MAX_US);
          cr_assert_eq (nodes_with_version (network, version), sizes[i]);
          cr_assert_leq (network->fetches - fetches, UINT64_C (2) * sizes[i]);
        }
      network_drop (network);
    }
}

Test (member, a_configuration_is_asked_of_another_peer)
{
  struct network *network = start_all (3, 17, 0);

  network_install_config (network, 1, 1);
  /* Node 2 knows of the version, but can no longer fetch it from node 1. */
  network_run (network, 4 * JL_USEC_PER_MSEC);
  network_stop (network, 1);
  run (network, PROPAGATION_MAX_US);
  cr_assert_eq (nodes_with_version (network, 1), 0);
  network_install_config (network, 0, 1);
  run (network, PROPAGATION_MAX_US);
  cr_assert_eq (nodes_with_version (network, 1), 2);
  network_drop (network);
}

static uint64_t
digest_of_run (uint32_t seed)
{
  struct network *network = start_all (30, seed, 0);
  uint64_t digest;

  network->loss_permille = 50;
  network_stop (network, 4);
  run (network, 10 * SEC);
  digest = network->digest;
  network_drop (network);
  return digest;
}

Test (member, the_same_seed_gives_the_same_run)
{
  cr_assert_eq (digest_of_run (18), digest_of_run (18));
  cr_assert_neq (digest_of_run (18), digest_of_run (19));
}
