/**
 * DOC: Rewrites the heads of requests and responses that are passed on.
 */

#include "proxy/proxy.h"

#include "names.h"
#include "proxy/load-report.h"

#include <stdio.h>
#include <string.h>

/* Whether a name begins with @prefix, or is equal to it if @whole. Case is
 * ignored. '_' stands for '-' too, since some targets do not tell them apart.
 */
static bool
matches (const char *name, const char *prefix, bool whole)
{
  while (*prefix != '\0'
         && (g_ascii_tolower (*name) == g_ascii_tolower (*prefix)
             || (*name == '_' && *prefix == '-')))
    {
      name++;
      prefix++;
    }
  return *prefix == '\0' && (!whole || *name == '\0');
}

/* Size of a service's name as one word, in which a byte may take three, with
 * the final NUL. */
#define SERVICE_WORD_SIZE 624
_Static_assert(SERVICE_WORD_SIZE > 3 * (JL_TEXT_SIZE - 1), "names fit");

/* Statuses that promise a client that its request has not run. */
#define STATUS_REQUEST_TIMEOUT 408
#define STATUS_MISDIRECTED 421
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_UNAVAILABLE 503

/* Whether a field is internal to the proxies. Such fields are never passed on:
 * a proxy sets them itself. */
static bool
is_internal_field (const char *name)
{
  return matches (name, "Jl-", false);
}

/* Whether a field has the name of the attempt identifier in a spelling that
 * only some targets recognize. */
static bool
is_misspelled_id (const char *name)
{
  return matches (name, JL_HEADER_ATTEMPT_ID, true)
         && g_ascii_strcasecmp (name, JL_HEADER_ATTEMPT_ID) != 0;
}

/* Whether the entry or the guard sets a field itself and drops the client's
 * value. */
static bool
is_set_by_entry (const char *name)
{
  return is_internal_field (name) || is_misspelled_id (name)
         || matches (name, JL_HEADER_CALLER_SERVICE, true)
         || matches (name, JL_HEADER_DEADLINE_MS, true)
         || matches (name, JL_HEADER_TARGET_INSTANCE, true);
}

/* Whether a field carries an API key or names a customer. */
static bool
is_of_customer (const char *name)
{
  return matches (name, JL_AUTHORIZATION_FIELD, true)
         || matches (name, JL_HEADER_CUSTOMER, true);
}

/* Whether a field is for client and target even if the Connection field lists
 * its name. */
static bool
is_end_to_end (const char *name)
{
  return g_ascii_strcasecmp (name, "Host") == 0
         || g_ascii_strcasecmp (name, JL_HEADER_ATTEMPT_ID) == 0
         || g_ascii_strcasecmp (name, JL_HEADER_SERVER_SEAL) == 0
         || g_ascii_strcasecmp (name, JL_HEADER_NOT_EXECUTED) == 0;
}

/* Whether a field concerns only one connection. */
static bool
is_hop_by_hop (const struct jl_head *head, size_t index)
{
  return !is_end_to_end (jl_head_name (head, index))
         && jl_head_is_hop_by_hop (head, index);
}

static void
append_field (GString *text, const struct jl_head *head, size_t index)
{
  g_string_append (text, jl_head_name (head, index));
  g_string_append (text, ": ");
  g_string_append (text, jl_head_value (head, index));
  g_string_append (text, "\r\n");
}

static void
append_first_line (GString *text, const struct jl_head *head)
{
  g_string_append (text, head->method);
  g_string_append_c (text, ' ');
  g_string_append (text, jl_head_target (head));
  g_string_append (text, " HTTP/1.1\r\n");
}

static void
append_framing (GString *text, const struct jl_head *head)
{
  if (head->chunked)
    g_string_append (text, "Transfer-Encoding: chunked\r\n");
  else if (head->has_length)
    g_string_append_printf (text, "Content-Length: %" G_GUINT64_FORMAT "\r\n",
                            (guint64)head->length);
  g_string_append (text, "\r\n");
}

