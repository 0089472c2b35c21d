/**
 * DOC: Measures the events per second that the reducer handles on one core.
 *
 *     reducer [SECONDS]
 *
 * There are two mixes of events, each with a configuration and members: calls
 * that are sent and answered, and, with a local target, work items that run and
 * end. The second mix runs once within the capacity and once with a full queue.
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jackdawladder/core.h"

#define MEMBER_COUNT 470
#define SERVICE_MEMBERS 16
#define SLOTS 140
#define STEP_BATCH 1000
/* Virtual time between two events. */
#define EVENT_SPACING_US 20

static const char document[]
    = "{ \"classes\": [\"first\", \"second\", \"third\"],"
      "  \"zones\": [{ \"name\": \"zone-a\", \"region\": \"r\" }],"
      "  \"services\": [{ \"name\": \"front\", \"retry_percent\": 10,"
      "    \"queue_wait_ms\": 50, \"cold_start_ms\": 0 },"
      "   { \"name\": \"other\", \"retry_percent\": 10,"
      "    \"queue_wait_ms\": 50, \"cold_start_ms\": 0 }],"
      "  \"kinds\": [{ \"name\": \"page\", \"service\": \"front\","
      "    \"path\": \"/\", \"class\": \"second\", \"idempotent\": true,"
      "    \"deadline_ms\": 1000, \"retry_tokens\": 2 }] }";

/**
 * struct bench - a reducer and the state of its fake environment
 * @running: ring buffer of the work items that run
 */
struct bench
{
  struct jl_core *core;
  struct jl_config *config;
  struct jl_effects *effects;
  uint64_t now_us;
  uint64_t events;
  uint64_t next_number;
  uint64_t running[2 * SLOTS];
  uint32_t running_count;
  uint32_t running_first;
};

static struct jl_identity
identity_of (uint32_t number)
{
  struct jl_endpoint control
      = { .ip = 127U << 24 | 40U << 16 | number, .port = 7000 };

  return (struct jl_identity){ .member = jl_member_id (control), .epoch = 1 };
}

static void
step (struct bench *bench, struct jl_event *event)
{
  event->now_us = bench->now_us;
  bench->events++;
  jl_effects_clear (bench->effects);
  jl_core_step (bench->core, event, bench->effects);
}

static void
add_member (struct bench *bench, uint32_t number)
{
  struct jl_message message = { .type = JL_MESSAGE_SYNC, .update_count = 1 };
  struct jl_event event = { .type = JL_EVENT_MESSAGE, .message = &message };
  struct jl_member_info *info = &message.updates[0];
  const char *service = number <= SERVICE_MEMBERS ? "front" : "other";

  info->identity = identity_of (number);
  info->incarnation = 1;
  info->peer = jl_member_endpoint (info->identity.member);
  info->slots = SLOTS;
  info->connections = 900;
  info->target_up = true;
  g_strlcpy (info->zone, "zone-a", JL_NAME_SIZE);
  g_strlcpy (info->service, service, JL_NAME_SIZE);
  message.from = info->identity;
  step (bench, &event);
}

static void
announce (struct bench *bench)
{
  struct jl_event event = { .type = JL_EVENT_ANNOUNCE };

  g_strlcpy (event.announce.service, "front", JL_NAME_SIZE);
  event.announce.slots = SLOTS;
  event.announce.started = 1;
  step (bench, &event);
}

static void
open_bench (struct bench *bench, bool with_target)
{
  struct jl_core_options options = {
    .identity = identity_of (1), .zone = "zone-a", .seed = 1, .now_us = 1
  };
  struct jl_event event = { .type = JL_EVENT_CONFIG };

  memset (bench, 0, sizeof *bench);
  bench->now_us = 1;
  bench->core = jl_core_new (&options);
  bench->effects = jl_effects_new ();
  bench->config = jl_config_new (document, strlen (document), 1, NULL);
  if (bench->config == NULL)
    exit (1);
  event.config = bench->config;
  step (bench, &event);
  for (uint32_t number = 2; number <= MEMBER_COUNT; number++)
    add_member (bench, number);
  if (with_target)
    announce (bench);
}

static void
close_bench (struct bench *bench)
{
  jl_core_drop (bench->core);
  jl_effects_drop (bench->effects);
  jl_config_drop (bench->config);
}

