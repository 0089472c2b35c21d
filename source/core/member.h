#ifndef JACKDAWLADDER_MEMBER_H
#define JACKDAWLADDER_MEMBER_H

/**
 * DOC: Group membership by probes, gossip and a leave message (SWIM).
 *
 * Every daemon keeps the full member list and needs no platform service for
 * that. member.c holds the list, member-probe.c detects failed members,
 * member-gossip.c spreads member updates, member-join.c requests and compares
 * full lists, and member-fetch.c fetches newer configurations from peers.
 */

#include "core-impl.h"

/**
 * struct jl_member - one member as this daemon knows it
 * @info: newest information known about the member
 * @service: index in the configuration, JL_NONE if not in it
 * @all: link in the list of all members
 * @by_service: link in the list of members of the same service
 * @changed_us: when @info.state last changed
 * @first_seen_us: when this epoch of the member was first heard of
 * @ejected_until_us: no new work goes to the member before this time, because
 *                    an attempt sent by this daemon failed
 * @in_flight: attempts that this daemon has sent and that are not answered yet
 * @load_permille: load that the member reported with its last answer
 * @level: lowest priority that the member refuses, by its last answer
 * @level_us: when @level was reported; 0 for never
 * @load_us: when @load_permille was reported; 0 for never
 * @rank: see rank_of() in place.c; 0 while not set
 * @never_alive: a tombstone of a member that this daemon never knew as alive;
 *               such an entry is not passed on
 * @config_version: configuration version that the member last reported
 * @gossip_link: link in the list of queued updates (recent or older)
 * @gossip_queued_us: when @info was queued for gossip
 * @gossip_sends_left: number of messages that are still to carry @info
 * @push_pending: @info has not been pushed yet
 * @probe_timeout: timeout of the probe in progress
 * @probe_sequence: sequence of the probe in progress, 0 when there is none
 * @probe_relayed: other members have been asked to probe the member too
 * @suspected_locally: the suspicion comes from a failed probe of this daemon
 * @suspicion_timeout: the member is declared dead when this timer expires
 */
struct jl_member
{
  struct jl_member_info info;
  uint32_t service;
  struct cds_list_head all;
  struct cds_list_head by_service;
  uint64_t changed_us;
  uint64_t first_seen_us;
  uint64_t ejected_until_us;
  uint32_t in_flight;
  uint32_t load_permille;
  uint32_t level;
  uint64_t level_us;
  uint64_t load_us;
  uint64_t rank;
  bool never_alive;
  uint64_t config_version;
  struct cds_list_head gossip_link;
  uint64_t gossip_queued_us;
  uint32_t gossip_sends_left;
  bool push_pending;
  struct jl_timer probe_timeout;
  uint64_t probe_sequence;
  bool probe_relayed;
  bool suspected_locally;
  struct jl_timer suspicion_timeout;
};

struct jl_members *jl_members_new (struct jl_core *core);
void jl_members_drop (struct jl_members *members);

/**
 * jl_members_config_changed - looks up the service of each member in a
 * new configuration, and announces its version
 */
void jl_members_config_changed (struct jl_core *core);

/**
 * jl_members_add_seed - adds a daemon that may be reachable at @control
 */
void jl_members_add_seed (struct jl_core *core, struct jl_endpoint control);

/**
 * jl_members_handle_message - handles a membership message: probe,
 * acknowledgement, join request or member updates
 */
void jl_members_handle_message (struct jl_core *core,
                                const struct jl_message *message);

/**
 * jl_members_self_changed - publishes a change of this daemon's target or
 * of its draining
 *
 * Pushes the update to other daemons at once.
 */
void jl_members_self_changed (struct jl_core *core);

/**
 * jl_members_leave - tells the other daemons that this daemon leaves
 */
void jl_members_leave (struct jl_core *core);

/**
 * jl_members_find - finds a member by its identifier
 *
 * Return: the member, or NULL if it is not known.
 */
struct jl_member *jl_members_find (struct jl_core *core, uint64_t member);

/**
 * jl_members_of_service - lists the members that announced @service
 * @service: index in the configuration
 *
 * Return: head of a list linked by jl_member.by_service, or NULL if @service
 * is out of range, as JL_NONE is for a service that is not configured.
 */
struct cds_list_head *jl_members_of_service (struct jl_core *core,
                                             uint32_t service);

/**
 * jl_member_serves - whether @member is alive and its target takes work
 */
bool jl_member_serves (const struct jl_member *member);

/**
 * jl_member_usable - whether @member serves and is not ejected now
 */
bool jl_member_usable (struct jl_core *core, const struct jl_member *member);

/**
 * jl_members_eject - sends no new work to @member for a while, after an
 * attempt of this daemon failed there
 */
void jl_members_eject (struct jl_core *core, uint64_t member);

/**
 * jl_members_count - counts the alive members, including this daemon
 */
uint32_t jl_members_count (struct jl_core *core);

/**
 * jl_members_dump - appends the member list as a JSON array
 */
void jl_members_dump (struct jl_core *core, GString *out);

#endif
