/**
 * DOC: Tests of writing and reading rows, against a simulated store.
 */

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>

#include "proxy/parts/address.h"
#include "proxy/parts/fake-store.h"
#include "store.h"

/**
 * struct owner - callbacks received by the owner of the client
 */
struct owner
{
  unsigned rows;
  unsigned written;
  char value[64];
};

static void
on_row (void *context, const struct jl_row *row)
{
  struct owner *owner = context;

  cr_assert_str_eq (row->key, "k");
  owner->rows++;
  g_strlcpy (owner->value, row->value, MIN (row->size + 1, 64));
}

static void
on_reachability (void *context, bool reachable, const char *why)
{
  (void)context;
  cr_assert (reachable, "%s", why);
}

static void
on_written (void *context, const char *table)
{
  struct owner *owner = context;

  cr_assert_str_eq (table, "t");
  owner->written++;
}

static const struct jl_store_ops ops = {
  .row = on_row,
  .reachable = on_reachability,
  .written = on_written,
};

/**
 * struct fixture - a client and the simulated store that it calls
 */
struct fixture
{
  struct jl_loop *loop;
  struct fake_store fake;
  struct jl_store *store;
  struct owner owner;
};

static void
fixture_open (struct fixture *fixture, unsigned host)
{
  struct jl_endpoint endpoint = { .ip = test_address (host), .port = 17007 };

  memset (fixture, 0, sizeof *fixture);
  fake_store_open (&fixture->fake, endpoint);
  fixture->loop = jl_loop_new ();
  fixture->store = jl_store_new (fixture->loop, jl_net_new (fixture->loop),
                                 endpoint, &ops, &fixture->owner);
}

static void
run_loops (struct fixture *fixture)
{
  fake_store_run (&fixture->fake, fixture->loop, 500);
}

/*
 * After a restart, the row of a daemon already exists. Writing the same value
 * again would wake every client that watches the table.
 */
Test (store, a_row_that_is_there_is_not_written_again)
{
  struct fixture fixture;

  fixture_open (&fixture, 77);
  fake_store_put (&fixture.fake, "t", "k", "mine");
  jl_store_write (fixture.store, "t", "k", "mine");
  run_loops (&fixture);
  cr_assert_eq (fixture.fake.writes, 1, "%u writes", fixture.fake.writes);
  cr_assert_eq (fixture.owner.written, 1);
}

Test (store, the_owner_hears_of_the_row_that_its_own_replaces)
{
  struct fixture fixture;

  fixture_open (&fixture, 78);
  fake_store_put (&fixture.fake, "t", "k", "other");
  jl_store_write (fixture.store, "t", "k", "mine");
  run_loops (&fixture);
  cr_assert_eq (fixture.fake.writes, 2, "%u writes", fixture.fake.writes);
  cr_assert_str_eq (fixture.owner.value, "other");
  cr_assert_eq (fixture.owner.written, 1);
  cr_assert_str_eq (fake_store_get (&fixture.fake, "t", "k"), "mine");
}

Test (store, one_row_is_read)
{
  struct fixture fixture;

  fixture_open (&fixture, 79);
  fake_store_put (&fixture.fake, "t", "k", "there");
  fake_store_put (&fixture.fake, "t", "l", "of another");
  jl_store_read_row (fixture.store, "t", "k");
  run_loops (&fixture);
  cr_assert_eq (fixture.owner.rows, 1);
  cr_assert_str_eq (fixture.owner.value, "there");
}

static void
run_loop (struct jl_loop *loop)
{
  for (unsigned i = 0; i < 20; i++)
    {
      uv_run (&loop->uv, UV_RUN_NOWAIT);
      g_usleep (1000);
    }
}

static int
open_listener (struct jl_endpoint endpoint)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  int on = 1;

  address.sin_addr.s_addr = htonl (endpoint.ip);
  address.sin_port = htons (endpoint.port);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  cr_assert_eq (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  cr_assert_eq (listen (fd, 8), 0);
  return fd;
}

/* The copy arrives after the next request was written. */
Test (store, a_second_copy_of_an_answer_acknowledges_no_other_write)
{
  static const char answer[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"ver\":5}";
  struct jl_endpoint endpoint = { .ip = test_address (246), .port = 17007 };
  struct owner owner = { 0 };
  int listener = open_listener (endpoint);
  struct jl_loop *loop = jl_loop_new ();
  struct jl_store *store
      = jl_store_new (loop, jl_net_new (loop), endpoint, &ops, &owner);
  char request[4096];
  int fd;

  jl_store_write (store, "t", "k", "one");
  run_loop (loop);
  fd = accept (listener, NULL, NULL);
  cr_assert_geq (fd, 0);
  cr_assert_gt (recv (fd, request, sizeof request, MSG_DONTWAIT), 0);
  send (fd, answer, strlen (answer), MSG_NOSIGNAL);
  run_loop (loop);
  cr_assert_eq (owner.written, 1);
  jl_store_write (store, "t", "k", "two");
  run_loop (loop);
  cr_assert_gt (recv (fd, request, sizeof request, MSG_DONTWAIT), 0,
                "on the same connection");
  send (fd, answer, strlen (answer), MSG_NOSIGNAL);
  run_loop (loop);
  cr_expect_eq (owner.written, 1, "the second write counts as done");
}
