/**
 * DOC: Stand-in for a target: one instance of a service.
 *
 * The target announces itself to its daemon, handles requests in a bounded
 * number of slots, makes downstream calls, and records each run before its work
 * starts. The query string carries the request's identifier as "id" and the
 * position of the call in its call tree as "hop"; downstream calls pass on
 * both.
 */

#include "common.h"
#include "parts/downstream.h"

#include <argp.h>
#include <curl/curl.h>
#include <errno.h>
#include <inttypes.h>
#include <math.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ANNOUNCE_PERIOD_US USEC_PER_SEC
#define ANNOUNCE_TIMEOUT_MS 800
#define FILE_DESCRIPTOR_MAX 4096
#define CRASH_STATUS 70
#define BUDGET_DEFAULT_MS 60000

/**
 * struct target - the options, then the state of the target
 * @connections: connection limit that the target announces
 * @threads: number of server threads, one for each connection
 * @service_ms: mean service time
 * @cold_seconds: how long the target is slower after its start
 * @cold_factor: factor of the service times while the target is cold
 * @queues: whether requests wait for a slot instead of being refused
 * @slow_factor: factor of the service times, set under /test/slow
 * @last_run: number of the last run
 * @left: the target is stopping, and no longer announces itself
 */
struct target
{
  const char *listen;
  const char *daemon;
  const char *service;
  const char *name;
  const char *history_path;
  unsigned slots;
  unsigned connections;
  unsigned threads;
  double service_ms;
  bool exponential;
  unsigned seed;
  double cold_seconds;
  double cold_factor;
  bool queues;
  struct downstream downstream;

  struct history *history;
  uint64_t started_us;
  GMutex lock;
  GCond slot_free;
  GRand *random;
  unsigned in_progress;
  double slow_factor;
  uint64_t last_run;
  atomic_bool left;
};

/**
 * struct run - one request in progress
 * @socket: descriptor of the request's connection, -1 if not known
 * @deadline_us: time at which the request's budget ends
 * @cut: whether the connection was closed before the answer was sent
 */
struct run
{
  struct mg_connection *connection;
  const struct mg_request_info *request;
  uint64_t number;
  char *id;
  char *hop;
  char *path;
  int socket;
  uint64_t deadline_us;
  bool cut;
};

static struct target target = { .slots = 10,
                                .connections = 100,
                                .threads = 200,
                                .service_ms = 10,
                                .seed = 1,
                                .cold_factor = 1,
                                .slow_factor = 1,
                                .service = "service",
                                .name = "target" };

/* Returns the descriptor of the connection from a remote port, -1 if none.
 * CivetWeb has no function for it. */
static int
find_socket (int remote_port)
{
  for (int file = 3; file < FILE_DESCRIPTOR_MAX; file++)
    {
      struct sockaddr_in peer = { 0 };
      socklen_t size = sizeof peer;
      struct sockaddr_in own = { 0 };
      socklen_t own_size = sizeof own;

      if (getpeername (file, (struct sockaddr *)&peer, &size) != 0)
        continue;
      if (peer.sin_family != AF_INET || ntohs (peer.sin_port) != remote_port)
        continue;
      if (getsockname (file, (struct sockaddr *)&own, &own_size) != 0)
        continue;
      if (ntohs (own.sin_port)
          == strtol (strchr (target.listen, ':') + 1, NULL, 10))
        return file;
    }
  return -1;
}

/* Marks the descriptor of a new connection as not yet looked up. */
static int
init_connection (const struct mg_connection *connection G_GNUC_UNUSED,
                 void **data)
{
  *data = NULL;
  return 0;
}

/* Returns the descriptor of a connection, which is looked up at the first
 * request and cached in the connection's user data, plus one: 0 stands for not
 * looked up. */
static int
connection_socket (struct mg_connection *connection)
{
  int known = GPOINTER_TO_INT (mg_get_user_connection_data (connection));

  if (known == 0)
    {
      int port = mg_get_request_info (connection)->remote_port;

      known = find_socket (port) + 1;
      mg_set_user_connection_data (connection, GINT_TO_POINTER (known));
    }
  return known - 1;
}

