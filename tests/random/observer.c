/**
 * DOC: Checks the invariants that hold across all daemons, at each step.
 */

#include <stdarg.h>

#include "core/core-impl.h"
#include "core/member.h"
#include "world.h"

void
report_violation (struct world *world, const char *format, ...)
{
  va_list arguments;

  if (world->failure != NULL)
    return;
  world->failure_kind = format;
  va_start (arguments, format);
  world->failure = g_strdup_vprintf (format, arguments);
  va_end (arguments);
}

/* Checks that the retries in a call tree don't exceed its retry tokens. */
static void
check_retries (struct world *world, struct sending *sending)
{
  struct sending *root = sending->root;
  uint32_t retries;

  if (++sending->sends <= 1)
    return;
  root->retries++;
  root->request->retries++;
  retries = kind_idempotent (root->request->kind) ? root->retries
                                                  : root->request->retries;
  if (retries > RETRY_TOKENS)
    report_violation (world,
                      "request %" G_GINT64_MODIFIER "x: %u retries in its tree",
                      root->request->id, retries);
}

static void
check_placement (struct node *node, const struct exchange *exchange)
{
  struct world *world = node->world;
  const struct node *to = exchange->to;
  struct jl_member *member
      = jl_members_find (node->core, exchange->send.member);

  if (member == NULL || member->info.state != JL_MEMBER_ALIVE)
    report_violation (world, "node %u sends to a member that is not alive",
                      node->index);
  if (to->unavailable_since_us != 0
      && to->unavailable_since_us + UNAVAILABLE_MAX_US < world->now_us
      && node->stale_until_us < to->unavailable_since_us
      && world->stable_from_us < to->unavailable_since_us)
    report_violation (
        world, "node %u sends to node %u, %u ms after its target was gone",
        node->index, to->index,
        (uint32_t)((world->now_us - to->unavailable_since_us)
                   / JL_USEC_PER_MSEC));
}

void
observe_send (struct node *node, const struct exchange *exchange)
{
  check_retries (node->world, exchange->sending);
  check_placement (node, exchange);
  if (exchange->send.tokens > RETRY_TOKENS)
    report_violation (node->world, "%u tokens are lent", exchange->send.tokens);
}

void
observe_run (struct node *node, const struct edge_work *work)
{
  struct world *world = node->world;
  struct sending *sending = work->exchange->sending;
  struct request *request = sending->request;

  if (request->runs > 0 && !kind_idempotent (request->kind))
    report_violation (world, "request %" G_GINT64_MODIFIER "x runs again",
                      request->id);
  if (sending->reported_not_run || sending->serial <= request->not_run_serial)
    report_violation (world,
                      "request %" G_GINT64_MODIFIER "x runs after \"not run\"",
                      request->id);
  request->runs++;
  sending->runs++;
}

void
observe_outcome (struct sending *sending,
                 enum jl_outcome outcome,
                 enum jl_outcome sending_outcome)
{
  struct request *request = sending->request;
  struct world *world = sending->root->caller->entry->world;

  if (outcome == JL_OUTCOME_NOT_RUN && request->runs > 0)
    report_violation (world,
                      "request %" G_GINT64_MODIFIER "x ran and is \"not run\"",
                      request->id);
  if (sending_outcome == JL_OUTCOME_NOT_RUN && sending->runs > 0)
    report_violation (
        world, "a sending of %" G_GINT64_MODIFIER "x ran and is \"not run\"",
        request->id);
  if (outcome == JL_OUTCOME_NOT_RUN)
    request->not_run_serial = world->next_serial;
  if (sending_outcome == JL_OUTCOME_NOT_RUN)
    sending->reported_not_run = true;
  world->done += outcome == JL_OUTCOME_DONE;
  world->not_run += outcome == JL_OUTCOME_NOT_RUN;
  world->unknown += outcome == JL_OUTCOME_UNKNOWN;
}

