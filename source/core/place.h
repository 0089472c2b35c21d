#ifndef JACKDAWLADDER_PLACE_H
#define JACKDAWLADDER_PLACE_H

/**
 * DOC: Placement: chooses the target of a service for a call.
 *
 * Members of the own availability zone are preferred. Of two members chosen at
 * random the less loaded one gets the call (power of two choices). The load of
 * a member is the load reported by its last answer plus the attempts that this
 * daemon has in flight to it. The own target is used directly while it is
 * lightly loaded, since this saves a network hop. A call goes to another zone
 * if no member of the own zone admits its priority, or if the candidate in the
 * own zone has no free slot and a candidate elsewhere is clearly less loaded.
 *
 * Of a large service each entry uses only a subset of the members, so that the
 * connections of all entries together fit each target. The subset is chosen by
 * rendezvous hashing: the members that rank first by a hash of the member's
 * and the own identity. Members that are unusable or refuse the priority are
 * replaced in the subset by the next ones.
 *
 * A member counts as refusing a priority if its last answer reported this a
 * short time ago. After that, one attempt at a time probes the member until the
 * report expires.
 */

#include "member.h"

struct jl_place *jl_place_new (struct jl_core *core);
void jl_place_drop (struct jl_place *place);

/**
 * enum jl_place_status - result of jl_place_choose()
 * @JL_PLACE_CHOSEN: a member was chosen
 * @JL_PLACE_NO_TARGET: no usable member has announced the service
 * @JL_PLACE_REFUSED: every usable member refuses the call's priority
 */
enum jl_place_status
{
  JL_PLACE_CHOSEN,
  JL_PLACE_NO_TARGET,
  JL_PLACE_REFUSED,
};

/**
 * jl_place_choose - chooses a member for the next attempt of @call
 * @member: set to the member, if one was chosen
 *
 * Members in the call's list of tried members are excluded.
 */
enum jl_place_status jl_place_choose (struct jl_core *core,
                                      const struct jl_call *call,
                                      struct jl_member **member);

/**
 * jl_place_service - returns the index of the service of @call in the current
 * configuration
 *
 * Return: the index; JL_NONE if the service is not in that configuration.
 */
uint32_t jl_place_service (const struct jl_core *core,
                           const struct jl_call *call);

/**
 * jl_place_level - returns the highest admission level among the usable members
 * of a service
 *
 * Return: the level; JL_PRIORITY_COUNT if there is no usable member, or if the
 * level of one of them is unknown or out of date.
 */
uint32_t jl_place_level (struct jl_core *core, uint32_t service);

/**
 * jl_place_retry_after_ms - returns the retry delay of a call that every member
 * of a service refuses
 *
 * Return: the delay with jitter; 0 if no member sent one recently.
 */
uint32_t jl_place_retry_after_ms (struct jl_core *core, uint32_t service);

/**
 * jl_place_sent - counts an attempt that was sent to @member as in flight
 */
void jl_place_sent (struct jl_core *core, struct jl_member *member);

/**
 * jl_place_result - records the end of an attempt, and the load, level and
 * retry delay that its answer reported
 */
void jl_place_result (struct jl_core *core,
                      struct jl_member *member,
                      const struct jl_event_call_result *event);

#endif
