#ifndef JACKDAWLADDER_MEMBER_IMPL_H
#define JACKDAWLADDER_MEMBER_IMPL_H

/**
 * DOC: What the parts of membership share with each other.
 */

#include "member.h"

/* Seeds kept at most; any one of them that answers is enough. */
#define JL_MEMBER_SEED_MAX 64
/* Updates in a probe or acknowledgement. */
#define JL_MEMBER_PIGGYBACK_MAX 8
/* A timer that fires this late shows that this process was not running. */
#define JL_MEMBER_LATE_US (250 * JL_USEC_PER_MSEC)

/**
 * struct jl_members - the member list and the timers that keep it
 * @random: of its own, so that other decisions do not hang on probes
 * @order: all members but the own one, in the order of probing
 * @next: place in @order
 * @count: members by state, without hearsay
 * @fresh_news: members that changed lately and whose gossip_left is not 0
 * @old_news: those that changed before; sent when there is room
 * @news_count: members in both lists
 * @pushed_us: time of the last push
 * @show_self: the message in hand takes this daemon for something else
 * @asked_us: when another's whole list was last asked for; 0 for never
 * @fetch_member: peer that the configuration was last asked of
 */
struct jl_members
{
  GRand *random;
  struct cds_list_head all;
  struct cds_list_head by_service[JL_SERVICE_MAX];
  GHashTable *by_id;
  GPtrArray *order;
  guint next;
  struct jl_member *self;
  uint32_t count[JL_MEMBER_STATE_COUNT];
  struct cds_list_head fresh_news;
  struct cds_list_head old_news;
  uint32_t news_count;
  uint64_t pushed_us;
  uint64_t next_sequence;
  bool show_self;
  uint64_t asked_us;
  uint32_t seed_count;
  uint32_t next_seed;
  uint64_t seeds[JL_MEMBER_SEED_MAX];
  uint64_t fetch_member;
  struct jl_timer probe;
  struct jl_timer slow_probe;
  struct jl_timer join;
  struct jl_timer sync;
  struct jl_timer push;
  struct jl_timer fetch;
  struct jl_timer sweep;
};

/**
 * jl_members_merge - takes over an update, if it is newer than what is known
 */
void jl_members_merge (struct jl_core *core, const struct jl_member_info *info);

/**
 * jl_members_set_state - changes how a member is seen, and spreads it
 */
void jl_members_set_state (struct jl_core *core,
                           struct jl_member *member,
                           enum jl_member_state state);

/**
 * jl_members_random - a number from 0 to @bound - 1
 */
uint32_t jl_members_random (struct jl_members *members, uint32_t bound);

/**
 * jl_members_pick - draws different alive members, never the own one
 * @except: identifier that is not drawn, 0 for none
 *
 * Return: how many were drawn, at most @max.
 */
uint32_t jl_members_pick (struct jl_core *core,
                          uint64_t except,
                          struct jl_member **picked,
                          uint32_t max);

/**
 * jl_members_was_late - whether a timer that fires now fires far too late
 */
bool jl_members_was_late (struct jl_core *core, const struct jl_timer *timer);

/**
 * jl_gossip_message - emits a message to a member
 *
 * It says who sends it, which configuration is in force, and, to one that is
 * held for suspect or dead, just that.
 */
struct jl_message *jl_gossip_message (struct jl_core *core,
                                      enum jl_message_type type,
                                      uint64_t to);

/**
 * jl_gossip_add - adds what is known of @member, unless it is in already
 */
void jl_gossip_add (struct jl_message *message, const struct jl_member *member);

/**
 * jl_gossip_fill - adds news, at most JL_MEMBER_PIGGYBACK_MAX
 */
void jl_gossip_fill (struct jl_core *core, struct jl_message *message);

/**
 * jl_gossip_queue - @member has changed; to be pushed and gossiped
 */
void jl_gossip_queue (struct jl_core *core, struct jl_member *member);

/**
 * jl_gossip_forget - @member is about to be freed
 */
void jl_gossip_forget (struct jl_core *core, struct jl_member *member);

/**
 * jl_gossip_push_now - pushes what is due, without waiting for more
 */
void jl_gossip_push_now (struct jl_core *core);

/**
 * jl_gossip_push_version - tells some members of a new configuration
 */
void jl_gossip_push_version (struct jl_core *core);

void jl_probe_start (struct jl_core *core, struct jl_members *members);

/**
 * jl_probe_changed - a member's state or life has changed
 */
void jl_probe_changed (struct jl_core *core, struct jl_member *member);

/**
 * jl_probe_message - handles probes, acknowledgements and relays
 */
void jl_probe_message (struct jl_core *core, const struct jl_message *message);

/**
 * jl_probe_introduce - asks an unknown life that sent a message who it is
 */
void jl_probe_introduce (struct jl_core *core, uint64_t member);

void jl_join_start (struct jl_core *core, struct jl_members *members);

/**
 * jl_join_message - handles a request for the list
 */
void jl_join_message (struct jl_core *core, const struct jl_message *message);

/**
 * jl_join_compare_soon - news may have been missed; compares lists earlier
 */
void jl_join_compare_soon (struct jl_core *core);

/**
 * jl_fetch_heard - @member has said which configuration it has
 */
void jl_fetch_heard (struct jl_core *core,
                     struct jl_member *member,
                     uint64_t version);

/**
 * jl_fetch_installed - another configuration is in force here
 */
void jl_fetch_installed (struct jl_core *core);

#endif
