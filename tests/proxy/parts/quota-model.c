/**
 * DOC: Many daemons, issuers and zones in virtual time.
 */

#include "proxy/parts/quota-model.h"

#include <criterion/criterion.h>

#include <math.h>

#define OVER_RATIO 0.1
#define SLACK 20.0
#define BEACON_US (1000 * JL_USEC_PER_MSEC)
#define ALIVE_US (2500 * JL_USEC_PER_MSEC)
#define TICK_US (50 * JL_USEC_PER_MSEC)
#define WAIT_US (30 * JL_USEC_PER_MSEC)
#define AGAIN_US (10 * JL_USEC_PER_MSEC)
#define EXCHANGE_US (500 * JL_USEC_PER_MSEC)
#define INBOX_MAX 2000u
/* Time between two reads of the zone's row by a daemon without a part, and
 * between two lists to the zone. */
#define READ_US (200 * JL_USEC_PER_MSEC)
#define TELL_US (2 * JL_USEC_PER_SEC)

/**
 * struct message - a datagram: a request for tokens, or an answer
 */
struct message
{
  unsigned from;
  bool is_answer;
  uint32_t sequence;
  uint64_t epoch;
  uint64_t stamp_us;
  struct jl_quota_list_id list;
  uint64_t as_of_us;
  double part;
  bool active;
  unsigned count[MODEL_CUSTOMERS_MAX];
  unsigned waiting[MODEL_CUSTOMERS_MAX];
  unsigned debt[MODEL_CUSTOMERS_MAX];
  struct jl_quota_grant grants[MODEL_CUSTOMERS_MAX];
};

/**
 * struct waiter - a request that waits for a token
 */
struct waiter
{
  uint64_t since_us;
  uint64_t asked_us;
  uint32_t sequence;
};

static uint32_t
key_of (unsigned daemon)
{
  return daemon + 1;
}

static struct jl_quota_allowance
allowance_of (const struct model_customer *customer)
{
  return jl_quota_divide (customer->rate, customer->rate, MODEL_WINDOW_US,
                          OVER_RATIO, SLACK);
}

static struct jl_quota_cap
cap_of (const struct quota_model *model, unsigned customer, unsigned index)
{
  const struct model_daemon *daemon = &model->daemons[index];
  struct jl_quota_allowance allowance
      = allowance_of (&model->customers[customer]);
  struct jl_quota_cap cap = jl_quota_zone_cap (
      &allowance,
      (double)model->customers[customer].units[daemon->zone]
          / JL_QUOTA_SHARE_UNITS,
      model->zone_count);

  return jl_quota_cap_part (&cap, daemon->issuer.part);
}

static bool
passes (struct quota_model *model, unsigned from, unsigned to)
{
  return from == to
         || ((model->linked == NULL || model->linked (model, from, to))
             && g_rand_double (model->random) >= model->loss);
}

static void
send_message (struct quota_model *model,
              unsigned to,
              const struct message *message)
{
  struct model_daemon *daemon = &model->daemons[to];

  if (!daemon->down && passes (model, message->from, to)
      && daemon->inbox.length < INBOX_MAX)
    g_queue_push_tail (&daemon->inbox, g_memdup2 (message, sizeof *message));
}

static void
run_request (struct quota_model *model, unsigned customer)
{
  g_array_append_val (model->customers[customer].runs, model->now_us);
}

static void
init_daemon (struct quota_model *model, unsigned index)
{
  struct model_daemon *daemon = &model->daemons[index];

  daemon->epoch = model->now_us + index + 1;
  daemon->lost_us = model->now_us;
  daemon->in_contact = false;
  daemon->sequence = g_rand_int (model->random);
  jl_quota_vote_init (&daemon->vote, model->now_us);
  jl_quota_issuer_init (&daemon->issuer);
  jl_quota_quorum_init (&daemon->quorum, key_of (index), model->now_us);
  daemon->read_us = 0;
  daemon->told_us = 0;
  for (unsigned i = 0; i < model->customer_count; i++)
    {
      jl_quota_stock_init (&daemon->lines[i].stock, i + 1, model->now_us);
      daemon->lines[i].waiting
          = g_array_new (FALSE, FALSE, sizeof (struct waiter));
      daemon->lines[i].pending = false;
      daemon->lines[i].debt = 0;
    }
  g_queue_init (&daemon->inbox);
}

