/**
 * DOC: Watches whether the local target has ended, and which requests were in
 * progress there at that time.
 */

#include "proxy/watch.h"

#include "proxy/guard.h"
#include "proxy/report.h"
#include "proxy/trial.h"

/* Maximum number of requests that are remembered after their end. */
#define ENDED_RUNS_MAX 512
/* Time for which requests with a lost connection are remembered unless the
 * target responds to a later one: heartbeats may arrive late. */
#define LOST_RUN_KEPT_US (10 * JL_USEC_PER_SEC)
/* Time for which cancelled requests are remembered. */
#define CANCELLED_RUN_KEPT_US (1 * JL_USEC_PER_SEC)
/* Number of contents that a log line names. */
#define LOGGED_CONTENTS_MAX 8

/**
 * struct kept_run - a request that was in progress at the target
 * @ended_us: time at which its connection was lost, or it was cancelled
 * @reported_us: of a trial: time at which it was last reported
 * @until_us: time until which it is remembered
 */
struct kept_run
{
  struct jl_ended_run run;
  uint64_t ended_us;
  uint64_t reported_us;
  uint64_t until_us;
};

/**
 * struct jl_watch - the watched target
 * @probe: connection opened as a probe, NULL for none
 * @probe_lost: state of a probe that was refused or closed and is not judged
 *              yet
 * @runs: array of struct kept_run
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
  watch->runs = g_array_new (FALSE, FALSE, sizeof (struct kept_run));
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

/* Forgets the requests that had ended when a request was sent to which the
 * target has responded. Their trials have no result. */
static void
forget_runs (struct jl_watch *watch, uint64_t sent_us)
{
  GArray *runs = watch->runs;

  watch->runs = g_array_new (FALSE, FALSE, sizeof (struct kept_run));
  for (guint i = 0; i < runs->len; i++)
    {
      const struct kept_run *kept = &g_array_index (runs, struct kept_run, i);

      if (kept->ended_us >= sent_us)
        g_array_append_val (watch->runs, *kept);
      else if (kept->run.trial)
        jl_report_trial (watch->proxy, JL_REPORT_TRIAL_OVER, kept->run.content);
    }
  g_array_free (runs, TRUE);
}

void
jl_watch_count_response (struct jl_watch *watch, uint64_t sent_us)
{
  jl_liveness_count_response (&watch->liveness, sent_us, jl_now ());
  if (watch->runs->len > 0)
    forget_runs (watch, sent_us);
}

struct jl_ended_run
jl_watch_end_run (const struct jl_work *work)
{
  struct jl_ended_run run = {
    .content = jl_content_id (&work->content),
    .trial = work->on_trial,
    .started_us = work->started_us,
  };

  return run;
}

static void
remember_run (struct jl_watch *watch,
              const struct jl_ended_run *run,
              uint64_t kept_us)
{
  uint64_t now_us = jl_now ();
  struct kept_run kept = {
    .run = *run,
    .ended_us = now_us,
    .until_us = now_us + kept_us,
  };

  if (watch->runs->len >= ENDED_RUNS_MAX)
    g_array_remove_index (watch->runs, 0);
  g_array_append_val (watch->runs, kept);
}

void
jl_watch_run_lost (struct jl_watch *watch, const struct jl_ended_run *run)
{
  if (watch->proxy->target.state != JL_TARGET_UP)
    return;
  remember_run (watch, run, LOST_RUN_KEPT_US);
  jl_liveness_count_break (&watch->liveness, jl_now ());
  jl_watch_check (watch);
}

void
jl_watch_run_cancelled (struct jl_watch *watch, const struct jl_ended_run *run)
{
  remember_run (watch, run, CANCELLED_RUN_KEPT_US);
}

bool
jl_watch_is_in_doubt (const struct jl_watch *watch)
{
  return watch->liveness.doubt_us != 0;
}

/* Reports a trial whose connection was lost as still in progress: its result is
 * not known as long as it is in doubt whether the target has ended. */
