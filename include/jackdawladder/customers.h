#ifndef JACKDAWLADDER_CUSTOMERS_H
#define JACKDAWLADDER_CUSTOMERS_H

/**
 * DOC: The customers of a site and their API keys.
 *
 * Requests carry an API key that identifies the customer. Only digests of keys
 * are kept, and a lookup takes the same time for any number of customers.
 */

#include "jackdawladder/base.h"

/* Size of the digest of an API key in bytes (SHA-256). */
#define JL_API_KEY_DIGEST_BYTES 32
/* Size of the hexadecimal text of a digest, including the final NUL. */
#define JL_API_KEY_DIGEST_TEXT_SIZE (2 * JL_API_KEY_DIGEST_BYTES + 1)

/**
 * struct jl_api_key_digest - digest of an API key
 */
struct jl_api_key_digest
{
  uint8_t bytes[JL_API_KEY_DIGEST_BYTES];
};

/**
 * struct jl_customer - one customer
 * @name: its name; belongs to the customers
 * @label: the name as one word for logs and pages, see jl_word_escape()
 * @key: digest of the name, equal in all versions of the configuration; two
 *       customers may have the same one
 * @rank: priority; 0 is the most important
 * @rate: usage cap in requests a second, 0 for no cap
 * @burst: requests that may come at once in addition
 */
struct jl_customer
{
  const char *name;
  const char *label;
  uint32_t key;
  unsigned rank;
  double rate;
  double burst;
};

/**
 * struct jl_customers - all customers of one version of the configuration
 * @list: array of struct jl_customer, owned
 * @by_key: the customers by the key of their name; the first one of several
 * @by_api_key: the customers by the digest of each API key; NULL for a key that
 *              several customers claim
 * @api_key_count: number of API keys that identify a customer
 */
struct jl_customers
{
  GPtrArray *list;
  GHashTable *by_key;
  GHashTable *by_api_key;
  unsigned api_key_count;
};

struct jl_customers *jl_customers_new (void);

/**
 * jl_customers_free - frees the customers
 * @customers: NULL for none
 */
void jl_customers_free (struct jl_customers *customers);

/**
 * jl_customers_add - adds a copy of @customer and its name, with its label and
 * key set
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
 * jl_customers_add_digest - adds an API key of a customer by its digest, like
 * jl_customers_add_api_key()
 */
void jl_customers_add_digest (struct jl_customers *customers,
                              struct jl_customer *customer,
                              const struct jl_api_key_digest *digest);

/**
 * jl_api_key_digest_format - writes a digest as hexadecimal text
 */
void jl_api_key_digest_format (const struct jl_api_key_digest *digest,
                               char text[JL_API_KEY_DIGEST_TEXT_SIZE]);

/**
 * jl_api_key_digest_parse - reads the text of a digest
 *
 * Return: false if @text is not a digest.
 */
bool jl_api_key_digest_parse (const char *text,
                              struct jl_api_key_digest *digest);

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
