/**
 * DOC: Fake targets, whose runs take time and make child calls.
 */

#include "core/core-impl.h"
#include "world.h"

#include <xxhash.h>

static void
report_result (struct run *run, uint64_t delay_us, enum jl_run_result result)
{
  struct jl_event event = { .type = JL_EVENT_WORK_RESULT };

  if (run->ended)
    return;
  run->ended = true;
  event.work_result.work = run->work;
  event.work_result.result = result;
  event.work_result.status = 200;
  schedule_event (run->node, run->generation, delay_us, &event);
}

static void
run_timeout (struct world *world G_GNUC_UNUSED,
             struct node *node G_GNUC_UNUSED,
             void *argument)
{
  report_result (argument, 0, JL_RUN_TIMEOUT);
}

static uint64_t
service_time (struct run *run)
{
  struct world *world = run->node->world;
  uint64_t time_us = random_between (world, 500, 15000);

  if (run->node->target_slow_until_us > world->now_us)
    time_us *= 20;
  return time_us;
}

static void
make_child_call (struct world *world, struct node *node, void *argument)
{
  struct run *run = argument;
  uint32_t children[CHILD_MAX];
  uint32_t kind;
  struct jl_event_call event = { .parent = run->work };
  struct sending *sending;
  uint64_t id[3] = { run->sending->path_hash };
  uint64_t request_id;

  if (run->ended)
    return;
  kind_children (world, run->sending->request->kind, children);
  kind = children[run->child++];
  event.kind = kind_index (node, kind);
  event.config_version = config_version_of (node);
  event.ordinal = run->ordinals[kind]++;
  id[1] = kind;
  id[2] = event.ordinal;
  event.digest = XXH3_64bits (id, sizeof id);
  request_id = event.digest;
  /* An idempotent call has no key, so each one is a separate request. */
  id[2] = world->next_serial;
  if (kind_idempotent (kind))
    request_id = XXH3_64bits (id, sizeof id);
  sending = new_sending (world, find_request (world, request_id, kind));
  sending->path_hash = event.digest;
  sending->parent = run;
  sending->root = run->sending->root;
  call_node (node, sending, NULL, &event);
}

/* Makes the next child call, or answers the request after the last one. */
static void
continue_run (struct world *world, struct node *node, void *argument)
{
  struct run *run = argument;
  uint32_t children[CHILD_MAX];
  uint32_t count = kind_children (world, run->sending->request->kind, children);

  if (run->ended)
    return;
  if (run->child < count)
    make_child_call (world, node, run);
  else
    report_result (run, 100, JL_RUN_ANSWERED);
}

void
child_answered (struct run *run,
                struct sending *sending,
                const struct jl_effect_answer *answer)
{
  if (run->ended)
    return;
  sending->open = false;
  observe_outcome (sending, answer->outcome, answer->attempt_outcome);
  schedule_on_node (run->node, run->generation, service_time (run) / 4,
                    continue_run, run);
}

static void
crash_by_poison (struct world *world G_GNUC_UNUSED,
                 struct node *node,
                 void *argument G_GNUC_UNUSED)
{
  const struct input input = { .type = INPUT_TARGET_CRASH,
                               .node = node->index,
                               .duration_us = 400 * JL_USEC_PER_MSEC };

  begin_input (node->world, &input);
}

void
begin_run (struct node *node,
           struct edge_work *work,
           const struct jl_effect_run *effect)
{
  struct world *world = node->world;
  struct run *run = g_new0 (struct run, 1);
  uint64_t time_us;

  g_ptr_array_add (world->runs, run);
  run->sending = work->exchange->sending;
  run->node = node;
  run->generation = node->generation;
  run->target_generation = node->target_generation;
  run->work = effect->work;
  if (!node->target_up || random_chance (world, 3))
    {
      report_result (run, random_between (world, 100, 2000), JL_RUN_NOT_SENT);
      return;
    }
  work->run = run;
  observe_run (node, work);
  if (run->sending->caller != NULL && run->sending->caller->poison)
    schedule_on_node (node, node->generation, 3000, crash_by_poison, NULL);
  time_us = service_time (run);
  if (random_chance (world, 5))
    report_result (run, time_us, JL_RUN_BROKEN);
  schedule_on_node (node, node->generation, time_us, continue_run, run);
  schedule_on_node (node, node->generation, effect->budget_us, run_timeout,
                    run);
}

void
abort_run (struct node *node G_GNUC_UNUSED, struct run *run)
{
  report_result (run, 500, JL_RUN_ABORTED);
}

void
crash_target (struct node *node)
{
  struct world *world = node->world;

  node->target_up = false;
  for (uint32_t i = 0; i < world->runs->len; i++)
    {
      struct run *run = g_ptr_array_index (world->runs, i);

      if (run->node == node
          && run->target_generation == node->target_generation)
        report_result (run, random_between (world, 100, 20000), JL_RUN_BROKEN);
    }
}
