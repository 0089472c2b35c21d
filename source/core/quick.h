#ifndef JACKDAWLADDER_QUICK_H
#define JACKDAWLADDER_QUICK_H

/**
 * DOC: How long the quicker runs of each kind of request take. An item with
 * less time left than that can't be done before its deadline.
 */

#include "core-impl.h"

struct jl_quick;

struct jl_quick *jl_quick_new (void);
void jl_quick_drop (struct jl_quick *quick);

/**
 * jl_quick_get - time that the quicker runs of a work item's kind take, 0 while
 * that is not known in its configuration
 */
uint64_t jl_quick_get (const struct jl_quick *quick,
                       const struct jl_work *work);

/**
 * jl_quick_learn - @work has run for @duration_us
 */
void jl_quick_learn (struct jl_quick *quick,
                     const struct jl_work *work,
                     uint64_t duration_us);

#endif