static void
clear_daemon (struct quota_model *model, unsigned index)
{
  struct model_daemon *daemon = &model->daemons[index];

  jl_quota_issuer_clear (&daemon->issuer);
  for (unsigned i = 0; i < model->customer_count; i++)
    g_array_free (daemon->lines[i].waiting, TRUE);
  g_queue_clear_full (&daemon->inbox, g_free);
}

struct quota_model *
quota_model_new (unsigned daemons,
                 unsigned zones,
                 unsigned customers,
                 unsigned seed)
{
  struct quota_model *model = g_new0 (struct quota_model, 1);

  model->daemon_count = daemons;
  model->zone_count = zones;
  model->customer_count = customers;
  model->now_us = 100 * JL_USEC_PER_SEC;
  model->random = g_rand_new_with_seed (seed);
  for (unsigned i = 0; i < daemons; i++)
    {
      model->daemons[i].zone = i % zones;
      init_daemon (model, i);
    }
  for (unsigned i = 0; i < customers; i++)
    {
      model->customers[i].runs = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      for (unsigned zone = 0; zone < zones; zone++)
        model->customers[i].units[zone] = jl_quota_share_default (zones);
    }
  return model;
}

void
quota_model_free (struct quota_model *model)
{
  for (unsigned i = 0; i < model->daemon_count; i++)
    clear_daemon (model, i);
  for (unsigned i = 0; i < model->customer_count; i++)
    g_array_free (model->customers[i].runs, TRUE);
  g_rand_free (model->random);
  g_free (model);
}

void
quota_model_restart (struct quota_model *model, unsigned daemon)
{
  clear_daemon (model, daemon);
  init_daemon (model, daemon);
}

static bool
counts_all (const void *context, uint32_t key)
{
  (void)context;
  (void)key;
  return true;
}

static unsigned
count_zone (const struct quota_model *model, unsigned zone)
{
  unsigned count = 0;

  for (unsigned i = 0; i < model->daemon_count; i++)
    count += model->daemons[i].zone == zone;
  return count;
}

static void
update_issuer (struct quota_model *model, struct model_daemon *daemon)
{
  struct jl_quota_zone zone = { .quorum = &daemon->quorum,
                                .known_count = count_zone (model, daemon->zone),
                                .counts = counts_all };

  jl_quota_issuer_update (&daemon->issuer, &zone, model->now_us);
}

/* Reads the zone's row, and changes it if that is due. */
static void
use_row (struct quota_model *model,
         struct model_daemon *daemon,
         const uint32_t *here,
         unsigned count)
{
  struct jl_quota_members *row = &model->rows[daemon->zone];
  struct jl_quota_members next;

  daemon->read_us = model->now_us;
  jl_quota_quorum_learn (&daemon->quorum, row, model->now_us, model->now_us);
  if (!jl_quota_issuer_next_list (&daemon->issuer, &daemon->quorum, here, count,
                                  count_zone (model, daemon->zone),
                                  model->now_us, &next))
    return;
  *row = next;
  jl_quota_quorum_learn (&daemon->quorum, row, model->now_us, model->now_us);
}

/* Whether a daemon would issue if it was supported. */
static bool
stands (const struct quota_model *model, unsigned index)
{
  const struct model_daemon *daemon = &model->daemons[index];

  return daemon->issuer.active
         || (daemon->vote.chosen == key_of (index)
             && model->now_us
                    >= daemon->quorum.started_us + JL_QUOTA_SUPPORT_US);
}

static void
note_contact (struct quota_model *model, struct model_daemon *daemon)
{
  bool in_contact = jl_quota_vote_in_contact (&daemon->vote, model->now_us);

  if (daemon->in_contact && !in_contact)
    daemon->lost_us = model->now_us;
  daemon->in_contact = in_contact;
}

