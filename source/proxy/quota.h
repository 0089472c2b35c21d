#ifndef JACKDAWLADDER_PROXY_QUOTA_H
#define JACKDAWLADDER_PROXY_QUOTA_H

/**
 * DOC: Usage caps of customers over all daemons.
 *
 * In each zone one daemon, the issuer, issues tokens from a bucket for each
 * customer; a request needs one. Design: docs/design/quota.md.
 */

#include "proxy/call.h"

/**
 * enum jl_quota_result - decision on a request
 * @JL_QUOTA_GRANTED: it may run
 * @JL_QUOTA_WAITING: it waits for a token, or was decided on by an answer of
 *                    this daemon itself; the caller must not touch it
 * @JL_QUOTA_REFUSED: it was answered with 429
 */
enum jl_quota_result
{
  JL_QUOTA_GRANTED,
  JL_QUOTA_WAITING,
  JL_QUOTA_REFUSED,
};

struct jl_quota *jl_quota_new (struct jl_proxy *proxy);

/**
 * jl_quota_take - decides whether the usage cap of its customer allows a
 * request
 *
 * A request that waits is continued with jl_entry_continue().
 */
enum jl_quota_result jl_quota_take (struct jl_proxy *proxy,
                                    struct jl_call *call);

/**
 * jl_quota_end_call - removes a request that ends from those that wait
 */
void jl_quota_end_call (struct jl_call *call);

/**
 * jl_quota_read - reads a datagram on usage caps
 */
void jl_quota_read (struct jl_quota *quota, const char *datagram, size_t size);

/**
 * jl_quota_store_restored - reads the shares of zones again, as the store has
 * come back from an older copy
 */
void jl_quota_store_restored (struct jl_quota *quota);

/**
 * jl_quota_append_metrics - appends the totals to the metrics page
 */
void jl_quota_append_metrics (const struct jl_quota *quota, GString *text);

/**
 * jl_quota_append_state - appends the issuer and the customers to the state
 * page
 */
void jl_quota_append_state (const struct jl_quota *quota, GString *text);

#endif
