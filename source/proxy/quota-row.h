#ifndef JACKDAWLADDER_PROXY_QUOTA_ROW_H
#define JACKDAWLADDER_PROXY_QUOTA_ROW_H

/**
 * DOC: The row of a zone that holds its shares of usage caps.
 *
 * The value is a JSON object: "shares", pairs of a customer's key and its
 * units, and "era", the era of the store in which it was written.
 */

#include "policy/quota-quorum.h"
#include "store.h"

/**
 * struct jl_quota_row - what the row of a zone holds
 * @units: units of shares by the customer's key
 * @era: era of the store in which the zone's issuer has written it
 * @list: list of the zone's daemons that count; version 0 for none
 */
struct jl_quota_row
{
  GHashTable *units;
  uint64_t era;
  struct jl_quota_members list;
};

/**
 * jl_quota_row_read - reads a row
 * @read: receives its content; @units must be a table
 *
 * A malformed list counts as none.
 *
 * Return: false if the row does not hold shares; @units may then have a part of
 * them.
 */
bool jl_quota_row_read (const struct jl_row *row, struct jl_quota_row *read);

/**
 * jl_quota_row_format - returns the value of a row; free it with g_free()
 */
char *jl_quota_row_format (const struct jl_quota_row *row);

#endif
