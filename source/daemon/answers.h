#ifndef JACKDAWLADDER_ANSWERS_H
#define JACKDAWLADDER_ANSWERS_H

/**
 * DOC: Answers kept for requests that are sent again under their ticket.
 *
 * Bounded in bytes and in time; the oldest go first.
 */

#include "jackdawladder/http.h"

struct jl_answer_store;

struct jl_answer_store *jl_answer_store_new (void);
void jl_answer_store_drop (struct jl_answer_store *store);

/**
 * jl_answer_store_put - keeps a copy, unless it is too large
 */
void jl_answer_store_put (struct jl_answer_store *store,
                          struct jl_ticket ticket,
                          uint32_t status,
                          const struct jl_http_message *answer);

/**
 * jl_answer_store_get - copies a kept answer to an empty message
 *
 * Return: false when it was not kept, or not for so long.
 */
bool jl_answer_store_get (struct jl_answer_store *store,
                          struct jl_ticket ticket,
                          uint32_t *status,
                          struct jl_http_message *answer);

#endif
