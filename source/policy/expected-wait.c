/**
 * DOC: Load reports of targets, and the expected completion time of a request
 * that is sent to a target.
 */

#include "policy/expected-wait.h"

#include <stdio.h>

/* Larger values in a report are malformed. */
#define COUNT_MAX 1000000u
#define HOLD_MS_MAX 3600000u

void
jl_load_report_format (const struct jl_load_report *report,
                       char text[JL_LOAD_REPORT_SIZE])
{
  g_snprintf (text, JL_LOAD_REPORT_SIZE, "%u %u %u %u", report->running,
              report->waiting, report->limit, report->hold_ms);
}

bool
jl_load_report_is_valid (const struct jl_load_report *report)
{
  return report->running <= COUNT_MAX && report->waiting <= COUNT_MAX
         && report->limit >= 1 && report->limit <= COUNT_MAX
         && report->hold_ms >= 1 && report->hold_ms <= HOLD_MS_MAX;
}

bool
jl_load_report_parse (const char *text, struct jl_load_report *report)
{
  char rest;

  return sscanf (text, "%9u %9u %9u %9u%c", &report->running, &report->waiting,
                 &report->limit, &report->hold_ms, &rest)
             == 4
         && jl_load_report_is_valid (report);
}

void
jl_load_view_hear (struct jl_load_view *view,
                   const struct jl_load_report *report,
                   uint64_t now_us)
{
  *view = (struct jl_load_view){ .report = *report, .heard_us = now_us };
}

bool
jl_load_view_is_fresh (const struct jl_load_view *view, uint64_t now_us)
{
  return view->heard_us != 0
         && now_us <= view->heard_us + JL_LOAD_REPORT_AGE_MAX_US;
}

/* Returns the requests that run or wait there by now. */
static unsigned
present (const struct jl_load_view *view)
{
  return view->report.running + view->report.waiting + view->sent
         + view->claimed;
}

unsigned
jl_load_view_free_slots (const struct jl_load_view *view)
{
  unsigned used = present (view);

  return used < view->report.limit ? view->report.limit - used : 0;
}

static double
hold_us (const struct jl_load_view *view)
{
  return view->report.hold_ms * (double)JL_USEC_PER_MSEC;
}

double
jl_load_view_wait_us (const struct jl_load_view *view)
{
  if (jl_load_view_free_slots (view) > 0)
    return 0;
  return (present (view) + 1 - view->report.limit) * hold_us (view)
         / view->report.limit;
}

double
jl_load_view_completion_us (const struct jl_load_view *view)
{
  return jl_load_view_wait_us (view) + hold_us (view);
}

/* Whether the receiver itself has used up the slots that the report named as
 * free. */
static bool
is_used_up (const struct jl_load_view *view)
{
  const struct jl_load_report *report = &view->report;

  return report->running + report->waiting < report->limit
         && report->running + report->waiting + view->sent >= report->limit;
}

/* Returns the wait by which the expectations for both targets may be wrong:
 * within the age of a report, a target may at worst have got no request, or
 * have ended none. */
static double
uncertainty_us (const struct jl_load_view *a,
                const struct jl_load_view *b,
                uint64_t now_us)
{
  return (double)(now_us - MIN (now_us, MIN (a->heard_us, b->heard_us)));
}

int
jl_load_view_compare (const struct jl_load_view *first,
                      const struct jl_load_view *second,
                      uint64_t now_us,
                      double draw)
{
  double first_us = jl_load_view_wait_us (first);
  double second_us = jl_load_view_wait_us (second);

  if (is_used_up (first) && second_us <= 0)
    return 1;
  if (is_used_up (second) && first_us <= 0)
    return -1;
  if (first_us <= 0 && second_us <= 0)
    return 0;
  return first_us - second_us > draw * uncertainty_us (first, second, now_us)
             ? 1
             : -1;
}
