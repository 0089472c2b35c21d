#ifndef JACKDAWLADDER_POISON_H
#define JACKDAWLADDER_POISON_H

/**
 * DOC: Detection of poison requests, which crash the targets that run them.
 *
 * A request that is in progress when its target dies gets a strike, recorded
 * under the digest of its content. Content with an active strike is suspect. A
 * target runs only one suspect request at a time; if the target dies during the
 * run, only this request gets another strike. Content with strikes on two
 * different targets is refused by every daemon until the strikes expire.
 * Control messages carry the strikes to other daemons. An answer clears the
 * strikes of the request's content at the daemon that receives the answer.
 *
 * Content without a digest (0) never gets a strike.
 */

#include "core-impl.h"

struct jl_poison *jl_poison_new (struct jl_core *core);
void jl_poison_drop (struct jl_poison *poison);

/**
 * jl_poison_target_died - handles the death of the own target during @work
 *
 * Return: whether the content of @work got a strike.
 */
bool jl_poison_target_died (struct jl_core *core, const struct jl_work *work);

/**
 * jl_poison_strike - adds a strike to content that was in progress when a
 * target died
 * @target: member ID of the daemon whose target died
 */
void jl_poison_strike (struct jl_core *core, uint64_t digest, uint64_t target);

/**
 * jl_poison_request_answered - clears the strikes of content that was answered
 */
void jl_poison_request_answered (struct jl_core *core, uint64_t digest);

/**
 * jl_poison_strikes - returns the number of different targets with an active
 * strike against @digest
 */
uint32_t jl_poison_strikes (struct jl_core *core, uint64_t digest);

/**
 * jl_poison_refuses - whether content has enough strikes to be refused
 */
bool jl_poison_refuses (struct jl_core *core, uint64_t digest);

/**
 * jl_poison_is_suspect - whether content has an active strike
 *
 * A suspect request must not run while another suspect request runs at the same
 * target.
 */
bool jl_poison_is_suspect (struct jl_core *core, uint64_t digest);

/**
 * jl_poison_fill_message - adds recently recorded strikes to a gossip message
 */
void jl_poison_fill_message (struct jl_core *core, struct jl_message *message);

/**
 * jl_poison_read_message - records the strikes that a message carries
 */
void jl_poison_read_message (struct jl_core *core,
                             const struct jl_message *message);

/**
 * jl_poison_dump - appends the numbers of suspect and of refused contents to
 * @out as a JSON object
 */
void jl_poison_dump (struct jl_core *core, GString *out);

#endif
