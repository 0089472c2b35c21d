#ifndef JACKDAWLADDER_RECORD_H
#define JACKDAWLADDER_RECORD_H

/**
 * DOC: Structured lines on standard output, bounded and never blocking.
 *
 * A line reads "E701 request refused t=1700000000.123 id=... reason=...". Its
 * events are in docs/EVENTS.md. In each second, lines of the lower weights are
 * left out first, and counted.
 */

#include "jackdawladder/base.h"

/**
 * enum jl_record_weight - which lines are left out last
 * @JL_RECORD_CHANGE: a belief has changed, or the process starts or stops
 * @JL_RECORD_FAILURE: a request was refused or failed
 * @JL_RECORD_SUCCESS: a request was served
 */
enum jl_record_weight
{
  JL_RECORD_CHANGE,
  JL_RECORD_FAILURE,
  JL_RECORD_SUCCESS,
  JL_RECORD_WEIGHTS,
};

/**
 * enum jl_record_number - events; a number is never given to another one
 */
enum jl_record_number
{
  JL_RECORD_REQUEST_REFUSED = 701,
  JL_RECORD_REQUEST_FAILED = 702,
  JL_RECORD_REQUEST_SERVED = 703,
  JL_RECORD_REQUEST_PLACED_AGAIN = 704,
  JL_RECORD_CLIENT_LEFT = 705,
  JL_RECORD_WORK_REFUSED = 711,
  JL_RECORD_WORK_FAILED = 712,
  JL_RECORD_WORK_SERVED = 713,
  JL_RECORD_ANSWER_DROPPED = 714,
  JL_RECORD_TARGET = 721,
  JL_RECORD_TARGET_HEARTBEAT_REFUSED = 722,
  JL_RECORD_LEAVING_ACKNOWLEDGED = 723,
  JL_RECORD_MEMBER = 731,
  JL_RECORD_SITE = 741,
  JL_RECORD_SITE_REFUSED = 742,
  JL_RECORD_SHED = 751,
  JL_RECORD_CALL_GRAPH = 752,
  JL_RECORD_STORE = 761,
  JL_RECORD_STARTED = 771,
  JL_RECORD_STOPPING = 772,
  JL_RECORD_STOPPED = 773,
  JL_RECORD_RELOADED = 774,
  JL_RECORD_RELOAD_REFUSED = 775,
  JL_RECORD_LEFT_OUT = 781,
};

/**
 * jl_record_open - readies standard output
 */
void jl_record_open (void);

/**
 * jl_record_wanted - whether a line of @weight would be written now
 */
bool jl_record_wanted (enum jl_record_weight weight);

/**
 * jl_record - writes a line
 * @format: "key=value" pairs
 */
void jl_record (enum jl_record_weight weight,
                enum jl_record_number number,
                const char *format,
                ...) G_GNUC_PRINTF (3, 4);

/**
 * jl_record_flush - hands what was written to the kernel, as far as it takes it
 */
void jl_record_flush (void);

#endif
