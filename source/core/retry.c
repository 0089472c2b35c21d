/**
 * DOC: Retry tokens of a call tree, and the retry budget of each service.
 */

#include "retry.h"

/* Cost of a retry; a first attempt earns retry_percent hundredths. */
#define RETRY_COST_HUNDREDTHS 100
/* Maximum number of retries that the budget of a service holds. */
#define BUDGET_RETRIES_MAX 10
/* Maximum attempts of a call in forward mode, which has no retry tokens. */
#define FORWARD_ATTEMPTS_MAX 3

struct jl_retry
{
  uint32_t budget_hundredths[JL_SERVICE_MAX];
};

struct jl_retry *
jl_retry_new (struct jl_core *core G_GNUC_UNUSED)
{
  struct jl_retry *retry = g_new0 (struct jl_retry, 1);

  for (size_t i = 0; i < JL_SERVICE_MAX; i++)
    retry->budget_hundredths[i] = BUDGET_RETRIES_MAX * RETRY_COST_HUNDREDTHS;
  return retry;
}

void
jl_retry_drop (struct jl_retry *retry)
{
  g_free (retry);
}

/**
 * struct pool - retry tokens that a call uses: its parent's tokens, or its own
 * if it has no parent
 * @left: tokens that can be lent or spent
 * @lent: tokens lent to attempts in progress
 * @initial: number of tokens at the start
 */
struct pool
{
  uint32_t *left;
  uint32_t *lent;
  uint32_t initial;
};

static struct pool
token_pool (struct jl_call *call)
{
  struct jl_work *parent = call->parent;

  if (parent != NULL)
    return (struct pool){ &parent->tokens, &parent->tokens_lent,
                          parent->tokens_initial };
  return (struct pool){ &call->tokens, &call->tokens_lent,
                        call->tokens_initial };
}

static void
check_pool (struct pool pool)
{
  JL_INVARIANT (*pool.left + *pool.lent <= pool.initial,
                "the number of retry tokens never grows");
}

uint32_t
jl_retry_tokens_left (const struct jl_call *call)
{
  return call->parent != NULL ? call->parent->tokens : call->tokens;
}

uint32_t
jl_retry_lend (struct jl_core *core G_GNUC_UNUSED, struct jl_call *call)
{
  struct pool pool = token_pool (call);
  uint32_t lent = (*pool.left + 1) / 2;

  *pool.left -= lent;
  *pool.lent += lent;
  call->attempt_tokens = lent;
  check_pool (pool);
  return lent;
}

void
jl_retry_return (struct jl_core *core G_GNUC_UNUSED,
                 struct jl_call *call,
                 uint32_t tokens)
{
  struct pool pool = token_pool (call);

  JL_INVARIANT (*pool.lent >= call->attempt_tokens,
                "no more tokens are returned than were lent");
  *pool.lent -= call->attempt_tokens;
  *pool.left += MIN (tokens, call->attempt_tokens);
  call->attempt_tokens = 0;
  check_pool (pool);
}

void
jl_retry_earn_budget (struct jl_core *core, uint32_t service)
{
  uint32_t *budget_hundredths = &core->retry->budget_hundredths[service];

  if (core->config == NULL || service >= core->config->service_count)
    return;
  *budget_hundredths
      = MIN (*budget_hundredths + core->config->services[service].retry_percent,
             BUDGET_RETRIES_MAX * RETRY_COST_HUNDREDTHS);
}

bool
jl_retry_spend (struct jl_core *core, struct jl_call *call)
{
  uint32_t service = call->config->kinds[call->kind].service;
  uint32_t *budget_hundredths = &core->retry->budget_hundredths[service];
  struct pool pool = token_pool (call);

  if (core->options.mode == JL_CORE_FORWARD)
    return call->sends < FORWARD_ATTEMPTS_MAX;
  if (JL_SWITCHED_OFF (core, JL_MECHANISM_TOKENS))
    return true;
  if (*pool.left == 0)
    return false;
  if (call->last_reason != JL_REASON_OVERLOAD)
    {
      if (*budget_hundredths < RETRY_COST_HUNDREDTHS)
        return false;
      *budget_hundredths -= RETRY_COST_HUNDREDTHS;
    }
  (*pool.left)--;
  return true;
}
