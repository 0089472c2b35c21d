/**
 * DOC: The reducer: dispatches each event to the component that handles it.
 */

#include "core-impl.h"

#include <string.h>

#include "admit.h"
#include "attempt-table.h"
#include "cancel.h"
#include "entry.h"
#include "graph.h"
#include "guard.h"
#include "member.h"
#include "once.h"
#include "place.h"
#include "poison.h"
#include "retry.h"

/* If a timer fires later than this, the process counts as paused meanwhile. */
#define PAUSE_MIN_US (500 * JL_USEC_PER_MSEC)
/* Time after a pause within which all input that arrived during it is read. */
#define STALE_INPUT_US (1 * JL_USEC_PER_SEC)

struct jl_effect *
jl_emit (struct jl_core *core, enum jl_effect_type type)
{
  return jl_effects_add (core->effects, type);
}

void
jl_log_event (struct jl_core *core,
              enum jl_log_number number,
              uint64_t first,
              uint64_t second)
{
  struct jl_effect_log *log = &jl_emit (core, JL_EFFECT_LOG)->log;

  log->number = number;
  log->first = first;
  log->second = second;
}

uint32_t
jl_random_below (struct jl_core *core, uint32_t bound)
{
  return g_rand_int (core->random) % bound;
}

struct jl_core *
jl_core_new (const struct jl_core_options *options)
{
  struct jl_core *core = g_new0 (struct jl_core, 1);

  core->options = *options;
  core->identity = options->identity;
  core->now_us = options->now_us;
  core->random = g_rand_new_with_seed (options->seed);
  core->timers = jl_timers_new ();
  core->target.service = JL_NONE;
  core->calls = g_hash_table_new (g_direct_hash, g_direct_equal);
  core->works = g_hash_table_new (g_direct_hash, g_direct_equal);
  core->cancelling = g_hash_table_new (g_direct_hash, g_direct_equal);
  core->effects = jl_effects_new ();
  core->retry = jl_retry_new (core);
  core->once = jl_once_new (core);
  core->poison = jl_poison_new (core);
  core->attempt_table = jl_attempt_table_new (core);
  core->cancel_table = jl_cancel_table_new (core);
  core->graph = jl_graph_new (core);
  core->place = jl_place_new (core);
  core->admit = jl_admit_new (core);
  core->members = jl_members_new (core);
  jl_effects_drop (core->effects);
  core->effects = NULL;
  return core;
}

/* Frees calls and work items in progress without answering them. */
static void
free_in_progress (struct jl_core *core)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, core->calls);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct jl_call *call = value;

      jl_config_drop (call->config);
      g_free (call);
    }
  g_hash_table_iter_init (&iterator, core->works);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct jl_work *work = value;

      jl_config_drop (work->config);
      g_free (work);
    }
}

void
jl_core_drop (struct jl_core *core)
{
  free_in_progress (core);
  jl_members_drop (core->members);
  jl_admit_drop (core->admit);
  jl_place_drop (core->place);
  jl_graph_drop (core->graph);
  jl_poison_drop (core->poison);
  jl_attempt_table_drop (core->attempt_table);
  jl_cancel_table_drop (core->cancel_table);
  jl_once_drop (core->once);
  jl_retry_drop (core->retry);
  g_hash_table_destroy (core->calls);
  g_hash_table_destroy (core->works);
  g_hash_table_destroy (core->cancelling);
  jl_timers_drop (core->timers);
  g_rand_free (core->random);
  if (core->config != NULL)
    jl_config_drop (core->config);
  g_free (core);
}

/* Installs a configuration if its version is higher than the installed one. */
static void
install_config (struct jl_core *core, struct jl_config *config)
{
  if (core->config != NULL && config->version <= core->config->version
      && !JL_SWITCHED_OFF (core, JL_MECHANISM_CONFIG_ORDER))
    return;
  if (core->config != NULL)
    jl_config_drop (core->config);
  core->config = jl_config_keep (config);
  jl_members_config_changed (core);
  jl_guard_config (core);
  jl_graph_config (core);
  jl_emit (core, JL_EFFECT_CONFIG)->config = core->config;
  jl_log_event (core, JL_LOG_CONFIG_INSTALLED, config->version, 0);
}

static void
handle_message (struct jl_core *core, const struct jl_message *message)
{
  core->counts.messages_received++;
  jl_members_handle_message (core, message);
  jl_poison_read_message (core, message);
  switch (message->type)
    {
    case JL_MESSAGE_CANCEL:
      jl_guard_cancel (core, message);
      break;
    case JL_MESSAGE_CANCELLED:
    case JL_MESSAGE_CANCEL_LATE:
      jl_entry_cancel_reply (core, message);
      jl_cancel_answered (core, message->attempt);
      break;
    default:
      break;
    }
}

static void
handle_event (struct jl_core *core, const struct jl_event *event)
{
  switch (event->type)
    {
    case JL_EVENT_TICK:
      break;
    case JL_EVENT_CONFIG:
      install_config (core, event->config);
      break;
    case JL_EVENT_ANNOUNCE:
      jl_guard_announce (core, &event->announce);
      break;
    case JL_EVENT_TARGET_LEAVE:
      jl_guard_target_leave (core);
      break;
    case JL_EVENT_DRAIN:
      jl_guard_drain (core);
      break;
    case JL_EVENT_CALL:
      jl_entry_call (core, &event->call);
      break;
    case JL_EVENT_CALL_RESULT:
      jl_entry_result (core, &event->call_result);
      break;
    case JL_EVENT_CALLER_DISCONNECTED:
      jl_entry_caller_disconnected (core, event->disconnected_call);
      break;
    case JL_EVENT_CLAIM_RESULT:
      jl_entry_claim_result (core, &event->claim_result);
      break;
    case JL_EVENT_WORK:
      jl_guard_work (core, &event->work);
      break;
    case JL_EVENT_WORK_RESULT:
      jl_guard_result (core, &event->work_result);
      break;
    case JL_EVENT_MESSAGE:
      handle_message (core, event->message);
      break;
    case JL_EVENT_SEED:
      jl_members_add_seed (core, event->seed.control);
      break;
    case JL_EVENT_TYPE_COUNT:
      break;
    }
}

/*
 * Detects from a late timer that the process was paused. Input then counts as
 * stale for STALE_INPUT_US.
 */
static void
detect_pause (struct jl_core *core)
{
  uint64_t next_us = jl_timers_next (core->timers);

  if (next_us < core->now_us && core->now_us - next_us > PAUSE_MIN_US)
    core->stale_until_us = core->now_us + STALE_INPUT_US;
}

void
jl_core_step (struct jl_core *core,
              const struct jl_event *event,
              struct jl_effects *effects)
{
  core->effects = effects;
  if (event->now_us > core->now_us)
    core->now_us = event->now_us;
  detect_pause (core);
  core->counts.events++;
  jl_timers_run (core->timers, core->now_us);
  handle_event (core, event);
  jl_guard_check_drained (core);
  core->effects = NULL;
}

struct jl_ticket
jl_core_issue_ticket (struct jl_core *core)
{
  return jl_once_issue_ticket (core);
}

uint32_t
jl_core_member_count (struct jl_core *core)
{
  return jl_members_count (core);
}

uint64_t
jl_core_next_timer (const struct jl_core *core)
{
  return jl_timers_next (core->timers);
}
