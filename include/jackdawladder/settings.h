#ifndef JACKDAWLADDER_SETTINGS_H
#define JACKDAWLADDER_SETTINGS_H

/**
 * DOC: Settings of a daemon process.
 *
 * The settings are a file of JSON with comments, which is read at startup.
 */

#include "jackdawladder/config.h"
#include "jackdawladder/core.h"

/* Maximum number of seeds. */
#define JL_SEED_MAX 16

/**
 * struct jl_settings - settings of a daemon
 * @name: name of the daemon in logs
 * @zone: availability zone of the daemon
 * @ip: IPv4 address of all ports of the daemon, in host byte order
 * @entry_port: HTTP port for callers
 * @peer_port: HTTP port for other daemons
 * @local_port: HTTP port for announcements and calls of the local target, and
 *              for the command-line tool
 * @control_port: UDP port for control messages
 * @target: HTTP endpoint of the local target
 * @has_platform: whether @platform is set
 * @platform: HTTP endpoint of the platform's table service and object store
 * @seeds: control endpoints of other daemons, contacted to join the membership
 * @entry_threads: maximum number of callers' requests in progress
 * @peer_threads: maximum number of connections of other daemons
 * @local_threads: maximum number of connections of the local target and the
 *                 command-line tool
 * @mode: mode of the core: "full", "limit-only" or "forward"
 * @drain_ms: maximum time in milliseconds that a graceful shutdown waits for
 *            requests in progress
 */
struct jl_settings
{
  char name[JL_NAME_SIZE];
  char zone[JL_NAME_SIZE];
  uint32_t ip;
  uint16_t entry_port;
  uint16_t peer_port;
  uint16_t local_port;
  uint16_t control_port;
  struct jl_endpoint target;
  bool has_platform;
  struct jl_endpoint platform;
  uint32_t seed_count;
  struct jl_endpoint seeds[JL_SEED_MAX];
  uint32_t entry_threads;
  uint32_t peer_threads;
  uint32_t local_threads;
  enum jl_core_mode mode;
  uint32_t drain_ms;
};

/**
 * jl_settings_load - reads and validates a settings file
 * @error: for invalid settings, its message starts with the line number or with
 *         the path in the file
 *
 * Return: the settings, to be freed with g_free(), or NULL with an @error of
 * the domain JL_CONFIG_ERROR.
 */
struct jl_settings *jl_settings_load (const char *path, GError **error);

/**
 * jl_settings_parse - parses and validates settings in memory
 * @text: the file's content; need not be NUL-terminated
 *
 * See jl_settings_load() for @error and the result.
 */
struct jl_settings *
jl_settings_parse (const char *text, size_t size, GError **error);

#endif
