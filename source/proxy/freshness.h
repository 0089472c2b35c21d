#ifndef JACKDAWLADDER_PROXY_FRESHNESS_H
#define JACKDAWLADDER_PROXY_FRESHNESS_H

/**
 * DOC: How old this daemon's knowledge of the configuration in the store is.
 *
 * A call that waits for a change on a connection that passes nothing looks like
 * one without a change. So the first follower of each zone calls the store
 * often, and after each answer tells its zone as of when it knows the newest
 * configuration. A daemon whose knowledge becomes too old, for whatever reason,
 * reads the configuration itself, on a new connection.
 *
 * From the acknowledgement of a configuration until it is in force at a daemon
 * that reaches the store, it takes at most, as ratios of the time that the
 * settings allow (config_apply_s): the maximum age, 0.5, the spread of the
 * daemons' reads, 0.1, and an answer of the store.
 */

#include "proxy/proxy.h"

struct jl_freshness;

struct jl_freshness *jl_freshness_new (struct jl_proxy *proxy);

/**
 * jl_freshness_poll_ms - returns the time for which the long poll of the first
 * follower waits for a new configuration
 */
unsigned jl_freshness_poll_ms (const struct jl_freshness *freshness);

/**
 * jl_freshness_confirm - records that the configuration in force was the newest
 * one in the store at @as_of_us, as an answer of the store shows
 */
void jl_freshness_confirm (struct jl_freshness *freshness, uint64_t as_of_us);

/**
 * jl_freshness_installed - records that the configuration in force has changed
 */
void jl_freshness_installed (struct jl_freshness *freshness);

/**
 * jl_freshness_read - applies what another daemon of the zone tells; malformed
 * datagrams, and those of unknown daemons, are ignored
 */
void jl_freshness_read (struct jl_freshness *freshness,
                        const char *datagram,
                        size_t size);

/**
 * jl_freshness_age_ms - returns the age, 0 as long as no configuration is known
 */
uint64_t jl_freshness_age_ms (const struct jl_freshness *freshness);

/**
 * jl_freshness_is_older - whether the configuration in force may have been
 * replaced for longer than @limit_us; also as long as its age is not known
 */
bool jl_freshness_is_older (const struct jl_freshness *freshness,
                            uint64_t limit_us);

/**
 * jl_freshness_note_turn - records that the event loop runs; called by a short
 * periodic timer
 *
 * A datagram may have waited for as long as the process was stopped.
 */
void jl_freshness_note_turn (struct jl_freshness *freshness);

#endif
