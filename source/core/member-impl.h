#ifndef JACKDAWLADDER_MEMBER_IMPL_H
#define JACKDAWLADDER_MEMBER_IMPL_H

/**
 * DOC: Interfaces between the source files of the membership module.
 */

#include "member.h"

/* Maximum number of seeds kept; the answer of one seed is enough to join. */
#define JL_MEMBER_SEED_MAX 64
/* Maximum number of queued updates in a probe or acknowledgement. */
#define JL_MEMBER_PIGGYBACK_MAX 8
/* If a timer fires later than this, the process must have been paused. */
#define JL_MEMBER_TIMER_LATE_US (250 * JL_USEC_PER_MSEC)

/**
 * struct jl_members - the member list and the timers that keep it
 * @random: generator used by membership only, so that other decisions do not
 *          depend on the number of probes
 * @all: all members, this daemon included
 * @by_service: members of each configured service
 * @by_id: members by identifier
 * @probe_order: all members but this daemon, in probing order
 * @next_probe_index: index in @probe_order of the next member to probe
 * @self: entry of this daemon
 * @count: number of members by state, without never_alive entries
 * @recent_updates: members with gossip_sends_left above 0 that changed recently
 * @older_updates: queued members that changed earlier; sent after the recent
 *                 ones if the message has space
 * @queued_update_count: members in both lists
 * @last_push_us: time of the last push; 0 for never
 * @last_probe_sequence: sequence of the last probe sent
 * @send_self_info: the message being handled showed that its sender has
 *                  outdated information about this daemon
 * @list_requested_us: when another member's full list was last requested
 *                     because the lists differed; 0 for never
 * @next_seed: count of seeds tried; its remainder selects the next seed
 * @seeds: member identifiers of the seeds
 * @fetch_member: peer that the configuration was last requested from
 * @probe: next probe of a member that is alive or suspect
 * @dead_probe: next probe of a dead member
 * @join: next join requests to seeds
 * @compare: next comparison of the list with another member's
 * @push: next push of pending updates
 * @fetch_timeout: timeout of the configuration fetch in progress
 * @expiry: next removal of expired members
 */
struct jl_members
{
  GRand *random;
  struct cds_list_head all;
  struct cds_list_head by_service[JL_SERVICE_MAX];
  GHashTable *by_id;
  GPtrArray *probe_order;
  guint next_probe_index;
  struct jl_member *self;
  uint32_t count[JL_MEMBER_STATE_COUNT];
  struct cds_list_head recent_updates;
  struct cds_list_head older_updates;
  uint32_t queued_update_count;
  uint64_t last_push_us;
  uint64_t last_probe_sequence;
  bool send_self_info;
  uint64_t list_requested_us;
  uint32_t seed_count;
  uint32_t next_seed;
  uint64_t seeds[JL_MEMBER_SEED_MAX];
  uint64_t fetch_member;
  struct jl_timer probe;
  struct jl_timer dead_probe;
  struct jl_timer join;
  struct jl_timer compare;
  struct jl_timer push;
  struct jl_timer fetch_timeout;
  struct jl_timer expiry;
};

/**
 * jl_members_merge - applies an update if it is newer than the known
 * information; refutes a wrong update about this daemon
 */
void jl_members_merge (struct jl_core *core, const struct jl_member_info *info);

/**
 * jl_members_set_state - changes the state of a member and queues the update
 * for gossip
 */
void jl_members_set_state (struct jl_core *core,
                           struct jl_member *member,
                           enum jl_member_state state);

/**
 * jl_members_random - returns a random number from 0 to @bound - 1
 */
uint32_t jl_members_random (struct jl_members *members, uint32_t bound);

/**
 * jl_members_pick - picks distinct random alive members other than this daemon
 * @except: identifier of a member that is not picked, 0 for none
 *
 * Return: the number of members picked, at most @max.
 */
uint32_t jl_members_pick (struct jl_core *core,
                          uint64_t except,
                          struct jl_member **picked,
                          uint32_t max);

/**
 * jl_members_timer_is_late - whether a timer that fires now is so late that the
 * process must have been paused
 *
 * Schedules an early list comparison in that case, since updates may have been
 * missed.
 */
bool jl_members_timer_is_late (struct jl_core *core,
                               const struct jl_timer *timer);

/**
 * jl_gossip_emit - emits a message to a member
 *
 * The message holds the identity of this daemon, the version and digest of the
 * installed configuration and strikes to spread. A member that is believed to
 * be suspect or dead is sent that belief, so that it can refute it.
 *
 * Return: the message, to be completed by the caller.
 */
struct jl_message *
jl_gossip_emit (struct jl_core *core, enum jl_message_type type, uint64_t to);

/**
 * jl_gossip_add - adds the information on @member, unless @message already
 * holds an update of it or is full
 */
void jl_gossip_add (struct jl_message *message, const struct jl_member *member);

/**
 * jl_gossip_add_queued - adds queued updates, at most
 * JL_MEMBER_PIGGYBACK_MAX
 */
void jl_gossip_add_queued (struct jl_core *core, struct jl_message *message);

/**
 * jl_gossip_queue - queues the changed @member to be pushed and gossiped
 */
void jl_gossip_queue (struct jl_core *core, struct jl_member *member);

/**
 * jl_gossip_remove - removes @member, which is about to be freed, from the
 * queued updates
 */
void jl_gossip_remove (struct jl_core *core, struct jl_member *member);

/**
 * jl_gossip_push_now - pushes the pending updates without waiting for more
 */
void jl_gossip_push_now (struct jl_core *core);

/**
 * jl_gossip_push_version - announces the installed configuration version to
 * a few members
 */
void jl_gossip_push_version (struct jl_core *core);

/**
 * jl_probe_start - starts the timers that probe members
 */
void jl_probe_start (struct jl_core *core, struct jl_members *members);

/**
 * jl_probe_member_changed - starts or stops the timers of @member after its
 * state or epoch has changed
 */
void jl_probe_member_changed (struct jl_core *core, struct jl_member *member);

/**
 * jl_probe_handle_message - handles probes, relayed probes and
 * acknowledgements
 */
void jl_probe_handle_message (struct jl_core *core,
                              const struct jl_message *message);

/**
 * jl_probe_unknown_sender - probes the unknown sender of a message, so that
 * it sends its member information
 * @member: identifier of a sender that is unknown or known with another epoch
 */
void jl_probe_unknown_sender (struct jl_core *core, uint64_t member);

/**
 * jl_join_start - starts the timers for join requests and list comparisons
 */
void jl_join_start (struct jl_core *core, struct jl_members *members);

/**
 * jl_join_handle_request - handles a request for the member list
 */
void jl_join_handle_request (struct jl_core *core,
                             const struct jl_message *message);

/**
 * jl_join_schedule_compare - schedules an early list comparison, because
 * updates may have been missed
 */
void jl_join_schedule_compare (struct jl_core *core);

/**
 * jl_fetch_version_reported - records the configuration version that @member
 * reported, and fetches it if it is newer than the installed one
 */
void jl_fetch_version_reported (struct jl_core *core,
                                struct jl_member *member,
                                uint64_t version);

/**
 * jl_fetch_config_installed - ends the fetch in progress after another
 * configuration was installed, and fetches the next if a peer has a newer one
 */
void jl_fetch_config_installed (struct jl_core *core);

#endif
