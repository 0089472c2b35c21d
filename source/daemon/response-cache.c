/**
 * DOC: Cache of responses for requests that are repeated under their ticket.
 */

#include "daemon/response-cache.h"

#include <urcu/list.h>

/* Maximum total size of all entries. */
#define CACHE_MAX_BYTES (UINT64_C (16) << 20)
/* Maximum size of the body of one entry. */
#define BODY_MAX_BYTES (UINT64_C (256) << 10)
#define MAX_AGE_US (600 * JL_USEC_PER_SEC)

/**
 * struct entry - one cached response
 * @key: the ticket in text form
 * @bytes: size that counts towards CACHE_MAX_BYTES
 * @order: link in the list of entries, oldest first
 */
struct entry
{
  char key[JL_ID_TEXT_SIZE];
  uint32_t status;
  struct jl_http_message response;
  size_t bytes;
  uint64_t stored_us;
  struct cds_list_head order;
};

struct jl_response_cache
{
  pthread_mutex_t lock;
  GHashTable *by_ticket;
  struct cds_list_head order;
  size_t bytes;
};

static void
free_entry (gpointer data)
{
  struct entry *entry = data;

  jl_http_message_clear (&entry->response);
  g_free (entry);
}

struct jl_response_cache *
jl_response_cache_new (void)
{
  struct jl_response_cache *cache = g_new0 (struct jl_response_cache, 1);

  pthread_mutex_init (&cache->lock, NULL);
  cache->by_ticket
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_entry);
  CDS_INIT_LIST_HEAD (&cache->order);
  return cache;
}

void
jl_response_cache_drop (struct jl_response_cache *cache)
{
  g_hash_table_destroy (cache->by_ticket);
  pthread_mutex_destroy (&cache->lock);
  g_free (cache);
}

static void
remove_entry (struct jl_response_cache *cache, struct entry *entry)
{
  cds_list_del (&entry->order);
  cache->bytes -= entry->bytes;
  g_hash_table_remove (cache->by_ticket, entry->key);
}

/* Removes the oldest entries until size and age are within their limits. */
static void
evict_entries (struct jl_response_cache *cache)
{
  uint64_t now_us = jl_now ();

  while (!cds_list_empty (&cache->order))
    {
      struct entry *oldest
          = cds_list_first_entry (&cache->order, struct entry, order);

      if (cache->bytes <= CACHE_MAX_BYTES
          && oldest->stored_us + MAX_AGE_US > now_us)
        return;
      remove_entry (cache, oldest);
    }
}

static void
copy_message (struct jl_http_message *to, const struct jl_http_message *from)
{
  jl_http_copy_headers (to, from);
  g_string_append_len (to->body, from->body->str, (gssize)from->body->len);
}

void
jl_response_cache_put (struct jl_response_cache *cache,
                       struct jl_ticket ticket,
                       uint32_t status,
                       const struct jl_http_message *response)
{
  struct entry *entry;

  if (response->body->len > BODY_MAX_BYTES)
    return;
  entry = g_new0 (struct entry, 1);
  jl_ticket_format (ticket, entry->key);
  entry->status = status;
  jl_http_message_init (&entry->response);
  copy_message (&entry->response, response);
  entry->bytes = sizeof *entry + entry->response.body->len;
  entry->stored_us = jl_now ();
  pthread_mutex_lock (&cache->lock);
  if (g_hash_table_contains (cache->by_ticket, entry->key))
    free_entry (entry);
  else
    {
      cache->bytes += entry->bytes;
      cds_list_add_tail (&entry->order, &cache->order);
      g_hash_table_insert (cache->by_ticket, entry->key, entry);
      evict_entries (cache);
    }
  pthread_mutex_unlock (&cache->lock);
}

bool
jl_response_cache_get (struct jl_response_cache *cache,
                       struct jl_ticket ticket,
                       uint32_t *status,
                       struct jl_http_message *response)
{
  char key[JL_ID_TEXT_SIZE];
  const struct entry *entry;

  jl_ticket_format (ticket, key);
  pthread_mutex_lock (&cache->lock);
  entry = g_hash_table_lookup (cache->by_ticket, key);
  if (entry != NULL)
    {
      *status = entry->status;
      copy_message (response, &entry->response);
    }
  pthread_mutex_unlock (&cache->lock);
  return entry != NULL;
}
