#ifndef JACKDAWLADDER_PROXY_CALL_H
#define JACKDAWLADDER_PROXY_CALL_H

/**
 * DOC: A request in progress at the entry, and the functions that end it.
 */

#include "policy/content.h"
#include "proxy/proxy.h"
#include "proxy/relay.h"

/* Maximum number of daemons to which one request is sent. */
#define JL_PLACEMENTS_MAX 5

/**
 * struct jl_call - a request in progress at the entry
 * @link: in the proxy's list of calls
 * @relay: the client's request and the current upstream request
 * @site: configuration in force when the request arrived; holds a reference
 * @route: route of @site
 * @content: digest of the request's content
 * @customer: customer of @identity_site whose API key the request carries, NULL
 *            for none
 * @identity_site: configuration by which the request was last identified, NULL
 *                 if none had customers
 * @identity: result of that identification
 * @over_share: it was refused because its customer is above its fair share
 * @service: service that the request is sent to
 * @caller_service: service of this instance when the request arrived
 * @zone: preferred zone
 * @from_target: the request's route identifies it as a call of the local target
 * @inherited_rank: of a call of the local target: rank of the run that made it,
 *                  JL_NONE if that is not known
 * @begun_us: time of arrival
 * @expires_us: deadline: the earlier of the client's and the route's timeout
 * @body_not_buffered: the body exceeds the buffer, so the request cannot be
 *                     resent
 * @body_bytes: size of the body received so far
 * @member: daemon of the current upstream request, NULL for none
 * @tried: daemons to which the request was sent
 * @tried_count: number of entries in @tried
 * @target_key: key of the incarnation of @member's target when the request was
 *              sent to it
 * @on_trial: the request is a trial of its content
 * @trial_begun_us: time at which the trial began
 * @trial_heard_us: time at which @member last reported that it has the trial
 * @trial_running: it reported that the trial runs at its target
 * @loss_inferred: @member was lost while it had the request, which was reported
 * @held_until_us: time until which the request waits for the result of a trial
 * @token_link: in the list of requests that wait for a token of their customer
 * @token_ask: sequence number of the last datagram that asked for a token for
 *             it, 0 for none
 * @token_wait_us: time at which it began to wait
 * @moved_from: daemon whose guard has handed the request back last, NULL for
 *              none
 * @moved_count: number of times that guards have handed it back
 * @targets_reached: number of targets that the request has, or may have,
 *                   reached
 * @may_have_run: a target may have run the request
 * @reason: why the last attempt failed, "" before the first failure
 * @timer: connection timeout, then the deadline
 */
struct jl_call
{
  struct cds_list_head link;
  struct jl_proxy *proxy;
  struct jl_relay relay;
  struct jl_site *site;
  const struct jl_route *route;
  const struct jl_customer *customer;
  struct jl_site *identity_site;
  enum jl_identification identity;
  bool over_share;
  struct jl_content content;
  const char *service;
  const char *caller_service;
  const char *zone;
  bool from_target;
  unsigned inherited_rank;
  uint64_t begun_us;
  uint64_t expires_us;
  bool body_not_buffered;
  uint64_t body_bytes;
  struct jl_member *member;
  struct jl_member *tried[JL_PLACEMENTS_MAX];
  unsigned tried_count;
  uint32_t target_key;
  bool on_trial;
  uint64_t trial_begun_us;
  uint64_t trial_heard_us;
  bool trial_running;
  bool loss_inferred;
  uint64_t held_until_us;
  struct cds_list_head token_link;
  uint32_t token_ask;
  uint64_t token_wait_us;
  struct jl_member *moved_from;
  unsigned moved_count;
  unsigned targets_reached;
  bool may_have_run;
  char reason[32];
  struct jl_timer timer;
};

/**
 * jl_call_attempt_id - returns the attempt identifier that the client sent, "-"
 * if there is none
 */
const char *jl_call_attempt_id (const struct jl_call *call);

/**
 * jl_call_age_ms - returns the time since the request arrived, in milliseconds
 */
uint64_t jl_call_age_ms (const struct jl_call *call);

/**
 * jl_call_last_member - returns the name of the daemon that had the request
 * last, "-" if none had it
 *
 * A daemon whose guard has handed it back is not among those tried.
 */
const char *jl_call_last_member (const struct jl_call *call);

/**
 * jl_call_choose_service - chooses one of the route's services at random, by
 * the weights of its split
 */
const char *jl_call_choose_service (const struct jl_route *route);

/**
 * jl_call_choose_daemon - chooses the daemon that a request is sent to next
 *
 * Return: the daemon, NULL if there is none.
 */
struct jl_member *jl_call_choose_daemon (struct jl_call *call, uint64_t now_us);

/**
 * jl_call_cancel_upstream - cancels the upstream request, if there is one
 */
void jl_call_cancel_upstream (struct jl_call *call);

/**
 * jl_call_free - cancels the upstream request and frees the call; the client's
 * request stays open
 */
void jl_call_free (struct jl_call *call);

/**
 * jl_call_respond - ends the call with a response generated by this daemon
 * @fields: header lines, each with its line end
 * @reason: body of the response
 */
void jl_call_respond (struct jl_call *call,
                      unsigned status,
                      const char *fields,
                      const char *reason);

/**
 * jl_call_refuse - responds with 503 and Retry-After; the request has not run
 * and will not run, so that the client may retry it
 */
void jl_call_refuse (struct jl_call *call, const char *reason);

/**
 * jl_call_refuse_late - like jl_call_refuse(), with a Retry-After that is as
 * late as clients follow
 */
void jl_call_refuse_late (struct jl_call *call, const char *reason);

/**
 * jl_call_refuse_until - like jl_call_refuse(), with the Retry-After that ends
 * at @until_us
 */
void jl_call_refuse_until (struct jl_call *call,
                           const char *reason,
                           uint64_t until_us);

/**
 * jl_call_fail - responds with @status without Retry-After, as the request may
 * have run or its deadline has passed
 */
void jl_call_fail (struct jl_call *call, unsigned status, const char *reason);

/**
 * jl_call_give_up - ends the call without a further attempt: fails it with 502
 * if it may have run, and refuses it otherwise
 */
void jl_call_give_up (struct jl_call *call, const char *reason);

/* entry.c */

/**
 * jl_entry_place - sends a call to a daemon, or ends it if there is none
 */
void jl_entry_place (struct jl_call *call);

/* admit.c */

/**
 * jl_entry_start - begins the work on a request whose content may be sent to
 * targets
 */
void jl_entry_start (struct jl_call *call);

/**
 * jl_entry_continue - continues a client's request that its customer's usage
 * cap allows
 */
void jl_entry_continue (struct jl_call *call);

#endif
