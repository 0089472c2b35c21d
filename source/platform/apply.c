/**
 * DOC: Puts configurations in force by compare-and-set.
 */

#include "jackdawladder/platform.h"

#include "platform/row.h"

#include <inttypes.h>
#include <string.h>

/* Writes at most, each read back when its outcome is not known. */
#define APPLY_TRIES 3

/**
 * enum verdict - what a row tells of an apply
 * @VERDICT_WON: its version is that of the apply
 * @VERDICT_LOST: its version is of another apply
 * @VERDICT_NOT_YET: the row is still the one before
 * @VERDICT_UNKNOWN: too many versions have followed, or no row could be read
 */
enum verdict
{
  VERDICT_WON,
  VERDICT_LOST,
  VERDICT_NOT_YET,
  VERDICT_UNKNOWN,
};

static bool
read_row (struct jl_platform *platform,
          struct jl_row *row,
          char **etag,
          GError **error)
{
  g_autofree char *value
      = jl_platform_read (platform, JL_PLATFORM_CONFIG_KEY, etag, error);

  return value != NULL && jl_row_parse (row, value, error);
}

bool
jl_platform_read_config (struct jl_platform *platform,
                         struct jl_applied *applied,
                         char **etag,
                         GError **error)
{
  struct jl_row row;

  if (!read_row (platform, &row, etag, error))
    return false;
  *applied = row.applied;
  return true;
}

static bool
fail_conflict (uint64_t version, uint64_t base_version, GError **error)
{
  if (version == base_version)
    g_set_error (error, JL_PLATFORM_ERROR, JL_PLATFORM_ERROR_CONFLICT,
                 "another apply has replaced version %" PRIu64, base_version);
  else
    g_set_error (error, JL_PLATFORM_ERROR, JL_PLATFORM_ERROR_CONFLICT,
                 "version %" PRIu64 " is in force, not %" PRIu64
                 " which this was to follow",
                 version, base_version);
  return false;
}

/* Reads the row that the apply is to replace; @row stays empty for none. */
static bool
read_base (struct jl_platform *platform,
           uint64_t base_version,
           struct jl_row *row,
           char **etag,
           GError **error)
{
  GError *cause = NULL;

  memset (row, 0, sizeof *row);
  if (!read_row (platform, row, etag, &cause))
    {
      if (!g_error_matches (cause, JL_PLATFORM_ERROR, JL_PLATFORM_ERROR_ABSENT))
        {
          /* Nothing was written, so a lost answer leaves no doubt. */
          if (cause->code == JL_PLATFORM_ERROR_UNKNOWN)
            cause->code = JL_PLATFORM_ERROR_UNREACHABLE;
          g_propagate_error (error, cause);
          return false;
        }
      g_error_free (cause);
    }
  g_clear_pointer (&row->applied.text, g_free);
  if (row->applied.version == base_version)
    return true;
  return fail_conflict (row->applied.version, base_version, error);
}

static bool
write_next (struct jl_platform *platform,
            const char *value,
            const char *etag,
            GError **error)
{
  if (etag == NULL)
    return jl_platform_insert (platform, JL_PLATFORM_CONFIG_KEY, value, error);
  return jl_platform_replace (platform, JL_PLATFORM_CONFIG_KEY, value, etag,
                              error);
}

/* Reads back who put the version of @next in force. */
static enum verdict
judge (struct jl_platform *platform,
       const struct jl_row *next,
       uint64_t *version)
{
  g_autoptr (GError) error = NULL;
  struct jl_row row;
  const char *id;

  if (!read_row (platform, &row, NULL, &error))
    return g_error_matches (error, JL_PLATFORM_ERROR, JL_PLATFORM_ERROR_ABSENT)
               ? VERDICT_NOT_YET
               : VERDICT_UNKNOWN;
  g_free (row.applied.text);
  *version = row.applied.version;
  if (row.applied.version < next->applied.version)
    return VERDICT_NOT_YET;
  id = jl_row_id (&row, next->applied.version);
  if (id == NULL)
    return VERDICT_UNKNOWN;
  return strcmp (id, next->applied.apply_id) == 0 ? VERDICT_WON : VERDICT_LOST;
}

static bool
fail_unknown (const GError *cause, GError **error)
{
  g_set_error (error, JL_PLATFORM_ERROR, JL_PLATFORM_ERROR_UNKNOWN,
               "the outcome could not be found out: %s", cause->message);
  return false;
}

/*
 * Writes @next in place of the row with @etag. An answer that is lost is
 * settled by reading back; a write that is not there yet may still come, so
 * it is sent again, which is harmless under its condition.
 */
static bool
settle (struct jl_platform *platform,
        const struct jl_row *next,
        const char *etag,
        GError **error)
{
  g_autofree char *value = jl_row_format (next);
  g_autoptr (GError) cause = NULL;
  uint64_t base_version = next->applied.version - 1;
  uint64_t version = base_version;
  bool doubtful = false;

  for (int i = 0; i < APPLY_TRIES; i++)
    {
      enum verdict verdict;

      g_clear_error (&cause);
      if (write_next (platform, value, etag, &cause))
        return true;
      doubtful = doubtful || cause->code == JL_PLATFORM_ERROR_UNKNOWN;
      if (!doubtful && cause->code != JL_PLATFORM_ERROR_CONFLICT)
        break;
      verdict = judge (platform, next, &version);
      if (verdict == VERDICT_WON)
        return true;
      if (verdict == VERDICT_LOST || !doubtful)
        return fail_conflict (version, base_version, error);
    }
  if (doubtful)
    return fail_unknown (cause, error);
  g_propagate_error (error, g_steal_pointer (&cause));
  return false;
}

bool
jl_platform_apply_config (struct jl_platform *platform,
                          const char *text,
                          uint64_t base_version,
                          uint64_t *version,
                          GError **error)
{
  g_autofree char *etag = NULL;
  g_autofree char *document = g_strdup (text);
  struct jl_row base;
  struct jl_row next;

  if (!read_base (platform, base_version, &base, &etag, error))
    return false;
  if (base_version > 0 && etag == NULL)
    {
      g_set_error (error, JL_PLATFORM_ERROR, JL_PLATFORM_ERROR_REFUSED,
                   "platform: the row has no tag");
      return false;
    }
  jl_row_follow (&next, base_version == 0 ? NULL : &base, document);
  if (!settle (platform, &next, etag, error))
    return false;
  *version = next.applied.version;
  return true;
}
