/**
 * DOC: Plays every order of what a target says of itself, with restarts of the
 * target and of its daemon, against the decision which incarnation takes work.
 *
 * A target sends heartbeats, leaves, crashes and starts again under its
 * identifier. Each message arrives at once or late. The daemon, and with it all
 * others, may be killed at any moment; what outlives it is the row in the
 * store, if the store could be reached, and what other daemons have heard.
 */

#include <criterion/criterion.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy/leave-ack.h"
#include "policy/target.h"

#define INTERVAL_US (1500 * JL_USEC_PER_MSEC)
/* Time between two steps of a play. */
#define STEP_US (400 * JL_USEC_PER_MSEC)
#define STEPS_MAX 9
/* Heartbeats that one step delays. */
#define DELAYED_EACH 2
/* Steps of each play; more by the variable JL_ORDER_STEPS. Each further one
 * takes thirteen times as long. */
#define STEPS_DEFAULT 6
/* Wall clock at time 0. */
#define WALL_MS UINT64_C (1000000)
#define NAME_KEY 7u

/**
 * enum step - what happens next
 * @STEP_BEAT: the target sends a heartbeat, which arrives
 * @STEP_DELAY: the target sends two heartbeats, which arrive at STEP_ARRIVE
 * @STEP_ARRIVE: the oldest delayed heartbeat arrives
 * @STEP_ARRIVE_ALL: the delayed heartbeats arrive together
 * @STEP_DRAIN: the target sends a heartbeat that says that it leaves
 * @STEP_LEAVE: it announces its leave, and names its start
 * @STEP_LEAVE_UNNAMED: it announces its leave without its start
 * @STEP_LEAVE_MISSED: the same as STEP_LEAVE, and the other daemon that speaks
 *                     first misses it
 * @STEP_ANSWER: an answer of it says that it leaves
 * @STEP_REBORN: it crashes and starts again under its identifier
 * @STEP_STORE: the store goes away, or comes back
 * @STEP_KILL: the daemon is killed and started again; another one goes on
 * @STEP_KILL_ALL: all daemons are killed and started again
 */
enum step
{
  STEP_BEAT,
  STEP_DELAY,
  STEP_ARRIVE,
  STEP_ARRIVE_ALL,
  STEP_DRAIN,
  STEP_LEAVE,
  STEP_LEAVE_UNNAMED,
  STEP_LEAVE_MISSED,
  STEP_ANSWER,
  STEP_REBORN,
  STEP_STORE,
  STEP_KILL,
  STEP_KILL_ALL,
  STEP_COUNT,
};

static const char letters[STEP_COUNT + 1] = "bdaADlLmnrskK";

/**
 * struct play - one order
 * @daemon: what the daemon knows
 * @row: what the store knows, written when it could be reached
 * @other_departed: key of an incarnation of which another daemon has heard that
 *                  it leaves, 0 for none
 * @other_serving: key of the one of which it has heard last that it takes work
 * @slow_departed: the same as @other_departed, of another daemon that speaks
 *                 later
 * @slow_pending: that one has not spoken since the daemon's start
 * @store_away: the store cannot be reached
 * @had_row: an earlier daemon has written its row
 * @started_ms: start of the target's present incarnation
 * @sequence: sequence number of its last heartbeat
 * @leaves: it has said that it leaves
 * @left_ms: start of the last incarnation whose leave was acknowledged, 0 for
 *           none
 * @told_ms: start of the last one whose leave is in force, though maybe not
 *           acknowledged, 0 for none
 * @delayed: heartbeats that have not arrived yet
 */
struct play
{
  struct jl_target daemon;
  struct jl_target row;
  uint32_t other_departed;
  uint32_t other_serving;
  uint32_t slow_departed;
  bool slow_pending;
  bool store_away;
  bool had_row;
  uint64_t now_us;
  uint64_t started_ms;
  uint64_t sequence;
  bool leaves;
  uint64_t left_ms;
  uint64_t told_ms;
  struct jl_heartbeat delayed[STEPS_MAX * DELAYED_EACH];
  unsigned delayed_count;
  char order[STEPS_MAX + 1];
};

static uint64_t
wall_ms (const struct play *play)
{
  return WALL_MS + play->now_us / JL_USEC_PER_MSEC;
}

static struct jl_heartbeat
next_heartbeat (struct play *play, bool draining)
{
  struct jl_heartbeat heartbeat = { .id = "t",
                                    .slots = 10,
                                    .draining = draining,
                                    .started_ms = play->started_ms,
                                    .sequence = ++play->sequence };

  return heartbeat;
}

