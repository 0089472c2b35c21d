#ifndef JACKDAWLADDER_PROXY_QUOTA_ROW_H
#define JACKDAWLADDER_PROXY_QUOTA_ROW_H

/**
 * DOC: The row of a zone that holds its shares of usage caps.
 *
 * The value is a JSON object: "shares", pairs of a customer's key and its
 * units, and "era", the era of the store in which it was written.
 */

#include "store.h"

/**
 * jl_quota_row_read - reads a row
 * @units: receives the units by the customer's key
 * @era: receives the era
 *
 * Return: false if the row does not hold shares; @units may then have a part of
 * them.
 */
bool
jl_quota_row_read (const struct jl_row *row, GHashTable *units, uint64_t *era);

/**
 * jl_quota_row_format - returns the value of a row; free it with g_free()
 * @units: units by the customer's key
 */
char *jl_quota_row_format (GHashTable *units, uint64_t era);

#endif
