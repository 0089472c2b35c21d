/**
 * DOC: Datagrams with shares: lists for the own zone, and requests to other
 * zones for units and tokens.
 *
 * A request goes to one other zone at a time, so that several zones do not give
 * at once, to a representative that passes it on to the issuer there.
 */

#include "proxy/announce.h"
#include "proxy/quota-impl.h"

#include <string.h>

/* Time between two lists to the zone, and between two requests to another one.
 */
#define LIST_PERIOD_US (2 * JL_USEC_PER_SEC)
#define EXCHANGE_PERIOD_US (500 * JL_USEC_PER_MSEC)

static size_t
encode (struct beacon_shares *message, char *datagram)
{
  XDR xdr;

  message->format = JL_FORMAT_QUOTA_SHARES;
  xdrmem_create (&xdr, datagram, JL_DATAGRAM_BYTES_MAX, XDR_ENCODE);
  return xdr_beacon_shares (&xdr, message) ? xdr_getpos (&xdr) : 0;
}

static void
send_to (struct jl_quota *quota,
         const struct jl_member *member,
         struct beacon_shares *message)
{
  char datagram[JL_DATAGRAM_BYTES_MAX];
  size_t size = encode (message, datagram);

  if (size == 0 || member->peer.port == 0)
    return;
  quota->datagrams++;
  if (member->contact != NULL)
    quota->zone_bytes += size;
  jl_beacon_send_datagram (quota->proxy->beacon, member->peer, datagram, size);
}

/* Sends to a representative of another zone that is heard. */
static void
send_to_zone (struct jl_quota *quota,
              const struct jl_zone *zone,
              struct beacon_shares *message)
{
  struct jl_member *list[JL_REPRESENTATIVES_MAX];
  unsigned count = 0;

  if (!zone->silent)
    count = jl_roster_list_representatives (&quota->proxy->roster, zone,
                                            jl_now (), list);
  if (count > 0)
    send_to (quota, list[0], message);
}

void
jl_quota_send_list (struct jl_quota *quota, uint64_t now_us)
{
  struct jl_proxy *proxy = quota->proxy;
  struct beacon_share list[BEACON_SHARES_MAX];
  struct beacon_shares message = {
    .kind = BEACON_SHARES_LIST,
    .name = proxy->self->name,
    .shares.shares_val = list,
  };
  unsigned total;
  unsigned first = 0;

  quota->listed_us = now_us;
  do
    {
      char datagram[JL_DATAGRAM_BYTES_MAX];
      size_t size;

      total = jl_quota_shares_list (quota, first, list, BEACON_SHARES_MAX);
      message.shares.shares_len = MIN (total - first, BEACON_SHARES_MAX);
      size = encode (&message, datagram);
      if (size > 0)
        jl_beacon_send_to_zone (proxy->beacon, true, datagram, size);
      first += BEACON_SHARES_MAX;
    }
  while (first < total);
}

void
jl_quota_send_moved (struct jl_quota *quota, const char *zone)
{
  const GPtrArray *zones = quota->proxy->roster.zones;
  struct beacon_shares message = {
    .kind = BEACON_SHARES_MOVED,
    .name = quota->proxy->self->name,
  };

  for (guint i = 0; i < zones->len; i++)
    {
      const struct jl_zone *other = g_ptr_array_index (zones, i);

      if (strcmp (other->name, zone) == 0)
        send_to_zone (quota, other, &message);
    }
}

/* Lists the customers that need units or tokens. */
static unsigned
list_needs (struct jl_quota *quota, struct beacon_share *list, uint64_t now_us)
{
  GHashTableIter iterator;
  gpointer key;
  unsigned count = 0;

  g_hash_table_iter_init (&iterator, quota->issuer.customers);
  while (count < BEACON_SHARES_MAX
         && g_hash_table_iter_next (&iterator, &key, NULL))
    {
      uint32_t customer = GPOINTER_TO_UINT (key);
      struct jl_quota_cap cap = jl_quota_cap_of (quota, customer);
      struct jl_quota_allowance allowance;
      struct jl_quota_use use;
      struct beacon_share need = { .customer = customer };

      if (!jl_quota_allowance_of (quota, customer, &allowance))
        continue;
      need.tokens
          = jl_quota_issuer_shortage (&quota->issuer, customer, &cap, now_us);
      if (jl_quota_issuer_use (&quota->issuer, customer, allowance.rate, now_us,
                               &use))
        need.units
            = jl_quota_share_wanted (&use, jl_quota_units_of (quota, customer));
      if (need.tokens > 0 || need.units > 0)
        list[count++] = need;
    }
  return count;
}

