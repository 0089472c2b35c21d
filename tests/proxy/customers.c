/**
 * DOC: Tests of customers: decoding, identification at the entry, what reaches
 * targets, and revocation of API keys.
 */

#include <criterion/criterion.h>

#include <fcntl.h>
#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "decode.h"
#include "policy/content.h"
#include "proxy/announce.h"
#include "proxy/freshness.h"
#include "proxy/parts/raw.h"
#include "rpc/gen/beacon.h"

#define ID "X-Jackdawladder-Attempt-Id: 1\r\n"
#define TENANT "\r\nX-Jackdawladder-Tenant: "
#define OK                                                                     \
  "HTTP/1.1 200 OK\r\n" ID "X-Jackdawladder-Server-Seal: s\r\n"                \
  "Content-Length: 0\r\n\r\n"
#define MOVED                                                                  \
  "HTTP/1.1 503 X\r\nJl-Outcome: not-run\r\nJl-Reason: draining\r\n"           \
  "Content-Length: 0\r\n\r\n"
#define FAILED "HTTP/1.1 500 X\r\n" ID "Content-Length: 0\r\n\r\n"
#define ACME "[\"acme\",[\"key-a\",\"key-b\"],1,10,10]"
#define BOLT "[\"bolt\",[\"key-c\"],0,0,0]"
#define REVOKE_MS 300

/* Formats a configuration; @tenants is a list of rows, NULL for no customers,
 * or a whole JSON value if it begins with '='. */
static char *
format_site (unsigned version, const char *tenants)
{
  char *list = g_strdup ("");
  char *text;

  if (tenants != NULL && tenants[0] == '=')
    list = g_strdup_printf ("\"tenants\":%s,", tenants + 1);
  else if (tenants != NULL)
    list = g_strdup_printf (
        "\"tenants\":{\"columns\":[\"name\",\"apiKeys\",\"priority\","
        "\"ratePerS\",\"burst\"],\"rows\":[%s]},",
        tenants);
  text = g_strdup_printf (
      "{\"version\":\"%x\",\"routes\":{\"columns\":[\"name\",\"host\","
      "\"prefix\",\"kind\",\"timeoutS\",\"priority\",\"maxAttempts\","
      "\"service\",\"public\"],\"rows\":["
      "[\"r\",\"a\",\"/\",\"idempotent\",2,1,3,\"deep\",false],"
      "[\"odd\",\"a\",\"/odd\",\"idempotent\",2,1,3,\"deep\",\"true\"],"
      "[\"own\",\"a\",\"/own\",\"idempotent\",2,1,3,\"front\",false],"
      "[\"open\",\"a\",\"/open\",\"idempotent\",2,1,3,\"deep\",true]]},"
      "%s\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000,"
      "\"headerTimeoutS\":3,\"idleTimeoutS\":15}}",
      version, list);
  g_free (list);
  return text;
}

static struct jl_site *
decode (const char *tenants)
{
  char *text = format_site (1, tenants);
  struct jl_site *site = jl_platform_decode_site (text, strlen (text), NULL);

  cr_assert_not_null (site);
  g_free (text);
  return site;
}

/* Returns the name of the customer that holds an API key, "-" for none. */
static const char *
holder (const struct jl_site *site, const char *api_key)
{
  const struct jl_customer *customer
      = jl_customers_find_api_key (site->customers, api_key, strlen (api_key));

  return customer != NULL ? customer->name : "-";
}

