/**
 * DOC: Downstream calls that a target makes while it handles a request.
 */

#include "downstream.h"

static size_t
discard_body (char *bytes G_GNUC_UNUSED,
              size_t size,
              size_t count,
              void *context G_GNUC_UNUSED)
{
  return size * count;
}

/* Each thread has a handle of its own, which keeps its connection to the
 * daemon open. */
CURL *
downstream_curl (void)
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
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, discard_body);
  return curl;
}

bool
downstream_add (struct downstream *downstream, const char *text)
{
  g_auto (GStrv) words = g_strsplit (text, " ", 0);
  unsigned count = g_strv_length (words);
  struct downstream_call *call = &downstream->calls[downstream->count];

  if (downstream->count == DOWNSTREAM_CALL_MAX || count < 2 || count > 3)
    return false;
  downstream->count++;
  call->prefix = g_strdup (count == 3 ? words[0] : "/");
  call->method = g_strdup (words[count - 2]);
  call->path = g_strdup (words[count - 1]);
  return true;
}