static void
fall_back (struct quota_model *model, unsigned index, unsigned customer)
{
  struct model_daemon *daemon = &model->daemons[index];
  struct jl_quota_allowance allowance
      = allowance_of (&model->customers[customer]);
  struct jl_quota_fallback fallback = {
    .lost_us = daemon->in_contact ? model->now_us - WAIT_US : daemon->lost_us,
    .zone_daemons = model->daemon_count / model->zone_count,
    .window_us = MODEL_WINDOW_US,
    .floor_rate = allowance.floor * 1e6 / MODEL_WINDOW_US / model->daemon_count,
  };

  if (jl_quota_stock_fall_back (&daemon->lines[customer].stock, &fallback,
                                g_rand_double (model->random), model->now_us))
    {
      struct model_line *line = &daemon->lines[customer];

      run_request (model, customer);
      line->debt = line->debt_epoch == daemon->vote.epoch ? line->debt + 1 : 1;
      line->debt_epoch = daemon->vote.epoch;
    }
  else
    model->customers[customer].refused++;
}

static void
serve (struct quota_model *model, unsigned index, const struct message *ask)
{
  struct model_daemon *daemon = &model->daemons[index];
  struct message answer = { .from = index,
                            .is_answer = true,
                            .sequence = ask->sequence,
                            .epoch = daemon->epoch,
                            .stamp_us = model->now_us,
                            .list = daemon->quorum.id,
                            .as_of_us = daemon->quorum.confirmed_us };

  update_issuer (model, daemon);
  if (ask->epoch == daemon->epoch)
    jl_quota_issuer_support (&daemon->issuer, key_of (ask->from), ask->stamp_us,
                             &daemon->quorum, ask->list, model->now_us);
  if (ask->list.version == 0
      && model->now_us >= daemon->read_us + JL_USEC_PER_SEC)
    daemon->read_us = 0;
  answer.part = daemon->issuer.part;
  answer.active
      = daemon->issuer.active && model->now_us >= daemon->issuer.since_us;
  for (unsigned i = 0; answer.active && i < model->customer_count; i++)
    {
      struct jl_quota_cap cap = cap_of (model, i, index);

      jl_quota_issuer_charge (&daemon->issuer, i + 1, &cap, ask->debt[i],
                              model->now_us);
      if (ask->count[i] > 0)
        answer.grants[i] = jl_quota_issuer_grant (
            &daemon->issuer, i + 1, &cap, ask->count[i], ask->waiting[i],
            model->now_us);
      answer.count[i] = ask->count[i];
      answer.debt[i] = ask->debt[i];
    }
  send_message (model, ask->from, &answer);
}

static void
apply_grant (struct quota_model *model,
             struct model_daemon *daemon,
             unsigned customer,
             const struct message *answer,
             uint64_t asked_us)
{
  struct model_line *line = &daemon->lines[customer];
  const struct jl_quota_grant *grant = &answer->grants[customer];

  line->stock.far = grant->far;
  line->stock.level = grant->level;
  line->stock.none_until_us
      = model->now_us + MIN (grant->none_us, 250 * JL_USEC_PER_MSEC);
  jl_quota_stock_add (&line->stock, grant->granted, asked_us, model->now_us);
  for (guint i = 0; i < line->waiting->len;)
    {
      const struct waiter *waiter
          = &g_array_index (line->waiting, struct waiter, i);

      if (jl_quota_stock_take (&line->stock, model->now_us))
        run_request (model, customer);
      else if (waiter->sequence == answer->sequence)
        model->customers[customer].refused++;
      else
        {
          i++;
          continue;
        }
      g_array_remove_index (line->waiting, i);
    }
}

static void
read_answer (struct quota_model *model,
             unsigned index,
             const struct message *answer)
{
  struct model_daemon *daemon = &model->daemons[index];
  uint64_t asked_us = daemon->asked_us[answer->sequence % 256];

  if (daemon->sequence - answer->sequence >= 256)
    return;
  jl_quota_quorum_hear (&daemon->quorum, answer->list, answer->as_of_us);
  if (key_of (answer->from) == daemon->vote.chosen)
    jl_quota_vote_answered (&daemon->vote, answer->epoch, answer->stamp_us,
                            answer->part, answer->active, model->now_us);
  note_contact (model, daemon);
  for (unsigned i = 0; i < model->customer_count; i++)
    if (answer->debt[i] > 0)
      {
        daemon->lines[i].debt = 0;
        jl_quota_stock_charged (&daemon->lines[i].stock);
      }
  for (unsigned i = 0; i < model->customer_count; i++)
    if (answer->count[i] > 0)
      apply_grant (model, daemon, i, answer, asked_us);
}

