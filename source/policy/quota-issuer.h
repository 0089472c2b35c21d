#ifndef JACKDAWLADDER_POLICY_QUOTA_ISSUER_H
#define JACKDAWLADDER_POLICY_QUOTA_ISSUER_H

/**
 * DOC: The issuer of a zone: support by the zone's daemons, and the buckets.
 *
 * A daemon issues the part of its zone's tokens that its support allows
 * (policy/quota-quorum.h). Each daemon supports at most one at a time
 * (policy/quota-vote.h). Support is counted from the time of this daemon's own
 * answer that the supporter returns, hence neither delays of datagrams nor a
 * suspended process lengthen it.
 *
 * A daemon that loses contact runs some requests without tokens for a short
 * time (policy/quota-stock.h). Once its support ends, the buckets withhold as
 * many tokens, since it may be cut off while this daemon still issues.
 */

#include "policy/quota-bucket.h"
#include "policy/quota-quorum.h"
#include "policy/quota-share.h"

/* Time after an answer for which a daemon that returns its stamp supports no
 * other issuer. */
#define JL_QUOTA_SUPPORT_US (1200 * JL_USEC_PER_MSEC)
/* Time after which the state of a customer without requests is dropped. */
#define JL_QUOTA_UNSEEN_US (60 * JL_USEC_PER_SEC)

/**
 * struct jl_quota_issuer - state of the issuer
 * @supporters: struct jl_quota_supporter by the daemon's key
 * @customers: struct jl_quota_account by the customer's key
 * @part: part of the zone's shares that this daemon issues
 * @active: this daemon issues, as @part is above 0
 * @since_us: time from which it issues, if @active
 * @issued: total of tokens issued
 * @refused: total of requests for a token that were refused
 */
struct jl_quota_issuer
{
  GHashTable *supporters;
  GHashTable *customers;
  double part;
  bool active;
  uint64_t since_us;
  uint64_t issued;
  uint64_t refused;
};

/**
 * struct jl_quota_supporter - a daemon that supports this one
 * @until_us: time until which it does
 * @list: list of the zone's daemons that it has adopted
 */
struct jl_quota_supporter
{
  uint64_t until_us;
  struct jl_quota_list_id list;
};

/**
 * struct jl_quota_account - a customer at the issuer
 * @demand: requests a second that asked for a token, recently
 * @steady: the same over a longer time
 * @begun_us: time since which @steady is known
 * @demand_us: time of @demand and @steady
 * @promised_us: time up to which tokens were promised by Retry-After
 * @seen_us: time of the last request for a token
 * @cap: cap at that time
 */
struct jl_quota_account
{
  struct jl_quota_bucket bucket;
  struct jl_quota_cap cap;
  double demand;
  double steady;
  uint64_t begun_us;
  uint64_t demand_us;
  uint64_t promised_us;
  uint64_t seen_us;
};

/**
 * struct jl_quota_grant - answer to a request for tokens
 * @granted: number of tokens
 * @none_us: time for which the bucket has no token after this answer
 * @wait_us: time after which a refused request finds a token, after those that
 *           were refused before
 * @far: the zone's demand is far below its cap
 * @level: tokens left
 */
struct jl_quota_grant
{
  unsigned granted;
  uint64_t none_us;
  uint64_t wait_us;
  bool far;
  double level;
};

void jl_quota_issuer_init (struct jl_quota_issuer *issuer);
void jl_quota_issuer_clear (struct jl_quota_issuer *issuer);

/**
 * jl_quota_issuer_support - counts a daemon as a supporter
 * @stamp_us: time of this daemon's own answer that the supporter has returned
 * @list: list of the zone's daemons that the supporter has adopted
 *
 * A daemon that has adopted a later list than this one, or none, is no
 * supporter.
 */
void jl_quota_issuer_support (struct jl_quota_issuer *issuer,
                              uint32_t daemon,
                              uint64_t stamp_us,
                              const struct jl_quota_quorum *quorum,
                              struct jl_quota_list_id list,
                              uint64_t now_us);

/**
 * struct jl_quota_zone - the daemons of the zone, as this one knows them
 * @quorum: the list of those that count
 * @known_count: number of those that have not left, with this one
 * @counts: whether the daemon with a key is one of them
 */
