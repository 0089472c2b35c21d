/**
 * DOC: Infers the end of targets from the loss of contact to their daemons.
 */

#include "proxy/infer.h"

#include "proxy/report.h"

/* Delay of a report after the first lost request, so that one report names all
 * that were lost, and an answer of the daemon can revoke it. */
#define DELAY_US (50 * JL_USEC_PER_MSEC)

/**
 * struct lost_call - a request that was lost at a daemon
 * @target_key: incarnation of the daemon's target at which it was
 * @service: key of its service
 */
struct lost_call
{
  const struct jl_member *member;
  uint32_t target_key;
  uint32_t service;
  uint64_t content;
  bool trial;
};

/**
 * struct jl_infer - lost requests that are not reported yet
 * @calls: array of struct lost_call
 * @timer: reports them
 */
struct jl_infer
{
  struct jl_proxy *proxy;
  GArray *calls;
  struct jl_timer timer;
};

struct jl_infer *
jl_infer_new (struct jl_proxy *proxy)
{
  struct jl_infer *infer = g_new0 (struct jl_infer, 1);

  infer->proxy = proxy;
  infer->calls = g_array_new (FALSE, FALSE, sizeof (struct lost_call));
  return infer;
}

/* Reports all lost requests that were at the same target, and in the same role,
 * as the first one, and removes them from the list. */
static void
report_first_target (struct jl_infer *infer)
{
  struct lost_call first = g_array_index (infer->calls, struct lost_call, 0);
  GArray *contents = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  struct jl_report report = {
    .kind = JL_REPORT_STRIKE,
    .trial = first.trial,
    .inferred = true,
    .target = first.target_key,
    .service = first.service,
    .at_us = jl_now (),
  };

  for (guint i = infer->calls->len; i > 0; i--)
    {
      struct lost_call *call
          = &g_array_index (infer->calls, struct lost_call, i - 1);

      if (call->target_key != first.target_key || call->trial != first.trial)
        continue;
      g_array_append_val (contents, call->content);
      g_array_remove_index_fast (infer->calls, i - 1);
    }
  report.count = contents->len;
  report.contents = (const uint64_t *)(gpointer)contents->data;
  jl_report_publish (infer->proxy, &report);
  g_array_free (contents, TRUE);
}

static void
on_timer (void *context, struct jl_timer *timer)
{
  struct jl_infer *infer = context;

  (void)timer;
  while (infer->calls->len > 0)
    report_first_target (infer);
}

void
jl_infer_call_lost (struct jl_call *call)
{
  struct jl_infer *infer = call->proxy->infer;
  struct lost_call lost = {
    .member = call->member,
    .target_key = call->target_key,
    .service = jl_name_key (call->service),
    .content = jl_content_id (&call->content),
    .trial = call->on_trial && call->trial_running,
  };

  if (call->loss_inferred || call->member == call->proxy->self)
    return;
  call->loss_inferred = true;
  g_array_append_val (infer->calls, lost);
  if (infer->timer.heap_position == 0)
    jl_loop_start_timer (call->proxy->loop, &infer->timer, DELAY_US, on_timer,
                         infer);
}

void
jl_infer_member_lost (struct jl_proxy *proxy, const struct jl_member *member)
{
  struct jl_call *call;

  cds_list_for_each_entry (call, &proxy->calls, link)
  {
    if (call->member != member || call->relay.upstream == NULL
        || jl_upstream_is_unsent (call->relay.upstream))
      continue;
    jl_infer_call_lost (call);
  }
}

void
jl_infer_member_answered (struct jl_proxy *proxy,
                          const struct jl_member *member)
{
  struct jl_infer *infer = proxy->infer;

  for (guint i = infer->calls->len; i > 0; i--)
    if (g_array_index (infer->calls, struct lost_call, i - 1).member == member)
      g_array_remove_index_fast (infer->calls, i - 1);
}
