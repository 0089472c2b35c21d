/**
 * DOC: Work items: admission, the run at the target, the outcome.
 */

#include <string.h>

#include "daemon/exchange.h"

static enum jl_run_result
to_run_result (enum jl_http_result result)
{
  switch (result)
    {
    case JL_HTTP_COMPLETED:
      return JL_RUN_ANSWERED;
    case JL_HTTP_NOT_SENT:
      return JL_RUN_NOT_SENT;
    case JL_HTTP_BROKEN:
      return JL_RUN_BROKEN;
    case JL_HTTP_TIMEOUT:
      return JL_RUN_TIMEOUT;
    case JL_HTTP_ABORTED:
      return JL_RUN_ABORTED;
    case JL_HTTP_TOO_LARGE:
      return JL_RUN_TOO_LARGE;
    }
  return JL_RUN_BROKEN;
}

/* Sends the request to the target and waits for its response. */
static enum jl_run_result
run_at_target (struct jl_daemon *daemon,
               struct jl_work_run *run,
               struct jl_waiter *waiter,
               uint64_t budget_us)
{
  struct jl_http_message request;
  struct jl_http_call call = {
    .endpoint = daemon->settings->target,
    .method = run->method,
    .target = run->target,
    .request = &request,
    .timeout_us = budget_us,
    .response_max_bytes = run->config->kinds[run->event.kind].answer_bytes,
    .transfer = &waiter->transfer,
    .lock = &daemon->lock,
  };
  enum jl_http_result result;
  GString *empty_body;

  jl_http_message_init (&request);
  empty_body = request.body;
  request.body = run->request->body;
  jl_http_copy_headers (&request, run->request);
  jl_http_add_number (&request, "Jl-Work", waiter->number);
  jl_http_add_number (&request, "Jl-Budget-Ms", budget_us / JL_USEC_PER_MSEC);
  result = jl_http_perform (daemon->pool, &call, &run->status, &run->response);
  request.body = empty_body;
  jl_http_message_clear (&request);
  return to_run_result (result);
}

/*
 * Passes the work item to the reducer. The kind's index is looked up under the
 * lock, so that it belongs to the configuration that the reducer uses.
 */
static void
start_work (struct jl_daemon *daemon,
            struct jl_work_run *run,
            struct jl_waiter *waiter)
{
  struct jl_event event = { .type = JL_EVENT_WORK };

  waiter->number = ++daemon->next_number;
  run->event.work = waiter->number;
  run->event.kind = JL_NONE;
  if (daemon->config != NULL)
    {
      run->config = jl_config_keep (daemon->config);
      run->event.kind = jl_config_find_kind (run->config, run->kind);
      run->event.config_version = run->config->version;
    }
  g_hash_table_insert (daemon->work_items, &waiter->number, waiter);
  event.work = run->event;
  jl_daemon_step (daemon, &event);
}

void
jl_work_run_execute (struct jl_daemon *daemon, struct jl_work_run *run)
{
  struct jl_waiter waiter;
  struct jl_effect effect;

  jl_waiter_init (&waiter);
  jl_daemon_lock (daemon);
  start_work (daemon, run, &waiter);
  effect = jl_waiter_wait (daemon, &waiter);
  if (effect.type == JL_EFFECT_RUN)
    {
      struct jl_event event = { .type = JL_EVENT_WORK_RESULT };

      jl_daemon_unlock (daemon);
      event.work_result.work = waiter.number;
      event.work_result.result
          = run_at_target (daemon, run, &waiter, effect.run.budget_us);
      event.work_result.status = run->status;
      jl_daemon_lock (daemon);
      jl_daemon_step (daemon, &event);
      effect = jl_waiter_wait (daemon, &waiter);
    }
  g_hash_table_remove (daemon->work_items, &waiter.number);
  jl_daemon_unlock (daemon);
  run->finish = effect.finish;
  jl_waiter_clear (&waiter);
}
