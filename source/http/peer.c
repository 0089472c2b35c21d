/**
 * DOC: HTTP headers of the calls between daemons.
 */

#include "jackdawladder/peer.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Format version, the first word of each header. */
#define PEER_VERSION "v1"
#define LINE_MAX_BYTES 512

/*
 * Splits a header into words. Returns NULL unless the header has @count words
 * and a known version.
 */
static char **
split_header (const struct jl_http_message *message,
              const char *header,
              size_t count)
{
  const char *line = jl_http_header (message, header);
  char **words;

  if (line == NULL || strlen (line) >= LINE_MAX_BYTES)
    return NULL;
  words = g_strsplit (line, " ", (int)count + 1);
  if (g_strv_length (words) == count && strcmp (words[0], PEER_VERSION) == 0)
    return words;
  g_strfreev (words);
  return NULL;
}

static bool
parse_number (const char *word, uint64_t max, uint64_t *number)
{
  return g_ascii_string_to_unsigned (word, 10, 0, max, number, NULL);
}

static bool
parse_number_32 (const char *word, uint32_t max, uint32_t *number)
{
  uint64_t wide;

  if (!parse_number (word, max, &wide))
    return false;
  *number = (uint32_t)wide;
  return true;
}

static bool
parse_name (const char *word, char *name)
{
  return g_strlcpy (name, word, JL_NAME_SIZE) < JL_NAME_SIZE;
}

void
jl_peer_add_call (struct jl_http_message *message,
                  const struct jl_peer_call *call)
{
  char attempt[JL_ID_TEXT_SIZE];
  char anchor[JL_ID_TEXT_SIZE];
  char line[LINE_MAX_BYTES];

  jl_attempt_id_format (call->attempt, attempt);
  jl_ticket_format (call->anchor, anchor);
  snprintf (line, sizeof line,
            PEER_VERSION " %s %u %" PRIu64 " %" PRIu64 " %s %u %" PRIu64 " %s",
            attempt, call->priority, call->invested_us, call->budget_us, anchor,
            call->tokens, call->digest, call->kind);
  jl_http_add_header (message, JL_PEER_CALL_HEADER, line);
}

bool
jl_peer_get_call (const struct jl_http_message *message,
                  struct jl_peer_call *call)
{
  char **words = split_header (message, JL_PEER_CALL_HEADER, 9);
  bool valid;

  if (words == NULL)
    return false;
  valid = jl_attempt_id_parse (words[1], &call->attempt)
          && parse_number_32 (words[2], JL_PRIORITY_COUNT - 1, &call->priority)
          && parse_number (words[3], INT64_MAX, &call->invested_us)
          && parse_number (words[4], INT64_MAX, &call->budget_us)
          && jl_ticket_parse (words[5], &call->anchor)
          && parse_number_32 (words[6], UINT16_MAX, &call->tokens)
          && parse_number (words[7], UINT64_MAX, &call->digest)
          && parse_name (words[8], call->kind);
  g_strfreev (words);
  return valid;
}

void
jl_peer_add_forward (struct jl_http_message *message,
                     const struct jl_peer_forward *forward)
{
  char attempt[JL_ID_TEXT_SIZE];
  char ticket[JL_ID_TEXT_SIZE];
  char line[LINE_MAX_BYTES];

  jl_attempt_id_format (forward->attempt, attempt);
  jl_ticket_format (forward->ticket, ticket);
  snprintf (line, sizeof line,
            PEER_VERSION " %s %s %u %" PRIu64 " %" PRIu64 " %u %" PRIu64 " %s",
            attempt, ticket, forward->priority, forward->invested_us,
            forward->budget_us, forward->tokens, forward->digest,
            forward->kind);
  jl_http_add_header (message, JL_PEER_FORWARD_HEADER, line);
}

bool
jl_peer_get_forward (const struct jl_http_message *message,
                     struct jl_peer_forward *forward)
{
  char **words = split_header (message, JL_PEER_FORWARD_HEADER, 9);
  bool valid;

