/**
 * DOC: Detection of poison requests, which end each target that runs them.
 */

#include "policy/suspect.h"

#include "policy/content.h"

/* Ends of different targets with which a content becomes suspect. */
#define SUSPECT_ENDS 2
/* Ends of different targets during trials with which it is refused. */
#define REFUSE_TRIALS 2

/* Time of refusal after the last trial, by the number of trials beyond
 * REFUSE_TRIALS. After it, another trial may begin. */
static const uint64_t refuse_us[] = {
  30 * JL_USEC_PER_SEC,
  120 * JL_USEC_PER_SEC,
  600 * JL_USEC_PER_SEC,
  1800 * JL_USEC_PER_SEC,
};

void
jl_suspects_init (struct jl_suspects *suspects)
{
  suspects->by_content
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  suspects->open_heads = g_hash_table_new (g_direct_hash, g_direct_equal);
  CDS_INIT_LIST_HEAD (&suspects->order);
  CDS_INIT_LIST_HEAD (&suspects->open);
  suspects->open_count = 0;
  suspects->inferred_count = 0;
}

void
jl_suspects_clear (struct jl_suspects *suspects)
{
  g_hash_table_destroy (suspects->open_heads);
  g_hash_table_destroy (suspects->by_content);
}

static struct jl_suspect *
find (const struct jl_suspects *suspects, uint64_t content)
{
  if (g_hash_table_size (suspects->by_content) == 0)
    return NULL;
  return g_hash_table_lookup (suspects->by_content, &content);
}

static bool
is_active (const struct jl_suspect *suspect, const struct jl_strike *strike)
{
  return strike->at_us > suspect->answered_us;
}

static void
count_strikes (const struct jl_suspect *suspect, struct jl_verdict *verdict)
{
  for (unsigned i = 0; i < suspect->strike_count; i++)
    {
      if (!is_active (suspect, &suspect->strikes[i]))
        continue;
      verdict->ends++;
      verdict->trials += suspect->strikes[i].trial;
    }
}

static uint64_t
last_trial_us (const struct jl_suspect *suspect)
{
  uint64_t last_us = 0;

  for (unsigned i = 0; i < suspect->strike_count; i++)
    if (suspect->strikes[i].trial && is_active (suspect, &suspect->strikes[i]))
      last_us = MAX (last_us, suspect->strikes[i].at_us);
  return last_us;
}

static gpointer
head_key (uint64_t content)
{
  return GUINT_TO_POINTER (jl_content_head (content));
}

static void
change_open_head (struct jl_suspects *suspects, uint64_t content, int change)
{
  gpointer key = head_key (content);
  gpointer value = g_hash_table_lookup (suspects->open_heads, key);
  int count = GPOINTER_TO_INT (value) + change;

  if (count > 0)
    g_hash_table_insert (suspects->open_heads, key, GINT_TO_POINTER (count));
  else
    g_hash_table_remove (suspects->open_heads, key);
}

static void
set_open (struct jl_suspects *suspects, struct jl_suspect *suspect, bool open)
{
  if (suspect->is_open == open)
    return;
  suspect->is_open = open;
  change_open_head (suspects, suspect->content, open ? 1 : -1);
  if (open)
    cds_list_add (&suspect->open, &suspects->open);
  else
    cds_list_del (&suspect->open);
  suspects->open_count += open ? 1 : -1;
}

static void
update_open (struct jl_suspects *suspects, struct jl_suspect *suspect)
{
  struct jl_verdict verdict = { 0 };
  unsigned needed = jl_content_is_known (suspect->content) ? SUSPECT_ENDS : 1;

  count_strikes (suspect, &verdict);
  set_open (suspects, suspect, verdict.ends >= needed);
  if (!suspect->is_open)
    suspect->trial_until_us = 0;
}

