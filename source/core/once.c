/**
 * DOC: Tickets, and the state of each one that was used.
 */

#include "once.h"

#include <inttypes.h>

#include "entry.h"

/* A used ticket's state is kept this long, an unused one holds this long. */
#define TICKET_KEEP_US (600 * JL_USEC_PER_SEC)
/* How often the lowest number that still holds is noted. */
#define MARK_INTERVAL_US (10 * JL_USEC_PER_SEC)
#define MARK_COUNT 64
/* When to ask again for a request that is in progress. */
#define IN_PROGRESS_RETRY_MS 200

/**
 * enum ticket_state - what is known of a used ticket
 * @TICKET_IDLE: every sending under it has not run
 * @TICKET_IN_PROGRESS: a sending is out
 * @TICKET_DONE: it ran, and its answer was whole
 * @TICKET_UNKNOWN: it may have run; it is never sent again
 */
enum ticket_state
{
  TICKET_IDLE,
  TICKET_IN_PROGRESS,
  TICKET_DONE,
  TICKET_UNKNOWN,
};

struct ticket_entry
{
  struct jl_ticket ticket;
  enum ticket_state state;
  uint64_t digest;
  uint32_t grants;
  uint32_t tokens;
  uint64_t used_us;
  struct cds_list_head order;
};

/**
 * struct key_entry - a caller's key and the ticket it stands for
 */
struct key_entry
{
  struct jl_ticket ticket;
  uint64_t learned_us;
};

/**
 * struct mark - the highest number minted at a time
 */
struct mark
{
  uint64_t number;
  uint64_t minted_us;
};

struct jl_once
{
  uint64_t minted;
  uint64_t expired_below;
  uint32_t mark_first;
  uint32_t mark_count;
  struct mark marks[MARK_COUNT];
  GHashTable *tickets;
  GHashTable *keys;
  struct cds_list_head order;
};

static guint
ticket_hash (gconstpointer key)
{
  const struct jl_ticket *ticket = key;
  uint64_t hash = ticket->number * UINT64_C (0x9e3779b97f4a7c15);

  hash ^= ticket->branch;
  return (guint)(hash >> 32 ^ hash);
}

static gboolean
ticket_equal (gconstpointer a, gconstpointer b)
{
  const struct jl_ticket *first = a;
  const struct jl_ticket *second = b;

  return jl_ticket_equal (*first, *second);
}

struct jl_once *
jl_once_new (struct jl_core *core G_GNUC_UNUSED)
{
  struct jl_once *once = g_new0 (struct jl_once, 1);

  once->tickets
      = g_hash_table_new_full (ticket_hash, ticket_equal, NULL, g_free);
  once->keys
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  CDS_INIT_LIST_HEAD (&once->order);
  return once;
}

void
jl_once_drop (struct jl_once *once)
{
  g_hash_table_destroy (once->tickets);
  g_hash_table_destroy (once->keys);
  g_free (once);
}

/* Moves the limit of expired numbers up to the last mark past its time. */
static void
expire_marks (struct jl_core *core)
{
  struct jl_once *once = core->once;

  while (once->mark_count > 0)
    {
      const struct mark *mark = &once->marks[once->mark_first];

      if (mark->minted_us + TICKET_KEEP_US > core->now_us)
        return;
      once->expired_below = mark->number;
      once->mark_first = (once->mark_first + 1) % MARK_COUNT;
      once->mark_count--;
    }
}

static void
add_mark (struct jl_core *core)
{
  struct jl_once *once = core->once;
  uint32_t last = (once->mark_first + once->mark_count - 1) % MARK_COUNT;

  if (once->mark_count == MARK_COUNT)
    return;
  if (once->mark_count > 0
      && once->marks[last].minted_us + MARK_INTERVAL_US > core->now_us)
    return;
  last = (once->mark_first + once->mark_count) % MARK_COUNT;
  once->marks[last].number = once->minted;
  once->marks[last].minted_us = core->now_us;
  once->mark_count++;
}

struct jl_ticket
jl_once_mint (struct jl_core *core)
{
  struct jl_ticket ticket = { .minter = core->identity };

  expire_marks (core);
  ticket.number = ++core->once->minted;
  add_mark (core);
  return ticket;
}

struct jl_ticket
jl_once_derive (struct jl_ticket anchor, uint32_t kind, uint32_t ordinal)
{
  uint64_t step = (uint64_t)kind << 32 | ordinal;

  anchor.branch ^= step + UINT64_C (0x9e3779b97f4a7c15) + (anchor.branch << 6)
                   + (anchor.branch >> 2);
  anchor.branch *= UINT64_C (0xff51afd7ed558ccd);
  anchor.branch ^= anchor.branch >> 33;
  return anchor;
}

