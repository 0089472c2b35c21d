#ifndef JACKDAWLADDER_CONFIG_STRICT_H
#define JACKDAWLADDER_CONFIG_STRICT_H

/**
 * DOC: What json-c lets through and the project refuses.
 */

#include "jackdawladder/config.h"

/* Arrays and objects within each other. */
#define JL_STRICT_DEPTH_MAX 8

/**
 * jl_strict_scan - checks the tokens of a document and blanks its comments
 * @text: @size bytes
 *
 * Refuses invalid UTF-8, tokens that are not JSON, deep nesting and duplicate
 * keys. The order of the tokens is left to the parser.
 *
 * Return: a copy of the same length whose comments are spaces, zero-terminated,
 * or NULL with @error set. Free with g_free().
 */
char *jl_strict_scan (const char *text, size_t size, GError **error);

/**
 * jl_strict_line - number of the line that holds byte @offset, from 1
 */
unsigned jl_strict_line (const char *text, size_t offset);

#endif
