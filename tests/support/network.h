#ifndef JACKDAWLADDER_NETWORK_H
#define JACKDAWLADDER_NETWORK_H

/**
 * DOC: A simulated network of reducers that exchange control messages in
 * virtual time.
 *
 * Messages are encoded and decoded as on the wire. Runs with the same seed are
 * identical.
 */

#include "jackdawladder/core.h"
#include "jackdawladder/timer.h"

struct network;

/**
 * struct network_node - one simulated daemon
 * @core: reducer, NULL while the node is not running
 * @epoch: epoch of the current or last start
 * @offset_us: how far the clock of the node is ahead of virtual time
 * @group: network partition; nodes of different groups cannot reach each other
 * @frozen: the process is paused; received packets go to @backlog
 * @target_up: the target of the node announces itself periodically
 * @left_us: virtual time of the last drain, 0 if none since the last start
 * @resumed_us: virtual time of the end of the last freeze
 * @config: installed configuration, NULL for none
 * @wake: next timer of the reducer
 * @announce: next announcement of the target
 * @backlog: packets received while frozen
 */
struct network_node
{
  struct network *network;
  uint32_t index;
  struct jl_core *core;
  uint64_t epoch;
  uint64_t offset_us;
  uint32_t group;
  bool frozen;
  bool target_up;
  uint64_t left_us;
  uint64_t resumed_us;
  struct jl_config *config;
  struct jl_timer wake;
  struct jl_timer announce;
  GPtrArray *backlog;
};

/**
 * struct network - all nodes and the messages in transit between them
 * @switched_off: mechanisms to turn off in nodes that are started
 * @loss_permille: share of messages that are lost
 * @has_blocked_pair: whether @blocked_pair is in effect
 * @blocked_pair: indexes of two nodes that cannot reach each other
 * @digest: digest of all messages sent, in order
 * @sent: number of messages sent, lost ones included
 * @sent_bytes: their total size
 * @fetches: number of configuration fetches started
 * @measure: whether to measure processor time
 * @cpu_ns: processor time spent in reducers
 * @coding_ns: processor time spent encoding and decoding messages
 */
struct network
{
  uint32_t count;
  struct network_node *nodes;
  uint64_t now_us;
  uint32_t switched_off;
  uint32_t loss_permille;
  bool has_blocked_pair;
  uint32_t blocked_pair[2];
  GRand *random;
  struct jl_timers *timers;
  struct jl_effects *effects;
  uint64_t digest;
  uint64_t sent;
  uint64_t sent_bytes;
  uint64_t fetches;
  bool measure;
  uint64_t cpu_ns;
  uint64_t coding_ns;
};

/**
 * network_new - creates a network of @count nodes, none of them running
 * @seed: seed of the random generator
 */
struct network *network_new (uint32_t count, uint32_t seed);
void network_drop (struct network *network);

/**
 * network_start - starts a node with a new epoch and one seed to join through
 * @seed: index of the node to join through, or @index for none
 */
void network_start (struct network *network, uint32_t index, uint32_t seed);

/**
 * network_stop - stops a node without a leave message, as a crash does
 */
void network_stop (struct network *network, uint32_t index);

/**
 * network_freeze - pauses a node until network_resume() is called
 *
 * Packets received meanwhile are kept and handled then.
 */
void network_freeze (struct network *network, uint32_t index);
void network_resume (struct network *network, uint32_t index);

void network_announce (struct network *network, uint32_t index);
void network_target_leave (struct network *network, uint32_t index);
void network_drain (struct network *network, uint32_t index);

/**
 * network_install_config - installs a configuration on one node, unless it
 * has that version or a newer one
 */
void network_install_config (struct network *network,
                             uint32_t index,
                             uint64_t version);

/**
 * network_deliver - delivers a message to a node without the network
 */
void network_deliver (struct network *network,
                      uint32_t index,
                      const struct jl_message *message);

/**
 * network_run - runs all timers due within @duration_us of virtual time
 */
void network_run (struct network *network, uint64_t duration_us);

/**
 * network_member - returns the member identifier of a node
 */
uint64_t network_member (uint32_t index);

/**
 * network_usable - whether @observer would give new work to @subject
 */
bool
network_usable (struct network *network, uint32_t observer, uint32_t subject);

/**
 * network_usable_count - counts the other running nodes that would give new
 * work to @subject
 */
uint32_t network_usable_count (struct network *network, uint32_t subject);

/**
 * network_joined_count - counts the running nodes that know all running
 * nodes as alive, in their current epochs
 */
uint32_t network_joined_count (struct network *network);

#endif
