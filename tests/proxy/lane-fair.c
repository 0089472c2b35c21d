/**
 * DOC: Simulates customers and long runs that compete for the slots of a lane,
 * and checks what their callers get.
 */

#include <criterion/criterion.h>
#include <math.h>

#include "policy/lane.h"

#define STEP_US 1000
#define KINDS_MAX 4
#define SLOTS 35

/**
 * struct kind - requests of one customer
 * @rate: requests a second
 * @goal_ms: latency goal
 * @wait_ms: sum of the times in the queue
 * @in_time: requests that ended before their latency goal
 */
struct kind
{
  unsigned rank;
  double rate;
  unsigned hold_ms;
  unsigned goal_ms;
  unsigned deadline_ms;
  unsigned arrived;
  unsigned refused;
  unsigned expired;
  unsigned started;
  unsigned in_time;
  double wait_ms;
};

/**
 * struct request - a request in the lane
 * @ends_us: time at which its run ends
 */
struct request
{
  struct jl_lane_item item;
  struct kind *kind;
  uint64_t ends_us;
};

/**
 * struct play - a lane and its requests
 * @fair: the site has customers
 * @running: requests that hold a slot
 */
struct play
{
  struct jl_lane lane;
  bool fair;
  struct kind kinds[KINDS_MAX];
  GPtrArray *running;
  uint64_t now_us;
};

static void
play_open (struct play *play, bool fair)
{
  g_random_set_seed (1);
  *play = (struct play){ .fair = fair, .now_us = JL_USEC_PER_SEC };
  play->running = g_ptr_array_new_with_free_func (g_free);
  jl_lane_init (&play->lane);
  play->lane.limit = SLOTS;
}

static void
play_close (struct play *play)
{
  struct jl_lane_item *item;

  while ((item = jl_lane_take_expired (&play->lane, UINT64_MAX / 2, 0)) != NULL)
    g_free (caa_container_of (item, struct request, item));
  g_ptr_array_free (play->running, TRUE);
  jl_fair_queue_clear (&play->lane.fair);
}

static void
run (struct play *play, struct request *request)
{
  uint64_t hold_us = request->kind->hold_ms * JL_USEC_PER_MSEC;

  request->ends_us = play->now_us + hold_us;
  request->kind->started++;
  request->kind->wait_ms
      += (double)(play->now_us - request->item.arrived_us) / 1000;
  if (request->ends_us <= request->item.due_us)
    request->kind->in_time++;
  g_ptr_array_add (play->running, request);
}

static void
arrive (struct play *play, struct kind *kind)
{
  struct request *request = g_new0 (struct request, 1);
  struct jl_lane_item *item = &request->item;

  kind->arrived++;
  request->kind = kind;
  item->rank = kind->rank;
  item->arrived_us = play->now_us;
  item->due_us = play->now_us + kind->goal_ms * JL_USEC_PER_MSEC;
  item->expires_us = play->now_us + kind->deadline_ms * JL_USEC_PER_MSEC;
  if (play->fair)
    {
      item->fair = true;
      item->flow = (uint64_t)(kind - play->kinds);
      item->hold_us = kind->hold_ms * 1000.0;
      jl_lane_reserve_count (&play->lane.reserve, item->rank, item->hold_us,
                             play->now_us);
    }
  if (play->lane.waiting > 0 && jl_lane_is_too_long (&play->lane, item, 100000))
    {
      kind->refused++;
      g_free (request);
    }
  else if (jl_lane_submit (&play->lane, item))
    run (play, request);
}

