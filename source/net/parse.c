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
/* Bounds of the status codes of HTTP. */
#define STATUS_MIN 100
#define STATUS_MAX 599

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
  jl_head_append_text (&conn->head, data, size);
  return conn->head.text->len > conn->net->head_bytes_max;
}

/* The reason phrase takes the place that the target has in a request. */
static int
on_status (http_parser *parser, const char *data, size_t size)
{
  return append_text (parser->data, data, size);
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
  jl_head_append_text (&conn->head, "", 1);
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

  /* White space around a name makes it another one, but some recipients
   * ignore it. */
  if (!conn->is_client && memchr (data, ' ', size) != NULL)
    return -1;
  /* Fields after the body are trailers, which are ignored. */
  if (conn->in_body)
    return 0;
  if (conn->in_field_value || conn->head.fields->len == 0)
    begin_field (conn);
  return append_text (conn, data, size);
}

/* Ends the name of a field. Returns false if it contains white space, other
 * than at its end in a response, where that is removed. */
static bool
end_name (struct jl_conn *conn, const struct jl_field *field)
{
  terminate_text (conn);
  return strchr (conn->head.text->str + field->name, ' ') == NULL;
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

      if (!end_name (conn, field))
        return -1;
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

/* Whether the length of the body, if there is one, can be read in one way only.
 * http-parser has checked what it did not ignore. */
static bool
is_framing_valid (const struct jl_conn *conn)
{
  const struct jl_head *head = &conn->head;
  unsigned codings = 0;

  for (size_t i = 0; i < head->fields->len; i++)
    {
      const char *name = jl_head_name (head, i);
      const char *value = jl_head_value (head, i);

      if (g_ascii_strcasecmp (name, "Content-Length") == 0
          && (*value == '\0' || value[strspn (value, "0123456789")] != '\0'))
        return false;
      if (g_ascii_strcasecmp (name, "Transfer-Encoding") == 0
          && (g_ascii_strcasecmp (value, "chunked") != 0 || codings++ > 0))
        return false;
    }
  return codings == 0 || conn->is_client || conn->parser.http_minor > 0;
}

/* Whether @text contains what the status line of a response begins with. */
static bool
has_status_line (const char *text)
{
  static const char name[] = "HTTP/";

  while ((text = strstr (text, name)) != NULL)
    {
      text += strlen (name);
      if (g_ascii_isdigit (text[0]) && text[1] == '.'
          && g_ascii_isdigit (text[2]) && text[3] == ' '
          && g_ascii_isdigit (text[3 + strspn (text + 3, " ")]))
        return true;
    }
  return false;
}

/*
 * Whether a response's head is of one response only. A faulty peer may send the
 * beginning of another one in front of it, and the cut may be in the reason
 * phrase or in a field's value, which the status line then continues.
 */
static bool
stands_alone (const struct jl_head *head)
{
  if (has_status_line (jl_head_target (head)))
    return false;
  for (size_t i = 0; i < head->fields->len; i++)
    if (has_status_line (jl_head_value (head, i)))
      return false;
  return true;
}

/* No request asks for another protocol, so that no response can begin one. */
static bool
is_head_valid (const struct jl_conn *conn)
{
  const http_parser *parser = &conn->parser;

  if (parser->http_major != 1 || !is_framing_valid (conn))
    return false;
  if (!conn->is_client)
    return jl_head_count (&conn->head, "Host") <= 1;
  if (!stands_alone (&conn->head))
    return false;
  return parser->status_code >= STATUS_MIN && parser->status_code <= STATUS_MAX
         && parser->status_code != HTTP_STATUS_SWITCHING_PROTOCOLS;
}

static int
on_head_complete (http_parser *parser)
{
  struct jl_conn *conn = parser->data;
  bool has_no_body = conn->is_client && response_has_no_body (conn);

  terminate_text (conn);
  if (!is_head_valid (conn))
    return -1;
  if (is_informational (conn))
    return ++conn->interim_count <= INTERIM_RESPONSES_MAX ? 1 : -1;
  fill_head (conn);
  parser->upgrade = 0;
  conn->in_head = false;
  conn->in_body = true;
  jl_lines_begin_body (&conn->lines, (parser->flags & F_CHUNKED) != 0);
  conn->ops->head (conn->context, conn);
  if (conn->closing)
    return -1;
  return has_no_body ? 1 : 0;
}

static int
on_chunk_header (http_parser *parser)
{
  struct jl_conn *conn = parser->data;

  jl_lines_begin_chunk (&conn->lines, parser->content_length);
  return 0;
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
  .on_status = on_status,
  .on_header_field = on_field_name,
  .on_header_value = on_field_value,
  .on_headers_complete = on_head_complete,
  .on_chunk_header = on_chunk_header,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

void
jl_conn_parse_init (struct jl_conn *conn)
{
  http_parser_init (&conn->parser,
                    conn->is_client ? HTTP_RESPONSE : HTTP_REQUEST);
  conn->parser.data = conn;
  jl_lines_init (&conn->lines, !conn->is_client);
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
finish_message (struct jl_conn *conn, const char *data, size_t size)
{
  if (size > 0)
    g_byte_array_append (conn->pending_input, (const guint8 *)data,
                         (guint)size);
  conn->ops->end (conn->context, conn);
}

static bool
has_ended (const struct jl_conn *conn)
{
  return conn->closing || conn->closing_after_flush;
}

/* Passes the input to the parser line by line, up to the end of the message.
 * Returns the number of bytes, or fails the connection. */
static size_t
parse_lines (struct jl_conn *conn, const char *data, size_t size)
{
  size_t used = 0;

  do
    {
      size_t part = jl_lines_take (&conn->lines, data + used, size - used);

      if (part == 0 && size > 0)
        {
          jl_conn_fail (conn, JL_CONN_MALFORMED);
          return used;
        }
      used
          += http_parser_execute (&conn->parser, &callbacks, data + used, part);
    }
  while (used < size && !conn->message_complete && !has_ended (conn)
         && HTTP_PARSER_ERRNO (&conn->parser) == HPE_OK);
  return used;
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
  if (conn->is_client && !conn->any_sent)
    {
      /* The input came before the request, so it is no response to it. */
      jl_conn_fail (conn, JL_CONN_MALFORMED);
      return;
    }
  used = parse_lines (conn, data, size);
  if (has_ended (conn))
    return;
  if (conn->message_complete)
    finish_message (conn, data + used, size - used);
  else if (HTTP_PARSER_ERRNO (&conn->parser) != HPE_OK)
    jl_conn_fail (conn, parse_error (conn));
}
