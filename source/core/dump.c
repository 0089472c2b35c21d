/**
 * DOC: Export of the reducer's state as JSON and of its metrics as text.
 */

#include "core-impl.h"

#include <inttypes.h>

#include "admit.h"
#include "graph.h"
#include "member.h"
#include "once.h"
#include "poison.h"

static const char *
class_name (const struct jl_core *core, uint32_t importance)
{
  if (core->config != NULL && importance < core->config->class_count)
    return core->config->classes[importance];
  return "other";
}

/* Appends the JSON members that status and dump have in common. */
static void
append_summary (struct jl_core *core, GString *out)
{
  const struct jl_target *target = &core->target;

  g_string_append_printf (
      out, "{\"member\":\"%" PRIx64 "\",\"epoch\":%" PRIu64 ",\"zone\":\"%s\"",
      core->identity.member, core->identity.epoch, core->options.zone);
  g_string_append_printf (out, ",\"config_version\":%" PRIu64,
                          core->config == NULL ? 0 : core->config->version);
  g_string_append_printf (out, ",\"draining\":%s",
                          core->draining ? "true" : "false");
  g_string_append_printf (
      out, ",\"target\":{\"service\":\"%s\",\"up\":%s,\"slots\":%u}",
      target->service_name, target->up ? "true" : "false", target->slots);
  g_string_append_printf (out, ",\"calls\":%u,\"works\":%u",
                          g_hash_table_size (core->calls),
                          g_hash_table_size (core->works));
}

void
jl_core_status (struct jl_core *core, GString *out)
{
  append_summary (core, out);
  g_string_append_printf (out,
                          ",\"alive\":%u,\"running\":%u,\"waiting\":%u,"
                          "\"level\":%u}\n",
                          jl_members_count (core), jl_admit_running (core),
                          jl_admit_waiting (core), jl_admit_level (core));
}

void
jl_core_dump (struct jl_core *core, GString *out)
{
  append_summary (core, out);
  g_string_append (out, ",\"admission\":");
  jl_admit_dump (core, out);
  g_string_append (out, ",\"members\":");
  jl_members_dump (core, out);
  g_string_append (out, ",\"graph\":");
  jl_graph_dump (core, out);
  g_string_append (out, ",\"tickets\":");
  jl_once_dump (core, out);
  g_string_append (out, ",\"strikes\":");
  jl_poison_dump (core, out);
  g_string_append (out, "}\n");
}

static void
append_counter (GString *out, const char *name, uint64_t value)
{
  g_string_append_printf (out,
                          "# TYPE jackdawladder_%s counter\n"
                          "jackdawladder_%s %" PRIu64 "\n",
                          name, name, value);
}

static void
append_gauge (GString *out, const char *name, uint64_t value)
{
  g_string_append_printf (out,
                          "# TYPE jackdawladder_%s gauge\n"
                          "jackdawladder_%s %" PRIu64 "\n",
                          name, name, value);
}

static void
append_by_class (struct jl_core *core,
                 GString *out,
                 const char *name,
                 const uint64_t *values)
{
  uint32_t count = core->config == NULL ? 0 : core->config->class_count;

  g_string_append_printf (out, "# TYPE jackdawladder_%s counter\n", name);
  for (uint32_t i = 0; i < count; i++)
    g_string_append_printf (out, "jackdawladder_%s{class=\"%s\"} %" PRIu64 "\n",
                            name, class_name (core, i), values[i]);
}

static void
append_by_reason (GString *out, const char *name, const uint64_t *values)
{
  g_string_append_printf (out, "# TYPE jackdawladder_%s counter\n", name);
  for (uint32_t i = 0; i < JL_REASON_COUNT; i++)
    if (values[i] > 0)
      g_string_append_printf (
          out, "jackdawladder_%s{reason=\"%s\"} %" PRIu64 "\n", name,
          jl_reason_name ((enum jl_reason)i), values[i]);
}

void
jl_core_counters (struct jl_core *core, GString *out)
{
  const struct jl_counts *counts = &core->counts;

  append_counter (out, "events_total", counts->events);
  append_by_class (core, out, "calls_total", counts->calls);
  append_by_class (core, out, "answers_done_total", counts->answers_done);
  append_by_class (core, out, "answers_not_run_total", counts->answers_not_run);
  append_by_class (core, out, "answers_unknown_total", counts->answers_unknown);
  append_counter (out, "sends_total", counts->sends);
  append_counter (out, "retries_total", counts->retries);
  append_by_class (core, out, "works_total", counts->works);
  append_by_class (core, out, "runs_total", counts->runs);
  append_by_class (core, out, "works_refused_total", counts->refused);
  append_by_reason (out, "works_refused_by_reason_total",
                    counts->refused_reason);
  append_counter (out, "messages_sent_total", counts->messages_sent);
  append_counter (out, "messages_received_total", counts->messages_received);
  append_gauge (out, "members", jl_members_count (core));
  append_gauge (out, "running", jl_admit_running (core));
  append_gauge (out, "waiting", jl_admit_waiting (core));
  append_gauge (out, "admission_level", jl_admit_level (core));
  append_gauge (out, "config_version",
                core->config == NULL ? 0 : core->config->version);
}
