#ifndef JACKDAWLADDER_PROXY_ROSTER_H
#define JACKDAWLADDER_PROXY_ROSTER_H

/**
 * DOC: The daemons of the site, as far as this one knows them.
 *
 * A daemon is found by its row in the platform's store, or by its first
 * beacon. Its beacons say what its target does; without them for some time
 * nothing is sent to it. Nothing here needs the store once daemons know each
 * other.
 */

#include "policy/fanout.h"
#include "policy/origin.h"
#include "proxy/target.h"

/* Fitted fan-outs that one daemon tells. */
#define JL_MEMBER_FANOUT_MAX 32

/**
 * struct jl_member - one daemon
 * @name: unique in the site
 * @peer: where it takes requests and beacons
 * @epoch: wall clock of its start in microseconds
 * @sequence: of its last beacon
 * @state: of its target
 * @target: identifier of its target's life
 * @limit: requests that run at its target at once
 * @capacity: requests a second that its target can do, 0 while not known
 * @shed: share of the demand that entries should refuse
 * @room: share of its capacity that is free for other zones
 * @failing: share of its requests that its target fails by itself
 * @site_version: configuration that it has in force
 * @far: it is in another zone, and its beacons come more rarely
 * @heard_us: time of its last beacon, 0 for none
 * @shed_us: time at which @shed was above 0 last
 * @avoid_until_us: a sending to it failed; nothing is sent before
 * @outstanding: requests of this daemon that are there
 * @fanout: calls that runs at its target make
 * @arrivals: requests that came to it as an entry
 */
struct jl_member
{
  char name[JL_TEXT_SIZE];
  char zone[JL_TEXT_SIZE];
  char service[JL_TEXT_SIZE];
  char target[JL_TEXT_SIZE];
  struct jl_endpoint peer;
  uint64_t epoch;
  uint64_t sequence;
  enum jl_target_state state;
  unsigned limit;
  double capacity;
  double shed;
  double room;
  double failing;
  uint64_t site_version;
  bool far;
  uint64_t heard_us;
  uint64_t avoid_until_us;
  unsigned outstanding;
  unsigned fanout_count;
  struct jl_fanout_entry fanout[JL_MEMBER_FANOUT_MAX];
  struct jl_arrivals arrivals;
};

/**
 * struct jl_roster - all daemons, this one among them
 * @members: of struct jl_member, never removed
 * @own_zone: availability zone of this daemon
 */
struct jl_roster
{
  GPtrArray *members;
  GHashTable *by_name;
  char own_zone[JL_TEXT_SIZE];
};

void jl_roster_init (struct jl_roster *roster, const char *own_zone);
void jl_roster_clear (struct jl_roster *roster);

/**
 * jl_roster_member - the daemon called @name, added if it is new
 */
struct jl_member *jl_roster_member (struct jl_roster *roster, const char *name);

/**
 * jl_member_is_heard - whether its beacons came lately
 */
bool jl_member_is_heard (const struct jl_member *member, uint64_t now_us);

/**
 * jl_member_is_newer - whether a beacon tells more than is known
 *
 * Epochs are wall clocks at the start of a life, and clocks may step back: a
 * life with a lower epoch counts once the known one has been silent.
 */
bool jl_member_is_newer (const struct jl_member *member,
                         uint64_t epoch,
                         uint64_t sequence,
                         uint64_t now_us);

/**
 * jl_member_takes_work - whether a request can be sent to it now
 */
bool jl_member_takes_work (const struct jl_member *member,
                           const char *service,
                           uint64_t now_us);

/**
 * jl_member_avoid - a sending failed: leaves it out for a while
 */
void jl_member_avoid (struct jl_member *member, uint64_t now_us);

/**
 * jl_roster_is_call - whether requests of a route are calls of targets
 * @route: the route's key
 */
bool jl_roster_is_call (const struct jl_roster *roster,
                        uint32_t route,
                        uint64_t now_us);

/**
 * jl_roster_heard - number of daemons that are heard
 */
unsigned jl_roster_heard (const struct jl_roster *roster, uint64_t now_us);

/**
 * jl_roster_told_share - share of the daemons of other zones that the daemon
 * @self tells of itself, 0 to 1
 *
 * Answers sites with many targets of a service in each zone: what daemons tell
 * those of other zones would rise with the square of their number. A daemon
 * needs to know only some targets of other zones.
 */
double jl_roster_told_share (const struct jl_roster *roster,
                             const struct jl_member *self,
                             uint64_t now_us);

/**
 * jl_member_tells - whether @peer is in that share
 *
 * Chance by names chooses, for each daemon others.
 */
bool jl_member_tells (const struct jl_member *self,
                      const struct jl_member *peer,
                      double share);

#endif
