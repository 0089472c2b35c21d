/**
 * DOC: A simulated network of reducers in virtual time.
 */

#include "network.h"

#include <string.h>
#include <time.h>

#include <urcu/compiler.h>
#include <xxhash.h>

#include "core/member.h"
#include "rpc/wire.h"

#define FIRST_IP 0x7f0a0100u
#define CONTROL_PORT 7000
#define PEER_PORT 7001
/* Delivery time of a message, plus up to the jitter. */
#define DELAY_US (1 * JL_USEC_PER_MSEC)
#define JITTER_US (1 * JL_USEC_PER_MSEC)
/* Duration of a configuration fetch. */
#define FETCH_DELAY_US (5 * JL_USEC_PER_MSEC)
/* Interval of target announcements. */
#define ANNOUNCE_INTERVAL_US (500 * JL_USEC_PER_MSEC)
/* Virtual time at the start of a run. */
#define START_US (1000 * JL_USEC_PER_SEC)

/**
 * struct packet - a datagram in transit
 * @timer: time of arrival
 * @from: index of the sending node
 * @to: index of the receiving node
 * @data: the encoded message, @size bytes
 */
struct packet
{
  struct jl_timer timer;
  uint32_t from;
  uint32_t to;
  size_t size;
  _Alignas(8) uint8_t data[];
};

/**
 * struct fetch - a configuration fetch in progress
 * @timer: time of completion
 * @from: node that serves the configuration
 * @to: node that requested it
 */
struct fetch
{
  struct jl_timer timer;
  uint32_t from;
  uint32_t to;
};

static struct jl_endpoint
control_of (uint32_t index)
{
  return (struct jl_endpoint){ .ip = FIRST_IP + index, .port = CONTROL_PORT };
}

uint64_t
network_member (uint32_t index)
{
  return jl_member_id (control_of (index));
}

static bool
is_blocked (const struct network *network, uint32_t from, uint32_t to)
{
  const uint32_t *blocked = network->blocked_pair;

  return network->has_blocked_pair
         && ((from == blocked[0] && to == blocked[1])
             || (from == blocked[1] && to == blocked[0]));
}

static bool
is_reachable (const struct network *network, uint32_t from, uint32_t to)
{
  return to < network->count && network->nodes[to].core != NULL
         && network->nodes[from].group == network->nodes[to].group
         && !is_blocked (network, from, to);
}

static uint64_t
cpu_time_ns (const struct network *network)
{
  struct timespec now;

  if (!network->measure)
    return 0;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return (uint64_t)now.tv_sec * 1000000000 + (uint64_t)now.tv_nsec;
}

static void step (struct network_node *node, struct jl_event *event);

static void
wake (void *context, struct jl_timer *timer G_GNUC_UNUSED)
{
  struct jl_event event = { .type = JL_EVENT_TICK };

  step (context, &event);
}

static void
deliver_bytes (struct network_node *node, const uint8_t *data, size_t size)
{
  struct jl_message message;
  struct jl_event event = { .type = JL_EVENT_MESSAGE, .message = &message };
  uint64_t begin = cpu_time_ns (node->network);

  if (!jl_wire_decode (data, size, &message))
    g_error ("cannot decode a message to node %u", node->index);
  node->network->coding_ns += cpu_time_ns (node->network) - begin;
  step (node, &event);
}

static void
arrive (void *context, struct jl_timer *timer)
{
  struct network *network = context;
  struct packet *packet = caa_container_of (timer, struct packet, timer);
  struct network_node *node = &network->nodes[packet->to];

  if (is_reachable (network, packet->from, packet->to) && node->frozen)
    {
      g_ptr_array_add (node->backlog, packet);
      return;
    }
  if (is_reachable (network, packet->from, packet->to))
    deliver_bytes (node, packet->data, packet->size);
  g_free (packet);
}

static void
send_message (struct network_node *node, const struct jl_effect_message *effect)
{
  struct network *network = node->network;
  uint32_t to = effect->to.ip - FIRST_IP;
  _Alignas(8) uint8_t data[JL_WIRE_BYTES_MAX];
  uint64_t begin = cpu_time_ns (network);
  size_t size = jl_wire_encode (&effect->message, 0, data);
  struct packet *packet;

  network->coding_ns += cpu_time_ns (network) - begin;
  network->sent++;
  network->sent_bytes += size;
  network->digest = XXH3_64bits_withSeed (data, size, network->digest);
  if (!is_reachable (network, node->index, to)
      || (uint32_t)g_rand_int_range (network->random, 0, 1000)
             < network->loss_permille)
    return;
  packet = g_malloc (sizeof *packet + size);
  memset (packet, 0, sizeof *packet);
  packet->from = node->index;
  packet->to = to;
  packet->size = size;
  memcpy (packet->data, data, size);
  jl_timer_start (
      network->timers, &packet->timer,
      network->now_us + DELAY_US
          + (uint32_t)g_rand_int_range (network->random, 0, JITTER_US),
      arrive, network);
}

