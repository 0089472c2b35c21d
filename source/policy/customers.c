/**
 * DOC: The customers of a site and their API keys.
 */

#include "jackdawladder/customers.h"

#include "jackdawladder/site.h"

#include <string.h>

/* Size of the blocks that SHA-256 works on, in bytes. */
#define DIGEST_BLOCK_BYTES 64

/* The block that the checksum holds is overwritten, since freed memory may be
 * in a core file. A checksum copies only incomplete blocks. */
static void
compute_digest (struct jl_api_key_digest *digest,
                const char *api_key,
                size_t length)
{
  static const guchar zeros[DIGEST_BLOCK_BYTES];
  GChecksum *checksum = g_checksum_new (G_CHECKSUM_SHA256);
  gsize size = sizeof digest->bytes;

  g_checksum_update (checksum, (const guchar *)api_key, (gssize)length);
  g_checksum_get_digest (checksum, digest->bytes, &size);
  g_checksum_reset (checksum);
  g_checksum_update (checksum, zeros, sizeof zeros - 1);
  g_checksum_update (checksum, zeros, 1);
  g_checksum_free (checksum);
}

void
jl_api_key_digest_format (const struct jl_api_key_digest *digest,
                          char text[JL_API_KEY_DIGEST_TEXT_SIZE])
{
  for (size_t i = 0; i < sizeof digest->bytes; i++)
    g_snprintf (text + 2 * i, 3, "%02x", digest->bytes[i]);
}

bool
jl_api_key_digest_parse (const char *text, struct jl_api_key_digest *digest)
{
  if (strlen (text) != JL_API_KEY_DIGEST_TEXT_SIZE - 1)
    return false;
  for (size_t i = 0; i < sizeof digest->bytes; i++)
    {
      int high = g_ascii_xdigit_value (text[2 * i]);
      int low = g_ascii_xdigit_value (text[2 * i + 1]);

      if (high < 0 || low < 0)
        return false;
      digest->bytes[i] = (uint8_t)(high << 4 | low);
    }
  return true;
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
  return memcmp (a, b, sizeof (struct jl_api_key_digest)) == 0;
}

static void
free_customer (gpointer data)
{
  struct jl_customer *customer = data;

  g_free ((gpointer)customer->name);
  g_free ((gpointer)customer->label);
  g_free (customer);
}

struct jl_customers *
jl_customers_new (void)
{
  struct jl_customers *customers = g_new0 (struct jl_customers, 1);

  customers->list = g_ptr_array_new_with_free_func (free_customer);
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

static bool
has_name (const struct jl_customers *customers, const char *name)
{
  for (guint i = 0; i < customers->list->len; i++)
    {
      const struct jl_customer *customer = customers->list->pdata[i];

      if (strcmp (customer->name, name) == 0)
        return true;
    }
  return false;
}

struct jl_customer *
jl_customers_add (struct jl_customers *customers,
                  const struct jl_customer *customer)
{
  uint32_t key = jl_name_key (customer->name);
  const struct jl_customer *first = jl_customers_find (customers, key);
  struct jl_customer *copy;

  if (first != NULL && has_name (customers, customer->name))
    return NULL;
  copy = g_memdup2 (customer, sizeof *customer);
  copy->name = g_strdup (customer->name);
  copy->label = jl_word_escape (customer->name);
  copy->key = key;
  g_ptr_array_add (customers->list, copy);
  if (first == NULL)
    g_hash_table_insert (customers->by_key, GUINT_TO_POINTER (key), copy);
  return copy;
}

void
jl_customers_add_digest (struct jl_customers *customers,
                         struct jl_customer *customer,
                         const struct jl_api_key_digest *digest)
{
  gpointer holder = NULL;
  bool known = g_hash_table_lookup_extended (customers->by_api_key, digest,
                                             NULL, &holder);

  if (known && (holder == NULL || holder == customer))
    return;
  if (known)
    customers->api_key_count--;
  else
    customers->api_key_count++;
  g_hash_table_insert (customers->by_api_key,
                       g_memdup2 (digest, sizeof *digest),
                       known ? NULL : customer);
}

void
jl_customers_add_api_key (struct jl_customers *customers,
                          struct jl_customer *customer,
                          const char *api_key,
                          size_t length)
{
  struct jl_api_key_digest digest;

  compute_digest (&digest, api_key, length);
  jl_customers_add_digest (customers, customer, &digest);
}

const struct jl_customer *
jl_customers_find_api_key (const struct jl_customers *customers,
                           const char *api_key,
                           size_t length)
{
  struct jl_api_key_digest digest;

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
