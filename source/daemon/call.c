/**
 * DOC: Processes calls: executes the reducer's effects from the arrival of a
 * call to its response.
 *
 * A call is sent to the target of this daemon or to other daemons until the
 * reducer gives the final answer.
 */

#include <string.h>
#include <xxhash.h>

#include "daemon/exchange.h"
#include "daemon/hooks.h"
#include "daemon/response-cache.h"

/* Added to the timeout of a request to another daemon, so that a response that
   the guard sends when the deadline expires still arrives. */
#define RESPONSE_GRACE_US (20 * JL_USEC_PER_MSEC)

/**
 * struct call - one call in progress
 * @config: configuration used for the call, or NULL
 * @kind: index of the request kind in @config
 * @has_body: whether the request body was read completely
 * @digest: hash of method, path and body
 * @status: HTTP status of the last attempt
 * @response: response to the last attempt
 */
struct call
{
  struct jl_daemon *daemon;
  struct jl_http_exchange *exchange;
  const struct jl_call_origin *origin;
  struct jl_waiter waiter;
  struct jl_config *config;
  uint32_t kind;
  bool has_body;
  uint64_t digest;
  uint32_t status;
  struct jl_http_message response;
};

void
jl_respond_text (struct jl_http_exchange *exchange,
                 uint32_t status,
                 const char *text)
{
  exchange->status = status;
  jl_http_add_header (&exchange->response, "Content-Type", "text/plain");
  g_string_append_printf (exchange->response.body, "%s\n", text);
}

static const char *
kind_name (const struct call *call)
{
  return call->config->kinds[call->kind].name;
}

/* Prepares an attempt; it is aborted at once if it was already cancelled. */
static void
start_attempt (struct call *call, struct jl_attempt_id attempt)
{
  struct jl_waiter *waiter = &call->waiter;

  pthread_mutex_lock (&call->daemon->lock);
  waiter->transfer.aborted = waiter->cancelled_attempt == attempt.number;
  pthread_mutex_unlock (&call->daemon->lock);
  g_ptr_array_set_size (call->response.headers, 0);
  g_string_truncate (call->response.body, 0);
}

/* Runs the call at the target of this daemon. */
static void
send_locally (struct call *call,
              const struct jl_effect_send *send,
              struct jl_event_call_result *result)
{
  struct jl_work_run run = { .kind = kind_name (call),
                             .method = call->exchange->method,
                             .target = call->exchange->target,
                             .request = &call->exchange->request };

  run.event.attempt = send->attempt;
  run.event.priority = send->priority;
  run.event.invested_us = send->invested_us;
  run.event.budget_us = send->budget_us;
  run.event.anchor = send->anchor;
  run.event.tokens = send->tokens;
  run.event.digest = send->digest;
  run.response = call->response;
  jl_work_run_execute (call->daemon, &run);
  call->response = run.response;
  call->status = run.status;
  result->result = JL_SEND_ANSWERED;
  result->outcome = run.finish.outcome;
  result->reason = run.finish.reason;
  result->no_retry = run.finish.no_retry;
  result->retry_after_ms = run.finish.retry_after_ms;
  result->tokens = run.finish.tokens;
  result->report = run.finish.report;
  if (run.config != NULL)
    jl_config_drop (run.config);
}

/*
 * Reads the outcome from the headers of another daemon's response. A response
 * with missing headers or of another attempt counts as a broken connection.
 */
static void
read_peer_answer (struct call *call, struct jl_event_call_result *result)
{
  struct jl_peer_answer answer = { 0 };

  if (!jl_peer_get_answer (&call->response, &answer, call->config)
      || !jl_attempt_id_equal (answer.attempt, result->attempt))
    {
      result->result = JL_SEND_BROKEN;
      return;
    }
  result->outcome = answer.outcome;
  result->reason = answer.reason;
  result->no_retry = answer.no_retry;
  result->retry_after_ms = answer.retry_after_ms;
  result->tokens = answer.tokens;
  result->report = answer.report;
}