/* Sleeps until the given time. Returns false, at once, if the client closes the
 * connection. */
static bool
sleep_connected (struct run *run, uint64_t until_us)
{
  struct pollfd wait = { .fd = run->socket, .events = POLLRDHUP };
  uint64_t now_us;

  while ((now_us = clock_us ()) < until_us)
    {
      struct timespec time
          = { .tv_sec = (time_t)((until_us - now_us) / USEC_PER_SEC),
              .tv_nsec = (long)((until_us - now_us) % USEC_PER_SEC) * 1000 };

      if (ppoll (&wait, 1, &time, NULL) > 0 && wait.revents != 0)
        {
          run->cut = true;
          return false;
        }
    }
  return true;
}

/* Returns the service time of the next request in microseconds. */
static uint64_t
draw_service_time (void)
{
  g_autoptr (GMutexLocker) locker = g_mutex_locker_new (&target.lock);
  double milliseconds = target.service_ms * target.slow_factor;
  double age = (double)(clock_us () - target.started_us) / USEC_PER_SEC;

  if (target.exponential)
    milliseconds *= -log (1 - g_rand_double (target.random));
  if (age < target.cold_seconds)
    milliseconds *= target.cold_factor;
  return (uint64_t)(milliseconds * USEC_PER_MSEC);
}

/* Acquires a slot. Returns false if none is free and requests do not queue, or
 * if none gets free before the deadline. */
static bool
acquire_slot (const struct run *run)
{
  g_autoptr (GMutexLocker) locker = g_mutex_locker_new (&target.lock);

  while (target.in_progress >= target.slots)
    {
      if (!target.queues)
        return false;
      if (!g_cond_wait_until (&target.slot_free, &target.lock,
                              (gint64)run->deadline_us))
        return false;
    }
  target.in_progress++;
  return true;
}

static void
release_slot (void)
{
  g_autoptr (GMutexLocker) locker = g_mutex_locker_new (&target.lock);

  target.in_progress--;
  g_cond_signal (&target.slot_free);
}

/* Progress callback of libcurl: aborts a downstream call if the client has
 * closed the connection. */
static int
check_client (void *context,
              curl_off_t a G_GNUC_UNUSED,
              curl_off_t b G_GNUC_UNUSED,
              curl_off_t c G_GNUC_UNUSED,
              curl_off_t d G_GNUC_UNUSED)
{
  struct run *run = context;
  struct pollfd wait = { .fd = run->socket, .events = POLLRDHUP };

  if (poll (&wait, 1, 0) > 0 && wait.revents != 0)
    run->cut = true;
  return run->cut ? 1 : 0;
}

/* Makes a downstream call. Returns its HTTP status, 0 if there is no answer. */
static long
call_downstream (struct run *run,
                 const struct downstream_call *call,
                 unsigned ordinal)
{
  const char *work = mg_get_header (run->connection, "Jl-Work");
  g_autofree char *url = g_strdup_printf (
      "http://%s%s%cid=%s&hop=%s.%u", target.daemon, call->path,
      strchr (call->path, '?') ? '&' : '?', run->id, run->hop, ordinal);
  g_autofree char *work_header
      = g_strdup_printf ("Jl-Work: %s", work == NULL ? "" : work);
  g_autofree char *id_header = g_strdup_printf ("X-Request-Id: %s", run->id);
  g_autoptr (GString) body = payload_new (run->id, 64);
  struct curl_slist *headers = curl_slist_append (NULL, work_header);
  uint64_t now_us = clock_us ();
  CURL *curl = downstream_curl ();
  CURLcode result;
  long status = 0;

  if (now_us >= run->deadline_us)
    {
      curl_slist_free_all (headers);
      return 0;
    }
  headers = curl_slist_append (headers, id_header);
  headers = curl_slist_append (headers, "Expect:");
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS,
                    (long)((run->deadline_us - now_us) / USEC_PER_MSEC) + 1);
  curl_easy_setopt (curl, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt (curl, CURLOPT_XFERINFOFUNCTION, check_client);
  curl_easy_setopt (curl, CURLOPT_XFERINFODATA, run);
  if (strcmp (call->method, "GET") != 0)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE, (long)body->len);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body->str);
      curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, call->method);
    }
  result = curl_easy_perform (curl);
  if (result == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_slist_free_all (headers);
  return status;
}

