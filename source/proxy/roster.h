#ifndef JACKDAWLADDER_PROXY_ROSTER_H
#define JACKDAWLADDER_PROXY_ROSTER_H

/**
 * DOC: The daemons of the site that this daemon knows.
 *
 * A daemon is discovered by its row in the platform's store, or by its first
 * beacon. Its beacons carry the state of its target. A daemon whose beacons
 * have been missing for some time receives no requests. Once daemons know each
 * other, the roster doesn't depend on the store.
 */

#include "policy/fanout.h"
#include "policy/origin.h"
#include "proxy/target.h"

/* Number of incarnations of a daemon's target that are remembered to have left.
 */
#define JL_MEMBER_DEPARTED_MAX 4
/* Maximum number of fan-out estimates that one daemon announces. */
#define JL_MEMBER_FANOUT_MAX 32

/**
 * struct jl_member - one daemon
 * @name: unique in the site
 * @zone: its availability zone
 * @service: service of its target
 * @target: identifier of its target
 * @target_key: key of the incarnation of its target, 0 if an older daemon does
 *              not announce it
 * @known_target: identifier of the last incarnation of a target that it has
 *                announced; kept while it knows none after a restart
 * @known_target_key: its key
 * @departed_keys: ring of keys of incarnations that have announced their leave,
 * 0 for none
 * @departed_next: index in @departed_keys of the next one to write
 * @peer: where it accepts requests and beacons
 * @epoch: wall clock at its start in microseconds; identifies its incarnation
 * @sequence: sequence number of its last beacon
 * @state: state of its target
 * @limit: requests that run at its target at once
 * @capacity: requests a second that its target can complete, 0 while not known
 * @shed_share: share of the demand that entries should refuse
 * @spare_share: share of its capacity that is free for other zones
 * @failure_rate: share of its requests that its target itself fails
 * @site_version: version of the configuration that it uses
 * @in_other_zone: it is in another zone, and its beacons are less frequent
 * @last_beacon_us: time of its last beacon, 0 for none
 * @withdrawn: it is about to send no more beacons to this daemon, and takes no
 * new requests from it
 * @announced_until_us: time until which this daemon sends beacons to it, if it
 * is in another zone and not chosen any more
 * @last_answer_us: time of its last response to a request, 0 for none
 * @failed_us: time at which a request to it failed last, 0 for none
 * @outstanding: requests that this daemon has sent to it, without a response so
 *               far
 * @fanout: calls that runs at its target make
 * @arrivals: requests that it received as an entry
 */
struct jl_member
{
  char name[JL_TEXT_SIZE];
  char zone[JL_TEXT_SIZE];
  char service[JL_TEXT_SIZE];
  char target[JL_TEXT_SIZE];
  uint32_t target_key;
  char known_target[JL_TEXT_SIZE];
  uint32_t known_target_key;
  uint32_t departed_keys[JL_MEMBER_DEPARTED_MAX];
  unsigned departed_next;
  struct jl_endpoint peer;
  uint64_t epoch;
  uint64_t sequence;
  enum jl_target_state state;
  unsigned limit;
  double capacity;
  double shed_share;
  double spare_share;
  double failure_rate;
  uint64_t site_version;
  bool in_other_zone;
  uint64_t last_beacon_us;
  bool withdrawn;
  uint64_t announced_until_us;
  uint64_t last_answer_us;
  uint64_t failed_us;
  unsigned outstanding;
  unsigned fanout_count;
  struct jl_fanout_entry fanout[JL_MEMBER_FANOUT_MAX];
  struct jl_arrivals arrivals;
};

/**
 * struct jl_roster - all known daemons, this one among them
 * @members: array of struct jl_member, which are never removed
 * @by_name: the members by name
 * @local_zone: availability zone of this daemon
 */
struct jl_roster
{
  GPtrArray *members;
  GHashTable *by_name;
  char local_zone[JL_TEXT_SIZE];
};

void jl_roster_init (struct jl_roster *roster, const char *local_zone);
void jl_roster_clear (struct jl_roster *roster);

/**
 * jl_roster_get_or_add - returns the daemon named @name; adds it if it is not
 * known
 */
struct jl_member *jl_roster_get_or_add (struct jl_roster *roster,
                                        const char *name);

/**
 * jl_member_is_alive - whether a beacon of the daemon was received recently
 * enough
 */
bool jl_member_is_alive (const struct jl_member *member, uint64_t now_us);

/**
 * jl_member_beacon_is_newer - whether a beacon is newer than the last one
 * @epoch: of the beacon
 * @sequence: of the beacon
 *
 * Epochs are wall clocks at the start of an incarnation, and clocks may step
 * back: an incarnation with a lower epoch is accepted once the known one has
 * sent no beacon for some time.
 */
bool jl_member_beacon_is_newer (const struct jl_member *member,
                                uint64_t epoch,
                                uint64_t sequence,
                                uint64_t now_us);

/**
 * jl_member_accepts_work - whether a request to @service can be sent to the
 * daemon now
 */
bool jl_member_accepts_work (const struct jl_member *member,
                             const char *service,
                             uint64_t now_us);

/**
 * jl_roster_note_failure - stops requests to a daemon to which one has failed
 *
 * It gets requests again when it was heard since, but not at once. If requests
 * to two daemons of another zone have failed and nothing was heard of that zone
 * since, the zone is probably cut off: all its daemons are treated so.
 */
void jl_roster_note_failure (struct jl_roster *roster,
                             struct jl_member *member,
                             uint64_t now_us);

/**
 * jl_roster_is_call_route - whether requests of a route are calls of targets
 * @route_key: the route's key
 */
bool jl_roster_is_call_route (const struct jl_roster *roster,
                              uint32_t route_key,
                              uint64_t now_us);

/**
 * jl_roster_alive_count - returns the number of daemons that are alive
 */
unsigned jl_roster_alive_count (const struct jl_roster *roster,
                                uint64_t now_us);

/**
 * jl_roster_announce_share - returns the share of the daemons of other zones
 * that the daemon @self sends beacons to
 *
 * The share is below 1 in sites with many targets of a service in each zone.
 * Otherwise the traffic of beacons between zones would grow with the square of
 * the number of daemons. A daemon needs to know only some targets of other
 * zones.
 *
 * Return: the share, from 0 to 1.
 */
double jl_roster_announce_share (const struct jl_roster *roster,
                                 const struct jl_member *self,
                                 uint64_t now_us);

/**
 * jl_member_target_key - returns a key of the incarnation of the daemon's
 * target, which differs between instances
 */
uint32_t jl_member_target_key (const struct jl_member *member);

/**
 * jl_member_add_departed - records that an incarnation of the daemon's target
 * leaves
 */
void jl_member_add_departed (struct jl_member *member, uint32_t target_key);

/**
 * jl_member_has_departed - whether an incarnation has announced its leave
 */
bool jl_member_has_departed (const struct jl_member *member,
                             uint32_t target_key);

/**
 * jl_member_is_addressed - whether @self sends beacons for @local_zone, or for
 * all other zones, to @peer
 * @share: share of the daemons of other zones that it sends to
 */
bool jl_member_is_addressed (const struct jl_member *self,
                             const struct jl_member *peer,
                             bool local_zone,
                             double share);

/**
 * jl_member_announces_to - whether @peer is within the share @share of the
 * daemons that @self sends beacons to
 *
 * A hash of both names selects the daemons, so the selection differs for each
 * @self.
 */
bool jl_member_announces_to (const struct jl_member *self,
                             const struct jl_member *peer,
                             double share);

#endif
