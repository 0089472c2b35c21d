#ifndef TESTS_PROXY_ZONES_H
#define TESTS_PROXY_ZONES_H

/**
 * DOC: A simulation of the datagrams between the daemons of several zones, in
 * virtual time: beacons within each zone, and digests between them.
 */

#include "proxy/digest.h"

/**
 * struct zones_daemon - one daemon
 * @index: its position in the site; its name follows from it
 * @zone: number of its zone
 * @up: it runs
 * @beacon_us: time of its next beacon
 * @silenced: number of times that it took a zone for silent
 */
struct zones_daemon
{
  struct zones_site *site;
  unsigned index;
  unsigned zone;
  bool up;
  struct jl_roster roster;
  struct jl_member *self;
  struct jl_digest *digest;
  uint64_t beacon_us;
  unsigned silenced;
};

/**
 * struct zones_site - all daemons and the network
 * @now_us: virtual time
 * @loss: share of the datagrams between zones that are lost
 * @cut_zone: zone that is cut off from the others, JL_NONE for none
 * @other_zone_bytes: bytes sent to other zones, with 28 for each datagram
 * @datagrams: number of all datagrams sent
 * @flying: datagrams that have not arrived yet
 */
struct zones_site
{
  unsigned zone_count;
  unsigned daemon_count;
  struct zones_daemon *daemons;
  uint64_t now_us;
  double loss;
  unsigned cut_zone;
  uint64_t other_zone_bytes;
  uint64_t datagrams;
  GQueue flying;
};

/**
 * zones_open - starts @zone_count zones with @zone_size daemons each
 *
 * Each daemon knows the endpoints of all, as from the rows in the store.
 */
void
zones_open (struct zones_site *site, unsigned zone_count, unsigned zone_size);

void zones_close (struct zones_site *site);

/**
 * zones_run - lets @ms milliseconds pass
 */
void zones_run (struct zones_site *site, unsigned ms);

/**
 * zones_daemon - returns the daemon with number @rank, by name, of a zone
 */
struct zones_daemon *
zones_daemon (struct zones_site *site, unsigned zone, unsigned rank);

/**
 * zones_kill - ends a daemon
 */
void zones_kill (struct zones_daemon *daemon);

/**
 * zones_start - starts a daemon that was ended
 */
void zones_start (struct zones_daemon *daemon);

/**
 * zones_start_alone - starts a daemon that was ended, and that knows no other
 * one, as the store cannot be reached
 */
void zones_start_alone (struct zones_daemon *daemon);

/**
 * zones_view - returns what @daemon knows of @of
 */
struct jl_member *zones_view (struct zones_daemon *daemon,
                              const struct zones_daemon *of);

/**
 * zones_run_until_known - lets time pass until all daemons that run know the
 * state of the target of @of
 * @except_zone: a zone whose daemons need not know it, JL_NONE for none
 *
 * Return: the time in milliseconds, at most 20,000.
 */
unsigned zones_run_until_known (struct zones_site *site,
                                const struct zones_daemon *of,
                                unsigned except_zone);

#endif
