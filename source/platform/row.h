#ifndef JACKDAWLADDER_PLATFORM_ROW_H
#define JACKDAWLADDER_PLATFORM_ROW_H

/**
 * DOC: The configuration's row in the platform's table.
 *
 * JSON: {"version", "apply_id", "document", "earlier"}. "earlier" holds the
 * apply identifiers of the previous versions, latest first. An operator whose
 * response was lost thereby learns the outcome even if other operators have
 * applied newer versions since.
 */

#include "jackdawladder/platform.h"

/* Number of earlier apply identifiers that a row keeps. */
#define JL_CONFIG_ROW_EARLIER_MAX 32
#define JL_APPLY_ID_SIZE sizeof (((struct jl_stored_config *)NULL)->apply_id)

/**
 * struct jl_config_row - decoded configuration row
 * @stored: the version in force
 * @earlier_ids: apply identifiers of the previous versions, latest first
 */
struct jl_config_row
{
  struct jl_stored_config stored;
  uint32_t earlier_count;
  char earlier_ids[JL_CONFIG_ROW_EARLIER_MAX][JL_APPLY_ID_SIZE];
};

/**
 * jl_config_row_parse - decodes a row
 * @row: receives it; free @row->stored.text with g_free()
 *
 * Return: false with JL_PLATFORM_ERROR_REFUSED if @value is malformed.
 */
bool jl_config_row_parse (struct jl_config_row *row,
                          const char *value,
                          GError **error);

/**
 * jl_config_row_format - encodes a row as JSON
 *
 * Return: the text, to be freed with g_free().
 */
char *jl_config_row_format (const struct jl_config_row *row);

/**
 * jl_config_row_next - initializes @next as the successor of @row
 * @row: NULL for the first version
 * @text: the document; not copied
 *
 * @next gets the next version and a new apply identifier.
 */
void jl_config_row_next (struct jl_config_row *next,
                         const struct jl_config_row *row,
                         char *text);

/**
 * jl_config_row_apply_id - returns the apply identifier of a version
 *
 * Return: the identifier, or NULL if the row no longer holds it or @version is
 * newer than the row.
 */
const char *jl_config_row_apply_id (const struct jl_config_row *row,
                                    uint64_t version);

#endif
