#ifndef JACKDAWLADDER_POLICY_QUOTA_QUORUM_H
#define JACKDAWLADDER_POLICY_QUOTA_QUORUM_H

/**
 * DOC: Which part of a zone's usage caps a daemon may issue.
 *
 * The daemons of a zone that count are the members of one list in the zone's
 * row of the store. It has a version, and changes only by a conditional write
 * of the row. A daemon issues, of the zone's shares, the part of the members
 * that support it. Each supports one daemon at a time, so the parts that are
 * issued under a version sum to one at most, whoever hears whom. A zone that is
 * split, or that has lost daemons, goes on in parts.
 *
 * Issuers may go on under the version before, since they cannot hear of the
 * new one. Leases bound that: an issuer needs a recent confirmation by the
 * store that its list is current. It is short if at most half of the members
 * support it, and long otherwise, so that a zone that the store cannot reach
 * goes on. Until these leases have ended, an issuer under the new version
 * counts its supporters among the members before, too:
 *
 * - within the short lease, its part is at most that of the members before that
 *   support it;
 * - after it, only an issuer with more than half of the members before can go
 *   on. There is none if half of them support this one; otherwise the bound
 *   stays until the long lease has ended.
 *
 * The next change waits until this bound is lifted for good, as half of the
 * members before have adopted the new version and support none under an older
 * one. So there are issuers under two versions at most.
 *
 * A list is changed by a daemon that half of its members support. If no daemon
 * has as many, one that wants to change the list first writes into the row that
 * it challenges it. An issuer that reads this has no confirmation until it has
 * removed the challenge by another write. One that stays for the long lease
 * shows that no issuer is left, and then the challenger replaces the list.
 */

#include "jackdawladder/base.h"

/* Maximum number of members of a list; other daemons of the zone do not count.
 */
#define JL_QUOTA_MEMBERS_MAX 128
/* Time after the last confirmation of the list for which an issuer goes on that
 * half of the members or fewer support, and for which any issuer does. */
#define JL_QUOTA_LEASE_SHORT_US (5 * JL_USEC_PER_SEC)
#define JL_QUOTA_LEASE_LONG_US (20 * JL_USEC_PER_SEC)

/**
 * struct jl_quota_members - list of the daemons of a zone that count
 * @version: rises with each change, 0 for no list
 * @keys: keys of the daemons' names
 * @previous: keys of the list before
 * @challenger: key of the daemon that challenges it, 0 for none
 */
struct jl_quota_members
{
  uint64_t version;
  unsigned count;
  uint32_t keys[JL_QUOTA_MEMBERS_MAX];
  unsigned previous_count;
  uint32_t previous[JL_QUOTA_MEMBERS_MAX];
  uint32_t challenger;
};

/**
 * struct jl_quota_list_id - identity of a list
 * @tag: hash of its content, since a store that was restored from a copy gives
 *       versions out again
 */
struct jl_quota_list_id
{
  uint64_t version;
  uint32_t tag;
};

/**
 * struct jl_quota_quorum - what a daemon knows of its zone's list
 * @self: key of this daemon
 * @started_us: start of the daemon; it does not know what it has supported
 *              before
 * @list: the newest list that is known, without a challenge
 * @id: identity of @list
 * @known_us: time since which it is known
 * @confirmed_us: time as of which it was the current one in the store, 0 for
 *                none
 * @adopted: identity of the newest list that is known to exist, of which the
 *           members may be unknown; this daemon supports under no other one
 * @few_us: time since which fewer than half of the members support this daemon,
 *          0 if more do
 * @challenged_us: time since which the row holds the challenge of this daemon,
 * 0 if it does not
 * @challenger: another daemon that challenges the list, 0 for none
 * @challenger_us: time since which that is known
 */
struct jl_quota_quorum
{
  uint32_t self;
  uint64_t started_us;
  struct jl_quota_members list;
  struct jl_quota_list_id id;
  uint64_t known_us;
  uint64_t confirmed_us;
  struct jl_quota_list_id adopted;
  uint64_t few_us;
  uint64_t challenged_us;
  uint32_t challenger;
  uint64_t challenger_us;
};

/**
 * struct jl_quota_support - who supports this daemon
 * @supports: whether the daemon with a key does; @adopted: only if it has
 *            adopted the list that this daemon uses
 */
struct jl_quota_support
{
  bool (*supports) (const void *context, uint32_t key, bool adopted);
  const void *context;
};

void jl_quota_quorum_init (struct jl_quota_quorum *quorum,
                           uint32_t self,
                           uint64_t started_us);

/**
 * jl_quota_members_id - returns the identity of a list
 */
struct jl_quota_list_id
jl_quota_members_id (const struct jl_quota_members *list);

bool jl_quota_list_id_equal (struct jl_quota_list_id a,
                             struct jl_quota_list_id b);

/**
 * jl_quota_quorum_learn - applies a list that the store, or an issuer of the
 * zone, has told
 * @as_of_us: time as of which it was the current one in the store, 0 if not
 *            known
 *
 * A list of an earlier version changes nothing. A daemon that knows none takes
 * one only if it was current after its start: it may have supported an issuer
 * under a later one before.
 */
void jl_quota_quorum_learn (struct jl_quota_quorum *quorum,
                            const struct jl_quota_members *list,
                            uint64_t as_of_us,
                            uint64_t now_us);

/**
 * jl_quota_quorum_hear - applies the identity of the list that an issuer uses
 * @as_of_us: time as of which it was the current one in the store, 0 if not
 *            known
 */
void jl_quota_quorum_hear (struct jl_quota_quorum *quorum,
                           struct jl_quota_list_id id,
                           uint64_t as_of_us);

/**
 * jl_quota_quorum_part - returns the part of the zone's shares that this daemon
 * may issue, from 0 to 1
 */
double jl_quota_quorum_part (const struct jl_quota_quorum *quorum,
                             const struct jl_quota_support *support,
                             uint64_t now_us);

/**
 * jl_quota_quorum_has - whether a daemon is a member
 */
bool jl_quota_quorum_has (const struct jl_quota_quorum *quorum, uint32_t key);

/**
 * jl_quota_quorum_next - decides whether to write the list anew: with other
 * members, or with a challenge or without one
 * @here: keys of the daemons of the zone that are heard, this one among them
 * @known_count: number of daemons of the zone that may be there; the first list
 *               needs more than half of them
 * @next: receives what to write
 */
bool jl_quota_quorum_next (struct jl_quota_quorum *quorum,
                           const struct jl_quota_support *support,
                           const uint32_t *here,
                           unsigned here_count,
                           unsigned known_count,
                           uint64_t now_us,
                           struct jl_quota_members *next);

/**
 * jl_quota_quorum_confirm_due_us - returns the time at which an issuer has to
 * ask the store again whether its list is current
 */
uint64_t
jl_quota_quorum_confirm_due_us (const struct jl_quota_quorum *quorum,
                                const struct jl_quota_support *support);

#endif
