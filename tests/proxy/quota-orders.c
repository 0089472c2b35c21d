/**
 * DOC: Plays every order of some events in a zone with usage caps: daemons that
 * are killed, start again, are cut off, are held up or stop, and a store that
 * goes away.
 *
 * The parts of the zone's shares that its daemons issue must never sum to more
 * than one. Some seconds after the last event each daemon that is left must be
 * served by an issuer, and those that are left must have all, or their part.
 */

#include <criterion/criterion.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy/quota-issuer.h"
#include "policy/quota-vote.h"

#define DAEMONS_MAX 4
#define EVENTS_MAX 8
#define MS JL_USEC_PER_MSEC
#define S JL_USEC_PER_SEC
/* Time between two steps of a play, and time after which a silent daemon is no
 * longer heard. */
#define TICK_US (100 * MS)
#define ALIVE_US (2500 * MS)
/* Times between the start and the first event, between two events, and of
 * waits. */
#define START_US (8 * S)
#define EVENT_US (700 * MS)
#define WAIT_US (6 * S)
#define WAIT_LONG_US (25 * S)
#define HELD_UP_US (3 * S)
/* Times between two reads of the row, and between two lists to the zone. */
#define READ_US (1 * S)
#define TELL_US (2 * S)
/* Time after the last event by which each daemon is served, and by which those
 * that are left have all, also if most are gone. */
#define SERVED_US (20 * S)
#define WHOLE_US (40 * S)
/* Events of each play; more by the variable JL_ORDER_EVENTS. */
#define EVENTS_DEFAULT 4

/**
 * enum event - what happens next
 * @EVENT_KILL_ISSUER: the issuer with the largest part is killed
 * @EVENT_KILL_OTHER: the last daemon that is no issuer is killed
 * @EVENT_START: all daemons that were killed start
 * @EVENT_CUT: the last daemon that runs and is not cut off is cut off from the
 *             others, not from the store
 * @EVENT_CUT_ALL: it is cut off from the others and from the store
 * @EVENT_SPLIT: the daemons are cut into halves; the first half has no store
 * @EVENT_HEAL: all reach each other and the store again
 * @EVENT_STORE: the store goes away, or comes back
 * @EVENT_HOLD_UP: the issuer is suspended for some time
 * @EVENT_LEAVE: the issuer stops and says so
 * @EVENT_WAIT: nothing, until all promises have ended
 * @EVENT_WAIT_LONG: nothing, until all leases have ended
 */
enum event
{
  EVENT_KILL_ISSUER,
  EVENT_KILL_OTHER,
  EVENT_START,
  EVENT_CUT,
  EVENT_CUT_ALL,
  EVENT_SPLIT,
  EVENT_HEAL,
  EVENT_STORE,
  EVENT_HOLD_UP,
  EVENT_LEAVE,
  EVENT_WAIT,
  EVENT_WAIT_LONG,
  EVENT_COUNT,
};

static const char letters[EVENT_COUNT + 1] = "ikscCzhofLwW";

/**
 * struct node - a daemon
 * @group: daemons with the same number reach each other
 * @has_store: it reaches the store, unless that is away
 * @heard_us: time at which each other one was last heard
 */
struct node
{
  bool down;
  bool leaving;
  unsigned group;
  bool has_store;
  uint64_t held_until_us;
  uint64_t epoch;
  uint64_t read_us;
  uint64_t told_us;
  uint64_t heard_us[DAEMONS_MAX];
  struct jl_quota_vote vote;
  struct jl_quota_quorum quorum;
  struct jl_quota_issuer issuer;
};

/**
 * struct play - one order
 * @row: the list in the zone's row
 */
struct play
{
  unsigned count;
  uint64_t now_us;
  bool store_away;
  struct jl_quota_members row;
  struct node nodes[DAEMONS_MAX];
  char order[EVENTS_MAX + 1];
};

static uint32_t
key_of (unsigned index)
{
  return index + 1;
}

static bool
runs (const struct play *play, unsigned index)
{
  const struct node *node = &play->nodes[index];

  return !node->down && play->now_us >= node->held_until_us;
}

static bool
reaches (const struct play *play, unsigned from, unsigned to)
{
  return runs (play, from) && runs (play, to)
         && play->nodes[from].group == play->nodes[to].group;
}

