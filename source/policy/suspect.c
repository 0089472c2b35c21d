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

static const struct jl_suspect_answers *
find_answers (const struct jl_suspect *suspect, uint32_t service)
{
  for (unsigned i = 0; i < suspect->service_count; i++)
    if (suspect->services[i].service == service)
      return &suspect->services[i];
  return NULL;
}

/* Returns the time at which a content was last cleared for a service, 0 for
 * never. */
static uint64_t
cleared_us (const struct jl_suspect *suspect, uint32_t service)
{
  const struct jl_suspect_answers *answers = find_answers (suspect, service);

  return answers != NULL ? answers->cleared_us : 0;
}

bool
jl_suspects_is_active (const struct jl_suspects *suspects,
                       const struct jl_suspect *suspect,
                       const struct jl_suspect_strike *strike,
                       uint64_t now_us)
{
  return strike->at_us > cleared_us (suspect, strike->service)
         && (now_us < strike->at_us
             || now_us - strike->at_us < suspects->limits.strike_us);
}

/**
 * struct tally - the active strikes against a content that count for a service
 * @last_us: time of the last one
 * @last_trial_us: time of the last one during a trial
 */
struct tally
{
  unsigned ends;
  unsigned trials;
  uint64_t last_us;
  uint64_t last_trial_us;
};

/* Whether a strike counts for a service: it is of this service, or the content
 * was never cleared for the service. */
static bool
counts_for (const struct jl_suspect *suspect,
            const struct jl_suspect_strike *strike,
            uint32_t service)
{
  uint64_t since_us = cleared_us (suspect, service);

  if (since_us == 0)
    return true;
  return strike->at_us > since_us
         && (strike->service == service || strike->service == JL_ANY_SERVICE);
}

