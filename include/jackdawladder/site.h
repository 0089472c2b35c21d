#ifndef JACKDAWLADDER_SITE_H
#define JACKDAWLADDER_SITE_H

/**
 * DOC: A site's configuration as the proxy uses it: routes, services, limits.
 *
 * A document is immutable once it is sealed. A newer version replaces it as a
 * whole; requests in progress keep the one that they began with.
 */

#include "jackdawladder/base.h"

/* Bytes of a host, prefix or name, with the final zero. */
#define JL_TEXT_SIZE 208
/* Services among which one route is split. */
#define JL_SPLIT_MAX 8
/* Priorities; 0 is the most important. */
#define JL_RANK_COUNT 4

/**
 * enum jl_repeat - what may be repeated
 * @JL_REPEAT_ANY: idempotent
 * @JL_REPEAT_NONE: runs at most once
 * @JL_REPEAT_UPLOAD: runs at most once, and has a large body
 */
enum jl_repeat
{
  JL_REPEAT_ANY,
  JL_REPEAT_NONE,
  JL_REPEAT_UPLOAD,
};

/**
 * struct jl_split - one service of a route
 * @weight: its part is weight / sum of the weights
 */
struct jl_split
{
  char service[JL_TEXT_SIZE];
  uint32_t weight;
};

/**
 * struct jl_route - requests of one host whose path begins with a prefix
 * @key: the same for the route of that name in each version
 * @timeout_us: longest time for which a request is kept
 * @goal_us: answers within this time earn their full worth
 * @rank: 0 is the most important
 * @attempts_max: targets that one request may be sent to
 */
struct jl_route
{
  char name[JL_TEXT_SIZE];
  char host[JL_TEXT_SIZE];
  char prefix[JL_TEXT_SIZE];
  uint32_t key;
  enum jl_repeat repeat;
  uint64_t timeout_us;
  uint64_t goal_us;
  unsigned rank;
  unsigned attempts_max;
  unsigned split_count;
  struct jl_split split[JL_SPLIT_MAX];
};

/**
 * struct jl_site - one version of a site's configuration
 * @head_bytes: largest head of a request
 * @body_bytes: largest body of a request
 */
struct jl_site
{
  unsigned references;
  uint64_t version;
  size_t head_bytes;
  uint64_t body_bytes;
  uint64_t head_timeout_us;
  uint64_t idle_timeout_us;
  GPtrArray *routes;
  GHashTable *by_host;
  GHashTable *by_key;
};

struct jl_site *jl_site_new (uint64_t version);
struct jl_site *jl_site_keep (struct jl_site *site);
void jl_site_drop (struct jl_site *site);

/**
 * jl_site_add - adds a copy of @route, whose key is set here
 */
void jl_site_add (struct jl_site *site, const struct jl_route *route);

/**
 * jl_site_seal - readies a document for jl_site_find()
 */
void jl_site_seal (struct jl_site *site);

/**
 * jl_site_find - the route of a request
 * @host: as in the request, with or without a port
 * @target: as in the request, with or without a query
 *
 * Return: the route with the longest prefix, or NULL.
 */
const struct jl_route *
jl_site_find (const struct jl_site *site, const char *host, const char *target);

/**
 * jl_site_route - the route with that key
 * @site: NULL for none
 *
 * Return: NULL when there is none.
 */
const struct jl_route *jl_site_route (const struct jl_site *site, uint32_t key);

/**
 * jl_name_key - 32-bit digest of a name
 */
uint32_t jl_name_key (const char *name);

#endif
