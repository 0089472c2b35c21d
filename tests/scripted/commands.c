/**
 * DOC: Translates the commands of a script to events.
 */

#include "commands.h"

#include <stdlib.h>
#include <string.h>

#include "../support/print.h"

/* Time between two announcements of a target that stays up. */
#define ANNOUNCE_INTERVAL_US (1 * JL_USEC_PER_SEC)
/* Step through a range of priorities, so that they don't arrive sorted. */
#define PRIORITY_STRIDE 37
/* Numbers of the daemon under test and of the daemon that sends work items. */
#define SELF_MEMBER 1
#define SENDER_MEMBER 9

/**
 * struct handler - function that executes the command of a name
 */
struct handler
{
  const char *name;
  void (*handle) (struct run *run, const struct script_command *command);
};

static uint32_t
find_kind (struct run *run, const struct script_command *command)
{
  const char *name = script_text (command, "kind", "");

  for (uint32_t i = 0; run->config != NULL && i < run->config->kind_count; i++)
    if (strcmp (run->config->kinds[i].name, name) == 0)
      return i;
  script_fail (command, "unknown kind");
}

static uint64_t
first_number (const struct script_command *command)
{
  return script_range (command, script_word (command, 0)).first;
}

/* Handles commands without arguments. */
static void
handle_bare_event (struct run *run, const struct script_command *command)
{
  struct jl_event event = { .type = JL_EVENT_TICK };

  if (strcmp (command->name, "drain") == 0)
    event.type = JL_EVENT_DRAIN;
  else if (strcmp (command->name, "target-leave") == 0)
    event.type = JL_EVENT_TARGET_LEAVE;
  run_step (run, &event, true);
}

static void
handle_config (struct run *run, const struct script_command *command)
{
  struct jl_event event = { .type = JL_EVENT_CONFIG };
  char *directory = g_path_get_dirname (command->file);
  char *path = g_build_filename (directory, script_word (command, 0), NULL);
  char *text = NULL;
  gsize size = 0;
  GError *error = NULL;

  if (!g_file_get_contents (path, &text, &size, NULL))
    script_fail (command, "configuration not readable");
  if (run->config != NULL)
    jl_config_drop (run->config);
  run->config = jl_config_new (text, size,
                               script_number (command, "version", 1), &error);
  if (run->config == NULL)
    script_fail (command, error->message);
  event.config = run->config;
  run_step (run, &event, true);
  g_free (text);
  g_free (path);
  g_free (directory);
}

static void
handle_announce (struct run *run, const struct script_command *command)
{
  struct jl_event event = { .type = JL_EVENT_ANNOUNCE };
  uint64_t until_us;

  g_strlcpy (event.announce.service, script_word (command, 0), JL_NAME_SIZE);
  event.announce.slots = (uint32_t)script_number (command, "slots", 1);
  event.announce.connections
      = (uint32_t)script_number (command, "connections", 100);
  event.announce.started = script_number (command, "started", 1);
  run_step (run, &event, true);
  until_us = script_time (command, "until", 0);
  for (event.now_us = run->now_us + ANNOUNCE_INTERVAL_US;
       event.now_us <= until_us; event.now_us += ANNOUNCE_INTERVAL_US)
    run_schedule (run, &event, false);
}

static struct jl_identity
member_identity (uint64_t number)
{
  return (struct jl_identity){ .member = jl_print_member ((uint32_t)number),
                               .epoch = 1 };
}

static void
handle_member (struct run *run, const struct script_command *command)
{
  static const char *const states[] = { "alive", "suspect", "dead", "left" };
  struct jl_message message = { .type = JL_MESSAGE_SYNC, .update_count = 1 };
  struct jl_event event = { .type = JL_EVENT_MESSAGE, .message = &message };
  struct jl_member_info *info = &message.updates[0];
  struct script_range range = script_range (command, script_word (command, 0));

  info->incarnation = (uint32_t)script_number (command, "incarnation", 1);
  info->state = (enum jl_member_state)script_lookup (
      command, states, JL_MEMBER_STATE_COUNT,
      script_text (command, "state", "alive"));
  g_strlcpy (info->zone, script_text (command, "zone", ""), JL_NAME_SIZE);
  g_strlcpy (info->service, script_text (command, "service", ""), JL_NAME_SIZE);
  info->slots = (uint32_t)script_number (command, "slots", 1);
  info->connections = (uint32_t)script_number (command, "connections", 100);
  info->target_up = script_number (command, "up", 1) != 0;
  for (uint64_t number = range.first; number <= range.last; number++)
    {
      info->identity = member_identity (number);
      info->peer = jl_member_endpoint (info->identity.member);
      info->peer.port = JL_PRINT_PEER_PORT;
      message.from = info->identity;
      g_hash_table_add (run->members, GSIZE_TO_POINTER (info->identity.member));
      run_step (run, &event, true);
    }
}