static void
install (struct network_node *node, struct jl_config *config)
{
  struct jl_event event = { .type = JL_EVENT_CONFIG, .config = config };

  if (node->config != NULL && node->config->version >= config->version)
    return;
  if (node->config != NULL)
    jl_config_drop (node->config);
  node->config = jl_config_keep (config);
  step (node, &event);
}

static void
fetched (void *context, struct jl_timer *timer)
{
  struct network *network = context;
  struct fetch *fetch = caa_container_of (timer, struct fetch, timer);
  struct network_node *from = &network->nodes[fetch->from];
  struct network_node *to = &network->nodes[fetch->to];

  if (is_reachable (network, fetch->from, fetch->to) && from->core != NULL
      && !from->frozen && !to->frozen && from->config != NULL)
    install (to, from->config);
  g_free (fetch);
}

static void
start_fetch (struct network_node *node, struct jl_endpoint peer)
{
  struct network *network = node->network;
  struct fetch *fetch = g_new0 (struct fetch, 1);

  network->fetches++;
  fetch->from = peer.ip - FIRST_IP;
  fetch->to = node->index;
  jl_timer_start (network->timers, &fetch->timer,
                  network->now_us + FETCH_DELAY_US, fetched, network);
}

static void
run_reducer (struct network_node *node, struct jl_event *event)
{
  struct network *network = node->network;
  uint64_t begin = cpu_time_ns (network);

  event->now_us = network->now_us + node->offset_us;
  jl_effects_clear (network->effects);
  jl_core_step (node->core, event, network->effects);
  network->cpu_ns += cpu_time_ns (network) - begin;
}

static void
step (struct network_node *node, struct jl_event *event)
{
  struct network *network = node->network;
  uint64_t next_us;

  run_reducer (node, event);
  for (size_t i = 0; i < jl_effects_count (network->effects); i++)
    {
      const struct jl_effect *effect = jl_effects_get (network->effects, i);

      if (effect->type == JL_EFFECT_MESSAGE)
        send_message (node, effect->message);
      else if (effect->type == JL_EFFECT_FETCH_CONFIG)
        start_fetch (node, effect->fetch_config.peer);
    }
  next_us = jl_core_next_timer (node->core) - node->offset_us;
  jl_timer_start (network->timers, &node->wake, MAX (next_us, network->now_us),
                  wake, node);
}

struct network *
network_new (uint32_t count, uint32_t seed)
{
  struct network *network = g_new0 (struct network, 1);

  network->count = count;
  network->nodes = g_new0 (struct network_node, count);
  network->now_us = START_US;
  network->random = g_rand_new_with_seed (seed);
  network->timers = jl_timers_new ();
  network->effects = jl_effects_new ();
  for (uint32_t i = 0; i < count; i++)
    {
      network->nodes[i].network = network;
      network->nodes[i].index = i;
      network->nodes[i].backlog = g_ptr_array_new_with_free_func (g_free);
    }
  return network;
}

void
network_drop (struct network *network)
{
  for (uint32_t i = 0; i < network->count; i++)
    {
      if (network->nodes[i].core != NULL)
        network_stop (network, i);
      g_ptr_array_free (network->nodes[i].backlog, TRUE);
    }
  jl_timers_drop (network->timers);
  jl_effects_drop (network->effects);
  g_rand_free (network->random);
  g_free (network->nodes);
  g_free (network);
}

void
network_start (struct network *network, uint32_t index, uint32_t seed)
{
  struct network_node *node = &network->nodes[index];
  struct jl_core_options options = { .mode = JL_CORE_FULL };
  struct jl_event event = { .type = JL_EVENT_SEED };

  node->epoch++;
  node->offset_us = (uint32_t)g_rand_int (network->random);
  options.identity.member = network_member (index);
  options.identity.epoch = node->epoch;
  options.peer = control_of (index);
  options.peer.port = PEER_PORT;
  g_snprintf (options.zone, JL_NAME_SIZE, "zone-%u", index % 3);
  options.seed = g_rand_int (network->random);
  options.now_us = network->now_us + node->offset_us;
  options.switched_off = network->switched_off;
  node->core = jl_core_new (&options);
  node->left_us = 0;
  event.seed.control = control_of (seed);
  step (node, &event);
}

void
network_stop (struct network *network, uint32_t index)
{
  struct network_node *node = &network->nodes[index];

  jl_timer_stop (network->timers, &node->wake);
  jl_timer_stop (network->timers, &node->announce);
  g_ptr_array_set_size (node->backlog, 0);
  if (node->config != NULL)
    jl_config_drop (node->config);
  node->config = NULL;
  node->target_up = false;
  node->frozen = false;
  jl_core_drop (node->core);
  node->core = NULL;
}

