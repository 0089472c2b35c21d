/**
 * DOC: Daemons with usage caps in the test's process.
 */

#include "proxy/parts/quota-rig.h"

void
quota_rig_install (struct rig *rig, double rate)
{
  struct jl_customer customer = { .name = "c", .rate = rate, .burst = 4 };
  struct jl_site *site;

  rig_install_call_route (rig);
  rig->proxy->call_route_count = 0;
  site = rig->proxy->site;
  site->customers = jl_customers_new ();
  jl_customers_add_api_key (
      site->customers, jl_customers_add (site->customers, &customer), "k", 1);
}

void
quota_rig_prepare (struct rig *rig,
                   unsigned host,
                   const char *name,
                   const char *zone)
{
  struct jl_cap_policy policy = { 5 * JL_USEC_PER_SEC, 0.1, 20 };

  rig_prepare (rig, host);
  rig->options.cap = policy;
  rig->options.zone_count = 2;
  g_strlcpy (rig->options.zones[0], "z1", JL_TEXT_SIZE);
  g_strlcpy (rig->options.zones[1], "z2", JL_TEXT_SIZE);
  g_strlcpy (rig->options.name, name, sizeof rig->options.name);
  g_strlcpy (rig->options.zone, zone, sizeof rig->options.zone);
}