/* Gives the reducer an event for each number of a range, now or over time. */
static void
step_range (struct run *run,
            const struct script_command *command,
            struct jl_event *event,
            uint64_t *number)
{
  struct script_range range = script_range (command, script_word (command, 0));
  struct script_range priorities
      = script_range (command, script_text (command, "priority", "0"));
  uint64_t every_us = script_time (command, "every", 0);
  uint64_t span = priorities.last - priorities.first + 1;

  for (uint64_t i = range.first; i <= range.last; i++)
    {
      uint64_t step = i - range.first;

      *number = i;
      event->now_us = run->now_us + step * every_us;
      if (event->type == JL_EVENT_WORK)
        {
          event->work.attempt.number = i;
          event->work.priority
              = (uint32_t)(priorities.first + step * PRIORITY_STRIDE % span);
        }
      run_schedule (run, event, true);
    }
  run_until (run, run->now_us);
}

static void
handle_call (struct run *run, const struct script_command *command)
{
  struct jl_event event = { .type = JL_EVENT_CALL };

  event.call.kind = find_kind (run, command);
  event.call.config_version = run->config->version;
  event.call.parent = script_number (command, "parent", 0);
  event.call.ordinal = (uint32_t)script_number (command, "ordinal", 0);
  event.call.digest = script_number (command, "digest", 0);
  event.call.budget_us = script_time (command, "budget", 0);
  event.call.key_hash = script_number (command, "key", 0);
  event.call.key_type = event.call.key_hash == 0 ? JL_KEY_NONE : JL_KEY_CALLER;
  step_range (run, command, &event, &event.call.call);
}

/* Parses "SERVICE:LEVEL,SERVICE:LEVEL". */
static void
parse_levels (struct run *run,
              const struct script_command *command,
              struct jl_report *report)
{
  char **items = g_strsplit (script_text (command, "levels", ""), ",", -1);

  for (char **item = items; *item != NULL && **item != '\0'; item++)
    {
      char **parts = g_strsplit (*item, ":", 2);
      uint32_t service = jl_config_find_service (run->config, parts[0]);

      if (parts[1] == NULL || service == JL_NONE
          || report->count == JL_REPORT_MAX)
        script_fail (command, "bad levels");
      report->items[report->count].service = service;
      report->items[report->count].level = (uint32_t)atoi (parts[1]);
      report->count++;
      g_strfreev (parts);
    }
  g_strfreev (items);
}

/* Fills in the call and its latest attempt. */
static void
set_attempt (struct run *run,
             const struct script_command *command,
             struct jl_event_call_result *result)
{
  const struct jl_attempt_id *attempt;

  result->call = first_number (command);
  attempt
      = g_hash_table_lookup (run->attempts, GSIZE_TO_POINTER (result->call));
  if (attempt == NULL)
    script_fail (command, "no sending of this call is out");
  result->attempt = *attempt;
}

static void
handle_answer (struct run *run, const struct script_command *command)
{
  struct jl_event event = { .type = JL_EVENT_CALL_RESULT };
  struct jl_event_call_result *result = &event.call_result;

  set_attempt (run, command, result);
  result->result = JL_SEND_ANSWERED;
  if (!jl_outcome_parse (script_word (command, 1), &result->outcome)
      || !jl_reason_parse (script_text (command, "reason", "none"),
                           &result->reason))
    script_fail (command, "unknown outcome or reason");
  result->no_retry = script_number (command, "no-retry", 0) != 0;
  result->status = result->outcome == JL_OUTCOME_DONE ? 200 : 0;
  result->retry_after_ms = (uint32_t)script_number (command, "retry-after", 0);
  result->tokens = (uint32_t)script_number (command, "tokens", 0);
  result->report.load_permille = (uint32_t)script_number (command, "load", 0);
  parse_levels (run, command, &result->report);
  run_step (run, &event, true);
}

static void
handle_lost (struct run *run, const struct script_command *command)
{
  static const char *const names[]
      = { "answered", "not-sent", "broken", "timeout" };
  struct jl_event event = { .type = JL_EVENT_CALL_RESULT };

  set_attempt (run, command, &event.call_result);
  event.call_result.result = (enum jl_send_result)script_lookup (
      command, names, G_N_ELEMENTS (names), script_word (command, 1));
  run_step (run, &event, true);
}

static void
handle_gone (struct run *run, const struct script_command *command)
{
  struct jl_event event = { .type = JL_EVENT_CALLER_DISCONNECTED,
                            .disconnected_call = first_number (command) };

  run_step (run, &event, true);
}

