/**
 * DOC: The ports for callers and for other daemons.
 */

#include <string.h>

#include "daemon/exchange.h"
#include "daemon/hooks.h"
#include "jackdawladder/log.h"

/* Gives a caller a ticket for its next request. */
static void
serve_ticket (struct jl_daemon *daemon, struct jl_http_exchange *exchange)
{
  struct jl_ticket ticket;
  char text[JL_ID_TEXT_SIZE];

  jl_daemon_begin (daemon);
  ticket = jl_core_mint_ticket (daemon->core);
  jl_daemon_end (daemon);
  jl_ticket_format (ticket, text);
  jl_http_add_header (&exchange->answer, "Jl-Ticket", text);
  jl_answer_plain (exchange, 200, text);
}

/* For load balancers of callers: 503 while the daemon drains. */
static void
serve_ready (struct jl_daemon *daemon, struct jl_http_exchange *exchange)
{
  struct jl_config *config = jl_daemon_get_config (daemon);

  if (config == NULL)
    jl_answer_plain (exchange, 503, "no configuration");
  else if (g_atomic_int_get (&daemon->draining) != 0)
    jl_answer_plain (exchange, 503, "draining");
  else
    jl_answer_plain (exchange, 200, "ready");
  if (config != NULL)
    jl_config_unref (config);
}

void
jl_entry_handle (void *context, struct jl_http_exchange *exchange)
{
  struct jl_daemon *daemon = context;
  struct jl_incoming incoming = { .ordinal = JL_NONE };

  exchange->close = g_atomic_int_get (&daemon->draining) != 0;
  if (strcmp (exchange->path, "/jl/ready") == 0)
    serve_ready (context, exchange);
  else if (strcmp (exchange->path, "/jl/ticket") == 0)
    serve_ticket (context, exchange);
  else
    jl_serve_call (context, exchange, &incoming);
}

/* Largest body of a kind by name; 0 when the kind is not known. */
static uint64_t
body_limit (struct jl_daemon *daemon, const char *kind)
{
  struct jl_config *config = jl_daemon_get_config (daemon);
  uint64_t limit = 0;
  uint32_t index;

  if (config == NULL)
    return 0;
  index = jl_config_find_kind (config, kind);
  if (index != JL_NONE)
    limit = config->kinds[index].request_bytes;
  jl_config_unref (config);
  return limit;
}

/* Answers the daemon that sent a call to this guard. */
static void
answer_guarded (struct jl_http_exchange *exchange, struct jl_run *run)
{
  struct jl_peer_answer header = { .attempt = run->event.attempt,
                                   .outcome = run->finish.outcome,
                                   .reason = run->finish.reason,
                                   .no_retry = run->finish.no_retry,
                                   .retry_after_ms = run->finish.retry_after_ms,
                                   .tokens = run->finish.tokens,
                                   .report = run->finish.report };

  if (run->finish.outcome == JL_OUTCOME_DONE)
    {
      exchange->status = run->status;
      jl_http_copy_headers (&exchange->answer, &run->answer);
      g_string_append_len (exchange->answer.body, run->answer.body->str,
                           (gssize)run->answer.body->len);
    }
  else
    exchange->status = run->finish.outcome == JL_OUTCOME_NOT_RUN ? 503 : 504;
  jl_peer_add_answer (&exchange->answer, &header, run->config);
}

static void
serve_work (struct jl_daemon *daemon, struct jl_http_exchange *exchange)
{
  struct jl_peer_call header;
  struct jl_run run = { .kind = header.kind,
                        .method = exchange->method,
                        .target = exchange->target,
                        .request = &exchange->request };
  enum jl_http_body body = JL_HTTP_BODY_BROKEN;

  if (jl_peer_get_call (&exchange->request, &header))
    body = jl_http_read_body (exchange, body_limit (daemon, header.kind));
  if (body == JL_HTTP_BODY_BROKEN)
    {
      jl_log_text (JL_LOG_MALFORMED_REQUEST, JL_PEER_CALL_HEADER);
      jl_answer_plain (exchange, 400, "malformed");
      return;
    }
  run.event.attempt = header.attempt;
  run.event.priority = header.priority;
  run.event.invested_us = header.invested_us;
  run.event.budget_us = header.budget_us;
  run.event.anchor = header.anchor;
  run.event.tokens = header.tokens;
  run.event.digest = header.digest;
  jl_http_message_init (&run.answer);
  if (body == JL_HTTP_BODY_TOO_LARGE)
    run.finish = (struct jl_effect_finish){ .outcome = JL_OUTCOME_NOT_RUN,
                                            .reason = JL_REASON_TOO_LARGE,
                                            .tokens = header.tokens };
  else
    jl_run_work (daemon, &run);
  answer_guarded (exchange, &run);
  jl_http_message_clear (&run.answer);
  if (run.config != NULL)
    jl_config_unref (run.config);
}

static void
serve_forwarded (struct jl_daemon *daemon, struct jl_http_exchange *exchange)
{
  struct jl_peer_forward header;
  struct jl_incoming incoming = { .forward = &header };

  if (jl_peer_get_forward (&exchange->request, &header))
    {
      jl_serve_call (daemon, exchange, &incoming);
      return;
    }
  jl_log_text (JL_LOG_MALFORMED_REQUEST, JL_PEER_FORWARD_HEADER);
  jl_answer_plain (exchange, 400, "malformed");
}

void
jl_daemon_serve_config (struct jl_daemon *daemon,
                        struct jl_http_exchange *exchange)
{
  struct jl_config *config = jl_daemon_get_config (daemon);

  if (config == NULL)
    {
      jl_answer_plain (exchange, 404, "no configuration");
      return;
    }
  exchange->status = 200;
  jl_http_add_number (&exchange->answer, "Jl-Config-Version", config->version);
  g_string_append_len (exchange->answer.body, config->text,
                       (gssize)config->text_size);
  jl_config_unref (config);
}

void
jl_peer_handle (void *context, struct jl_http_exchange *exchange)
{
  if (jl_http_header (&exchange->request, JL_PEER_CALL_HEADER) != NULL)
    serve_work (context, exchange);
  else if (jl_http_header (&exchange->request, JL_PEER_FORWARD_HEADER) != NULL)
    serve_forwarded (context, exchange);
  else if (strcmp (exchange->path, "/jl/config") == 0)
    jl_daemon_serve_config (context, exchange);
  else
    jl_answer_plain (exchange, 404, "not found");
}
