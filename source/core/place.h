#ifndef JACKDAWLADDER_PLACE_H
#define JACKDAWLADDER_PLACE_H

/**
 * DOC: Placement: which target of a service gets a call.
 */

#include "member.h"

struct jl_place *jl_place_new (struct jl_core *core);
void jl_place_drop (struct jl_place *place);

/**
 * enum jl_place_verdict - why jl_place_choose() chose none
 * @JL_PLACE_NO_TARGET: no usable member has announced the service
 * @JL_PLACE_REFUSED: every usable one refuses this priority
 */
enum jl_place_verdict
{
  JL_PLACE_CHOSEN,
  JL_PLACE_NO_TARGET,
  JL_PLACE_REFUSED,
};

/**
 * jl_place_choose - chooses a member for @call, none that it tried before
 */
enum jl_place_verdict jl_place_choose (struct jl_core *core,
                                       const struct jl_call *call,
                                       struct jl_member **member);

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
