/**
 * DOC: The HTTP/1.1 client.
 */

#include "jackdawladder/upstream.h"

#include <urcu/list.h>

/* Body bytes buffered before an incomplete response is reported. */
#define BUFFERED_BODY_BYTES_MAX 32768

/*
 * A reused connection that ends this soon after a request was sent is
 * considered stale: the peer had dropped it while it was idle.
 */
#define STALE_DETECTION_US (50 * JL_USEC_PER_MSEC)
/* Time before a peer closes an idle connection, by its own word, from which on
 * the connection is not used: a request may need that long to reach it. */
#define CLOSING_MARGIN_US (250 * JL_USEC_PER_MSEC)
/* Lower bound of the maximum idle time when stale connections reduce it. */
#define SAFE_IDLE_MIN_US (50 * JL_USEC_PER_MSEC)
/* Time after which a reduced maximum idle time doubles. */
#define SAFE_IDLE_DOUBLING_US (10 * JL_USEC_PER_SEC)

/**
 * struct idle_conn - an idle connection that can be reused
 * @link: link in the list of its endpoint
 * @since_us: time at which the connection became idle
 * @until_us: time from which on it is not used
 */
struct idle_conn
{
  struct cds_list_head link;
  struct jl_pool *pool;
  struct jl_conn *conn;
  uint64_t since_us;
  uint64_t until_us;
};

/**
 * struct remote - the idle connections to one endpoint, and what waits for it
 * @conns: list of struct idle_conn, most recently used first
 * @count: number of entries of @conns
 * @waiting: number of requests whose response has not begun
 * @silent_since_us: time at which a response began or ended last, or the first
 *                   request that waits was started if that is later
 */
struct remote
{
  struct cds_list_head conns;
  unsigned count;
  unsigned waiting;
  uint64_t silent_since_us;
};

/**
 * struct jl_pool - idle connections of all endpoints
 * @idle_max_us: maximum idle time given by the owner of the pool
 * @safe_idle_max_us: maximum idle time estimated from stale connections; equal
 *                    to @idle_max_us if there were none
 * @safe_idle_set_us: time at which @safe_idle_max_us was last reduced
 * @idle_conns_max: maximum number of idle connections per endpoint
 * @remotes: struct remote by endpoint_key()
 * @silence_max_us: time for which requests may wait without any response before
 *                  idle connections are not used; 0 for no such time
 * @silence_ops: called with @context when they are closed for that
 */
struct jl_pool
{
  struct jl_net *net;
  struct jl_loop *loop;
  uint64_t idle_max_us;
  uint64_t safe_idle_max_us;
  uint64_t safe_idle_set_us;
  unsigned idle_conns_max;
  GHashTable *remotes;
  uint64_t silence_max_us;
  const struct jl_silence_ops *silence_ops;
  void *context;
};

/**
 * struct jl_upstream - one request and its response
 * @conn: NULL after the connection has ended
 * @body: the response body read before the response callback
 * @no_body: the response has no body, as for a HEAD request
 * @response_reported: the response callback was called
 * @complete: the response was read completely
 * @request_complete: the request was written completely
 * @reused: the request was sent on a pooled connection
 * @waits: the response has not begun
 * @not_reusable: the connection is closed after the request
 * @skipped: a response was skipped
 * @buffered_bytes_max: the response callback is delayed until the response is
 *                      complete, with a body of at most this size; 0 if not
 * @idle_us: time for which the reused connection had been idle
 * @start_us: time at which the request was started
 */
struct jl_upstream
{
  struct jl_pool *pool;
  struct jl_endpoint endpoint;
  struct jl_conn *conn;
  const struct jl_upstream_ops *ops;
  void *context;
  GByteArray *body;
  bool no_body;
  bool response_reported;
  bool complete;
  bool request_complete;
  bool reused;
  bool waits;
  bool not_reusable;
  bool skipped;
  size_t buffered_bytes_max;
  uint64_t idle_us;
  uint64_t start_us;
};

static guint64
endpoint_key (struct jl_endpoint endpoint)
{
  return (guint64)endpoint.ip << 16 | endpoint.port;
}

static struct remote *
find_remote (struct jl_pool *pool, struct jl_endpoint endpoint)
{
  guint64 key = endpoint_key (endpoint);
  struct remote *remote = g_hash_table_lookup (pool->remotes, &key);

  if (remote != NULL)
    return remote;
  remote = g_new0 (struct remote, 1);
  CDS_INIT_LIST_HEAD (&remote->conns);
  g_hash_table_insert (pool->remotes, g_memdup2 (&key, sizeof key), remote);
  return remote;
}

