/**
 * DOC: Code shared by the stand-ins.
 */

#include "common.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define FNV_OFFSET_BASIS UINT64_C (14695981039346656037)
#define FNV_PRIME UINT64_C (1099511628211)

struct history
{
  int file;
};

uint64_t
clock_us (void)
{
  struct timespec time;

  clock_gettime (CLOCK_MONOTONIC, &time);
  return (uint64_t)time.tv_sec * USEC_PER_SEC + (uint64_t)time.tv_nsec / 1000;
}

void
sleep_us (uint64_t duration_us)
{
  struct timespec time
      = { .tv_sec = (time_t)(duration_us / USEC_PER_SEC),
          .tv_nsec = (long)(duration_us % USEC_PER_SEC) * 1000 };

  while (nanosleep (&time, &time) != 0 && errno == EINTR)
    ;
}

struct history *
history_open (const char *path)
{
  struct history *history = g_new0 (struct history, 1);

  history->file = -1;
  if (path == NULL)
    return history;
  history->file = open (path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
  if (history->file < 0)
    {
      fprintf (stderr, "cannot open %s: %s\n", path, g_strerror (errno));
      exit (1);
    }
  return history;
}

void
history_add (struct history *history, const char *format, ...)
{
  g_autoptr (GString) line = NULL;
  va_list arguments;

  if (history->file < 0)
    return;
  line = g_string_new (NULL);
  g_string_append_printf (line, "{\"at\":%" PRIu64 ",", clock_us ());
  va_start (arguments, format);
  g_string_append_vprintf (line, format, arguments);
  va_end (arguments);
  g_string_append (line, "}\n");
  if (write (history->file, line->str, line->len) != (ssize_t)line->len)
    {
      fprintf (stderr, "cannot write the history: %s\n", g_strerror (errno));
      abort ();
    }
}

char *
history_text (const char *text)
{
  char *copy = g_strdup (text == NULL ? "" : text);

  for (char *c = copy; *c != '\0'; c++)
    if (*c == '"' || *c == '\\' || !g_ascii_isprint (*c))
      *c = '_';
  return copy;
}

static uint64_t
fnv1a_hash (const char *bytes, size_t size)
{
  uint64_t hash = FNV_OFFSET_BASIS;

  for (size_t i = 0; i < size; i++)
    hash = (hash ^ (unsigned char)bytes[i]) * FNV_PRIME;
  return hash;
}

GString *
payload_new (const char *request_id, size_t size)
{
  uint64_t start = fnv1a_hash (request_id, strlen (request_id));
  g_autoptr (GString) bytes = g_string_sized_new (size);
  GString *payload = g_string_sized_new (size + 128);

  for (size_t i = 0; i < size; i++)
    g_string_append_c (bytes, (char)('a' + (start + i * 7) % 26));
  g_string_printf (payload, "%s %zu %016" PRIx64 "\n", request_id, size,
                   fnv1a_hash (bytes->str, size));
  g_string_append_len (payload, bytes->str, (gssize)size);
  return payload;
}

bool
payload_check (const char *bytes, size_t size, char *request_id)
{
  g_autofree char *line = NULL;
  const char *end = memchr (bytes, '\n', size);
  size_t length = 0;
  uint64_t sum = 0;

  request_id[0] = '\0';
  if (end == NULL)
    return false;
  line = g_strndup (bytes, (gsize)(end - bytes));
  if (sscanf (line, "%63s %zu %" SCNx64, request_id, &length, &sum) != 3)
    return false;
  end++;
  if ((size_t)(bytes + size - end) != length)
    return false;
  return fnv1a_hash (end, length) == sum;
}

struct mg_context *
server_start (const char *listen,
              unsigned threads,
              const struct mg_callbacks *callbacks,
              mg_request_handler handler)
{
  g_autofree char *count = g_strdup_printf ("%u", threads);
  const char *options[] = { "listening_ports",
                            listen,
                            "num_threads",
                            count,
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            "60000",
                            "request_timeout_ms",
                            "60000",
                            "tcp_nodelay",
                            "1",
                            "listen_backlog",
                            "1000",
                            NULL };
  struct mg_context *context;

  mg_init_library (0);
  context = mg_start (callbacks, NULL, options);
  if (context == NULL)
    {
      fprintf (stderr, "cannot listen on %s\n", listen);
      exit (1);
    }
  mg_set_request_handler (context, "**", handler, NULL);
  return context;
}

int
server_reply (struct mg_connection *connection,
              int status,
              const char *headers,
              const char *body,
              size_t size)
{
  g_autoptr (GString) answer = g_string_sized_new (size + 256);

  g_string_printf (answer,
                   "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n%s"
                   "Connection: keep-alive\r\n\r\n",
                   status, mg_get_response_code_text (connection, status), size,
                   headers == NULL ? "" : headers);
  g_string_append_len (answer, body, (gssize)size);
  if (mg_write (connection, answer->str, answer->len) != (int)answer->len)
    return -1;
  return status;
}

int
server_hang_up (struct mg_connection *connection)
{
  mg_disable_connection_keep_alive (connection);
  return 1;
}

GString *
server_read_body (struct mg_connection *connection)
{
  GString *body = g_string_new (NULL);
  char part[16384];
  int size;

  while ((size = mg_read (connection, part, sizeof part)) > 0)
    g_string_append_len (body, part, size);
  return body;
}

char *
server_query (const struct mg_request_info *request,
              const char *name,
              const char *fallback)
{
  const char *query = request->query_string;
  char value[512];

  if (query == NULL
      || mg_get_var (query, strlen (query), name, value, sizeof value) < 0)
    return g_strdup (fallback);
  return g_strdup (value);
}

double
server_query_number (const struct mg_request_info *request,
                     const char *name,
                     double fallback)
{
  g_autofree char *text = server_query (request, name, NULL);

  return text == NULL ? fallback : g_ascii_strtod (text, NULL);
}

static void
get_stop_signals (sigset_t *signals)
{
  sigemptyset (signals);
  sigaddset (signals, SIGTERM);
  sigaddset (signals, SIGINT);
}

void
block_stop_signals (void)
{
  sigset_t signals;

  get_stop_signals (&signals);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
}

void
wait_for_stop (void)
{
  sigset_t signals;
  int number;

  get_stop_signals (&signals);
  sigwait (&signals, &number);
}
