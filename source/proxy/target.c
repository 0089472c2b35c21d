/**
 * DOC: What a daemon believes of its own target.
 */

#include "proxy/target.h"

#include <string.h>

static bool
has_left (const struct jl_target *target, const char *id, uint64_t born_ms)
{
  for (size_t i = 0; i < JL_TARGET_LEFT_MAX; i++)
    if (strcmp (target->left[i].id, id) == 0
        && target->left[i].born_ms >= born_ms)
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

  if (has_left (target, heartbeat->id, heartbeat->born_ms))
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
  struct jl_target_left *left = &target->left[target->left_next];

  if (has_left (target, id, born_ms))
    return;
  g_strlcpy (left->id, id, sizeof left->id);
  left->born_ms = born_ms;
  target->left_next = (target->left_next + 1) % JL_TARGET_LEFT_MAX;
  target->left_edition++;
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
  if (target->state == JL_TARGET_LEAVING)
    remember_left (target, heartbeat->id, heartbeat->born_ms);
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

bool
jl_target_restore_left (struct jl_target *target,
                        const char *id,
                        uint64_t born_ms)
{
  enum jl_target_state before = target->state;

  remember_left (target, id, born_ms);
  if (before != JL_TARGET_NONE && strcmp (target->last.id, id) == 0
      && target->last.born_ms <= born_ms)
    target->state = JL_TARGET_LEAVING;
  return target->state != before;
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
