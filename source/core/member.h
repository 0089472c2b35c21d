#ifndef JACKDAWLADDER_MEMBER_H
#define JACKDAWLADDER_MEMBER_H

/**
 * DOC: Membership: who is there, by probes, gossip and a leave message.
 *
 * Every daemon keeps the whole list. No platform is needed for it. The list
 * is in member.c; member-probe.c finds out who is gone, member-gossip.c
 * spreads news, member-join.c gets and compares whole lists, and
 * member-fetch.c gets newer configurations.
 */

#include "core-impl.h"

/**
 * struct jl_member - one member as seen from here
 * @info: the newest that is known of it
 * @service: index in the configuration, JL_NONE if not in it
 * @by_service: place in the list of its service
 * @changed_us: when @info.state changed
 * @ejected_until_us: gets no work before, after a sending of ours failed
 * @in_flight: sendings of ours that are out
 * @load_permille: its load by its last answer
 * @level: lowest priority that it refuses, by its last answer
 * @level_us: when that answer came; 0 for never
 * @first_seen_us: when this life of it was first heard of
 * @load_us: when its load was last heard of; 0 for never
 * @rank: see rank_of() in place.c; 0 while not set
 * @hearsay: a tombstone of a member never known alive here; not passed on
 * @config_version: configuration that it last said to have
 * @news: place in a list of what is to be gossiped
 * @news_us: when @info became news
 * @gossip_left: messages that still carry @info
 * @push_due: @info has not been pushed yet
 * @probe: the probe in progress runs out
 * @probe_sequence: of the probe in progress, 0 when there is none
 * @probe_relayed: others have been asked to probe it too
 * @suspected_here: a probe of this daemon found it silent
 * @suspicion: it is taken for dead then
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
  bool hearsay;
  uint64_t config_version;
  struct cds_list_head news;
  uint64_t news_us;
  uint32_t gossip_left;
  bool push_due;
  struct jl_timer probe;
  uint64_t probe_sequence;
  bool probe_relayed;
  bool suspected_here;
  struct jl_timer suspicion;
};

struct jl_members *jl_members_new (struct jl_core *core);
void jl_members_drop (struct jl_members *members);

/**
 * jl_members_config - the configuration has changed; services are found anew
 */
void jl_members_config (struct jl_core *core);

/**
 * jl_members_seed - a daemon may be reached at @control
 */
void jl_members_seed (struct jl_core *core, struct jl_endpoint control);

/**
 * jl_members_message - handles a probe, acknowledgement, join or news
 */
void jl_members_message (struct jl_core *core,
                         const struct jl_message *message);

/**
 * jl_members_self_changed - the own target, or draining, has changed
 *
 * Tells the other daemons at once.
 */
void jl_members_self_changed (struct jl_core *core);

/**
 * jl_members_leave - tells the other daemons that this one leaves
 */
void jl_members_leave (struct jl_core *core);

/**
 * jl_members_find - a member by identifier, NULL when it is not known
 */
struct jl_member *jl_members_find (struct jl_core *core, uint64_t member);

/**
 * jl_members_of_service - members that announced @service, by their
 * @by_service; NULL when @service is not in the configuration
 */
struct cds_list_head *jl_members_of_service (struct jl_core *core,
                                             uint32_t service);

/**
 * jl_member_serves - whether @member is alive and its target takes work
 */
bool jl_member_serves (const struct jl_member *member);

/**
 * jl_member_usable - whether @member takes new work now, as far as is known
 */
bool jl_member_usable (struct jl_core *core, const struct jl_member *member);

/**
 * jl_members_eject - a sending of ours to @member failed; no work for a while
 */
void jl_members_eject (struct jl_core *core, uint64_t member);

/**
 * jl_members_count - alive members, this one included
 */
uint32_t jl_members_count (struct jl_core *core);

/**
 * jl_members_dump - appends a JSON array
 */
void jl_members_dump (struct jl_core *core, GString *out);

#endif
