/**
 * DOC: Fuzz test that parses arbitrary bytes as a settings file.
 */

#include <stdlib.h>

#include "jackdawladder/settings.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Accepted settings must be complete and within their bounds. */
static void
check (const struct jl_settings *settings)
{
  if (settings->ip == 0 || settings->entry_port == 0 || settings->peer_port == 0
      || settings->local_port == 0 || settings->control_port == 0)
    abort ();
  if (settings->seed_count > JL_SEED_MAX || settings->entry_threads == 0
      || settings->mode > JL_CORE_FORWARD)
    abort ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  GError *error = NULL;
  struct jl_settings *settings
      = jl_settings_parse ((const char *)data, size, &error);

  if ((settings == NULL) != (error != NULL))
    abort ();
  if (settings != NULL)
    check (settings);
  g_clear_error (&error);
  g_free (settings);
  return 0;
}
