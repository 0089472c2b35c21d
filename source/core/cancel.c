/**
 * DOC: Cancellations of attempts at the daemons that received them.
 */

#include "cancel.h"

/* Delay before the second cancellation; it doubles for each further one. */
#define BACKOFF_MIN_US (20 * JL_USEC_PER_MSEC)
/* Maximum number of cancellations for one attempt. */
#define SEND_COUNT_MAX 10
/*
 * Maximum number of attempts whose cancellation is being repeated. Further
 * attempts get a single cancellation each.
 */
#define PENDING_CANCEL_MAX 4096

/**
 * struct pending_cancel - an attempt whose cancellation got no reply yet
 * @to: identity of the daemon to which the attempt was sent
 * @sent: number of cancellations sent
 * @timer: fires when the next cancellation is due
 */
struct pending_cancel
{
  struct jl_identity to;
  struct jl_attempt_id attempt;
  uint32_t sent;
  struct jl_timer timer;
};

struct jl_cancel_table
{
  GHashTable *pending; /* maps attempt numbers to struct pending_cancel */
};

struct jl_cancel_table *
jl_cancel_table_new (struct jl_core *core G_GNUC_UNUSED)
{
  struct jl_cancel_table *table = g_new0 (struct jl_cancel_table, 1);

  table->pending
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  return table;
}

void
jl_cancel_table_drop (struct jl_cancel_table *table)
{
  g_hash_table_destroy (table->pending);
  g_free (table);
}

void
jl_cancel_send (struct jl_core *core,
                struct jl_identity to,
                struct jl_attempt_id attempt)
{
  struct jl_effect_message *effect = jl_emit (core, JL_EFFECT_MESSAGE)->message;

  effect->to = jl_member_endpoint (to.member);
  effect->message.type = JL_MESSAGE_CANCEL;
  effect->message.from = core->identity;
  effect->message.to = to;
  effect->message.attempt = attempt;
  core->counts.messages_sent++;
}

static void
resend (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct pending_cancel *cancel
      = caa_container_of (timer, struct pending_cancel, timer);

  jl_cancel_send (core, cancel->to, cancel->attempt);
  if (++cancel->sent == SEND_COUNT_MAX)
    g_hash_table_remove (core->cancel_table->pending,
                         JL_HASH_KEY (cancel->attempt.number));
  else
    jl_timer_start (core->timers, timer,
                    core->now_us + (BACKOFF_MIN_US << (cancel->sent - 1)),
                    resend, core);
}

void
jl_cancel_send_until_answered (struct jl_core *core,
                               struct jl_identity to,
                               struct jl_attempt_id attempt)
{
  GHashTable *pending = core->cancel_table->pending;
  struct pending_cancel *cancel;

  if (g_hash_table_size (pending) >= PENDING_CANCEL_MAX)
    {
      jl_cancel_send (core, to, attempt);
      return;
    }
  cancel = g_new0 (struct pending_cancel, 1);
  cancel->to = to;
  cancel->attempt = attempt;
  g_hash_table_insert (pending, JL_HASH_KEY (attempt.number), cancel);
  resend (core, &cancel->timer);
}

void
jl_cancel_answered (struct jl_core *core, struct jl_attempt_id attempt)
{
  GHashTable *pending = core->cancel_table->pending;
  struct pending_cancel *cancel
      = g_hash_table_lookup (pending, JL_HASH_KEY (attempt.number));

  if (cancel == NULL || !jl_attempt_id_equal (cancel->attempt, attempt))
    return;
  jl_timer_stop (core->timers, &cancel->timer);
  g_hash_table_remove (pending, JL_HASH_KEY (attempt.number));
}
