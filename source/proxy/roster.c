/**
 * DOC: The daemons of the site that this daemon knows.
 */

#include "proxy/roster.h"

#include <string.h>
#include <xxhash.h>

/* Time since the last beacon for which a daemon counts as alive: several beacon
 * intervals. Those of other zones are passed on in digests. */
#define ALIVE_US (2500 * JL_USEC_PER_MSEC)
#define OTHER_ZONE_ALIVE_US (4000 * JL_USEC_PER_MSEC)
/* Time since the last beacon for which a daemon counts as following the store:
 * a little more than the period of beacons. */
#define FOLLOWER_HEARD_US (1400 * JL_USEC_PER_MSEC)
/* Time since the last beacon of an incarnation after which one with a lower
 * epoch may replace it. */
#define REPLACE_AFTER_US (1500 * JL_USEC_PER_MSEC)
#define OTHER_ZONE_REPLACE_AFTER_US (3000 * JL_USEC_PER_MSEC)
/* Minimum time for which a daemon receives no requests after one to it failed.
 */
#define AVOID_US (800 * JL_USEC_PER_MSEC)
/* Number of daemons of a zone at which requests must fail before the zone
 * counts as cut off. */
#define CUT_FAILURES_MIN 2

void
jl_roster_init (struct jl_roster *roster, const char *local_zone)
{
  roster->members = g_ptr_array_new_with_free_func (g_free);
  roster->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  roster->by_key = g_hash_table_new (g_direct_hash, g_direct_equal);
  roster->zones = g_ptr_array_new_with_free_func (g_free);
  g_strlcpy (roster->local_zone, local_zone, sizeof roster->local_zone);
}

void
jl_roster_clear (struct jl_roster *roster)
{
  g_hash_table_destroy (roster->by_name);
  g_hash_table_destroy (roster->by_key);
  g_ptr_array_free (roster->zones, TRUE);
  g_ptr_array_free (roster->members, TRUE);
}

struct jl_member *
jl_roster_get_or_add (struct jl_roster *roster, const char *name)
{
  struct jl_member *member = g_hash_table_lookup (roster->by_name, name);

  if (member != NULL)
    return member;
  member = g_new0 (struct jl_member, 1);
  g_strlcpy (member->name, name, sizeof member->name);
  member->key = jl_name_key (name);
  member->spare_share = 1;
  g_ptr_array_add (roster->members, member);
  g_hash_table_insert (roster->by_name, member->name, member);
  /* If two names have the same key, neither is found by it. */
  if (!g_hash_table_insert (roster->by_key, GUINT_TO_POINTER (member->key),
                            member))
    g_hash_table_insert (roster->by_key, GUINT_TO_POINTER (member->key), NULL);
  return member;
}

struct jl_member *
jl_roster_find_key (const struct jl_roster *roster, uint32_t key)
{
  return g_hash_table_lookup (roster->by_key, GUINT_TO_POINTER (key));
}

/* Returns the contact with another zone, which is added if it is new. */
static struct jl_zone *
get_zone (struct jl_roster *roster, const char *name)
{
  struct jl_zone *zone;

  for (guint i = 0; i < roster->zones->len; i++)
    {
      zone = g_ptr_array_index (roster->zones, i);
      if (strcmp (zone->name, name) == 0)
        return zone;
    }
  zone = g_new0 (struct jl_zone, 1);
  g_strlcpy (zone->name, name, sizeof zone->name);
  g_ptr_array_add (roster->zones, zone);
  return zone;
}

void
jl_roster_set_zone (struct jl_roster *roster,
                    struct jl_member *member,
                    const char *zone)
{
  g_strlcpy (member->zone, zone, sizeof member->zone);
  member->in_other_zone = strcmp (zone, roster->local_zone) != 0;
  member->contact = member->in_other_zone ? get_zone (roster, zone) : NULL;
}

