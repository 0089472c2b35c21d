#ifndef JACKDAWLADDER_EXPECTED_WAIT_H
#define JACKDAWLADDER_EXPECTED_WAIT_H

/**
 * DOC: Load reports of targets, and the expected completion time of a request
 * that is sent to a target.
 *
 * A guard reports how many requests run and wait at its target. An entry ages
 * the report: it adds the requests that it has sent since, and ignores the
 * report after JL_LOAD_REPORT_AGE_MAX_US.
 */

#include "jackdawladder/base.h"

/* Age above which a report is not used. */
#define JL_LOAD_REPORT_AGE_MAX_US JL_USEC_PER_SEC
/* Maximum size of a report as text. */
#define JL_LOAD_REPORT_SIZE 48

/**
 * struct jl_load_report - load of one target, as its guard reports it
 * @running: requests that run
 * @waiting: requests in the queue
 * @limit: requests that may run at once, at least 1
 * @hold_ms: recent mean time for which a request holds a slot, at least 1
 */
struct jl_load_report
{
  unsigned running;
  unsigned waiting;
  unsigned limit;
  unsigned hold_ms;
};

/**
 * struct jl_load_view - the last report of a target, at the receiver
 * @heard_us: time at which it came, 0 for none
 * @sent: requests that the receiver has sent to the target since
 * @claimed: requests that the receiver expects others to have sent there since
 */
struct jl_load_view
{
  struct jl_load_report report;
  uint64_t heard_us;
  unsigned sent;
  unsigned claimed;
};

/**
 * jl_load_report_format - writes a report as the value of a header field
 */
void jl_load_report_format (const struct jl_load_report *report,
                            char text[JL_LOAD_REPORT_SIZE]);

/**
 * jl_load_report_parse - reads the value of a header field
 *
 * Return: false if it is malformed or out of range.
 */
bool jl_load_report_parse (const char *text, struct jl_load_report *report);

/**
 * jl_load_report_is_valid - whether the values are within their ranges
 */
bool jl_load_report_is_valid (const struct jl_load_report *report);

/**
 * jl_load_view_hear - replaces the report
 */
void jl_load_view_hear (struct jl_load_view *view,
                        const struct jl_load_report *report,
                        uint64_t now_us);

/**
 * jl_load_view_is_fresh - whether there is a report that may be used
 */
bool jl_load_view_is_fresh (const struct jl_load_view *view, uint64_t now_us);

/**
 * jl_load_view_free_slots - returns the slots that the report leaves free for
 * the receiver's next requests
 */
unsigned jl_load_view_free_slots (const struct jl_load_view *view);

/**
 * jl_load_view_wait_us - returns the time for which a request sent now is
 * expected to wait in the queue
 */
double jl_load_view_wait_us (const struct jl_load_view *view);

/**
 * jl_load_view_completion_us - returns the time in which a request sent now is
 * expected to complete
 */
double jl_load_view_completion_us (const struct jl_load_view *view);

/**
 * jl_load_view_compare - compares the expected waits at two targets
 * @first: target that was drawn first
 * @draw: random number, uniform from 0 to 1
 *
 * All receivers of a report see the same difference. If all of them acted on
 * it, the better target would have the longer queue at its next report, so a
 * difference counts with a probability that falls with the age of the reports.
 * A target whose free slots the receiver has used up comes after one that has a
 * free slot.
 *
 * Return: less than 0 for the first one, more than 0 for the second one, 0 if a
 * request is expected to wait at neither.
 */
int jl_load_view_compare (const struct jl_load_view *first,
                          const struct jl_load_view *second,
                          uint64_t now_us,
                          double draw);

#endif