static void
ask (struct quota_model *model, unsigned index)
{
  struct model_daemon *daemon = &model->daemons[index];
  struct message message = { .from = index,
                             .epoch = daemon->vote.epoch,
                             .list = daemon->quorum.adopted };

  if (daemon->vote.chosen == 0)
    return;
  message.sequence = ++daemon->sequence;
  daemon->asked_us[message.sequence % 256] = model->now_us;
  message.stamp_us = jl_quota_vote_asked (&daemon->vote, model->now_us);
  for (unsigned i = 0; i < model->customer_count; i++)
    {
      struct model_line *line = &daemon->lines[i];

      for (guint j = 0; j < line->waiting->len; j++)
        {
          struct waiter *waiter
              = &g_array_index (line->waiting, struct waiter, j);

          if (waiter->sequence != 0
              && model->now_us < waiter->asked_us + AGAIN_US)
            continue;
          waiter->sequence = message.sequence;
          waiter->asked_us = model->now_us;
          message.waiting[i]++;
        }
      message.count[i] = message.waiting[i]
                         + jl_quota_stock_wants (&line->stock, model->now_us);
      if (line->debt_epoch == daemon->vote.epoch)
        message.debt[i] = line->debt;
      line->pending = false;
    }
  send_message (model, daemon->vote.chosen - 1, &message);
}

static void
arrive (struct quota_model *model, unsigned index, unsigned customer)
{
  struct model_daemon *daemon = &model->daemons[index];
  struct model_line *line = &daemon->lines[customer];
  struct waiter waiter = { .since_us = model->now_us };

  jl_quota_stock_arrive (&line->stock, model->now_us);
  if (line->waiting->len == 0
      && jl_quota_stock_take (&line->stock, model->now_us))
    {
      run_request (model, customer);
      line->pending |= jl_quota_stock_wants (&line->stock, model->now_us) > 0;
    }
  else if (model->now_us < line->stock.none_until_us)
    model->customers[customer].refused++;
  else if (daemon->in_contact)
    {
      g_array_append_val (line->waiting, waiter);
      line->pending = true;
    }
  else
    fall_back (model, index, customer);
}

static void
end_waits (struct quota_model *model, unsigned index)
{
  struct model_daemon *daemon = &model->daemons[index];

  for (unsigned i = 0; i < model->customer_count; i++)
    {
      struct model_line *line = &daemon->lines[i];

      for (guint j = line->waiting->len; j > 0; j--)
        {
          const struct waiter *waiter
              = &g_array_index (line->waiting, struct waiter, j - 1);

          line->pending |= model->now_us >= waiter->asked_us + AGAIN_US;
          if (model->now_us < waiter->since_us + WAIT_US)
            continue;
          g_array_remove_index (line->waiting, j - 1);
          note_contact (model, daemon);
          fall_back (model, index, i);
        }
    }
}

/* Issuers that hear each other become one. */
static void
hear_issuer (struct quota_model *model, unsigned index, unsigned from)
{
  struct model_daemon *daemon = &model->daemons[index];
  const struct model_daemon *other = &model->daemons[from];

  jl_quota_quorum_learn (&daemon->quorum, &other->quorum.list, 0,
                         model->now_us);
  jl_quota_vote_hear_issuer (&daemon->vote, key_of (from), other->issuer.part,
                             key_of (from) < daemon->vote.chosen,
                             model->now_us);
}

static void
tell_list (struct quota_model *model, unsigned index)
{
  struct model_daemon *daemon = &model->daemons[index];

  if (!daemon->issuer.active || model->now_us < daemon->told_us + TELL_US)
    return;
  daemon->told_us = model->now_us;
  for (unsigned i = 0; i < model->daemon_count; i++)
    if (model->daemons[i].zone == daemon->zone && !model->daemons[i].down
        && passes (model, index, i))
      hear_issuer (model, i, index);
}

