#ifndef JACKDAWLADDER_HOOKS_H
#define JACKDAWLADDER_HOOKS_H

/**
 * DOC: Test hooks that simulate network partitions and disable mechanisms.
 *
 * Builds without JL_TEST_HOOKS never drop traffic or disable a mechanism, and
 * have no HTTP paths below /test/.
 */

#include "jackdawladder/http.h"

/**
 * jl_hooks_partitioned - whether a test drops the traffic to and from an
 * address
 */
bool jl_hooks_partitioned (uint32_t ip);

/**
 * jl_hooks_disabled_mechanisms - returns the mechanisms that a test disables
 *
 * The environment variable JL_SWITCHED_OFF holds a list of their names.
 *
 * Return: a set of enum jl_mechanism.
 */
uint32_t jl_hooks_disabled_mechanisms (void);

/**
 * jl_hooks_handle - handles the requests that control partitions
 *
 * /test/cut?prefix=A.B drops the traffic to and from all addresses that begin
 * with the prefix; /test/join restores all traffic.
 *
 * Return: false when the request is neither of these.
 */
bool jl_hooks_handle (struct jl_http_exchange *exchange);

#endif
