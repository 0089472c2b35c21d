/**
 * DOC: Reports on contents that are suspected of ending targets.
 */

#include "proxy/report.h"

#include "proxy/rows.h"
#include "proxy/trial.h"

#include <string.h>

/* Returns the treatment of a content without regard to a trial in progress. */
static enum jl_suspicion
settled (const struct jl_verdict *verdict)
{
  return verdict->suspicion == JL_SUSPICION_ON_TRIAL ? JL_SUSPICION_SUSPECT
                                                     : verdict->suspicion;
}

static const char *
kind_name (enum jl_report_kind kind)
{
  static const char *const names[]
      = { "-",          "target-ended",  "answered", "trial-begun",
          "trial-over", "trial-running", "departed", "serving" };

  return names[kind];
}

static void
log_change (const struct jl_report *report,
            uint64_t content,
            const struct jl_verdict *before,
            const struct jl_verdict *after,
            const char *by)
{
  uint64_t now_us = jl_now ();

  jl_record (JL_RECORD_CHANGE, JL_RECORD_SUSPICION,
             "content=%016" PRIx64 " state=%s before=%s ends=%u trials=%u "
             "report=%s target=%08x service=%08x inferred=%d by=%s "
             "age_ms=%" PRIu64 " until_ms=%" PRIu64,
             content, jl_suspicion_name (after->suspicion),
             jl_suspicion_name (before->suspicion), after->ends, after->trials,
             kind_name (report->kind), report->target, report->service,
             report->inferred, by, (now_us - report->at_us) / JL_USEC_PER_MSEC,
             after->until_us > now_us
                 ? (after->until_us - now_us) / JL_USEC_PER_MSEC
                 : 0);
}

/* Changes the suspects by what a report says of one content. */
static void
change_suspects (struct jl_proxy *proxy,
                 const struct jl_report *report,
                 uint64_t content,
                 uint64_t now_us)
{
  struct jl_suspects *suspects = &proxy->suspects;
  struct jl_suspect_strike strike = {
    .target = report->target,
    .service = report->service,
    .trial = report->trial,
    .inferred = report->inferred,
    .at_us = report->at_us,
  };

  switch (report->kind)
    {
    case JL_REPORT_STRIKE:
      if (jl_suspects_add_strike (suspects, content, &strike, now_us))
        proxy->counters.strikes++;
      break;
    case JL_REPORT_ANSWERED:
      jl_suspects_count_answer (suspects, content, report->service,
                                report->at_us, now_us);
      break;
    case JL_REPORT_TRIAL_BEGUN:
    case JL_REPORT_TRIAL_RUNNING:
      jl_suspects_begin_trial (suspects, content, report->at_us);
      break;
    case JL_REPORT_TRIAL_OVER:
      jl_suspects_end_trial (suspects, content, report->at_us);
      break;
    case JL_REPORT_DEPARTED:
    case JL_REPORT_SERVING:
      break;
    }
}

static void
apply_to_content (struct jl_proxy *proxy,
                  const struct jl_report *report,
                  uint64_t content,
                  const char *by)
{
  uint64_t now_us = jl_now ();
  struct jl_verdict before
      = jl_suspects_judge (&proxy->suspects, content, report->service, now_us);
  struct jl_verdict after;

  change_suspects (proxy, report, content, now_us);
  if (report->kind == JL_REPORT_TRIAL_BEGUN
      || report->kind == JL_REPORT_TRIAL_RUNNING)
    jl_trial_heard (proxy, content, by,
                    report->kind == JL_REPORT_TRIAL_RUNNING);
  after
      = jl_suspects_judge (&proxy->suspects, content, report->service, now_us);
  if (settled (&before) != settled (&after) || before.trials != after.trials)
    log_change (report, content, &before, &after, by);
  if (after.trials > before.trials && strcmp (by, proxy->options->name) == 0)
    jl_rows_write_refused (proxy);
  if (before.suspicion != after.suspicion || before.ends != after.ends)
    jl_trial_continue (proxy, content, report->kind == JL_REPORT_ANSWERED);
}

void
jl_report_apply (struct jl_proxy *proxy,
                 const struct jl_report *report,
                 const char *by)
{
  for (unsigned i = 0; i < report->count; i++)
    apply_to_content (proxy, report, report->contents[i], by);
}

void
jl_report_publish (struct jl_proxy *proxy, const struct jl_report *report)
{
  jl_report_apply (proxy, report, proxy->options->name);
  jl_news_send (proxy->news, report);
}

void
jl_report_answered (struct jl_proxy *proxy,
                    uint64_t content,
                    const char *service)
{
  uint64_t now_us = jl_now ();
  struct jl_report report = {
    .kind = JL_REPORT_ANSWERED,
    .service = jl_name_key (service),
    .at_us = now_us,
    .count = 1,
    .contents = &content,
  };
  struct jl_verdict verdict
      = jl_suspects_judge (&proxy->suspects, content, report.service, now_us);

  if (verdict.suspicion != JL_SUSPICION_NONE || verdict.trials > 0)
    {
      proxy->counters.contents_cleared++;
      jl_report_publish (proxy, &report);
    }
  else if (verdict.ends > 0)
    jl_suspects_count_answer (&proxy->suspects, content, report.service, now_us,
                              now_us);
}

void
jl_report_trial (struct jl_proxy *proxy,
                 enum jl_report_kind kind,
                 uint64_t content)
{
  struct jl_report report = {
    .kind = kind,
    .at_us = jl_now (),
    .count = 1,
    .contents = &content,
  };

  jl_report_publish (proxy, &report);
}
