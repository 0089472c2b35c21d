#ifndef JACKDAWLADDER_SEEN_H
#define JACKDAWLADDER_SEEN_H

/**
 * DOC: Which sendings the guard has seen, so that none is taken twice and a
 * cancelled one that arrives late is not run.
 */

#include "core-impl.h"

/**
 * enum jl_seen - what became of a sending at this guard
 * @JL_SEEN_NEVER: it has not arrived
 * @JL_SEEN_ACCEPTED: it waits, runs or ran
 * @JL_SEEN_TOMBSTONE: it was refused or cancelled and will never run
 */
enum jl_seen
{
  JL_SEEN_NEVER,
  JL_SEEN_ACCEPTED,
  JL_SEEN_TOMBSTONE,
};

struct jl_seen_table *jl_seen_new (struct jl_core *core);
void jl_seen_drop (struct jl_seen_table *table);
enum jl_seen jl_seen_find (struct jl_core *core, struct jl_attempt_id attempt);
void jl_seen_set (struct jl_core *core,
                  struct jl_attempt_id attempt,
                  enum jl_seen seen);

/**
 * jl_seen_set_work - the work item that a sending became
 */
void jl_seen_set_work (struct jl_core *core,
                       struct jl_attempt_id attempt,
                       uint64_t work);

/**
 * jl_seen_work - number of that work item, 0 when there never was one
 */
uint64_t jl_seen_work (struct jl_core *core, struct jl_attempt_id attempt);

#endif
