/**
 * DOC: HTTP client, by libcurl over keep-alive connections.
 *
 * Each handle has at most one connection. The most recently used handle is
 * reused first, so that surplus connections stay idle and are closed.
 */

#include "jackdawladder/http.h"

#include <curl/curl.h>
#include <string.h>
#include <urcu/list.h>

/* Idle time after which a connection is closed; shorter than the keep-alive
   timeout of the server. */
#define IDLE_TIMEOUT_US (2 * JL_USEC_PER_SEC)
#define IDLE_TIMEOUT_S 2L
/* Limit on the time to open a connection. */
#define CONNECT_TIMEOUT_US (300 * JL_USEC_PER_MSEC)
/* Longest single wait for socket activity. */
#define POLL_MAX_MS 1000

/**
 * struct handle - libcurl handle with its keep-alive connection
 * @endpoint: key of the endpoint, see endpoint_key()
 * @idle: link in struct idle_list
 * @send_count: how often libcurl has sent the request of this transfer
 * @too_large: whether the response body exceeded @response_max_bytes
 * @response: receives the response of this transfer
 */
struct handle
{
  CURLM *multi;
  CURL *easy;
  uint64_t endpoint;
  uint64_t idle_since_us;
  struct cds_list_head idle;
  int send_count;
  bool too_large;
  uint64_t response_max_bytes;
  struct jl_http_message *response;
};

/**
 * struct idle_list - idle handles of one endpoint, most recently used first
 */
struct idle_list
{
  struct cds_list_head handles;
  uint32_t count;
};

struct jl_http_pool
{
  pthread_mutex_t lock;
  GHashTable *endpoints;
  uint32_t idle_max;
};

struct jl_http_pool *
jl_http_pool_new (uint32_t idle_max)
{
  struct jl_http_pool *pool = g_new0 (struct jl_http_pool, 1);

  curl_global_init (CURL_GLOBAL_DEFAULT);
  pthread_mutex_init (&pool->lock, NULL);
  pool->endpoints
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  pool->idle_max = idle_max;
  return pool;
}

static void
free_handle (struct handle *handle)
{
  curl_easy_cleanup (handle->easy);
  curl_multi_cleanup (handle->multi);
  g_free (handle);
}

/* Moves handles that became idle at @limit_us or earlier to @expired. */
static void
remove_expired (struct idle_list *list,
                uint64_t limit_us,
                struct cds_list_head *expired)
{
  while (!cds_list_empty (&list->handles))
    {
      struct handle *oldest
          = cds_list_entry (list->handles.prev, struct handle, idle);

      if (oldest->idle_since_us > limit_us)
        return;
      cds_list_del (&oldest->idle);
      list->count--;
      cds_list_add (&oldest->idle, expired);
    }
}

static void
expire_before (struct jl_http_pool *pool, uint64_t limit_us)
{
  CDS_LIST_HEAD (expired);
  GHashTableIter iterator;
  gpointer value;
  struct handle *handle;
  struct handle *next;

  pthread_mutex_lock (&pool->lock);
  g_hash_table_iter_init (&iterator, pool->endpoints);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    remove_expired (value, limit_us, &expired);
  pthread_mutex_unlock (&pool->lock);
  cds_list_for_each_entry_safe (handle, next, &expired, idle)
      free_handle (handle);
}

void
jl_http_pool_expire (struct jl_http_pool *pool)
{
  expire_before (pool, jl_now () - IDLE_TIMEOUT_US);
}

void
jl_http_pool_drop (struct jl_http_pool *pool)
{
  expire_before (pool, UINT64_MAX);
  g_hash_table_destroy (pool->endpoints);
  pthread_mutex_destroy (&pool->lock);
  g_free (pool);
}

/* libcurl callback that appends a part of the response body. */
static size_t
receive_body (char *data, size_t size, size_t count, void *context)
{
  struct handle *handle = context;

  size *= count;
  if (handle->response->body->len + size > handle->response_max_bytes)
    {
      handle->too_large = true;
      return 0;
    }
  g_string_append_len (handle->response->body, data, (gssize)size);
  return size;
}

/*
 * libcurl callback that stores a header line of the response. A status line
 * starts a new response after an interim one, so it discards earlier headers.
 */
