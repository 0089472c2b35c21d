/**
 * DOC: Whether the local target has ended.
 */

#include "policy/liveness.h"

/* Time without any response to requests in progress after which there is a
 * doubt. */
#define STALL_US (300 * JL_USEC_PER_MSEC)
/* Time within which a probe has to be connected. */
#define CONNECT_TIMEOUT_US (250 * JL_USEC_PER_MSEC)
/* Time after which a probe that stays connected is replaced by another one: the
 * target may have ended without closing it. */
#define PROBE_HOLD_US (500 * JL_USEC_PER_MSEC)
/* Time between the beginnings of two probes. */
#define PROBE_INTERVAL_US (100 * JL_USEC_PER_MSEC)
#define STALL_PROBE_INTERVAL_US (500 * JL_USEC_PER_MSEC)
/* A response or a heartbeat this soon after a connection was lost may have been
 * sent before the target ended. */
#define IN_FLIGHT_US (20 * JL_USEC_PER_MSEC)
/* Number of missing heartbeats after which a target that does not respond
 * either has ended. */
#define HEARTBEATS_MISSED 2.5
/* Time between two checks after which this process was stopped meanwhile. */
#define STOPPED_US (200 * JL_USEC_PER_MSEC)

void
jl_liveness_begin (struct jl_liveness *liveness, uint64_t now_us)
{
  liveness->response_us = now_us;
  liveness->resumed_us = now_us;
  liveness->doubt_us = 0;
  liveness->probe_us = 0;
  liveness->next_probe_us = 0;
  liveness->checked_us = now_us;
}

static void
end_doubt (struct jl_liveness *liveness)
{
  liveness->doubt_us = 0;
  liveness->probe_us = 0;
}

void
jl_liveness_count_response (struct jl_liveness *liveness,
                            uint64_t sent_us,
                            uint64_t now_us)
{
  liveness->response_us = now_us;
  if (liveness->doubt_us != 0
      && (sent_us > liveness->doubt_us
          || now_us > liveness->doubt_us + IN_FLIGHT_US))
    end_doubt (liveness);
}

void
jl_liveness_count_break (struct jl_liveness *liveness, uint64_t now_us)
{
  if (liveness->doubt_us == 0)
    liveness->doubt_us = now_us;
}

/* Returns the time since which requests are in progress without any response.
 */
static uint64_t
unanswered_since_us (const struct jl_liveness *liveness,
                     const struct jl_liveness_view *view)
{
  uint64_t since_us = MAX (view->oldest_us, liveness->response_us);

  return MAX (since_us, liveness->resumed_us);
}

static bool
is_stalled (const struct jl_liveness *liveness,
            const struct jl_liveness_view *view,
            uint64_t now_us)
{
  return view->running > 0
         && now_us > unanswered_since_us (liveness, view) + STALL_US;
}

static bool
is_silent (const struct jl_liveness *liveness,
           const struct jl_liveness_view *view,
           uint64_t now_us)
{
  uint64_t since_us
      = MAX (unanswered_since_us (liveness, view), view->heartbeat_us);
  double limit_us = HEARTBEATS_MISSED * (double)liveness->heartbeat_interval_us;

  return view->running > 0 && now_us > since_us
         && (double)(now_us - since_us) > limit_us;
}

/* Begins all waits again if this process was stopped since the last check. */
static void
skip_stop (struct jl_liveness *liveness, uint64_t now_us)
{
  uint64_t gap_us = now_us - liveness->checked_us;

  liveness->checked_us = now_us;
  if (gap_us < STOPPED_US)
    return;
  liveness->resumed_us = now_us;
  if (liveness->probe_us != 0)
    liveness->probe_us += gap_us;
}

/* Judges the current probe. */
static struct jl_liveness_result
judge_probe (struct jl_liveness *liveness,
             const struct jl_liveness_view *view,
             uint64_t now_us)
{
  struct jl_liveness_result result = { .close_probe = true };
  uint64_t age_us = now_us - liveness->probe_us;
  bool others_running
      = view->running > 0 && view->oldest_us <= liveness->doubt_us;

  if (view->probe == JL_PROBE_REFUSED)
    result.end = JL_TARGET_END_REFUSED;
  else if (view->probe == JL_PROBE_CLOSED && !others_running)
    result.end = JL_TARGET_END_RESET;
  else if (view->probe == JL_PROBE_CONNECTING && age_us > CONNECT_TIMEOUT_US)
    result.end = JL_TARGET_END_UNREACHABLE;
  else
    result.close_probe
        = view->probe == JL_PROBE_CLOSED
          || (view->probe == JL_PROBE_CONNECTED && age_us > PROBE_HOLD_US);
  if (result.close_probe)
    liveness->probe_us = 0;
  return result;
}

struct jl_liveness_result
jl_liveness_check (struct jl_liveness *liveness,
                   const struct jl_liveness_view *view,
                   uint64_t now_us)
{
  struct jl_liveness_result result = { 0 };
  bool stalled;

  skip_stop (liveness, now_us);
  stalled = is_stalled (liveness, view, now_us);
  if (liveness->doubt_us == 0 && stalled)
    liveness->doubt_us = now_us;
  if (liveness->doubt_us == 0)
    {
      result.close_probe = view->probe != JL_PROBE_NONE;
      return result;
    }
  if (view->probe != JL_PROBE_NONE)
    result = judge_probe (liveness, view, now_us);
  if (is_silent (liveness, view, now_us))
    result.end = JL_TARGET_END_SILENT;
  result.alive = result.end == JL_TARGET_END_NONE && !stalled
                 && view->heartbeat_us > liveness->doubt_us + IN_FLIGHT_US;
  if (result.end != JL_TARGET_END_NONE || result.alive)
    {
      result.close_probe = view->probe != JL_PROBE_NONE;
      end_doubt (liveness);
    }
  else if (view->probe == JL_PROBE_NONE && now_us >= liveness->next_probe_us)
    {
      result.open_probe = true;
      liveness->probe_us = now_us;
      liveness->next_probe_us
          = now_us + (stalled ? STALL_PROBE_INTERVAL_US : PROBE_INTERVAL_US);
    }
  return result;
}

const char *
jl_target_end_name (enum jl_target_end end)
{
  static const char *const names[] = { "none",
                                       "connection-refused",
                                       "connection-reset",
                                       "connection-timeout",
                                       "silent",
                                       "replaced" };

  return names[end];
}
