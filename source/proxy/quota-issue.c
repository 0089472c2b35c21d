/**
 * DOC: The issuer of a zone: caps and shares, the daemons that are there, and
 * the answers to requests for tokens.
 */

#include "proxy/announce.h"
#include "proxy/quota-impl.h"

#include <math.h>
#include <string.h>

/* Time between two decisions whether this daemon issues. */
#define UPDATE_PERIOD_US (10 * JL_USEC_PER_MSEC)
/* Time after the start in which daemons that are known from their rows only, as
 * those of instances that were replaced long ago are, count as daemons of the
 * zone in any case. */
#define UNHEARD_US (10 * JL_USEC_PER_SEC)
/* Bound of the times in an answer. */
#define TIME_MAX_US (10 * JL_USEC_PER_SEC)

bool
jl_quota_allowance_of (const struct jl_quota *quota,
                       uint32_t customer,
                       struct jl_quota_allowance *allowance)
{
  const struct jl_proxy *proxy = quota->proxy;
  const struct jl_cap_policy *policy = &proxy->options->cap;
  const struct jl_customer *found
      = proxy->site != NULL
            ? jl_customers_find (proxy->site->customers, customer)
            : NULL;

  if (found == NULL || found->rate <= 0)
    return false;
  *allowance = jl_quota_divide (found->rate, found->burst, policy->window_us,
                                policy->over_ratio, policy->slack);
  return true;
}

struct jl_quota_cap
jl_quota_cap_of (const struct jl_quota *quota, uint32_t customer)
{
  struct jl_quota_allowance allowance;
  struct jl_quota_cap cap = { 0 };

  if (!jl_quota_allowance_of (quota, customer, &allowance))
    return cap;
  cap = jl_quota_zone_cap (&allowance, jl_quota_share_of (quota, customer),
                           quota->zone_count);
  return jl_quota_cap_part (&cap, quota->issuer.part);
}

static struct jl_quota_cap
cap_of (const void *context, uint32_t customer)
{
  return jl_quota_cap_of (context, customer);
}

/* Whether a daemon is in the local zone and has not left. One that this process
 * has never heard may have been replaced long ago, unless it hears nobody of
 * its zone. */
static bool
is_known (const struct jl_quota *quota,
          const struct jl_member *member,
          uint64_t now_us)
{
  bool leaves = member->departed || member->state == JL_TARGET_LEAVING;

  if (strcmp (member->zone, quota->proxy->roster.local_zone) != 0)
    return false;
  if (member == quota->proxy->self)
    return true;
  if (member->last_beacon_us == 0)
    return !quota->zone_heard || now_us < quota->proxy->started_us + UNHEARD_US;
  return !leaves || jl_member_is_alive (member, now_us);
}

void
jl_quota_count_zone (struct jl_quota *quota, uint64_t now_us)
{
  const struct jl_proxy *proxy = quota->proxy;
  unsigned zone_count = proxy->options->zone_count;

  for (guint i = 0; i < proxy->roster.members->len && !quota->zone_heard; i++)
    {
      const struct jl_member *member
          = g_ptr_array_index (proxy->roster.members, i);

      quota->zone_heard
          = member != proxy->self && member->last_beacon_us != 0
            && strcmp (member->zone, proxy->roster.local_zone) == 0;
    }
  quota->known_count = 0;
  for (guint i = 0; i < proxy->roster.members->len; i++)
    if (is_known (quota, g_ptr_array_index (proxy->roster.members, i), now_us))
      quota->known_count++;
  if (zone_count == 0)
    zone_count = MAX (quota->zone_count, proxy->roster.zones->len + 1);
  quota->zone_count = zone_count;
}

/* Orders daemons that leave last, and the others by name. */
static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const struct jl_member *first = *(const struct jl_member *const *)a;
  const struct jl_member *second = *(const struct jl_member *const *)b;
  bool first_leaves = first->state == JL_TARGET_LEAVING;
  bool second_leaves = second->state == JL_TARGET_LEAVING;

  if (first_leaves != second_leaves)
    return first_leaves ? 1 : -1;
  return strcmp (first->name, second->name);
}

unsigned
jl_quota_list_candidates (const struct jl_quota *quota,
                          uint32_t *keys,
                          unsigned max,
                          uint64_t now_us)
{
  const struct jl_proxy *proxy = quota->proxy;
  GPtrArray *list = g_ptr_array_new ();
  unsigned count;

  for (guint i = 0; i < proxy->roster.members->len; i++)
    {
      struct jl_member *member = g_ptr_array_index (proxy->roster.members, i);
      bool usable
          = member == proxy->self
                ? !proxy->stopping
                : member->peer.port != 0 && jl_member_is_alive (member, now_us);

      if (usable && strcmp (member->zone, proxy->roster.local_zone) == 0)
        g_ptr_array_add (list, member);
    }
  g_ptr_array_sort (list, compare_candidates);
  count = MIN (list->len, max);
  for (unsigned i = 0; i < count; i++)
    keys[i] = ((const struct jl_member *)g_ptr_array_index (list, i))->key;
  g_ptr_array_free (list, TRUE);
  return count;
}

