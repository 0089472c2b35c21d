#ifndef JACKDAWLADDER_PROXY_ROSTER_H
#define JACKDAWLADDER_PROXY_ROSTER_H

/**
 * DOC: The daemons of the site that this daemon knows.
 *
 * A daemon is discovered by its row in the platform's store, or by its first
 * beacon. Its beacons carry the state of its target. A daemon whose beacons
 * have been missing for some time receives no requests. Once daemons know each
 * other, the roster doesn't depend on the store.
 *
 * Daemons of other zones are known through digests (proxy/digest.h), which a
 * few daemons of each zone, its representatives, send to those of the others.
 */

#include "policy/expected-wait.h"
#include "policy/fanout.h"
#include "policy/origin.h"
#include "policy/target.h"

/* Number of incarnations of a daemon's target that are remembered to have left.
 */
#define JL_MEMBER_DEPARTED_MAX 4
/* Maximum number of fan-out estimates that one daemon announces. */
#define JL_MEMBER_FANOUT_MAX 32
/* Number of representatives of a zone. */
#define JL_REPRESENTATIVES_MAX 2

/**
 * struct jl_zone - another availability zone
 * @heard_us: time at which a digest or a beacon of it came last, 0 for none
 * @silent: nothing has come of it for so long that it is probably cut off; its
 *          daemons receive no requests
 */
struct jl_zone
{
  char name[JL_TEXT_SIZE];
  uint64_t heard_us;
  bool silent;
};

/**
 * struct jl_told - what a representative has last told other zones of a daemon
 * of its zone
 * @at_us: time of the last digest with it, 0 for none
 * @state: and all further members: as in struct jl_member
 */
struct jl_told
{
  uint64_t at_us;
  uint64_t epoch;
  uint32_t target_key;
  enum jl_target_state state;
  double shed_share;
  double spare_share;
  double failure_rate;
};

/**
 * struct jl_member - one daemon
 * @name: unique in the site
 * @zone: its availability zone
 * @service: service of its target
 * @target: identifier of its target
 * @key: key of its name
 * @target_key: key of the incarnation of its target, 0 if an older daemon does
 *              not announce it
 * @known_target: identifier of the last incarnation of a target that it has
 *                announced; kept while it knows none after a restart
 * @known_target_key: its key
 * @serving_key: key of the incarnation of its target that last took work, 0 for
 *               none since its start, or since one has left
 * @departed_keys: ring of keys of incarnations that have announced their leave,
 * 0 for none
 * @departed_next: index in @departed_keys of the next one to write
 * @peer: where it accepts requests and beacons
 * @epoch: wall clock at its start in microseconds; identifies its incarnation
 * @sequence: sequence number of its last beacon
 * @identity_sequence: sequence number of its last full beacon, which alone
 *                     carries the service, the endpoint, the fan-outs and the
 *                     arrivals
 * @state: state of its target
 * @limit: requests that run at its target at once
 * @capacity: requests a second that its target can complete, 0 while not known
 * @shed_share: share of the demand that entries should refuse
 * @spare_share: share of its capacity that is free for other zones
 * @failure_rate: share of its requests that its target itself fails
 * @limited_key: key of the incarnation of its target whose limit this daemon
 *               knows from a response, 0 for none
 * @stated_limit: that limit in requests a second
 * @site_version: version of the configuration that it uses
 * @departed: its target itself has announced its leave; a state "leaving" may
 *            also mean that the daemon stops
 * @store_lost: it cannot reach the store; known of daemons of the local zone
 * @in_other_zone: it is in another zone, and known through digests
 * @contact: contact with its zone, NULL for the local zone
 * @last_beacon_us: time of its last beacon, 0 for none
 * @represents_since_us: of a daemon of the local zone: time since which it
 *                       represents the zone, 0 if it does not
 * @represents_until_us: of a daemon of another zone: time until which it counts
 *                       as a representative, since a digest of it has come
 * @older_until_us: time until which it counts as an older daemon of another
 *                  zone, which sends beacons itself and needs those of this one
 * @told: of a daemon of the local zone: what other zones were told
 * @relayed_us: time at which its last full beacon was passed on to other zones
 * @asked_us: time at which this daemon last sent a request to it, 0 for none
 * @last_answer_us: time of its last response to a request, 0 for none
 * @failed_us: time at which a request to it failed last, 0 for none
 * @outstanding: requests that this daemon has sent to it, without a response so
 *               far
 * @load: last report of its target's load
 * @guest_us: of a daemon of the local zone: time at which it last received work
 *            from another zone, 0 for none
 * @fanout: calls that runs at its target make
 * @arrivals: requests that it received as an entry
 */
