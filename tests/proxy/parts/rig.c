/**
 * DOC: A complete proxy in the test's process, with a fake store and real
 * sockets and time.
 */

#include "proxy/parts/rig.h"

#include "proxy/parts/address.h"

#include <criterion/criterion.h>
#include <poll.h>

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time in which a proxy decides what depends on the time since its start. */
#define DECIDED_MS 150
/* Time for which a proxy that rig_start() returns seems to have run. */
#define STARTED_AGO_US (2 * JL_USEC_PER_SEC)

struct jl_endpoint
rig_at (const struct rig *rig, uint16_t port)
{
  struct jl_endpoint endpoint = { rig->options.ip, port };

  return endpoint;
}

void
rig_prepare (struct rig *rig, unsigned host)
{
  struct jl_options *options = &rig->options;

  memset (rig, 0, sizeof *rig);
  options->ip = test_address (host);
  g_strlcpy (options->name, "d5", sizeof options->name);
  g_strlcpy (options->zone, "z1", sizeof options->zone);
  g_strlcpy (options->service, "front", sizeof options->service);
  options->target = rig_at (rig, TARGET_PORT);
  options->entry = rig_at (rig, ENTRY_PORT);
  options->ready = rig_at (rig, READY_PORT);
  options->announce = rig_at (rig, ANNOUNCE_PORT);
  options->peer_port = PEER_PORT;
  options->advertise = rig_at (rig, PEER_PORT);
  options->metrics_port = METRICS_PORT;
  options->store = rig_at (rig, STORE_PORT);
  options->store_writes_per_s = 400;
  options->config_apply_us = 2 * JL_USEC_PER_SEC;
  options->heartbeat_us = JL_USEC_PER_SEC;
  options->grace_us = 6 * JL_USEC_PER_SEC;
  options->retry_window_us = 10 * JL_USEC_PER_SEC;
  fake_store_open (&rig->store, options->store);
}

void
rig_run (struct rig *rig, unsigned ms)
{
  fake_store_run (&rig->store, rig->proxy->loop, ms);
}

void
rig_start_now (struct rig *rig)
{
  struct jl_options *options = &rig->options;

  if (rig->settings_path != NULL)
    options = jl_options_load (rig->settings_path, NULL);
  cr_assert_not_null (options);
  rig->proxy = jl_proxy_new (options, rig->settings_path);
  cr_assert_not_null (rig->proxy);
  rig_run (rig, 100);
}

void
rig_start (struct rig *rig)
{
  rig_start_now (rig);
  rig->proxy->started_us -= STARTED_AGO_US;
  rig_run (rig, DECIDED_MS);
}

static struct sockaddr_in
socket_address (const struct rig *rig, uint16_t port)
{
  struct sockaddr_in address = {
    .sin_family = AF_INET,
    .sin_port = htons (port),
    .sin_addr.s_addr = htonl (rig->options.ip),
  };

  return address;
}

