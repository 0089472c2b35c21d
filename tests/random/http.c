/**
 * DOC: Executes effects of the reducers: requests between daemons, messages
 * and claims.
 */

#include <string.h>

#include "../support/print.h"
#include "core/core-impl.h"
#include "world.h"

/* Probability that a delivery is lost, without and with a loss fault. */
#define LOSS_BASE_PERMILLE 10
#define LOSS_FAULT_PERMILLE 150

static bool
is_lost (struct world *world)
{
  return random_chance (world, world->loss_until_us > world->now_us
                                   ? LOSS_FAULT_PERMILLE
                                   : LOSS_BASE_PERMILLE);
}

/* Network latency in microseconds; 4 % of the deliveries are much slower. */
static uint64_t
network_delay_us (struct world *world)
{
  if (random_chance (world, 40))
    return random_between (world, 2000, 300000);
  return random_between (world, 200, 2000);
}

static void
close_exchange (struct exchange *exchange)
{
  struct jl_event gone = { .type = JL_EVENT_CALLER_DISCONNECTED };

  if (!exchange->open)
    return;
  exchange->open = false;
  gone.disconnected_call = exchange->remote;
  if (exchange->forward && exchange->remote != 0)
    schedule_event (exchange->to, exchange->to_generation,
                    network_delay_us (exchange->from->world), &gone);
}

/**
 * struct reply - result of an exchange, in transit to the sender
 * @body: the run whose answer the reply carries, NULL for none
 * @repeated: whether this may be a duplicate, which the sender has to ignore
 */
struct reply
{
  struct exchange *exchange;
  struct jl_event_call_result result;
  struct run *body;
  bool repeated;
};

static uint64_t
call_of (const struct exchange *exchange)
{
  return exchange->forward ? exchange->forwarded.call : exchange->send.call;
}

static struct jl_attempt_id
attempt_of (const struct exchange *exchange)
{
  return exchange->forward ? exchange->forwarded.attempt
                           : exchange->send.attempt;
}

static void
deliver_reply (struct world *world G_GNUC_UNUSED,
               struct node *node,
               void *argument)
{
  struct reply *reply = argument;
  struct exchange *exchange = reply->exchange;
  struct jl_event event = { .type = JL_EVENT_CALL_RESULT };
  struct edge_call *call;

  if (!exchange->open && !reply->repeated)
    return;
  if (reply->result.result != JL_SEND_ANSWERED)
    close_exchange (exchange);
  exchange->open = false;
  event.call_result = reply->result;
  event.call_result.call = call_of (exchange);
  event.call_result.attempt = attempt_of (exchange);
  call
      = g_hash_table_lookup (node->calls, JL_HASH_KEY (event.call_result.call));
  if (call != NULL && reply->body != NULL)
    {
      call->body = reply->body;
      call->body_attempt = event.call_result.attempt;
    }
  step (node, &event);
}

/* Schedules the delivery of a reply to the sender of an exchange. */
static void
schedule_reply (struct exchange *exchange,
                uint64_t delay_us,
                const struct reply *reply)
{
  struct world *world = exchange->from->world;
  struct reply *copy = g_new (struct reply, 1);

  *copy = *reply;
  copy->exchange = exchange;
  g_ptr_array_add (world->owned, copy);
  schedule_on_node (exchange->from, exchange->from_generation, delay_us,
                    deliver_reply, copy);
}

static void
end_exchange (struct exchange *exchange,
              uint64_t delay_us,
              enum jl_send_result result)
{
  struct reply reply = { .result = { .result = result } };

  schedule_reply (exchange, delay_us, &reply);
}

/* Sends the answer of the receiver back to the sender, unless it is lost. */
static void
answer_exchange (struct node *node,
                 struct exchange *exchange,
                 struct reply *reply)
{
  struct world *world = node->world;
  uint64_t delay_us = network_delay_us (world);

