/**
 * DOC: The state of the local target, as the daemon knows it.
 */

#include "policy/target.h"

#include <string.h>
#include <xxhash.h>

/* Time for which an incarnation that has left without any heartbeat is kept:
 * longer than a heartbeat may be late. */
#define UNHEARD_KEPT_MS UINT64_C (3600000)

/* Number of heartbeats, and number of intervals in which the current
 * incarnation sends none, after which a replaced one is reinstated. A target
 * that has ended sends no series of heartbeats, but delayed ones may come
 * together. */
#define REINSTATE_HEARTBEATS 2
#define REINSTATE_SILENT_INTERVALS 2

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

/* Returns the entry of a replaced incarnation, NULL if there is none. */
static struct jl_departed_incarnation *
find_replaced (struct jl_target *target, const char *id)
{
  for (size_t i = 0; i < JL_TARGET_DEPARTED_MAX; i++)
    if (target->departed[i].replaced
        && strcmp (target->departed[i].id, id) == 0)
      return &target->departed[i];
  return NULL;
}

/* Returns an entry that is free, as after a reinstatement, or the oldest one.
 */
static struct jl_departed_incarnation *
take_entry (struct jl_target *target)
{
  unsigned oldest = target->departed_next;

  for (size_t i = 0; i < JL_TARGET_DEPARTED_MAX; i++)
    if (target->departed[i].id[0] == '\0')
      return &target->departed[i];
  target->departed_next = (oldest + 1) % JL_TARGET_DEPARTED_MAX;
  return &target->departed[oldest];
}

/* Adds an entry to the ring of those that have left. */
static struct jl_departed_incarnation *
push_departed (struct jl_target *target, const char *id, uint64_t started_ms)
{
  struct jl_departed_incarnation *departed = take_entry (target);

  *departed = (struct jl_departed_incarnation){ .started_ms = started_ms };
  g_strlcpy (departed->id, id, sizeof departed->id);
  target->departed_revision++;
  return departed;
}

/* Returns an entry of @id that a leave of its starts up to @started_ms can
 * extend: one of an earlier leave, or of a replaced start that it includes. */
static struct jl_departed_incarnation *
find_extensible (struct jl_target *target, const char *id, uint64_t started_ms)
{
  struct jl_departed_incarnation *replaced = find_replaced (target, id);

  for (size_t i = 0; i < JL_TARGET_DEPARTED_MAX; i++)
    if (!target->departed[i].replaced
        && strcmp (target->departed[i].id, id) == 0)
      return &target->departed[i];
  return replaced != NULL && replaced->started_ms <= started_ms ? replaced
                                                                : NULL;
}

/* Records that all starts of @id up to @started_ms have left, in one entry. */
static void
add_departed (struct jl_target *target, const char *id, uint64_t started_ms)
{
  struct jl_departed_incarnation *known
      = find_extensible (target, id, started_ms);

  if (known == NULL && has_departed (target, id, started_ms))
    return;
  if (known == NULL)
    known = push_departed (target, id, started_ms);
  if (!known->replaced && known->started_ms >= started_ms)
    return;
  known->replaced = false;
  known->started_ms = started_ms;
  target->departed_revision++;
}

/* Records an incarnation that has only been replaced. */
static void
add_replaced (struct jl_target *target,
              const char *id,
              uint64_t started_ms,
              uint64_t sequence)
{
  struct jl_departed_incarnation *replaced;

  if (has_departed (target, id, started_ms))
    return;
  replaced = push_departed (target, id, started_ms);
  replaced->replaced = true;
  replaced->sequence = sequence;
}

/* Makes @next the current incarnation, in place of the one that @entry names.
 */
static void
reinstate (struct jl_target *target,
           struct jl_departed_incarnation *entry,
           const struct jl_heartbeat *next,
           uint64_t now_us)
{
  struct jl_heartbeat last = target->last;

  memset (entry, 0, sizeof *entry);
  if (target->state != JL_TARGET_NONE)
    add_replaced (target, last.id, last.started_ms, last.sequence);
  target->last = *next;
  target->state = JL_TARGET_UP;
  target->up_since_us = now_us;
  target->last_heartbeat_us = now_us;
  target->departed_revision++;
  target->reinstated++;
}

/* Whether a replaced incarnation has announced its leave elsewhere. */
static bool
has_left_otherwise (const struct jl_target *target,
                    const struct jl_departed_incarnation *entry)
{
  return has_entry (target->unheard, JL_TARGET_UNHEARD_MAX, entry->id,
                    entry->started_ms)
         || has_departed_key (target,
                              jl_target_make_key (target->name_key, entry->id,
                                                  entry->started_ms));
}

bool
jl_target_reinstate (struct jl_target *target, const char *id, uint64_t now_us)
{
  struct jl_departed_incarnation *entry = find_replaced (target, id);
  struct jl_heartbeat next = target->last;

  if (entry == NULL || target->state == JL_TARGET_NONE
      || has_left_otherwise (target, entry))
    return false;
  g_strlcpy (next.id, id, sizeof next.id);
  next.started_ms = entry->started_ms;
  next.sequence = entry->sequence;
  next.warmup_us = 0;
  next.draining = false;
  reinstate (target, entry, &next, now_us);
  return true;
}

/* Counts a heartbeat of a replaced incarnation. Returns whether it lives and
 * the current one does not. */
