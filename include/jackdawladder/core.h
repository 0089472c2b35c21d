#ifndef JACKDAWLADDER_CORE_H
#define JACKDAWLADDER_CORE_H

/**
 * DOC: The reducer, which makes every decision of a daemon.
 *
 * The reducer takes events and returns effects. It reads no clock, socket,
 * environment variable or external random source, so that the same options
 * and events give the same effects, byte for byte. It has no lock of its
 * own: the steps of one reducer must not run concurrently.
 */

#include "jackdawladder/effect.h"

struct jl_core;

/**
 * enum jl_core_mode - which overload controls are enabled
 * @JL_CORE_FULL: all controls
 * @JL_CORE_LIMIT_ONLY: baseline for comparison; only a concurrency limit at
 *                      each hop
 * @JL_CORE_FORWARD: baseline for comparison; no control, each hop retries a
 *                   failed call at most twice
 */
enum jl_core_mode
{
  JL_CORE_FULL,
  JL_CORE_LIMIT_ONLY,
  JL_CORE_FORWARD,
};

/**
 * enum jl_mechanism - mechanisms that a test can disable
 * @JL_MECHANISM_TOKENS: retry tokens
 * @JL_MECHANISM_IMPORTANCE: queueing and load shedding by priority
 * @JL_MECHANISM_ATTEMPT_MATCH: results are ignored unless they belong to the
 *                              attempt in progress
 * @JL_MECHANISM_TOMBSTONE: cancelled attempts that arrive late are refused
 * @JL_MECHANISM_ONCE: at most one run per ticket
 * @JL_MECHANISM_PROBES: liveness probes between daemons
 * @JL_MECHANISM_DRAIN: a draining daemon completes requests in progress before
 *                      it exits
 * @JL_MECHANISM_CONFIG_ORDER: older configurations are ignored
 *
 * A test disables a mechanism to prove that the check which covers it fails
 * without it. Only builds with JL_TEST_HOOKS support this.
 */
enum jl_mechanism
{
  JL_MECHANISM_TOKENS = 1 << 0,
  JL_MECHANISM_IMPORTANCE = 1 << 1,
  JL_MECHANISM_ATTEMPT_MATCH = 1 << 2,
  JL_MECHANISM_TOMBSTONE = 1 << 3,
  JL_MECHANISM_ONCE = 1 << 4,
  JL_MECHANISM_PROBES = 1 << 5,
  JL_MECHANISM_DRAIN = 1 << 6,
  JL_MECHANISM_CONFIG_ORDER = 1 << 7,
};

/**
 * struct jl_core_options - initial parameters of a reducer
 * @identity: identity of this daemon
 * @peer: endpoint at which this daemon takes calls of other daemons
 * @zone: availability zone of this daemon
 * @seed: seed of the random number generator
 * @call_max: maximum number of concurrent calls from callers, 0 for no limit
 * @work_max: maximum number of queued and running work items, 0 for no limit
 * @now_us: monotonic time in microseconds at which the reducer is created
 * @mode: overload controls that are enabled
 * @switched_off: disabled mechanisms, a bit set of enum jl_mechanism
 */
struct jl_core_options
{
  struct jl_identity identity;
  struct jl_endpoint peer;
  char zone[JL_NAME_SIZE];
  uint32_t seed;
  uint32_t call_max;
  uint32_t work_max;
  uint64_t now_us;
  enum jl_core_mode mode;
  uint32_t switched_off;
};

/**
 * jl_core_new - creates a reducer without configuration and members
 */
struct jl_core *jl_core_new (const struct jl_core_options *options);

/**
 * jl_core_drop - frees a reducer without answering the calls and work items in
 * progress
 */
void jl_core_drop (struct jl_core *core);

/**
 * jl_core_step - handles one event
 * @effects: list to which the resulting effects are appended
 *
 * Timers that are due at the event's time fire before it is handled.
 */
void jl_core_step (struct jl_core *core,
                   const struct jl_event *event,
                   struct jl_effects *effects);

/**
 * jl_core_next_timer - returns the time at which the next timer is due
 *
 * If no other event arrives before that time, the I/O layer must send a
 * JL_EVENT_TICK.
 *
 * Return: monotonic time in microseconds, UINT64_MAX if no timer is started.
 */
uint64_t jl_core_next_timer (const struct jl_core *core);

/**
 * jl_core_member_count - returns the number of live daemons, including this
 * one
 */
uint32_t jl_core_member_count (struct jl_core *core);

/**
 * jl_core_issue_ticket - issues a ticket to a caller that requests one
 */
struct jl_ticket jl_core_issue_ticket (struct jl_core *core);

/**
 * jl_core_status - appends a summary of the state as a JSON object
 */
void jl_core_status (struct jl_core *core, GString *out);

/**
 * jl_core_dump - appends the complete state as a JSON object
 */
void jl_core_dump (struct jl_core *core, GString *out);

/**
 * jl_core_counters - appends the metrics in the Prometheus text format
 */
void jl_core_counters (struct jl_core *core, GString *out);

#endif
