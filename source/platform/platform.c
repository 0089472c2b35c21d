/**
 * DOC: Reads and writes rows of the platform's table by conditional HTTP
 * requests.
 */

#include "jackdawladder/platform.h"

#include "jackdawladder/http.h"

#include <string.h>

#include <json-c/json.h>

/* Idle connections kept to the platform. */
#define IDLE_CONNECTION_MAX 4
/* Largest response body that is accepted. */
#define RESPONSE_MAX_BYTES (UINT64_C (16) << 20)
/* Attempts of a read whose connection fails; an idle keep-alive connection may
   be dead. */
#define READ_ATTEMPT_MAX 2

#define STATUS_NOT_FOUND 404
#define STATUS_CONDITION_FAILED 412

GQuark
jl_platform_error_quark (void)
{
  return g_quark_from_static_string ("jl-platform-error");
}

struct jl_platform
{
  struct jl_endpoint endpoint;
  uint32_t timeout_ms;
  struct jl_http_pool *pool;
};

/**
 * struct exchange - one request and its response
 * @target: path and query
 */
struct exchange
{
  const char *method;
  char *target;
  struct jl_http_message request;
  uint32_t status;
  struct jl_http_message response;
};

struct jl_platform *
jl_platform_new (struct jl_endpoint endpoint, uint32_t timeout_ms)
{
  struct jl_platform *platform = g_new0 (struct jl_platform, 1);

  platform->endpoint = endpoint;
  platform->timeout_ms = timeout_ms;
  platform->pool = jl_http_pool_new (IDLE_CONNECTION_MAX);
  return platform;
}

void
jl_platform_drop (struct jl_platform *platform)
{
  if (platform == NULL)
    return;
  jl_http_pool_drop (platform->pool);
  g_free (platform);
}

/* Initializes an exchange; its target is @start followed by @name, escaped. */
static void
init_exchange (struct exchange *exchange,
               const char *method,
               const char *start,
               const char *name)
{
  g_autofree char *escaped = g_uri_escape_string (name, "/", FALSE);

  memset (exchange, 0, sizeof *exchange);
  exchange->method = method;
  exchange->target = g_strconcat (start, escaped, NULL);
  jl_http_message_init (&exchange->request);
  jl_http_message_init (&exchange->response);
}

static void
clear_exchange (struct exchange *exchange)
{
  jl_http_message_clear (&exchange->request);
  jl_http_message_clear (&exchange->response);
  g_free (exchange->target);
}

static bool
fail (GError **error, enum jl_platform_error code, const char *why)
{
  g_set_error (error, JL_PLATFORM_ERROR, (int)code, "platform: %s", why);
  return false;
}

/*
 * Maps an HTTP status to an error. A server error leaves open whether a write
 * was executed.
 */
static bool
check_status (const struct exchange *exchange, GError **error)
{
  enum jl_platform_error code = JL_PLATFORM_ERROR_REFUSED;
  char why[32];

  if (exchange->status >= 200 && exchange->status < 300)
    return true;
  if (exchange->status == STATUS_CONDITION_FAILED)
    return fail (error, JL_PLATFORM_ERROR_CONFLICT, "the row has changed");
  if (exchange->status == STATUS_NOT_FOUND)
    return fail (error, JL_PLATFORM_ERROR_ABSENT, "no such row");
  if (exchange->status >= 500)
    code = JL_PLATFORM_ERROR_UNKNOWN;
  g_snprintf (why, sizeof why, "status %u", exchange->status);
  return fail (error, code, why);
}

/* Sends a request. Only reads are retried, when the connection fails. */
static enum jl_http_result
perform (struct jl_platform *platform, struct exchange *exchange)
{
  struct jl_http_call call
      = { .endpoint = platform->endpoint,
          .method = exchange->method,
          .target = exchange->target,
          .request = &exchange->request,
          .timeout_us = platform->timeout_ms * JL_USEC_PER_MSEC,
          .response_max_bytes = RESPONSE_MAX_BYTES };
  int attempts = strcmp (exchange->method, "GET") == 0 ? READ_ATTEMPT_MAX : 1;
  enum jl_http_result result;

  do
    {
      jl_http_message_clear (&exchange->response);
      jl_http_message_init (&exchange->response);
      result = jl_http_perform (platform->pool, &call, &exchange->status,
                                &exchange->response);
    }
  while (--attempts > 0 && result == JL_HTTP_BROKEN);
  return result;
}