void
observe_answer (struct node *node,
                const struct edge_call *call,
                const struct jl_effect_answer *answer,
                const struct run *body)
{
  struct world *world = node->world;

  if (call->exchange != NULL
      && answer->tokens > call->exchange->forwarded.tokens)
    report_violation (world,
                      "a forwarded call returns more tokens than it got");
  if (call->sending->parent == NULL && answer->tokens > RETRY_TOKENS)
    report_violation (world, "a call ends with more tokens than it had");
  if (answer->reason == JL_REASON_KEY_REUSED)
    report_violation (world, "two requests have one ticket");
  if (answer->outcome != JL_OUTCOME_DONE)
    return;
  if (body == NULL)
    report_violation (world, "an answer without a body");
  else if (body->sending->request != call->sending->request)
    report_violation (world, "the answer of another request");
  else if (!answer->replay_stored && call->last_exchange != NULL
           && !call->last_exchange->forward
           && !jl_attempt_id_equal (call->body_attempt,
                                    call->last_exchange->send.attempt))
    report_violation (world, "the answer of another sending");
}

/*
 * Checks that no less important work item waits while one of @priority is
 * refused for overload.
 */
static void
check_importance (struct node *node, uint32_t priority)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, node->core->works);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct jl_work *work = value;

      if (work->state == JL_WORK_WAITING && work->priority > priority)
        report_violation (node->world, "node %u refuses %u while %u waits",
                          node->index, priority, work->priority);
    }
}

void
observe_finish (struct node *node,
                const struct edge_work *work,
                const struct jl_effect_finish *finish)
{
  if (finish->tokens > work->exchange->send.tokens)
    report_violation (node->world,
                      "a work item returns more tokens than it got");
  if (finish->outcome == JL_OUTCOME_NOT_RUN && work->run != NULL)
    report_violation (node->world,
                      "a work item that ran is finished as not run");
  if (finish->reason == JL_REASON_OVERLOAD)
    check_importance (node, work->exchange->send.priority);
}

void
observe_step (struct node *node)
{
  struct world *world = node->world;
  const struct jl_config *config = node->core->config;
  const struct jl_config *known;

  if (config == NULL)
    return;
  if (config->version < node->config_version)
    report_violation (world, "node %u reverts to an older configuration",
                      node->index);
  node->config_version = config->version;
  known = g_ptr_array_index (world->configs, (uint32_t)config->version - 1);
  if (known->digest != config->digest)
    report_violation (world, "one version has two contents");
}

void
observe_exit (struct node *node)
{
  struct world *world = node->world;

  if (g_hash_table_size (node->works) > 0
      || g_hash_table_size (node->calls) > 0)
    report_violation (world, "node %u exits with requests in progress",
                      node->index);
}

static void
check_membership (struct node *node)
{
  struct world *world = node->world;

  for (uint32_t i = 0; i < world->plan->node_count; i++)
    {
      struct node *other = &world->nodes[i];
      struct jl_member *member;

      if (other->core == NULL)
        continue;
      member = jl_members_find (node->core, other->core->identity.member);
      if (member == NULL
          || !jl_identity_equal (member->info.identity, other->core->identity)
          || member->info.state != JL_MEMBER_ALIVE || !member->info.target_up)
        report_violation (world, "node %u does not see node %u at the end",
                          node->index, i);
    }
}

void
observe_end (struct world *world)
{
  for (uint32_t i = 0; i < world->plan->node_count; i++)
    {
      struct node *node = &world->nodes[i];

      if (node->core == NULL)
        continue;
      if (g_hash_table_size (node->calls) > 0)
        report_violation (world, "node %u has a call without an answer", i);
      if (g_hash_table_size (node->works) > 0)
        report_violation (world, "node %u has a work item without an end", i);
      if (node->core->config == NULL
          || node->core->config->version != world->configs->len)
        report_violation (world, "node %u has not got the last configuration",
                          i);
      check_membership (node);
    }
}
