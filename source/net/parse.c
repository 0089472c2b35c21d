/**
 * DOC: Parsing of HTTP/1.1 messages with http-parser.
 */

#include "conn-impl.h"

#include <string.h>

/*
 * Number of bytes buffered after a complete message above which reading is
 * paused.
 */
#define PENDING_INPUT_BYTES_MAX 65536
/* Maximum number of interim responses (1xx) before a response. */
#define INTERIM_RESPONSES_MAX 16

static bool
is_informational (const struct jl_conn *conn)
{
  return conn->is_client && conn->parser.status_code / 100 == 1;
}

static int
on_message_begin (http_parser *parser)
{
  struct jl_conn *conn = parser->data;

  jl_head_reset (&conn->head);
  conn->in_head = true;
  conn->in_field_value = false;
  conn->head_began_us = conn->net->loop->now_us;
  return 0;
}

/* Returns nonzero, which stops the parser, if the head exceeds its limit. */
static int
append_text (struct jl_conn *conn, const char *data, size_t size)
{
  g_string_append_len (conn->head.text, data, (gssize)size);
  return conn->head.text->len > conn->net->head_bytes_max;
}

static int
on_url (http_parser *parser, const char *data, size_t size)
{
  return append_text (parser->data, data, size);
}

/* Strips trailing white space from the last text and terminates it. */
static void
terminate_text (struct jl_conn *conn)
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

  terminate_text (conn);
  field.name = (uint32_t)conn->head.text->len;
  g_array_append_val (conn->head.fields, field);
  conn->in_field_value = false;
}

static int
on_field_name (http_parser *parser, const char *data, size_t size)
{
  struct jl_conn *conn = parser->data;

  /* Fields after the body are trailers, which are ignored. */
  if (conn->in_body)
    return 0;
  if (conn->in_field_value || conn->head.fields->len == 0)
    begin_field (conn);
  return append_text (conn, data, size);
}

static int
on_field_value (http_parser *parser, const char *data, size_t size)
{
  struct jl_conn *conn = parser->data;

  if (conn->in_body || conn->head.fields->len == 0)
    return 0;
  if (!conn->in_field_value)
    {
      struct jl_field *field = &g_array_index (
          conn->head.fields, struct jl_field, conn->head.fields->len - 1);

      g_string_append_c (conn->head.text, '\0');
      field->value = (uint32_t)conn->head.text->len;
      conn->in_field_value = true;
    }
  return append_text (conn, data, size);
}

static bool
response_has_no_body (const struct jl_conn *conn)
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
  if (response_has_no_body (conn))
    head->chunked = false;
  else
    head->until_close = !head->chunked && !head->has_length;
  if (head->until_close)
    head->keep_alive = false;
}

static int
on_head_complete (http_parser *parser)
{
  struct jl_conn *conn = parser->data;

  terminate_text (conn);
  if (is_informational (conn))
    return ++conn->interim_count <= INTERIM_RESPONSES_MAX ? 1 : -1;
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

  if (!conn->closing_after_flush)
    conn->ops->body (conn->context, conn, data, size);
  return conn->closing ? -1 : 0;
}

static int
on_message_complete (http_parser *parser)
{
  struct jl_conn *conn = parser->data;

  if (is_informational (conn))
    return 0;
  conn->in_body = false;
  conn->message_complete = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_message_begin = on_message_begin,
  .on_url = on_url,
  .on_header_field = on_field_name,
  .on_header_value = on_field_value,
  .on_headers_complete = on_head_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

void
jl_conn_parse_init (struct jl_conn *conn)
{
  http_parser_init (&conn->parser,
                    conn->is_client ? HTTP_RESPONSE : HTTP_REQUEST);
  conn->parser.data = conn;
  conn->in_head = false;
  conn->in_body = false;
  conn->message_complete = false;
  conn->interim_count = 0;
}

/* Buffers input that follows a message which the owner is still processing. */
static void
buffer_input (struct jl_conn *conn, const char *data, size_t size)
{
  if (conn->is_client)
    {
      /* No request is outstanding, so the bytes belong to no response. */
      jl_conn_fail (conn, JL_CONN_MALFORMED);
      return;
    }
  g_byte_array_append (conn->pending_input, (const guint8 *)data, (guint)size);
  if (conn->pending_input->len > PENDING_INPUT_BYTES_MAX)
    jl_conn_set_read_paused (conn, true);
}

static enum jl_conn_error
parse_error (const struct jl_conn *conn)
{
  bool overflow = HTTP_PARSER_ERRNO (&conn->parser) == HPE_HEADER_OVERFLOW
                  || conn->head.text->len > conn->net->head_bytes_max;

  return overflow && conn->in_head ? JL_CONN_TOO_LARGE : JL_CONN_MALFORMED;
}

/*
 * The end callback runs outside the parser, because the owner may start parsing
 * the next message from it.
 */
static void
finish_parse (struct jl_conn *conn, const char *data, size_t size, size_t used)
{
  if (conn->closing || conn->closing_after_flush)
    return;
  if (!conn->message_complete)
    {
      if (HTTP_PARSER_ERRNO (&conn->parser) != HPE_OK)
        jl_conn_fail (conn, parse_error (conn));
      return;
    }
  if (used < size)
    g_byte_array_append (conn->pending_input, (const guint8 *)data + used,
                         (guint)(size - used));
  conn->ops->end (conn->context, conn);
}

void
jl_conn_parse (struct jl_conn *conn, const char *data, size_t size)
{
  size_t used;

  if (conn->message_complete)
    {
      if (size > 0)
        buffer_input (conn, data, size);
      return;
    }
  used = http_parser_execute (&conn->parser, &callbacks, data, size);
  finish_parse (conn, data, size, used);
}
