#ifndef JACKDAWLADDER_PROXY_DIGEST_H
#define JACKDAWLADDER_PROXY_DIGEST_H

/**
 * DOC: Digests: how the daemons of one zone become known in the others.
 *
 * Traffic between zones is expensive. So daemons send beacons in their own zone
 * only. The representatives of each zone (struct jl_roster) gather them into
 * digests and send these to the representatives of the other zones, which pass
 * them on to the daemons of their zone. A digest has the changing values of a
 * daemon; its full beacon is passed on when the daemon is new or has a new
 * target, and periodically.
 *
 * Each zone has several representatives, and each sends to all of another
 * zone's, so no single one is needed. If one ends, the next daemon takes its
 * place once its beacons are missing. A zone of which no digest comes is
 * probably cut off: its daemons get no requests then.
 */

#include "proxy/announce.h"

struct jl_digest;

/**
 * struct jl_digest_ops - callbacks to the owner
 * @send: sends a datagram to @peer
 * @applied: a beacon that was passed on has been applied
 * @heard: a digest of another zone was read, sent by @sender
 * @alive: @member was alive at @heard_us, by a digest
 * @zone_changed: @zone is silent, or has been heard again
 */
struct jl_digest_ops
{
  void (*send) (void *context,
                struct jl_endpoint peer,
                char *datagram,
                size_t size);
  void (*applied) (void *context, const struct jl_applied *applied);
  void (*heard) (void *context,
                 struct jl_member *sender,
                 uint64_t site_version,
                 uint64_t store_era);
  void (*alive) (void *context, struct jl_member *member, uint64_t heard_us);
  void (*zone_changed) (void *context, const struct jl_zone *zone);
};

/**
 * struct jl_digest_counters - totals
 * @sent: digests sent to other zones
 * @relayed: beacons passed on to other zones
 * @passed_on: datagrams of other zones passed on in the local zone
 * @received: digests received, of other zones
 * @unknown: states in them of daemons or incarnations that are not known
 */
struct jl_digest_counters
{
  uint64_t sent;
  uint64_t relayed;
  uint64_t passed_on;
  uint64_t received;
  uint64_t unknown;
};

/**
 * jl_digest_new - creates the sender and receiver of digests
 * @self: this daemon in @roster
 * @ops: callbacks to the owner, called with @context
 * @now_us: monotonic time
 */
struct jl_digest *jl_digest_new (struct jl_roster *roster,
                                 struct jl_member *self,
                                 const struct jl_digest_ops *ops,
                                 void *context,
                                 uint64_t now_us);

/**
 * jl_digest_free - frees @digest
 */
void jl_digest_free (struct jl_digest *digest);

/**
 * jl_digest_step - sends what is due; to be called every JL_DIGEST_STEP_US
 * @site_version: version of the configuration that this daemon uses
 * @store_era: era of the store that it knows, 0 for none
 */
void jl_digest_step (struct jl_digest *digest,
                     uint64_t site_version,
                     uint64_t store_era,
                     uint64_t now_us);

/**
 * jl_digest_note_restart - records that a daemon of another zone has been
 * restarted: if it represents its zone, the next digest is followed by the
 * beacons of all daemons of this zone
 */
void jl_digest_note_restart (struct jl_digest *digest,
                             const struct jl_member *member);

/**
 * jl_digest_read - reads a digest, or a beacon that was passed on
 * @from: where it came from
 */
void jl_digest_read (struct jl_digest *digest,
                     const char *datagram,
                     size_t size,
                     struct jl_endpoint from,
                     uint64_t now_us);

/**
 * jl_digest_introduce - sends the beacons of all known daemons to a daemon of
 * the local zone that has just started, if this daemon is a representative
 */
void jl_digest_introduce (struct jl_digest *digest,
                          struct jl_member *member,
                          uint64_t now_us);

/**
 * jl_digest_is_representative - whether this daemon represents its zone
 */
bool jl_digest_is_representative (const struct jl_digest *digest,
                                  uint64_t now_us);

/**
 * jl_digest_counters - returns the totals
 */
const struct jl_digest_counters *
jl_digest_counters (const struct jl_digest *digest);

/* Period of jl_digest_step(). */
#define JL_DIGEST_STEP_US (200 * JL_USEC_PER_MSEC)

#endif