GString *
jl_headers_to_guard (const struct jl_head *head,
                     const struct jl_work_header *work,
                     const char *caller)
{
  GString *text = g_string_sized_new (512);
  char *service = jl_word_escape (work->service);

  append_first_line (text, head);
  for (size_t i = 0; i < head->fields->len; i++)
    if (!is_set_by_entry (jl_head_name (head, i)) && !is_hop_by_hop (head, i)
        && !(work->has_customers && is_of_customer (jl_head_name (head, i))))
      append_field (text, head, i);
  if (work->customer != NULL)
    g_string_append_printf (text, "%s: %s\r\n", JL_HEADER_CUSTOMER,
                            work->customer);
  g_string_append_printf (text, "%s: %s\r\n", JL_HEADER_CALLER_SERVICE, caller);
  g_string_append_printf (text, "%s: %s %u %u %u %08x %d %d", JL_WORK_FIELD,
                          service, work->rank, work->remaining_ms,
                          work->latency_goal_ms, work->route_key,
                          work->idempotent, work->trial);
  g_free (service);
  if (work->limited_key != 0)
    g_string_append_printf (text, " %08x %.3f", work->limited_key, work->limit);
  g_string_append (text, "\r\n");
  if (work->accepts_load)
    g_string_append_printf (text, "%s: 1 %u %u%s\r\n", JL_ACCEPT_LOAD_FIELD,
                            work->moves_left, work->spent_ms,
                            work->guest ? " 1" : "");
  append_framing (text, head);
  return text;
}

GString *
jl_headers_to_target (const struct jl_proxy *proxy,
                      const struct jl_head *head,
                      unsigned remaining_ms)
{
  bool has_customers = proxy->site != NULL && proxy->site->customers != NULL;
  GString *text = g_string_sized_new (512);

  append_first_line (text, head);
  for (size_t i = 0; i < head->fields->len; i++)
    if (!is_internal_field (jl_head_name (head, i)) && !is_hop_by_hop (head, i)
        && !(has_customers
             && matches (jl_head_name (head, i), JL_AUTHORIZATION_FIELD, true)))
      append_field (text, head, i);
  g_string_append_printf (text, "%s: %u\r\n%s: %s\r\n", JL_HEADER_DEADLINE_MS,
                          remaining_ms, JL_HEADER_TARGET_INSTANCE,
                          proxy->target.last.id);
  append_framing (text, head);
  return text;
}

/* Reads what a request says of load reports. A malformed field counts as none.
 */
static void
read_accept_load (const struct jl_head *head, struct jl_work_header *work)
{
  const char *value = jl_head_get (head, JL_ACCEPT_LOAD_FIELD);
  unsigned accepts = 0;
  unsigned guest = 0;

  if (value == NULL
      || sscanf (value, "%1u %1u %9u %1u", &accepts, &work->moves_left,
                 &work->spent_ms, &guest)
             < 3
      || accepts != 1)
    {
      work->moves_left = 0;
      work->spent_ms = 0;
      return;
    }
  work->guest = guest != 0;
  work->accepts_load = true;
}

bool
jl_headers_read_work (const struct jl_head *head, struct jl_work_header *work)
{
  const char *value = jl_head_get (head, JL_WORK_FIELD);
  char word[SERVICE_WORD_SIZE];
  char *service;
  int idempotent;
  int trial = 0;
  unsigned limited_key = 0;
  double limit = -1;

  if (value == NULL
      || sscanf (value, "%623s %u %u %u %8x %d %d %8x %lf", word, &work->rank,
                 &work->remaining_ms, &work->latency_goal_ms, &work->route_key,
                 &idempotent, &trial, &limited_key, &limit)
             < 6)
    return false;
  service = jl_word_unescape (word);
  g_strlcpy (work->service, service != NULL ? service : "",
             sizeof work->service);
  g_free (service);
  work->idempotent = idempotent != 0;
  work->trial = trial != 0;
  work->limited_key = limit >= 0 ? limited_key : 0;
  work->limit = limit;
  read_accept_load (head, work);
  return true;
}

bool
jl_headers_promise_not_run (const struct jl_head *head)
{
  return head->status == STATUS_REQUEST_TIMEOUT
         || head->status == STATUS_MISDIRECTED
         || head->status == STATUS_TOO_MANY_REQUESTS
         || head->status == STATUS_UNAVAILABLE;
}

GString *
jl_headers_to_client (const struct jl_head *head)
{
  GString *text = g_string_sized_new (256);

  for (size_t i = 0; i < head->fields->len; i++)
    if (!is_internal_field (jl_head_name (head, i)) && !is_hop_by_hop (head, i))
      append_field (text, head, i);
  return text;
}
