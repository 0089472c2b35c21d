/**
 * DOC: Request handler of the port for the target and the operators' tool.
 */

#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>

#include "daemon/exchange.h"
#include "daemon/hooks.h"
#include "jackdawladder/log.h"

/* Limit on the body of an announcement. */
#define ANNOUNCEMENT_MAX_BYTES 4096
/* Upper bound of the slots and connections that a target can announce. */
#define SLOTS_MAX 100000

/*
 * Reads an integer from 0 to @max from an object. Returns false if it is
 * missing or out of range.
 */
static bool
get_number (struct json_object *object,
            const char *key,
            uint64_t max,
            uint64_t *number)
{
  struct json_object *value = NULL;
  int64_t wide;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_int))
    return false;
  wide = json_object_get_int64 (value);
  if (wide < 0 || (uint64_t)wide > max)
    return false;
  *number = (uint64_t)wide;
  return true;
}

/* Decodes an announcement; returns false if it is malformed. */
static bool
read_announcement (struct json_object *object,
                   struct jl_event_announce *announce)
{
  struct json_object *service = NULL;
  uint64_t slots = 0;
  uint64_t connections = 0;

  if (!json_object_is_type (object, json_type_object)
      || !json_object_object_get_ex (object, "service", &service)
      || !json_object_is_type (service, json_type_string))
    return false;
  if (g_strlcpy (announce->service, json_object_get_string (service),
                 JL_NAME_SIZE)
      >= JL_NAME_SIZE)
    return false;
  if (!get_number (object, "slots", SLOTS_MAX, &slots) || slots == 0
      || !get_number (object, "connections", SLOTS_MAX, &connections)
      || !get_number (object, "started", INT64_MAX, &announce->started))
    return false;
  announce->slots = (uint32_t)slots;
  announce->connections = (uint32_t)connections;
  return true;
}

static void
serve_announce (struct jl_daemon *daemon, struct jl_http_exchange *exchange)
{
  struct jl_event event = { .type = JL_EVENT_ANNOUNCE };
  struct json_object *object;
  bool valid;

  if (jl_http_read_body (exchange, ANNOUNCEMENT_MAX_BYTES)
      != JL_HTTP_BODY_COMPLETE)
    {
      jl_respond_text (exchange, 413, "announcement too large or broken");
      return;
    }
  object = json_tokener_parse (exchange->request.body->str);
  valid = read_announcement (object, &event.announce);
  json_object_put (object);
  if (!valid)
    {
      jl_log_text (JL_LOG_MALFORMED_REQUEST, "announcement");
      jl_respond_text (exchange, 400,
                       "want service, slots, connections and started");
      return;
    }
  jl_daemon_post (daemon, &event);
  jl_respond_text (exchange, 200, "announced");
}

/* Posts an event without data and responds with @text. */
static void
serve_event (struct jl_daemon *daemon,
             struct jl_http_exchange *exchange,
             enum jl_event_type type,
             const char *text)
{
  struct jl_event event = { .type = type };

  jl_daemon_post (daemon, &event);
  jl_respond_text (exchange, 200, text);
}

static void
serve_dump (struct jl_daemon *daemon, struct jl_http_exchange *exchange)
{
  exchange->status = 200;
  jl_http_add_header (&exchange->response, "Content-Type", "application/json");
  jl_daemon_lock (daemon);
  jl_core_dump (daemon->core, exchange->response.body);
  jl_daemon_unlock (daemon);
}

static void
serve_metrics (struct jl_daemon *daemon, struct jl_http_exchange *exchange)
{
  struct jl_control_counts counts;
  GString *out = exchange->response.body;

  exchange->status = 200;
  jl_http_add_header (&exchange->response, "Content-Type",
                      "text/plain; version=0.0.4");
  jl_daemon_lock (daemon);
  jl_core_counters (daemon->core, out);
  jl_daemon_unlock (daemon);
  jl_control_get_counts (daemon->control, &counts);
  g_string_append_printf (
      out,
      "# TYPE jackdawladder_control_sent_bytes_total counter\n"
      "jackdawladder_control_sent_bytes_total %" PRIu64 "\n"
      "# TYPE jackdawladder_control_received_bytes_total counter\n"
      "jackdawladder_control_received_bytes_total %" PRIu64 "\n"
      "# TYPE jackdawladder_control_malformed_total counter\n"
      "jackdawladder_control_malformed_total %" PRIu64 "\n",
      counts.sent_bytes, counts.received_bytes, counts.malformed);
}

