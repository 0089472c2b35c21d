/**
 * DOC: Parser of event scripts.
 */

#include "script.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
script_fail (const struct script_command *command, const char *text)
{
  fprintf (stderr, "%s:%u: %s\n", command->file, command->line, text);
  exit (2);
}

static uint64_t
parse_number (const struct script_command *command, const char *text)
{
  char *end = NULL;
  uint64_t value = g_ascii_strtoull (text, &end, 10);

  if (end == text || *end != '\0')
    script_fail (command, "not a number");
  return value;
}

/*
 * Parses milliseconds, which may have a fraction.
 *
 * Return: microseconds, rounded.
 */
static uint64_t
parse_time (const struct script_command *command, const char *text)
{
  char *end = NULL;
  double value = g_ascii_strtod (text, &end);

  if (end == text || *end != '\0' || value < 0)
    script_fail (command, "not a time in milliseconds");
  return (uint64_t)(value * (double)JL_USEC_PER_MSEC + 0.5);
}

static void
add_argument (struct script_command *command, const char *text)
{
  const char *equals = strchr (text, '=');

  if (equals == NULL)
    {
      g_ptr_array_add (command->words, g_strdup (text));
      return;
    }
  g_hash_table_insert (command->values,
                       g_strndup (text, (gsize)(equals - text)),
                       g_strdup (equals + 1));
}

static void
free_command (gpointer data)
{
  struct script_command *command = data;

  g_free (command->name);
  g_ptr_array_free (command->words, TRUE);
  g_hash_table_destroy (command->values);
  g_free (command);
}

static struct script_command *
parse_line (const char *file, uint32_t line, const char *text)
{
  struct script_command *command = g_new0 (struct script_command, 1);
  char **parts = g_strsplit_set (text, " \t", -1);
  uint32_t count = 0;

  command->file = file;
  command->line = line;
  command->words = g_ptr_array_new_with_free_func (g_free);
  command->values
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (char **part = parts; *part != NULL && (*part)[0] != '#'; part++)
    {
      if ((*part)[0] == '\0')
        continue;
      if (count == 0)
        command->time_us = parse_time (command, *part);
      else if (count == 1)
        command->name = g_strdup (*part);
      else
        add_argument (command, *part);
      count++;
    }
  g_strfreev (parts);
  if (command->name != NULL)
    return command;
  if (count == 1)
    script_fail (command, "no command");
  free_command (command);
  return NULL;
}

GPtrArray *
script_load (const char *file)
{
  GPtrArray *commands = g_ptr_array_new_with_free_func (free_command);
  char *text = NULL;
  char **lines;

  if (!g_file_get_contents (file, &text, NULL, NULL))
    {
      fprintf (stderr, "%s: not readable\n", file);
      exit (2);
    }
  lines = g_strsplit (text, "\n", -1);
  for (uint32_t i = 0; lines[i] != NULL; i++)
    {
      struct script_command *command = parse_line (file, i + 1, lines[i]);

      if (command != NULL)
        g_ptr_array_add (commands, command);
    }
  g_strfreev (lines);
  g_free (text);
  return commands;
}

const char *
script_word (const struct script_command *command, uint32_t index)
{
  if (index >= command->words->len)
    script_fail (command, "a word is missing");
  return g_ptr_array_index (command->words, index);
}

const char *
script_text (const struct script_command *command,
             const char *key,
             const char *default_value)
{
  const char *value = g_hash_table_lookup (command->values, key);

  return value == NULL ? default_value : value;
}

uint64_t
script_number (const struct script_command *command,
               const char *key,
               uint64_t default_value)
{
  const char *value = g_hash_table_lookup (command->values, key);

  return value == NULL ? default_value : parse_number (command, value);
}

uint64_t
script_time (const struct script_command *command,
             const char *key,
             uint64_t default_us)
{
  const char *value = g_hash_table_lookup (command->values, key);

  return value == NULL ? default_us : parse_time (command, value);
}

uint32_t
script_lookup (const struct script_command *command,
               const char *const *names,
               uint32_t count,
               const char *name)
{
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (names[i], name) == 0)
      return i;
  script_fail (command, "unknown word");
}

struct script_range
script_range (const struct script_command *command, const char *text)
{
  char **parts = g_strsplit (text, "-", 2);
  struct script_range range;

  range.first = parse_number (command, parts[0]);
  range.last
      = parts[1] == NULL ? range.first : parse_number (command, parts[1]);
  g_strfreev (parts);
  if (range.last < range.first)
    script_fail (command, "the range ends before it begins");
  return range;
}
