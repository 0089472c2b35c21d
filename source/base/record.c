/**
 * DOC: Structured lines on standard output, bounded and never blocking.
 */

#include "jackdawladder/record.h"

#include <fcntl.h>
#include <glib/gprintf.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Bytes held back while the reader of standard output is slow. */
#define BUFFER_BYTES 65536

/* Lines a second of each weight. */
static const unsigned lines_per_s[JL_RECORD_WEIGHTS] = { 100, 60, 15 };

static const struct
{
  enum jl_record_number number;
  const char *text;
} catalogue[] = {
  { JL_RECORD_REQUEST_REFUSED, "request refused" },
  { JL_RECORD_REQUEST_FAILED, "request failed" },
  { JL_RECORD_REQUEST_SERVED, "request served" },
  { JL_RECORD_REQUEST_PLACED_AGAIN, "request placed again" },
  { JL_RECORD_CLIENT_LEFT, "client left" },
  { JL_RECORD_WORK_REFUSED, "work refused" },
  { JL_RECORD_WORK_FAILED, "work failed" },
  { JL_RECORD_WORK_SERVED, "work served" },
  { JL_RECORD_ANSWER_DROPPED, "answer dropped" },
  { JL_RECORD_TARGET, "own target" },
  { JL_RECORD_TARGET_HEARTBEAT_REFUSED, "heartbeat refused" },
  { JL_RECORD_LEAVING_ACKNOWLEDGED, "leaving acknowledged" },
  { JL_RECORD_MEMBER, "member" },
  { JL_RECORD_SITE, "configuration installed" },
  { JL_RECORD_SITE_REFUSED, "configuration refused" },
  { JL_RECORD_SHED, "refused share" },
  { JL_RECORD_CALL_GRAPH, "call graph" },
  { JL_RECORD_STORE, "store" },
  { JL_RECORD_STARTED, "started" },
  { JL_RECORD_STOPPING, "stopping" },
  { JL_RECORD_STOPPED, "stopped" },
  { JL_RECORD_RELOADED, "settings reloaded" },
  { JL_RECORD_RELOAD_REFUSED, "settings refused" },
  { JL_RECORD_LEFT_OUT, "lines left out" },
};

static char buffer[BUFFER_BYTES];
static size_t used;
static uint64_t second;
static unsigned written[JL_RECORD_WEIGHTS];
static unsigned left_out[JL_RECORD_WEIGHTS];

void
jl_record_open (void)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static const char *
text_of (enum jl_record_number number)
{
  for (size_t i = 0; i < G_N_ELEMENTS (catalogue); i++)
    if (catalogue[i].number == number)
      return catalogue[i].text;
  return "unknown event";
}

/* Writes the number, the event and the time; the pairs follow. */
static bool
begin_line (enum jl_record_number number, size_t *size)
{
  size_t room = sizeof buffer - used;
  int done = snprintf (buffer + used, room, "E%03d %s t=%.3f ", (int)number,
                       text_of (number), (double)g_get_real_time () / 1e6);

  *size = (size_t)done;
  return done >= 0 && *size < room;
}

static void
begin_second (uint64_t now)
{
  unsigned total = 0;
  unsigned before[JL_RECORD_WEIGHTS];

  memcpy (before, left_out, sizeof before);
  memset (written, 0, sizeof written);
  memset (left_out, 0, sizeof left_out);
  second = now;
  for (unsigned i = 0; i < JL_RECORD_WEIGHTS; i++)
    total += before[i];
  if (total > 0)
    jl_record (JL_RECORD_CHANGE, JL_RECORD_LEFT_OUT,
               "changes=%u failures=%u successes=%u", before[JL_RECORD_CHANGE],
               before[JL_RECORD_FAILURE], before[JL_RECORD_SUCCESS]);
}

bool
jl_record_wanted (enum jl_record_weight weight)
{
  uint64_t now = jl_now () / JL_USEC_PER_SEC;

  if (now != second)
    begin_second (now);
  if (written[weight] < lines_per_s[weight])
    return true;
  left_out[weight]++;
  return false;
}

void
jl_record (enum jl_record_weight weight,
           enum jl_record_number number,
           const char *format,
           ...)
{
  va_list arguments;
  size_t size;
  size_t room;
  int more;

  if (!jl_record_wanted (weight) || !begin_line (number, &size))
    return;
  written[weight]++;
  room = sizeof buffer - used - size;
  va_start (arguments, format);
  more = g_vsnprintf (buffer + used + size, room, format, arguments);
  va_end (arguments);
  if (more < 0 || (size_t)more >= room)
    return;
  used += size + (size_t)more;
  buffer[used++] = '\n';
}

void
jl_record_flush (void)
{
  ssize_t done;

  if (used == 0)
    return;
  done = write (STDOUT_FILENO, buffer, used);
  if (done <= 0)
    return;
  memmove (buffer, buffer + done, used - (size_t)done);
  used -= (size_t)done;
}
