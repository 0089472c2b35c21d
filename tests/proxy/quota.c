/**
 * DOC: Tests of usage caps with many daemons in virtual time: the rule over all
 * sliding windows, and requests below the cap.
 */

#include <criterion/criterion.h>

#include <math.h>
#include <stdio.h>

#include "policy/quota-stock.h"
#include "proxy/parts/quota-model.h"

#define S JL_USEC_PER_SEC

/* Load as a multiple of the cap. */
static double load = 1;
static unsigned busy_zone;

static double
even_demand (const struct quota_model *model, unsigned daemon)
{
  (void)daemon;
  return load * model->customers[0].rate / model->daemon_count;
}

/* Demand of customer 1, at two daemons of one zone only, in bursts. */
static double
uneven_demand (const struct quota_model *model, unsigned daemon)
{
  bool bursts = model->now_us / (700 * JL_USEC_PER_MSEC) % 3 == 0;

  return daemon % model->zone_count == busy_zone && daemon < 8 && bursts
             ? load * model->customers[1].rate * 1.5
             : 0;
}

static struct quota_model *
make_model (double rate, double uneven_rate, unsigned seed)
{
  struct quota_model *model = quota_model_new (78, 4, 2, seed);

  model->customers[0].rate = rate;
  model->customers[0].demand = even_demand;
  model->customers[1].rate = uneven_rate;
  model->customers[1].demand = uneven_demand;
  model->shares_move = true;
  busy_zone = seed % 4;
  return model;
}

static void
check_rule (const struct quota_model *model, const char *when, double rate)
{
  for (unsigned i = 0; i < model->customer_count; i++)
    {
      double worst = quota_model_worst (model, i);

      fprintf (stderr, "%s rate=%g customer=%u worst=%.3f refused=%u runs=%u\n",
               when, rate, i, worst, model->customers[i].refused,
               model->customers[i].runs->len);
      cr_assert_leq (worst, 1, "%s: rate %g, customer %u: %.3f", when, rate, i,
                     worst);
    }
}

static const double rates[] = { 7, 40, 400, 1265 };

Test (quota, the_rule_holds_at_five_times_the_cap_also_with_lost_datagrams)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      struct quota_model *model = make_model (rates[i], 100, i);

      model->loss = i % 2 == 1 ? 0.1 : 0;
      /* The buckets are full when the surge begins. */
      load = 0.2;
      quota_model_run (model, 10 * S);
      load = 5;
      quota_model_run (model, 15 * S);
      check_rule (model, "overload", rates[i]);
      quota_model_free (model);
    }
}

static double
no_demand (const struct quota_model *model, unsigned daemon)
{
  (void)model;
  (void)daemon;
  return 0;
}

Test (quota, a_customer_below_its_cap_is_hardly_refused)
{
  load = 1 / 1.6;
  for (unsigned i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      struct quota_model *model = make_model (rates[i], 100, i);
      double ratio;

      model->customers[1].demand = no_demand;
      quota_model_run (model, 4 * S);
      quota_model_refused_ratio (model, 0);
      quota_model_run (model, rates[i] < 10 ? 4000 * S : 40 * S);
      ratio = quota_model_refused_ratio (model, 0);
      fprintf (stderr, "below rate=%g refused=%.5f\n", rates[i], ratio);
      cr_expect_lt (ratio, 0.005, "rate %g: %.5f", rates[i], ratio);
      quota_model_free (model);
    }
}

static unsigned cut_count;
static uint64_t cut_from_us;

/* Cuts off the first daemons of each zone from the others. */
static bool
is_linked (const struct quota_model *model, unsigned from, unsigned to)
{
  return model->now_us < cut_from_us || (from < cut_count) == (to < cut_count);
}

Test (quota, the_rule_holds_while_zones_are_split)
{
  load = 5;
  for (unsigned i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      struct quota_model *model = make_model (rates[i], 100, i);

      cut_count = i % 2 == 0 ? 36 : 44;
      load = 0.5;
      cut_from_us = model->now_us + 8 * S;
      model->linked = is_linked;
      quota_model_run (model, 8 * S + 100 * JL_USEC_PER_MSEC);
      load = 6;
      quota_model_run (model, 9 * S);
      model->linked = NULL;
      quota_model_run (model, 8 * S);
      check_rule (model, "split", rates[i]);
      for (unsigned zone = 0; zone < 4; zone++)
        cr_assert_neq (quota_model_issuer (model, zone), G_MAXUINT);
      quota_model_free (model);
    }
}

