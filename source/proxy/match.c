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

/* Status codes from this on are errors. */
#define STATUS_ERROR_MIN 400

/*
 * Whether a statement that the request has not run can be believed. A sound
 * target makes it once, in an error that names one attempt at most. Other
 * statements may consist of parts of several responses, and so may all that
 * come after a response to another request.
 */
static bool
is_statement_sound (const struct jl_work *work, const struct jl_head *head)
{
  return head->status >= STATUS_ERROR_MIN
         && jl_head_count (head, JL_HEADER_ATTEMPT_ID) <= 1
         && jl_head_count (head, JL_HEADER_NOT_EXECUTED) <= 1
         && jl_head_count (head, JL_HEADER_INSTANCE_ID) <= 1
         && !jl_upstream_has_skipped (work->relay.upstream);
}

/* Whether a response that echoes identifiers names the attempt and no other. */
static bool
names_only (const struct jl_head *head, const char *asked)
{
  for (size_t i = 0; i < head->fields->len; i++)
    if (g_ascii_strcasecmp (jl_head_name (head, i), JL_HEADER_ATTEMPT_ID) == 0
        && strcmp (jl_head_value (head, i), asked) != 0)
      return false;
  return true;
}

enum jl_match
jl_match_response (const struct jl_work *work)
{
  const struct jl_head *head = jl_upstream_head (work->relay.upstream);
  const char *asked = jl_head_get (jl_request_head (work->relay.request),
                                   JL_HEADER_ATTEMPT_ID);
  const char *echoed = jl_head_get (head, JL_HEADER_ATTEMPT_ID);

  if (JL_TEST_DISABLED ("match"))
    return JL_MATCH_OWN;
  if (asked != NULL && echoed != NULL && !names_only (head, asked))
    return JL_MATCH_FOREIGN;
  if (jl_match_says_not_run (head) && !is_statement_sound (work, head))
    return JL_MATCH_UNKNOWN;
  if (asked == NULL || echoed != NULL)
    return JL_MATCH_OWN;
  if (!jl_match_says_not_run (head))
    return JL_MATCH_FOREIGN;
  if (is_of_other_instance (work, head))
    return JL_MATCH_OWN;
  return jl_upstream_is_reused (work->relay.upstream) ? JL_MATCH_UNKNOWN
                                                      : JL_MATCH_OWN;
}

uint64_t
jl_match_attempt_mark (const struct jl_work *work)
{
  const char *id = jl_head_get (jl_request_head (work->relay.request),
                                JL_HEADER_ATTEMPT_ID);

  return id != NULL ? jl_match_hash (id) : 0;
}

void
jl_match_mark_refused (struct jl_work *work)
{
  bool named = jl_head_get (jl_upstream_head (work->relay.upstream),
                            JL_HEADER_ATTEMPT_ID)
               != NULL;
  uint64_t mark = jl_match_attempt_mark (work);

  jl_refused_add (&work->proxy->refused, mark);
  jl_upstream_mark (work->relay.upstream, named ? mark : 0);
}

bool
jl_match_needs_new_conn (const struct jl_work *work)
{
  uint64_t mark = jl_match_attempt_mark (work);

  return mark == 0 || jl_refused_has (&work->proxy->refused, mark);
}
