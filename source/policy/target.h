#ifndef JL_POLICY_TARGET_H
#define JL_POLICY_TARGET_H

/**
 * DOC: The state of the local target, as the daemon knows it.
 *
 * It comes from the target's heartbeats. Each start of the target is a new
 * incarnation. Heartbeats may be late and out of order: one of an earlier
 * incarnation, or one with a lower sequence number, is ignored. An incarnation
 * that has begun to leave never takes work again, whichever of its heartbeats
 * come later, and whatever the daemon has forgotten by a restart
 * (policy/recall.h).
 */

#include "jackdawladder/site.h"
#include "policy/recall.h"

/**
 * struct jl_heartbeat - a heartbeat of the target
 * @id: identifier of the target
 * @service: its service
 * @address: where it accepts requests
 * @slots: requests that it runs at once
 * @draining: it is about to leave
 * @warmup_us: time for which it is still slow after its start
 * @started_ms: wall clock at its start, 0 if not given
 * @sequence: rises with each heartbeat of an incarnation
 *
 * The pair of @id and @started_ms identifies an incarnation.
 */
struct jl_heartbeat
{
  char id[JL_TEXT_SIZE];
  char service[JL_TEXT_SIZE];
  struct jl_endpoint address;
  unsigned slots;
  bool draining;
  uint64_t warmup_us;
  uint64_t started_ms;
  uint64_t sequence;
};

/**
 * enum jl_target_state - whether the local target takes work
 * @JL_TARGET_NONE: no target is known
 * @JL_TARGET_UP: it takes work
 * @JL_TARGET_LEAVING: it finishes its running requests and takes no new ones
 * @JL_TARGET_DOWN: it refuses connections; the next heartbeat sets it up again
 */
enum jl_target_state
{
  JL_TARGET_NONE,
  JL_TARGET_UP,
  JL_TARGET_LEAVING,
  JL_TARGET_DOWN,
};

/* Maximum number of departed incarnations that are recorded. */
#define JL_TARGET_DEPARTED_MAX 8
/* Maximum number of further ones of which no heartbeat has come. */
#define JL_TARGET_UNHEARD_MAX 8

/**
 * struct jl_departed_incarnation - an incarnation that has left
 * @id: "" for none
 * @started_ms: wall clock at its start; heartbeats with this @id and a later
 *              start belong to a new incarnation
 * @unheard: no heartbeat of it has come; @started_ms is the time of its leave
 * @replaced: it has not announced a leave, but another one's heartbeat came
 *            after its own; it may still live
 * @sequence: of a replaced one: sequence number of its last heartbeat
 * @heartbeats: of a replaced one: its heartbeats, at their usual distance,
 *              since the last one of the current incarnation
 * @heard_us: time of the last one that was counted
 */
struct jl_departed_incarnation
{
  char id[JL_TEXT_SIZE];
  uint64_t started_ms;
  bool unheard;
  bool replaced;
  uint64_t sequence;
  unsigned heartbeats;
  uint64_t heard_us;
};

/**
 * struct jl_target - state of the local target
 * @name_key: key of the name of the daemon beside it
 * @heartbeat_us: interval of heartbeats
 * @last: the last heartbeat that was applied
 * @last_heartbeat_us: time at which it was applied
 * @up_since_us: time at which it last became JL_TARGET_UP
 * @departed: ring of the incarnations that have left
 * @departed_next: index in @departed of the oldest entry, if none is free
 * @departed_keys: ring of keys of further incarnations that have left, of which
 *                 other daemons have told; 0 for none
 * @departed_keys_next: index in @departed_keys of the next one to write
 * @unheard: incarnations that have left without a heartbeat before; they may
 *           be other daemons' targets, and take no place in @departed
 * @departed_revision: number of changes of @departed and @unheard so far
 * @reinstated: number of replaced incarnations that became the current one
 *              again
 * @recall: what is known of the time before the daemon's start
 * @is_held: @held is valid
 * @held: last heartbeat that was not believed yet
 */