void
network_freeze (struct network *network, uint32_t index)
{
  struct network_node *node = &network->nodes[index];

  node->frozen = true;
  jl_timer_stop (network->timers, &node->wake);
  jl_timer_stop (network->timers, &node->announce);
}

static void announce (void *context, struct jl_timer *timer);

void
network_resume (struct network *network, uint32_t index)
{
  struct network_node *node = &network->nodes[index];

  node->frozen = false;
  node->resumed_us = network->now_us;
  wake (node, &node->wake);
  for (guint i = 0; i < node->backlog->len; i++)
    {
      struct packet *packet = g_ptr_array_index (node->backlog, i);

      deliver_bytes (node, packet->data, packet->size);
    }
  g_ptr_array_set_size (node->backlog, 0);
  if (node->target_up)
    announce (node, &node->announce);
}

static void
announce (void *context, struct jl_timer *timer)
{
  struct network_node *node = context;
  struct jl_event event = { .type = JL_EVENT_ANNOUNCE };

  g_snprintf (event.announce.service, JL_NAME_SIZE, "service-%u",
              node->index % 29);
  event.announce.slots = 100;
  event.announce.connections = 700;
  event.announce.started = 1;
  step (node, &event);
  jl_timer_start (node->network->timers, timer,
                  node->network->now_us + ANNOUNCE_INTERVAL_US, announce, node);
}

void
network_announce (struct network *network, uint32_t index)
{
  network->nodes[index].target_up = true;
  announce (&network->nodes[index], &network->nodes[index].announce);
}

void
network_target_leave (struct network *network, uint32_t index)
{
  struct jl_event event = { .type = JL_EVENT_TARGET_LEAVE };

  network->nodes[index].target_up = false;
  jl_timer_stop (network->timers, &network->nodes[index].announce);
  step (&network->nodes[index], &event);
}

void
network_drain (struct network *network, uint32_t index)
{
  struct jl_event event = { .type = JL_EVENT_DRAIN };

  network->nodes[index].left_us = network->now_us;
  step (&network->nodes[index], &event);
}

static const char document[]
    = "{\"classes\":[\"all\"],"
      "\"zones\":[{\"name\":\"zone-0\",\"region\":\"one\"}],"
      "\"services\":[{\"name\":\"service-1\",\"retry_percent\":10,"
      "\"queue_wait_ms\":20,\"cold_start_ms\":1000}],"
      "\"kinds\":[{\"name\":\"get\",\"service\":\"service-1\",\"path\":\"/\","
      "\"class\":\"all\",\"idempotent\":true,\"deadline_ms\":1000}]}";

void
network_install_config (struct network *network,
                        uint32_t index,
                        uint64_t version)
{
  GError *error = NULL;
  struct jl_config *config
      = jl_config_new (document, sizeof document - 1, version, &error);

  if (config == NULL)
    g_error ("test configuration: %s", error->message);
  install (&network->nodes[index], config);
  jl_config_drop (config);
}

void
network_deliver (struct network *network,
                 uint32_t index,
                 const struct jl_message *message)
{
  struct jl_event event = { .type = JL_EVENT_MESSAGE, .message = message };

  step (&network->nodes[index], &event);
}

void
network_run (struct network *network, uint64_t duration_us)
{
  uint64_t end_us = network->now_us + duration_us;

  while (jl_timers_next (network->timers) <= end_us)
    {
      network->now_us = MAX (network->now_us, jl_timers_next (network->timers));
      jl_timers_run (network->timers, network->now_us);
    }
  network->now_us = end_us;
}

bool
network_usable (struct network *network, uint32_t observer, uint32_t subject)
{
  struct jl_core *core = network->nodes[observer].core;
  struct jl_member *member = jl_members_find (core, network_member (subject));

  return member != NULL && jl_member_usable (core, member);
}

uint32_t
network_usable_count (struct network *network, uint32_t subject)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < network->count; i++)
    if (i != subject && network->nodes[i].core != NULL)
      count += network_usable (network, i, subject);
  return count;
}

static bool
knows_all (struct network *network, uint32_t observer)
{
  struct jl_core *core = network->nodes[observer].core;

  for (uint32_t i = 0; i < network->count; i++)
    {
      struct jl_member *member = jl_members_find (core, network_member (i));

      if (network->nodes[i].core == NULL)
        continue;
      if (member == NULL || member->info.state != JL_MEMBER_ALIVE
          || member->info.identity.epoch != network->nodes[i].epoch)
        return false;
    }
  return true;
}

uint32_t
network_joined_count (struct network *network)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < network->count; i++)
    if (network->nodes[i].core != NULL && knows_all (network, i))
      count++;
  return count;
}
