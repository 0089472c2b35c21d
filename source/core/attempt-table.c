/**
 * DOC: The table of attempts that this daemon has received.
 */

#include "attempt-table.h"

/*
 * Retention time of an entry; no copy of an attempt is expected to arrive
 * later.
 */
#define ATTEMPT_RETENTION_US (120 * JL_USEC_PER_SEC)

/**
 * struct attempt_entry - a received attempt
 * @work: number of its work item, 0 for none
 * @arrived_us: time of its arrival, or of the last renewal of the entry
 * @order: node in jl_attempt_table.order
 */
struct attempt_entry
{
  struct jl_attempt_id attempt;
  enum jl_attempt_state state;
  uint64_t work;
  uint64_t arrived_us;
  struct cds_list_head order;
};

/**
 * struct jl_attempt_table - attempts received by this daemon
 * @entries: maps attempts to struct attempt_entry
 * @order: entries ordered by attempt_entry.arrived_us, oldest first
 */
struct jl_attempt_table
{
  GHashTable *entries;
  struct cds_list_head order;
};

static guint
attempt_hash (gconstpointer key)
{
  const struct jl_attempt_id *attempt = key;
  uint64_t hash = attempt->number * UINT64_C (0x9e3779b97f4a7c15);

  hash ^= attempt->origin.member * UINT64_C (0xc2b2ae3d27d4eb4f);
  hash ^= attempt->origin.epoch;
  return (guint)(hash >> 32 ^ hash);
}

static gboolean
attempt_equal (gconstpointer a, gconstpointer b)
{
  const struct jl_attempt_id *first = a;
  const struct jl_attempt_id *second = b;

  return jl_attempt_id_equal (*first, *second);
}

struct jl_attempt_table *
jl_attempt_table_new (struct jl_core *core G_GNUC_UNUSED)
{
  struct jl_attempt_table *table = g_new0 (struct jl_attempt_table, 1);

  table->entries
      = g_hash_table_new_full (attempt_hash, attempt_equal, NULL, g_free);
  CDS_INIT_LIST_HEAD (&table->order);
  return table;
}

void
jl_attempt_table_drop (struct jl_attempt_table *table)
{
  g_hash_table_destroy (table->entries);
  g_free (table);
}

enum jl_attempt_state
jl_attempt_find_state (struct jl_core *core, struct jl_attempt_id attempt)
{
  struct attempt_entry *entry
      = g_hash_table_lookup (core->attempt_table->entries, &attempt);

  return entry == NULL ? JL_ATTEMPT_UNKNOWN : entry->state;
}

/*
 * Removes attempts past their retention time. An entry whose work item has not
 * ended is renewed.
 */
static void
expire_entries (struct jl_core *core)
{
  struct jl_attempt_table *table = core->attempt_table;

  while (!cds_list_empty (&table->order))
    {
      struct attempt_entry *oldest
          = cds_list_first_entry (&table->order, struct attempt_entry, order);

      if (oldest->arrived_us + ATTEMPT_RETENTION_US > core->now_us)
        return;
      cds_list_del (&oldest->order);
      if (g_hash_table_contains (core->works, JL_HASH_KEY (oldest->work)))
        {
          oldest->arrived_us = core->now_us;
          cds_list_add_tail (&oldest->order, &table->order);
          continue;
        }
      g_hash_table_remove (table->entries, &oldest->attempt);
    }
}

void
jl_attempt_set_state (struct jl_core *core,
                      struct jl_attempt_id attempt,
                      enum jl_attempt_state state)
{
  struct jl_attempt_table *table = core->attempt_table;
  struct attempt_entry *entry = g_hash_table_lookup (table->entries, &attempt);

  if (entry != NULL)
    {
      entry->state = state;
      return;
    }
  expire_entries (core);
  entry = g_new0 (struct attempt_entry, 1);
  entry->attempt = attempt;
  entry->state = state;
  entry->arrived_us = core->now_us;
  cds_list_add_tail (&entry->order, &table->order);
  g_hash_table_insert (table->entries, &entry->attempt, entry);
}

void
jl_attempt_set_work (struct jl_core *core,
                     struct jl_attempt_id attempt,
                     uint64_t work)
{
  struct attempt_entry *entry
      = g_hash_table_lookup (core->attempt_table->entries, &attempt);

  if (entry != NULL)
    entry->work = work;
}

uint64_t
jl_attempt_find_work (struct jl_core *core, struct jl_attempt_id attempt)
{
  const struct attempt_entry *entry
      = g_hash_table_lookup (core->attempt_table->entries, &attempt);

  return entry == NULL ? 0 : entry->work;
}