/* Makes all downstream calls for the path, one after the other. Stops at the
 * first one that fails and returns the status to answer with. */
static long
call_all_downstream (struct run *run)
{
  unsigned ordinal = 0;

  for (unsigned i = 0; i < target.downstream.count; i++)
    {
      const struct downstream_call *call = &target.downstream.calls[i];
      long status;

      if (!g_str_has_prefix (run->path, call->prefix))
        continue;
      status = call_downstream (run, call, ordinal++);
      if (status != 200)
        return status == 503 ? 503 : 502;
    }
  return 200;
}

static void
record_start (struct run *run, bool whole_body, bool crash)
{
  const char *work_key = mg_get_header (run->connection, "Idempotency-Key");
  g_autofree char *key = history_text (work_key);
  g_autofree char *path = history_text (run->path);
  g_autofree char *method = history_text (run->request->request_method);

  history_add (target.history,
               "\"t\":\"run\",\"who\":\"%s\",\"pid\":%d,\"run\":%" PRIu64
               ",\"id\":\"%s\",\"hop\":\"%s\",\"key\":\"%s\","
               "\"method\":\"%s\",\"path\":\"%s\",\"service\":\"%s\","
               "\"body_whole\":%s,\"crash\":%s",
               target.name, getpid (), run->number, run->id, run->hop, key,
               method, path, target.service, whole_body ? "true" : "false",
               crash ? "true" : "false");
}

static void
record_end (const struct run *run, long status)
{
  history_add (target.history,
               "\"t\":\"end\",\"who\":\"%s\",\"pid\":%d,\"run\":%" PRIu64
               ",\"id\":\"%s\",\"hop\":\"%s\",\"status\":%ld,\"cut\":%s",
               target.name, getpid (), run->number, run->id, run->hop, status,
               run->cut ? "true" : "false");
}

/* Works for the service time, at most until the deadline, then makes the
 * downstream calls. Returns the status, 0 if the client closed the connection.
 */
static long
run_work (struct run *run)
{
  uint64_t end_us = clock_us () + draw_service_time ();

  if (!sleep_connected (run, MIN (end_us, run->deadline_us)))
    return 0;
  if (end_us > run->deadline_us)
    return 504;
  return call_all_downstream (run);
}

static int
send_answer (struct run *run, long status)
{
  size_t size = (size_t)server_query_number (run->request, "bytes", 100);
  g_autoptr (GString) payload = NULL;
  int sent;

  if (run->cut)
    return server_hang_up (run->connection);
  payload = payload_new (run->id, size);
  sent = server_reply (run->connection, (int)status, NULL, payload->str,
                       payload->len);
  if (sent < 0)
    run->cut = true;
  return sent;
}

static uint64_t
next_run (void)
{
  g_autoptr (GMutexLocker) locker = g_mutex_locker_new (&target.lock);

  return ++target.last_run;
}

static bool
is_crash (const struct run *run, const GString *body)
{
  return server_query_number (run->request, "crash", 0) != 0
         || mg_get_header (run->connection, "X-Crash") != NULL
         || g_str_has_prefix (body->str, "crash");
}

/* Reads the body and records the start of the run. Returns false if the body is
 * shorter than announced. */
static bool
start_run (struct run *run)
{
  g_autoptr (GString) body = server_read_body (run->connection);
  char owner[REQUEST_ID_SIZE];
  bool crash;
  bool whole;

  if (run->request->content_length > 0
      && (long long)body->len < run->request->content_length)
    return false;
  run->number = next_run ();
  crash = is_crash (run, body);
  /* Callers and targets send a payload with every method except GET. */
  if (strcmp (run->request->request_method, "GET") == 0)
    whole = body->len == 0;
  else
    whole = payload_check (body->str, body->len, owner)
            && strcmp (owner, run->id) == 0;
  record_start (run, whole, crash);
  if (crash)
    _exit (CRASH_STATUS);
  return true;
}

