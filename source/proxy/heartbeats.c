/**
 * DOC: HTTP listener for the heartbeats and leaves of the local target.
 *
 * The own target is the one that the settings name by its address and service.
 * Nobody else's heartbeat changes anything here or is acknowledged.
 */

#include "proxy/proxy.h"

#include "decode.h"
#include "names.h"
#include "proxy/hooks.h"
#include "proxy/report.h"
#include "proxy/rows.h"
#include "proxy/watch.h"

#include <string.h>

/* Maximum size of a heartbeat. Data that would exceed it is dropped, so
 * that a larger heartbeat is refused as malformed. */
#define HEARTBEAT_BYTES_MAX 65536
/* Most bytes of a text of a refused heartbeat that are logged. */
#define LOGGED_BYTES_MAX 60
/* Status of the response to a heartbeat of another target. */
#define STATUS_MISDIRECTED 421
/* Status of the response to a heartbeat that is not believed yet: a target that
 * lives sends the next one soon. Also that of the response to a leave that the
 * store has not recorded. */
#define STATUS_UNAVAILABLE 503
/* Maximum time for which the response to a leave announcement waits for other
 * daemons. */
#define TELL_TIMEOUT_US (300 * JL_USEC_PER_MSEC)
/* The same for a daemon that has just been started: it needs more time to hear
 * others. */
#define TELL_START_TIMEOUT_US (700 * JL_USEC_PER_MSEC)
/* Period of checks whether a leave announcement can be answered. */
#define LEAVE_CHECK_PERIOD_US (10 * JL_USEC_PER_MSEC)

static void
respond_json (struct jl_request *request, unsigned status)
{
  jl_request_reply (request, status, "Content-Type: application/json\r\n", "{}",
                    2);
}

/* Returns the identifier in the path of an announcement, NULL for other
 * paths. */
static const char *
announced_id (struct jl_request *request)
{
  const char *target = jl_head_target (jl_request_head (request));

  if (!g_str_has_prefix (target, JL_PATH_INSTANCES))
    return NULL;
  return target + strlen (JL_PATH_INSTANCES);
}

/* Tells others of a leave. Beacons cannot tell it if no heartbeat of the target
 * has arrived. */
static void
tell_leave (struct jl_proxy *proxy, struct jl_request *request)
{
  if (proxy->target.state == JL_TARGET_NONE)
    jl_news_send_own_departure (proxy->news, announced_id (request));
  else
    jl_beacon_send_now (proxy->beacon);
}

static enum jl_leave_answer
leave_answer (const struct jl_proxy *proxy, struct jl_request *request)
{
  struct jl_leave_progress progress = {
    .written = proxy->departed_row_acknowledged,
    .told = jl_proxy_has_heard_others (proxy),
    .asked_us = proxy->leave_asked_us,
    .tell_timeout_us = proxy->leave_tell_timeout_us,
  };

  return jl_leave_ack_decide (&proxy->leave_ack, announced_id (request),
                              &progress, jl_now ());
}

/* Answers a leave announcement if that can be decided. Returns whether it was.
 */
static bool
answer_leave (struct jl_proxy *proxy, struct jl_request *request)
{
  enum jl_leave_answer answer = leave_answer (proxy, request);
  bool acknowledged = answer == JL_LEAVE_ACKNOWLEDGED;

  if (answer == JL_LEAVE_PENDING)
    return false;
  tell_leave (proxy, request);
  jl_record (acknowledged ? JL_RECORD_CHANGE : JL_RECORD_FAILURE,
             JL_RECORD_LEAVING_ACKNOWLEDGED,
             "target=%s acknowledged=%d written=%d waited_ms=%" PRIu64,
             announced_id (request), acknowledged,
             proxy->departed_row_acknowledged,
             (jl_now () - proxy->leave_asked_us) / JL_USEC_PER_MSEC);
  respond_json (request, acknowledged ? 200 : STATUS_UNAVAILABLE);
  return true;
}

