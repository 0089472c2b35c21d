#ifndef JACKDAWLADDER_ATTEMPT_TABLE_H
#define JACKDAWLADDER_ATTEMPT_TABLE_H

/**
 * DOC: The table of attempts that this daemon has received.
 *
 * The table detects duplicate attempts and prevents the run of an attempt that
 * arrives after its cancellation.
 */

#include "core-impl.h"

/**
 * enum jl_attempt_state - state of an attempt at the receiving daemon
 * @JL_ATTEMPT_UNKNOWN: the attempt has not arrived, or its entry has expired
 * @JL_ATTEMPT_ACCEPTED: the attempt is queued, running or ended
 * @JL_ATTEMPT_TOMBSTONE: the attempt was refused or cancelled and will never
 *                        run
 */
enum jl_attempt_state
{
  JL_ATTEMPT_UNKNOWN,
  JL_ATTEMPT_ACCEPTED,
  JL_ATTEMPT_TOMBSTONE,
};

struct jl_attempt_table *jl_attempt_table_new (struct jl_core *core);
void jl_attempt_table_drop (struct jl_attempt_table *table);

/**
 * jl_attempt_find_state - returns the state of an attempt
 */
enum jl_attempt_state jl_attempt_find_state (struct jl_core *core,
                                             struct jl_attempt_id attempt);

/**
 * jl_attempt_set_state - sets the state of an attempt, and adds the attempt to
 * the table if it isn't there
 */
void jl_attempt_set_state (struct jl_core *core,
                           struct jl_attempt_id attempt,
                           enum jl_attempt_state state);

/**
 * jl_attempt_set_work - records the work item of an attempt
 *
 * Has no effect if the attempt isn't in the table.
 */
void jl_attempt_set_work (struct jl_core *core,
                          struct jl_attempt_id attempt,
                          uint64_t work);

/**
 * jl_attempt_find_work - returns the number of an attempt's work item
 *
 * Return: 0 if the attempt has no work item or isn't in the table.
 */
uint64_t jl_attempt_find_work (struct jl_core *core,
                               struct jl_attempt_id attempt);

#endif
