/**
 * DOC: Shares of the local zone in usage caps, the list of its daemons that
 * count, and the rows that hold both.
 *
 * The table has a row for each zone, with the shares that differ from the equal
 * ones. Units move in one transaction that changes the rows of giver and
 * receiver. The giver lowers its own share first, and the receiver raises its
 * share after it has read its row.
 *
 * A transaction whose outcome is unknown, or that an earlier issuer of the zone
 * has begun, may still be applied. So the issuer first claims its row: it reads
 * the row and writes it again under the condition that it has not changed.
 * After that, no transaction that expects an older version can be applied. The
 * list of the zone's daemons changes with a claim, too.
 *
 * Units that a store lost when it came back from an older copy belong to no
 * zone. Once all zones have written their rows in its new era, a giver adds
 * them to what it gives.
 */

#include "json.h"
#include "proxy/quota-share-impl.h"

#include <string.h>

#define TABLE "caps"
/* Time after which an issuer that cannot reach the store uses the shares that
 * the issuer before has told. */
#define CLAIM_WAIT_US (1 * JL_USEC_PER_SEC)
/* Version that no row has: nothing is given to a zone whose row cannot be read.
 */
#define VERSION_NONE JL_JSON_INTEGER_MAX
/* Minimum time between two transactions that give units. */
#define GIVE_PERIOD_US (1 * JL_USEC_PER_SEC)

static void
free_row (gpointer data)
{
  struct zone_row *row = data;

  g_hash_table_destroy (row->content.units);
  g_free (row);
}

static struct jl_quota_shares *
get_shares (struct jl_quota *quota)
{
  struct jl_quota_shares *shares = quota->shares;

  if (shares != NULL)
    return shares;
  shares = g_new0 (struct jl_quota_shares, 1);
  shares->quota = quota;
  shares->own = g_hash_table_new (g_direct_hash, g_direct_equal);
  shares->rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_row);
  shares->wanted = g_array_new (FALSE, FALSE, sizeof (struct beacon_share));
  shares->gifts = g_array_new (FALSE, FALSE, sizeof (struct beacon_share));
  quota->shares = shares;
  return shares;
}

/* Whether the settings name the zones, the local one among them. */
static bool
has_zone (const struct jl_quota *quota, const char *zone)
{
  const struct jl_options *options = quota->proxy->options;

  for (unsigned i = 0; i < options->zone_count; i++)
    if (strcmp (options->zones[i], zone) == 0)
      return true;
  return false;
}

/* Whether shares move. A single zone has all, and zones that the settings do
 * not name have equal shares. */
static bool
shares_move (const struct jl_quota *quota)
{
  return quota->proxy->options->zone_count > 1
         && has_zone (quota, quota->proxy->roster.local_zone);
}

/* Whether the shares of the local zone are known. */
static bool
is_known (const struct jl_quota *quota)
{
  const struct jl_quota_shares *shares = quota->shares;

  if (shares == NULL)
    return false;
  return shares->claimed
         || (shares->heard
             && jl_now () >= shares->issues_since_us + CLAIM_WAIT_US);
}

unsigned
jl_quota_units_of (const struct jl_quota *quota, uint32_t customer)
{
  const struct jl_options *options = quota->proxy->options;

  /* The settings of the other zones do not name this one either. */
  if (options->zone_count > 0
      && !has_zone (quota, quota->proxy->roster.local_zone))
    return 0;
  if (!shares_move (quota))
    return jl_quota_share_default (quota->zone_count);
  if (quota->issuer.active && !is_known (quota))
    return 0;
  return jl_quota_units_in (quota->shares != NULL ? quota->shares->own : NULL,
                            quota, customer);
}

double
jl_quota_share_of (const struct jl_quota *quota, uint32_t customer)
{
  return (double)jl_quota_units_of (quota, customer) / JL_QUOTA_SHARE_UNITS;
}

unsigned
jl_quota_shares_list (const struct jl_quota *quota,
                      unsigned first,
                      struct beacon_share *list,
                      unsigned max)
{
  const struct jl_quota_shares *shares = quota->shares;
  GHashTableIter iterator;
  gpointer key;
  gpointer units;
  unsigned index = 0;

  if (shares == NULL)
    return 0;
  g_hash_table_iter_init (&iterator, shares->own);
  while (g_hash_table_iter_next (&iterator, &key, &units))
    {
      if (index >= first && index - first < max)
        {
          list[index - first].customer = GPOINTER_TO_UINT (key);
          list[index - first].units = GPOINTER_TO_UINT (units);
          list[index - first].tokens = 0;
        }
      index++;
    }
  return index;
}