  reply->result.result = JL_SEND_ANSWERED;
  if (is_partitioned (world, exchange->from, node))
    return;
  if (is_lost (world) && exchange->from != node)
    {
      end_exchange (exchange, delay_us, JL_SEND_BROKEN);
      return;
    }
  schedule_reply (exchange, delay_us, reply);
  reply->repeated = random_chance (world, 30);
  if (reply->repeated)
    schedule_reply (exchange, delay_us + random_between (world, 1, 100000),
                    reply);
}

void
call_node (struct node *node,
           struct sending *sending,
           struct exchange *exchange,
           struct jl_event_call *event)
{
  struct edge_call *call = g_new0 (struct edge_call, 1);
  struct jl_event step_event = { .type = JL_EVENT_CALL };

  call->number = ++node->next_number;
  call->sending = sending;
  call->exchange = exchange;
  g_hash_table_insert (node->calls, JL_HASH_KEY (call->number), call);
  event->call = call->number;
  if (exchange != NULL)
    exchange->remote = call->number;
  step_event.call = *event;
  step (node, &step_event);
}

static void
arrive_forward (struct node *node, struct exchange *exchange)
{
  const struct jl_effect_forward *forward = &exchange->forwarded;
  uint32_t kind = exchange->sending->request->kind;
  struct jl_event_call event = { .kind = kind_index (node, kind),
                                 .config_version = config_version_of (node),
                                 .forwarded = true,
                                 .attempt = forward->attempt,
                                 .key_type = JL_KEY_TICKET,
                                 .ticket = forward->ticket,
                                 .digest = exchange->sending->path_hash,
                                 .budget_us = forward->budget_us,
                                 .priority = forward->priority,
                                 .tokens = forward->tokens,
                                 .invested_us = forward->invested_us };

  call_node (node, exchange->sending, exchange, &event);
}

static void
arrive_work (struct node *node, struct exchange *exchange)
{
  const struct jl_effect_send *send = &exchange->send;
  struct edge_work *work = g_new0 (struct edge_work, 1);
  struct jl_event event = { .type = JL_EVENT_WORK };

  exchange->remote = ++node->next_number;
  work->exchange = exchange;
  g_hash_table_insert (node->works, JL_HASH_KEY (exchange->remote), work);
  event.work.work = exchange->remote;
  event.work.attempt = send->attempt;
  event.work.kind = kind_index (node, exchange->sending->request->kind);
  event.work.config_version = config_version_of (node);
  event.work.priority = send->priority;
  event.work.invested_us = send->invested_us;
  event.work.budget_us = send->budget_us;
  event.work.anchor = send->anchor;
  event.work.tokens = send->tokens;
  event.work.digest = send->digest;
  step (node, &event);
}

static void
arrive (struct world *world, struct node *node, void *argument)
{
  struct exchange *exchange = argument;

  if (exchange->open && is_partitioned (world, exchange->from, node))
    return;
  exchange->to_generation = node->generation;
  /*
   * The request arrives even if the sender has closed the exchange, because a
   * daemon doesn't notice a closed connection at once.
   */
  if (exchange->forward)
    arrive_forward (node, exchange);
  else
    arrive_work (node, exchange);
}

/* Breaks the connection; some requests still arrive, soon or much later. */
static void
break_request (struct world *world, struct exchange *exchange)
{
  end_exchange (exchange, random_between (world, 1, 50000), JL_SEND_BROKEN);
  if (random_chance (world, 300))
    schedule_on_node (exchange->to, exchange->to_generation,
                      random_between (world, 1, 100000), arrive, exchange);
  else if (random_chance (world, 200))
    schedule_on_node (exchange->to, exchange->to_generation,
                      random_between (world, 1, 5000000), arrive, exchange);
}

