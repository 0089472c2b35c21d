#ifndef JACKDAWLADDER_ONCE_H
#define JACKDAWLADDER_ONCE_H

/**
 * DOC: At most once: tickets, and who may grant a run under them.
 *
 * Only the daemon that minted a ticket grants runs under it, one at a time,
 * and none after one that may have run. When it is gone, nobody grants.
 */

#include "core-impl.h"

struct jl_once *jl_once_new (struct jl_core *core);
void jl_once_drop (struct jl_once *once);

/**
 * jl_once_mint - a fresh ticket of this daemon
 */
struct jl_ticket jl_once_mint (struct jl_core *core);

/**
 * jl_once_derive - ticket of a call that a target makes further down
 * @anchor: that of the run which makes the call
 * @kind: its kind by name, since an index differs between configurations
 *
 * The branch hashes the whole path down the tree; a collision of two paths of
 * one tree is as good as impossible at 64 bits.
 */
struct jl_ticket
jl_once_derive (struct jl_ticket anchor, const char *kind, uint32_t ordinal);

/**
 * jl_once_arrive - a call under a ticket arrives at its issuer
 *
 * Return: true when it may be sent. On false it has been answered.
 */
bool jl_once_arrive (struct jl_core *core, struct jl_call *call);

/**
 * jl_once_answered - records the final outcome of the sending in progress
 * @outcome: JL_OUTCOME_NOT_RUN lets the request be sent again
 * @retry_after_ms: when the caller will be told to come back
 *
 * A request that was not run is not granted again before that time, since
 * what arrives earlier may be a sending that its caller has given up.
 *
 * Return: @retry_after_ms, or more.
 */
uint32_t jl_once_answered (struct jl_core *core,
                           struct jl_call *call,
                           enum jl_outcome outcome,
                           enum jl_reason reason,
                           uint32_t retry_after_ms);

/**
 * jl_once_key_ticket - the ticket that a caller's key is known to stand for
 */
bool jl_once_key_ticket (struct jl_core *core,
                         uint64_t key_hash,
                         struct jl_ticket *ticket);

/**
 * jl_once_learn_key - the platform's table says whose ticket a key stands for
 */
void jl_once_learn_key (struct jl_core *core,
                        uint64_t key_hash,
                        struct jl_ticket ticket);

void jl_once_dump (struct jl_core *core, GString *out);

#endif
