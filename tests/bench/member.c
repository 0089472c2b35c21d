/**
 * DOC: Measures the cost of membership and the time to spread a change, by
 * number of daemons.
 *
 * Usage: member [SEED]. Prints one line for each size; nothing passes or fails.
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "core/core-impl.h"
#include "core/member-impl.h"
#include "jackdawladder/control.h"
#include "support/network.h"

/* Size of the IPv4 and UDP headers of a datagram. */
#define HEADER_BYTES 28
/* Virtual time of the phases of a measurement. */
#define STARTUP_US (5 * JL_USEC_PER_SEC)
#define SETTLE_US (5 * JL_USEC_PER_SEC)
#define IDLE_US (30 * JL_USEC_PER_SEC)
#define PARTITION_US (60 * JL_USEC_PER_SEC)
/* Interval at which run_until() checks its condition, and its longest wait. */
#define STEP_US (10 * JL_USEC_PER_MSEC)
#define TIMEOUT_US (300 * JL_USEC_PER_SEC)
/* Number of changes measured of each type; the slowest one is printed. */
#define CHANGE_COUNT 8

/* The gap makes the receiver wake up for each datagram, as in a daemon. */
#define DATAGRAM_COUNT 20000
#define DATAGRAM_GAP_US 100

static const uint32_t sizes[] = { 3, 30, 100, 470 };

/* The node that is changed, and the number of nodes that run. */
static uint32_t subject;
static uint32_t running;

static void
ignore_message (void *context G_GNUC_UNUSED,
                const struct jl_message *message G_GNUC_UNUSED)
{
}

static uint64_t
run_until (struct network *network, bool (*is_done) (struct network *network))
{
  uint64_t begin_us = network->now_us;

  while (!is_done (network) && network->now_us < begin_us + TIMEOUT_US)
    network_run (network, STEP_US);
  return network->now_us - begin_us;
}

static bool
is_joined (struct network *network)
{
  return network_joined_count (network) == network->count;
}

static bool
is_unusable (struct network *network)
{
  return network_usable_count (network, subject) == 0;
}

static bool
is_usable (struct network *network)
{
  return network_usable_count (network, subject) + 1 == running;
}

static bool
is_idle (struct network *network)
{
  for (uint32_t i = 0; i < network->count; i++)
    if (network->nodes[i].core != NULL
        && network->nodes[i].core->members->queued_update_count > 0)
      return false;
  return true;
}

static bool
is_config_everywhere (struct network *network)
{
  uint64_t version = network->nodes[0].config->version;

  for (uint32_t i = 0; i < network->count; i++)
    if (network->nodes[i].core != NULL
        && (network->nodes[i].config == NULL
            || network->nodes[i].config->version != version))
      return false;
  return true;
}

static double
per_daemon_second (const struct network *network,
                   uint64_t count,
                   uint64_t duration_us)
{
  double seconds = (double)duration_us / (double)JL_USEC_PER_SEC;

  return (double)count / seconds / network->count;
}

/* Return: bytes sent since the counters were cleared, with the headers. */
static uint64_t
bytes_sent (const struct network *network)
{
  return network->sent_bytes + network->sent * HEADER_BYTES;
}

static void
clear_counters (struct network *network)
{
  network->sent = 0;
  network->sent_bytes = 0;
  network->cpu_ns = 0;
  network->coding_ns = 0;
}

static void
measure_start (struct network *network)
{
  uint64_t join_us;

  clear_counters (network);
  for (uint32_t i = 0; i < network->count; i++)
    {
      network_start (network, i, 0);
      network_announce (network, i);
    }
  join_us = run_until (network, is_joined);
  network_run (network, STARTUP_US - MIN (STARTUP_US, join_us));
  printf ("%7u %7" PRIu64 " %10.0f", network->count, join_us / 1000,
          per_daemon_second (network, bytes_sent (network), STARTUP_US));
}

static void
measure_idle (struct network *network)
{
  clear_counters (network);
  network->measure = true;
  network_run (network, IDLE_US);
  network->measure = false;
  printf (" %8.1f %7.0f %7.1f %7.1f",
          per_daemon_second (network, network->sent, IDLE_US),
          per_daemon_second (network, bytes_sent (network), IDLE_US),
          per_daemon_second (network, network->cpu_ns / 1000, IDLE_US),
          per_daemon_second (network, network->coding_ns / 1000, IDLE_US));
}

static void
update_max (uint64_t *slowest_us, uint64_t time_us)
{
  *slowest_us = MAX (*slowest_us, time_us);
}