/* Forgets tickets whose numbers have expired. */
static void
expire_tickets (struct jl_core *core)
{
  struct jl_once *once = core->once;

  while (!cds_list_empty (&once->order))
    {
      struct ticket_entry *oldest
          = cds_list_first_entry (&once->order, struct ticket_entry, order);

      if (oldest->ticket.number > once->expired_below
          || oldest->state == TICKET_IN_PROGRESS
          || oldest->used_us + TICKET_KEEP_US > core->now_us)
        return;
      cds_list_del (&oldest->order);
      g_hash_table_remove (once->tickets, &oldest->ticket);
    }
}

static struct ticket_entry *
use_ticket (struct jl_core *core, const struct jl_call *call)
{
  struct ticket_entry *entry = g_new0 (struct ticket_entry, 1);

  expire_tickets (core);
  entry->ticket = call->ticket;
  entry->digest = call->digest;
  entry->tokens = call->tokens;
  entry->used_us = core->now_us;
  cds_list_add_tail (&entry->order, &core->once->order);
  g_hash_table_insert (core->once->tickets, &entry->ticket, entry);
  return entry;
}

/* Answers a call that may not be sent. */
static bool
answer_unsent (struct jl_core *core,
               struct jl_call *call,
               enum jl_outcome outcome,
               enum jl_reason reason,
               uint32_t retry_after_ms)
{
  struct jl_effect_answer *answer
      = jl_entry_answer (core, call, outcome, reason);

  answer->retry_after_ms = retry_after_ms;
  answer->stored = outcome == JL_OUTCOME_DONE;
  if (outcome != JL_OUTCOME_DONE)
    answer->sending = JL_OUTCOME_NOT_RUN;
  return false;
}

/* Whether the number was minted in this life and still holds. */
static bool
is_valid (const struct jl_core *core, struct jl_ticket ticket)
{
  return jl_identity_equal (ticket.minter, core->identity)
         && ticket.number <= core->once->minted
         && ticket.number > core->once->expired_below;
}

bool
jl_once_arrive (struct jl_core *core, struct jl_call *call)
{
  struct ticket_entry *entry
      = g_hash_table_lookup (core->once->tickets, &call->ticket);

  expire_marks (core);
  if (entry == NULL && !is_valid (core, call->ticket))
    return answer_unsent (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_HOME_LOST,
                          0);
  if (entry == NULL)
    entry = use_ticket (core, call);
  else if (entry->digest != call->digest)
    return answer_unsent (core, call, JL_OUTCOME_NOT_RUN, JL_REASON_KEY_REUSED,
                          0);
  else
    call->tokens = MIN (call->tokens, entry->tokens);
  switch (entry->state)
    {
    case TICKET_IN_PROGRESS:
      return answer_unsent (core, call, JL_OUTCOME_UNKNOWN,
                            JL_REASON_IN_PROGRESS, IN_PROGRESS_RETRY_MS);
    case TICKET_DONE:
      return answer_unsent (core, call, JL_OUTCOME_DONE, JL_REASON_NONE, 0);
    case TICKET_UNKNOWN:
      return answer_unsent (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_DUPLICATE,
                            0);
    case TICKET_IDLE:
      break;
    }
  entry->state = TICKET_IN_PROGRESS;
  entry->grants++;
  return true;
}

void
jl_once_answered (struct jl_core *core,
                  struct jl_call *call,
                  enum jl_outcome outcome)
{
  struct ticket_entry *entry
      = g_hash_table_lookup (core->once->tickets, &call->ticket);

  JL_INVARIANT (entry != NULL && entry->state == TICKET_IN_PROGRESS,
                "only a granted ticket is answered");
  entry->tokens = call->tokens;
  if (outcome == JL_OUTCOME_DONE)
    entry->state = TICKET_DONE;
  else if (outcome == JL_OUTCOME_NOT_RUN)
    entry->state = TICKET_IDLE;
  else
    entry->state = TICKET_UNKNOWN;
}

bool
jl_once_key_ticket (struct jl_core *core,
                    uint64_t key_hash,
                    struct jl_ticket *ticket)
{
  struct key_entry *entry
      = g_hash_table_lookup (core->once->keys, JL_HASH_KEY (key_hash));

  if (entry == NULL)
    return false;
  *ticket = entry->ticket;
  return true;
}

void
jl_once_learn_key (struct jl_core *core,
                   uint64_t key_hash,
                   struct jl_ticket ticket)
{
  struct key_entry *entry = g_new0 (struct key_entry, 1);

  entry->ticket = ticket;
  entry->learned_us = core->now_us;
  g_hash_table_insert (core->once->keys, JL_HASH_KEY (key_hash), entry);
}

void
jl_once_dump (struct jl_core *core, GString *out)
{
  g_string_append_printf (
      out, "{\"minted\":%" PRIu64 ",\"used\":%u,\"keys\":%u}",
      core->once->minted, g_hash_table_size (core->once->tickets),
      g_hash_table_size (core->once->keys));
}
