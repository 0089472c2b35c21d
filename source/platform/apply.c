/**
 * DOC: Replaces the configuration by compare-and-set.
 */

#include "jackdawladder/platform.h"

#include "platform/row.h"

#include <inttypes.h>
#include <string.h>

/* Limit on writes; the row is read back after a write of unknown outcome. */
#define APPLY_ATTEMPT_MAX 3

/**
 * enum apply_result - outcome of an apply according to the stored row
 * @APPLY_WON: this apply wrote the version
 * @APPLY_LOST: another apply wrote the version
 * @APPLY_PENDING: the row still has the previous version
 * @APPLY_UNKNOWN: the row no longer holds the version's apply identifier, or
 *                 could not be read
 */
enum apply_result
{
  APPLY_WON,
  APPLY_LOST,
  APPLY_PENDING,
  APPLY_UNKNOWN,
};

static bool
read_row (struct jl_platform *platform,
          struct jl_config_row *row,
          char **etag,
          GError **error)
{
  g_autofree char *value
      = jl_platform_read (platform, JL_PLATFORM_CONFIG_KEY, etag, error);

  return value != NULL && jl_config_row_parse (row, value, error);
}

bool
jl_platform_read_config (struct jl_platform *platform,
                         struct jl_stored_config *stored,
                         char **etag,
                         GError **error)
{
  struct jl_config_row row;

  if (!read_row (platform, &row, etag, error))
    return false;
  *stored = row.stored;
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
                 "version %" PRIu64 " is in force, not %" PRIu64 " as expected",
                 version, base_version);
  return false;
}

/*
 * Reads the row that the apply will replace and checks its version. @row is
 * zero-filled if there is none.
 */
static bool
read_base (struct jl_platform *platform,
           uint64_t base_version,
           struct jl_config_row *row,
           char **etag,
           GError **error)
{
  GError *cause = NULL;

  memset (row, 0, sizeof *row);
  if (!read_row (platform, row, etag, &cause))
    {
      if (!g_error_matches (cause, JL_PLATFORM_ERROR, JL_PLATFORM_ERROR_ABSENT))
        {
          /* Nothing was written, so the outcome of the apply is certain. */
          if (cause->code == JL_PLATFORM_ERROR_UNKNOWN)
            cause->code = JL_PLATFORM_ERROR_UNREACHABLE;
          g_propagate_error (error, cause);
          return false;
        }
      g_error_free (cause);
    }
  g_clear_pointer (&row->stored.text, g_free);
  if (row->stored.version == base_version)
    return true;
  return fail_conflict (row->stored.version, base_version, error);
}

static bool
write_row (struct jl_platform *platform,
           const char *value,
           const char *etag,
           GError **error)
{
  if (etag == NULL)
    return jl_platform_insert (platform, JL_PLATFORM_CONFIG_KEY, value, error);
  return jl_platform_replace (platform, JL_PLATFORM_CONFIG_KEY, value, etag,
                              error);
}

/* Reads the row back and determines which apply wrote the version of @next. */
static enum apply_result
check_apply (struct jl_platform *platform,
             const struct jl_config_row *next,
             uint64_t *version)
{
  g_autoptr (GError) error = NULL;
  struct jl_config_row row;
  const char *id;

  if (!read_row (platform, &row, NULL, &error))
    return g_error_matches (error, JL_PLATFORM_ERROR, JL_PLATFORM_ERROR_ABSENT)
               ? APPLY_PENDING
               : APPLY_UNKNOWN;
  g_free (row.stored.text);
  *version = row.stored.version;
  if (row.stored.version < next->stored.version)
    return APPLY_PENDING;
  id = jl_config_row_apply_id (&row, next->stored.version);
  if (id == NULL)
    return APPLY_UNKNOWN;
  return strcmp (id, next->stored.apply_id) == 0 ? APPLY_WON : APPLY_LOST;
}

static bool
fail_unknown (const GError *cause, GError **error)
{
  g_set_error (error, JL_PLATFORM_ERROR, JL_PLATFORM_ERROR_UNKNOWN,
               "the outcome cannot be determined: %s", cause->message);
  return false;
}

/*
 * Replaces the row that has @etag by @next. If a response is lost, the row is
 * read back. A write that is not visible yet may still be executed later, so it
 * is repeated; the condition makes the repetition safe.
 */
static bool
write_config (struct jl_platform *platform,
              const struct jl_config_row *next,
              const char *etag,
              GError **error)
{
  g_autofree char *value = jl_config_row_format (next);
  g_autoptr (GError) cause = NULL;
  uint64_t base_version = next->stored.version - 1;
  uint64_t version = base_version;
  bool maybe_written = false;

  for (int i = 0; i < APPLY_ATTEMPT_MAX; i++)
    {
      enum apply_result result;

      g_clear_error (&cause);
      if (write_row (platform, value, etag, &cause))
        return true;
      maybe_written = maybe_written || cause->code == JL_PLATFORM_ERROR_UNKNOWN;
      if (!maybe_written && cause->code != JL_PLATFORM_ERROR_CONFLICT)
        break;
      result = check_apply (platform, next, &version);
      if (result == APPLY_WON)
        return true;
      if (result == APPLY_LOST || !maybe_written)
        return fail_conflict (version, base_version, error);
    }
  if (maybe_written)
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
  struct jl_config_row base;
  struct jl_config_row next;

  if (!read_base (platform, base_version, &base, &etag, error))
    return false;
  if (base_version > 0 && etag == NULL)
    {
      g_set_error (error, JL_PLATFORM_ERROR, JL_PLATFORM_ERROR_REFUSED,
                   "platform: the row has no ETag");
      return false;
    }
  jl_config_row_next (&next, base_version == 0 ? NULL : &base, document);
  if (!write_config (platform, &next, etag, error))
    return false;
  *version = next.stored.version;
  return true;
}