/* Whether @a comes before @b in the order of representatives. */
static bool
precedes (const struct jl_member *a, const struct jl_member *b)
{
  bool a_leaves = a->state == JL_TARGET_LEAVING;
  bool b_leaves = b->state == JL_TARGET_LEAVING;

  if (a_leaves != b_leaves)
    return b_leaves;
  return strcmp (a->name, b->name) < 0;
}

bool
jl_roster_represents (const struct jl_roster *roster,
                      const struct jl_member *member,
                      uint64_t now_us)
{
  unsigned preceding = 0;

  if (!jl_member_is_alive (member, now_us))
    return false;
  for (guint i = 0; i < roster->members->len; i++)
    {
      const struct jl_member *other = g_ptr_array_index (roster->members, i);

      if (other != member && other->contact == member->contact
          && jl_member_is_alive (other, now_us) && precedes (other, member))
        preceding++;
    }
  return preceding < JL_REPRESENTATIVES_MAX;
}

/* Whether @a comes before @b among those that follow the store. */
static bool
follows_before (const struct jl_member *a, const struct jl_member *b)
{
  return a->store_lost != b->store_lost ? b->store_lost : precedes (a, b);
}

unsigned
jl_roster_follow_rank (const struct jl_roster *roster,
                       const struct jl_member *self,
                       uint64_t now_us)
{
  unsigned preceding = 0;

  for (guint i = 0; i < roster->members->len; i++)
    {
      const struct jl_member *other = g_ptr_array_index (roster->members, i);

      if (other != self && other->contact == NULL && other->last_beacon_us != 0
          && now_us < other->last_beacon_us + FOLLOWER_HEARD_US
          && follows_before (other, self))
        preceding++;
    }
  return preceding;
}

unsigned
jl_roster_list_representatives (const struct jl_roster *roster,
                                const struct jl_zone *zone,
                                uint64_t now_us,
                                struct jl_member **list)
{
  unsigned count = 0;

  for (unsigned pass = 0; pass < 2; pass++)
    for (guint i = 0;
         i < roster->members->len && count < JL_REPRESENTATIVES_MAX; i++)
      {
        struct jl_member *member = g_ptr_array_index (roster->members, i);
        bool announced = now_us < member->represents_until_us;

        if (member->contact != zone || announced != (pass == 0))
          continue;
        if (announced || jl_roster_represents (roster, member, now_us))
          list[count++] = member;
      }
  return count;
}

bool
jl_member_is_alive (const struct jl_member *member, uint64_t now_us)
{
  uint64_t alive_us = member->in_other_zone ? OTHER_ZONE_ALIVE_US : ALIVE_US;

  return member->last_beacon_us != 0
         && now_us < member->last_beacon_us + alive_us;
}

bool
jl_member_beacon_is_newer (const struct jl_member *member,
                           uint64_t epoch,
                           uint64_t sequence,
                           uint64_t now_us)
{
  uint64_t replace_after_us
      = member->in_other_zone ? OTHER_ZONE_REPLACE_AFTER_US : REPLACE_AFTER_US;

  if (epoch == member->epoch)
    return sequence > member->sequence;
  return epoch > member->epoch
         || now_us > member->last_beacon_us + replace_after_us;
}

static uint64_t
heard_us (const struct jl_member *member)
{
  return MAX (member->last_beacon_us, member->last_answer_us);
}

/* Whether a request to the daemon has failed, and it was not heard since or
 * only just now. */
static bool
has_failed (const struct jl_member *member, uint64_t now_us)
{
  return member->failed_us != 0
         && (now_us < member->failed_us + AVOID_US
             || heard_us (member) <= member->failed_us);
}

bool
jl_member_accepts_work (const struct jl_member *member,
                        const char *service,
                        uint64_t now_us)
{
  return member->state == JL_TARGET_UP
         && (member->contact == NULL || !member->contact->silent)
         && !has_failed (member, now_us)
         && strcmp (member->service, service) == 0
         && jl_member_is_alive (member, now_us);
}

/* Whether at least CUT_FAILURES_MIN daemons of @zone have failed, and none of
 * the zone was heard since. */
