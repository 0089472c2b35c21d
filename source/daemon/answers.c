/**
 * DOC: Answers kept for requests that are sent again.
 */

#include "daemon/answers.h"

#include <urcu/list.h>

/* Bytes of all kept answers. */
#define STORE_BYTES_MAX (UINT64_C (16) << 20)
/* Bytes of one kept answer. */
#define ANSWER_BYTES_MAX (UINT64_C (256) << 10)
#define KEEP_US (600 * JL_USEC_PER_SEC)

/**
 * struct kept - one answer; its key is the ticket as text
 */
struct kept
{
  char key[JL_ID_TEXT_SIZE];
  uint32_t status;
  struct jl_http_message answer;
  size_t bytes;
  uint64_t kept_us;
  struct cds_list_head order;
};

struct jl_answer_store
{
  pthread_mutex_t lock;
  GHashTable *by_ticket;
  struct cds_list_head order;
  size_t bytes;
};

static void
free_kept (gpointer data)
{
  struct kept *kept = data;

  jl_http_message_clear (&kept->answer);
  g_free (kept);
}

struct jl_answer_store *
jl_answer_store_new (void)
{
  struct jl_answer_store *store = g_new0 (struct jl_answer_store, 1);

  pthread_mutex_init (&store->lock, NULL);
  store->by_ticket
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_kept);
  CDS_INIT_LIST_HEAD (&store->order);
  return store;
}

void
jl_answer_store_drop (struct jl_answer_store *store)
{
  g_hash_table_destroy (store->by_ticket);
  pthread_mutex_destroy (&store->lock);
  g_free (store);
}

static void
remove_kept (struct jl_answer_store *store, struct kept *kept)
{
  cds_list_del (&kept->order);
  store->bytes -= kept->bytes;
  g_hash_table_remove (store->by_ticket, kept->key);
}

static void
make_room (struct jl_answer_store *store)
{
  uint64_t now_us = jl_now ();

  while (!cds_list_empty (&store->order))
    {
      struct kept *oldest
          = cds_list_first_entry (&store->order, struct kept, order);

      if (store->bytes <= STORE_BYTES_MAX && oldest->kept_us + KEEP_US > now_us)
        return;
      remove_kept (store, oldest);
    }
}

static void
copy_message (struct jl_http_message *to, const struct jl_http_message *from)
{
  jl_http_copy_headers (to, from);
  g_string_append_len (to->body, from->body->str, (gssize)from->body->len);
}

void
jl_answer_store_put (struct jl_answer_store *store,
                     struct jl_ticket ticket,
                     uint32_t status,
                     const struct jl_http_message *answer)
{
  struct kept *kept;

  if (answer->body->len > ANSWER_BYTES_MAX)
    return;
  kept = g_new0 (struct kept, 1);
  jl_ticket_format (ticket, kept->key);
  kept->status = status;
  jl_http_message_init (&kept->answer);
  copy_message (&kept->answer, answer);
  kept->bytes = sizeof *kept + kept->answer.body->len;
  kept->kept_us = jl_now ();
  pthread_mutex_lock (&store->lock);
  if (g_hash_table_contains (store->by_ticket, kept->key))
    free_kept (kept);
  else
    {
      store->bytes += kept->bytes;
      cds_list_add_tail (&kept->order, &store->order);
      g_hash_table_insert (store->by_ticket, kept->key, kept);
      make_room (store);
    }
  pthread_mutex_unlock (&store->lock);
}

bool
jl_answer_store_get (struct jl_answer_store *store,
                     struct jl_ticket ticket,
                     uint32_t *status,
                     struct jl_http_message *answer)
{
  char key[JL_ID_TEXT_SIZE];
  const struct kept *kept;

  jl_ticket_format (ticket, key);
  pthread_mutex_lock (&store->lock);
  kept = g_hash_table_lookup (store->by_ticket, key);
  if (kept != NULL)
    {
      *status = kept->status;
      copy_message (answer, &kept->answer);
    }
  pthread_mutex_unlock (&store->lock);
  return kept != NULL;
}