static void
remove_idle_conn (struct idle_conn *idle)
{
  find_remote (idle->pool, jl_conn_peer (idle->conn))->count--;
  cds_list_del (&idle->link);
  g_free (idle);
}

static void
ignore_event (void *context, struct jl_conn *conn)
{
  (void)context;
  (void)conn;
}

static void
ignore_body (void *context, struct jl_conn *conn, const char *data, size_t size)
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
  remove_idle_conn (context);
}

static const struct jl_conn_ops idle_ops = {
  .head = ignore_event,
  .body = ignore_body,
  .end = ignore_event,
  .drained = ignore_event,
  .closed = on_idle_closed,
};

struct jl_pool *
jl_pool_new (struct jl_net *net, uint64_t idle_max_us, unsigned idle_conns_max)
{
  struct jl_pool *pool = g_new0 (struct jl_pool, 1);

  pool->net = net;
  pool->idle_max_us = idle_max_us;
  pool->safe_idle_max_us = idle_max_us;
  pool->idle_conns_max = idle_conns_max;
  pool->remotes
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return pool;
}

static void
close_idle_conn (struct idle_conn *idle)
{
  struct jl_conn *conn = idle->conn;

  remove_idle_conn (idle);
  jl_conn_abort (conn);
}

void
jl_pool_close_expired (struct jl_pool *pool)
{
  uint64_t now_us = jl_now ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->remotes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct remote *remote = value;
      struct idle_conn *idle;
      struct idle_conn *next;

      cds_list_for_each_entry_safe (idle, next, &remote->conns,
                                    link) if (now_us >= idle->until_us)
          close_idle_conn (idle);
    }
}

void
jl_pool_close_endpoint (struct jl_pool *pool, struct jl_endpoint endpoint)
{
  struct remote *remote = find_remote (pool, endpoint);
  struct idle_conn *idle;
  struct idle_conn *next;

  cds_list_for_each_entry_safe (idle, next, &remote->conns, link)
      close_idle_conn (idle);
}

void
jl_pool_set_silence_max (struct jl_pool *pool,
                         uint64_t silence_max_us,
                         const struct jl_silence_ops *ops,
                         void *context)
{
  pool->silence_max_us = silence_max_us;
  pool->silence_ops = ops;
  pool->context = context;
}

/*
 * Closes the idle connections to an endpoint that has been silent for too long
 * while requests wait for it: they may pass nothing any more either. All were
 * idle before the silence began, since a response would have ended it.
 */
static void
close_silent_conns (struct jl_pool *pool, struct jl_endpoint endpoint)
{
  const struct remote *remote = find_remote (pool, endpoint);
  uint64_t silent_us = jl_now () - remote->silent_since_us;
  unsigned count = remote->count;

  if (pool->silence_max_us == 0 || remote->waiting == 0 || count == 0
      || silent_us <= pool->silence_max_us)
    return;
  jl_pool_close_endpoint (pool, endpoint);
  pool->silence_ops->closed (pool->context, endpoint, silent_us, count);
}

/*
 * Returns the maximum idle time at which a connection is reused now. It doubles
 * every SAFE_IDLE_DOUBLING_US after a reduction, up to that of the owner.
 */
static uint64_t
current_idle_max_us (const struct jl_pool *pool, uint64_t now_us)
{
  uint64_t doublings
      = (now_us - pool->safe_idle_set_us) / SAFE_IDLE_DOUBLING_US;

  if (pool->safe_idle_max_us >= pool->idle_max_us || doublings >= 16)
    return pool->idle_max_us;
  return MIN (pool->idle_max_us, pool->safe_idle_max_us << doublings);
}

/*
 * Reduces the maximum idle time after a connection that was idle for @idle_us
 * turned out to be stale.
 */
static void
reduce_safe_idle_max (struct jl_pool *pool, uint64_t idle_us)
{
  uint64_t now_us = jl_now ();
  uint64_t safe_us = MAX (idle_us / 2, SAFE_IDLE_MIN_US);

  pool->safe_idle_max_us = MIN (current_idle_max_us (pool, now_us), safe_us);
  pool->safe_idle_set_us = now_us;
}

/* Whether an idle connection can be kept: input that is there already would be
 * taken for the response to the next request. */
static bool
is_sound (const struct jl_pool *pool, const struct idle_conn *idle)
{
  uint64_t now_us = jl_now ();

  return now_us - idle->since_us <= current_idle_max_us (pool, now_us)
         && now_us < idle->until_us && !jl_conn_has_unread_input (idle->conn);
}

/* Returns a reusable connection without the mark @avoid and its idle time, or
 * NULL if there is none. */
