/**
 * DOC: jackdawladderd, the daemon beside a target.
 */

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <urcu.h>

#include "daemon/daemon.h"
#include "jackdawladder/platform.h"

#define EXIT_SETTINGS 1
#define EXIT_SOCKETS 3
#define EXIT_CUT_OFF 4

const char *argp_program_version = "jackdawladderd 0.1";

static const char doc[]
    = "Overload control beside one target instance.\v"
      "SIGTERM begins a planned stop: the daemon takes no new work, finishes "
      "what is in progress and ends. A second one ends it at once.\n\n"
      "Exit status: 0 stopped as planned, 1 settings refused, 2 usage, "
      "3 a socket could not be opened, 4 stopped with requests in progress.";

static const struct argp_option options[] = {
  { "settings", 's', "FILE", 0, "Settings of this process", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  const char **path = state->input;

  switch (key)
    {
    case 's':
      *path = argument;
      return 0;
    case ARGP_KEY_END:
      if (*path == NULL)
        argp_error (state, "--settings is missing");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser
    = { options, parse_option, NULL, doc, NULL, NULL, NULL };

/* Guards the daemon against a signal that comes while it closes. */
static pthread_mutex_t signals_lock = PTHREAD_MUTEX_INITIALIZER;
static struct jl_daemon *signals_daemon;

static void
set_signals_daemon (struct jl_daemon *daemon)
{
  pthread_mutex_lock (&signals_lock);
  signals_daemon = daemon;
  pthread_mutex_unlock (&signals_lock);
}

static void
begin_stop (void)
{
  pthread_mutex_lock (&signals_lock);
  if (signals_daemon != NULL)
    jl_daemon_drain (signals_daemon);
  pthread_mutex_unlock (&signals_lock);
}

/* A thread of its own waits for signals; all others have them blocked. */
static void *
wait_signals (void *context G_GNUC_UNUSED)
{
  sigset_t set;
  int number;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  rcu_register_thread ();
  sigwait (&set, &number);
  begin_stop ();
  sigwait (&set, &number);
  _exit (EXIT_CUT_OFF);
}

static void
block_signals (void)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  (void)signal (SIGPIPE, SIG_IGN);
}

/*
 * GLib makes the lock of its table of error domains with the first error. It is
 * made here, before there are threads: ThreadSanitizer cannot see into the
 * library, and takes two threads that make their first errors at once for a
 * race.
 */
static void
prepare_errors (void)
{
  g_error_free (g_error_new_literal (JL_PLATFORM_ERROR,
                                     JL_PLATFORM_ERROR_UNKNOWN, "first"));
}

int
main (int argc, char **argv)
{
  const char *path = NULL;
  g_autofree struct jl_settings *settings = NULL;
  struct jl_daemon *daemon;
  g_autoptr (GError) error = NULL;
  pthread_t signals;

  argp_parse (&parser, argc, argv, 0, NULL, &path);
  prepare_errors ();
  settings = jl_settings_load (path, &error);
  if (settings == NULL)
    {
      fprintf (stderr, "jackdawladderd: %s\n", error->message);
      return EXIT_SETTINGS;
    }
  block_signals ();
  rcu_register_thread ();
  daemon = jl_daemon_open (settings, &error);
  if (daemon == NULL)
    {
      fprintf (stderr, "jackdawladderd: %s\n", error->message);
      return EXIT_SOCKETS;
    }
  set_signals_daemon (daemon);
  if (pthread_create (&signals, NULL, wait_signals, NULL) != 0)
    g_error ("cannot start the thread for signals");
  pthread_detach (signals);
  if (!jl_daemon_wait_exit (daemon))
    _exit (EXIT_CUT_OFF);
  set_signals_daemon (NULL);
  jl_daemon_close (daemon);
  rcu_unregister_thread ();
  return EXIT_SUCCESS;
}
