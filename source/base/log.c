/**
 * DOC: The catalogue of log events, and its way into GLib's logging.
 */

#define G_LOG_DOMAIN "jackdawladder"

#include "jackdawladder/log.h"

#include <inttypes.h>

/**
 * struct log_entry - one event of the catalogue
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

static const struct log_entry catalogue[] = {
  { JL_LOG_CONFIG_INSTALLED, G_LOG_LEVEL_MESSAGE, "configuration installed",
    "version", NULL },
  { JL_LOG_CONFIG_REFUSED, G_LOG_LEVEL_WARNING, "configuration refused",
    "version", NULL },
  { JL_LOG_TARGET_UP, G_LOG_LEVEL_MESSAGE, "target announced", "slots",
    "started" },
  { JL_LOG_TARGET_DOWN, G_LOG_LEVEL_WARNING, "target down", "reason", NULL },
  { JL_LOG_DRAIN_BEGUN, G_LOG_LEVEL_MESSAGE, "drain begun", NULL, NULL },
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
  { JL_LOG_STRIKE, G_LOG_LEVEL_WARNING, "request struck", "digest", "strikes" },
  { JL_LOG_STARTED, G_LOG_LEVEL_MESSAGE, "daemon started", NULL, NULL },
  { JL_LOG_STOPPED, G_LOG_LEVEL_MESSAGE, "daemon stopped", NULL, NULL },
  { JL_LOG_MALFORMED_REQUEST, G_LOG_LEVEL_WARNING, "malformed request", NULL,
    NULL },
  { JL_LOG_PLATFORM_LOST, G_LOG_LEVEL_WARNING, "platform out of reach", NULL,
    NULL },
  { JL_LOG_PLATFORM_BACK, G_LOG_LEVEL_MESSAGE, "platform in reach again", NULL,
    NULL },
};

static const struct log_entry *
find_entry (enum jl_log_number number)
{
  for (size_t i = 0; i < G_N_ELEMENTS (catalogue); i++)
    if (catalogue[i].number == number)
      return &catalogue[i];
  g_error ("log event %d is not in the catalogue", (int)number);
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
