#ifndef JACKDAWLADDER_PLATFORM_ROW_H
#define JACKDAWLADDER_PLATFORM_ROW_H

/**
 * DOC: The configuration's row in the platform's table.
 *
 * JSON: {"version", "apply_id", "document", "earlier"}. "earlier" holds the
 * apply identifiers of the versions before, the latest first, so that an
 * operator whose answer was lost learns the outcome even when others have
 * applied since.
 */

#include "jackdawladder/platform.h"

/* Earlier apply identifiers that a row keeps. */
#define JL_ROW_EARLIER_MAX 32
#define JL_ROW_ID_SIZE sizeof (((struct jl_applied *)NULL)->apply_id)

/**
 * struct jl_row - the configuration's row
 */
struct jl_row
{
  struct jl_applied applied;
  uint32_t earlier_count;
  char earlier[JL_ROW_EARLIER_MAX][JL_ROW_ID_SIZE];
};

/**
 * jl_row_parse - reads a row; @row->applied.text is to be freed
 */
bool jl_row_parse (struct jl_row *row, const char *value, GError **error);

/**
 * jl_row_format - the text of a row, to be freed with g_free()
 */
char *jl_row_format (const struct jl_row *row);

/**
 * jl_row_follow - makes @next the row after @row, with an identifier of its own
 * @row: NULL when there is none yet
 * @text: the document; not copied
 */
void jl_row_follow (struct jl_row *next, const struct jl_row *row, char *text);

/**
 * jl_row_id - apply identifier of @version, NULL when the row does not tell
 */
const char *jl_row_id (const struct jl_row *row, uint64_t version);

#endif
