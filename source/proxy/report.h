#ifndef JACKDAWLADDER_PROXY_REPORT_H
#define JACKDAWLADDER_PROXY_REPORT_H

/**
 * DOC: Reports on contents that are suspected of ending targets.
 *
 * A daemon that sees a target end, a trial begin or a suspect content answered
 * reports it to all daemons. Each daemon applies all reports, its own ones
 * too, to its struct jl_suspects. Reports may be lost, repeated and late.
 */

#include "proxy/proxy.h"

/**
 * enum jl_report_kind - what is reported of the contents
 * @JL_REPORT_STRIKE: a target ended during requests with them
 * @JL_REPORT_ANSWERED: a target has answered a request with them
 * @JL_REPORT_TRIAL_BEGUN: a trial of them is in progress
 * @JL_REPORT_TRIAL_OVER: the trial ended without a result
 * @JL_REPORT_TRIAL_RUNNING: a trial of them runs at the target
 * @JL_REPORT_DEPARTED: without contents: the receiver's target has announced
 * its leave to an earlier incarnation of the receiver. With a content: the
 * sender's target, of which the content is the digest of the identifier, has
 * announced its leave, and the sender does not know its incarnation
 * @JL_REPORT_SERVING: without contents: the receiver's target took work when an
 * earlier incarnation of the receiver was last heard
 *
 * The values are sent to other daemons.
 */
enum jl_report_kind
{
  JL_REPORT_STRIKE = 1,
  JL_REPORT_ANSWERED = 2,
  JL_REPORT_TRIAL_BEGUN = 3,
  JL_REPORT_TRIAL_OVER = 4,
  JL_REPORT_TRIAL_RUNNING = 5,
  JL_REPORT_DEPARTED = 6,
  JL_REPORT_SERVING = 7,
};

/* Maximum number of contents of one report. */
#define JL_REPORT_CONTENTS_MAX 140

/**
 * struct jl_report - a report
 * @trial: of a strike: the requests ran as trials
 * @inferred: of a strike: only the loss of contact to the daemon is known
 * @target: of a strike: key of the target's incarnation
 * @service: of a strike or an answer: key of the target's service,
 *           JL_ANY_SERVICE if an older daemon reports it
 * @at_us: time of what is reported
 */
struct jl_report
{
  enum jl_report_kind kind;
  bool trial;
  bool inferred;
  uint32_t target;
  uint32_t service;
  uint64_t at_us;
  unsigned count;
  const uint64_t *contents;
};

/**
 * jl_report_apply - applies a report to the proxy's suspects, logs what it
 * changes, and continues the requests that waited for it
 * @by: name of the daemon that reports, or "store"
 */
void jl_report_apply (struct jl_proxy *proxy,
                      const struct jl_report *report,
                      const char *by);

/**
 * jl_report_publish - applies a report of this daemon and sends it to all
 * daemons
 */
void jl_report_publish (struct jl_proxy *proxy, const struct jl_report *report);

/**
 * jl_report_answered - reports that a target of @service has answered a
 * request, if its content is suspect
 */
void jl_report_answered (struct jl_proxy *proxy,
                         uint64_t content,
                         const char *service);

/**
 * jl_report_trial - reports that a trial has begun, runs or is over
 */
void jl_report_trial (struct jl_proxy *proxy,
                      enum jl_report_kind kind,
                      uint64_t content);

/* news.c */

struct jl_news *jl_news_new (struct jl_proxy *proxy);

/**
 * jl_news_send - sends a report to all known daemons, several times
 */
void jl_news_send (struct jl_news *news, const struct jl_report *report);

/**
 * jl_news_send_open - sends the strikes against all suspect and refused
 * contents to daemons that may not know them
 * @member: the daemon to send to; NULL for all of a zone
 * @local_zone: if @member is NULL: those of the local zone, or all others
 */
void jl_news_send_open (struct jl_news *news,
                        const struct jl_member *member,
                        bool local_zone);

/**
 * jl_news_send_serving - tells a daemon that has just started that its target
 * took work when it was last heard before
 * @target_key: key of the target's incarnation
 */
void jl_news_send_serving (struct jl_news *news,
                           const struct jl_member *member,
                           uint32_t target_key);

/**
 * jl_news_send_departed - tells a daemon that has just started which
 * incarnations of its target have announced their leave to its earlier
 * incarnations
 */
void jl_news_send_departed (struct jl_news *news,
                            const struct jl_member *member);

/**
 * jl_news_send_own_departure - tells all daemons that a target of this daemon
 * has announced its leave before any heartbeat
 * @id: identifier of the target
 */
void jl_news_send_own_departure (struct jl_news *news, const char *id);

/**
 * jl_news_read - applies the reports of a datagram
 */
void jl_news_read (struct jl_news *news, const char *datagram, size_t size);

#endif
