#ifndef JACKDAWLADDER_POLICY_API_KEY_H
#define JACKDAWLADDER_POLICY_API_KEY_H

/**
 * DOC: The API key in the head of a request.
 */

#include "jackdawladder/customers.h"
#include "jackdawladder/head.h"

/* Header field with the API key of a request. */
#define JL_AUTHORIZATION_FIELD "Authorization"
/* Authentication scheme of API keys. */
#define JL_API_KEY_SCHEME "Bearer"

/**
 * enum jl_identification - result of the identification of a request
 * @JL_IDENTITY_KNOWN: the API key belongs to a customer
 * @JL_IDENTITY_NO_KEY: there is no Authorization field
 * @JL_IDENTITY_MALFORMED: several Authorization fields, another scheme, or an
 *                         empty key
 * @JL_IDENTITY_UNKNOWN_KEY: no customer holds the API key
 * @JL_IDENTITY_STALE: the configuration is too old to identify a customer, see
 *                     strict_revoke
 */
enum jl_identification
{
  JL_IDENTITY_KNOWN,
  JL_IDENTITY_NO_KEY,
  JL_IDENTITY_MALFORMED,
  JL_IDENTITY_UNKNOWN_KEY,
  JL_IDENTITY_STALE,
  JL_IDENTITY_COUNT,
};

/**
 * jl_identity_name - returns the name of a result, for logs and metrics
 */
const char *jl_identity_name (enum jl_identification identity);

/**
 * jl_identity_find - finds the customer whose API key a request carries
 * @customer: receives the customer, NULL if none is known
 */
enum jl_identification jl_identity_find (const struct jl_customers *customers,
                                         const struct jl_head *head,
                                         const struct jl_customer **customer);

#endif