void
jl_heartbeats_answer_leaves (struct jl_proxy *proxy)
{
  for (guint i = proxy->leave_requests->len; i-- > 0;)
    {
      struct jl_request *request
          = g_ptr_array_steal_index (proxy->leave_requests, i);

      if (!answer_leave (proxy, request))
        g_ptr_array_insert (proxy->leave_requests, (gint)i, request);
    }
  if (proxy->leave_requests->len == 0)
    jl_timer_stop (proxy->loop->timers, &proxy->leave_timer);
}

static void
on_leave_timer (void *context, struct jl_timer *timer)
{
  struct jl_proxy *proxy = context;

  jl_heartbeats_answer_leaves (proxy);
  if (proxy->leave_requests->len > 0)
    jl_loop_start_timer (proxy->loop, timer, LEAVE_CHECK_PERIOD_US,
                         on_leave_timer, proxy);
}

/* Responds to a leave announcement once the leave is final, or after a timeout.
 * The leave is in force at once. */
static void
respond_to_leave (struct jl_proxy *proxy, struct jl_request *request)
{
  jl_leave_ack_note (&proxy->leave_ack, announced_id (request), jl_now ());
  jl_rows_write_departed (proxy);
  if (proxy->target.state == JL_TARGET_NONE)
    tell_leave (proxy, request);
  if (proxy->leave_requests->len == 0)
    {
      proxy->leave_asked_us = jl_now ();
      proxy->leave_tell_timeout_us = jl_proxy_has_heard_others (proxy)
                                         ? TELL_TIMEOUT_US
                                         : TELL_START_TIMEOUT_US;
    }
  if (leave_answer (proxy, request) == JL_LEAVE_ACKNOWLEDGED)
    {
      respond_json (request, 200);
      return;
    }
  if (proxy->leave_requests->len == 0)
    jl_loop_start_timer (proxy->loop, &proxy->leave_timer,
                         LEAVE_CHECK_PERIOD_US, on_leave_timer, proxy);
  g_ptr_array_add (proxy->leave_requests, request);
}

/* Acts on a reinstatement: the entries and the next incarnation of this daemon
 * have to know it. */
static void
handle_reinstated (struct jl_proxy *proxy)
{
  jl_proxy_target_changed (proxy, "reinstated");
  jl_rows_write_departed (proxy);
}

/* Logs that a heartbeat is not believed yet, once for each incarnation. */
static void
log_held (const struct jl_proxy *proxy)
{
  const struct jl_heartbeat *held = &proxy->target.held;

  jl_record (JL_RECORD_CHANGE, JL_RECORD_TARGET_HELD,
             "target=%s born=%" PRIu64 " sequence=%" PRIu64
             " row_read=%d vouched=%d site=%" PRIx64,
             held->id, held->started_ms, held->sequence,
             proxy->target.recall.row_read,
             proxy->target.recall.vouched_us != 0,
             proxy->site != NULL ? proxy->site->version : 0);
}

/* Whether a heartbeat of the same incarnation is held. */
static bool
is_incarnation_held (const struct jl_target *target,
                     const struct jl_heartbeat *heartbeat)
{
  return target->is_held && target->held.started_ms == heartbeat->started_ms
         && strcmp (target->held.id, heartbeat->id) == 0;
}

static void
apply_heartbeat (struct jl_proxy *proxy, const struct jl_heartbeat *heartbeat)
{
  struct jl_target *target = &proxy->target;
  uint64_t up_since_us = target->up_since_us;
  unsigned reinstated = target->reinstated;
  bool was_held = is_incarnation_held (target, heartbeat);
  bool changed;

  if (jl_target_is_replaced_by (target, heartbeat))
    jl_watch_target_ended (proxy->watch, JL_TARGET_END_REPLACED);
  changed = jl_target_apply_heartbeat (target, heartbeat, jl_now ());
  if (target->reinstated != reinstated)
    handle_reinstated (proxy);
  else if (changed)
    jl_proxy_target_changed (proxy, "heartbeat");
  if (target->up_since_us != up_since_us)
    jl_watch_begin (proxy->watch);
  if (target->state == JL_TARGET_UP)
    jl_leave_ack_forget (&proxy->leave_ack, target->last.id);
  if (!was_held && is_incarnation_held (target, heartbeat))
    log_held (proxy);
}