static const struct jl_effect *
find_effect (const struct bench *bench, enum jl_effect_type type)
{
  for (size_t i = 0; i < jl_effects_count (bench->effects); i++)
    if (jl_effects_get (bench->effects, i)->type == type)
      return jl_effects_get (bench->effects, i);
  return NULL;
}

/* Makes a call and answers it, which takes two events. */
static void
run_call (struct bench *bench)
{
  struct jl_event call = { .type = JL_EVENT_CALL };
  struct jl_event result = { .type = JL_EVENT_CALL_RESULT };
  const struct jl_effect *send;

  call.call.call = ++bench->next_number;
  call.call.config_version = 1;
  call.call.digest = bench->next_number;
  step (bench, &call);
  send = find_effect (bench, JL_EFFECT_SEND);
  if (send == NULL)
    return;
  result.call_result.call = call.call.call;
  result.call_result.attempt = send->send.attempt;
  result.call_result.tokens = send->send.tokens;
  result.call_result.report.count = 1;
  result.call_result.report.items[0].level = JL_PRIORITY_COUNT;
  bench->now_us += EVENT_SPACING_US;
  step (bench, &result);
}

static void
record_runs (struct bench *bench)
{
  for (size_t i = 0; i < jl_effects_count (bench->effects); i++)
    {
      const struct jl_effect *effect = jl_effects_get (bench->effects, i);
      uint32_t last;

      if (effect->type != JL_EFFECT_RUN)
        continue;
      last = (bench->running_first + bench->running_count++) % (2 * SLOTS);
      bench->running[last] = effect->run.work;
    }
}

static void
add_work (struct bench *bench)
{
  struct jl_event event = { .type = JL_EVENT_WORK };

  event.work.work = ++bench->next_number;
  event.work.attempt.origin = identity_of (2);
  event.work.attempt.number = event.work.work;
  event.work.config_version = 1;
  event.work.priority = (uint32_t)(event.work.work * 37 % 384);
  event.work.budget_us = JL_USEC_PER_SEC;
  event.work.digest = event.work.work;
  step (bench, &event);
  record_runs (bench);
}

static void
end_oldest_run (struct bench *bench)
{
  struct jl_event event = { .type = JL_EVENT_WORK_RESULT };

  event.work_result.work = bench->running[bench->running_first];
  event.work_result.result = JL_RUN_ANSWERED;
  event.work_result.status = 200;
  bench->running_first = (bench->running_first + 1) % (2 * SLOTS);
  bench->running_count--;
  step (bench, &event);
  record_runs (bench);
}

/* Adds a work item and ends one, with half of the slots in use. */
static void
run_normal_load (struct bench *bench)
{
  add_work (bench);
  if (bench->running_count > SLOTS / 2)
    end_oldest_run (bench);
}

/* Adds three work items and ends one, with all slots in use. */
static void
run_overload (struct bench *bench)
{
  for (int i = 0; i < 3; i++)
    add_work (bench);
  if (bench->running_count == SLOTS)
    end_oldest_run (bench);
}

static void
measure (const char *name,
         bool with_target,
         void (*run) (struct bench *bench),
         uint64_t duration_us)
{
  struct bench bench;
  uint64_t begun_us;
  uint64_t now_us;
  uint64_t announced_us = 0;

  open_bench (&bench, with_target);
  bench.events = 0;
  begun_us = jl_now ();
  do
    {
      for (int i = 0; i < STEP_BATCH; i++)
        {
          bench.now_us += EVENT_SPACING_US;
          run (&bench);
        }
      if (with_target && bench.now_us - announced_us > JL_USEC_PER_SEC)
        {
          announced_us = bench.now_us;
          announce (&bench);
        }
      now_us = jl_now ();
    }
  while (now_us - begun_us < duration_us);
  printf ("%s: %.0f events/s\n", name,
          (double)bench.events * (double)JL_USEC_PER_SEC
              / (double)(now_us - begun_us));
  close_bench (&bench);
}

int
main (int argc, char **argv)
{
  uint64_t duration_us = JL_USEC_PER_SEC * (argc > 1 ? atoi (argv[1]) : 3);

  measure ("calls", false, run_call, duration_us);
  measure ("works", true, run_normal_load, duration_us);
  measure ("works under overload", true, run_overload, duration_us);
  return 0;
}
