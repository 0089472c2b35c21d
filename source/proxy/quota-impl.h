#ifndef JACKDAWLADDER_PROXY_QUOTA_IMPL_H
#define JACKDAWLADDER_PROXY_QUOTA_IMPL_H

/**
 * DOC: State of usage caps that the files source/proxy/quota*.c share.
 */

#include "policy/quota-issuer.h"
#include "policy/quota-stock.h"
#include "policy/quota-vote.h"
#include "proxy/quota.h"
#include "rpc/gen/beacon.h"

/* Number of requests for tokens whose time is remembered: those of more than
 * the time for which a token is valid. */
#define JL_QUOTA_ASKS 128

/**
 * enum jl_quota_state - what a daemon answers of itself, as in beacon.x
 */
enum jl_quota_state
{
  JL_QUOTA_INACTIVE = 0,
  JL_QUOTA_ISSUES = 1,
  JL_QUOTA_RESIGNED = 2,
  JL_QUOTA_ELECTED = 3,
};

/**
 * struct jl_quota_line - a customer at this daemon
 * @waiting: requests that wait for a token, of struct jl_call
 * @pending: in the list of customers that the next datagram asks for
 * @is_pending: it is in that list
 * @credit: requests that may run before the first issuer answers
 * @credited: @credit was set
 * @debt: requests that have run without a token since the issuer's last answer
 * @debt_us: time of the last of them
 * @debt_epoch: incarnation of the issuer that they are charged to
 * @prefetch_us: time of the last request for a prefetch that is unanswered, 0
 *               for none
 */
struct jl_quota_line
{
  struct jl_quota_stock stock;
  struct cds_list_head waiting;
  struct cds_list_head pending;
  bool is_pending;
  unsigned credit;
  bool credited;
  unsigned debt;
  uint64_t debt_us;
  uint64_t debt_epoch;
  uint64_t prefetch_us;
};

struct jl_quota_shares;

/**
 * struct jl_quota - usage caps
 * @lines: struct jl_quota_line by the customer's key
 * @pending: customers that the next datagram asks for
 * @site_version: version of the configuration that @has_customers is of
 * @has_customers: the configuration lists customers
 * @quorum: the list of the zone's daemons that count
 * @told_us: time at which the zone was last told that list
 * @sequence: number of the last request for tokens
 * @asked_us: times of the last requests, by their sequence number
 * @in_contact: the issuer answers
 * @met_issuer: an issuer has answered since the start
 * @lost_us: time at which it ceased to answer, or this daemon's start
 * @known_count: number of daemons of the zone that have not left
 * @zone_heard: another daemon of the zone was heard since the start
 * @zone_count: number of zones of the site that are known
 * @updated_us: time of the last update of @issuer
 * @expired_us: time at which old state was last dropped
 * @refused: requests refused with 429
 * @asked: tokens that this daemon requested
 * @fallback: requests that ran without a token, as no issuer answered
 * @datagrams: datagrams sent
 * @shares: shares of the local zone
 * @listed_us: time at which the zone was last told its shares
 * @exchanged_us: time of the last request to another zone
 * @lent_us: time of the last request that another zone has answered
 * @units_given: units of shares given to other zones
 * @tokens_lent: tokens lent to other zones
 * @tokens_borrowed: tokens that other zones have lent
 * @zone_bytes: bytes sent to other zones
 */
struct jl_quota
{
  struct jl_proxy *proxy;
  struct jl_quota_vote vote;
  struct jl_quota_issuer issuer;
  struct jl_quota_quorum quorum;
  uint64_t told_us;
  GHashTable *lines;
  struct cds_list_head pending;
  struct jl_timer tick_timer;
  struct jl_timer ask_timer;
  uint64_t site_version;
  bool has_customers;
  uint32_t sequence;
  uint64_t asked_us[JL_QUOTA_ASKS];
  bool in_contact;
  bool met_issuer;
  uint64_t lost_us;
  unsigned known_count;
  bool zone_heard;
  unsigned zone_count;
  uint64_t updated_us;
  uint64_t expired_us;
  uint64_t refused;
  uint64_t asked;
  uint64_t fallback;
  uint64_t datagrams;
  struct jl_quota_shares *shares;
  uint64_t listed_us;
  uint64_t exchanged_us;
  uint64_t lent_us;
  uint64_t units_given;
  uint64_t tokens_lent;
  uint64_t tokens_borrowed;
  uint64_t zone_bytes;
};

/* quota-issue.c */

/**
 * jl_quota_allowance_of - returns the parts of a customer's allowance
 *
 * Return: whether the configuration in force has the customer with a cap.
 */
bool jl_quota_allowance_of (const struct jl_quota *quota,
                            uint32_t customer,
                            struct jl_quota_allowance *allowance);

/**
 * jl_quota_cap_of - returns the cap of a customer's bucket at this daemon: the
 * part that it issues of what the local zone has
 */
struct jl_quota_cap jl_quota_cap_of (const struct jl_quota *quota,
                                     uint32_t customer);

/**
 * jl_quota_update_issuer - decides whether this daemon issues
 */
void jl_quota_update_issuer (struct jl_quota *quota, uint64_t now_us);

/**
 * jl_quota_list_candidates - lists the keys of the daemons of the zone that may
 * issue, in order
 *
 * Return: their number, at most @max.
 */