static void
send_needs (struct jl_quota *quota, uint64_t now_us)
{
  struct jl_proxy *proxy = quota->proxy;
  const GPtrArray *zones = proxy->roster.zones;
  struct beacon_share list[BEACON_SHARES_MAX];
  struct beacon_shares message = {
    .kind = BEACON_SHARES_NEED,
    .name = proxy->self->name,
    .epoch = proxy->epoch,
    .stamp = now_us,
    .shares.shares_val = list,
  };

  quota->exchanged_us = now_us;
  if (zones->len == 0)
    return;
  message.shares.shares_len = list_needs (quota, list, now_us);
  if (message.shares.shares_len > 0)
    send_to_zone (quota,
                  g_ptr_array_index (
                      zones, (guint)g_random_int_range (0, (gint32)zones->len)),
                  &message);
}

void
jl_quota_exchange_tick (struct jl_quota *quota, uint64_t now_us)
{
  if (!quota->issuer.active || quota->zone_count < 2)
    return;
  if (now_us >= quota->listed_us + LIST_PERIOD_US)
    jl_quota_send_list (quota, now_us);
  if (now_us >= quota->exchanged_us + EXCHANGE_PERIOD_US)
    send_needs (quota, now_us);
}

/* Lends tokens to the issuer of another zone, and gives units. */
static void
handle_need (struct jl_quota *quota,
             const struct jl_member *member,
             const struct beacon_shares *need)
{
  uint64_t now_us = jl_now ();
  struct beacon_share list[BEACON_SHARES_MAX];
  struct beacon_shares answer = {
    .kind = BEACON_SHARES_LENT,
    .name = quota->proxy->self->name,
    .epoch = need->epoch,
    .stamp = need->stamp,
    .shares.shares_val = list,
  };

  for (unsigned i = 0; i < need->shares.shares_len; i++)
    {
      const struct beacon_share *share = &need->shares.shares_val[i];
      struct jl_quota_cap cap = jl_quota_cap_of (quota, share->customer);
      unsigned lent = 0;

      if (share->tokens > 0 && cap.rate > 0)
        lent = jl_quota_issuer_lend (&quota->issuer, share->customer, &cap,
                                     share->tokens, now_us);
      if (lent == 0)
        continue;
      quota->tokens_lent += lent;
      list[answer.shares.shares_len].customer = share->customer;
      list[answer.shares.shares_len].units = 0;
      list[answer.shares.shares_len++].tokens = lent;
    }
  if (answer.shares.shares_len > 0)
    send_to (quota, member, &answer);
  jl_quota_shares_give (quota, member->zone, need->shares.shares_val,
                        need->shares.shares_len, now_us);
}

/* Tokens that come late, twice, or to another incarnation, are lost. */
static void
handle_lent (struct jl_quota *quota, const struct beacon_shares *lent)
{
  uint64_t now_us = jl_now ();

  if (lent->epoch != quota->proxy->epoch || lent->stamp > now_us
      || lent->stamp <= quota->lent_us
      || now_us > lent->stamp + JL_QUOTA_VALID_US)
    return;
  quota->lent_us = lent->stamp;
  for (unsigned i = 0; i < lent->shares.shares_len; i++)
    {
      const struct beacon_share *share = &lent->shares.shares_val[i];
      struct jl_quota_cap cap = jl_quota_cap_of (quota, share->customer);

      quota->tokens_borrowed += share->tokens;
      jl_quota_issuer_borrow (&quota->issuer, share->customer, &cap,
                              share->tokens, now_us);
    }
}

/* Passes a datagram of another zone on to the issuer of the own one. */
static void
pass_on (struct jl_quota *quota, struct beacon_shares *message)
{
  const struct jl_member *issuer
      = jl_roster_find_key (&quota->proxy->roster, quota->vote.chosen);

  if (message->hops > 0 || issuer == NULL || issuer == quota->proxy->self)
    return;
  message->hops = 1;
  send_to (quota, issuer, message);
}

static void
handle (struct jl_quota *quota,
        const struct jl_member *member,
        struct beacon_shares *message)
{
  if (message->kind == BEACON_SHARES_LIST)
    {
      if (member->contact == NULL && member->key == quota->vote.chosen)
        jl_quota_shares_heard (quota, message->shares.shares_val,
                               message->shares.shares_len, jl_now ());
    }
  else if (member->contact == NULL)
    return;
  else if (message->kind == BEACON_SHARES_LENT)
    handle_lent (quota, message);
  else if (!quota->issuer.active)
    pass_on (quota, message);
  else if (message->kind == BEACON_SHARES_NEED)
    handle_need (quota, member, message);
  else if (message->kind == BEACON_SHARES_MOVED)
    jl_quota_shares_moved (quota);
}

void
jl_quota_read_shares (struct jl_quota *quota, XDR *xdr)
{
  struct beacon_shares message = { 0 };
  const struct jl_member *member;

  if (xdr_beacon_shares (xdr, &message))
    {
      member = g_hash_table_lookup (quota->proxy->roster.by_name, message.name);
      if (member != NULL && member != quota->proxy->self)
        handle (quota, member, &message);
    }
  xdr_free ((xdrproc_t)xdr_beacon_shares, &message);
}
