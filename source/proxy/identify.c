/**
 * DOC: Identifies the customer of a request by its API key.
 */

#include "proxy/identify.h"

#include <string.h>

#define STATUS_UNAUTHORIZED 401
/* Authentication scheme of API keys. */
#define SCHEME "Bearer"

/* Returns the API key of a request and sets *@length, NULL if there is none. A
 * request with several credentials has none. */
static const char *
find_api_key (const struct jl_head *head, size_t *length)
{
  const char *value = jl_head_get (head, JL_AUTHORIZATION_FIELD);

  if (value == NULL || jl_head_count (head, JL_AUTHORIZATION_FIELD) > 1
      || g_ascii_strncasecmp (value, SCHEME, strlen (SCHEME)) != 0)
    return NULL;
  value += strlen (SCHEME);
  if (*value != ' ' && *value != '\t')
    return NULL;
  value += strspn (value, " \t");
  *length = strcspn (value, " \t");
  if (*length == 0 || value[*length + strspn (value + *length, " \t")] != '\0')
    return NULL;
  return value;
}

bool
jl_identify_call (struct jl_call *call)
{
  const struct jl_customers *customers = call->site->customers;
  const char *api_key;
  size_t length = 0;

  if (customers == NULL)
    return true;
  api_key = find_api_key (jl_request_head (call->relay.request), &length);
  if (api_key != NULL)
    call->customer = jl_customers_find_api_key (customers, api_key, length);
  if (call->customer != NULL || call->route->public)
    return true;
  jl_record (JL_RECORD_FAILURE, JL_RECORD_REQUEST_UNAUTHORIZED,
             "id=%s route=%s reason=%s site=%" PRIx64,
             jl_call_attempt_id (call), call->route->name,
             api_key != NULL ? "unknown-key" : "no-key", call->site->version);
  call->proxy->counters.unauthorized++;
  jl_call_respond (call, STATUS_UNAUTHORIZED,
                   "WWW-Authenticate: " SCHEME "\r\n", "unauthorized");
  return false;
}
