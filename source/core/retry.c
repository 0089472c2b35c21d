/**
 * DOC: Retry tokens of a tree, and the retry ratio of a service.
 */

#include "retry.h"

/* A retry costs this much of a service's budget. */
#define RATIO_COST 100
/* Retries that a service may save up. */
#define RATIO_BURST 10

struct jl_retry
{
  uint32_t earned[JL_SERVICE_MAX];
};

struct jl_retry *
jl_retry_new (struct jl_core *core G_GNUC_UNUSED)
{
  struct jl_retry *retry = g_new0 (struct jl_retry, 1);

  for (size_t i = 0; i < JL_SERVICE_MAX; i++)
    retry->earned[i] = RATIO_BURST * RATIO_COST;
  return retry;
}

void
jl_retry_drop (struct jl_retry *retry)
{
  g_free (retry);
}

/* The tokens that a call draws on: its parent's, or its own. */
static uint32_t *
pool_of (struct jl_call *call)
{
  return call->parent != NULL ? &call->parent->tokens : &call->tokens;
}

uint32_t
jl_retry_left (const struct jl_call *call)
{
  return call->parent != NULL ? call->parent->tokens : call->tokens;
}

uint32_t
jl_retry_lend (struct jl_core *core G_GNUC_UNUSED, struct jl_call *call)
{
  uint32_t *pool = pool_of (call);
  uint32_t lent = (*pool + 1) / 2;

  *pool -= lent;
  call->lent = lent;
  return lent;
}

void
jl_retry_return (struct jl_core *core G_GNUC_UNUSED,
                 struct jl_call *call,
                 uint32_t tokens)
{
  *pool_of (call) += MIN (tokens, call->lent);
  call->lent = 0;
}

void
jl_retry_first (struct jl_core *core, uint32_t service)
{
  uint32_t *earned = &core->retry->earned[service];

  if (core->config == NULL || service >= core->config->service_count)
    return;
  *earned = MIN (*earned + core->config->services[service].retry_percent,
                 RATIO_BURST * RATIO_COST);
}

bool
jl_retry_spend (struct jl_core *core, struct jl_call *call)
{
  uint32_t service = call->config->kinds[call->kind].service;
  uint32_t *earned = &core->retry->earned[service];
  uint32_t *pool = pool_of (call);

  if (core->options.mode == JL_CORE_FORWARD)
    return call->sends < 3;
  if (*pool == 0 || *earned < RATIO_COST)
    return false;
  *earned -= RATIO_COST;
  (*pool)--;
  return true;
}
