#ifndef JACKDAWLADDER_PROXY_TARGET_H
#define JACKDAWLADDER_PROXY_TARGET_H

/**
 * DOC: What a daemon believes of its own target.
 *
 * The target's heartbeats are the source. They may be late and out of order:
 * one of an earlier life or with a lower sequence changes nothing. Leaving is
 * final for a life.
 */

#include "jackdawladder/site.h"

/**
 * struct jl_heartbeat - one announcement
 * @id: identifier of the target's life
 * @service: its service
 * @address: where it takes requests
 * @slots: requests that it runs at once
 * @draining: it is about to leave
 * @cold_us: how much longer it is slow after its start
 * @born_ms: wall clock of its start, 0 if not given
 * @sequence: rises with each announcement of a life
 */
struct jl_heartbeat
{
  char id[JL_TEXT_SIZE];
  char service[JL_TEXT_SIZE];
  struct jl_endpoint address;
  unsigned slots;
  bool draining;
  uint64_t cold_us;
  uint64_t born_ms;
  uint64_t sequence;
};

/**
 * enum jl_target_state - whether the own target takes work
 * @JL_TARGET_NONE: none is known
 * @JL_TARGET_UP: it does
 * @JL_TARGET_LEAVING: it finishes what it has
 * @JL_TARGET_DOWN: it does not answer; a heartbeat brings it back
 */
enum jl_target_state
{
  JL_TARGET_NONE,
  JL_TARGET_UP,
  JL_TARGET_LEAVING,
  JL_TARGET_DOWN,
};

/* Lives that have left and are remembered. */
#define JL_TARGET_LEFT_MAX 8

/**
 * struct jl_target_left - a life that has left
 * @id: "" for none
 * @born_ms: no heartbeat of a life that began later is meant
 */
struct jl_target_left
{
  char id[JL_TEXT_SIZE];
  uint64_t born_ms;
};

/**
 * struct jl_target - the belief
 * @heard_us: time of the last heartbeat that counted
 * @left: a ring
 * @left_edition: counts the lives that were added to it
 */
struct jl_target
{
  enum jl_target_state state;
  struct jl_heartbeat last;
  uint64_t heard_us;
  uint64_t up_since_us;
  struct jl_target_left left[JL_TARGET_LEFT_MAX];
  unsigned left_next;
  unsigned left_edition;
};

/**
 * jl_target_heartbeat - takes an announcement in
 *
 * Return: whether the state, the life or the slots have changed.
 */
bool jl_target_heartbeat (struct jl_target *target,
                          const struct jl_heartbeat *heartbeat,
                          uint64_t now_us);

/**
 * jl_target_leave - the target with identifier @id says that it ends
 * @now_ms: wall clock
 *
 * That is final for the life, also when this daemon, just started, has not
 * heard of it before.
 *
 * Return: whether it was the current one.
 */
bool
jl_target_leave (struct jl_target *target, const char *id, uint64_t now_ms);

/**
 * jl_target_restore_left - a life that left while an earlier life of this
 * daemon ran
 *
 * Return: whether that changes the state.
 */
bool jl_target_restore_left (struct jl_target *target,
                             const char *id,
                             uint64_t born_ms);

/**
 * jl_target_down - the target refuses connections
 */
void jl_target_down (struct jl_target *target);

const char *jl_target_state_name (enum jl_target_state state);

#endif
