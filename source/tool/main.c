/**
 * DOC: jackdawladder, the command-line tool for operators.
 */

#include <argp.h>
#include <stdio.h>
#include <string.h>

#include <json-c/json.h>

#include "tool/tool.h"

#define TIMEOUT_DEFAULT_MS 5000
#define TIMEOUT_MAX_MS 60000

const char *argp_program_version = "jackdawladder 0.1";

static const char doc[]
    = "Validates, applies and shows the configuration, and shows the state of "
      "daemons.\n\n"
      "  check FILE   validate a document without applying it\n"
      "  apply FILE   put a document in force as a whole\n"
      "  show         print the document in force\n"
      "  status       print a one-line summary of each daemon\n"
      "  dump         print the complete state of each daemon\n"
      "  drain        begin a graceful shutdown of each daemon\v"
      "apply replaces the version in force; with --base it fails if another "
      "version is in force. It then sends the document to each given daemon; "
      "an unreachable daemon does not change the exit status, since the daemon "
      "gets the document from the platform or its peers later. show reads from "
      "the platform if --platform is given, else from the first daemon.\n\n"
      "Exit status: 0 done, 1 rejected or invalid, 2 invalid usage, 3 conflict "
      "with another apply, 4 unreachable and without effect, 5 outcome "
      "unknown. With several daemons, the exit status is the highest one.";

static const struct argp_option options[] = {
  { "platform", 'p', "IP:PORT", 0, "The platform's table service", 0 },
  { "daemon", 'd', "IP:PORT", 0, "Local port of a daemon; may be repeated", 0 },
  { "base", 'b', "VERSION", 0,
    "Version that apply has to replace, 0 if there is none", 0 },
  { "timeout", 't', "MS", 0, "Timeout of each request (default 5000)", 0 },
  { "json", 'j', NULL, 0, "Print one JSON object per line", 0 },
  { 0 },
};

/**
 * struct command - a command of the tool
 * @takes_file: whether the command has a FILE argument
 * @needs_platform: whether --platform is required
 * @needs_daemon: whether --daemon is required
 */
struct command
{
  const char *name;
  enum tool_exit (*run) (struct tool *tool);
  bool takes_file;
  bool needs_platform;
  bool needs_daemon;
};

static const struct command commands[] = {
  { "check", tool_check, true, false, false },
  { "apply", tool_apply, true, true, false },
  { "show", tool_show, false, false, false },
  { "status", tool_status, false, false, true },
  { "dump", tool_dump, false, false, true },
  { "drain", tool_drain, false, false, true },
};

enum tool_exit
tool_fail (const struct tool *tool, enum tool_exit status, const char *message)
{
  struct json_object *object;

  fprintf (stderr, "jackdawladder: %s\n", message);
  if (!tool->json)
    return status;
  object = json_object_new_object ();
  json_object_object_add (object, "error", json_object_new_string (message));
  json_object_object_add (object, "status", json_object_new_int ((int)status));
  puts (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return status;
}

static const struct command *
find_command (const char *name)
{
  for (size_t i = 0; name != NULL && i < G_N_ELEMENTS (commands); i++)
    if (strcmp (commands[i].name, name) == 0)
      return &commands[i];
  return NULL;
}

static void
add_daemon (struct tool *tool, const char *text, struct argp_state *state)
{
  if (tool->daemon_count == TOOL_DAEMON_MAX)
    argp_error (state, "more than %d daemons", TOOL_DAEMON_MAX);
  else if (!jl_endpoint_parse (text, &tool->daemons[tool->daemon_count++]))
    argp_error (state, "--daemon: not an IPv4 address and port: %s", text);
}

static uint64_t
parse_number (const char *name,
              const char *text,
              uint64_t low,
              uint64_t high,
              struct argp_state *state)
{
  uint64_t number = 0;

  if (!g_ascii_string_to_unsigned (text, 10, low, high, &number, NULL))
    argp_error (state, "--%s: out of range: %s", name, text);
  return number;
}

/* Checks that the command has its required arguments and options. */
static void
check_arguments (const struct tool *tool, struct argp_state *state)
{
  const struct command *command = find_command (tool->command);

  if (command == NULL)
    argp_error (state, "missing command: check, apply, show, status, dump "
                       "or drain");
  else if (command->takes_file != (tool->file != NULL))
    argp_error (state,
                command->takes_file ? "%s requires a FILE" : "%s takes no FILE",
                command->name);
  else if (command->needs_platform && !tool->has_platform)
    argp_error (state, "%s requires --platform", command->name);
  else if (command->needs_daemon && tool->daemon_count == 0)
    argp_error (state, "%s requires --daemon", command->name);
  else if (!command->takes_file && !tool->has_platform
           && tool->daemon_count == 0)
    argp_error (state, "%s requires --platform or --daemon", command->name);
}

static void
add_argument (struct tool *tool, const char *text, struct argp_state *state)
{
  if (tool->command == NULL)
    tool->command = text;
  else if (tool->file == NULL)
    tool->file = text;
  else
    argp_error (state, "too many arguments");
}

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  struct tool *tool = state->input;

  switch (key)
    {
    case 'p':
      tool->has_platform = true;
      if (!jl_endpoint_parse (argument, &tool->platform))
        argp_error (state, "--platform: not an IPv4 address and port: %s",
                    argument);
      return 0;
    case 'd':
      add_daemon (tool, argument, state);
      return 0;
    case 'b':
      tool->has_base = true;
      tool->base = parse_number ("base", argument, 0, INT64_MAX - 1, state);
      return 0;
    case 't':
      tool->timeout_ms = (uint32_t)parse_number ("timeout", argument, 1,
                                                 TIMEOUT_MAX_MS, state);
      return 0;
    case 'j':
      tool->json = true;
      return 0;
    case ARGP_KEY_ARG:
      add_argument (tool, argument, state);
      return 0;
    case ARGP_KEY_END:
      check_arguments (tool, state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  const struct argp parser
      = { options, parse_option, "COMMAND [FILE]", doc, NULL, NULL, NULL };
  struct tool tool = { .timeout_ms = TIMEOUT_DEFAULT_MS };
  enum tool_exit status;

  argp_err_exit_status = TOOL_USAGE;
  argp_parse (&parser, argc, argv, 0, NULL, &tool);
  tool.pool = jl_http_pool_new (1);
  status = find_command (tool.command)->run (&tool);
  jl_http_pool_drop (tool.pool);
  if (fflush (stdout) != 0)
    return TOOL_UNKNOWN;
  return (int)status;
}
