/**
 * DOC: Identifies the customer of a request by its API key.
 */

#include "proxy/identify.h"

#include "proxy/freshness.h"
#include "proxy/hooks.h"

#define STATUS_UNAUTHORIZED 401
#define STATUS_BAD_GATEWAY 502
/* Lines of rejected requests a second. More would use up the lines of other
 * failures, and clients with unknown keys can send any number of requests. */
#define LINES_PER_S_MAX 10

/* Whether a request needs an API key by the configuration @site. The route that
 * the request began with counts if @site has none of its name. */
static bool
needs_api_key (const struct jl_call *call, const struct jl_site *site)
{
  const struct jl_route *route = jl_site_route_by_key (site, call->route->key);

  return !(route != NULL ? route : call->route)->public;
}

/* Whether the configuration is too old to tell which API keys are valid. */
static bool
is_stale (const struct jl_proxy *proxy)
{
  const struct jl_options *options = proxy->options;

  return options->strict_revoke && !JL_TEST_DISABLED ("strict-revoke")
         && jl_freshness_is_older (proxy->freshness, options->revoke_us);
}

/* Returns the name of the customer whose API key the previous configuration
 * knew, "-" if there is none. */
static const char *
previous_customer_name (const struct jl_call *call)
{
  const struct jl_site *previous = call->proxy->previous_site;
  const struct jl_customer *customer = NULL;

  if (previous != NULL)
    jl_identity_find (previous->customers,
                      jl_request_head (call->relay.request), &customer);
  return customer != NULL ? customer->label : "-";
}

static bool
may_log (struct jl_proxy *proxy)
{
  uint64_t now_s = jl_now () / JL_USEC_PER_SEC;

  if (proxy->unauthorized_log_s != now_s)
    proxy->unauthorized_lines = 0;
  proxy->unauthorized_log_s = now_s;
  return proxy->unauthorized_lines++ < LINES_PER_S_MAX;
}

static void
log_unauthorized (const struct jl_call *call, enum jl_identification identity)
{
  jl_record (JL_RECORD_FAILURE, JL_RECORD_REQUEST_UNAUTHORIZED,
             "id=%s route=%s reason=%s customer=%s may_have_run=%d "
             "age_ms=%" PRIu64 " site=%" PRIx64,
             jl_call_attempt_id (call), call->route->name,
             jl_identity_name (identity), previous_customer_name (call),
             call->may_have_run, jl_call_age_ms (call),
             call->proxy->site->version);
}

static void
respond_unauthorized (struct jl_call *call, enum jl_identification identity)
{
  if (may_log (call->proxy))
    log_unauthorized (call, identity);
  if (call->may_have_run)
    jl_call_fail (call, STATUS_BAD_GATEWAY, "unauthorized");
  else
    jl_call_respond (call, STATUS_UNAUTHORIZED,
                     "WWW-Authenticate: " JL_API_KEY_SCHEME "\r\n",
                     "unauthorized");
}

/* Identifies the request by the newest configuration, unless that was done. */
static enum jl_identification
identify (struct jl_call *call, struct jl_site *newest)
{
  enum jl_identification identity;

  if (call->identity_site == newest)
    return call->identity;
  identity = jl_identity_find (newest->customers,
                               jl_request_head (call->relay.request),
                               &call->customer);
  if (call->identity_site == NULL)
    call->proxy->counters.identified[identity]++;
  jl_site_drop (call->identity_site);
  call->identity_site = jl_site_keep (newest);
  call->identity = identity;
  return identity;
}

bool
jl_identify_call (struct jl_call *call)
{
  struct jl_proxy *proxy = call->proxy;
  struct jl_site *newest = proxy->site;
  enum jl_identification identity;
  bool needs_key;

  if (newest->customers == NULL)
    return true;
  needs_key = needs_api_key (call, newest);
  if (needs_key && is_stale (proxy))
    {
      proxy->counters.identified[JL_IDENTITY_STALE]++;
      jl_call_give_up (call, jl_identity_name (JL_IDENTITY_STALE));
      return false;
    }
  identity = identify (call, newest);
  if (!needs_key || identity == JL_IDENTITY_KNOWN
      || JL_TEST_DISABLED ("identify"))
    return true;
  proxy->counters.unauthorized++;
  respond_unauthorized (call, identity);
  return false;
}

void
jl_identify_fill_work (const struct jl_call *call, struct jl_work_header *work)
{
  const struct jl_customer *customer = call->customer;

  /* The customer's rank goes before the rank of the route. */
  if (customer != NULL)
    work->rank += customer->rank * JL_RANK_COUNT;
  work->customer = customer != NULL ? customer->name : NULL;
  work->has_customers = call->identity_site != NULL;
}

void
jl_identify_append_metrics (GString *text, const struct jl_proxy *proxy)
{
  const struct jl_proxy_counters *counters = &proxy->counters;

  if (proxy->site == NULL || proxy->site->customers == NULL)
    return;
  for (unsigned i = 0; i < JL_IDENTITY_COUNT; i++)
    g_string_append_printf (
        text, "jackdawladder_identified_total{result=\"%s\"} %" PRIu64 "\n",
        jl_identity_name ((enum jl_identification)i), counters->identified[i]);
  g_string_append_printf (text,
                          "jackdawladder_unauthorized_total %" PRIu64 "\n"
                          "jackdawladder_customers %u\n"
                          "jackdawladder_api_keys %u\n",
                          counters->unauthorized,
                          proxy->site->customers->list->len,
                          proxy->site->customers->api_key_count);
}

void
jl_identify_append_state (GString *text, const struct jl_proxy *proxy)
{
  if (proxy->site == NULL || proxy->site->customers == NULL)
    return;
  g_string_append_printf (
      text,
      "# customers: count=%u api_keys=%u unauthorized=%" PRIu64
      " strict_revoke=%d stale=%d age_ms=%" PRIu64 "\n",
      proxy->site->customers->list->len, proxy->site->customers->api_key_count,
      proxy->counters.unauthorized, proxy->options->strict_revoke,
      is_stale (proxy), jl_freshness_age_ms (proxy->freshness));
}
