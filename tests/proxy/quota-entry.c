/**
 * DOC: Tests of usage caps with real daemons: requests at the entry, and the
 * takeover of the issuer.
 */

#include <criterion/criterion.h>

#include <string.h>
#include <unistd.h>

#include "proxy/parts/quota-rig.h"

#define DAEMONS 3
#define RATE 2
#define REQUEST                                                                \
  "GET / HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer k\r\n"                   \
  "Connection: close\r\n\r\n"

/* Runs all daemons that are not NULL, beside each other. The targets of zone z2
 * count as heard. */
static void
run_all (struct rig *const *rigs, unsigned ms)
{
  uint64_t end_us = jl_now () + ms * JL_USEC_PER_MSEC;

  while (jl_now () < end_us)
    for (unsigned i = 0; i < DAEMONS; i++)
      {
        struct jl_member *member;

        if (rigs[i] == NULL)
          continue;
        member = jl_roster_get_or_add (&rigs[i]->proxy->roster, "e1");
        member->last_beacon_us = jl_now ();
        rig_run (rigs[i], 1);
      }
}

static bool
issues (const struct rig *rig)
{
  const struct jl_quota *quota = rig->proxy->quota;

  return quota->issuer.active && jl_now () >= quota->issuer.since_us;
}

/* Runs the daemons until the one with index @issuer issues and all that run
 * know that. */
static void
run_until_issuer (struct rig *const *rigs, unsigned issuer)
{
  uint64_t end_us = jl_now () + 20 * JL_USEC_PER_SEC;
  bool done = false;

  while (!done && jl_now () < end_us)
    {
      run_all (rigs, 20);
      done = issues (rigs[issuer]);
      for (unsigned i = 0; i < DAEMONS; i++)
        done &= rigs[i] == NULL || rigs[i]->proxy->quota->in_contact;
    }
  cr_assert (done, "daemon %u does not issue", issuer);
}

/* Sends a request and returns the status of the response. */
static unsigned
request (struct rig *const *rigs, struct rig *rig, double *retry_after_s)
{
  int fd = rig_send_request (rig, ENTRY_PORT, REQUEST);
  uint64_t end_us = jl_now () + 5 * JL_USEC_PER_SEC;
  unsigned status = 0;

  while (status == 0 && jl_now () < end_us)
    {
      const char *text;
      const char *field;

      run_all (rigs, 2);
      text = rig_received (fd);
      sscanf (text, "HTTP/1.1 %u", &status);
      field = strstr (text, "Retry-After: ");
      *retry_after_s = field != NULL ? g_ascii_strtod (field + 13, NULL) : 0;
    }
  close (fd);
  return status;
}

/* Repeats a request as a client does. */
static void
request_until_passed (struct rig *const *rigs, struct rig *rig)
{
  double retry_after_s;

  for (unsigned i = 0; i < 100; i++)
    if (request (rigs, rig, &retry_after_s) == 404)
      return;
  cr_assert_fail ("all requests are refused");
}

/* A daemon alone in its zone issues. Requests over the cap must reach no
 * target. */
Test (quota_entry, requests_over_the_cap_get_429)
{
  struct rig rig;
  struct rig *rigs[DAEMONS] = { &rig };
  unsigned reached;
  unsigned passed = 0;
  unsigned refused = 0;
  uint64_t begun_us;
  double elapsed_s;

  quota_rig_prepare (&rig, 180, "d1", "z1");
  rig_start (&rig);
  rig_open_peer (&rig, OTHER_PORT, &reached);
  rig_add_member (&rig, "e1", "z2", "deep");
  quota_rig_install (&rig, RATE);
  run_until_issuer (rigs, 0);
  rig.proxy->quota->issuer.since_us -= 100 * JL_USEC_PER_SEC;
  begun_us = jl_now ();
  for (unsigned i = 0; i < 40; i++)
    {
      double retry_after_s;
      unsigned status = request (rigs, &rig, &retry_after_s);

      passed += status == 404;
      refused += status == 429 && retry_after_s > 0 && retry_after_s < 30;
    }
  elapsed_s = (double)(jl_now () - begun_us) / 1e6;
  cr_assert_eq (passed + refused, 40, "%u and %u", passed, refused);
  cr_assert_eq (reached, passed);
  /* Half of the depth, 0.6 of the burst of 4 and the additional 17, belongs to
   * z2, and half of the rate, at which a window's allowance is used up. */
  cr_assert_geq (passed, 9);
  cr_assert_leq (passed, 9.7 + elapsed_s * 1.2 * RATE / 2 + 1);
}

