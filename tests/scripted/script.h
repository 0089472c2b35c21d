#ifndef JACKDAWLADDER_TESTS_SCRIPT_H
#define JACKDAWLADDER_TESTS_SCRIPT_H

/**
 * DOC: Scripts of events: one command a line, "TIME NAME WORDS KEY=VALUE".
 *
 * Times are in milliseconds. Text after "#" is left out. A script that can't
 * be read ends the program with its line number.
 */

#include "jackdawladder/base.h"

/**
 * struct script_command - one line
 * @words: the words without "=", the first after the name
 * @values: keys to values
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
 * script_load - reads a script
 *
 * Return: an array of struct script_command*, to be freed with
 * g_ptr_array_free().
 */
GPtrArray *script_load (const char *file);

/**
 * script_fail - ends the program
 */
G_NORETURN void script_fail (const struct script_command *command,
                             const char *text);

/**
 * script_word - word number @index, which has to be there
 */
const char *script_word (const struct script_command *command, uint32_t index);

/**
 * script_text - a value by key, @absent when it is not given
 */
const char *script_text (const struct script_command *command,
                         const char *key,
                         const char *absent);

/**
 * script_number - a number by key, @absent when it is not given
 */
uint64_t script_number (const struct script_command *command,
                        const char *key,
                        uint64_t absent);

/**
 * script_time - a time in milliseconds by key, in microseconds
 */
uint64_t script_time (const struct script_command *command,
                      const char *key,
                      uint64_t absent_us);

/**
 * script_name - position of @name in @names, which has to be there
 */
uint32_t script_name (const struct script_command *command,
                      const char *const *names,
                      uint32_t count,
                      const char *name);

/**
 * struct script_range - "N" or "FIRST-LAST"
 */
struct script_range
{
  uint64_t first;
  uint64_t last;
};

struct script_range script_range (const struct script_command *command,
                                  const char *text);

#endif