/* A part that cannot be read must not open a route, nor hide the others. */
Test (customers, a_part_that_cannot_be_read_identifies_nobody)
{
  static const struct
  {
    const char *tenants;
    const char *holder_of_key_a;
    const char *holder_of_key_c;
  } cases[] = {
    { ACME "," BOLT, "acme", "bolt" },
    { "=null", "-", "-" },
    { "=[]", "-", "-" },
    { "={\"columns\":[\"name\"],\"rows\":7}", "-", "-" },
    { "7,\"x\",null,{}," BOLT, "-", "bolt" },
    { "[\"acme\",\"key-a\",1,10,10]," BOLT, "-", "bolt" },
    { "[\"acme\",[7,null,\"\",[\"key-a\"]],1,10,10]," BOLT, "-", "bolt" },
    { "[\"acme\",[7,\"key-a\"],1,10,10]," BOLT, "acme", "bolt" },
    { "[\"acme\",[\"key-a\"],1,-1,10]," BOLT, "-", "bolt" },
    { "[\"acme\",[\"key-a\"],1,\"10\",10]," BOLT, "-", "bolt" },
    { "[\"acme\",[\"key-a\"],1,1,-1e300]," BOLT, "-", "bolt" },
    { "[\" acme\",[\"key-a\"],1,1,1]," BOLT, "-", "bolt" },
    { "[\"acme\\t\",[\"key-a\"],1,1,1]," BOLT, "-", "bolt" },
    { "[\"ac\\r\\nme\",[\"key-a\"],1,1,1]," BOLT, "-", "bolt" },
    { "[null,[\"key-a\"],1,1,1]," BOLT, "-", "bolt" },
    { "[\"acme\",[\"key-c\",\"key-a\"],1,1,1]," BOLT, "acme", "-" },
    { "[\"acme\",[\"x\"],1,1,1],[\"acme\",[\"key-a\"],1,1,1]," BOLT, "-",
      "bolt" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct jl_site *site = decode (cases[i].tenants);

      cr_assert_not_null (site->customers, "%s", cases[i].tenants);
      cr_expect_str_eq (holder (site, "key-a"), cases[i].holder_of_key_a, "%s",
                        cases[i].tenants);
      cr_expect_str_eq (holder (site, "key-c"), cases[i].holder_of_key_c, "%s",
                        cases[i].tenants);
      cr_expect_not (jl_site_find_route (site, "a", "/odd")->public);
      cr_expect (jl_site_find_route (site, "a", "/open")->public);
      jl_site_drop (site);
    }
  cr_assert_null (decode (NULL)->customers);
}

/* Guards against a customer that is left out for a value or a character that
 * its name or key may have, so that its requests get 401. */
Test (customers, names_keys_and_caps_have_no_bounds_of_their_own)
{
  char *key = g_strnfill (2000, 'k');
  char *rows = g_strdup_printf (
      "[\"acme\",[\"key-a\"],9,1e12,1e300],[\"Coop Ferry "
      "2\",[\"key-b\"],0,0,0],"
      "[\"Dun\xc4\x83rea\",[\"key c\"],0,0,0],[\"%s\",[\"%s\"],0,0,0]",
      key, key);
  struct jl_site *site = decode (rows);

  cr_expect_eq (site->unread_parts->len, 0);
  cr_expect_str_eq (holder (site, "key-a"), "acme");
  cr_expect_str_eq (holder (site, "key-b"), "Coop Ferry 2");
  cr_expect_str_eq (holder (site, "key c"), "Dun\xc4\x83rea");
  cr_expect_str_eq (holder (site, key), key);
  cr_expect_eq (jl_customers_find (site->customers, jl_name_key ("acme"))->rank,
                JL_RANK_COUNT - 1);
  cr_expect_str_eq (
      jl_customers_find (site->customers, jl_name_key ("Coop Ferry 2"))->label,
      "Coop%20Ferry%202");
  jl_site_drop (site);
  g_free (rows);
  g_free (key);
}

#define MANY 5000
#define LOOKUPS 20000

/* Returns a configuration of @count customers with two keys each. */
static struct jl_site *
decode_many (unsigned count)
{
  GString *rows = g_string_new (NULL);
  struct jl_site *site;

  for (unsigned i = 0; i < count; i++)
    g_string_append_printf (rows, "%s[\"c%u\",[\"k%u-1\",\"k%u-2\"],0,%u,5]",
                            i > 0 ? "," : "", i, i, i, i);
  site = decode (rows->str);
  g_string_free (rows, TRUE);
  return site;
}

static uint64_t
time_lookups (const struct jl_site *site)
{
  uint64_t begun_us = jl_now ();

  for (unsigned i = 0; i < LOOKUPS; i++)
    jl_customers_find_api_key (site->customers, "k7-2", 4);
  return jl_now () - begun_us;
}

/* The time of a lookup is printed; a busy machine decides no test. */
Test (customers, thousands_of_customers)
{
  struct jl_site *site = decode_many (MANY);

  cr_assert_eq (site->customers->list->len, MANY);
  cr_assert_eq (site->customers->api_key_count, 2 * MANY);
  for (unsigned i = 0; i < MANY; i++)
    {
      char key[24];
      char name[24];

      g_snprintf (key, sizeof key, "k%u-%u", i, 1 + i % 2);
      g_snprintf (name, sizeof name, "c%u", i);
      cr_assert_str_eq (holder (site, key), name);
    }
  cr_assert_str_eq (holder (site, "k5000-1"), "-");
  cr_log_info (
      "%u lookups: %" PRIu64 " us of %u customers, %" PRIu64 " us of 10\n",
      LOOKUPS, time_lookups (site), MANY, time_lookups (decode_many (10)));
}

/* Returns a number whose name "cN" has the same digest as that of a smaller
 * one, which @other receives. */
static unsigned
find_collision (unsigned *other)
{
  GHashTable *names = g_hash_table_new (g_direct_hash, g_direct_equal);
  unsigned found = 0;

  for (unsigned i = 1; found == 0; i++)
    {
      char name[24];
      gpointer key;

      g_snprintf (name, sizeof name, "c%u", i);
      key = GUINT_TO_POINTER (jl_name_key (name));
      *other = GPOINTER_TO_UINT (g_hash_table_lookup (names, key));
      found = *other != 0 ? i : 0;
      g_hash_table_insert (names, key, GUINT_TO_POINTER (i));
    }
  g_hash_table_destroy (names);
  return found;
}

/* The digest of a name has 32 bits, so customers may share one. */
Test (customers, names_with_the_same_digest_are_two_customers)
{
  unsigned a;
  unsigned b = find_collision (&a);
  char *rows = g_strdup_printf ("[\"c%u\",[\"key-a\"],0,0,0],"
                                "[\"c%u\",[\"key-b\"],0,0,0],"
                                "[\"c%u\",[\"key-c\"],0,0,0]",
                                a, b, b);
  struct jl_site *site = decode (rows);

  cr_assert_eq (site->customers->list->len, 2);
  cr_assert_eq (atoi (holder (site, "key-a") + 1), (int)a);
  cr_assert_eq (atoi (holder (site, "key-b") + 1), (int)b);
  cr_assert_str_eq (holder (site, "key-c"), "-", "the name is taken");
}

/* Daemons pass the configuration on to each other. */
Test (customers, the_text_for_other_daemons_has_no_api_keys)
{
  char *text = format_site (7, ACME "," BOLT ",[\"cole\",[\"key-c\"],3,0.1,2]");
  struct jl_site *site = jl_platform_decode_site (text, strlen (text), NULL);
  char *redacted = jl_platform_redact_site (site, text, strlen (text));
  struct jl_site *copy
      = jl_platform_decode_site (redacted, strlen (redacted), NULL);
  const struct jl_customer *cole;

  cr_assert_null (strstr (redacted, "key-"));
  cr_assert_not_null (copy);
  cr_assert_eq (copy->version, 7);
  cr_assert_eq (copy->routes->len, 4);
  cr_assert_eq (copy->customers->list->len, 3);
  cr_assert_str_eq (holder (copy, "key-a"), "acme");
  cr_assert_str_eq (holder (copy, "key-b"), "acme");
  cr_assert_str_eq (holder (copy, "key-c"), "-", "two customers claim it");
  cole = jl_customers_find (copy->customers, jl_name_key ("cole"));
  cr_assert_eq (cole->rank, 3);
  cr_assert_eq (cole->rate, 0.1);
  cr_assert_str_eq (jl_platform_redact_site (copy, redacted, strlen (redacted)),
                    redacted);
}

static void
install (struct rig *rig, unsigned version, const char *tenants)
{
  char *text = format_site (version, tenants);

  jl_proxy_install (rig->proxy, text, strlen (text), "test");
  g_free (text);
}

/**
 * struct play - a proxy with customers, and two other daemons of the service
 * "deep" at the same address
 * @request: head that the last exchange sent to @peer
 */
struct play
{
  struct rig rig;
  struct raw_peer peer;
  GString *request;
};

static void
begin (struct play *play, unsigned host, bool strict, const char *tenants)
{
  memset (play, 0, sizeof *play);
  rig_prepare (&play->rig, host);
  play->rig.options.retry_ratio = 1;
  play->rig.options.retry_slack = 100;
  play->rig.options.strict_revoke = strict;
  play->rig.options.revoke_us = REVOKE_MS * JL_USEC_PER_MSEC;
  raw_peer_open (&play->peer, &play->rig, OTHER_PORT);
  rig_start (&play->rig);
  install (&play->rig, 1, tenants);
  rig_add_member (&play->rig, "d7", "z1", "deep");
  rig_add_member (&play->rig, "d8", "z1", "deep");
  play->request = g_string_new (NULL);
}

/* Returns the status of the response that arrives at @client, while @peer
 * responds to the next request with @answer; 0 if none arrives. */
static unsigned
finish (struct play *play, int client, const char *answer)
{
  GString *response = g_string_new (NULL);
  uint64_t end_us = jl_now () + 3 * JL_USEC_PER_SEC;
  unsigned status = 0;

  g_string_truncate (play->request, 0);
  while (jl_now () < end_us && strstr (response->str, "\r\n\r\n") == NULL)
    {
      int fd = raw_poll_request (&play->rig, &play->peer, play->request);

      if (fd >= 0)
        {
          raw_send (fd, answer, strlen (answer));
          raw_turn (&play->rig);
          close (fd);
        }
      raw_turn (&play->rig);
      raw_read_available (client, response);
    }
  sscanf (response->str, "HTTP/1.1 %u", &status);
  g_string_free (response, TRUE);
  return status;
}

static int
send_get (struct play *play, const char *path, const char *fields)
{
  char *text = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: a\r\n" ID "%s\r\n",
                                path, fields);
  int fd = rig_send_request (&play->rig, ENTRY_PORT, text);

  g_free (text);
  return fd;
}

