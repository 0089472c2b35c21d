/**
 * DOC: At-most-once execution: used tickets and callers' keys.
 */

#include "once.h"

#include <inttypes.h>
#include <string.h>

#include <xxhash.h>

#include "entry.h"

/*
 * Retention time of the state of a used ticket, and validity of an unused
 * ticket.
 */
#define TICKET_RETENTION_US (600 * JL_USEC_PER_SEC)
/* Maximum number of used tickets. The oldest tickets in excess expire early. */
#define TICKET_MAX (256 * 1024)
/* Interval at which the highest number issued so far is recorded. */
#define ISSUE_MARK_INTERVAL_US (10 * JL_USEC_PER_SEC)
/* Maximum number of such records. */
#define ISSUE_MARK_MAX 64
/* The key table is a cache; the platform's table is authoritative. */
#define KEY_RETENTION_US (600 * JL_USEC_PER_SEC)
#define KEY_MAX (64 * 1024)
/* Retry delay of a duplicate whose original request is in progress. */
#define IN_PROGRESS_RETRY_AFTER_MS 200
/* Minimum time after a refusal during which no further run is granted. */
#define REGRANT_DELAY_MIN_MS 500

/**
 * enum ticket_state - state of a used ticket
 * @TICKET_IDLE: no run under the ticket has taken place or is in progress
 * @TICKET_IN_PROGRESS: a run is granted and has not ended
 * @TICKET_DONE: the request ran and was answered completely
 * @TICKET_UNKNOWN: the request may have run and is never sent again
 */
enum ticket_state
{
  TICKET_IDLE,
  TICKET_IN_PROGRESS,
  TICKET_DONE,
  TICKET_UNKNOWN,
};

/**
 * struct ticket_entry - a used ticket
 * @may_have_run: whether a granted run may have taken place
 * @reason: why the last granted run did not take place, with TICKET_IDLE
 * @digest: digest of the request's content
 * @tokens: retry tokens that the request has left
 * @regrant_after_us: time before which no run is granted, see
 *                    jl_once_record_outcome()
 * @ended_us: time at which its last granted run ended
 * @order: node in jl_once.order, unlinked while a run is in progress
 */
struct ticket_entry
{
  struct jl_ticket ticket;
  enum ticket_state state;
  bool may_have_run;
  enum jl_reason reason;
  uint64_t digest;
  uint32_t tokens;
  uint64_t regrant_after_us;
  uint64_t ended_us;
  struct cds_list_head order;
};

/**
 * struct key_entry - a caller's key and its ticket
 * @order: node in jl_once.key_order
 */
struct key_entry
{
  uint64_t key_hash;
  struct jl_ticket ticket;
  uint64_t stored_us;
  struct cds_list_head order;
};

/**
 * struct issue_mark - the highest ticket number issued by a point in time
 */
struct issue_mark
{
  uint64_t number;
  uint64_t issued_us;
};

/**
 * struct jl_once - tickets and keys of one daemon
 * @issued: highest ticket number issued
 * @expired_upto: highest expired ticket number
 * @mark_first: index of the oldest element of @marks, which is a ring buffer
 * @order: used tickets without a run in progress, by the end of their last run
 * @key_order: keys in the order in which they were stored
 */
