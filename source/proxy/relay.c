/**
 * DOC: Relays bodies between a request and its upstream request.
 */

#include "proxy/relay.h"

#include "policy/content.h"
#include "proxy/proxy.h"

void
jl_relay_init (struct jl_relay *relay, struct jl_request *request)
{
  relay->request = request;
  relay->buffered_body = g_byte_array_new ();
  relay->chunked = jl_request_head (request)->chunked;
  jl_request_set_data (request, relay);
}

void
jl_relay_clear (struct jl_relay *relay)
{
  jl_relay_cancel_upstream (relay);
  g_byte_array_free (relay->buffered_body, TRUE);
}

void
jl_relay_cancel_upstream (struct jl_relay *relay)
{
  if (relay->upstream != NULL)
    jl_upstream_close (relay->upstream);
  relay->upstream = NULL;
}

/* Stops reading the response while its receiver lags behind. */
static void
limit_response_backlog (struct jl_relay *relay)
{
  if (jl_request_backlog (relay->request) > JL_CONN_HIGH_WATER_BYTES)
    jl_upstream_set_read_paused (relay->upstream, true);
}

bool
jl_relay_start_response (struct jl_relay *relay, const char *own_lines)
{
  const struct jl_head *head = jl_upstream_head (relay->upstream);
  const GByteArray *body = jl_upstream_buffered_body (relay->upstream);
  GString *fields = jl_headers_to_client (head);
  bool complete = jl_upstream_is_complete (relay->upstream);

  g_string_append (fields, own_lines);
  relay->response_started = true;
  jl_request_start_response (relay->request, head->status, fields->str,
                             head->has_length || complete,
                             head->has_length ? head->length : body->len);
  g_string_free (fields, TRUE);
  jl_request_write_body (relay->request, (const char *)body->data, body->len);
  jl_upstream_drop_buffered_body (relay->upstream);
  if (!complete)
    limit_response_backlog (relay);
  return complete;
}

void
jl_relay_hold_body (struct jl_relay *relay, const char *data, size_t size)
{
  g_byte_array_append (relay->buffered_body, (const guint8 *)data, (guint)size);
  if (relay->buffered_body->len >= JL_CONTENT_BODY_BYTES_MAX)
    jl_request_set_read_paused (relay->request, true);
}

void
jl_relay_send_body (struct jl_relay *relay, const char *data, size_t size)
{
  jl_upstream_write_body (relay->upstream, data, size, relay->chunked);
  if (jl_upstream_backlog (relay->upstream) > JL_CONN_HIGH_WATER_BYTES)
    jl_request_set_read_paused (relay->request, true);
}

void
jl_relay_send_buffered_body (struct jl_relay *relay)
{
  jl_upstream_write_body (relay->upstream,
                          (const char *)relay->buffered_body->data,
                          relay->buffered_body->len, relay->chunked);
  if (jl_request_is_complete (relay->request))
    jl_upstream_end_body (relay->upstream, relay->chunked);
}

void
jl_relay_on_response_body (void *context,
                           struct jl_upstream *upstream,
                           const char *data,
                           size_t size)
{
  struct jl_relay *relay = context;

  (void)upstream;
  jl_request_write_body (relay->request, data, size);
  limit_response_backlog (relay);
}

void
jl_relay_on_drained (void *context, struct jl_upstream *upstream)
{
  struct jl_relay *relay = context;

  (void)upstream;
  jl_request_set_read_paused (relay->request, false);
}

void
jl_relay_on_end (void *context, struct jl_request *request)
{
  struct jl_relay *relay = jl_request_data (request);

  (void)context;
  if (relay != NULL && relay->upstream != NULL && !relay->response_started)
    jl_upstream_end_body (relay->upstream, relay->chunked);
}

void
jl_relay_on_client_drained (void *context, struct jl_request *request)
{
  struct jl_relay *relay = jl_request_data (request);

  (void)context;
  if (relay != NULL && relay->upstream != NULL)
    jl_upstream_set_read_paused (relay->upstream, false);
}
