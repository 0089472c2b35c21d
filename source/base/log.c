/**
 * DOC: The table of log events, and their output through GLib.
 */

#define G_LOG_DOMAIN "jackdawladder"

#include "jackdawladder/log.h"

#include <inttypes.h>

/**
 * struct log_entry - definition of a log event
 * @text: sentence that follows the number
 * @first: name of the first argument, NULL for none
 * @second: name of the second argument, NULL for none
 */
struct log_entry
{
  enum jl_log_number number;
  GLogLevelFlags severity;
  const char *text;
  const char *first;
  const char *second;
};

static const struct log_entry entries[] = {
  { JL_LOG_CONFIG_INSTALLED, G_LOG_LEVEL_MESSAGE, "configuration installed",
    "version", NULL },
  { JL_LOG_CONFIG_REFUSED, G_LOG_LEVEL_WARNING, "configuration refused",
    "version", NULL },
  { JL_LOG_TARGET_UP, G_LOG_LEVEL_MESSAGE, "target announced", "slots",
    "started" },
  { JL_LOG_TARGET_DOWN, G_LOG_LEVEL_WARNING, "target down", "reason", NULL },
  { JL_LOG_DRAIN_STARTED, G_LOG_LEVEL_MESSAGE, "draining started", NULL, NULL },
  { JL_LOG_MEMBER_ALIVE, G_LOG_LEVEL_MESSAGE, "member alive", "member",
    "incarnation" },
  { JL_LOG_MEMBER_SUSPECT, G_LOG_LEVEL_MESSAGE, "member suspected", "member",
    "incarnation" },
  { JL_LOG_MEMBER_DEAD, G_LOG_LEVEL_WARNING, "member dead", "member",
    "incarnation" },
  { JL_LOG_MEMBER_LEFT, G_LOG_LEVEL_MESSAGE, "member left", "member",
    "incarnation" },
  { JL_LOG_LEVEL_LOWERED, G_LOG_LEVEL_MESSAGE, "admission level lowered",
    "level", "class" },
  { JL_LOG_LEVEL_RESTORED, G_LOG_LEVEL_MESSAGE, "admission level restored",
    NULL, NULL },
  { JL_LOG_STRIKE, G_LOG_LEVEL_WARNING,
    "request suspected of crashing a target", "digest", "strikes" },
  { JL_LOG_STARTED, G_LOG_LEVEL_MESSAGE, "daemon started", NULL, NULL },
  { JL_LOG_STOPPED, G_LOG_LEVEL_MESSAGE, "daemon stopped", NULL, NULL },
  { JL_LOG_MALFORMED_REQUEST, G_LOG_LEVEL_WARNING, "malformed request", NULL,
    NULL },
  { JL_LOG_PLATFORM_UNREACHABLE, G_LOG_LEVEL_WARNING, "platform unreachable",
    NULL, NULL },
  { JL_LOG_PLATFORM_REACHABLE, G_LOG_LEVEL_MESSAGE, "platform reachable again",
    NULL, NULL },
};

static const struct log_entry *
find_entry (enum jl_log_number number)
{
  for (size_t i = 0; i < G_N_ELEMENTS (entries); i++)
    if (entries[i].number == number)
      return &entries[i];
  g_error ("log event %d is not defined", (int)number);
}

void
jl_log (enum jl_log_number number, uint64_t first, uint64_t second)
{
  const struct log_entry *entry = find_entry (number);

  if (entry->second != NULL)
    g_log (G_LOG_DOMAIN, entry->severity, "E%03d %s %s=%" PRIu64 " %s=%" PRIu64,
           (int)number, entry->text, entry->first, first, entry->second,
           second);
  else if (entry->first != NULL)
    g_log (G_LOG_DOMAIN, entry->severity, "E%03d %s %s=%" PRIu64, (int)number,
           entry->text, entry->first, first);
  else
    g_log (G_LOG_DOMAIN, entry->severity, "E%03d %s", (int)number, entry->text);
}

void
jl_log_text (enum jl_log_number number, const char *text)
{
  const struct log_entry *entry = find_entry (number);

  g_log (G_LOG_DOMAIN, entry->severity, "E%03d %s: %s", (int)number,
         entry->text, text);
}
