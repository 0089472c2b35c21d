/**
 * DOC: The table of sendings that the guard has seen.
 */

#include "seen.h"

/* Longer than any deadline; a sending does not arrive later than this. */
#define SEEN_KEEP_US (120 * JL_USEC_PER_SEC)

/**
 * struct seen_entry - one sending
 * @work: number of the work item that it became, 0 for none
 * @order: place in the order of arrival, for expiry
 */
struct seen_entry
{
  struct jl_attempt_id attempt;
  enum jl_seen seen;
  uint64_t work;
  uint64_t arrived_us;
  struct cds_list_head order;
};

struct jl_seen_table
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

struct jl_seen_table *
jl_seen_new (struct jl_core *core G_GNUC_UNUSED)
{
  struct jl_seen_table *table = g_new0 (struct jl_seen_table, 1);

  table->entries
      = g_hash_table_new_full (attempt_hash, attempt_equal, NULL, g_free);
  CDS_INIT_LIST_HEAD (&table->order);
  return table;
}

void
jl_seen_drop (struct jl_seen_table *table)
{
  g_hash_table_destroy (table->entries);
  g_free (table);
}

enum jl_seen
jl_seen_find (struct jl_core *core, struct jl_attempt_id attempt)
{
  struct seen_entry *entry
      = g_hash_table_lookup (core->seen->entries, &attempt);

  return entry == NULL ? JL_SEEN_NEVER : entry->seen;
}

/* Forgets sendings that can no longer arrive and have ended. */
static void
expire (struct jl_core *core)
{
  struct jl_seen_table *table = core->seen;

  while (!cds_list_empty (&table->order))
    {
      struct seen_entry *oldest
          = cds_list_first_entry (&table->order, struct seen_entry, order);

      if (oldest->arrived_us + SEEN_KEEP_US > core->now_us)
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
jl_seen_set (struct jl_core *core,
             struct jl_attempt_id attempt,
             enum jl_seen seen)
{
  struct jl_seen_table *table = core->seen;
  struct seen_entry *entry = g_hash_table_lookup (table->entries, &attempt);

  if (entry != NULL)
    {
      entry->seen = seen;
      return;
    }
  expire (core);
  entry = g_new0 (struct seen_entry, 1);
  entry->attempt = attempt;
  entry->seen = seen;
  entry->arrived_us = core->now_us;
  cds_list_add_tail (&entry->order, &table->order);
  g_hash_table_insert (table->entries, &entry->attempt, entry);
}

void
jl_seen_set_work (struct jl_core *core,
                  struct jl_attempt_id attempt,
                  uint64_t work)
{
  struct seen_entry *entry
      = g_hash_table_lookup (core->seen->entries, &attempt);

  if (entry != NULL)
    entry->work = work;
}

uint64_t
jl_seen_work (struct jl_core *core, struct jl_attempt_id attempt)
{
  const struct seen_entry *entry
      = g_hash_table_lookup (core->seen->entries, &attempt);

  return entry == NULL ? 0 : entry->work;
}