static unsigned
get (struct play *play, const char *path, const char *fields)
{
  int fd = send_get (play, path, fields);
  unsigned status;

  raw_forget_failures (&play->rig);
  status = finish (play, fd, OK);
  close (fd);
  return status;
}

/* Whether the last request carried @tenant, NULL for none, and no trace of a
 * key. */
static bool
reached_as (const struct play *play, const char *tenant)
{
  char *lower = g_ascii_strdown (play->request->str, -1);
  const char *field = strstr (play->request->str, TENANT);
  bool clean = strstr (lower, "authorization") == NULL
               && strstr (lower, "key-") == NULL
               && strstr (lower, "forged") == NULL;
  char *line = g_strdup_printf (TENANT "%s\r\n", tenant);
  bool named = tenant == NULL ? field == NULL
                              : field != NULL && g_str_has_prefix (field, line);

  g_free (lower);
  g_free (line);
  return play->request->len > 0 && clean && named
         && (field == NULL || strstr (field + 1, TENANT) == NULL);
}

/* Each way to send or to hide a key, or to claim to be another customer. */
Test (customers, identification_and_what_is_forwarded)
{
  static const struct
  {
    const char *path;
    const char *fields;
    unsigned status;
    const char *tenant;
  } cases[] = {
    { "/x", "Authorization: Bearer key-a\r\n", 200, "acme" },
    { "/x", "AUTHORIZATION:bEARER \t key-b \t\r\n", 200, "acme" },
    { "/x", "Authorization: Bearer key-c\r\nX-Jackdawladder-Tenant: forged\r\n",
      200, "bolt" },
    { "/x",
      "Authorization: Bearer key-c\r\nx_jackdawladder-TENANT: forged\r\n"
      "X_Jackdawladder_Tenant: forged\r\n",
      200, "bolt" },
    { "/x",
      "Authorization: Bearer key-a\r\nConnection: authorization, "
      "x-jackdawladder-tenant\r\n",
      200, "acme" },
    { "/x", "", 401, NULL },
    { "/odd", "", 401, NULL },
    { "/x", "X-Jackdawladder-Tenant: acme\r\n", 401, NULL },
    { "/x", "Authorization: Bearer key-z\r\n", 401, NULL },
    { "/x", "Authorization: Bearer KEY-A\r\n", 401, NULL },
    { "/x", "Authorization: Bearer key-a key-b\r\n", 401, NULL },
    { "/x", "Authorization: Bearer\r\n", 401, NULL },
    { "/x", "Authorization: Bearer \r\n", 401, NULL },
    { "/x", "Authorization: Bearerkey-a\r\n", 401, NULL },
    { "/x", "Authorization: Basic key-a\r\n", 401, NULL },
    { "/x", "Authorization: key-a\r\n", 401, NULL },
    { "/x", "Authorization: Bearer key-a\r\nauthorization: Bearer key-a\r\n",
      401, NULL },
    { "/x", "Authorization : Bearer key-a\r\n", 400, NULL },
    { "/open", "Authorization: Bearer key-a\r\n", 200, "acme" },
    { "/open", "", 200, NULL },
    { "/open", "X-Jackdawladder-Tenant: forged\r\n", 200, NULL },
    { "/open", "Authorization: Basic key-a\r\n", 200, NULL },
    { "/open", "Authorization: Bearer key-z\r\naUTHORIZATION: Basic key-a\r\n",
      200, NULL },
  };
  struct play play;

  begin (&play, 150, false, ACME "," BOLT);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      cr_expect_eq (get (&play, cases[i].path, cases[i].fields),
                    cases[i].status, "%s %s", cases[i].path, cases[i].fields);
      if (cases[i].status == 200)
        cr_expect (reached_as (&play, cases[i].tenant), "%s: %s",
                   cases[i].fields, play.request->str);
      else
        cr_expect_eq (play.request->len, 0, "%s", play.request->str);
    }
}

