/**
 * DOC: The customers of a site and their API keys.
 */

#include "jackdawladder/customers.h"

#include "jackdawladder/site.h"

#include <string.h>

/* Size of a SHA-256 digest in bytes. */
#define DIGEST_BYTES 32

/**
 * struct digest - SHA-256 digest of an API key
 */
struct digest
{
  guint8 bytes[DIGEST_BYTES];
};

static void
compute_digest (struct digest *digest, const char *api_key, size_t length)
{
  GChecksum *checksum = g_checksum_new (G_CHECKSUM_SHA256);
  gsize size = sizeof digest->bytes;

  g_checksum_update (checksum, (const guchar *)api_key, (gssize)length);
  g_checksum_get_digest (checksum, digest->bytes, &size);
  g_checksum_free (checksum);
}

/* The digest is uniform, so its first bytes are a hash. */
static guint
hash_digest (gconstpointer key)
{
  guint hash;

  memcpy (&hash, key, sizeof hash);
  return hash;
}

static gboolean
equal_digests (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (struct digest)) == 0;
}

struct jl_customers *
jl_customers_new (void)
{
  struct jl_customers *customers = g_new0 (struct jl_customers, 1);

  customers->list = g_ptr_array_new_with_free_func (g_free);
  customers->by_key = g_hash_table_new (g_direct_hash, g_direct_equal);
  customers->by_api_key
      = g_hash_table_new_full (hash_digest, equal_digests, g_free, NULL);
  return customers;
}

void
jl_customers_free (struct jl_customers *customers)
{
  if (customers == NULL)
    return;
  g_hash_table_destroy (customers->by_key);
  g_hash_table_destroy (customers->by_api_key);
  g_ptr_array_free (customers->list, TRUE);
  g_free (customers);
}

struct jl_customer *
jl_customers_add (struct jl_customers *customers,
                  const struct jl_customer *customer)
{
  uint32_t key = jl_name_key (customer->name);
  struct jl_customer *copy;

  if (g_hash_table_contains (customers->by_key, GUINT_TO_POINTER (key)))
    return NULL;
  copy = g_memdup2 (customer, sizeof *customer);
  copy->key = key;
  g_ptr_array_add (customers->list, copy);
  g_hash_table_insert (customers->by_key, GUINT_TO_POINTER (key), copy);
  return copy;
}

void
jl_customers_add_api_key (struct jl_customers *customers,
                          struct jl_customer *customer,
                          const char *api_key,
                          size_t length)
{
  struct digest digest;
  gpointer holder;

  compute_digest (&digest, api_key, length);
  /* The value NULL marks a key that several customers claim. */
  if (g_hash_table_lookup_extended (customers->by_api_key, &digest, NULL,
                                    &holder)
      && holder != customer)
    customer = NULL;
  g_hash_table_insert (customers->by_api_key,
                       g_memdup2 (&digest, sizeof digest), customer);
}

const struct jl_customer *
jl_customers_find_api_key (const struct jl_customers *customers,
                           const char *api_key,
                           size_t length)
{
  struct digest digest;

  compute_digest (&digest, api_key, length);
  return g_hash_table_lookup (customers->by_api_key, &digest);
}

const struct jl_customer *
jl_customers_find (const struct jl_customers *customers, uint32_t key)
{
  if (customers == NULL)
    return NULL;
  return g_hash_table_lookup (customers->by_key, GUINT_TO_POINTER (key));
}