static bool
is_zone_cut (const struct jl_roster *roster, const char *zone)
{
  uint64_t zone_heard_us = 0;
  unsigned failed = 0;

  for (guint i = 0; i < roster->members->len; i++)
    {
      const struct jl_member *member = g_ptr_array_index (roster->members, i);

      if (strcmp (member->zone, zone) == 0)
        zone_heard_us = MAX (zone_heard_us, heard_us (member));
    }
  for (guint i = 0; i < roster->members->len; i++)
    {
      const struct jl_member *member = g_ptr_array_index (roster->members, i);

      if (strcmp (member->zone, zone) == 0 && member->failed_us > zone_heard_us)
        failed++;
    }
  return failed >= CUT_FAILURES_MIN;
}

void
jl_roster_note_failure (struct jl_roster *roster,
                        struct jl_member *member,
                        uint64_t now_us)
{
  member->failed_us = now_us;
  if (strcmp (member->zone, roster->local_zone) == 0
      || !is_zone_cut (roster, member->zone))
    return;
  for (guint i = 0; i < roster->members->len; i++)
    {
      struct jl_member *other = g_ptr_array_index (roster->members, i);

      if (strcmp (other->zone, member->zone) == 0)
        other->failed_us = now_us;
    }
}

/* Sums up the arrivals at all daemons beside targets of @service. */
static struct jl_arrivals
service_arrivals (const struct jl_roster *roster,
                  const char *service,
                  uint64_t now_us)
{
  struct jl_arrivals sum = { 0 };

  for (guint i = 0; i < roster->members->len; i++)
    {
      const struct jl_member *member = g_ptr_array_index (roster->members, i);

      if (strcmp (member->service, service) != 0
          || !jl_member_is_alive (member, now_us))
        continue;
      for (unsigned j = 0; j < member->arrivals.count; j++)
        jl_arrivals_add (&sum, member->arrivals.list[j].route_key,
                         member->arrivals.list[j].count);
    }
  return sum;
}

static bool
is_first_of_service (const struct jl_roster *roster, guint index)
{
  const struct jl_member *member = g_ptr_array_index (roster->members, index);

  for (guint i = 0; i < index; i++)
    {
      const struct jl_member *other = g_ptr_array_index (roster->members, i);

      if (strcmp (other->service, member->service) == 0)
        return false;
    }
  return true;
}

bool
jl_roster_is_call_route (const struct jl_roster *roster,
                         uint32_t route_key,
                         uint64_t now_us)
{
  for (guint i = 0; i < roster->members->len; i++)
    {
      const struct jl_member *member = g_ptr_array_index (roster->members, i);
      struct jl_arrivals arrivals;

      if (!is_first_of_service (roster, i))
        continue;
      arrivals = service_arrivals (roster, member->service, now_us);
      if (jl_arrivals_is_route_absent (&arrivals, route_key))
        return true;
    }
  return false;
}

unsigned
jl_roster_alive_count (const struct jl_roster *roster, uint64_t now_us)
{
  unsigned count = 0;

  for (guint i = 0; i < roster->members->len; i++)
    if (jl_member_is_alive (g_ptr_array_index (roster->members, i), now_us))
      count++;
  return count;
}

uint32_t
jl_member_target_key (const struct jl_member *member)
{
  if (member->target_key != 0)
    return member->target_key;
  return XXH32 (member->target, strlen (member->target),
                jl_name_key (member->name));
}

bool
jl_member_has_departed (const struct jl_member *member, uint32_t target_key)
{
  for (unsigned i = 0; target_key != 0 && i < JL_MEMBER_DEPARTED_MAX; i++)
    if (member->departed_keys[i] == target_key)
      return true;
  return false;
}

void
jl_member_add_departed (struct jl_member *member, uint32_t target_key)
{
  if (target_key == 0 || jl_member_has_departed (member, target_key))
    return;
  member->serving_key = 0;
  member->departed_keys[member->departed_next] = target_key;
  member->departed_next = (member->departed_next + 1) % JL_MEMBER_DEPARTED_MAX;
}
