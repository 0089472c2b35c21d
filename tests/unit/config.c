/**
 * DOC: Tests of the validation of the configuration document and of the
 * location in its error messages.
 */

#include <criterion/criterion.h>
#include <string.h>

#include <xxhash.h>

#include "jackdawladder/config.h"

static const char document[]
    = "{ // classes\n"
      "  \"classes\": [\"high\", \"low\"], /* two\n"
      "  lines */\n"
      "  \"zones\": [{\"name\": \"z-1\", \"region\": \"r-1\"}],\n"
      "  \"services\": [{\"name\": \"front\", \"retry_percent\": 7},\n"
      "    {\"name\": \"back\", \"queue_wait_ms\": 30, "
      "\"cold_start_ms\": 0}],\n"
      "  \"kinds\": [\n"
      "    {\"name\": \"buy\", \"service\": \"back\", \"method\": \"POST\",\n"
      "     \"path\": \"/buy\", \"class\": \"high\", \"idempotent\": false,\n"
      "     \"deadline_ms\": 2000, \"retry_tokens\": 3,\n"
      "     \"request_bytes\": 100, \"answer_bytes\": 200},\n"
      "    {\"name\": \"look\", \"service\": \"front\", \"path\": \"/\",\n"
      "     \"class\": \"low\", \"idempotent\": true, \"deadline_ms\": 1000}\n"
      "  ]\n"
      "}\n";

/* Returns the document with the first occurrence of @from replaced by @to. */
static char *
replace (const char *from, const char *to)
{
  const char *at = strstr (document, from);

  cr_assert_not_null (at, "not in the document: %s", from);
  return g_strdup_printf ("%.*s%s%s", (int)(at - document), document, to,
                          at + strlen (from));
}

static void
assert_refused (const char *text,
                size_t size,
                enum jl_config_error code,
                const char *message)
{
  GError *error = NULL;
  struct jl_config *config = jl_config_new (text, size, 1, &error);

  cr_assert_null (config, "accepted: %s", text);
  cr_assert_not_null (error);
  cr_assert_eq (error->domain, JL_CONFIG_ERROR);
  cr_expect_str_eq (error->message, message);
  cr_expect_eq (error->code, (int)code, "code %d for: %s", error->code,
                message);
  g_error_free (error);
}

static struct jl_config *
parse_valid (const char *text)
{
  GError *error = NULL;
  struct jl_config *config = jl_config_new (text, strlen (text), 9, &error);

  cr_assert_not_null (config, "%s", error == NULL ? "" : error->message);
  return config;
}

Test (config, keeps_every_value)
{
  struct jl_config *config = parse_valid (document);
  const struct jl_kind *buy = &config->kinds[0];

  cr_assert_eq (config->version, 9);
  cr_assert_str_eq (config->text, document);
  cr_assert_eq (config->text_size, strlen (document));
  cr_assert_eq (config->digest, XXH3_64bits (document, strlen (document)));
  cr_assert_eq (config->class_count, 2);
  cr_assert_str_eq (config->classes[1], "low");
  cr_assert_eq (config->zone_count, 1);
  cr_assert_str_eq (config->zones[0].region, "r-1");
  cr_assert_eq (config->service_count, 2);
  cr_assert_eq (config->services[0].retry_percent, 7);
  cr_assert_eq (config->services[1].queue_wait_us, 30000);
  cr_assert_eq (config->services[1].cold_start_us, 0);
  cr_assert_eq (config->kind_count, 2);
  cr_assert_eq (buy->service, 1);
  cr_assert_str_eq (buy->method, "POST");
  cr_assert_eq (buy->importance, 0);
  cr_assert_not (buy->idempotent);
  cr_assert_eq (buy->deadline_us, 2000000);
  cr_assert_eq (buy->retry_tokens, 3);
  cr_assert_eq (buy->request_bytes, 100);
  cr_assert_eq (buy->answer_bytes, 200);
  jl_config_drop (config);
}

