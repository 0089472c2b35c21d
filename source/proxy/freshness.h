#ifndef JACKDAWLADDER_PROXY_FRESHNESS_H
#define JACKDAWLADDER_PROXY_FRESHNESS_H

/**
 * DOC: How old this daemon's knowledge of the configuration in the store is.
 */

#include "proxy/proxy.h"

struct jl_freshness;

struct jl_freshness *jl_freshness_new (struct jl_proxy *proxy);

/**
 * jl_freshness_confirm - records that the configuration in force was the newest
 * one in the store at @as_of_us
 */
void jl_freshness_confirm (struct jl_freshness *freshness, uint64_t as_of_us);

#endif
