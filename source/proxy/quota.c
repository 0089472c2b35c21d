/* Time after the start from which a daemon knows the others, from the rows of
 * the store, and the time until which it has its credit. */
#define START_KNOWN_US (800 * JL_USEC_PER_MSEC)
#define START_CREDIT_US (4 * JL_USEC_PER_SEC)
/* Daemons for each zone that it must know by then. */
#define START_DAEMONS_MIN 2
/**
 * DOC: Usage caps at the entry: the stocks of tokens, and requests that wait.
 */

#include "proxy/quota.h"

#include "proxy/announce.h"
#include "proxy/quota-impl.h"

#include <string.h>

#define STATUS_TOO_MANY_REQUESTS 429
/* Time for which a request waits for a token, and the times after which it is
 * asked for again. */
#define WAIT_US (30 * JL_USEC_PER_MSEC)
#define ASK_AGAIN_US (10 * JL_USEC_PER_MSEC)
/* Period of checks. While no issuer answers, one is asked each time. */
#define TICK_US (50 * JL_USEC_PER_MSEC)
/* Time after which the issuer is asked although nothing is needed, so that it
 * is supported. */
#define SUPPORT_PERIOD_US (250 * JL_USEC_PER_MSEC)
#define EXPIRE_PERIOD_US (5 * JL_USEC_PER_SEC)
/* Number of daemons of a zone that may become its issuer. */
#define CANDIDATES_MAX 16
/* Bound of the time for which an answer without tokens is believed. */
#define NONE_MAX_US (250 * JL_USEC_PER_MSEC)
/* Retry-After of requests that are refused while no issuer answers: the time
 * after which another daemon issues, and the random time that is added. */
#define FALLBACK_RETRY_MS 500
#define FALLBACK_RETRY_JITTER_MS 500
/* Bound of the customers that the state page lists. */
#define STATE_LINES_MAX 100u

static struct jl_quota_line *
get_line (struct jl_quota *quota, uint32_t customer)
{
  struct jl_quota_line *line
      = g_hash_table_lookup (quota->lines, GUINT_TO_POINTER (customer));

  if (line != NULL)
    return line;
  line = g_new0 (struct jl_quota_line, 1);
  jl_quota_stock_init (&line->stock, customer, jl_now ());
  CDS_INIT_LIST_HEAD (&line->waiting);
  g_hash_table_insert (quota->lines, GUINT_TO_POINTER (customer), line);
  return line;
}

static void
stop_waiting (struct jl_call *call)
{
  cds_list_del (&call->token_link);
  call->relay.hold = JL_HOLD_NONE;
  jl_timer_stop (call->proxy->loop->timers, &call->timer);
}

void
jl_quota_end_call (struct jl_call *call)
{
  if (call->relay.hold == JL_HOLD_TOKEN)
    stop_waiting (call);
}

static void
refuse (struct jl_quota *quota,
        struct jl_call *call,
        uint64_t after_ms,
        const char *cause)
{
  char fields[64];

  quota->refused++;
  jl_record (
      JL_RECORD_FAILURE, JL_RECORD_REQUEST_OVER_CAP,
      "id=%s route=%s customer=%s rate=%g cause=%s retry_after_ms=%" PRIu64
      " age_ms=%" PRIu64,
      jl_call_attempt_id (call), call->route->name, call->customer->label,
      call->customer->rate, cause, after_ms, jl_call_age_ms (call));
  g_snprintf (fields, sizeof fields, "Retry-After: %.3f\r\n",
              (double)after_ms / 1000);
  jl_call_respond (call, STATUS_TOO_MANY_REQUESTS, fields, "over-cap");
}

static void
refuse_over_cap (struct jl_quota *quota,
                 struct jl_quota_line *line,
                 struct jl_call *call,
                 uint64_t now_us)
{
  uint64_t until_us = MAX (line->stock.retry_us, line->stock.none_until_us);
  uint64_t after_us = until_us > now_us ? until_us - now_us : 0;

  refuse (quota, call, after_us / JL_USEC_PER_MSEC + 1, "cap");
}

/* Uses a part of the credit that a daemon has after its start, once it knows
 * the daemons that it shares the credit with. */