Test (quota, another_issuer_takes_over_and_the_rule_holds)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      struct quota_model *model = make_model (rates[i], 100, i);
      unsigned issuer;
      double ratio;

      load = 1 / 1.6;
      quota_model_run (model, 6 * S);
      issuer = quota_model_issuer (model, 0);
      cr_assert_neq (issuer, G_MAXUINT);
      model->daemons[issuer].down = true;
      quota_model_refused_ratio (model, 0);
      load = 4;
      quota_model_run (model, 4 * S);
      check_rule (model, "killed", rates[i]);
      cr_assert_neq (quota_model_issuer (model, 0), G_MAXUINT);
      cr_assert_neq (quota_model_issuer (model, 0), issuer);
      load = 1 / 1.6;
      quota_model_run (model, 8 * S);
      quota_model_refused_ratio (model, 0);
      quota_model_run (model, rates[i] < 100 ? 200 * S : 10 * S);
      ratio = quota_model_refused_ratio (model, 0);
      cr_assert_lt (ratio, 0.02, "rate %g: %.4f", rates[i], ratio);
      quota_model_free (model);
    }
}

Test (quota, frozen_daemons_and_issuers_break_no_rule)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      struct quota_model *model = make_model (rates[i], 100, i);

      load = 5;
      quota_model_run (model, 6 * S);
      for (unsigned round = 0; round < 6; round++)
        {
          for (unsigned zone = 0; zone < 4; zone++)
            {
              unsigned issuer = quota_model_issuer (model, zone);

              if (issuer != G_MAXUINT)
                model->daemons[issuer].frozen_until_us
                    = model->now_us
                      + (uint64_t)(round + 1) * 500 * JL_USEC_PER_MSEC;
            }
          for (unsigned j = round; j < 78; j += 9)
            model->daemons[j].frozen_until_us
                = model->now_us + 400 * JL_USEC_PER_MSEC;
          quota_model_run (model, 2 * S);
        }
      check_rule (model, "frozen", rates[i]);
      quota_model_free (model);
    }
}

/* Holds up the issuers of all zones. */
static void
freeze_issuers (struct quota_model *model, unsigned ms)
{
  for (unsigned zone = 0; zone < model->zone_count; zone++)
    {
      unsigned issuer = quota_model_issuer (model, zone);

      if (issuer != G_MAXUINT)
        model->daemons[issuer].frozen_until_us
            = model->now_us + ms * JL_USEC_PER_MSEC;
    }
}

/* Requests run without tokens then, and the buckets are full afterwards. */
Test (quota, a_surge_while_all_issuers_are_held_up_breaks_no_rule)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      struct quota_model *model = make_model (rates[i], 100, i);

      for (unsigned ms = 100; ms <= 900; ms += 400)
        {
          load = 0.4;
          quota_model_run (model, 15 * S);
          freeze_issuers (model, ms);
          load = 5;
          quota_model_run (model, 6 * S);
        }
      check_rule (model, "held up", rates[i]);
      quota_model_free (model);
    }
}

/* All issuers pause for 60 ms of each second. The daemons share out what the
 * buckets hold. For small caps that is less than a request for each, so most of
 * what comes during a pause is refused. */
Test (quota, short_pauses_of_issuers_refuse_few_requests)
{
  load = 1 / 1.6;
  for (unsigned i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      struct quota_model *model = make_model (rates[i], 100, i);
      double ratio;

      model->customers[1].demand = no_demand;
      quota_model_run (model, 15 * S);
      quota_model_refused_ratio (model, 0);
      for (unsigned j = 0; j < 60; j++)
        {
          freeze_issuers (model, 60);
          quota_model_run (model, 1 * S);
        }
      ratio = quota_model_refused_ratio (model, 0);
      fprintf (stderr, "pauses rate=%g refused=%.5f\n", rates[i], ratio);
      cr_expect_lt (ratio, rates[i] < 100 ? 0.1 : 0.01, "rate %g: %.5f",
                    rates[i], ratio);
      quota_model_free (model);
    }
}

