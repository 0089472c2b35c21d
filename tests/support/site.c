/**
 * DOC: Simulates several daemons in virtual time.
 */

#include "site.h"

#include <stdlib.h>
#include <string.h>

#include "print.h"

#define ANNOUNCE_INTERVAL_US (1 * JL_USEC_PER_SEC)

/**
 * struct pending - an event that is scheduled for a daemon
 * @order: order of events of the same time
 * @message: storage for the message that the event refers to
 */
struct pending
{
  uint32_t node;
  uint64_t order;
  struct jl_event event;
  struct jl_message message;
};

static gint
compare_pending (gconstpointer a, gconstpointer b, gpointer data G_GNUC_UNUSED)
{
  const struct pending *first = a;
  const struct pending *second = b;

  if (first->event.now_us != second->event.now_us)
    return first->event.now_us < second->event.now_us ? -1 : 1;
  return first->order < second->order ? -1 : 1;
}

static struct pending *
schedule (struct jl_site *site,
          uint32_t node,
          const struct jl_event *event,
          uint64_t at_us)
{
  struct pending *pending = g_new0 (struct pending, 1);

  pending->node = node;
  pending->order = site->next_order++;
  pending->event = *event;
  pending->event.now_us = at_us;
  g_sequence_insert_sorted (site->pending, pending, compare_pending, NULL);
  return pending;
}

void
jl_site_schedule (struct jl_site *site,
                  uint32_t node,
                  const struct jl_event *event,
                  uint64_t at_us)
{
  schedule (site, node, event, at_us);
}

static struct jl_identity
identity_of (uint32_t node)
{
  return (struct jl_identity){ .member = jl_print_member (node + 1),
                               .epoch = 1 };
}

static uint32_t
node_of (uint64_t member)
{
  return (jl_member_endpoint (member).ip & 255) - 1;
}

static struct jl_site_work *
find_work (struct jl_site *site, uint64_t work)
{
  return g_hash_table_lookup (site->works, GSIZE_TO_POINTER (work));
}

/* Combines the node and its call number to a key that is unique in the site. */
static gpointer
call_key (uint32_t node, uint64_t call)
{
  return GSIZE_TO_POINTER (call * JL_SITE_NODE_MAX + node);
}

static void
execute_send (struct jl_site *site,
              uint32_t sender,
              const struct jl_effect_send *send)
{
  struct jl_event event = { .type = JL_EVENT_WORK };
  struct jl_site_work *work = g_new0 (struct jl_site_work, 1);

  work->node = node_of (send->member);
  work->sender = sender;
  work->number = ++site->next_work;
  work->call = send->call;
  work->attempt = send->attempt;
  work->digest = send->digest;
  event.work.work = work->number;
  event.work.attempt = send->attempt;
  event.work.kind = send->kind;
  event.work.config_version = send->config_version;
  event.work.priority = send->priority;
  event.work.invested_us = send->invested_us;
  event.work.budget_us = send->budget_us > JL_SITE_LATENCY_US
                             ? send->budget_us - JL_SITE_LATENCY_US
                             : 0;
  event.work.anchor = send->anchor;
  event.work.tokens = send->tokens;
  event.work.digest = send->digest;
  g_hash_table_insert (site->works, GSIZE_TO_POINTER (work->number), work);
  schedule (site, work->node, &event, site->now_us + JL_SITE_LATENCY_US);
}

static void
execute_finish (struct jl_site *site, const struct jl_effect_finish *finish)
{
  struct jl_event event = { .type = JL_EVENT_CALL_RESULT };
  const struct jl_site_work *work = find_work (site, finish->work);

  event.call_result.call = work->call;
  event.call_result.attempt = work->attempt;
  event.call_result.result = JL_SEND_ANSWERED;
  event.call_result.outcome = finish->outcome;
  event.call_result.reason = finish->reason;
  event.call_result.no_retry = finish->no_retry;
  event.call_result.retry_after_ms = finish->retry_after_ms;
  event.call_result.tokens = finish->tokens;
  event.call_result.report = finish->report;
  event.call_result.status = work->status;
  g_hash_table_insert (site->statuses, call_key (work->sender, work->call),
                       GSIZE_TO_POINTER (work->status));
  schedule (site, work->sender, &event, site->now_us + JL_SITE_LATENCY_US);
  g_hash_table_remove (site->works, GSIZE_TO_POINTER (finish->work));
}

static void
execute_message (struct jl_site *site, const struct jl_effect_message *effect)
{
  struct jl_event event = { .type = JL_EVENT_MESSAGE };
  uint32_t node = node_of (jl_member_id (effect->to));
  struct pending *pending
      = schedule (site, node, &event, site->now_us + JL_SITE_LATENCY_US);

  pending->message = effect->message;
  pending->event.message = &pending->message;
}

static void
execute_answer (struct jl_site *site,
                uint32_t node,
                const struct jl_effect_answer *answer)
{
  gpointer key = call_key (node, answer->call);
  uint32_t status
      = GPOINTER_TO_UINT (g_hash_table_lookup (site->statuses, key));

  g_hash_table_remove (site->statuses, key);
  site->hooks.answer (site, node, answer,
                      answer->outcome == JL_OUTCOME_DONE ? status : 0);
}