static void
begin_exchange (struct node *node,
                struct exchange *exchange,
                struct jl_endpoint peer,
                uint64_t budget_us)
{
  struct world *world = node->world;
  struct edge_call *call
      = g_hash_table_lookup (node->calls, JL_HASH_KEY (call_of (exchange)));

  exchange->from = node;
  exchange->from_generation = node->generation;
  exchange->to = node_at (world, peer);
  exchange->sending = call->sending;
  exchange->open = true;
  call->last_exchange = exchange;
  g_ptr_array_add (world->exchanges, exchange);
  if (!exchange->forward)
    observe_send (node, exchange);
  end_exchange (exchange, budget_us, JL_SEND_TIMEOUT);
  if (exchange->to == NULL || exchange->to->core == NULL)
    {
      end_exchange (exchange, random_between (world, 500, 5000),
                    JL_SEND_NOT_SENT);
      return;
    }
  exchange->to_generation = exchange->to->generation;
  if (is_partitioned (world, node, exchange->to))
    end_exchange (exchange, random_between (world, 20000, 300000),
                  JL_SEND_NOT_SENT);
  else if (exchange->to != node && is_lost (world))
    break_request (world, exchange);
  else
    schedule_on_node (exchange->to, exchange->to_generation,
                      exchange->to == node ? 1 : network_delay_us (world),
                      arrive, exchange);
}

static void
stop_send (struct node *node, const struct jl_effect_abort_attempt *stop)
{
  struct edge_call *call
      = g_hash_table_lookup (node->calls, JL_HASH_KEY (stop->call));
  struct exchange *exchange = call == NULL ? NULL : call->last_exchange;

  if (exchange == NULL
      || !jl_attempt_id_equal (attempt_of (exchange), stop->attempt))
    return;
  close_exchange (exchange);
  exchange->open = true;
  end_exchange (exchange, 1000, JL_SEND_TIMEOUT);
}

void
break_exchanges (struct node *node)
{
  struct world *world = node->world;

  for (uint32_t i = 0; i < world->exchanges->len; i++)
    {
      struct exchange *exchange = g_ptr_array_index (world->exchanges, i);

      if (!exchange->open)
        continue;
      if (exchange->from == node
          && exchange->from_generation == node->generation)
        close_exchange (exchange);
      else if (exchange->to == node
               && exchange->to_generation == node->generation
               && !is_partitioned (world, node, exchange->from))
        end_exchange (exchange, random_between (world, 200, 20000),
                      JL_SEND_BROKEN);
    }
}

static char *
stored_key (struct jl_ticket ticket)
{
  char *text = g_malloc0 (JL_ID_TEXT_SIZE);

  jl_ticket_format (ticket, text);
  return text;
}

static void
answer (struct node *node, const struct jl_effect_answer *effect)
{
  struct edge_call *call
      = g_hash_table_lookup (node->calls, JL_HASH_KEY (effect->call));
  struct reply reply = { .body = NULL };
  char *key = stored_key (effect->ticket);

  if (call == NULL)
    {
      report_violation (node->world, "a call is answered twice");
      g_free (key);
      return;
    }
  if (effect->outcome == JL_OUTCOME_DONE)
    reply.body = effect->replay_stored ? g_hash_table_lookup (node->stored, key)
                                       : call->body;
  observe_answer (node, call, effect, reply.body);
  if (effect->store)
    g_hash_table_replace (node->stored, g_strdup (key), reply.body);
  g_free (key);
  reply.result.outcome = effect->outcome;
  reply.result.reason = effect->reason;
  reply.result.retry_after_ms = effect->retry_after_ms;
  reply.result.tokens = effect->tokens;
  reply.result.report = effect->report;
  if (call->exchange != NULL)
    answer_exchange (node, call->exchange, &reply);
  else if (call->sending->parent != NULL)
    child_answered (call->sending->parent, call->sending, effect);
  else
    answer_caller (call->sending, effect);
  g_hash_table_remove (node->calls, JL_HASH_KEY (effect->call));
}

static void
finish (struct node *node, const struct jl_effect_finish *effect)
{
  struct edge_work *work
      = g_hash_table_lookup (node->works, JL_HASH_KEY (effect->work));
  struct reply reply = { .body = NULL };

  if (work == NULL)
    {
      report_violation (node->world, "a work item is finished twice");
      return;
    }
  observe_finish (node, work, effect);
  reply.body = effect->outcome == JL_OUTCOME_DONE ? work->run : NULL;
  reply.result.outcome = effect->outcome;
  reply.result.reason = effect->reason;
  reply.result.no_retry = effect->no_retry;
  reply.result.retry_after_ms = effect->retry_after_ms;
  reply.result.tokens = effect->tokens;
  reply.result.report = effect->report;
  answer_exchange (node, work->exchange, &reply);
  g_hash_table_remove (node->works, JL_HASH_KEY (effect->work));
}