static bool
use_start_credit (struct jl_quota *quota,
                  struct jl_quota_line *line,
                  double rate,
                  uint64_t now_us)
{
  const struct jl_proxy *proxy = quota->proxy;
  unsigned daemons = proxy->roster.members->len;

  if (quota->met_issuer || now_us < proxy->started_us + START_KNOWN_US
      || now_us > proxy->started_us + START_CREDIT_US
      || daemons < START_DAEMONS_MIN * MAX (1, quota->zone_count))
    return false;
  if (!line->credited)
    line->credit = jl_quota_start_credit (rate, daemons, g_random_double ());
  line->credited = true;
  if (line->credit == 0)
    return false;
  line->credit--;
  return true;
}

/* Whether a request may run although no issuer answers. */
static bool
allows_without_issuer (struct jl_quota *quota,
                       struct jl_quota_line *line,
                       const struct jl_call *call,
                       uint64_t now_us)
{
  const struct jl_proxy *proxy = quota->proxy;
  uint64_t window_us = proxy->options->cap.window_us;
  struct jl_quota_allowance allowance;
  struct jl_quota_fallback fallback = {
    .lost_us = quota->in_contact ? call->token_wait_us : quota->lost_us,
    .zone_daemons = quota->known_count,
    .window_us = window_us,
  };

  if (!jl_quota_allowance_of (quota, line->stock.customer, &allowance))
    return true;
  if (use_start_credit (quota, line, call->customer->rate, now_us))
    return true;
  fallback.floor_rate = allowance.floor * 1e6 / (double)window_us
                        / MAX (1u, proxy->roster.members->len);
  return jl_quota_stock_fall_back (&line->stock, &fallback, g_random_double (),
                                   now_us);
}

/* Decides on a request, which does not wait any more, without an issuer.
 * Returns whether it may run; otherwise it was answered. */
static bool
fall_back (struct jl_quota *quota,
           struct jl_quota_line *line,
           struct jl_call *call,
           uint64_t now_us)
{
  if (allows_without_issuer (quota, line, call, now_us))
    {
      quota->fallback++;
      if (line->debt_epoch != quota->vote.epoch)
        line->debt = 0;
      line->debt++;
      line->debt_us = now_us;
      line->debt_epoch = quota->vote.epoch;
      return true;
    }
  refuse (quota, call,
          FALLBACK_RETRY_MS
              + (uint64_t)g_random_int_range (0, FALLBACK_RETRY_JITTER_MS),
          "no-issuer");
  return false;
}

/* Follows whether the issuer answers. */
static void
note_contact (struct jl_quota *quota, uint64_t now_us)
{
  bool in_contact = jl_quota_vote_in_contact (&quota->vote, now_us);
  const struct jl_member *issuer
      = jl_roster_find_key (&quota->proxy->roster, quota->vote.chosen);

  if (in_contact == quota->in_contact)
    return;
  quota->in_contact = in_contact;
  quota->met_issuer |= in_contact;
  if (!in_contact)
    quota->lost_us = now_us;
  jl_record (JL_RECORD_CHANGE, JL_RECORD_ISSUER_CONTACT,
             "issuer=%s answers=%d lost_ms=%" PRIu64,
             issuer != NULL ? issuer->name : "-", in_contact,
             (now_us - quota->lost_us) / JL_USEC_PER_MSEC);
}

static void
on_wait_timer (void *context, struct jl_timer *timer)
{
  struct jl_call *call = context;
  struct jl_quota *quota = call->proxy->quota;
  struct jl_quota_line *line = get_line (quota, call->customer->key);
  uint64_t now_us = jl_now ();

  note_contact (quota, now_us);
  if (now_us < call->token_wait_us + WAIT_US && quota->vote.chosen != 0)
    {
      call->token_ask = 0;
      jl_timer_start (call->proxy->loop->timers, timer, now_us + ASK_AGAIN_US,
                      on_wait_timer, call);
      jl_quota_ask_soon (quota, line);
      return;
    }
  stop_waiting (call);
  if (fall_back (quota, line, call, now_us))
    jl_entry_continue (call);
}

static void
wait_for_token (struct jl_quota *quota,
                struct jl_quota_line *line,
                struct jl_call *call,
                uint64_t now_us)
{
  call->relay.hold = JL_HOLD_TOKEN;
  call->token_wait_us = now_us;
  call->token_ask = 0;
  cds_list_add_tail (&call->token_link, &line->waiting);
  jl_timer_start (call->proxy->loop->timers, &call->timer,
                  now_us + ASK_AGAIN_US, on_wait_timer, call);
  jl_quota_ask_soon (quota, line);
}

