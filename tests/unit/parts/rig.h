#ifndef TESTS_UNIT_RIG_H
#define TESTS_UNIT_RIG_H

/**
 * DOC: One reducer alone with its target, for unit tests of what it grants.
 */

#include "jackdawladder/core.h"

#define SELF UINT64_C (0x7f2800011b58)
#define OTHER UINT64_C (0x7f2800021b58)
#define EPOCH UINT64_C (1000)
#define OTHER_EPOCH UINT64_C (2000)

/* Kinds by index in version 1; version 2 has them the other way round. */
#define PUT 0
#define GET 1
/**
 * struct rig - one daemon, alone with its target
 */
struct rig
{
  struct jl_core *core;
  struct jl_effects *effects;
  uint64_t now_us;
  uint64_t number;
  uint64_t version;
};

void rig_step (struct rig *rig, struct jl_event *event);
void rig_tick_after (struct rig *rig, uint64_t ms);
void rig_configure (struct rig *rig, uint64_t version);
void rig_announce (struct rig *rig);
struct rig *rig_new (void);
void rig_drop (struct rig *rig);
const struct jl_effect *rig_find (const struct rig *rig,
                                  enum jl_effect_type type);
struct jl_ticket rig_mint (struct rig *rig);
uint64_t rig_call_event (struct rig *rig, struct jl_event *event);
uint64_t rig_call_ticket (struct rig *rig, struct jl_ticket ticket);
void rig_end_send (struct rig *rig, struct jl_event_call_result result);
const struct jl_effect_answer *rig_answer (const struct rig *rig);
uint64_t rig_begin_run (struct rig *rig, struct jl_ticket anchor);
void rig_call_child (struct rig *rig,
                     uint64_t parent,
                     uint32_t kind,
                     uint32_t ordinal);

/* Results of a sending. */
extern const struct jl_event_call_result rig_done;
extern const struct jl_event_call_result rig_refused;
extern const struct jl_event_call_result rig_timed_out;

#endif