static void
remove_suspect (struct jl_suspects *suspects, struct jl_suspect *suspect)
{
  for (unsigned i = 0; i < suspect->strike_count; i++)
    suspects->inferred_count -= suspect->strikes[i].inferred;
  set_open (suspects, suspect, false);
  cds_list_del (&suspect->order);
  g_hash_table_remove (suspects->by_content, &suspect->content);
}

static struct jl_suspect *
oldest (const struct jl_suspects *suspects)
{
  return cds_list_first_entry (&suspects->order, struct jl_suspect, order);
}

static struct jl_suspect *
find_or_add (struct jl_suspects *suspects, uint64_t content)
{
  struct jl_suspect *suspect = find (suspects, content);

  if (suspect != NULL)
    return suspect;
  if (g_hash_table_size (suspects->by_content) >= JL_SUSPECTS_MAX)
    remove_suspect (suspects, oldest (suspects));
  suspect = g_new0 (struct jl_suspect, 1);
  suspect->content = content;
  cds_list_add_tail (&suspect->order, &suspects->order);
  g_hash_table_insert (suspects->by_content, &suspect->content, suspect);
  return suspect;
}

static void
set_changed (struct jl_suspects *suspects,
             struct jl_suspect *suspect,
             uint64_t now_us)
{
  suspect->changed_us = now_us;
  cds_list_del (&suspect->order);
  cds_list_add_tail (&suspect->order, &suspects->order);
}

/* Returns the strike by @target, NULL if there is none. */
static struct jl_strike *
find_strike (struct jl_suspect *suspect, uint32_t target)
{
  for (unsigned i = 0; i < suspect->strike_count; i++)
    if (suspect->strikes[i].target == target)
      return &suspect->strikes[i];
  return NULL;
}

/* Returns the entry for a new strike: a free one, or the oldest that was not
 * during a trial, or the oldest. */
static struct jl_strike *
take_slot (struct jl_suspect *suspect)
{
  struct jl_strike *slot = &suspect->strikes[0];

  if (suspect->strike_count < JL_STRIKES_MAX)
    return &suspect->strikes[suspect->strike_count++];
  for (unsigned i = 1; i < JL_STRIKES_MAX; i++)
    {
      struct jl_strike *other = &suspect->strikes[i];

      if (slot->trial != other->trial ? slot->trial
                                      : other->at_us < slot->at_us)
        slot = other;
    }
  return slot;
}

/* Adds what @strike tells beyond the known strike by the same target. */
static bool
merge_strike (struct jl_suspects *suspects,
              struct jl_strike *known,
              const struct jl_strike *strike)
{
  bool changed = (strike->trial && !known->trial)
                 || (known->inferred && !strike->inferred);

  known->trial |= strike->trial;
  if (known->inferred && !strike->inferred)
    {
      known->inferred = false;
      suspects->inferred_count--;
    }
  return changed;
}

/* Ends the trial in progress unless it was reported after @at_us. */
static void
end_trial (struct jl_suspect *suspect, uint64_t at_us)
{
  suspect->result_us = MAX (suspect->result_us, at_us);
  if (suspect->trial_us <= at_us)
    suspect->trial_until_us = 0;
}

bool
jl_suspects_add_strike (struct jl_suspects *suspects,
                        uint64_t content,
                        const struct jl_strike *strike,
                        uint64_t now_us)
{
  struct jl_suspect *suspect = find_or_add (suspects, content);
  struct jl_strike *known = find_strike (suspect, strike->target);
  bool changed = true;

  if (known != NULL)
    changed = merge_strike (suspects, known, strike);
  else
    {
      known = take_slot (suspect);
      suspects->inferred_count -= known->inferred;
      *known = *strike;
      suspects->inferred_count += known->inferred;
    }
  if (!changed || !is_active (suspect, known))
    return false;
  if (strike->trial)
    end_trial (suspect, strike->at_us);
  set_changed (suspects, suspect, now_us);
  update_open (suspects, suspect);
  return true;
}

