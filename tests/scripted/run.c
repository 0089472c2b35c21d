/**
 * DOC: Runs events against the reducer, with a fake target and fake members.
 */

#include "run.h"

#include <inttypes.h>
#include <string.h>

#include "../support/print.h"

/* Time that a known member takes to acknowledge a probe. */
#define ACK_DELAY_US (1 * JL_USEC_PER_MSEC)

/**
 * struct pending - a scheduled event
 * @order: order of events of the same time
 * @echo: whether the event is printed
 */
struct pending
{
  struct jl_event event;
  uint64_t order;
  bool echo;
};

static void
free_pending (gpointer data)
{
  struct pending *pending = data;

  if (pending->event.type == JL_EVENT_MESSAGE)
    g_free ((gpointer)pending->event.message);
  g_free (pending);
}

static gint
compare_pending (gconstpointer a, gconstpointer b, gpointer data G_GNUC_UNUSED)
{
  const struct pending *first = a;
  const struct pending *second = b;

  if (first->event.now_us != second->event.now_us)
    return first->event.now_us < second->event.now_us ? -1 : 1;
  return first->order < second->order ? -1 : 1;
}

struct run *
run_new (const struct jl_core_options *options)
{
  struct run *run = g_new0 (struct run, 1);

  run->core = jl_core_new (options);
  run->effects = jl_effects_new ();
  run->out = g_string_new ("");
  run->pending = g_sequence_new (free_pending);
  run->members = g_hash_table_new (g_direct_hash, g_direct_equal);
  run->attempts
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  run->works = g_hash_table_new (g_direct_hash, g_direct_equal);
  return run;
}

void
run_drop (struct run *run)
{
  jl_core_drop (run->core);
  jl_effects_drop (run->effects);
  g_string_free (run->out, TRUE);
  g_sequence_free (run->pending);
  g_hash_table_destroy (run->members);
  g_hash_table_destroy (run->attempts);
  g_hash_table_destroy (run->works);
  if (run->config != NULL)
    jl_config_drop (run->config);
  g_free (run);
}

void
run_schedule (struct run *run, const struct jl_event *event, bool echo)
{
  struct pending *pending = g_new0 (struct pending, 1);

  pending->event = *event;
  pending->order = run->next_order++;
  pending->echo = echo;
  g_sequence_insert_sorted (run->pending, pending, compare_pending, NULL);
}

/*
 * Whether an effect only concerns membership: probes, member updates, published
 * rows and their log events. Messages with strikes don't count, so they are
 * printed.
 */
static bool
is_membership (const struct jl_effect *effect)
{
  if (effect->type == JL_EFFECT_PUBLISH)
    return true;
  if (effect->type == JL_EFFECT_LOG)
    return effect->log.number >= JL_LOG_MEMBER_ALIVE
           && effect->log.number <= JL_LOG_MEMBER_LEFT;
  if (effect->type != JL_EFFECT_MESSAGE)
    return false;
  return effect->message->message.type < JL_MESSAGE_CANCEL
         && effect->message->message.strike_count == 0;
}

static void
print_line (struct run *run, const char *mark, const GString *text)
{
  if (run->quiet)
    return;
  jl_print_time (run->out, run->now_us);
  g_string_append_printf (run->out, "%s %s\n", mark, text->str);
}

static void
record_attempt (struct run *run, uint64_t call, struct jl_attempt_id attempt)
{
  struct jl_attempt_id *kept = g_new (struct jl_attempt_id, 1);

  *kept = attempt;
  g_hash_table_insert (run->attempts, GSIZE_TO_POINTER (call), kept);
}

static void
schedule_ack (struct run *run, const struct jl_message *probe)
{
  struct jl_event event
      = { .type = JL_EVENT_MESSAGE, .now_us = run->now_us + ACK_DELAY_US };
  struct jl_message *ack;

  if (!g_hash_table_contains (run->members,
                              GSIZE_TO_POINTER (probe->to.member)))
    return;
  ack = g_new0 (struct jl_message, 1);
  ack->type = JL_MESSAGE_ACK;
  ack->from.member = probe->to.member;
  ack->from.epoch = 1;
  ack->to = probe->from;
  ack->sequence = probe->sequence;
  event.message = ack;
  run_schedule (run, &event, false);
}

static struct run_counts *
counts_of (struct run *run, uint64_t work)
{
  size_t priority = GPOINTER_TO_SIZE (
      g_hash_table_lookup (run->works, GSIZE_TO_POINTER (work)));

  return &run->counts[(priority - 1) / JL_SAMPLE_COUNT];
}

static void
count_finish (struct run *run, const struct jl_effect_finish *finish)
{
  struct run_counts *counts = counts_of (run, finish->work);

  if (finish->outcome == JL_OUTCOME_DONE)
    counts->done++;
  else if (finish->reason == JL_REASON_DEADLINE)
    counts->late++;
  else
    counts->refused++;
}

static void
begin_run (struct run *run, uint64_t work)
{
  struct jl_event event
      = { .type = JL_EVENT_WORK_RESULT, .now_us = run->now_us + run->serve_us };

  counts_of (run, work)->runs++;
  if (run->serve_us == 0)
    return;
  event.work_result.work = work;
  event.work_result.result = JL_RUN_ANSWERED;
  event.work_result.status = 200;
  run_schedule (run, &event, true);
}

