/**
 * DOC: Tests of the decoders of the platform's documents and of the settings.
 */

#include <criterion/criterion.h>
#include <string.h>

#include "decode.h"
#include "proxy/options.h"

static const char site_text[]
    = "{\"version\":\"0000001c\",\"routes\":{\"columns\":[\"name\",\"host\","
      "\"prefix\",\"kind\",\"timeoutS\",\"targetLatencyS\",\"priority\","
      "\"split\",\"maxAttempts\",\"service\"],\"rows\":["
      "[\"r1\",\"a.example\",\"/x/\",\"idempotent\",5,1.2,2,"
      "[{\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}],"
      "2,null],"
      "[\"r2\",\"a.example\",\"/x/y/\",\"non_idempotent\",5,1.2,0,null,2,"
      "\"s3\"],"
      "[\"r3\",\"b.example\",\"/\",\"upload\",1.5,0.3,1,null,1,\"s4\"]]},"
      "\"services\":{\"columns\":[],\"rows\":[]},"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000,"
      "\"headerTimeoutS\":3,\"idleTimeoutS\":15}}";

Test (decode, a_configuration)
{
  struct jl_site *site
      = jl_platform_decode_site (site_text, strlen (site_text), NULL);
  const struct jl_route *route;

  cr_assert_not_null (site);
  cr_assert_eq (site->version, 0x1c);
  cr_assert_eq (site->idle_timeout_us, 15 * JL_USEC_PER_SEC);
  route = jl_site_find_route (site, "A.example:80", "/x/z?q=/x/y/");
  cr_assert_str_eq (route->name, "r1");
  cr_assert_eq (route->split_count, 2);
  cr_assert_eq (route->split[1].weight, 10);
  cr_assert_eq (route->retry_policy, JL_RETRY_POLICY_IDEMPOTENT);
  route = jl_site_find_route (site, "a.example", "/x/y/1");
  cr_assert_str_eq (route->name, "r2");
  cr_assert_eq (route->retry_policy, JL_RETRY_POLICY_AT_MOST_ONCE);
  cr_assert_eq (route->rank, 0);
  route = jl_site_find_route (site, "b.example", "/anything");
  cr_assert_eq (route->retry_policy, JL_RETRY_POLICY_UPLOAD);
  cr_assert_eq (route->timeout_us, 1500 * JL_USEC_PER_MSEC);
  cr_assert_null (jl_site_find_route (site, "a.example", "/other"));
  cr_assert_null (jl_site_find_route (site, "c.example", "/x/"));
  jl_site_drop (site);
}

/* Returns a configuration with a route "/x/" that is split among @count
 * services in the proportions 1, 2, 3 and so on, and a route "/y/". */
static struct jl_site *
decode_split (unsigned count)
{
  GString *text = g_string_new (
      "{\"version\":\"1\",\"routes\":{\"columns\":[\"name\",\"host\","
      "\"prefix\",\"kind\",\"timeoutS\",\"split\",\"service\"],\"rows\":["
      "[\"r1\",\"a\",\"/x/\",\"idempotent\",5,[");
  struct jl_site *site;

  for (unsigned i = 0; i < count; i++)
    g_string_append_printf (text, "%s{\"service\":\"s%u\",\"weight\":%u}",
                            i > 0 ? "," : "", i, i + 1);
  g_string_append (text,
                   "],null],[\"r2\",\"a\",\"/y/\",\"upload\",5,null,\"s1\"]"
                   "]},\"limits\":{\"maxHeaderBytes\":16384,"
                   "\"maxBodyBytes\":1000,\"headerTimeoutS\":3,"
                   "\"idleTimeoutS\":15}}");
  site = jl_platform_decode_site (text->str, text->len, NULL);
  g_string_free (text, TRUE);
  return site;
}

/* Guards against a configuration that is refused for the number of services
 * that a route is split among, or that loses some of them. */
Test (decode, a_split_has_any_number_of_services)
{
  static const unsigned counts[] = { 1, 8, 9, 60, 61, 2000 };

  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      struct jl_site *site = decode_split (counts[i]);
      const struct jl_route *route;
      unsigned last = counts[i] - 1;
      char *name = g_strdup_printf ("s%u", last);

      cr_assert_not_null (site, "%u services", counts[i]);
      route = jl_site_find_route (site, "a", "/x/1");
      cr_assert_eq (route->split_count, counts[i]);
      cr_assert_str_eq (route->split[last].service, name);
      cr_assert_eq (route->split[last].weight, last + 1);
      cr_assert_not_null (jl_site_find_route (site, "a", "/y/1"));
      jl_site_drop (site);
      g_free (name);
    }
}

