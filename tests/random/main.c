/**
 * DOC: Random runs of several reducers, by seed or by script.
 */

#include <argp.h>
#include <errno.h>
#include <inttypes.h>
#include <setjmp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define DEFAULT_SECONDS 30

static const char *const mechanism_names[]
    = { "tokens", "importance", "attempt-match", "tombstone",
        "once",   "probes",     "drain",         "config-order" };

struct arguments
{
  uint64_t first;
  uint64_t last;
  uint64_t seconds;
  uint32_t off;
  bool trace;
  bool shrink;
  bool expect_failure;
  const char *script;
};

static const struct argp_option options[]
    = { { "seed", 's', "N", 0, "Run one seed", 0 },
        { "seeds", 'r', "A-B", 0, "Run seeds A to B", 0 },
        { "seconds", 't', "N", 0, "Virtual time with load and faults", 0 },
        { "off", 'o', "MECHANISM", 0, "Switch a mechanism off", 0 },
        { "script", 'f', "FILE", 0, "Run the inputs of a script", 0 },
        { "shrink", 'k', NULL, 0, "Print the fewest inputs that fail", 0 },
        { "trace", 'v', NULL, 0, "Print events and effects", 0 },
        { "expect-failure", 'x', NULL, 0, "Succeed at the first failure", 0 },
        { 0 } };

static uint32_t
find_mechanism (const char *name)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (mechanism_names); i++)
    if (strcmp (mechanism_names[i], name) == 0)
      return 1U << i;
  return 0;
}

static error_t
read_option (int key, char *text, struct argp_state *state)
{
  struct arguments *arguments = state->input;
  char *dash;

  switch (key)
    {
    case 's':
      arguments->first = strtoull (text, NULL, 10);
      arguments->last = arguments->first;
      return 0;
    case 'r':
      arguments->first = strtoull (text, &dash, 10);
      if (*dash != '-')
        argp_error (state, "seeds are A-B");
      arguments->last = strtoull (dash + 1, NULL, 10);
      return 0;
    case 't':
      arguments->seconds = strtoull (text, NULL, 10);
      return 0;
    case 'o':
      arguments->off |= find_mechanism (text);
      if (find_mechanism (text) == 0)
        argp_error (state, "no mechanism \"%s\"", text);
      return 0;
    case 'f':
      arguments->script = text;
      return 0;
    case 'k':
      arguments->shrink = true;
      return 0;
    case 'v':
      arguments->trace = true;
      return 0;
    case 'x':
      arguments->expect_failure = true;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static sigjmp_buf broken_invariant;

/*
 * Returns to run_plan(), which reports a failed run. A violated JL_INVARIANT
 * raises the signal and would otherwise end the process.
 */
static void
catch_trap (int signal G_GNUC_UNUSED)
{
  siglongjmp (broken_invariant, 1);
}

/* Virtual time at which the last run ended. */
static uint64_t failed_us;

/* Runs a plan. Returns the kind of failure, NULL if there was none. */
static const char *
run_plan (const struct plan *plan, bool trace, bool print)
{
  /* Static: a changed local variable is indeterminate after siglongjmp(). */
  static struct world *world;
  const char *kind;
  const char *failure;

  if (sigsetjmp (broken_invariant, 1) != 0)
    {
      /* The memory of the interrupted world is leaked. */
      if (print)
        g_print ("seed %" PRIu64 " FAILED: an invariant of the reducer\n",
                 plan->seed);
      failed_us = world == NULL ? 0 : world->now_us;
      return "an invariant of the reducer";
    }
  world = world_new (plan, trace);
  world_run (world);
  failure = world->failure;
  kind = world->failure_kind;
  failed_us = world->now_us;
  if (print)
    g_print ("seed %" PRIu64 ": digest %016" PRIx64 " steps %" PRIu64
             " done %" PRIu64 " not-run %" PRIu64 " unknown %" PRIu64 "%s%s\n",
             plan->seed, world->digest, world->steps, world->done,
             world->not_run, world->unknown, failure == NULL ? "" : " FAILED: ",
             failure == NULL ? "" : failure);
  world_drop (world);
  return kind;
}

/* Whether the plan fails in the same way with these inputs. */
static bool
still_fails (struct plan *plan, GArray *inputs, const char *kind)
{
  GArray *before = plan->inputs;
  const char *failure;

  plan->inputs = inputs;
  failure = run_plan (plan, false, false);
  plan->inputs = before;
  return g_strcmp0 (failure, kind) == 0;
}

/* Removes the inputs after the failure, if the run still fails without them. */
static void
remove_inputs_after_failure (struct plan *plan, const char *kind)
{
  GArray *fewer = g_array_copy (plan->inputs);

  while (fewer->len > 0
         && g_array_index (fewer, struct input, fewer->len - 1).at_us
                > failed_us)
    g_array_set_size (fewer, fewer->len - 1);
  if (still_fails (plan, fewer, kind))
    {
      g_array_free (plan->inputs, TRUE);
      plan->inputs = fewer;
      return;
    }
  g_array_free (fewer, TRUE);
}

/* Removes ranges of inputs, long ones first, as long as the run still fails. */
static void
remove_ranges (struct plan *plan, const char *kind)
{
  for (uint32_t size = plan->inputs->len / 2; size > 0; size /= 2)
    for (uint32_t at = 0; at + size <= plan->inputs->len;)
      {
        GArray *fewer = g_array_copy (plan->inputs);

        g_array_remove_range (fewer, at, size);
        if (still_fails (plan, fewer, kind))
          {
            g_array_free (plan->inputs, TRUE);
            plan->inputs = fewer;
            continue;
          }
        g_array_free (fewer, TRUE);
        at += size;
      }
}

static void
shrink_plan (struct plan *plan, const char *kind)
{
  uint32_t before;

  remove_inputs_after_failure (plan, kind);
  do
    {
      before = plan->inputs->len;
      remove_ranges (plan, kind);
    }
  while (plan->inputs->len < before);
}

/*
 * Runs one plan. If it fails and shrinking is requested, prints the shortened
 * plan. Returns whether the run has failed.
 */
static bool
run_one (const struct arguments *arguments, struct plan *plan)
{
  const char *kind;

  plan->switched_off |= arguments->off;
  kind = run_plan (plan, arguments->trace, true);
  if (kind != NULL && arguments->shrink)
    {
      GString *text = g_string_new ("");

      shrink_plan (plan, kind);
      plan_print (plan, text);
      g_print ("%s", text->str);
      g_string_free (text, TRUE);
    }
  plan_drop (plan);
  return kind != NULL;
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, read_option, NULL, "Random runs of the reducer",
          NULL,    NULL,        NULL };
  struct arguments arguments
      = { .first = 1, .last = 1, .seconds = DEFAULT_SECONDS };
  bool failed = false;

  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  signal (SIGTRAP, catch_trap);
  signal (SIGABRT, catch_trap);
  if (arguments.script != NULL)
    failed = run_one (&arguments, plan_load (arguments.script));
  else
    for (uint64_t seed = arguments.first; seed <= arguments.last; seed++)
      {
        failed |= run_one (
            &arguments, plan_new (seed, arguments.seconds * JL_USEC_PER_SEC));
        if (failed && arguments.expect_failure)
          break;
      }
  return failed == arguments.expect_failure ? EXIT_SUCCESS : EXIT_FAILURE;
}