/* Lets the fake target and the fake members react to an effect. */
static void
handle_effect (struct run *run, const struct jl_effect *effect)
{
  switch (effect->type)
    {
    case JL_EFFECT_SEND:
      record_attempt (run, effect->send.call, effect->send.attempt);
      break;
    case JL_EFFECT_FORWARD:
      record_attempt (run, effect->forward.call, effect->forward.attempt);
      break;
    case JL_EFFECT_MESSAGE:
      if (effect->message->message.type == JL_MESSAGE_PROBE)
        schedule_ack (run, &effect->message->message);
      break;
    case JL_EFFECT_RUN:
      begin_run (run, effect->run.work);
      break;
    case JL_EFFECT_FINISH:
      count_finish (run, &effect->finish);
      break;
    default:
      break;
    }
}

static void
count_event (struct run *run, const struct jl_event *event)
{
  uint32_t priority;

  if (event->type != JL_EVENT_WORK)
    return;
  priority = event->work.priority % JL_PRIORITY_COUNT;
  g_hash_table_insert (run->works, GSIZE_TO_POINTER (event->work.work),
                       GSIZE_TO_POINTER (priority + 1));
  run->counts[priority / JL_SAMPLE_COUNT].works++;
}

static void
print_effect (struct run *run, const struct jl_effect *effect, GString *text)
{
  if (run->hide_membership && is_membership (effect))
    return;
  if (run->hide_membership && effect->type == JL_EFFECT_MESSAGE)
    effect->message->message.update_count = 0;
  g_string_truncate (text, 0);
  jl_print_effect (text, run->config, effect);
  print_line (run, "  ", text);
}

void
run_step (struct run *run, struct jl_event *event, bool echo)
{
  GString *text = g_string_new ("");

  event->now_us = run->now_us;
  count_event (run, event);
  if (echo)
    {
      jl_print_event (text, run->config, event);
      print_line (run, ">", text);
    }
  jl_effects_clear (run->effects);
  jl_core_step (run->core, event, run->effects);
  for (size_t i = 0; i < jl_effects_count (run->effects); i++)
    {
      print_effect (run, jl_effects_get (run->effects, i), text);
      handle_effect (run, jl_effects_get (run->effects, i));
    }
  g_string_free (text, TRUE);
}

/* Gives the first pending event to the reducer. */
static void
step_pending (struct run *run)
{
  GSequenceIter *first = g_sequence_get_begin_iter (run->pending);
  struct pending *pending = g_sequence_get (first);
  struct pending copy = *pending;

  pending->event.type = JL_EVENT_TICK;
  g_sequence_remove (first);
  run->now_us = MAX (run->now_us, copy.event.now_us);
  run_step (run, &copy.event, copy.echo);
  if (copy.event.type == JL_EVENT_MESSAGE)
    g_free ((gpointer)copy.event.message);
}

static uint64_t
next_pending (struct run *run)
{
  GSequenceIter *first = g_sequence_get_begin_iter (run->pending);

  if (g_sequence_iter_is_end (first))
    return UINT64_MAX;
  return ((struct pending *)g_sequence_get (first))->event.now_us;
}

void
run_until (struct run *run, uint64_t time_us)
{
  for (;;)
    {
      uint64_t timer_us = jl_core_next_timer (run->core);
      uint64_t pending_us = next_pending (run);
      struct jl_event tick = { .type = JL_EVENT_TICK };

      if (MIN (timer_us, pending_us) > time_us)
        break;
      if (timer_us <= pending_us)
        {
          run->now_us = MAX (run->now_us, timer_us);
          run_step (run, &tick, false);
        }
      else
        step_pending (run);
    }
  run->now_us = MAX (run->now_us, time_us);
}

void
run_summary (struct run *run)
{
  for (uint32_t i = 0; i < JL_CLASS_MAX; i++)
    {
      struct run_counts *counts = &run->counts[i];

      if (run->config == NULL || i >= run->config->class_count)
        continue;
      jl_print_time (run->out, run->now_us);
      g_string_append_printf (
          run->out, "= class=%s works=%u runs=%u done=%u refused=%u late=%u\n",
          run->config->classes[i], counts->works, counts->runs, counts->done,
          counts->refused, counts->late);
      memset (counts, 0, sizeof *counts);
    }
}

/* Appends the object at @key of a JSON dump; it must not contain objects. */
static void
append_json_object (const char *dump, const char *key, GString *out)
{
  const char *begin = strstr (dump, key);
  const char *end = begin == NULL ? NULL : strchr (begin, '}');

  if (end != NULL)
    g_string_append_len (out, begin, end - begin + 1);
}

void
run_show (struct run *run)
{
  GString *dump = g_string_new ("");

  jl_core_dump (run->core, dump);
  jl_print_time (run->out, run->now_us);
  g_string_append (run->out, "= ");
  append_json_object (dump->str, "\"admission\"", run->out);
  g_string_append_c (run->out, '\n');
  g_string_free (dump, TRUE);
}