static void
serve_status (struct jl_daemon *daemon, struct jl_http_exchange *exchange)
{
  exchange->status = 200;
  jl_http_add_header (&exchange->response, "Content-Type", "application/json");
  jl_daemon_lock (daemon);
  jl_core_status (daemon->core, exchange->response.body);
  jl_daemon_unlock (daemon);
}

/* Whether this daemon has a configuration newer than @version. */
static bool
has_newer_config (struct jl_daemon *daemon, uint64_t version)
{
  struct jl_config *config = jl_daemon_get_config (daemon);
  bool newer = config != NULL && config->version > version;

  jl_config_drop (config);
  return newer;
}

/* Installs a configuration from the tool, which has already stored it in the
   platform's table. */
static void
serve_new_config (struct jl_daemon *daemon, struct jl_http_exchange *exchange)
{
  const char *text = jl_http_header (&exchange->request, "Jl-Config-Version");
  const GString *body = exchange->request.body;
  GError *error = NULL;
  uint64_t version;

  if (text == NULL
      || !g_ascii_string_to_unsigned (text, 10, 1, INT64_MAX, &version, NULL))
    jl_respond_text (exchange, 400, "want Jl-Config-Version");
  else if (jl_http_read_body (exchange, JL_CONFIG_BYTES_MAX)
           != JL_HTTP_BODY_COMPLETE)
    jl_respond_text (exchange, 413, "document too large or broken");
  else if (!jl_daemon_install (daemon, body->str, body->len, version, &error))
    {
      jl_respond_text (exchange, 422, error->message);
      g_error_free (error);
    }
  else if (has_newer_config (daemon, version))
    jl_respond_text (exchange, 409, "a newer version is in force");
  else
    jl_respond_text (exchange, 200, "installed");
}

/* Processes a call that the target makes while it runs a work item. */
static void
serve_target_call (struct jl_daemon *daemon, struct jl_http_exchange *exchange)
{
  const char *work = jl_http_header (&exchange->request, "Jl-Work");
  const char *ordinal = jl_http_header (&exchange->request, "Jl-Ordinal");
  struct jl_call_origin origin = { .ordinal = JL_NONE };
  uint64_t number;

  if (work == NULL
      || !g_ascii_string_to_unsigned (work, 10, 1, UINT64_MAX, &origin.parent,
                                      NULL))
    {
      jl_respond_text (exchange, 400, "want Jl-Work");
      return;
    }
  if (ordinal != NULL
      && g_ascii_string_to_unsigned (ordinal, 10, 0, JL_NONE - 1, &number,
                                     NULL))
    origin.ordinal = (uint32_t)number;
  jl_serve_call (daemon, exchange, &origin);
}

static void
serve_post (struct jl_daemon *daemon, struct jl_http_exchange *exchange)
{
  if (strcmp (exchange->path, "/jl/announce") == 0)
    serve_announce (daemon, exchange);
  else if (strcmp (exchange->path, "/jl/leave") == 0)
    serve_event (daemon, exchange, JL_EVENT_TARGET_LEAVE, "left");
  else if (strcmp (exchange->path, "/jl/drain") == 0)
    {
      jl_daemon_drain (daemon);
      jl_respond_text (exchange, 200, "draining");
    }
  else if (strcmp (exchange->path, "/jl/config") == 0)
    serve_new_config (daemon, exchange);
  else
    jl_respond_text (exchange, 404, "not found");
}

static void
serve_get (struct jl_daemon *daemon, struct jl_http_exchange *exchange)
{
  if (strcmp (exchange->path, "/jl/dump") == 0)
    serve_dump (daemon, exchange);
  else if (strcmp (exchange->path, "/jl/metrics") == 0)
    serve_metrics (daemon, exchange);
  else if (strcmp (exchange->path, "/jl/status") == 0)
    serve_status (daemon, exchange);
  else if (strcmp (exchange->path, "/jl/config") == 0)
    jl_daemon_serve_config (daemon, exchange);
  else
    jl_respond_text (exchange, 404, "not found");
}

void
jl_local_handle (void *context, struct jl_http_exchange *exchange)
{
  if (jl_hooks_handle (exchange))
    return;
  if (!g_str_has_prefix (exchange->path, "/jl/"))
    serve_target_call (context, exchange);
  else if (strcmp (exchange->method, "POST") == 0)
    serve_post (context, exchange);
  else if (strcmp (exchange->method, "GET") == 0)
    serve_get (context, exchange);
  else
    jl_respond_text (exchange, 405, "GET or POST");
}
