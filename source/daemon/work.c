/**
 * DOC: A work item's way: admission, the own target, the answer.
 */

#include <string.h>

#include "daemon/exchange.h"

static enum jl_run_result
run_result (enum jl_http_result result)
{
  switch (result)
    {
    case JL_HTTP_ANSWERED:
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

/* Sends the request to the target and waits for its answer. */
static enum jl_run_result
run_at_target (struct jl_daemon *daemon,
               struct jl_run *run,
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
    .answer_max = run->config->kinds[run->event.kind].answer_bytes,
    .transfer = &waiter->transfer,
    .lock = &daemon->lock,
  };
  enum jl_http_result result;
  GString *own_body;

  jl_http_message_init (&request);
  own_body = request.body;
  request.body = run->request->body;
  jl_http_copy_headers (&request, run->request);
  jl_http_add_number (&request, "Jl-Work", waiter->number);
  jl_http_add_number (&request, "Jl-Budget-Ms", budget_us / JL_USEC_PER_MSEC);
  result = jl_http_perform (daemon->pool, &call, &run->status, &run->answer);
  request.body = own_body;
  jl_http_message_clear (&request);
  return run_result (result);
}

/* Names go to numbers under the lock, so that they fit the reducer's. */
static void
begin_work (struct jl_daemon *daemon,
            struct jl_run *run,
            struct jl_waiter *waiter)
{
  struct jl_event event = { .type = JL_EVENT_WORK };

  waiter->number = ++daemon->next_number;
  run->event.work = waiter->number;
  run->event.kind = JL_NONE;
  if (daemon->config != NULL)
    {
      run->config = jl_config_ref (daemon->config);
      run->event.kind = jl_config_find_kind (run->config, run->kind);
      run->event.config_version = run->config->version;
    }
  g_hash_table_insert (daemon->works, &waiter->number, waiter);
  event.work = run->event;
  jl_daemon_step (daemon, &event);
}

void
jl_run_work (struct jl_daemon *daemon, struct jl_run *run)
{
  struct jl_waiter waiter;
  struct jl_effect effect;

  jl_waiter_init (&waiter);
  jl_daemon_begin (daemon);
  begin_work (daemon, run, &waiter);
  effect = jl_waiter_next (daemon, &waiter);
  if (effect.type == JL_EFFECT_RUN)
    {
      struct jl_event event = { .type = JL_EVENT_WORK_RESULT };

      jl_daemon_end (daemon);
      event.work_result.work = waiter.number;
      event.work_result.result
          = run_at_target (daemon, run, &waiter, effect.run.budget_us);
      event.work_result.status = run->status;
      jl_daemon_begin (daemon);
      jl_daemon_step (daemon, &event);
      effect = jl_waiter_next (daemon, &waiter);
    }
  g_hash_table_remove (daemon->works, &waiter.number);
  jl_daemon_end (daemon);
  run->finish = effect.finish;
  jl_waiter_clear (&waiter);
}
