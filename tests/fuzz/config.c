/**
 * DOC: Fuzz test that parses arbitrary bytes as a configuration document.
 */

#include <stdlib.h>
#include <string.h>

#include "jackdawladder/config.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/*
 * An accepted configuration must be consistent: the text is kept unchanged, the
 * indexes are in range, each kind has a deadline, and the path of each kind
 * matches that kind or an earlier one.
 */
static void
check (const struct jl_config *config, const uint8_t *data, size_t size)
{
  if (config->text_size != size || memcmp (config->text, data, size) != 0)
    abort ();
  for (uint32_t i = 0; i < config->kind_count; i++)
    {
      const struct jl_kind *kind = &config->kinds[i];

      if (kind->service >= config->service_count
          || kind->importance >= config->class_count || kind->deadline_us == 0)
        abort ();
      if (jl_config_match_kind (config, kind->method, kind->path) > i)
        abort ();
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  GError *error = NULL;
  struct jl_config *config
      = jl_config_new ((const char *)data, size, 1, &error);

  if ((config == NULL) != (error != NULL))
    abort ();
  if (config != NULL)
    check (config, data, size);
  g_clear_error (&error);
  jl_config_drop (config);
  return 0;
}