static void
report_trial_in_doubt (const struct jl_watch *watch, struct kept_run *kept)
{
  uint64_t now_us = jl_now ();

  if (!kept->run.trial || now_us > kept->run.started_us + JL_TRIAL_REPORTED_US
      || now_us < kept->reported_us + JL_TRIAL_REPORT_PERIOD_US)
    return;
  kept->reported_us = now_us;
  jl_report_trial (watch->proxy, JL_REPORT_TRIAL_RUNNING, kept->run.content);
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

/**
 * struct victims - contents that were in progress when the target ended
 * @contents: of requests that ran as usual, as array of uint64_t
 * @trials: of the request that ran as a trial
 */
struct victims
{
  GArray *contents;
  GArray *trials;
};

static void
add_victim (struct victims *victims,
            const struct jl_ended_run *run,
            uint64_t doubt_us)
{
  GArray *list = run->trial ? victims->trials : victims->contents;

  /* Requests sent since the doubt began met a target that had ended before. */
  if (doubt_us != 0 && run->started_us > doubt_us)
    return;
  for (guint i = 0; i < list->len; i++)
    if (g_array_index (list, uint64_t, i) == run->content)
      return;
  g_array_append_val (list, run->content);
}

static struct victims
list_victims (const struct jl_watch *watch, uint64_t doubt_us)
{
  struct victims victims = {
    .contents = g_array_new (FALSE, FALSE, sizeof (uint64_t)),
    .trials = g_array_new (FALSE, FALSE, sizeof (uint64_t)),
  };
  const struct jl_work *work;
  uint64_t now_us = jl_now ();

  for (guint i = 0; i < watch->runs->len; i++)
    {
      const struct kept_run *kept
          = &g_array_index (watch->runs, struct kept_run, i);

      if (kept->until_us > now_us)
        add_victim (&victims, &kept->run, doubt_us);
    }
  cds_list_for_each_entry (work, &watch->proxy->work_items, link)
  {
    struct jl_ended_run run = jl_watch_end_run (work);

    if (is_at_target (work))
      add_victim (&victims, &run, doubt_us);
  }
  return victims;
}

static char *
format_contents (const GArray *contents)
{
  GString *text = g_string_new (contents->len > 0 ? NULL : "-");

  for (guint i = 0; i < contents->len && i < LOGGED_CONTENTS_MAX; i++)
    g_string_append_printf (text, "%s%016" PRIx64, i > 0 ? "," : "",
                            g_array_index (contents, uint64_t, i));
  return g_string_free (text, FALSE);
}

static void
log_end (const struct jl_watch *watch,
         enum jl_target_end end,
         const struct victims *victims)
{
  const struct jl_target *target = &watch->proxy->target;
  char *contents = format_contents (victims->contents);
  char *trials = format_contents (victims->trials);

  jl_record (JL_RECORD_CHANGE, JL_RECORD_TARGET_ENDED,
             "target=%s born=%" PRIu64 " key=%08x cause=%s in_progress=%u "
             "contents=%s trial=%s",
             target->last.id, target->last.started_ms,
             watch->proxy->self->target_key, jl_target_end_name (end),
             victims->contents->len + victims->trials->len, contents, trials);
  g_free (contents);
  g_free (trials);
}

static void
report_strikes (const struct jl_watch *watch,
                const GArray *contents,
                bool trial)
{
  struct jl_report report = {
    .kind = JL_REPORT_STRIKE,
    .trial = trial,
    .target = watch->proxy->self->target_key,
    .service = jl_name_key (jl_proxy_service (watch->proxy)),
    .at_us = jl_now (),
    .count = contents->len,
    .contents = (const uint64_t *)(gpointer)contents->data,
  };

  if (contents->len > 0)
    jl_report_publish (watch->proxy, &report);
}

/* @doubt_us: time at which the doubt began that has led to this end, 0 for none
 */
static void
handle_end (struct jl_watch *watch, enum jl_target_end end, uint64_t doubt_us)
{
  struct jl_proxy *proxy = watch->proxy;
  struct victims victims = list_victims (watch, doubt_us);

  proxy->counters.targets_ended++;
  log_end (watch, end, &victims);
  g_array_set_size (watch->runs, 0);
  close_probe (watch);
  report_strikes (watch, victims.trials, true);
  report_strikes (watch, victims.contents, false);
  g_array_free (victims.contents, TRUE);
  g_array_free (victims.trials, TRUE);
  if (end == JL_TARGET_END_REPLACED)
    return;
  jl_target_mark_down (&proxy->target);
  jl_proxy_target_changed (proxy, jl_target_end_name (end));
}

void
jl_watch_target_ended (struct jl_watch *watch, enum jl_target_end end)
{
  if (watch->proxy->target.state == JL_TARGET_UP)
    handle_end (watch, end, watch->liveness.doubt_us);
}

void
jl_watch_check (struct jl_watch *watch)
{
  struct jl_liveness_view view;
  struct jl_liveness_result result;
  uint64_t doubt_us = watch->liveness.doubt_us;

  if (watch->proxy->target.state != JL_TARGET_UP)
    {
      close_probe (watch);
      return;
    }
  view = view_runs (watch);
  result = jl_liveness_check (&watch->liveness, &view, jl_now ());
  if (result.close_probe)
    close_probe (watch);
  if (result.open_probe)
    open_probe (watch);
  if (result.end != JL_TARGET_END_NONE)
    handle_end (watch, result.end, doubt_us);
  for (guint i = 0; i < watch->runs->len && jl_watch_is_in_doubt (watch); i++)
    report_trial_in_doubt (watch,
                           &g_array_index (watch->runs, struct kept_run, i));
  if (doubt_us != 0 && watch->liveness.doubt_us == 0)
    jl_trial_continue_work (watch->proxy);
}
