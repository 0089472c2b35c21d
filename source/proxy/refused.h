#ifndef JACKDAWLADDER_PROXY_REFUSED_H
#define JACKDAWLADDER_PROXY_REFUSED_H

/**
 * DOC: The attempts that the local target has refused last.
 */

#include <stdbool.h>
#include <stdint.h>

/* At 40 refusals a second, those of the last 25 s: longer than an attempt and
 * its repetitions last. */
#define JL_REFUSED_MAX 1024

/**
 * struct jl_refused - ring of marks of attempts, 0 for none
 * @next: index of the next one to write
 */
struct jl_refused
{
  uint64_t marks[JL_REFUSED_MAX];
  unsigned next;
};

/**
 * jl_refused_add - remembers an attempt
 */
void jl_refused_add (struct jl_refused *refused, uint64_t mark);

/**
 * jl_refused_has - whether an attempt is among the last refused ones
 */
bool jl_refused_has (const struct jl_refused *refused, uint64_t mark);

#endif