Test (config, fills_in_defaults)
{
  struct jl_config *config = parse_valid (document);
  const struct jl_kind *look = &config->kinds[1];

  cr_assert_eq (config->services[0].queue_wait_us, 20000);
  cr_assert_eq (config->services[0].cold_start_us, 2000000);
  cr_assert_eq (config->services[1].retry_percent, 10);
  cr_assert_str_eq (look->method, "*");
  cr_assert_eq (look->retry_tokens, 2);
  cr_assert_eq (look->request_bytes, 1 << 20);
  cr_assert_eq (look->answer_bytes, 1 << 20);
  jl_config_drop (config);
}

Test (config, matches_the_first_kind)
{
  struct jl_config *config = parse_valid (document);

  cr_assert_eq (jl_config_match_kind (config, "POST", "/buy/ticket"), 0);
  cr_assert_eq (jl_config_match_kind (config, "GET", "/buy/ticket"), 1);
  cr_assert_eq (jl_config_match_kind (config, "POST", "/bu"), 1);
  cr_assert_eq (jl_config_match_kind (config, "GET", "*"), JL_NONE);
  cr_assert_eq (jl_config_find_service (config, "back"), 1);
  cr_assert_eq (jl_config_find_service (config, "bac"), JL_NONE);
  jl_config_drop (config);
}

Test (config, lives_until_the_last_reference)
{
  struct jl_config *config = parse_valid (document);

  cr_assert_eq (jl_config_keep (config), config);
  jl_config_drop (config);
  cr_assert_eq (config->kind_count, 2);
  jl_config_drop (config);
  jl_config_drop (NULL);
}

/**
 * struct edit - a change that makes the document invalid
 * @from: text to replace
 * @to: replacement
 * @code: expected error code
 * @message: expected error message
 */
struct edit
{
  const char *from;
  const char *to;
  enum jl_config_error code;
  const char *message;
};

static void
assert_edits_refused (const struct edit *edits, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      char *text = replace (edits[i].from, edits[i].to);

      assert_refused (text, strlen (text), edits[i].code, edits[i].message);
      g_free (text);
    }
}

Test (config, refuses_bad_syntax_with_its_line)
{
  static const struct edit edits[] = {
    { "3,\n", "3,,\n", JL_CONFIG_ERROR_SYNTAX,
      "line 10: quoted object property name expected" },
    { "1000}\n", "1000},\n", JL_CONFIG_ERROR_SYNTAX,
      "line 14: unexpected character" },
    { "\"low\"]", "\"low\",]", JL_CONFIG_ERROR_SYNTAX,
      "line 2: unexpected character" },
    { "7}", "NaN}", JL_CONFIG_ERROR_SYNTAX, "line 5: not a JSON value" },
    { "7}", "-Infinity}", JL_CONFIG_ERROR_SYNTAX, "line 5: not a JSON value" },
    { "7}", "07}", JL_CONFIG_ERROR_SYNTAX, "line 5: not a JSON value" },
    { "7}", "+7}", JL_CONFIG_ERROR_SYNTAX, "line 5: not a JSON value" },
    { "7}", "7.}", JL_CONFIG_ERROR_SYNTAX, "line 5: not a JSON value" },
    { "7}", "7e}", JL_CONFIG_ERROR_SYNTAX, "line 5: not a JSON value" },
    { "7}", "0x7}", JL_CONFIG_ERROR_SYNTAX, "line 5: not a JSON value" },
    { "false", "False", JL_CONFIG_ERROR_SYNTAX, "line 9: not a JSON value" },
    { "false", "falsey", JL_CONFIG_ERROR_SYNTAX, "line 9: not a JSON value" },
    { "\"z-1\"", "'z-1'", JL_CONFIG_ERROR_SYNTAX, "line 4: not a JSON value" },
    { "\"z-1\"", "\"z\t1\"", JL_CONFIG_ERROR_SYNTAX,
      "line 4: control character in a string" },
    { "\"z-1\"", "\"z\\-1\"", JL_CONFIG_ERROR_SYNTAX,
      "line 4: unknown escape sequence" },
    { "\"z-1\"", "\"z\xff\"", JL_CONFIG_ERROR_SYNTAX, "line 4: invalid UTF-8" },
    { "\"z-1\"", "[[[[[[0]]]]]]", JL_CONFIG_ERROR_SYNTAX,
      "line 4: nested too deeply" },
    { "/* two", "/ two", JL_CONFIG_ERROR_SYNTAX, "line 2: unexpected '/'" },
    { "lines */", "lines", JL_CONFIG_ERROR_SYNTAX,
      "line 2: unterminated comment" },
    { "}\n  ]\n}\n", "}\n  ]\n", JL_CONFIG_ERROR_SYNTAX,
      "line 15: unexpected end of data" },
    { "}\n  ]\n}\n", "}\n  ]\n}}\n", JL_CONFIG_ERROR_SYNTAX,
      "line 15: unmatched closing bracket" },
    { "}\n  ]\n}\n", "}\n  ]\n}\n{}\n", JL_CONFIG_ERROR_SYNTAX,
      "line 16: unexpected character" },
    { "}\n  ]\n}\n", "}\n  ]\n}\n.\n", JL_CONFIG_ERROR_SYNTAX,
      "line 16: not a JSON value" },
    { "}\n  ]\n}\n", "}\n  ]\n}\n\"", JL_CONFIG_ERROR_SYNTAX,
      "line 16: unterminated string" },
  };

  assert_edits_refused (edits, G_N_ELEMENTS (edits));
}

