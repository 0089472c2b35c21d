/**
 * DOC: The issuer of a zone: support by the zone's daemons, and the buckets.
 */

#include "policy/quota-issuer.h"

#include <math.h>

/* Times over which demand is averaged. */
#define DEMAND_US (2 * JL_USEC_PER_SEC)
#define STEADY_US (10 * JL_USEC_PER_SEC)
/* A customer whose demand is below this part of the zone's rate is far from its
 * cap. */
#define FAR_RATIO 0.75
/* What a daemon that loses contact may use at most, of the part of the zone's
 * bucket and of its rate that is one daemon's: see policy/quota-stock.c. */
#define LOST_DEPTH_RATIO 1
#define LOST_RATE_S (2 * 1.25 * FAR_RATIO)
/* Parts of the depth: level below which tokens are borrowed, level up to which
 * they are, and level down to which they are lent. */
#define SHORTAGE_RATIO 0.4
#define BORROW_RATIO 0.8
#define LEND_RATIO 0.5
/* Bound of the time for which tokens are promised by Retry-After. */
#define PROMISED_MAX_US (10 * JL_USEC_PER_SEC)

void
jl_quota_issuer_init (struct jl_quota_issuer *issuer)
{
  issuer->supporters
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  issuer->customers
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
}

void
jl_quota_issuer_clear (struct jl_quota_issuer *issuer)
{
  g_hash_table_destroy (issuer->supporters);
  g_hash_table_destroy (issuer->customers);
}

void
jl_quota_issuer_support (struct jl_quota_issuer *issuer,
                         uint32_t daemon,
                         uint64_t stamp_us,
                         const struct jl_quota_quorum *quorum,
                         struct jl_quota_list_id list,
                         uint64_t now_us)
{
  uint64_t until_us = stamp_us + JL_QUOTA_SUPPORT_US;
  struct jl_quota_supporter *known
      = g_hash_table_lookup (issuer->supporters, GUINT_TO_POINTER (daemon));

  if (stamp_us > now_us || until_us <= now_us || list.version == 0
      || list.version > quorum->id.version
      || (list.version == quorum->id.version && list.tag != quorum->id.tag))
    return;
  if (known == NULL)
    {
      known = g_new0 (struct jl_quota_supporter, 1);
      g_hash_table_insert (issuer->supporters, GUINT_TO_POINTER (daemon),
                           known);
    }
  known->until_us = MAX (known->until_us, until_us);
  known->list = list;
}

/* Drops the support that has ended. Returns the number of daemons that have not
 * left and whose support has ended. */
static unsigned
drop_supporters (struct jl_quota_issuer *issuer,
                 const struct jl_quota_zone *zone,
                 uint64_t now_us)
{
  GHashTableIter iterator;
  gpointer key;
  gpointer value;
  unsigned lost = 0;

  g_hash_table_iter_init (&iterator, issuer->supporters);
  while (g_hash_table_iter_next (&iterator, &key, &value))
    {
      if (((const struct jl_quota_supporter *)value)->until_us > now_us)
        continue;
      lost += zone->counts (zone->context, GPOINTER_TO_UINT (key));
      g_hash_table_iter_remove (&iterator);
    }
  return lost;
}

/* Withholds the tokens in place of which @lost of @known_count daemons may have
 * run requests. */
static void
withhold (struct jl_quota_issuer *issuer, unsigned lost, unsigned known_count)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, issuer->customers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct jl_quota_account *account = value;
      double tokens = LOST_DEPTH_RATIO * account->cap.depth
                      + LOST_RATE_S * account->cap.rate;

      jl_quota_bucket_withhold (&account->bucket, &account->cap,
                                tokens * lost / known_count);
    }
}

/* Sets the part that is issued. The buckets gain no tokens by a larger one. */
static void
set_part (struct jl_quota_issuer *issuer, double part)
{
  GHashTableIter iterator;
  gpointer value;
  double ratio = part > 0 ? issuer->part / part : 1;

  issuer->part = part;
  if (ratio >= 1)
    return;
  g_hash_table_iter_init (&iterator, issuer->customers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct jl_quota_bucket *bucket
          = &((struct jl_quota_account *)value)->bucket;

      if (bucket->fraction > 0)
        bucket->fraction *= ratio;
    }
}

/**
 * struct supporters - the supporters under a list, for policy/quota-quorum.h
 */
struct supporters
{
  const struct jl_quota_issuer *issuer;
  const struct jl_quota_quorum *quorum;
};

static bool
supports (const void *context, uint32_t key, bool adopted)
{
  const struct supporters *supporters = context;
  const struct jl_quota_supporter *supporter = g_hash_table_lookup (
      supporters->issuer->supporters, GUINT_TO_POINTER (key));

  return supporter != NULL
         && (!adopted
             || jl_quota_list_id_equal (supporter->list,
                                        supporters->quorum->id));
}

