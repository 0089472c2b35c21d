/**
 * DOC: Stand-in for callers: an open-loop load generator that records requests
 * and answers.
 *
 * Requests start at the times of a Poisson process, whether or not earlier ones
 * have ended. A single thread drives them with libcurl's multi interface.
 */

#include "common.h"
#include "parts/answer.h"
#include "parts/mix.h"

#include <argp.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENTRY_MAX 64
#define TICKET_MAX 256
#define BUCKET_US (100 * USEC_PER_MSEC)
#define BUCKET_MAX 6000
#define TICKET_TIMEOUT_US (5 * USEC_PER_SEC)
#define TICKET_RETRY_DELAY_US (50 * USEC_PER_MSEC)

/**
 * struct request - one request of a caller, with all its sendings
 * @start_us: time of the first sending, or of the first attempt to get a ticket
 * @due_us: time of the next sending, while the request waits for it
 * @sendings: number of sendings so far
 * @id: identifier; all sendings with the same key or content share it
 * @key: idempotency key, NULL if none
 */
struct request
{
  struct kind *kind;
  uint64_t number;
  uint64_t start_us;
  uint64_t due_us;
  unsigned sendings;
  char id[REQUEST_ID_SIZE];
  char *key;
};

/**
 * struct sending - one HTTP transfer
 * @is_ticket: the transfer fetches a ticket, with which @request is sent next
 */
struct sending
{
  struct request *request;
  const char *entry;
  bool is_ticket;
  uint64_t sent_us;
  CURL *curl;
  struct curl_slist *headers;
  GString *request_body;
  struct answer answer;
};

/**
 * struct caller - the options, then the state of the load generator
 * @ignores_retry_after: requests are sent again after @resend_ms, also when an
 *                       answer gives another time or forbids it
 * @same_content: all sendings of a request share one identifier
 * @requires_all: the exit status is 1 unless all requests got complete answers
 * @budget_ms: value of Jl-Budget-Ms, 0 for no such header
 * @idle: curl handles for reuse
 * @tickets: unused tickets from earlier answers
 * @goodput: complete answers in each interval of BUCKET_US
 */
struct caller
{
  const char *name;
  const char *history_path;
  const char *csv_path;
  double rate;
  double seconds;
  double start_after;
  unsigned seed;
  unsigned resends;
  bool ignores_retry_after;
  bool same_content;
  bool requires_all;
  long resend_ms;
  long timeout_ms;
  long budget_ms;
  unsigned in_progress_max;
  unsigned count_max;
  struct mix mix;
  const char *entries[ENTRY_MAX];
  unsigned entry_count;

  struct history *history;
  GRand *random;
  CURLM *multi;
  GQueue idle;
  GSequence *waiting; /* struct request, sorted by due_us */
  char *tickets[TICKET_MAX];
  unsigned ticket_count;
  unsigned in_progress;
  uint64_t last_number;
  uint64_t start_us;
  unsigned goodput[BUCKET_MAX];
};

static struct caller caller = { .name = "caller",
                                .rate = 100,
                                .seconds = 5,
                                .seed = 1,
                                .resend_ms = 100,
                                .timeout_ms = 5000,
                                .in_progress_max = 2000 };