#define LIMITS                                                                 \
  "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000,"                \
  "\"headerTimeoutS\":3,\"idleTimeoutS\":15}"

/* Returns a configuration with the routes @rows; @other follows them. */
static struct jl_site *
decode_rows (const char *rows, const char *other)
{
  char *text = g_strdup_printf (
      "{\"version\":\"1\",\"routes\":{\"columns\":[\"name\",\"host\","
      "\"prefix\",\"kind\",\"timeoutS\",\"priority\",\"maxAttempts\","
      "\"split\",\"service\"],\"rows\":[%s]},%s}",
      rows, other);
  struct jl_site *site = jl_platform_decode_site (text, strlen (text), NULL);

  cr_assert_not_null (site, "%s", text);
  g_free (text);
  return site;
}

/* Guards against a configuration that is refused, or a field that falls back to
 * its default, for a value above a bound that the operator cannot know. */
Test (decode, values_above_each_bound_are_in_force)
{
  char *host = g_strnfill (300, 'h');
  char *prefix = g_strnfill (5000, 'p');
  char *rows = g_strdup_printf (
      "[\"%s\",\"%s\",\"/%s/\",\"idempotent\",90000,4,101,null,\"%s\"],"
      "[\"r2\",\"a\",\"/y/\",\"upload\",1e300,1e30,1e30,"
      "[{\"service\":\"s 1\",\"weight\":0.5},"
      "{\"service\":\"s2\",\"weight\":5000000000}],null]",
      host, host, prefix, host);
  char *target = g_strdup_printf ("/%s/1", prefix);
  struct jl_site *site
      = decode_rows (rows, "\"limits\":{\"maxHeaderBytes\":3000000000,"
                           "\"maxBodyBytes\":1e30,\"headerTimeoutS\":86401,"
                           "\"idleTimeoutS\":100000}");
  const struct jl_route *route = jl_site_find_route (site, host, target);

  cr_assert_eq (site->unread_parts->len, 0);
  cr_assert_not_null (route);
  cr_expect_eq (route->timeout_us, 90000 * JL_USEC_PER_SEC);
  cr_expect_eq (route->rank, JL_RANK_COUNT - 1);
  cr_expect_eq (route->attempts_max, 101);
  cr_expect_str_eq (route->split[0].service, host);
  route = jl_site_find_route (site, "a", "/y/1");
  cr_expect_geq (route->timeout_us, 86400 * JL_USEC_PER_SEC * 365);
  cr_expect_eq (route->rank, JL_RANK_COUNT - 1);
  cr_expect_geq (route->attempts_max, 101);
  cr_expect_eq (route->split[0].weight, 0.5);
  cr_expect_eq (route->split[1].weight, 5e9);
  cr_expect_geq (site->head_bytes_max, 1 << 30);
  cr_expect_geq (site->body_bytes_max, (uint64_t)1 << 40);
  cr_expect_eq (site->head_timeout_us, 86401 * JL_USEC_PER_SEC);
  cr_expect_eq (site->idle_timeout_us, 100000 * JL_USEC_PER_SEC);
  jl_site_drop (site);
  g_free (target);
  g_free (rows);
  g_free (prefix);
  g_free (host);
}

/* Guards against a table that is refused for its number of columns. */
Test (decode, a_table_has_any_number_of_columns)
{
  GString *text = g_string_new ("{\"version\":\"1\",\"routes\":{\"columns\":[");
  GString *row = g_string_new (NULL);
  struct jl_site *site;

  for (unsigned i = 0; i < 3000; i++)
    {
      g_string_append_printf (text, "\"c%u\",", i);
      g_string_append (row, "null,");
    }
  g_string_append_printf (
      text,
      "\"name\",\"host\",\"prefix\",\"kind\",\"timeoutS\",\"service\"],"
      "\"rows\":[[%s\"r\",\"a\",\"/\",\"upload\",5,\"s\"]]}," LIMITS "}",
      row->str);
  site = jl_platform_decode_site (text->str, text->len, NULL);
  cr_assert_not_null (site);
  cr_assert_eq (site->unread_parts->len, 0);
  cr_assert_str_eq (jl_site_find_route (site, "a", "/1")->split[0].service,
                    "s");
  jl_site_drop (site);
  g_string_free (row, TRUE);
  g_string_free (text, TRUE);
}

