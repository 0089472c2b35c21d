/**
 * DOC: The addresses beside the ways of requests: readiness, heartbeats of the
 * own target, metrics.
 */

#include "proxy/proxy.h"

#include "decode.h"
#include "names.h"
#include "proxy/rows.h"

#include <string.h>

/* Largest heartbeat, in bytes. */
#define HEARTBEAT_BYTES_MAX 65536
/* Longest wait of a leaving target for the store: it is answered within a
 * second, or asks another daemon. */
#define LEFT_WAIT_US (300 * JL_USEC_PER_MSEC)

static void
answer_text (struct jl_request *request, unsigned status, const char *text)
{
  jl_request_reply (request, status, "Content-Type: text/plain\r\n", text,
                    strlen (text));
}

static void
on_ready_begin (void *context, struct jl_request *request)
{
  const struct jl_proxy *proxy = context;
  const char *target = jl_head_target (jl_request_head (request));

  if (strcmp (target, JL_WIRE_READY_PATH) != 0)
    answer_text (request, 404, "not found\n");
  else if (jl_proxy_ready (proxy))
    answer_text (request, 200, "ready\n");
  else
    answer_text (request, 503, "not ready\n");
}

const struct jl_handler jl_ready_handler = { .begin = on_ready_begin };

static void
answer_json (struct jl_request *request, unsigned status)
{
  jl_request_reply (request, status, "Content-Type: application/json\r\n", "{}",
                    2);
}

static const char *
announced_id (struct jl_request *request)
{
  const char *target = jl_head_target (jl_request_head (request));

  if (!g_str_has_prefix (target, JL_WIRE_ANNOUNCE_PATH))
    return NULL;
  return target + strlen (JL_WIRE_ANNOUNCE_PATH);
}

/* The target's leaving binds later lives of this daemon only once written. */
static void
acknowledge_left (struct jl_proxy *proxy)
{
  jl_timer_stop (proxy->loop->timers, &proxy->left_timer);
  for (guint i = 0; i < proxy->left_waiting->len; i++)
    answer_json (g_ptr_array_index (proxy->left_waiting, i), 200);
  jl_record (JL_RECORD_CHANGE, JL_RECORD_LEAVING_ACKNOWLEDGED,
             "target=%s written=%d heartbeats=%u", proxy->target.last.id,
             proxy->left_written, proxy->left_waiting->len);
  g_ptr_array_set_size (proxy->left_waiting, 0);
}

void
jl_pages_left_written (struct jl_proxy *proxy)
{
  if (proxy->left_waiting->len > 0)
    acknowledge_left (proxy);
}

static void
on_left_timer (void *context, struct jl_timer *timer)
{
  (void)timer;
  acknowledge_left (context);
}

static void
answer_leaving (struct jl_proxy *proxy, struct jl_request *request)
{
  jl_rows_keep_left (proxy);
  if (proxy->left_written)
    {
      answer_json (request, 200);
      return;
    }
  if (proxy->left_waiting->len == 0)
    jl_loop_after (proxy->loop, &proxy->left_timer, LEFT_WAIT_US, on_left_timer,
                   proxy);
  g_ptr_array_add (proxy->left_waiting, request);
}

static void
take_leave (struct jl_proxy *proxy, struct jl_request *request, const char *id)
{
  if (jl_target_mark_left (&proxy->target, id,
                           (uint64_t)g_get_real_time () / JL_USEC_PER_MSEC))
    jl_proxy_target_changed (proxy, "left");
  answer_leaving (proxy, request);
}

static void
take_heartbeat (struct jl_proxy *proxy,
                struct jl_request *request,
                const char *id,
                const GByteArray *body)
{
  struct jl_heartbeat heartbeat;
  GError *error = NULL;

  if (!jl_platform_heartbeat ((const char *)body->data, body->len, &heartbeat,
                              &error))
    {
      jl_record (JL_RECORD_CHANGE, JL_RECORD_TARGET_HEARTBEAT_REFUSED,
                 "target=%.60s cause=\"%s\"", id, error->message);
      g_error_free (error);
      answer_json (request, 400);
      return;
    }
  g_strlcpy (heartbeat.id, id, sizeof heartbeat.id);
  if (jl_target_apply_heartbeat (&proxy->target, &heartbeat, jl_now ()))
    jl_proxy_target_changed (proxy, "heartbeat");
  if (heartbeat.draining)
    answer_leaving (proxy, request);
  else
    answer_json (request, 200);
}

static void
on_announce_begin (void *context, struct jl_request *request)
{
  struct jl_proxy *proxy = context;
  const char *id = announced_id (request);
  const char *method = jl_request_head (request)->method;

  if (id == NULL || *id == '\0' || strlen (id) >= JL_TEXT_SIZE)
    answer_json (request, 404);
  else if (strcmp (method, "DELETE") == 0)
    take_leave (proxy, request, id);
  else if (strcmp (method, "PUT") == 0)
    jl_request_set_data (request, g_byte_array_new ());
  else
    answer_json (request, 405);
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
  take_heartbeat (context, request, announced_id (request), body);
  g_byte_array_free (body, TRUE);
}

