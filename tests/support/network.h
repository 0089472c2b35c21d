#ifndef JACKDAWLADDER_NETWORK_H
#define JACKDAWLADDER_NETWORK_H

/**
 * DOC: Several reducers over a queue of control messages in virtual time.
 *
 * Messages pass through the wire coding. The same seed gives the same run.
 */

#include "jackdawladder/core.h"
#include "jackdawladder/timer.h"

struct network;

/**
 * struct network_node - one reducer
 * @core: NULL while it is not running
 * @offset_us: its clock is this far ahead of virtual time
 * @group: nodes of different groups do not reach each other
 * @target_up: its target announces itself
 * @left_us: virtual time of its last planned stop, 0 for none
 * @resumed_us: virtual time of the end of its last freeze
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
 * struct network - all reducers and what is under way between them
 * @loss_permille: messages lost
 * @blocked: while @blocks, these two do not reach each other
 * @digest: of all messages sent, in order
 * @cpu_ns: processor time in reducers, while @measure is set
 * @coding_ns: the same in encoding and decoding messages
 */
struct network
{
  uint32_t count;
  struct network_node *nodes;
  uint64_t now_us;
  uint32_t switched_off;
  uint32_t loss_permille;
  bool blocks;
  uint32_t blocked[2];
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
 * network_new - @count nodes, none of which runs yet
 */
struct network *network_new (uint32_t count, uint32_t seed);
void network_drop (struct network *network);

/**
 * network_start - starts a new life of a node and seeds it with another
 * @seed: index of that, or the node itself for none
 */
void network_start (struct network *network, uint32_t index, uint32_t seed);

/**
 * network_stop - ends a node at once, as a crash does
 */
void network_stop (struct network *network, uint32_t index);

/**
 * network_freeze - a node does nothing until network_resume()
 */
void network_freeze (struct network *network, uint32_t index);
void network_resume (struct network *network, uint32_t index);

void network_announce (struct network *network, uint32_t index);
void network_target_leave (struct network *network, uint32_t index);
void network_drain (struct network *network, uint32_t index);

/**
 * network_config - puts a configuration in force at one node
 */
void network_config (struct network *network, uint32_t index, uint64_t version);

/**
 * network_give - gives a message to a node, whoever sent it
 */
void network_give (struct network *network,
                   uint32_t index,
                   const struct jl_message *message);

void network_run (struct network *network, uint64_t duration_us);

uint64_t network_member (uint32_t index);

/**
 * network_usable - whether @observer gives new work to @subject
 */
bool
network_usable (struct network *network, uint32_t observer, uint32_t subject);

/**
 * network_usable_by - how many nodes that run give new work to @subject
 */
uint32_t network_usable_by (struct network *network, uint32_t subject);

/**
 * network_joined - nodes that run and know every other that runs as alive
 */
uint32_t network_joined (struct network *network);

#endif