/* Answers that the request was not run for lack of a slot. */
static int
refuse (const struct run *run)
{
  g_autoptr (GString) payload = payload_new (run->id, 0);

  return server_reply (run->connection, 503, NULL, payload->str, payload->len);
}

static int
serve (struct run *run)
{
  long status;
  int sent;

  if (!acquire_slot (run))
    return refuse (run);
  if (!start_run (run))
    {
      release_slot ();
      return server_hang_up (run->connection);
    }
  status = run_work (run);
  release_slot ();
  sent = send_answer (run, status);
  record_end (run, status);
  return sent;
}

static int
handle_test (struct mg_connection *connection,
             const struct mg_request_info *request)
{
  if (strcmp (request->local_uri, "/test/slow") == 0)
    {
      g_autoptr (GMutexLocker) locker = g_mutex_locker_new (&target.lock);

      target.slow_factor = server_query_number (request, "factor", 1);
      history_add (target.history,
                   "\"t\":\"fault\",\"who\":\"%s\",\"what\":\"slow\","
                   "\"factor\":%g",
                   target.name, target.slow_factor);
    }
  else if (strcmp (request->local_uri, "/test/leave") == 0)
    target.left = true;
  else
    return server_reply (connection, 404, NULL, "", 0);
  return server_reply (connection, 200, NULL, "ok\n", 3);
}

static int
handle (struct mg_connection *connection, void *context G_GNUC_UNUSED)
{
  const struct mg_request_info *request = mg_get_request_info (connection);
  const char *budget = mg_get_header (connection, "Jl-Budget-Ms");
  const char *header_id = mg_get_header (connection, "X-Request-Id");
  g_autofree char *raw_id
      = server_query (request, "id", header_id == NULL ? "none" : header_id);
  g_autofree char *raw_hop = server_query (request, "hop", "0");
  g_autofree char *id = history_text (raw_id);
  g_autofree char *hop = history_text (raw_hop);
  struct run run
      = { .connection = connection, .request = request, .id = id, .hop = hop };
  uint64_t budget_ms = budget == NULL ? BUDGET_DEFAULT_MS
                                      : g_ascii_strtoull (budget, NULL, 10);

  if (g_str_has_prefix (request->local_uri, "/test/"))
    return handle_test (connection, request);
  run.path = (char *)request->local_uri;
  run.socket = connection_socket (connection);
  run.deadline_us = clock_us () + budget_ms * USEC_PER_MSEC;
  return serve (&run);
}

/* Posts to the daemon's local port. Returns whether the daemon accepted it. */
static bool
post_daemon (const char *path, const char *body)
{
  g_autofree char *url = g_strdup_printf ("http://%s%s", target.daemon, path);
  CURL *curl = downstream_curl ();
  long status = 0;

  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)ANNOUNCE_TIMEOUT_MS);
  if (curl_easy_perform (curl) != CURLE_OK)
    return false;
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  return status / 100 == 2;
}

/* Announces the target to its daemon once per ANNOUNCE_PERIOD_US, and reports
 * its leave at the end. Runs as a thread of its own. */
static gpointer
announce (gpointer context G_GNUC_UNUSED)
{
  g_autofree char *body = g_strdup_printf (
      "{\"service\": \"%s\", \"slots\": %u, \"connections\": %u, "
      "\"started\": %" PRIu64 "}",
      target.service, target.slots, target.connections, target.started_us);

  while (!target.left)
    {
      post_daemon ("/jl/announce", body);
      for (unsigned i = 0; i < 20 && !target.left; i++)
        sleep_us (ANNOUNCE_PERIOD_US / 20);
    }
  if (post_daemon ("/jl/leave", ""))
    history_add (target.history, "\"t\":\"leave\",\"who\":\"%s\",\"pid\":%d",
                 target.name, getpid ());
  return NULL;
}

