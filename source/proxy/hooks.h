#ifndef JACKDAWLADDER_PROXY_HOOKS_H
#define JACKDAWLADDER_PROXY_HOOKS_H

/**
 * DOC: Mechanisms that a test can disable, to verify that its check fails
 * without them.
 *
 * The environment variable JL_SWITCHED_OFF names one mechanism. In builds
 * without JL_TEST_HOOKS no mechanism can be disabled. With the mechanism
 * disabled:
 *
 * - "match": the guard passes on responses that belong to other requests
 * - "not-run": the guard reports "not-run" for requests that may have run
 * - "once": the entry retries requests that are not idempotent
 * - "drain": a target that is leaving still receives work
 * - "deadline": the entry does not end requests at their deadline
 * - "poison": contents that end targets are not recognized
 * - "freshness": the age of what is known of the store has no effect
 * - "silence": idle connections to daemons are used although nothing answers
 * - "learned": calls for each run that were read from the store are ignored
 * - "left": departed incarnations read from the store are ignored
 * - "identify": requests without a known API key are not rejected
 * - "strict-revoke": the setting strict_revoke has no effect
 * - "own": heartbeats of targets that the settings do not name are taken
 */

#ifdef JL_TEST_HOOKS
#  include <glib.h>
#  define JL_TEST_DISABLED(name)                                               \
    (g_strcmp0 (g_getenv ("JL_SWITCHED_OFF"), name) == 0)
#else
#  define JL_TEST_DISABLED(name) false
#endif

#endif
