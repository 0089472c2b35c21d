#ifndef JACKDAWLADDER_PROXY_WATCH_H
#define JACKDAWLADDER_PROXY_WATCH_H

/**
 * DOC: Watches whether the local target has ended, and which requests were in
 * progress there at that time.
 *
 * policy/liveness.h decides; this module opens the probes and remembers the
 * requests whose connections were lost or that were cancelled shortly before.
 */

#include "policy/liveness.h"
#include "proxy/proxy.h"

/**
 * struct jl_ended_run - a request that was in progress at the target
 * @content: identity of its content
 * @trial: it was a trial
 * @started_us: time at which it was sent to the target
 */
struct jl_ended_run
{
  uint64_t content;
  bool trial;
  uint64_t started_us;
};

struct jl_work;

struct jl_watch *jl_watch_new (struct jl_proxy *proxy);

/**
 * jl_watch_begin - begins to watch a target that takes work from now on
 */
void jl_watch_begin (struct jl_watch *watch);

/**
 * jl_watch_count_response - records that the target responded to a request
 * @sent_us: time at which the request was sent
 */
void jl_watch_count_response (struct jl_watch *watch, uint64_t sent_us);

/**
 * jl_watch_end_run - returns what is remembered of work in progress at the
 * target
 */
struct jl_ended_run jl_watch_end_run (const struct jl_work *work);

/**
 * jl_watch_run_lost - records that the connection to the target was lost while
 * a request was in progress there; the request is not in the proxy's list of
 * work items any more
 */
void jl_watch_run_lost (struct jl_watch *watch, const struct jl_ended_run *run);

/**
 * jl_watch_run_cancelled - records that a request was cancelled while it was in
 * progress at the target, which may end because of it nevertheless
 */
void jl_watch_run_cancelled (struct jl_watch *watch,
                             const struct jl_ended_run *run);

/**
 * jl_watch_is_in_doubt - whether the target may have ended
 */
bool jl_watch_is_in_doubt (const struct jl_watch *watch);

/**
 * jl_watch_check - checks whether the target has ended
 */
void jl_watch_check (struct jl_watch *watch);

/**
 * jl_watch_target_ended - takes a target that has ended out of service until
 * the next heartbeat
 * @end: how it was found; JL_TARGET_END_REPLACED if the heartbeat of the new
 *       incarnation is about to be applied
 *
 * Has no effect on a target that is leaving or was out of service before.
 */
void jl_watch_target_ended (struct jl_watch *watch, enum jl_target_end end);

#endif