static void
start (struct play *play, unsigned index)
{
  struct node *node = &play->nodes[index];

  node->down = false;
  node->leaving = false;
  node->epoch = play->now_us + index + 1;
  node->read_us = 0;
  node->told_us = 0;
  memset (node->heard_us, 0, sizeof node->heard_us);
  jl_quota_vote_init (&node->vote, play->now_us);
  jl_quota_quorum_init (&node->quorum, key_of (index), play->now_us);
  jl_quota_issuer_init (&node->issuer);
}

static void
end (struct node *node)
{
  if (!node->down)
    jl_quota_issuer_clear (&node->issuer);
  node->down = true;
}

static bool
counts_all (const void *context, uint32_t key)
{
  (void)context;
  (void)key;
  return true;
}

static void
update (struct play *play, struct node *node)
{
  struct jl_quota_zone zone = { .quorum = &node->quorum,
                                .known_count = play->count,
                                .counts = counts_all };

  if (node->leaving)
    jl_quota_issuer_resign (&node->issuer);
  else
    jl_quota_issuer_update (&node->issuer, &zone, play->now_us);
}

static unsigned
list_here (const struct play *play, unsigned index, uint32_t *keys)
{
  const struct node *node = &play->nodes[index];
  unsigned count = 0;

  for (unsigned i = 0; i < play->count; i++)
    if (i == index ? !node->leaving
                   : node->heard_us[i] != 0
                         && play->now_us < node->heard_us[i] + ALIVE_US)
      keys[count++] = key_of (i);
  return count;
}

static bool
stands (const struct play *play, unsigned index)
{
  const struct node *node = &play->nodes[index];

  return node->issuer.active
         || (!node->leaving && node->vote.chosen == key_of (index)
             && play->now_us >= node->quorum.started_us + JL_QUOTA_SUPPORT_US);
}

/* Reads the row, and changes it if that is due. */
static void
use_row (struct play *play,
         unsigned index,
         const uint32_t *here,
         unsigned count)
{
  struct node *node = &play->nodes[index];
  struct jl_quota_members next;

  node->read_us = play->now_us;
  if (play->store_away || !node->has_store)
    return;
  jl_quota_quorum_learn (&node->quorum, &play->row, play->now_us, play->now_us);
  if (!jl_quota_issuer_next_list (&node->issuer, &node->quorum, here, count,
                                  play->count, play->now_us, &next))
    return;
  play->row = next;
  jl_quota_quorum_learn (&node->quorum, &next, play->now_us, play->now_us);
}

static void
ask (struct play *play, unsigned index)
{
  struct node *node = &play->nodes[index];
  unsigned to = node->vote.chosen - 1;
  uint64_t stamp_us = jl_quota_vote_asked (&node->vote, play->now_us);
  struct node *issuer = &play->nodes[to];

  if (!reaches (play, index, to))
    return;
  if (issuer->leaving)
    {
      jl_quota_vote_release (&node->vote, key_of (to), play->now_us);
      return;
    }
  update (play, issuer);
  if (node->vote.epoch == issuer->epoch)
    jl_quota_issuer_support (&issuer->issuer, key_of (index), stamp_us,
                             &issuer->quorum, node->quorum.adopted,
                             play->now_us);
  jl_quota_quorum_hear (&node->quorum, issuer->quorum.id,
                        issuer->quorum.confirmed_us);
  jl_quota_vote_answered (&node->vote, issuer->epoch, play->now_us,
                          issuer->issuer.part, issuer->issuer.active,
                          play->now_us);
}

static void
hear_issuer (struct play *play, unsigned index, unsigned from)
{
  struct node *node = &play->nodes[index];
  const struct node *other = &play->nodes[from];

  jl_quota_quorum_learn (&node->quorum, &other->quorum.list, 0, play->now_us);
  jl_quota_vote_hear_issuer (&node->vote, key_of (from), other->issuer.part,
                             key_of (from) < node->vote.chosen, play->now_us);
}

