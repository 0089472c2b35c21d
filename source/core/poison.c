/**
 * DOC: Strikes against requests that were in progress when a target died.
 */

#include "poison.h"

struct jl_poison
{
  GHashTable *strikes;
};

struct jl_poison *
jl_poison_new (struct jl_core *core G_GNUC_UNUSED)
{
  struct jl_poison *poison = g_new0 (struct jl_poison, 1);

  poison->strikes = g_hash_table_new (g_direct_hash, g_direct_equal);
  return poison;
}

void
jl_poison_drop (struct jl_poison *poison)
{
  g_hash_table_destroy (poison->strikes);
  g_free (poison);
}

void
jl_poison_strike (struct jl_core *core,
                  uint64_t digest,
                  uint64_t target G_GNUC_UNUSED)
{
  g_hash_table_add (core->poison->strikes, JL_HASH_KEY (digest));
}

uint32_t
jl_poison_strikes (struct jl_core *core, uint64_t digest)
{
  return g_hash_table_contains (core->poison->strikes, JL_HASH_KEY (digest));
}

bool
jl_poison_refuses (struct jl_core *core, uint64_t digest)
{
  return jl_poison_strikes (core, digest) >= 2;
}

bool
jl_poison_runs_alone (struct jl_core *core, uint64_t digest)
{
  return jl_poison_strikes (core, digest) == 1;
}

void
jl_poison_fill (struct jl_core *core G_GNUC_UNUSED, struct jl_message *message)
{
  message->strike_count = 0;
}

void
jl_poison_message (struct jl_core *core, const struct jl_message *message)
{
  for (uint32_t i = 0; i < message->strike_count; i++)
    jl_poison_strike (core, message->strikes[i].digest,
                      message->strikes[i].target);
}

void
jl_poison_dump (struct jl_core *core, GString *out)
{
  g_string_append_printf (out, "%u", g_hash_table_size (core->poison->strikes));
}
