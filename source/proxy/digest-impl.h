#ifndef JACKDAWLADDER_PROXY_DIGEST_IMPL_H
#define JACKDAWLADDER_PROXY_DIGEST_IMPL_H

/**
 * DOC: What the sending part of digests (digest.c) and the receiving part
 * (digest-read.c) share.
 */

#include "proxy/digest.h"
#include "rpc/gen/beacon.h"

#include <urcu/list.h>

/* Period of digests. A change of a target's state or load is sent in the next
 * step. */
#define JL_DIGEST_PERIOD_US (400 * JL_USEC_PER_MSEC)
/* Maximum age of a state that a digest can tell. */
#define JL_DIGEST_AGE_MS_MAX 65535

/**
 * struct jl_digest - sender and receiver of digests
 * @sent_us: time of the last digest that had all that was due, not only changes
 * @links: array of struct zone_link
 * @introductions: list of struct introduction
 */
struct jl_digest
{
  struct jl_roster *roster;
  struct jl_member *self;
  const struct jl_digest_ops *ops;
  void *context;
  uint64_t started_us;
  uint64_t sent_us;
  GArray *links;
  struct cds_list_head introductions;
  struct jl_digest_counters counters;
};

/**
 * jl_digest_is_local - whether a daemon is of the local zone
 */
static inline bool
jl_digest_is_local (const struct jl_member *member)
{
  return member->contact == NULL;
}

/**
 * jl_digest_send_to - sends a datagram to a daemon whose address is known;
 * nothing if @size is 0
 */
void jl_digest_send_to (struct jl_digest *digest,
                        const struct jl_member *to,
                        char *datagram,
                        size_t size);

/**
 * jl_digest_encode - encodes a digest
 *
 * Return: its size, 0 if it is too large.
 */
size_t jl_digest_encode (struct beacon_digest *message, char *datagram);

/**
 * jl_digest_encode_relay - encodes the beacon of a daemon that is passed on
 * @hops: zones that it has left already
 *
 * Return: its size.
 */
size_t jl_digest_encode_relay (const struct jl_member *member,
                               unsigned hops,
                               uint64_t now_us,
                               char *datagram);

/**
 * jl_digest_check_zones - finds out who represents the local zone, and which
 * other zones have fallen silent
 */
void jl_digest_check_zones (struct jl_digest *digest, uint64_t now_us);

#endif
