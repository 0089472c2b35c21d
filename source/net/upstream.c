/**
 * DOC: The client's side of HTTP/1.1.
 */

#include "jackdawladder/upstream.h"

#include <urcu/list.h>

/* Part of an answer that is gathered before its owner hears of it, in bytes. */
#define GATHER_MAX 65536

/* A kept connection that breaks this soon had been forgotten by the peer. */
#define FORGOTTEN_US (50 * JL_USEC_PER_MSEC)
/* Shortest idle time after which a connection is not used again. */
#define IDLE_LEAST_US (50 * JL_USEC_PER_MSEC)
/* Time in which the idle time that was found safe doubles. */
#define IDLE_DOUBLE_US (10 * JL_USEC_PER_SEC)

/**
 * struct idle - a kept connection
 */
struct idle
{
  struct cds_list_head link;
  struct jl_pool *pool;
  struct jl_conn *conn;
  uint64_t since_us;
};

/* Kept connections to one endpoint, the last used first. */
struct shelf
{
  struct cds_list_head idle;
  unsigned count;
};

/**
 * struct jl_pool - kept connections
 * @idle_us: longest idle time, as its owner said
 * @safe_idle_us: idle time that was found safe, where peers forget connections
 * @safe_since_us: when that was found
 */
struct jl_pool
{
  struct jl_net *net;
  struct jl_loop *loop;
  uint64_t idle_us;
  uint64_t safe_idle_us;
  uint64_t safe_since_us;
  unsigned idle_max;
  GHashTable *shelves;
};

/**
 * struct jl_upstream - one request
 * @told: the owner was told of the answer
 * @complete: the whole answer is in
 * @sent: the whole request was written
 * @whole: its owner wants the answer as a whole
 * @kept: it went out on a kept connection, which had been idle for @idle_us
 * @begun_us: when it was begun
 */
struct jl_upstream
{
  struct jl_pool *pool;
  struct jl_endpoint endpoint;
  struct jl_conn *conn;
  const struct jl_upstream_ops *ops;
  void *context;
  GByteArray *taken;
  bool no_body;
  bool told;
  bool complete;
  bool sent;
  bool kept;
  bool whole;
  uint64_t idle_us;
  uint64_t begun_us;
};

static guint64
shelf_key (struct jl_endpoint endpoint)
{
  return (guint64)endpoint.ip << 16 | endpoint.port;
}

static struct shelf *
find_shelf (struct jl_pool *pool, struct jl_endpoint endpoint)
{
  guint64 key = shelf_key (endpoint);
  struct shelf *shelf = g_hash_table_lookup (pool->shelves, &key);

  if (shelf != NULL)
    return shelf;
  shelf = g_new0 (struct shelf, 1);
  CDS_INIT_LIST_HEAD (&shelf->idle);
  g_hash_table_insert (pool->shelves, g_memdup2 (&key, sizeof key), shelf);
  return shelf;
}

static void
remove_idle (struct idle *idle)
{
  find_shelf (idle->pool, jl_conn_peer (idle->conn))->count--;
  cds_list_del (&idle->link);
  g_free (idle);
}

static void
on_idle_head (void *context, struct jl_conn *conn)
{
  (void)context;
  (void)conn;
}

static void
on_idle_body (void *context,
              struct jl_conn *conn,
              const char *data,
              size_t size)
{
  (void)context;
  (void)conn;
  (void)data;
  (void)size;
}

static void
on_idle_closed (void *context, struct jl_conn *conn, enum jl_conn_error error)
{
  (void)conn;
  (void)error;
  remove_idle (context);
}

static const struct jl_conn_ops idle_ops = {
  .head = on_idle_head,
  .body = on_idle_body,
  .end = on_idle_head,
  .drained = on_idle_head,
  .closed = on_idle_closed,
};

struct jl_pool *
jl_pool_new (struct jl_net *net, uint64_t idle_us, unsigned idle_max)
{
  struct jl_pool *pool = g_new0 (struct jl_pool, 1);

  pool->net = net;
  pool->idle_us = idle_us;
  pool->safe_idle_us = idle_us;
  pool->idle_max = idle_max;
  pool->shelves
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return pool;
}

static void
close_idle (struct idle *idle)
{
  struct jl_conn *conn = idle->conn;

  remove_idle (idle);
  jl_conn_abort (conn);
}

