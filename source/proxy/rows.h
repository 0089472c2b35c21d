#ifndef JACKDAWLADDER_PROXY_ROWS_H
#define JACKDAWLADDER_PROXY_ROWS_H

/**
 * DOC: Rows of the platform's store that the daemon reads and writes: the
 * configuration, the endpoints of the daemons, the refused contents, and of the
 * local target the incarnations that have left and the calls that its runs
 * make.
 */

#include "proxy/proxy.h"

/**
 * jl_rows_open - creates the store client, writes this daemon's row, reads its
 * target's row, and watches the configuration and the rows of all daemons
 */
void jl_rows_open (struct jl_proxy *proxy);

/**
 * jl_rows_write_departed - writes the departed incarnations of the local target
 * if the list has changed, so that this daemon knows them after a restart
 */
void jl_rows_write_departed (struct jl_proxy *proxy);

/**
 * jl_rows_write_learned - writes the calls that runs at the local target make
 * if that is due; called once per control window
 */
void jl_rows_write_learned (struct jl_proxy *proxy);

/**
 * jl_rows_write_refused - writes the contents that have ended targets in
 * trials, so that daemons know them after a restart and while zones are cut off
 * from each other
 */
void jl_rows_write_refused (struct jl_proxy *proxy);

/**
 * jl_rows_check_site - reads the configuration at once if it has changed, on a
 * new connection to the store
 *
 * Return: false if an earlier read is still in progress or is repeated soon.
 */
bool jl_rows_check_site (struct jl_proxy *proxy);

/**
 * jl_rows_update_following - begins or ends following the changes in the store;
 * called once per control window
 *
 * A few daemons of each zone follow them. The others hear of a new
 * configuration from these, and of new daemons from those themselves.
 */
void jl_rows_update_following (struct jl_proxy *proxy);

#endif