static struct sending *
sending_new (struct request *request)
{
  struct sending *sending = g_new0 (struct sending, 1);

  sending->request = request;
  sending->entry = caller.entries[g_rand_int_range (
      caller.random, 0, (gint32)caller.entry_count)];
  answer_init (&sending->answer);
  sending->curl = g_queue_pop_head (&caller.idle);
  if (sending->curl == NULL)
    sending->curl = curl_easy_init ();
  curl_easy_reset (sending->curl);
  curl_easy_setopt (sending->curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (sending->curl, CURLOPT_PRIVATE, sending);
  answer_receive (&sending->answer, sending->curl);
  curl_easy_setopt (sending->curl, CURLOPT_TIMEOUT_MS, caller.timeout_ms);
  return sending;
}

static void
sending_free (struct sending *sending)
{
  curl_multi_remove_handle (caller.multi, sending->curl);
  g_queue_push_head (&caller.idle, sending->curl);
  curl_slist_free_all (sending->headers);
  answer_clear (&sending->answer);
  if (sending->request_body != NULL)
    g_string_free (sending->request_body, TRUE);
  g_free (sending);
}

static void
request_free (struct request *request)
{
  g_free (request->key);
  g_free (request);
}

static void
start_transfer (struct sending *sending, const char *url)
{
  curl_easy_setopt (sending->curl, CURLOPT_URL, url);
  curl_easy_setopt (sending->curl, CURLOPT_HTTPHEADER, sending->headers);
  sending->sent_us = clock_us ();
  caller.in_progress++;
  curl_multi_add_handle (caller.multi, sending->curl);
}

/* Fetches a ticket; the request is sent once the ticket arrives. */
static void
fetch_ticket (struct request *request)
{
  struct sending *sending = sending_new (request);
  g_autofree char *url
      = g_strdup_printf ("http://%s/jl/ticket", sending->entry);

  sending->is_ticket = true;
  start_transfer (sending, url);
}

static void add_header (struct sending *sending, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

static void
add_header (struct sending *sending, const char *format, ...)
{
  g_autofree char *line = NULL;
  va_list arguments;

  va_start (arguments, format);
  line = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  sending->headers = curl_slist_append (sending->headers, line);
}

static void
add_request_body (struct sending *sending)
{
  const struct request *request = sending->request;
  const char *method = request->kind->method;

  if (strcmp (method, "GET") == 0)
    return;
  sending->request_body
      = payload_new (request->id, request->kind->request_bytes);
  curl_easy_setopt (sending->curl, CURLOPT_POSTFIELDSIZE,
                    (long)sending->request_body->len);
  curl_easy_setopt (sending->curl, CURLOPT_POSTFIELDS,
                    sending->request_body->str);
  curl_easy_setopt (sending->curl, CURLOPT_CUSTOMREQUEST, method);
}

static void
record_send (const struct sending *sending)
{
  const struct request *request = sending->request;
  const struct kind *kind = request->kind;

  history_add (caller.history,
               "\"t\":\"send\",\"who\":\"%s\",\"request\":%" PRIu64
               ",\"sending\":%u,\"id\":\"%s\",\"kind\":\"%s\","
               "\"importance\":%d,\"idempotent\":%s,\"key\":\"%s\","
               "\"entry\":\"%s\"",
               caller.name, request->number, request->sendings, request->id,
               kind->name, kind->importance,
               kind->idempotent ? "true" : "false",
               request->key == NULL ? "" : request->key, sending->entry);
}

/* Sets the identifier of the next sending. A request that has a key, or the
 * same content each time, keeps the identifier of its first sending. */
static void
set_request_id (struct request *request)
{
  request->sendings++;
  if (request->sendings == 1 || request->kind->key != KEY_NONE
      || caller.same_content)
    {
      if (request->sendings == 1)
        snprintf (request->id, sizeof request->id, "%s-%" PRIu64, caller.name,
                  request->number);
      return;
    }
  snprintf (request->id, sizeof request->id, "%s-%" PRIu64 "_%u", caller.name,
            request->number, request->sendings);
}

static void
send_request (struct request *request)
{
  const struct kind *kind = request->kind;
  struct sending *sending;
  g_autofree char *url = NULL;

  if (kind->key == KEY_TICKET && request->key == NULL)
    {
      if (caller.ticket_count == 0)
        {
          fetch_ticket (request);
          return;
        }
      request->key = caller.tickets[--caller.ticket_count];
    }
  set_request_id (request);
  if (kind->key == KEY_OWN && request->key == NULL)
    request->key = g_strdup_printf ("own-%s", request->id);
  sending = sending_new (request);
  add_header (sending, "X-Request-Id: %s", request->id);
  add_header (sending, "Expect:");
  if (request->key != NULL)
    add_header (sending, "Idempotency-Key: %s", request->key);
  if (caller.budget_ms > 0)
    add_header (sending, "Jl-Budget-Ms: %ld", caller.budget_ms);
  add_request_body (sending);
  url = g_strdup_printf ("http://%s%s%cid=%s&bytes=%zu%s", sending->entry,
                         kind->path, strchr (kind->path, '?') ? '&' : '?',
                         request->id, kind->answer_bytes,
                         kind->crash ? "&crash=1" : "");
  record_send (sending);
  start_transfer (sending, url);
}

static int
compare_due (gconstpointer a, gconstpointer b, gpointer context G_GNUC_UNUSED)
{
  uint64_t due_a = ((const struct request *)a)->due_us;
  uint64_t due_b = ((const struct request *)b)->due_us;

  return (due_a > due_b) - (due_a < due_b);
}

static void
enqueue_request (struct request *request, uint64_t due_us)
{
  request->due_us = due_us;
  g_sequence_insert_sorted (caller.waiting, request, compare_due, NULL);
}

static void
save_ticket (const char *ticket)
{
  if (ticket[0] == '\0' || caller.ticket_count == TICKET_MAX)
    return;
  caller.tickets[caller.ticket_count++] = g_strdup (ticket);
}

static void
record_answer (const struct sending *sending,
               CURLcode result,
               long status,
               bool whole,
               bool own)
{
  const struct request *request = sending->request;

  history_add (
      caller.history,
      "\"t\":\"answer\",\"who\":\"%s\",\"request\":%" PRIu64
      ",\"sending\":%u,\"id\":\"%s\",\"kind\":\"%s\",\"entry\":\"%s\","
      "\"status\":%ld,\"outcome\":\"%s\",\"own_outcome\":\"%s\","
      "\"reason\":\"%s\",\"retry_after_ms\":%ld,\"whole\":%s,\"own\":%s,"
      "\"latency_us\":%" PRIu64 ",\"error\":\"%s\"",
      caller.name, request->number, request->sendings, request->id,
      request->kind->name, sending->entry, status, sending->answer.outcome,
      sending->answer.own_outcome, sending->answer.reason,
      sending->answer.retry_after_ms, whole ? "true" : "false",
      own ? "true" : "false", clock_us () - sending->sent_us,
      result == CURLE_OK ? "" : curl_easy_strerror (result));
}

/* Whether to send the request again; sets the time for it. An outcome without
 * a retry time means that another sending is of no use. */
static bool
plan_resend (const struct sending *sending, uint64_t *due_us)
{
  long wait_ms = caller.resend_ms;

  if (sending->request->sendings > caller.resends)
    return false;
  if (!caller.ignores_retry_after && sending->answer.outcome[0] != '\0')
    {
      if (sending->answer.retry_after_ms < 0)
        return false;
      wait_ms = sending->answer.retry_after_ms;
    }
  *due_us = clock_us () + (uint64_t)wait_ms * USEC_PER_MSEC;
  return true;
}

/* Counts the final result of a request. */
static void
count_result (struct kind *kind, const struct sending *sending, bool good)
{
  uint64_t bucket = (clock_us () - caller.start_us) / BUCKET_US;

  if (good)
    {
      kind->done++;
      if (bucket < BUCKET_MAX)
        caller.goodput[bucket]++;
    }
  else if (strcmp (sending->answer.outcome, "not-run") == 0)
    kind->refused++;
  else if (strcmp (sending->answer.outcome, "done") == 0)
    kind->failed++;
  else
    kind->unknown++;
}

static void
finish_ticket (struct sending *sending)
{
  struct request *request = sending->request;

  if (sending->answer.ticket[0] != '\0')
    {
      request->key = g_strdup (sending->answer.ticket);
      send_request (request);
    }
  else if (clock_us () < request->start_us + TICKET_TIMEOUT_US)
    enqueue_request (request, clock_us () + TICKET_RETRY_DELAY_US);
  else
    {
      request->kind->skipped++;
      request_free (request);
    }
}

static void
finish_request (struct sending *sending, CURLcode result)
{
  struct request *request = sending->request;
  char owner[REQUEST_ID_SIZE] = "";
  long status = 0;
  bool whole, own, good;
  uint64_t due_us;

  curl_easy_getinfo (sending->curl, CURLINFO_RESPONSE_CODE, &status);
  whole = result == CURLE_OK
          && payload_check (sending->answer.body->str,
                            sending->answer.body->len, owner);
  own = strcmp (owner, request->id) == 0;
  good = whole && own && status == 200;
  record_answer (sending, result, status, whole, own);
  save_ticket (sending->answer.ticket);
  if (!good && plan_resend (sending, &due_us))
    {
      enqueue_request (request, due_us);
      return;
    }
  count_result (request->kind, sending, good);
  request_free (request);
}

static void
finish_transfers (void)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (caller.multi, &left)) != NULL)
    {
      struct sending *sending;
      CURLcode result = message->data.result;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &sending);
      caller.in_progress--;
      if (sending->is_ticket)
        finish_ticket (sending);
      else
        finish_request (sending, result);
      sending_free (sending);
    }
}