Test (config, refuses_unknown_duplicate_and_missing_keys)
{
  static const struct edit edits[] = {
    { "\"zones\"", "\"zone\"", JL_CONFIG_ERROR_KEY, "zone: unknown key" },
    { "\"region\"", "\"Region\"", JL_CONFIG_ERROR_KEY,
      "zones[0].Region: unknown key" },
    { "\"queue_wait_ms\"", "\"queue_wait_s\"", JL_CONFIG_ERROR_KEY,
      "services[1].queue_wait_s: unknown key" },
    { "\"retry_tokens\"", "\"tokens\"", JL_CONFIG_ERROR_KEY,
      "kinds[0].tokens: unknown key" },
    { "\"region\"", "\"name\"", JL_CONFIG_ERROR_KEY,
      "line 4: key \"name\" is given twice" },
    { "\"region\"", "\"n\\u0061me\"", JL_CONFIG_ERROR_KEY,
      "line 4: escape sequence in a key" },
    { ", \"region\": \"r-1\"", "", JL_CONFIG_ERROR_KEY,
      "zones[0].region: is missing" },
    { "{\"name\": \"front\", \"retry_percent\": 7}", "{}", JL_CONFIG_ERROR_KEY,
      "services[0].name: is missing" },
    { "\"deadline_ms\": 2000, ", "", JL_CONFIG_ERROR_KEY,
      "kinds[0].deadline_ms: is missing" },
    { ", \"idempotent\": true", "", JL_CONFIG_ERROR_KEY,
      "kinds[1].idempotent: is missing" },
    { "\"low\"]", "\"high\"]", JL_CONFIG_ERROR_KEY,
      "classes[1]: \"high\" is given twice" },
    { "\"r-1\"}", "\"r-1\"}, {\"name\": \"z-1\", \"region\": \"r-2\"}",
      JL_CONFIG_ERROR_KEY, "zones[1].name: \"z-1\" is given twice" },
    { "\"back\"", "\"front\"", JL_CONFIG_ERROR_KEY,
      "services[1].name: \"front\" is given twice" },
    { "\"look\"", "\"buy\"", JL_CONFIG_ERROR_KEY,
      "kinds[1].name: \"buy\" is given twice" },
  };

  assert_edits_refused (edits, G_N_ELEMENTS (edits));
  assert_refused ("{}", 2, JL_CONFIG_ERROR_KEY, "classes: is missing");
}

