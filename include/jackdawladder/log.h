#ifndef JACKDAWLADDER_LOG_H
#define JACKDAWLADDER_LOG_H

/**
 * DOC: Numbered log events, listed for operators in docs/EVENTS.md.
 *
 * A log line has the form "E101 configuration installed version=3". The number
 * of an event never changes and is never reused for another event.
 */

#include "jackdawladder/base.h"

enum jl_log_number
{
  /* Configuration. */
  JL_LOG_CONFIG_INSTALLED = 101,
  JL_LOG_CONFIG_REFUSED = 102,
  /* Local target. */
  JL_LOG_TARGET_UP = 201,
  JL_LOG_TARGET_DOWN = 202,
  JL_LOG_DRAIN_STARTED = 203,
  /* Membership. */
  JL_LOG_MEMBER_ALIVE = 301,
  JL_LOG_MEMBER_SUSPECT = 302,
  JL_LOG_MEMBER_DEAD = 303,
  JL_LOG_MEMBER_LEFT = 304,
  /* Admission. */
  JL_LOG_LEVEL_LOWERED = 401,
  JL_LOG_LEVEL_RESTORED = 402,
  /* Requests suspected of crashing targets. */
  JL_LOG_STRIKE = 501,
  /* Process, HTTP and platform. */
  JL_LOG_STARTED = 601,
  JL_LOG_STOPPED = 602,
  JL_LOG_MALFORMED_REQUEST = 603,
  JL_LOG_PLATFORM_UNREACHABLE = 604,
  JL_LOG_PLATFORM_REACHABLE = 605,
};

/**
 * jl_log - logs an event through GLib
 * @first: value of the event's first argument; ignored if it has none
 * @second: value of the event's second argument; ignored if it has none
 */
void jl_log (enum jl_log_number number, uint64_t first, uint64_t second);

/**
 * jl_log_text - logs an event with a text instead of numeric arguments
 */
void jl_log_text (enum jl_log_number number, const char *text);

#endif
