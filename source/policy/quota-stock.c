/**
 * DOC: A daemon's tokens of one customer, and what it may use while it reaches
 * no issuer.
 */

#include "policy/quota-stock.h"

#include "policy/quota-bucket.h"

#include <math.h>
#include <string.h>

/* Time over which the rate of requests is averaged. */
#define RATE_US (2 * JL_USEC_PER_SEC)
/* Minimum rate for which tokens are prefetched. Below it so many tokens would
 * expire unused that customers below their cap were refused. */
#define PREFETCH_RATE_MIN 24.0
/* Time for which prefetched tokens suffice, and the time below which more are
 * requested. */
#define STOCK_S 0.1
#define STOCK_LOW_S 0.05
/* Time for which a daemon goes on with its own rate, and the factor. */
#define GRACE_US (2 * JL_USEC_PER_SEC)
#define GRACE_RATIO 1.25
/* Credit of all daemons together after their start: the cap of this time, and a
 * number of requests. */
#define START_CREDIT_S 1.6
#define START_CREDIT 2.0
/* Time for which a token of the floor may be used. */
#define FLOOR_VALID_US (1 * JL_USEC_PER_SEC)

void
jl_quota_stock_init (struct jl_quota_stock *stock,
                     uint32_t customer,
                     uint64_t now_us)
{
  memset (stock, 0, sizeof *stock);
  stock->customer = customer;
  stock->seen_us = now_us;
  stock->rate_us = now_us;
}

static double
rate_at (const struct jl_quota_stock *stock, uint64_t now_us)
{
  return stock->rate * exp (-(double)(now_us - stock->rate_us) / RATE_US);
}

void
jl_quota_stock_arrive (struct jl_quota_stock *stock, uint64_t now_us)
{
  stock->rate = rate_at (stock, now_us) + 1e6 / RATE_US;
  stock->rate_us = now_us;
  stock->seen_us = now_us;
}

void
jl_quota_stock_add (struct jl_quota_stock *stock,
                    unsigned count,
                    uint64_t asked_us,
                    uint64_t now_us)
{
  uint64_t expires_us = asked_us + JL_QUOTA_VALID_US;
  struct jl_quota_lot *lot = &stock->lots[0];

  if (count == 0 || expires_us <= now_us)
    return;
  /* The lot that expires first is replaced if none is free. */
  for (unsigned i = 0; i < JL_QUOTA_LOTS; i++)
    {
      if (stock->lots[i].count == 0 || stock->lots[i].expires_us <= now_us)
        {
          lot = &stock->lots[i];
          break;
        }
      if (stock->lots[i].expires_us < lot->expires_us)
        lot = &stock->lots[i];
    }
  lot->count = count;
  lot->expires_us = expires_us;
}

bool
jl_quota_stock_take (struct jl_quota_stock *stock, uint64_t now_us)
{
  struct jl_quota_lot *first = NULL;

  for (unsigned i = 0; i < JL_QUOTA_LOTS; i++)
    {
      struct jl_quota_lot *lot = &stock->lots[i];

      if (lot->count > 0 && now_us < lot->expires_us
          && (first == NULL || lot->expires_us < first->expires_us))
        first = lot;
    }
  if (first == NULL)
    return false;
  first->count--;
  return true;
}

unsigned
jl_quota_stock_count (const struct jl_quota_stock *stock, uint64_t now_us)
{
  unsigned count = 0;

  for (unsigned i = 0; i < JL_QUOTA_LOTS; i++)
    if (now_us < stock->lots[i].expires_us)
      count += stock->lots[i].count;
  return count;
}

unsigned
jl_quota_stock_wants (const struct jl_quota_stock *stock, uint64_t now_us)
{
  double rate = rate_at (stock, now_us);
  unsigned count;

  if (rate < PREFETCH_RATE_MIN || now_us < stock->none_until_us)
    return 0;
  count = jl_quota_stock_count (stock, now_us);
  return count < rate * STOCK_LOW_S ? (unsigned)(rate * STOCK_S) - count : 0;
}

/* Returns the tokens from the loss of contact until @time_us. */
static double
allowed_until (const struct jl_quota_stock *stock,
               const struct jl_quota_fallback *fallback,
               uint64_t time_us)
{
  double elapsed_s = (double)(time_us - fallback->lost_us) / 1e6;
  double grace_s = (double)GRACE_US / 1e6;
  double first_s = MIN (elapsed_s, grace_s);
  double grace_rate = MAX (fallback->floor_rate,
                           stock->far ? GRACE_RATIO * stock->lost_rate : 0.0);

  return stock->head + first_s * grace_rate
         + (elapsed_s - first_s) * fallback->floor_rate;
}

/* Begins to count the tokens of a loss of contact. */
static void
begin_fallback (struct jl_quota_stock *stock,
                const struct jl_quota_fallback *fallback,
                double draw,
                uint64_t now_us)
{
  bool used_lately = stock->head_us != 0
                     && now_us < stock->head_us + 2 * fallback->window_us;

  stock->lost_us = fallback->lost_us;
  stock->lost_rate = rate_at (stock, now_us);
  stock->used = 0;
  stock->head = draw;
  if (!stock->far || used_lately)
    return;
  stock->head_us = now_us;
  /* The daemons of the zone share what the issuer can not issue now. */
  stock->head += stock->level / MAX (1u, fallback->zone_daemons);
}

void
jl_quota_stock_charged (struct jl_quota_stock *stock)
{
  stock->head_us = 0;
}

bool
jl_quota_stock_fall_back (struct jl_quota_stock *stock,
                          const struct jl_quota_fallback *fallback,
                          double draw,
                          uint64_t now_us)
{
  if (stock->lost_us != fallback->lost_us)
    begin_fallback (stock, fallback, draw, now_us);
  if (now_us >= fallback->lost_us + FLOOR_VALID_US)
    stock->used = MAX (
        stock->used,
        floor (allowed_until (stock, fallback, now_us - FLOOR_VALID_US)));
  if (floor (allowed_until (stock, fallback, now_us)) < stock->used + 1)
    return false;
  stock->used++;
  return true;
}

unsigned
jl_quota_start_credit (double rate, unsigned daemons, double draw)
{
  double credit = (START_CREDIT_S * rate + START_CREDIT) / MAX (1u, daemons);

  return (unsigned)floor (credit + draw);
}
