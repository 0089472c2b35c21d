#ifndef JACKDAWLADDER_PROXY_IDENTIFY_H
#define JACKDAWLADDER_PROXY_IDENTIFY_H

/**
 * DOC: Identifies the customer of a request by its API key.
 *
 * A request is identified when its head was read, and again before each time it
 * is forwarded if a newer configuration has come since, as its API key may have
 * been revoked while it waited.
 */

#include "proxy/call.h"

/**
 * jl_identify_call - identifies the customer of a request whose route is known
 *
 * Responds with 401 if the newest configuration requires an API key and the
 * request has none that it knows, or with 503 if strict_revoke is set and that
 * configuration is too old. A request that may have run gets 502 instead.
 *
 * Return: false if the call was answered.
 */
bool jl_identify_call (struct jl_call *call);

/**
 * jl_identify_fill_work - sets the members of @work that depend on the customer
 */
void jl_identify_fill_work (const struct jl_call *call,
                            struct jl_work_header *work);

/**
 * jl_identify_append_metrics - appends the metrics of identification, on sites
 * with customers
 */
void jl_identify_append_metrics (GString *text, const struct jl_proxy *proxy);

/**
 * jl_identify_append_state - appends the lines of the state page, on sites with
 * customers
 */
void jl_identify_append_state (GString *text, const struct jl_proxy *proxy);

#endif