static struct tally
count_strikes (const struct jl_suspects *suspects,
               const struct jl_suspect *suspect,
               uint32_t service,
               uint64_t now_us)
{
  struct tally tally = { 0 };

  for (unsigned i = 0; i < suspect->strike_count; i++)
    {
      const struct jl_suspect_strike *strike = &suspect->strikes[i];

      if (!jl_suspects_is_active (suspects, suspect, strike, now_us)
          || !counts_for (suspect, strike, service))
        continue;
      tally.ends++;
      tally.last_us = MAX (tally.last_us, strike->at_us);
      if (!strike->trial)
        continue;
      tally.trials++;
      tally.last_trial_us = MAX (tally.last_trial_us, strike->at_us);
    }
  return tally;
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
is_suspect (const struct jl_suspects *suspects, const struct tally *tally)
{
  return tally->ends >= suspects->limits.suspect_ends || tally->trials > 0;
}

static void
update_open (struct jl_suspects *suspects,
             struct jl_suspect *suspect,
             uint64_t now_us)
{
  struct tally tally
      = count_strikes (suspects, suspect, JL_ANY_SERVICE, now_us);
  bool is_head = !jl_content_is_known (suspect->content);

  set_open (suspects, suspect,
            is_suspect (suspects, &tally) || (is_head && tally.ends > 0));
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

/* Returns the strike by @target, NULL if there is none. */
static struct jl_suspect_strike *
find_strike (struct jl_suspect *suspect, uint64_t target)
{
  for (unsigned i = 0; i < suspect->strike_count; i++)
    if (suspect->strikes[i].target == target)
      return &suspect->strikes[i];
  return NULL;
}

/* Returns the entry for a new strike: a free one, or the oldest that was not
 * during a trial, or the oldest. */
static struct jl_suspect_strike *
take_slot (struct jl_suspect *suspect)
{
  struct jl_suspect_strike *slot = &suspect->strikes[0];

  if (suspect->strike_count < JL_STRIKES_MAX)
    return &suspect->strikes[suspect->strike_count++];
  for (unsigned i = 1; i < JL_STRIKES_MAX; i++)
    {
      struct jl_suspect_strike *other = &suspect->strikes[i];

      if (slot->trial != other->trial ? slot->trial
                                      : other->at_us < slot->at_us)
        slot = other;
    }
  return slot;
}

/* Adds what @strike tells beyond the known strike by the same target. */
static bool
merge_strike (struct jl_suspects *suspects,
              struct jl_suspect_strike *known,
              const struct jl_suspect_strike *strike)
{
  uint64_t repeat_us = suspects->limits.repeat_us;
  bool is_repeat
      = repeat_us != UINT64_MAX && strike->at_us >= known->at_us + repeat_us;
  bool changed = is_repeat || (strike->trial && !known->trial)
                 || (known->inferred && !strike->inferred);

  known->trial |= strike->trial;
  if (known->service == JL_ANY_SERVICE)
    known->service = strike->service;
  if (is_repeat)
    known->at_us = strike->at_us;
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

/* Forgets the answers before a strike of the same service. */
static void
forget_answers (struct jl_suspect *suspect,
                const struct jl_suspect_strike *strike)
{
  for (unsigned i = 0; i < suspect->service_count; i++)
    {
      struct jl_suspect_answers *answers = &suspect->services[i];

      if (strike->at_us > answers->answered_us
          && (strike->service == answers->service
              || strike->service == JL_ANY_SERVICE))
        answers->answers = 0;
    }
}

struct jl_suspect_strike *
jl_suspects_add_strike (struct jl_suspects *suspects,
                        uint64_t content,
                        const struct jl_suspect_strike *strike,
                        uint64_t now_us)
{
  struct jl_suspect *suspect = find_or_add (suspects, content);
  struct jl_suspect_strike *known = find_strike (suspect, strike->target);
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
  if (!changed || !jl_suspects_is_active (suspects, suspect, known, now_us))
    return NULL;
  if (strike->trial)
    end_trial (suspect, strike->at_us);
  forget_answers (suspect, strike);
  set_changed (suspects, suspect, now_us);
  update_open (suspects, suspect, now_us);
  return known;
}

/* Returns the answers of a service; replaces those of the service that has not
 * answered for the longest time if there are too many. */
static struct jl_suspect_answers *
find_or_add_answers (struct jl_suspect *suspect, uint32_t service)
{
  struct jl_suspect_answers *oldest = &suspect->services[0];

  for (unsigned i = 0; i < suspect->service_count; i++)
    {
      struct jl_suspect_answers *answers = &suspect->services[i];

      if (answers->service == service)
        return answers;
      if (answers->answered_us < oldest->answered_us)
        oldest = answers;
    }
  if (suspect->service_count < JL_ANSWERING_SERVICES_MAX)
    oldest = &suspect->services[suspect->service_count++];
  *oldest = (struct jl_suspect_answers){ .service = service };
  return oldest;
}

/* Whether an answer is the one that was counted last, reported again. */
static bool
is_same_answer (const struct jl_suspect_answers *answers, uint64_t at_us)
{
  uint64_t same_us = answers->answers > 0 ? JL_SAME_ANSWER_US : 0;

  return at_us <= answers->answered_us + same_us;
}

/* Returns the time of the last active strike of a service itself. */
static uint64_t
last_own_strike_us (const struct jl_suspects *suspects,
                    const struct jl_suspect *suspect,
                    uint32_t service,
                    uint64_t now_us)
{
  uint64_t last_us = 0;

  for (unsigned i = 0; i < suspect->strike_count; i++)
    {
      const struct jl_suspect_strike *strike = &suspect->strikes[i];

      if ((strike->service == service || strike->service == JL_ANY_SERVICE)
          && jl_suspects_is_active (suspects, suspect, strike, now_us))
        last_us = MAX (last_us, strike->at_us);
    }
  return last_us;
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
  struct tally tally;
  unsigned needed = suspects->limits.clear_answers;
  bool was_suspect;

  if (suspect == NULL)
    return false;
  answers = find_or_add_answers (suspect, service);
  if (is_same_answer (answers, at_us))
    return false;
  answers->answered_us = at_us;
  end_trial (suspect, at_us);
  set_changed (suspects, suspect, now_us);
  tally = count_strikes (suspects, suspect, service, now_us);
  if (tally.trials > 0 || answers->was_suspect)
    needed = suspects->limits.clear_answers_again;
  if (at_us <= last_own_strike_us (suspects, suspect, service, now_us)
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
  struct jl_suspect_strike *strike = find_strike (suspect, target);

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
    end_trial (suspect, at_us);
}

/* Returns the time until which a content is refused, 0 if it is not. */
static uint64_t
refused_until_us (const struct jl_suspect_limits *limits,
                  const struct tally *tally)
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
  struct tally tally;

  if (suspect == NULL)
    return verdict;
  tally = count_strikes (suspects, suspect, service, now_us);
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
