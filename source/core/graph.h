#ifndef JACKDAWLADDER_GRAPH_H
#define JACKDAWLADDER_GRAPH_H

/**
 * DOC: The learned call graph: which services each kind of request reaches,
 * and the admission levels of these services.
 *
 * Each answer reports the levels of the services that its request went
 * through. A call is refused early if a service refuses its priority and
 * nearly all requests of its kind reach that service. A service that only some
 * requests reach is not considered; its own guards refuse the excess. A
 * reported level is trusted for a short time. After that it still applies until
 * it expires, but a request is admitted at intervals as a probe.
 */

#include "core-impl.h"

struct jl_graph *jl_graph_new (struct jl_core *core);
void jl_graph_drop (struct jl_graph *graph);

/**
 * jl_graph_config - discards the graph when the configuration has changed
 *
 * The graph refers to kinds and services by their index in the configuration.
 */
void jl_graph_config (struct jl_core *core);

/**
 * jl_graph_learn - updates the graph from the report of an answer
 * @kind: kind of the call that was answered
 * @outcome: outcome of the call; only calls with JL_OUTCOME_DONE count for
 *           reachability
 */
void jl_graph_learn (struct jl_core *core,
                     uint32_t kind,
                     enum jl_outcome outcome,
                     const struct jl_report *report);

/**
 * jl_graph_refuses - whether a call would be refused by a service that its own
 * service calls
 * @service: set to the service that refuses the call, on true
 */
bool jl_graph_refuses (struct jl_core *core,
                       uint32_t kind,
                       uint32_t priority,
                       uint32_t *service);

/**
 * jl_graph_level - returns the last known admission level of a service
 *
 * Return: the level; JL_PRIORITY_COUNT if none is known or it has expired.
 */
uint32_t jl_graph_level (struct jl_core *core, uint32_t service);

/**
 * jl_report_merge - adds the items of @from to @into
 *
 * If a service is in both reports, the higher level is kept.
 */
void jl_report_merge (struct jl_report *into, const struct jl_report *from);

/**
 * jl_report_add - sets the level of a service in a report
 *
 * A service that is not in the report is ignored when the report is full.
 */
void jl_report_add (struct jl_report *report, uint32_t service, uint32_t level);

/**
 * jl_graph_dump - appends the graph to @out as a JSON array
 */
void jl_graph_dump (struct jl_core *core, GString *out);

#endif
