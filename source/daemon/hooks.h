#ifndef JACKDAWLADDER_HOOKS_H
#define JACKDAWLADDER_HOOKS_H

/**
 * DOC: Test hooks: cuts at the sockets, and mechanisms switched off.
 *
 * Without JL_TEST_HOOKS nothing is ever cut or switched off, and the HTTP
 * paths below /test/ do not exist.
 */

#include "jackdawladder/http.h"

/**
 * jl_hooks_cut - whether traffic to and from an address is dropped
 */
bool jl_hooks_cut (uint32_t ip);

/**
 * jl_hooks_switched_off - set of enum jl_mechanism from JL_SWITCHED_OFF, a
 * list of names in the environment
 */
uint32_t jl_hooks_switched_off (void);

/**
 * jl_hooks_handle - answers POST /test/cut?prefix=A.B and POST /test/join
 *
 * Return: false when the request is none of these.
 */
bool jl_hooks_handle (struct jl_http_exchange *exchange);

#endif