static enum jl_quota_result
take (struct jl_quota *quota, struct jl_call *call, uint64_t now_us)
{
  struct jl_quota_line *line = get_line (quota, call->customer->key);
  bool granted;

  jl_quota_stock_arrive (&line->stock, now_us);
  if (!cds_list_empty (&line->waiting))
    {
      wait_for_token (quota, line, call, now_us);
      return JL_QUOTA_WAITING;
    }
  granted = jl_quota_stock_take (&line->stock, now_us);
  if (granted && jl_quota_stock_wants (&line->stock, now_us) > 0)
    jl_quota_ask_soon (quota, line);
  if (granted)
    return JL_QUOTA_GRANTED;
  if (now_us < line->stock.none_until_us)
    {
      refuse_over_cap (quota, line, call, now_us);
      return JL_QUOTA_REFUSED;
    }
  if (quota->in_contact)
    {
      wait_for_token (quota, line, call, now_us);
      return JL_QUOTA_WAITING;
    }
  return fall_back (quota, line, call, now_us) ? JL_QUOTA_GRANTED
                                               : JL_QUOTA_REFUSED;
}

enum jl_quota_result
jl_quota_take (struct jl_proxy *proxy, struct jl_call *call)
{
  if (call->customer == NULL || call->customer->rate <= 0)
    return JL_QUOTA_GRANTED;
  return take (proxy->quota, call, jl_now ());
}

/* Continues the requests that wait while there are tokens. A request that is
 * continued may end others that wait, so the list is begun anew each time. */
static void
use_tokens (struct jl_quota_line *line, uint64_t now_us)
{
  while (!cds_list_empty (&line->waiting)
         && jl_quota_stock_take (&line->stock, now_us))
    {
      struct jl_call *call
          = cds_list_first_entry (&line->waiting, struct jl_call, token_link);

      stop_waiting (call);
      jl_entry_continue (call);
    }
}

/* Returns the first request that waits for the answer with number @sequence,
 * NULL for none. */
static struct jl_call *
find_asked (struct jl_quota_line *line, uint32_t sequence)
{
  struct jl_call *call;

  cds_list_for_each_entry (call, &line->waiting, token_link)
  {
    if (call->token_ask == sequence)
      return call;
  }
  return NULL;
}

static void
apply_grant (struct jl_quota *quota,
             const struct beacon_quota_grant *grant,
             uint32_t sequence,
             uint64_t asked_us,
             uint64_t now_us)
{
  struct jl_quota_line *line = get_line (quota, grant->customer);
  struct jl_quota_stock *stock = &line->stock;
  struct jl_call *call;

  line->prefetch_us = 0;
  if (line->debt > 0)
    jl_quota_stock_charged (stock);
  line->debt = 0;
  stock->far = grant->far != 0;
  stock->level = grant->level_centi / 100.0;
  stock->none_until_us = now_us + MIN (grant->none_us, NONE_MAX_US);
  stock->retry_us
      = now_us + MAX (grant->none_us, grant->wait_ms * JL_USEC_PER_MSEC);
  jl_quota_stock_add (stock, grant->granted, asked_us, now_us);
  use_tokens (line, now_us);
  while ((call = find_asked (line, sequence)) != NULL)
    {
      stop_waiting (call);
      refuse_over_cap (quota, line, call, now_us);
    }
}

/* Decides on all requests that wait, after an answer of a daemon that does not
 * issue. */
static void
fall_back_all (struct jl_quota *quota, uint64_t now_us)
{
  GList *lines = g_hash_table_get_values (quota->lines);

  /* An answered connection may deliver a request of a further customer. */
  for (GList *link = lines; link != NULL; link = link->next)
    {
      struct jl_quota_line *line = link->data;

      while (!cds_list_empty (&line->waiting))
        {
          struct jl_call *call = cds_list_first_entry (
              &line->waiting, struct jl_call, token_link);

          stop_waiting (call);
          if (fall_back (quota, line, call, now_us))
            jl_entry_continue (call);
        }
    }
  g_list_free (lines);
}

/* Returns the time of the request with number @sequence, 0 if it is too old. */
static uint64_t
asked_at (const struct jl_quota *quota, uint32_t sequence)
{
  if (sequence == 0 || quota->sequence - sequence >= JL_QUOTA_ASKS)
    return 0;
  return quota->asked_us[sequence % JL_QUOTA_ASKS];
}

