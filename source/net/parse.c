/**
 * DOC: Reading of HTTP/1.1 messages, by http-parser.
 */

#include "conn-impl.h"

#include <string.h>

/* Input kept back while a message is dealt with, in bytes. */
#define STASH_MAX 65536

static bool
is_informational (const struct jl_conn *conn)
{
  return conn->is_client && conn->parser.status_code / 100 == 1;
}

static int
on_begin (http_parser *parser)
{
  struct jl_conn *conn = parser->data;

  jl_head_reset (&conn->head);
  conn->in_head = true;
  conn->in_value = false;
  conn->head_since = conn->net->loop->now_us;
  return 0;
}

static int
append_text (struct jl_conn *conn, const char *data, size_t size)
{
  g_string_append_len (conn->head.text, data, (gssize)size);
  return conn->head.text->len > conn->net->head_bytes;
}

static int
on_url (http_parser *parser, const char *data, size_t size)
{
  return append_text (parser->data, data, size);
}

static void
end_value (struct jl_conn *conn)
{
  GString *text = conn->head.text;

  while (text->len > 0 && strchr (" \t", text->str[text->len - 1]) != NULL
         && text->str[text->len - 1] != '\0')
    g_string_truncate (text, text->len - 1);
  g_string_append_c (text, '\0');
}

static void
begin_field (struct jl_conn *conn)
{
  struct jl_field field = { 0 };

  end_value (conn);
  field.name = (uint32_t)conn->head.text->len;
  g_array_append_val (conn->head.fields, field);
  conn->in_value = false;
}

static int
on_field (http_parser *parser, const char *data, size_t size)
{
  struct jl_conn *conn = parser->data;

  /* Trailers are of no use here. */
  if (conn->in_body)
    return 0;
  if (conn->in_value || conn->head.fields->len == 0)
    begin_field (conn);
  return append_text (conn, data, size);
}

static int
on_value (http_parser *parser, const char *data, size_t size)
{
  struct jl_conn *conn = parser->data;

  if (conn->in_body || conn->head.fields->len == 0)
    return 0;
  if (!conn->in_value)
    {
      struct jl_field *field = &g_array_index (
          conn->head.fields, struct jl_field, conn->head.fields->len - 1);

      g_string_append_c (conn->head.text, '\0');
      field->value = (uint32_t)conn->head.text->len;
      conn->in_value = true;
    }
  return append_text (conn, data, size);
}

static bool
answer_has_no_body (const struct jl_conn *conn)
{
  unsigned status = conn->parser.status_code;

  return conn->no_body || status / 100 == 1 || status == 204 || status == 304;
}

static void
fill_head (struct jl_conn *conn)
{
  struct jl_head *head = &conn->head;
  const http_parser *parser = &conn->parser;

  head->keep_alive = http_should_keep_alive (parser) != 0;
  head->chunked = (parser->flags & F_CHUNKED) != 0;
  head->has_length = (parser->flags & F_CONTENTLENGTH) != 0;
  head->length = head->has_length ? parser->content_length : 0;
  if (!conn->is_client)
    {
      g_strlcpy (head->method, http_method_str (parser->method),
                 sizeof head->method);
      return;
    }
  head->status = parser->status_code;
  if (answer_has_no_body (conn))
    head->chunked = false;
  else
    head->until_close = !head->chunked && !head->has_length;
  if (head->until_close)
    head->keep_alive = false;
}

static int
on_head (http_parser *parser)
{
  struct jl_conn *conn = parser->data;

  end_value (conn);
  if (is_informational (conn))
    return 1;
  fill_head (conn);
  parser->upgrade = 0;
  conn->in_head = false;
  conn->in_body = true;
  conn->ops->head (conn->context, conn);
  if (conn->closing)
    return -1;
  return conn->is_client && conn->no_body ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *data, size_t size)
{
  struct jl_conn *conn = parser->data;

  if (!conn->finishing)
    conn->ops->body (conn->context, conn, data, size);
  return conn->closing ? -1 : 0;
}

static int
on_end (http_parser *parser)
{
  struct jl_conn *conn = parser->data;

  if (is_informational (conn))
    return 0;
  conn->in_body = false;
  conn->waiting = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_message_begin = on_begin,
  .on_url = on_url,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_end,
};

void
jl_conn_parse_init (struct jl_conn *conn)
{
  http_parser_init (&conn->parser,
                    conn->is_client ? HTTP_RESPONSE : HTTP_REQUEST);
  conn->parser.data = conn;
  conn->in_head = false;
  conn->in_body = false;
  conn->waiting = false;
}

/* Input beyond the message that the owner deals with. */
static void
stash_input (struct jl_conn *conn, const char *data, size_t size)
{
  if (conn->is_client)
    {
      /* Nothing was asked for: these bytes belong to no request. */
      jl_conn_fail (conn, JL_CONN_MALFORMED);
      return;
    }
  g_byte_array_append (conn->stash, (const guint8 *)data, (guint)size);
  if (conn->stash->len > STASH_MAX)
    jl_conn_hold (conn, true);
}

static enum jl_conn_error
parse_error (const struct jl_conn *conn)
{
  bool overflow = HTTP_PARSER_ERRNO (&conn->parser) == HPE_HEADER_OVERFLOW
                  || conn->head.text->len > conn->net->head_bytes;

  return overflow && conn->in_head ? JL_CONN_TOO_LARGE : JL_CONN_MALFORMED;
}

/* The owner hears of the end outside the parser, since it may read on. */
static void
parse_rest (struct jl_conn *conn, const char *data, size_t size, size_t used)
{
  if (conn->closing || conn->finishing)
    return;
  if (!conn->waiting)
    {
      if (HTTP_PARSER_ERRNO (&conn->parser) != HPE_OK)
        jl_conn_fail (conn, parse_error (conn));
      return;
    }
  if (used < size)
    g_byte_array_append (conn->stash, (const guint8 *)data + used,
                         (guint)(size - used));
  conn->ops->end (conn->context, conn);
}

void
jl_conn_parse (struct jl_conn *conn, const char *data, size_t size)
{
  size_t used;

  if (conn->waiting)
    {
      if (size > 0)
        stash_input (conn, data, size);
      return;
    }
  used = http_parser_execute (&conn->parser, &callbacks, data, size);
  parse_rest (conn, data, size, used);
}
