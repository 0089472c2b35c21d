#ifndef JACKDAWLADDER_CONFIG_H
#define JACKDAWLADDER_CONFIG_H

/**
 * DOC: The configuration document.
 *
 * The configuration is one JSON document with comments, validated and applied
 * as a whole. A struct jl_config is immutable and reference-counted.
 */

#include "jackdawladder/base.h"

/* Maximum size of a document in bytes. */
#define JL_CONFIG_BYTES_MAX (UINT32_C (256) << 10)
/* Maximum number of availability zones in a configuration. */
#define JL_ZONE_MAX 32

#define JL_CONFIG_ERROR jl_config_error_quark ()
GQuark jl_config_error_quark (void);

/**
 * enum jl_config_error - why a document or settings file is rejected
 * @JL_CONFIG_ERROR_SYNTAX: invalid JSON, or trailing text
 * @JL_CONFIG_ERROR_KEY: unknown, duplicate or missing key, or duplicate name
 * @JL_CONFIG_ERROR_TYPE: a value has the wrong type
 * @JL_CONFIG_ERROR_RANGE: a value, length or format is out of range
 * @JL_CONFIG_ERROR_REFERENCE: reference to an undefined service or class, or a
 *                             kind that can never match
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
 * struct jl_service - configuration of a service
 * @name: unique in the document
 * @retry_percent: retry budget as a percentage of first attempts, 0 to 100
 * @queue_wait_us: queueing delay above which the daemon sheds load
 * @cold_start_us: time over which a new target's share of the load grows to
 *                 its full value
 */
struct jl_service
{
  char name[JL_NAME_SIZE];
  uint32_t retry_percent;
  uint64_t queue_wait_us;
  uint64_t cold_start_us;
};

/**
 * struct jl_kind - configuration of a kind of request
 * @name: unique in the document
 * @service: index of the service that handles the requests
 * @method: HTTP method to match, "*" for any
 * @path: path prefix to match
 * @importance: index of the importance class, 0 is the most important
 * @idempotent: whether a request may run more than once
 * @deadline_us: maximum time that a caller waits for the response
 * @retry_tokens: retry budget of a whole call tree whose root is of this kind
 * @request_bytes: maximum size of the request body
 * @answer_bytes: maximum size of the response body
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

/**
 * struct jl_zone - an availability zone
 * @name: unique in the document
 * @region: region of the zone
 */
struct jl_zone
{
  char name[JL_NAME_SIZE];
  char region[JL_NAME_SIZE];
};

/**
 * struct jl_config - a validated document
 * @ref_count: accessed atomically
 * @version: version in the platform's table, 0 for a document that was only
 *           validated
 * @digest: XXH3 of @text
 * @text: the original document, NUL-terminated
 * @text_size: length of @text in bytes, without the terminating NUL
 * @classes: names of the importance classes, most important first
 */
struct jl_config
{
  int ref_count;
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
 * jl_config_new - parses and validates a document
 * @text: the document; need not be NUL-terminated
 * @size: length of @text in bytes
 * @version: version to store in the configuration
 * @error: its message starts with the line number or with the path in the
 *         document, such as "kinds[2].deadline_ms"
 *
 * Return: a configuration that holds one reference, or NULL with @error set.
 */
struct jl_config *
jl_config_new (const char *text, size_t size, uint64_t version, GError **error);

/**
 * jl_config_keep - adds a reference; thread-safe
 *
 * Return: @config.
 */
struct jl_config *jl_config_keep (struct jl_config *config);

/**
 * jl_config_drop - removes a reference and frees @config with the last one
 * @config: may be NULL
 */
void jl_config_drop (struct jl_config *config);

/**
 * jl_config_match_kind - finds the first kind that matches a method and path
 *
 * Return: the index of the kind, or JL_NONE.
 */
uint32_t jl_config_match_kind (const struct jl_config *config,
                               const char *method,
                               const char *path);

/**
 * jl_config_find_kind - finds a kind by name
 *
 * Return: the index of the kind, or JL_NONE.
 */
uint32_t jl_config_find_kind (const struct jl_config *config, const char *name);

/**
 * jl_config_find_service - finds a service by name
 *
 * Return: the index of the service, or JL_NONE.
 */
uint32_t jl_config_find_service (const struct jl_config *config,
                                 const char *name);

#endif