void
jl_quota_shares_heard (struct jl_quota *quota,
                       const struct beacon_share *list,
                       unsigned count,
                       uint64_t now_us)
{
  struct jl_quota_shares *shares = get_shares (quota);

  (void)now_us;
  if (quota->issuer.active)
    return;
  shares->heard = true;
  for (unsigned i = 0; i < count; i++)
    jl_quota_units_set (shares->own, list[i].customer,
                        MIN (list[i].units, JL_QUOTA_SHARE_UNITS));
}

void
jl_quota_shares_moved (struct jl_quota *quota)
{
  get_shares (quota)->changed = true;
}

void
jl_quota_shares_doubt (struct jl_quota *quota, uint64_t now_us)
{
  struct jl_quota_shares *shares = get_shares (quota);

  if (now_us >= shares->read_us + JL_QUOTA_RETRY_US)
    shares->changed = true;
}

void
jl_quota_store_restored (struct jl_quota *quota)
{
  if (quota->shares == NULL)
    return;
  quota->shares->restored = true;
  /* A call in progress is of the former era. */
  quota->shares->state = SHARE_UNCLAIMED;
}

static void
on_row (void *context, const struct jl_row *row, uint64_t version)
{
  struct jl_quota_shares *shares = context;
  struct zone_row *read = g_new0 (struct zone_row, 1);

  read->version = version;
  read->content.units = g_hash_table_new (g_direct_hash, g_direct_equal);
  read->invalid = !jl_quota_row_read (row, &read->content);
  if (read->invalid)
    g_hash_table_remove_all (read->content.units);
  g_hash_table_replace (shares->rows, g_strdup (row->key), read);
}

static void
replace_own (struct jl_quota_shares *shares, GHashTable *units)
{
  g_hash_table_destroy (shares->own);
  shares->own = units;
  shares->heard = true;
  jl_quota_send_list (shares->quota, jl_now ());
}

static void
begin_read (struct jl_quota_shares *shares, enum share_state state)
{
  shares->state = state;
  shares->changed = false;
  shares->read_us = jl_now ();
  g_hash_table_remove_all (shares->rows);
  jl_store_tx_read (shares->tx);
}

static void
retry_later (struct jl_quota_shares *shares, enum share_state state)
{
  shares->state = state;
  shares->retry_us = jl_now () + JL_QUOTA_RETRY_US;
}

/* Chooses what to give of what the receiver wants. */
static void
choose_gifts (struct jl_quota_shares *shares, uint64_t now_us)
{
  struct jl_quota *quota = shares->quota;

  g_array_set_size (shares->gifts, 0);
  for (guint i = 0; i < shares->wanted->len; i++)
    {
      struct beacon_share gift
          = g_array_index (shares->wanted, struct beacon_share, i);
      unsigned units = jl_quota_units_of (quota, gift.customer);
      struct jl_quota_allowance allowance;
      struct jl_quota_use use;

      if (gift.units == 0
          || !jl_quota_allowance_of (quota, gift.customer, &allowance)
          || !jl_quota_issuer_use (&quota->issuer, gift.customer,
                                   allowance.rate, now_us, &use))
        continue;
      gift.units = jl_quota_share_given (&use, units,
                                         MIN (gift.units, JL_QUOTA_SHARE_UNITS),
                                         quota->zone_count);
      if (gift.units > 0)
        g_array_append_val (shares->gifts, gift);
    }
  g_array_set_size (shares->wanted, 0);
}

/* Returns the units of a customer that belong to no zone, 0 unless all zones
 * have written their rows in the current era. */
static unsigned
lost_units (const struct jl_quota_shares *shares, uint32_t customer)
{
  const struct jl_quota *quota = shares->quota;
  const struct jl_options *options = quota->proxy->options;
  unsigned all = jl_quota_share_default (quota->zone_count) * quota->zone_count;
  unsigned sum = 0;

  for (unsigned i = 0; i < options->zone_count; i++)
    {
      const struct zone_row *row
          = g_hash_table_lookup (shares->rows, options->zones[i]);

      if (row == NULL || row->invalid
          || row->content.era != jl_quota_shares_era (shares))
        return 0;
      sum += jl_quota_units_in (row->content.units, quota, customer);
    }
  return sum < all ? all - sum : 0;
}

/* Adds the gifts to the units in a table, or takes them from it. */
static void
add_gifts (const struct jl_quota_shares *shares, GHashTable *table, bool take)
{
  for (guint i = 0; i < shares->gifts->len; i++)
    {
      const struct beacon_share *gift
          = &g_array_index (shares->gifts, struct beacon_share, i);
      unsigned units = jl_quota_units_in (table, shares->quota, gift->customer);

      jl_quota_units_set (table, gift->customer,
                          take ? units - gift->units : units + gift->units);
    }
}

