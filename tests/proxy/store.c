/**
 * DOC: Tests of rows that are kept written, against a store played here.
 */

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <string.h>

#include "jackdawladder/request.h"
#include "store.h"

#define TURNS 400

/**
 * struct played - the store, and what the owner of its client was told
 * @value: of the row that it has, in base64
 * @writes: calls that would change a row
 * @written: times the owner was told that its value is there
 */
struct played
{
  struct jl_loop *loop;
  struct jl_net *net;
  struct jl_store *store;
  const char *value;
  unsigned writes;
  unsigned rows;
  unsigned written;
};

static void
on_begin (void *context, struct jl_request *request)
{
  (void)context;
  jl_request_set_data (request, g_string_new (NULL));
}

static void
on_body (void *context,
         struct jl_request *request,
         const char *data,
         size_t size)
{
  (void)context;
  g_string_append_len (jl_request_data (request), data, (gssize)size);
}

/* A row of version 7 is there. */
static void
on_end (void *context, struct jl_request *request)
{
  struct played *played = context;
  GString *body = jl_request_data (request);
  bool fits = strstr (body->str, "\"ver\":7}") != NULL;
  char *answer
      = fits ? g_strdup ("{\"ver\":8}")
             : g_strdup_printf ("{\"ver\":7,\"rows\":[{\"table\":\"t\","
                                "\"key\":\"k\",\"value\":\"%s\",\"ver\":7}]}",
                                played->value);

  played->writes++;
  jl_request_set_data (request, NULL);
  g_string_free (body, TRUE);
  jl_request_reply (request, fits ? 200 : 412,
                    "Content-Type: application/json\r\n", answer,
                    strlen (answer));
  g_free (answer);
}

static const struct jl_handler handler = {
  .begin = on_begin,
  .body = on_body,
  .end = on_end,
};

static void
on_row (void *context, const struct jl_row *row)
{
  struct played *played = context;

  cr_assert_str_eq (row->key, "k");
  played->rows++;
}

static void
on_reach (void *context, bool reached, const char *why)
{
  (void)context;
  cr_assert (reached, "%s", why);
}

static void
on_written (void *context, const char *table)
{
  struct played *played = context;

  cr_assert_str_eq (table, "t");
  played->written++;
}

static const struct jl_store_ops ops = {
  .row = on_row,
  .reach = on_reach,
  .written = on_written,
};

/* Keeps "mine" in a row that has the value @value. */
static void
play (struct played *played, unsigned host, const char *value)
{
  struct jl_endpoint endpoint
      = { .ip = INADDR_LOOPBACK + (host << 8), .port = 17007 };
  const char *why = NULL;

  memset (played, 0, sizeof *played);
  played->value = value;
  played->loop = jl_loop_new ();
  played->net = jl_net_new (played->loop);
  cr_assert_not_null (
      jl_server_open (played->net, endpoint, &handler, played, &why), "%s",
      why);
  played->store
      = jl_store_new (played->loop, played->net, endpoint, &ops, played);
  jl_store_keep (played->store, "t", "k", "mine");
  for (unsigned i = 0; i < TURNS; i++)
    {
      uv_run (&played->loop->uv, UV_RUN_NOWAIT);
      g_usleep (1000);
    }
}

/* A daemon that starts again has its row there already. */
Test (store, a_row_that_is_there_is_not_written_again)
{
  struct played played;

  play (&played, 77, "bWluZQ==");
  cr_assert_eq (played.writes, 1, "%u writes", played.writes);
  cr_assert_eq (played.written, 1);
}

Test (store, the_owner_hears_of_the_row_that_its_own_replaces)
{
  struct played played;

  play (&played, 78, "b3RoZXI=");
  cr_assert_eq (played.writes, 2, "%u writes", played.writes);
  cr_assert_eq (played.rows, 1);
  cr_assert_eq (played.written, 1);
}