void
jl_pool_sweep (struct jl_pool *pool)
{
  uint64_t now_us = jl_now ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->shelves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct shelf *shelf = value;
      struct idle *idle;
      struct idle *next;

      cds_list_for_each_entry_safe (
          idle, next, &shelf->idle,
          link) if (now_us - idle->since_us > pool->idle_us) close_idle (idle);
    }
}

void
jl_pool_forget (struct jl_pool *pool, struct jl_endpoint endpoint)
{
  struct shelf *shelf = find_shelf (pool, endpoint);
  struct idle *idle;
  struct idle *next;

  cds_list_for_each_entry_safe (idle, next, &shelf->idle, link)
      close_idle (idle);
}

/* The idle time after which a connection may be used again now. */
static uint64_t
usable_idle (const struct jl_pool *pool, uint64_t now_us)
{
  uint64_t doublings = (now_us - pool->safe_since_us) / IDLE_DOUBLE_US;

  if (pool->safe_idle_us >= pool->idle_us || doublings >= 16)
    return pool->idle_us;
  return MIN (pool->idle_us, pool->safe_idle_us << doublings);
}

/* A peer had forgotten a connection that was idle for @idle_us. */
static void
note_forgotten (struct jl_pool *pool, uint64_t idle_us)
{
  uint64_t now_us = jl_now ();
  uint64_t safe_us = MAX (idle_us / 2, IDLE_LEAST_US);

  pool->safe_idle_us = MIN (usable_idle (pool, now_us), safe_us);
  pool->safe_since_us = now_us;
}

static struct jl_conn *
take_idle (struct jl_pool *pool, struct jl_endpoint endpoint, uint64_t *idle_us)
{
  struct shelf *shelf = find_shelf (pool, endpoint);
  uint64_t now_us = jl_now ();
  struct idle *idle;
  struct idle *next;

  cds_list_for_each_entry_safe (idle, next, &shelf->idle, link)
  {
    struct jl_conn *conn = idle->conn;

    *idle_us = now_us - idle->since_us;
    if (*idle_us <= usable_idle (pool, now_us))
      {
        remove_idle (idle);
        return conn;
      }
    close_idle (idle);
  }
  return NULL;
}

static void
keep_idle (struct jl_pool *pool, struct jl_conn *conn)
{
  struct shelf *shelf = find_shelf (pool, jl_conn_peer (conn));
  struct idle *idle;

  if (shelf->count >= pool->idle_max)
    {
      jl_conn_abort (conn);
      return;
    }
  idle = g_new0 (struct idle, 1);
  idle->pool = pool;
  idle->conn = conn;
  idle->since_us = jl_now ();
  jl_conn_own (conn, &idle_ops, idle);
  cds_list_add (&idle->link, &shelf->idle);
  shelf->count++;
}

static void
tell_answer (struct jl_upstream *upstream)
{
  upstream->told = true;
  upstream->ops->answer (upstream->context, upstream);
}

static void
on_head (void *context, struct jl_conn *conn)
{
  (void)context;
  (void)conn;
}

static void
on_body (void *context, struct jl_conn *conn, const char *data, size_t size)
{
  struct jl_upstream *upstream = context;

  (void)conn;
  if (upstream->told)
    {
      upstream->ops->piece (upstream->context, upstream, data, size);
      return;
    }
  g_byte_array_append (upstream->taken, (const guint8 *)data, (guint)size);
  if (!upstream->whole && upstream->taken->len > GATHER_MAX)
    tell_answer (upstream);
}

static void
on_end (void *context, struct jl_conn *conn)
{
  struct jl_upstream *upstream = context;

  (void)conn;
  upstream->complete = true;
  if (!upstream->told)
    tell_answer (upstream);
  else
    upstream->ops->done (upstream->context, upstream);
}

static void
on_drained (void *context, struct jl_conn *conn)
{
  struct jl_upstream *upstream = context;

  (void)conn;
  if (upstream->ops->drained != NULL && !upstream->told)
    upstream->ops->drained (upstream->context, upstream);
}

static void
on_closed (void *context, struct jl_conn *conn, enum jl_conn_error error)
{
  struct jl_upstream *upstream = context;
  enum jl_upstream_failure failure = JL_UPSTREAM_LOST;

  if (error == JL_CONN_MALFORMED || error == JL_CONN_TOO_LARGE)
    failure = JL_UPSTREAM_SPOILED;
  else if (jl_conn_untouched (conn))
    failure = JL_UPSTREAM_NOT_SENT;
  else if (upstream->kept && !upstream->told
           && jl_now () - upstream->begun_us < FORGOTTEN_US)
    note_forgotten (upstream->pool, upstream->idle_us);
  upstream->conn = NULL;
  upstream->ops->failed (upstream->context, upstream, failure);
}

