/**
 * DOC: Tests of the HTTP transport against raw sockets on the loopback.
 *
 * The tests act as the peer, with blocking writes between runs of the loop.
 */

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "jackdawladder/request.h"
#include "jackdawladder/upstream.h"

/* Iterations of one run_loop(), with a sleep of 0.5 ms after each. */
#define LOOP_ITERATIONS 40
/* Runs of the loop in which the end of a connection that is not read is
 * noticed.
 */
#define NOTICE_RUNS 10
/* More than the kernel holds on the way. */
#define LARGE_BODY_BYTES 24000000

/**
 * struct response_log - callbacks received by the owner of a request
 * @skip_id: responses with this value of the field "Id" are skipped
 */
struct response_log
{
  bool reported;
  bool complete;
  bool failed;
  unsigned status;
  enum jl_upstream_failure failure;
  GString *body;
  const char *skip_id;
};

static void
on_response (void *context, struct jl_upstream *upstream)
{
  struct response_log *response = context;
  const struct jl_head *head = jl_upstream_head (upstream);
  const char *id = jl_head_get (head, "Id");

  if (response->skip_id != NULL && id != NULL
      && strcmp (id, response->skip_id) == 0)
    {
      cr_assert (jl_upstream_skip_response (upstream));
      return;
    }
  response->reported = true;
  response->status = head->status;
  response->complete = jl_upstream_is_complete (upstream);
  g_string_append_len (response->body,
                       (const char *)jl_upstream_buffered_body (upstream)->data,
                       jl_upstream_buffered_body (upstream)->len);
}

static void
on_response_body (void *context,
                  struct jl_upstream *upstream,
                  const char *data,
                  size_t size)
{
  struct response_log *response = context;

  (void)upstream;
  g_string_append_len (response->body, data, (gssize)size);
}

static void
on_response_complete (void *context, struct jl_upstream *upstream)
{
  struct response_log *response = context;

  (void)upstream;
  response->complete = true;
}

static void
on_failed (void *context,
           struct jl_upstream *upstream,
           enum jl_upstream_failure failure)
{
  struct response_log *response = context;

  (void)upstream;
  response->failed = true;
  response->failure = failure;
}

static const struct jl_upstream_ops upstream_ops = {
  .response = on_response,
  .body = on_response_body,
  .complete = on_response_complete,
  .failed = on_failed,
};

/**
 * struct fixture - a loop, a raw listener and a request to it
 * @peer: the raw socket of the other side
 */
struct fixture
{
  struct jl_loop *loop;
  struct jl_net *net;
  struct jl_pool *pool;
  struct jl_upstream *upstream;
  struct response_log response;
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
run_loop (struct fixture *fixture)
{
  for (unsigned i = 0; i < LOOP_ITERATIONS; i++)
    {
      uv_run (&fixture->loop->uv, UV_RUN_NOWAIT);
      g_usleep (500);
    }
}

static void
fixture_open (struct fixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->loop = jl_loop_new ();
  fixture->net = jl_net_new (fixture->loop);
  fixture->pool = jl_pool_new (fixture->net, JL_USEC_PER_SEC, 4);
  fixture->listener = listen_raw ();
  fixture->endpoint = local_endpoint (fixture->listener);
  fixture->response.body = g_string_new (NULL);
}

static void
send_request (struct fixture *fixture)
{
  GString *head = g_string_new ("GET / HTTP/1.1\r\nHost: a\r\n\r\n");

  fixture->upstream
      = jl_upstream_open (fixture->pool, fixture->endpoint, false, 0, head,
                          false, &upstream_ops, &fixture->response);
  jl_upstream_end_body (fixture->upstream, false);
  g_string_free (head, TRUE);
  run_loop (fixture);
}

static void
accept_request (struct fixture *fixture)
{
  char request[256];

  fixture->peer = accept (fixture->listener, NULL, NULL);
  cr_assert_geq (fixture->peer, 0);
  cr_assert_gt (recv (fixture->peer, request, sizeof request, 0), 0);
}

static void
peer_send (struct fixture *fixture, const char *text)
{
  cr_assert_eq (send (fixture->peer, text, strlen (text), MSG_NOSIGNAL),
                (ssize_t)strlen (text));
}

/* Closes the peer's socket with a TCP reset. */
static void
reset_peer (struct fixture *fixture)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fixture->peer, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fixture->peer);
}

