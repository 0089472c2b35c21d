/**
 * DOC: The learned call graph: reachability by kind, and levels by service.
 */

#include "graph.h"

#include "member.h"

/* A reported level is trusted for this long. */
#define LEVEL_FRESH_US (500 * JL_USEC_PER_MSEC)
/*
 * The level of a service is the highest one reported in this or the last span.
 */
#define LEVEL_SPAN_US (50 * JL_USEC_PER_MSEC)
/* An older level still applies, but is probed, until it expires at this age. */
#define LEVEL_EXPIRY_US (3 * JL_USEC_PER_SEC)
/*
 * Interval between two probes that one daemon sends. For every PROBE_DAEMONS
 * members it grows by this length, which limits the total rate of probes of all
 * daemons.
 */
#define PROBE_INTERVAL_US (50 * JL_USEC_PER_MSEC)
#define PROBE_DAEMONS 16
/*
 * A service counts as reached by a kind if at least this share of the kind's
 * answers went through it.
 */
#define REACH_PERCENT 90
/*
 * The share counts as known if there are at least ANSWERS_MIN answers. At
 * ANSWERS_MAX answers all counts are halved, so that older answers lose weight.
 */
#define ANSWERS_MIN 4
#define ANSWERS_MAX 64

/**
 * struct service_level - admission level of a service, as reported by answers
 * @span_started_us: start of the current span
 * @level: highest level reported in the current span
 * @previous_level: highest level reported in the previous span; 0 for none
 * @reported_us: time of the last report; 0 if there was none
 * @next_probe_us: earliest time of the next probe
 */
struct service_level
{
  uint64_t span_started_us;
  uint32_t level;
  uint32_t previous_level;
  uint64_t reported_us;
  uint64_t next_probe_us;
};

/**
 * struct reach - which services the requests of a kind reach
 * @answers: number of answered requests
 * @reached: number of these requests that went through each service
 */
struct reach
{
  uint16_t answers;
  uint16_t reached[JL_SERVICE_MAX];
};

struct jl_graph
{
  struct service_level services[JL_SERVICE_MAX];
  struct reach kinds[JL_KIND_MAX];
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

static void
record_level (struct jl_core *core, uint32_t service, uint32_t level)
{
  struct service_level *known = &core->graph->services[service];
  uint64_t age_us = core->now_us - known->span_started_us;

  if (known->reported_us == 0 || age_us >= LEVEL_SPAN_US)
    {
      known->previous_level = age_us < 2 * LEVEL_SPAN_US ? known->level : 0;
      known->level = 0;
      known->span_started_us = core->now_us;
    }
  known->level = MAX (known->level, level);
  known->reported_us = core->now_us;
}

static void
halve_counts (struct reach *reach)
{
  reach->answers /= 2;
  for (uint32_t i = 0; i < JL_SERVICE_MAX; i++)
    reach->reached[i] /= 2;
}

void
jl_graph_learn (struct jl_core *core,
                uint32_t kind,
                enum jl_outcome outcome,
                const struct jl_report *report)
{
  struct reach *reach = &core->graph->kinds[kind];

  if (outcome == JL_OUTCOME_DONE)
    reach->answers++;
  for (uint32_t i = 0; i < report->count; i++)
    {
      uint32_t service = report->items[i].service;

      if (service >= JL_SERVICE_MAX)
        continue;
      record_level (core, service, report->items[i].level);
      if (outcome == JL_OUTCOME_DONE)
        reach->reached[service]++;
    }
  if (reach->answers >= ANSWERS_MAX)
    halve_counts (reach);
}

static bool
is_reached (const struct reach *reach, uint32_t service)
{
  return reach->answers >= ANSWERS_MIN
         && reach->reached[service] * 100U >= reach->answers * REACH_PERCENT;
}

uint32_t
jl_graph_level (struct jl_core *core, uint32_t service)
{
  const struct service_level *known = &core->graph->services[service];

  if (known->reported_us == 0
      || known->reported_us + LEVEL_EXPIRY_US < core->now_us)
    return JL_PRIORITY_COUNT;
  return MAX (known->level, known->previous_level);
}

/* Whether to admit a request as a probe of an old level. */
static bool
take_probe (struct jl_core *core, struct service_level *known)
{
  uint32_t interval_count = 1 + jl_members_count (core) / PROBE_DAEMONS;

  if (known->reported_us + LEVEL_FRESH_US >= core->now_us
      || known->next_probe_us > core->now_us)
    return false;
  known->next_probe_us = core->now_us + interval_count * PROBE_INTERVAL_US;
  return true;
}

bool
jl_graph_refuses (struct jl_core *core,
                  uint32_t kind,
                  uint32_t priority,
                  uint32_t *service)
{
  uint32_t own_service = core->config->kinds[kind].service;
  const struct reach *reach = &core->graph->kinds[kind];

  if (core->options.mode != JL_CORE_FULL)
    return false;
  for (uint32_t i = 0; i < core->config->service_count; i++)
    {
      if (i == own_service || !is_reached (reach, i)
          || priority < jl_graph_level (core, i)
          || take_probe (core, &core->graph->services[i]))
        continue;
      *service = i;
      return true;
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
    {
      const struct jl_report_item *item = &from->items[i];
      uint32_t level = item->level;

      for (uint32_t j = 0; j < into->count; j++)
        if (into->items[j].service == item->service)
          level = MAX (level, into->items[j].level);
      jl_report_add (into, item->service, level);
    }
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
        const struct reach *reach = &core->graph->kinds[kind];

        if (reach->reached[i] == 0)
          continue;
        g_string_append_printf (
            out,
            "%s{\"kind\":\"%s\",\"service\":\"%s\",\"reached\":%u,"
            "\"answers\":%u,\"level\":%u}",
            comma, core->config->kinds[kind].name,
            core->config->services[i].name, reach->reached[i], reach->answers,
            jl_graph_level (core, i));
        comma = ",";
      }
  g_string_append (out, "]");
}
