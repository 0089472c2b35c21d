/**
 * DOC: Parsing of the answers that a caller receives.
 */

#include "answer.h"

#include <stdlib.h>
#include <string.h>

void
answer_init (struct answer *answer)
{
  memset (answer, 0, sizeof *answer);
  answer->body = g_string_new (NULL);
  answer->retry_after_ms = -1;
}

void
answer_clear (struct answer *answer)
{
  g_string_free (answer->body, TRUE);
}

static size_t
receive_body (char *bytes, size_t size, size_t count, void *context)
{
  g_string_append_len (((struct answer *)context)->body, bytes,
                       (gssize)(size * count));
  return size * count;
}

/* Returns the value of a header line if the header is @name, else NULL. */
static char *
header_value (const char *line, size_t size, const char *name)
{
  size_t length = strlen (name);

  if (size <= length || line[length] != ':'
      || g_ascii_strncasecmp (line, name, length) != 0)
    return NULL;
  return g_strstrip (g_strndup (line + length + 1, size - length - 1));
}

static void
copy_header (const char *line,
             size_t size,
             const char *name,
             char *value,
             size_t value_size)
{
  g_autofree char *text = header_value (line, size, name);

  if (text != NULL)
    g_strlcpy (value, text, value_size);
}

static size_t
receive_header (char *line, size_t size, size_t count, void *context)
{
  struct answer *answer = context;
  size_t length = size * count;
  g_autofree char *seconds = header_value (line, length, "Retry-After");
  g_autofree char *exact = header_value (line, length, "Jl-Retry-After-Ms");

  copy_header (line, length, "Jl-Outcome", answer->outcome,
               sizeof answer->outcome);
  copy_header (line, length, "Jl-Sending", answer->own_outcome,
               sizeof answer->own_outcome);
  copy_header (line, length, "Jl-Reason", answer->reason,
               sizeof answer->reason);
  copy_header (line, length, "Jl-Ticket", answer->ticket,
               sizeof answer->ticket);
  if (seconds != NULL && answer->retry_after_ms < 0)
    answer->retry_after_ms = strtol (seconds, NULL, 10) * 1000;
  if (exact != NULL)
    answer->retry_after_ms = strtol (exact, NULL, 10);
  return length;
}

void
answer_receive (struct answer *answer, CURL *curl)
{
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, receive_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, answer);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, receive_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, answer);
}