/* Asks for the customers whose requests have run without a token. */
static void
report_debts (struct jl_quota *quota)
{
  GList *lines = g_hash_table_get_values (quota->lines);

  for (GList *link = lines; link != NULL; link = link->next)
    if (((struct jl_quota_line *)link->data)->debt > 0)
      jl_quota_ask_soon (quota, link->data);
  g_list_free (lines);
}

/* Notes the list that an issuer uses. It has answered after it was asked. */
static void
hear_list (struct jl_quota *quota,
           const struct beacon_quota_list *list,
           uint64_t asked_us)
{
  struct jl_quota_list_id id = { list->list_version, list->tag };
  uint64_t age_us = list->age_ms * JL_USEC_PER_MSEC;

  jl_quota_quorum_hear (&quota->quorum, id,
                        asked_us > age_us ? asked_us - age_us : 0);
}

void
jl_quota_answered (struct jl_quota *quota,
                   uint32_t daemon,
                   const struct beacon_quota_answer *answer,
                   const struct beacon_quota_list *list,
                   uint64_t now_us)
{
  uint64_t asked_us = asked_at (quota, answer->sequence);
  bool chosen = daemon == quota->vote.chosen;
  bool was_in_contact = quota->in_contact;

  if (asked_us == 0)
    return;
  hear_list (quota, list, asked_us);
  if (answer->state == JL_QUOTA_RESIGNED)
    jl_quota_vote_release (&quota->vote, daemon, now_us);
  else if (chosen)
    jl_quota_vote_answered (&quota->vote, answer->epoch, answer->stamp,
                            list->part_millionths / JL_QUOTA_MILLION,
                            answer->state == JL_QUOTA_ISSUES, now_us);
  note_contact (quota, now_us);
  for (unsigned i = 0; i < answer->grants.grants_len; i++)
    apply_grant (quota, &answer->grants.grants_val[i], answer->sequence,
                 asked_us, now_us);
  if (chosen && answer->state != JL_QUOTA_ISSUES)
    fall_back_all (quota, now_us);
  else if (quota->in_contact && !was_in_contact)
    report_debts (quota);
}

/* Notes whether the configuration in force has customers. */
static void
check_site (struct jl_quota *quota)
{
  const struct jl_site *site = quota->proxy->site;

  if (site == NULL || site->version == quota->site_version)
    return;
  quota->site_version = site->version;
  /* Also without caps, so that there is an issuer when a cap is added. */
  quota->has_customers
      = site->customers != NULL && site->customers->list->len > 0;
}

static gboolean
is_unseen (gpointer key, gpointer value, gpointer context)
{
  struct jl_quota_line *line = value;

  (void)key;
  return !line->is_pending && cds_list_empty (&line->waiting)
         && *(const uint64_t *)context
                > line->stock.seen_us + JL_QUOTA_UNSEEN_US;
}

static void
expire (struct jl_quota *quota, uint64_t now_us)
{
  quota->expired_us = now_us;
  g_hash_table_foreach_remove (quota->lines, is_unseen, &now_us);
  jl_quota_expire_accounts (quota, now_us);
}

static void
choose_issuer (struct jl_quota *quota, uint64_t now_us)
{
  uint32_t candidates[CANDIDATES_MAX];
  unsigned count = jl_quota_list_candidates (quota, candidates,
                                             G_N_ELEMENTS (candidates), now_us);

  /* The daemon that stops has announced to issue no more. */
  if (quota->proxy->stopping)
    jl_quota_vote_release (&quota->vote, quota->proxy->self->key, now_us);
  jl_quota_vote_choose (&quota->vote, candidates, count, now_us);
  note_contact (quota, now_us);
}

/* Whether the issuer has to be asked although no request waits: an answer was
 * lost, none has come, or the support ends. */
static bool
is_ask_due (const struct jl_quota *quota, uint64_t now_us)
{
  const struct jl_quota_vote *vote = &quota->vote;

  return !quota->in_contact || now_us >= vote->asked_us + SUPPORT_PERIOD_US
         || (vote->unanswered_us != 0
             && now_us >= vote->unanswered_us + ASK_AGAIN_US);
}

