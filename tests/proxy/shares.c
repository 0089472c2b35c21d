/**
 * DOC: Tests of a proxy whose customers compete for a scarce service.
 */

#include <criterion/criterion.h>

#include <string.h>
#include <unistd.h>

#include "proxy/parts/rig.h"
#include "proxy/shares.h"

static void
add_customer (struct jl_site *site, const char *name, unsigned rank)
{
  struct jl_customer customer = { .name = name, .rank = rank };

  jl_customers_add_api_key (site->customers,
                            jl_customers_add (site->customers, &customer), name,
                            strlen (name));
}

/* Starts a proxy with one route to the service "deep", whose target in the same
 * zone has to refuse a part of its demand. */
static struct jl_member *
begin (struct rig *rig, unsigned host, bool with_customers)
{
  const struct jl_split split = { "deep", 1 };
  struct jl_route route = { .name = "r",
                            .host = "a",
                            .prefix = "/",
                            .timeout_us = 5 * JL_USEC_PER_SEC,
                            .attempts_max = 1,
                            .split_count = 1,
                            .split = &split };
  struct jl_site *site = jl_site_new (1);

  rig_prepare (rig, host);
  rig_start (rig);
  jl_site_add_route (site, &route);
  jl_site_seal (site);
  site->body_bytes_max = 1000;
  rig->proxy->site = site;
  if (!with_customers)
    return rig_add_member (rig, "d6", "z1", "deep");
  site->customers = jl_customers_new ();
  add_customer (site, "large", 1);
  add_customer (site, "small", 1);
  add_customer (site, "urgent", 0);
  return rig_add_member (rig, "d6", "z1", "deep");
}

/* Sends a request of a customer. Returns the status of the response, and adds
 * its text to @text if that is not NULL. */
static unsigned
request (struct rig *rig, uint16_t port, const char *path, const char *key)
{
  char *text = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: a\r\n"
                                "Authorization: Bearer %s\r\n\r\n",
                                path, key);
  int fd = rig_send_request (rig, port, text);
  unsigned status = 0;

  for (unsigned i = 0; i < 50 && status == 0; i++)
    {
      rig_run (rig, 2);
      sscanf (rig_received (fd), "HTTP/1.1 %u", &status);
    }
  close (fd);
  g_free (text);
  return status;
}

/* Sends the load of a second or so: many requests of the large customer, some
 * of the others. Counts the refused ones by customer. */
static void
send_load (struct rig *rig, struct jl_member *member, unsigned refused[3])
{
  static const char *const names[] = { "large", "small", "urgent" };

  memset (refused, 0, 3 * sizeof *refused);
  for (unsigned i = 0; i < 200; i++)
    {
      unsigned customer = i % 20 == 0 ? 1 : i % 20 == 10 ? 2 : 0;

      member->last_beacon_us = jl_now ();
      member->shed_share = 0.5;
      refused[customer]
          += request (rig, ENTRY_PORT, "/x", names[customer]) == 503;
    }
}

/* Guards against entries that refuse all customers alike, and that don't say
 * why. */
Test (shares, only_the_customer_above_its_share_is_refused)
{
  struct rig rig;
  struct jl_member *member = begin (&rig, 210, true);
  unsigned requests;
  unsigned refused[3];
  GString *state = g_string_new (NULL);

  rig_open_peer (&rig, OTHER_PORT, &requests);
  send_load (&rig, member, refused);
  send_load (&rig, member, refused);
  cr_assert_gt (refused[0], 50, "%u of 180", refused[0]);
  cr_assert_eq (refused[1], 0, "%u of 10", refused[1]);
  cr_assert_eq (refused[2], 0, "%u of 10", refused[2]);
  cr_assert_geq (rig.proxy->counters.refused_by_share, refused[0]);
  jl_shares_append_state (rig.proxy, state);
  cr_assert_not_null (strstr (state->str, "customer: name=large refused="),
                      "%s", state->str);
  cr_assert_null (strstr (state->str, "name=small"), "%s", state->str);
  g_string_free (state, TRUE);
}

/* Guards against customers that change the admission of sites without them. */
Test (shares, a_site_without_customers_has_no_shares)
{
  struct rig rig;
  struct jl_member *member = begin (&rig, 211, false);
  unsigned requests;
  unsigned refused[3];
  GString *state = g_string_new (NULL);

  rig_open_peer (&rig, OTHER_PORT, &requests);
  send_load (&rig, member, refused);
  cr_assert_gt (refused[0], 0);
  cr_assert_eq (rig.proxy->counters.refused_by_share, 0);
  cr_assert_eq (g_hash_table_size (rig.proxy->fair_share.customers), 0);
  jl_shares_append_state (rig.proxy, state);
  cr_assert_eq (state->len, 0, "%s", state->str);
  g_string_free (state, TRUE);
}

/* Guards against a guard that does not tell the customers of work apart, or
 * that loses count of the slots by rank. */
Test (shares, the_guard_queues_work_by_customer)
{
  struct rig rig;
  struct jl_lane *lane;
  int fds[3];

  begin (&rig, 212, true);
  rig_heartbeat (&rig, "i-1", 5, 1);
  lane = &rig.proxy->lane;
  lane->limit = 0;
  for (unsigned i = 0; i < 3; i++)
    {
      char *text = g_strdup_printf (
          "GET /x HTTP/1.1\r\nHost: a\r\nX-Jackdawladder-Tenant: c%u\r\n"
          "Jl-Work: front 5 900 300 00000001 1 0\r\n\r\n",
          i / 2);

      fds[i] = rig_send_request (&rig, PEER_PORT, text);
      g_free (text);
    }
  rig_run (&rig, 50);
  cr_assert_eq (lane->fair.ranks[5].waiting, 3);
  cr_assert_neq (lane->fair.ranks[5].busy.next, lane->fair.ranks[5].busy.prev);
  close (fds[0]);
  rig_run (&rig, 50);
  cr_assert_eq (lane->fair.ranks[5].waiting, 2);
  /* No target listens, so that both are refused once they have a slot. */
  lane->limit = 5;
  rig_run (&rig, 100);
  cr_assert_eq (lane->waiting, 0);
  cr_assert_eq (lane->running, 0);
  cr_assert_eq (lane->reserve.ranks[5].running, 0);
  close (fds[1]);
  close (fds[2]);
}
