/**
 * DOC: The commands about daemons: status, dump and drain.
 */

#include <inttypes.h>
#include <stdio.h>

#include <json-c/json.h>

#include "tool/tool.h"

/**
 * PRINT - prints the answer of one daemon
 * @name: the daemon's endpoint
 * @state: its answer
 */
#define PRINT(print)                                                           \
  void (*print) (const struct tool *tool, const char *name,                    \
                 struct json_object *state)

static const char *
get_text (struct json_object *object, const char *key)
{
  return json_object_get_string (json_object_object_get (object, key));
}

/* "yes" or "no" for a boolean. */
static const char *
get_answer (struct json_object *object, const char *key)
{
  struct json_object *value = json_object_object_get (object, key);

  return json_object_get_boolean (value) ? "yes" : "no";
}

/* One JSON object a line, which names the daemon. */
static void
print_line (const char *name, struct json_object *state)
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
      print_line (name, state);
      return;
    }
  printf ("%s zone=%s version=%s members=%s draining=%s", name,
          get_text (state, "zone"), get_text (state, "config_version"),
          get_text (state, "alive"), get_answer (state, "draining"));
  printf (" service=%s up=%s slots=%s", get_text (target, "service"),
          get_answer (target, "up"), get_text (target, "slots"));
  printf (" running=%s waiting=%s level=%s\n", get_text (state, "running"),
          get_text (state, "waiting"), get_text (state, "level"));
}

static void
print_dump (const struct tool *tool,
            const char *name,
            struct json_object *state)
{
  if (tool->json)
    print_line (name, state);
  else
    printf ("// %s\n%s\n", name,
            json_object_to_json_string_ext (
                state, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED));
}

static enum tool_exit
fail_daemon (const struct tool *tool,
             enum tool_exit status,
             const char *name,
             const char *why)
{
  g_autofree char *text = g_strdup_printf ("%s: %s", name, why);

  return tool_fail (tool, status, text);
}

/* Gets the state of one daemon and prints it. */
static enum tool_exit
print_state (const struct tool *tool,
             struct jl_endpoint daemon,
             const char *path,
             PRINT (print))
{
  char name[JL_ENDPOINT_TEXT_SIZE];
  struct json_object *state = NULL;
  struct jl_http_message answer;
  enum tool_exit status;

  jl_endpoint_format (daemon, name);
  jl_http_message_init (&answer);
  status = tool_get (tool, daemon, path, &answer);
  if (status == TOOL_OK)
    state = json_tokener_parse (answer.body->str);
  if (status == TOOL_UNKNOWN)
    status = TOOL_UNREACHABLE;
  if (status != TOOL_OK)
    fail_daemon (tool, status, name, answer.body->str);
  else if (!json_object_is_type (state, json_type_object))
    status = fail_daemon (tool, TOOL_REFUSED, name, "malformed answer");
  else
    print (tool, name, state);
  json_object_put (state);
  jl_http_message_clear (&answer);
  return status;
}

/* Prints the state of each daemon; the status is the highest of them. */
static enum tool_exit
print_states (const struct tool *tool, const char *path, PRINT (print))
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
drain (const struct tool *tool, struct jl_endpoint daemon)
{
  char name[JL_ENDPOINT_TEXT_SIZE];
  struct jl_http_message answer;
  enum tool_exit status;

  jl_endpoint_format (daemon, name);
  jl_http_message_init (&answer);
  status = tool_post (tool, daemon, "/jl/drain", &answer);
  if (status != TOOL_OK)
    fail_daemon (tool, status, name, answer.body->str);
  else if (tool->json)
    printf ("{\"daemon\":\"%s\",\"draining\":true}\n", name);
  else
    printf ("%s is draining\n", name);
  jl_http_message_clear (&answer);
  return status;
}

enum tool_exit
tool_drain (struct tool *tool)
{
  enum tool_exit highest = TOOL_OK;

  for (uint32_t i = 0; i < tool->daemon_count; i++)
    highest = MAX (highest, drain (tool, tool->daemons[i]));
  return highest;
}
