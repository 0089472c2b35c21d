/**
 * DOC: Identifiers and names shared by all modules.
 */

#include "jackdawladder/base.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

static const char *const outcome_names[] = { "done", "not-run", "unknown" };

static const char *const reason_names[JL_REASON_COUNT] = {
  "none",        "no-config", "no-kind",    "no-target", "overload",
  "downstream",  "deadline",  "draining",   "poison",    "target-lost",
  "timeout",     "cancelled", "too-large",  "home-lost", "platform",
  "in-progress", "duplicate", "key-reused", "no-tokens", "malformed",
};

uint64_t
jl_member_id (struct jl_endpoint control)
{
  return (uint64_t)control.ip << 16 | control.port;
}

struct jl_endpoint
jl_member_endpoint (uint64_t member)
{
  return (struct jl_endpoint){ .ip = (uint32_t)(member >> 16),
                               .port = (uint16_t)member };
}

bool
jl_endpoint_parse (const char *text, struct jl_endpoint *endpoint)
{
  char ip[INET_ADDRSTRLEN];
  const char *colon = strchr (text, ':');
  struct in_addr address;
  char *end = NULL;
  unsigned long port;

  if (colon == NULL || (size_t)(colon - text) >= sizeof ip)
    return false;
  memcpy (ip, text, (size_t)(colon - text));
  ip[colon - text] = '\0';
  if (inet_pton (AF_INET, ip, &address) != 1)
    return false;
  if (!g_ascii_isdigit (colon[1]))
    return false;
  port = strtoul (colon + 1, &end, 10);
  if (*end != '\0' || port == 0 || port > UINT16_MAX)
    return false;
  endpoint->ip = ntohl (address.s_addr);
  endpoint->port = (uint16_t)port;
  return true;
}

void
jl_endpoint_format (struct jl_endpoint endpoint, char *text)
{
  snprintf (text, JL_ENDPOINT_TEXT_SIZE, "%u.%u.%u.%u:%u", endpoint.ip >> 24,
            endpoint.ip >> 16 & 255, endpoint.ip >> 8 & 255, endpoint.ip & 255,
            endpoint.port);
}

bool
jl_endpoint_equal (struct jl_endpoint a, struct jl_endpoint b)
{
  return a.ip == b.ip && a.port == b.port;
}

bool
jl_identity_equal (struct jl_identity a, struct jl_identity b)
{
  return a.member == b.member && a.epoch == b.epoch;
}

bool
jl_attempt_id_equal (struct jl_attempt_id a, struct jl_attempt_id b)
{
  return jl_identity_equal (a.origin, b.origin) && a.number == b.number;
}

bool
jl_ticket_equal (struct jl_ticket a, struct jl_ticket b)
{
  return jl_identity_equal (a.issuer, b.issuer) && a.number == b.number
         && a.branch == b.branch;
}

/* Parses one to sixteen hexadecimal digits and advances @text past them. */
static bool
parse_hex (const char **text, uint64_t *number)
{
  uint64_t value = 0;
  int digits = 0;

  for (; g_ascii_isxdigit (**text); (*text)++)
    {
      if (++digits > 16)
        return false;
      value = value << 4 | (uint64_t)g_ascii_xdigit_value (**text);
    }
  *number = value;
  return digits > 0;
}

/* Parses exactly @count hexadecimal numbers, separated by dashes. */
static bool
parse_numbers (const char *text, uint64_t *numbers, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      if (i > 0 && *text++ != '-')
        return false;
      if (!parse_hex (&text, &numbers[i]))
        return false;
    }
  return *text == '\0';
}

void
jl_attempt_id_format (struct jl_attempt_id id, char *text)
{
  snprintf (text, JL_ID_TEXT_SIZE, "%" PRIx64 "-%" PRIx64 "-%" PRIx64,
            id.origin.member, id.origin.epoch, id.number);
}

bool
jl_attempt_id_parse (const char *text, struct jl_attempt_id *id)
{
  uint64_t numbers[3];

  if (!parse_numbers (text, numbers, G_N_ELEMENTS (numbers)))
    return false;
  id->origin.member = numbers[0];
  id->origin.epoch = numbers[1];
  id->number = numbers[2];
  return true;
}

void
jl_ticket_format (struct jl_ticket ticket, char *text)
{
  snprintf (
      text, JL_ID_TEXT_SIZE, "jl-%" PRIx64 "-%" PRIx64 "-%" PRIx64 "-%" PRIx64,
      ticket.issuer.member, ticket.issuer.epoch, ticket.number, ticket.branch);
}

bool
jl_ticket_parse (const char *text, struct jl_ticket *ticket)
{
  uint64_t numbers[4];

  if (strncmp (text, "jl-", 3) != 0)
    return false;
  if (!parse_numbers (text + 3, numbers, G_N_ELEMENTS (numbers)))
    return false;
  ticket->issuer.member = numbers[0];
  ticket->issuer.epoch = numbers[1];
  ticket->number = numbers[2];
  ticket->branch = numbers[3];
  return true;
}

const char *
jl_outcome_name (enum jl_outcome outcome)
{
  return outcome_names[outcome];
}

/* Returns the index of @name in @names, or -1. */
static int
find_name (const char *const *names, size_t count, const char *name)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (names[i], name) == 0)
      return (int)i;
  return -1;
}

bool
jl_outcome_parse (const char *name, enum jl_outcome *outcome)
{
  int index = find_name (outcome_names, G_N_ELEMENTS (outcome_names), name);

  if (index < 0)
    return false;
  *outcome = (enum jl_outcome)index;
  return true;
}

const char *
jl_reason_name (enum jl_reason reason)
{
  return reason_names[reason];
}

bool
jl_reason_parse (const char *name, enum jl_reason *reason)
{
  int index = find_name (reason_names, JL_REASON_COUNT, name);

  if (index < 0)
    return false;
  *reason = (enum jl_reason)index;
  return true;
}

uint64_t
jl_now (void)
{
  struct timespec time;

  clock_gettime (CLOCK_BOOTTIME, &time);
  return (uint64_t)time.tv_sec * JL_USEC_PER_SEC
         + (uint64_t)time.tv_nsec / 1000;
}

char *
jl_word_escape (const char *text)
{
  return g_uri_escape_string (text, "!\"#$&'()*+,/:;<=>?@[\\]^`{|}", FALSE);
}

char *
jl_word_unescape (const char *word)
{
  return g_uri_unescape_string (word, NULL);
}
