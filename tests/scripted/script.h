#ifndef JACKDAWLADDER_TESTS_SCRIPT_H
#define JACKDAWLADDER_TESTS_SCRIPT_H

/**
 * DOC: Parser of event scripts, which have one command per line in the form
 * "TIME NAME WORDS KEY=VALUE".
 *
 * Times are in milliseconds. A word that begins with "#" starts a comment. A
 * syntax error ends the program with the number of the line.
 */

#include "jackdawladder/base.h"

/**
 * struct script_command - a line of a script
 * @words: the words after the name that don't contain "="
 * @values: map of keys to values
 */
struct script_command
{
  const char *file;
  uint32_t line;
  uint64_t time_us;
  char *name;
  GPtrArray *words;
  GHashTable *values;
};

/**
 * script_load - reads a script from a file
 *
 * Return: an array of struct script_command*, to be freed with
 * g_ptr_array_free().
 */
GPtrArray *script_load (const char *file);

/**
 * script_fail - prints an error with the line of @command and ends the program
 */
G_NORETURN void script_fail (const struct script_command *command,
                             const char *text);

/**
 * script_word - returns the word at @index; a missing word is an error
 */
const char *script_word (const struct script_command *command, uint32_t index);

/**
 * script_text - returns the value of a key, or @default_value if it is not
 * given
 */
const char *script_text (const struct script_command *command,
                         const char *key,
                         const char *default_value);

/**
 * script_number - returns the number of a key, or @default_value if it is not
 * given
 */
uint64_t script_number (const struct script_command *command,
                        const char *key,
                        uint64_t default_value);

/**
 * script_time - returns the time of a key, or @default_us if it is not given
 *
 * The script gives the time in milliseconds.
 *
 * Return: microseconds.
 */
uint64_t script_time (const struct script_command *command,
                      const char *key,
                      uint64_t default_us);

/**
 * script_lookup - returns the position of @name in @names
 *
 * An unknown name is an error.
 */
uint32_t script_lookup (const struct script_command *command,
                        const char *const *names,
                        uint32_t count,
                        const char *name);

/**
 * struct script_range - an inclusive range of numbers
 */
struct script_range
{
  uint64_t first;
  uint64_t last;
};

/**
 * script_range - parses "N" or "FIRST-LAST"
 */
struct script_range script_range (const struct script_command *command,
                                  const char *text);

#endif
