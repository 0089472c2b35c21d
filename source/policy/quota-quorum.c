/**
 * DOC: Which part of a zone's usage caps a daemon may issue.
 */

#include "policy/quota-quorum.h"

#include <string.h>
#include <xxhash.h>

/* Time between two confirmations, and for an issuer that more than half of the
 * members support: the short lease goes on for some time if they become fewer.
 */
#define CONFIRM_US (JL_QUOTA_LEASE_SHORT_US / 3)
#define CONFIRM_MAJORITY_US (3 * JL_USEC_PER_SEC)
/* Time for which a daemon that fewer than half of the members support leaves a
 * change of the list to others. */
#define FEW_WAIT_US (3 * JL_USEC_PER_SEC)
/* Time after which the challenge of another daemon, which may have ended, is
 * replaced. */
#define CHALLENGE_MAX_US (2 * JL_QUOTA_LEASE_LONG_US)

void
jl_quota_quorum_init (struct jl_quota_quorum *quorum,
                      uint32_t self,
                      uint64_t started_us)
{
  *quorum = (struct jl_quota_quorum){ .self = self, .started_us = started_us };
}

struct jl_quota_list_id
jl_quota_members_id (const struct jl_quota_members *list)
{
  struct jl_quota_list_id id = { .version = list->version };

  id.tag = XXH32 (list->keys, list->count * sizeof list->keys[0],
                  (uint32_t)list->version);
  id.tag = XXH32 (list->previous,
                  list->previous_count * sizeof list->previous[0], id.tag);
  return id;
}

bool
jl_quota_list_id_equal (struct jl_quota_list_id a, struct jl_quota_list_id b)
{
  return a.version == b.version && a.tag == b.tag;
}

/* Whether this daemon can rely on a list that was current at @as_of_us. */
static bool
can_adopt (const struct jl_quota_quorum *quorum,
           uint64_t version,
           uint64_t as_of_us)
{
  if (quorum->adopted.version == 0)
    return version > 0 && as_of_us >= quorum->started_us;
  return version > quorum->adopted.version;
}

static void
adopt (struct jl_quota_quorum *quorum,
       struct jl_quota_list_id id,
       uint64_t as_of_us)
{
  if (can_adopt (quorum, id.version, as_of_us))
    quorum->adopted = id;
}

void
jl_quota_quorum_hear (struct jl_quota_quorum *quorum,
                      struct jl_quota_list_id id,
                      uint64_t as_of_us)
{
  adopt (quorum, id, as_of_us);
  if (jl_quota_list_id_equal (id, quorum->id))
    quorum->confirmed_us = MAX (quorum->confirmed_us, as_of_us);
}

/* Notes the challenge in the row. Returns whether it is that of another daemon.
 */
static bool
note_challenge (struct jl_quota_quorum *quorum,
                uint32_t challenger,
                uint64_t now_us)
{
  bool own = challenger == quorum->self;
  uint32_t other = own ? 0 : challenger;

  if (!own)
    quorum->challenged_us = 0;
  else if (quorum->challenged_us == 0)
    quorum->challenged_us = now_us;
  if (other != quorum->challenger)
    quorum->challenger_us = now_us;
  quorum->challenger = other;
  return other != 0;
}

void
jl_quota_quorum_learn (struct jl_quota_quorum *quorum,
                       const struct jl_quota_members *list,
                       uint64_t as_of_us,
                       uint64_t now_us)
{
  struct jl_quota_list_id id = jl_quota_members_id (list);

  adopt (quorum, id, as_of_us);
  if (!jl_quota_list_id_equal (id, quorum->adopted))
    return;
  if (!jl_quota_list_id_equal (id, quorum->id))
    {
      quorum->list = *list;
      quorum->list.challenger = 0;
      quorum->id = id;
      quorum->known_us = now_us;
      quorum->confirmed_us = 0;
      quorum->few_us = 0;
      quorum->challenged_us = 0;
      quorum->challenger = 0;
    }
  if (as_of_us != 0 && !note_challenge (quorum, list->challenger, now_us))
    quorum->confirmed_us = MAX (quorum->confirmed_us, as_of_us);
}

static bool
contains (const uint32_t *keys, unsigned count, uint32_t key)
{
  for (unsigned i = 0; i < count; i++)
    if (keys[i] == key)
      return true;
  return false;
}

bool
jl_quota_quorum_has (const struct jl_quota_quorum *quorum, uint32_t key)
{
  return contains (quorum->list.keys, quorum->list.count, key);
}

/* Whether @supporters are more than half of the members. */
static bool
is_majority (const struct jl_quota_quorum *quorum, unsigned supporters)
{
  return 2 * supporters > quorum->list.count;
}

/* Counts the members that support this daemon.
 * @adopted: only those that have adopted the list */
static unsigned
count_members (const struct jl_quota_quorum *quorum,
               const struct jl_quota_support *support,
               bool adopted)
{
  const struct jl_quota_members *list = &quorum->list;
  unsigned count = 0;

  for (unsigned i = 0; i < list->count; i++)
    count += support->supports (support->context, list->keys[i], adopted);
  return count;
}

/* Counts the supporters that are in the list before, also if they are in the
 * new one no more.
 * @adopted: only those that have adopted the list */
static unsigned
count_previous (const struct jl_quota_quorum *quorum,
                const struct jl_quota_support *support,
                bool adopted)
{
  const struct jl_quota_members *list = &quorum->list;
  unsigned count = 0;

  for (unsigned i = 0; i < list->previous_count; i++)
    count += support->supports (support->context, list->previous[i], adopted);
  return count;
}

