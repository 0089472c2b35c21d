/**
 * DOC: Request handlers of the ports for callers and for other daemons.
 */

#include <string.h>

#include "daemon/exchange.h"
#include "daemon/hooks.h"
#include "jackdawladder/log.h"

/* Returns a new ticket for the caller's next request. */
static void
serve_ticket (struct jl_daemon *daemon, struct jl_http_exchange *exchange)
{
  struct jl_ticket ticket;
  char text[JL_ID_TEXT_SIZE];

  jl_daemon_lock (daemon);
  ticket = jl_core_issue_ticket (daemon->core);
  jl_daemon_unlock (daemon);
  jl_ticket_format (ticket, text);
  jl_http_add_header (&exchange->response, "Jl-Ticket", text);
  jl_respond_text (exchange, 200, text);
}

/*
 * Readiness check for the callers' load balancers: 503 while the daemon drains
 * or has no configuration.
 */
static void
serve_ready (struct jl_daemon *daemon, struct jl_http_exchange *exchange)
{
  struct jl_config *config = jl_daemon_get_config (daemon);

  if (config == NULL)
    jl_respond_text (exchange, 503, "no configuration");
  else if (g_atomic_int_get (&daemon->draining) != 0)
    jl_respond_text (exchange, 503, "draining");
  else
    jl_respond_text (exchange, 200, "ready");
  if (config != NULL)
    jl_config_drop (config);
}

void
jl_entry_handle (void *context, struct jl_http_exchange *exchange)
{
  struct jl_daemon *daemon = context;
  struct jl_call_origin origin = { .ordinal = JL_NONE };

  exchange->close_connection = g_atomic_int_get (&daemon->draining) != 0;
  if (strcmp (exchange->path, "/jl/ready") == 0)
    serve_ready (context, exchange);
  else if (strcmp (exchange->path, "/jl/ticket") == 0)
    serve_ticket (context, exchange);
  else
    jl_serve_call (context, exchange, &origin);
}

/* Returns the body size limit of a kind by its name, 0 for an unknown kind. */
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
  jl_config_drop (config);
  return limit;
}

/* Fills in the response to the daemon that sent a call to this guard. */
static void
answer_peer (struct jl_http_exchange *exchange, struct jl_work_run *run)
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
      jl_http_copy_headers (&exchange->response, &run->response);
      g_string_append_len (exchange->response.body, run->response.body->str,
                           (gssize)run->response.body->len);
    }
  else
    exchange->status = run->finish.outcome == JL_OUTCOME_NOT_RUN ? 503 : 504;
  jl_peer_add_answer (&exchange->response, &header, run->config);
}

/* Runs a call of another daemon at the target of this daemon. */
static void
serve_work (struct jl_daemon *daemon, struct jl_http_exchange *exchange)
{
  struct jl_peer_call header;
  struct jl_work_run run = { .kind = header.kind,
                             .method = exchange->method,
                             .target = exchange->target,
                             .request = &exchange->request };
  enum jl_http_body_result body = JL_HTTP_BODY_INCOMPLETE;

  if (jl_peer_get_call (&exchange->request, &header))
    body = jl_http_read_body (exchange, body_limit (daemon, header.kind));
  if (body == JL_HTTP_BODY_INCOMPLETE)
    {
      jl_log_text (JL_LOG_MALFORMED_REQUEST, JL_PEER_CALL_HEADER);
      jl_respond_text (exchange, 400, "malformed");
      return;
    }
  run.event.attempt = header.attempt;
  run.event.priority = header.priority;
  run.event.invested_us = header.invested_us;
  run.event.budget_us = header.budget_us;
  run.event.anchor = header.anchor;
  run.event.tokens = header.tokens;
  run.event.digest = header.digest;
  jl_http_message_init (&run.response);
  if (body == JL_HTTP_BODY_TOO_LARGE)
    run.finish = (struct jl_effect_finish){ .outcome = JL_OUTCOME_NOT_RUN,
                                            .reason = JL_REASON_TOO_LARGE,
                                            .tokens = header.tokens };
  else
    jl_work_run_execute (daemon, &run);
  answer_peer (exchange, &run);
  jl_http_message_clear (&run.response);
  if (run.config != NULL)
    jl_config_drop (run.config);
}

/* Processes a call that another daemon forwarded to its ticket's issuer. */
static void
serve_forwarded (struct jl_daemon *daemon, struct jl_http_exchange *exchange)
{
  struct jl_peer_forward header;
  struct jl_call_origin origin = { .forward = &header };

  if (jl_peer_get_forward (&exchange->request, &header))
    {
      jl_serve_call (daemon, exchange, &origin);
      return;
    }
  jl_log_text (JL_LOG_MALFORMED_REQUEST, JL_PEER_FORWARD_HEADER);
  jl_respond_text (exchange, 400, "malformed");
}

void
jl_daemon_serve_config (struct jl_daemon *daemon,
                        struct jl_http_exchange *exchange)
{
  struct jl_config *config = jl_daemon_get_config (daemon);

  if (config == NULL)
    {
      jl_respond_text (exchange, 404, "no configuration");
      return;
    }
  exchange->status = 200;
  jl_http_add_number (&exchange->response, "Jl-Config-Version",
                      config->version);
  g_string_append_len (exchange->response.body, config->text,
                       (gssize)config->text_size);
  jl_config_drop (config);
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
    jl_respond_text (exchange, 404, "not found");
}
