#ifndef JACKDAWLADDER_PROXY_LEARNED_H
#define JACKDAWLADDER_PROXY_LEARNED_H

/**
 * DOC: Calls for each run, kept in the store for the next incarnation of this
 * daemon.
 *
 * Entries refuse requests whose calls a deeper service cannot serve, and know
 * these calls only from what daemons have learned. If all daemons start again
 * at once, nobody knows them, and the deepest service is overrun until they are
 * learned. So one daemon of each service in each zone keeps them in its own
 * row, which it reads at its start anyway.
 */

#include "proxy/proxy.h"

#include <json-c/json.h>

/**
 * jl_learned_is_due - whether this daemon has to write what it has learned:
 * it differs from what was written, and no other daemon of the zone does it
 */
bool jl_learned_is_due (const struct jl_proxy *proxy);

/**
 * jl_learned_list - returns what was learned, for a row, and takes it as
 * written
 */
struct json_object *jl_learned_list (struct jl_proxy *proxy);

/**
 * jl_learned_restore - takes over from a row what is not learned yet
 * @list: NULL or a value of another type is ignored, as are malformed entries
 */
void jl_learned_restore (struct jl_proxy *proxy, struct json_object *list);

#endif
