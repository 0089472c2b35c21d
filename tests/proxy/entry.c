/**
 * DOC: Tests of the entry against raw peers.
 */

#include <criterion/criterion.h>

#include <string.h>
#include <unistd.h>

#include "proxy/parts/raw.h"

#define ID "X-Jackdawladder-Attempt-Id: 1\r\n"
#define HEAD_BYTES_MAX 2048

static void
install_route (struct rig *rig, const char *service)
{
  const struct jl_split split = { service, 1 };
  struct jl_route route = {
    .name = "r",
    .host = "a",
    .prefix = "/",
    .retry_policy = JL_RETRY_POLICY_AT_MOST_ONCE,
    .timeout_us = 5 * JL_USEC_PER_SEC,
    .attempts_max = 1,
    .split_count = 1,
    .split = &split,
  };
  struct jl_site *site = jl_site_new (1);

  jl_site_add_route (site, &route);
  jl_site_seal (site);
  site->body_bytes_max = 1000;
  rig->proxy->site = site;
}

static unsigned
status_of (const GString *text)
{
  unsigned status = 0;

  sscanf (text->str, "HTTP/1.1 %u", &status);
  return status;
}

/* Sends @text to @port; one that serves @peer answers with @answer. */
static unsigned
exchange (struct rig *rig,
          struct raw_peer *peer,
          uint16_t port,
          const char *text,
          const char *answer)
{
  GString *request = g_string_new (NULL);
  GString *response = g_string_new (NULL);
  int client = rig_send_request (rig, port, text);
  uint64_t end_us = jl_now () + 3 * JL_USEC_PER_SEC;
  unsigned status;

  while (jl_now () < end_us && strstr (response->str, "\r\n\r\n") == NULL)
    {
      int fd = raw_poll_request (rig, peer, request);

      if (fd >= 0)
        {
          raw_send (fd, answer, strlen (answer));
          raw_turn (rig);
          close (fd);
        }
      raw_turn (rig);
      raw_read_available (client, response);
    }
  status = status_of (response);
  close (client);
  g_string_free (request, TRUE);
  g_string_free (response, TRUE);
  return status;
}

/* The entry adds fields, and the guard has the limit of clients. */
Test (entry, a_head_within_the_limit_reaches_the_target)
{
  struct rig rig;
  struct raw_peer peer;

  rig_prepare (&rig, 245);
  rig.options.heartbeat_us = 60 * JL_USEC_PER_SEC;
  raw_peer_open (&peer, &rig, TARGET_PORT);
  rig_start (&rig);
  install_route (&rig, "front");
  rig.proxy->site->head_bytes_max = HEAD_BYTES_MAX;
  rig.proxy->site->head_timeout_us = 3 * JL_USEC_PER_SEC;
  rig.proxy->site->idle_timeout_us = 15 * JL_USEC_PER_SEC;
  jl_proxy_apply_limits (rig.proxy);
  rig_heartbeat (&rig, "i-1", 5, 1);
  for (size_t size = HEAD_BYTES_MAX - 200; size <= HEAD_BYTES_MAX; size += 20)
    {
      GString *text = g_string_new ("GET /x HTTP/1.1\r\nHost: a\r\n" ID "B: ");

      while (text->len < size - 4)
        g_string_append_c (text, 'b');
      g_string_append (text, "\r\n\r\n");
      raw_forget_failures (&rig);
      cr_expect_eq (exchange (&rig, &peer, ENTRY_PORT, text->str,
                              "HTTP/1.1 200 OK\r\n" ID
                              "Content-Length: 0\r\n\r\n"),
                    200, "a head of %zu bytes", text->len);
      g_string_free (text, TRUE);
    }
}

/* As of a daemon of an earlier release, or of another program at a daemon's
 * former address. */
Test (entry, a_503_without_the_statement_of_a_guard_is_no_promise)
{
  static const char *const answers[] = {
    "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n",
  };
  struct rig rig;
  struct raw_peer peer;

  rig_prepare (&rig, 247);
  raw_peer_open (&peer, &rig, OTHER_PORT);
  rig_start (&rig);
  install_route (&rig, "deep");
  rig_add_member (&rig, "d7", "z1", "deep")->capacity = 1000;
  for (unsigned i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      raw_forget_failures (&rig);
      cr_expect_eq (exchange (&rig, &peer, ENTRY_PORT,
                              "POST /x HTTP/1.1\r\nHost: a\r\n" ID
                              "Content-Length: 0\r\n\r\n",
                              answers[i]),
                    502, "%s", answers[i]);
    }
}

/* Guards against a service whose requests no daemon accepts for its name. */
Test (entry, a_service_whose_name_has_spaces_is_reached)
{
  static const char name[] = "d\xc3\xa9p\xc3\xb4t nord 100%";
  char address[JL_ENDPOINT_TEXT_SIZE];
  struct rig rig;
  struct raw_peer peer;
  char *heartbeat;

  rig_prepare (&rig, 242);
  rig.options.heartbeat_us = 60 * JL_USEC_PER_SEC;
  g_strlcpy (rig.options.service, name, sizeof rig.options.service);
  raw_peer_open (&peer, &rig, TARGET_PORT);
  rig_start (&rig);
  install_route (&rig, name);
  jl_endpoint_format (rig_at (&rig, TARGET_PORT), address);
  heartbeat
      = g_strdup_printf ("{\"service\":\"%s\",\"address\":\"%s\",\"slots\":10,"
                         "\"state\":\"ready\",\"sequence\":1}",
                         name, address);
  close (rig_announce (&rig, "i-1", heartbeat));
  rig_run (&rig, 30);
  g_free (heartbeat);
  raw_forget_failures (&rig);
  cr_assert_eq (exchange (&rig, &peer, ENTRY_PORT,
                          "GET /x HTTP/1.1\r\nHost: a\r\n" ID "\r\n",
                          "HTTP/1.1 200 OK\r\n" ID "Content-Length: 0\r\n\r\n"),
                200);
}

/* A 404 would say that there is no such route, and nothing may run. */
Test (entry, requests_of_a_route_that_could_not_be_read_get_503)
{
  struct rig rig;
  struct raw_peer peer;

  rig_prepare (&rig, 241);
  rig.options.heartbeat_us = 60 * JL_USEC_PER_SEC;
  raw_peer_open (&peer, &rig, TARGET_PORT);
  rig_start (&rig);
  install_route (&rig, "front");
  ((struct jl_route *)g_ptr_array_index (rig.proxy->site->routes, 0))
      ->unreadable
      = true;
  rig_heartbeat (&rig, "i-1", 5, 1);
  raw_forget_failures (&rig);
  cr_assert_eq (exchange (&rig, &peer, ENTRY_PORT,
                          "GET /x HTTP/1.1\r\nHost: a\r\n" ID "\r\n",
                          "HTTP/1.1 200 OK\r\n" ID "Content-Length: 0\r\n\r\n"),
                503);
}