static void
start_request (uint64_t now_us)
{
  struct kind *kind = mix_draw (&caller.mix, caller.random);
  struct request *request;

  kind->asked++;
  if (caller.in_progress >= caller.in_progress_max)
    {
      kind->skipped++;
      return;
    }
  request = g_new0 (struct request, 1);
  request->kind = kind;
  request->number = ++caller.last_number;
  request->start_us = now_us;
  send_request (request);
}

/* Sends the waiting requests that are due. */
static void
send_waiting (uint64_t now_us)
{
  while (!g_sequence_is_empty (caller.waiting))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (caller.waiting);
      struct request *request = g_sequence_get (first);

      if (request->due_us > now_us)
        return;
      g_sequence_remove (first);
      send_request (request);
    }
}

/* Returns an exponentially distributed interval between two requests. */
static uint64_t
draw_interval_us (void)
{
  double seconds = -log (1 - g_rand_double (caller.random)) / caller.rate;

  return (uint64_t)(seconds * USEC_PER_SEC);
}

static void
run_load (void)
{
  uint64_t end_us = caller.start_us + (uint64_t)(caller.seconds * USEC_PER_SEC);
  uint64_t next_us = caller.start_us;
  int running;

  for (;;)
    {
      uint64_t now_us = clock_us ();

      while (
          next_us <= now_us && next_us < end_us
          && (caller.count_max == 0 || caller.last_number < caller.count_max))
        {
          start_request (now_us);
          next_us += draw_interval_us ();
        }
      send_waiting (now_us);
      curl_multi_perform (caller.multi, &running);
      finish_transfers ();
      if ((next_us >= end_us
           || (caller.count_max > 0 && caller.last_number >= caller.count_max))
          && caller.in_progress == 0 && g_sequence_is_empty (caller.waiting))
        return;
      curl_multi_poll (caller.multi, NULL, 0, 1, NULL);
    }
}

