#ifndef JACKDAWLADDER_PROXY_LOAD_REPORT_H
#define JACKDAWLADDER_PROXY_LOAD_REPORT_H

/**
 * DOC: Load reports between the daemons, where the settings enable them.
 *
 * An entry asks for a report with the field JL_ACCEPT_LOAD_FIELD; the guard
 * answers with JL_LOAD_FIELD. Beacons carry the reports within a zone. Guards
 * of other zones are asked only when the last report has grown old, since bytes
 * between zones are expensive.
 */

#include "proxy/call.h"
#include "proxy/guard.h"

/* Header field of requests between daemons: "1 MOVES SPENT_MS", how often the
 * guard may still hand the request back, and how old the request is; followed
 * by 1 if it comes from another zone. */
#define JL_ACCEPT_LOAD_FIELD "Jl-Accept-Load"
/* Header field of responses between daemons, a struct jl_load_report. */
#define JL_LOAD_FIELD "Jl-Load"
/* Reason with which a guard hands a request back. */
#define JL_REASON_MOVED "moved"

/**
 * jl_load_report_own - returns the load of the local target
 */
struct jl_load_report jl_load_report_own (const struct jl_proxy *proxy);

/**
 * jl_load_report_update_self - copies the load of the local target into this
 * daemon's entry of the roster, which beacons announce
 */
void jl_load_report_update_self (struct jl_proxy *proxy);

/**
 * jl_load_report_add_line - appends the line with the report to the lines of a
 * response, if the entry has asked for it
 * @lines: text of less than @size bytes
 */
void
jl_load_report_add_line (const struct jl_work *work, char *lines, size_t size);

/**
 * jl_load_report_count_start - counts how much of the latency goal was spent
 * before the target receives a request
 */
void jl_load_report_count_start (struct jl_work *work);

/**
 * jl_load_report_ask - sets what a request says of load reports
 */
void jl_load_report_ask (const struct jl_call *call,
                         struct jl_work_header *work);

/**
 * jl_load_report_sent - counts a request that was placed at @call's daemon
 */
void jl_load_report_sent (struct jl_call *call);

/**
 * jl_load_report_heard - takes the report from a response of a guard, and
 * whether the guard has handed the request back
 */
void jl_load_report_heard (struct jl_call *call, const struct jl_head *head);

/* handback.c */

/**
 * jl_handback_check - hands back the waiting requests that another target
 * completes sooner
 */
void jl_handback_check (struct jl_proxy *proxy);

#endif
