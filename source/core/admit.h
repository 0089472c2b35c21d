#ifndef JACKDAWLADDER_ADMIT_H
#define JACKDAWLADDER_ADMIT_H

/**
 * DOC: Admission control in front of the own target.
 *
 * Admission combines a concurrency limit (limit.h), a priority queue (queue.h)
 * and an admission level (level.h). Overload refusals follow the order of
 * priorities: while an item of priority p is refused, no less important item
 * waits or is admitted.
 */

#include "core-impl.h"

struct jl_admit *jl_admit_new (struct jl_core *core);
void jl_admit_drop (struct jl_admit *admit);

/**
 * jl_admit_set_slots - sets the number of slots that the own target announced
 * @slots: concurrent requests that the target accepts; 0 while it is down
 */
void jl_admit_set_slots (struct jl_core *core, uint32_t slots);

/**
 * jl_admit_submit - starts, queues or refuses a work item that has arrived
 */
void jl_admit_submit (struct jl_core *core, struct jl_work *work);

/**
 * jl_admit_done - frees the slot of a running item that has ended
 * @latency_us: latency of the target's answer; 0 if there was no answer, so
 *              that the run is no latency sample
 */
void
jl_admit_done (struct jl_core *core, struct jl_work *work, uint64_t latency_us);

/**
 * jl_admit_remove - removes a waiting item from its queue
 */
void jl_admit_remove (struct jl_core *core, struct jl_work *work);

/**
 * jl_admit_refuse_all - refuses all waiting items with @reason
 */
void jl_admit_refuse_all (struct jl_core *core, enum jl_reason reason);

/**
 * jl_admit_level - returns the admission level
 *
 * Items whose priority value is at or above the level are refused; a smaller
 * value is more important.
 *
 * Return: the level; JL_PRIORITY_COUNT when no priority is refused.
 */
uint32_t jl_admit_level (struct jl_core *core);

/**
 * jl_admit_load_permille - returns running and waiting requests per 1000 slots
 * of the current limit
 */
uint32_t jl_admit_load_permille (struct jl_core *core);

/**
 * jl_admit_retry_after_ms - returns the delay, with jitter, after which a
 * refused caller may retry
 */
uint32_t jl_admit_retry_after_ms (struct jl_core *core);

/**
 * jl_admit_running - returns the number of items that run at the target
 */
uint32_t jl_admit_running (struct jl_core *core);

/**
 * jl_admit_waiting - returns the number of queued and deferred items
 */
uint32_t jl_admit_waiting (struct jl_core *core);

/**
 * jl_admit_suspects_running - returns the number of running items that were
 * suspect when they started; see poison.h
 */
uint32_t jl_admit_suspects_running (struct jl_core *core);

/**
 * jl_admit_dump - appends the admission state to @out as a JSON object
 */
void jl_admit_dump (struct jl_core *core, GString *out);

#endif