struct jl_target
{
  uint32_t name_key;
  uint64_t heartbeat_us;
  enum jl_target_state state;
  struct jl_heartbeat last;
  uint64_t last_heartbeat_us;
  uint64_t up_since_us;
  struct jl_departed_incarnation departed[JL_TARGET_DEPARTED_MAX];
  unsigned departed_next;
  uint32_t departed_keys[JL_TARGET_DEPARTED_MAX];
  unsigned departed_keys_next;
  struct jl_departed_incarnation unheard[JL_TARGET_UNHEARD_MAX];
  unsigned departed_revision;
  unsigned reinstated;
  struct jl_recall recall;
  bool is_held;
  struct jl_heartbeat held;
};

/**
 * jl_target_apply_heartbeat - applies a heartbeat unless it is stale, or not
 * believed yet
 *
 * After a restart of the daemon, one of an incarnation that may have left
 * before is held until it is proven that the incarnation takes work. A stale
 * one that announces a leave counts: the leave will be acknowledged.
 *
 * Without start times, a late heartbeat of an incarnation that has ended looks
 * like one of a new incarnation. The one that it replaced is reinstated if its
 * heartbeats go on while those of the other one do not.
 *
 * Return: whether the state, the incarnation or the number of slots has
 * changed.
 */
bool jl_target_apply_heartbeat (struct jl_target *target,
                                const struct jl_heartbeat *heartbeat,
                                uint64_t now_us);

/**
 * jl_target_apply_held - applies the held heartbeat if it is believed now
 *
 * Return: whether the state, the incarnation or the number of slots has
 * changed.
 */
bool jl_target_apply_held (struct jl_target *target, uint64_t now_us);

/**
 * jl_target_reinstate - makes a replaced incarnation the current one again,
 * after it has responded itself
 *
 * One that has announced a leave is never reinstated.
 *
 * Return: whether it was.
 */
bool
jl_target_reinstate (struct jl_target *target, const char *id, uint64_t now_us);

/**
 * jl_target_key - returns a key of the current incarnation, which differs
 * between instances
 *
 * Return: the key, 0 if no target is known.
 */
uint32_t jl_target_key (const struct jl_target *target);

/**
 * jl_target_make_key - returns the key of an incarnation beside the daemon with
 * this key of its name
 */
uint32_t
jl_target_make_key (uint32_t name_key, const char *id, uint64_t started_ms);

/**
 * jl_target_restore_departed_key - records an incarnation that left before this
 * daemon started, by its key
 *
 * Return: whether the state has changed.
 */
bool jl_target_restore_departed_key (struct jl_target *target, uint32_t key);

/**
 * jl_target_is_replaced_by - whether @heartbeat is of a new incarnation while
 * the current one takes work and has not announced its leave
 */
bool jl_target_is_replaced_by (const struct jl_target *target,
                               const struct jl_heartbeat *heartbeat);

/**
 * jl_target_can_mark_departed - whether there is room to record that the target
 * with identifier @id leaves
 *
 * An incarnation of which no heartbeat has come takes the place of none that
 * left within the last hour.
 */
bool jl_target_can_mark_departed (const struct jl_target *target,
                                  const char *id,
                                  uint64_t now_ms);

/**
 * jl_target_mark_departed - records that the target with identifier @id leaves
 * @started_ms: wall clock at the start of the incarnation that leaves, 0 if not
 *              known; then all that have started before now have left
 * @now_ms: wall clock
 *
 * The incarnation never takes work again, even if this daemon has just started
 * and has had no heartbeat of it, or none that it believed. The incarnation may
 * be a later one than that of the last heartbeat, as heartbeats may be late, or
 * an earlier one, as the leave may be late.
 *
 * Return: whether it was the current incarnation.
 */
bool jl_target_mark_departed (struct jl_target *target,
                              const char *id,
                              uint64_t started_ms,
                              uint64_t now_ms);

/**
 * jl_target_restore_departed - records an incarnation that left before this
 * daemon was restarted
 *
 * Return: whether that changes the state.
 */
bool
jl_target_restore_departed (struct jl_target *target,
                            const struct jl_departed_incarnation *departed);

/**
 * jl_target_forget - ends the use of a target that is no longer the local one;
 * what has left stays recorded
 */
void jl_target_forget (struct jl_target *target);

/**
 * jl_target_mark_down - records that the target refuses connections
 */
void jl_target_mark_down (struct jl_target *target);

/**
 * jl_target_state_name - returns the name of @state in logs and on pages
 */
const char *jl_target_state_name (enum jl_target_state state);

#endif
