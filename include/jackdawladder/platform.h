#ifndef JACKDAWLADDER_PLATFORM_H
#define JACKDAWLADDER_PLATFORM_H

/**
 * DOC: Client of the platform's table service.
 *
 * The table is spoken to in conditional HTTP requests (RFC 9110): GET
 * /table/KEY gives a row with an ETag, PUT with If-None-Match: * inserts it
 * if it is absent, PUT with If-Match: ETAG replaces it if it is unchanged,
 * and 412 says that the condition did not hold. GET /table?prefix=P gives a
 * JSON object of keys and values. Each request blocks for at most the time-out;
 * jl_platform_apply_config() and jl_platform_claim() make at most seven.
 */

#include "jackdawladder/base.h"

#define JL_PLATFORM_ERROR jl_platform_error_quark ()
GQuark jl_platform_error_quark (void);

/**
 * enum jl_platform_error - how a call to the platform failed
 * @JL_PLATFORM_ERROR_UNREACHABLE: it was certainly not carried out
 * @JL_PLATFORM_ERROR_UNKNOWN: no answer; it may have been carried out
 * @JL_PLATFORM_ERROR_CONFLICT: the condition did not hold
 * @JL_PLATFORM_ERROR_ABSENT: no such row
 * @JL_PLATFORM_ERROR_REFUSED: any other answer
 */
enum jl_platform_error
{
  JL_PLATFORM_ERROR_UNREACHABLE,
  JL_PLATFORM_ERROR_UNKNOWN,
  JL_PLATFORM_ERROR_CONFLICT,
  JL_PLATFORM_ERROR_ABSENT,
  JL_PLATFORM_ERROR_REFUSED,
};

/* Rows of the table that the project uses. */
#define JL_PLATFORM_CONFIG_KEY "jackdawladder/config"
#define JL_PLATFORM_MEMBER_PREFIX "jackdawladder/member/"
#define JL_PLATFORM_CLAIM_PREFIX "jackdawladder/claim/"

struct jl_platform;

/**
 * jl_platform_new - a client; usable from several threads
 */
struct jl_platform *jl_platform_new (struct jl_endpoint endpoint,
                                     uint32_t timeout_ms);
void jl_platform_drop (struct jl_platform *platform);

/**
 * jl_platform_read - reads a row
 * @etag: receives its tag, may be NULL; free with g_free()
 *
 * Return: the value, zero-terminated, or NULL with @error set.
 */
char *jl_platform_read (struct jl_platform *platform,
                        const char *key,
                        char **etag,
                        GError **error);

/**
 * jl_platform_insert - inserts a row if it is absent
 */
bool jl_platform_insert (struct jl_platform *platform,
                         const char *key,
                         const char *value,
                         GError **error);

/**
 * jl_platform_replace - replaces a row if it still has @etag
 * @etag: NULL replaces it whatever it is
 */
bool jl_platform_replace (struct jl_platform *platform,
                          const char *key,
                          const char *value,
                          const char *etag,
                          GError **error);

/**
 * jl_platform_list - keys and values of all rows whose keys start so
 *
 * Return: from char* to char*, or NULL with @error set.
 */
GHashTable *jl_platform_list (struct jl_platform *platform,
                              const char *prefix,
                              GError **error);

/**
 * struct jl_applied - a configuration as it stands in the table
 * @apply_id: drawn by the one who applied it
 */
struct jl_applied
{
  uint64_t version;
  char apply_id[40];
  char *text;
};

/**
 * jl_platform_read_config - the configuration in force
 *
 * Return: false with JL_PLATFORM_ERROR_ABSENT while none was ever applied.
 * Free @applied->text with g_free().
 */
bool jl_platform_read_config (struct jl_platform *platform,
                              struct jl_applied *applied,
                              char **etag,
                              GError **error);

/**
 * jl_platform_apply_config - puts a document in force, if @base_version still
 * is the version in force
 * @base_version: 0 when there is none yet
 * @version: receives the new version, @base_version + 1
 *
 * When an answer was lost it reads the row back and finds out by its apply
 * identifier who won.
 *
 * Return: false with JL_PLATFORM_ERROR_CONFLICT when another apply won,
 * JL_PLATFORM_ERROR_UNKNOWN when the outcome could not be found out.
 */
bool jl_platform_apply_config (struct jl_platform *platform,
                               const char *text,
                               uint64_t base_version,
                               uint64_t *version,
                               GError **error);

/**
 * jl_platform_claim - claims a caller's key for a ticket
 * @owner: receives the ticket whose claim stands
 *
 * Return: false with @error when that is not certain.
 */
bool jl_platform_claim (struct jl_platform *platform,
                        uint64_t key_hash,
                        struct jl_ticket ticket,
                        struct jl_ticket *owner,
                        GError **error);

#endif
