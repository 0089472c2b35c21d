/**
 * DOC: Claims of callers' idempotency keys in the platform's table.
 *
 * The value of a claim's row is the ticket, and the row is never replaced or
 * deleted. Therefore an insert whose response was lost can be repeated safely.
 */

#include "jackdawladder/platform.h"

#include <inttypes.h>

/* Limit on inserts; the row is read back after an insert of unknown outcome. */
#define CLAIM_ATTEMPT_MAX 3

static bool
read_owner (struct jl_platform *platform,
            const char *key,
            struct jl_ticket *owner,
            GError **error)
{
  g_autofree char *value = jl_platform_read (platform, key, NULL, error);

  if (value == NULL)
    return false;
  if (jl_ticket_parse (value, owner))
    return true;
  g_set_error (error, JL_PLATFORM_ERROR, JL_PLATFORM_ERROR_REFUSED,
               "platform: malformed claim row");
  return false;
}

/*
 * Inserts the claim once and reads its owner if the insert failed. The error
 * JL_PLATFORM_ERROR_ABSENT means that the insert can be repeated.
 */
static bool
try_claim (struct jl_platform *platform,
           const char *key,
           struct jl_ticket ticket,
           struct jl_ticket *owner,
           GError **error)
{
  char value[JL_ID_TEXT_SIZE];
  GError *cause = NULL;

  jl_ticket_format (ticket, value);
  if (jl_platform_insert (platform, key, value, &cause))
    {
      *owner = ticket;
      return true;
    }
  if (!g_error_matches (cause, JL_PLATFORM_ERROR, JL_PLATFORM_ERROR_CONFLICT)
      && !g_error_matches (cause, JL_PLATFORM_ERROR, JL_PLATFORM_ERROR_UNKNOWN))
    {
      g_propagate_error (error, cause);
      return false;
    }
  g_error_free (cause);
  return read_owner (platform, key, owner, error);
}

bool
jl_platform_claim (struct jl_platform *platform,
                   uint64_t key_hash,
                   struct jl_ticket ticket,
                   struct jl_ticket *owner,
                   GError **error)
{
  g_autofree char *key
      = g_strdup_printf ("%s%016" PRIx64, JL_PLATFORM_CLAIM_PREFIX, key_hash);
  g_autoptr (GError) cause = NULL;

  for (int i = 0; i < CLAIM_ATTEMPT_MAX; i++)
    {
      g_clear_error (&cause);
      if (try_claim (platform, key, ticket, owner, &cause))
        return true;
      if (!g_error_matches (cause, JL_PLATFORM_ERROR, JL_PLATFORM_ERROR_ABSENT))
        break;
    }
  g_propagate_error (error, g_steal_pointer (&cause));
  return false;
}