bool
jl_quota_issuer_next_list (const struct jl_quota_issuer *issuer,
                           struct jl_quota_quorum *quorum,
                           const uint32_t *here,
                           unsigned here_count,
                           unsigned known_count,
                           uint64_t now_us,
                           struct jl_quota_members *next)
{
  const struct supporters supporters = { issuer, quorum };
  const struct jl_quota_support support = { supports, &supporters };

  return jl_quota_quorum_next (quorum, &support, here, here_count, known_count,
                               now_us, next);
}

uint64_t
jl_quota_issuer_confirm_due_us (const struct jl_quota_issuer *issuer,
                                const struct jl_quota_quorum *quorum)
{
  const struct supporters supporters = { issuer, quorum };
  const struct jl_quota_support support = { supports, &supporters };

  return jl_quota_quorum_confirm_due_us (quorum, &support);
}

bool
jl_quota_issuer_update (struct jl_quota_issuer *issuer,
                        const struct jl_quota_zone *zone,
                        uint64_t now_us)
{
  unsigned lost = drop_supporters (issuer, zone, now_us);
  const struct supporters supporters = { issuer, zone->quorum };
  const struct jl_quota_support support = { supports, &supporters };
  double part = jl_quota_quorum_part (zone->quorum, &support, now_us);
  bool active = part > 0;

  if (active && !issuer->active)
    {
      /* Tokens of the issuer before may be used up to that time. */
      issuer->since_us = now_us + JL_QUOTA_VALID_US;
      g_hash_table_remove_all (issuer->customers);
    }
  else if (active && lost > 0)
    withhold (issuer, lost, MAX (zone->known_count, lost));
  set_part (issuer, part);
  issuer->active = active;
  return active;
}

void
jl_quota_issuer_resign (struct jl_quota_issuer *issuer)
{
  g_hash_table_remove_all (issuer->supporters);
  issuer->part = 0;
  issuer->active = false;
}

static struct jl_quota_account *
get_account (struct jl_quota_issuer *issuer, uint32_t customer, uint64_t now_us)
{
  struct jl_quota_account *account
      = g_hash_table_lookup (issuer->customers, GUINT_TO_POINTER (customer));

  if (account == NULL)
    {
      account = g_new0 (struct jl_quota_account, 1);
      account->bucket.updated_us = issuer->since_us;
      account->demand_us = now_us;
      account->begun_us = now_us;
      account->seen_us = now_us;
      g_hash_table_insert (issuer->customers, GUINT_TO_POINTER (customer),
                           account);
    }
  return account;
}

static void
note_demand (struct jl_quota_account *account, unsigned count, uint64_t now_us)
{
  double elapsed_us = (double)(now_us - account->demand_us);

  account->demand = account->demand * exp (-elapsed_us / DEMAND_US)
                    + count * 1e6 / DEMAND_US;
  account->steady = account->steady * exp (-elapsed_us / STEADY_US)
                    + count * 1e6 / STEADY_US;
  account->demand_us = now_us;
}

/* Returns the time after which the last one of @refused requests finds a token,
 * and promises the tokens up to then. */
static uint64_t
promise (struct jl_quota_account *account,
         const struct jl_quota_cap *cap,
         unsigned refused,
         uint64_t now_us)
{
  uint64_t wait_us = jl_quota_bucket_wait_us (&account->bucket, cap, 1);
  uint64_t begin_us;

  if (wait_us > PROMISED_MAX_US)
    return PROMISED_MAX_US;
  begin_us = MAX (account->promised_us, now_us + wait_us);
  if (refused > 1 || account->promised_us > now_us + wait_us)
    begin_us += (uint64_t)(refused * 1e6 / cap->rate);
  account->promised_us = MIN (begin_us, now_us + PROMISED_MAX_US);
  return account->promised_us - now_us;
}

struct jl_quota_grant
jl_quota_issuer_grant (struct jl_quota_issuer *issuer,
                       uint32_t customer,
                       const struct jl_quota_cap *cap,
                       unsigned count,
                       unsigned waiting,
                       uint64_t now_us)
{
  struct jl_quota_account *account = get_account (issuer, customer, now_us);
  struct jl_quota_grant grant = { 0 };
  unsigned refused;

  account->cap = *cap;
  account->seen_us = now_us;
  if (issuer->active && now_us >= issuer->since_us)
    grant.granted = jl_quota_bucket_take (&account->bucket, cap, count, now_us);
  refused = waiting > grant.granted ? waiting - grant.granted : 0;
  /* Prefetched tokens that are not granted are no demand. */
  note_demand (account, MAX (waiting, grant.granted), now_us);
  grant.none_us = jl_quota_bucket_wait_us (&account->bucket, cap, 1);
  if (refused > 0)
    grant.wait_us = promise (account, cap, refused, now_us);
  /* The average of a new account is too low. */
  grant.far = now_us >= account->begun_us + 2 * DEMAND_US
              && account->demand < FAR_RATIO * cap->rate;
  grant.level = account->bucket.fraction * cap->depth;
  issuer->issued += grant.granted;
  issuer->refused += refused;
  return grant;
}

