/**
 * DOC: Watches whether the local target has ended, and which requests were in
 * progress there at that time.
 */

#include "proxy/watch.h"

#include "proxy/guard.h"

#include <string.h>

/* Maximum number of requests that are remembered after their end. */
#define ENDED_RUNS_MAX 512
/* Time for which requests with a lost connection are remembered unless the
 * target is found to live: heartbeats may arrive late. */
#define LOST_RUN_KEPT_US (10 * JL_USEC_PER_SEC)
/* Time for which cancelled requests are remembered. */
#define CANCELLED_RUN_KEPT_US (1 * JL_USEC_PER_SEC)
/* Number of contents that a log line names. */
#define LOGGED_CONTENTS_MAX 8

/**
 * struct ended_run - a request that was in progress at the target
 * @content: identity of its content
 * @until_us: time until which it is remembered
 */
struct ended_run
{
  uint64_t content;
  uint64_t until_us;
};

/**
 * struct jl_watch - the watched target
 * @probe: connection opened as a probe, NULL for none
 * @probe_lost: state of a probe that was refused or closed and is not judged
 *              yet
 * @runs: array of struct ended_run
 */
struct jl_watch
{
  struct jl_proxy *proxy;
  struct jl_liveness liveness;
  struct jl_conn *probe;
  enum jl_probe_state probe_lost;
  GArray *runs;
};

struct jl_watch *
jl_watch_new (struct jl_proxy *proxy)
{
  struct jl_watch *watch = g_new0 (struct jl_watch, 1);

  watch->proxy = proxy;
  watch->liveness.heartbeat_interval_us = proxy->options->heartbeat_us;
  watch->runs = g_array_new (FALSE, FALSE, sizeof (struct ended_run));
  return watch;
}

static void
close_probe (struct jl_watch *watch)
{
  if (watch->probe != NULL)
    jl_conn_abort (watch->probe);
  watch->probe = NULL;
  watch->probe_lost = JL_PROBE_NONE;
}

static void
on_probe_event (void *context, struct jl_conn *conn)
{
  (void)context;
  (void)conn;
}

static void
on_probe_body (void *context,
               struct jl_conn *conn,
               const char *data,
               size_t size)
{
  (void)context;
  (void)conn;
  (void)data;
  (void)size;
}

static void
on_probe_closed (void *context, struct jl_conn *conn, enum jl_conn_error error)
{
  struct jl_watch *watch = context;

  (void)conn;
  watch->probe = NULL;
  watch->probe_lost
      = error == JL_CONN_CONNECT_FAILED ? JL_PROBE_REFUSED : JL_PROBE_CLOSED;
  jl_watch_check (watch);
}

static const struct jl_conn_ops probe_ops = {
  .head = on_probe_event,
  .body = on_probe_body,
  .end = on_probe_event,
  .drained = on_probe_event,
  .closed = on_probe_closed,
};

static void
open_probe (struct jl_watch *watch)
{
  struct jl_proxy *proxy = watch->proxy;

  proxy->counters.target_probes++;
  watch->probe
      = jl_conn_connect (proxy->net, proxy->options->target, &probe_ops, watch);
}

static enum jl_probe_state
probe_state (const struct jl_watch *watch)
{
  if (watch->probe_lost != JL_PROBE_NONE)
    return watch->probe_lost;
  if (watch->probe == NULL)
    return JL_PROBE_NONE;
  return jl_conn_is_connected (watch->probe) ? JL_PROBE_CONNECTED
                                             : JL_PROBE_CONNECTING;
}

void
jl_watch_begin (struct jl_watch *watch)
{
  close_probe (watch);
  g_array_set_size (watch->runs, 0);
  jl_liveness_begin (&watch->liveness, jl_now ());
}

/* Forgets the requests that had ended before the target was seen to live. */
static void
forget_runs (struct jl_watch *watch)
{
  g_array_set_size (watch->runs, 0);
}

void
jl_watch_count_response (struct jl_watch *watch, uint64_t sent_us)
{
  bool doubted = watch->liveness.doubt_us != 0;

  jl_liveness_count_response (&watch->liveness, sent_us, jl_now ());
  if (doubted && watch->liveness.doubt_us == 0)
    forget_runs (watch);
}

