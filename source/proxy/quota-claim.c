/**
 * DOC: What the row of the local zone holds, and what it is claimed with.
 */

#include "proxy/quota-share-impl.h"

#include <string.h>

/* Time between two attempts of a daemon that has no part yet. */
#define STAND_RETRY_US (200 * JL_USEC_PER_MSEC)

unsigned
jl_quota_units_in (GHashTable *table,
                   const struct jl_quota *quota,
                   uint32_t customer)
{
  gpointer units;

  if (table != NULL
      && g_hash_table_lookup_extended (table, GUINT_TO_POINTER (customer), NULL,
                                       &units))
    return GPOINTER_TO_UINT (units);
  return jl_quota_share_default (quota->zone_count);
}

void
jl_quota_units_set (GHashTable *table, uint32_t customer, unsigned units)
{
  g_hash_table_insert (table, GUINT_TO_POINTER (customer),
                       GUINT_TO_POINTER (units));
}

uint64_t
jl_quota_shares_era (const struct jl_quota_shares *shares)
{
  return jl_store_era (shares->quota->proxy->store);
}

static const struct zone_row *
own_row (const struct jl_quota_shares *shares)
{
  return g_hash_table_lookup (shares->rows,
                              shares->quota->proxy->roster.local_zone);
}

/* Returns the units that the rows of the other zones leave. A row that cannot
 * be read counts as an equal share, and then no zone takes more than that: all
 * of them find the same. */
static unsigned
units_left (const struct jl_quota_shares *shares, uint32_t customer)
{
  const struct jl_quota *quota = shares->quota;
  const struct jl_options *options = quota->proxy->options;
  unsigned equal = jl_quota_share_default (quota->zone_count);
  unsigned left = equal * quota->zone_count;
  bool all_read = true;

  for (unsigned i = 0; i < options->zone_count; i++)
    {
      const struct zone_row *row
          = g_hash_table_lookup (shares->rows, options->zones[i]);
      unsigned units = jl_quota_units_in (
          row != NULL ? row->content.units : NULL, quota, customer);

      if (strcmp (options->zones[i], quota->proxy->roster.local_zone) == 0)
        continue;
      all_read &= row == NULL || !row->invalid;
      left -= MIN (left, units);
    }
  return all_read ? left : MIN (left, equal);
}

/* Returns the units of the local zone by its row. */
static unsigned
own_units_read (const struct jl_quota_shares *shares, uint32_t customer)
{
  const struct zone_row *row = own_row (shares);
  unsigned units;

  if (row != NULL && row->invalid)
    return units_left (shares, customer);
  units = jl_quota_units_in (row != NULL ? row->content.units : NULL,
                             shares->quota, customer);
  if (shares->restored && shares->heard)
    units
        = MIN (units, jl_quota_units_in (shares->own, shares->quota, customer));
  return units;
}

static void
add_units_read (const struct jl_quota_shares *shares,
                GHashTable *customers,
                GHashTable *units)
{
  GHashTableIter iterator;
  gpointer key;

  g_hash_table_iter_init (&iterator, customers);
  while (g_hash_table_iter_next (&iterator, &key, NULL))
    {
      uint32_t customer = GPOINTER_TO_UINT (key);

      jl_quota_units_set (units, customer, own_units_read (shares, customer));
    }
}

GHashTable *
jl_quota_shares_read (const struct jl_quota_shares *shares)
{
  const struct zone_row *own = own_row (shares);
  GHashTable *units = g_hash_table_new (g_direct_hash, g_direct_equal);
  GHashTableIter iterator;
  gpointer row;

  add_units_read (shares, shares->own, units);
  g_hash_table_iter_init (&iterator, shares->rows);
  while (g_hash_table_iter_next (&iterator, NULL, &row))
    {
      const struct zone_row *zone = row;

      if (own != NULL && (zone == own || own->invalid))
        add_units_read (shares, zone->content.units, units);
    }
  return units;
}

struct jl_quota_members
jl_quota_list_read (const struct jl_quota_shares *shares)
{
  const struct zone_row *row = own_row (shares);
  const struct jl_quota_members none = { 0 };

  return row != NULL ? row->content.list : none;
}

bool
jl_quota_list_is_read (const struct jl_quota_shares *shares)
{
  const struct jl_quota_members list = jl_quota_list_read (shares);

  return jl_quota_list_id_equal (jl_quota_members_id (&list),
                                 shares->quota->quorum.id);
}

/* Chooses the list to claim the row with. Returns false if there is none: this
 * daemon does not count, or the list is known to others only. */
static bool
choose_list (struct jl_quota_shares *shares)
{
  struct jl_quota *quota = shares->quota;
  const struct jl_quota_quorum *quorum = &quota->quorum;
  const struct jl_quota_members read = jl_quota_list_read (shares);
  struct jl_quota_members *next = &shares->next_list;

  if (jl_quota_next_list (quota, jl_now (), next))
    return true;
  *next = quorum->list;
  if (quorum->challenged_us != 0)
    next->challenger = quorum->self;
  /* A store that was restored has given the version out again. */
  if (read.version >= next->version && !jl_quota_list_is_read (shares))
    {
      next->version = read.version + 1;
      next->previous_count = next->count;
      memcpy (next->previous, next->keys, next->count * sizeof next->keys[0]);
    }
  return quota->issuer.active;
}

/* Claims the own row with the shares, and the list of daemons, that apply from
 * then on. */
static void
write_claim (struct jl_quota_shares *shares)
{
  const struct zone_row *row = own_row (shares);
  struct jl_store_put put = {
    .key = shares->quota->proxy->roster.local_zone,
    .version = row != NULL ? row->version : 0,
  };
  struct jl_quota_row content
      = { .era = jl_quota_shares_era (shares), .list = shares->next_list };
  char *value;

  if (shares->next != NULL)
    g_hash_table_destroy (shares->next);
  shares->next = jl_quota_shares_read (shares);
  content.units = shares->next;
  value = jl_quota_row_format (&content);
  put.value = value;
  shares->read_us = jl_now ();
  shares->state = SHARE_CLAIM_WRITE;
  jl_store_tx_write (shares->tx, &put, 1);
  g_free (value);
}

void
jl_quota_claim (struct jl_quota_shares *shares)
{
  if (choose_list (shares))
    {
      write_claim (shares);
      return;
    }
  shares->state = SHARE_UNCLAIMED;
  shares->retry_us = jl_now ()
                     + (jl_quota_quorum_has (&shares->quota->quorum,
                                             shares->quota->proxy->self->key)
                            ? STAND_RETRY_US
                            : JL_QUOTA_RETRY_US);
}