Test (quota_entry, without_customers_no_datagram_is_sent)
{
  struct rig rig;
  struct rig *rigs[DAEMONS] = { &rig };
  double retry_after_s;
  unsigned reached;

  quota_rig_prepare (&rig, 181, "d1", "z1");
  rig_start (&rig);
  rig_open_peer (&rig, OTHER_PORT, &reached);
  rig_add_member (&rig, "e1", "z2", "deep");
  rig_add_member (&rig, "d2", "z1", "front");
  quota_rig_install (&rig, 0);
  jl_customers_free (rig.proxy->site->customers);
  rig.proxy->site->customers = NULL;
  run_all (rigs, 500);
  for (unsigned i = 0; i < 30; i++)
    cr_assert_eq (request (rigs, &rig, &retry_after_s), 404);
  cr_assert_eq (rig.proxy->quota->datagrams, 0);
}

/* An issuer that does not run is replaced, never issues beside the new one, and
 * all daemons get tokens from the new one. */
Test (quota_entry, another_daemon_takes_over)
{
  struct rig site[DAEMONS];
  struct rig *rigs[DAEMONS] = { &site[0], &site[1], &site[2] };
  static const char *const names[] = { "d1", "d2", "d3" };
  unsigned reached[DAEMONS];

  for (unsigned i = 0; i < DAEMONS; i++)
    {
      quota_rig_prepare (&site[i], 182 + i, names[i], "z1");
      rig_start (&site[i]);
      rig_open_peer (&site[i], OTHER_PORT, &reached[i]);
      rig_add_member (&site[i], "e1", "z2", "deep");
      quota_rig_install (&site[i], 20);
    }
  for (unsigned i = 0; i < DAEMONS; i++)
    for (unsigned j = 0; j < DAEMONS; j++)
      if (i != j)
        rig_add_member (&site[i], names[j], "z1", "front")->peer
            = site[j].options.advertise;
  run_until_issuer (rigs, 0);
  run_all (rigs, 500);
  request_until_passed (rigs, rigs[2]);
  cr_assert_gt (site[0].proxy->quota->issuer.issued, 0);
  rigs[0] = NULL;
  run_until_issuer (rigs, 1);
  run_all (rigs, 500);
  request_until_passed (rigs, rigs[2]);
  cr_assert_gt (site[1].proxy->quota->issuer.issued, 0);
  rigs[0] = &site[0];
  for (unsigned i = 0; i < 30; i++)
    {
      run_all (rigs, 10);
      cr_assert (!issues (rigs[0]) || !issues (rigs[1]));
    }
  run_until_issuer (rigs, 1);
  /* A planned stop hands over. */
  jl_proxy_begin_stop (site[1].proxy);
  for (unsigned i = 0; i < 200 && !issues (rigs[0]) && !issues (rigs[2]); i++)
    {
      run_all (rigs, 10);
      cr_assert (i < 10 || !issues (rigs[1]));
    }
  cr_assert (issues (rigs[0]) || issues (rigs[2]));
}

/* Rows of daemons that were replaced long ago must not keep a zone from having
 * an issuer, and a daemon that hears nobody must not issue. */
