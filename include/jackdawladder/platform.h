#ifndef JACKDAWLADDER_PLATFORM_H
#define JACKDAWLADDER_PLATFORM_H

/**
 * DOC: Client of the platform's table service.
 *
 * The protocol is conditional HTTP requests (RFC 9110). GET /table/KEY returns
 * a row with an ETag. PUT with "If-None-Match: *" inserts a row if it is
 * absent, PUT with "If-Match: ETAG" replaces it if it is unchanged, and status
 * 412 means that the condition failed. GET /table?prefix=P returns a JSON
 * object of keys and values. Each request blocks for at most the client's
 * timeout. jl_platform_apply_config() and jl_platform_claim() make at most
 * seven requests.
 */

#include "jackdawladder/base.h"

#define JL_PLATFORM_ERROR jl_platform_error_quark ()
GQuark jl_platform_error_quark (void);

/**
 * enum jl_platform_error - why a request to the platform failed
 * @JL_PLATFORM_ERROR_UNREACHABLE: the request was not executed
 * @JL_PLATFORM_ERROR_UNKNOWN: no valid response; the request may have been
 *                             executed
 * @JL_PLATFORM_ERROR_CONFLICT: the condition of the request failed
 * @JL_PLATFORM_ERROR_ABSENT: the row does not exist
 * @JL_PLATFORM_ERROR_REFUSED: any other error status, or a malformed row
 */
enum jl_platform_error
{
  JL_PLATFORM_ERROR_UNREACHABLE,
  JL_PLATFORM_ERROR_UNKNOWN,
  JL_PLATFORM_ERROR_CONFLICT,
  JL_PLATFORM_ERROR_ABSENT,
  JL_PLATFORM_ERROR_REFUSED,
};

/* Keys of the rows in the table. */
#define JL_PLATFORM_CONFIG_KEY "jackdawladder/config"
#define JL_PLATFORM_MEMBER_PREFIX "jackdawladder/member/"
#define JL_PLATFORM_CLAIM_PREFIX "jackdawladder/claim/"

struct jl_platform;

/**
 * jl_platform_new - creates a client, which several threads may share
 * @timeout_ms: limit for each request
 */
struct jl_platform *jl_platform_new (struct jl_endpoint endpoint,
                                     uint32_t timeout_ms);
void jl_platform_drop (struct jl_platform *platform);

/**
 * jl_platform_read - reads a row
 * @etag: receives the row's ETag; may be NULL; free with g_free()
 *
 * Return: the value, to be freed with g_free(), or NULL with @error set.
 */
char *jl_platform_read (struct jl_platform *platform,
                        const char *key,
                        char **etag,
                        GError **error);

/**
 * jl_platform_insert - inserts a row if it is absent
 *
 * Return: false with @error set, JL_PLATFORM_ERROR_CONFLICT if the row exists.
 */
bool jl_platform_insert (struct jl_platform *platform,
                         const char *key,
                         const char *value,
                         GError **error);

/**
 * jl_platform_replace - replaces a row if it still has @etag
 * @etag: NULL writes the row unconditionally
 */
bool jl_platform_replace (struct jl_platform *platform,
                          const char *key,
                          const char *value,
                          const char *etag,
                          GError **error);

/**
 * jl_platform_list - reads all rows whose keys begin with @prefix
 *
 * Return: map of keys to values, both char*, or NULL with @error set.
 */
GHashTable *jl_platform_list (struct jl_platform *platform,
                              const char *prefix,
                              GError **error);

/**
 * struct jl_stored_config - a configuration as stored in the table
 * @apply_id: random identifier of the apply operation that wrote it
 * @text: the document
 */
struct jl_stored_config
{
  uint64_t version;
  char apply_id[40];
  char *text;
};

/**
 * jl_platform_read_config - reads the configuration in force
 * @stored: receives it; free @stored->text with g_free()
 * @etag: receives the row's ETag; may be NULL; free with g_free()
 *
 * Return: false with @error set, JL_PLATFORM_ERROR_ABSENT if no configuration
 * was ever applied.
 */
bool jl_platform_read_config (struct jl_platform *platform,
                              struct jl_stored_config *stored,
                              char **etag,
                              GError **error);

/**
 * jl_platform_apply_config - replaces the configuration by compare-and-set
 * @text: the new document
 * @base_version: version that must be in force, 0 if there is none yet
 * @version: receives the new version, @base_version + 1
 *
 * If a response is lost, the function reads the row back and determines by the
 * apply identifier whether its own write or another one succeeded.
 *
 * Return: false with @error set, JL_PLATFORM_ERROR_CONFLICT if another apply
 * succeeded, JL_PLATFORM_ERROR_UNKNOWN if the outcome cannot be determined.
 */
bool jl_platform_apply_config (struct jl_platform *platform,
                               const char *text,
                               uint64_t base_version,
                               uint64_t *version,
                               GError **error);

/**
 * jl_platform_claim - claims a caller's idempotency key for a ticket
 * @key_hash: hash of the key
 * @owner: receives the ticket that owns the key; the first claim wins
 *
 * Return: false with @error set if the owner cannot be determined.
 */
bool jl_platform_claim (struct jl_platform *platform,
                        uint64_t key_hash,
                        struct jl_ticket ticket,
                        struct jl_ticket *owner,
                        GError **error);

#endif
