/**
 * DOC: Checks of the lines of HTTP/1.1 messages.
 *
 * http-parser takes any byte for the LF after a CR that ends a head, a chunk or
 * the line of its size, and some control characters within lines. Two
 * recipients of such a message could read it in two ways.
 */

#include "conn-impl.h"

#include <string.h>

void
jl_lines_init (struct jl_lines *lines, bool is_request)
{
  memset (lines, 0, sizeof *lines);
  lines->is_request = is_request;
  lines->at_begin = true;
}

void
jl_lines_begin_body (struct jl_lines *lines, bool chunked)
{
  lines->kind = chunked ? JL_LINE_CHUNK_SIZE : JL_LINE_NONE;
}

void
jl_lines_begin_chunk (struct jl_lines *lines, uint64_t size)
{
  lines->chunk_left = size;
  lines->kind = size > 0 ? JL_LINE_CHUNK_END : JL_LINE_FIELD;
}

static bool
is_control (char byte)
{
  return (unsigned char)byte < ' ' || byte == '\x7f';
}

/* Whether a line may begin with white space: the next one of a field's value in
 * a response. It has no meaning elsewhere. */
static bool
may_be_folded (const struct jl_lines *lines)
{
  return lines->kind == JL_LINE_FIELD && !lines->is_request
         && !lines->after_start;
}

static bool
is_text_valid (const struct jl_lines *lines, char byte)
{
  if (lines->kind == JL_LINE_CHUNK_END)
    return false;
  if (lines->at_begin && (byte == ' ' || byte == '\t'))
    return may_be_folded (lines);
  if (byte == '\t')
    return lines->kind != JL_LINE_START || !lines->is_request;
  return !is_control (byte);
}

/* LF alone ends a line of a head, but none between chunks. An empty line in
 * front of a response belongs to no response. */
static bool
is_line_end_valid (const struct jl_lines *lines)
{
  if (lines->kind == JL_LINE_START && lines->at_begin && !lines->is_request)
    return false;
  return lines->after_cr || lines->kind == JL_LINE_START
         || lines->kind == JL_LINE_FIELD;
}

static void
end_line (struct jl_lines *lines)
{
  bool is_empty = lines->at_begin;

  lines->at_begin = true;
  lines->after_cr = false;
  lines->after_start = lines->kind == JL_LINE_START && !is_empty;
  if (lines->kind == JL_LINE_CHUNK_END)
    lines->kind = JL_LINE_CHUNK_SIZE;
  else if (lines->kind == JL_LINE_FIELD && is_empty)
    lines->kind = JL_LINE_START;
  else if (lines->after_start)
    lines->kind = JL_LINE_FIELD;
}

static bool
take_byte (struct jl_lines *lines, char byte)
{
  if (byte == '\n')
    {
      if (!is_line_end_valid (lines))
        return false;
      end_line (lines);
      return true;
    }
  if (lines->after_cr)
    return false;
  lines->after_cr = byte == '\r';
  if (lines->after_cr)
    return true;
  if (!is_text_valid (lines, byte))
    return false;
  lines->at_begin = false;
  return true;
}

/* Returns the number of bytes at the beginning of @data that neither end the
 * text of a line nor need a check. */
static size_t
plain_size (const char *data, size_t size)
{
  size_t i = 0;

  while (i < size && !is_control (data[i]))
    i++;
  return i;
}

size_t
jl_lines_take (struct jl_lines *lines, const char *data, size_t size)
{
  if (lines->kind == JL_LINE_NONE)
    return size;
  if (lines->chunk_left > 0)
    {
      size = MIN (size, lines->chunk_left);
      lines->chunk_left -= size;
      return size;
    }
  for (size_t i = 0; i < size; i++)
    {
      if (!lines->at_begin && !lines->after_cr)
        i += plain_size (data + i, size - i);
      if (i == size)
        break;
      if (!take_byte (lines, data[i]))
        return 0;
      if (data[i] == '\n')
        return i + 1;
    }
  return size;
}