/* Writes the goodput over time. */
static void
write_csv (void)
{
  FILE *file;
  uint64_t buckets = (clock_us () - caller.start_us) / BUCKET_US + 1;

  if (caller.csv_path == NULL)
    return;
  file = fopen (caller.csv_path, "w");
  if (file == NULL)
    {
      perror (caller.csv_path);
      exit (1);
    }
  fprintf (file, "ms,whole\n");
  for (uint64_t i = 0; i < buckets && i < BUCKET_MAX; i++)
    fprintf (file, "%" PRIu64 ",%u\n", i * BUCKET_US / USEC_PER_MSEC,
             caller.goodput[i]);
  fclose (file);
}

static const struct argp_option options[] = {
  { "entry", 'e', "ADDRESS:PORT", 0, "entry port of a daemon; repeatable", 0 },
  { "kind", 'k', "KIND", 0, "NAME METHOD PATH [name=value]...", 0 },
  { "name", 'n', "NAME", 0, "name in the history", 0 },
  { "history", 'h', "FILE", 0, "where to record requests", 0 },
  { "csv", 'c', "FILE", 0, "where to write the goodput over time", 0 },
  { "rate", 'r', "N", 0, "requests per second", 0 },
  { "seconds", 's', "S", 0, "how long new requests are started", 0 },
  { "count", 'C', "N", 0, "maximum number of requests", 0 },
  { "seed", 'S', "N", 0, "seed of start times, kinds and entries", 0 },
  { "resends", 'R', "N", 0, "maximum number of repetitions", 0 },
  { "resend-ms", 'M', "MS", 0, "delay before a request is sent again", 0 },
  { "hammer", 'H', 0, 0, "ignore Retry-After when sending again", 0 },
  { "all", 'a', 0, 0, "exit with 1 unless all answers are complete", 0 },
  { "same-content", 'x', 0, 0, "keep the content when sending again", 0 },
  { "timeout-ms", 't', "MS", 0, "timeout of each sending", 0 },
  { "budget-ms", 'b', "MS", 0, "value of Jl-Budget-Ms in all requests", 0 },
  { "in-progress", 'p', "N", 0, "most requests in progress", 0 },
  { 0 },
};

