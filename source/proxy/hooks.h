#ifndef JACKDAWLADDER_PROXY_HOOKS_H
#define JACKDAWLADDER_PROXY_HOOKS_H

/**
 * DOC: Mechanisms that a test can switch off, to see its check fail.
 *
 * JL_SWITCHED_OFF in the environment names one of them. Without JL_TEST_HOOKS
 * nothing can be switched off.
 *
 * - "match": answers to other requests are passed on
 * - "not-run": what may have run is said not to have run
 * - "once": what may not be repeated is sent again
 * - "drain": a target that leaves goes on getting work
 * - "deadline": requests are kept however long they take
 */

#ifdef JL_TEST_HOOKS
#  include <glib.h>
#  define JL_OFF(name) (g_strcmp0 (g_getenv ("JL_SWITCHED_OFF"), name) == 0)
#else
#  define JL_OFF(name) false
#endif

#endif
