#ifndef JACKDAWLADDER_ADMIT_H
#define JACKDAWLADDER_ADMIT_H

/**
 * DOC: Admission at the guard: the limit, the queue and the level.
 *
 * Work is refused for overload only in order: while an item of priority p is
 * refused, nothing less important waits or is let in.
 */

#include "core-impl.h"

struct jl_admit *jl_admit_new (struct jl_core *core);
void jl_admit_drop (struct jl_admit *admit);

/**
 * jl_admit_set_slots - the own target has announced @slots, 0 when it is gone
 */
void jl_admit_set_slots (struct jl_core *core, uint32_t slots);

/**
 * jl_admit_submit - lets @work run, queues it, or refuses it
 */
void jl_admit_submit (struct jl_core *core, struct jl_work *work);

/**
 * jl_admit_done - a running item has ended
 * @latency_us: 0 when it says nothing of the target's latency
 */
void
jl_admit_done (struct jl_core *core, struct jl_work *work, uint64_t latency_us);

/**
 * jl_admit_remove - takes a waiting item out of the queue
 */
void jl_admit_remove (struct jl_core *core, struct jl_work *work);

/**
 * jl_admit_refuse_all - refuses all that waits, for @reason
 */
void jl_admit_refuse_all (struct jl_core *core, enum jl_reason reason);

/**
 * jl_admit_level - lowest priority refused now; JL_PRIORITY_COUNT for none
 */
uint32_t jl_admit_level (struct jl_core *core);

/**
 * jl_admit_load_permille - requests in progress and waiting for 1000 slots
 */
uint32_t jl_admit_load_permille (struct jl_core *core);

/**
 * jl_admit_retry_after_ms - when a refused caller is to come back, with jitter
 */
uint32_t jl_admit_retry_after_ms (struct jl_core *core);

uint32_t jl_admit_running (struct jl_core *core);
uint32_t jl_admit_waiting (struct jl_core *core);

/**
 * jl_admit_suspects_running - running items whose content has a strike
 */
uint32_t jl_admit_suspects_running (struct jl_core *core);

void jl_admit_dump (struct jl_core *core, GString *out);

#endif