static bool
counts (const void *context, uint32_t key)
{
  const struct jl_quota *quota = context;
  const struct jl_member *member
      = jl_roster_find_key (&quota->proxy->roster, key);

  return member != NULL && is_known (quota, member, jl_now ());
}

void
jl_quota_update_issuer (struct jl_quota *quota, uint64_t now_us)
{
  const struct jl_quota_zone zone = {
    .quorum = &quota->quorum,
    .known_count = quota->known_count,
    .counts = counts,
    .context = quota,
  };
  double before = quota->issuer.part;

  quota->updated_us = now_us;
  if (quota->proxy->stopping)
    jl_quota_issuer_resign (&quota->issuer);
  else
    jl_quota_issuer_update (&quota->issuer, &zone, now_us);
  if (quota->issuer.part < before || quota->issuer.part > before)
    jl_record (JL_RECORD_CHANGE, JL_RECORD_ISSUER_CHANGED,
               "issues=%d part=%.3f supporters=%u members=%u list=%" PRIu64
               " known=%u zones=%u",
               quota->issuer.active, quota->issuer.part,
               g_hash_table_size (quota->issuer.supporters),
               quota->quorum.list.count, quota->quorum.list.version,
               quota->known_count, quota->zone_count);
}

bool
jl_quota_stands (const struct jl_quota *quota, uint64_t now_us)
{
  const struct jl_proxy *proxy = quota->proxy;

  return quota->issuer.active
         || (!proxy->stopping && quota->vote.chosen == proxy->self->key
             && now_us >= proxy->started_us + JL_QUOTA_SUPPORT_US);
}

bool
jl_quota_next_list (struct jl_quota *quota,
                    uint64_t now_us,
                    struct jl_quota_members *next)
{
  uint32_t here[JL_QUOTA_MEMBERS_MAX];
  unsigned count
      = jl_quota_list_candidates (quota, here, G_N_ELEMENTS (here), now_us);

  return jl_quota_issuer_next_list (&quota->issuer, &quota->quorum, here, count,
                                    quota->known_count, now_us, next);
}

/* Whether a customer has no cap in the configuration that this daemon uses. The
 * daemon that asks may use a newer one. */
static bool
is_unlimited (const struct jl_quota *quota, uint32_t key)
{
  const struct jl_site *site = quota->proxy->site;
  const struct jl_customer *customer
      = site != NULL ? jl_customers_find (site->customers, key) : NULL;

  return customer != NULL && customer->rate <= 0;
}

static void
fill_grant (struct jl_quota *quota,
            const struct beacon_quota_want *want,
            struct beacon_quota_grant *to,
            uint64_t now_us)
{
  struct jl_quota_cap cap = cap_of (quota, want->customer);
  struct jl_quota_grant grant;

  jl_quota_issuer_charge (&quota->issuer, want->customer, &cap, want->debt,
                          now_us);
  grant = jl_quota_issuer_grant (&quota->issuer, want->customer, &cap,
                                 want->count, MIN (want->waiting, want->count),
                                 now_us);

  to->customer = want->customer;
  to->granted
      = is_unlimited (quota, want->customer) ? want->count : grant.granted;
  to->none_us = (u_int)MIN (grant.none_us, TIME_MAX_US);
  to->wait_ms = (u_int)(MIN (grant.wait_us, TIME_MAX_US) / JL_USEC_PER_MSEC);
  to->far = grant.far;
  to->level_centi = (u_int)lround (CLAMP (grant.level, 0.0, 1e6) * 100);
}

void
jl_quota_serve (struct jl_quota *quota,
                uint32_t daemon,
                const struct beacon_quota_ask *ask,
                struct jl_quota_list_id list,
                struct beacon_quota_answer *answer,
                uint64_t now_us)
{
  struct jl_proxy *proxy = quota->proxy;
  bool issues;

  if (now_us >= quota->updated_us + UPDATE_PERIOD_US)
    jl_quota_update_issuer (quota, now_us);
  if (ask->epoch == proxy->epoch && !proxy->stopping)
    jl_quota_issuer_support (&quota->issuer, daemon, ask->stamp, &quota->quorum,
                             list, now_us);
  if (list.version > quota->quorum.id.version
      || (list.version == 0 && jl_quota_quorum_has (&quota->quorum, daemon)))
    jl_quota_shares_doubt (quota, now_us);
  issues = quota->issuer.active && now_us >= quota->issuer.since_us;
  answer->format = JL_FORMAT_QUOTA_ANSWER;
  answer->name = proxy->self->name;
  answer->sequence = ask->sequence;
  answer->state = JL_QUOTA_INACTIVE;
  if (proxy->stopping)
    answer->state = JL_QUOTA_RESIGNED;
  else if (quota->issuer.active)
    answer->state = issues ? JL_QUOTA_ISSUES : JL_QUOTA_ELECTED;
  answer->epoch = proxy->epoch;
  answer->stamp = now_us;
  answer->grants.grants_len = 0;
  for (unsigned i = 0; issues && i < ask->wants.wants_len; i++)
    fill_grant (quota, &ask->wants.wants_val[i],
                &answer->grants.grants_val[answer->grants.grants_len++],
                now_us);
}

void
jl_quota_expire_accounts (struct jl_quota *quota, uint64_t now_us)
{
  jl_quota_issuer_expire (&quota->issuer, cap_of, quota, now_us);
}
