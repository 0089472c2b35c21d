#ifndef JACKDAWLADDER_PROXY_NOTICE_H
#define JACKDAWLADDER_PROXY_NOTICE_H

/**
 * DOC: What a target's responses say of the target itself.
 *
 * A target may name in its responses a limit of requests a second, for all
 * daemons together, and that it leaves. Both hold for the incarnation that has
 * responded. Its guard keeps the limit and sends nothing more to a target that
 * leaves.
 *
 * The entries to which such responses are passed on remember them: they send
 * nothing more to an incarnation that leaves, and their requests name the limit
 * to the guard, which has forgotten it after a restart.
 */

#include "policy/rate-limit.h"

struct jl_call;
struct jl_head;
struct jl_member;
struct jl_proxy;
struct jl_work;
struct jl_work_header;

/* Header field of a target's responses that a guard passes on: what they say of
 * the target. */
#define JL_TARGET_FIELD "Jl-Target"
/* Maximum size of that line and of the one with a load report. */
#define JL_TARGET_LINE_SIZE 128

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
 * struct jl_target_limit - limit of the local target
 * @key: key of the incarnation that it belongs to, 0 for none
 * @heard: this daemon has had a response of that incarnation
 * @rate: the limit, and the requests that it allows now
 * @logged: limit that was logged last
 */
struct jl_target_limit
{
  uint32_t key;
  bool heard;
  struct jl_rate_limit rate;
  double logged;
};

/**
 * jl_notice_init - begins without a target
 */
void jl_notice_init (struct jl_target_limit *limit);

/**
 * jl_notice_heard - handles what a response says of the local target
 * @work: the request that the response belongs to
 * @head: head of the response
 * @line: receives the header line with JL_TARGET_FIELD for the entry, "" if
 *        there is nothing to tell
 */
void jl_notice_heard (struct jl_work *work,
                      const struct jl_head *head,
                      char line[JL_TARGET_LINE_SIZE]);

/**
 * jl_notice_told - handles the limit that an entry names in a request
 *
 * It counts until the local target itself has responded.
 */
void jl_notice_told (struct jl_proxy *proxy,
                     const struct jl_work_header *header);

/**
 * jl_notice_target_changed - forgets what another incarnation has said
 */
void jl_notice_target_changed (struct jl_proxy *proxy);

/**
 * jl_notice_passed_on - remembers what a target's response, which comes from a
 * guard, says of the target
 * @call: the request that the response belongs to
 */
void jl_notice_passed_on (struct jl_call *call, const struct jl_head *head);

#endif
