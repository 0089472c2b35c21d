/**
 * DOC: Load reports between the daemons, where the settings enable them.
 */

#include "proxy/load-report.h"

#include "policy/rebind.h"

#include <string.h>

/* Size of the body up to which a request may be handed back. */
#define MOVED_BODY_BYTES_MAX 65536
/* Age of a report after which a guard of another zone is asked again. */
#define OTHER_ZONE_AGE_US (250 * JL_USEC_PER_MSEC)

struct jl_load_report
jl_load_report_own (const struct jl_proxy *proxy)
{
  double hold_ms = proxy->load_shedder.hold_us / (double)JL_USEC_PER_MSEC;
  struct jl_load_report report = {
    .running = proxy->lane.running,
    .waiting = proxy->lane.waiting,
    .limit
    = jl_load_shedder_used_slots (&proxy->load_shedder, proxy->lane.limit),
    .hold_ms = MAX ((unsigned)(hold_ms + 0.5), 1),
  };

  return report;
}

/* Whether the local target has a load to report. Nothing is known of its speed
 * before its first response. */
static bool
has_report (const struct jl_proxy *proxy)
{
  return proxy->options->load_reports && proxy->lane.limit > 0
         && proxy->load_shedder.hold_us > 0;
}

void
jl_load_report_update_self (struct jl_proxy *proxy)
{
  struct jl_load_report report = jl_load_report_own (proxy);

  proxy->roster.uses_load_reports = proxy->options->load_reports;
  if (has_report (proxy))
    jl_load_view_hear (&proxy->self->load, &report, jl_now ());
}

void
jl_load_report_add_line (const struct jl_work *work, char *lines, size_t size)
{
  struct jl_load_report report = jl_load_report_own (work->proxy);
  size_t length = strlen (lines);
  char text[JL_LOAD_REPORT_SIZE];

  if (!work->header.accepts_load || !has_report (work->proxy))
    return;
  jl_load_report_format (&report, text);
  g_snprintf (lines + length, size - length, "%s: %s\r\n", JL_LOAD_FIELD, text);
}

void
jl_load_report_count_start (struct jl_work *work)
{
  struct jl_proxy *proxy = work->proxy;
  uint64_t waited_us = jl_now () - work->item.arrived_us;
  uint64_t spent_us = waited_us + work->header.spent_ms * JL_USEC_PER_MSEC;

  if (!proxy->options->load_reports)
    return;
  if (work->header.guest)
    proxy->self->guest_us = jl_now ();
  proxy->counters.starts++;
  if (2 * spent_us > work->header.latency_goal_ms * JL_USEC_PER_MSEC)
    proxy->counters.late_starts++;
}

/* Returns how often a guard may hand a request back. The body must fit into the
 * buffers of entry and guard, and bytes between zones are saved. */
static unsigned
moves_left (const struct jl_call *call)
{
  const struct jl_head *head = jl_request_head (call->relay.request);

  if (call->member->in_other_zone || call->on_trial || head->chunked
      || call->moved_count >= JL_REBIND_MOVES_MAX
      || call->tried_count >= JL_PLACEMENTS_MAX
      || (head->has_length && head->length > MOVED_BODY_BYTES_MAX))
    return 0;
  return JL_REBIND_MOVES_MAX - call->moved_count;
}

void
jl_load_report_ask (const struct jl_call *call, struct jl_work_header *work)
{
  const struct jl_member *member = call->member;
  uint64_t now_us = jl_now ();

  if (!call->proxy->options->load_reports)
    return;
  work->accepts_load = !member->in_other_zone
                       || now_us > member->load.heard_us + OTHER_ZONE_AGE_US;
  work->guest = member->in_other_zone;
  work->moves_left = moves_left (call);
  work->spent_ms = (unsigned)MIN (jl_call_age_ms (call), UINT32_MAX);
}

void
jl_load_report_sent (struct jl_call *call)
{
  struct jl_proxy *proxy = call->proxy;
  struct jl_load_view *load = &call->member->load;
  uint64_t now_us = jl_now ();

  if (!proxy->options->load_reports)
    return;
  if (jl_load_view_is_fresh (load, now_us))
    jl_histogram_add (&proxy->counters.report_age, now_us - load->heard_us);
  load->sent++;
}

/* Notes that the daemon of a call has handed it back. The one that did so
 * before may get it again: its queue may have become shorter. */
static void
note_moved (struct jl_call *call)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < call->tried_count; i++)
    if (call->tried[i] != call->moved_from)
      call->tried[kept++] = call->tried[i];
  call->tried_count = kept;
  call->moved_from = call->member;
  call->moved_count++;
}

void
jl_load_report_heard (struct jl_call *call, const struct jl_head *head)
{
  const char *text = jl_head_get (head, JL_LOAD_FIELD);
  const char *outcome = jl_head_get (head, JL_OUTCOME_FIELD);
  const char *reason = jl_head_get (head, JL_REASON_FIELD);
  struct jl_load_report report;

  if (!call->proxy->options->load_reports)
    return;
  if (text != NULL && jl_load_report_parse (text, &report))
    jl_load_view_hear (&call->member->load, &report, jl_now ());
  if (outcome != NULL && strcmp (outcome, "not-run") == 0 && reason != NULL
      && strcmp (reason, JL_REASON_MOVED) == 0)
    note_moved (call);
}
