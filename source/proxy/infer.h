#ifndef JACKDAWLADDER_PROXY_INFER_H
#define JACKDAWLADDER_PROXY_INFER_H

/**
 * DOC: Infers the end of targets from the loss of contact to their daemons.
 *
 * A target may end together with its daemon, which then cannot report it. An
 * entry that loses requests at a daemon therefore reports strikes against
 * their contents itself, unless the daemon answers another request meanwhile.
 */

#include "proxy/call.h"

struct jl_infer *jl_infer_new (struct jl_proxy *proxy);

/**
 * jl_infer_call_lost - records that a request was lost at its daemon
 */
void jl_infer_call_lost (struct jl_call *call);

/**
 * jl_infer_member_lost - records that all requests in progress at a daemon may
 * be lost
 */
void jl_infer_member_lost (struct jl_proxy *proxy,
                           const struct jl_member *member);

/**
 * jl_infer_member_answered - records that a daemon lives
 */
void jl_infer_member_answered (struct jl_proxy *proxy,
                               const struct jl_member *member);

#endif