static void
tick (struct jl_quota *quota, uint64_t now_us)
{
  check_site (quota);
  if (!quota->has_customers)
    return;
  jl_quota_count_zone (quota, now_us);
  jl_quota_update_issuer (quota, now_us);
  jl_quota_shares_tick (quota, now_us);
  jl_quota_members_tick (quota, now_us);
  jl_quota_exchange_tick (quota, now_us);
  choose_issuer (quota, now_us);
  if (is_ask_due (quota, now_us))
    jl_quota_ask (quota, now_us);
  if (now_us >= quota->expired_us + EXPIRE_PERIOD_US)
    expire (quota, now_us);
}

static void
on_tick_timer (void *context, struct jl_timer *timer)
{
  struct jl_quota *quota = context;

  tick (quota, jl_now ());
  jl_loop_start_timer (quota->proxy->loop, timer, TICK_US, on_tick_timer,
                       quota);
}

struct jl_quota *
jl_quota_new (struct jl_proxy *proxy)
{
  struct jl_quota *quota = g_new0 (struct jl_quota, 1);

  quota->proxy = proxy;
  quota->lines
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  quota->lost_us = proxy->started_us;
  /* So that no late answer to a former incarnation matches. */
  quota->sequence = g_random_int ();
  quota->zone_count = MAX (1u, proxy->options->zone_count);
  quota->known_count = 1;
  CDS_INIT_LIST_HEAD (&quota->pending);
  jl_quota_vote_init (&quota->vote, proxy->started_us);
  jl_quota_quorum_init (&quota->quorum, proxy->self->key, proxy->started_us);
  jl_quota_issuer_init (&quota->issuer);
  jl_loop_start_timer (proxy->loop, &quota->tick_timer, TICK_US, on_tick_timer,
                       quota);
  return quota;
}

static void
append (GString *text, const char *name, uint64_t value)
{
  g_string_append_printf (text, "jackdawladder_%s %" PRIu64 "\n", name, value);
}

void
jl_quota_append_metrics (const struct jl_quota *quota, GString *text)
{
  append (text, "quota_tokens_issued_total", quota->issuer.issued);
  append (text, "quota_tokens_refused_total", quota->issuer.refused);
  append (text, "quota_tokens_asked_total", quota->asked);
  append (text, "quota_requests_refused_total", quota->refused);
  append (text, "quota_fallback_total", quota->fallback);
  append (text, "quota_datagrams_sent_total", quota->datagrams);
  append (text, "quota_units_given_total", quota->units_given);
  append (text, "quota_tokens_lent_total", quota->tokens_lent);
  append (text, "quota_tokens_borrowed_total", quota->tokens_borrowed);
  append (text, "quota_zone_bytes_sent_total", quota->zone_bytes);
  append (text, "quota_issues", quota->issuer.active);
  append (text, "quota_in_contact", quota->in_contact);
}

void
jl_quota_append_state (const struct jl_quota *quota, GString *text)
{
  const struct jl_member *issuer
      = jl_roster_find_key (&quota->proxy->roster, quota->vote.chosen);
  const struct jl_site *site = quota->proxy->site;
  uint64_t now_us = jl_now ();
  GHashTableIter iterator;
  gpointer value;
  unsigned listed = 0;

  if (!quota->has_customers)
    return;
  g_string_append_printf (
      text,
      "# issuer: name=%s answers=%d since_ms=%" PRIu64
      " part=%.3f list=%" PRIu64 " members=%u known=%u zones=%u\n",
      issuer != NULL ? issuer->name : "-", quota->in_contact,
      (now_us - quota->vote.chosen_us) / JL_USEC_PER_MSEC, quota->issuer.part,
      quota->quorum.adopted.version, quota->quorum.list.count,
      quota->known_count, quota->zone_count);
  g_hash_table_iter_init (&iterator, quota->lines);
  while (listed < STATE_LINES_MAX
         && g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct jl_quota_stock *stock
          = &((const struct jl_quota_line *)value)->stock;
      const struct jl_customer *customer
          = jl_customers_find (site->customers, stock->customer);

      if (customer == NULL)
        continue;
      listed++;
      g_string_append_printf (
          text, "# cap: customer=%s rate=%g share=%.4f far=%d tokens=%u\n",
          customer->label, customer->rate,
          jl_quota_share_of (quota, stock->customer), stock->far,
          jl_quota_stock_count (stock, now_us));
    }
}