bool
jl_quota_issuer_use (const struct jl_quota_issuer *issuer,
                     uint32_t customer,
                     double rate,
                     uint64_t now_us,
                     struct jl_quota_use *use)
{
  const struct jl_quota_account *account
      = g_hash_table_lookup (issuer->customers, GUINT_TO_POINTER (customer));
  double elapsed_us;

  use->rate = rate;
  use->recent = 0;
  use->steady = 0;
  use->recent_s = DEMAND_US / 1e6;
  use->steady_s = STEADY_US / 1e6;
  if (!issuer->active || now_us < issuer->since_us + STEADY_US)
    return false;
  if (account == NULL)
    return true;
  elapsed_us = (double)(now_us - account->demand_us);
  use->recent = account->demand * exp (-elapsed_us / DEMAND_US);
  use->steady = account->steady * exp (-elapsed_us / STEADY_US);
  return now_us >= account->begun_us + STEADY_US / 2;
}

void
jl_quota_issuer_charge (struct jl_quota_issuer *issuer,
                        uint32_t customer,
                        const struct jl_quota_cap *cap,
                        unsigned count,
                        uint64_t now_us)
{
  struct jl_quota_account *account;

  if (count == 0 || !issuer->active)
    return;
  account = get_account (issuer, customer, now_us);
  jl_quota_bucket_update (&account->bucket, cap, now_us);
  jl_quota_bucket_withhold (&account->bucket, cap, MIN (count, cap->depth));
}

unsigned
jl_quota_issuer_shortage (struct jl_quota_issuer *issuer,
                          uint32_t customer,
                          const struct jl_quota_cap *cap,
                          uint64_t now_us)
{
  struct jl_quota_account *account
      = g_hash_table_lookup (issuer->customers, GUINT_TO_POINTER (customer));
  double level;

  if (account == NULL || !issuer->active || now_us < issuer->since_us)
    return 0;
  level = jl_quota_bucket_update (&account->bucket, cap, now_us);
  if (level >= SHORTAGE_RATIO * cap->depth)
    return 0;
  return (unsigned)ceil (BORROW_RATIO * cap->depth - MAX (level, 0.0));
}

unsigned
jl_quota_issuer_lend (struct jl_quota_issuer *issuer,
                      uint32_t customer,
                      const struct jl_quota_cap *cap,
                      unsigned wanted,
                      uint64_t now_us)
{
  struct jl_quota_account *account;
  double spare;

  if (!issuer->active || now_us < issuer->since_us)
    return 0;
  account = get_account (issuer, customer, now_us);
  spare = jl_quota_bucket_update (&account->bucket, cap, now_us)
          - LEND_RATIO * cap->depth;
  if (spare < 1)
    return 0;
  return jl_quota_bucket_take (&account->bucket, cap,
                               MIN (wanted, (unsigned)spare), now_us);
}

void
jl_quota_issuer_borrow (struct jl_quota_issuer *issuer,
                        uint32_t customer,
                        const struct jl_quota_cap *cap,
                        unsigned count,
                        uint64_t now_us)
{
  struct jl_quota_account *account
      = g_hash_table_lookup (issuer->customers, GUINT_TO_POINTER (customer));

  if (account == NULL || !issuer->active || cap->depth <= 0)
    return;
  jl_quota_bucket_add (&account->bucket, cap, count, now_us);
}

void
jl_quota_issuer_expire (struct jl_quota_issuer *issuer,
                        struct jl_quota_cap (*cap_of) (const void *context,
                                                       uint32_t customer),
                        const void *context,
                        uint64_t now_us)
{
  GHashTableIter iterator;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iterator, issuer->customers);
  while (g_hash_table_iter_next (&iterator, &key, &value))
    {
      struct jl_quota_account *account = value;
      struct jl_quota_cap cap = cap_of (context, GPOINTER_TO_UINT (key));

      jl_quota_bucket_update (&account->bucket, &cap, now_us);
      /* A bucket that is not full yet would be too full when it is made
       * again. */
      if (now_us > account->seen_us + JL_QUOTA_UNSEEN_US
          && (cap.rate <= 0 || account->bucket.fraction >= 1))
        g_hash_table_iter_remove (&iterator);
    }
}