/* Whether issuers under the list before may go on.
 * @adopted: also later, when supporters of this daemon may support others */
static bool
may_follow_previous (const struct jl_quota_quorum *quorum,
                     const struct jl_quota_support *support,
                     bool adopted,
                     uint64_t now_us)
{
  unsigned previous = quorum->list.previous_count;

  if (previous == 0 || now_us >= quorum->known_us + JL_QUOTA_LEASE_LONG_US)
    return false;
  return now_us < quorum->known_us + JL_QUOTA_LEASE_SHORT_US
         || 2 * count_previous (quorum, support, adopted) < previous;
}

static uint64_t
lease_us (const struct jl_quota_quorum *quorum, unsigned supporters)
{
  return is_majority (quorum, supporters) ? JL_QUOTA_LEASE_LONG_US
                                          : JL_QUOTA_LEASE_SHORT_US;
}

double
jl_quota_quorum_part (const struct jl_quota_quorum *quorum,
                      const struct jl_quota_support *support,
                      uint64_t now_us)
{
  unsigned supporters = count_members (quorum, support, false);
  double part;
  double previous;

  if (supporters == 0 || !jl_quota_list_id_equal (quorum->id, quorum->adopted)
      || quorum->confirmed_us == 0
      || now_us >= quorum->confirmed_us + lease_us (quorum, supporters))
    return 0;
  part = (double)supporters / quorum->list.count;
  if (!may_follow_previous (quorum, support, false, now_us))
    return part;
  previous = (double)count_previous (quorum, support, false)
             / quorum->list.previous_count;
  return MIN (part, previous);
}

uint64_t
jl_quota_quorum_confirm_due_us (const struct jl_quota_quorum *quorum,
                                const struct jl_quota_support *support)
{
  unsigned supporters = count_members (quorum, support, false);

  return quorum->confirmed_us
         + (is_majority (quorum, supporters) ? CONFIRM_MAJORITY_US
                                             : CONFIRM_US);
}

static unsigned
count_here (const struct jl_quota_quorum *quorum,
            const uint32_t *here,
            unsigned here_count)
{
  unsigned count = 0;

  for (unsigned i = 0; i < here_count; i++)
    count += jl_quota_quorum_has (quorum, here[i]);
  return count;
}

/* Whether at least half of the members support this daemon. */
static bool
are_enough (struct jl_quota_quorum *quorum,
            const struct jl_quota_support *support,
            uint64_t now_us)
{
  bool enough = 2 * count_members (quorum, support, true) >= quorum->list.count;

  if (enough)
    quorum->few_us = 0;
  else if (quorum->few_us == 0)
    quorum->few_us = now_us;
  return enough;
}

/* Whether to write or to use a challenge, as too few support this daemon. */
static bool
challenge (const struct jl_quota_quorum *quorum,
           uint64_t now_us,
           struct jl_quota_members *next)
{
  if (quorum->challenged_us != 0)
    {
      /* No issuer under an earlier list is left. */
      next->previous_count = 0;
      return now_us >= quorum->challenged_us + JL_QUOTA_LEASE_LONG_US;
    }
  *next = quorum->list;
  next->challenger = quorum->self;
  return now_us >= quorum->few_us + FEW_WAIT_US
         && (quorum->challenger == 0
             || now_us >= quorum->challenger_us + CHALLENGE_MAX_US);
}

/* Whether to remove the challenge of another daemon: an issuer is left. */
static bool
defend (const struct jl_quota_quorum *quorum,
        const struct jl_quota_support *support,
        struct jl_quota_members *next)
{
  if (quorum->challenger == 0 || count_members (quorum, support, false) == 0)
    return false;
  *next = quorum->list;
  return true;
}

/* Makes the list of those that are here. One that joins is in it once it
 * supports this daemon, since the part of that would shrink before. */
static void
make_list (const struct jl_quota_quorum *quorum,
           const struct jl_quota_support *support,
           const uint32_t *here,
           unsigned here_count,
           struct jl_quota_members *next)
{
  const struct jl_quota_members *list = &quorum->list;

  next->version = quorum->adopted.version + 1;
  next->count = 0;
  for (unsigned i = 0; i < here_count && next->count < JL_QUOTA_MEMBERS_MAX;
       i++)
    if (list->version == 0 || jl_quota_quorum_has (quorum, here[i])
        || here[i] == quorum->self
        || support->supports (support->context, here[i], true))
      next->keys[next->count++] = here[i];
  next->challenger = 0;
  next->previous_count = list->count;
  memcpy (next->previous, list->keys, list->count * sizeof list->keys[0]);
}

bool
jl_quota_quorum_next (struct jl_quota_quorum *quorum,
                      const struct jl_quota_support *support,
                      const uint32_t *here,
                      unsigned here_count,
                      unsigned known_count,
                      uint64_t now_us,
                      struct jl_quota_members *next)
{
  const struct jl_quota_members *list = &quorum->list;
  unsigned kept = count_here (quorum, here, here_count);

  make_list (quorum, support, here, here_count, next);
  if (quorum->adopted.version == 0)
    return 2 * here_count > known_count;
  if (!jl_quota_list_id_equal (quorum->id, quorum->adopted))
    return false;
  if (!are_enough (quorum, support, now_us) && challenge (quorum, now_us, next))
    return true;
  if (defend (quorum, support, next))
    return true;
  return quorum->few_us == 0
         && (kept < list->count || next->count != list->count)
         && now_us >= quorum->known_us + JL_QUOTA_LEASE_SHORT_US
         && !may_follow_previous (quorum, support, true, now_us);
}
