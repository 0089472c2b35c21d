#ifndef JACKDAWLADDER_POISON_H
#define JACKDAWLADDER_POISON_H

/**
 * DOC: Requests that crash the targets that run them.
 *
 * A request in progress when its target died gets a strike, by the digest of
 * its content. Of requests that have a strike, one at a time runs at a
 * target; when that target dies, only this one gets another. At two strikes
 * on different targets it is refused everywhere for a while. Strikes travel
 * with messages, and a request that was answered loses them here.
 *
 * Content without a digest (0) is never struck.
 */

#include "core-impl.h"

struct jl_poison *jl_poison_new (struct jl_core *core);
void jl_poison_drop (struct jl_poison *poison);

/**
 * jl_poison_target_died - the own target died with @work in progress
 *
 * Return: true when @work got a strike for it.
 */
bool jl_poison_target_died (struct jl_core *core, const struct jl_work *work);

/**
 * jl_poison_strike - @digest was in progress when @target died
 */
void jl_poison_strike (struct jl_core *core, uint64_t digest, uint64_t target);

/**
 * jl_poison_request_answered - a request of this content was answered
 */
void jl_poison_request_answered (struct jl_core *core, uint64_t digest);

/**
 * jl_poison_strikes - different targets that died with @digest in progress
 */
uint32_t jl_poison_strikes (struct jl_core *core, uint64_t digest);

/**
 * jl_poison_refuses - whether requests of this content are refused
 */
bool jl_poison_refuses (struct jl_core *core, uint64_t digest);

/**
 * jl_poison_is_suspect - whether it may run only while no other request that
 * has a strike does
 */
bool jl_poison_is_suspect (struct jl_core *core, uint64_t digest);

/**
 * jl_poison_fill_message - adds recent strikes to a message
 */
void jl_poison_fill_message (struct jl_core *core, struct jl_message *message);

/**
 * jl_poison_read_message - takes over the strikes in a message
 */
void jl_poison_read_message (struct jl_core *core,
                             const struct jl_message *message);

void jl_poison_dump (struct jl_core *core, GString *out);

#endif
