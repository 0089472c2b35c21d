/**
 * DOC: Tests of the lane: the concurrency limit and the queue before the local
 * target.
 */

#include <criterion/criterion.h>

#include "policy/lane.h"

static struct jl_lane_item
item (unsigned rank, uint64_t arrived_us, uint64_t expires_us)
{
  struct jl_lane_item result
      = { .rank = rank, .arrived_us = arrived_us, .expires_us = expires_us };

  return result;
}

Test (lane, runs_up_to_its_limit_and_queues_the_rest)
{
  struct jl_lane lane;
  struct jl_lane_item items[3]
      = { item (1, 0, 1000), item (1, 0, 1000), item (1, 0, 1000) };

  jl_lane_init (&lane);
  lane.limit = 2;
  cr_assert (jl_lane_submit (&lane, &items[0]));
  cr_assert (jl_lane_submit (&lane, &items[1]));
  cr_assert_not (jl_lane_submit (&lane, &items[2]));
  cr_assert_null (jl_lane_take_next (&lane));
  jl_lane_finish (&lane);
  cr_assert_eq (jl_lane_take_next (&lane), &items[2]);
  cr_assert_eq (lane.running, 2);
  cr_assert_eq (lane.waiting, 0);
}

Test (lane, lets_the_most_important_go_first)
{
  struct jl_lane lane;
  struct jl_lane_item late = item (0, 5, 1000);
  struct jl_lane_item early = item (2, 1, 1000);

  jl_lane_init (&lane);
  cr_assert_not (jl_lane_submit (&lane, &early));
  cr_assert_not (jl_lane_submit (&lane, &late));
  lane.limit = 1;
  cr_assert_eq (jl_lane_take_next (&lane), &late);
}

Test (lane, hands_back_what_cannot_end_in_time)
{
  struct jl_lane lane;
  struct jl_lane_item short_lived = item (1, 0, 100);
  struct jl_lane_item long_lived = item (1, 0, 1000);

  jl_lane_init (&lane);
  jl_lane_submit (&lane, &long_lived);
  jl_lane_submit (&lane, &short_lived);
  cr_assert_null (jl_lane_take_expired (&lane, 50, 40));
  cr_assert_eq (jl_lane_take_expired (&lane, 70, 40), &short_lived);
  cr_assert_null (jl_lane_take_expired (&lane, 70, 40));
  cr_assert_eq (lane.waiting, 1);
}

/* A target that has just joined, and is still slow, receives all calls of its
 * zone. Requests that would wait too long are refused, so that another target
 * can run them in time. */
Test (lane, sends_on_what_would_spend_its_time_in_the_queue)
{
  struct jl_lane lane;
  struct jl_lane_item call = item (1, 0, 700 * JL_USEC_PER_MSEC);
  struct jl_lane_item urgent = item (0, 0, 700 * JL_USEC_PER_MSEC);

  jl_lane_init (&lane);
  lane.limit = 93;
  lane.waiting = 300;
  cr_assert_not (jl_lane_is_too_long (&lane, &call, 91 * JL_USEC_PER_MSEC));
  lane.waiting = 400;
  cr_assert (jl_lane_is_too_long (&lane, &call, 91 * JL_USEC_PER_MSEC));
  cr_assert_not (jl_lane_is_too_long (&lane, &urgent, 91 * JL_USEC_PER_MSEC));
  cr_assert_not (jl_lane_is_too_long (&lane, &call, 0),
                 "the hold time is not known yet");
}

/* The target has named a limit of 10 requests a second. */
Test (lane, sends_on_what_would_wait_too_long_for_its_turn)
{
  struct jl_lane lane;
  struct jl_lane_item waiting = item (1, 0, JL_USEC_PER_SEC);
  struct jl_lane_item next = item (1, 0, JL_USEC_PER_SEC);
  struct jl_lane_item urgent = item (0, 0, JL_USEC_PER_SEC);

  waiting.due_us = next.due_us = urgent.due_us = 300 * JL_USEC_PER_MSEC;
  jl_lane_init (&lane);
  lane.limit = 100;
  lane.rate = 10;
  cr_assert_not (jl_lane_is_too_long (&lane, &waiting, 0));
  jl_lane_queue (&lane, &waiting);
  cr_assert (jl_lane_is_too_long (&lane, &next, 0));
  cr_assert_not (jl_lane_is_too_long (&lane, &urgent, 0),
                 "it does not wait for the other one");
  jl_lane_queue (&lane, &urgent);
  cr_assert (jl_lane_is_too_long (&lane, &urgent, 0));
  cr_assert_eq (jl_lane_take_next (&lane), &urgent);
  cr_assert_eq (lane.waiting_rank_zero, 0);
}

Test (lane, a_request_behind_waiting_ones_does_not_overtake_them)
{
  struct jl_lane lane;
  struct jl_lane_item first = item (1, 0, 1000);
  struct jl_lane_item second = item (1, 0, 1000);

  jl_lane_init (&lane);
  jl_lane_submit (&lane, &first);
  lane.limit = 1;
  cr_assert_not (jl_lane_submit (&lane, &second));
  cr_assert_eq (jl_lane_take_next (&lane), &first);
}

/* Guards against a short request that waits behind many requests with longer
 * latency goals, as a cancellation among listing queries would. */
Test (lane, a_close_goal_does_not_wait_behind_distant_ones)
{
  struct jl_lane lane;
  struct jl_lane_item distant = item (1, 0, 1000);
  struct jl_lane_item close = item (2, 5, 1000);

  distant.due_us = 300;
  close.due_us = 155;
  jl_lane_init (&lane);
  jl_lane_submit (&lane, &distant);
  jl_lane_submit (&lane, &close);
  lane.limit = 1;
  cr_assert_eq (jl_lane_take_next (&lane), &close);
}
