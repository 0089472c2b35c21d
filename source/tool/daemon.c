/**
 * DOC: The commands that address daemons: status, dump and drain.
 */

#include <inttypes.h>
#include <stdio.h>

#include <json-c/json.h>

#include "tool/tool.h"

/**
 * PRINT_FUNCTION - pointer to a function that prints a daemon's state
 * @name: the daemon's endpoint
 * @state: the daemon's response
 */
#define PRINT_FUNCTION(print)                                                  \
  void (*print) (const struct tool *tool, const char *name,                    \
                 struct json_object *state)

static const char *
get_text (struct json_object *object, const char *key)
{
  return json_object_get_string (json_object_object_get (object, key));
}

/* Returns "yes" or "no" for the boolean at @key. */
static const char *
get_yes_no (struct json_object *object, const char *key)
{
  struct json_object *value = json_object_object_get (object, key);

  return json_object_get_boolean (value) ? "yes" : "no";
}

/* Prints a line of JSON that holds the daemon's endpoint and its state. */
static void
print_json_line (const char *name, struct json_object *state)
{
  struct json_object *line = json_object_new_object ();

  json_object_object_add (line, "daemon", json_object_new_string (name));
  json_object_object_add (line, "state", json_object_get (state));
  puts (json_object_to_json_string_ext (line, JSON_C_TO_STRING_PLAIN));
  json_object_put (line);
}

static void
print_status (const struct tool *tool,
              const char *name,
              struct json_object *state)
{
  struct json_object *target = json_object_object_get (state, "target");

  if (tool->json)
    {
      print_json_line (name, state);
      return;
    }
  printf ("%s zone=%s version=%s members=%s draining=%s", name,
          get_text (state, "zone"), get_text (state, "config_version"),
          get_text (state, "alive"), get_yes_no (state, "draining"));
  printf (" service=%s up=%s slots=%s", get_text (target, "service"),
          get_yes_no (target, "up"), get_text (target, "slots"));
  printf (" running=%s waiting=%s level=%s\n", get_text (state, "running"),
          get_text (state, "waiting"), get_text (state, "level"));
}

static void
print_dump (const struct tool *tool,
            const char *name,
            struct json_object *state)
{
  if (tool->json)
    print_json_line (name, state);
  else
    printf ("// %s\n%s\n", name,
            json_object_to_json_string_ext (
                state, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED));
}

static enum tool_exit
fail_daemon (const struct tool *tool,
             enum tool_exit status,
             const char *name,
             const char *message)
{
  g_autofree char *text = g_strdup_printf ("%s: %s", name, message);

  return tool_fail (tool, status, text);
}

/* Requests the state of a daemon from @path and prints it. */
static enum tool_exit
print_state (const struct tool *tool,
             struct jl_endpoint daemon,
             const char *path,
             PRINT_FUNCTION (print))
{
  char name[JL_ENDPOINT_TEXT_SIZE];
  struct json_object *state = NULL;
  struct jl_http_message response;
  enum tool_exit status;

  jl_endpoint_format (daemon, name);
  jl_http_message_init (&response);
  status = tool_get (tool, daemon, path, &response);
  if (status == TOOL_OK)
    state = json_tokener_parse (response.body->str);
  if (status == TOOL_UNKNOWN)
    status = TOOL_UNREACHABLE;
  if (status != TOOL_OK)
    fail_daemon (tool, status, name, response.body->str);
  else if (!json_object_is_type (state, json_type_object))
    status = fail_daemon (tool, TOOL_REFUSED, name, "malformed response");
  else
    print (tool, name, state);
  json_object_put (state);
  jl_http_message_clear (&response);
  return status;
}

/* Prints the state of each daemon and returns the highest exit status. */
static enum tool_exit
print_states (const struct tool *tool, const char *path, PRINT_FUNCTION (print))
{
  enum tool_exit highest = TOOL_OK;

  for (uint32_t i = 0; i < tool->daemon_count; i++)
    highest = MAX (highest, print_state (tool, tool->daemons[i], path, print));
  return highest;
}

enum tool_exit
tool_status (struct tool *tool)
{
  return print_states (tool, "/jl/status", print_status);
}

enum tool_exit
tool_dump (struct tool *tool)
{
  return print_states (tool, "/jl/dump", print_dump);
}

static enum tool_exit
drain_daemon (const struct tool *tool, struct jl_endpoint daemon)
{
  char name[JL_ENDPOINT_TEXT_SIZE];
  struct jl_http_message response;
  enum tool_exit status;

  jl_endpoint_format (daemon, name);
  jl_http_message_init (&response);
  status = tool_post (tool, daemon, "/jl/drain", &response);
  if (status != TOOL_OK)
    fail_daemon (tool, status, name, response.body->str);
  else if (tool->json)
    printf ("{\"daemon\":\"%s\",\"draining\":true}\n", name);
  else
    printf ("%s is draining\n", name);
  jl_http_message_clear (&response);
  return status;
}

enum tool_exit
tool_drain (struct tool *tool)
{
  enum tool_exit highest = TOOL_OK;

  for (uint32_t i = 0; i < tool->daemon_count; i++)
    highest = MAX (highest, drain_daemon (tool, tool->daemons[i]));
  return highest;
}