static void
on_announce_gone (void *context, struct jl_request *request)
{
  struct jl_proxy *proxy = context;
  GByteArray *body = jl_request_data (request);

  g_ptr_array_remove (proxy->left_waiting, request);
  if (body != NULL)
    g_byte_array_free (body, TRUE);
}

const struct jl_handler jl_announce_handler = {
  .begin = on_announce_begin,
  .body = on_announce_body,
  .end = on_announce_end,
  .gone = on_announce_gone,
};

static void
print_counter (GString *text, const char *name, uint64_t value)
{
  g_string_append_printf (text, "jackdawladder_%s %" G_GUINT64_FORMAT "\n",
                          name, (guint64)value);
}

static void
print_histogram (GString *text,
                 const char *name,
                 const struct jl_histogram *histogram)
{
  uint64_t sum = 0;

  for (unsigned i = 0; i < JL_HISTOGRAM_BUCKETS; i++)
    {
      sum += histogram->buckets[i];
      g_string_append_printf (
          text, "jackdawladder_%s_ms_bucket{le=\"%u\"} %" G_GUINT64_FORMAT "\n",
          name, 1u << i, (guint64)sum);
    }
  g_string_append_printf (text,
                          "jackdawladder_%s_ms_sum %.3f\n"
                          "jackdawladder_%s_ms_count %" G_GUINT64_FORMAT "\n",
                          name, (double)histogram->sum_us / 1000, name,
                          (guint64)histogram->count);
}

static void
print_counters (GString *text, const struct jl_proxy *proxy)
{
  const struct jl_proxy_counters *counters = &proxy->counters;
  const struct jl_store_counters *store = jl_store_counters (proxy->store);
  const struct jl_net_counters *net = jl_net_counters (proxy->net);

  print_counter (text, "requests_total", counters->requests);
  print_counter (text, "calls_total", counters->calls);
  print_counter (text, "served_total", counters->served);
  print_counter (text, "refused_total", counters->refused);
  print_counter (text, "failed_total", counters->failed);
  print_counter (text, "clients_left_total", counters->left);
  print_counter (text, "placed_again_total", counters->placed_again);
  print_counter (text, "other_zone_total", counters->other_zone);
  print_counter (text, "work_total", counters->work);
  print_counter (text, "work_refused_total", counters->work_refused);
  print_counter (text, "work_lost_total", counters->work_lost);
  print_counter (text, "answers_dropped_total", counters->answers_dropped);
  print_counter (text, "beacons_received_total", counters->beacons_in);
  print_counter (text, "beacons_sent_total", counters->beacons_out);
  print_counter (text, "store_reads_total", store->reads);
  print_counter (text, "store_writes_total", store->writes);
  print_counter (text, "store_failures_total", store->failures);
  print_counter (text, "connections_accepted_total", net->accepted);
  print_counter (text, "connections_made_total", net->connected);
  print_counter (text, "bytes_received_total", net->bytes_in);
  print_counter (text, "bytes_sent_total", net->bytes_out);
  print_histogram (text, "request", &counters->request_time);
  print_histogram (text, "lane", &counters->lane_time);
  print_histogram (text, "target", &counters->target_time);
}

static void
print_state (GString *text, const struct jl_proxy *proxy)
{
  uint64_t now_us = jl_now ();

  g_string_append_printf (
      text,
      "# state: site=%" PRIx64 " target=%s/%s running=%u waiting=%u limit=%u "
      "shed=%.3f room=%.3f hold_ms=%.1f stopping=%d\n",
      proxy->site != NULL ? proxy->site->version : 0, proxy->target.last.id,
      jl_target_state_name (proxy->target.state), proxy->lane.running,
      proxy->lane.waiting, proxy->lane.limit, proxy->pressure.shed,
      proxy->pressure.spare_share, proxy->pressure.hold_us / 1000,
      proxy->stopping);
  for (guint i = 0; i < proxy->roster.members->len; i++)
    {
      const struct jl_member *member
          = g_ptr_array_index (proxy->roster.members, i);

      g_string_append_printf (
          text,
          "# member: name=%s zone=%s service=%s state=%s heard=%d shed=%.3f "
          "outstanding=%u\n",
          member->name, member->zone, member->service,
          jl_target_state_name (member->state),
          jl_member_is_alive (member, now_us), member->shed,
          member->outstanding);
    }
}

static void
on_metrics_begin (void *context, struct jl_request *request)
{
  const struct jl_proxy *proxy = context;
  const char *target = jl_head_target (jl_request_head (request));
  GString *text = g_string_new (NULL);

  if (strcmp (target, "/metrics") == 0)
    print_counters (text, proxy);
  else if (strcmp (target, "/state") == 0)
    print_state (text, proxy);
  if (text->len > 0)
    answer_text (request, 200, text->str);
  else
    answer_text (request, 404, "not found\n");
  g_string_free (text, TRUE);
}

const struct jl_handler jl_metrics_handler = { .begin = on_metrics_begin };