/* Guards against a name that is changed on the way to the target. */
Test (customers, a_name_with_spaces_and_other_letters_is_forwarded)
{
  struct play play;

  begin (&play, 149, false,
         "[\"Coop Ferry\",[\"key-a\"],0,0,0],"
         "[\"Dun\xc4\x83rea\",[\"a key\",\"cheie-\xc4\x83\"],0,0,0]");
  cr_expect_eq (get (&play, "/x", "Authorization: Bearer key-a\r\n"), 200);
  cr_expect (reached_as (&play, "Coop Ferry"), "%s", play.request->str);
  cr_expect_eq (get (&play, "/x", "Authorization: Bearer  a key \r\n"), 200);
  cr_expect (reached_as (&play, "Dun\xc4\x83rea"), "%s", play.request->str);
  cr_expect_eq (get (&play, "/x", "Authorization: Bearer cheie-\xc4\x83\r\n"),
                200);
  cr_expect (reached_as (&play, "Dun\xc4\x83rea"), "%s", play.request->str);
}

Test (customers, a_site_without_customers_forwards_authorization)
{
  struct play play;

  begin (&play, 151, false, NULL);
  cr_assert_eq (get (&play, "/x", "Authorization: Basic abc\r\n"), 200);
  cr_assert_not_null (
      strstr (play.request->str, "\r\nAuthorization: Basic abc\r\n"));
}