bool
jl_suspects_clear_content (struct jl_suspects *suspects,
                           uint64_t content,
                           uint64_t at_us,
                           uint64_t now_us)
{
  struct jl_suspect *suspect = find (suspects, content);
  bool was_open;

  if (suspect == NULL || at_us <= suspect->answered_us)
    return false;
  was_open = suspect->is_open;
  suspect->answered_us = at_us;
  end_trial (suspect, at_us);
  set_changed (suspects, suspect, now_us);
  update_open (suspects, suspect);
  return was_open && !suspect->is_open;
}

/* Removes inferred strikes by a target from one content. */
static void
remove_inferred (struct jl_suspects *suspects,
                 struct jl_suspect *suspect,
                 uint32_t target,
                 uint64_t before_us)
{
  struct jl_strike *strike = find_strike (suspect, target);

  if (strike == NULL || !strike->inferred || strike->at_us >= before_us)
    return;
  *strike = suspect->strikes[--suspect->strike_count];
  suspects->inferred_count--;
  update_open (suspects, suspect);
}

void
jl_suspects_target_lives (struct jl_suspects *suspects,
                          uint32_t target,
                          uint64_t before_us)
{
  struct jl_suspect *suspect;

  if (suspects->inferred_count == 0)
    return;
  cds_list_for_each_entry (suspect, &suspects->order, order)
      remove_inferred (suspects, suspect, target, before_us);
}

void
jl_suspects_begin_trial (struct jl_suspects *suspects,
                         uint64_t content,
                         uint64_t at_us)
{
  struct jl_suspect *suspect = find (suspects, content);

  if (suspect == NULL || !suspect->is_open || at_us <= suspect->result_us)
    return;
  suspect->trial_us = MAX (suspect->trial_us, at_us);
  suspect->trial_until_us = suspect->trial_us + JL_TRIAL_LEASE_US;
}

void
jl_suspects_end_trial (struct jl_suspects *suspects,
                       uint64_t content,
                       uint64_t at_us)
{
  struct jl_suspect *suspect = find (suspects, content);

  if (suspect != NULL)
    end_trial (suspect, at_us);
}

static uint64_t
refused_until_us (const struct jl_suspect *suspect, unsigned trials)
{
  unsigned further = MIN (trials - REFUSE_TRIALS, G_N_ELEMENTS (refuse_us) - 1);

  return last_trial_us (suspect) + refuse_us[further];
}

struct jl_verdict
jl_suspects_judge (const struct jl_suspects *suspects,
                   uint64_t content,
                   uint64_t now_us)
{
  const struct jl_suspect *suspect = find (suspects, content);
  struct jl_verdict verdict = { 0 };

  if (suspect == NULL)
    return verdict;
  count_strikes (suspect, &verdict);
  if (verdict.trials >= REFUSE_TRIALS)
    verdict.until_us = refused_until_us (suspect, verdict.trials);
  if (now_us < verdict.until_us)
    verdict.suspicion = JL_SUSPICION_REFUSED;
  else if (now_us < suspect->trial_until_us)
    {
      verdict.suspicion = JL_SUSPICION_ON_TRIAL;
      verdict.until_us = suspect->trial_until_us;
    }
  else if (verdict.ends >= SUSPECT_ENDS)
    verdict.suspicion = JL_SUSPICION_SUSPECT;
  return verdict;
}

bool
jl_suspects_knows_head (const struct jl_suspects *suspects, uint32_t head)
{
  return suspects->open_count > 0
         && g_hash_table_contains (suspects->open_heads,
                                   GUINT_TO_POINTER (head));
}

void
jl_suspects_expire (struct jl_suspects *suspects, uint64_t now_us)
{
  while (!cds_list_empty (&suspects->order)
         && oldest (suspects)->changed_us + JL_STRIKE_EXPIRY_US < now_us)
    remove_suspect (suspects, oldest (suspects));
}

const char *
jl_suspicion_name (enum jl_suspicion suspicion)
{
  static const char *const names[]
      = { "none", "suspect", "on-trial", "refused" };

  return names[suspicion];
}
