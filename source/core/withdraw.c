/**
 * DOC: Cancellations of sendings.
 */

#include "withdraw.h"

/* Wait before the second cancellation; it doubles from one to the next. */
#define FIRST_WAIT_US (20 * JL_USEC_PER_MSEC)
#define SEND_MAX 10
/* Sendings withdrawn at a time; those beyond get one cancellation. */
#define WITHDRAWAL_MAX 4096

/**
 * struct withdrawal - a sending whose cancellation was not answered yet
 */
struct withdrawal
{
  struct jl_identity to;
  struct jl_attempt_id attempt;
  uint32_t sent;
  struct jl_timer timer;
};

struct jl_withdraw
{
  GHashTable *by_number; /* number of the attempt to struct withdrawal */
};

struct jl_withdraw *
jl_withdraw_new (struct jl_core *core G_GNUC_UNUSED)
{
  struct jl_withdraw *withdraw = g_new0 (struct jl_withdraw, 1);

  withdraw->by_number
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  return withdraw;
}

void
jl_withdraw_drop (struct jl_withdraw *withdraw)
{
  g_hash_table_destroy (withdraw->by_number);
  g_free (withdraw);
}

void
jl_withdraw_send (struct jl_core *core,
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
send_again (void *context, struct jl_timer *timer)
{
  struct jl_core *core = context;
  struct withdrawal *withdrawal
      = caa_container_of (timer, struct withdrawal, timer);

  jl_withdraw_send (core, withdrawal->to, withdrawal->attempt);
  if (++withdrawal->sent == SEND_MAX)
    g_hash_table_remove (core->withdraw->by_number,
                         JL_HASH_KEY (withdrawal->attempt.number));
  else
    jl_timer_start (core->timers, timer,
                    core->now_us + (FIRST_WAIT_US << (withdrawal->sent - 1)),
                    send_again, core);
}

void
jl_withdraw_begin (struct jl_core *core,
                   struct jl_identity to,
                   struct jl_attempt_id attempt)
{
  GHashTable *by_number = core->withdraw->by_number;
  struct withdrawal *withdrawal;

  if (g_hash_table_size (by_number) >= WITHDRAWAL_MAX)
    {
      jl_withdraw_send (core, to, attempt);
      return;
    }
  withdrawal = g_new0 (struct withdrawal, 1);
  withdrawal->to = to;
  withdrawal->attempt = attempt;
  g_hash_table_insert (by_number, JL_HASH_KEY (attempt.number), withdrawal);
  send_again (core, &withdrawal->timer);
}

void
jl_withdraw_answered (struct jl_core *core, struct jl_attempt_id attempt)
{
  GHashTable *by_number = core->withdraw->by_number;
  struct withdrawal *withdrawal
      = g_hash_table_lookup (by_number, JL_HASH_KEY (attempt.number));

  if (withdrawal == NULL || !jl_attempt_id_equal (withdrawal->attempt, attempt))
    return;
  jl_timer_stop (core->timers, &withdrawal->timer);
  g_hash_table_remove (by_number, JL_HASH_KEY (attempt.number));
}
