/**
 * DOC: jackdawladderd, the daemon that runs beside each target.
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
#define EXIT_REQUESTS_ABORTED 4

const char *argp_program_version = "jackdawladderd 0.1";

static const char doc[]
    = "Overload control beside one target instance.\v"
      "SIGTERM begins a graceful shutdown: the daemon refuses new work, "
      "finishes requests in progress and exits. A second SIGTERM stops it at "
      "once.\n\n"
      "Exit status: 0 graceful shutdown, 1 invalid settings, 2 invalid usage, "
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

/* Protects signals_daemon, which is NULL before the daemon is open and while it
   closes. */
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
start_drain (void)
{
  pthread_mutex_lock (&signals_lock);
  if (signals_daemon != NULL)
    jl_daemon_drain (signals_daemon);
  pthread_mutex_unlock (&signals_lock);
}

/*
 * Main function of the signal thread. All other threads have the signals
 * blocked.
 */
static void *
run_signal_thread (void *context G_GNUC_UNUSED)
{
  sigset_t set;
  int number;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  rcu_register_thread ();
  sigwait (&set, &number);
  start_drain ();
  sigwait (&set, &number);
  _exit (EXIT_REQUESTS_ABORTED);
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
 * Creates the first GError before there are threads. GLib initializes the lock
 * of its table of error domains with the first error. ThreadSanitizer does not
 * see into the library and reports a data race if two threads create their
 * first errors at the same time.
 */
static void
init_error_domains (void)
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
  init_error_domains ();
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
  if (pthread_create (&signals, NULL, run_signal_thread, NULL) != 0)
    g_error ("cannot start the signal thread");
  pthread_detach (signals);
  if (!jl_daemon_wait_exit (daemon))
    _exit (EXIT_REQUESTS_ABORTED);
  set_signals_daemon (NULL);
  jl_daemon_close (daemon);
  rcu_unregister_thread ();
  return EXIT_SUCCESS;
}