static void
tell (struct play *play, unsigned index)
{
  struct node *node = &play->nodes[index];
  bool tells = node->issuer.active && play->now_us >= node->told_us + TELL_US;

  if (tells)
    node->told_us = play->now_us;
  for (unsigned i = 0; i < play->count; i++)
    {
      if (!reaches (play, index, i))
        continue;
      play->nodes[i].heard_us[index] = node->leaving ? 0 : play->now_us;
      if (tells)
        hear_issuer (play, i, index);
    }
}

static double
sum_parts (struct play *play)
{
  double sum = 0;

  for (unsigned i = 0; i < play->count; i++)
    if (runs (play, i))
      {
        update (play, &play->nodes[i]);
        sum += play->nodes[i].issuer.part;
      }
  return sum;
}

static void
tick (struct play *play)
{
  play->now_us += TICK_US;
  for (unsigned i = 0; i < play->count; i++)
    {
      struct node *node = &play->nodes[i];
      uint32_t here[DAEMONS_MAX];
      unsigned count;

      if (!runs (play, i))
        continue;
      update (play, node);
      tell (play, i);
      count = list_here (play, i, here);
      if (stands (play, i) && play->now_us >= node->read_us + READ_US)
        use_row (play, i, here, count);
      jl_quota_vote_choose (&node->vote, here, count, play->now_us);
      if (node->vote.chosen != 0)
        ask (play, i);
    }
  cr_assert_leq (sum_parts (play), 1 + 1e-9,
                 "%u daemons, order %s, at %.1f s: parts sum to %.3f",
                 play->count, play->order, (double)play->now_us / S,
                 sum_parts (play));
}

static void
run (struct play *play, uint64_t time_us)
{
  for (uint64_t end_us = play->now_us + time_us; play->now_us < end_us;)
    tick (play);
}

/* Returns the issuer with the largest part, @count for none. */
static unsigned
find_issuer (const struct play *play)
{
  unsigned found = play->count;

  for (unsigned i = 0; i < play->count; i++)
    if (runs (play, i) && !play->nodes[i].leaving
        && (found == play->count
            || play->nodes[i].issuer.part > play->nodes[found].issuer.part))
      found = i;
  return found;
}

static unsigned
find_last (const struct play *play, unsigned except)
{
  for (unsigned i = play->count; i-- > 0;)
    if (i != except && !play->nodes[i].down)
      return i;
  return play->count;
}

static void
cut (struct play *play, bool has_store)
{
  unsigned index = play->count;

  for (unsigned i = 0; i < play->count; i++)
    if (!play->nodes[i].down && play->nodes[i].group == 0)
      index = i;
  if (index == play->count)
    return;
  play->nodes[index].group = index + 1;
  play->nodes[index].has_store = has_store;
}

static void
heal (struct play *play)
{
  for (unsigned i = 0; i < play->count; i++)
    {
      play->nodes[i].group = 0;
      play->nodes[i].has_store = true;
    }
}

static void
start_all (struct play *play)
{
  for (unsigned i = 0; i < play->count; i++)
    {
      if (play->nodes[i].leaving)
        end (&play->nodes[i]);
      if (play->nodes[i].down)
        start (play, i);
    }
}

static void
make_event (struct play *play, enum event event)
{
  unsigned issuer = find_issuer (play);
  unsigned other = find_last (play, issuer);

  switch (event)
    {
    case EVENT_KILL_ISSUER:
      if (issuer < play->count)
        end (&play->nodes[issuer]);
      break;
    case EVENT_KILL_OTHER:
      if (other < play->count)
        end (&play->nodes[other]);
      break;
    case EVENT_START:
      start_all (play);
      break;
    case EVENT_CUT:
    case EVENT_CUT_ALL:
      cut (play, event == EVENT_CUT);
      break;
    case EVENT_SPLIT:
      for (unsigned i = 0; i < play->count / 2; i++)
        {
          play->nodes[i].group = DAEMONS_MAX + 1;
          play->nodes[i].has_store = false;
        }
      break;
    case EVENT_HEAL:
      heal (play);
      break;
    case EVENT_STORE:
      play->store_away = !play->store_away;
      break;
    case EVENT_HOLD_UP:
      if (issuer < play->count)
        play->nodes[issuer].held_until_us = play->now_us + HELD_UP_US;
      break;
    case EVENT_LEAVE:
      if (issuer < play->count)
        play->nodes[issuer].leaving = true;
      break;
    case EVENT_WAIT:
      run (play, WAIT_US);
      break;
    case EVENT_WAIT_LONG:
      run (play, WAIT_LONG_US);
      break;
    case EVENT_COUNT:
      break;
    }
  run (play, EVENT_US);
}

