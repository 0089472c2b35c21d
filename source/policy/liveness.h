#ifndef JACKDAWLADDER_LIVENESS_H
#define JACKDAWLADDER_LIVENESS_H

/**
 * DOC: Whether the local target has ended.
 *
 * A lost response does not show that the target has ended: it may have closed
 * one connection only. A lost connection, or requests without any response for
 * some time, begin a doubt. While there is a doubt, connections are opened to
 * the target as probes. The target has ended if a probe is refused, or if it is
 * reset and no request in progress is left; if a probe gets no connection; or
 * if neither responses nor heartbeats arrive for some time. A response, or a
 * heartbeat if no request is overdue, ends the doubt.
 *
 * A target may end without closing its connections, and something in front of
 * it may accept connections while it is gone, and close them some time later.
 * An accepted connection is therefore no sign of life. For the times of probes
 * to be meaningful, a process that was stopped begins them again.
 */

#include "jackdawladder/base.h"

/**
 * enum jl_target_end - how it was found that a target has ended
 * @JL_TARGET_END_NONE: it has not ended, or this is not known
 * @JL_TARGET_END_REFUSED: it refuses connections
 * @JL_TARGET_END_RESET: all its connections are reset
 * @JL_TARGET_END_UNREACHABLE: connections are not established
 * @JL_TARGET_END_SILENT: neither responses nor heartbeats arrive
 * @JL_TARGET_END_REPLACED: another incarnation announced itself, and this one
 *                          had not announced its leave
 */
enum jl_target_end
{
  JL_TARGET_END_NONE,
  JL_TARGET_END_REFUSED,
  JL_TARGET_END_RESET,
  JL_TARGET_END_UNREACHABLE,
  JL_TARGET_END_SILENT,
  JL_TARGET_END_REPLACED,
};

/**
 * enum jl_probe_state - state of the current probe
 * @JL_PROBE_NONE: there is none
 * @JL_PROBE_CONNECTING: the connection is being established
 * @JL_PROBE_CONNECTED: the connection is established
 * @JL_PROBE_REFUSED: the connection was refused
 * @JL_PROBE_CLOSED: the target has closed or reset the connection
 */
enum jl_probe_state
{
  JL_PROBE_NONE,
  JL_PROBE_CONNECTING,
  JL_PROBE_CONNECTED,
  JL_PROBE_REFUSED,
  JL_PROBE_CLOSED,
};

/**
 * struct jl_liveness - what is known of the target's life
 * @heartbeat_interval_us: interval of the target's heartbeats
 * @response_us: time of the last response
 * @resumed_us: time at which this process last resumed after a stop
 * @doubt_us: time at which the current doubt began, 0 for none
 * @probe_us: time at which the current probe began, 0 for none
 * @next_probe_us: earliest time of the next probe
 * @checked_us: time of the last check
 */
struct jl_liveness
{
  uint64_t heartbeat_interval_us;
  uint64_t response_us;
  uint64_t resumed_us;
  uint64_t doubt_us;
  uint64_t probe_us;
  uint64_t next_probe_us;
  uint64_t checked_us;
};

/**
 * struct jl_liveness_view - what a check needs to know
 * @heartbeat_us: time of the target's last heartbeat
 * @probe: state of the probe that the owner has opened
 * @running: number of requests in progress at the target
 * @oldest_us: time at which the oldest of them was sent
 */
struct jl_liveness_view
{
  uint64_t heartbeat_us;
  enum jl_probe_state probe;
  unsigned running;
  uint64_t oldest_us;
};

/**
 * struct jl_liveness_result - what a check has found
 * @end: how the target was found to have ended
 * @alive: the doubt is over: the target lives
 * @open_probe: open a connection as a probe
 * @close_probe: close the probe
 */
struct jl_liveness_result
{
  enum jl_target_end end;
  bool alive;
  bool open_probe;
  bool close_probe;
};

/**
 * jl_liveness_begin - begins to watch a new incarnation, or one that was given
 * up and has announced itself again
 */
void jl_liveness_begin (struct jl_liveness *liveness, uint64_t now_us);

/**
 * jl_liveness_count_response - records a response to a request
 * @sent_us: time at which the request was sent
 */
void jl_liveness_count_response (struct jl_liveness *liveness,
                                 uint64_t sent_us,
                                 uint64_t now_us);

/**
 * jl_liveness_count_break - records that the connection of a request in
 * progress was lost
 */
void jl_liveness_count_break (struct jl_liveness *liveness, uint64_t now_us);

/**
 * jl_liveness_check - finds whether the target has ended
 *
 * Call it at least every 50 ms, and after each event of a probe.
 */
struct jl_liveness_result
jl_liveness_check (struct jl_liveness *liveness,
                   const struct jl_liveness_view *view,
                   uint64_t now_us);

/**
 * jl_target_end_name - returns the name of @end in the log
 */
const char *jl_target_end_name (enum jl_target_end end);

#endif
