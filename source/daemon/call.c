/**
 * DOC: A call's way: placement, other daemons, the answer to the caller.
 */

#include <string.h>
#include <xxhash.h>

#include "daemon/answers.h"
#include "daemon/exchange.h"
#include "daemon/hooks.h"

/* Added to a time-out between daemons, so that the answer to a deadline at
   the guard still arrives. */
#define ANSWER_GRACE_US (20 * JL_USEC_PER_MSEC)

/**
 * struct call - one call at the edge
 * @has_body: whether the request's body was taken whole
 * @status: of the last answer that was done
 * @answer: likewise
 */
struct call
{
  struct jl_daemon *daemon;
  struct jl_http_exchange *exchange;
  const struct jl_incoming *incoming;
  struct jl_waiter waiter;
  struct jl_config *config;
  uint32_t kind;
  bool has_body;
  uint64_t digest;
  uint32_t status;
  struct jl_http_message answer;
};

void
jl_answer_plain (struct jl_http_exchange *exchange,
                 uint32_t status,
                 const char *text)
{
  exchange->status = status;
  jl_http_add_header (&exchange->answer, "Content-Type", "text/plain");
  g_string_append_printf (exchange->answer.body, "%s\n", text);
}

static const char *
kind_name (const struct call *call)
{
  return call->config->kinds[call->kind].name;
}

/* Begins a sending; it may have been stopped before it began. */
static void
begin_attempt (struct call *call, struct jl_attempt_id attempt)
{
  struct jl_waiter *waiter = &call->waiter;

  pthread_mutex_lock (&call->daemon->lock);
  waiter->transfer.aborted = waiter->stopped_attempt == attempt.number;
  pthread_mutex_unlock (&call->daemon->lock);
  g_ptr_array_set_size (call->answer.headers, 0);
  g_string_truncate (call->answer.body, 0);
}

