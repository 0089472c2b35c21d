/**
 * DOC: The API key in the head of a request.
 */

#include "policy/api-key.h"

#include <string.h>

const char *
jl_identity_name (enum jl_identification identity)
{
  static const char *const names[] = {
    [JL_IDENTITY_KNOWN] = "known",
    [JL_IDENTITY_NO_KEY] = "no-key",
    [JL_IDENTITY_MALFORMED] = "malformed",
    [JL_IDENTITY_UNKNOWN_KEY] = "unknown-key",
    [JL_IDENTITY_STALE] = "stale-configuration",
  };

  return names[identity];
}

/* Returns the API key in the value of an Authorization field and sets *@length,
 * NULL if the value is malformed. */
static const char *
find_api_key (const char *value, size_t *length)
{
  size_t scheme_length = strlen (JL_API_KEY_SCHEME);

  if (g_ascii_strncasecmp (value, JL_API_KEY_SCHEME, scheme_length) != 0)
    return NULL;
  value += scheme_length;
  if (*value != ' ' && *value != '\t')
    return NULL;
  value += strspn (value, " \t");
  *length = strlen (value);
  while (*length > 0 && strchr (" \t", value[*length - 1]) != NULL)
    (*length)--;
  return *length > 0 ? value : NULL;
}

enum jl_identification
jl_identity_find (const struct jl_customers *customers,
                  const struct jl_head *head,
                  const struct jl_customer **customer)
{
  const char *value = jl_head_get (head, JL_AUTHORIZATION_FIELD);
  const char *api_key;
  size_t length = 0;

  *customer = NULL;
  if (value == NULL)
    return JL_IDENTITY_NO_KEY;
  if (jl_head_count (head, JL_AUTHORIZATION_FIELD) > 1)
    return JL_IDENTITY_MALFORMED;
  api_key = find_api_key (value, &length);
  if (api_key == NULL)
    return JL_IDENTITY_MALFORMED;
  if (customers != NULL)
    *customer = jl_customers_find_api_key (customers, api_key, length);
  return *customer != NULL ? JL_IDENTITY_KNOWN : JL_IDENTITY_UNKNOWN_KEY;
}
