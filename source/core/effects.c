/**
 * DOC: The list of effects of a reducer step.
 */

#include "jackdawladder/effect.h"

struct jl_effects
{
  GArray *items;
};

struct jl_effects *
jl_effects_new (void)
{
  struct jl_effects *effects = g_new0 (struct jl_effects, 1);

  effects->items = g_array_new (FALSE, TRUE, sizeof (struct jl_effect));
  return effects;
}

void
jl_effects_drop (struct jl_effects *effects)
{
  jl_effects_clear (effects);
  g_array_free (effects->items, TRUE);
  g_free (effects);
}

void
jl_effects_clear (struct jl_effects *effects)
{
  for (size_t i = 0; i < effects->items->len; i++)
    {
      struct jl_effect *effect
          = &g_array_index (effects->items, struct jl_effect, i);

      if (effect->type == JL_EFFECT_MESSAGE)
        g_free (effect->message);
    }
  g_array_set_size (effects->items, 0);
}

size_t
jl_effects_count (const struct jl_effects *effects)
{
  return effects->items->len;
}

const struct jl_effect *
jl_effects_get (const struct jl_effects *effects, size_t index)
{
  return &g_array_index (effects->items, struct jl_effect, index);
}

struct jl_effect *
jl_effects_add (struct jl_effects *effects, enum jl_effect_type type)
{
  struct jl_effect *effect;

  g_array_set_size (effects->items, effects->items->len + 1);
  effect = &g_array_index (effects->items, struct jl_effect,
                           effects->items->len - 1);
  effect->type = type;
  if (type == JL_EFFECT_MESSAGE)
    effect->message = g_new0 (struct jl_effect_message, 1);
  return effect;
}
