/**
 * DOC: The configuration of a site, as the proxy uses it.
 */

#include "jackdawladder/site.h"

#include <string.h>
#include <xxhash.h>

uint32_t
jl_name_key (const char *name)
{
  return XXH32 (name, strlen (name), 0);
}

bool
jl_route_is_idempotent (const struct jl_route *route)
{
  return route->retry_policy == JL_RETRY_POLICY_IDEMPOTENT
         || route->retry_policy == JL_RETRY_POLICY_DOWNLOAD;
}

double
jl_route_weight (const struct jl_route *route)
{
  double sum = 0;

  for (unsigned i = 0; i < route->split_count; i++)
    sum += route->split[i].weight;
  return sum;
}

static void
free_route (gpointer data)
{
  struct jl_route *route = data;

  for (unsigned i = 0; i < route->split_count; i++)
    g_free ((gpointer)route->split[i].service);
  g_free ((gpointer)route->split);
  g_free ((gpointer)route->name);
  g_free ((gpointer)route->host);
  g_free ((gpointer)route->prefix);
  g_free (route);
}

static void
free_host (gpointer routes)
{
  g_ptr_array_free (routes, TRUE);
}

struct jl_site *
jl_site_new (uint64_t version)
{
  struct jl_site *site = g_new0 (struct jl_site, 1);

  site->references = 1;
  site->version = version;
  site->routes = g_ptr_array_new_with_free_func (free_route);
  site->by_host
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_host);
  site->by_key = g_hash_table_new (g_direct_hash, g_direct_equal);
  site->unknown_words = g_ptr_array_new_with_free_func (g_free);
  site->unread_parts = g_ptr_array_new_with_free_func (g_free);
  return site;
}

struct jl_site *
jl_site_keep (struct jl_site *site)
{
  site->references++;
  return site;
}

void
jl_site_drop (struct jl_site *site)
{
  if (site == NULL || --site->references > 0)
    return;
  jl_customers_free (site->customers);
  g_hash_table_destroy (site->by_host);
  g_hash_table_destroy (site->by_key);
  g_ptr_array_free (site->routes, TRUE);
  g_ptr_array_free (site->unknown_words, TRUE);
  g_ptr_array_free (site->unread_parts, TRUE);
  g_free (site);
}

static GPtrArray *
routes_of_host (struct jl_site *site, const char *host)
{
  GPtrArray *routes = g_hash_table_lookup (site->by_host, host);

  if (routes != NULL)
    return routes;
  routes = g_ptr_array_new ();
  g_hash_table_insert (site->by_host, g_strdup (host), routes);
  return routes;
}

static struct jl_split *
copy_split (const struct jl_split *split, unsigned count)
{
  struct jl_split *copy = g_new (struct jl_split, count);

  for (unsigned i = 0; i < count; i++)
    {
      copy[i].service = g_strdup (split[i].service);
      copy[i].weight = split[i].weight;
    }
  return copy;
}

void
jl_site_add_route (struct jl_site *site, const struct jl_route *route)
{
  struct jl_route *copy = g_memdup2 (route, sizeof *route);
  char *host = g_ascii_strdown (route->host, -1);

  copy->name = g_strdup (route->name);
  copy->host = g_strdup (route->host);
  copy->prefix = g_strdup (route->prefix);
  copy->split = copy_split (route->split, route->split_count);
  copy->key = jl_name_key (route->name);
  g_ptr_array_add (site->routes, copy);
  g_hash_table_insert (site->by_key, GUINT_TO_POINTER (copy->key), copy);
  g_ptr_array_add (routes_of_host (site, host), copy);
  g_free (host);
}

void
jl_site_add_unknown_word (struct jl_site *site, const char *word)
{
  if (site->unknown_words->len < JL_UNKNOWN_WORDS_MAX
      && !g_ptr_array_find_with_equal_func (site->unknown_words, word,
                                            g_str_equal, NULL))
    g_ptr_array_add (site->unknown_words, g_strdup (word));
}

void
jl_site_add_unread (struct jl_site *site,
                    const char *list,
                    size_t index,
                    const char *field)
{
  char *part;

  if (site->unread_parts->len == JL_UNREAD_PARTS_MAX)
    return;
  part = index == JL_SITE_WHOLE_LIST
             ? g_strdup_printf ("%s: %s", list, field)
             : g_strdup_printf ("%s[%zu]: %s", list, index, field);
  g_ptr_array_add (site->unread_parts, part);
}

/* Orders routes from the longest prefix to the shortest. */
static gint
compare_prefix_length (gconstpointer a, gconstpointer b)
{
  const struct jl_route *first = *(const struct jl_route *const *)a;
  const struct jl_route *second = *(const struct jl_route *const *)b;
  size_t first_length = strlen (first->prefix);
  size_t second_length = strlen (second->prefix);

  return (first_length < second_length) - (first_length > second_length);
}

void
jl_site_seal (struct jl_site *site)
{
  GHashTableIter iter;
  gpointer routes;

  g_hash_table_iter_init (&iter, site->by_host);
  while (g_hash_table_iter_next (&iter, NULL, &routes))
    g_ptr_array_sort (routes, compare_prefix_length);
}

const struct jl_route *
jl_site_find_route (const struct jl_site *site,
                    const char *host,
                    const char *target)
{
  char *name = g_ascii_strdown (host, (gssize)strcspn (host, ":"));
  const GPtrArray *routes = g_hash_table_lookup (site->by_host, name);

  g_free (name);
  for (guint i = 0; routes != NULL && i < routes->len; i++)
    {
      const struct jl_route *route = g_ptr_array_index (routes, i);

      if (g_str_has_prefix (target, route->prefix))
        return route;
    }
  return NULL;
}

const struct jl_route *
jl_site_route_by_key (const struct jl_site *site, uint32_t key)
{
  if (site == NULL)
    return NULL;
  return g_hash_table_lookup (site->by_key, GUINT_TO_POINTER (key));
}