static size_t
receive_header (char *data, size_t size, size_t count, void *context)
{
  struct handle *handle = context;
  GPtrArray *headers = handle->response->headers;
  size_t length = size * count;

  while (length > 0 && g_ascii_isspace (data[length - 1]))
    length--;
  if (g_str_has_prefix (data, "HTTP/"))
    g_ptr_array_set_size (headers, 0);
  else if (length > 0 && headers->len < JL_HTTP_HEADER_MAX)
    g_ptr_array_add (headers, g_strndup (data, length));
  return size * count;
}

/*
 * libcurl callback before a request is sent on a connection. libcurl resends
 * the request by itself if a keep-alive connection turns out to be dead. The
 * server may have processed the first one nevertheless, so the callback
 * prevents the second.
 */
static int
before_request (void *context,
                char *remote_ip G_GNUC_UNUSED,
                char *local_ip G_GNUC_UNUSED,
                int remote_port G_GNUC_UNUSED,
                int local_port G_GNUC_UNUSED)
{
  struct handle *handle = context;

  handle->send_count++;
  return handle->send_count > 1 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static void
set_constant_options (struct handle *handle)
{
  CURL *easy = handle->easy;

  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, IDLE_TIMEOUT_S);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, receive_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, handle);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, receive_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, handle);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, before_request);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, handle);
}

static uint64_t
endpoint_key (struct jl_endpoint endpoint)
{
  return (uint64_t)endpoint.ip << 16 | endpoint.port;
}

static struct idle_list *
find_list (struct jl_http_pool *pool, uint64_t key)
{
  struct idle_list *list
      = g_hash_table_lookup (pool->endpoints, (gpointer)(uintptr_t)key);

  if (list == NULL)
    {
      list = g_new0 (struct idle_list, 1);
      CDS_INIT_LIST_HEAD (&list->handles);
      g_hash_table_insert (pool->endpoints, (gpointer)(uintptr_t)key, list);
    }
  return list;
}

/* Takes an idle handle from the pool or creates one. */
static struct handle *
acquire_handle (struct jl_http_pool *pool, struct jl_endpoint endpoint)
{
  uint64_t key = endpoint_key (endpoint);
  struct handle *handle = NULL;
  struct idle_list *list;

  pthread_mutex_lock (&pool->lock);
  list = find_list (pool, key);
  if (list->count > 0)
    {
      handle = cds_list_first_entry (&list->handles, struct handle, idle);
      cds_list_del (&handle->idle);
      list->count--;
    }
  pthread_mutex_unlock (&pool->lock);
  if (handle != NULL)
    return handle;
  handle = g_new0 (struct handle, 1);
  handle->endpoint = key;
  handle->multi = curl_multi_init ();
  handle->easy = curl_easy_init ();
  set_constant_options (handle);
  return handle;
}

/* Returns the handle to the pool, or frees it if the pool is full. */
static void
release_handle (struct jl_http_pool *pool, struct handle *handle, bool keep)
{
  struct idle_list *list;

  handle->idle_since_us = jl_now ();
  pthread_mutex_lock (&pool->lock);
  list = find_list (pool, handle->endpoint);
  keep = keep && list->count < pool->idle_max;
  if (keep)
    {
      cds_list_add (&handle->idle, &list->handles);
      list->count++;
    }
  pthread_mutex_unlock (&pool->lock);
  if (!keep)
    free_handle (handle);
}

static void
set_method (CURL *easy, const struct jl_http_call *call)
{
  const GString *body = call->request->body;
  bool is_get = strcmp (call->method, "GET") == 0;

  curl_easy_setopt (easy, CURLOPT_HTTPGET, 1L);
  if (body->len > 0 || (!is_get && strcmp (call->method, "HEAD") != 0))
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)body->len);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body->str);
    }
  else if (!is_get)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, call->method);
}

static struct curl_slist *
make_headers (const struct jl_http_call *call)
{
  const GPtrArray *headers = call->request->headers;
  struct curl_slist *list = NULL;

  list = curl_slist_append (list, "Expect:");
  if (jl_http_header (call->request, "Accept") == NULL)
    list = curl_slist_append (list, "Accept:");
  if (jl_http_header (call->request, "Content-Type") == NULL)
    list = curl_slist_append (list, "Content-Type:");
  for (guint i = 0; i < headers->len; i++)
    list = curl_slist_append (list, g_ptr_array_index (headers, i));
  return list;
}