static bool
count_replaced_heartbeat (const struct jl_target *target,
                          struct jl_departed_incarnation *entry,
                          uint64_t now_us)
{
  if (entry->heard_us <= target->last_heartbeat_us)
    entry->heartbeats = 0;
  else if (now_us < entry->heard_us + target->heartbeat_us / 2)
    return false;
  entry->heartbeats++;
  entry->heard_us = now_us;
  return entry->heartbeats >= REINSTATE_HEARTBEATS
         && now_us >= target->last_heartbeat_us
                          + REINSTATE_SILENT_INTERVALS * target->heartbeat_us;
}

/* Handles a heartbeat of an incarnation that has left or was replaced. Returns
 * whether it was reinstated. */
static bool
apply_stale_heartbeat (struct jl_target *target,
                       const struct jl_heartbeat *heartbeat,
                       uint64_t now_us)
{
  struct jl_departed_incarnation *entry = find_replaced (target, heartbeat->id);

  if (entry == NULL || entry->started_ms != heartbeat->started_ms
      || heartbeat->sequence <= entry->sequence || target->heartbeat_us == 0
      || has_left_otherwise (target, entry)
      || (heartbeat->started_ms != 0
          && heartbeat->started_ms < target->last.started_ms))
    return false;
  entry->sequence = heartbeat->sequence;
  if (!count_replaced_heartbeat (target, entry, now_us))
    return false;
  reinstate (target, entry, heartbeat, now_us);
  return true;
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

/* Whether the incarnation of a heartbeat may take work: it cannot have left
 * before this daemon's start, or is proven not to have. */
static bool
is_proven (const struct jl_target *target,
           const struct jl_heartbeat *heartbeat,
           uint64_t now_us)
{
  return target->state != JL_TARGET_NONE || heartbeat->draining
         || jl_recall_is_proven (&target->recall, key_of (target, heartbeat),
                                 heartbeat->started_ms, now_us);
}

/* Holds a heartbeat that is not proven. Returns whether its incarnation's
 * heartbeats go on. */
static bool
hold (struct jl_target *target,
      const struct jl_heartbeat *heartbeat,
      uint64_t now_us)
{
  if (target->is_held && heartbeat->started_ms < target->held.started_ms)
    return false;
  target->is_held = true;
  target->held = *heartbeat;
  return jl_recall_count (&target->recall, key_of (target, heartbeat),
                          heartbeat->sequence, now_us);
}

/* Makes a heartbeat that is neither stale nor held the last one. */
static bool
make_last (struct jl_target *target,
           const struct jl_heartbeat *heartbeat,
           uint64_t now_us)
{
  enum jl_target_state before = target->state;
  bool new_incarnation;
  bool changed;

  target->is_held = false;
  new_incarnation = before == JL_TARGET_NONE
                    || !is_same_incarnation (&target->last, heartbeat);
  if (new_incarnation && before != JL_TARGET_NONE)
    add_replaced (target, target->last.id, target->last.started_ms,
                  target->last.sequence);
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

bool
jl_target_apply_heartbeat (struct jl_target *target,
                           const struct jl_heartbeat *heartbeat,
                           uint64_t now_us)
{
  if (is_stale (target, heartbeat))
    return heartbeat->draining
               ? apply_stale_leave (target, heartbeat)
               : apply_stale_heartbeat (target, heartbeat, now_us);
  if (!is_proven (target, heartbeat, now_us)
      && !hold (target, heartbeat, now_us))
    return false;
  return make_last (target, heartbeat, now_us);
}

bool
jl_target_apply_held (struct jl_target *target, uint64_t now_us)
{
  struct jl_heartbeat held = target->held;

  if (!target->is_held || !is_proven (target, &held, now_us))
    return false;
  target->is_held = false;
  return !is_stale (target, &held) && make_last (target, &held, now_us);
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
    {
      add_unheard (target, id, now_ms);
      return;
    }
  known->replaced = false;
  known->started_ms = MAX (known->started_ms, now_ms);
  target->departed_revision++;
}

/* Makes the held incarnation the current one, as it is about to leave: others
 * are told of the current one. */
static void
adopt_held (struct jl_target *target, const char *id, uint64_t started_ms)
{
  if (!target->is_held || strcmp (target->held.id, id) != 0
      || (started_ms != 0 && started_ms < target->held.started_ms))
    return;
  target->is_held = false;
  target->last = target->held;
  target->state = JL_TARGET_UP;
}

bool
jl_target_mark_departed (struct jl_target *target,
                         const char *id,
                         uint64_t started_ms,
                         uint64_t now_ms)
{
  uint64_t current_ms;

  adopt_held (target, id, started_ms);
  current_ms = target->last.started_ms;
  if (!is_current (target, id))
    {
      mark_other_departed (target, id, now_ms);
      return false;
    }
  if (started_ms != 0 && started_ms < current_ms)
    {
      add_departed (target, id, started_ms);
      return false;
    }
  /* A target whose heartbeats name no start has only one. */
  if (current_ms == 0)
    started_ms = 0;
  else if (started_ms == 0)
    started_ms = MAX (now_ms, current_ms);
  add_departed (target, id, started_ms);
  target->state = JL_TARGET_LEAVING;
  return true;
}

bool
jl_target_restore_departed (struct jl_target *target,
                            const struct jl_departed_incarnation *departed)
{
  enum jl_target_state before = target->state;

  if (departed->replaced)
    {
      if (!is_current (target, departed->id))
        add_replaced (target, departed->id, departed->started_ms, 0);
      return false;
    }
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
  target->is_held = false;
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
