/**
 * DOC: Tickets, and the state of each one that was used.
 */

#include "once.h"

#include <inttypes.h>
#include <string.h>

#include <xxhash.h>

#include "entry.h"

/* A used ticket's state is kept this long, an unused one holds this long. */
#define TICKET_KEEP_US (600 * JL_USEC_PER_SEC)
/* Used tickets kept at most; the oldest expire early beyond. */
#define TICKET_MAX (256 * 1024)
/* How often the lowest number that still holds is noted. */
#define MARK_INTERVAL_US (10 * JL_USEC_PER_SEC)
#define MARK_COUNT 64
/* The table of keys only spares reads of the platform's table. */
#define KEY_KEEP_US (600 * JL_USEC_PER_SEC)
#define KEY_MAX (64 * 1024)
/* When to ask again for a request that is in progress. */
#define IN_PROGRESS_RETRY_MS 200
/* Least time for which a refused request is not granted again. */
#define HOLD_MIN_MS 500

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

/**
 * struct ticket_entry - one used ticket
 * @may_have_run: some grant was not confirmed as not run
 * @reason: why it was not run, with TICKET_IDLE
 * @held_until_us: no grant before, see jl_once_answered()
 * @settled_us: when its last grant ended
 * @order: place in the order of @settled_us; in no list while in progress
 */
struct ticket_entry
{
  struct jl_ticket ticket;
  enum ticket_state state;
  bool may_have_run;
  enum jl_reason reason;
  uint64_t digest;
  uint32_t tokens;
  uint64_t held_until_us;
  uint64_t settled_us;
  struct cds_list_head order;
};

/**
 * struct key_entry - a caller's key and the ticket it stands for
 */
struct key_entry
{
  uint64_t key_hash;
  struct jl_ticket ticket;
  uint64_t learned_us;
  struct cds_list_head order;
};

/**
 * struct mark - the highest number minted at a time
 */
struct mark
{
  uint64_t number;
  uint64_t minted_us;
};

/**
 * struct jl_once - tickets and keys of one daemon
 * @expired_below: numbers up to this one hold no longer
 */
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
  struct cds_list_head key_order;
};

static guint
ticket_hash (gconstpointer key)
{
  return (guint)XXH3_64bits (key, sizeof (struct jl_ticket));
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
  CDS_INIT_LIST_HEAD (&once->key_order);
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
  struct jl_ticket ticket = { .issuer = core->identity };

  expire_marks (core);
  ticket.number = ++core->once->minted;
  add_mark (core);
  return ticket;
}

struct jl_ticket
jl_once_derive (struct jl_ticket anchor, const char *kind, uint32_t ordinal)
{
  uint64_t step[2] = { anchor.branch, ordinal };

  anchor.branch = XXH3_64bits_withSeed (kind, strlen (kind),
                                        XXH3_64bits (step, sizeof step));
  return anchor;
}

/* Forgets tickets that are past their time, and their numbers with them. */
static void
expire_tickets (struct jl_core *core)
{
  struct jl_once *once = core->once;

  while (!cds_list_empty (&once->order))
    {
      struct ticket_entry *oldest
          = cds_list_first_entry (&once->order, struct ticket_entry, order);

      if (oldest->settled_us + TICKET_KEEP_US > core->now_us
          && g_hash_table_size (once->tickets) <= TICKET_MAX)
        return;
      once->expired_below = MAX (once->expired_below, oldest->ticket.number);
      cds_list_del (&oldest->order);
      g_hash_table_remove (once->tickets, &oldest->ticket);
    }
}

static struct ticket_entry *
use_ticket (struct jl_core *core, const struct jl_call *call)
{
  struct ticket_entry *entry = g_new0 (struct ticket_entry, 1);

  entry->ticket = call->ticket;
  entry->digest = call->digest;
  entry->tokens = call->tokens;
  CDS_INIT_LIST_HEAD (&entry->order);
  g_hash_table_insert (core->once->tickets, &entry->ticket, entry);
  return entry;
}

/* Lets the call under this ticket be sent. */
static void
grant (struct ticket_entry *entry)
{
  JL_INVARIANT (entry->state == TICKET_IDLE, "one grant of a ticket at a time");
  JL_INVARIANT (!entry->may_have_run, "no grant after one that may have run");
  entry->state = TICKET_IN_PROGRESS;
  cds_list_del_init (&entry->order);
}

/* The grant has ended. */
static void
settle (struct jl_core *core,
        struct ticket_entry *entry,
        enum ticket_state state)
{
  entry->state = state;
  entry->may_have_run = state != TICKET_IDLE;
  entry->settled_us = core->now_us;
  cds_list_add_tail (&entry->order, &core->once->order);
  expire_tickets (core);
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
  return jl_identity_equal (ticket.issuer, core->identity)
         && ticket.number <= core->once->minted
         && ticket.number > core->once->expired_below;
}