/* Whether a daemon is served: the one that it has chosen issues. */
static bool
is_served (const struct play *play, unsigned index)
{
  unsigned chosen = play->nodes[index].vote.chosen;

  return chosen != 0 && reaches (play, index, chosen - 1)
         && play->nodes[chosen - 1].issuer.part > 0;
}

static bool
is_left (const struct node *node)
{
  return !node->down && !node->leaving;
}

static bool
are_all_served (const struct play *play)
{
  bool served = true;

  for (unsigned i = 0; i < play->count; i++)
    served &= !is_left (&play->nodes[i]) || is_served (play, i);
  return served;
}

static unsigned
count_left (const struct play *play)
{
  unsigned count = 0;

  for (unsigned i = 0; i < play->count; i++)
    count += is_left (&play->nodes[i]);
  return count;
}

/* Returns which part of a list is left, 1 if it is empty. */
static double
part_left (const struct play *play, const uint32_t *keys, unsigned count)
{
  unsigned left = 0;

  for (unsigned i = 0; i < count; i++)
    left += is_left (&play->nodes[keys[i] - 1]);
  return count > 0 ? (double)left / count : 1;
}

/* Checks what is issued, and that each daemon that is left is served by then.
 */
static void
check_parts (struct play *play, double due, const char *when)
{
  double part = sum_parts (play);

  cr_assert (due <= 0 || are_all_served (play),
             "%u daemons, order %s: a daemon has no issuer %s", play->count,
             play->order, when);
  cr_assert_geq (part, due - 1e-9, "%u daemons, order %s: %.3f are issued %s",
                 play->count, play->order, part, when);
}

/* Those that are left have the part of the list that they are, and then all. */
static void
check_end (struct play *play)
{
  const struct jl_quota_members *row = &play->row;
  double due;

  play->store_away = false;
  heal (play);
  run (play, SERVED_US);
  if (count_left (play) == 0)
    return;
  due = MIN (part_left (play, row->keys, row->count),
             part_left (play, row->previous, row->previous_count));
  check_parts (play, due, "soon");
  run (play, sum_parts (play) < 1 ? WHOLE_US : 0);
  check_parts (play, 1, "in the end");
}

static void
play_order (unsigned count, const char *order)
{
  struct play play = { .count = count, .now_us = 100 * S };

  for (unsigned i = 0; i < count; i++)
    start (&play, i);
  heal (&play);
  run (&play, START_US);
  for (unsigned i = 0; order[i] != '\0'; i++)
    {
      play.order[i] = order[i];
      make_event (&play, (enum event) (strchr (letters, order[i]) - letters));
    }
  check_end (&play);
  for (unsigned i = 0; i < count; i++)
    end (&play.nodes[i]);
}

/* Plays all orders of a length. Returns their number. */
static unsigned
play_all (unsigned count, unsigned length)
{
  char order[EVENTS_MAX + 1] = "";
  unsigned indices[EVENTS_MAX] = { 0 };
  unsigned played = 0;
  unsigned i;

  do
    {
      for (i = 0; i < length; i++)
        order[i] = letters[indices[i]];
      play_order (count, order);
      played++;
      for (i = length; i > 0 && ++indices[i - 1] == EVENT_COUNT; i--)
        indices[i - 1] = 0;
    }
  while (i > 0);
  return played;
}

static unsigned
event_count (void)
{
  const char *text = g_getenv ("JL_ORDER_EVENTS");

  return text != NULL ? MIN ((unsigned)atoi (text), EVENTS_MAX)
                      : EVENTS_DEFAULT;
}

Test (quota_orders, two_daemons)
{
  fprintf (stderr, "# %u orders\n", play_all (2, event_count ()));
}

Test (quota_orders, three_daemons)
{
  fprintf (stderr, "# %u orders\n", play_all (3, event_count ()));
}

Test (quota_orders, four_daemons)
{
  fprintf (stderr, "# %u orders\n", play_all (4, event_count ()));
}
