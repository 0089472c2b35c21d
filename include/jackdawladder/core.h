#ifndef JACKDAWLADDER_CORE_H
#define JACKDAWLADDER_CORE_H

/**
 * DOC: The reducer.
 *
 * Every decision of a daemon is made here, from events, into effects. It
 * reads no clock, socket, environment or random source. The same options and
 * events give the same effects, byte for byte. It has no lock of its own:
 * one step at a time.
 */

#include "jackdawladder/effect.h"

struct jl_core;

/**
 * enum jl_core_mode - which controls are on
 * @JL_CORE_FULL: all of them
 * @JL_CORE_LIMIT_ONLY: baseline, a limit on requests in progress at each hop
 * @JL_CORE_FORWARD: baseline, plain forwarding, every hop retries twice
 */
enum jl_core_mode
{
  JL_CORE_FULL,
  JL_CORE_LIMIT_ONLY,
  JL_CORE_FORWARD,
};

/**
 * enum jl_mechanism - what a test can switch off, to see a check fail
 *
 * Works in builds with JL_TEST_HOOKS only.
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
 * struct jl_core_options - what a reducer starts with
 * @seed: of its random numbers
 * @call_max: calls of callers in progress at most, 0 for no limit
 * @work_max: work items waiting and running at most, 0 for no limit
 * @switched_off: set of enum jl_mechanism
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

struct jl_core *jl_core_new (const struct jl_core_options *options);
void jl_core_drop (struct jl_core *core);

/**
 * jl_core_step - handles one event
 * @effects: what it asks for is appended
 */
void jl_core_step (struct jl_core *core,
                   const struct jl_event *event,
                   struct jl_effects *effects);

/**
 * jl_core_next_timer - when to send the next JL_EVENT_TICK at the latest
 */
uint64_t jl_core_next_timer (const struct jl_core *core);

/**
 * jl_core_member_count - daemons that are seen alive, this one included
 */
uint32_t jl_core_member_count (struct jl_core *core);

/**
 * jl_core_mint_ticket - a ticket for a caller that asks for one
 */
struct jl_ticket jl_core_mint_ticket (struct jl_core *core);

/**
 * jl_core_status - appends a short JSON object for operators
 */
void jl_core_status (struct jl_core *core, GString *out);

/**
 * jl_core_dump - appends the whole state as one JSON object
 */
void jl_core_dump (struct jl_core *core, GString *out);

/**
 * jl_core_counters - appends the counters in the text exposition format
 */
void jl_core_counters (struct jl_core *core, GString *out);

#endif
