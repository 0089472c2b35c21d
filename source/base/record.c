/**
 * DOC: Structured log on standard output, rate-limited and non-blocking.
 */

#include "jackdawladder/record.h"

#include <fcntl.h>
#include <glib/gprintf.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Size of the buffer of lines not written yet, for slow readers of standard
 * output. Lines that do not fit are dropped. */
#define BUFFER_BYTES_MAX 65536

/* Maximum number of lines a second of each priority. */
static const unsigned lines_per_s[JL_RECORD_PRIORITY_COUNT] = { 100, 60, 15 };

/* Names of the events, as written in each line. */
static const struct
{
  enum jl_record_event event;
  const char *name;
} event_names[] = {
  { JL_RECORD_REQUEST_REFUSED, "request refused" },
  { JL_RECORD_REQUEST_FAILED, "request failed" },
  { JL_RECORD_REQUEST_SERVED, "request served" },
  { JL_RECORD_REQUEST_PLACED_AGAIN, "request placed again" },
  { JL_RECORD_CLIENT_LEFT, "client left" },
  { JL_RECORD_REQUEST_HELD, "request held" },
  { JL_RECORD_REQUEST_UNAUTHORIZED, "request without a known API key" },
  { JL_RECORD_REQUEST_OVER_CAP, "request over the usage cap" },
  { JL_RECORD_WORK_REFUSED, "work refused" },
  { JL_RECORD_WORK_FAILED, "work failed" },
  { JL_RECORD_WORK_SERVED, "work served" },
  { JL_RECORD_RESPONSE_DROPPED, "answer dropped" },
  { JL_RECORD_TARGET_REFUSED, "target refused" },
  { JL_RECORD_TARGET_CHANGED, "own target" },
  { JL_RECORD_TARGET_HEARTBEAT_REFUSED, "heartbeat refused" },
  { JL_RECORD_LEAVING_ACKNOWLEDGED, "leave answered" },
  { JL_RECORD_TARGET_ENDED, "target ended" },
  { JL_RECORD_TARGET_HELD, "own target held" },
  { JL_RECORD_TARGET_LIMIT, "target limit" },
  { JL_RECORD_MEMBER_CHANGED, "member" },
  { JL_RECORD_SUSPICION, "suspicion" },
  { JL_RECORD_TRIAL_BEGUN, "trial begun" },
  { JL_RECORD_ZONE_CHANGED, "zone" },
  { JL_RECORD_CONNECTIONS_SILENT, "connections silent" },
  { JL_RECORD_SITE_INSTALLED, "configuration installed" },
  { JL_RECORD_SITE_REFUSED, "configuration refused" },
  { JL_RECORD_SITE_WORD_UNKNOWN, "unknown word" },
  { JL_RECORD_SITE_PART_UNREAD, "configuration part not read" },
  { JL_RECORD_SITE_FETCH_FAILED, "configuration not fetched" },
  { JL_RECORD_SHED_SHARE, "refused share" },
  { JL_RECORD_CALL_GRAPH, "call graph" },
  { JL_RECORD_CALLS_RESTORED, "calls restored" },
  { JL_RECORD_ISSUER_CONTACT, "issuer of usage caps" },
  { JL_RECORD_ISSUER_CHANGED, "issues usage caps" },
  { JL_RECORD_SHARES_GIVEN, "shares given" },
  { JL_RECORD_STORE_REACHABILITY, "store" },
  { JL_RECORD_STORE_RESTORED, "store restored" },
  { JL_RECORD_STORE_FOLLOWED, "store followed" },
  { JL_RECORD_STORE_UNHEARD, "store unheard" },
  { JL_RECORD_STORE_HEARD, "store heard again" },
  { JL_RECORD_STARTED, "started" },
  { JL_RECORD_STOPPING, "stopping" },
  { JL_RECORD_STOPPED, "stopped" },
  { JL_RECORD_RELOADED, "settings reloaded" },
  { JL_RECORD_RELOAD_REFUSED, "settings refused" },
  { JL_RECORD_LINES_DROPPED, "lines left out" },
};

static char buffer[BUFFER_BYTES_MAX];
static size_t buffered_bytes;
static uint64_t current_second;
static unsigned written_lines[JL_RECORD_PRIORITY_COUNT];
static unsigned dropped_lines[JL_RECORD_PRIORITY_COUNT];

void
jl_record_open (void)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static const char *
name_of (enum jl_record_event event)
{
  for (size_t i = 0; i < G_N_ELEMENTS (event_names); i++)
    if (event_names[i].event == event)
      return event_names[i].name;
  return "unknown event";
}

/* Writes the number and the name of the event and the time to the buffer. The
 * caller appends the key-value pairs. @size receives the number of bytes.
 * Returns false if the buffer is full. */
static bool
begin_line (enum jl_record_event event, size_t *size)
{
  size_t space = sizeof buffer - buffered_bytes;
  int length = snprintf (buffer + buffered_bytes, space, "E%03d %s t=%.3f ",
                         (int)event, name_of (event),
                         (double)g_get_real_time () / 1e6);

  *size = (size_t)length;
  return length >= 0 && *size < space;
}

/* Resets the rate limits and logs how many lines were dropped in the previous
 * second. */
static void
begin_second (uint64_t now_s)
{
  unsigned total = 0;
  unsigned previous[JL_RECORD_PRIORITY_COUNT];

  memcpy (previous, dropped_lines, sizeof previous);
  memset (written_lines, 0, sizeof written_lines);
  memset (dropped_lines, 0, sizeof dropped_lines);
  current_second = now_s;
  for (unsigned i = 0; i < JL_RECORD_PRIORITY_COUNT; i++)
    total += previous[i];
  if (total > 0)
    jl_record (JL_RECORD_CHANGE, JL_RECORD_LINES_DROPPED,
               "changes=%u failures=%u successes=%u",
               previous[JL_RECORD_CHANGE], previous[JL_RECORD_FAILURE],
               previous[JL_RECORD_SUCCESS]);
}

bool
jl_record_allowed (enum jl_record_priority priority)
{
  uint64_t now_s = jl_now () / JL_USEC_PER_SEC;

  if (now_s != current_second)
    begin_second (now_s);
  if (written_lines[priority] < lines_per_s[priority])
    return true;
  dropped_lines[priority]++;
  return false;
}

void
jl_record (enum jl_record_priority priority,
           enum jl_record_event event,
           const char *format,
           ...)
{
  va_list arguments;
  size_t size;
  size_t space;
  int added;

  if (!jl_record_allowed (priority) || !begin_line (event, &size))
    return;
  written_lines[priority]++;
  space = sizeof buffer - buffered_bytes - size;
  va_start (arguments, format);
  added
      = g_vsnprintf (buffer + buffered_bytes + size, space, format, arguments);
  va_end (arguments);
  if (added < 0 || (size_t)added >= space)
    return;
  buffered_bytes += size + (size_t)added;
  buffer[buffered_bytes++] = '\n';
}

void
jl_record_flush (void)
{
  ssize_t length;

  if (buffered_bytes == 0)
    return;
  length = write (STDOUT_FILENO, buffer, buffered_bytes);
  if (length <= 0)
    return;
  memmove (buffer, buffer + length, buffered_bytes - (size_t)length);
  buffered_bytes -= (size_t)length;
}
