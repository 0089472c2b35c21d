/**
 * DOC: Fake callers, which retry a request at a random daemon.
 *
 * Some wait for the time that the answer asks for, some retry earlier.
 */

#include "core/core-impl.h"
#include "world.h"

#include <string.h>

#include <xxhash.h>

#define SENDINGS_MAX 4

struct request *
find_request (struct world *world, uint64_t id, uint32_t kind)
{
  struct request *request = g_hash_table_lookup (world->requests, &id);

  if (request != NULL)
    return request;
  request = g_new0 (struct request, 1);
  request->id = id;
  request->kind = kind;
  g_hash_table_insert (world->requests, &request->id, request);
  return request;
}

struct sending *
new_sending (struct world *world, struct request *request)
{
  struct sending *sending = g_new0 (struct sending, 1);

  sending->serial = ++world->next_serial;
  sending->request = request;
  sending->path_hash = request->id;
  sending->root = sending;
  sending->open = true;
  g_ptr_array_add (world->owned, sending);
  return sending;
}

/* Without a key, each sending counts as a new request. */
static struct request *
identify_request (struct world *world, struct caller *caller)
{
  uint64_t id[2] = { ++world->next_request, 1 };
  bool keeps_key = caller->key_type == JL_KEY_TICKET
                   || (caller->key_type == JL_KEY_CALLER
                       && !kind_idempotent (caller->kind));

  if (caller->request != NULL && keeps_key)
    return caller->request;
  return find_request (world, XXH3_64bits (id, sizeof id), caller->kind);
}

static void
arrive (struct world *world G_GNUC_UNUSED, struct node *node, void *argument)
{
  struct sending *sending = argument;
  struct caller *caller = sending->caller;
  struct jl_event_call event = { .kind = kind_index (node, caller->kind) };

  event.config_version = config_version_of (node);
  event.key_type = caller->key_type;
  event.ticket = caller->ticket;
  event.key_hash = caller->key_hash;
  event.digest = sending->path_hash;
  caller->call = node->next_number + 1;
  call_node (node, sending, NULL, &event);
}

static void
send_request (struct world *world, struct node *node, void *argument);

static void
send_again (struct world *world, struct caller *caller, uint64_t delay_us)
{
  if (caller->retries_left-- > 0)
    schedule (world, delay_us, send_request, caller);
}

static void
give_up (struct world *world, struct node *node G_GNUC_UNUSED, void *argument)
{
  struct sending *sending = argument;
  struct caller *caller = sending->caller;
  struct jl_event event = { .type = JL_EVENT_CALLER_DISCONNECTED };

  if (!sending->open)
    return;
  sending->open = false;
  event.disconnected_call = caller->call;
  if (caller->call != 0)
    schedule_event (caller->entry, caller->entry_generation,
                    random_between (world, 300, 3000), &event);
  send_again (world, caller,
              random_chance (world, 500)
                  ? random_between (world, 1, 20000)
                  : random_between (world, 20000, 2000000));
}

static void
send_request (struct world *world,
              struct node *unused G_GNUC_UNUSED,
              void *argument)
{
  struct caller *caller = argument;
  struct sending *sending;

  caller->request = identify_request (world, caller);
  sending = new_sending (world, caller->request);
  sending->caller = caller;
  caller->sending = sending;
  caller->entry = &world->nodes[random_below (world, world->plan->node_count)];
  caller->entry_generation = caller->entry->generation;
  caller->call = 0;
  schedule_on_node (caller->entry, caller->entry_generation,
                    random_between (world, 300, 3000), arrive, sending);
  schedule (world,
            random_chance (world, 300)
                ? random_between (world, 3000, 200000)
                : random_between (world, 200000, 5000000),
            give_up, sending);
}

/**
 * struct caller_reply - an answer in transit to a caller
 */
struct caller_reply
{
  struct sending *sending;
  struct jl_effect_answer answer;
};

static void
deliver_answer (struct world *world,
                struct node *node G_GNUC_UNUSED,
                void *argument)
{
  const struct caller_reply *caller_reply = argument;
  const struct jl_effect_answer *answer = &caller_reply->answer;
  struct sending *sending = caller_reply->sending;
  uint64_t wait_us = answer->retry_after_ms * JL_USEC_PER_MSEC;

  if (!sending->open)
    return;
  sending->open = false;
  observe_outcome (sending, answer->outcome, answer->attempt_outcome);
  if (answer->next_ticket.number != 0)
    g_array_append_val (world->tickets, answer->next_ticket);
  if (answer->outcome == JL_OUTCOME_DONE || answer->retry_after_ms == 0)
    return;
  send_again (world, sending->caller,
              random_chance (world, 800) ? wait_us
                                         : random_between (world, 1, 200000));
}

void
answer_caller (struct sending *sending, const struct jl_effect_answer *answer)
{
  struct world *world = sending->caller->entry->world;
  struct caller_reply *caller_reply = g_new (struct caller_reply, 1);

  caller_reply->sending = sending;
  caller_reply->answer = *answer;
  g_ptr_array_add (world->owned, caller_reply);
  if (!random_chance (world, 10))
    schedule (world, random_between (world, 300, 3000), deliver_answer,
              caller_reply);
}

void
begin_request (struct world *world, const struct input *input)
{
  struct caller *caller = g_new0 (struct caller, 1);

  caller->kind = input->argument;
  caller->key_type = (enum jl_key_type)input->key;
  caller->retries_left = random_below (world, SENDINGS_MAX);
  caller->poison = input->duration_us > 0;
  if (caller->key_type == JL_KEY_CALLER)
    caller->key_hash = ++world->next_request;
  if (caller->key_type == JL_KEY_TICKET)
    {
      uint32_t index;

      if (world->tickets->len == 0)
        caller->key_type = JL_KEY_NONE;
      else
        {
          index = random_below (world, world->tickets->len);
          caller->ticket
              = g_array_index (world->tickets, struct jl_ticket, index);
          g_array_remove_index_fast (world->tickets, index);
        }
    }
  g_ptr_array_add (world->callers, caller);
  send_request (world, NULL, caller);
}
