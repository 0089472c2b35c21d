/**
 * DOC: The daemons of the site, as far as this one knows them.
 */

#include "proxy/roster.h"

#include <string.h>
#include <xxhash.h>

/* Silence after which nothing is sent to a daemon: several beacons. */
#define SILENCE_US (2500 * JL_USEC_PER_MSEC)
#define FAR_SILENCE_US (5000 * JL_USEC_PER_MSEC)
/* Silence of a life after which another one with a lower epoch counts. */
#define QUIET_US (1500 * JL_USEC_PER_MSEC)
#define FAR_QUIET_US (3000 * JL_USEC_PER_MSEC)
/* How long a daemon is left out after a sending to it failed. */
#define AVOID_US (800 * JL_USEC_PER_MSEC)
/* Targets of a service in another zone that a daemon knows on average. */
#define FAR_KNOWN 6

void
jl_roster_init (struct jl_roster *roster, const char *own_zone)
{
  roster->members = g_ptr_array_new_with_free_func (g_free);
  roster->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  g_strlcpy (roster->own_zone, own_zone, sizeof roster->own_zone);
}

void
jl_roster_clear (struct jl_roster *roster)
{
  g_hash_table_destroy (roster->by_name);
  g_ptr_array_free (roster->members, TRUE);
}

struct jl_member *
jl_roster_member (struct jl_roster *roster, const char *name)
{
  struct jl_member *member = g_hash_table_lookup (roster->by_name, name);

  if (member != NULL)
    return member;
  member = g_new0 (struct jl_member, 1);
  g_strlcpy (member->name, name, sizeof member->name);
  member->room = 1;
  g_ptr_array_add (roster->members, member);
  g_hash_table_insert (roster->by_name, member->name, member);
  return member;
}

bool
jl_member_is_heard (const struct jl_member *member, uint64_t now_us)
{
  uint64_t silence_us = member->far ? FAR_SILENCE_US : SILENCE_US;

  return member->heard_us != 0 && now_us < member->heard_us + silence_us;
}

bool
jl_member_is_newer (const struct jl_member *member,
                    uint64_t epoch,
                    uint64_t sequence,
                    uint64_t now_us)
{
  uint64_t quiet_us = member->far ? FAR_QUIET_US : QUIET_US;

  if (epoch == member->epoch)
    return sequence > member->sequence;
  return epoch > member->epoch || now_us > member->heard_us + quiet_us;
}

bool
jl_member_takes_work (const struct jl_member *member,
                      const char *service,
                      uint64_t now_us)
{
  return member->state == JL_TARGET_UP && now_us >= member->avoid_until_us
         && strcmp (member->service, service) == 0
         && jl_member_is_heard (member, now_us);
}

void
jl_member_avoid (struct jl_member *member, uint64_t now_us)
{
  member->avoid_until_us = now_us + AVOID_US;
}

/* Arrivals at all daemons beside targets of @service. */
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
          || !jl_member_is_heard (member, now_us))
        continue;
      for (unsigned j = 0; j < member->arrivals.count; j++)
        jl_arrivals_add (&sum, member->arrivals.list[j].route,
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
jl_roster_is_call (const struct jl_roster *roster,
                   uint32_t route,
                   uint64_t now_us)
{
  for (guint i = 0; i < roster->members->len; i++)
    {
      const struct jl_member *member = g_ptr_array_index (roster->members, i);
      struct jl_arrivals arrivals;

      if (!is_first_of_service (roster, i))
        continue;
      arrivals = service_arrivals (roster, member->service, now_us);
      if (jl_arrivals_lack (&arrivals, route))
        return true;
    }
  return false;
}

unsigned
jl_roster_heard (const struct jl_roster *roster, uint64_t now_us)
{
  unsigned heard = 0;

  for (guint i = 0; i < roster->members->len; i++)
    if (jl_member_is_heard (g_ptr_array_index (roster->members, i), now_us))
      heard++;
  return heard;
}

/* Daemons in the zone of @self whose targets are of its service. */
static unsigned
near_of_service (const struct jl_roster *roster,
                 const struct jl_member *self,
                 uint64_t now_us)
{
  unsigned count = 0;

  for (guint i = 0; i < roster->members->len; i++)
    {
      const struct jl_member *member = g_ptr_array_index (roster->members, i);

      if (strcmp (member->zone, self->zone) == 0
          && strcmp (member->service, self->service) == 0
          && jl_member_is_heard (member, now_us))
        count++;
    }
  return count;
}

double
jl_roster_told_share (const struct jl_roster *roster,
                      const struct jl_member *self,
                      uint64_t now_us)
{
  unsigned count = near_of_service (roster, self, now_us);

  return count <= FAR_KNOWN ? 1 : (double)FAR_KNOWN / count;
}

bool
jl_member_tells (const struct jl_member *self,
                 const struct jl_member *peer,
                 double share)
{
  uint32_t draw
      = XXH32 (peer->name, strlen (peer->name), jl_name_key (self->name));

  return draw <= share * UINT32_MAX;
}
