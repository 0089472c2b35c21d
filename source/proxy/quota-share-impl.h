#ifndef JACKDAWLADDER_PROXY_QUOTA_SHARE_IMPL_H
#define JACKDAWLADDER_PROXY_QUOTA_SHARE_IMPL_H

/**
 * DOC: State of the shares of usage caps that the files quota-share.c and
 * quota-claim.c share.
 */

#include "proxy/quota-impl.h"
#include "proxy/quota-row.h"
#include "store-tx.h"

/* Time between two attempts. */
#define JL_QUOTA_RETRY_US (1 * JL_USEC_PER_SEC)

/**
 * enum share_state - state of the own row
 * @SHARE_UNCLAIMED: it has to be claimed
 * @SHARE_CLAIM_READ: it is read in order to claim it
 * @SHARE_CLAIM_WRITE: it is written in order to claim it
 * @SHARE_READY: it is claimed
 * @SHARE_READ: it is read, as it has changed
 * @SHARE_GIVE: a transaction that gives units is in progress
 */
enum share_state
{
  SHARE_UNCLAIMED,
  SHARE_CLAIM_READ,
  SHARE_CLAIM_WRITE,
  SHARE_READY,
  SHARE_READ,
  SHARE_GIVE,
};

/**
 * struct zone_row - row of a zone as it was last read
 * @invalid: it does not hold shares
 */
struct zone_row
{
  uint64_t version;
  bool invalid;
  struct jl_quota_row content;
};

/**
 * struct jl_quota_shares - shares
 * @own: units of the local zone by the customer's key
 * @heard: @own was read from the store, or told by an issuer of this zone
 * @claimed: the row was claimed since this daemon issues
 * @restored: the store has come back from an older copy, and the row was not
 *            written since
 * @in_doubt: it is not known whether the receiver has got the last gifts
 * @changed: the row has changed, and has to be read
 * @issues_since_us: time since which this daemon issues, or would if it was
 *                   supported, 0 if it does not
 * @was_active: it issued at the last check
 * @read_us: time at which the last read or claim began
 * @rows: rows of zones, by the zone's name
 * @next: units of the local zone once the claim is written
 * @next_list: list of the zone's daemons once the claim is written
 * @receiver: zone that units are given to
 * @wanted: array of struct beacon_share, what that zone wants
 * @gifts: array of struct beacon_share, what is given in the transaction in
 *         progress
 */
struct jl_quota_shares
{
  struct jl_quota *quota;
  struct jl_store_tx *tx;
  enum share_state state;
  GHashTable *own;
  bool heard;
  bool claimed;
  bool restored;
  bool in_doubt;
  bool changed;
  uint64_t issues_since_us;
  bool was_active;
  uint64_t retry_us;
  uint64_t gave_us;
  uint64_t read_us;
  GHashTable *rows;
  GHashTable *next;
  struct jl_quota_members next_list;
  char receiver[JL_TEXT_SIZE];
  GArray *wanted;
  GArray *gifts;
};

/* quota-claim.c */

/**
 * jl_quota_units_in - returns the units of a customer in a table, those of an
 * equal share if it has none
 */
unsigned jl_quota_units_in (GHashTable *table,
                            const struct jl_quota *quota,
                            uint32_t customer);

void jl_quota_units_set (GHashTable *table, uint32_t customer, unsigned units);

/**
 * jl_quota_shares_era - returns the era of the store
 */
uint64_t jl_quota_shares_era (const struct jl_quota_shares *shares);

/**
 * jl_quota_shares_read - returns the shares of the own row as it was read
 *
 * After the store came back from an older copy, the smaller of the known and
 * the read share applies. If the own row cannot be read, those are left that no
 * other zone has.
 */
GHashTable *jl_quota_shares_read (const struct jl_quota_shares *shares);

/**
 * jl_quota_list_read - returns the list of the zone's daemons that the own row
 * holds
 */
struct jl_quota_members
jl_quota_list_read (const struct jl_quota_shares *shares);

/**
 * jl_quota_list_is_read - whether the own row holds the list that this daemon
 * uses
 */
bool jl_quota_list_is_read (const struct jl_quota_shares *shares);

/**
 * jl_quota_claim - claims the own row, which has been read, unless there is
 * nothing to claim it with yet
 */
void jl_quota_claim (struct jl_quota_shares *shares);

#endif
