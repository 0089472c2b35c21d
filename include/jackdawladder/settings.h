#ifndef JACKDAWLADDER_SETTINGS_H
#define JACKDAWLADDER_SETTINGS_H

/**
 * DOC: Settings of one daemon process: JSON with comments, read once.
 */

#include "jackdawladder/config.h"
#include "jackdawladder/core.h"

#define JL_SEED_MAX 16

/**
 * struct jl_settings - settings of one daemon
 * @name: for logs
 * @ip: address of all its ports
 * @entry_port: takes calls of callers (HTTP)
 * @peer_port: takes calls of other daemons (HTTP)
 * @local_port: takes announcements and calls of the own target, and the
 *              operators' tool (HTTP)
 * @control_port: takes control messages (UDP)
 * @target: where the own target takes requests
 * @has_platform: whether @platform is given
 * @platform: the platform's table service and object store (HTTP)
 * @seeds: control endpoints of other daemons
 * @entry_threads: calls of callers in progress at most
 * @peer_threads: connections of other daemons at most
 * @local_threads: connections of the own target and the tool at most
 * @mode: "full", "limit-only" or "forward"
 * @drain_ms: how long a planned stop waits for requests in progress
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
 * jl_settings_load - reads and checks a settings file
 *
 * Return: NULL with @error of JL_CONFIG_ERROR set; the message names the path
 * in the file. Free with g_free().
 */
struct jl_settings *jl_settings_load (const char *path, GError **error);

/**
 * jl_settings_parse - the same from memory
 */
struct jl_settings *
jl_settings_parse (const char *text, size_t size, GError **error);

#endif