static struct jl_conn *
take_idle_conn (struct jl_pool *pool,
                struct jl_endpoint endpoint,
                uint64_t avoid,
                uint64_t *idle_us)
{
  struct remote *remote = find_remote (pool, endpoint);
  struct idle_conn *idle;
  struct idle_conn *next;

  cds_list_for_each_entry_safe (idle, next, &remote->conns, link)
  {
    struct jl_conn *conn = idle->conn;

    if (jl_conn_has_mark (conn, avoid))
      continue;
    *idle_us = jl_now () - idle->since_us;
    if (is_sound (pool, idle))
      {
        remove_idle_conn (idle);
        return conn;
      }
    close_idle_conn (idle);
  }
  return NULL;
}

/* Returns the time for which a connection may be idle, by the owner of the pool
 * and the last response. */
static uint64_t
idle_time_us (const struct jl_pool *pool, struct jl_conn *conn)
{
  uint64_t timeout_us;

  if (!jl_head_get_idle_timeout (jl_conn_head (conn), &timeout_us))
    return pool->idle_max_us;
  timeout_us -= MIN (timeout_us, CLOSING_MARGIN_US);
  return MIN (pool->idle_max_us, timeout_us);
}

static void
add_idle_conn (struct jl_pool *pool, struct jl_conn *conn)
{
  struct remote *remote = find_remote (pool, jl_conn_peer (conn));
  struct idle_conn *idle;

  if (remote->count >= pool->idle_conns_max)
    {
      jl_conn_abort (conn);
      return;
    }
  idle = g_new0 (struct idle_conn, 1);
  idle->pool = pool;
  idle->conn = conn;
  idle->since_us = jl_now ();
  idle->until_us = idle->since_us + idle_time_us (pool, conn);
  jl_conn_set_owner (conn, &idle_ops, idle);
  cds_list_add (&idle->link, &remote->conns);
  remote->count++;
}

static void
report_response (struct jl_upstream *upstream)
{
  upstream->response_reported = true;
  upstream->ops->response (upstream->context, upstream);
}

static void
begin_wait (struct jl_upstream *upstream)
{
  struct remote *remote = find_remote (upstream->pool, upstream->endpoint);

  upstream->waits = true;
  if (remote->waiting++ == 0)
    remote->silent_since_us = jl_now ();
}

static void
end_wait (struct jl_upstream *upstream)
{
  if (upstream->waits)
    find_remote (upstream->pool, upstream->endpoint)->waiting--;
  upstream->waits = false;
}

static void
end_silence (const struct jl_upstream *upstream)
{
  find_remote (upstream->pool, upstream->endpoint)->silent_since_us = jl_now ();
}

static void
on_head (void *context, struct jl_conn *conn)
{
  struct jl_upstream *upstream = context;

  (void)conn;
  end_silence (upstream);
  end_wait (upstream);
}

static void
on_body (void *context, struct jl_conn *conn, const char *data, size_t size)
{
  struct jl_upstream *upstream = context;

  (void)conn;
  if (upstream->response_reported)
    {
      upstream->ops->body (upstream->context, upstream, data, size);
      return;
    }
  g_byte_array_append (upstream->body, (const guint8 *)data, (guint)size);
  if (upstream->buffered_bytes_max > 0
      && upstream->body->len > upstream->buffered_bytes_max)
    upstream->ops->failed (upstream->context, upstream, JL_UPSTREAM_MALFORMED);
  else if (upstream->buffered_bytes_max == 0
           && upstream->body->len > BUFFERED_BODY_BYTES_MAX)
    report_response (upstream);
}

static void
on_end (void *context, struct jl_conn *conn)
{
  struct jl_upstream *upstream = context;

  (void)conn;
  end_silence (upstream);
  upstream->complete = true;
  if (!upstream->response_reported)
    report_response (upstream);
  else
    upstream->ops->complete (upstream->context, upstream);
}

static void
on_drained (void *context, struct jl_conn *conn)
{
  struct jl_upstream *upstream = context;

  (void)conn;
  if (upstream->ops->drained != NULL && !upstream->response_reported)
    upstream->ops->drained (upstream->context, upstream);
}