Test (quota_entry, daemons_that_were_never_heard_count_while_nobody_is)
{
  struct rig site[2];
  struct rig *rigs[DAEMONS] = { &site[0], &site[1] };
  static const char *const names[] = { "d1", "d2" };
  static const char *const former[] = { "a1", "a2", "a3" };

  for (unsigned i = 0; i < 2; i++)
    {
      quota_rig_prepare (&site[i], 186 + i, names[i], "z1");
      rig_start (&site[i]);
      rig_add_member (&site[i], "e1", "z2", "deep");
      quota_rig_install (&site[i], 20);
      for (unsigned j = 0; j < G_N_ELEMENTS (former); j++)
        rig_add_member (&site[i], former[j], "z1", "front")->last_beacon_us = 0;
      site[i].proxy->started_us -= 20 * JL_USEC_PER_SEC;
    }
  run_all (rigs, 3000);
  cr_assert_not (site[0].proxy->quota->issuer.active);
  cr_assert_not (site[1].proxy->quota->issuer.active);
  for (unsigned i = 0; i < 2; i++)
    rig_add_member (&site[i], names[1 - i], "z1", "front")->peer
        = site[1 - i].options.advertise;
  run_until_issuer (rigs, 0);
}

/* Adds daemons that are heard of now, and never again. */
static void
add_silent (struct rig *rig, const char *const *names, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    rig_add_member (rig, names[i], "z1", "front");
}

/* Returns the part of the zone's cap that a daemon issues. */
static double
part_of (const struct rig *rig)
{
  const struct jl_quota *quota = rig->proxy->quota;
  uint32_t customer = jl_name_key ("c");
  struct jl_quota_allowance allowance;

  if (!issues (rig) || !jl_quota_allowance_of (quota, customer, &allowance))
    return 0;
  return jl_quota_cap_of (quota, customer).rate / allowance.rate
         * quota->zone_count;
}

/* Runs until a daemon issues this part; returns how long that took, in s. */
static double
run_until_part (struct rig *const *rigs, struct rig *rig, double part)
{
  uint64_t begun_us = jl_now ();

  while (part_of (rig) < part - 0.01 && jl_now () < begun_us + 25e6)
    run_all (rigs, 50);
  cr_assert_geq (part_of (rig), part - 0.01, "%.3f", part_of (rig));
  return (double)(jl_now () - begun_us) / 1e6;
}

/* Guards against two issuers: the other daemons of the zone leave, and are then
 * not heard any more, as they are cut off. They go on to issue. */
Test (quota_entry, daemons_that_leave_and_are_silent_still_count)
{
  static const char *const others[] = { "d2", "d3" };
  struct rig rig;
  struct rig *rigs[DAEMONS] = { &rig };

  quota_rig_prepare (&rig, 166, "d1", "z1");
  rig_start (&rig);
  rig_add_member (&rig, "e1", "z2", "deep");
  add_silent (&rig, others, G_N_ELEMENTS (others));
  quota_rig_install (&rig, 20);
  for (unsigned i = 0; i < 40; i++)
    {
      add_silent (&rig, others, G_N_ELEMENTS (others));
      run_all (rigs, 50);
    }
  for (unsigned i = 0; i < G_N_ELEMENTS (others); i++)
    jl_roster_get_or_add (&rig.proxy->roster, others[i])->state
        = JL_TARGET_LEAVING;
  for (unsigned i = 0; i < 160; i++)
    {
      run_all (rigs, 50);
      cr_assert_leq (part_of (&rig), 0.34, "after %u ms: %.3f", i * 50,
                     part_of (&rig));
    }
}

/* Guards against a zone without an issuer: half of its daemons end without
 * saying so. */
Test (quota_entry, a_zone_that_has_lost_half_issues_all_again)
{
  struct rig site[2];
  struct rig *rigs[DAEMONS] = { &site[0], &site[1] };
  static const char *const names[] = { "d1", "d2" };

  for (unsigned i = 0; i < 2; i++)
    {
      quota_rig_prepare (&site[i], 167 + i, names[i], "z1");
      site[i].options.store = site[0].options.store;
      rig_start (&site[i]);
      rig_add_member (&site[i], "e1", "z2", "deep");
      quota_rig_install (&site[i], 20);
    }
  for (unsigned i = 0; i < 2; i++)
    rig_add_member (&site[i], names[1 - i], "z1", "front")->peer
        = site[1 - i].options.advertise;
  run_until_issuer (rigs, 0);
  run_until_part (rigs, rigs[0], 1);
  rigs[1] = NULL;
  run_all (rigs, 3000);
  cr_assert_leq (run_until_part (rigs, rigs[0], 1), 17);
}
