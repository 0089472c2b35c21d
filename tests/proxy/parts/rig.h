#ifndef TESTS_PROXY_RIG_H
#define TESTS_PROXY_RIG_H

/**
 * DOC: A complete proxy in the test's process, with a fake store and real
 * sockets and time.
 */

#include "proxy/parts/fake-store.h"
#include "proxy/proxy.h"

#define ENTRY_PORT 17001
#define READY_PORT 17002
#define ANNOUNCE_PORT 17003
#define PEER_PORT 17004
#define METRICS_PORT 17005
#define TARGET_PORT 17006
#define STORE_PORT 17007
#define OTHER_PORT 17008

/**
 * struct rig - a proxy named "d5" in zone z1, beside a target of the service
 * "front", and its store
 * @settings_path: settings file that the proxy is started with instead of
 *                 @options, NULL for none
 */
struct rig
{
  struct jl_options options;
  const char *settings_path;
  struct jl_proxy *proxy;
  struct fake_store store;
};

/**
 * rig_at - returns the endpoint at one of the ports above
 */
struct jl_endpoint rig_at (const struct rig *rig, uint16_t port);

/**
 * rig_prepare - initializes options and store; nothing runs yet
 * @host: part of the loopback address; it differs between tests, because tests
 *        run in parallel
 */
void rig_prepare (struct rig *rig, unsigned host);

/**
 * rig_run - runs the event loops of the proxy and the store for @ms
 * milliseconds
 */
void rig_run (struct rig *rig, unsigned ms);

/**
 * rig_start - starts the proxy, which then seems to have run for some time
 */
void rig_start (struct rig *rig);

/**
 * rig_start_now - starts the proxy
 */
void rig_start_now (struct rig *rig);

/**
 * rig_open_datagrams - opens a UDP socket at one of the ports above
 */
int rig_open_datagrams (const struct rig *rig, uint16_t port);

/**
 * rig_send_datagram - sends a datagram to the proxy from such a socket
 */
void rig_send_datagram (const struct rig *rig,
                        int fd,
                        const char *datagram,
                        size_t size);

/**
 * rig_send_request - sends a request on a new connection
 *
 * Return: the connection.
 */
int rig_send_request (struct rig *rig, uint16_t port, const char *text);

/**
 * rig_received - returns the data received on a connection, "" if there is none
 * yet
 */
const char *rig_received (int fd);

/**
 * rig_announce - sends a heartbeat with the given body
 *
 * Return: the connection.
 */
int rig_announce (struct rig *rig, const char *id, const char *body);

/**
 * rig_heartbeat - sends a heartbeat of the target and expects its
 * acknowledgement
 */
void rig_heartbeat (struct rig *rig,
                    const char *id,
                    unsigned born,
                    unsigned sequence);

/**
 * rig_put_own_row - lets the store have a row of the daemon, as if an earlier
 * one of its name had run
 */
void rig_put_own_row (struct rig *rig);

/**
 * rig_leave - sends a leave announcement of the target
 *
 * Return: the connection.
 */
int rig_leave (struct rig *rig, const char *id);

/**
 * rig_add_member - adds a daemon with an idle target, as if a beacon of it had
 * just come
 */
struct jl_member *rig_add_member (struct rig *rig,
                                  const char *name,
                                  const char *zone,
                                  const char *service);

/**
 * rig_open_peer - opens a peer that counts its requests and answers 404
 */
void rig_open_peer (struct rig *rig, uint16_t port, unsigned *request_count);

/**
 * rig_install_call_route - installs a site with one route, which carries
 * idempotent calls to the service "deep" on host "a"
 */
void rig_install_call_route (struct rig *rig);

#endif