/* Guards against one route that cannot be read and costs all others. */
Test (decode, a_route_that_cannot_be_read_costs_no_other_one)
{
  static const char *const rows[] = {
    "[null,\"a\",\"/x/\",\"upload\",5,0,1,null,\"s\"]",
    "[\"r1\",\"a\",\"/x/\",null,5,0,1,null,\"s\"]",
    "[\"r1\",\"a\",\"/x/\",\"upload\",-1,0,1,null,\"s\"]",
    "[\"r1\",\"a\",\"/x/\",\"upload\",\"5\",0,1,null,\"s\"]",
    "[\"r1\",\"a\",\"/x/\",\"upload\",5,0,1,null,null]",
    "[\"r1\",\"a\",\"/x/\",\"upload\",5,0,1,[],null]",
    "[\"r1\",\"a\",\"/x/\",\"upload\",5,0,1,{},\"s\"]",
    "[\"r1\",\"a\",\"/x/\",\"upload\",5,0,1,[{\"service\":\"s\"}],null]",
    "[\"r1\",\"a\",\"/x/\",\"upload\",5,0,1,[{\"weight\":1}],null]",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      char *both = g_strdup_printf (
          "%s,7,null,[],[\"r2\",\"a\",\"/y/\",\"upload\",5,0,1,null,\"s\"]",
          rows[i]);
      struct jl_site *site = decode_rows (both, LIMITS);
      const struct jl_route *route = jl_site_find_route (site, "a", "/x/1");

      cr_expect_eq (site->unread_parts->len, 4, "%s", rows[i]);
      cr_assert_not_null (route, "%s", rows[i]);
      cr_expect (route->unreadable, "%s", rows[i]);
      route = jl_site_find_route (site, "a", "/y/1");
      cr_assert_not_null (route, "%s", rows[i]);
      cr_expect_not (route->unreadable, "%s", rows[i]);
      jl_site_drop (site);
      g_free (both);
    }
}

/* Such a document hides no later configuration with a lower version. */
Test (decode, a_configuration_none_of_whose_routes_can_be_read_is_refused)
{
  static const char text[]
      = "{\"version\":\"ffff\",\"routes\":{\"columns\":[\"host\",\"prefix\"],"
        "\"rows\":[[\"a\",\"/x/\"],7]}," LIMITS "}";
  GError *error = NULL;

  cr_assert_null (jl_platform_decode_site (text, strlen (text), &error));
  cr_assert_not_null (error);
  g_error_free (error);
}

Test (decode, a_limit_that_cannot_be_read_has_its_default)
{
  struct jl_site *site = decode_rows (
      "", "\"limits\":{\"maxHeaderBytes\":\"many\",\"headerTimeoutS\":3}");

  cr_expect_eq (site->unread_parts->len, 3);
  cr_expect_geq (site->head_bytes_max, 16384);
  cr_expect_geq (site->body_bytes_max, 1 << 30);
  cr_expect_eq (site->head_timeout_us, 3 * JL_USEC_PER_SEC);
  cr_expect_geq (site->idle_timeout_us, 15 * JL_USEC_PER_SEC);
  jl_site_drop (site);
}

/* Returns a configuration of two routes whose kinds are @kind and "upload". */
static struct jl_site *
decode_kind (const char *kind)
{
  char *text = g_strdup_printf (
      "{\"version\":\"1\",\"routes\":{\"columns\":[\"name\",\"host\","
      "\"prefix\",\"kind\",\"timeoutS\",\"service\"],\"rows\":["
      "[\"r1\",\"a\",\"/x/\",\"%s\",5,\"s1\"],"
      "[\"r2\",\"a\",\"/y/\",\"%s\",5,\"s1\"],"
      "[\"r3\",\"a\",\"/z/\",\"upload\",5,\"s1\"]]},"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000,"
      "\"headerTimeoutS\":3,\"idleTimeoutS\":15}}",
      kind, kind);
  struct jl_site *site = jl_platform_decode_site (text, strlen (text), NULL);

  g_free (text);
  cr_assert_not_null (site);
  return site;
}

Test (decode, routes_with_large_responses_are_idempotent)
{
  struct jl_site *site = decode_kind ("download");
  const struct jl_route *route = jl_site_find_route (site, "a", "/x/1");

  cr_assert_eq (route->retry_policy, JL_RETRY_POLICY_DOWNLOAD);
  cr_assert (jl_route_is_idempotent (route));
  cr_assert_not (
      jl_route_is_idempotent (jl_site_find_route (site, "a", "/z/1")));
  cr_assert_eq (site->unknown_words->len, 0);
  jl_site_drop (site);
}

