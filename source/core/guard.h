#ifndef JACKDAWLADDER_GUARD_H
#define JACKDAWLADDER_GUARD_H

/**
 * DOC: The guard: all requests to the own target pass through it.
 *
 * The guard tracks the target's announcements, accepts work items from the
 * entries of this and other daemons, submits them to admission control, and
 * reports the result of each item to its sender.
 */

#include "core-impl.h"

/**
 * jl_guard_announce - handles an announcement of the own target
 *
 * Renews the lease of the target. A change of its service, process or slots is
 * passed on to admission and to the other members.
 */
void jl_guard_announce (struct jl_core *core,
                        const struct jl_event_announce *announce);

/**
 * jl_guard_target_leave - marks the target as down after it has announced that
 * it takes no more requests
 */
void jl_guard_target_leave (struct jl_core *core);

/**
 * jl_guard_config - looks up the target's service in a new configuration
 */
void jl_guard_config (struct jl_core *core);

/**
 * jl_guard_work - handles the arrival of an attempt from an entry
 *
 * Refuses duplicates, attempts that were cancelled before they arrived, and
 * work that the target cannot take; submits all other work to admission.
 */
void jl_guard_work (struct jl_core *core, const struct jl_event_work *event);

/**
 * jl_guard_result - handles the end of a run at the own target
 */
void jl_guard_result (struct jl_core *core,
                      const struct jl_event_work_result *event);

/**
 * jl_guard_cancel - handles another daemon's request to cancel an attempt
 *
 * Replies with JL_MESSAGE_CANCELLED if the attempt has not run and never will,
 * otherwise with JL_MESSAGE_CANCEL_LATE.
 */
void jl_guard_cancel (struct jl_core *core, const struct jl_message *message);

/**
 * jl_guard_run - sends an admitted work item to the own target
 */
void jl_guard_run (struct jl_core *core, struct jl_work *work);

/**
 * jl_guard_refuse - ends a waiting work item without running it
 * @retry_after_ms: delay after which the sender should retry, 0 if not
 *                  specified
 */
void jl_guard_refuse (struct jl_core *core,
                      struct jl_work *work,
                      enum jl_reason reason,
                      uint32_t retry_after_ms);

/**
 * jl_guard_drain - stops accepting work and starts draining
 *
 * The process exits once all work in progress has ended.
 */
void jl_guard_drain (struct jl_core *core);

/**
 * jl_guard_check_drained - emits JL_EFFECT_EXIT if draining is complete
 */
void jl_guard_check_drained (struct jl_core *core);

#endif