/* Adds the units that belong to no zone to the row of the receiver. */
static void
add_lost_units (const struct jl_quota_shares *shares, GHashTable *units)
{
  for (guint i = 0; i < shares->gifts->len; i++)
    {
      uint32_t customer
          = g_array_index (shares->gifts, struct beacon_share, i).customer;

      jl_quota_units_set (units, customer,
                          jl_quota_units_in (units, shares->quota, customer)
                              + lost_units (shares, customer));
    }
}

/* Lists the rows that a transaction with gifts depends on: those of all zones,
 * since what belongs to no zone is known from all. */
static unsigned
list_puts (const struct jl_quota_shares *shares,
           const char *own_value,
           const char *receiver_value,
           struct jl_store_put *puts)
{
  const struct jl_proxy *proxy = shares->quota->proxy;
  const struct jl_options *options = proxy->options;

  for (unsigned i = 0; i < options->zone_count; i++)
    {
      const struct zone_row *row
          = g_hash_table_lookup (shares->rows, options->zones[i]);

      puts[i].key = options->zones[i];
      puts[i].version = row == NULL    ? 0
                        : row->invalid ? VERSION_NONE
                                       : row->version;
      puts[i].value = NULL;
      if (strcmp (puts[i].key, proxy->roster.local_zone) == 0)
        puts[i].value = own_value;
      else if (strcmp (puts[i].key, shares->receiver) == 0)
        puts[i].value = receiver_value;
    }
  return options->zone_count;
}

static void
copy_units (gpointer key, gpointer units, gpointer table)
{
  g_hash_table_insert (table, key, units);
}

/* Lowers the own shares, and then writes the rows of both zones. */
static void
write_gifts (struct jl_quota_shares *shares, uint64_t now_us)
{
  struct jl_store_put puts[JL_OPTIONS_ZONES_MAX];
  const struct zone_row *receiver
      = g_hash_table_lookup (shares->rows, shares->receiver);
  struct jl_quota_row own = { .units = shares->own,
                              .era = jl_quota_shares_era (shares),
                              .list = shares->quota->quorum.list };
  struct jl_quota_row other = { 0 };
  char *own_value;
  char *receiver_value;

  shares->gave_us = now_us;
  add_gifts (shares, shares->own, true);
  jl_quota_send_list (shares->quota, now_us);
  if (receiver != NULL)
    other = receiver->content;
  other.units = g_hash_table_new (g_direct_hash, g_direct_equal);
  if (receiver != NULL)
    g_hash_table_foreach (receiver->content.units, copy_units, other.units);
  add_gifts (shares, other.units, false);
  add_lost_units (shares, other.units);
  own_value = jl_quota_row_format (&own);
  receiver_value = jl_quota_row_format (&other);
  shares->state = SHARE_GIVE;
  jl_store_tx_write (shares->tx, puts,
                     list_puts (shares, own_value, receiver_value, puts));
  g_hash_table_destroy (other.units);
  g_free (own_value);
  g_free (receiver_value);
}

static void
on_read (void *context, bool complete)
{
  struct jl_quota_shares *shares = context;
  struct jl_quota_members list;
  uint64_t now_us = jl_now ();

  if (shares->state != SHARE_READ && shares->state != SHARE_CLAIM_READ)
    return;
  if (!complete)
    {
      shares->changed = true;
      g_array_set_size (shares->wanted, 0);
      retry_later (shares,
                   shares->state == SHARE_READ ? SHARE_READY : SHARE_UNCLAIMED);
      return;
    }
  list = jl_quota_list_read (shares);
  jl_quota_quorum_learn (&shares->quota->quorum, &list, shares->read_us,
                         now_us);
  if (shares->state == SHARE_CLAIM_READ || !jl_quota_list_is_read (shares))
    {
      g_array_set_size (shares->wanted, 0);
      jl_quota_claim (shares);
      return;
    }
  shares->state = SHARE_READY;
  replace_own (shares, jl_quota_shares_read (shares));
  choose_gifts (shares, now_us);
  if (shares->gifts->len > 0)
    write_gifts (shares, now_us);
}

static void
on_claim_written (struct jl_quota_shares *shares, enum jl_store_result result)
{
  if (result != JL_STORE_DONE)
    {
      retry_later (shares, SHARE_UNCLAIMED);
      /* Another issuer, or a giver, has changed the row. */
      if (result == JL_STORE_REFUSED)
        shares->retry_us = 0;
      return;
    }
  shares->state = SHARE_READY;
  shares->claimed = true;
  shares->restored = false;
  jl_quota_quorum_learn (&shares->quota->quorum, &shares->next_list,
                         shares->read_us, jl_now ());
  replace_own (shares, g_steal_pointer (&shares->next));
  if (shares->in_doubt)
    jl_quota_send_moved (shares->quota, shares->receiver);
  shares->in_doubt = false;
}