unsigned jl_quota_list_candidates (const struct jl_quota *quota,
                                   uint32_t *keys,
                                   unsigned max,
                                   uint64_t now_us);

/**
 * jl_quota_count_zone - counts the daemons and zones that are known
 */
void jl_quota_count_zone (struct jl_quota *quota, uint64_t now_us);

/**
 * jl_quota_serve - answers a request for tokens
 * @daemon: key of the daemon that asks
 * @list: list of the zone's daemons that it has adopted
 * @answer: receives the answer; its list of grants has BEACON_QUOTA_MAX places
 */
void jl_quota_serve (struct jl_quota *quota,
                     uint32_t daemon,
                     const struct beacon_quota_ask *ask,
                     struct jl_quota_list_id list,
                     struct beacon_quota_answer *answer,
                     uint64_t now_us);

/**
 * jl_quota_stands - whether this daemon issues, or would if it was supported
 */
bool jl_quota_stands (const struct jl_quota *quota, uint64_t now_us);

/**
 * jl_quota_next_list - decides whether to change the list of the zone's daemons
 */
bool jl_quota_next_list (struct jl_quota *quota,
                         uint64_t now_us,
                         struct jl_quota_members *next);

/**
 * jl_quota_expire_accounts - drops old state of the issuer
 */
void jl_quota_expire_accounts (struct jl_quota *quota, uint64_t now_us);

/* quota-share.c */

/**
 * jl_quota_share_of - returns the local zone's share of a customer's cap, from
 * 0 to 1
 */
double jl_quota_share_of (const struct jl_quota *quota, uint32_t customer);

/**
 * jl_quota_units_of - returns that share in units
 */
unsigned jl_quota_units_of (const struct jl_quota *quota, uint32_t customer);

/**
 * jl_quota_shares_tick - follows whether this daemon issues, and reads or
 * writes rows if that is due
 */
void jl_quota_shares_tick (struct jl_quota *quota, uint64_t now_us);

/**
 * jl_quota_shares_give - gives units to another zone
 * @zone: name of the zone
 * @list: units that it wants
 *
 * Does nothing while an earlier transaction is in progress; the zone asks
 * again.
 */
void jl_quota_shares_give (struct jl_quota *quota,
                           const char *zone,
                           const struct beacon_share *list,
                           unsigned count,
                           uint64_t now_us);

/**
 * jl_quota_shares_heard - applies a list of the issuer of the own zone
 */
void jl_quota_shares_heard (struct jl_quota *quota,
                            const struct beacon_share *list,
                            unsigned count,
                            uint64_t now_us);

/**
 * jl_quota_shares_moved - notes that the row of the own zone has changed
 */
void jl_quota_shares_moved (struct jl_quota *quota);

/**
 * jl_quota_shares_doubt - notes that the list of the zone's daemons may have
 * changed, or has to be confirmed
 */
void jl_quota_shares_doubt (struct jl_quota *quota, uint64_t now_us);

/**
 * jl_quota_shares_list - lists the shares that differ or have differed from the
 * equal ones
 *
 * Return: the number of entries; those from @first on are filled in, at most
 * @max.
 */
unsigned jl_quota_shares_list (const struct jl_quota *quota,
                               unsigned first,
                               struct beacon_share *list,
                               unsigned max);

/* quota-exchange.c */

/**
 * jl_quota_exchange_tick - sends lists to the zone and needs to other zones
 */
void jl_quota_exchange_tick (struct jl_quota *quota, uint64_t now_us);

/**
 * jl_quota_send_list - tells the zone its shares
 */
void jl_quota_send_list (struct jl_quota *quota, uint64_t now_us);

/**
 * jl_quota_send_moved - tells another zone that its row has changed
 */
void jl_quota_send_moved (struct jl_quota *quota, const char *zone);

/**
 * jl_quota_read_shares - reads a datagram with shares
 */
void jl_quota_read_shares (struct jl_quota *quota, XDR *xdr);

/* quota-members.c */

/* Units in which datagrams tell the part of the zone's shares that is issued.
 */
#define JL_QUOTA_MILLION 1e6

/**
 * jl_quota_millionths - returns a part in the units of datagrams
 */
unsigned jl_quota_millionths (double part);

/**
 * jl_quota_members_tick - tells the zone which of its daemons count, if this
 * one issues
 */
void jl_quota_members_tick (struct jl_quota *quota, uint64_t now_us);

/**
 * jl_quota_read_members - reads a datagram with such a list
 */
void jl_quota_read_members (struct jl_quota *quota, XDR *xdr);

/* quota-ask.c */

/**
 * jl_quota_ask - asks the issuer for what is pending, at least with a datagram
 * that supports it
 */
void jl_quota_ask (struct jl_quota *quota, uint64_t now_us);

/**
 * jl_quota_ask_soon - asks at once, or after the minimum interval
 */
void jl_quota_ask_soon (struct jl_quota *quota, struct jl_quota_line *line);

/* quota.c */

/**
 * jl_quota_answered - applies an answer
 * @daemon: key of the daemon that has sent it
 * @list: list of the zone's daemons that it uses
 */
void jl_quota_answered (struct jl_quota *quota,
                        uint32_t daemon,
                        const struct beacon_quota_answer *answer,
                        const struct beacon_quota_list *list,
                        uint64_t now_us);

#endif