static bool
parse_number (int key, const char *argument)
{
  double number = argument == NULL ? 0 : g_ascii_strtod (argument, NULL);

  switch (key)
    {
    case 'r':
      caller.rate = number;
      return true;
    case 's':
      caller.seconds = number;
      return true;
    case 'C':
      caller.count_max = (unsigned)number;
      return true;
    case 'S':
      caller.seed = (unsigned)number;
      return true;
    case 'R':
      caller.resends = (unsigned)number;
      return true;
    case 'M':
      caller.resend_ms = (long)number;
      return true;
    case 't':
      caller.timeout_ms = (long)number;
      return true;
    case 'b':
      caller.budget_ms = (long)number;
      return true;
    case 'p':
      caller.in_progress_max = (unsigned)number;
      return true;
    default:
      return false;
    }
}

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  const char *problem;

  if (parse_number (key, argument))
    return 0;
  switch (key)
    {
    case 'e':
      if (caller.entry_count == ENTRY_MAX)
        argp_error (state, "too many entries");
      caller.entries[caller.entry_count++] = argument;
      return 0;
    case 'k':
      if (!mix_add (&caller.mix, argument, &problem))
        argp_error (state, "--kind %s: %s", argument, problem);
      return 0;
    case 'n':
      caller.name = argument;
      return 0;
    case 'h':
      caller.history_path = argument;
      return 0;
    case 'c':
      caller.csv_path = argument;
      return 0;
    case 'H':
      caller.ignores_retry_after = true;
      return 0;
    case 'a':
      caller.requires_all = true;
      return 0;
    case 'x':
      caller.same_content = true;
      return 0;
    case ARGP_KEY_END:
      if (caller.entry_count == 0 || caller.mix.count == 0)
        argp_error (state, "--entry and --kind are required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  const struct argp argp = {
    options, parse_option, NULL, "Stand-in for callers.", NULL, NULL, NULL
  };

  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  caller.history = history_open (caller.history_path);
  caller.random = g_rand_new_with_seed (caller.seed);
  caller.waiting = g_sequence_new (NULL);
  caller.multi = curl_multi_init ();
  curl_multi_setopt (caller.multi, CURLMOPT_MAXCONNECTS,
                     (long)caller.in_progress_max);
  caller.start_us = clock_us ();
  run_load ();
  mix_print (&caller.mix, caller.seconds);
  write_csv ();
  return caller.requires_all && !mix_all_whole (&caller.mix) ? 1 : 0;
}