static void
on_closed (void *context, struct jl_conn *conn, enum jl_conn_error error)
{
  struct jl_upstream *upstream = context;
  enum jl_upstream_failure failure = JL_UPSTREAM_LOST;

  if (jl_conn_is_unsent (conn))
    failure = JL_UPSTREAM_NOT_SENT;
  else if (error == JL_CONN_MALFORMED || error == JL_CONN_TOO_LARGE)
    failure = JL_UPSTREAM_MALFORMED;
  else if (upstream->reused && !upstream->response_reported
           && jl_now () - upstream->start_us < STALE_DETECTION_US)
    reduce_safe_idle_max (upstream->pool, upstream->idle_us);
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
                  bool new_conn,
                  uint64_t avoid,
                  const GString *head,
                  bool no_body,
                  const struct jl_upstream_ops *ops,
                  void *context)
{
  uint64_t idle_us = 0;
  struct jl_upstream *upstream;
  struct jl_conn *conn = NULL;
  bool reused;

  close_silent_conns (pool, endpoint);
  if (!new_conn)
    conn = take_idle_conn (pool, endpoint, avoid, &idle_us);
  reused = conn != NULL;
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
  upstream->reused = reused;
  upstream->idle_us = idle_us;
  upstream->start_us = jl_now ();
  upstream->body = g_byte_array_new ();
  begin_wait (upstream);
  jl_conn_set_owner (conn, &conn_ops, upstream);
  jl_conn_start_request (conn, no_body);
  jl_conn_write (conn, head->str, head->len);
  return upstream;
}

void
jl_upstream_write_body (struct jl_upstream *upstream,
                        const char *data,
                        size_t size,
                        bool chunked)
{
  if (upstream->conn == NULL || size == 0)
    return;
  if (chunked)
    jl_conn_write_chunk (upstream->conn, data, size);
  else
    jl_conn_write (upstream->conn, data, size);
}

void
jl_upstream_end_body (struct jl_upstream *upstream, bool chunked)
{
  upstream->request_complete = true;
  if (upstream->conn != NULL && chunked)
    jl_conn_write_chunk (upstream->conn, NULL, 0);
}

size_t
jl_upstream_backlog (const struct jl_upstream *upstream)
{
  return upstream->conn == NULL ? 0 : jl_conn_backlog (upstream->conn);
}

bool
jl_upstream_is_unsent (const struct jl_upstream *upstream)
{
  return upstream->conn != NULL && jl_conn_is_unsent (upstream->conn);
}

bool
jl_upstream_has_begun (const struct jl_upstream *upstream)
{
  return !upstream->waits;
}

bool
jl_upstream_is_reused (const struct jl_upstream *upstream)
{
  return upstream->reused;
}

const struct jl_head *
jl_upstream_head (const struct jl_upstream *upstream)
{
  return jl_conn_head (upstream->conn);
}

const GByteArray *
jl_upstream_buffered_body (const struct jl_upstream *upstream)
{
  return upstream->body;
}

void
jl_upstream_drop_buffered_body (struct jl_upstream *upstream)
{
  g_byte_array_free (upstream->body, TRUE);
  upstream->body = g_byte_array_new ();
}

void
jl_upstream_buffer_response (struct jl_upstream *upstream, size_t bytes_max)
{
  upstream->buffered_bytes_max = bytes_max;
}

bool
jl_upstream_is_complete (const struct jl_upstream *upstream)
{
  return upstream->complete;
}

bool
jl_upstream_skip_response (struct jl_upstream *upstream)
{
  if (!upstream->complete || !jl_upstream_head (upstream)->keep_alive)
    return false;
  upstream->not_reusable = true;
  upstream->skipped = true;
  upstream->complete = false;
  upstream->response_reported = false;
  g_byte_array_set_size (upstream->body, 0);
  jl_conn_read_next (upstream->conn);
  return true;
}

bool
jl_upstream_has_skipped (const struct jl_upstream *upstream)
{
  return upstream->skipped;
}

void
jl_upstream_mark (struct jl_upstream *upstream, uint64_t mark)
{
  if (mark == 0 || !jl_conn_mark (upstream->conn, mark))
    upstream->not_reusable = true;
}

void
jl_upstream_set_read_paused (struct jl_upstream *upstream, bool paused)
{
  if (upstream->conn != NULL)
    jl_conn_set_read_paused (upstream->conn, paused);
}

static bool
can_reuse_conn (const struct jl_upstream *upstream)
{
  return !upstream->not_reusable && upstream->complete
         && upstream->request_complete
         && jl_conn_head (upstream->conn)->keep_alive
         && !jl_conn_has_extra_input (upstream->conn)
         && jl_conn_backlog (upstream->conn) == 0;
}

void
jl_upstream_close (struct jl_upstream *upstream)
{
  end_wait (upstream);
  if (upstream->conn != NULL && can_reuse_conn (upstream))
    {
      jl_conn_set_read_paused (upstream->conn, false);
      add_idle_conn (upstream->pool, upstream->conn);
    }
  else if (upstream->conn != NULL)
    jl_conn_abort (upstream->conn);
  /* A configuration holds API keys. */
  jl_wipe (upstream->body->data, upstream->body->len);
  g_byte_array_free (upstream->body, TRUE);
  g_free (upstream);
}
