/**
 * DOC: The daemons of the site, as far as this one knows them.
 */

#include "proxy/roster.h"

#include <string.h>

/* Silence after which nothing is sent to a daemon: several beacons. */
#define SILENCE_US (2500 * JL_USEC_PER_MSEC)
/* How long a daemon is left out after a sending to it failed. */
#define AVOID_US (800 * JL_USEC_PER_MSEC)

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
  return member->heard_us != 0 && now_us < member->heard_us + SILENCE_US;
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

unsigned
jl_roster_heard (const struct jl_roster *roster, uint64_t now_us)
{
  unsigned heard = 0;

  for (guint i = 0; i < roster->members->len; i++)
    if (jl_member_is_heard (g_ptr_array_index (roster->members, i), now_us))
      heard++;
  return heard;
}
