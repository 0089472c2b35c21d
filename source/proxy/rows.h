#ifndef JACKDAWLADDER_PROXY_ROWS_H
#define JACKDAWLADDER_PROXY_ROWS_H

/**
 * DOC: What the daemon reads from the platform's store and keeps there: the
 * configuration, where the daemons are, and which lives of its target have
 * left.
 */

#include "proxy/proxy.h"

/**
 * jl_rows_open - makes the client, writes the own row, follows the others
 */
void jl_rows_open (struct jl_proxy *proxy);

/**
 * jl_rows_keep_left - writes which lives of the own target have left, if that
 * has changed, so that a later life of this daemon knows
 */
void jl_rows_keep_left (struct jl_proxy *proxy);

/**
 * jl_rows_window - a control window has ended
 */
void jl_rows_window (struct jl_proxy *proxy);

#endif