static enum jl_send_result
to_send_result (enum jl_http_result result)
{
  switch (result)
    {
    case JL_HTTP_COMPLETED:
      return JL_SEND_ANSWERED;
    case JL_HTTP_NOT_SENT:
      return JL_SEND_NOT_SENT;
    case JL_HTTP_TIMEOUT:
      return JL_SEND_TIMEOUT;
    case JL_HTTP_BROKEN:
    case JL_HTTP_ABORTED:
    case JL_HTTP_TOO_LARGE:
      return JL_SEND_BROKEN;
    }
  return JL_SEND_BROKEN;
}

/* Sends the request with the additional headers @extra to another daemon. */
static void
send_to_peer (struct call *call,
              struct jl_endpoint peer,
              uint64_t budget_us,
              struct jl_http_message *extra,
              struct jl_event_call_result *result)
{
  struct jl_http_call http = {
    .endpoint = peer,
    .method = call->exchange->method,
    .target = call->exchange->target,
    .request = extra,
    .timeout_us = budget_us + RESPONSE_GRACE_US,
    .response_max_bytes = call->config->kinds[call->kind].answer_bytes,
    .transfer = &call->waiter.transfer,
    .lock = &call->daemon->lock,
  };
  GString *empty_body = extra->body;

  if (jl_hooks_partitioned (peer.ip))
    {
      result->result = JL_SEND_NOT_SENT;
      return;
    }
  jl_http_copy_headers (extra, &call->exchange->request);
  extra->body = call->exchange->request.body;
  result->result = to_send_result (jl_http_perform (
      call->daemon->pool, &http, &call->status, &call->response));
  extra->body = empty_body;
  if (jl_hooks_partitioned (peer.ip))
    result->result = JL_SEND_BROKEN;
  if (result->result == JL_SEND_ANSWERED)
    read_peer_answer (call, result);
}

static void
send_to_guard (struct call *call,
               const struct jl_effect_send *send,
               struct jl_event_call_result *result)
{
  struct jl_peer_call header = { .attempt = send->attempt,
                                 .priority = send->priority,
                                 .invested_us = send->invested_us,
                                 .budget_us = send->budget_us,
                                 .anchor = send->anchor,
                                 .tokens = send->tokens,
                                 .digest = send->digest };
  struct jl_http_message extra;

  g_strlcpy (header.kind, kind_name (call), JL_NAME_SIZE);
  jl_http_message_init (&extra);
  jl_peer_add_call (&extra, &header);
  send_to_peer (call, send->peer, send->budget_us, &extra, result);
  jl_http_message_clear (&extra);
}

/* Executes a send effect and posts its result to the reducer. */
static void
run_send (struct call *call, const struct jl_effect_send *send)
{
  struct jl_event event = { .type = JL_EVENT_CALL_RESULT };

  start_attempt (call, send->attempt);
  event.call_result.call = send->call;
  event.call_result.attempt = send->attempt;
  if (send->local)
    send_locally (call, send, &event.call_result);
  else
    send_to_guard (call, send, &event.call_result);
  event.call_result.status = call->status;
  jl_daemon_post (call->daemon, &event);
}

/* Executes a forward effect and posts its result to the reducer. */
static void
run_forward (struct call *call, const struct jl_effect_forward *forward)
{
  struct jl_event event = { .type = JL_EVENT_CALL_RESULT };
  struct jl_peer_forward header = { .attempt = forward->attempt,
                                    .ticket = forward->ticket,
                                    .priority = forward->priority,
                                    .invested_us = forward->invested_us,
                                    .budget_us = forward->budget_us,
                                    .tokens = forward->tokens,
                                    .digest = call->digest };
  struct jl_http_message extra;

  start_attempt (call, forward->attempt);
  g_strlcpy (header.kind, kind_name (call), JL_NAME_SIZE);
  event.call_result.call = forward->call;
  event.call_result.attempt = forward->attempt;
  jl_http_message_init (&extra);
  jl_peer_add_forward (&extra, &header);
  send_to_peer (call, forward->peer, forward->budget_us, &extra,
                &event.call_result);
  jl_http_message_clear (&extra);
  event.call_result.status = call->status;
  jl_daemon_post (call->daemon, &event);
}

