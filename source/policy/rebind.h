#ifndef JACKDAWLADDER_REBIND_H
#define JACKDAWLADDER_REBIND_H

/**
 * DOC: Decides when a guard hands a waiting request back to its entry.
 *
 * A request is handed back if another target of the service is expected to
 * complete it sooner, also after the transfer. All guards with a queue see the
 * same reports, so each counts the requests that the others may hand back for
 * the same target.
 */

#include "policy/expected-wait.h"

/* Maximum number of times that a request is handed back. */
#define JL_REBIND_MOVES_MAX 2

/**
 * jl_rebind_choose - finds a target that completes a waiting request sooner
 * @own: load of the target at which it waits
 * @ahead: requests that are in the queue before it
 * @others: last reports of other targets of the service
 * @count: number of @others
 *
 * Return: one of @others, in which the request and those that other guards may
 * send there are claimed; NULL if the request stays.
 */
struct jl_load_view *jl_rebind_choose (const struct jl_load_report *own,
                                       unsigned ahead,
                                       struct jl_load_view *const *others,
                                       unsigned count,
                                       uint64_t now_us);

#endif
