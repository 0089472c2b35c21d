#ifndef JACKDAWLADDER_PROXY_TRIAL_H
#define JACKDAWLADDER_PROXY_TRIAL_H

/**
 * DOC: Requests whose content may be suspect, at the entry and at the guard.
 *
 * A request whose head is known from a suspect content is held until its body
 * was read. If its content is suspect, the entry lets one request of it run as
 * a trial and holds the others until the result is known. The guard does the
 * same for requests of entries that do not know the suspicion, and runs only
 * one trial at a time.
 */

#include "proxy/call.h"
#include "proxy/guard.h"

/**
 * jl_trial_hold_call - holds a new request at the entry if its content has to
 * be known first
 *
 * Return: whether it is held; jl_entry_start() continues it.
 */
bool jl_trial_hold_call (struct jl_call *call);

/**
 * jl_trial_identify_call - decides on a held request whose content is known
 */
void jl_trial_identify_call (struct jl_call *call);

/**
 * jl_trial_may_repeat - whether a request that may have run may be sent to
 * another target
 */
bool jl_trial_may_repeat (const struct jl_call *call);

/**
 * jl_trial_end_call - reports that a trial is over without a result if the
 * request ends without having run
 */
void jl_trial_end_call (struct jl_call *call);

/**
 * jl_trial_heard - records that the daemon named @by has reported a trial of
 * @content
 * @running: it runs at the target
 */
void jl_trial_heard (struct jl_proxy *proxy,
                     uint64_t content,
                     const char *by,
                     bool running);

/**
 * jl_trial_started - reports that a trial starts to run at the own target
 */
void jl_trial_started (struct jl_work *work);

/**
 * jl_trial_check - reports the trials in progress at the own target, and infers
 * the end of targets whose daemons have stopped to report a trial of this entry
 */
void jl_trial_check (struct jl_proxy *proxy);

/**
 * jl_trial_hold_work - holds new work at the guard if its content has to be
 * known first
 *
 * Return: whether it is held; jl_guard_start() continues it.
 */
bool jl_trial_hold_work (struct jl_work *work);

/**
 * jl_trial_identify_work - decides on held work whose content is known
 */
void jl_trial_identify_work (struct jl_work *work);

/**
 * jl_trial_continue - decides again on all requests that wait for a result on
 * @content
 * @answered: the last trial was answered
 */
void
jl_trial_continue (struct jl_proxy *proxy, uint64_t content, bool answered);

/**
 * jl_trial_continue_work - decides again on all work that waits until a trial
 * may begin at the own target
 */
void jl_trial_continue_work (struct jl_proxy *proxy);

#endif