Test (config, refuses_values_of_another_type)
{
  static const struct edit edits[] = {
    { "[\"high\", \"low\"]", "\"high\"", JL_CONFIG_ERROR_TYPE,
      "classes: must be a list" },
    { "\"low\"]", "7]", JL_CONFIG_ERROR_TYPE, "classes[1]: must be a string" },
    { "{\"name\": \"z-1\", \"region\": \"r-1\"}", "\"z-1\"",
      JL_CONFIG_ERROR_TYPE, "zones[0]: must be an object" },
    { "7}", "\"7\"}", JL_CONFIG_ERROR_TYPE,
      "services[0].retry_percent: must be an integer" },
    { "7}", "7.0}", JL_CONFIG_ERROR_TYPE,
      "services[0].retry_percent: must be an integer" },
    { "7}", "null}", JL_CONFIG_ERROR_TYPE,
      "services[0].retry_percent: must be an integer" },
    { "\"buy\"", "null", JL_CONFIG_ERROR_TYPE,
      "kinds[0].name: must be a string" },
    { "false", "0", JL_CONFIG_ERROR_TYPE,
      "kinds[0].idempotent: must be true or false" },
  };

  assert_edits_refused (edits, G_N_ELEMENTS (edits));
  assert_refused ("[]", 2, JL_CONFIG_ERROR_TYPE, "document: must be an object");
  assert_refused ("null", 4, JL_CONFIG_ERROR_TYPE,
                  "document: must be an object");
}

Test (config, refuses_what_is_out_of_range)
{
  static const struct edit edits[] = {
    { "[\"high\", \"low\"]", "[]", JL_CONFIG_ERROR_RANGE,
      "classes: must have 1 to 8 items" },
    { "\"low\"]", "\"1\",\"2\",\"3\",\"4\",\"5\",\"6\",\"7\",\"8\"]",
      JL_CONFIG_ERROR_RANGE, "classes: must have 1 to 8 items" },
    { "7}", "101}", JL_CONFIG_ERROR_RANGE,
      "services[0].retry_percent: must be from 0 to 100" },
    { "7}", "-1}", JL_CONFIG_ERROR_RANGE,
      "services[0].retry_percent: must be from 0 to 100" },
    { "7}", "18446744073709551617}", JL_CONFIG_ERROR_RANGE,
      "services[0].retry_percent: must be from 0 to 100" },
    { "30,", "0,", JL_CONFIG_ERROR_RANGE,
      "services[1].queue_wait_ms: must be from 1 to 60000" },
    { "2000,", "0,", JL_CONFIG_ERROR_RANGE,
      "kinds[0].deadline_ms: must be from 1 to 600000" },
    { "2000,", "600001,", JL_CONFIG_ERROR_RANGE,
      "kinds[0].deadline_ms: must be from 1 to 600000" },
    { "3,\n", "9,\n", JL_CONFIG_ERROR_RANGE,
      "kinds[0].retry_tokens: must be from 0 to 8" },
    { "200}", "67108865}", JL_CONFIG_ERROR_RANGE,
      "kinds[0].answer_bytes: must be from 0 to 67108864" },
    { "\"buy\"", "\"\"", JL_CONFIG_ERROR_RANGE,
      "kinds[0].name: must have 1 to 47 characters" },
    { "\"buy\"", "\"b123456789012345678901234567890123456789012345678\"",
      JL_CONFIG_ERROR_RANGE, "kinds[0].name: must have 1 to 47 characters" },
    { "\"buy\"", "\"Buy\"", JL_CONFIG_ERROR_RANGE,
      "kinds[0].name: must consist of lower-case letters, digits and dashes" },
    { "\"buy\"", "\"b\\u0000uy\"", JL_CONFIG_ERROR_RANGE,
      "kinds[0].name: must be printable ASCII without spaces" },
    { "\"/buy\"", "\"buy\"", JL_CONFIG_ERROR_RANGE,
      "kinds[0].path: must start with \"/\" and have no \"?\" or \"#\"" },
    { "\"/buy\"", "\"/buy?x\"", JL_CONFIG_ERROR_RANGE,
      "kinds[0].path: must start with \"/\" and have no \"?\" or \"#\"" },
    { "\"/buy\"", "\"/b uy\"", JL_CONFIG_ERROR_RANGE,
      "kinds[0].path: must be printable ASCII without spaces" },
    { "\"POST\"", "\"post\"", JL_CONFIG_ERROR_RANGE,
      "kinds[0].method: must be \"*\" or upper-case letters" },
    { "\"POST\"", "\"POSTPOSTPOSTPOST\"", JL_CONFIG_ERROR_RANGE,
      "kinds[0].method: must have 1 to 15 characters" },
  };
  char *large = g_malloc0 (JL_CONFIG_BYTES_MAX + 1);

  assert_edits_refused (edits, G_N_ELEMENTS (edits));
  assert_refused ("", 0, JL_CONFIG_ERROR_RANGE,
                  "document: must have 1 to 262144 bytes");
  assert_refused (large, JL_CONFIG_BYTES_MAX + 1, JL_CONFIG_ERROR_RANGE,
                  "document: must have 1 to 262144 bytes");
  g_free (large);
}

