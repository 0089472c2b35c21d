/**
 * DOC: The state of the local target, as the daemon knows it.
 */

#include "proxy/target.h"

#include <string.h>
#include <xxhash.h>

/* Time for which an incarnation that has left without any heartbeat is kept:
 * longer than a heartbeat may be late. */
#define UNHEARD_KEPT_MS UINT64_C (3600000)

static bool
has_entry (const struct jl_departed_incarnation *entries,
           size_t count,
           const char *id,
           uint64_t started_ms)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (entries[i].id, id) == 0 && entries[i].started_ms >= started_ms)
      return true;
  return false;
}

/* Whether an incarnation has left. A heartbeat without a start time matches any
 * incarnation of @id that has left. */
static bool
has_departed (const struct jl_target *target,
              const char *id,
              uint64_t started_ms)
{
  return has_entry (target->departed, JL_TARGET_DEPARTED_MAX, id, started_ms)
         || has_entry (target->unheard, JL_TARGET_UNHEARD_MAX, id, started_ms);
}

uint32_t
jl_target_make_key (uint32_t name_key, const char *id, uint64_t started_ms)
{
  uint32_t key = XXH32 (id, strlen (id), name_key);

  key = XXH32 (&started_ms, sizeof started_ms, key);
  return key != 0 ? key : 1;
}

static uint32_t
key_of (const struct jl_target *target, const struct jl_heartbeat *heartbeat)
{
  return jl_target_make_key (target->name_key, heartbeat->id,
                             heartbeat->started_ms);
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

/* Records the leave that a stale heartbeat announces. Returns whether the state
 * has changed. */
static bool
apply_stale_leave (struct jl_target *target,
                   const struct jl_heartbeat *heartbeat)
{
  enum jl_target_state before = target->state;

  add_departed (target, heartbeat->id, heartbeat->started_ms);
  if (before != JL_TARGET_NONE
      && is_same_incarnation (&target->last, heartbeat))
    target->state = JL_TARGET_LEAVING;
  return target->state != before;
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
    return heartbeat->draining && apply_stale_leave (target, heartbeat);
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

/* Returns the entry of @unheard to write next: a free one, or the oldest. */
static const struct jl_departed_incarnation *
next_unheard (const struct jl_target *target)
{
  const struct jl_departed_incarnation *next = &target->unheard[0];

  for (size_t i = 0; i < JL_TARGET_UNHEARD_MAX && next->id[0] != '\0'; i++)
    if (target->unheard[i].id[0] == '\0'
        || target->unheard[i].started_ms < next->started_ms)
      next = &target->unheard[i];
  return next;
}

/* Returns an entry with this identifier, NULL if there is none. */
static struct jl_departed_incarnation *
find_departed (struct jl_target *target, const char *id)
{
  for (size_t i = 0; i < JL_TARGET_DEPARTED_MAX; i++)
    if (strcmp (target->departed[i].id, id) == 0)
      return &target->departed[i];
  for (size_t i = 0; i < JL_TARGET_UNHEARD_MAX; i++)
    if (strcmp (target->unheard[i].id, id) == 0)
      return &target->unheard[i];
  return NULL;
}

static bool
is_current (const struct jl_target *target, const char *id)
{
  return target->state != JL_TARGET_NONE && strcmp (target->last.id, id) == 0;
}

bool
jl_target_can_mark_departed (const struct jl_target *target,
                             const char *id,
                             uint64_t now_ms)
{
  const struct jl_departed_incarnation *next = next_unheard (target);

  return is_current (target, id) || has_departed (target, id, 0)
         || next->id[0] == '\0' || next->started_ms + UNHEARD_KEPT_MS < now_ms;
}

/* Adds an incarnation of which no heartbeat has come. */
static void
add_unheard (struct jl_target *target, const char *id, uint64_t left_ms)
{
  size_t index = (size_t)(next_unheard (target) - target->unheard);
  struct jl_departed_incarnation *unheard = &target->unheard[index];

  if (has_departed (target, id, left_ms))
    return;
  g_strlcpy (unheard->id, id, sizeof unheard->id);
  unheard->started_ms = left_ms;
  unheard->unheard = true;
  target->departed_revision++;
}

/* Records that another incarnation than the current one has left. It has
 * started before now. */
static void
mark_other_departed (struct jl_target *target, const char *id, uint64_t now_ms)
{
  struct jl_departed_incarnation *known = find_departed (target, id);

  if (known == NULL)
    add_unheard (target, id, now_ms);
  else if (known->started_ms < now_ms)
    {
      known->started_ms = now_ms;
      target->departed_revision++;
    }
}

bool
jl_target_mark_departed (struct jl_target *target,
                         const char *id,
                         uint64_t now_ms)
{
  if (!is_current (target, id))
    {
      mark_other_departed (target, id, now_ms);
      return false;
    }
  add_departed (target, id, target->last.started_ms);
  target->state = JL_TARGET_LEAVING;
  return true;
}

bool
jl_target_restore_departed (struct jl_target *target,
                            const struct jl_departed_incarnation *departed)
{
  enum jl_target_state before = target->state;

  if (departed->unheard)
    add_unheard (target, departed->id, departed->started_ms);
  else
    add_departed (target, departed->id, departed->started_ms);
  if (is_current (target, departed->id)
      && target->last.started_ms <= departed->started_ms)
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
