#ifndef JACKDAWLADDER_CONFIG_STRICT_H
#define JACKDAWLADDER_CONFIG_STRICT_H

/**
 * DOC: Strict lexical checks of JSON documents.
 *
 * The checks reject input that json-c accepts, such as duplicate keys and
 * numbers that aren't valid JSON.
 */

#include "jackdawladder/config.h"

/* Maximum nesting depth of arrays and objects. */
#define JL_STRICT_DEPTH_MAX 8

/**
 * jl_strict_scan - checks the tokens of a document and removes its comments
 * @text: @size bytes
 *
 * Rejects invalid UTF-8, tokens that aren't valid JSON, mismatched brackets,
 * excessive nesting and duplicate keys. It does not check the order of the
 * tokens; the JSON parser does.
 *
 * Return: a NUL-terminated copy of the same length with each comment replaced
 * by spaces and line ends kept, to be freed with g_free(); or NULL with @error
 * set.
 */
char *jl_strict_scan (const char *text, size_t size, GError **error);

/**
 * jl_strict_line - returns the number of the line that holds byte @offset
 *
 * Return: the line number, where 1 is the first line.
 */
unsigned jl_strict_line (const char *text, size_t offset);

#endif
