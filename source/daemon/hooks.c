/**
 * DOC: Test hooks that simulate network partitions and disable mechanisms.
 */

#include "daemon/hooks.h"

#include <string.h>

#include "jackdawladder/core.h"

#ifdef JL_TEST_HOOKS

#  define PREFIX_COUNT_MAX 8
#  define PREFIX_MAX_BYTES 16

/* Address prefixes whose traffic is dropped, protected by lock. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static uint32_t prefix_count;
static char prefixes[PREFIX_COUNT_MAX][PREFIX_MAX_BYTES];

static const struct
{
  const char *name;
  enum jl_mechanism mechanism;
} mechanisms[] = {
  { "tokens", JL_MECHANISM_TOKENS },
  { "importance", JL_MECHANISM_IMPORTANCE },
  { "attempt-match", JL_MECHANISM_ATTEMPT_MATCH },
  { "tombstone", JL_MECHANISM_TOMBSTONE },
  { "once", JL_MECHANISM_ONCE },
  { "probes", JL_MECHANISM_PROBES },
  { "drain", JL_MECHANISM_DRAIN },
  { "config-order", JL_MECHANISM_CONFIG_ORDER },
};

bool
jl_hooks_partitioned (uint32_t ip)
{
  char text[JL_ENDPOINT_TEXT_SIZE];
  bool dropped = false;

  jl_endpoint_format ((struct jl_endpoint){ .ip = ip }, text);
  pthread_mutex_lock (&lock);
  for (uint32_t i = 0; i < prefix_count; i++)
    dropped = dropped || g_str_has_prefix (text, prefixes[i]);
  pthread_mutex_unlock (&lock);
  return dropped;
}

uint32_t
jl_hooks_disabled_mechanisms (void)
{
  const char *names = g_getenv ("JL_SWITCHED_OFF");
  uint32_t set = 0;

  for (size_t i = 0; names != NULL && i < G_N_ELEMENTS (mechanisms); i++)
    if (strstr (names, mechanisms[i].name) != NULL)
      set |= mechanisms[i].mechanism;
  return set;
}

bool
jl_hooks_handle (struct jl_http_exchange *exchange)
{
  const char *prefix = strstr (exchange->target, "?prefix=");

  if (strcmp (exchange->path, "/test/join") == 0)
    {
      pthread_mutex_lock (&lock);
      prefix_count = 0;
      pthread_mutex_unlock (&lock);
    }
  else if (strcmp (exchange->path, "/test/cut") == 0 && prefix != NULL)
    {
      pthread_mutex_lock (&lock);
      if (prefix_count < PREFIX_COUNT_MAX)
        g_strlcpy (prefixes[prefix_count++], prefix + strlen ("?prefix="),
                   PREFIX_MAX_BYTES);
      pthread_mutex_unlock (&lock);
    }
  else
    return false;
  exchange->status = 200;
  return true;
}

#else

bool
jl_hooks_partitioned (uint32_t ip G_GNUC_UNUSED)
{
  return false;
}

uint32_t
jl_hooks_disabled_mechanisms (void)
{
  return 0;
}

bool
jl_hooks_handle (struct jl_http_exchange *exchange G_GNUC_UNUSED)
{
  return false;
}

#endif