/* The daemon writes its row and tells another daemon after each change. */
static void
publish (struct play *play)
{
  uint32_t key = jl_target_key (&play->daemon);

  if (!play->store_away)
    {
      memcpy (play->row.departed, play->daemon.departed,
              sizeof play->row.departed);
      memcpy (play->row.unheard, play->daemon.unheard,
              sizeof play->row.unheard);
      play->had_row = true;
    }
  if (play->daemon.state == JL_TARGET_LEAVING)
    {
      play->other_departed = play->slow_departed = key;
      play->other_serving = 0;
    }
  else if (play->daemon.state == JL_TARGET_UP && key != play->other_departed)
    play->other_serving = key;
}

/* Reads the row, or writes the first one, as soon as the store is there. */
static void
meet_store (struct play *play)
{
  struct jl_recall *recall = &play->daemon.recall;

  if (play->store_away || recall->row_read)
    return;
  recall->is_first = !play->had_row;
  recall->row_read = true;
  for (unsigned i = 0; i < JL_TARGET_DEPARTED_MAX; i++)
    if (play->row.departed[i].id[0] != '\0')
      jl_target_restore_departed (&play->daemon, &play->row.departed[i]);
  for (unsigned i = 0; i < JL_TARGET_UNHEARD_MAX; i++)
    if (play->row.unheard[i].id[0] != '\0')
      jl_target_restore_departed (&play->daemon, &play->row.unheard[i]);
  jl_target_apply_held (&play->daemon, play->now_us);
  publish (play);
}

static void
start_daemon (struct play *play)
{
  memset (&play->daemon, 0, sizeof play->daemon);
  play->daemon.name_key = NAME_KEY;
  play->daemon.heartbeat_us = INTERVAL_US;
  jl_recall_start (&play->daemon.recall, wall_ms (play), play->now_us);
  meet_store (play);
}

/* Another daemon tells the one that was started again what it knows. */
static void
tell (struct play *play)
{
  uint32_t departed = play->other_departed;
  uint32_t serving = play->other_serving;

  jl_target_restore_departed_key (&play->daemon, departed);
  if (serving != departed)
    jl_recall_vouch (&play->daemon.recall, serving, play->now_us);
  play->other_serving = 0;
  play->slow_pending = true;
}

static void
tell_slowly (struct play *play)
{
  if (play->slow_pending)
    jl_target_restore_departed_key (&play->daemon, play->slow_departed);
  play->slow_pending = false;
}

static void
apply (struct play *play, struct jl_heartbeat heartbeat)
{
  jl_target_apply_heartbeat (&play->daemon, &heartbeat, play->now_us);
  publish (play);
}

static void
arrive (struct play *play, unsigned count)
{
  count = MIN (count, play->delayed_count);
  for (unsigned i = 0; i < count; i++)
    apply (play, play->delayed[i]);
  play->delayed_count -= count;
  memmove (play->delayed, play->delayed + count,
           play->delayed_count * sizeof play->delayed[0]);
}

/* Acknowledges the leaves that are in force, if that can be promised. */
static void
acknowledge (struct play *play)
{
  const struct jl_leave_ack none = { 0 };
  struct jl_leave_progress progress = { .written = !play->store_away,
                                        .told = true,
                                        .asked_us = play->now_us };

  if (jl_leave_ack_decide (&none, "t", &progress, play->now_us)
      == JL_LEAVE_ACKNOWLEDGED)
    play->left_ms = play->told_ms;
}

static void
note_leave (struct play *play)
{
  play->leaves = true;
  play->told_ms = play->started_ms;
  publish (play);
  acknowledge (play);
}

static void
leave (struct play *play, uint64_t named_ms)
{
  jl_target_mark_departed (&play->daemon, "t", named_ms, wall_ms (play));
  note_leave (play);
}

/* One of the other daemons misses the leave. */
static void
leave_missed (struct play *play)
{
  uint32_t serving = play->other_serving;
  uint32_t departed = play->other_departed;

  leave (play, play->started_ms);
  play->other_serving = serving;
  play->other_departed = departed;
}

/* An answer is of the incarnation that the daemon sends requests to. */
static void
answer (struct play *play)
{
  if (play->daemon.state != JL_TARGET_UP)
    return;
  leave (play, 0);
}

