/**
 * DOC: Calls that a target makes further down the chain.
 */

#include "further.h"

static size_t
ignore_bytes (char *bytes G_GNUC_UNUSED,
              size_t size,
              size_t count,
              void *context G_GNUC_UNUSED)
{
  return size * count;
}

/* Each thread keeps its connection to the daemon. */
CURL *
further_curl (void)
{
  static GPrivate handles = G_PRIVATE_INIT (curl_easy_cleanup);
  CURL *curl = g_private_get (&handles);

  if (curl == NULL)
    {
      curl = curl_easy_init ();
      g_private_set (&handles, curl);
    }
  curl_easy_reset (curl);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, ignore_bytes);
  return curl;
}

bool
further_add (struct further *further, const char *text)
{
  g_auto (GStrv) words = g_strsplit (text, " ", 0);
  unsigned count = g_strv_length (words);
  struct then *then = &further->thens[further->count];

  if (further->count == THEN_MAX || count < 2 || count > 3)
    return false;
  further->count++;
  then->prefix = g_strdup (count == 3 ? words[0] : "/");
  then->method = g_strdup (words[count - 2]);
  then->path = g_strdup (words[count - 1]);
  return true;
}