struct jl_quota_zone
{
  const struct jl_quota_quorum *quorum;
  unsigned known_count;
  bool (*counts) (const void *context, uint32_t key);
  const void *context;
};

/**
 * jl_quota_issuer_update - decides whether this daemon issues, and which part
 *
 * Has to be called before support is counted, so that a suspended process
 * notices that its support has ended.
 *
 * Return: whether it issues.
 */
bool jl_quota_issuer_update (struct jl_quota_issuer *issuer,
                             const struct jl_quota_zone *zone,
                             uint64_t now_us);

/**
 * jl_quota_issuer_next_list - decides whether to change the list of the zone's
 * daemons, see jl_quota_quorum_next()
 */
bool jl_quota_issuer_next_list (const struct jl_quota_issuer *issuer,
                                struct jl_quota_quorum *quorum,
                                const uint32_t *here,
                                unsigned here_count,
                                unsigned known_count,
                                uint64_t now_us,
                                struct jl_quota_members *next);

/**
 * jl_quota_issuer_confirm_due_us - returns the time at which this daemon has to
 * ask the store again whether its list is current
 */
uint64_t jl_quota_issuer_confirm_due_us (const struct jl_quota_issuer *issuer,
                                         const struct jl_quota_quorum *quorum);

/**
 * jl_quota_issuer_resign - ends issuing, before another daemon begins
 */
void jl_quota_issuer_resign (struct jl_quota_issuer *issuer);

/**
 * jl_quota_issuer_grant - takes up to @count tokens of a customer
 * @customer: key of the customer
 * @waiting: how many of them are for requests that wait
 *
 * A customer that was not seen has the tokens that its bucket would hold if it
 * had been empty when this daemon began to issue.
 */
struct jl_quota_grant jl_quota_issuer_grant (struct jl_quota_issuer *issuer,
                                             uint32_t customer,
                                             const struct jl_quota_cap *cap,
                                             unsigned count,
                                             unsigned waiting,
                                             uint64_t now_us);

/**
 * jl_quota_issuer_use - returns the demand of a customer in this zone
 * @rate: cap of the customer for the whole site
 *
 * Return: false if the demand is not known well enough yet.
 */
bool jl_quota_issuer_use (const struct jl_quota_issuer *issuer,
                          uint32_t customer,
                          double rate,
                          uint64_t now_us,
                          struct jl_quota_use *use);

/**
 * jl_quota_issuer_charge - takes tokens for requests that have run while this
 * issuer did not answer
 */
void jl_quota_issuer_charge (struct jl_quota_issuer *issuer,
                             uint32_t customer,
                             const struct jl_quota_cap *cap,
                             unsigned count,
                             uint64_t now_us);

/**
 * jl_quota_issuer_shortage - returns how many tokens to borrow from another
 * zone for a customer whose bucket runs empty, 0 for none
 *
 * Lent tokens leave one bucket before they enter another, so the sum of all
 * zones stays within the cap. They make up for random arrivals at customers
 * with small caps; a lasting difference of demand moves shares.
 */
unsigned jl_quota_issuer_shortage (struct jl_quota_issuer *issuer,
                                   uint32_t customer,
                                   const struct jl_quota_cap *cap,
                                   uint64_t now_us);

/**
 * jl_quota_issuer_lend - takes tokens for another zone out of a bucket that is
 * more than half full
 *
 * Return: the number of tokens, at most @wanted.
 */
unsigned jl_quota_issuer_lend (struct jl_quota_issuer *issuer,
                               uint32_t customer,
                               const struct jl_quota_cap *cap,
                               unsigned wanted,
                               uint64_t now_us);

/**
 * jl_quota_issuer_borrow - adds tokens that another zone has lent; those above
 * the depth are lost
 */
void jl_quota_issuer_borrow (struct jl_quota_issuer *issuer,
                             uint32_t customer,
                             const struct jl_quota_cap *cap,
                             unsigned count,
                             uint64_t now_us);

/**
 * jl_quota_issuer_expire - drops the state of customers that were not seen
 * @cap_of: returns the cap of a customer in this zone
 */
void jl_quota_issuer_expire (struct jl_quota_issuer *issuer,
                             struct jl_quota_cap (*cap_of) (const void *context,
                                                            uint32_t customer),
                             const void *context,
                             uint64_t now_us);

#endif