static void
on_held_timer (void *context, struct jl_timer *timer)
{
  (void)timer;
  jl_heartbeats_check_held (context);
}

void
jl_heartbeats_check_held (struct jl_proxy *proxy)
{
  uint64_t retry_us = jl_recall_retry_us (&proxy->target.recall, jl_now ());

  if (jl_target_apply_held (&proxy->target, jl_now ()))
    {
      jl_proxy_target_changed (proxy, "heartbeat");
      jl_watch_begin (proxy->watch);
    }
  if (retry_us > 0)
    jl_loop_start_timer (proxy->loop, &proxy->held_timer, retry_us,
                         on_held_timer, proxy);
}

void
jl_heartbeats_note_leave (struct jl_proxy *proxy,
                          const char *id,
                          const char *cause)
{
  uint64_t now_ms = (uint64_t)g_get_real_time () / JL_USEC_PER_MSEC;

  if (jl_target_mark_departed (&proxy->target, id, 0, now_ms))
    jl_proxy_target_changed (proxy, cause);
  jl_rows_write_departed (proxy);
}

void
jl_heartbeats_reinstate (struct jl_proxy *proxy, const char *id)
{
  if (id == NULL || !jl_target_reinstate (&proxy->target, id, jl_now ()))
    return;
  handle_reinstated (proxy);
  jl_watch_begin (proxy->watch);
}

/* Whether a target with this identifier runs beside another daemon. Digests of
 * other zones tell only its key, here of one without a start time. */
static bool
is_beside_other (const struct jl_proxy *proxy, const char *id)
{
  uint64_t now_us = jl_now ();

  for (guint i = 0; i < proxy->roster.members->len; i++)
    {
      const struct jl_member *member
          = g_ptr_array_index (proxy->roster.members, i);

      if (member != proxy->self && jl_member_is_alive (member, now_us)
          && (strcmp (member->target, id) == 0
              || member->target_key == jl_target_make_key (member->key, id, 0)))
        return true;
    }
  return false;
}

/* Returns why a leave cannot be acknowledged, NULL if it can. */
static const char *
leave_refusal (const struct jl_proxy *proxy, const char *id, uint64_t now_ms)
{
  const struct jl_target *target = &proxy->target;

  if ((target->state != JL_TARGET_NONE && strcmp (target->last.id, id) == 0)
      || (target->is_held && strcmp (target->held.id, id) == 0))
    return NULL;
  if (is_beside_other (proxy, id))
    return "beside another daemon";
  if (!jl_target_can_mark_departed (target, id, now_ms))
    return "too many unknown targets left";
  return NULL;
}

static void
refuse_leave (struct jl_request *request, const char *id, const char *cause)
{
  char *text = g_strescape (id, NULL);

  jl_record (JL_RECORD_FAILURE, JL_RECORD_TARGET_HEARTBEAT_REFUSED,
             "target=%.*s cause=\"%s\" leave=1", LOGGED_BYTES_MAX, text, cause);
  g_free (text);
  respond_json (request, STATUS_MISDIRECTED);
}

static void
handle_leave (struct jl_proxy *proxy,
              struct jl_request *request,
              const char *id,
              const GByteArray *body)
{
  uint64_t now_ms = (uint64_t)g_get_real_time () / JL_USEC_PER_MSEC;
  uint64_t started_ms
      = jl_platform_decode_leave ((const char *)body->data, body->len);
  const char *refusal;

  refusal = leave_refusal (proxy, id, now_ms);
  if (refusal != NULL)
    {
      refuse_leave (request, id, refusal);
      return;
    }
  if (jl_target_mark_departed (&proxy->target, id, started_ms, now_ms))
    jl_proxy_target_changed (proxy, "left");
  respond_to_leave (proxy, request);
}

/* Whether a heartbeat comes from the target that the settings name. */
static bool
is_own (const struct jl_proxy *proxy, const struct jl_heartbeat *heartbeat)
{
  return JL_TEST_DISABLED ("own")
         || (jl_endpoint_equal (heartbeat->address, proxy->options->target)
             && strcmp (heartbeat->service, proxy->options->service) == 0);
}

