#ifndef JACKDAWLADDER_CUSTOMERS_H
#define JACKDAWLADDER_CUSTOMERS_H

/**
 * DOC: The customers of a site and their API keys.
 *
 * Requests carry an API key that identifies the customer. Only digests of keys
 * are kept, and a lookup takes the same time for any number of customers.
 */

#include "jackdawladder/base.h"

/* Size of a customer's name in bytes, including the final NUL. */
#define JL_CUSTOMER_NAME_SIZE 208

/**
 * struct jl_customer - one customer
 * @key: digest of the name, equal in all versions of the configuration
 * @rank: priority; 0 is the most important
 * @rate: usage cap in requests a second, 0 for no cap
 * @burst: requests that may come at once in addition
 */
struct jl_customer
{
  char name[JL_CUSTOMER_NAME_SIZE];
  uint32_t key;
  unsigned rank;
  double rate;
  double burst;
};

/**
 * struct jl_customers - all customers of one version of the configuration
 * @list: array of struct jl_customer, owned
 * @by_key: the customers by the key of their name
 * @by_api_key: the customers by the digest of each API key
 */
struct jl_customers
{
  GPtrArray *list;
  GHashTable *by_key;
  GHashTable *by_api_key;
};

struct jl_customers *jl_customers_new (void);

/**
 * jl_customers_free - frees the customers
 * @customers: NULL for none
 */
void jl_customers_free (struct jl_customers *customers);

/**
 * jl_customers_add - adds a copy of @customer with its key set
 *
 * Return: the copy, or NULL if the name is already taken.
 */
struct jl_customer *jl_customers_add (struct jl_customers *customers,
                                      const struct jl_customer *customer);

/**
 * jl_customers_add_api_key - adds an API key of a customer
 *
 * A key that two customers claim identifies neither.
 */
void jl_customers_add_api_key (struct jl_customers *customers,
                               struct jl_customer *customer,
                               const char *api_key,
                               size_t length);

/**
 * jl_customers_find_api_key - returns the customer that holds an API key
 *
 * Return: the customer, or NULL if none holds it.
 */
const struct jl_customer *jl_customers_find_api_key (
    const struct jl_customers *customers, const char *api_key, size_t length);

/**
 * jl_customers_find - returns the customer with the key @key of its name
 * @customers: NULL for none
 *
 * Return: the customer, or NULL if there is none.
 */
const struct jl_customer *
jl_customers_find (const struct jl_customers *customers, uint32_t key);

#endif
