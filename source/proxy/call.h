#ifndef JACKDAWLADDER_PROXY_CALL_H
#define JACKDAWLADDER_PROXY_CALL_H

/**
 * DOC: A request in progress at its entry, and the ways in which it ends.
 */

#include "proxy/proxy.h"
#include "proxy/relay.h"

/* Daemons that one request is offered to. */
#define JL_PLACEMENTS_MAX 5

/**
 * struct jl_call - a request in progress at its entry
 * @link: in the proxy's list
 * @relay: the client's request and its sending
 * @site: configuration that the request began with
 * @route: in @site
 * @service: service that is to run it
 * @zone: zone that it was placed in
 * @from_target: the own target sent it, as far as is known
 * @begun_us: when it came
 * @expires_us: when the client or the route waits no longer
 * @kept_lost: the body is too large to be sent again
 * @body_bytes: size of the body so far
 * @member: where it was sent
 * @tried: daemons that it was offered to
 * @arrivals: targets that it has reached, as far as can be known
 * @may_have_run: a target may have run it
 * @reason: why the last sending came to nothing
 */
struct jl_call
{
  struct cds_list_head link;
  struct jl_proxy *proxy;
  struct jl_relay relay;
  struct jl_site *site;
  const struct jl_route *route;
  const char *service;
  const char *zone;
  bool from_target;
  uint64_t begun_us;
  uint64_t expires_us;
  bool kept_lost;
  uint64_t body_bytes;
  struct jl_member *member;
  struct jl_member *tried[JL_PLACEMENTS_MAX];
  unsigned tried_count;
  unsigned arrivals;
  bool may_have_run;
  char reason[32];
  struct jl_timer timer;
};

/**
 * jl_call_attempt - the client's identifier of the request, "-" for none
 */
const char *jl_call_attempt (const struct jl_call *call);

/**
 * jl_call_age_ms - milliseconds since the request came
 */
uint64_t jl_call_age_ms (const struct jl_call *call);

/**
 * jl_call_drop_sending - ends the sending in progress, if there is one
 */
void jl_call_drop_sending (struct jl_call *call);

void jl_call_free (struct jl_call *call);

/**
 * jl_call_answer - ends a call by an answer of this daemon's own
 * @fields: header lines, each with its line end
 */
void jl_call_answer (struct jl_call *call,
                     unsigned status,
                     const char *fields,
                     const char *reason);

/**
 * jl_call_refuse - the request has not run and will not: the client may come
 * back
 */
void jl_call_refuse (struct jl_call *call, const char *reason);

/**
 * jl_call_fail - the request may have run: nothing is promised
 */
void jl_call_fail (struct jl_call *call, unsigned status, const char *reason);

/**
 * jl_call_give_up - refuses or fails it, by whether it may have run
 */
void jl_call_give_up (struct jl_call *call, const char *reason);

#endif