/* Whether a heartbeat is held, and no leave or later one has come since. */
static bool
is_held (const struct jl_proxy *proxy, const struct jl_heartbeat *heartbeat)
{
  const struct jl_target *target = &proxy->target;

  return is_incarnation_held (target, heartbeat)
         && target->held.sequence == heartbeat->sequence;
}

static void
refuse_foreign (const struct jl_proxy *proxy,
                struct jl_request *request,
                const struct jl_heartbeat *heartbeat)
{
  char *service = g_strescape (heartbeat->service, NULL);
  char address[JL_ENDPOINT_TEXT_SIZE];
  char target[JL_ENDPOINT_TEXT_SIZE];

  jl_endpoint_format (heartbeat->address, address);
  jl_endpoint_format (proxy->options->target, target);
  jl_record (JL_RECORD_FAILURE, JL_RECORD_TARGET_HEARTBEAT_REFUSED,
             "target=%.*s cause=\"not the own target\" address=%s "
             "service=\"%.*s\" settings_target=%s settings=%s draining=%d",
             LOGGED_BYTES_MAX, heartbeat->id, address, LOGGED_BYTES_MAX,
             service, target, proxy->options->service, heartbeat->draining);
  g_free (service);
  respond_json (request, STATUS_MISDIRECTED);
}

static void
handle_heartbeat (struct jl_proxy *proxy,
                  struct jl_request *request,
                  const char *id,
                  const GByteArray *body)
{
  struct jl_heartbeat heartbeat;
  GError *error = NULL;

  if (!jl_platform_decode_heartbeat ((const char *)body->data, body->len,
                                     &heartbeat, &error))
    {
      jl_record (JL_RECORD_CHANGE, JL_RECORD_TARGET_HEARTBEAT_REFUSED,
                 "target=%.60s cause=\"%s\"", id, error->message);
      g_error_free (error);
      respond_json (request, 400);
      return;
    }
  g_strlcpy (heartbeat.id, id, sizeof heartbeat.id);
  if (!is_own (proxy, &heartbeat))
    jl_proxy_renew_settings (proxy);
  if (!is_own (proxy, &heartbeat))
    {
      refuse_foreign (proxy, request, &heartbeat);
      return;
    }
  apply_heartbeat (proxy, &heartbeat);
  if (heartbeat.draining)
    respond_to_leave (proxy, request);
  else
    respond_json (request,
                  is_held (proxy, &heartbeat) ? STATUS_UNAVAILABLE : 200);
}

static void
on_announce_begin (void *context, struct jl_request *request)
{
  const char *id = announced_id (request);
  const char *method = jl_request_head (request)->method;

  (void)context;
  if (id == NULL || *id == '\0' || strlen (id) >= JL_TEXT_SIZE)
    respond_json (request, 404);
  else if (strcmp (method, "DELETE") == 0 || strcmp (method, "PUT") == 0)
    jl_request_set_data (request, g_byte_array_new ());
  else
    respond_json (request, 405);
}

static void
on_announce_body (void *context,
                  struct jl_request *request,
                  const char *data,
                  size_t size)
{
  GByteArray *body = jl_request_data (request);

  (void)context;
  if (body != NULL && body->len + size <= HEARTBEAT_BYTES_MAX)
    g_byte_array_append (body, (const guint8 *)data, (guint)size);
}

static void
on_announce_end (void *context, struct jl_request *request)
{
  GByteArray *body = jl_request_data (request);

  if (body == NULL)
    return;
  jl_request_set_data (request, NULL);
  if (strcmp (jl_request_head (request)->method, "DELETE") == 0)
    handle_leave (context, request, announced_id (request), body);
  else
    handle_heartbeat (context, request, announced_id (request), body);
  g_byte_array_free (body, TRUE);
}

static void
on_announce_disconnected (void *context, struct jl_request *request)
{
  struct jl_proxy *proxy = context;
  GByteArray *body = jl_request_data (request);

  g_ptr_array_remove (proxy->leave_requests, request);
  if (body != NULL)
    g_byte_array_free (body, TRUE);
}

const struct jl_handler jl_announce_handler = {
  .begin = on_announce_begin,
  .body = on_announce_body,
  .end = on_announce_end,
  .disconnected = on_announce_disconnected,
};
