/**
 * DOC: The state of the local target, as the daemon knows it.
 */

#include "proxy/target.h"

#include <string.h>
#include <xxhash.h>

/* Whether an incarnation has left. A heartbeat without a start time matches any
 * incarnation of @id that has left. */
static bool
has_departed (const struct jl_target *target,
              const char *id,
              uint64_t started_ms)
{
  for (size_t i = 0; i < JL_TARGET_DEPARTED_MAX; i++)
    if (strcmp (target->departed[i].id, id) == 0
        && target->departed[i].started_ms >= started_ms)
      return true;
  return false;
}

static uint32_t
key_of (const struct jl_target *target, const struct jl_heartbeat *heartbeat)
{
  uint32_t key
      = XXH32 (heartbeat->id, strlen (heartbeat->id), target->name_key);

  key = XXH32 (&heartbeat->started_ms, sizeof heartbeat->started_ms, key);
  return key != 0 ? key : 1;
}

static bool
has_departed_key (const struct jl_target *target, uint32_t key)
{
  for (size_t i = 0; i < JL_TARGET_DEPARTED_MAX; i++)
    if (target->departed_keys[i] == key)
      return true;
  return false;
}

static bool
is_same_incarnation (const struct jl_heartbeat *a, const struct jl_heartbeat *b)
{
  return strcmp (a->id, b->id) == 0 && a->started_ms == b->started_ms;
}

/* Whether @heartbeat is older than the last one, or of an incarnation that has
 * left. */
static bool
is_stale (const struct jl_target *target, const struct jl_heartbeat *heartbeat)
{
  const struct jl_heartbeat *last = &target->last;

  if (has_departed (target, heartbeat->id, heartbeat->started_ms)
      || has_departed_key (target, key_of (target, heartbeat)))
    return true;
  if (target->state == JL_TARGET_NONE)
    return false;
  if (is_same_incarnation (last, heartbeat))
    return heartbeat->sequence <= last->sequence;
  return heartbeat->started_ms < last->started_ms;
}

/* Adds an incarnation to the ring of those that have left, once. */
static void
add_departed (struct jl_target *target, const char *id, uint64_t started_ms)
{
  struct jl_departed_incarnation *departed
      = &target->departed[target->departed_next];

  if (has_departed (target, id, started_ms))
    return;
  g_strlcpy (departed->id, id, sizeof departed->id);
  departed->started_ms = started_ms;
  target->departed_next = (target->departed_next + 1) % JL_TARGET_DEPARTED_MAX;
  target->departed_revision++;
}

bool
jl_target_apply_heartbeat (struct jl_target *target,
                           const struct jl_heartbeat *heartbeat,
                           uint64_t now_us)
{
  enum jl_target_state before = target->state;
  bool new_incarnation;
  bool changed;

  if (is_stale (target, heartbeat))
    return false;
  new_incarnation = before == JL_TARGET_NONE
                    || !is_same_incarnation (&target->last, heartbeat);
  if (new_incarnation && before != JL_TARGET_NONE)
    add_departed (target, target->last.id, target->last.started_ms);
  changed = new_incarnation || heartbeat->slots != target->last.slots;
  if (heartbeat->draining || (!new_incarnation && before == JL_TARGET_LEAVING))
    target->state = JL_TARGET_LEAVING;
  else
    target->state = JL_TARGET_UP;
  if (target->state == JL_TARGET_UP
      && (new_incarnation || before != JL_TARGET_UP))
    target->up_since_us = now_us;
  if (target->state == JL_TARGET_LEAVING)
    add_departed (target, heartbeat->id, heartbeat->started_ms);
  target->last = *heartbeat;
  target->last_heartbeat_us = now_us;
  return changed || target->state != before;
}

uint32_t
jl_target_key (const struct jl_target *target)
{
  return target->state == JL_TARGET_NONE ? 0 : key_of (target, &target->last);
}

bool
jl_target_restore_departed_key (struct jl_target *target, uint32_t key)
{
  enum jl_target_state before = target->state;

  if (key == 0 || has_departed_key (target, key))
    return false;
  target->departed_keys[target->departed_keys_next] = key;
  target->departed_keys_next
      = (target->departed_keys_next + 1) % JL_TARGET_DEPARTED_MAX;
  if (jl_target_key (target) == key)
    target->state = JL_TARGET_LEAVING;
  return target->state != before;
}

bool
jl_target_is_replaced_by (const struct jl_target *target,
                          const struct jl_heartbeat *heartbeat)
{
  return target->state == JL_TARGET_UP && !is_stale (target, heartbeat)
         && !is_same_incarnation (&target->last, heartbeat);
}

bool
jl_target_mark_departed (struct jl_target *target,
                         const char *id,
                         uint64_t now_ms)
{
  if (target->state == JL_TARGET_NONE || strcmp (target->last.id, id) != 0)
    {
      /* An incarnation without any heartbeat so far has started before now. */
      add_departed (target, id, now_ms);
      return false;
    }
  add_departed (target, id, target->last.started_ms);
  target->state = JL_TARGET_LEAVING;
  return true;
}

bool
jl_target_restore_departed (struct jl_target *target,
                            const char *id,
                            uint64_t started_ms)
{
  enum jl_target_state before = target->state;

  add_departed (target, id, started_ms);
  if (before != JL_TARGET_NONE && strcmp (target->last.id, id) == 0
      && target->last.started_ms <= started_ms)
    target->state = JL_TARGET_LEAVING;
  return target->state != before;
}

void
jl_target_forget (struct jl_target *target)
{
  target->state = JL_TARGET_NONE;
}

void
jl_target_mark_down (struct jl_target *target)
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
