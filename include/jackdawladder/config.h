#ifndef JACKDAWLADDER_CONFIG_H
#define JACKDAWLADDER_CONFIG_H

/**
 * DOC: The operators' configuration document.
 *
 * One JSON document with comments, checked and applied as a whole. A
 * configuration never changes once it is made; it is shared by reference.
 */

#include "jackdawladder/base.h"

/* Largest document in bytes. */
#define JL_CONFIG_SIZE_MAX (UINT32_C (256) << 10)
#define JL_ZONE_MAX 32

#define JL_CONFIG_ERROR jl_config_error_quark ()
GQuark jl_config_error_quark (void);

/**
 * enum jl_config_error - why a document or settings file is refused
 * @JL_CONFIG_ERROR_SYNTAX: not JSON with comments, or text after its end
 * @JL_CONFIG_ERROR_KEY: unknown, duplicate or missing key
 * @JL_CONFIG_ERROR_TYPE: a value of another type
 * @JL_CONFIG_ERROR_RANGE: a number or size out of its range
 * @JL_CONFIG_ERROR_REFERENCE: names something that is not defined
 * @JL_CONFIG_ERROR_FILE: the file could not be read
 */
enum jl_config_error
{
  JL_CONFIG_ERROR_SYNTAX,
  JL_CONFIG_ERROR_KEY,
  JL_CONFIG_ERROR_TYPE,
  JL_CONFIG_ERROR_RANGE,
  JL_CONFIG_ERROR_REFERENCE,
  JL_CONFIG_ERROR_FILE,
};

/**
 * struct jl_service - one service of the operators
 * @name: unique in the document
 * @retry_percent: retries allowed in 100 first sendings, 0 to 100
 * @queue_wait_us: wait at a target above which its daemon sheds load
 * @cold_start_us: time over which a new target's share of work grows
 */
struct jl_service
{
  char name[JL_NAME_SIZE];
  uint32_t retry_percent;
  uint64_t queue_wait_us;
  uint64_t cold_start_us;
};

/**
 * struct jl_kind - one kind of request
 * @name: unique in the document
 * @service: index of the service that answers it
 * @method: HTTP method it matches, "*" for any
 * @path: it matches paths that start with this
 * @importance: class, 0 is the most important
 * @idempotent: whether it may run more than once
 * @deadline_us: how long a caller waits at most
 * @retry_tokens: retries for a whole tree that starts with this kind
 * @request_bytes: largest request body
 * @answer_bytes: largest answer body
 */
struct jl_kind
{
  char name[JL_NAME_SIZE];
  uint32_t service;
  char method[16];
  char path[128];
  uint32_t importance;
  bool idempotent;
  uint64_t deadline_us;
  uint32_t retry_tokens;
  uint64_t request_bytes;
  uint64_t answer_bytes;
};

struct jl_zone
{
  char name[JL_NAME_SIZE];
  char region[JL_NAME_SIZE];
};

/**
 * struct jl_config - a checked document
 * @version: version in the platform's table, 0 for a document that was
 *           only checked
 * @digest: XXH3 of @text
 * @text: the document as applied, zero-terminated
 */
struct jl_config
{
  int references;
  uint64_t version;
  uint64_t digest;
  char *text;
  size_t text_size;
  uint32_t class_count;
  char classes[JL_CLASS_MAX][JL_NAME_SIZE];
  uint32_t zone_count;
  struct jl_zone zones[JL_ZONE_MAX];
  uint32_t service_count;
  struct jl_service services[JL_SERVICE_MAX];
  uint32_t kind_count;
  struct jl_kind kinds[JL_KIND_MAX];
};

/**
 * jl_config_new - checks a document
 * @text: the document; need not be zero-terminated
 * @error: the message names the path in the document, such as
 *         "kinds[2].deadline_ms"
 *
 * Return: the configuration with one reference, or NULL with @error set.
 */
struct jl_config *
jl_config_new (const char *text, size_t size, uint64_t version, GError **error);

struct jl_config *jl_config_keep (struct jl_config *config);
void jl_config_drop (struct jl_config *config);

/**
 * jl_config_match - the first kind that matches, JL_NONE when none does
 */
uint32_t jl_config_match (const struct jl_config *config,
                          const char *method,
                          const char *path);

/**
 * jl_config_kind - index of a kind by name, JL_NONE when none has it
 */
uint32_t jl_config_kind (const struct jl_config *config, const char *name);

/**
 * jl_config_service - index of a service by name, JL_NONE when none has it
 */
uint32_t jl_config_service (const struct jl_config *config, const char *name);

#endif
