#ifndef JACKDAWLADDER_PROXY_OPTIONS_H
#define JACKDAWLADDER_PROXY_OPTIONS_H

/**
 * DOC: Settings of one proxy process: JSON with comments.
 */

#include "jackdawladder/site.h"

/**
 * struct jl_options - settings of one proxy
 * @name: of this daemon, unique in the site
 * @ip: address of all its ports
 * @service: of the own target, until it announces itself
 * @target: where the own target takes requests
 * @entry: takes requests of clients and of the own target
 * @ready: asked by the platform whether clients should come
 * @announce: takes the own target's heartbeats
 * @peer_port: takes requests (TCP) and beacons (UDP) of other daemons
 * @advertise: where other daemons reach @peer_port, if not at @ip
 * @metrics_port: serves counters and the state
 * @store: the platform's store
 * @heartbeat_us: time between two heartbeats of the target
 * @grace_us: from SIGTERM to the forced end
 * @retry_ratio: repeats allowed for each request to a service
 * @retry_slack: repeats allowed beside those, for all daemons
 * @retry_window_us: sliding window of both
 * @digest: of the text, to see whether it has changed
 */
struct jl_options
{
  char name[JL_TEXT_SIZE];
  char zone[JL_TEXT_SIZE];
  char service[JL_TEXT_SIZE];
  uint32_t ip;
  struct jl_endpoint target;
  struct jl_endpoint entry;
  struct jl_endpoint ready;
  struct jl_endpoint announce;
  uint16_t peer_port;
  struct jl_endpoint advertise;
  uint16_t metrics_port;
  struct jl_endpoint store;
  uint64_t heartbeat_us;
  uint64_t grace_us;
  double retry_ratio;
  double retry_slack;
  uint64_t retry_window_us;
  uint64_t digest;
};

/**
 * jl_options_load - reads and checks a settings file
 *
 * Return: NULL with @error of JL_CONFIG_ERROR set. Free with g_free().
 */
struct jl_options *jl_options_load (const char *path, GError **error);

/**
 * jl_options_parse - the same from memory
 */
struct jl_options *
jl_options_parse (const char *text, size_t size, GError **error);

#endif
