/**
 * DOC: Plans of simulation runs, drawn from a seed or read from a script.
 */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "world.h"

static const char *const input_names[INPUT_TYPE_COUNT]
    = { "request",      "freeze", "crash",       "cut",
        "outage",       "loss",   "target-slow", "target-crash",
        "target-leave", "drain",  "apply" };

/* Mean time between two faults, and between two requests. */
#define FAULT_INTERVAL_MS 900
#define REQUEST_INTERVAL_MS 25

static void
add_input (struct plan *plan, GRand *random, enum input_type type, uint64_t at)
{
  struct input input = { .type = type, .at_us = at };

  input.node = (uint32_t)g_rand_int_range (random, 0, (int)plan->node_count);
  input.duration_us
      = (uint64_t)g_rand_int_range (random, 20, 6000) * JL_USEC_PER_MSEC;
  if (type == INPUT_REQUEST)
    {
      input.argument = (uint32_t)g_rand_int_range (random, 0, 4);
      if (g_rand_int_range (random, 0, 4) == 0)
        input.argument = (uint32_t)g_rand_int_range (
            random, 0, 2 * (int)plan->service_count);
      input.key = (uint32_t)g_rand_int_range (random, 0, 3);
      /* A duration above 0 marks a request that crashes its targets. */
      input.duration_us = g_rand_int_range (random, 0, 400) == 0 ? 1 : 0;
    }
  if (type == INPUT_PARTITION)
    {
      input.node
          = (uint32_t)g_rand_int_range (random, 0, (int)plan->zone_count);
      input.argument
          = (uint32_t)g_rand_int_range (random, 0, (int)plan->zone_count);
    }
  if (type == INPUT_FREEZE || type == INPUT_CRASH)
    input.duration_us /= g_rand_int_range (random, 0, 3) == 0 ? 100 : 3;
  if (type == INPUT_CRASH && g_rand_int_range (random, 0, 3) == 0)
    input.duration_us += 6 * JL_USEC_PER_SEC;
  g_array_append_val (plan->inputs, input);
}

static gint
compare_inputs (gconstpointer a, gconstpointer b)
{
  const struct input *first = a;
  const struct input *second = b;

  return (first->at_us > second->at_us) - (first->at_us < second->at_us);
}

struct plan *
plan_new (uint64_t seed, uint64_t length_us)
{
  GRand *random = g_rand_new_with_seed ((uint32_t)seed ^ 0x5bd1e995U);
  struct plan *plan = g_new0 (struct plan, 1);
  uint64_t at_us = 2 * JL_USEC_PER_SEC;

  plan->seed = seed;
  plan->length_us = length_us;
  plan->node_count = (uint32_t)g_rand_int_range (random, 3, NODE_MAX + 1);
  plan->zone_count = (uint32_t)g_rand_int_range (random, 2, ZONE_COUNT_MAX + 1);
  plan->service_count = (uint32_t)g_rand_int_range (
      random, 2, MIN (DEPTH_MAX, (int)plan->node_count) + 1);
  plan->inputs = g_array_new (FALSE, FALSE, sizeof (struct input));
  while (at_us < length_us)
    {
      at_us += (uint64_t)g_rand_int_range (random, 0, 2 * REQUEST_INTERVAL_MS)
               * JL_USEC_PER_MSEC;
      add_input (plan, random, INPUT_REQUEST, at_us);
    }
  at_us = 3 * JL_USEC_PER_SEC;
  while (at_us < length_us)
    {
      at_us += (uint64_t)g_rand_int_range (random, 0, 2 * FAULT_INTERVAL_MS)
               * JL_USEC_PER_MSEC;
      add_input (plan, random,
                 (enum input_type)g_rand_int_range (random, INPUT_FREEZE,
                                                    INPUT_TYPE_COUNT),
                 at_us);
    }
  g_array_sort (plan->inputs, compare_inputs);
  g_rand_free (random);
  return plan;
}

void
plan_drop (struct plan *plan)
{
  g_array_free (plan->inputs, TRUE);
  g_free (plan);
}

uint64_t
plan_end (const struct plan *plan)
{
  uint64_t end_us = plan->length_us;

  for (uint32_t i = 0; i < plan->inputs->len; i++)
    {
      const struct input *input
          = &g_array_index (plan->inputs, struct input, i);

      end_us = MAX (end_us, input->at_us + input->duration_us);
    }
  return end_us;
}

void
plan_print (const struct plan *plan, GString *out)
{
  g_string_append_printf (out,
                          "plan %" PRIu64 " nodes %u zones %u services %u "
                          "off %u length %" PRIu64 "\n",
                          plan->seed, plan->node_count, plan->zone_count,
                          plan->service_count, plan->switched_off,
                          plan->length_us);
  for (uint32_t i = 0; i < plan->inputs->len; i++)
    {
      const struct input *input
          = &g_array_index (plan->inputs, struct input, i);

      g_string_append_printf (out, "%" PRIu64 " %s %u %u %u %" PRIu64 "\n",
                              input->at_us, input_names[input->type],
                              input->node, input->argument, input->key,
                              input->duration_us);
    }
}

static bool
read_input (const char *line, struct input *input)
{
  char name[32];

  if (sscanf (line, "%" SCNu64 " %31s %u %u %u %" SCNu64, &input->at_us, name,
              &input->node, &input->argument, &input->key, &input->duration_us)
      != 6)
    return false;
  for (int i = 0; i < INPUT_TYPE_COUNT; i++)
    if (strcmp (name, input_names[i]) == 0)
      {
        input->type = (enum input_type)i;
        return true;
      }
  return false;
}

struct plan *
plan_load (const char *path)
{
  struct plan *plan = g_new0 (struct plan, 1);
  char *text = NULL;
  char **lines;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    g_error ("cannot read %s", path);
  lines = g_strsplit (text, "\n", -1);
  plan->inputs = g_array_new (FALSE, FALSE, sizeof (struct input));
  if (sscanf (lines[0],
              "plan %" SCNu64 " nodes %u zones %u services %u off %u "
              "length %" SCNu64,
              &plan->seed, &plan->node_count, &plan->zone_count,
              &plan->service_count, &plan->switched_off, &plan->length_us)
      != 6)
    g_error ("%s does not begin with a plan", path);
  for (int i = 1; lines[i] != NULL; i++)
    {
      struct input input = { .type = INPUT_REQUEST };

      if (lines[i][0] == '\0' || lines[i][0] == '#')
        continue;
      if (!read_input (lines[i], &input))
        g_error ("%s: line %d is no input", path, i + 1);
      g_array_append_val (plan->inputs, input);
    }
  g_strfreev (lines);
  g_free (text);
  return plan;
}