struct jl_member
{
  char name[JL_TEXT_SIZE];
  char zone[JL_TEXT_SIZE];
  char service[JL_TEXT_SIZE];
  char target[JL_TEXT_SIZE];
  uint32_t key;
  uint32_t target_key;
  char known_target[JL_TEXT_SIZE];
  uint32_t known_target_key;
  uint32_t serving_key;
  uint32_t departed_keys[JL_MEMBER_DEPARTED_MAX];
  unsigned departed_next;
  struct jl_endpoint peer;
  uint64_t epoch;
  uint64_t sequence;
  uint64_t identity_sequence;
  enum jl_target_state state;
  bool departed;
  unsigned limit;
  double capacity;
  double shed_share;
  double spare_share;
  double failure_rate;
  uint32_t limited_key;
  double stated_limit;
  uint64_t site_version;
  bool store_lost;
  bool in_other_zone;
  struct jl_zone *contact;
  uint64_t last_beacon_us;
  uint64_t represents_since_us;
  uint64_t represents_until_us;
  uint64_t older_until_us;
  struct jl_told told;
  uint64_t relayed_us;
  uint64_t asked_us;
  uint64_t last_answer_us;
  uint64_t failed_us;
  unsigned outstanding;
  struct jl_load_view load;
  uint64_t guest_us;
  unsigned fanout_count;
  struct jl_fanout_entry fanout[JL_MEMBER_FANOUT_MAX];
  struct jl_arrivals arrivals;
};

/**
 * struct jl_roster - all known daemons, this one among them
 * @members: array of struct jl_member, which are never removed
 * @by_name: the members by name
 * @by_key: the members by the key of their name
 * @zones: array of struct jl_zone, the other zones that are known
 * @local_zone: availability zone of this daemon
 * @uses_load_reports: load reports decide between targets
 */
struct jl_roster
{
  GPtrArray *members;
  GHashTable *by_name;
  GHashTable *by_key;
  GPtrArray *zones;
  char local_zone[JL_TEXT_SIZE];
  bool uses_load_reports;
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
 * jl_roster_find_key - returns the daemon whose name has the key @key
 *
 * Return: the daemon, NULL if none or more than one has it.
 */
struct jl_member *jl_roster_find_key (const struct jl_roster *roster,
                                      uint32_t key);

/**
 * jl_roster_set_zone - sets the zone of a daemon
 */
void jl_roster_set_zone (struct jl_roster *roster,
                         struct jl_member *member,
                         const char *zone);

/**
 * jl_roster_represents - whether a daemon is among the first
 * JL_REPRESENTATIVES_MAX of its zone that are alive
 *
 * Daemons whose targets leave come last, the others are ordered by name.
 */
bool jl_roster_represents (const struct jl_roster *roster,
                           const struct jl_member *member,
                           uint64_t now_us);

/**
 * jl_roster_follow_rank - returns how many daemons of the zone that were heard
 * just now come before this one in following the changes in the store; the
 * first JL_REPRESENTATIVES_MAX follow them
 * @self: this daemon
 *
 * Daemons that cannot reach the store come last. The time since a daemon was
 * heard is shorter than for other purposes, so that the place of one that has
 * ended is taken soon.
 */
unsigned jl_roster_follow_rank (const struct jl_roster *roster,
                                const struct jl_member *self,
                                uint64_t now_us);

/**
 * jl_roster_list_representatives - lists the representatives of another zone
 * @list: receives at most JL_REPRESENTATIVES_MAX daemons
 *
 * Those that have sent digests lately come first.
 *
 * Return: the number of daemons, 0 if none is alive.
 */
unsigned jl_roster_list_representatives (const struct jl_roster *roster,
                                         const struct jl_zone *zone,
                                         uint64_t now_us,
                                         struct jl_member **list);

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

#endif
