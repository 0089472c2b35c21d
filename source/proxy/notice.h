#ifndef JACKDAWLADDER_PROXY_NOTICE_H
#define JACKDAWLADDER_PROXY_NOTICE_H

/**
 * DOC: What a target's responses say of the target itself.
 *
 * A target may name in its responses a limit of requests a second, for all
 * daemons together, and that it leaves.
 */

#include "jackdawladder/base.h"

struct jl_head;
struct jl_work;

/**
 * enum jl_stated_limit - what a response says of the target's limit
 * @JL_STATED_LIMIT_NONE: the target has none
 * @JL_STATED_LIMIT_RATE: it has one
 * @JL_STATED_LIMIT_UNKNOWN: nothing that can be understood
 */
enum jl_stated_limit
{
  JL_STATED_LIMIT_NONE,
  JL_STATED_LIMIT_RATE,
  JL_STATED_LIMIT_UNKNOWN,
};

/**
 * struct jl_target_notice - what one response says of its target
 * @limit: whether the target has a limit
 * @rate: the limit in requests a second, infinite unless @limit is
 *        JL_STATED_LIMIT_RATE
 * @leaving: the target is about to leave
 */
struct jl_target_notice
{
  enum jl_stated_limit limit;
  double rate;
  bool leaving;
};

/**
 * jl_notice_heard - handles what a response says of the target
 * @work: the request that the response belongs to
 * @head: head of the response
 */
void jl_notice_heard (struct jl_work *work, const struct jl_head *head);

#endif
