#ifndef TESTS_PROXY_QUOTA_RIG_H
#define TESTS_PROXY_QUOTA_RIG_H

/**
 * DOC: Daemons with usage caps in the test's process, of a site with the zones
 * z1 and z2.
 */

#include "proxy/parts/rig.h"
#include "proxy/quota-impl.h"

/**
 * quota_rig_prepare - initializes the options of a daemon in @zone
 * @host: as for rig_prepare()
 */
void quota_rig_prepare (struct rig *rig,
                        unsigned host,
                        const char *name,
                        const char *zone);

/**
 * quota_rig_install - installs a site with one route to the service "deep" on
 * host "a", and a customer "c" with the key "k", a cap of @rate and a burst of
 * 4
 */
void quota_rig_install (struct rig *rig, double rate);

#endif
