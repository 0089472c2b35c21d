/**
 * DOC: Callers, polite and not, that send a request again at any entry.
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
  sending->path = request->id;
  sending->root = sending;
  sending->open = true;
  g_ptr_array_add (world->owned, sending);
  return sending;
}

/* A request without a key is another one each time it is sent. */
static struct request *
name_request (struct world *world, struct caller *caller)
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

  event.config_version = version_of (node);
  event.key_type = caller->key_type;
  event.ticket = caller->ticket;
  event.key_hash = caller->key_hash;
  event.digest = sending->path;
  caller->call = node->next_number + 1;
  call_node (node, sending, NULL, &event);
}

static void
send_request (struct world *world, struct node *node, void *argument);

static void
send_again (struct world *world, struct caller *caller, uint64_t delay_us)
{
  if (caller->left-- > 0)
    post (world, delay_us, send_request, caller);
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
    post_event (caller->entry, caller->entry_life, between (world, 300, 3000),
                &event);
  send_again (world, caller,
              chance (world, 500) ? between (world, 1, 20000)
                                  : between (world, 20000, 2000000));
}

static void
send_request (struct world *world,
              struct node *unused G_GNUC_UNUSED,
              void *argument)
{
  struct caller *caller = argument;
  struct sending *sending;

  caller->request = name_request (world, caller);
  sending = new_sending (world, caller->request);
  sending->caller = caller;
  caller->sending = sending;
  caller->entry = &world->nodes[pick (world, world->plan->node_count)];
  caller->entry_life = caller->entry->life;
  caller->call = 0;
  post_to (caller->entry, caller->entry_life, between (world, 300, 3000),
           arrive, sending);
  post (world,
        chance (world, 300) ? between (world, 3000, 200000)
                            : between (world, 200000, 5000000),
        give_up, sending);
}

/**
 * struct told - an answer on its way to a caller
 */
struct told
{
  struct sending *sending;
  struct jl_effect_answer answer;
};

static void
hear_answer (struct world *world,
             struct node *node G_GNUC_UNUSED,
             void *argument)
{
  const struct told *told = argument;
  const struct jl_effect_answer *answer = &told->answer;
  struct sending *sending = told->sending;
  uint64_t wait_us = answer->retry_after_ms * JL_USEC_PER_MSEC;

  if (!sending->open)
    return;
  sending->open = false;
  observe_told (sending, answer->outcome, answer->attempt_outcome);
  if (answer->next_ticket.number != 0)
    g_array_append_val (world->tickets, answer->next_ticket);
  if (answer->outcome == JL_OUTCOME_DONE || answer->retry_after_ms == 0)
    return;
  send_again (world, sending->caller,
              chance (world, 800) ? wait_us : between (world, 1, 200000));
}

void
answer_caller (struct sending *sending, const struct jl_effect_answer *answer)
{
  struct world *world = sending->caller->entry->world;
  struct told *told = g_new (struct told, 1);

  told->sending = sending;
  told->answer = *answer;
  g_ptr_array_add (world->owned, told);
  if (!chance (world, 10))
    post (world, between (world, 300, 3000), hear_answer, told);
}

void
begin_request (struct world *world, const struct input *input)
{
  struct caller *caller = g_new0 (struct caller, 1);

  caller->kind = input->argument;
  caller->key_type = (enum jl_key_type)input->key;
  caller->left = pick (world, SENDINGS_MAX);
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
          index = pick (world, world->tickets->len);
          caller->ticket
              = g_array_index (world->tickets, struct jl_ticket, index);
          g_array_remove_index_fast (world->tickets, index);
        }
    }
  g_ptr_array_add (world->callers, caller);
  send_request (world, NULL, caller);
}
