/**
 * DOC: The configuration commands: check, apply and show.
 */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <json-c/json.h>

#include "jackdawladder/platform.h"
#include "tool/tool.h"

/* Prints @object as one line and releases it. */
static void
print_json (struct json_object *object)
{
  puts (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
}

/* Reads and validates the document; on failure prints an error. */
static struct jl_config *
load_document (struct tool *tool)
{
  g_autofree char *text = NULL;
  g_autofree char *message = NULL;
  g_autoptr (GError) error = NULL;
  struct jl_config *config = NULL;
  size_t size;

  if (g_file_get_contents (tool->file, &text, &size, &error))
    config = jl_config_new (text, size, 0, &error);
  if (config != NULL)
    return config;
  message = g_strdup_printf ("%s: %s", tool->file, error->message);
  tool_fail (tool, TOOL_REFUSED, message);
  return NULL;
}

enum tool_exit
tool_check (struct tool *tool)
{
  struct jl_config *config = load_document (tool);

  if (config == NULL)
    return TOOL_REFUSED;
  if (tool->json)
    printf ("{\"services\":%u,\"kinds\":%u,\"classes\":%u,\"zones\":%u}\n",
            config->service_count, config->kind_count, config->class_count,
            config->zone_count);
  else
    printf ("%s: valid; services %u, kinds %u, classes %u, zones %u\n",
            tool->file, config->service_count, config->kind_count,
            config->class_count, config->zone_count);
  jl_config_drop (config);
  return TOOL_OK;
}

static enum tool_exit
fail_platform (const struct tool *tool, const GError *error)
{
  switch ((enum jl_platform_error)error->code)
    {
    case JL_PLATFORM_ERROR_UNREACHABLE:
      return tool_fail (tool, TOOL_UNREACHABLE, error->message);
    case JL_PLATFORM_ERROR_UNKNOWN:
      return tool_fail (tool, TOOL_UNKNOWN, error->message);
    case JL_PLATFORM_ERROR_CONFLICT:
      return tool_fail (tool, TOOL_CONFLICT, error->message);
    case JL_PLATFORM_ERROR_ABSENT:
    case JL_PLATFORM_ERROR_REFUSED:
      break;
    }
  return tool_fail (tool, TOOL_REFUSED, error->message);
}

/* Reads the version in force, which an apply replaces if --base is absent. */
static bool
read_base (struct jl_platform *platform, uint64_t *base, GError **error)
{
  GError *cause = NULL;
  struct jl_stored_config applied;

  *base = 0;
  if (jl_platform_read_config (platform, &applied, NULL, &cause))
    {
      *base = applied.version;
      g_free (applied.text);
      return true;
    }
  if (g_error_matches (cause, JL_PLATFORM_ERROR, JL_PLATFORM_ERROR_ABSENT))
    {
      g_error_free (cause);
      return true;
    }
  /* Nothing was written, so a lost response leaves no doubt. */
  if (cause->code == JL_PLATFORM_ERROR_UNKNOWN)
    cause->code = JL_PLATFORM_ERROR_UNREACHABLE;
  g_propagate_error (error, cause);
  return false;
}

static bool
apply_to_platform (struct tool *tool,
                   const char *text,
                   uint64_t *version,
                   GError **error)
{
  struct jl_platform *platform
      = jl_platform_new (tool->platform, tool->timeout_ms);
  bool succeeded = tool->has_base || read_base (platform, &tool->base, error);

  if (succeeded)
    succeeded
        = jl_platform_apply_config (platform, text, tool->base, version, error);
  jl_platform_drop (platform);
  return succeeded;
}

/* Sends the document in force to a daemon and returns a report as JSON. */
static struct json_object *
install_on_daemon (const struct tool *tool,
                   struct jl_endpoint daemon,
                   const struct jl_config *config,
                   uint64_t version)
{
  struct json_object *report = json_object_new_object ();
  struct jl_http_message request;
  struct jl_http_message response;
  char text[JL_ENDPOINT_TEXT_SIZE];
  enum tool_exit status;

  jl_endpoint_format (daemon, text);
  jl_http_message_init (&request);
  jl_http_message_init (&response);
  jl_http_add_number (&request, "Jl-Config-Version", version);
  g_string_append_len (request.body, config->text, (gssize)config->text_size);
  status = tool_send (tool, daemon, "POST", "/jl/config", &request, &response);
  json_object_object_add (report, "daemon", json_object_new_string (text));
  json_object_object_add (report, "installed",
                          json_object_new_boolean (status == TOOL_OK));
  if (status != TOOL_OK)
    {
      fprintf (stderr, "jackdawladder: %s: %s\n", text, response.body->str);
      json_object_object_add (report, "why",
                              json_object_new_string (response.body->str));
    }
  jl_http_message_clear (&request);
  jl_http_message_clear (&response);
  return report;
}

/* Installs the document on all given daemons and prints a report. */
static void
report_apply (const struct tool *tool,
              const struct jl_config *config,
              uint64_t version)
{
  struct json_object *report = json_object_new_object ();
  struct json_object *daemons = json_object_new_array ();

  json_object_object_add (report, "version",
                          json_object_new_int64 ((int64_t)version));
  json_object_object_add (report, "daemons", daemons);
  for (uint32_t i = 0; i < tool->daemon_count; i++)
    json_object_array_add (
        daemons, install_on_daemon (tool, tool->daemons[i], config, version));
  if (tool->json)
    print_json (report);
  else
    {
      printf ("version %" PRIu64 " is in force\n", version);
      json_object_put (report);
    }
}

enum tool_exit
tool_apply (struct tool *tool)
{
  struct jl_config *config = load_document (tool);
  g_autoptr (GError) error = NULL;
  uint64_t version = 0;
  enum tool_exit status = TOOL_OK;

  if (config == NULL)
    return TOOL_REFUSED;
  if (apply_to_platform (tool, config->text, &version, &error))
    report_apply (tool, config, version);
  else
    status = fail_platform (tool, error);
  jl_config_drop (config);
  return status;
}

static void
print_config (const struct tool *tool,
              uint64_t version,
              const char *apply_id,
              const char *text)
{
  struct json_object *report;

  if (!tool->json)
    {
      fprintf (stderr, "version %" PRIu64 "\n", version);
      fputs (text, stdout);
      return;
    }
  report = json_object_new_object ();
  json_object_object_add (report, "version",
                          json_object_new_int64 ((int64_t)version));
  if (apply_id != NULL)
    json_object_object_add (report, "apply_id",
                            json_object_new_string (apply_id));
  json_object_object_add (report, "document", json_object_new_string (text));
  print_json (report);
}

static enum tool_exit
show_from_platform (const struct tool *tool)
{
  struct jl_platform *platform
      = jl_platform_new (tool->platform, tool->timeout_ms);
  g_autoptr (GError) error = NULL;
  struct jl_stored_config applied;
  enum tool_exit status = TOOL_OK;

  if (jl_platform_read_config (platform, &applied, NULL, &error))
    {
      print_config (tool, applied.version, applied.apply_id, applied.text);
      g_free (applied.text);
    }
  else if (g_error_matches (error, JL_PLATFORM_ERROR,
                            JL_PLATFORM_ERROR_UNKNOWN))
    status = tool_fail (tool, TOOL_UNREACHABLE, error->message);
  else
    status = fail_platform (tool, error);
  jl_platform_drop (platform);
  return status;
}

static enum tool_exit
show_from_daemon (const struct tool *tool)
{
  struct jl_http_message response;
  const char *text;
  uint64_t version = 0;
  enum tool_exit status;

  jl_http_message_init (&response);
  status = tool_get (tool, tool->daemons[0], "/jl/config", &response);
  text = jl_http_header (&response, "Jl-Config-Version");
  if (status != TOOL_OK)
    tool_fail (tool, status, response.body->str);
  else if (text == NULL
           || !g_ascii_string_to_unsigned (text, 10, 1, INT64_MAX, &version,
                                           NULL))
    status = tool_fail (tool, TOOL_REFUSED, "malformed response");
  else
    print_config (tool, version, NULL, response.body->str);
  jl_http_message_clear (&response);
  return status;
}

enum tool_exit
tool_show (struct tool *tool)
{
  return tool->has_platform ? show_from_platform (tool)
                            : show_from_daemon (tool);
}