static void
on_gifts_written (struct jl_quota_shares *shares, enum jl_store_result result)
{
  struct jl_quota *quota = shares->quota;
  unsigned units = 0;

  for (guint i = 0; i < shares->gifts->len; i++)
    units += g_array_index (shares->gifts, struct beacon_share, i).units;
  jl_record (JL_RECORD_CHANGE, JL_RECORD_SHARES_GIVEN,
             "to=%s customers=%u units=%u result=%s", shares->receiver,
             shares->gifts->len, units,
             result == JL_STORE_DONE      ? "done"
             : result == JL_STORE_REFUSED ? "refused"
                                          : "unknown");
  shares->state = SHARE_READY;
  if (result == JL_STORE_DONE)
    {
      quota->units_given += units;
      jl_quota_send_moved (quota, shares->receiver);
    }
  else if (result == JL_STORE_REFUSED)
    {
      add_gifts (shares, shares->own, false);
      shares->changed = true;
    }
  else
    {
      shares->state = SHARE_UNCLAIMED;
      shares->in_doubt = true;
    }
}

static void
on_written (void *context, enum jl_store_result result, uint64_t version)
{
  struct jl_quota_shares *shares = context;

  (void)version;
  if (shares->state == SHARE_CLAIM_WRITE)
    on_claim_written (shares, result);
  else if (shares->state == SHARE_GIVE)
    on_gifts_written (shares, result);
}

static const struct jl_store_tx_ops tx_ops = {
  .row = on_row,
  .read = on_read,
  .written = on_written,
};

void
jl_quota_shares_give (struct jl_quota *quota,
                      const char *zone,
                      const struct beacon_share *list,
                      unsigned count,
                      uint64_t now_us)
{
  struct jl_quota_shares *shares = get_shares (quota);

  /* Another issuer of this zone would not know of the smaller share. */
  if (quota->issuer.part < 1 || shares->state != SHARE_READY
      || !has_zone (quota, zone)
      || strcmp (zone, quota->proxy->roster.local_zone) == 0
      || now_us < shares->gave_us + GIVE_PERIOD_US || now_us < shares->retry_us)
    return;
  g_array_set_size (shares->wanted, 0);
  g_array_append_vals (shares->wanted, list, count);
  choose_gifts (shares, now_us);
  if (shares->gifts->len == 0)
    return;
  g_array_append_vals (shares->wanted, list, count);
  g_strlcpy (shares->receiver, zone, sizeof shares->receiver);
  begin_read (shares, SHARE_READ);
}

/* Follows whether this daemon issues. One that begins to issue has to claim the
 * row: another issuer may have begun a transaction before. */
static void
follow_issuer (struct jl_quota_shares *shares, uint64_t now_us)
{
  const struct jl_quota *quota = shares->quota;
  bool begins = quota->issuer.active && !shares->was_active;
  bool stands = jl_quota_stands (quota, now_us);

  shares->was_active = quota->issuer.active;
  if (!stands || begins)
    {
      shares->claimed = false;
      shares->state = SHARE_UNCLAIMED;
      shares->retry_us = 0;
    }
  if (!stands)
    shares->issues_since_us = 0;
  else if (shares->issues_since_us == 0 || begins)
    shares->issues_since_us = now_us;
}

/* Whether the list of the zone's daemons is to be changed now. */
static bool
changes_list (struct jl_quota *quota, uint64_t now_us)
{
  struct jl_quota_members next;

  return quota->quorum.list.version > 0
         && jl_quota_next_list (quota, now_us, &next);
}

void
jl_quota_shares_tick (struct jl_quota *quota, uint64_t now_us)
{
  struct jl_quota_shares *shares = get_shares (quota);

  follow_issuer (shares, now_us);
  if (shares->issues_since_us == 0)
    return;
  if (shares->tx == NULL)
    shares->tx = jl_store_tx_new (quota->proxy->store, TABLE, &tx_ops, shares);
  if (now_us < shares->retry_us)
    return;
  if (shares->state == SHARE_UNCLAIMED
      || (shares->state == SHARE_READY && changes_list (quota, now_us)))
    begin_read (shares, SHARE_CLAIM_READ);
  else if (shares->state == SHARE_READY
           && (shares->changed
               || now_us >= jl_quota_issuer_confirm_due_us (&quota->issuer,
                                                            &quota->quorum)))
    begin_read (shares, SHARE_READ);
}