/* Claims an idempotency key and posts the result to the reducer. */
static void
run_claim (struct call *call, const struct jl_effect_claim *claim)
{
  struct jl_event event = { .type = JL_EVENT_CLAIM_RESULT };
  struct jl_platform *platform = call->daemon->platform;

  event.claim_result.call = claim->call;
  if (platform != NULL)
    event.claim_result.known
        = jl_platform_claim (platform, claim->key_hash, claim->ticket,
                             &event.claim_result.owner_ticket, NULL);
  jl_daemon_post (call->daemon, &event);
}

/* Maps an answer without a response of the target to an HTTP status. */
static uint32_t
status_of (const struct jl_effect_answer *answer)
{
  switch (answer->reason)
    {
    case JL_REASON_NO_KIND:
      return 404;
    case JL_REASON_KEY_REUSED:
    case JL_REASON_IN_PROGRESS:
      return 409;
    default:
      return answer->outcome == JL_OUTCOME_NOT_RUN ? 503 : 504;
    }
}

/* Adds the response headers for callers. */
static void
add_outcome_headers (struct jl_http_message *message,
                     const struct jl_effect_answer *answer)
{
  jl_http_add_header (message, "Jl-Outcome", jl_outcome_name (answer->outcome));
  jl_http_add_header (message, "Jl-Sending",
                      jl_outcome_name (answer->attempt_outcome));
  jl_http_add_header (message, "Jl-Reason", jl_reason_name (answer->reason));
  if (answer->retry_after_ms > 0)
    {
      jl_http_add_number (message, "Retry-After",
                          (answer->retry_after_ms + 999) / 1000);
      jl_http_add_number (message, "Jl-Retry-After-Ms", answer->retry_after_ms);
    }
  if (answer->next_ticket.number != 0)
    {
      char ticket[JL_ID_TEXT_SIZE];

      jl_ticket_format (answer->next_ticket, ticket);
      jl_http_add_header (message, "Jl-Ticket", ticket);
    }
}

/* Adds the response headers for the daemon that forwarded the call. */
static void
add_peer_answer (struct call *call, const struct jl_effect_answer *answer)
{
  struct jl_peer_answer header = { .outcome = answer->outcome,
                                   .reason = answer->reason,
                                   .no_retry = true,
                                   .retry_after_ms = answer->retry_after_ms,
                                   .tokens = answer->tokens,
                                   .report = answer->report };

  header.attempt = call->origin->forward->attempt;
  jl_peer_add_answer (&call->exchange->response, &header, call->config);
}

/*
 * Copies the target's response from this attempt or from the cache. Returns
 * false if the cached response is gone.
 */
static bool
write_done_response (struct call *call, const struct jl_effect_answer *answer)
{
  struct jl_http_exchange *exchange = call->exchange;
  struct jl_response_cache *cache = call->daemon->response_cache;

  if (answer->replay_stored)
    return jl_response_cache_get (cache, answer->ticket, &exchange->status,
                                  &exchange->response);
  exchange->status = call->status;
  jl_http_copy_headers (&exchange->response, &call->response);
  g_string_append_len (exchange->response.body, call->response.body->str,
                       (gssize)call->response.body->len);
  if (answer->store)
    jl_response_cache_put (cache, answer->ticket, exchange->status,
                           &exchange->response);
  return true;
}

/* Fills in the response from the reducer's final answer. */
static void
write_answer (struct call *call, const struct jl_effect_answer *answer)
{
  struct jl_http_exchange *exchange = call->exchange;

  if (answer->outcome != JL_OUTCOME_DONE)
    jl_respond_text (exchange, status_of (answer),
                     jl_reason_name (answer->reason));
  else if (!write_done_response (call, answer))
    jl_respond_text (exchange, 410, "done before; the answer was not kept");
  add_outcome_headers (&exchange->response, answer);
  if (call->origin->forward != NULL)
    add_peer_answer (call, answer);
}