static uint64_t
measure_config (struct network *network)
{
  uint64_t slowest_us = 0;

  for (uint64_t i = 0; i < CHANGE_COUNT; i++)
    {
      network_install_config (network, 0, i + 1);
      update_max (&slowest_us, run_until (network, is_config_everywhere));
      network_run (network, SETTLE_US);
    }
  return slowest_us;
}

static uint64_t
measure_target (struct network *network)
{
  uint64_t slowest_us = 0;

  for (uint32_t i = 0; i < CHANGE_COUNT; i++)
    {
      subject = (7 * i + 1) % network->count;
      network_target_leave (network, subject);
      update_max (&slowest_us, run_until (network, is_unusable));
      network_announce (network, subject);
      run_until (network, is_usable);
      network_run (network, SETTLE_US);
    }
  return slowest_us;
}

static uint64_t
measure_crash (struct network *network)
{
  uint64_t slowest_us = 0;

  for (uint32_t i = 0; i < CHANGE_COUNT; i++)
    {
      subject = (7 * i + 1) % network->count;
      network_stop (network, subject);
      update_max (&slowest_us, run_until (network, is_unusable));
      network_run (network, SETTLE_US);
      network_start (network, subject, (subject + 1) % network->count);
      network_announce (network, subject);
      run_until (network, is_usable);
      network_run (network, SETTLE_US);
    }
  return slowest_us;
}

/* Measures how two halves of the site join again after a partition. */
static void
measure_rejoin (struct network *network)
{
  uint64_t rejoin_us;

  for (uint32_t i = 0; i < network->count / 2; i++)
    network->nodes[i].group = 1;
  network_run (network, PARTITION_US);
  clear_counters (network);
  for (uint32_t i = 0; i < network->count / 2; i++)
    network->nodes[i].group = 0;
  rejoin_us = run_until (network, is_joined);
  printf (" %9" PRIu64 " %7.0f\n", rejoin_us / 1000,
          per_daemon_second (network, bytes_sent (network), rejoin_us));
}

static void
measure_size (uint32_t count, uint32_t seed)
{
  struct network *network = network_new (count, seed);

  running = count;
  measure_start (network);
  run_until (network, is_idle);
  network_run (network, SETTLE_US);
  measure_idle (network);
  printf (" %9" PRIu64, measure_config (network) / 1000);
  printf (" %9" PRIu64, measure_target (network) / 1000);
  printf (" %8" PRIu64, measure_crash (network) / 1000);
  measure_rejoin (network);
  network_drop (network);
}

/* Measures the processor time of a datagram at sender and receiver together. */
static void
measure_sockets (void)
{
  struct jl_endpoint endpoints[2] = { { .ip = 0x7f0a6401u, .port = 7000 },
                                      { .ip = 0x7f0a6402u, .port = 7000 } };
  struct jl_message message = { .type = JL_MESSAGE_PROBE };
  struct jl_control *controls[2];
  struct jl_control_counts counts;
  struct timespec begin;
  struct timespec end;

  for (int i = 0; i < 2; i++)
    controls[i] = jl_control_open (endpoints[i], ignore_message, NULL, NULL);
  if (controls[0] == NULL || controls[1] == NULL)
    return;
  message.from.member = jl_member_id (endpoints[0]);
  message.from.epoch = 1;
  message.to.member = jl_member_id (endpoints[1]);
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &begin);
  for (int i = 0; i < DATAGRAM_COUNT; i++)
    {
      jl_control_send (controls[0], endpoints[1], &message);
      g_usleep (DATAGRAM_GAP_US);
    }
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &end);
  jl_control_get_counts (controls[1], &counts);
  printf ("%d probes sent, %" PRIu64 " received, %.1f us of processor time "
          "each for both ends\n",
          DATAGRAM_COUNT, counts.received,
          ((double)(end.tv_sec - begin.tv_sec) * 1e9
           + (double)(end.tv_nsec - begin.tv_nsec))
              / 1000 / DATAGRAM_COUNT);
  jl_control_close (controls[0]);
  jl_control_close (controls[1]);
}

int
main (int argc, char **argv)
{
  uint32_t seed = argc > 1 ? (uint32_t)strtoul (argv[1], NULL, 10) : 1;

  printf ("seed %u; virtual time; bytes with IP and UDP headers\n", seed);
  printf ("        whole site starts  idle, each daemon and second         "
          "  until all know, slowest of %d  after a cut, each\n",
          CHANGE_COUNT);
  printf ("daemons join_ms bytes_sent messages   bytes core_us code_us "
          "config_ms target_ms crash_ms rejoin_ms bytes/s\n");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure_size (sizes[i], seed);
  printf ("one member takes %zu bytes at each daemon\n",
          sizeof (struct jl_member));
  measure_sockets ();
  return 0;
}
