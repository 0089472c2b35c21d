/**
 * DOC: What a target's responses say of the target itself.
 */

#include "proxy/notice.h"

#include "answer.h"
#include "proxy/guard.h"

static bool
is_equal (const struct jl_target_notice *a, const struct jl_target_notice *b)
{
  return a->limit == b->limit && a->rate == b->rate && a->leaving == b->leaving;
}

void
jl_notice_heard (struct jl_work *work, const struct jl_head *head)
{
  struct jl_proxy *proxy = work->proxy;
  struct jl_target_notice notice = jl_platform_decode_notice (head);

  if (is_equal (&notice, &proxy->notice))
    return;
  proxy->notice = notice;
  jl_record (JL_RECORD_CHANGE, JL_RECORD_TARGET_NOTICE,
             "target=%s limit=%d rate=%g leaving=%d status=%u id=%s",
             proxy->target.last.id, notice.limit, notice.rate, notice.leaving,
             head->status, jl_guard_attempt_id (work));
}
