/**
 * DOC: Work that leaves the guard's queue without having run.
 */

#include "proxy/guard.h"

void
jl_guard_refuse_waiting (struct jl_proxy *proxy, const char *reason)
{
  struct jl_work *work;
  struct jl_work *next;

  cds_list_for_each_entry_safe (work, next, &proxy->work_items,
                                link) if (work->item.waiting
                                          || work->relay.hold != JL_HOLD_NONE)
      jl_guard_refuse (work, reason);
}
