/**
 * DOC: Strict lexical checks of JSON documents.
 */

#include "config/strict.h"

#include <string.h>

/**
 * struct container - an array or object whose closing bracket is still to come
 * @keys: keys of the object so far, NULL for an array
 */
struct container
{
  GHashTable *keys;
};

/**
 * struct scan - state of a scan
 * @text: copy of the document whose comments are replaced by spaces
 * @size: length of @text in bytes
 * @offset: offset of the next byte to scan
 * @expects_key: whether a string at @offset is a key of the innermost object
 * @depth: number of open arrays and objects
 * @containers: the open arrays and objects, innermost last
 */
struct scan
{
  char *text;
  size_t size;
  size_t offset;
  bool expects_key;
  int depth;
  struct container containers[JL_STRICT_DEPTH_MAX];
  GError **error;
};

unsigned
jl_strict_line (const char *text, size_t offset)
{
  unsigned line = 1;

  for (size_t i = 0; i < offset && text[i] != '\0'; i++)
    line += text[i] == '\n';
  return line;
}

static bool
fail (struct scan *scan,
      size_t offset,
      enum jl_config_error code,
      const char *message)
{
  g_set_error (scan->error, JL_CONFIG_ERROR, (int)code, "line %u: %s",
               jl_strict_line (scan->text, offset), message);
  return false;
}

static bool
fail_syntax (struct scan *scan, size_t offset, const char *message)
{
  return fail (scan, offset, JL_CONFIG_ERROR_SYNTAX, message);
}

/*
 * Replaces the bytes from @start up to the current offset by spaces. Line ends
 * stay, so that line numbers in errors are right.
 */
static void
erase (struct scan *scan, size_t start)
{
  for (size_t i = start; i < scan->offset; i++)
    if (scan->text[i] != '\n')
      scan->text[i] = ' ';
}

static bool
scan_line_comment (struct scan *scan)
{
  size_t start = scan->offset;

  while (scan->offset < scan->size && scan->text[scan->offset] != '\n')
    scan->offset++;
  erase (scan, start);
  return true;
}

static bool
scan_block_comment (struct scan *scan)
{
  size_t start = scan->offset;
  const char *end = strstr (scan->text + start + 2, "*/");

  if (end == NULL)
    return fail_syntax (scan, start, "unterminated comment");
  scan->offset = (size_t)(end - scan->text) + 2;
  erase (scan, start);
  return true;
}

static bool
scan_comment (struct scan *scan)
{
  char second = scan->text[scan->offset + 1];

  if (second == '/')
    return scan_line_comment (scan);
  if (second == '*')
    return scan_block_comment (scan);
  return fail_syntax (scan, scan->offset, "unexpected '/'");
}

/* Scans one escape sequence. The JSON parser checks the digits of \u. */
static bool
scan_escape (struct scan *scan)
{
  char letter = scan->text[scan->offset + 1];

  if (letter == '\0' || strchr ("\"\\/bfnrtu", letter) == NULL)
    return fail_syntax (scan, scan->offset, "unknown escape sequence");
  scan->offset += 2;
  return true;
}

/* Records the key from @start up to the current offset; rejects duplicates. */
static bool
record_key (struct scan *scan, size_t start)
{
  struct container *container = &scan->containers[scan->depth - 1];
  g_autofree char *key = g_strndup (scan->text + start, scan->offset - start);
  g_autofree char *message = g_strdup_printf ("key \"%s\" is given twice", key);

  scan->expects_key = false;
  if (strchr (key, '\\') != NULL)
    return fail (scan, start, JL_CONFIG_ERROR_KEY, "escape sequence in a key");
  if (!g_hash_table_add (container->keys, g_steal_pointer (&key)))
    return fail (scan, start, JL_CONFIG_ERROR_KEY, message);
  return true;
}

static bool
scan_string (struct scan *scan)
{
  size_t start = ++scan->offset;

  while (scan->offset < scan->size && scan->text[scan->offset] != '"')
    {
      if ((unsigned char)scan->text[scan->offset] < ' ')
        return fail_syntax (scan, scan->offset,
                            "control character in a string");
      if (scan->text[scan->offset] != '\\')
        scan->offset++;
      else if (!scan_escape (scan))
        return false;
    }
  if (scan->offset >= scan->size)
    return fail_syntax (scan, start, "unterminated string");
  if (scan->expects_key && !record_key (scan, start))
    return false;
  scan->offset++;
  return true;
}