int
rig_open_datagrams (const struct rig *rig, uint16_t port)
{
  struct sockaddr_in address = socket_address (rig, port);
  int fd = socket (AF_INET, SOCK_DGRAM, 0);

  cr_assert_eq (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  return fd;
}

void
rig_send_datagram (const struct rig *rig,
                   int fd,
                   const char *datagram,
                   size_t size)
{
  struct sockaddr_in address = socket_address (rig, PEER_PORT);

  cr_assert_eq (sendto (fd, datagram, size, 0, (struct sockaddr *)&address,
                        sizeof address),
                (ssize_t)size);
}

int
rig_send_request (struct rig *rig, uint16_t port, const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (rig->options.ip);
  address.sin_port = htons (port);
  cr_assert_eq (connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  cr_assert_eq (send (fd, text, strlen (text), MSG_NOSIGNAL),
                (ssize_t)strlen (text));
  return fd;
}

const char *
rig_received (int fd)
{
  static char answer[4096];
  ssize_t size = recv (fd, answer, sizeof answer - 1, MSG_DONTWAIT);

  answer[size > 0 ? size : 0] = '\0';
  return answer;
}

int
rig_announce (struct rig *rig, const char *id, const char *body)
{
  char *text = g_strdup_printf ("PUT /api/instances/%s HTTP/1.1\r\nHost: a\r\n"
                                "Content-Length: %zu\r\n\r\n%s",
                                id, strlen (body), body);
  int fd = rig_send_request (rig, ANNOUNCE_PORT, text);

  g_free (text);
  return fd;
}

/* Runs the proxy until a connection has input, for two seconds at most. A fixed
 * time of 50 ms failed on machines that were busy with other processes. */
static void
wait_for_input (struct rig *rig, int fd)
{
  struct pollfd input = { .fd = fd, .events = POLLIN };

  for (unsigned i = 0; i < 40; i++)
    {
      rig_run (rig, 50);
      if (poll (&input, 1, 0) > 0)
        return;
    }
}

void
rig_heartbeat (struct rig *rig,
               const char *id,
               unsigned born,
               unsigned sequence)
{
  char address[JL_ENDPOINT_TEXT_SIZE];
  char *body;
  int fd;

  jl_endpoint_format (rig_at (rig, TARGET_PORT), address);
  body = g_strdup_printf (
      "{\"service\":\"front\",\"address\":\"%s\",\"zone\":\"z1\","
      "\"version\":\"v1\",\"slots\":10,\"state\":\"ready\",\"coldLeftS\":0,"
      "\"sequence\":%u,\"born\":%u}",
      address, sequence, born);
  fd = rig_announce (rig, id, body);
  wait_for_input (rig, fd);
  cr_assert (g_str_has_prefix (rig_received (fd), "HTTP/1.1 200"));
  close (fd);
  g_free (body);
}

void
rig_put_own_row (struct rig *rig)
{
  fake_store_put (&rig->store, "daemons", rig->options.name, "{}");
}

int
rig_leave (struct rig *rig, const char *id)
{
  char *text = g_strdup_printf (
      "DELETE /api/instances/%s HTTP/1.1\r\nHost: a\r\n\r\n", id);
  int fd = rig_send_request (rig, ANNOUNCE_PORT, text);

  g_free (text);
  return fd;
}

struct jl_member *
rig_add_member (struct rig *rig,
                const char *name,
                const char *zone,
                const char *service)
{
  struct jl_member *member = jl_roster_get_or_add (&rig->proxy->roster, name);

  jl_roster_set_zone (&rig->proxy->roster, member, zone);
  g_strlcpy (member->service, service, sizeof member->service);
  member->peer = rig_at (rig, OTHER_PORT);
  member->state = JL_TARGET_UP;
  member->limit = 10;
  member->capacity = 100;
  member->spare_share = 1;
  member->last_beacon_us = jl_now ();
  return member;
}

/* Handler of a peer that counts its requests and answers 404. */
static void
on_begin (void *context, struct jl_request *request)
{
  unsigned *request_count = context;

  (*request_count)++;
  jl_request_reply (request, 404, "", "", 0);
}

void
rig_open_peer (struct rig *rig, uint16_t port, unsigned *request_count)
{
  static const struct jl_handler handler = { .begin = on_begin };
  const char *why = NULL;

  *request_count = 0;
  cr_assert_not_null (jl_server_open (rig->store.net, rig_at (rig, port),
                                      &handler, request_count, &why),
                      "%s", why);
}

void
rig_install_call_route (struct rig *rig)
{
  const struct jl_split split = { "deep", 1 };
  struct jl_route route = {
    .name = "inner",
    .host = "a",
    .prefix = "/",
    .retry_policy = JL_RETRY_POLICY_IDEMPOTENT,
    .timeout_us = JL_USEC_PER_SEC,
    .attempts_max = 2,
    .split_count = 1,
    .split = &split,
  };
  struct jl_site *site = jl_site_new (1);

  jl_site_add_route (site, &route);
  jl_site_seal (site);
  site->body_bytes_max = 1000;
  rig->proxy->site = site;
  rig->proxy->call_routes[0] = jl_name_key ("inner");
  rig->proxy->call_route_count = 1;
}
