#ifndef JACKDAWLADDER_SITE_H
#define JACKDAWLADDER_SITE_H

/**
 * DOC: The configuration of a site, as the proxy uses it: routes, services,
 * limits.
 *
 * A configuration is immutable once it is sealed. A newer version replaces it
 * as a whole; requests in progress keep a reference to the version that they
 * began with.
 */

#include "jackdawladder/base.h"
#include "jackdawladder/customers.h"

/* Size of a name that daemons announce in bytes, including the final NUL. */
#define JL_TEXT_SIZE 208
/* Number of parts that could not be read that a configuration keeps for the
 * log. */
#define JL_UNREAD_PARTS_MAX 8
/* Index of a part that belongs to a list as a whole. */
#define JL_SITE_WHOLE_LIST G_MAXSIZE
/* Number of unknown words that a configuration keeps for the log. */
#define JL_UNKNOWN_WORDS_MAX 8
/* Number of priorities, called ranks; 0 is the most important. */
#define JL_RANK_COUNT 4

/**
 * enum jl_retry_policy - whether a route's requests may be retried after they
 * may have run
 * @JL_RETRY_POLICY_IDEMPOTENT: the requests are idempotent and may be retried
 * @JL_RETRY_POLICY_AT_MOST_ONCE: each request runs at most once
 * @JL_RETRY_POLICY_UPLOAD: each request runs at most once, and has a large body
 * @JL_RETRY_POLICY_DOWNLOAD: the requests are idempotent, and have large
 *                            responses
 */
enum jl_retry_policy
{
  JL_RETRY_POLICY_IDEMPOTENT,
  JL_RETRY_POLICY_AT_MOST_ONCE,
  JL_RETRY_POLICY_UPLOAD,
  JL_RETRY_POLICY_DOWNLOAD,
};

/**
 * struct jl_split - one service that serves a route
 * @weight: its share of the requests is @weight / sum of the route's weights
 */
struct jl_split
{
  const char *service;
  double weight;
};

/**
 * struct jl_route - the requests to one host whose path begins with a prefix
 * @key: digest of the name, equal in all versions of the configuration
 * @timeout_us: time after which a request is given up
 * @latency_goal_us: a response within this time has its full value
 * @rank: priority; 0 is the most important
 * @attempts_max: number of targets that one request may be sent to
 * @public: requests need no API key, also on a site with customers
 * @unreadable: a field that is needed could not be read; requests are refused
 * @split_count: number of services that the requests are split among
 * @split: array of these services
 *
 * The texts and @split belong to the configuration that holds the route.
 */
struct jl_route
{
  const char *name;
  const char *host;
  const char *prefix;
  uint32_t key;
  enum jl_retry_policy retry_policy;
  uint64_t timeout_us;
  uint64_t latency_goal_us;
  unsigned rank;
  unsigned attempts_max;
  bool public;
  bool unreadable;
  unsigned split_count;
  const struct jl_split *split;
};

/**
 * jl_route_is_idempotent - whether requests of the route may be retried after
 * they may have run
 */
bool jl_route_is_idempotent (const struct jl_route *route);

/**
 * jl_route_weight - returns the sum of the weights of the route's services
 */
double jl_route_weight (const struct jl_route *route);

/**
 * struct jl_site - one version of a site's configuration
 * @references: number of references
 * @head_bytes_max: size of the largest head of a request
 * @body_bytes_max: size of the largest body of a request
 * @head_timeout_us: longest time from the first byte of a head to its end
 * @idle_timeout_us: longest time between two messages on a connection
 * @customers: customers of the site, NULL if its requests need no API keys
 * @routes: array of struct jl_route, owned
 * @by_host: arrays of routes, by host in lower case
 * @by_key: routes by key
 * @unknown_words: words of the document that this program does not know, each
 *                 once; their routes run at most once
 * @unread_parts: names of the parts that could not be read
 */
struct jl_site
{
  unsigned references;
  uint64_t version;
  size_t head_bytes_max;
  uint64_t body_bytes_max;
  uint64_t head_timeout_us;
  uint64_t idle_timeout_us;
  struct jl_customers *customers;
  GPtrArray *routes;
  GHashTable *by_host;
  GHashTable *by_key;
  GPtrArray *unknown_words;
  GPtrArray *unread_parts;
};

/**
 * jl_site_new - creates an empty configuration with one reference
 */
struct jl_site *jl_site_new (uint64_t version);

/**
 * jl_site_keep - adds a reference
 *
 * Return: @site.
 */
struct jl_site *jl_site_keep (struct jl_site *site);

/**
 * jl_site_drop - drops a reference, and frees the configuration with the last
 * @site: NULL for none
 */
void jl_site_drop (struct jl_site *site);

/**
 * jl_site_add_route - adds a copy of @route, its texts and its split, with its
 * key set
 */
void jl_site_add_route (struct jl_site *site, const struct jl_route *route);

/**
 * jl_site_add_unknown_word - adds @word to the unknown words, unless it is
 * there already or there are JL_UNKNOWN_WORDS_MAX of them
 */
void jl_site_add_unknown_word (struct jl_site *site, const char *word);

/**
 * jl_site_add_unread - adds a part that could not be read, unless there are
 * JL_UNREAD_PARTS_MAX of them
 * @list: name of the list that it belongs to
 * @index: its entry in the list, or JL_SITE_WHOLE_LIST
 * @field: name of the field
 */
void jl_site_add_unread (struct jl_site *site,
                         const char *list,
                         size_t index,
                         const char *field);

/**
 * jl_site_seal - completes a configuration: jl_site_find_route() may be used,
 * and routes may not be added any more
 */
void jl_site_seal (struct jl_site *site);

/**
 * jl_site_find_route - returns the route of a request
 * @host: host of the request, with or without a port
 * @target: request target, with or without a query
 *
 * Return: the matching route with the longest prefix, or NULL if none matches.
 */
const struct jl_route *jl_site_find_route (const struct jl_site *site,
                                           const char *host,
                                           const char *target);

/**
 * jl_site_route_by_key - returns the route with the key @key
 * @site: NULL for none
 *
 * Return: the route, or NULL if there is none.
 */
const struct jl_route *jl_site_route_by_key (const struct jl_site *site,
                                             uint32_t key);

/**
 * jl_name_key - returns a 32-bit digest of a name
 */
uint32_t jl_name_key (const char *name);

#endif