/* A kind that this program does not know runs at most once, and is reported
 * once for each configuration. */
Test (decode, an_unknown_kind_runs_at_most_once_and_is_named)
{
  struct jl_site *site = decode_kind ("streaming");
  const struct jl_route *route = jl_site_find_route (site, "a", "/x/1");

  cr_assert_eq (route->retry_policy, JL_RETRY_POLICY_AT_MOST_ONCE);
  cr_assert_eq (site->unknown_words->len, 1);
  cr_assert_str_eq (g_ptr_array_index (site->unknown_words, 0), "streaming");
  jl_site_drop (site);
  site = decode_kind ("non_idempotent");
  cr_assert_eq (site->unknown_words->len, 0);
  jl_site_drop (site);
}

Test (decode, a_configuration_that_is_cut_short_is_refused)
{
  for (size_t size = 0; size < strlen (site_text); size++)
    cr_assert_null (jl_platform_decode_site (site_text, size, NULL),
                    "%zu bytes", size);
}

/* Whether the decoder accepts a heartbeat; it must set an error otherwise. */
static bool
is_accepted (const char *text)
{
  struct jl_heartbeat heartbeat;
  GError *error = NULL;
  bool read
      = jl_platform_decode_heartbeat (text, strlen (text), &heartbeat, &error);

  cr_assert_eq (read, error == NULL);
  g_clear_error (&error);
  return read;
}

Test (decode, heartbeats)
{
  cr_assert (is_accepted (
      "{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","
      "\"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"coldLeftS\":0.5,"
      "\"sequence\":4,\"born\":1700000000000}"));
  cr_assert_not (is_accepted (""));
  cr_assert_not (is_accepted ("[]"));
  cr_assert_not (is_accepted ("{\"service\":7}"));
  cr_assert_not (is_accepted (
      "{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"slots\":12,"
      "\"state\":\"resting\",\"sequence\":4}"));
  cr_assert_not (is_accepted (
      "{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"slots\":\"many\","
      "\"state\":\"ready\",\"sequence\":4}"));
  cr_assert_not (is_accepted (
      "{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"slots\":12,"
      "\"state\":\"ready\",\"sequence\":4,\"born\":1.5}"));
}

static bool
is_valid_apply_time (const char *settings, const char *seconds)
{
  char *text = g_strdup_printf ("%.*s,\"config_apply_s\":%s}",
                                (int)strlen (settings) - 1, settings, seconds);
  struct jl_options *options = jl_options_parse (text, strlen (text), NULL);
  bool valid = options != NULL;

  g_free (options);
  g_free (text);
  return valid;
}

Test (decode, settings)
{
  static const char text[]
      = "// comment\n{\"name\":\"a\",\"zone\":\"z\",\"address\":\"10.0.0.1\","
        "\"service\":\"s\",\"target\":\"10.0.0.1:1\",\"entry\":\"10.0.0.1:2\","
        "\"ready\":\"10.0.0.1:3\",\"announce\":\"10.0.0.1:4\",\"peer_port\":5,"
        "\"metrics_port\":6,\"store\":\"10.0.0.2:9\",\"heartbeat_s\":1.5,"
        "\"grace_s\":6,\"retry_ratio\":0.2,\"retry_slack\":47,"
        "\"retry_window_s\":10}";
  GError *error = NULL;
  struct jl_options *options = jl_options_parse (text, strlen (text), &error);
  char *wrong;

  cr_assert_not_null (options);
  cr_assert_eq (options->heartbeat_us, 1500 * JL_USEC_PER_MSEC);
  cr_assert_eq (options->store.port, 9);
  cr_assert_eq (options->config_apply_us, 2 * JL_USEC_PER_SEC);
  cr_assert (is_valid_apply_time (text, "15"));
  cr_assert (is_valid_apply_time (text, "0.5"));
  cr_assert_not (is_valid_apply_time (text, "0.4"));
  cr_assert_not (is_valid_apply_time (text, "\"2\""));
  g_free (options);
  wrong = g_strdup (text);
  strstr (wrong, "47")[0] = '"';
  cr_assert_null (jl_options_parse (wrong, strlen (wrong), &error));
  cr_assert_not_null (error);
  g_error_free (error);
  g_free (wrong);
}
