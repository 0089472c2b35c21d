/*
 * Beacons: UDP datagrams in which each daemon announces its state to others, and
 * datagrams with reports on contents that are suspected of ending targets.
 */

const BEACON_TEXT_MAX = 200;
const BEACON_FANOUT_MAX = 32;
const BEACON_ARRIVALS_MAX = 32;
const BEACON_REPORTS_MAX = 64;
const BEACON_CONTENTS_MAX = 150;
const BEACON_DIGEST_MAX = 38;
const BEACON_QUOTA_MAX = 40;
const BEACON_SHARES_MAX = 60;
const BEACON_MEMBERS_MAX = 128;

struct beacon_fanout
{
  unsigned int run;
  unsigned int call;
  unsigned int calls_milli;
};

struct beacon_arrival
{
  unsigned int route;
  unsigned int count_centi;
};

struct beacon_message
{
  unsigned int format;
  string name<BEACON_TEXT_MAX>;
  string zone<BEACON_TEXT_MAX>;
  string service<BEACON_TEXT_MAX>;
  string target<BEACON_TEXT_MAX>;
  unsigned int ip;
  unsigned int port;
  unsigned hyper epoch;
  unsigned hyper sequence;
  unsigned int state;
  unsigned int limit;
  unsigned int shed_milli;
  unsigned int room_milli;
  unsigned int hold_us;
  unsigned int failing_milli;
  unsigned hyper site_version;
  beacon_fanout fanout<BEACON_FANOUT_MAX>;
  beacon_arrival arrivals<BEACON_ARRIVALS_MAX>;
};

/* Follows a beacon_message in the same datagram. */
struct beacon_extension
{
  unsigned int target_key;
};

/* Follows a beacon_extension in the same datagram. withdrawn: set by older daemons
 * that are about to send no more beacons to this daemon. store_era: era of the store that the sender knows, 0 for none. departed: the
 * target itself has announced its leave; a state "leaving" may also mean that the
 * daemon stops. */
struct beacon_notice
{
  unsigned int withdrawn;
  unsigned hyper store_era;
  unsigned int departed;
};

/* Follows a beacon_notice in the same datagram. store_lost: the sender cannot reach
 * the store. */
struct beacon_watch
{
  unsigned int store_lost;
};

/* Follows a beacon_watch in the same datagram if load reports are on: the load of
 * the sender's target. guest_ms: time since it received work from another zone,
 * BEACON_GUEST_NONE if that is longer. */
const BEACON_GUEST_NONE = 60000;

struct beacon_load
{
  unsigned int running;
  unsigned int waiting;
  unsigned int limit;
  unsigned int hold_ms;
  unsigned int guest_ms;
};

/* What a daemon has last announced of itself, as another one passes it on. key:
 * of its name. epoch, sequence: the low 32 bits of those of its last beacon.
 * limit_state: the limit * 256 + the state; BEACON_DEPARTED is added if the target
 * itself has announced its leave. shed_room: shed_milli * 65536 + room_milli.
 * failing_age: failing_milli * 65536 + the time since that beacon in ms. */
const BEACON_DEPARTED = 128;

struct beacon_state
{
  unsigned int key;
  unsigned int epoch;
  unsigned int sequence;
  unsigned int target_key;
  unsigned int limit_state;
  unsigned int shed_room;
  unsigned int hold_us;
  unsigned int failing_age;
};

/* A digest: what a representative of a zone tells those of other zones of the
 * daemons of its zone. hops: 0 as sent to another zone, 1 as passed on there. */
struct beacon_digest
{
  unsigned int format;
  unsigned int hops;
  string name<BEACON_TEXT_MAX>;
  string zone<BEACON_TEXT_MAX>;
  unsigned hyper site_version;
  unsigned hyper store_era;
  beacon_state states<BEACON_DIGEST_MAX>;
};

/* Precedes a full beacon that is passed on, in the same datagram. age_ms: time since
 * the daemon that passes it on has heard it. */
struct beacon_relay
{
  unsigned int format;
  unsigned int hops;
  unsigned int age_ms;
};

/* What a daemon tells its zone after an answer of the store. site_version: version
 * of the configuration that it uses. age_ms: time since the moment as of which that
 * was the newest one in the store. */
