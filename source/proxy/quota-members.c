/**
 * DOC: Datagrams with the list of the zone's daemons that count for usage caps.
 *
 * An issuer sends its list, and the part of the zone's shares that it issues.
 * Daemons that may issue later know the list then, also while the store is
 * away. Those that hear several issuers choose the one with the largest part.
 */

#include "proxy/announce.h"
#include "proxy/quota-impl.h"

#include <math.h>
#include <string.h>

/* Time between two lists to the zone. */
#define TELL_PERIOD_US (2 * JL_USEC_PER_SEC)

unsigned
jl_quota_millionths (double part)
{
  return (unsigned)lround (part * JL_QUOTA_MILLION);
}

static size_t
encode_members (const struct jl_quota *quota,
                char datagram[JL_DATAGRAM_BYTES_MAX])
{
  struct jl_quota_members list = quota->quorum.list;
  struct beacon_quota_members message = {
    .format = JL_FORMAT_QUOTA_MEMBERS,
    .name = quota->proxy->self->name,
    .list_version = list.version,
    .part_millionths = jl_quota_millionths (quota->issuer.part),
    .keys = { list.count, list.keys },
    .previous = { list.previous_count, list.previous },
  };
  XDR xdr;

  xdrmem_create (&xdr, datagram, JL_DATAGRAM_BYTES_MAX, XDR_ENCODE);
  return xdr_beacon_quota_members (&xdr, &message) ? xdr_getpos (&xdr) : 0;
}

/* Whether a daemon comes before the one that this one has chosen. */
static bool
precedes_chosen (const struct jl_quota *quota, const struct jl_member *member)
{
  const struct jl_member *chosen
      = jl_roster_find_key (&quota->proxy->roster, quota->vote.chosen);

  return chosen == NULL || strcmp (member->name, chosen->name) < 0;
}

/* Chooses an issuer, which may be this daemon itself, if it is to be preferred.
 */
static void
hear_issuer (struct jl_quota *quota,
             const struct jl_member *member,
             unsigned part_millionths)
{
  if (!quota->proxy->stopping)
    jl_quota_vote_hear_issuer (&quota->vote, member->key,
                               part_millionths / JL_QUOTA_MILLION,
                               precedes_chosen (quota, member), jl_now ());
}

void
jl_quota_members_tick (struct jl_quota *quota, uint64_t now_us)
{
  char datagram[JL_DATAGRAM_BYTES_MAX];
  size_t size;

  if (!quota->issuer.active || now_us < quota->told_us + TELL_PERIOD_US)
    return;
  quota->told_us = now_us;
  size = encode_members (quota, datagram);
  if (size > 0)
    jl_beacon_send_to_zone (quota->proxy->beacon, true, datagram, size);
  /* Two issuers may have chosen each other. */
  hear_issuer (quota, quota->proxy->self,
               jl_quota_millionths (quota->issuer.part));
}

static void
apply_members (struct jl_quota *quota,
               const struct beacon_quota_members *message)
{
  struct jl_quota_members list = {
    .version = message->list_version,
    .count = message->keys.keys_len,
    .previous_count = message->previous.previous_len,
  };

  for (unsigned i = 0; i < list.count; i++)
    list.keys[i] = message->keys.keys_val[i];
  for (unsigned i = 0; i < list.previous_count; i++)
    list.previous[i] = message->previous.previous_val[i];
  /* The datagram may have been held up, so it confirms nothing. */
  jl_quota_quorum_learn (&quota->quorum, &list, 0, jl_now ());
}

void
jl_quota_read_members (struct jl_quota *quota, XDR *xdr)
{
  const struct jl_proxy *proxy = quota->proxy;
  struct beacon_quota_members message = { 0 };
  const struct jl_member *member;

  if (xdr_beacon_quota_members (xdr, &message))
    {
      member = g_hash_table_lookup (proxy->roster.by_name, message.name);
      if (member != NULL && member != proxy->self
          && strcmp (member->zone, proxy->roster.local_zone) == 0)
        {
          apply_members (quota, &message);
          hear_issuer (quota, member, message.part_millionths);
        }
    }
  xdr_free ((xdrproc_t)xdr_beacon_quota_members, &message);
}