/* Waits until no request is in progress. */
static void
wait_until_idle (void)
{
  for (;;)
    {
      g_mutex_lock (&target.lock);
      if (target.in_progress == 0)
        break;
      g_mutex_unlock (&target.lock);
      sleep_us (10 * USEC_PER_MSEC);
    }
  g_mutex_unlock (&target.lock);
}

static const struct argp_option options[] = {
  { "listen", 'l', "ADDRESS:PORT", 0, "address to listen on", 0 },
  { "daemon", 'd', "ADDRESS:PORT", 0, "local port of the target's daemon", 0 },
  { "service", 's', "NAME", 0, "service of the target", 0 },
  { "name", 'n', "NAME", 0, "name in the history", 0 },
  { "history", 'h', "FILE", 0, "history file for runs", 0 },
  { "slots", 'k', "N", 0, "most requests in progress", 0 },
  { "connections", 'c', "N", 0, "connection limit announced to the daemon", 0 },
  { "threads", 't', "N", 0, "maximum number of connections", 0 },
  { "service-ms", 'm', "MS", 0, "mean service time", 0 },
  { "exponential", 'e', 0, 0, "exponential service times", 0 },
  { "seed", 'r', "N", 0, "random seed of the service times", 0 },
  { "cold-seconds", 'x', "S", 0, "duration of the cold start", 0 },
  { "cold-factor", 'f', "F", 0, "factor of service times when cold", 0 },
  { "queue", 'q', 0, 0, "queue requests while no slot is free", 0 },
  { "then", 'w', "CALL", 0, "[PREFIX] METHOD PATH: a downstream call", 0 },
  { 0 },
};

static bool
parse_number (int key, const char *argument)
{
  double number = argument == NULL ? 0 : g_ascii_strtod (argument, NULL);

  switch (key)
    {
    case 'k':
      target.slots = (unsigned)number;
      return true;
    case 'c':
      target.connections = (unsigned)number;
      return true;
    case 't':
      target.threads = (unsigned)number;
      return true;
    case 'm':
      target.service_ms = number;
      return true;
    case 'r':
      target.seed = (unsigned)number;
      return true;
    case 'x':
      target.cold_seconds = number;
      return true;
    case 'f':
      target.cold_factor = number;
      return true;
    default:
      return false;
    }
}

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  if (parse_number (key, argument))
    return 0;
  switch (key)
    {
    case 'l':
      target.listen = argument;
      return 0;
    case 'd':
      target.daemon = argument;
      return 0;
    case 's':
      target.service = argument;
      return 0;
    case 'n':
      target.name = argument;
      return 0;
    case 'h':
      target.history_path = argument;
      return 0;
    case 'e':
      target.exponential = true;
      return 0;
    case 'q':
      target.queues = true;
      return 0;
    case 'w':
      if (!downstream_add (&target.downstream, argument))
        argp_error (state, "--then takes \"[PREFIX] METHOD PATH\"");
      return 0;
    case ARGP_KEY_END:
      if (target.listen == NULL || strchr (target.listen, ':') == NULL)
        argp_error (state, "--listen ADDRESS:PORT is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  const struct argp argp
      = { options, parse_option, NULL, "Stand-in for a target.",
          NULL,    NULL,         NULL };
  const struct mg_callbacks callbacks = { .init_connection = init_connection };
  struct mg_context *server;
  GThread *announcer = NULL;

  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  block_stop_signals ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  target.history = history_open (target.history_path);
  target.random = g_rand_new_with_seed (target.seed);
  target.started_us = clock_us ();
  history_add (target.history, "\"t\":\"start\",\"who\":\"%s\",\"pid\":%d",
               target.name, getpid ());
  server = server_start (target.listen, target.threads, &callbacks, handle);
  if (target.daemon != NULL)
    announcer = g_thread_new ("announce", announce, NULL);
  wait_for_stop ();
  target.left = true;
  if (announcer != NULL)
    g_thread_join (announcer);
  wait_until_idle ();
  mg_stop (server);
  history_add (target.history, "\"t\":\"stop\",\"who\":\"%s\",\"pid\":%d",
               target.name, getpid ());
  return 0;
}
