#ifndef JACKDAWLADDER_RECORD_H
#define JACKDAWLADDER_RECORD_H

/**
 * DOC: Structured log on standard output, rate-limited and non-blocking.
 *
 * A line reads "E701 request refused t=1700000000.123 id=... reason=...".
 * docs/EVENTS.md lists the events. Each priority has its own limit of lines a
 * second; the limit is lower for a lower priority. Lines above the limit are
 * dropped and counted.
 */

#include "jackdawladder/base.h"

/**
 * enum jl_record_priority - priority of a line, the highest first
 * @JL_RECORD_CHANGE: a state has changed, or the process starts or stops
 * @JL_RECORD_FAILURE: a request was refused or failed
 * @JL_RECORD_SUCCESS: a request was served
 * @JL_RECORD_PRIORITY_COUNT: number of priorities
 */
enum jl_record_priority
{
  JL_RECORD_CHANGE,
  JL_RECORD_FAILURE,
  JL_RECORD_SUCCESS,
  JL_RECORD_PRIORITY_COUNT,
};

/**
 * enum jl_record_event - numbers of the events; a number is never reused for
 * another event
 */
enum jl_record_event
{
  JL_RECORD_REQUEST_REFUSED = 701,
  JL_RECORD_REQUEST_FAILED = 702,
  JL_RECORD_REQUEST_SERVED = 703,
  JL_RECORD_REQUEST_PLACED_AGAIN = 704,
  JL_RECORD_CLIENT_LEFT = 705,
  JL_RECORD_REQUEST_HELD = 706,
  JL_RECORD_REQUEST_UNAUTHORIZED = 707,
  JL_RECORD_REQUEST_OVER_CAP = 708,
  JL_RECORD_WORK_REFUSED = 711,
  JL_RECORD_WORK_FAILED = 712,
  JL_RECORD_WORK_SERVED = 713,
  JL_RECORD_RESPONSE_DROPPED = 714,
  JL_RECORD_TARGET_REFUSED = 715,
  JL_RECORD_TARGET_CHANGED = 721,
  JL_RECORD_TARGET_HEARTBEAT_REFUSED = 722,
  JL_RECORD_LEAVING_ACKNOWLEDGED = 723,
  JL_RECORD_TARGET_ENDED = 724,
  JL_RECORD_TARGET_HELD = 725,
  JL_RECORD_TARGET_LIMIT = 726,
  JL_RECORD_MEMBER_CHANGED = 731,
  JL_RECORD_SUSPICION = 732,
  JL_RECORD_TRIAL_BEGUN = 733,
  JL_RECORD_ZONE_CHANGED = 734,
  JL_RECORD_CONNECTIONS_SILENT = 735,
  JL_RECORD_SITE_INSTALLED = 741,
  JL_RECORD_SITE_REFUSED = 742,
  JL_RECORD_SITE_WORD_UNKNOWN = 743,
  JL_RECORD_SITE_FETCH_FAILED = 744,
  JL_RECORD_SITE_PART_UNREAD = 745,
  JL_RECORD_SHED_SHARE = 751,
  JL_RECORD_CALL_GRAPH = 752,
  JL_RECORD_CALLS_RESTORED = 753,
  JL_RECORD_ISSUER_CONTACT = 755,
  JL_RECORD_ISSUER_CHANGED = 756,
  JL_RECORD_SHARES_GIVEN = 757,
  JL_RECORD_STORE_REACHABILITY = 761,
  JL_RECORD_STORE_RESTORED = 762,
  JL_RECORD_STORE_FOLLOWED = 763,
  JL_RECORD_STORE_UNHEARD = 764,
  JL_RECORD_STORE_HEARD = 765,
  JL_RECORD_STARTED = 771,
  JL_RECORD_STOPPING = 772,
  JL_RECORD_STOPPED = 773,
  JL_RECORD_RELOADED = 774,
  JL_RECORD_RELOAD_REFUSED = 775,
  JL_RECORD_LINES_DROPPED = 781,
};

/**
 * jl_record_open - makes standard output non-blocking
 */
void jl_record_open (void);

/**
 * jl_record_allowed - whether the rate limit of @priority allows a line now;
 * counts a dropped line if not
 */
bool jl_record_allowed (enum jl_record_priority priority);

/**
 * jl_record - appends a line to the buffer, or drops it if the rate limit is
 * reached or the buffer is full
 * @format: "key=value" pairs
 */
void jl_record (enum jl_record_priority priority,
                enum jl_record_event event,
                const char *format,
                ...) G_GNUC_PRINTF (3, 4);

/**
 * jl_record_flush - writes as much of the buffer as standard output accepts
 * without blocking
 */
void jl_record_flush (void);

#endif