/* The request passes the guard of the same daemon, as of any other. */
Test (customers, the_target_gets_the_name_and_no_key)
{
  static const char trailer[] = "0\r\nAuthorization: Bearer key-a\r\n\r\n";
  struct play play;
  struct raw_peer target;
  int fd;

  begin (&play, 152, false, ACME);
  raw_peer_open (&target, &play.rig, TARGET_PORT);
  rig_heartbeat (&play.rig, "i-1", 5, 1);
  fd = send_get (&play, "/own",
                 "Authorization: Bearer key-a\r\n"
                 "Transfer-Encoding: chunked\r\nTrailer: Authorization\r\n");
  raw_send (fd, trailer, strlen (trailer));
  play.peer = target;
  cr_assert_eq (finish (&play, fd, OK), 200);
  cr_assert (reached_as (&play, "acme"), "%s", play.request->str);
  close (fd);
  /* From an entry that does not know yet that the site has customers. */
  fd = rig_send_request (&play.rig, PEER_PORT,
                         "GET /own HTTP/1.1\r\nHost: a\r\n" ID
                         "authorization: Bearer key-a\r\n"
                         "Jl-Work: front 1 1000 1000 0 1 0\r\n\r\n");
  cr_assert_eq (finish (&play, fd, OK), 200);
  cr_assert (reached_as (&play, NULL), "%s", play.request->str);
}

/* Sends a request to the first daemon, which has it when this returns. */
static int
send_waiting (struct play *play, int *first)
{
  int fd = send_get (play, "/x", "Authorization: Bearer key-a\r\n");

  raw_forget_failures (&play->rig);
  g_string_truncate (play->request, 0);
  *first = raw_accept_request (&play->rig, &play->peer, play->request);
  cr_assert_geq (*first, 0);
  return fd;
}

