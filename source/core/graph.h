#ifndef JACKDAWLADDER_GRAPH_H
#define JACKDAWLADDER_GRAPH_H

/**
 * DOC: The learned call graph: which services a kind of request reaches, and
 * what they refuse.
 *
 * Each answer brings the levels of the services that its request went
 * through. A service bars a kind if nearly all requests of the kind reach it;
 * one that only some reach is left to its own guards. A level holds for a
 * short time. After that it still bars, but now and then a request goes
 * through to learn of it, until it is forgotten.
 */

#include "core-impl.h"

struct jl_graph *jl_graph_new (struct jl_core *core);
void jl_graph_drop (struct jl_graph *graph);
void jl_graph_config (struct jl_core *core);

/**
 * jl_graph_learn - an answer to a call of @kind came with @report
 */
void jl_graph_learn (struct jl_core *core,
                     uint32_t kind,
                     enum jl_outcome outcome,
                     const struct jl_report *report);

/**
 * jl_graph_refuses - whether a call would be refused below its first service
 * @service: the service that refuses it, on true
 */
bool jl_graph_refuses (struct jl_core *core,
                       uint32_t kind,
                       uint32_t priority,
                       uint32_t *service);

/**
 * jl_graph_level - lowest priority that a service is known to refuse
 */
uint32_t jl_graph_level (struct jl_core *core, uint32_t service);

/**
 * jl_report_merge - adds the items of @from to @into
 *
 * Of a service that is in both the higher level stays.
 */
void jl_report_merge (struct jl_report *into, const struct jl_report *from);

/**
 * jl_report_add - adds one service, or replaces what is said of it
 */
void jl_report_add (struct jl_report *report, uint32_t service, uint32_t level);

void jl_graph_dump (struct jl_core *core, GString *out);

#endif
