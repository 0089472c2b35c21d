/**
 * DOC: What json-c lets through and the project refuses.
 */

#include "config/strict.h"

#include <string.h>

/**
 * struct level - an array or object that is open
 * @keys: keys seen in it, NULL for an array
 */
struct level
{
  GHashTable *keys;
};

/**
 * struct scan - state of one scan
 * @text: copy whose comments are blanked
 * @at: next byte
 * @key_next: a string at this place is a key of the innermost object
 */
struct scan
{
  char *text;
  size_t size;
  size_t at;
  bool key_next;
  int depth;
  struct level levels[JL_STRICT_DEPTH_MAX];
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
refuse (struct scan *scan,
        size_t at,
        enum jl_config_error code,
        const char *why)
{
  g_set_error (scan->error, JL_CONFIG_ERROR, (int)code, "line %u: %s",
               jl_strict_line (scan->text, at), why);
  return false;
}

static bool
refuse_syntax (struct scan *scan, size_t at, const char *why)
{
  return refuse (scan, at, JL_CONFIG_ERROR_SYNTAX, why);
}

/* Overwrites @from up to the next byte with spaces, but for line ends. */
static void
blank (struct scan *scan, size_t from)
{
  for (size_t i = from; i < scan->at; i++)
    if (scan->text[i] != '\n')
      scan->text[i] = ' ';
}

static bool
scan_line_comment (struct scan *scan)
{
  size_t start = scan->at;

  while (scan->at < scan->size && scan->text[scan->at] != '\n')
    scan->at++;
  blank (scan, start);
  return true;
}

static bool
scan_block_comment (struct scan *scan)
{
  size_t start = scan->at;
  const char *end = strstr (scan->text + start + 2, "*/");

  if (end == NULL)
    return refuse_syntax (scan, start, "comment without an end");
  scan->at = (size_t)(end - scan->text) + 2;
  blank (scan, start);
  return true;
}

static bool
scan_comment (struct scan *scan)
{
  char second = scan->text[scan->at + 1];

  if (second == '/')
    return scan_line_comment (scan);
  if (second == '*')
    return scan_block_comment (scan);
  return refuse_syntax (scan, scan->at, "unexpected '/'");
}

/* Moves past one escape sequence; the parser checks \u itself. */
static bool
scan_escape (struct scan *scan)
{
  char letter = scan->text[scan->at + 1];

  if (letter == '\0' || strchr ("\"\\/bfnrtu", letter) == NULL)
    return refuse_syntax (scan, scan->at, "unknown escape sequence");
  scan->at += 2;
  return true;
}

/* Notes the key between @start and the next byte. */
static bool
take_key (struct scan *scan, size_t start)
{
  struct level *level = &scan->levels[scan->depth - 1];
  g_autofree char *key = g_strndup (scan->text + start, scan->at - start);
  g_autofree char *why = g_strdup_printf ("key \"%s\" is given twice", key);

  scan->key_next = false;
  if (strchr (key, '\\') != NULL)
    return refuse (scan, start, JL_CONFIG_ERROR_KEY, "escape in a key");
  if (!g_hash_table_add (level->keys, g_steal_pointer (&key)))
    return refuse (scan, start, JL_CONFIG_ERROR_KEY, why);
  return true;
}

static bool
scan_string (struct scan *scan)
{
  size_t start = ++scan->at;

  while (scan->at < scan->size && scan->text[scan->at] != '"')
    {
      if ((unsigned char)scan->text[scan->at] < ' ')
        return refuse_syntax (scan, scan->at, "control character in a string");
      if (scan->text[scan->at] != '\\')
        scan->at++;
      else if (!scan_escape (scan))
        return false;
    }
  if (scan->at >= scan->size)
    return refuse_syntax (scan, start, "string without an end");
  if (scan->key_next && !take_key (scan, start))
    return false;
  scan->at++;
  return true;
}

static size_t
skip_digits (const char *text)
{
  return strspn (text, "0123456789");
}

/* Length of the number at @text, 0 when it is none by RFC 8259. */
static size_t
measure_number (const char *text)
{
  const char *at = text + (*text == '-');
  size_t digits = skip_digits (at);

  if (digits == 0 || (*at == '0' && digits > 1))
    return 0;
  at += digits;
  if (*at == '.')
    {
      digits = skip_digits (at + 1);
      if (digits == 0)
        return 0;
      at += 1 + digits;
    }
  if (*at == 'e' || *at == 'E')
    {
      at += 1 + (at[1] == '+' || at[1] == '-');
      digits = skip_digits (at);
      if (digits == 0)
        return 0;
      at += digits;
    }
  return (size_t)(at - text);
}

/* Length of the literal or number at @text, 0 when it is neither. */
static size_t
measure_word (const char *text)
{
  static const char *const literals[] = { "true", "false", "null" };

  for (size_t i = 0; i < G_N_ELEMENTS (literals); i++)
    if (g_str_has_prefix (text, literals[i]))
      return strlen (literals[i]);
  return measure_number (text);
}

static bool
scan_word (struct scan *scan)
{
  const char *text = scan->text + scan->at;
  size_t length = measure_word (text);

  if (length == 0 || g_ascii_isalnum (text[length]) || text[length] == '.')
    return refuse_syntax (scan, scan->at, "not a JSON value");
  scan->at += length;
  return true;
}

static bool
open_level (struct scan *scan, bool object)
{
  struct level *level = &scan->levels[scan->depth];

  if (scan->depth == JL_STRICT_DEPTH_MAX)
    return refuse_syntax (scan, scan->at, "nested too deep");
  level->keys = NULL;
  if (object)
    level->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  scan->depth++;
  scan->key_next = object;
  scan->at++;
  return true;
}

static void
drop_level (struct scan *scan)
{
  struct level *level = &scan->levels[--scan->depth];

  if (level->keys != NULL)
    g_hash_table_unref (level->keys);
}

static bool
close_level (struct scan *scan, bool object)
{
  if (scan->depth == 0
      || (scan->levels[scan->depth - 1].keys != NULL) != object)
    return refuse_syntax (scan, scan->at, "bracket that closes nothing");
  drop_level (scan);
  scan->key_next = false;
  scan->at++;
  return true;
}

static bool
scan_comma (struct scan *scan)
{
  scan->key_next
      = scan->depth > 0 && scan->levels[scan->depth - 1].keys != NULL;
  scan->at++;
  return true;
}

static bool
scan_token (struct scan *scan)
{
  char c = scan->text[scan->at];

  switch (c)
    {
    case ' ':
    case '\t':
    case '\r':
    case '\n':
    case ':':
      scan->at++;
      return true;
    case '/':
      return scan_comment (scan);
    case '"':
      return scan_string (scan);
    case ',':
      return scan_comma (scan);
    case '{':
    case '[':
      return open_level (scan, c == '{');
    case '}':
    case ']':
      return close_level (scan, c == '}');
    default:
      return scan_word (scan);
    }
}

char *
jl_strict_scan (const char *text, size_t size, GError **error)
{
  struct scan scan = { .size = size, .error = error };
  const char *end = NULL;
  bool good;

  scan.text = g_strndup (text, size);
  if (!g_utf8_validate (text, (gssize)size, &end))
    good = refuse_syntax (&scan, (size_t)(end - text), "invalid UTF-8");
  else
    good = true;
  while (good && scan.at < size)
    good = scan_token (&scan);
  while (scan.depth > 0)
    drop_level (&scan);
  if (good)
    return scan.text;
  g_free (scan.text);
  return NULL;
}