static void
step (struct play *play)
{
  struct jl_lane_item *item;

  for (guint i = play->running->len; i-- > 0;)
    {
      struct request *request = g_ptr_array_index (play->running, i);

      if (request->ends_us > play->now_us)
        continue;
      jl_lane_end_run (&play->lane, &request->item);
      g_ptr_array_remove_index_fast (play->running, i);
    }
  for (unsigned i = 0; i < KINDS_MAX; i++)
    if (g_random_double () < play->kinds[i].rate * STEP_US / 1e6)
      arrive (play, &play->kinds[i]);
  while ((item = jl_lane_take_expired (&play->lane, play->now_us, 0)) != NULL)
    {
      struct request *request = caa_container_of (item, struct request, item);

      request->kind->expired++;
      g_free (request);
    }
  while ((item = jl_lane_take_next (&play->lane)) != NULL)
    run (play, caa_container_of (item, struct request, item));
  play->now_us += STEP_US;
}

/* Runs the play, and counts from now on. */
static void
play_run (struct play *play, double seconds)
{
  for (unsigned i = 0; i < KINDS_MAX; i++)
    {
      struct kind *kind = &play->kinds[i];

      kind->arrived = kind->refused = kind->expired = 0;
      kind->started = kind->in_time = 0;
      kind->wait_ms = 0;
    }
  for (unsigned i = 0; i < seconds * 1e6 / STEP_US; i++)
    step (play);
  for (unsigned i = 0; i < KINDS_MAX; i++)
    if (play->kinds[i].arrived > 0)
      cr_log_info ("kind %u: %u arrived, %u refused, %u expired, %u started, "
                   "%u in time, wait %.1f ms",
                   i, play->kinds[i].arrived, play->kinds[i].refused,
                   play->kinds[i].expired, play->kinds[i].started,
                   play->kinds[i].in_time,
                   play->kinds[i].wait_ms / MAX (play->kinds[i].started, 1));
}

static double
mean_wait_ms (const struct kind *kind)
{
  return kind->wait_ms / MAX (kind->started, 1);
}

/* Plays long runs of low rank that surge by 2.4 beside short calls. */
static void
play_long_runs (struct play *play, bool fair)
{
  play_open (play, fair);
  play->kinds[0] = (struct kind){
    .rank = 3, .rate = 24, .hold_ms = 610, .goal_ms = 2000, .deadline_ms = 5000
  };
  play->kinds[1] = (struct kind){
    .rank = 1, .rate = 390, .hold_ms = 38, .goal_ms = 300, .deadline_ms = 700
  };
  play_run (play, 10);
  play->kinds[0].rate *= 2.4;
  play_run (play, 30);
}

/* Guards against long runs of low rank that take all slots, so that short calls
 * wait for them. */
Test (lane_fair, short_calls_do_not_wait_for_long_runs_of_low_rank)
{
  struct play play;
  double before_ms;
  unsigned started;

  play_long_runs (&play, false);
  before_ms = mean_wait_ms (&play.kinds[1]);
  play_close (&play);
  play_long_runs (&play, true);
  started = play.kinds[0].started;
  cr_assert_lt (mean_wait_ms (&play.kinds[1]), before_ms / 3,
                "mean wait %.1f ms, %.1f ms without customers",
                mean_wait_ms (&play.kinds[1]), before_ms);
  cr_assert_eq (play.kinds[1].refused + play.kinds[1].expired, 0);
  cr_assert_gt (play.kinds[1].in_time, 0.999 * play.kinds[1].started);
  /* At most half of the slots are kept free. */
  cr_assert_gt (started, 0.9 * 17 / 0.61 * 30);
  /* Once the calls have ended, nothing is kept free for them. */
  play.kinds[1].rate = 0;
  play_run (&play, 20);
  play_run (&play, 20);
  cr_assert_gt (play.kinds[0].started, 0.95 * SLOTS / 0.61 * 20);
  play_close (&play);
}

/* Guards against a surge of one customer that fills the queue, so that others
 * of its rank are refused or wait. The second customer's runs are long: it is
 * charged for their time and not for their number. */