static void
execute_effect (struct jl_site *site,
                uint32_t node,
                const struct jl_effect *effect)
{
  switch (effect->type)
    {
    case JL_EFFECT_SEND:
      execute_send (site, node, &effect->send);
      break;
    case JL_EFFECT_FINISH:
      execute_finish (site, &effect->finish);
      break;
    case JL_EFFECT_RUN:
      find_work (site, effect->run.work)->running = true;
      site->hooks.run (site, find_work (site, effect->run.work));
      break;
    case JL_EFFECT_ABORT_WORK:
      jl_site_end_run (site, effect->abort_work, JL_RUN_ABORTED, 0, 0);
      break;
    case JL_EFFECT_MESSAGE:
      execute_message (site, effect->message);
      break;
    case JL_EFFECT_ANSWER:
      execute_answer (site, node, &effect->answer);
      break;
    default:
      break;
    }
}

static void
step (struct jl_site *site, uint32_t node, struct jl_event *event)
{
  struct jl_site_work *ended = NULL;

  if (event->type == JL_EVENT_WORK_RESULT)
    ended = find_work (site, event->work_result.work);
  if (ended != NULL)
    ended->running = false;
  event->now_us = site->now_us;
  jl_effects_clear (site->effects);
  jl_core_step (site->cores[node], event, site->effects);
  for (size_t i = 0; i < jl_effects_count (site->effects); i++)
    execute_effect (site, node, jl_effects_get (site->effects, i));
}

void
jl_site_announce (struct jl_site *site,
                  uint32_t node,
                  const char *service,
                  uint32_t slots,
                  uint64_t started,
                  uint64_t from_us,
                  uint64_t end_us)
{
  struct jl_event event = { .type = JL_EVENT_ANNOUNCE };

  g_strlcpy (event.announce.service, service, JL_NAME_SIZE);
  event.announce.slots = slots;
  event.announce.connections = 100;
  event.announce.started = started;
  for (uint64_t at_us = from_us; at_us <= end_us; at_us += ANNOUNCE_INTERVAL_US)
    schedule (site, node, &event, at_us);
}

void
jl_site_end_run (struct jl_site *site,
                 uint64_t work,
                 enum jl_run_result result,
                 uint32_t status,
                 uint64_t delay_us)
{
  struct jl_event event = { .type = JL_EVENT_WORK_RESULT };
  struct jl_site_work *ended = find_work (site, work);

  if (ended == NULL)
    return;
  ended->status = status;
  event.work_result.work = work;
  event.work_result.result = result;
  event.work_result.status = status;
  schedule (site, ended->node, &event, site->now_us + delay_us);
}

void
jl_site_crash_target (struct jl_site *site, uint32_t node, uint64_t delay_us)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, site->works);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct jl_site_work *work = value;

      if (work->node == node && work->running)
        jl_site_end_run (site, work->number, JL_RUN_BROKEN, 0, delay_us);
    }
}

/* Return: index of the daemon whose timer is due first. */
static uint32_t
next_timer_node (struct jl_site *site)
{
  uint32_t next = 0;

  for (uint32_t node = 1; node < site->count; node++)
    if (jl_core_next_timer (site->cores[node])
        < jl_core_next_timer (site->cores[next]))
      next = node;
  return next;
}

/* Handles the next event or timer. Return: false if none is due by @end_us. */
static bool
handle_next (struct jl_site *site, uint64_t end_us)
{
  GSequenceIter *first = g_sequence_get_begin_iter (site->pending);
  struct pending *pending
      = g_sequence_iter_is_end (first) ? NULL : g_sequence_get (first);
  uint64_t pending_us = pending == NULL ? UINT64_MAX : pending->event.now_us;
  struct jl_event tick = { .type = JL_EVENT_TICK };
  uint32_t timer = next_timer_node (site);
  uint64_t timer_us = jl_core_next_timer (site->cores[timer]);

  if (MIN (timer_us, pending_us) > end_us)
    return false;
  if (timer_us <= pending_us)
    {
      site->now_us = MAX (site->now_us, timer_us);
      step (site, timer, &tick);
      return true;
    }
  site->now_us = pending_us;
  step (site, pending->node, &pending->event);
  g_sequence_remove (first);
  return true;
}

void
jl_site_run_until (struct jl_site *site, uint64_t end_us)
{
  while (handle_next (site, end_us))
    continue;
  site->now_us = MAX (site->now_us, end_us);
}

static void
open_node (struct jl_site *site, uint32_t node)
{
  struct jl_core_options options
      = { .identity = identity_of (node), .zone = "zone-a", .seed = 7 + node };
  struct jl_event event = { .type = JL_EVENT_CONFIG };

  site->cores[node] = jl_core_new (&options);
  event.config = site->config;
  step (site, node, &event);
  event.type = JL_EVENT_SEED;
  for (uint32_t other = 0; other < node; other++)
    {
      event.seed.control = jl_member_endpoint (identity_of (other).member);
      step (site, node, &event);
    }
}

void
jl_site_open (struct jl_site *site,
              uint32_t count,
              const char *document,
              struct jl_site_hooks hooks,
              void *context)
{
  memset (site, 0, sizeof *site);
  site->count = count;
  site->hooks = hooks;
  site->context = context;
  site->effects = jl_effects_new ();
  site->pending = g_sequence_new (g_free);
  site->works = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  site->statuses = g_hash_table_new (NULL, NULL);
  site->config = jl_config_new (document, strlen (document), 1, NULL);
  if (site->config == NULL)
    abort ();
  for (uint32_t node = 0; node < count; node++)
    open_node (site, node);
}

void
jl_site_close (struct jl_site *site)
{
  for (uint32_t node = 0; node < site->count; node++)
    jl_core_drop (site->cores[node]);
  jl_effects_drop (site->effects);
  jl_config_drop (site->config);
  g_sequence_free (site->pending);
  g_hash_table_destroy (site->works);
  g_hash_table_destroy (site->statuses);
}