struct jl_once
{
  uint64_t issued;
  uint64_t expired_upto;
  uint32_t mark_first;
  uint32_t mark_count;
  struct issue_mark marks[ISSUE_MARK_MAX];
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

/*
 * Expires the ticket numbers up to the last issue mark past its retention time.
 */
static void
expire_issue_marks (struct jl_core *core)
{
  struct jl_once *once = core->once;

  while (once->mark_count > 0)
    {
      const struct issue_mark *mark = &once->marks[once->mark_first];

      if (mark->issued_us + TICKET_RETENTION_US > core->now_us)
        return;
      once->expired_upto = mark->number;
      once->mark_first = (once->mark_first + 1) % ISSUE_MARK_MAX;
      once->mark_count--;
    }
}

/* Records the highest number issued, at most once per interval. */
static void
add_issue_mark (struct jl_core *core)
{
  struct jl_once *once = core->once;
  uint32_t last = (once->mark_first + once->mark_count - 1) % ISSUE_MARK_MAX;

  if (once->mark_count == ISSUE_MARK_MAX)
    return;
  if (once->mark_count > 0
      && once->marks[last].issued_us + ISSUE_MARK_INTERVAL_US > core->now_us)
    return;
  last = (once->mark_first + once->mark_count) % ISSUE_MARK_MAX;
  once->marks[last].number = once->issued;
  once->marks[last].issued_us = core->now_us;
  once->mark_count++;
}

struct jl_ticket
jl_once_issue_ticket (struct jl_core *core)
{
  struct jl_ticket ticket = { .issuer = core->identity };

  expire_issue_marks (core);
  ticket.number = ++core->once->issued;
  add_issue_mark (core);
  return ticket;
}

struct jl_ticket
jl_once_derive_ticket (struct jl_ticket anchor,
                       const char *kind,
                       uint32_t ordinal)
{
  uint64_t step[2] = { anchor.branch, ordinal };

  anchor.branch = XXH3_64bits_withSeed (kind, strlen (kind),
                                        XXH3_64bits (step, sizeof step));
  return anchor;
}

/*
 * Removes used tickets that are past their retention time or exceed the
 * maximum. Their numbers and all lower numbers expire, so that unused tickets
 * with such numbers become invalid too.
 */
static void
expire_tickets (struct jl_core *core)
{
  struct jl_once *once = core->once;

  while (!cds_list_empty (&once->order))
    {
      struct ticket_entry *oldest
          = cds_list_first_entry (&once->order, struct ticket_entry, order);

      if (oldest->ended_us + TICKET_RETENTION_US > core->now_us
          && g_hash_table_size (once->tickets) <= TICKET_MAX)
        return;
      once->expired_upto = MAX (once->expired_upto, oldest->ticket.number);
      cds_list_del (&oldest->order);
      g_hash_table_remove (once->tickets, &oldest->ticket);
    }
}

static struct ticket_entry *
add_ticket_entry (struct jl_core *core, const struct jl_call *call)
{
  struct ticket_entry *entry = g_new0 (struct ticket_entry, 1);

  entry->ticket = call->ticket;
  entry->digest = call->digest;
  entry->tokens = call->tokens;
  CDS_INIT_LIST_HEAD (&entry->order);
  g_hash_table_insert (core->once->tickets, &entry->ticket, entry);
  return entry;
}

/* Grants a run under a ticket. */
static void
grant (struct ticket_entry *entry)
{
  JL_INVARIANT (entry->state == TICKET_IDLE, "one grant of a ticket at a time");
  JL_INVARIANT (!entry->may_have_run,
                "no grant after a run that may have taken place");
  entry->state = TICKET_IN_PROGRESS;
  cds_list_del_init (&entry->order);
}

/* Records the end of a granted run. */
static void
end_grant (struct jl_core *core,
           struct ticket_entry *entry,
           enum ticket_state state)
{
  entry->state = state;
  entry->may_have_run = state != TICKET_IDLE;
  entry->ended_us = core->now_us;
  cds_list_add_tail (&entry->order, &core->once->order);
  expire_tickets (core);
}

/*
 * Answers a call that may not be sent.
 *
 * Return: false, the result of jl_once_grant().
 */
static bool
answer_ungranted (struct jl_core *core,
                  struct jl_call *call,
                  enum jl_outcome outcome,
                  enum jl_reason reason,
                  uint32_t retry_after_ms)
{
  struct jl_effect_answer *answer
      = jl_entry_answer (core, call, outcome, reason);

  answer->retry_after_ms = retry_after_ms;
  answer->replay_stored = outcome == JL_OUTCOME_DONE;
  if (outcome != JL_OUTCOME_DONE)
    answer->attempt_outcome = JL_OUTCOME_NOT_RUN;
  return false;
}

/* Whether this process issued the ticket and the ticket has not expired. */
static bool
is_ticket_valid (const struct jl_core *core, struct jl_ticket ticket)
{
  return jl_identity_equal (ticket.issuer, core->identity)
         && ticket.number <= core->once->issued
         && ticket.number > core->once->expired_upto;
}

/* Answers a request that is repeated before its retry delay is over. */
static bool
answer_before_regrant (struct jl_core *core,
                       struct jl_call *call,
                       const struct ticket_entry *entry)
{
  uint64_t wait_us = entry->regrant_after_us - core->now_us;

  return answer_ungranted (core, call, JL_OUTCOME_NOT_RUN, entry->reason,
                           (uint32_t)(wait_us / JL_USEC_PER_MSEC) + 1);
}

/* Grants a run under a ticket that was used before, or answers the call. */
static bool
grant_used_ticket (struct jl_core *core,
                   struct jl_call *call,
                   struct ticket_entry *entry)
{
  if (entry->digest != call->digest)
    return answer_ungranted (core, call,
                             entry->state == TICKET_IDLE ? JL_OUTCOME_NOT_RUN
                                                         : JL_OUTCOME_UNKNOWN,
                             JL_REASON_KEY_REUSED, 0);
  switch (entry->state)
    {
    case TICKET_IN_PROGRESS:
      return answer_ungranted (core, call, JL_OUTCOME_UNKNOWN,
                               JL_REASON_IN_PROGRESS,
                               IN_PROGRESS_RETRY_AFTER_MS);
    case TICKET_DONE:
      return answer_ungranted (core, call, JL_OUTCOME_DONE, JL_REASON_NONE, 0);
    case TICKET_UNKNOWN:
      return answer_ungranted (core, call, JL_OUTCOME_UNKNOWN,
                               JL_REASON_DUPLICATE, 0);
    case TICKET_IDLE:
      break;
    }
  if (core->now_us < entry->regrant_after_us)
    return answer_before_regrant (core, call, entry);
  /* A call below the root of its tree uses tokens that were lent to it. */
  if (call->ticket.branch == 0)
    call->tokens = MIN (call->tokens, entry->tokens);
  grant (entry);
  return true;
}

bool
jl_once_grant (struct jl_core *core, struct jl_call *call)
{
  struct ticket_entry *entry;

  if (JL_SWITCHED_OFF (core, JL_MECHANISM_ONCE))
    return true;
  expire_issue_marks (core);
  expire_tickets (core);
  entry = g_hash_table_lookup (core->once->tickets, &call->ticket);
  if (entry != NULL)
    return grant_used_ticket (core, call, entry);
  if (!is_ticket_valid (core, call->ticket))
    return answer_ungranted (core, call, JL_OUTCOME_UNKNOWN,
                             JL_REASON_HOME_LOST, 0);
  grant (add_ticket_entry (core, call));
  return true;
}

uint32_t
jl_once_record_outcome (struct jl_core *core,
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
  retry_after_ms = MAX (retry_after_ms, REGRANT_DELAY_MIN_MS);
  entry->tokens = call->tokens;
  entry->reason = reason;
  entry->regrant_after_us = core->now_us + retry_after_ms * JL_USEC_PER_MSEC;
  if (outcome == JL_OUTCOME_DONE)
    end_grant (core, entry, TICKET_DONE);
  else if (outcome == JL_OUTCOME_NOT_RUN)
    end_grant (core, entry, TICKET_IDLE);
  else
    end_grant (core, entry, TICKET_UNKNOWN);
  return retry_after_ms;
}

static void
remove_key (struct jl_once *once, struct key_entry *entry)
{
  cds_list_del (&entry->order);
  g_hash_table_remove (once->keys, JL_HASH_KEY (entry->key_hash));
}

/*
 * Removes keys that are past their retention time, and the oldest keys in
 * excess of the maximum.
 */
static void
expire_keys (struct jl_core *core)
{
  struct jl_once *once = core->once;

  while (!cds_list_empty (&once->key_order))
    {
      struct key_entry *oldest
          = cds_list_first_entry (&once->key_order, struct key_entry, order);

      if (oldest->stored_us + KEY_RETENTION_US > core->now_us
          && g_hash_table_size (once->keys) <= KEY_MAX)
        return;
      remove_key (once, oldest);
    }
}

bool
jl_once_find_key (struct jl_core *core,
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
jl_once_store_key (struct jl_core *core,
                   uint64_t key_hash,
                   struct jl_ticket ticket)
{
  struct jl_once *once = core->once;
  struct key_entry *entry
      = g_hash_table_lookup (once->keys, JL_HASH_KEY (key_hash));

  if (entry != NULL)
    remove_key (once, entry);
  entry = g_new0 (struct key_entry, 1);
  entry->key_hash = key_hash;
  entry->ticket = ticket;
  entry->stored_us = core->now_us;
  cds_list_add_tail (&entry->order, &once->key_order);
  g_hash_table_insert (once->keys, JL_HASH_KEY (key_hash), entry);
  expire_keys (core);
}

void
jl_once_dump (struct jl_core *core, GString *out)
{
  g_string_append_printf (
      out, "{\"minted\":%" PRIu64 ",\"used\":%u,\"keys\":%u}",
      core->once->issued, g_hash_table_size (core->once->tickets),
      g_hash_table_size (core->once->keys));
}