Test (config, refuses_references_to_nothing)
{
  static const struct edit edits[] = {
    { "\"service\": \"back\"", "\"service\": \"side\"",
      JL_CONFIG_ERROR_REFERENCE, "kinds[0].service: no service \"side\"" },
    { "\"class\": \"low\"", "\"class\": \"mid\"", JL_CONFIG_ERROR_REFERENCE,
      "kinds[1].class: no class \"mid\"" },
  };

  assert_edits_refused (edits, G_N_ELEMENTS (edits));
}

Test (config, refuses_a_kind_that_never_matches)
{
  static const struct edit edits[] = {
    { "\"path\": \"/\"", "\"method\": \"POST\", \"path\": \"/buy/more\"",
      JL_CONFIG_ERROR_REFERENCE,
      "kinds[1].path: never matches, kinds[0] matches all its requests" },
    { "\"method\": \"POST\",\n     \"path\": \"/buy\"",
      "\"method\": \"*\",\n     \"path\": \"/\"", JL_CONFIG_ERROR_REFERENCE,
      "kinds[1].path: never matches, kinds[0] matches all its requests" },
  };
  char *text = replace ("\"path\": \"/\"", "\"path\": \"/buy/more\"");

  assert_edits_refused (edits, G_N_ELEMENTS (edits));
  jl_config_drop (parse_valid (text));
  g_free (text);
}

Test (config, takes_no_final_zero_for_granted)
{
  char *text = g_strconcat (document, "x", NULL);
  GError *error = NULL;
  struct jl_config *config = jl_config_new (text, strlen (document), 1, &error);

  cr_assert_not_null (config);
  cr_assert_str_eq (config->text, document);
  jl_config_drop (config);
  g_free (text);
}

static void
assert_sample (const char *path, const char *first_class, uint32_t zones)
{
  char *text = NULL;
  struct jl_config *config;

  cr_assert (g_file_get_contents (path, &text, NULL, NULL), "%s", path);
  config = parse_valid (text);
  cr_assert_str_eq (config->classes[0], first_class);
  cr_assert_eq (config->zone_count, zones);
  cr_assert_eq (config->service_count, 4);
  jl_config_drop (config);
  g_free (text);
}

Test (config, takes_the_samples)
{
  assert_sample ("samples/ashworth.json", "reservation", 3);
  assert_sample ("samples/carpatica.json", "activation", 4);
}
