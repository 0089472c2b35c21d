#ifndef JACKDAWLADDER_PROXY_IDENTIFY_H
#define JACKDAWLADDER_PROXY_IDENTIFY_H

/**
 * DOC: Identifies the customer of a request by its API key.
 */

#include "proxy/call.h"

/**
 * jl_identify_call - identifies the customer of a request whose route is known
 *
 * Responds with 401 if the configuration in force requires an API key and the
 * request has none that it knows.
 *
 * Return: false if the call was answered.
 */
bool jl_identify_call (struct jl_call *call);

#endif