static void
tick (struct quota_model *model, unsigned index)
{
  struct model_daemon *daemon = &model->daemons[index];
  uint32_t candidates[MODEL_DAEMONS_MAX];
  unsigned count = 0;

  for (unsigned i = 0; i < model->daemon_count; i++)
    if (model->daemons[i].zone == daemon->zone
        && (i == index || model->now_us < daemon->heard_us[i] + ALIVE_US))
      candidates[count++] = key_of (i);
  update_issuer (model, daemon);
  if (stands (model, index) && model->now_us >= daemon->read_us + READ_US
      && (!daemon->issuer.active || daemon->read_us == 0
          || model->now_us >= jl_quota_issuer_confirm_due_us (&daemon->issuer,
                                                              &daemon->quorum)
          || model->now_us >= daemon->read_us + JL_USEC_PER_SEC))
    use_row (model, daemon, candidates, count);
  tell_list (model, index);
  jl_quota_vote_choose (&daemon->vote, candidates, count, model->now_us);
  note_contact (model, daemon);
  if (!daemon->in_contact
      || model->now_us >= daemon->vote.asked_us + 250 * JL_USEC_PER_MSEC
      || (daemon->vote.unanswered_us != 0
          && model->now_us >= daemon->vote.unanswered_us + AGAIN_US))
    ask (model, index);
}

static void
send_beacon (struct quota_model *model, unsigned index)
{
  for (unsigned i = 0; i < model->daemon_count; i++)
    if (model->daemons[i].zone == model->daemons[index].zone
        && passes (model, index, i))
      model->daemons[i].heard_us[index] = model->now_us;
}

/* Number of arrivals in a step, by Poisson's distribution. */
static unsigned
draw_arrivals (struct quota_model *model, double mean)
{
  double limit = exp (-mean);
  double product = g_rand_double (model->random);
  unsigned count = 0;

  while (product > limit)
    {
      product *= g_rand_double (model->random);
      count++;
    }
  return count;
}

static void
step_daemon (struct quota_model *model, unsigned index)
{
  struct model_daemon *daemon = &model->daemons[index];
  uint64_t phase_us = index * MODEL_STEP_US;
  bool runs = !daemon->down && model->now_us >= daemon->frozen_until_us;
  bool asks = false;
  struct message *message;

  while (runs && (message = g_queue_pop_head (&daemon->inbox)) != NULL)
    {
      if (message->is_answer)
        read_answer (model, index, message);
      else
        serve (model, index, message);
      g_free (message);
    }
  for (unsigned i = 0; !daemon->down && i < model->customer_count; i++)
    {
      unsigned count
          = draw_arrivals (model, model->customers[i].demand (model, index)
                                      * MODEL_STEP_US / 1e6);

      for (unsigned j = 0; runs && j < count; j++)
        arrive (model, index, i);
    }
  if (!runs)
    return;
  end_waits (model, index);
  if ((model->now_us + phase_us) % TICK_US == 0)
    tick (model, index);
  if ((model->now_us + phase_us * 5) % BEACON_US == 0)
    send_beacon (model, index);
  for (unsigned i = 0; i < model->customer_count; i++)
    asks |= daemon->lines[i].pending;
  if (asks && model->now_us >= daemon->vote.asked_us + 2 * MODEL_STEP_US)
    ask (model, index);
}

/* Moves units of a customer to @to from another zone. */
static void
move_units (struct quota_model *model,
            unsigned customer,
            unsigned to,
            unsigned from)
{
  struct model_customer *moved = &model->customers[customer];
  unsigned issuer = quota_model_issuer (model, to);
  struct jl_quota_use use;
  unsigned wanted;
  unsigned giver;
  unsigned given;

  moved->units[to] += moved->arriving[to];
  moved->arriving[to] = 0;
  if (issuer == G_MAXUINT
      || !jl_quota_issuer_use (&model->daemons[issuer].issuer, customer + 1,
                               moved->rate, model->now_us, &use))
    return;
  wanted = jl_quota_share_wanted (&use, moved->units[to]);
  giver = quota_model_issuer (model, from);
  if (wanted == 0 || giver == G_MAXUINT || model->daemons[giver].issuer.part < 1
      || !jl_quota_issuer_use (&model->daemons[giver].issuer, customer + 1,
                               moved->rate, model->now_us, &use))
    return;
  given = jl_quota_share_given (&use, moved->units[from], wanted,
                                model->zone_count);
  moved->units[from] -= given;
  moved->arriving[to] += given;
  model->moves += given > 0;
}