struct beacon_freshness
{
  unsigned int format;
  string name<BEACON_TEXT_MAX>;
  unsigned hyper site_version;
  unsigned hyper store_era;
  unsigned int age_ms;
};

struct beacon_report
{
  unsigned int kind;
  unsigned int flags;
  unsigned int target;
  unsigned int age_ms;
  unsigned hyper contents<BEACON_CONTENTS_MAX>;
};

struct beacon_reports
{
  unsigned int format;
  string name<BEACON_TEXT_MAX>;
  beacon_report reports<BEACON_REPORTS_MAX>;
};

/* Follows beacon_reports in the same datagram: the key of the service of each
 * report's target. */
struct beacon_reports_extension
{
  unsigned int services<BEACON_REPORTS_MAX>;
};

/* Asks the issuer of the zone for tokens of usage caps. epoch: incarnation of the
 * issuer that stamp is of. stamp: of the issuer's last answer, which supports it; 0
 * for no support. waiting: how many of count are for requests that wait. debt: requests that ran
 * without a token since the issuer's last answer. */
struct beacon_quota_want
{
  unsigned int customer;
  unsigned int count;
  unsigned int waiting;
  unsigned int debt;
};

struct beacon_quota_ask
{
  unsigned int format;
  string name<BEACON_TEXT_MAX>;
  unsigned int sequence;
  unsigned hyper epoch;
  unsigned hyper stamp;
  beacon_quota_want wants<BEACON_QUOTA_MAX>;
};

/* Answers a beacon_quota_ask. state: 0 the sender does not issue, 1 it issues, 2 it
 * has resigned for good, 3 it will issue soon. none_us: time for which there are no more tokens. wait_ms:
 * time after which a refused request finds a token. far: the demand is far below the
 * cap. level_centi: tokens left. */
struct beacon_quota_grant
{
  unsigned int customer;
  unsigned int granted;
  unsigned int none_us;
  unsigned int wait_ms;
  unsigned int far;
  unsigned int level_centi;
};

struct beacon_quota_answer
{
  unsigned int format;
  string name<BEACON_TEXT_MAX>;
  unsigned int sequence;
  unsigned int state;
  unsigned hyper epoch;
  unsigned hyper stamp;
  beacon_quota_grant grants<BEACON_QUOTA_MAX>;
};

/* Shares of usage caps, by kind. BEACON_SHARES_LIST: the issuer tells its zone the
 * shares that the zone has. BEACON_SHARES_NEED: the issuer asks that of another zone
 * for units of shares and for tokens. BEACON_SHARES_LENT: the answer with tokens.
 * BEACON_SHARES_MOVED: the row of the receiver's zone has changed. hops: 1 if passed
 * on to the issuer of the zone. epoch, stamp: of the request, in a need and in its
 * answer. */
const BEACON_SHARES_LIST = 0;
const BEACON_SHARES_NEED = 1;
const BEACON_SHARES_LENT = 2;
const BEACON_SHARES_MOVED = 3;

struct beacon_share
{
  unsigned int customer;
  unsigned int units;
  unsigned int tokens;
};

struct beacon_shares
{
  unsigned int format;
  unsigned int kind;
  unsigned int hops;
  string name<BEACON_TEXT_MAX>;
  unsigned hyper epoch;
  unsigned hyper stamp;
  beacon_share shares<BEACON_SHARES_MAX>;
};

/* Follows beacon_quota_ask and beacon_quota_answer in the same datagram: the list of
 * the zone's daemons that the sender has adopted; list_version 0 for none. age_ms: in an
 * answer, time since the moment as of which it was the current one in the store.
 * part_millionths: in an answer, part of the zone's shares that the sender issues. */
struct beacon_quota_list
{
  unsigned hyper list_version;
  unsigned int tag;
  unsigned int age_ms;
  unsigned int part_millionths;
};

/* An issuer tells its zone the list of the daemons that count, keys by their names,
 * and the list before. part_millionths: part of the zone's shares that it issues. */
struct beacon_quota_members
{
  unsigned int format;
  string name<BEACON_TEXT_MAX>;
  unsigned hyper list_version;
  unsigned int part_millionths;
  unsigned int keys<BEACON_MEMBERS_MAX>;
  unsigned int previous<BEACON_MEMBERS_MAX>;
};