static void
remember_run (struct jl_watch *watch, uint64_t content, uint64_t kept_us)
{
  struct ended_run run
      = { .content = content, .until_us = jl_now () + kept_us };

  if (watch->runs->len >= ENDED_RUNS_MAX)
    g_array_remove_index (watch->runs, 0);
  g_array_append_val (watch->runs, run);
}

void
jl_watch_run_lost (struct jl_watch *watch, uint64_t content)
{
  if (watch->proxy->target.state != JL_TARGET_UP)
    return;
  remember_run (watch, content, LOST_RUN_KEPT_US);
  jl_liveness_count_break (&watch->liveness, jl_now ());
  jl_watch_check (watch);
}

void
jl_watch_run_cancelled (struct jl_watch *watch, uint64_t content)
{
  remember_run (watch, content, CANCELLED_RUN_KEPT_US);
}

/* Whether a request has been sent to the target and may be running there. */
static bool
is_at_target (const struct jl_work *work)
{
  return work->running && work->relay.upstream != NULL
         && !jl_upstream_is_unsent (work->relay.upstream);
}

static struct jl_liveness_view
view_runs (const struct jl_watch *watch)
{
  struct jl_liveness_view view = {
    .heartbeat_us = watch->proxy->target.last_heartbeat_us,
    .probe = probe_state (watch),
  };
  const struct jl_work *work;

  cds_list_for_each_entry (work, &watch->proxy->work_items, link)
  {
    if (!is_at_target (work))
      continue;
    if (view.running == 0 || work->started_us < view.oldest_us)
      view.oldest_us = work->started_us;
    view.running++;
  }
  return view;
}

/* Returns the contents that were in progress when the target ended, as an
 * array of uint64_t. */
static GArray *
list_contents (struct jl_watch *watch)
{
  GArray *contents = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  const struct jl_work *work;
  uint64_t now_us = jl_now ();

  for (guint i = 0; i < watch->runs->len; i++)
    {
      const struct ended_run *run
          = &g_array_index (watch->runs, struct ended_run, i);

      if (run->until_us > now_us)
        g_array_append_val (contents, run->content);
    }
  cds_list_for_each_entry (work, &watch->proxy->work_items, link)
  {
    uint64_t content = jl_content_id (&work->content);

    if (is_at_target (work))
      g_array_append_val (contents, content);
  }
  return contents;
}

static void
log_end (const struct jl_watch *watch,
         enum jl_target_end end,
         const GArray *contents)
{
  const struct jl_target *target = &watch->proxy->target;
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < contents->len && i < LOGGED_CONTENTS_MAX; i++)
    g_string_append_printf (text, "%s%016" PRIx64, i > 0 ? "," : "",
                            g_array_index (contents, uint64_t, i));
  jl_record (JL_RECORD_CHANGE, JL_RECORD_TARGET_ENDED,
             "target=%s born=%" PRIu64 " cause=%s in_progress=%u contents=%s",
             target->last.id, target->last.started_ms, jl_target_end_name (end),
             contents->len, text->len > 0 ? text->str : "-");
  g_string_free (text, TRUE);
}

void
jl_watch_target_ended (struct jl_watch *watch, enum jl_target_end end)
{
  struct jl_proxy *proxy = watch->proxy;
  GArray *contents;

  if (proxy->target.state != JL_TARGET_UP)
    return;
  contents = list_contents (watch);
  proxy->counters.targets_ended++;
  log_end (watch, end, contents);
  g_array_free (contents, TRUE);
  forget_runs (watch);
  close_probe (watch);
  if (end == JL_TARGET_END_REPLACED)
    return;
  jl_target_mark_down (&proxy->target);
  jl_proxy_target_changed (proxy, jl_target_end_name (end));
}

void
jl_watch_check (struct jl_watch *watch)
{
  struct jl_liveness_view view;
  struct jl_liveness_result result;

  if (watch->proxy->target.state != JL_TARGET_UP)
    {
      close_probe (watch);
      return;
    }
  view = view_runs (watch);
  result = jl_liveness_check (&watch->liveness, &view, jl_now ());
  if (result.close_probe)
    close_probe (watch);
  if (result.alive)
    forget_runs (watch);
  if (result.open_probe)
    open_probe (watch);
  if (result.end != JL_TARGET_END_NONE)
    jl_watch_target_ended (watch, result.end);
}
