/**
 * DOC: Fuzz test that parses arbitrary bytes as an HTTP/1.1 request or
 * response, at once and in parts: both must give the same message.
 */

#include <stdlib.h>
#include <string.h>

#include "net/conn-impl.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/**
 * struct message - what the owner of a connection learns of one message
 */
struct message
{
  GString *body;
  GString *fields;
  struct jl_head head;
  bool has_head;
  bool ended;
  bool failed;
};

/* A valid head has no control characters, and no white space in names. */
static void
check_field (const char *name, const char *value)
{
  if (*name == '\0' || strpbrk (name, " \t\r\n") != NULL
      || strpbrk (value, "\r\n") != NULL)
    abort ();
}

static void
on_head (void *context, struct jl_conn *conn)
{
  struct message *message = context;
  const struct jl_head *head = jl_conn_head (conn);

  if (message->has_head)
    abort ();
  message->has_head = true;
  jl_head_copy (&message->head, head);
  for (size_t i = 0; i < head->fields->len; i++)
    {
      check_field (jl_head_name (head, i), jl_head_value (head, i));
      g_string_append_printf (message->fields, "%s: %s\n",
                              jl_head_name (head, i), jl_head_value (head, i));
    }
}

static void
on_body (void *context, struct jl_conn *conn, const char *data, size_t size)
{
  struct message *message = context;

  (void)conn;
  g_string_append_len (message->body, data, (gssize)size);
}

static void
on_end (void *context, struct jl_conn *conn)
{
  struct message *message = context;

  (void)conn;
  message->ended = true;
}

static void
on_drained (void *context, struct jl_conn *conn)
{
  (void)context;
  (void)conn;
}

static void
on_closed (void *context, struct jl_conn *conn, enum jl_conn_error error)
{
  struct message *message = context;

  (void)conn;
  (void)error;
  message->failed = true;
}

static const struct jl_conn_ops ops = {
  .head = on_head,
  .body = on_body,
  .end = on_end,
  .drained = on_drained,
  .closed = on_closed,
};

/* Parses the first message of the input in parts of @step bytes. */
static void
parse (struct jl_net *net,
       bool is_client,
       const char *data,
       size_t size,
       size_t step,
       struct message *message)
{
  struct jl_endpoint nowhere = { 0x7f000001, 9 };
  struct jl_conn *conn = jl_conn_connect (net, nowhere, &ops, message);

  memset (message, 0, sizeof *message);
  message->body = g_string_new (NULL);
  message->fields = g_string_new (NULL);
  jl_head_init (&message->head);
  if (conn == NULL)
    abort ();
  conn->is_client = is_client;
  jl_conn_parse_init (conn);
  for (size_t i = 0; i < size && !message->ended && !message->failed; i += step)
    jl_conn_parse (conn, data + i, MIN (step, size - i));
  jl_conn_abort (conn);
  uv_run (&net->loop->uv, UV_RUN_NOWAIT);
}

static void
clear (struct message *message)
{
  g_string_free (message->body, TRUE);
  g_string_free (message->fields, TRUE);
  jl_head_clear (&message->head);
}

static void
compare (const struct message *whole, const struct message *parts)
{
  if (whole->ended != parts->ended || whole->failed != parts->failed)
    abort ();
  if (!whole->ended)
    return;
  if (whole->head.status != parts->head.status
      || whole->head.length != parts->head.length
      || whole->head.chunked != parts->head.chunked
      || strcmp (whole->head.method, parts->head.method) != 0
      || strcmp (jl_head_target (&whole->head), jl_head_target (&parts->head))
             != 0
      || !g_string_equal (whole->fields, parts->fields)
      || !g_string_equal (whole->body, parts->body))
    abort ();
}

/* The first byte chooses the kind of the message and the size of the parts. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static struct jl_net *net;
  struct message whole;
  struct message parts;
  const char *text = (const char *)data + 1;

  if (size < 2)
    return 0;
  if (net == NULL)
    net = jl_net_new (jl_loop_new ());
  parse (net, data[0] % 2 == 0, text, size - 1, size, &whole);
  parse (net, data[0] % 2 == 0, text, size - 1, 1 + data[0] / 2 % 8u, &parts);
  compare (&whole, &parts);
  clear (&whole);
  clear (&parts);
  return 0;
}
