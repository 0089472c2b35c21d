#ifndef JACKDAWLADDER_LOG_H
#define JACKDAWLADDER_LOG_H

/**
 * DOC: Numbered log events. Their catalogue for operators is docs/EVENTS.md.
 *
 * A line reads "E101 configuration installed version=3". A number is never
 * given to another event.
 */

#include "jackdawladder/base.h"

enum jl_log_number
{
  /* Configuration. */
  JL_LOG_CONFIG_INSTALLED = 101,
  JL_LOG_CONFIG_REFUSED = 102,
  /* Own target. */
  JL_LOG_TARGET_UP = 201,
  JL_LOG_TARGET_DOWN = 202,
  JL_LOG_DRAIN_BEGUN = 203,
  /* Membership. */
  JL_LOG_MEMBER_ALIVE = 301,
  JL_LOG_MEMBER_SUSPECT = 302,
  JL_LOG_MEMBER_DEAD = 303,
  JL_LOG_MEMBER_LEFT = 304,
  /* Admission. */
  JL_LOG_LEVEL_LOWERED = 401,
  JL_LOG_LEVEL_RESTORED = 402,
  /* Requests that crash targets. */
  JL_LOG_STRIKE = 501,
  /* Edges. */
  JL_LOG_STARTED = 601,
  JL_LOG_STOPPED = 602,
  JL_LOG_MALFORMED_REQUEST = 603,
  JL_LOG_PLATFORM_LOST = 604,
  JL_LOG_PLATFORM_BACK = 605,
};

/**
 * jl_log - writes one event by GLib's logging
 * @number: one of enum jl_log_number
 * @first: its first argument, if it has one
 * @second: its second argument, if it has one
 */
void jl_log (enum jl_log_number number, uint64_t first, uint64_t second);

/**
 * jl_log_text - the same for an event whose argument is text
 */
void jl_log_text (enum jl_log_number number, const char *text);

#endif