Test (net, an_answer_with_a_length)
{
  struct fixture fixture;

  fixture_open (&fixture);
  send_request (&fixture);
  accept_request (&fixture);
  peer_send (&fixture, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
  run_loop (&fixture);
  cr_assert (fixture.response.complete);
  cr_assert_eq (fixture.response.status, 200);
  cr_assert_str_eq (fixture.response.body->str, "abc");
}

Test (net, an_answer_without_length_ends_with_its_connection)
{
  struct fixture fixture;

  fixture_open (&fixture);
  send_request (&fixture);
  accept_request (&fixture);
  peer_send (&fixture, "HTTP/1.1 200 OK\r\n\r\nabc");
  close (fixture.peer);
  run_loop (&fixture);
  cr_assert (fixture.response.complete);
  cr_assert_str_eq (fixture.response.body->str, "abc");
}

Test (net, an_answer_without_length_that_is_reset_is_not_complete)
{
  struct fixture fixture;

  fixture_open (&fixture);
  send_request (&fixture);
  accept_request (&fixture);
  peer_send (&fixture, "HTTP/1.1 200 OK\r\n\r\nabc");
  g_usleep (2000);
  uv_run (&fixture.loop->uv, UV_RUN_NOWAIT);
  peer_send (&fixture, "d");
  reset_peer (&fixture);
  run_loop (&fixture);
  cr_assert_not (fixture.response.complete);
  cr_assert (fixture.response.failed);
  cr_assert_eq (fixture.response.failure, JL_UPSTREAM_LOST);
}

Test (net, an_answer_that_breaks_off_is_lost)
{
  struct fixture fixture;

  fixture_open (&fixture);
  send_request (&fixture);
  accept_request (&fixture);
  peer_send (&fixture, "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nabc");
  close (fixture.peer);
  run_loop (&fixture);
  cr_assert_not (fixture.response.reported);
  cr_assert (fixture.response.failed);
}

Test (net, bytes_that_are_no_answer_spoil_it)
{
  struct fixture fixture;

  fixture_open (&fixture);
  send_request (&fixture);
  accept_request (&fixture);
  peer_send (&fixture, "%%%% what is this\r\n\r\n");
  run_loop (&fixture);
  cr_assert (fixture.response.failed);
  cr_assert_eq (fixture.response.failure, JL_UPSTREAM_MALFORMED);
}

Test (net, interim_answers_without_end_spoil_it)
{
  struct fixture fixture;

  fixture_open (&fixture);
  send_request (&fixture);
  accept_request (&fixture);
  for (unsigned i = 0; i < 100; i++)
    peer_send (&fixture, "HTTP/1.1 100 Continue\r\n\r\n");
  run_loop (&fixture);
  cr_assert (fixture.response.failed);
  cr_assert_eq (fixture.response.failure, JL_UPSTREAM_MALFORMED);
}

Test (net, a_few_interim_answers_are_skipped)
{
  struct fixture fixture;

  fixture_open (&fixture);
  send_request (&fixture);
  accept_request (&fixture);
  for (unsigned i = 0; i < 3; i++)
    peer_send (&fixture, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
  peer_send (&fixture, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
  run_loop (&fixture);
  cr_assert (fixture.response.complete);
  cr_assert_str_eq (fixture.response.body->str, "abc");
}

Test (net, a_refused_connection_was_not_sent)
{
  struct fixture fixture;

  fixture_open (&fixture);
  close (fixture.listener);
  send_request (&fixture);
  cr_assert (fixture.response.failed);
  cr_assert_eq (fixture.response.failure, JL_UPSTREAM_NOT_SENT);
}

Test (net, a_foreign_answer_is_skipped_and_the_own_one_read)
{
  struct fixture fixture;

  fixture_open (&fixture);
  fixture.response.skip_id = "old";
  send_request (&fixture);
  accept_request (&fixture);
  peer_send (&fixture,
             "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 1\r\n\r\nx"
             "HTTP/1.1 201 Created\r\nId: new\r\nContent-Length: 1\r\n\r\ny");
  run_loop (&fixture);
  cr_assert_eq (fixture.response.status, 201);
  cr_assert_str_eq (fixture.response.body->str, "y");
}

Test (net, a_connection_with_bytes_to_spare_is_not_used_again)
{
  struct fixture fixture;

  fixture_open (&fixture);
  send_request (&fixture);
  accept_request (&fixture);
  peer_send (&fixture,
             "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200");
  run_loop (&fixture);
  cr_assert (fixture.response.complete);
  jl_upstream_close (fixture.upstream);
  run_loop (&fixture);
  cr_assert_eq (jl_net_open_count (fixture.net), 0);
}

Test (net, an_idle_connection_that_gets_an_answer_is_closed)
{
  struct fixture fixture;

  fixture_open (&fixture);
  send_request (&fixture);
  accept_request (&fixture);
  peer_send (&fixture, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
  run_loop (&fixture);
  jl_upstream_close (fixture.upstream);
  cr_assert_eq (jl_net_open_count (fixture.net), 1);
  peer_send (&fixture, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny");
  run_loop (&fixture);
  cr_assert_eq (jl_net_open_count (fixture.net), 0);
}

/*
 * The peer drops idle connections. After a request has failed on a connection
 * that was idle for 200 ms, one that was idle for 150 ms must not be reused.
 */
Test (net, a_forgotten_connection_shortens_the_idle_time)
{
  struct fixture fixture;

  fixture_open (&fixture);
  send_request (&fixture);
  accept_request (&fixture);
  peer_send (&fixture, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
  run_loop (&fixture);
  jl_upstream_close (fixture.upstream);
  g_usleep (200000);
  {
    GString *head = g_string_new ("GET / HTTP/1.1\r\nHost: a\r\n\r\n");

    fixture.upstream
        = jl_upstream_open (fixture.pool, fixture.endpoint, false, 0, head,
                            false, &upstream_ops, &fixture.response);
    g_string_free (head, TRUE);
  }
  uv_run (&fixture.loop->uv, UV_RUN_NOWAIT);
  reset_peer (&fixture);
  run_loop (&fixture);
  cr_assert (fixture.response.failed);
  jl_upstream_close (fixture.upstream);
  memset (&fixture.response, 0, sizeof fixture.response);
  fixture.response.body = g_string_new (NULL);
  send_request (&fixture);
  accept_request (&fixture);
  peer_send (&fixture, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
  run_loop (&fixture);
  cr_assert (fixture.response.complete);
  jl_upstream_close (fixture.upstream);
  g_usleep (150000);
  cr_assert_eq (jl_net_counters (fixture.net)->connected, 2);
  send_request (&fixture);
  cr_assert_eq (jl_net_counters (fixture.net)->connected, 3);
}

/* Opens a request and, if it comes on a new connection, accepts that. */
static struct jl_upstream *
open_beside (struct fixture *fixture, int *peer)
{
  unsigned connected = jl_net_counters (fixture->net)->connected;

  send_request (fixture);
  if (jl_net_counters (fixture->net)->connected > connected)
    {
      accept_request (fixture);
      *peer = fixture->peer;
    }
  return fixture->upstream;
}

static void
answer_on (struct fixture *fixture, int peer)
{
  fixture->peer = peer;
  peer_send (fixture, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
  run_loop (fixture);
}

static void
count_silence (void *context,
               struct jl_endpoint endpoint,
               uint64_t silent_us,
               unsigned count)
{
  unsigned *closed = context;

  (void)endpoint;
  cr_assert_gt (silent_us, 100 * JL_USEC_PER_MSEC);
  *closed += count;
}

static const struct jl_silence_ops silence_ops = { .closed = count_silence };

/* Opens two requests at a time and answers both, which leaves two idle
 * connections; opens one more request, which is not answered yet. */
static void
leave_one_waiting (struct fixture *fixture, int peers[2])
{
  struct jl_upstream *first;
  struct jl_upstream *second;

  fixture_open (fixture);
  first = open_beside (fixture, &peers[0]);
  second = open_beside (fixture, &peers[1]);
  answer_on (fixture, peers[0]);
  answer_on (fixture, peers[1]);
  jl_upstream_close (second);
  jl_upstream_close (first);
  open_beside (fixture, &peers[0]);
  cr_assert_eq (jl_net_counters (fixture->net)->connected, 2);
}

Test (net, no_idle_connection_is_used_while_requests_wait_in_vain)
{
  struct fixture fixture;
  unsigned closed = 0;
  int peers[2] = { -1, -1 };
  int peer = -1;

  leave_one_waiting (&fixture, peers);
  jl_pool_set_silence_max (fixture.pool, 100 * JL_USEC_PER_MSEC, &silence_ops,
                           &closed);
  g_usleep (150000);
  open_beside (&fixture, &peer);
  cr_assert_eq (jl_net_counters (fixture.net)->connected, 3);
  cr_assert_eq (closed, 1);
}

Test (net, idle_connections_are_used_while_responses_come)
{
  struct fixture fixture;
  struct jl_upstream *other;
  unsigned closed = 0;
  int peers[2] = { -1, -1 };

  leave_one_waiting (&fixture, peers);
  jl_pool_set_silence_max (fixture.pool, 100 * JL_USEC_PER_MSEC, &silence_ops,
                           &closed);
  other = open_beside (&fixture, &peers[1]);
  g_usleep (150000);
  answer_on (&fixture, peers[1]);
  jl_upstream_close (other);
  open_beside (&fixture, &peers[1]);
  cr_assert_eq (jl_net_counters (fixture.net)->connected, 2);
  cr_assert_eq (closed, 0);
}

/**
 * struct handler_log - callbacks received by the handler of a listener
 */
struct handler_log
{
  unsigned begin_count;
  unsigned end_count;
  unsigned disconnected;
  GString *body;
  struct jl_request *request;
  bool respond_early;
};

static void
on_begin (void *context, struct jl_request *request)
{
  struct handler_log *handled = context;

  handled->begin_count++;
  handled->request = request;
  if (handled->respond_early)
    jl_request_reply (request, 200, "", "early", 5);
}

static void
on_body (void *context,
         struct jl_request *request,
         const char *data,
         size_t size)
{
  struct handler_log *handled = context;

  (void)request;
  g_string_append_len (handled->body, data, (gssize)size);
}

static void
on_end (void *context, struct jl_request *request)
{
  struct handler_log *handled = context;

  handled->end_count++;
  jl_request_reply (request, 200, "", "ok", 2);
}

static void
on_disconnected (void *context, struct jl_request *request)
{
  struct handler_log *handled = context;

  (void)request;
  handled->disconnected++;
}

static const struct jl_handler handler = {
  .begin = on_begin,
  .body = on_body,
  .end = on_end,
  .disconnected = on_disconnected,
};

/* Opens a listener with the handler above and connects a raw client to it. */
static void
open_server (struct fixture *fixture, struct handler_log *handled)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct jl_endpoint endpoint;
  const char *why;
  int probe = listen_raw ();

  memset (handled, 0, sizeof *handled);
  handled->body = g_string_new (NULL);
  fixture_open (fixture);
  endpoint = local_endpoint (probe);
  close (probe);
  cr_assert_not_null (
      jl_server_open (fixture->net, endpoint, &handler, handled, &why));
  fixture->peer = socket (AF_INET, SOCK_STREAM, 0);
  address.sin_addr.s_addr = htonl (endpoint.ip);
  address.sin_port = htons (endpoint.port);
  cr_assert_eq (
      connect (fixture->peer, (struct sockaddr *)&address, sizeof address), 0);
  run_loop (fixture);
}

static char *
peer_receive (struct fixture *fixture)
{
  static char response[4096];
  ssize_t size;

  run_loop (fixture);
  size = recv (fixture->peer, response, sizeof response - 1, MSG_DONTWAIT);
  response[size > 0 ? size : 0] = '\0';
  return response;
}

Test (net, requests_sent_in_one_go_are_answered_in_turn)
{
  struct fixture fixture;
  struct handler_log handled;
  char *response;

  open_server (&fixture, &handled);
  peer_send (&fixture,
             "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
             "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi");
  response = peer_receive (&fixture);
  cr_assert_eq (handled.begin_count, 2);
  cr_assert_eq (handled.end_count, 2);
  cr_assert_str_eq (handled.body->str, "hi");
  response = strstr (response, "\r\n\r\nok");
  cr_assert_not_null (response);
  cr_assert_not_null (strstr (response + 4, "\r\n\r\nok"));
}

Test (net, the_rest_of_a_body_after_an_early_answer_is_no_request)
{
  struct fixture fixture;
  struct handler_log handled;
  char *response;

  open_server (&fixture, &handled);
  handled.respond_early = true;
  peer_send (&fixture,
             "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 40\r\n\r\n");
  response = peer_receive (&fixture);
  cr_assert_not_null (strstr (response, "early"));
  peer_send (&fixture, "GET /smuggled HTTP/1.1\r\nHost: abcdefg\r\n\r\n");
  peer_receive (&fixture);
  cr_assert_eq (handled.begin_count, 1);
}

Test (net, malformed_input_gets_400)
{
  struct fixture fixture;
  struct handler_log handled;

  open_server (&fixture, &handled);
  peer_send (&fixture, "what is this\r\n\r\n");
  cr_assert_not_null (strstr (peer_receive (&fixture), "HTTP/1.1 400 "));
  cr_assert_eq (handled.begin_count, 0);
}

Test (net, length_and_chunks_together_get_400)
{
  struct fixture fixture;
  struct handler_log handled;

  open_server (&fixture, &handled);
  peer_send (&fixture, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  cr_assert_not_null (strstr (peer_receive (&fixture), "HTTP/1.1 400 "));
  cr_assert_eq (handled.begin_count, 0);
}

Test (net, a_head_over_the_limit_gets_431)
{
  struct fixture fixture;
  struct handler_log handled;
  GString *head = g_string_new ("GET / HTTP/1.1\r\nHost: a\r\nLong: ");

  open_server (&fixture, &handled);
  jl_net_set_limits (fixture.net, 1000, JL_USEC_PER_SEC, JL_USEC_PER_SEC);
  for (unsigned i = 0; i < 200; i++)
    g_string_append (head, "0123456789");
  g_string_append (head, "\r\n\r\n");
  peer_send (&fixture, head->str);
  cr_assert_not_null (strstr (peer_receive (&fixture), "HTTP/1.1 431 "));
  cr_assert_eq (handled.begin_count, 0);
}

Test (net, a_head_that_takes_too_long_gets_408)
{
  struct fixture fixture;
  struct handler_log handled;

  open_server (&fixture, &handled);
  jl_net_set_limits (fixture.net, 1000, 1000, JL_USEC_PER_SEC);
  peer_send (&fixture, "GET / HTTP/1.1\r\nHo");
  run_loop (&fixture);
  jl_net_close_expired (fixture.net);
  cr_assert_not_null (strstr (peer_receive (&fixture), "HTTP/1.1 408 "));
}

Test (net, a_client_that_leaves_is_noticed_while_it_waits)
{
  struct fixture fixture;
  struct handler_log handled;

  open_server (&fixture, &handled);
  peer_send (&fixture,
             "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
  run_loop (&fixture);
  close (fixture.peer);
  run_loop (&fixture);
  cr_assert_eq (handled.disconnected, 1);
  cr_assert_eq (handled.end_count, 0);
}

Test (net, a_response_that_came_before_the_request_is_not_taken_for_its_own)
{
  struct fixture fixture;
  int first;

  fixture_open (&fixture);
  send_request (&fixture);
  accept_request (&fixture);
  peer_send (&fixture, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
  run_loop (&fixture);
  jl_upstream_close (fixture.upstream);
  peer_send (&fixture, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
  g_usleep (2000);
  first = fixture.peer;
  fixture.response = (struct response_log){ .body = g_string_new (NULL) };
  send_request (&fixture);
  cr_assert_not (fixture.response.reported);
  cr_assert_not (fixture.response.failed);
  accept_request (&fixture);
  cr_assert_neq (fixture.peer, first);
  peer_send (&fixture, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  run_loop (&fixture);
  cr_assert_eq (fixture.response.status, 200);
}

/* Whether the kernel has closed a connection, as after a reset. */
static bool
is_reset (int fd)
{
  struct tcp_info info;
  socklen_t size = sizeof info;

  return getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0
         && info.tcpi_state == TCP_CLOSE;
}

/* Guards against a peer that never learns that a request was given up: the end
 * of the connection is behind a body that the peer does not read. */
Test (net, a_request_that_is_given_up_within_its_body_is_reset)
{
  struct fixture fixture;
  static char body[LARGE_BODY_BYTES];

  fixture_open (&fixture);
  send_request (&fixture);
  accept_request (&fixture);
  jl_upstream_write_body (fixture.upstream, body, sizeof body, false);
  run_loop (&fixture);
  cr_assert_not (is_reset (fixture.peer));
  jl_upstream_close (fixture.upstream);
  run_loop (&fixture);
  cr_assert (is_reset (fixture.peer));
}

/* Guards against requests that are worked on for a client that has left behind
 * a body that is not read, and against the end of one that has not. */
Test (net, a_client_that_leaves_is_noticed_while_it_is_not_read)
{
  struct fixture fixture;
  struct handler_log handled;

  open_server (&fixture, &handled);
  peer_send (&fixture,
             "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab");
  run_loop (&fixture);
  jl_request_set_read_paused (handled.request, true);
  peer_send (&fixture, "cdefghi");
  for (unsigned i = 0; i < NOTICE_RUNS; i++)
    run_loop (&fixture);
  cr_assert_eq (handled.disconnected, 0);
  close (fixture.peer);
  for (unsigned i = 0; i < NOTICE_RUNS; i++)
    run_loop (&fixture);
  cr_assert_eq (handled.disconnected, 1);
  cr_assert_eq (handled.end_count, 0);
}