Test (quota, a_restart_of_all_daemons_breaks_no_rule)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      struct quota_model *model = make_model (rates[i], 100, i);

      load = 0.4;
      quota_model_run (model, 6 * S);
      load = 5;
      for (unsigned round = 0; round < 3; round++)
        {
          quota_model_run (model, 2 * S);
          for (unsigned j = 0; j < model->daemon_count; j++)
            quota_model_restart (model, j);
          quota_model_run (model, 2500 * JL_USEC_PER_MSEC);
        }
      check_rule (model, "restarted", rates[i]);
      quota_model_free (model);
    }
}

Test (quota, a_cap_that_is_lowered_and_raised_is_kept)
{
  struct quota_model *model = make_model (400, 100, 1);
  double ratio;

  load = 1;
  quota_model_run (model, 8 * S);
  check_rule (model, "before", 400);
  model->customers[0].rate = 10;
  load = 40;
  model->customers[0].changed_us = model->now_us + MODEL_WINDOW_US;
  quota_model_run (model, 15 * S);
  check_rule (model, "lowered", 10);
  model->customers[0].rate = 400;
  model->customers[0].changed_us = 0;
  load = 1 / 1.6;
  quota_model_refused_ratio (model, 0);
  quota_model_run (model, 10 * S);
  check_rule (model, "raised", 400);
  ratio = quota_model_refused_ratio (model, 0);
  cr_assert_lt (ratio, 0.05, "%.4f", ratio);
  quota_model_free (model);
}

/* Demand whose share of each zone varies by half with shifted phases. */
static double
moving_demand (const struct quota_model *model, unsigned daemon)
{
  double phase = (double)(daemon % model->zone_count) / model->zone_count
                 + (double)model->now_us / (150.0 * S);

  return load * model->customers[0].rate / model->daemon_count
         * (1 + 0.5 * sin (2 * G_PI * phase));
}

Test (quota, shares_follow_a_load_that_moves_between_zones)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      struct quota_model *model = make_model (rates[i], 100, i);
      double ratio;

      model->customers[0].demand = moving_demand;
      model->customers[1].demand = no_demand;
      load = 1 / 1.6;
      quota_model_run (model, 40 * S);
      quota_model_refused_ratio (model, 0);
      quota_model_run (model, rates[i] < 10 ? 2000 * S : 200 * S);
      check_rule (model, "moving", rates[i]);
      ratio = quota_model_refused_ratio (model, 0);
      fprintf (stderr, "moving rate=%g refused=%.5f moves=%u exchanges=%u\n",
               rates[i], ratio, model->moves, model->exchanges);
      cr_expect_lt (ratio, 0.005, "rate %g: %.5f", rates[i], ratio);
      quota_model_free (model);
    }
}

Test (quota, a_zone_that_has_all_load_gets_most_of_the_cap)
{
  struct quota_model *model = make_model (400, 200, 1);

  load = 1 / 1.6;
  model->customers[0].demand = no_demand;
  quota_model_run (model, 40 * S);
  quota_model_refused_ratio (model, 1);
  quota_model_run (model, 40 * S);
  check_rule (model, "one zone", 200);
  cr_assert_gt (model->customers[1].units[busy_zone], 800000);
  cr_assert_lt (quota_model_refused_ratio (model, 1), 0.3);
  quota_model_free (model);
}

/* Guards against a cap that is broken by a restart of all daemons: their
 * credits together stay within what issuers do not issue meanwhile, also where
 * each daemon's part is less than a request. */
Test (quota, credits_after_a_restart_of_all_fit_into_the_rule)
{
  static const double caps[] = { 7, 40, 400, 1265 };

  g_random_set_seed (11);
  for (unsigned i = 0; i < G_N_ELEMENTS (caps); i++)
    {
      unsigned sum = 0;

      for (unsigned j = 0; j < 100 * 78; j++)
        sum += jl_quota_start_credit (caps[i], 78, g_random_double ());
      cr_assert_float_eq (sum / 100.0, 1.6 * caps[i] + 2, 0.05 * caps[i] + 1);
    }
}
