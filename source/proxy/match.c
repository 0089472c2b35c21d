/**
 * DOC: Whether a response on the connection of a request belongs to it.
 */

#include "proxy/match.h"

#include "names.h"
#include "proxy/hooks.h"

#include <string.h>
#include <xxhash.h>

uint64_t
jl_match_hash (const char *id)
{
  return XXH3_64bits (id, strlen (id));
}

bool
jl_match_says_not_run (const struct jl_head *head)
{
  return jl_head_get (head, JL_HEADER_NOT_EXECUTED) != NULL
         || head->status == JL_STATUS_MISDIRECTED;
}

/* Whether a response says that another instance than the one that the request
 * names is at the other end of the connection, for which this holds as long as
 * the connection lasts. */
static bool
is_of_other_instance (const struct jl_work *work, const struct jl_head *head)
{
  const char *instance = jl_head_get (head, JL_HEADER_INSTANCE_ID);

  return head->status == JL_STATUS_MISDIRECTED && instance != NULL
         && jl_match_hash (instance) != work->target_hash;
}

enum jl_match
jl_match_response (const struct jl_work *work)
{
  const struct jl_head *head = jl_upstream_head (work->relay.upstream);
  const char *asked = jl_head_get (jl_request_head (work->relay.request),
                                   JL_HEADER_ATTEMPT_ID);
  const char *echoed = jl_head_get (head, JL_HEADER_ATTEMPT_ID);

  if (JL_TEST_DISABLED ("match") || asked == NULL)
    return JL_MATCH_OWN;
  if (echoed != NULL)
    return strcmp (asked, echoed) == 0 ? JL_MATCH_OWN : JL_MATCH_FOREIGN;
  if (!jl_match_says_not_run (head))
    return JL_MATCH_FOREIGN;
  if (is_of_other_instance (work, head))
    return JL_MATCH_OWN;
  return jl_upstream_is_reused (work->relay.upstream) ? JL_MATCH_UNKNOWN
                                                      : JL_MATCH_OWN;
}