static void
handle_work (struct run *run, const struct script_command *command)
{
  struct jl_event event = { .type = JL_EVENT_WORK };
  uint32_t kind = find_kind (run, command);

  event.work.kind = kind;
  event.work.config_version = run->config->version;
  event.work.attempt.origin
      = member_identity (script_number (command, "from", SENDER_MEMBER));
  event.work.invested_us = script_time (command, "invested", 0);
  event.work.budget_us
      = script_time (command, "budget", run->config->kinds[kind].deadline_us);
  event.work.tokens = (uint32_t)script_number (command, "tokens", 0);
  event.work.digest = script_number (command, "digest", 0);
  step_range (run, command, &event, &event.work.work);
}

static void
handle_end (struct run *run, const struct script_command *command)
{
  static const char *const names[]
      = { "answered", "not-sent", "broken", "timeout", "aborted", "too-large" };
  struct jl_event event = { .type = JL_EVENT_WORK_RESULT };

  event.work_result.result = (enum jl_run_result)script_lookup (
      command, names, G_N_ELEMENTS (names), script_word (command, 1));
  if (event.work_result.result == JL_RUN_ANSWERED)
    event.work_result.status = 200;
  step_range (run, command, &event, &event.work_result.work);
}

static void
handle_cancel (struct run *run, const struct script_command *command)
{
  struct jl_message message = { .type = JL_MESSAGE_CANCEL };
  struct jl_event event = { .type = JL_EVENT_MESSAGE, .message = &message };

  message.from
      = member_identity (script_number (command, "from", SENDER_MEMBER));
  message.to = member_identity (SELF_MEMBER);
  message.attempt.origin = message.from;
  message.attempt.number = first_number (command);
  run_step (run, &event, true);
}

static void
handle_strike (struct run *run, const struct script_command *command)
{
  struct jl_message message = { .type = JL_MESSAGE_SYNC, .strike_count = 1 };
  struct jl_event event = { .type = JL_EVENT_MESSAGE, .message = &message };

  message.from = member_identity (script_number (command, "target", 2));
  message.strikes[0].digest = script_number (command, "digest", 0);
  message.strikes[0].target = message.from.member;
  message.strikes[0].age_ms = (uint32_t)script_number (command, "age", 0);
  run_step (run, &event, true);
}

static void
handle_serve (struct run *run, const struct script_command *command)
{
  run->serve_us = first_number (command) * JL_USEC_PER_MSEC;
}

static void
handle_output (struct run *run, const struct script_command *command)
{
  if (strcmp (command->name, "hide-membership") == 0)
    run->hide_membership = true;
  else
    run->quiet = strcmp (command->name, "quiet") == 0;
}

static void
handle_summary (struct run *run,
                const struct script_command *command G_GNUC_UNUSED)
{
  run_summary (run);
}

static void
handle_show (struct run *run,
             const struct script_command *command G_GNUC_UNUSED)
{
  run_show (run);
}

static const struct handler handlers[] = {
  { "tick", handle_bare_event },
  { "drain", handle_bare_event },
  { "target-leave", handle_bare_event },
  { "config", handle_config },
  { "announce", handle_announce },
  { "member", handle_member },
  { "call", handle_call },
  { "answer", handle_answer },
  { "lost", handle_lost },
  { "gone", handle_gone },
  { "work", handle_work },
  { "end", handle_end },
  { "cancel", handle_cancel },
  { "strike", handle_strike },
  { "serve", handle_serve },
  { "quiet", handle_output },
  { "verbose", handle_output },
  { "hide-membership", handle_output },
  { "summary", handle_summary },
  { "show", handle_show },
};

void
commands_handle (struct run *run, const struct script_command *command)
{
  for (size_t i = 0; i < G_N_ELEMENTS (handlers); i++)
    if (strcmp (handlers[i].name, command->name) == 0)
      {
        handlers[i].handle (run, command);
        return;
      }
  script_fail (command, "unknown command");
}

struct run *
commands_begin (const struct script_command *command)
{
  static const char *const modes[] = { "full", "limit-only", "forward" };
  static const char *const mechanisms[]
      = { "none", "tokens", "importance", "attempt-match", "tombstone",
          "once", "probes", "drain",      "config-order" };
  struct jl_core_options options = { .now_us = command->time_us };
  uint32_t off;

  if (strcmp (command->name, "options") != 0)
    script_fail (command, "options have to come first");
  options.identity = member_identity (SELF_MEMBER);
  options.peer = jl_member_endpoint (options.identity.member);
  options.peer.port = JL_PRINT_PEER_PORT;
  g_strlcpy (options.zone, script_text (command, "zone", "zone-a"),
             JL_NAME_SIZE);
  options.seed = (uint32_t)script_number (command, "seed", 1);
  options.mode = (enum jl_core_mode)script_lookup (
      command, modes, G_N_ELEMENTS (modes),
      script_text (command, "mode", "full"));
  off = script_lookup (command, mechanisms, G_N_ELEMENTS (mechanisms),
                       script_text (command, "off", "none"));
  options.switched_off = off == 0 ? 0 : 1U << (off - 1);
  return run_new (&options);
}
