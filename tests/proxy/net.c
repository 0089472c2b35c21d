/**
 * DOC: Tests of the transport against raw sockets on the loopback.
 *
 * The other side is played by blocking writes between turns of the loop.
 */

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "jackdawladder/request.h"
#include "jackdawladder/upstream.h"

#define TURNS 40

/**
 * struct seen - what the owner of a sending was told
 */
struct seen
{
  bool answered;
  bool complete;
  bool failed;
  unsigned status;
  enum jl_upstream_failure failure;
  GString *body;
  const char *skip_id;
};

static void
on_answer (void *context, struct jl_upstream *upstream)
{
  struct seen *seen = context;
  const struct jl_head *head = jl_upstream_head (upstream);
  const char *id = jl_head_get (head, "Id");

  if (seen->skip_id != NULL && id != NULL && strcmp (id, seen->skip_id) == 0)
    {
      cr_assert (jl_upstream_skip_response (upstream));
      return;
    }
  seen->answered = true;
  seen->status = head->status;
  seen->complete = jl_upstream_is_complete (upstream);
  g_string_append_len (seen->body,
                       (const char *)jl_upstream_buffered_body (upstream)->data,
                       jl_upstream_buffered_body (upstream)->len);
}

static void
on_piece (void *context,
          struct jl_upstream *upstream,
          const char *data,
          size_t size)
{
  struct seen *seen = context;

  (void)upstream;
  g_string_append_len (seen->body, data, (gssize)size);
}

static void
on_done (void *context, struct jl_upstream *upstream)
{
  struct seen *seen = context;

  (void)upstream;
  seen->complete = true;
}

static void
on_failed (void *context,
           struct jl_upstream *upstream,
           enum jl_upstream_failure failure)
{
  struct seen *seen = context;

  (void)upstream;
  seen->failed = true;
  seen->failure = failure;
}

static const struct jl_upstream_ops upstream_ops = {
  .response = on_answer,
  .body = on_piece,
  .complete = on_done,
  .failed = on_failed,
};

/**
 * struct bench - a loop, a raw listener and one sending to it
 */
struct bench
{
  struct jl_loop *loop;
  struct jl_net *net;
  struct jl_pool *pool;
  struct jl_upstream *upstream;
  struct seen seen;
  struct jl_endpoint endpoint;
  int listener;
  int peer;
};

static struct jl_endpoint
local_endpoint (int fd)
{
  struct sockaddr_in address;
  socklen_t size = sizeof address;
  struct jl_endpoint endpoint;

  memset (&address, 0, sizeof address);
  getsockname (fd, (struct sockaddr *)&address, &size);
  endpoint.ip = INADDR_LOOPBACK;
  endpoint.port = ntohs (address.sin_port);
  return endpoint;
}