/* Inserts if absent; the response may be lost after the write took effect. */
static void
claim (struct node *node, const struct jl_effect_claim *effect)
{
  struct world *world = node->world;
  bool outage = world->outage_until_us > world->now_us;
  gpointer key = JL_HASH_KEY (effect->key_hash);
  struct jl_event event = { .type = JL_EVENT_CLAIM_RESULT };
  struct jl_ticket *owner = g_hash_table_lookup (world->claims, key);

  event.claim_result.call = effect->call;
  if (owner == NULL && (!outage || random_chance (world, 200)))
    {
      owner = g_memdup2 (&effect->ticket, sizeof effect->ticket);
      g_hash_table_insert (world->claims, key, owner);
    }
  event.claim_result.known = !outage && !random_chance (world, 30);
  if (event.claim_result.known)
    event.claim_result.owner_ticket = *owner;
  schedule_event (node, node->generation,
                  random_between (world, 2000, outage ? 400000 : 12000),
                  &event);
}

static void
send_message (struct node *node, const struct jl_effect_message *effect)
{
  struct world *world = node->world;
  struct node *to = node_at (world, effect->to);
  struct jl_event event = { .type = JL_EVENT_MESSAGE };

  event.message = &effect->message;
  if (to == NULL || is_partitioned (world, node, to) || is_lost (world))
    return;
  schedule_event (to, ANY_GENERATION, network_delay_us (world), &event);
  if (random_chance (world, 20))
    schedule_event (to, ANY_GENERATION, network_delay_us (world), &event);
}

static void
send (struct node *node, const struct jl_effect *effect)
{
  struct exchange *exchange = g_new0 (struct exchange, 1);

  exchange->forward = effect->type == JL_EFFECT_FORWARD;
  if (exchange->forward)
    {
      exchange->forwarded = effect->forward;
      begin_exchange (node, exchange, effect->forward.peer,
                      effect->forward.budget_us);
      return;
    }
  exchange->send = effect->send;
  begin_exchange (node, exchange, effect->send.peer, effect->send.budget_us);
}

void
execute_effect (struct node *node, const struct jl_effect *effect)
{
  struct edge_work *work;

  switch (effect->type)
    {
    case JL_EFFECT_SEND:
    case JL_EFFECT_FORWARD:
      send (node, effect);
      return;
    case JL_EFFECT_ANSWER:
      answer (node, &effect->answer);
      return;
    case JL_EFFECT_CLAIM:
      claim (node, &effect->claim);
      return;
    case JL_EFFECT_RUN:
      work = g_hash_table_lookup (node->works, JL_HASH_KEY (effect->run.work));
      begin_run (node, work, &effect->run);
      return;
    case JL_EFFECT_FINISH:
      finish (node, &effect->finish);
      return;
    case JL_EFFECT_ABORT_WORK:
      work
          = g_hash_table_lookup (node->works, JL_HASH_KEY (effect->abort_work));
      if (work != NULL && work->run != NULL)
        abort_run (node, work->run);
      return;
    case JL_EFFECT_ABORT_ATTEMPT:
      stop_send (node, &effect->abort_attempt);
      return;
    case JL_EFFECT_MESSAGE:
      send_message (node, effect->message);
      return;
    case JL_EFFECT_FETCH_CONFIG:
      fetch_config (node, effect->fetch_config.peer);
      return;
    case JL_EFFECT_EXIT:
      observe_exit (node);
      exit_node (node);
      return;
    case JL_EFFECT_PUBLISH:
    case JL_EFFECT_CONFIG:
    case JL_EFFECT_LOG:
      return;
    }
}