static const struct jl_conn_ops conn_ops = {
  .head = on_head,
  .body = on_body,
  .end = on_end,
  .drained = on_drained,
  .closed = on_closed,
};

struct jl_upstream *
jl_upstream_open (struct jl_pool *pool,
                  struct jl_endpoint endpoint,
                  bool fresh,
                  const GString *head,
                  bool no_body,
                  const struct jl_upstream_ops *ops,
                  void *context)
{
  uint64_t idle_us = 0;
  struct jl_conn *conn = fresh ? NULL : take_idle (pool, endpoint, &idle_us);
  struct jl_upstream *upstream;
  bool kept = conn != NULL;

  if (conn == NULL)
    conn = jl_conn_connect (pool->net, endpoint, &conn_ops, NULL);
  if (conn == NULL)
    return NULL;
  upstream = g_new0 (struct jl_upstream, 1);
  upstream->pool = pool;
  upstream->endpoint = endpoint;
  upstream->conn = conn;
  upstream->ops = ops;
  upstream->context = context;
  upstream->no_body = no_body;
  upstream->kept = kept;
  upstream->idle_us = idle_us;
  upstream->begun_us = jl_now ();
  upstream->taken = g_byte_array_new ();
  jl_conn_own (conn, &conn_ops, upstream);
  jl_conn_expect (conn, no_body);
  jl_conn_write (conn, head->str, head->len);
  return upstream;
}

void
jl_upstream_body (struct jl_upstream *upstream,
                  const char *data,
                  size_t size,
                  bool in_chunks)
{
  if (upstream->conn == NULL || size == 0)
    return;
  if (in_chunks)
    jl_conn_chunk (upstream->conn, data, size);
  else
    jl_conn_write (upstream->conn, data, size);
}

void
jl_upstream_body_end (struct jl_upstream *upstream, bool in_chunks)
{
  upstream->sent = true;
  if (upstream->conn != NULL && in_chunks)
    jl_conn_chunk (upstream->conn, NULL, 0);
}

size_t
jl_upstream_backlog (const struct jl_upstream *upstream)
{
  return upstream->conn == NULL ? 0 : jl_conn_backlog (upstream->conn);
}

bool
jl_upstream_untouched (const struct jl_upstream *upstream)
{
  return upstream->conn != NULL && jl_conn_untouched (upstream->conn);
}

const struct jl_head *
jl_upstream_head (const struct jl_upstream *upstream)
{
  return jl_conn_head (upstream->conn);
}

const GByteArray *
jl_upstream_taken (const struct jl_upstream *upstream)
{
  return upstream->taken;
}

void
jl_upstream_want_whole (struct jl_upstream *upstream)
{
  upstream->whole = true;
}

bool
jl_upstream_complete (const struct jl_upstream *upstream)
{
  return upstream->complete;
}

bool
jl_upstream_skip (struct jl_upstream *upstream)
{
  if (!upstream->complete || !jl_upstream_head (upstream)->keep_alive)
    return false;
  upstream->complete = false;
  upstream->told = false;
  g_byte_array_set_size (upstream->taken, 0);
  jl_conn_next (upstream->conn);
  return true;
}

void
jl_upstream_hold (struct jl_upstream *upstream, bool hold)
{
  if (upstream->conn != NULL)
    jl_conn_hold (upstream->conn, hold);
}

static bool
is_reusable (const struct jl_upstream *upstream)
{
  return upstream->complete && upstream->sent
         && jl_conn_head (upstream->conn)->keep_alive
         && !jl_conn_dirty (upstream->conn)
         && jl_conn_backlog (upstream->conn) == 0;
}

void
jl_upstream_drop (struct jl_upstream *upstream)
{
  if (upstream->conn != NULL && is_reusable (upstream))
    {
      jl_conn_hold (upstream->conn, false);
      keep_idle (upstream->pool, upstream->conn);
    }
  else if (upstream->conn != NULL)
    jl_conn_abort (upstream->conn);
  g_byte_array_free (upstream->taken, TRUE);
  g_free (upstream);
}
