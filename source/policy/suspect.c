/**
 * DOC: Detection of poison requests, which end each target that runs them.
 */

#include "policy/suspect.h"

#include "policy/content-id.h"

void
jl_suspects_init (struct jl_suspects *suspects,
                  const struct jl_suspect_limits *limits)
{
  suspects->limits = *limits;
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

struct jl_suspect *
jl_suspects_find (const struct jl_suspects *suspects, uint64_t content)
{
  if (g_hash_table_size (suspects->by_content) == 0)
    return NULL;
  return g_hash_table_lookup (suspects->by_content, &content);
}

static void
change_open_head (struct jl_suspects *suspects, uint64_t content, int change)
{
  gpointer key = GUINT_TO_POINTER (jl_content_head (content));
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

/* Whether a content with such strikes is suspect, or refused. A lost trial is
 * enough, since others had seen ends before it began. */
static bool
is_suspect (const struct jl_suspects *suspects,
            const struct jl_suspect_tally *tally)
{
  return tally->ends >= suspects->limits.suspect_ends || tally->trials > 0;
}

static void
update_open (struct jl_suspects *suspects,
             struct jl_suspect *suspect,
             uint64_t now_us)
{
  struct jl_suspect_tally tally = jl_suspect_count_strikes (
      suspect, &suspects->limits, JL_ANY_SERVICE, now_us);
  bool is_head = !jl_content_is_known (suspect->content);

  set_open (suspects, suspect,
            is_suspect (suspects, &tally) || (is_head && tally.ends > 0));
  if (!suspect->is_open)
    suspect->trial_until_us = 0;
}

static void
remove_suspect (struct jl_suspects *suspects, struct jl_suspect *suspect)
{
  suspects->inferred_count -= jl_suspect_inferred_count (suspect);
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
  struct jl_suspect *suspect = jl_suspects_find (suspects, content);

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

/* Runs after a change of the strikes of a content that had @before inferred
 * ones. */
static void
update_inferred (struct jl_suspects *suspects,
                 const struct jl_suspect *suspect,
                 unsigned before)
{
  suspects->inferred_count += jl_suspect_inferred_count (suspect) - before;
}

struct jl_suspect_strike *
jl_suspects_add_strike (struct jl_suspects *suspects,
                        uint64_t content,
                        const struct jl_suspect_strike *strike,
                        uint64_t now_us)
{
  struct jl_suspect *suspect = find_or_add (suspects, content);
  unsigned inferred = jl_suspect_inferred_count (suspect);
  bool changed;
  struct jl_suspect_strike *known
      = jl_suspect_put_strike (suspect, &suspects->limits, strike, &changed);

  update_inferred (suspects, suspect, inferred);
  if (!changed
      || !jl_suspect_is_active (suspect, &suspects->limits, known, now_us))
    return NULL;
  if (strike->trial)
    jl_suspect_end_trial (suspect, strike->at_us);
  jl_suspect_forget_answers (suspect, strike);
  set_changed (suspects, suspect, now_us);
  update_open (suspects, suspect, now_us);
  return known;
}

static void
clear_for_service (struct jl_suspect_answers *answers,
                   uint64_t at_us,
                   bool was_suspect)
{
  answers->answers = 0;
  answers->cleared_us = at_us;
  answers->was_suspect |= was_suspect;
}

bool
jl_suspects_count_answer (struct jl_suspects *suspects,
                          uint64_t content,
                          uint32_t service,
                          uint64_t at_us,
                          uint64_t now_us)
{
  struct jl_suspect *suspect = jl_suspects_find (suspects, content);
  struct jl_suspect_answers *answers;
  struct jl_suspect_tally tally;
  unsigned needed = suspects->limits.clear_answers;
  bool was_suspect;

  if (suspect == NULL)
    return false;
  answers = jl_suspect_get_answers (suspect, service);
  if (jl_suspect_is_same_answer (answers, at_us))
    return false;
  answers->answered_us = at_us;
  jl_suspect_end_trial (suspect, at_us);
  set_changed (suspects, suspect, now_us);
  tally
      = jl_suspect_count_strikes (suspect, &suspects->limits, service, now_us);
  if (tally.trials > 0 || answers->was_suspect)
    needed = suspects->limits.clear_answers_again;
  if (at_us <= jl_suspect_last_own_strike_us (suspect, &suspects->limits,
                                              service, now_us)
      || ++answers->answers < needed)
    return false;
  was_suspect = is_suspect (suspects, &tally);
  clear_for_service (answers, at_us, was_suspect);
  update_open (suspects, suspect, now_us);
  return was_suspect;
}

/* Removes inferred strikes by a target from one content. */
static void
remove_inferred (struct jl_suspects *suspects,
                 struct jl_suspect *suspect,
                 uint64_t target,
                 uint64_t before_us)
{
  struct jl_suspect_strike *strike = jl_suspect_find_strike (suspect, target);

  if (strike == NULL || !strike->inferred || strike->at_us >= before_us)
    return;
  *strike = suspect->strikes[--suspect->strike_count];
  suspects->inferred_count--;
  update_open (suspects, suspect, before_us);
}

void
jl_suspects_target_lives (struct jl_suspects *suspects,
                          uint64_t target,
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
  struct jl_suspect *suspect = jl_suspects_find (suspects, content);

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
  struct jl_suspect *suspect = jl_suspects_find (suspects, content);

  if (suspect != NULL)
    jl_suspect_end_trial (suspect, at_us);
}

/* Returns the time until which a content is refused, 0 if it is not. */
static uint64_t
refused_until_us (const struct jl_suspect_limits *limits,
                  const struct jl_suspect_tally *tally)
{
  unsigned further;

  if (limits->refuse_ends > 0 && tally->ends >= limits->refuse_ends)
    return tally->last_us + limits->strike_us;
  if (limits->refuse_trials == 0 || tally->trials < limits->refuse_trials)
    return 0;
  further = MIN (tally->trials - limits->refuse_trials, JL_REFUSALS_MAX - 1);
  return tally->last_trial_us + limits->refuse_us[further];
}

struct jl_verdict
jl_suspects_judge (const struct jl_suspects *suspects,
                   uint64_t content,
                   uint32_t service,
                   uint64_t now_us)
{
  const struct jl_suspect *suspect = jl_suspects_find (suspects, content);
  struct jl_verdict verdict = { 0 };
  struct jl_suspect_tally tally;

  if (suspect == NULL)
    return verdict;
  tally
      = jl_suspect_count_strikes (suspect, &suspects->limits, service, now_us);
  verdict.ends = tally.ends;
  verdict.trials = tally.trials;
  verdict.until_us = refused_until_us (&suspects->limits, &tally);
  if (now_us < verdict.until_us)
    verdict.suspicion = JL_SUSPICION_REFUSED;
  else if (!is_suspect (suspects, &tally))
    verdict.suspicion = JL_SUSPICION_NONE;
  else if (now_us < suspect->trial_until_us)
    {
      verdict.suspicion = JL_SUSPICION_ON_TRIAL;
      verdict.until_us = suspect->trial_until_us;
    }
  else
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

uint64_t
jl_suspects_next_expiry (const struct jl_suspects *suspects)
{
  if (g_hash_table_size (suspects->by_content) == 0)
    return UINT64_MAX;
  return oldest (suspects)->changed_us + suspects->limits.expiry_us;
}

void
jl_suspects_expire (struct jl_suspects *suspects, uint64_t now_us)
{
  while (jl_suspects_next_expiry (suspects) <= now_us)
    remove_suspect (suspects, oldest (suspects));
}

const char *
jl_suspicion_name (enum jl_suspicion suspicion)
{
  static const char *const names[]
      = { "none", "suspect", "on-trial", "refused" };

  return names[suspicion];
}
