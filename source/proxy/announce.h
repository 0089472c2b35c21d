#ifndef JACKDAWLADDER_PROXY_ANNOUNCE_H
#define JACKDAWLADDER_PROXY_ANNOUNCE_H

/**
 * DOC: What daemons announce of themselves: encoding and decoding of beacons,
 * and their effect on the roster.
 *
 * A full beacon describes a daemon completely. It is sent by the daemon itself,
 * or passed on by another one, with the sequence number of the original; so an
 * older one never replaces a newer one, whichever way it came.
 */

#include "proxy/roster.h"

/* Formats of datagrams; those of other formats are dropped. */
#define JL_FORMAT_BEACON 1
/* Of older daemons: a beacon without identity, for other zones. */
#define JL_FORMAT_BRIEF 2
#define JL_FORMAT_REPORTS 3
#define JL_FORMAT_DIGEST 4
#define JL_FORMAT_RELAY 5
#define JL_FORMAT_FRESHNESS 6
#define JL_FORMAT_QUOTA_ASK 7
#define JL_FORMAT_QUOTA_ANSWER 8
#define JL_FORMAT_QUOTA_SHARES 9
#define JL_FORMAT_QUOTA_MEMBERS 10
/* Time for which a daemon of another zone that sends beacons to this one counts
 * as an older daemon. */
#define JL_OLDER_DAEMON_US (5 * JL_USEC_PER_SEC)
/* Maximum size of a datagram in bytes. */
#define JL_DATAGRAM_BYTES_MAX 1400

/**
 * struct jl_applied - effect of a beacon on the roster
 * @member: the daemon that it describes, NULL if the beacon was not applied
 * @restarted: it is of a new incarnation of the daemon
 * @identity: it has the identity of the daemon, newer than the known one
 * @former_peer: endpoint of the daemon before, if @restarted
 * @former_serving_key: key of the incarnation of its target that took work
 *                      before, 0 for none
 * @former_heard_us: time at which it was last heard before, 0 for never
 * @site_version: version of the configuration that the daemon uses
 * @store_era: era of the store that the daemon knows, 0 for none
 */
struct jl_applied
{
  struct jl_member *member;
  bool restarted;
  bool identity;
  struct jl_endpoint former_peer;
  uint32_t former_serving_key;
  uint64_t former_heard_us;
  uint64_t site_version;
  uint64_t store_era;
};

/**
 * jl_announce_format - returns the format of a datagram, 0 if it has none
 */
unsigned jl_announce_format (const char *datagram, size_t size);

/**
 * jl_announce_encode - encodes a full beacon of @member
 * @hops: JL_NONE for a beacon of this daemon itself; otherwise the beacon is
 *        passed on, with this number of hops
 * @store_era: era of the store to announce, 0 for none
 * @datagram: receives at most JL_DATAGRAM_BYTES_MAX bytes
 *
 * Return: the size in bytes, 0 if it does not fit.
 */
size_t jl_announce_encode (const struct jl_member *member,
                           unsigned hops,
                           uint64_t store_era,
                           uint64_t now_us,
                           char *datagram);

/**
 * jl_announce_read - applies a beacon to the roster, unless it is older than
 * what is known
 * @self: this daemon, whose beacons are ignored
 * @hops: receives the number of hops, JL_NONE for a beacon that was not passed
 *        on
 *
 * A beacon that was passed on is no sign that its zone was heard just now.
 */
struct jl_applied jl_announce_read (struct jl_roster *roster,
                                    const struct jl_member *self,
                                    const char *datagram,
                                    size_t size,
                                    uint64_t now_us,
                                    unsigned *hops);

/**
 * jl_announce_set_state - sets the announced state and incarnation of a
 * daemon's target
 * @departed: the target itself has announced its leave
 *
 * A leave that the daemon has announced is binding also if the daemon has been
 * restarted and does not know of it.
 */
void jl_announce_set_state (struct jl_member *member,
                            enum jl_target_state state,
                            uint32_t target_key,
                            bool departed);

/**
 * jl_announce_set_load - sets what a daemon announces of the load of its target
 *
 * The shares are in thousandths.
 */
void jl_announce_set_load (struct jl_member *member,
                           unsigned limit,
                           unsigned hold_us,
                           unsigned shed_milli,
                           unsigned spare_milli,
                           unsigned failing_milli);

/**
 * jl_announce_hold_us - returns the time for which a request holds a slot of
 * the target, 0 while it is not known
 */
unsigned jl_announce_hold_us (const struct jl_member *member);

/**
 * jl_announce_milli - converts a share to thousandths
 */
unsigned jl_announce_milli (double share);

#endif