/* Sends a request. Returns false with @error unless the status is a success. */
static bool
send_exchange (struct jl_platform *platform,
               struct exchange *exchange,
               GError **error)
{
  switch (perform (platform, exchange))
    {
    case JL_HTTP_COMPLETED:
      return check_status (exchange, error);
    case JL_HTTP_NOT_SENT:
      return fail (error, JL_PLATFORM_ERROR_UNREACHABLE, "cannot be reached");
    case JL_HTTP_TIMEOUT:
      return fail (error, JL_PLATFORM_ERROR_UNKNOWN,
                   "no response within the timeout");
    case JL_HTTP_TOO_LARGE:
      return fail (error, JL_PLATFORM_ERROR_UNKNOWN, "response is too large");
    default:
      return fail (error, JL_PLATFORM_ERROR_UNKNOWN, "connection broke");
    }
}

char *
jl_platform_read (struct jl_platform *platform,
                  const char *key,
                  char **etag,
                  GError **error)
{
  struct exchange exchange;
  char *value = NULL;

  init_exchange (&exchange, "GET", "/table/", key);
  if (send_exchange (platform, &exchange, error))
    {
      value = g_strdup (exchange.response.body->str);
      if (etag != NULL)
        *etag = g_strdup (jl_http_header (&exchange.response, "ETag"));
    }
  clear_exchange (&exchange);
  return value;
}

/*
 * Writes a row under the condition in the header @name; a NULL @condition
 * writes it unconditionally.
 */
static bool
write_row (struct jl_platform *platform,
           const char *key,
           const char *value,
           const char *name,
           const char *condition,
           GError **error)
{
  struct exchange exchange;
  bool written;

  init_exchange (&exchange, "PUT", "/table/", key);
  if (condition != NULL)
    jl_http_add_header (&exchange.request, name, condition);
  g_string_append (exchange.request.body, value);
  written = send_exchange (platform, &exchange, error);
  clear_exchange (&exchange);
  return written;
}

bool
jl_platform_insert (struct jl_platform *platform,
                    const char *key,
                    const char *value,
                    GError **error)
{
  return write_row (platform, key, value, "If-None-Match", "*", error);
}

bool
jl_platform_replace (struct jl_platform *platform,
                     const char *key,
                     const char *value,
                     const char *etag,
                     GError **error)
{
  return write_row (platform, key, value, "If-Match", etag, error);
}

/* Adds the members of an object to @rows; false if one is not a string. */
static bool
add_rows (GHashTable *rows, struct json_object *object)
{
  if (!json_object_is_type (object, json_type_object))
    return false;
  json_object_object_foreach (object, key, value)
  {
    if (!json_object_is_type (value, json_type_string))
      return false;
    g_hash_table_insert (rows, g_strdup (key),
                         g_strdup (json_object_get_string (value)));
  }
  return true;
}

static bool
parse_rows (GHashTable *rows, const char *text)
{
  struct json_object *object = json_tokener_parse (text);
  bool valid = add_rows (rows, object);

  json_object_put (object);
  return valid;
}

GHashTable *
jl_platform_list (struct jl_platform *platform,
                  const char *prefix,
                  GError **error)
{
  g_autoptr (GHashTable) rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  struct exchange exchange;
  bool valid;

  init_exchange (&exchange, "GET", "/table?prefix=", prefix);
  valid = send_exchange (platform, &exchange, error);
  if (valid && !parse_rows (rows, exchange.response.body->str))
    valid = fail (error, JL_PLATFORM_ERROR_REFUSED, "malformed list of rows");
  clear_exchange (&exchange);
  return valid ? g_steal_pointer (&rows) : NULL;
}