static int
listen_raw (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  cr_assert_eq (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  cr_assert_eq (listen (fd, 8), 0);
  return fd;
}

static void
turn (struct bench *bench)
{
  for (unsigned i = 0; i < TURNS; i++)
    {
      uv_run (&bench->loop->uv, UV_RUN_NOWAIT);
      g_usleep (500);
    }
}

static void
bench_open (struct bench *bench)
{
  memset (bench, 0, sizeof *bench);
  bench->loop = jl_loop_new ();
  bench->net = jl_net_new (bench->loop);
  bench->pool = jl_pool_new (bench->net, JL_USEC_PER_SEC, 4);
  bench->listener = listen_raw ();
  bench->endpoint = local_endpoint (bench->listener);
  bench->seen.body = g_string_new (NULL);
}

static void
bench_send (struct bench *bench)
{
  GString *head = g_string_new ("GET / HTTP/1.1\r\nHost: a\r\n\r\n");

  bench->upstream = jl_upstream_open (bench->pool, bench->endpoint, false, head,
                                      false, &upstream_ops, &bench->seen);
  jl_upstream_end_body (bench->upstream, false);
  g_string_free (head, TRUE);
  turn (bench);
}

static void
bench_accept (struct bench *bench)
{
  char request[256];

  bench->peer = accept (bench->listener, NULL, NULL);
  cr_assert_geq (bench->peer, 0);
  cr_assert_gt (recv (bench->peer, request, sizeof request, 0), 0);
}

static void
say (struct bench *bench, const char *text)
{
  cr_assert_eq (send (bench->peer, text, strlen (text), MSG_NOSIGNAL),
                (ssize_t)strlen (text));
}

/* Ends the peer's connection by a reset. */
static void
reset_peer (struct bench *bench)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (bench->peer, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (bench->peer);
}

Test (net, an_answer_with_a_length)
{
  struct bench bench;

  bench_open (&bench);
  bench_send (&bench);
  bench_accept (&bench);
  say (&bench, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
  turn (&bench);
  cr_assert (bench.seen.complete);
  cr_assert_eq (bench.seen.status, 200);
  cr_assert_str_eq (bench.seen.body->str, "abc");
}

Test (net, an_answer_without_length_ends_with_its_connection)
{
  struct bench bench;

  bench_open (&bench);
  bench_send (&bench);
  bench_accept (&bench);
  say (&bench, "HTTP/1.1 200 OK\r\n\r\nabc");
  close (bench.peer);
  turn (&bench);
  cr_assert (bench.seen.complete);
  cr_assert_str_eq (bench.seen.body->str, "abc");
}

Test (net, an_answer_without_length_that_is_reset_is_not_complete)
{
  struct bench bench;

  bench_open (&bench);
  bench_send (&bench);
  bench_accept (&bench);
  say (&bench, "HTTP/1.1 200 OK\r\n\r\nabc");
  g_usleep (2000);
  uv_run (&bench.loop->uv, UV_RUN_NOWAIT);
  say (&bench, "d");
  reset_peer (&bench);
  turn (&bench);
  cr_assert_not (bench.seen.complete);
  cr_assert (bench.seen.failed);
  cr_assert_eq (bench.seen.failure, JL_UPSTREAM_LOST);
}

Test (net, an_answer_that_breaks_off_is_lost)
{
  struct bench bench;

  bench_open (&bench);
  bench_send (&bench);
  bench_accept (&bench);
  say (&bench, "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nabc");
  close (bench.peer);
  turn (&bench);
  cr_assert_not (bench.seen.answered);
  cr_assert (bench.seen.failed);
}

Test (net, bytes_that_are_no_answer_spoil_it)
{
  struct bench bench;

  bench_open (&bench);
  bench_send (&bench);
  bench_accept (&bench);
  say (&bench, "%%%% what is this\r\n\r\n");
  turn (&bench);
  cr_assert (bench.seen.failed);
  cr_assert_eq (bench.seen.failure, JL_UPSTREAM_MALFORMED);
}

Test (net, a_refused_connection_was_not_sent)
{
  struct bench bench;

  bench_open (&bench);
  close (bench.listener);
  bench_send (&bench);
  cr_assert (bench.seen.failed);
  cr_assert_eq (bench.seen.failure, JL_UPSTREAM_NOT_SENT);
}

Test (net, a_foreign_answer_is_skipped_and_the_own_one_read)
{
  struct bench bench;

  bench_open (&bench);
  bench.seen.skip_id = "old";
  bench_send (&bench);
  bench_accept (&bench);
  say (&bench, "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 1\r\n\r\nx"
               "HTTP/1.1 201 Created\r\nId: new\r\nContent-Length: 1\r\n\r\ny");
  turn (&bench);
  cr_assert_eq (bench.seen.status, 201);
  cr_assert_str_eq (bench.seen.body->str, "y");
}

Test (net, a_connection_with_bytes_to_spare_is_not_used_again)
{
  struct bench bench;

  bench_open (&bench);
  bench_send (&bench);
  bench_accept (&bench);
  say (&bench, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200");
  turn (&bench);
  cr_assert (bench.seen.complete);
  jl_upstream_close (bench.upstream);
  turn (&bench);
  cr_assert_eq (jl_net_open_count (bench.net), 0);
}

Test (net, an_idle_connection_that_gets_an_answer_is_closed)
{
  struct bench bench;

  bench_open (&bench);
  bench_send (&bench);
  bench_accept (&bench);
  say (&bench, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
  turn (&bench);
  jl_upstream_close (bench.upstream);
  cr_assert_eq (jl_net_open_count (bench.net), 1);
  say (&bench, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny");
  turn (&bench);
  cr_assert_eq (jl_net_open_count (bench.net), 0);
}

/* The peer forgets idle connections: the next sending takes a new one. */
Test (net, a_forgotten_connection_shortens_the_idle_time)
{
  struct bench bench;

  bench_open (&bench);
  bench_send (&bench);
  bench_accept (&bench);
  say (&bench, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
  turn (&bench);
  jl_upstream_close (bench.upstream);
  g_usleep (200000);
  {
    GString *head = g_string_new ("GET / HTTP/1.1\r\nHost: a\r\n\r\n");

    bench.upstream = jl_upstream_open (bench.pool, bench.endpoint, false, head,
                                       false, &upstream_ops, &bench.seen);
    g_string_free (head, TRUE);
  }
  uv_run (&bench.loop->uv, UV_RUN_NOWAIT);
  reset_peer (&bench);
  turn (&bench);
  cr_assert (bench.seen.failed);
  jl_upstream_close (bench.upstream);
  memset (&bench.seen, 0, sizeof bench.seen);
  bench.seen.body = g_string_new (NULL);
  bench_send (&bench);
  bench_accept (&bench);
  say (&bench, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
  turn (&bench);
  cr_assert (bench.seen.complete);
  jl_upstream_close (bench.upstream);
  g_usleep (150000);
  cr_assert_eq (jl_net_counters (bench.net)->connected, 2);
  bench_send (&bench);
  cr_assert_eq (jl_net_counters (bench.net)->connected, 3);
}

/**
 * struct served - what a listener's handler saw
 */
struct served
{
  unsigned begun;
  unsigned ended;
  unsigned gone;
  GString *body;
  struct jl_request *request;
  bool answer_early;
};

static void
on_begin (void *context, struct jl_request *request)
{
  struct served *served = context;

  served->begun++;
  served->request = request;
  if (served->answer_early)
    jl_request_reply (request, 200, "", "early", 5);
}

static void
on_body (void *context,
         struct jl_request *request,
         const char *data,
         size_t size)
{
  struct served *served = context;

  (void)request;
  g_string_append_len (served->body, data, (gssize)size);
}

static void
on_end (void *context, struct jl_request *request)
{
  struct served *served = context;

  served->ended++;
  jl_request_reply (request, 200, "", "ok", 2);
}

static void
on_gone (void *context, struct jl_request *request)
{
  struct served *served = context;

  (void)request;
  served->gone++;
}

static const struct jl_handler handler = {
  .begin = on_begin,
  .body = on_body,
  .end = on_end,
  .disconnected = on_gone,
};

/* A listener of the product, and a raw client that is connected to it. */
static void
serve (struct bench *bench, struct served *served)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct jl_endpoint endpoint;
  const char *why;
  int probe = listen_raw ();

  memset (served, 0, sizeof *served);
  served->body = g_string_new (NULL);
  bench_open (bench);
  endpoint = local_endpoint (probe);
  close (probe);
  cr_assert_not_null (
      jl_server_open (bench->net, endpoint, &handler, served, &why));
  bench->peer = socket (AF_INET, SOCK_STREAM, 0);
  address.sin_addr.s_addr = htonl (endpoint.ip);
  address.sin_port = htons (endpoint.port);
  cr_assert_eq (
      connect (bench->peer, (struct sockaddr *)&address, sizeof address), 0);
  turn (bench);
}

static char *
hear (struct bench *bench)
{
  static char answer[4096];
  ssize_t size;

  turn (bench);
  size = recv (bench->peer, answer, sizeof answer - 1, MSG_DONTWAIT);
  answer[size > 0 ? size : 0] = '\0';
  return answer;
}

Test (net, requests_sent_in_one_go_are_answered_in_turn)
{
  struct bench bench;
  struct served served;
  char *answer;

  serve (&bench, &served);
  say (&bench, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
               "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi");
  answer = hear (&bench);
  cr_assert_eq (served.begun, 2);
  cr_assert_eq (served.ended, 2);
  cr_assert_str_eq (served.body->str, "hi");
  answer = strstr (answer, "\r\n\r\nok");
  cr_assert_not_null (answer);
  cr_assert_not_null (strstr (answer + 4, "\r\n\r\nok"));
}

Test (net, the_rest_of_a_body_after_an_early_answer_is_no_request)
{
  struct bench bench;
  struct served served;
  char *answer;

  serve (&bench, &served);
  served.answer_early = true;
  say (&bench, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 40\r\n\r\n");
  answer = hear (&bench);
  cr_assert_not_null (strstr (answer, "early"));
  say (&bench, "GET /smuggled HTTP/1.1\r\nHost: abcdefg\r\n\r\n");
  hear (&bench);
  cr_assert_eq (served.begun, 1);
}

Test (net, malformed_input_gets_400)
{
  struct bench bench;
  struct served served;

  serve (&bench, &served);
  say (&bench, "what is this\r\n\r\n");
  cr_assert_not_null (strstr (hear (&bench), "HTTP/1.1 400 "));
  cr_assert_eq (served.begun, 0);
}

Test (net, length_and_chunks_together_get_400)
{
  struct bench bench;
  struct served served;

  serve (&bench, &served);
  say (&bench, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
               "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  cr_assert_not_null (strstr (hear (&bench), "HTTP/1.1 400 "));
  cr_assert_eq (served.begun, 0);
}

Test (net, a_head_over_the_limit_gets_431)
{
  struct bench bench;
  struct served served;
  GString *head = g_string_new ("GET / HTTP/1.1\r\nHost: a\r\nLong: ");

  serve (&bench, &served);
  jl_net_set_limits (bench.net, 1000, JL_USEC_PER_SEC, JL_USEC_PER_SEC);
  for (unsigned i = 0; i < 200; i++)
    g_string_append (head, "0123456789");
  g_string_append (head, "\r\n\r\n");
  say (&bench, head->str);
  cr_assert_not_null (strstr (hear (&bench), "HTTP/1.1 431 "));
  cr_assert_eq (served.begun, 0);
}

Test (net, a_head_that_takes_too_long_gets_408)
{
  struct bench bench;
  struct served served;

  serve (&bench, &served);
  jl_net_set_limits (bench.net, 1000, 1000, JL_USEC_PER_SEC);
  say (&bench, "GET / HTTP/1.1\r\nHo");
  turn (&bench);
  jl_net_close_expired (bench.net);
  cr_assert_not_null (strstr (hear (&bench), "HTTP/1.1 408 "));
}

Test (net, a_client_that_leaves_is_noticed_while_it_waits)
{
  struct bench bench;
  struct served served;

  serve (&bench, &served);
  say (&bench, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
  turn (&bench);
  close (bench.peer);
  turn (&bench);
  cr_assert_eq (served.gone, 1);
  cr_assert_eq (served.ended, 0);
}