static size_t
count_digits (const char *text)
{
  return strspn (text, "0123456789");
}

/* Returns the length of the number at @text, 0 if it is invalid by RFC 8259. */
static size_t
number_length (const char *text)
{
  const char *at = text + (*text == '-');
  size_t digits = count_digits (at);

  if (digits == 0 || (*at == '0' && digits > 1))
    return 0;
  at += digits;
  if (*at == '.')
    {
      digits = count_digits (at + 1);
      if (digits == 0)
        return 0;
      at += 1 + digits;
    }
  if (*at == 'e' || *at == 'E')
    {
      at += 1 + (at[1] == '+' || at[1] == '-');
      digits = count_digits (at);
      if (digits == 0)
        return 0;
      at += digits;
    }
  return (size_t)(at - text);
}

/* Returns the length of the literal or number at @text, 0 if it is neither. */
static size_t
scalar_length (const char *text)
{
  static const char *const literals[] = { "true", "false", "null" };

  for (size_t i = 0; i < G_N_ELEMENTS (literals); i++)
    if (g_str_has_prefix (text, literals[i]))
      return strlen (literals[i]);
  return number_length (text);
}

static bool
scan_scalar (struct scan *scan)
{
  const char *text = scan->text + scan->offset;
  size_t length = scalar_length (text);

  if (length == 0 || g_ascii_isalnum (text[length]) || text[length] == '.')
    return fail_syntax (scan, scan->offset, "not a JSON value");
  scan->offset += length;
  return true;
}

static bool
open_container (struct scan *scan, bool object)
{
  struct container *container = &scan->containers[scan->depth];

  if (scan->depth == JL_STRICT_DEPTH_MAX)
    return fail_syntax (scan, scan->offset, "nested too deeply");
  container->keys = NULL;
  if (object)
    container->keys
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  scan->depth++;
  scan->expects_key = object;
  scan->offset++;
  return true;
}

static void
pop_container (struct scan *scan)
{
  struct container *container = &scan->containers[--scan->depth];

  if (container->keys != NULL)
    g_hash_table_unref (container->keys);
}

static bool
close_container (struct scan *scan, bool object)
{
  if (scan->depth == 0
      || (scan->containers[scan->depth - 1].keys != NULL) != object)
    return fail_syntax (scan, scan->offset, "unmatched closing bracket");
  pop_container (scan);
  scan->expects_key = false;
  scan->offset++;
  return true;
}

static bool
scan_comma (struct scan *scan)
{
  scan->expects_key
      = scan->depth > 0 && scan->containers[scan->depth - 1].keys != NULL;
  scan->offset++;
  return true;
}

static bool
scan_token (struct scan *scan)
{
  char c = scan->text[scan->offset];

  switch (c)
    {
    case ' ':
    case '\t':
    case '\r':
    case '\n':
    case ':':
      scan->offset++;
      return true;
    case '/':
      return scan_comment (scan);
    case '"':
      return scan_string (scan);
    case ',':
      return scan_comma (scan);
    case '{':
    case '[':
      return open_container (scan, c == '{');
    case '}':
    case ']':
      return close_container (scan, c == '}');
    default:
      return scan_scalar (scan);
    }
}

char *
jl_strict_scan (const char *text, size_t size, GError **error)
{
  struct scan scan = { .size = size, .error = error };
  const char *end = NULL;
  bool valid;

  scan.text = g_strndup (text, size);
  if (!g_utf8_validate (text, (gssize)size, &end))
    valid = fail_syntax (&scan, (size_t)(end - text), "invalid UTF-8");
  else
    valid = true;
  while (valid && scan.offset < size)
    valid = scan_token (&scan);
  while (scan.depth > 0)
    pop_container (&scan);
  if (valid)
    return scan.text;
  g_free (scan.text);
  return NULL;
}
