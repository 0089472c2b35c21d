/**
 * DOC: Tests of the validation of a daemon's settings and of the location in
 * its error messages.
 */

#include <criterion/criterion.h>
#include <string.h>

#include "jackdawladder/settings.h"

static const char settings_text[]
    = "{\"name\": \"one\", \"zone\": \"z-1\", // here\n"
      " \"address\": \"127.20.0.1\", \"entry_port\": 1001,\n"
      " \"peer_port\": 1002, \"local_port\": 1003, \"control_port\": 1004,\n"
      " \"target\": \"127.20.0.1:1005\"}";

/* Returns the settings with the first occurrence of @from replaced by @to. */
static char *
replace (const char *from, const char *to)
{
  const char *at = strstr (settings_text, from);

  cr_assert_not_null (at, "not in the settings: %s", from);
  return g_strdup_printf ("%.*s%s%s", (int)(at - settings_text), settings_text,
                          to, at + strlen (from));
}

static struct jl_settings *
parse_edited (const char *from, const char *to)
{
  char *text = replace (from, to);
  GError *error = NULL;
  struct jl_settings *settings
      = jl_settings_parse (text, strlen (text), &error);

  cr_assert_not_null (settings, "%s", error == NULL ? "" : error->message);
  g_free (text);
  return settings;
}

static void
assert_refused (const char *from,
                const char *to,
                enum jl_config_error code,
                const char *message)
{
  char *text = replace (from, to);
  GError *error = NULL;

  cr_assert_null (jl_settings_parse (text, strlen (text), &error),
                  "accepted: %s", text);
  cr_assert_eq (error->domain, JL_CONFIG_ERROR);
  cr_expect_str_eq (error->message, message);
  cr_expect_eq (error->code, (int)code);
  g_error_free (error);
  g_free (text);
}

Test (settings, keeps_every_value)
{
  struct jl_settings *settings = parse_edited (
      "}", ", \"platform\": \"127.20.0.2:80\", \"seeds\": [\"127.20.0.3:81\", "
           "\"127.20.0.4:82\"], \"threads\": {\"entry\": 1, \"peer\": 4096}, "
           "\"mode\": \"limit-only\", \"drain_ms\": 5}");

  cr_assert_str_eq (settings->name, "one");
  cr_assert_str_eq (settings->zone, "z-1");
  cr_assert_eq (settings->ip, 0x7f140001);
  cr_assert_eq (settings->entry_port, 1001);
  cr_assert_eq (settings->peer_port, 1002);
  cr_assert_eq (settings->local_port, 1003);
  cr_assert_eq (settings->control_port, 1004);
  cr_assert_eq (settings->target.port, 1005);
  cr_assert (settings->has_platform);
  cr_assert_eq (settings->platform.ip, 0x7f140002);
  cr_assert_eq (settings->seed_count, 2);
  cr_assert_eq (settings->seeds[1].port, 82);
  cr_assert_eq (settings->entry_threads, 1);
  cr_assert_eq (settings->peer_threads, 4096);
  cr_assert_eq (settings->local_threads, 64);
  cr_assert_eq (settings->mode, JL_CORE_LIMIT_ONLY);
  cr_assert_eq (settings->drain_ms, 5);
  g_free (settings);
}

Test (settings, fills_in_defaults)
{
  struct jl_settings *settings = parse_edited ("one", "one");

  cr_assert_not (settings->has_platform);
  cr_assert_eq (settings->seed_count, 0);
  cr_assert_eq (settings->entry_threads, 64);
  cr_assert_eq (settings->peer_threads, 64);
  cr_assert_eq (settings->local_threads, 64);
  cr_assert_eq (settings->mode, JL_CORE_FULL);
  cr_assert_eq (settings->drain_ms, 600000);
  g_free (settings);
}

Test (settings, refuses_with_the_place)
{
  assert_refused ("}", ",}", JL_CONFIG_ERROR_SYNTAX,
                  "line 4: unexpected character");
  assert_refused ("}", ", \"zone\": \"z-2\"}", JL_CONFIG_ERROR_KEY,
                  "line 4: key \"zone\" is given twice");
  assert_refused ("}", ", \"ports\": 1}", JL_CONFIG_ERROR_KEY,
                  "ports: unknown key");
  assert_refused ("\"name\": \"one\", ", "", JL_CONFIG_ERROR_KEY,
                  "name: is missing");
  assert_refused ("1001", "\"1001\"", JL_CONFIG_ERROR_TYPE,
                  "entry_port: must be an integer");
  assert_refused ("1001", "0", JL_CONFIG_ERROR_RANGE,
                  "entry_port: must be from 1 to 65535");
  assert_refused ("1004", "65536", JL_CONFIG_ERROR_RANGE,
                  "control_port: must be from 1 to 65535");
  assert_refused ("1002", "1001", JL_CONFIG_ERROR_RANGE,
                  "peer_port: must differ from entry_port");
  assert_refused ("1003", "1002", JL_CONFIG_ERROR_RANGE,
                  "local_port: must differ from entry_port and peer_port");
  assert_refused (
      "127.20.0.1\"", "localhost\"", JL_CONFIG_ERROR_RANGE,
      "address: must be the IPv4 address that other instances connect to");
  assert_refused (
      "127.20.0.1\"", "0.0.0.0\"", JL_CONFIG_ERROR_RANGE,
      "address: must be the IPv4 address that other instances connect to");
  assert_refused (":1005", "", JL_CONFIG_ERROR_RANGE,
                  "target: must be an IPv4 address and port, a.b.c.d:port");
}

Test (settings, refuses_bad_options_with_the_place)
{
  assert_refused ("}", ", \"platform\": \"127.20.0.2:0\"}",
                  JL_CONFIG_ERROR_RANGE,
                  "platform: must be an IPv4 address and port, a.b.c.d:port");
  assert_refused ("}", ", \"seeds\": [\"127.20.0.2:1\", \"x\"]}",
                  JL_CONFIG_ERROR_RANGE,
                  "seeds[1]: must be an IPv4 address and port, a.b.c.d:port");
  assert_refused ("}", ", \"threads\": {\"entry\": 0}}", JL_CONFIG_ERROR_RANGE,
                  "threads.entry: must be from 1 to 4096");
  assert_refused ("}", ", \"threads\": {\"all\": 1}}", JL_CONFIG_ERROR_KEY,
                  "threads.all: unknown key");
  assert_refused ("}", ", \"threads\": 64}", JL_CONFIG_ERROR_TYPE,
                  "threads: must be an object");
  assert_refused ("}", ", \"mode\": \"off\"}", JL_CONFIG_ERROR_RANGE,
                  "mode: must be \"full\", \"limit-only\" or \"forward\"");
  assert_refused ("}", ", \"drain_ms\": -1}", JL_CONFIG_ERROR_RANGE,
                  "drain_ms: must be from 0 to 86400000");
}

Test (settings, loads_the_sample)
{
  GError *error = NULL;
  struct jl_settings *settings
      = jl_settings_load ("samples/daemon.json", &error);

  cr_assert_not_null (settings, "%s", error == NULL ? "" : error->message);
  cr_assert_str_eq (settings->zone, "derby-hall");
  cr_assert_eq (settings->seed_count, 2);
  g_free (settings);
}

Test (settings, says_that_a_file_cannot_be_read)
{
  GError *error = NULL;

  cr_assert_null (jl_settings_load ("samples/none.json", &error));
  cr_assert (g_error_matches (error, JL_CONFIG_ERROR, JL_CONFIG_ERROR_FILE));
  cr_assert_not_null (strstr (error->message, "samples/none.json"));
  g_error_free (error);
}