/* A request that is forwarded again must be one of the newest configuration. */
Test (customers, a_key_is_checked_again_before_each_attempt)
{
  static const struct
  {
    const char *answer;
    const char *tenants;
    unsigned status;
    const char *tenant;
  } cases[] = {
    { MOVED, ACME "," BOLT, 200, "acme" },
    { FAILED, ACME "," BOLT, 200, "acme" },
    { MOVED, BOLT, 401, NULL },
    { FAILED, BOLT, 502, NULL },
    { MOVED, "[\"other\",[\"key-a\"],0,0,0]", 200, "other" },
    { MOVED, "=7", 401, NULL },
    { MOVED, NULL, 200, "acme" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct play play;
      int first;
      int fd;

      begin (&play, 153 + (unsigned)i, false, ACME);
      fd = send_waiting (&play, &first);
      cr_assert (reached_as (&play, "acme"));
      install (&play.rig, 2, cases[i].tenants);
      raw_send (first, cases[i].answer, strlen (cases[i].answer));
      close (first);
      cr_expect_eq (finish (&play, fd, OK), cases[i].status, "case %zu", i);
      if (cases[i].status == 200)
        cr_expect (reached_as (&play, cases[i].tenant), "case %zu: %s", i,
                   play.request->str);
      else
        cr_expect_eq (play.request->len, 0, "case %zu", i);
      cr_expect_eq (play.rig.proxy->counters.identified[JL_IDENTITY_KNOWN], 1);
    }
}

/* Revocation ends no connection, and must not depend on its end. */
Test (customers, a_revoked_key_is_rejected_on_an_open_connection)
{
  static const char text[] = "GET /x HTTP/1.1\r\nHost: a\r\n" ID
                             "Authorization: Bearer key-a\r\n\r\n";
  struct play play;
  int fd;

  begin (&play, 160, false, ACME);
  fd = rig_send_request (&play.rig, ENTRY_PORT, text);
  cr_assert_eq (finish (&play, fd, OK), 200);
  install (&play.rig, 2, BOLT);
  raw_send (fd, text, strlen (text));
  cr_assert_eq (finish (&play, fd, OK), 401);
  install (&play.rig, 3, ACME);
  raw_send (fd, text, strlen (text));
  cr_assert_eq (finish (&play, fd, OK), 200);
}

/* Sends a freshness message of the daemon d7 with the age 0. */
static void
send_freshness (struct rig *rig, int fd, unsigned version)
{
  struct beacon_freshness message = {
    .format = JL_FORMAT_FRESHNESS,
    .name = (char *)"d7",
    .site_version = version,
  };
  char datagram[JL_DATAGRAM_BYTES_MAX];
  XDR xdr;

  xdrmem_create (&xdr, datagram, sizeof datagram, XDR_ENCODE);
  cr_assert (xdr_beacon_freshness (&xdr, &message));
  rig_send_datagram (rig, fd, datagram, xdr_getpos (&xdr));
}

/* Without strict_revoke a daemon out of contact serves on; with it, it must not
 * accept a key that may be revoked. */
Test (customers, strict_revoke)
{
  for (unsigned strict = 0; strict < 2; strict++)
    {
      unsigned refused = strict ? 503 : 200;
      struct play play;

      begin (&play, 161 + strict, strict != 0, ACME);
      jl_freshness_confirm (play.rig.proxy->freshness, jl_now ());
      cr_expect_eq (get (&play, "/x", "Authorization: Bearer key-a\r\n"), 200);
      play.rig.store.away = true;
      fake_store_lose_calls (&play.rig.store, "op");
      rig_run (&play.rig, REVOKE_MS + 100);
      cr_expect_eq (get (&play, "/x", "Authorization: Bearer key-a\r\n"),
                    refused);
      cr_expect_eq (get (&play, "/open", ""), 200);
      cr_expect_eq (get (&play, "/x", ""), strict ? 503 : 401);
      jl_freshness_confirm (play.rig.proxy->freshness, jl_now ());
      cr_expect_eq (get (&play, "/x", "Authorization: Bearer key-a\r\n"), 200);
    }
}

/* It gets the configuration from another daemon, whose word it needs as well to
 * know that no newer one is in the store. */
Test (customers, a_daemon_that_starts_while_the_store_rejects_it)
{
  struct play play;
  int fd;

  memset (&play, 0, sizeof play);
  rig_prepare (&play.rig, 163);
  play.request = g_string_new (NULL);
  play.rig.options.strict_revoke = true;
  play.rig.options.revoke_us = 5 * JL_USEC_PER_SEC;
  play.rig.store.away = true;
  raw_peer_open (&play.peer, &play.rig, OTHER_PORT);
  rig_start (&play.rig);
  cr_expect_eq (get (&play, "/open", ""), 503);
  cr_expect_eq (get (&play, "/x", "Authorization: Bearer key-a\r\n"), 503);
  install (&play.rig, 4, ACME);
  rig_add_member (&play.rig, "d7", "z1", "deep");
  cr_expect_eq (get (&play, "/open", ""), 200);
  cr_expect_eq (get (&play, "/x", "Authorization: Bearer key-a\r\n"), 503);
  fd = socket (AF_INET, SOCK_DGRAM, 0);
  send_freshness (&play.rig, fd, 4);
  rig_run (&play.rig, 100);
  cr_expect_eq (get (&play, "/x", "Authorization: Bearer key-a\r\n"), 200);
}

/* Datagrams wait while a process is stopped; when it goes on, they are as old
 * as the time for which it was stopped. */
Test (customers, news_that_waited_in_a_stopped_process_are_old)
{
  struct play play;
  int fd = socket (AF_INET, SOCK_DGRAM, 0);

  begin (&play, 164, true, ACME);
  play.rig.store.away = true;
  fake_store_lose_calls (&play.rig.store, "op");
  rig_run (&play.rig, 100);
  send_freshness (&play.rig, fd, 1);
  g_usleep (JL_USEC_PER_MSEC * REVOKE_MS * 2);
  rig_run (&play.rig, 50);
  cr_expect_eq (get (&play, "/x", "Authorization: Bearer key-a\r\n"), 503);
  send_freshness (&play.rig, fd, 1);
  rig_run (&play.rig, 50);
  cr_expect_eq (get (&play, "/x", "Authorization: Bearer key-a\r\n"), 200);
}

/* On a site that allows more time for a configuration than revoke_s, daemons in
 * contact must not become too old between two answers of the store. */
Test (customers, the_store_is_asked_often_enough_for_strict_revoke)
{
  struct play play;

  begin (&play, 169, true, ACME);
  play.rig.options.config_apply_us = 15 * JL_USEC_PER_SEC;
  play.rig.options.revoke_us = 5 * JL_USEC_PER_SEC;
  cr_expect_lt (jl_freshness_poll_ms (play.rig.proxy->freshness), 2500);
  play.rig.options.strict_revoke = false;
  cr_expect_eq (jl_freshness_poll_ms (play.rig.proxy->freshness), 4000);
}

static unsigned
count_freshness (int fd)
{
  unsigned char datagram[2048];
  unsigned count = 0;
  ssize_t size;

  while ((size = recv (fd, datagram, sizeof datagram, MSG_DONTWAIT)) >= 0)
    count += size > 4 && datagram[3] == JL_FORMAT_FRESHNESS;
  return count;
}

/* A whole zone may be out of contact with the store, and goes on by the word of
 * others; without strict_revoke it needs none, and gets no byte. */
Test (customers, other_zones_are_told_with_strict_revoke)
{
  for (unsigned strict = 0; strict < 2; strict++)
    {
      struct play play;
      int fd;

      begin (&play, 165 + strict, strict != 0, ACME);
      rig_add_member (&play.rig, "d9", "z2", "deep")->peer
          = rig_at (&play.rig, STORE_PORT + 5);
      fd = rig_open_datagrams (&play.rig, STORE_PORT + 5);
      play.rig.proxy->follow_rank = 0;
      for (unsigned i = 0; i < 60; i++)
        {
          jl_freshness_confirm (play.rig.proxy->freshness, jl_now ());
          rig_run (&play.rig, 10);
        }
      if (strict)
        cr_expect (count_freshness (fd) > 0);
      else
        cr_expect_eq (count_freshness (fd), 0);
    }
}

/* The key of the next test is this text, each byte minus one, so that the test
 * itself has no copy of it on the heap. It is repeated, since a part of freed
 * memory is soon used for something else. */
static const char shifted_key[] = "tfdsfu.82";
#define SECRET_LENGTH (sizeof shifted_key - 1)
#define SECRET_REPEATS 6

static char *
fill_secret (char *to)
{
  for (size_t i = 0; i < SECRET_REPEATS * SECRET_LENGTH; i++)
    *to++ = (char)(shifted_key[i % SECRET_LENGTH] - 1);
  return to;
}

static bool
is_secret (const char *text)
{
  for (size_t i = 0; i < SECRET_LENGTH; i++)
    if (text[i] != shifted_key[i] - 1)
      return false;
  return true;
}

static unsigned
count_secrets (const char *from, const char *to)
{
  unsigned count = 0;

  for (; from + SECRET_LENGTH <= to; from++)
    count += is_secret (from);
  return count;
}

#ifndef __SANITIZE_ADDRESS__
/* Copies of the key in memory that was freed while @watches_free is set. */
static unsigned freed_secrets;
static bool watches_free;

extern void __libc_free (void *block);
extern void *__libc_realloc (void *block, size_t size);

static unsigned
count_secrets_in_block (void *block)
{
  char *text = block;

  if (!watches_free || block == NULL)
    return 0;
  return count_secrets (text, text + malloc_usable_size (block));
}

/* These take the place of the functions of the C library. */
void
free (void *block)
{
  freed_secrets += count_secrets_in_block (block);
  __libc_free (block);
}

void *
realloc (void *block, size_t size)
{
  unsigned count = count_secrets_in_block (block);
  void *moved = __libc_realloc (block, size);

  if (moved != block)
    freed_secrets += count;
  return moved;
}

#else
static unsigned freed_secrets;
static bool watches_free;
#endif

/* Returns the number of copies of the key on the heap of this process. */
static unsigned
count_secrets_on_heap (void)
{
  FILE *maps = fopen ("/proc/self/maps", "r");
  char line[512];
  unsigned count = 0;

  while (fgets (line, sizeof line, maps) != NULL)
    {
      char *from;
      char *to;

      if (strstr (line, "[heap]") != NULL
          && sscanf (line, "%p-%p", (void **)&from, (void **)&to) == 2)
        count += count_secrets (from, to);
    }
  fclose (maps);
  return count;
}

static unsigned
count_secrets_in_file (const char *path)
{
  char *text;
  gsize size;
  unsigned count;

  cr_assert (g_file_get_contents (path, &text, &size, NULL));
  count = count_secrets (text, text + size);
  g_free (text);
  return count;
}

static unsigned
count_secrets_on_page (struct rig *rig, const char *path)
{
  static char text[256];
  GString *page = g_string_new (NULL);
  unsigned count;
  int fd;

  g_snprintf (text, sizeof text,
              "GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", path);
  fd = rig_send_request (rig, METRICS_PORT, text);
  cr_assert (raw_read_all (rig, fd, page));
  cr_assert_not_null (strstr (page->str, "customers"), "%s", page->str);
  count = count_secrets (page->str, page->str + page->len);
  g_string_free (page, TRUE);
  close (fd);
  return count;
}

/* A configuration and a request whose texts are not on the heap. */
static char secret_site[2048];
static char secret_request[4096];

static void
fill_secret_texts (unsigned version, const char *path)
{
  char *end;
  char *text = format_site (version, "[\"acme\",[\"@\"],0,0,0]");
  const char *at = strchr (text, '@');

  memcpy (secret_site, text, (size_t)(at - text));
  end = fill_secret (secret_site + (at - text));
  g_strlcpy (end, at + 1, (gsize)(secret_site + sizeof secret_site - end));
  g_free (text);
  end = secret_request
        + sprintf (secret_request,
                   "GET %s HTTP/1.1\r\nHost: a\r\n" ID "Authorization: Bearer ",
                   path);
  /* A head that outgrows the buffer in which it begins. */
  end = fill_secret (end);
  sprintf (end, "\r\nX-Long: %01200d\r\n\r\n", 1);
}

/* Keys must not be found in what others see, nor in a core file once their
 * request has ended. */
Test (customers, keys_are_in_no_log_page_datagram_or_freed_memory)
{
  char path[] = "/tmp/customers-log-XXXXXX";
  int log = mkstemp (path);
  int out = dup (STDOUT_FILENO);
  struct play play;
  int datagrams;
  int fd;
  size_t length;
  char datagram[2048];
  ssize_t size;

  begin (&play, 167, false, NULL);
  datagrams = rig_open_datagrams (&play.rig, OTHER_PORT);
  dup2 (log, STDOUT_FILENO);
  watches_free = true;
  fill_secret_texts (2, "/x");
  jl_proxy_install (play.rig.proxy, secret_site, strlen (secret_site), "test");
  cr_expect_eq (count_secrets_on_heap (), 0, "after a configuration");
  fd = rig_send_request (&play.rig, ENTRY_PORT, secret_request);
  cr_assert_eq (finish (&play, fd, OK), 200);
  cr_expect_eq (count_secrets_on_heap (), 0, "after a request");
  install (&play.rig, 3, BOLT);
  raw_send (fd, secret_request, strlen (secret_request));
  cr_assert_eq (finish (&play, fd, OK), 401);
  /* The second one arrives while the first is in progress. */
  fill_secret_texts (3, "/open");
  length = strlen (secret_request);
  memcpy (secret_request + length, secret_request, length + 1);
  raw_send (fd, secret_request, 2 * length);
  cr_assert_eq (finish (&play, fd, OK), 200);
  cr_assert_eq (finish (&play, fd, OK), 200);
  cr_expect_eq (count_secrets_on_heap (), 0, "after a revoked key");
  /* The client closes the connection while a request is in progress. */
  raw_send (fd, secret_request, length);
  raw_forget_failures (&play.rig);
  g_string_truncate (play.request, 0);
  close (raw_accept_request (&play.rig, &play.peer, play.request));
  close (fd);
  rig_run (&play.rig, 50);
  cr_expect_eq (count_secrets_on_heap (), 0, "after a lost connection");
  cr_expect_eq (count_secrets_on_page (&play.rig, "/metrics"), 0);
  cr_expect_eq (count_secrets_on_page (&play.rig, "/state"), 0);
  rig_run (&play.rig, 300);
  jl_record_flush ();
  watches_free = false;
  cr_expect_eq (freed_secrets, 0, "%u copies in freed memory", freed_secrets);
  dup2 (out, STDOUT_FILENO);
  cr_expect_eq (count_secrets_in_file (path), 0);
  cr_expect_gt (lseek (log, 0, SEEK_END), 0);
  unlink (path);
  while ((size = recv (datagrams, datagram, sizeof datagram, MSG_DONTWAIT)) > 0)
    cr_expect_eq (count_secrets (datagram, datagram + size), 0);
}

/* Clients with unknown keys must not hide the failures of others in the log. */
Test (customers, rejected_requests_use_few_lines_of_the_log)
{
  char path[] = "/tmp/customers-log-XXXXXX";
  int log = mkstemp (path);
  int out = dup (STDOUT_FILENO);
  unsigned lines = 0;
  struct play play;
  uint64_t begun_s;
  char *text;

  begin (&play, 168, false, ACME);
  begun_s = jl_now () / JL_USEC_PER_SEC;
  dup2 (log, STDOUT_FILENO);
  for (unsigned i = 0; i < 50; i++)
    cr_expect_eq (get (&play, "/x", "Authorization: Bearer key-z\r\n"), 401);
  jl_record_flush ();
  dup2 (out, STDOUT_FILENO);
  cr_assert (g_file_get_contents (path, &text, NULL, NULL));
  unlink (path);
  for (const char *at = text; (at = strstr (at, "E707 ")) != NULL; at++)
    lines++;
  cr_expect_gt (lines, 0);
  cr_expect_leq (lines, 10 * (jl_now () / JL_USEC_PER_SEC - begun_s + 1));
  cr_expect_eq (play.rig.proxy->counters.unauthorized, 50);
}

/* The identity of contents goes into logs and datagrams, 32 bits of digest that
 * can be searched for a short key. */
Test (customers, the_content_of_a_request_does_not_depend_on_its_key)
{
  static const char *const values[] = { "Bearer a", "Bearer b" };
  struct jl_content contents[2];

  for (unsigned i = 0; i < 2; i++)
    {
      struct jl_field field = { .name = sizeof "/x" };
      struct jl_head head;

      jl_head_init (&head);
      g_strlcpy (head.method, "GET", sizeof head.method);
      jl_head_append_text (&head, "/x", sizeof "/x");
      jl_head_append_text (&head, "Authorization", sizeof "Authorization");
      field.value = (uint32_t)head.text->len;
      jl_head_append_text (&head, values[i], strlen (values[i]) + 1);
      g_array_append_val (head.fields, field);
      cr_assert_str_eq (jl_head_get (&head, "authorization"), values[i]);
      jl_content_begin (&contents[i], &head);
      jl_content_end_body (&contents[i]);
      jl_head_clear (&head);
    }
  cr_assert_eq (jl_content_id (&contents[0]), jl_content_id (&contents[1]));
}
