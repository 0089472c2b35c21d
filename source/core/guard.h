#ifndef JACKDAWLADDER_GUARD_H
#define JACKDAWLADDER_GUARD_H

/**
 * DOC: The guard, the only way to the own target.
 */

#include "core-impl.h"

void jl_guard_announce (struct jl_core *core,
                        const struct jl_event_announce *announce);
void jl_guard_target_leave (struct jl_core *core);
void jl_guard_config (struct jl_core *core);
void jl_guard_work (struct jl_core *core, const struct jl_event_work *event);
void jl_guard_result (struct jl_core *core,
                      const struct jl_event_work_result *event);

/**
 * jl_guard_cancel - another daemon cancels one of its sendings
 *
 * Answers with JL_MESSAGE_CANCELLED or JL_MESSAGE_CANCEL_LATE.
 */
void jl_guard_cancel (struct jl_core *core, const struct jl_message *message);

/**
 * jl_guard_run - admission lets a work item run now
 */
void jl_guard_run (struct jl_core *core, struct jl_work *work);

/**
 * jl_guard_refuse - ends a work item that has not run and will not
 */
void jl_guard_refuse (struct jl_core *core,
                      struct jl_work *work,
                      enum jl_reason reason,
                      uint32_t retry_after_ms);

/**
 * jl_guard_drain - stops taking work; exits once all in progress has ended
 */
void jl_guard_drain (struct jl_core *core);

/**
 * jl_guard_check_drained - emits JL_EFFECT_EXIT once nothing is in progress
 */
void jl_guard_check_drained (struct jl_core *core);

#endif
