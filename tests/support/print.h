#ifndef JACKDAWLADDER_TESTS_PRINT_H
#define JACKDAWLADDER_TESTS_PRINT_H

/**
 * DOC: Formats events and effects as text, one line each.
 */

#include "jackdawladder/effect.h"

/* In scripted and random runs, member N is the daemon at 127.40.0.N:7000. */
#define JL_PRINT_CONTROL_PORT 7000
#define JL_PRINT_PEER_PORT 7001

/**
 * jl_print_member - returns the identifier of the member with a number
 */
uint64_t jl_print_member (uint32_t number);

/**
 * jl_print_time - appends a time in milliseconds, padded to a column width
 */
void jl_print_time (GString *out, uint64_t now_us);

/**
 * jl_print_event - appends an event without its time
 * @config: configuration for the names of kinds and services, or NULL
 */
void jl_print_event (GString *out,
                     const struct jl_config *config,
                     const struct jl_event *event);

/**
 * jl_print_effect - appends an effect
 * @config: configuration for the names of kinds and services, or NULL
 */
void jl_print_effect (GString *out,
                      const struct jl_config *config,
                      const struct jl_effect *effect);

#endif
