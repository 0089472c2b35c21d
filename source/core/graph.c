/**
 * DOC: The learned call graph.
 */

#include "graph.h"

#include <inttypes.h>

/* What was said of a service's level holds this long. */
#define LEVEL_FRESH_US (500 * JL_USEC_PER_MSEC)
/* A service not seen below a kind for this long is forgotten. */
#define EDGE_KEEP_US (60 * JL_USEC_PER_SEC)

/**
 * struct edge - a kind of request was seen to reach a service
 */
struct edge
{
  uint64_t seen_us;
  uint32_t level;
};

struct jl_graph
{
  struct edge edges[JL_KIND_MAX][JL_SERVICE_MAX];
};

struct jl_graph *
jl_graph_new (struct jl_core *core G_GNUC_UNUSED)
{
  return g_new0 (struct jl_graph, 1);
}

void
jl_graph_drop (struct jl_graph *graph)
{
  g_free (graph);
}

void
jl_graph_config (struct jl_core *core)
{
  jl_graph_drop (core->graph);
  core->graph = jl_graph_new (core);
}

void
jl_graph_learn (struct jl_core *core,
                uint32_t kind,
                const struct jl_report *report)
{
  for (uint32_t i = 0; i < report->count; i++)
    {
      struct edge *edge;

      if (report->items[i].service >= JL_SERVICE_MAX)
        continue;
      edge = &core->graph->edges[kind][report->items[i].service];
      edge->seen_us = core->now_us;
      edge->level = report->items[i].level;
    }
}

bool
jl_graph_refuses (struct jl_core *core,
                  uint32_t kind,
                  uint32_t priority,
                  uint32_t *service)
{
  uint32_t own = core->config->kinds[kind].service;

  if (core->options.mode != JL_CORE_FULL)
    return false;
  for (uint32_t i = 0; i < core->config->service_count; i++)
    {
      const struct edge *edge = &core->graph->edges[kind][i];

      if (i == own || edge->seen_us == 0)
        continue;
      if (edge->seen_us + LEVEL_FRESH_US < core->now_us)
        continue;
      if (priority >= edge->level)
        {
          *service = i;
          return true;
        }
    }
  return false;
}

void
jl_report_add (struct jl_report *report, uint32_t service, uint32_t level)
{
  for (uint32_t i = 0; i < report->count; i++)
    if (report->items[i].service == service)
      {
        report->items[i].level = level;
        return;
      }
  if (report->count == JL_REPORT_MAX)
    return;
  report->items[report->count].service = service;
  report->items[report->count].level = level;
  report->count++;
}

void
jl_report_merge (struct jl_report *into, const struct jl_report *from)
{
  for (uint32_t i = 0; i < from->count; i++)
    jl_report_add (into, from->items[i].service, from->items[i].level);
}

void
jl_graph_dump (struct jl_core *core, GString *out)
{
  const char *comma = "";

  g_string_append (out, "[");
  for (uint32_t kind = 0;
       core->config != NULL && kind < core->config->kind_count; kind++)
    for (uint32_t i = 0; i < core->config->service_count; i++)
      {
        const struct edge *edge = &core->graph->edges[kind][i];

        if (edge->seen_us == 0 || edge->seen_us + EDGE_KEEP_US < core->now_us)
          continue;
        g_string_append_printf (
            out, "%s{\"kind\":\"%s\",\"service\":\"%s\",\"level\":%u}", comma,
            core->config->kinds[kind].name, core->config->services[i].name,
            edge->level);
        comma = ",";
      }
  g_string_append (out, "]");
}
