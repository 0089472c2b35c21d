#ifndef JACKDAWLADDER_PROXY_OPTIONS_H
#define JACKDAWLADDER_PROXY_OPTIONS_H

/**
 * DOC: Settings of one proxy process: JSON with comments.
 */

#include "jackdawladder/site.h"

/* Maximum number of availability zones that the settings name. */
#define JL_OPTIONS_ZONES_MAX 64

/**
 * struct jl_cap_policy - how strictly usage caps are kept
 * @window_us: length of the sliding window in which requests are counted
 * @over_ratio: share of the allowance by which it may be exceeded
 * @slack: requests in a window that are allowed in addition
 *
 * In any window, the requests of a customer that targets run are at most
 * (rate * window + burst) * (1 + @over_ratio) + @slack, over all daemons.
 */
struct jl_cap_policy
{
  uint64_t window_us;
  double over_ratio;
  double slack;
};

/**
 * struct jl_options - settings of one proxy
 * @name: name of this daemon, unique in the site
 * @zone: availability zone of this daemon
 * @service: service of the local target
 * @ip: address of the peer and metrics ports, in host byte order
 * @target: endpoint at which the local target accepts requests
 * @entry: listener for requests of clients and of the local target
 * @ready: listener for the platform's readiness checks
 * @announce: listener for the local target's heartbeats
 * @peer_port: port for requests (TCP) and beacons (UDP) of other daemons
 * @advertise: endpoint at which other daemons reach @peer_port; @ip and
 *             @peer_port unless set
 * @metrics_port: port of the metrics and state pages
 * @store: endpoint of the platform's store
 * @store_writes_per_s: writes a second that the store allows all daemons
 * together
 * @config_apply_us: time from the acknowledgement of a configuration within
 *                   which it must be in force
 * @heartbeat_us: interval of the target's heartbeats
 * @grace_us: time from SIGTERM until the process is killed
 * @retry_ratio: retries allowed for each request to a service
 * @retry_slack: retries allowed in addition, shared by all daemons
 * @retry_window_us: sliding window of @retry_ratio and @retry_slack
 * @strict_revoke: requests that need an API key are refused once the
 *                 configuration is older than @revoke_us
 * @revoke_us: see @strict_revoke
 * @cap: how strictly usage caps are kept
 * @zone_count: number of @zones, 0 if the settings do not name them
 * @zones: all availability zones of the site
 * @load_reports: guards report their load to entries, which place requests by
 *                expected completion; a guard hands waiting requests back
 * @digest: hash of the settings text, to detect changes
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
  unsigned store_writes_per_s;
  uint64_t config_apply_us;
  uint64_t heartbeat_us;
  uint64_t grace_us;
  double retry_ratio;
  double retry_slack;
  uint64_t retry_window_us;
  bool strict_revoke;
  uint64_t revoke_us;
  struct jl_cap_policy cap;
  unsigned zone_count;
  char zones[JL_OPTIONS_ZONES_MAX][JL_TEXT_SIZE];
  bool load_reports;
  uint64_t digest;
};

/**
 * jl_options_load - reads and checks a settings file
 *
 * Return: NULL with @error of JL_CONFIG_ERROR set if the file cannot be read or
 * is not valid. Free with g_free().
 */
struct jl_options *jl_options_load (const char *path, GError **error);

/**
 * jl_options_parse - parses and checks settings in memory, as
 * jl_options_load() does for a file
 */
struct jl_options *
jl_options_parse (const char *text, size_t size, GError **error);

#endif
