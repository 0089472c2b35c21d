/**
 * DOC: Fuzz test that parses arbitrary bytes as the configuration row of the
 * platform's table.
 */

#include <stdlib.h>
#include <string.h>

#include "platform/row.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* An accepted row must be the same after it is formatted and parsed again. */
static void
check (const struct jl_config_row *row)
{
  char *value = jl_config_row_format (row);
  struct jl_config_row again;

  if (!jl_config_row_parse (&again, value, NULL)
      || again.stored.version != row->stored.version
      || strcmp (again.stored.apply_id, row->stored.apply_id) != 0
      || strcmp (again.stored.text, row->stored.text) != 0
      || again.earlier_count != row->earlier_count)
    abort ();
  g_free (again.stored.text);
  g_free (value);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char *value = g_strndup ((const char *)data, size);
  GError *error = NULL;
  struct jl_config_row row;

  if (jl_config_row_parse (&row, value, &error))
    {
      check (&row);
      g_free (row.stored.text);
    }
  else if (error == NULL)
    abort ();
  g_clear_error (&error);
  g_free (value);
  return 0;
}
