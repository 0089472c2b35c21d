#ifndef JACKDAWLADDER_PLACE_H
#define JACKDAWLADDER_PLACE_H

/**
 * DOC: Placement: which target of a service gets a call.
 *
 * Members of the own availability zone go first: of two that are drawn at
 * random the less loaded one is taken, by the load in its last answer and the
 * sendings that are out to it. The own target is taken without a draw while
 * it is lightly loaded, since that saves a hop. Another zone gets a call when
 * no member of the own zone takes its priority, or when the one drawn has its
 * slots full and one drawn elsewhere is clearly less loaded.
 *
 * Of a large service each entry uses a subset, so that the connections of all
 * entries fit each target: the members that rank first by a hash of both
 * names (rendezvous hashing). A member that cannot be used, or refuses the
 * priority, makes room in it for the next one.
 *
 * A member refuses a priority if its last answer said so a short time ago.
 * What was said longer ago is tried out by one sending at a time.
 */

#include "member.h"

struct jl_place *jl_place_new (struct jl_core *core);
void jl_place_drop (struct jl_place *place);

/**
 * enum jl_place_status - why jl_place_choose() chose none
 * @JL_PLACE_NO_TARGET: no usable member has announced the service
 * @JL_PLACE_REFUSED: every usable one refuses this priority
 */
enum jl_place_status
{
  JL_PLACE_CHOSEN,
  JL_PLACE_NO_TARGET,
  JL_PLACE_REFUSED,
};

/**
 * jl_place_choose - chooses a member for @call, none that it tried before
 */
enum jl_place_status jl_place_choose (struct jl_core *core,
                                      const struct jl_call *call,
                                      struct jl_member **member);

/**
 * jl_place_service - index of the service of @call in the configuration in
 * force, JL_NONE if it has gone
 */
uint32_t jl_place_service (const struct jl_core *core,
                           const struct jl_call *call);

/**
 * jl_place_level - highest level among the usable members of a service
 *
 * JL_PRIORITY_COUNT while one of them has not told its level lately.
 */
uint32_t jl_place_level (struct jl_core *core, uint32_t service);

/**
 * jl_place_retry_after_ms - when a caller is to come back whose call every
 * member of a service refuses, with jitter; 0 while no member has said so
 * lately
 */
uint32_t jl_place_retry_after_ms (struct jl_core *core, uint32_t service);

/**
 * jl_place_sent - a call was sent to @member
 */
void jl_place_sent (struct jl_core *core, struct jl_member *member);

/**
 * jl_place_result - a sending has ended
 */
void jl_place_result (struct jl_core *core,
                      struct jl_member *member,
                      const struct jl_event_call_result *event);

#endif
