/**
 * DOC: jackdawladder-proxy, the proxy that runs beside each target instance.
 */

#include <argp.h>
#include <stdlib.h>

#include "proxy/proxy.h"

#define EXIT_SETTINGS_REFUSED 1
#define EXIT_SOCKET_FAILED 3

const char *argp_program_version = "jackdawladder-proxy 0.2";

static const char doc[]
    = "Overload control for one target instance.\v"
      "Without --settings the file named by JACKDAWLADDER_CONFIG is read. "
      "SIGTERM begins a graceful shutdown, which the grace period limits. "
      "SIGHUP reloads the settings.\n\n"
      "Exit status: 0 graceful shutdown, 1 invalid settings, 2 invalid usage, "
      "3 a socket could not be opened, 4 stopped with requests in progress.";

static const struct argp_option arguments[] = {
  { "settings", 's', "FILE", 0, "Settings of this process", 0 },
  { "check", 'c', NULL, 0, "Check the settings and exit", 0 },
  { 0 },
};

/**
 * struct command - parsed command line
 * @path: settings file
 * @check: only check the settings
 */
struct command
{
  const char *path;
  bool check;
};

static error_t
parse_argument (int key, char *argument, struct argp_state *state)
{
  struct command *command = state->input;

  switch (key)
    {
    case 's':
      command->path = argument;
      return 0;
    case 'c':
      command->check = true;
      return 0;
    case ARGP_KEY_END:
      if (command->path == NULL)
        argp_error (state, "--settings is missing");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser
    = { arguments, parse_argument, NULL, doc, NULL, NULL, NULL };

int
main (int argc, char **argv)
{
  struct command command = { .path = getenv ("JACKDAWLADDER_CONFIG") };
  struct jl_options *options;
  struct jl_proxy *proxy;
  GError *error = NULL;

  jl_proxy_hold_signals ();
  argp_err_exit_status = 2;
  argp_parse (&parser, argc, argv, 0, NULL, &command);
  options = jl_options_load (command.path, &error);
  if (options == NULL)
    {
      fprintf (stderr, "jackdawladder-proxy: %s: %s\n", command.path,
               error->message);
      return EXIT_SETTINGS_REFUSED;
    }
  if (command.check)
    return EXIT_SUCCESS;
  jl_record_open ();
  proxy = jl_proxy_new (options, command.path);
  return proxy != NULL ? jl_proxy_run (proxy) : EXIT_SOCKET_FAILED;
}