static void
make_step (struct play *play, enum step step)
{
  bool may_beat = !play->leaves;

  play->now_us += STEP_US;
  tell_slowly (play);
  switch (step)
    {
    case STEP_BEAT:
      if (may_beat)
        apply (play, next_heartbeat (play, false));
      break;
    case STEP_DELAY:
      for (unsigned i = 0; i < DELAYED_EACH && may_beat; i++)
        play->delayed[play->delayed_count++] = next_heartbeat (play, false);
      break;
    case STEP_ARRIVE:
      arrive (play, 1);
      break;
    case STEP_ARRIVE_ALL:
      arrive (play, play->delayed_count);
      break;
    case STEP_DRAIN:
      apply (play, next_heartbeat (play, true));
      note_leave (play);
      break;
    case STEP_LEAVE:
      leave (play, play->started_ms);
      break;
    case STEP_LEAVE_UNNAMED:
      leave (play, 0);
      break;
    case STEP_LEAVE_MISSED:
      leave_missed (play);
      break;
    case STEP_ANSWER:
      answer (play);
      break;
    case STEP_REBORN:
      play->started_ms = wall_ms (play);
      play->sequence = 0;
      play->leaves = false;
      break;
    case STEP_STORE:
      play->store_away = !play->store_away;
      meet_store (play);
      publish (play);
      acknowledge (play);
      break;
    case STEP_KILL:
      start_daemon (play);
      tell (play);
      break;
    case STEP_KILL_ALL:
      play->other_departed = play->other_serving = play->slow_departed = 0;
      play->told_ms = play->left_ms;
      start_daemon (play);
      break;
    case STEP_COUNT:
      break;
    }
}

/* No incarnation whose leave is in force takes work, nor an earlier one. One
 * that was acknowledged stays in force when all daemons are killed. */
static void
check_leave (const struct play *play)
{
  cr_assert (play->daemon.state != JL_TARGET_UP
                 || play->daemon.last.started_ms > play->told_ms,
             "order %s: the start at %" PRIu64 " takes work, that at %" PRIu64
             " has left",
             play->order, play->daemon.last.started_ms, play->told_ms);
}

/* Whether the store, or other daemons, have told what they know of the time
 * before the daemon's start. Without both, no daemon has a configuration. */
static bool
knows_the_past (const struct play *play)
{
  return play->daemon.recall.row_read || play->daemon.recall.vouched_us != 0;
}

/* A target that goes on sending heartbeats takes work soon. */
static void
check_return (struct play *play)
{
  tell_slowly (play);
  if (!knows_the_past (play))
    {
      play->store_away = false;
      meet_store (play);
    }
  for (unsigned i = 0; i < 3; i++)
    {
      play->now_us += INTERVAL_US;
      apply (play, next_heartbeat (play, false));
    }
  cr_assert_eq (play->daemon.state, JL_TARGET_UP, "order %s", play->order);
  cr_assert_eq (play->daemon.last.started_ms, play->started_ms, "order %s",
                play->order);
}

static void
begin (struct play *play)
{
  memset (play, 0, sizeof *play);
  play->now_us = 10 * JL_USEC_PER_SEC;
  play->started_ms = wall_ms (play);
  play->now_us += STEP_US;
  start_daemon (play);
}

/* Plays all orders that begin with @play. Returns their number. */
static unsigned
play_all (const struct play *play, unsigned length, unsigned steps)
{
  unsigned count = 1;

  for (unsigned step = 0; step < STEP_COUNT && length < steps; step++)
    {
      struct play next = *play;

      next.order[length] = letters[step];
      make_step (&next, (enum step)step);
      check_leave (&next);
      count += play_all (&next, length + 1, steps);
    }
  if (length == steps && !play->leaves)
    {
      struct play last = *play;

      check_return (&last);
    }
  return count;
}

Test (target_orders, a_leave_is_final_and_a_target_that_lives_returns)
{
  const char *text = g_getenv ("JL_ORDER_STEPS");
  unsigned steps = text != NULL ? (unsigned)atoi (text) : STEPS_DEFAULT;
  struct play play;

  begin (&play);
  printf ("# %u orders\n", play_all (&play, 0, MIN (steps, STEPS_MAX)));
}

static void
play_order (const char *order)
{
  struct play play;

  begin (&play);
  for (unsigned i = 0; order[i] != '\0'; i++)
    {
      play.order[i] = order[i];
      make_step (&play, (enum step) (strchr (letters, order[i]) - letters));
      check_leave (&play);
    }
}

/* Guards against a leave that is acknowledged while the store is away, and
 * forgotten when all daemons are killed. */
Test (target_orders, an_acknowledged_leave_outlives_all_daemons)
{
  play_order ("dsLKsaa");
  play_order ("dsDKsaa");
  play_order ("dsLsKaa");
  play_order ("dLsKaas");
}