/* Reads the Idempotency-Key header: a ticket or a key chosen by the caller. */
static void
read_idempotency_key (const struct jl_http_exchange *exchange,
                      struct jl_event_call *event)
{
  const char *key = jl_http_header (&exchange->request, "Idempotency-Key");
  char bare[JL_ID_TEXT_SIZE];
  size_t size;

  if (key == NULL || *key == '\0')
    return;
  size = strlen (key);
  if (size >= 2 && key[0] == '"' && key[size - 1] == '"')
    {
      key++;
      size -= 2;
    }
  event->key_type = JL_KEY_CALLER;
  event->key_hash = XXH3_64bits (key, size);
  if (size >= sizeof bare)
    return;
  g_strlcpy (bare, key, size + 1);
  if (jl_ticket_parse (bare, &event->ticket))
    event->key_type = JL_KEY_TICKET;
}

/* Returns the caller's time budget in microseconds, 0 if none is given. */
static uint64_t
read_budget (const struct jl_http_exchange *exchange)
{
  const char *text = jl_http_header (&exchange->request, "Jl-Budget-Ms");
  uint64_t budget_ms = 0;

  if (text == NULL
      || !g_ascii_string_to_unsigned (text, 10, 1, UINT32_MAX, &budget_ms,
                                      NULL))
    return 0;
  return budget_ms * JL_USEC_PER_MSEC;
}

static uint64_t
digest_request (const struct jl_http_exchange *exchange)
{
  const GString *body = exchange->request.body;
  XXH64_hash_t digest;

  digest = XXH3_64bits (exchange->method, strlen (exchange->method));
  digest = XXH3_64bits_withSeed (exchange->target, strlen (exchange->target),
                                 digest);
  return XXH3_64bits_withSeed (body->str, body->len, digest);
}

/*
 * Returns how many calls of this kind the parent has made, and counts one more.
 * The caller must hold the lock.
 */
static uint32_t
next_ordinal (struct jl_daemon *daemon, uint64_t parent, uint32_t kind)
{
  struct jl_waiter *waiter = g_hash_table_lookup (daemon->work_items, &parent);
  gpointer key = GUINT_TO_POINTER (kind);
  uint32_t ordinal;

  if (waiter == NULL)
    return 0;
  if (waiter->ordinals == NULL)
    waiter->ordinals = g_hash_table_new (g_direct_hash, g_direct_equal);
  ordinal = GPOINTER_TO_UINT (g_hash_table_lookup (waiter->ordinals, key));
  g_hash_table_insert (waiter->ordinals, key, GUINT_TO_POINTER (ordinal + 1));
  return ordinal;
}

static void
set_forwarded_fields (struct jl_event_call *event,
                      const struct jl_peer_forward *forward)
{
  event->forwarded = true;
  event->attempt = forward->attempt;
  event->key_type = JL_KEY_TICKET;
  event->ticket = forward->ticket;
  event->budget_us = forward->budget_us;
  event->priority = forward->priority;
  event->tokens = forward->tokens;
  event->invested_us = forward->invested_us;
}

/*
 * Returns the kind of the request. A request without its body has no kind: a
 * configuration may have been installed after the body was found too large.
 */
static uint32_t
find_kind (const struct call *call)
{
  if (!call->has_body)
    return JL_NONE;
  if (call->origin->forward != NULL)
    return jl_config_find_kind (call->config, call->origin->forward->kind);
  return jl_config_match_kind (call->config, call->exchange->method,
                               call->exchange->path);
}

/*
 * Passes the call to the reducer. The kind's index is looked up under the lock,
 * so that it belongs to the configuration that the reducer uses.
 */
