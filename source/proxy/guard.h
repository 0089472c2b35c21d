#ifndef JACKDAWLADDER_PROXY_GUARD_H
#define JACKDAWLADDER_PROXY_GUARD_H

/**
 * DOC: A request in progress at the guard.
 */

#include "policy/content.h"
#include "proxy/proxy.h"
#include "proxy/relay.h"

/**
 * struct jl_work - a request in progress at the guard
 * @link: in the proxy's list of work items
 * @item: entry of the queue
 * @relay: the entry's request and the upstream request to the target
 * @header: parsed header field of the entry
 * @content: digest of the request's content
 * @run: the request as a run in progress at the target
 * @running: the request holds a slot of the target
 * @fresh_connection: the request is sent on a new connection, not on one that
 *                    was kept open
 * @body_streamed: a part of the body was passed on without being buffered, so
 *                 the request cannot be resent
 * @on_trial: the request is a trial of its content
 * @trial_reported_us: time at which the trial was last reported
 * @held_until_us: time until which the request waits until a trial may begin
 * @target_key: key of the target's incarnation that the request names
 * @target_hash: hash of the target's identifier that the request names
 * @started_us: time at which the request was sent to the target
 * @timer: until the request is sent to the target: connection timeout; then the
 *         time after which nobody waits for the response
 */
struct jl_work
{
  struct cds_list_head link;
  struct jl_lane_item item;
  struct jl_proxy *proxy;
  struct jl_relay relay;
  struct jl_work_header header;
  struct jl_content content;
  struct jl_run run;
  bool running;
  bool fresh_connection;
  bool body_streamed;
  bool on_trial;
  uint64_t trial_reported_us;
  uint64_t held_until_us;
  uint32_t target_key;
  uint64_t target_hash;
  uint64_t started_us;
  struct jl_timer timer;
};

/**
 * jl_guard_start - begins work whose content may be sent to the target: refuses
 * it, queues it, or sends it
 */
void jl_guard_start (struct jl_work *work);

/**
 * jl_guard_refuse - refuses work, which has not run and will not run
 */
void jl_guard_refuse (struct jl_work *work, const char *reason);

/**
 * jl_guard_attempt_id - returns the attempt identifier of the client, "-" if
 * there is none
 */
const char *jl_guard_attempt_id (const struct jl_work *work);

#endif
