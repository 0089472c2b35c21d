/**
 * DOC: What a target's responses say of the target itself.
 */

#include "proxy/notice.h"

#include "answer.h"
#include "proxy/call.h"
#include "proxy/guard.h"
#include "proxy/hooks.h"

#include <math.h>
#include <stdio.h>

/* Ratio by which a limit changes before it is logged and announced again. */
#define LARGE_CHANGE 0.1

void
jl_notice_init (struct jl_target_limit *limit)
{
  *limit = (struct jl_target_limit){ .logged = INFINITY };
  jl_rate_limit_init (&limit->rate);
}

/* Whether a change is large enough to be logged and announced at once. */
static bool
is_large_change (double logged, double rate)
{
  if (isfinite (logged) != isfinite (rate))
    return true;
  return isfinite (rate) && fabs (rate - logged) > LARGE_CHANGE * logged;
}

/* Applies a limit of the current incarnation. @source: the identifier of the
 * response's attempt, or "entry" */
static void
set_limit (struct jl_proxy *proxy, double rate, const char *source)
{
  struct jl_target_limit *limit = &proxy->target_limit;

  if (!jl_rate_limit_name (&limit->rate, rate, jl_now ()))
    return;
  jl_proxy_limit_changed (proxy);
  if (is_large_change (limit->logged, rate))
    {
      jl_beacon_send_soon (proxy->beacon);
      jl_record (JL_RECORD_CHANGE, JL_RECORD_TARGET_LIMIT,
                 "target=%s rate=%g before=%g from=%s running=%u waiting=%u",
                 proxy->target.last.id, rate, limit->logged, source,
                 proxy->lane.running, proxy->lane.waiting);
      limit->logged = rate;
    }
}

/* Handles the leave of the incarnation with this key. */
static void
handle_leave (struct jl_proxy *proxy, uint32_t key)
{
  if (key != jl_target_key (&proxy->target))
    jl_target_restore_departed_key (&proxy->target, key);
  else if (proxy->target.state != JL_TARGET_LEAVING)
    jl_heartbeats_note_leave (proxy, proxy->target.last.id, "answer");
}

/* Writes what the entry has to know. */
static void
format_line (const struct jl_target_notice *notice,
             uint32_t key,
             char line[JL_TARGET_LINE_SIZE])
{
  if (notice->limit == JL_STATED_LIMIT_RATE || notice->leaving)
    g_snprintf (line, JL_TARGET_LINE_SIZE, "%s: %08x %.3f %d\r\n",
                JL_TARGET_FIELD, key, notice->rate, notice->leaving);
  else
    line[0] = '\0';
}

void
jl_notice_heard (struct jl_work *work,
                 const struct jl_head *head,
                 char line[JL_TARGET_LINE_SIZE])
{
  struct jl_proxy *proxy = work->proxy;
  struct jl_target_notice notice = jl_platform_decode_notice (head);

  format_line (&notice, work->target_key, line);
  if (notice.leaving && !JL_TEST_DISABLED ("leaving"))
    handle_leave (proxy, work->target_key);
  if (work->target_key != proxy->target_limit.key || JL_TEST_DISABLED ("limit"))
    return;
  proxy->target_limit.heard = true;
  if (notice.limit != JL_STATED_LIMIT_UNKNOWN)
    set_limit (proxy, notice.rate, jl_guard_attempt_id (work));
}

void
jl_notice_told (struct jl_proxy *proxy, const struct jl_work_header *header)
{
  const struct jl_target_limit *limit = &proxy->target_limit;

  if (header->limited_key != 0 && header->limited_key == limit->key
      && !limit->heard && !JL_TEST_DISABLED ("limit"))
    set_limit (proxy, header->limit, "entry");
}

void
jl_notice_target_changed (struct jl_proxy *proxy)
{
  uint32_t key = jl_target_key (&proxy->target);

  if (key == proxy->target_limit.key)
    return;
  if (proxy->options->load_reports)
    jl_load_shedder_restart (&proxy->load_shedder,
                             proxy->target.last.warmup_us > 0);
  jl_notice_init (&proxy->target_limit);
  proxy->target_limit.key = key;
  jl_proxy_limit_changed (proxy);
}

/* Sends nothing more to the incarnation with this key. */
static void
leave_member (struct jl_member *member, uint32_t key)
{
  jl_member_add_departed (member, key);
  if (member->target_key == key && member->state == JL_TARGET_UP)
    member->state = JL_TARGET_LEAVING;
}

void
jl_notice_passed_on (struct jl_call *call, const struct jl_head *head)
{
  struct jl_member *member = call->member;
  const char *value = jl_head_get (head, JL_TARGET_FIELD);
  unsigned key = 0;
  double rate = INFINITY;
  int leaving = 0;

  if (value == NULL || sscanf (value, "%8x %lf %d", &key, &rate, &leaving) != 3)
    key = call->target_key;
  if (isfinite (rate))
    {
      member->limited_key = key;
      member->stated_limit = rate;
    }
  else if (member->limited_key == key)
    member->limited_key = 0;
  if (leaving && !JL_TEST_DISABLED ("leaving"))
    leave_member (member, key);
}