/* Answers a sending of a request that was just told "not run". */
static bool
answer_held (struct jl_core *core,
             struct jl_call *call,
             const struct ticket_entry *entry)
{
  uint64_t wait_us = entry->held_until_us - core->now_us;

  return answer_unsent (core, call, JL_OUTCOME_NOT_RUN, entry->reason,
                        (uint32_t)(wait_us / JL_USEC_PER_MSEC) + 1);
}

/* Grants a run under a ticket that was used before, or answers. */
static bool
arrive_again (struct jl_core *core,
              struct jl_call *call,
              struct ticket_entry *entry)
{
  if (entry->digest != call->digest)
    return answer_unsent (core, call,
                          entry->state == TICKET_IDLE ? JL_OUTCOME_NOT_RUN
                                                      : JL_OUTCOME_UNKNOWN,
                          JL_REASON_KEY_REUSED, 0);
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
  if (core->now_us < entry->held_until_us)
    return answer_held (core, call, entry);
  /* Tokens of a call further down were lent by its tree already. */
  if (call->ticket.branch == 0)
    call->tokens = MIN (call->tokens, entry->tokens);
  grant (entry);
  return true;
}

bool
jl_once_arrive (struct jl_core *core, struct jl_call *call)
{
  struct ticket_entry *entry;

  if (JL_SWITCHED_OFF (core, JL_MECHANISM_ONCE))
    return true;
  expire_marks (core);
  expire_tickets (core);
  entry = g_hash_table_lookup (core->once->tickets, &call->ticket);
  if (entry != NULL)
    return arrive_again (core, call, entry);
  if (!is_valid (core, call->ticket))
    return answer_unsent (core, call, JL_OUTCOME_UNKNOWN, JL_REASON_HOME_LOST,
                          0);
  grant (use_ticket (core, call));
  return true;
}

uint32_t
jl_once_answered (struct jl_core *core,
                  struct jl_call *call,
                  enum jl_outcome outcome,
                  enum jl_reason reason,
                  uint32_t retry_after_ms)
{
  struct ticket_entry *entry;

  if (JL_SWITCHED_OFF (core, JL_MECHANISM_ONCE))
    return retry_after_ms;
  entry = g_hash_table_lookup (core->once->tickets, &call->ticket);
  JL_INVARIANT (entry != NULL && entry->state == TICKET_IN_PROGRESS,
                "only a granted ticket is answered");
  retry_after_ms = MAX (retry_after_ms, HOLD_MIN_MS);
  entry->tokens = call->tokens;
  entry->reason = reason;
  entry->held_until_us = core->now_us + retry_after_ms * JL_USEC_PER_MSEC;
  if (outcome == JL_OUTCOME_DONE)
    settle (core, entry, TICKET_DONE);
  else if (outcome == JL_OUTCOME_NOT_RUN)
    settle (core, entry, TICKET_IDLE);
  else
    settle (core, entry, TICKET_UNKNOWN);
  return retry_after_ms;
}

static void
drop_key (struct jl_once *once, struct key_entry *entry)
{
  cds_list_del (&entry->order);
  g_hash_table_remove (once->keys, JL_HASH_KEY (entry->key_hash));
}

/* Forgets keys that are past their time, and the oldest when there are many. */
static void
expire_keys (struct jl_core *core)
{
  struct jl_once *once = core->once;

  while (!cds_list_empty (&once->key_order))
    {
      struct key_entry *oldest
          = cds_list_first_entry (&once->key_order, struct key_entry, order);

      if (oldest->learned_us + KEY_KEEP_US > core->now_us
          && g_hash_table_size (once->keys) <= KEY_MAX)
        return;
      drop_key (once, oldest);
    }
}

bool
jl_once_key_ticket (struct jl_core *core,
                    uint64_t key_hash,
                    struct jl_ticket *ticket)
{
  struct key_entry *entry;

  expire_keys (core);
  entry = g_hash_table_lookup (core->once->keys, JL_HASH_KEY (key_hash));
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
  struct jl_once *once = core->once;
  struct key_entry *entry
      = g_hash_table_lookup (once->keys, JL_HASH_KEY (key_hash));

  if (entry != NULL)
    drop_key (once, entry);
  entry = g_new0 (struct key_entry, 1);
  entry->key_hash = key_hash;
  entry->ticket = ticket;
  entry->learned_us = core->now_us;
  cds_list_add_tail (&entry->order, &once->key_order);
  g_hash_table_insert (once->keys, JL_HASH_KEY (key_hash), entry);
  expire_keys (core);
}

void
jl_once_dump (struct jl_core *core, GString *out)
{
  g_string_append_printf (
      out, "{\"minted\":%" PRIu64 ",\"used\":%u,\"keys\":%u}",
      core->once->minted, g_hash_table_size (core->once->tickets),
      g_hash_table_size (core->once->keys));
}