Test (lane_fair, customers_of_a_rank_get_equal_time)
{
  struct play play;

  play_open (&play, true);
  for (unsigned i = 0; i < 3; i++)
    play.kinds[i] = (struct kind){
      .rank = 5, .rate = 600, .hold_ms = 38, .goal_ms = 300, .deadline_ms = 700
    };
  play.kinds[1].rate = 60;
  play.kinds[1].hold_ms = 380;
  play.kinds[2].rate = 150;
  play_run (&play, 30);
  /* The third one stays within its share of 35 / 3 slots. */
  cr_assert_eq (play.kinds[2].refused + play.kinds[2].expired, 0);
  cr_assert_lt (mean_wait_ms (&play.kinds[2]), 38);
  cr_assert_float_eq (play.kinds[0].started * 38.0,
                      play.kinds[1].started * 380.0,
                      0.15 * play.kinds[0].started * 38.0);
  play_close (&play);
}

/* Guards against urgent work that is refused because of its own long queue
 * while less urgent work is served, and against its start after such work. The
 * highest rank of a site need not be 0. */
Test (lane_fair, the_most_urgent_work_is_started_first_and_not_refused)
{
  struct play play;

  play_open (&play, true);
  play.kinds[0] = (struct kind){
    .rank = 4, .rate = 970, .hold_ms = 38, .goal_ms = 300, .deadline_ms = 700
  };
  play.kinds[1] = play.kinds[0];
  play.kinds[1].rank = 7;
  play.kinds[1].rate = 300;
  play_run (&play, 20);
  cr_assert_eq (play.kinds[0].refused, 0);
  cr_assert_lt (play.kinds[0].expired, 0.1 * play.kinds[0].arrived);
  cr_assert_lt (play.kinds[1].started, 0.1 * play.kinds[1].arrived);
  play_close (&play);
}

/* Guards against items that are lost when the site gets customers while work
 * waits. */
Test (lane_fair, work_that_waits_when_customers_come_goes_first)
{
  struct jl_lane lane;
  struct jl_lane_item old = { .rank = 3, .due_us = 9, .expires_us = 1000 };
  struct jl_lane_item items[3];

  jl_lane_init (&lane);
  cr_assert_not (jl_lane_submit (&lane, &old));
  for (unsigned i = 0; i < 3; i++)
    {
      items[i] = (struct jl_lane_item){
        .rank = 1, .due_us = 9 - i, .expires_us = 1000, .fair = true, .flow = i
      };
      cr_assert_not (jl_lane_submit (&lane, &items[i]));
    }
  cr_assert_eq (lane.waiting, 4);
  jl_lane_remove (&lane, &items[1]);
  lane.limit = 3;
  cr_assert_eq (jl_lane_take_next (&lane), &old);
  cr_assert_eq (jl_lane_take_next (&lane), &items[2], "it is due first");
  cr_assert_eq (jl_lane_take_next (&lane), &items[0]);
  cr_assert_null (jl_lane_take_next (&lane));
  jl_lane_end_run (&lane, &items[0]);
  jl_lane_end_run (&lane, &old);
  cr_assert_eq (lane.running, 1);
  cr_assert_eq (lane.waiting, 0);
  jl_fair_queue_clear (&lane.fair);
}

/* Guards against state of flows that grows with the number of customers. */
Test (lane_fair, the_flows_of_many_customers_are_bounded)
{
  struct jl_lane lane;
  struct jl_lane_item items[2];
  struct cds_list_head *link;
  unsigned idle = 0;

  jl_lane_init (&lane);
  for (unsigned i = 0; i < 4000; i++)
    {
      struct jl_lane_item *item = &items[i % 2];

      *item = (struct jl_lane_item){ .due_us = i, .expires_us = 9000 };
      item->fair = true;
      item->flow = i % 2000;
      item->hold_us = 5000 + i;
      jl_lane_queue (&lane, item);
      if (i == 0)
        continue;
      lane.limit = lane.running + 1;
      cr_assert_not_null (jl_lane_take_next (&lane));
    }
  cds_list_for_each (link, &lane.fair.ranks[0].idle) idle++;
  cr_assert_leq (idle, 1024, "%u idle flows", idle);
  jl_fair_queue_clear (&lane.fair);
}
