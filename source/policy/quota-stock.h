#ifndef JACKDAWLADDER_POLICY_QUOTA_STOCK_H
#define JACKDAWLADDER_POLICY_QUOTA_STOCK_H

/**
 * DOC: A daemon's tokens of one customer, and what it may use while it reaches
 * no issuer: for a short time its own recent rate, then a floor.
 *
 * All daemons of a zone lose contact at about the same time, and the floor of
 * one daemon is a small part of a request. So each begins at a random fraction
 * of a token, and a token of the floor is lost unless it is used soon.
 */

#include "jackdawladder/base.h"

/* Number of lots of tokens with different times of expiry. */
#define JL_QUOTA_LOTS 8

/**
 * struct jl_quota_lot - tokens of one answer
 */
struct jl_quota_lot
{
  unsigned count;
  uint64_t expires_us;
};

/**
 * struct jl_quota_fallback - limits while no issuer is reachable
 * @lost_us: time at which contact was lost
 * @floor_rate: tokens a second of this daemon
 * @zone_daemons: number of daemons in the zone
 * @window_us: minimum time between two uses of the part of the zone's bucket
 */
struct jl_quota_fallback
{
  uint64_t lost_us;
  double floor_rate;
  unsigned zone_daemons;
  uint64_t window_us;
};

/**
 * struct jl_quota_stock - state of one customer at a daemon
 * @customer: key of the customer
 * @seen_us: time of its last request
 * @rate: requests a second, recently
 * @rate_us: time of @rate
 * @none_until_us: time until which the issuer has no token
 * @retry_us: end of the Retry-After of requests that are refused until then
 * @far: the zone's demand is far below its cap
 * @level: tokens that the issuer had at its last answer
 * @lost_us: time of the loss of contact that @used counts from
 * @head_us: time at which the part of the zone's bucket was last used
 * @head: tokens that were available at once, a fraction
 * @lost_rate: @rate at that time
 * @used: number of tokens since, including lost ones
 */
struct jl_quota_stock
{
  uint32_t customer;
  uint64_t seen_us;
  double rate;
  uint64_t rate_us;
  struct jl_quota_lot lots[JL_QUOTA_LOTS];
  uint64_t none_until_us;
  uint64_t retry_us;
  bool far;
  double level;
  uint64_t lost_us;
  uint64_t head_us;
  double head;
  double lost_rate;
  double used;
};

void jl_quota_stock_init (struct jl_quota_stock *stock,
                          uint32_t customer,
                          uint64_t now_us);

/**
 * jl_quota_stock_arrive - counts a request of the customer
 */
void jl_quota_stock_arrive (struct jl_quota_stock *stock, uint64_t now_us);

/**
 * jl_quota_stock_add - adds tokens of an answer
 * @asked_us: time at which they were requested; they were issued later
 */
void jl_quota_stock_add (struct jl_quota_stock *stock,
                         unsigned count,
                         uint64_t asked_us,
                         uint64_t now_us);

/**
 * jl_quota_stock_take - uses a token
 *
 * Return: false if there is none.
 */
bool jl_quota_stock_take (struct jl_quota_stock *stock, uint64_t now_us);

/**
 * jl_quota_stock_count - returns the number of tokens
 */
unsigned jl_quota_stock_count (const struct jl_quota_stock *stock,
                               uint64_t now_us);

/**
 * jl_quota_stock_wants - returns how many tokens to prefetch, 0 while the stock
 * suffices or for a customer with few requests here
 */
unsigned jl_quota_stock_wants (const struct jl_quota_stock *stock,
                               uint64_t now_us);

/**
 * jl_quota_stock_charged - notes that the issuer has charged the requests that
 * have run while it did not answer, so that its bucket may be used again when
 * it does not
 */
void jl_quota_stock_charged (struct jl_quota_stock *stock);

/**
 * jl_quota_stock_fall_back - decides on a request while no issuer is reachable
 * @draw: random number, uniform from 0 to 1
 */
bool jl_quota_stock_fall_back (struct jl_quota_stock *stock,
                               const struct jl_quota_fallback *fallback,
                               double draw,
                               uint64_t now_us);

/**
 * jl_quota_start_credit - returns the requests of a customer that a daemon runs
 * after its start until the first issuer answers
 * @rate: cap of the customer for the whole site
 * @daemons: number of daemons of the site
 * @draw: random number from 0 to 1, for the fraction of a request
 *
 * After a restart of all daemons of a zone nobody issues for nearly two
 * seconds. The credit of all daemons fits into what issuers do not issue then.
 */
unsigned jl_quota_start_credit (double rate, unsigned daemons, double draw);

#endif