/* Runs the call at this daemon's own target. */
static void
send_locally (struct call *call,
              const struct jl_effect_send *send,
              struct jl_event_call_result *result)
{
  struct jl_run run = { .kind = kind_name (call),
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
  run.answer = call->answer;
  jl_run_work (call->daemon, &run);
  call->answer = run.answer;
  call->status = run.status;
  result->result = JL_SEND_ANSWERED;
  result->outcome = run.finish.outcome;
  result->reason = run.finish.reason;
  result->no_retry = run.finish.no_retry;
  result->retry_after_ms = run.finish.retry_after_ms;
  result->tokens = run.finish.tokens;
  result->report = run.finish.report;
  if (run.config != NULL)
    jl_config_unref (run.config);
}

/* Takes what the other daemon says from its answer's headers. */
static void
read_answer (struct call *call, struct jl_event_call_result *result)
{
  struct jl_peer_answer answer = { 0 };

  if (!jl_peer_get_answer (&call->answer, &answer, call->config)
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
send_result (enum jl_http_result result)
{
  switch (result)
    {
    case JL_HTTP_ANSWERED:
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

/* Sends a request with the headers of @extra to another daemon. */
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
    .timeout_us = budget_us + ANSWER_GRACE_US,
    .answer_max = call->config->kinds[call->kind].answer_bytes,
    .transfer = &call->waiter.transfer,
    .lock = &call->daemon->lock,
  };
  GString *own_body = extra->body;

  if (jl_hooks_cut (peer.ip))
    {
      result->result = JL_SEND_NOT_SENT;
      return;
    }
  jl_http_copy_headers (extra, &call->exchange->request);
  extra->body = call->exchange->request.body;
  result->result = send_result (jl_http_perform (call->daemon->pool, &http,
                                                 &call->status, &call->answer));
  extra->body = own_body;
  if (jl_hooks_cut (peer.ip))
    result->result = JL_SEND_BROKEN;
  if (result->result == JL_SEND_ANSWERED)
    read_answer (call, result);
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

static void
carry_send (struct call *call, const struct jl_effect_send *send)
{
  struct jl_event event = { .type = JL_EVENT_CALL_RESULT };

  begin_attempt (call, send->attempt);
  event.call_result.call = send->call;
  event.call_result.attempt = send->attempt;
  if (send->local)
    send_locally (call, send, &event.call_result);
  else
    send_to_guard (call, send, &event.call_result);
  event.call_result.status = call->status;
  jl_daemon_post (call->daemon, &event);
}

static void
carry_forward (struct call *call, const struct jl_effect_forward *forward)
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

  begin_attempt (call, forward->attempt);
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

static void
carry_claim (struct call *call, const struct jl_effect_claim *claim)
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

/* Headers of the answer that callers read. */
static void
add_outcome (struct jl_http_message *message,
             const struct jl_effect_answer *answer)
{
  jl_http_add_header (message, "Jl-Outcome", jl_outcome_name (answer->outcome));
  jl_http_add_header (message, "Jl-Sending", jl_outcome_name (answer->sending));
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

/* Headers that the daemon which sent the call on reads. */
static void
add_peer_answer (struct call *call, const struct jl_effect_answer *answer)
{
  struct jl_peer_answer header = { .outcome = answer->outcome,
                                   .reason = answer->reason,
                                   .no_retry = true,
                                   .retry_after_ms = answer->retry_after_ms,
                                   .tokens = answer->tokens,
                                   .report = answer->report };

  header.attempt = call->incoming->forward->attempt;
  jl_peer_add_answer (&call->exchange->answer, &header, call->config);
}

/* Fills in the target's answer, from this sending or from the store. */
static bool
fill_done (struct call *call, const struct jl_effect_answer *answer)
{
  struct jl_http_exchange *exchange = call->exchange;
  struct jl_answer_store *store = call->daemon->answers;

  if (answer->stored)
    return jl_answer_store_get (store, answer->ticket, &exchange->status,
                                &exchange->answer);
  exchange->status = call->status;
  jl_http_copy_headers (&exchange->answer, &call->answer);
  g_string_append_len (exchange->answer.body, call->answer.body->str,
                       (gssize)call->answer.body->len);
  if (answer->keep)
    jl_answer_store_put (store, answer->ticket, exchange->status,
                         &exchange->answer);
  return true;
}

static void
carry_answer (struct call *call, const struct jl_effect_answer *answer)
{
  struct jl_http_exchange *exchange = call->exchange;

  if (answer->outcome != JL_OUTCOME_DONE)
    jl_answer_plain (exchange, status_of (answer),
                     jl_reason_name (answer->reason));
  else if (!fill_done (call, answer))
    jl_answer_plain (exchange, 410, "done before; the answer was not kept");
  add_outcome (&exchange->answer, answer);
  if (call->incoming->forward != NULL)
    add_peer_answer (call, answer);
}

/* Takes the key from the request's header, a ticket or the caller's own. */
static void
read_key (const struct jl_http_exchange *exchange, struct jl_event_call *event)
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

/* How many calls of this kind the parent made before; under the lock. */
static uint32_t
count_ordinal (struct jl_daemon *daemon, uint64_t parent, uint32_t kind)
{
  struct jl_waiter *waiter = g_hash_table_lookup (daemon->works, &parent);
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
fill_forwarded (struct jl_event_call *event,
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

/* A configuration may have come after the body was found too large. */
static uint32_t
find_kind (const struct call *call)
{
  if (!call->has_body)
    return JL_NONE;
  if (call->incoming->forward != NULL)
    return jl_config_find_kind (call->config, call->incoming->forward->kind);
  return jl_config_match_kind (call->config, call->exchange->method,
                               call->exchange->path);
}

/* Names go to numbers under the lock, so that they fit the reducer's. */
static void
begin_call (struct call *call)
{
  struct jl_daemon *daemon = call->daemon;
  struct jl_event event = { .type = JL_EVENT_CALL };

  read_key (call->exchange, &event.call);
  event.call.budget_us = read_budget (call->exchange);
  event.call.digest = call->digest;
  event.call.parent = call->incoming->parent;
  event.call.ordinal = call->incoming->ordinal;
  event.call.kind = JL_NONE;
  if (call->incoming->forward != NULL)
    fill_forwarded (&event.call, call->incoming->forward);
  call->waiter.number = ++daemon->next_number;
  event.call.call = call->waiter.number;
  if (daemon->config != NULL)
    {
      call->config = jl_config_ref (daemon->config);
      call->kind = find_kind (call);
      event.call.kind = call->kind;
      event.call.config_version = call->config->version;
    }
  if (event.call.parent != 0 && event.call.ordinal == JL_NONE)
    event.call.ordinal
        = count_ordinal (daemon, event.call.parent, event.call.kind);
  g_hash_table_insert (daemon->calls, &call->waiter.number, &call->waiter);
  jl_daemon_step (daemon, &event);
}

/* Carries out the call's effects up to its answer. */
static void
run_call (struct call *call)
{
  struct jl_daemon *daemon = call->daemon;
  struct jl_effect effect;

  jl_daemon_begin (daemon);
  begin_call (call);
  for (;;)
    {
      effect = jl_waiter_next (daemon, &call->waiter);
      jl_daemon_end (daemon);
      if (effect.type == JL_EFFECT_ANSWER)
        break;
      if (effect.type == JL_EFFECT_SEND)
        carry_send (call, &effect.send);
      else if (effect.type == JL_EFFECT_FORWARD)
        carry_forward (call, &effect.forward);
      else if (effect.type == JL_EFFECT_CLAIM)
        carry_claim (call, &effect.claim);
      jl_daemon_begin (daemon);
    }
  jl_daemon_begin (daemon);
  g_hash_table_remove (daemon->calls, &call->waiter.number);
  jl_daemon_end (daemon);
  carry_answer (call, &effect.answer);
}

/* Largest body of the kind that will match, before the body is read. */
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
  jl_config_unref (config);
  return limit;
}

/* Refuses a request whose body cannot be taken; it ran nowhere. */
static void
refuse_body (struct jl_http_exchange *exchange, enum jl_http_body body)
{
  bool is_large = body == JL_HTTP_BODY_TOO_LARGE;

  jl_answer_plain (exchange, is_large ? 413 : 400,
                   is_large ? "too-large" : "malformed");
  jl_http_add_header (&exchange->answer, "Jl-Outcome", "not-run");
  jl_http_add_header (&exchange->answer, "Jl-Sending", "not-run");
  jl_http_add_header (&exchange->answer, "Jl-Reason",
                      is_large ? "too-large" : "malformed");
}

void
jl_serve_call (struct jl_daemon *daemon,
               struct jl_http_exchange *exchange,
               const struct jl_incoming *incoming)
{
  struct call call
      = { .daemon = daemon, .exchange = exchange, .incoming = incoming };
  uint64_t limit = body_limit (daemon, exchange);
  enum jl_http_body body;

  body = jl_http_read_body (exchange, limit);
  if (body == JL_HTTP_BODY_BROKEN
      || (body == JL_HTTP_BODY_TOO_LARGE && limit > 0))
    {
      refuse_body (exchange, body);
      return;
    }
  call.has_body = body == JL_HTTP_BODY_WHOLE;
  call.digest = digest_request (exchange);
  jl_http_message_init (&call.answer);
  jl_waiter_init (&call.waiter);
  run_call (&call);
  jl_waiter_clear (&call.waiter);
  jl_http_message_clear (&call.answer);
  if (call.config != NULL)
    jl_config_unref (call.config);
}