static struct curl_slist *
set_call_options (struct handle *handle, const struct jl_http_call *call)
{
  CURL *easy = handle->easy;
  uint64_t connect_us = MIN (call->timeout_us, CONNECT_TIMEOUT_US);
  struct curl_slist *headers = make_headers (call);
  char text[JL_ENDPOINT_TEXT_SIZE];
  char *url;

  jl_endpoint_format (call->endpoint, text);
  url = g_strconcat ("http://", text, call->target, NULL);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  g_free (url);
  set_method (easy, call);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    (long)(call->timeout_us / JL_USEC_PER_MSEC + 1));
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)(connect_us / JL_USEC_PER_MSEC + 1));
  return headers;
}

/*
 * Sets the libcurl handle that jl_http_transfer_abort() wakes up, NULL for
 * none. Returns whether the transfer is already aborted.
 */
static bool
set_multi (const struct jl_http_call *call, CURLM *multi)
{
  bool aborted;

  if (call->transfer == NULL)
    return false;
  pthread_mutex_lock (call->lock);
  call->transfer->multi = multi;
  aborted = call->transfer->aborted != 0;
  pthread_mutex_unlock (call->lock);
  return aborted;
}

static bool
is_aborted (const struct jl_http_call *call)
{
  return call->transfer != NULL
         && g_atomic_int_get (&call->transfer->aborted) != 0;
}

void
jl_http_transfer_abort (struct jl_http_transfer *transfer)
{
  g_atomic_int_set (&transfer->aborted, 1);
  if (transfer->multi != NULL)
    curl_multi_wakeup (transfer->multi);
}

/* Runs the transfer; returns CURLE_ABORTED_BY_CALLBACK if it was aborted. */
static CURLcode
run_transfer (struct handle *handle, const struct jl_http_call *call)
{
  CURLcode code = CURLE_FAILED_INIT;
  CURLMsg *message;
  int running = 1;
  int queued;

  while (running > 0)
    {
      if (is_aborted (call))
        return CURLE_ABORTED_BY_CALLBACK;
      if (curl_multi_perform (handle->multi, &running) != CURLM_OK)
        return CURLE_FAILED_INIT;
      if (running > 0)
        curl_multi_poll (handle->multi, NULL, 0, POLL_MAX_MS, NULL);
    }
  while ((message = curl_multi_info_read (handle->multi, &queued)) != NULL)
    if (message->msg == CURLMSG_DONE)
      code = message->data.result;
  return code;
}

static enum jl_http_result
classify_result (const struct handle *handle,
                 const struct jl_http_call *call,
                 CURLcode code)
{
  if (code == CURLE_OK)
    return JL_HTTP_COMPLETED;
  if (handle->send_count == 0)
    return is_aborted (call) ? JL_HTTP_ABORTED : JL_HTTP_NOT_SENT;
  if (is_aborted (call))
    return JL_HTTP_ABORTED;
  if (handle->too_large)
    return JL_HTTP_TOO_LARGE;
  if (code == CURLE_OPERATION_TIMEDOUT)
    return JL_HTTP_TIMEOUT;
  return JL_HTTP_BROKEN;
}

enum jl_http_result
jl_http_perform (struct jl_http_pool *pool,
                 const struct jl_http_call *call,
                 uint32_t *status,
                 struct jl_http_message *response)
{
  struct handle *handle = acquire_handle (pool, call->endpoint);
  struct curl_slist *headers = set_call_options (handle, call);
  enum jl_http_result result;
  CURLcode code = CURLE_ABORTED_BY_CALLBACK;
  long status_code = 0;

  handle->response = response;
  handle->response_max_bytes = call->response_max_bytes;
  handle->send_count = 0;
  handle->too_large = false;
  curl_multi_add_handle (handle->multi, handle->easy);
  if (!set_multi (call, handle->multi))
    code = run_transfer (handle, call);
  set_multi (call, NULL);
  result = classify_result (handle, call, code);
  curl_easy_getinfo (handle->easy, CURLINFO_RESPONSE_CODE, &status_code);
  *status = (uint32_t)status_code;
  curl_multi_remove_handle (handle->multi, handle->easy);
  curl_easy_setopt (handle->easy, CURLOPT_HTTPHEADER, NULL);
  curl_slist_free_all (headers);
  release_handle (pool, handle, result == JL_HTTP_COMPLETED);
  return result;
}