static void
start_call (struct call *call)
{
  struct jl_daemon *daemon = call->daemon;
  struct jl_event event = { .type = JL_EVENT_CALL };

  read_idempotency_key (call->exchange, &event.call);
  event.call.budget_us = read_budget (call->exchange);
  event.call.digest = call->digest;
  event.call.parent = call->origin->parent;
  event.call.ordinal = call->origin->ordinal;
  event.call.kind = JL_NONE;
  if (call->origin->forward != NULL)
    set_forwarded_fields (&event.call, call->origin->forward);
  call->waiter.number = ++daemon->next_number;
  event.call.call = call->waiter.number;
  if (daemon->config != NULL)
    {
      call->config = jl_config_keep (daemon->config);
      call->kind = find_kind (call);
      event.call.kind = call->kind;
      event.call.config_version = call->config->version;
    }
  if (event.call.parent != 0 && event.call.ordinal == JL_NONE)
    event.call.ordinal
        = next_ordinal (daemon, event.call.parent, event.call.kind);
  g_hash_table_insert (daemon->calls, &call->waiter.number, &call->waiter);
  jl_daemon_step (daemon, &event);
}

/* Executes the call's effects until the reducer gives the final answer. */
static void
run_call (struct call *call)
{
  struct jl_daemon *daemon = call->daemon;
  struct jl_effect effect;

  jl_daemon_lock (daemon);
  start_call (call);
  for (;;)
    {
      effect = jl_waiter_wait (daemon, &call->waiter);
      jl_daemon_unlock (daemon);
      if (effect.type == JL_EFFECT_ANSWER)
        break;
      if (effect.type == JL_EFFECT_SEND)
        run_send (call, &effect.send);
      else if (effect.type == JL_EFFECT_FORWARD)
        run_forward (call, &effect.forward);
      else if (effect.type == JL_EFFECT_CLAIM)
        run_claim (call, &effect.claim);
      jl_daemon_lock (daemon);
    }
  jl_daemon_lock (daemon);
  g_hash_table_remove (daemon->calls, &call->waiter.number);
  jl_daemon_unlock (daemon);
  write_answer (call, &effect.answer);
}

/* Returns the body size limit of the matching kind, 0 if no kind matches. */
static uint64_t
body_limit (struct jl_daemon *daemon, const struct jl_http_exchange *exchange)
{
  struct jl_config *config = jl_daemon_get_config (daemon);
  uint64_t limit = 0;
  uint32_t kind;

  if (config == NULL)
    return 0;
  kind = jl_config_match_kind (config, exchange->method, exchange->path);
  if (kind != JL_NONE)
    limit = config->kinds[kind].request_bytes;
  jl_config_drop (config);
  return limit;
}

/* Refuses a request whose body cannot be read; the request was not executed. */
static void
refuse_body (struct jl_http_exchange *exchange, enum jl_http_body_result body)
{
  bool too_large = body == JL_HTTP_BODY_TOO_LARGE;

  jl_respond_text (exchange, too_large ? 413 : 400,
                   too_large ? "too-large" : "malformed");
  jl_http_add_header (&exchange->response, "Jl-Outcome", "not-run");
  jl_http_add_header (&exchange->response, "Jl-Sending", "not-run");
  jl_http_add_header (&exchange->response, "Jl-Reason",
                      too_large ? "too-large" : "malformed");
}

void
jl_serve_call (struct jl_daemon *daemon,
               struct jl_http_exchange *exchange,
               const struct jl_call_origin *origin)
{
  struct call call
      = { .daemon = daemon, .exchange = exchange, .origin = origin };
  uint64_t limit = body_limit (daemon, exchange);
  enum jl_http_body_result body;

  body = jl_http_read_body (exchange, limit);
  if (body == JL_HTTP_BODY_INCOMPLETE
      || (body == JL_HTTP_BODY_TOO_LARGE && limit > 0))
    {
      refuse_body (exchange, body);
      return;
    }
  call.has_body = body == JL_HTTP_BODY_COMPLETE;
  call.digest = digest_request (exchange);
  jl_http_message_init (&call.response);
  jl_waiter_init (&call.waiter);
  run_call (&call);
  jl_waiter_clear (&call.waiter);
  jl_http_message_clear (&call.response);
  if (call.config != NULL)
    jl_config_drop (call.config);
}