/* Borrows tokens of a customer for zone @to from another zone. */
static void
borrow (struct quota_model *model,
        unsigned customer,
        unsigned to,
        unsigned from)
{
  unsigned borrower = quota_model_issuer (model, to);
  unsigned lender = quota_model_issuer (model, from);
  struct jl_quota_cap cap;
  unsigned count;

  if (borrower == G_MAXUINT || lender == G_MAXUINT)
    return;
  cap = cap_of (model, customer, borrower);
  count = jl_quota_issuer_shortage (&model->daemons[borrower].issuer,
                                    customer + 1, &cap, model->now_us);
  if (count == 0)
    return;
  model->exchanges++;
  cap = cap_of (model, customer, lender);
  count = jl_quota_issuer_lend (&model->daemons[lender].issuer, customer + 1,
                                &cap, count, model->now_us);
  cap = cap_of (model, customer, borrower);
  jl_quota_issuer_borrow (&model->daemons[borrower].issuer, customer + 1, &cap,
                          count, model->now_us);
}

static void
exchange_shares (struct quota_model *model)
{
  for (unsigned i = 0; i < model->customer_count; i++)
    {
      unsigned sum = 0;

      for (unsigned zone = 0; zone < model->zone_count; zone++)
        {
          unsigned from = (zone + 1
                           + (unsigned)g_rand_int_range (
                               model->random, 0, (gint32)model->zone_count - 1))
                          % model->zone_count;

          borrow (model, i, zone, from);
          move_units (model, i, zone, from);
        }
      for (unsigned zone = 0; zone < model->zone_count; zone++)
        sum += model->customers[i].units[zone]
               + model->customers[i].arriving[zone];
      cr_assert_leq (sum, JL_QUOTA_SHARE_UNITS);
    }
}

void
quota_model_run (struct quota_model *model, uint64_t time_us)
{
  uint64_t end_us = model->now_us + time_us;

  for (; model->now_us < end_us; model->now_us += MODEL_STEP_US)
    {
      if (model->shares_move && model->now_us % EXCHANGE_US == 0)
        exchange_shares (model);
      for (unsigned i = 0; i < model->daemon_count; i++)
        step_daemon (model, i);
    }
}

unsigned
quota_model_issuer (struct quota_model *model, unsigned zone)
{
  unsigned found = G_MAXUINT;
  double sum = 0;

  for (unsigned i = 0; i < model->daemon_count; i++)
    {
      struct model_daemon *daemon = &model->daemons[i];

      if (daemon->zone != zone || daemon->down
          || model->now_us < daemon->frozen_until_us)
        continue;
      update_issuer (model, daemon);
      if (!daemon->issuer.active)
        continue;
      sum += daemon->issuer.part;
      if (found == G_MAXUINT
          || daemon->issuer.part > model->daemons[found].issuer.part)
        found = i;
    }
  cr_assert_leq (sum, 1 + 1e-9, "issuers of zone %u have %.3f", zone, sum);
  return found;
}

double
quota_model_worst (const struct quota_model *model, unsigned customer)
{
  const struct model_customer *checked = &model->customers[customer];
  double rate = checked->rate;
  double allowed
      = (rate * MODEL_WINDOW_US / 1e6 + rate) * (1 + OVER_RATIO) + SLACK;
  unsigned worst = 0;
  guint first = 0;

  for (guint i = 0; i < checked->runs->len; i++)
    {
      uint64_t at_us = g_array_index (checked->runs, uint64_t, i);

      while (g_array_index (checked->runs, uint64_t, first) + MODEL_WINDOW_US
                 <= at_us
             || (first < i
                 && g_array_index (checked->runs, uint64_t, first)
                        < checked->changed_us))
        first++;
      if (at_us >= checked->changed_us)
        worst = MAX (worst, i - first + 1);
    }
  return worst / allowed;
}

double
quota_model_refused_ratio (struct quota_model *model, unsigned customer)
{
  struct model_customer *checked = &model->customers[customer];
  unsigned refused = checked->refused;
  unsigned all = refused + checked->runs->len;

  checked->refused = 0;
  g_array_set_size (checked->runs, 0);
  return all > 0 ? (double)refused / all : 0;
}
