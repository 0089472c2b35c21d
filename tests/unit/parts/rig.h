#ifndef TESTS_UNIT_RIG_H
#define TESTS_UNIT_RIG_H

/**
 * DOC: Fixture for unit tests: one reducer with its local target.
 *
 * A test takes the role of the I/O layer. The effects of a step are valid until
 * the next step.
 */

#include "jackdawladder/core.h"

/* Member IDs and epochs of the daemon under test and of another daemon. */
#define SELF UINT64_C (0x7f2800011b58)
#define OTHER UINT64_C (0x7f2800021b58)
#define EPOCH UINT64_C (1000)
#define OTHER_EPOCH UINT64_C (2000)

/*
 * Kind indexes in configuration version 1; they are swapped in version 2. PUT
 * is not idempotent, GET is.
 */
#define PUT 0
#define GET 1

/**
 * struct rig - a reducer and its state in the test
 * @effects: effects of the last step
 * @now_us: simulated monotonic time
 * @number: last number assigned to a call or a work item
 * @version: version of the installed configuration
 */
struct rig
{
  struct jl_core *core;
  struct jl_effects *effects;
  uint64_t now_us;
  uint64_t number;
  uint64_t version;
};

/**
 * rig_step - runs one step with @event at the current time
 */
void rig_step (struct rig *rig, struct jl_event *event);

/**
 * rig_tick_after - advances the time by @ms, with a tick every 100 ms and at
 * the end
 */
void rig_tick_after (struct rig *rig, uint64_t ms);

/**
 * rig_configure - installs version @version of the configuration
 */
void rig_configure (struct rig *rig, uint64_t version);

/**
 * rig_announce - announces the local target
 */
void rig_announce (struct rig *rig);

/**
 * rig_new - creates a reducer that has installed configuration version 1 and
 * whose target is announced
 */
struct rig *rig_new (void);
void rig_drop (struct rig *rig);

/**
 * rig_find - returns the first effect of @type of the last step, or NULL
 */
const struct jl_effect *rig_find (const struct rig *rig,
                                  enum jl_effect_type type);

/**
 * rig_issue_ticket - returns a new ticket of the daemon
 */
struct jl_ticket rig_issue_ticket (struct rig *rig);

/**
 * rig_call_event - sends @event as a new call
 *
 * Return: number of the call.
 */
uint64_t rig_call_event (struct rig *rig, struct jl_event *event);

/**
 * rig_call_ticket - sends a PUT request under @ticket
 *
 * Return: number of the call.
 */
uint64_t rig_call_ticket (struct rig *rig, struct jl_ticket ticket);

/**
 * rig_end_send - ends the attempt that was sent in the last step with @result
 */
void rig_end_send (struct rig *rig, struct jl_event_call_result result);

/**
 * rig_answer - returns the answer that the last step emitted
 */
const struct jl_effect_answer *rig_answer (const struct rig *rig);

/**
 * rig_begin_run - starts the run of a GET request whose tree has @anchor
 *
 * Return: number of the work item.
 */
uint64_t rig_begin_run (struct rig *rig, struct jl_ticket anchor);

/**
 * rig_call_child - makes a call of @kind during the run of work item @parent
 * @ordinal: see struct jl_event_call
 */
void rig_call_child (struct rig *rig,
                     uint64_t parent,
                     uint32_t kind,
                     uint32_t ordinal);

/* Results of an attempt: complete answer, overload refusal, and timeout. */
extern const struct jl_event_call_result rig_done;
extern const struct jl_event_call_result rig_refused;
extern const struct jl_event_call_result rig_timed_out;

#endif
