/**
 * DOC: What a daemon believes of its own target.
 */

#include "proxy/target.h"

#include <string.h>

static bool
has_left (const struct jl_target *target, const struct jl_heartbeat *heartbeat)
{
  for (size_t i = 0; i < G_N_ELEMENTS (target->left); i++)
    if (strcmp (target->left[i], heartbeat->id) == 0
        && target->left_born_ms[i] >= heartbeat->born_ms)
      return true;
  return false;
}

static bool
is_same_life (const struct jl_heartbeat *a, const struct jl_heartbeat *b)
{
  return strcmp (a->id, b->id) == 0 && a->born_ms == b->born_ms;
}

/* Whether @heartbeat is older than what is known already. */
static bool
is_stale (const struct jl_target *target, const struct jl_heartbeat *heartbeat)
{
  const struct jl_heartbeat *last = &target->last;

  if (has_left (target, heartbeat))
    return true;
  if (target->state == JL_TARGET_NONE)
    return false;
  if (is_same_life (last, heartbeat))
    return heartbeat->sequence <= last->sequence;
  return heartbeat->born_ms < last->born_ms;
}

static void
remember_left (struct jl_target *target, const char *id, uint64_t born_ms)
{
  unsigned slot = target->left_next;

  g_strlcpy (target->left[slot], id, JL_TEXT_SIZE);
  target->left_born_ms[slot] = born_ms;
  target->left_next = (slot + 1) % G_N_ELEMENTS (target->left);
}

bool
jl_target_heartbeat (struct jl_target *target,
                     const struct jl_heartbeat *heartbeat,
                     uint64_t now_us)
{
  enum jl_target_state before = target->state;
  bool new_life;
  bool changed;

  if (is_stale (target, heartbeat))
    return false;
  new_life
      = before == JL_TARGET_NONE || !is_same_life (&target->last, heartbeat);
  if (new_life && before != JL_TARGET_NONE)
    remember_left (target, target->last.id, target->last.born_ms);
  changed = new_life || heartbeat->slots != target->last.slots;
  if (heartbeat->draining || (!new_life && before == JL_TARGET_LEAVING))
    target->state = JL_TARGET_LEAVING;
  else
    target->state = JL_TARGET_UP;
  if (target->state == JL_TARGET_UP && (new_life || before != JL_TARGET_UP))
    target->up_since_us = now_us;
  target->last = *heartbeat;
  target->heard_us = now_us;
  return changed || target->state != before;
}

bool
jl_target_leave (struct jl_target *target, const char *id, uint64_t now_ms)
{
  if (target->state == JL_TARGET_NONE || strcmp (target->last.id, id) != 0)
    {
      /* A life that this daemon has not heard of began before now. */
      remember_left (target, id, now_ms);
      return false;
    }
  remember_left (target, id, target->last.born_ms);
  target->state = JL_TARGET_LEAVING;
  return true;
}

void
jl_target_down (struct jl_target *target)
{
  if (target->state == JL_TARGET_UP)
    target->state = JL_TARGET_DOWN;
}

const char *
jl_target_state_name (enum jl_target_state state)
{
  static const char *const names[] = { "none", "up", "leaving", "down" };

  return names[state];
}