  if (words == NULL)
    return false;
  valid
      = jl_attempt_id_parse (words[1], &forward->attempt)
        && jl_ticket_parse (words[2], &forward->ticket)
        && parse_number_32 (words[3], JL_PRIORITY_COUNT - 1, &forward->priority)
        && parse_number (words[4], INT64_MAX, &forward->invested_us)
        && parse_number (words[5], INT64_MAX, &forward->budget_us)
        && parse_number_32 (words[6], UINT16_MAX, &forward->tokens)
        && parse_number (words[7], UINT64_MAX, &forward->digest)
        && parse_name (words[8], forward->kind);
  g_strfreev (words);
  return valid;
}

static void
add_report (struct jl_http_message *message,
            const struct jl_report *report,
            const struct jl_config *config)
{
  GString *line = g_string_new (NULL);

  for (uint32_t i = 0; i < report->count; i++)
    {
      const struct jl_report_item *item = &report->items[i];

      if (item->service < config->service_count)
        g_string_append_printf (line, "%s%s=%u", line->len > 0 ? "," : "",
                                config->services[item->service].name,
                                item->level);
    }
  if (line->len > 0)
    jl_http_add_header (message, JL_PEER_REPORT_HEADER, line->str);
  g_string_free (line, TRUE);
}

void
jl_peer_add_answer (struct jl_http_message *message,
                    const struct jl_peer_answer *answer,
                    const struct jl_config *config)
{
  char attempt[JL_ID_TEXT_SIZE];
  char line[LINE_MAX_BYTES];

  jl_attempt_id_format (answer->attempt, attempt);
  snprintf (line, sizeof line, PEER_VERSION " %s %s %s %d %u %u %u", attempt,
            jl_outcome_name (answer->outcome), jl_reason_name (answer->reason),
            answer->no_retry, answer->retry_after_ms, answer->tokens,
            answer->report.load_permille);
  jl_http_add_header (message, JL_PEER_ANSWER_HEADER, line);
  if (config != NULL)
    add_report (message, &answer->report, config);
}

/* Adds one "service=level" item; unknown services and malformed items are
   skipped. */
static void
parse_report_item (const char *text,
                   struct jl_report *report,
                   const struct jl_config *config)
{
  const char *equals = strchr (text, '=');
  char name[JL_NAME_SIZE];
  uint32_t level;
  uint32_t service;

  if (equals == NULL || (size_t)(equals - text) >= sizeof name
      || report->count == JL_REPORT_MAX)
    return;
  memcpy (name, text, (size_t)(equals - text));
  name[equals - text] = '\0';
  service = jl_config_find_service (config, name);
  if (service == JL_NONE
      || !parse_number_32 (equals + 1, JL_PRIORITY_COUNT, &level))
    return;
  report->items[report->count].service = service;
  report->items[report->count].level = level;
  report->count++;
}

static void
get_report (const struct jl_http_message *message,
            struct jl_report *report,
            const struct jl_config *config)
{
  const char *line = jl_http_header (message, JL_PEER_REPORT_HEADER);
  char **items;

  report->count = 0;
  if (line == NULL)
    return;
  items = g_strsplit (line, ",", JL_REPORT_MAX + 1);
  for (char **item = items; *item != NULL; item++)
    parse_report_item (*item, report, config);
  g_strfreev (items);
}

bool
jl_peer_get_answer (const struct jl_http_message *message,
                    struct jl_peer_answer *answer,
                    const struct jl_config *config)
{
  char **words = split_header (message, JL_PEER_ANSWER_HEADER, 8);
  uint64_t no_retry = 0;
  bool valid;

  if (words == NULL)
    return false;
  valid = jl_attempt_id_parse (words[1], &answer->attempt)
          && jl_outcome_parse (words[2], &answer->outcome)
          && jl_reason_parse (words[3], &answer->reason)
          && parse_number (words[4], 1, &no_retry)
          && parse_number_32 (words[5], UINT32_MAX, &answer->retry_after_ms)
          && parse_number_32 (words[6], UINT16_MAX, &answer->tokens)
          && parse_number_32 (words[7], UINT32_MAX,
                              &answer->report.load_permille);
  answer->no_retry = no_retry != 0;
  g_strfreev (words);
  get_report (message, &answer->report, config);
  return valid;
}
